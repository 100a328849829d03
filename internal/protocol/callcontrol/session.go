package callcontrol

import (
	"cobaltpier/internal/protocol/attempts"
	"cobaltpier/internal/routing"
	"cobaltpier/internal/timerqueue"
)

// SignalingLeg is the protocol side of a call: it sends answers to whoever wants one, and setups to endpoints.
type SignalingLeg interface {
	// SendFailure sends the final answer "failed".
	SendFailure()
	// SendRejection sends the final answer "rejected"; a retryAfter above 0 asks the caller to stay away for so many ms.
	SendRejection(retryAfter float64)
	// SendShed sends the final answer to a call that was not admitted. No state of the call is kept.
	SendShed()
	// OnAccepted reports that the call was admitted; false: it is not ready for the policy, and Prepare follows.
	OnAccepted() bool
	// Prepare starts what a call needs before PassToRouter, such as a look-up of its number.
	Prepare()
	// HasAttempt tells whether an attempt of the call is in flight, or the call is established.
	HasAttempt() bool
	// SendSetup sends the setup of an attempt and gives up after timeout ms; false: it can't be sent.
	SendSetup(attempt *routing.Attempt, timeout float64) bool
	// SendCancel gives up an attempt.
	SendCancel(attempt *routing.Attempt)
	// SendTrying tells the caller that its call is being worked on.
	SendTrying()
}

// Session is a call from its arrival until its final answer and its last attempt. Its call's HostData is the Session.
type Session struct {
	attempts.Tracker
	SignalingLeg
	Accepted         bool    // it was admitted
	WithRouter       bool    // the policy has it
	TimeoutStart     float64 // when the caller's timeout began
	RequestedTimeout float64 // ms that the caller asked for; 0: nothing

	controller    *Controller
	deadlineTimer *timerqueue.Timer
	holdOffUntil  float64 // rule 5: no attempt before this
}

// tryingDelay is when a caller that heard nothing gets a provisional answer, ms: 200 at most (RFC 3261, 8.2.6.1).
const tryingDelay = 150

// NewSession makes the session of a call that has just been read; its protocol side is set by the caller.
func (c *Controller) NewSession(call *routing.Call, requestedTimeout float64) *Session {
	session := &Session{
		Tracker:          attempts.Tracker{Call: call},
		controller:       c,
		TimeoutStart:     c.EarliestArrival(),
		RequestedTimeout: requestedTimeout,
	}
	call.HostData = session
	return session
}

// SetDeadline sets the deadline by the timeout of the call's class, or by the caller's own where that is shorter.
func (s *Session) SetDeadline() {
	timeout := s.Class.Timeout
	if s.RequestedTimeout > 0 {
		timeout = min(timeout, s.RequestedTimeout)
	}
	s.Deadline = s.TimeoutStart + timeout - s.controller.config.AnswerMargin
}

// shed answers a call that was not admitted.
func (s *Session) shed() {
	if s.Finished {
		return
	}
	s.controller.Counts.Shed++
	s.Finished = true
	s.SendShed()
}

// accept hands a call that was admitted to the policy, or has it prepared first.
func (s *Session) accept() {
	c := s.controller
	c.Counts.Accepted++
	c.pending++
	s.Accepted = true
	ready := s.OnAccepted()
	if c.stopped {
		c.Counts.Rejected++
		s.SendRejection(0)
		return
	}
	if ready {
		s.PassToRouter()
	}
	if !s.Finished && !s.Established {
		s.armDeadline()
	}
	if !ready {
		s.Prepare()
	}
}

// PassToRouter hands a call that is ready to the policy.
func (s *Session) PassToRouter() {
	s.WithRouter = true
	s.controller.Router.OnCall(s.controller.Now, s.Call)
}

// armDeadline has the caller hear something soon, and guards rule 1: a call that the policy forgets is answered here.
func (s *Session) armDeadline() {
	c := s.controller
	s.deadlineTimer = c.Timers.Schedule(c.Now+tryingDelay, func() {
		s.SendTrying()
		s.deadlineTimer = c.Timers.Schedule(s.Deadline+c.config.Settings.AnswerGrace/2, func() {
			c.Counts.Overdue++
			c.Fail(s.Call)
		})
	})
}

// Finish records the final answer of a call that was admitted, the one place that does so; finished: the call is not
// established. False: it has an answer already, and this one must not be sent.
func (s *Session) Finish(finished bool) bool {
	if s.Finished || s.Established {
		return false
	}
	s.controller.pending--
	s.controller.Timers.Cancel(s.deadlineTimer)
	s.Finished = finished
	return true
}

// EndAttempt records the end of an attempt, unless that was done, and reports it to the policy; finished: its call
// needs no answer any more.
func (s *Session) EndAttempt(attempt *routing.Attempt, outcome routing.Outcome, finished bool) {
	if s.Ended(attempt) {
		return
	}
	c := s.controller
	if outcome == routing.TimedOut || outcome == routing.Reset || outcome == routing.Canceled {
		s.holdOffUntil = c.Now + c.config.Settings.RetryHoldOff
	}
	s.RecordOutcome(attempt, outcome, c.Now-attempt.SentAt, finished || s.Finished)
	c.Router.OnAttemptEnd(c.Now, attempt, s.Finished)
}
