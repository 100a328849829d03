package router

import (
	"math"

	"cobaltpier/internal/routing"
)

// onSelectionOutcome learns the state of an endpoint from the outcome of an attempt.
func (r *Router) onSelectionOutcome(attempt *routing.Attempt) {
	state := stateOf(attempt.Endpoint)
	answered := attempt.Call.InFlight == attempt
	r.countConcluded(state, attempt, answered)
	switch {
	case answered:
		r.learnFromAnswer(state, attempt.Latency)
		return
	case attempt.Outcome == routing.Overloaded && attempt.AtCapacity:
		state.atCapacity = true
		attempt.Endpoint.LoadReport.Free = 0
		return // the load report that came with it is older than that
	case attempt.Outcome == routing.Canceled, attempt.Outcome == routing.TimedOut:
		r.learnFromTimeout(state, attempt)
	case attempt.Outcome == routing.Overloaded:
		r.pauseOverloaded(state, attempt.RetryAfter)
	case attempt.Outcome == routing.ConnectionRefused:
		state.delay, state.delayAt = maxDelayFactor*r.delayObjective, r.now
	}
	r.applyLoadReport(attempt.Endpoint, attempt.HasLoadReport)
}

// countConcluded counts attempts for the success rate. A busy number is not the endpoint's failure.
func (r *Router) countConcluded(state *endpointState, attempt *routing.Attempt, answered bool) {
	failed := !answered && attempt.Outcome == routing.Failed && !attempt.NumberBusy
	if answered || failed {
		state.concluded.Add(r.now, 1)
	}
	if failed {
		state.failed.Add(r.now, 1)
	}
}

func (r *Router) learnFromAnswer(state *endpointState, latency float64) {
	r.recordUpdate(state)
	state.minLatency = math.Min(state.minLatency, latency)
	state.latencyAt = r.now
	delay := latency - state.minLatency
	if delay >= r.delayObjective && delay <= r.stalledFor {
		return // the answer may have waited here while the process stalled
	}
	r.observeDelay(state, delay-math.Min(r.stalledFor, delay))
}

// learnFromTimeout takes the time that an attempt went unanswered as a delay, unless the attempt was lost:
// what was sent to a process that has died since says nothing about the next one.
func (r *Router) learnFromTimeout(state *endpointState, attempt *routing.Attempt) {
	if attempt.PresumedLost || state.latencyAt >= attempt.SentAt || attempt.SentAt <= state.startedAt {
		return
	}
	if state.unanswered > 1 || state.lost.Read(r.now) < lossyThreshold {
		r.recordUpdate(state)
		r.observeDelay(state, attempt.Latency)
	}
}

// pauseOverloaded sends nothing to an endpoint that rejected an attempt, for a time drawn at random so that
// gateways do not come back together, and cuts its send rate.
func (r *Router) pauseOverloaded(state *endpointState, retryAfter float64) {
	if r.now >= state.pausedUntil {
		state.sendRate *= overloadRateCut
		state.gossipDelay = maxDelayFactor * r.delayObjective
	}
	pause := overloadPause * state.updateInterval / 1000 * (0.5 + r.random())
	state.pausedUntil = r.now + math.Max(pause, math.Min(retryAfter, delayWindow))
}

// recordUpdate updates the mean interval at which something is heard of an endpoint's load.
func (r *Router) recordUpdate(state *endpointState) {
	if state.updatedAt > 0 {
		interval := math.Min(maxUpdateInterval, r.now-state.updatedAt)
		state.updateInterval = math.Max(1000, (state.updateInterval+interval)/2)
	}
	state.updatedAt = r.now
}

// applyLoadReport takes an endpoint's latest load report; complete: with figures of its processor. Reports
// may be wrong or stuck: a latency seen here recently counts for more, and an impossible delay is ignored.
func (r *Router) applyLoadReport(endpoint *routing.Endpoint, complete bool) {
	state, report := stateOf(endpoint), &endpoint.LoadReport
	if !math.IsNaN(report.Free) {
		state.atCapacity = report.Free <= 0
	}
	if !complete {
		return
	}
	r.recordUpdate(state)
	state.reportedAt = r.now
	if report.QueueDelay < r.maxTimeout && r.now-state.latencyAt > ownSampleLifetime {
		r.recordDelay(state, report.QueueDelay)
	}
	if !math.IsNaN(report.QueueLength) {
		state.maxQueueLength = math.Max(state.maxQueueLength, report.QueueLength)
	}
}

// expectedDelay is the delay that an attempt sent now must expect: the estimate, but no less than the oldest
// attempt in flight has waited already or, where some were lost recently, the second oldest. stalledFor is
// not counted.
func (s *endpointState) expectedDelay(now, stalledFor float64) float64 {
	delay := s.currentDelay(now)
	oldest := 0
	if s.lost.Read(now) > lossyThreshold {
		oldest = 1
	}
	if len(s.inFlight) > oldest {
		waited := now - stalledFor - s.inFlight[oldest].SentAt - s.minLatencyOrZero()
		delay = math.Max(delay, waited)
	}
	return delay
}

// currentDelay is the delay estimate, decayed; the slower, the less often something is heard of the endpoint.
func (s *endpointState) currentDelay(now float64) float64 {
	return s.delay * math.Exp((s.delayAt-now)/(delayWindow*s.updateInterval/1000))
}

func (s *endpointState) minLatencyOrZero() float64 {
	if math.IsInf(s.minLatency, 1) {
		return 0
	}
	return s.minLatency
}

// observeDelay takes a delay seen here. One that differs much from the estimate is passed on by gossip.
func (r *Router) observeDelay(state *endpointState, delay float64) {
	difference := math.Min(maxDelayFactor*r.delayObjective, delay) - state.currentDelay(r.now)
	if math.Abs(difference) > gossipThreshold*r.delayObjective {
		state.gossipDelay = delay
	}
	r.recordDelay(state, delay)
}

// recordDelay averages a sample into the estimate. Samples are bounded, so that any estimate decays in
// bounded time.
func (r *Router) recordDelay(state *endpointState, sample float64) {
	bounded := math.Min(maxDelayFactor*r.delayObjective, math.Max(0, sample))
	state.delay = (state.currentDelay(r.now) + bounded) / 2
	state.delayAt = r.now
}
