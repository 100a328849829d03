package router

import "math"

// setupEstimate estimates the time in which an endpoint answers setups from the latencies of earlier ones, as
// TCP estimates its retransmission time-out (RFC 6298): a smoothed mean, and a multiple of the mean
// deviation.
type setupEstimate struct {
	mean      float64 // ms
	deviation float64 // ms
	updatedAt float64
	samples   int
}

// The weights of a new sample, and the deviations above the mean within which nearly all setups are answered
// (RFC 6298, 2).
const (
	setupMeanGain      = 1.0 / 8
	setupDeviationGain = 1.0 / 4
	setupDeviations    = 4.0
)

// add adds a latency in ms.
func (e *setupEstimate) add(now, latency float64) {
	if e.samples == 0 {
		e.mean = latency
	} else {
		e.deviation += setupDeviationGain * (math.Abs(latency-e.mean) - e.deviation)
		e.mean += setupMeanGain * (latency - e.mean)
	}
	e.samples++
	e.updatedAt = now
}

// at returns the time in which a setup that is sent at a time is answered with near certainty, in ms;
// minLatency is the shortest that was seen. What lies above that is work that waited at the endpoint, which
// it has done since the latest sample: fading is the ms of it a millisecond, less than 1 where others keep
// the endpoint busy.
func (e *setupEstimate) at(sentAt, minLatency, fading float64) float64 {
	if e.samples == 0 {
		return 0
	}
	excess := e.mean + setupDeviations*e.deviation - minLatency - fading*(sentAt-e.updatedAt)
	return minLatency + math.Max(0, excess)
}
