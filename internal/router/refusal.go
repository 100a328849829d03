package router

import (
	"math"

	"cobaltpier/internal/routing"
)

// giveUp ends a call that can't be served in time. Its caller is told at once, and told when to come back:
// when the calls that wait now have been sent. A call that may have been executed, and must not be repeated,
// is failed: a rejection promises that a repeat is harmless.
func (r *Router) giveUp(call *routing.Call) stageResult {
	if !call.Class.Idempotent && call.MayHaveExecuted {
		r.offered.onUnserved(r.now, call)
		r.host.Fail(call)
		return finished
	}
	return r.reject(call, r.returnTime(call))
}

// reject answers a call as rejected and asks the caller to come back at a time, unless that is not in the
// future.
func (r *Router) reject(call *routing.Call, returnAt float64) stageResult {
	r.offered.onUnserved(r.now, call)
	r.host.Reject(call, r.retryAfter(returnAt))
	return finished
}

// RetryAfter implements routing.Policy.
func (r *Router) RetryAfter(now float64, call *routing.Call) float64 {
	r.setTime(now)
	return r.retryAfter(r.returnTime(call))
}

// retryAfter returns what a caller that should come back at a time is told: the pause until then, as far as
// the settings allow it, or 0 for no pause.
func (r *Router) retryAfter(returnAt float64) float64 {
	if !r.settings.RetryAfterEnabled {
		return 0
	}
	return math.Max(0, math.Min(returnAt-r.now, r.settings.MaxRetryAfter))
}

// returnTime returns when a caller that is refused now should come back: when the calls that wait for the
// same endpoints have been sent, which is the work ahead of it. Refused callers are spread from then on by
// the rate at which calls can be sent, so that they don't come back together; once the longest pause that
// callers accept is full, the spread begins again. It returns 0 if nothing can be sent, as no time is known
// then.
func (r *Router) returnTime(call *routing.Call) float64 {
	rate := r.sendRateFor(call.Class, math.Inf(1))
	if rate <= 0 {
		return 0
	}
	waiting := float64(1 + r.countWaiting(call.Class))
	drained := r.now + math.Max(0, waiting-r.attemptsUntil(call.Class, r.now))/rate
	latest := r.now + r.settings.MaxRetryAfter
	at := math.Max(drained, r.nextReturnAt)
	if at > latest {
		at = math.Min(drained, latest)
	}
	r.nextReturnAt = at + 1/rate
	return at
}

// waitingCount remembers how many queued calls wait for the endpoints of a class.
type waitingCount struct {
	class    *routing.Class
	count    int
	outdated bool // the queue has changed since
}

// countWaiting returns how many queued calls may use no endpoints but those that calls of a class may use.
func (r *Router) countWaiting(class *routing.Class) int {
	if r.waiting.class == class && !r.waiting.outdated {
		return r.waiting.count
	}
	r.waiting = waitingCount{class: class}
	for _, other := range r.queue {
		if usesOnly(other.Class, class) {
			r.waiting.count++
		}
	}
	return r.waiting.count
}
