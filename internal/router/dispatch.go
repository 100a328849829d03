package router

import (
	"slices"

	"cobaltpier/internal/routing"
)

// dispatch starts the attempt.
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

// onDispatchOutcome removes an attempt that is no longer in flight and follows the endpoint's liveness.
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

// markAlive notes that an endpoint answered. One that left attempts unanswered, and reset or refused
// connections, is a new process when it answers again: it is in slow start, whatever the endpoint list says.
func (r *Router) markAlive(state *endpointState) {
	if state.unanswered > 0 && state.connErrors > 0 && r.now-state.startedAt > r.settings.SlowStartDuration {
		state.restart(r.now, r.now)
	}
	state.aliveAt = r.now
	state.unanswered = 0
	state.connErrors = 0
}

// cancelOvertaken gives up attempts that were sent well before one that is answered: an endpoint takes them
// in order, so these were lost, and say nothing about its queueing delay.
func (r *Router) cancelOvertaken(state *endpointState, answeredSentAt float64) {
	for len(state.inFlight) > 0 && state.inFlight[0].SentAt < answeredSentAt-overtakenFraction*r.delayObjective {
		lost := state.inFlight[0]
		lost.PresumedLost = true
		state.lost.Add(r.now, 1)
		state.inFlight = state.inFlight[1:]
		if r.canMeetObjective(lost.Call) {
			r.host.CancelAttempt(lost)
		}
	}
}

// canMeetObjective tells whether a call whose attempt is canceled now could still be answered in time
// elsewhere.
func (r *Router) canMeetObjective(call *routing.Call) bool {
	return r.now+r.settings.RetryHoldOff+r.delayObjective < call.ArrivedAt+call.Class.LatencyObjective
}
