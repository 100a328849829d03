package callcontrol

import (
	"cobaltpier/internal/protocol/attempts"
	"cobaltpier/internal/routing"
	"cobaltpier/internal/timerqueue"
)

// SignalingLeg is the protocol side of a call: it sends answers to the caller and setups to endpoints.
type SignalingLeg interface {
	// SendFailure sends the final answer "failed".
	SendFailure()
	// SendRejection sends the final answer "rejected"; a retryAfter above 0 asks the caller to wait that many ms.
	SendRejection(retryAfter float64)
	// SendShed sends the final answer to a call that was not admitted, as SendRejection does. No state of the call is
	// kept.
	SendShed(retryAfter float64)
	// OnAccepted reports that the call was admitted. It returns false if the call is not ready for the policy; then
	// Prepare is called.
	OnAccepted() bool
	// Prepare starts the work that a call needs before PassToRouter, such as a look-up of its number.
	Prepare()
	// HasAttempt reports whether an attempt of the call is in flight, or the call is established.
	HasAttempt() bool
	// SetupSent reports whether the setup of the attempt in flight may have reached its endpoint.
	SetupSent() bool
	// SendSetup sends the setup of an attempt, which times out after timeout ms; false: it can't be sent.
	SendSetup(attempt *routing.Attempt, timeout float64) bool
	// SendCancel cancels an attempt.
	SendCancel(attempt *routing.Attempt)
	// SendTrying sends the caller a provisional answer.
	SendTrying()
}

// Session is a call from its arrival until its final answer and its last attempt. Its call's HostData is the Session.
type Session struct {
	attempts.Tracker
	SignalingLeg
	Accepted         bool    // it was admitted
	WithRouter       bool    // it was passed to the policy
	TimeoutStart     float64 // when the caller's timeout began
	RequestedTimeout float64 // ms, as given by the caller; 0: not given

	controller    *Controller
	deadlineTimer *timerqueue.Timer
	holdOffUntil  float64 // rule 5: no attempt before this
}

// tryingDelay is the time, in ms, after which a caller without an answer gets a provisional one: at most 200
// (RFC 3261, 8.2.6.1).
const tryingDelay = 150

// NewSession creates the session of a call that has just been read; the caller of NewSession sets its SignalingLeg.
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

// SetDeadline sets the deadline from the timeout of the call's class, or from the caller's own if that is shorter.
func (s *Session) SetDeadline() {
	timeout := s.Class.Timeout
	if s.RequestedTimeout > 0 {
		timeout = min(timeout, s.RequestedTimeout)
	}
	s.Deadline = s.TimeoutStart + timeout - s.controller.config.AnswerMargin
}

// shed sends the final answer of a call that was not admitted.
func (s *Session) shed() {
	if s.Finished {
		return
	}
	s.controller.Counts.Shed++
	s.Finished = true
	s.SendShed(s.controller.Router.RetryAfter(s.controller.Now, s.Call))
}

// accept passes an admitted call to the policy, or first starts its preparation. After StopAdmitting it rejects the
// call.
func (s *Session) accept() {
	c := s.controller
	c.Counts.Accepted++
	c.pending++
	s.Accepted = true
	ready := s.OnAccepted()
	if c.stopped {
		s.Reject(0)
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

// Reject sends the final answer "rejected", which promises the caller that a retry is harmless. If a setup of the call
// may have been executed, and its class is not idempotent, that is not so: the answer is "failed" then.
func (s *Session) Reject(retryAfter float64) {
	if !s.Class.Idempotent && (s.MayHaveExecuted || s.SetupSent()) {
		s.controller.Counts.Failed++
		s.SendFailure()
		return
	}
	s.controller.Counts.Rejected++
	s.SendRejection(retryAfter)
}

// PassToRouter passes a call that is ready to the policy.
func (s *Session) PassToRouter() {
	s.WithRouter = true
	s.controller.Router.OnCall(s.controller.Now, s.Call)
}

// armDeadline schedules the provisional answer and a final one shortly after the deadline. The latter guards rule 1
// if the policy does not answer the call.
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

// Finish records the final answer of an admitted call; no other function does so. finished: the call is not
// established. It returns false if the call already has an answer; then this one must not be sent.
func (s *Session) Finish(finished bool) bool {
	if s.Finished || s.Established {
		return false
	}
	s.controller.pending--
	s.controller.Timers.Cancel(s.deadlineTimer)
	s.Finished = finished
	return true
}

// EndAttempt records the end of an attempt, unless it was recorded before, and reports it to the policy; finished:
// its call needs no further answer.
func (s *Session) EndAttempt(attempt *routing.Attempt, outcome routing.Outcome, finished bool) {
	if s.Ended(attempt) {
		return
	}
	c := s.controller
	if outcome == routing.TimedOut || outcome == routing.Reset || outcome == routing.Canceled {
		s.StartHoldOff()
	}
	s.MayHaveExecuted = s.MayHaveExecuted || outcome.MayHaveExecuted()
	s.RecordOutcome(attempt, outcome, c.Now-attempt.SentAt, finished || s.Finished)
	c.Router.OnAttemptEnd(c.Now, attempt, s.Finished)
}

// StartHoldOff begins the hold-off of rule 5, or begins it anew: an attempt has ended as timed out, reset or canceled,
// or the late answer to one was released at its endpoint.
func (s *Session) StartHoldOff() {
	s.holdOffUntil = s.controller.Now + s.controller.config.Settings.RetryHoldOff
	s.RetryNotBefore = max(s.RetryNotBefore, s.holdOffUntil)
}
