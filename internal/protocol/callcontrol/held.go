package callcontrol

import (
	"cobaltpier/internal/protocol/endpointset"
	"cobaltpier/internal/routing"
	"cobaltpier/internal/timerqueue"
)

// SignalingLeg is whoever wants an answer for a call, and the way its attempts go out.
type SignalingLeg interface {
	// SendFailure sends the final answer "failed".
	SendFailure()
	// SendRejection sends the module's "refused": come back, after wait ms if that is above 0.
	SendRejection(wait float64)
	// SendShed sends the answer of the intake, which keeps no state.
	SendShed()
	// OnAccepted says that the intake has taken the call; false: Prepare comes first, and offers it.
	OnAccepted() bool
	// Prepare does what a call that was not ready needs before the module gets it.
	Prepare()
	// HasAttempt tells whether an attempt of the call is out.
	HasAttempt() bool
	// SendSetup sends an attempt; false: it can't be sent.
	SendSetup(r *routing.Attempt, limit float64) bool
	// SendCancel calls an attempt off.
	SendCancel(r *routing.Attempt)
	// SendTrying tells that the call is looked at.
	SendTrying()
}

// Session is a call as a gateway holds it till its final answer, whoever asked. Its call's ID is the Held.
type Session struct {
	endpointset.Tracker
	SignalingLeg
	Accepted         bool    // by the intake
	WithRouter       bool    // the module has it
	TimeoutStart     float64 // its timeout counts from here
	RequestedTimeout float64 // what the caller said of its timeout, 0: nothing

	controller    *Controller
	deadlineTimer *timerqueue.Timer
	holdOffUntil  float64 // rule 5: no send before this
}

// NewSession makes a call of this gateway.
func (c *Controller) NewSession(call *routing.Call, requestedTimeout float64) *Session {
	session := &Session{Tracker: endpointset.Tracker{Call: call}, controller: c, TimeoutStart: c.EarliestArrival(), RequestedTimeout: requestedTimeout}
	call.HostData = session
	return session
}

// SetDeadline is how long the caller of a call of its class waits, no longer than it says itself.
func (session *Session) SetDeadline() {
	p := session.Class.Timeout
	if session.RequestedTimeout > 0 {
		p = min(p, session.RequestedTimeout)
	}
	session.Deadline = session.TimeoutStart + p - session.controller.config.AnswerMargin
}

// shed refuses what the intake does not take.
func (session *Session) shed() {
	if session.Finished {
		return
	}
	session.controller.Counts.Shed++
	session.Finished = true
	session.SendShed()
}

// accept hands a call that the intake has let in to the module, or lets its door prepare it first.
func (session *Session) accept() {
	c := session.controller
	c.Counts.Accepted++
	c.pending++
	session.Accepted = true
	ready := session.OnAccepted()
	if c.stopped {
		c.Counts.Rejected++
		session.SendRejection(0)
		return
	}
	if ready {
		session.PassToRouter()
	}
	if !session.Finished && !session.Established {
		session.armDeadline()
	}
	if !ready {
		session.Prepare()
	}
}

// PassToRouter hands a call whose route is known to the module.
func (session *Session) PassToRouter() {
	session.WithRouter = true
	session.controller.Router.OnCall(session.controller.Now, session.Call)
}

// armDeadline sees to it that the caller hears something soon, and has its answer whatever happens.
func (session *Session) armDeadline() {
	c := session.controller
	session.deadlineTimer = c.Timers.Schedule(c.Now+tryingDelay, func() {
		session.SendTrying()
		// Rule 1 holds whatever the module does: a call that is forgotten is answered here.
		session.deadlineTimer = c.Timers.Schedule(session.Deadline+c.config.Settings.AnswerGrace/2, func() {
			c.Counts.Overdue++
			c.Fail(session.Call)
		})
	})
}

// tryingDelay is when a caller that heard nothing is told that its call is looked at: 200 ms at most (RFC 3261 8.2.6.1), ms.
const tryingDelay = 150

// Finish notes a final answer, the one place that does so for a call that was taken; over: it does not stand. False:
// it has one already, and this one must not leave.
func (session *Session) Finish(finished bool) bool {
	if session.Finished || session.Established {
		return false
	}
	session.controller.pending--
	session.controller.Timers.Cancel(session.deadlineTimer)
	session.Finished = finished
	return true
}

// EndAttempt notes an attempt's end and tells the module.
func (session *Session) EndAttempt(attempt *routing.Attempt, outcome routing.Outcome, answered bool) {
	c := session.controller
	if session.Tracker.Log[attempt.HostData.(int)] == nil {
		return
	}
	if outcome == routing.TimedOut || outcome == routing.Reset || outcome == routing.Canceled {
		session.holdOffUntil = c.Now + c.config.Settings.RetryHoldOff
	}
	session.RecordOutcome(attempt, outcome, c.Now-attempt.SentAt, answered || session.Finished)
	c.Router.OnAttemptEnd(c.Now, attempt, session.Finished)
}
