// Package callcontrol is the call handling that gateways of all protocols share: it keeps each call until its final
// answer, passes it to the routing policy, and blocks every attempt that would break a rule. It has no I/O and no
// clock: the time is passed in, in milliseconds.
//
// Each of the five rules that concerns the protocol side is enforced in one place: rule 1 in (*Session).Finish,
// rules 2, 3 and 5 in (*Controller).StartAttempt, which every setup passes.
package callcontrol

import (
	"math"

	"cobaltpier/internal/decision/loadshed"
	"cobaltpier/internal/protocol/endpointset"
	"cobaltpier/internal/routing"
	"cobaltpier/internal/timerqueue"
)

//tally:decisions

// Counts are the counters of a gateway since its start.
type Counts struct {
	Accepted uint64 `json:"accepted"` // calls that were admitted
	Shed     uint64 `json:"shed"`     // calls that were not admitted
	Answered uint64 `json:"answered"` // calls that were established
	Rejected uint64 `json:"rejected"`
	Failed   uint64 `json:"failed"`
	HungUp   uint64 `json:"hung_up"` // calls whose callers hung up before the final answer
	Attempts uint64 `json:"attempts"`
	Overdue  uint64 `json:"overdue"` // calls that the policy had not answered by their deadline
	Blocked  uint64 `json:"blocked"` // attempts that would have broken a rule

	Lookups           uint64 `json:"lookups"`            // of called numbers
	Unrouted          uint64 `json:"unrouted"`           // numbers that the number table rejects
	EnquiriesAnswered uint64 `json:"enquiries_answered"` // ENUM queries answered with an endpoint
}

// Config is the configuration of a Controller.
type Config struct {
	Settings     *routing.Settings
	AnswerMargin float64 // ms by which final answers are sent before the caller's timeout ends
	LoadShedding loadshed.Gate
	// DisabledGuard is the rule whose guard is switched off; 0: none. It is only for tests, which verify that the
	// conformance checker detects what the guard prevents.
	DisabledGuard routing.Rule
}

// Controller manages the calls of one gateway.
type Controller struct {
	Counts      Counts
	Timers      timerqueue.Queue
	Router      routing.Policy
	Endpoints   *endpointset.Set[string]
	Classes     map[string]*routing.Class
	Tenants     map[string]*routing.Tenant
	LoadShedder loadshed.Gate
	Now         float64 // time of the latest event

	config      *Config
	arrived     []*Session // calls read since the latest batch
	pending     int        // calls without a final answer
	established int
	stopped     bool    // new calls are rejected
	lastBatchAt float64 // 0: none yet
}

// heartbeatInterval is the longest wait, in ms, that NextWakeup asks for. A much longer pause between batches shows
// that the process stalled.
const heartbeatInterval = 100.0

// New creates a controller; the caller sets its Router.
func New(cfg *Config) *Controller {
	c := &Controller{
		config:      cfg,
		LoadShedder: cfg.LoadShedding,
		Endpoints:   endpointset.New[string](),
		Classes:     map[string]*routing.Class{},
		Tenants:     map[string]*routing.Tenant{},
	}
	for _, class := range cfg.Settings.Classes {
		c.Classes[class.Name] = class
	}
	for _, tenant := range cfg.Settings.Tenants {
		c.Tenants[tenant.Name] = tenant
	}
	return c
}

// EarliestArrival returns the earliest time at which the events of this batch may have arrived. After a stall the
// process reads at once everything that arrived in the meantime, while the timeouts of the callers were running. This
// guards rule 1 against stalls of any cause. A call that arrived just at the end of a stall gets less time than its
// caller allows.
func (c *Controller) EarliestArrival() float64 {
	if c.lastBatchAt > 0 && c.Now-c.lastBatchAt > 2*heartbeatInterval {
		return c.lastBatchAt
	}
	return c.Now
}

// Enqueue adds a session to those that ProcessBatch admits or sheds.
func (c *Controller) Enqueue(session *Session) { c.arrived = append(c.arrived, session) }

// ProcessBatch ends a batch of events: it runs the timers that are due, then onTimers unless that is nil, and then
// admits or sheds the calls that arrived.
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
	weights := make([]float64, len(batch))
	for i, session := range batch {
		weights[i] = session.Class.Weight
	}
	for i, admitted := range c.LoadShedder.Admit(now, weights, c.pending) {
		if session := batch[i]; !admitted {
			session.shed()
		} else if !session.Finished {
			session.accept()
		}
	}
}

// NextWakeup returns when ProcessBatch must be called next.
func (c *Controller) NextWakeup() float64 {
	if len(c.arrived) > 0 {
		return c.Now
	}
	return math.Min(c.Timers.Next(), math.Max(c.lastBatchAt, c.Now)+heartbeatInterval)
}

// StopAdmitting rejects new calls from now on; pending and established calls continue.
func (c *Controller) StopAdmitting() { c.stopped = true }

// InProgress returns how many calls have no final answer yet, and how many are established.
func (c *Controller) InProgress() (pending, established int) {
	return c.pending + len(c.arrived), c.established
}

// AddEstablished changes the number of established calls.
func (c *Controller) AddEstablished(delta int) { c.established += delta }

// StartAttempt implements routing.Host. The policy is responsible for rules 2, 3 and 5; an attempt that would still
// break one of them, or rule 1, is blocked here and ends as not sent.
func (c *Controller) StartAttempt(call *routing.Call, endpoint *routing.Endpoint, timeout float64) {
	session := call.HostData.(*Session)
	blocked := c.breaksRule(session, endpoint)
	attempt := session.Begin(endpoint, c.Now)
	c.Counts.Attempts++
	if blocked {
		c.Counts.Blocked++
	}
	if blocked || !session.SendSetup(attempt, math.Min(timeout, call.Deadline-c.Now)) {
		c.Timers.Schedule(c.Now, func() { session.EndAttempt(attempt, routing.NotSent, false) })
	}
}

func (c *Controller) breaksRule(session *Session, endpoint *routing.Endpoint) bool {
	enforced := func(rule routing.Rule) bool { return c.config.DisabledGuard != rule }
	return enforced(routing.RuleOneAnswer) && (session.Finished || c.Now > session.Deadline) ||
		enforced(routing.RuleOneAttempt) && session.HasAttempt() ||
		enforced(routing.RuleDraining) && endpoint.State != routing.Ready ||
		enforced(routing.RuleHoldOff) && c.Now < session.holdOffUntil
}

// Reject implements routing.Host.
func (c *Controller) Reject(call *routing.Call, retryAfter float64) {
	call.HostData.(*Session).Reject(retryAfter)
}

// Fail implements routing.Host.
func (c *Controller) Fail(call *routing.Call) {
	c.Counts.Failed++
	call.HostData.(*Session).SendFailure()
}

// CancelAttempt implements routing.Host. The attempt remains in flight until it has ended at the endpoint.
func (c *Controller) CancelAttempt(attempt *routing.Attempt) {
	attempt.Call.HostData.(*Session).SendCancel(attempt)
}

// ScheduleWakeup implements routing.Host.
func (c *Controller) ScheduleWakeup(at float64, call *routing.Call) {
	c.Timers.Schedule(at, func() { c.Router.OnWakeup(c.Now, call) })
}
