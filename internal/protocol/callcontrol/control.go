// Package callcontrol is what every door of a gateway does alike with its calls, whatever its wire: it keeps them till
// their final answer, offers them to the decision module, and bars whatever would break a rule. It has no I/O and no
// clock, and decides nothing that the module decides.
//
// What the five rules ask of the wire is kept at one place each: rule 1 in (*Held).Settle, rules 2, 3 and 5 in
// (*Control).Attempt, which every setup passes.
package callcontrol

import (
	"math"

	"cobaltpier/internal/decision/intake"
	"cobaltpier/internal/protocol/endpointset"
	"cobaltpier/internal/routing"
	"cobaltpier/internal/timerqueue"
)

//tally:decisions

// Counts are what a gateway has seen since its start.
type Counts struct {
	Accepted, Shed, Answered, Rejected, Failed, HungUp, Attempts, Overdue, Blocked uint64
	Lookups, Unrouted, EnquiriesAnswered                                           uint64 // of numbers: look-ups, refused by the table; enquiries answered with an endpoint
}

// Config is what the call control is told at start.
type Config struct {
	Settings       *routing.Settings
	AnswerMargin   float64 // ms: final answers leave so long before the caller's timeout ends
	LoadShedding   intake.Gate
	DisabledGuards [6]bool // guards that are switched off, by rule: only to show that the checker sees what they prevent
}

// Controller holds one gateway's calls.
type Controller struct {
	Counts      Counts
	Timers      timerqueue.Queue
	Router      endpointset.Policy
	Endpoints   *endpointset.Set[string]
	Classes     map[string]*routing.Class
	Tenants     map[string]*routing.Tenant
	LoadShedder intake.Gate // what is taken of a flood
	Now         float64

	config      *Config
	arrived     []*Session // came since the last batch
	pending     int        // calls without a final answer
	established int
	stopped     bool
	lastBatchAt float64 // when the latest batch ended, 0: none yet
}

// New makes a call control without a module.
func New(cfg *Config) *Controller {
	c := &Controller{config: cfg, LoadShedder: cfg.LoadShedding, Endpoints: endpointset.New[string](), Classes: map[string]*routing.Class{}, Tenants: map[string]*routing.Tenant{}}
	for _, k := range cfg.Settings.Classes {
		c.Classes[k.Name] = k
	}
	for _, p := range cfg.Settings.Tenants {
		c.Tenants[p.Name] = p
	}
	return c
}

// heartbeatInterval is how often a gateway wants to be woken even if nothing is due, ms: so it knows when it stalled.
const heartbeatInterval = 100.0

// EarliestArrival is the earliest time at which what came in this batch may have come: a process that was stopped finds what came
// meanwhile at once, and a caller's timeout ran all the time. It guards rule 1 against stalls of any cause. What comes
// just at the end of a stall gets less time than its caller has.
func (c *Controller) EarliestArrival() float64 {
	if c.lastBatchAt > 0 && c.Now-c.lastBatchAt > 2*heartbeatInterval {
		return c.lastBatchAt
	}
	return c.Now
}

// Enqueue keeps a call for the end of the batch.
func (c *Controller) Enqueue(session *Session) { c.arrived = append(c.arrived, session) }

// ProcessBatch ends a batch: timers that are due run, then what came is offered to the module.
func (c *Controller) ProcessBatch(now float64, onTimers func()) {
	c.Now = now
	defer func() { c.lastBatchAt = now }()
	c.Timers.Run(now)
	if onTimers != nil {
		onTimers()
	}
	if len(c.arrived) == 0 {
		return
	}
	batch := c.arrived
	c.arrived = nil
	values := make([]float64, len(batch))
	for i, session := range batch {
		values[i] = session.Class.Weight
	}
	for i, ok := range c.LoadShedder.Take(now, values, c.pending) {
		if session := batch[i]; !ok {
			session.shed()
		} else if !session.Finished {
			session.accept()
		}
	}
}

// NextWakeup is when Batch is wanted, on the clock that was handed in.
func (c *Controller) NextWakeup() float64 {
	if len(c.arrived) > 0 {
		return c.Now
	}
	return math.Min(c.Timers.Next(), math.Max(c.lastBatchAt, c.Now)+heartbeatInterval)
}

// StopAdmitting lets no new call in; those held go on.
func (c *Controller) StopAdmitting() { c.stopped = true }

// InProgress is how many calls have no final answer yet, and how many stand.
func (c *Controller) InProgress() (pending, established int) {
	return c.pending + len(c.arrived), c.established
}

// AddEstablished counts calls that stand, or no longer.
func (c *Controller) AddEstablished(more int) { c.established += more }

// StartAttempt implements routing.Host: rules 2, 3 and 5 are the module's to keep, and whatever it asks, nothing that breaks
// one of them passes here. What is barred comes back as never sent.
func (c *Controller) StartAttempt(call *routing.Call, endpoint *routing.Endpoint, limit float64) {
	session := call.HostData.(*Session)
	off := &c.config.DisabledGuards
	blocked := !off[1] && (session.Finished || c.Now > call.Deadline) || !off[2] && session.HasAttempt() ||
		!off[3] && endpoint.State != routing.Ready || !off[5] && c.Now < session.holdOffUntil
	attempt := session.Tracker.Begin(endpoint, c.Now)
	c.Counts.Attempts++
	if blocked {
		c.Counts.Blocked++
	}
	if blocked || !session.SendSetup(attempt, math.Min(limit, call.Deadline-c.Now)) {
		c.Timers.Schedule(c.Now, func() { session.EndAttempt(attempt, routing.NotSent, false) })
	}
}

// Reject implements routing.Host.
func (c *Controller) Reject(call *routing.Call, retryAfter float64) {
	c.Counts.Rejected++
	call.HostData.(*Session).SendRejection(retryAfter)
}

// Fail implements routing.Host.
func (c *Controller) Fail(call *routing.Call) {
	c.Counts.Failed++
	call.HostData.(*Session).SendFailure()
}

// CancelAttempt implements routing.Host. The attempt's end comes when it is over at the switch: until then it is out.
func (c *Controller) CancelAttempt(attempt *routing.Attempt) {
	attempt.Call.HostData.(*Session).SendCancel(attempt)
}

// ScheduleWakeup implements routing.Host.
func (c *Controller) ScheduleWakeup(at float64, call *routing.Call) {
	c.Timers.Schedule(at, func() { c.Router.OnWakeup(c.Now, call) })
}
