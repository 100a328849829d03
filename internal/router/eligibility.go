package router

import (
	"math"

	"cobaltpier/internal/routing"
)

// checkEligibility keeps a call until it may be attempted. It gives up a call that can't be answered in the
// time that its caller has left, or has no attempts left, and rejects one to a busy number.
func (r *Router) checkEligibility(call *routing.Call, _ **routing.Endpoint) stageResult {
	timeLeft := call.Deadline - r.now
	tooLate := timeLeft <= r.settings.TickInterval || timeLeft < r.setupTime(call.Class, r.now)
	if tooLate || call.Attempts >= r.settings.MaxAttempts {
		return r.giveUp(call)
	}
	if call.RetryNotBefore > r.now {
		r.host.ScheduleWakeup(call.RetryNotBefore, call)
		return pending
	}
	if busy := r.busyNumbers[call.CalledNumber]; busy != nil {
		if r.now < busy.until {
			return r.reject(call, busy.until)
		}
		busy.until = r.now + busyNumberPause // this call tests the number; others are rejected until its outcome
	}
	return proceed
}

// onEligibilityOutcome retries a call whose attempt was not answered, or gives it up.
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
	if !r.mayRetry(call, math.Max(call.RetryNotBefore, r.now)) {
		r.giveUp(call)
		return
	}
	r.advance(call, 0)
}

// mayRetry reports whether another attempt at a time can still be answered before the call's deadline, and is
// safe to send: it must not execute a setup twice that is not idempotent.
func (r *Router) mayRetry(call *routing.Call, at float64) bool {
	return at+r.setupTime(call.Class, at) <= call.Deadline &&
		at+2*queueInterval <= call.Deadline && // rule 1: there is time for a final answer
		call.Attempts < r.settings.MaxAttempts &&
		(call.Class.Idempotent || !call.MayHaveExecuted)
}

// needsHoldOff reports whether a retry after this outcome must wait for the hold-off (rule 5).
func needsHoldOff(outcome routing.Outcome) bool {
	return outcome == routing.TimedOut || outcome == routing.Reset || outcome == routing.Canceled
}
