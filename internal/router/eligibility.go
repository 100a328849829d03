package router

import (
	"math"

	"cobaltpier/internal/routing"
)

// checkEligibility keeps a call until it may be attempted. It fails a call that has no time or attempts left,
// and rejects one to a busy number.
func (r *Router) checkEligibility(call *routing.Call, _ **routing.Endpoint) stageResult {
	if call.Deadline-r.now <= r.settings.TickInterval || call.Attempts >= r.settings.MaxAttempts {
		return r.fail(call)
	}
	if call.RetryNotBefore > r.now {
		r.host.ScheduleWakeup(call.RetryNotBefore, call)
		return pending
	}
	if busy := r.busyNumbers[call.CalledNumber]; busy != nil {
		if r.now < busy.until {
			return r.reject(call)
		}
		busy.until = r.now + busyNumberPause // this call tests the number; others are rejected until its outcome
	}
	return proceed
}

// onEligibilityOutcome retries a call whose attempt was not answered, or fails it.
func (r *Router) onEligibilityOutcome(attempt *routing.Attempt) {
	call := attempt.Call
	answered := call.InFlight == attempt
	if answered {
		r.clearBusyNumber(call.CalledNumber)
		r.offered.onServed(call)
	}
	if answered || call.Finished {
		return
	}
	if attempt.NumberBusy && call.CalledNumber != "" {
		r.blockBusyNumber(call.CalledNumber)
	}
	call.MayHaveExecuted = call.MayHaveExecuted || attempt.Outcome.MayHaveExecuted()
	if needsHoldOff(attempt.Outcome) {
		call.RetryNotBefore = r.now + r.settings.RetryHoldOff // rule 5
	}
	if !r.mayRetry(call) {
		r.fail(call)
		return
	}
	r.advance(call, 0)
}

// mayRetry reports whether another attempt can still be answered in time and is safe to send: it must not
// execute a setup twice that is not idempotent.
func (r *Router) mayRetry(call *routing.Call) bool {
	earliest := math.Max(call.RetryNotBefore, r.now)
	return earliest+r.targetDelay <= call.ArrivedAt+call.Class.LatencyObjective &&
		earliest+2*queueInterval <= call.Deadline &&
		(call.Class.Idempotent || !call.MayHaveExecuted)
}

// needsHoldOff reports whether a retry after this outcome must wait for the hold-off (rule 5).
func needsHoldOff(outcome routing.Outcome) bool {
	return outcome == routing.TimedOut || outcome == routing.Reset || outcome == routing.Canceled
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

// fail answers a call as failed.
func (r *Router) fail(call *routing.Call) stageResult {
	r.offered.onUnserved(r.now, call)
	r.host.Fail(call)
	return finished
}
