package router

import (
	"slices"

	"cobaltpier/internal/routing"
)

// dispatch starts an attempt at the selected endpoint and takes its tokens.
func (r *Router) dispatch(call *routing.Call, selected **routing.Endpoint) stageResult {
	state := stateOf(*selected)
	state.slowStartTokens--
	state.tokens--
	state.sent.Add(r.now, 1)
	call.Attempts++
	r.host.StartAttempt(call, *selected, call.Deadline-r.now)
	state.inFlight = append(state.inFlight, call.InFlight)
	return pending
}

// onDispatchOutcome removes an attempt that is no longer in flight and updates the endpoint's liveness.
func (r *Router) onDispatchOutcome(attempt *routing.Attempt) {
	state := stateOf(attempt.Endpoint)
	if i := slices.Index(state.inFlight, attempt); i >= 0 {
		state.inFlight = slices.Delete(state.inFlight, i, i+1)
	}
	answered := attempt.Call.InFlight == attempt
	switch {
	case answered, attempt.Outcome == routing.Completed, attempt.Outcome == routing.Overloaded,
		attempt.Outcome == routing.Failed:
		r.markAlive(state)
	case attempt.Outcome == routing.ConnectionRefused:
		state.unanswered++
		state.connErrors++
	case attempt.Outcome == routing.Reset:
		state.connErrors++
	case !attempt.PresumedLost && attempt.Outcome != routing.NotSent && attempt.SentAt > state.startedAt:
		state.unanswered++
	}
	if answered && r.settings.CancelEnabled {
		r.cancelOvertaken(state, attempt.SentAt)
	}
}

// markAlive records that an endpoint answered. If it left attempts unanswered and reset or refused
// connections before, it is assumed to be a new process: it is in slow start, whatever the endpoint list
// says.
func (r *Router) markAlive(state *endpointState) {
	if state.unanswered > 0 && state.connErrors > 0 && r.now-state.startedAt > r.settings.SlowStartDuration {
		state.restart(r.now, r.now)
	}
	state.aliveAt = r.now
	state.unanswered = 0
	state.connErrors = 0
}

// cancelOvertaken cancels attempts that were sent well before one that is answered now. An endpoint processes
// attempts in order, so the older ones were lost and carry no information about its queueing delay. An
// attempt is only canceled if its caller has the time for another one.
func (r *Router) cancelOvertaken(state *endpointState, answeredSentAt float64) {
	for len(state.inFlight) > 0 && state.inFlight[0].SentAt < answeredSentAt-overtakenFraction*r.targetDelay {
		lost := state.inFlight[0]
		lost.PresumedLost = true
		state.lost.Add(r.now, 1)
		state.inFlight = state.inFlight[1:]
		if lost.Call.Class.Idempotent && r.mayRetry(lost.Call, r.now+r.settings.RetryHoldOff) {
			r.host.CancelAttempt(lost)
		}
	}
}
