package router

import (
	"math"

	"cobaltpier/internal/routing"
)

// sendForecast describes how the tokens of an endpoint develop. An endpoint whose queueing delay is above the
// target first works the excess off. From then on the send rate grows while there is headroom, up to its
// limit, and else stays.
type sendForecast struct {
	startsAt  float64 // no tokens are earned before this
	rate      float64 // tokens earned a millisecond, at startsAt
	rateLimit float64 // and at most
	growth    float64 // relative growth of rate a millisecond, 0 or more
}

// tokensWithin returns the tokens that are earned within a time after startsAt.
func (f *sendForecast) tokensWithin(duration float64) float64 {
	if duration <= 0 {
		return 0
	}
	if f.growth <= 0 || f.rate >= f.rateLimit {
		return f.rate * duration
	}
	growing := math.Min(duration, math.Log(f.rateLimit/f.rate)/f.growth)
	return f.rate/f.growth*(math.Exp(f.growth*growing)-1) + f.rateLimit*(duration-growing)
}

// attemptsUntil returns how many attempts an endpoint will take from this gateway until a time.
func (s *endpointState) attemptsUntil(at float64) float64 {
	return s.tokens + s.forecast.tokensWithin(at-math.Max(s.forecast.startsAt, s.pausedUntil))
}

// attemptsUntil returns how many calls of a class this gateway can send until a time. Parts of tokens of
// several endpoints add up here, so that it is at most one call an endpoint too many, and never too few.
func (r *Router) attemptsUntil(class *routing.Class, at float64) float64 {
	total := 0.0
	for _, endpoint := range r.endpoints {
		if usable(class, endpoint) {
			total += stateOf(endpoint).attemptsUntil(at)
		}
	}
	return total
}

// sendRateFor returns how many calls of a class a millisecond this gateway can send from a time on, if the
// rates do not grow.
func (r *Router) sendRateFor(class *routing.Class, from float64) float64 {
	total := 0.0
	for _, endpoint := range r.endpoints {
		state := stateOf(endpoint)
		if usable(class, endpoint) && from >= math.Max(state.forecast.startsAt, state.pausedUntil) {
			total += state.forecast.rate
		}
	}
	return total
}

// usable reports whether an endpoint takes calls, and calls of this class may be sent there.
func usable(class *routing.Class, endpoint *routing.Endpoint) bool {
	return endpoint.State == routing.Ready &&
		(class.AllowedDestinations == nil || class.AllowedDestinations[endpoint.DestinationID])
}

// answerTime returns when an endpoint will have answered a setup that is sent to it at a time: by the
// latencies of earlier setups, or by the queueing delay that was told by other means, less what it has done
// since.
func (s *endpointState) answerTime(sentAt float64) float64 {
	minLatency := s.minLatencyOrZero()
	toldDelay := math.Max(0, s.delay-(sentAt-s.delayAt))
	return sentAt + math.Max(s.setups.at(sentAt, minLatency), minLatency+toldDelay)
}

// setupTime returns the least time from sending a call of a class at a time until it is answered.
func (r *Router) setupTime(class *routing.Class, sentAt float64) float64 {
	least := math.Inf(1)
	for _, endpoint := range r.endpoints {
		if usable(class, endpoint) {
			least = math.Min(least, stateOf(endpoint).answerTime(sentAt)-sentAt)
		}
	}
	if math.IsInf(least, 1) {
		return 0 // no endpoint: nothing is known of the time that it takes
	}
	return least
}
