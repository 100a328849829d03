// Package routing holds the words that the decision module and its hosts share: types only. Times are
// milliseconds with fractions on the host's clock; a figure that is not known is NaN.
package routing

// Host is what the decision module may ask of the program it runs in.
type Host interface {
	// StartAttempt sends a setup of c to p and gives up after limit; the attempt is c.Out until it ends.
	StartAttempt(c *Call, p *Endpoint, limit float64)
	// Reject is the final answer "refused"; a wait above 0 asks the caller to stay away so long.
	Reject(c *Call, wait float64)
	// Fail is the final answer "failed".
	Fail(c *Call)
	// CancelAttempt stops waiting for an attempt; its end comes as any other.
	CancelAttempt(r *Attempt)
	// ProbeHealth asks an endpoint for a report.
	ProbeHealth(p *Endpoint)
	// SendGossip sends a short message to another gateway, named by its number from 0.
	SendGossip(to int, data []byte)
	// ScheduleWakeup calls the module back at or after a time; c may be nil.
	ScheduleWakeup(at float64, c *Call)
}

// State is what the endpoint list says of an endpoint.
type State int

// The states of an endpoint.
const (
	Gone State = iota
	Ready
	Draining
)

// Outcome is how an attempt ended.
type Outcome int

// The ends of an attempt.
const (
	Completed         Outcome = iota // the call stood and has ended
	Failed                           // a fault after the setup was looked at
	Overloaded                       // rejected: no agent, or the processor is too busy
	TimedOut                         // no reply in time; the setup may go on
	ConnectionRefused                // no connection: down or out of reach
	Reset                            // cut
	Canceled                         // called off
	NotSent                          // it never left
)

// LoadReport is what an endpoint says of its load.
type LoadReport struct {
	Capacity     float64 // agents in all
	Free         float64 // free agents
	Utilization  float64 // busy share of the processor
	QueueLength  float64 // setups that wait there
	QueueDelay   float64 // the wait at the processor
	RateLimit    float64 // setups a second it can take from all senders
	LossFraction float64 // share of setups it asks each sender to hold back
}

// Endpoint is a group of agents behind one processor.
type Endpoint struct {
	DestinationID int        // its number among the endpoints; calls name destinations by it
	State         State      // as the list has it
	StartedAt     float64    // its latest start; 0: long ago
	LoadReport    LoadReport // the latest report
	PolicyState   any        // the decision module's own notes
}

// Class is a class of calls.
type Class struct {
	Name                string
	LatencyObjective    float64      // stands within this: full value
	Timeout             float64      // the caller gives up after this, over all tries
	Weight              float64      // of a call that stands in time
	LateWeightFraction  float64      // share of the value for one that stands later
	MeanHoldingTime     float64      // mean time that a call stands
	Idempotent          bool         // a setup that may have run may be sent again
	AllowedDestinations map[int]bool // numbers of the endpoints that may take it; nil: all
}

// Tenant is whose call it is.
type Tenant struct {
	Name string
}

// Call is one try of a caller.
type Call struct {
	Class           *Class
	Tenant          *Tenant   // nil: none
	Destination     *Endpoint // the destination, nil if it is not on the list
	DestinationID   int       // the destination's number
	CalledNumber    string    // the number called
	FirstSeenAt     float64   // when its caller first came, as far as the module can tell
	Queued          bool      // the module keeps it until there is room
	ArrivedAt       float64   // when it was taken; the module sets it back where it waited unread
	Deadline        float64   // when this try is given up
	Resumed         bool      // it was cut before
	Attempts        int       // attempts so far
	InFlight        *Attempt  // the attempt that is out, also while the call stands
	Established     bool      // it stands
	Finished        bool      // it has its final answer
	MayHaveExecuted bool      // a setup of it may have run, though it does not stand
	RetryNotBefore  float64   // the retry hold-off: no attempt before this
	HostData        any       // the host's own
}

// Attempt is one setup of a call at an endpoint.
type Attempt struct {
	Call          *Call
	Endpoint      *Endpoint
	SentAt        float64
	Latency       float64 // time from sending until it stood or ended
	Outcome       Outcome
	AtCapacity    bool    // Full: no agent was free
	NumberBusy    bool    // Failed: all lines of the number called are busy
	RetryAfter    float64 // Full: the processor asks to stay away so long, or 0
	HasLoadReport bool    // the end brought a report, now in Endpoint.Report
	PresumedLost  bool    // the module has found that it is lost
	HostData      any     // the host's own
}

// Settings are the deployment's figures, as handed over at start.
type Settings struct {
	Gateways     int
	GatewayIndex int // this one's number among them, from 0
	Seed         uint64
	Classes      []*Class
	Tenants      []*Tenant
	TickInterval float64 // least time between two batches

	MaxAttempts        int
	ProbeEnabled       bool
	GossipEnabled      bool
	CancelEnabled      bool
	RetryAfterEnabled  bool    // rejected callers are told when to come back
	MaxRetryAfter      float64 // they heed no more than this
	LoadReportsByProbe bool    // reports come only with probes
	RetransmitInterval float64 // a setup that waits is sent again after this; 0: never

	AnswerGrace       float64 // rule 1: grace for the final answer
	SlowStartFraction float64 // rule 4: an endpoint starts with this share of its capacity
	SlowStartDuration float64 // and is warm after this
	OverloadFactor    float64 // it falls over when sent more than this multiple
	OverloadWindow    float64 // for this long
	RetryHoldOff      float64 // rule 5: no attempt so long after a time-out, reset or cancel
}
