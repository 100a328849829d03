package router

import (
	"math"

	"cobaltpier/internal/routing"
)

// enforceRules is the last check of every attempt.
func (r *Router) enforceRules(call *routing.Call, selected **routing.Endpoint) stageResult {
	if !r.rulesAllow(call, *selected) {
		return r.reject(call)
	}
	return proceed
}

// rulesAllow tells whether the five rules and the settings allow an attempt of a call at an endpoint now.
func (r *Router) rulesAllow(call *routing.Call, endpoint *routing.Endpoint) bool {
	return !call.Finished && call.Deadline > r.now && // rule 1: one final answer, in time
		call.InFlight == nil && // rule 2: one attempt at a time
		endpoint.State == routing.Ready && // rule 3: at once, not only after the grace
		call.RetryNotBefore <= r.now && // rule 5: hold-off
		call.Attempts < r.settings.MaxAttempts &&
		(call.Class.Idempotent || !call.MayHaveExecuted) &&
		(call.Class.AllowedDestinations == nil || call.Class.AllowedDestinations[endpoint.DestinationID]) &&
		r.slowStartAllows(endpoint) // rule 4
}

// slowStartAllows keeps rule 4: it tells whether this gateway may send an endpoint an attempt now. All
// gateways together keep the rule if each sends no more than the permitted multiple of its own part of the
// endpoint's normal load, scaled down to what the endpoint can do at its age. First tries of callers stand
// for that load, since they do not fall to nothing together with the endpoints. A token is good for a short
// time and falls due at a random moment. So all gateways together hold no more than that time's budget,
// however many they are and however long nothing was sent.
func (r *Router) slowStartAllows(endpoint *routing.Endpoint) bool {
	state := stateOf(endpoint)
	age := r.now - state.startedAt
	if age >= r.settings.SlowStartDuration || r.settings.OverloadFactor <= 0 {
		state.slowStartRefilledAt = r.now
		return true
	}
	rate := r.slowStartRate(endpoint, age)
	state.sendRate = math.Max(r.evenShare(minSendRate), math.Min(state.sendRate, 2*rate)) // no jump at the end
	state.slowStartTokens += rate * (r.now - state.slowStartRefilledAt)
	state.slowStartRefilledAt = r.now
	tokenLimit := rate * r.settings.OverloadWindow * slowStartTokenLifetime
	if tokenLimit >= 1 {
		state.slowStartTokens = math.Min(state.slowStartTokens, 1+tokenLimit)
		return state.slowStartTokens >= 1
	}
	if state.slowStartTokens >= 2 {
		state.slowStartTokens = 1 + fraction(state.slowStartTokens)
	}
	return state.slowStartTokens >= 1 && state.slowStartTokens < 1+tokenLimit
}

// slowStartRate is the attempts a millisecond that this gateway may send to an endpoint in slow start.
func (r *Router) slowStartRate(endpoint *routing.Endpoint, age float64) float64 {
	state := stateOf(endpoint)
	initial := r.settings.SlowStartFraction
	capacityFraction := initial + (1-initial)*math.Max(0, age)/r.settings.SlowStartDuration
	safety := slowStartSafety
	answersPromptly := state.expectedDelay(r.now, r.stalledFor) < lightLoadFraction*r.delayObjective
	if state.latencyAt > state.startedAt && answersPromptly {
		safety = slowStartProvenSafety
	}
	return r.arrivals.Rate(r.now) * r.capacityShare(endpoint) * safety * r.settings.OverloadFactor * capacityFraction
}

// fraction is the part of a number after the decimal point.
func fraction(value float64) float64 { return value - math.Floor(value) }
