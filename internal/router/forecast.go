package router

import (
	"math"

	"cobaltpier/internal/decaysum"
	"cobaltpier/internal/routing"
)

// sendForecast describes how many tokens of an endpoint fall due: at the lesser of the present and the recent
// mean rate, as rates swing around what the endpoint takes. An endpoint whose queueing delay is above the
// target first works the excess off.
type sendForecast struct {
	earned   decaysum.Sum // tokens earned lately
	duration decaysum.Sum // and the ms in which they were
	rate     float64      // tokens a millisecond
	startsAt float64      // no tokens fall due before this
}

func newSendForecast() sendForecast {
	return sendForecast{earned: decaysum.New(rateWindow), duration: decaysum.New(rateWindow)}
}

// update records the rate at which tokens were earned up to now, the rate at which they will be without
// delay, and for how long none will be.
func (f *sendForecast) update(now, elapsed, earnedRate, rate, pause float64) {
	weight := math.Min(elapsed, rateWindow)
	f.earned.Add(now, weight*earnedRate)
	f.duration.Add(now, weight)
	f.startsAt = now + pause
	f.rate = rate
	if duration := f.duration.Read(now); duration > 0 {
		f.rate = math.Min(rate, f.earned.Read(now)/duration)
	}
}

// tokensUntil returns the tokens that fall due until a time.
func (f *sendForecast) tokensUntil(at float64) float64 { return f.rate * math.Max(0, at-f.startsAt) }

// attemptsUntil returns how many attempts an endpoint will take from this gateway until a time.
func (s *endpointState) attemptsUntil(at float64) float64 {
	return s.tokens + s.forecast.tokensUntil(at)
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

// sendRateFor returns how many calls of a class a millisecond this gateway can send from a time on.
func (r *Router) sendRateFor(class *routing.Class, from float64) float64 {
	total := 0.0
	for _, endpoint := range r.endpoints {
		if forecast := &stateOf(endpoint).forecast; usable(class, endpoint) && from >= forecast.startsAt {
			total += forecast.rate
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
// since. The rarer load updates are, the more of the endpoint's work is that of other gateways, and the
// slower both fade.
func (s *endpointState) answerTime(sentAt float64) float64 {
	minLatency := s.minLatencyOrZero()
	fading := 1000 / s.updateInterval
	toldDelay := math.Max(0, s.delay-fading*(sentAt-s.delayAt))
	return sentAt + math.Max(s.setups.at(sentAt, minLatency, fading), minLatency+toldDelay)
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
