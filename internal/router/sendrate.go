package router

import (
	"math"
	"slices"

	"cobaltpier/internal/routing"
)

// anyCapacity reports whether a call can be sent to some endpoint now.
func (r *Router) anyCapacity(call *routing.Call) bool {
	return slices.ContainsFunc(r.endpoints, func(e *routing.Endpoint) bool { return r.isSelectable(call, e) })
}

// hasCapacity reports whether an endpoint has capacity for a call: the rules allow the attempt, the
// endpoint is not known to be full, it can answer before the call's deadline, and its send rate has a token.
func (r *Router) hasCapacity(call *routing.Call, endpoint *routing.Endpoint) bool {
	state := stateOf(endpoint)
	if !r.rulesAllow(call, endpoint) || state.atCapacity || state.answerTime(r.now) > call.Deadline {
		return false
	}
	r.updateSendRate(endpoint)
	if !r.takesAttempts(state) {
		return false
	}
	if endpoint == call.Destination {
		return r.hasDestinationToken(endpoint)
	}
	// For other calls a token is valid only for a short time. Otherwise, when a large endpoint fails, all
	// gateways would spend their accumulated tokens at once on the few endpoints with capacity.
	return state.tokens >= 1 &&
		(state.tokens < 1+state.sendRate*tokenLifetime || state.sendRate*tokenLifetime >= 1)
}

// takesAttempts reports whether an endpoint takes attempts, as far as its answers tell: it has free agents,
// is not paused, and answers. One that does not answer is tested by one attempt at a time.
func (r *Router) takesAttempts(state *endpointState) bool {
	unresponsive := state.unanswered > 1
	beingTested := len(state.inFlight) > 0 || r.now-state.aliveAt < probeInterval
	return !state.atCapacity && r.now >= state.pausedUntil && (!unresponsive || !beingTested)
}

// hasDestinationToken reports whether the send rate of an endpoint allows an attempt of a call to this
// destination.
func (r *Router) hasDestinationToken(endpoint *routing.Endpoint) bool {
	tokens := stateOf(endpoint).tokens
	return tokens >= 1 || tokens >= 1-destinationCredit && r.hasLightLoad(endpoint)
}

// anyEndpointOpen reports whether any endpoint may have capacity for some call. If not, no queued call needs
// a closer look.
func (r *Router) anyEndpointOpen() bool {
	return slices.ContainsFunc(r.endpoints, func(endpoint *routing.Endpoint) bool {
		return endpoint.State == routing.Ready &&
			r.takesAttempts(stateOf(endpoint)) &&
			r.hasDestinationToken(endpoint)
	})
}

// hasLightLoad reports whether an endpoint is far from congestion by every indicator known here.
func (r *Router) hasLightLoad(endpoint *routing.Endpoint) bool {
	state := stateOf(endpoint)
	return r.stalledFor == 0 &&
		state.expectedDelay(r.now, 0) < lightLoadFraction*r.targetDelay &&
		capacityPressure(endpoint) < lightLoadFraction &&
		state.sendRate >= state.rateBeforeCongestion/2
}

// updateSendRates updates the send rates of all endpoints.
func (r *Router) updateSendRates() {
	for _, endpoint := range r.endpoints {
		if endpoint.State == routing.Ready {
			r.updateSendRate(endpoint)
		}
	}
}

// updateSendRate updates an endpoint's send rate and tokens. The rate falls while the queueing delay there
// is above the target, and grows otherwise. Gateways that all do so share an endpoint without
// coordination and without stopping and starting in step. This guards against long queues of any cause:
// overload, slow processors, other work on them, traffic that concentrates on one endpoint. The rate grows
// more slowly the rarer load updates of the endpoint are, as with hundreds of gateways: otherwise each
// gateway would be back at full rate before its next sample. Congestion lowers the rate at once, however
// rare updates are.
func (r *Router) updateSendRate(endpoint *routing.Endpoint) {
	state := stateOf(endpoint)
	elapsed := math.Max(0, r.now-math.Max(state.refilledAt, state.pausedUntil)) // a pause earns no tokens
	state.refilledAt = r.now
	delayRatio := state.expectedDelay(r.now, r.stalledFor) / r.targetDelay
	headroom := math.Max(minHeadroom, 1-math.Max(delayRatio, capacityPressure(endpoint)))
	growth := state.rateChange(headroom)
	share := r.shareOf(endpoint)
	sent := state.sent.Read(r.now)
	// Subtract one standard deviation: a small count may be chance.
	limit := math.Max(maxOverRecentRate*(sent-math.Sqrt(sent))/rateWindow, maxEvenShares*share)
	rate := math.Min(limit, math.Min(limit, state.sendRate)*math.Exp(headroom*growth*elapsed))
	state.sendRate = math.Max(rate, math.Max(r.evenShare(minSendRate), minEvenShares*share))
	earned := 1 + immediateCorrection*headroom
	excessDelay := math.Max(0, delayRatio-1) * r.targetDelay
	state.forecast.update(r.now, elapsed, earned*state.sendRate, math.Max(1, earned)*state.sendRate,
		math.Max(excessDelay, state.pausedUntil-r.now))
	state.tokens += elapsed * earned * state.sendRate
	if state.tokens > 2 && state.sendRate*tokenLifetime < 1 {
		state.tokens = 1 + fraction(state.tokens)
		return
	}
	state.tokens = math.Min(1+math.Max(1, state.sendRate*r.targetDelay), state.tokens)
}

// rateChange returns the rate of change of the send rate, per millisecond, at a headroom of 1 or -1. When
// congestion begins it records the send rate.
func (s *endpointState) rateChange(headroom float64) float64 {
	if headroom < 0 && !s.congested {
		s.rateBeforeCongestion = s.sendRate
	}
	s.congested = headroom < 0
	switch {
	case s.congested:
		return rateDecline / 1000
	case s.sendRate < s.rateBeforeCongestion/2:
		return rateRecovery / s.updateInterval
	}
	return rateGrowth / s.updateInterval
}

// shareOf returns this gateway's share of an endpoint's capacity in attempts a millisecond: an even share, or
// more if this gateway receives more calls than others.
func (r *Router) shareOf(endpoint *routing.Endpoint) float64 {
	if !(endpoint.LoadReport.Capacity > 0) && !(endpoint.LoadReport.RateLimit >= 0) {
		return 1 / r.targetDelay // its capacity is unknown
	}
	return math.Max(r.evenShare(r.callCapacity(endpoint)/1000), r.offered.rate(r.now)*r.capacityShare(endpoint))
}

// evenShare returns this gateway's part of a total that is divided evenly among all gateways.
func (r *Router) evenShare(total float64) float64 {
	return total / float64(max(1, r.settings.Gateways))
}

// capacityPressure returns how close an endpoint's agents are to exhaustion, from 0 to 2; it is 1 when half
// of a small reserve is free. The reported value is delayed and the same at all gateways, so it limits the
// send rate: without that, all gateways would race for the last agents.
func capacityPressure(endpoint *routing.Endpoint) float64 {
	report := &endpoint.LoadReport
	if !(report.Capacity > 0) || math.IsNaN(report.Free) {
		return 0
	}
	return math.Max(0, 2-2*report.Free/math.Max(minReserve, reserveFraction*report.Capacity))
}
