// Package callcontrol is what all gateways do alike with their calls, whatever the protocol: it keeps each call until
// its final answer, hands it to the routing policy, and blocks every attempt that would break a rule. It has no I/O and
// no clock: the time is handed in, in milliseconds.
//
// What the five rules ask of the protocol side is kept in one place each: rule 1 in (*Session).Finish, rules 2, 3 and 5
// in (*Controller).StartAttempt, which every setup passes.
package callcontrol

import (
	"math"

	"cobaltpier/internal/decision/loadshed"
	"cobaltpier/internal/protocol/endpointset"
	"cobaltpier/internal/routing"
	"cobaltpier/internal/timerqueue"
)

//tally:decisions

// Counts are what a gateway has counted since its start.
type Counts struct {
	Accepted uint64 `json:"accepted"` // calls that were admitted
	Shed     uint64 `json:"shed"`     // calls that were not
	Answered uint64 `json:"answered"` // calls that were established
	Rejected uint64 `json:"rejected"`
	Failed   uint64 `json:"failed"`
	HungUp   uint64 `json:"hung_up"` // calls whose callers did not wait
	Attempts uint64 `json:"attempts"`
	Overdue  uint64 `json:"overdue"` // calls that the policy had not answered by their deadline
	Blocked  uint64 `json:"blocked"` // attempts that would have broken a rule

	Lookups           uint64 `json:"lookups"`            // of called numbers
	Unrouted          uint64 `json:"unrouted"`           // numbers that the number table refuses
	EnquiriesAnswered uint64 `json:"enquiries_answered"` // ENUM queries answered with an endpoint
}

// Config is the configuration of a Controller.
type Config struct {
	Settings     *routing.Settings
	AnswerMargin float64 // ms by which final answers are sent before the caller's timeout ends
	LoadShedding loadshed.Gate
	// DisabledGuard switches the guard of one rule off; 0: none. It only serves tests, which show that the conformance
	// checker sees what the guard prevents.
	DisabledGuard routing.Rule
}

// Controller keeps one gateway's calls.
type Controller struct {
	Counts      Counts
	Timers      timerqueue.Queue
	Router      routing.Policy
	Endpoints   *endpointset.Set[string]
	Classes     map[string]*routing.Class
	Tenants     map[string]*routing.Tenant
	LoadShedder loadshed.Gate
	Now         float64 // of the latest event

	config      *Config
	arrived     []*Session // since the latest batch
	pending     int        // calls without a final answer
	established int
	stopped     bool    // no call is admitted any more
	lastBatchAt float64 // 0: none yet
}

// heartbeatInterval is how often ProcessBatch is wanted when nothing is due, ms: longer pauses show a stall.
const heartbeatInterval = 100.0

// New makes a controller; the caller sets its Router.
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

// EarliestArrival is the earliest time at which the events of this batch may have arrived. A process that stalled reads
// at once what came meanwhile, while its callers' timeouts ran. It guards rule 1 against stalls of any cause; a call
// that came just at the end of a stall gets less time than its caller has.
func (c *Controller) EarliestArrival() float64 {
	if c.lastBatchAt > 0 && c.Now-c.lastBatchAt > 2*heartbeatInterval {
		return c.lastBatchAt
	}
	return c.Now
}

// Enqueue keeps a session for the end of the batch.
func (c *Controller) Enqueue(session *Session) { c.arrived = append(c.arrived, session) }

// ProcessBatch ends a batch of events: timers that are due run, then onTimers unless it is nil, then the calls that
// arrived are admitted or shed.
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

// NextWakeup is when ProcessBatch is wanted next.
func (c *Controller) NextWakeup() float64 {
	if len(c.arrived) > 0 {
		return c.Now
	}
	return math.Min(c.Timers.Next(), math.Max(c.lastBatchAt, c.Now)+heartbeatInterval)
}

// StopAdmitting rejects new calls from now on; pending and established ones go on.
func (c *Controller) StopAdmitting() { c.stopped = true }

// InProgress is how many calls have no final answer yet, and how many are established.
func (c *Controller) InProgress() (pending, established int) {
	return c.pending + len(c.arrived), c.established
}

// AddEstablished changes the number of established calls.
func (c *Controller) AddEstablished(delta int) { c.established += delta }

// StartAttempt implements routing.Host. Rules 2, 3 and 5 are the policy's to keep; whatever it asks, no attempt that
// breaks one of them passes here. A blocked attempt ends as not sent.
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
	c.Counts.Rejected++
	call.HostData.(*Session).SendRejection(retryAfter)
}

// Fail implements routing.Host.
func (c *Controller) Fail(call *routing.Call) {
	c.Counts.Failed++
	call.HostData.(*Session).SendFailure()
}

// CancelAttempt implements routing.Host. The attempt stays in flight until it has ended at the endpoint.
func (c *Controller) CancelAttempt(attempt *routing.Attempt) {
	attempt.Call.HostData.(*Session).SendCancel(attempt)
}

// ScheduleWakeup implements routing.Host.
func (c *Controller) ScheduleWakeup(at float64, call *routing.Call) {
	c.Timers.Schedule(at, func() { c.Router.OnWakeup(c.Now, call) })
}
