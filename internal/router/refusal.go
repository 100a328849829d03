package router

import (
	"math"

	"cobaltpier/internal/routing"
)

// giveUp ends a call that can't be served in time. Its caller is told at once. A call that may have been
// executed, and must not be repeated, is failed: a rejection promises that a repeat is harmless.
func (r *Router) giveUp(call *routing.Call) stageResult {
	if !call.Class.Idempotent && call.MayHaveExecuted {
		r.offered.onUnserved(r.now, call)
		r.host.Fail(call)
		return finished
	}
	return r.reject(call)
}

// reject answers a call as rejected. If a retry can still be in time, the answer tells the caller when to
// retry, which is sooner than it would on its own.
func (r *Router) reject(call *routing.Call) stageResult {
	r.offered.onUnserved(r.now, call)
	objective := call.Class.LatencyObjective
	pause := retryAfterFraction * objective
	retryAfter := 0.0
	if r.settings.RetryAfterEnabled && r.now+pause+r.targetDelay < call.ArrivedAt+objective {
		retryAfter = math.Min(pause, r.settings.MaxRetryAfter)
	}
	r.host.Reject(call, retryAfter)
	return finished
}
