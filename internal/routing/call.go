package routing

// Class is a class of calls. It holds nothing that a deployment is scored by, such as a latency that is aimed at: how
// long a call waits follows from the time that its caller has.
type Class struct {
	Name                string
	Timeout             float64      // ms: callers give up after this, counted over all attempts
	Weight              float64      // which calls matter most if not all can be served
	MeanHoldingTime     float64      // ms that a call stays established
	Idempotent          bool         // a setup that may have been executed may be sent again
	AllowedDestinations map[int]bool // destination IDs that calls of the class may be sent to; nil: all
}

// Tenant is the customer that a call belongs to.
type Tenant struct {
	Name string
}

// Call is one call of a caller.
type Call struct {
	Class         *Class
	Tenant        *Tenant   // nil: none
	Destination   *Endpoint // nil: not on the endpoint list
	DestinationID int
	CalledNumber  string

	ArrivedAt float64 // when it was read
	Deadline  float64 // when its caller gives up
	Resumed   bool    // it was established before and was cut

	Queued          bool     // it is in the policy's queue until an endpoint has capacity
	Attempts        int      // so far
	InFlight        *Attempt // the attempt in flight, also while the call is established
	Established     bool
	Finished        bool    // it has its final answer
	MayHaveExecuted bool    // an attempt that was not answered may have been executed
	RetryNotBefore  float64 // rule 5: no attempt before this

	HostData any // private to the host
}

// Attempt is one setup of a call at an endpoint.
type Attempt struct {
	Call     *Call
	Endpoint *Endpoint
	SentAt   float64
	Latency  float64 // ms from sending until it was answered or ended

	Outcome       Outcome
	AtCapacity    bool    // Overloaded: the endpoint has no free agent
	NumberBusy    bool    // Failed: the called number is busy
	RetryAfter    float64 // Overloaded: ms for which the endpoint asks for no attempts, or 0
	HasLoadReport bool    // the end carried a load report; it is in Endpoint.LoadReport

	PresumedLost bool // the policy considers it lost

	HostData any // private to the host
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	Completed         Outcome = iota // the call was established and has ended
	Failed                           // a fault at the endpoint
	Overloaded                       // rejected: no agent is free, or the processor is too busy
	TimedOut                         // no answer in time; the setup may still be executed
	ConnectionRefused                // the endpoint is down or unreachable
	Reset                            // the connection broke, or the established call was cut
	Canceled                         // canceled by this gateway
	NotSent                          // it never left this gateway
)

// MayHaveExecuted reports whether an attempt with this outcome may have been executed at the endpoint.
func (o Outcome) MayHaveExecuted() bool {
	return o != Overloaded && o != ConnectionRefused && o != NotSent
}
