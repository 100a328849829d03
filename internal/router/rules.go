package router

import (
	"math"

	"cobaltpier/internal/routing"
)

// enforceRules is the last check before an attempt is sent: a call that breaks a rule is rejected.
func (r *Router) enforceRules(call *routing.Call, selected **routing.Endpoint) stageResult {
	if !r.rulesAllow(call, *selected) {
		return r.giveUp(call)
	}
	return proceed
}

// rulesAllow reports whether the five rules and the settings allow an attempt of a call at an endpoint now.
func (r *Router) rulesAllow(call *routing.Call, endpoint *routing.Endpoint) bool {
	return !call.Finished && call.Deadline > r.now && // rule 1: one final answer, in time
		call.InFlight == nil && // rule 2: one attempt at a time
		usable(call.Class, endpoint) && // rule 3, without use of the grace period
		call.RetryNotBefore <= r.now && // rule 5: hold-off
		call.Attempts < r.settings.MaxAttempts &&
		(call.Class.Idempotent || !call.MayHaveExecuted) &&
		r.slowStartAllows(endpoint) // rule 4
}

// slowStartAllows implements rule 4: it reports whether this gateway may send an endpoint an attempt now. All
// gateways together keep the rule if each sends no more than the permitted multiple of its own part of the
// endpoint's normal load, scaled down to the endpoint's capacity at its age. That load is estimated from the
// first tries of callers, which do not stop when endpoints fail. A token expires after a short time and
// becomes available at a random moment. The unexpired tokens of all gateways together therefore never exceed
// the budget of that time, however many gateways there are and however long nothing was sent.
func (r *Router) slowStartAllows(endpoint *routing.Endpoint) bool {
	state := stateOf(endpoint)
	age := r.now - state.startedAt
	if age >= r.settings.SlowStartDuration || r.settings.OverloadFactor <= 0 {
		state.slowStartRefilledAt = r.now
		return true
	}
	rate := r.slowStartRate(endpoint, age)
	// The send rate must not jump when slow start ends.
	state.sendRate = math.Max(r.evenShare(minSendRate), math.Min(state.sendRate, 2*rate))
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

// slowStartRate returns how many attempts a millisecond this gateway may send to an endpoint in slow start.
func (r *Router) slowStartRate(endpoint *routing.Endpoint, age float64) float64 {
	state := stateOf(endpoint)
	initial := r.settings.SlowStartFraction
	ramp := initial + (1-initial)*math.Max(0, age)/r.settings.SlowStartDuration
	safety := slowStartSafety
	answersPromptly := state.expectedDelay(r.now, r.stalledFor) < lightLoadFraction*r.targetDelay
	if state.latencyAt > state.startedAt && answersPromptly {
		safety = slowStartProvenSafety
	}
	return r.offered.rate(r.now) * r.capacityShare(endpoint) * safety * r.settings.OverloadFactor * ramp
}

// fraction returns the fractional part of a value.
func fraction(value float64) float64 { return value - math.Floor(value) }
