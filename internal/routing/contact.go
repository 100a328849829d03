// Package routing holds the words that the decision module and its hosts share: types only. Times are
// milliseconds with fractions on the host's clock; a figure that is not known is NaN.
package routing

// Host is what the decision module may ask of the program it runs in.
type Host interface {
	// Ring sends a set-up of c to p and gives up after limit; the ring is c.Out until it ends.
	Ring(c *Contact, p *Pool, limit float64)
	// Defer is the final answer "refused"; a wait above 0 asks the caller to stay away so long.
	Defer(c *Contact, wait float64)
	// Abandon is the final answer "failed".
	Abandon(c *Contact)
	// Cancel stops waiting for a ring; its end comes as any other.
	Cancel(r *Ring)
	// Probe asks a pool for a report.
	Probe(p *Pool)
	// Tell sends a short message to another gateway, named by its number from 0.
	Tell(to int, data []byte)
	// Wake calls the module back at or after a time; c may be nil.
	Wake(at float64, c *Contact)
}

// State is what the pool list says of a pool.
type State int

// The states of a pool.
const (
	Gone State = iota
	Ready
	Draining
)

// End is how a ring ended.
type End int

// The ends of a ring.
const (
	Done      End = iota // the contact stood and has ended
	Failed               // a fault after the set-up was looked at
	Full                 // turned away: no agent, or the processor is too busy
	TimedOut             // no reply in time; the set-up may go on
	Refused              // no connection: down or out of reach
	Reset                // cut
	Cancelled            // called off
	Unsent               // it never left
)

// Report is what a pool says of its load.
type Report struct {
	Agents   float64 // agents in all
	Free     float64 // free agents
	Util     float64 // busy share of the processor
	Queue    float64 // set-ups that wait there
	Wait     float64 // the wait at the processor
	Rate     float64 // set-ups a second it can take from all senders
	Holdback float64 // share of set-ups it asks each sender to hold back
}

// Pool is a group of agents behind one processor.
type Pool struct {
	Number int     // its number among the pools; contacts name destinations by it
	State  State   // as the list has it
	Since  float64 // its latest start; 0: long ago
	Report Report  // the latest report
	Notes  any     // the decision module's own notes
}

// Skill is a class of contacts.
type Skill struct {
	Name      string
	Target    float64      // stands within this: full value
	Patience  float64      // the caller gives up after this, over all tries
	Value     float64      // of a contact that stands in time
	LateValue float64      // share of the value for one that stands later
	Hold      float64      // mean time that a contact stands
	Repeat    bool         // a set-up that may have run may be sent again
	Pools     map[int]bool // numbers of the pools that may take it; nil: all
}

// Customer is whose contact it is.
type Customer struct {
	Name string
}

// Contact is one try of a caller.
type Contact struct {
	Skill      *Skill
	Customer   *Customer // nil: none
	Home       *Pool     // the destination, nil if it is not on the list
	HomeNumber int       // the destination's number
	Number     string    // the number called
	First      float64   // when its caller first came, as far as the module can tell
	InLine     bool      // the module keeps it until there is room
	Came       float64   // when it was taken; the module sets it back where it waited unread
	Until      float64   // when this try is given up
	Again      bool      // it was cut before
	Rings      int       // rings so far
	Out        *Ring     // the ring that is out, also while the contact stands
	Stands     bool      // it stands
	Over       bool      // it has its final answer
	MayRun     bool      // a set-up of it may have run, though it does not stand
	NotTill    float64   // the clear wait: no ring before this
	ID         any       // the host's own
}

// Ring is one set-up of a contact at a pool.
type Ring struct {
	Contact  *Contact
	Pool     *Pool
	Sent     float64
	Cost     float64 // time from sending until it stood or ended
	End      End
	NoAgent  bool    // Full: no agent was free
	Engaged  bool    // Failed: all lines of the number called are busy
	Wait     float64 // Full: the processor asks to stay away so long, or 0
	Reported bool    // the end brought a report, now in Pool.Report
	Lost     bool    // the module has found that it is lost
	ID       any     // the host's own
}

// Settings are the deployment's figures, as handed over at start.
type Settings struct {
	Gateways  int
	Me        int // this one's number among them, from 0
	Seed      uint64
	Skills    []*Skill
	Customers []*Customer
	Tick      float64 // least time between two batches

	MaxRings   int
	MayProbe   bool
	MayTell    bool
	MayCancel  bool
	MayWait    bool    // deferred callers are told when to come back
	MaxWait    float64 // they heed no more than this
	ByProbe    bool    // reports come only with probes
	Retransmit float64 // a set-up that waits is sent again after this; 0: never

	Slack       float64 // rule 1: grace for the final answer
	ColdShare   float64 // rule 4: a pool starts with this share of its capacity
	WarmWithin  float64 // and is warm after this
	TipMultiple float64 // it falls over when sent more than this multiple
	TipTime     float64 // for this long
	ClearWait   float64 // rule 5: no ring so long after a time-out, reset or cancel
}
