package router

import (
	"math"

	"cobaltpier/internal/routing"
)

// onSelectionOutcome updates an endpoint's estimated load and success rate from the outcome of an attempt.
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
		return // the load report in the same message is older than the rejection
	case attempt.Outcome == routing.Canceled, attempt.Outcome == routing.TimedOut:
		r.learnFromTimeout(state, attempt)
	case attempt.Outcome == routing.Overloaded:
		r.pauseOverloaded(state, attempt.RetryAfter)
	case attempt.Outcome == routing.ConnectionRefused:
		state.delay, state.delayAt = maxDelayFactor*r.targetDelay, r.now
	}
	r.applyLoadReport(attempt.Endpoint, attempt.HasLoadReport)
}

// countConcluded counts an attempt for the success rate. A busy called number is no failure of the endpoint.
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
	state.setups.add(r.now, math.Min(latency, state.minLatency+maxDelayFactor*r.targetDelay))
	state.latencyAt = r.now
	delay := latency - state.minLatency
	if delay >= r.targetDelay && delay <= r.stalledFor {
		return // the answer may have waited here while the process stalled
	}
	r.observeDelay(state, delay-math.Min(r.stalledFor, delay))
}

// learnFromTimeout records the time that an attempt went unanswered as a delay sample. It ignores attempts
// that were lost and attempts that were sent before the endpoint's latest start, as they say nothing about
// the process that runs now.
func (r *Router) learnFromTimeout(state *endpointState, attempt *routing.Attempt) {
	if attempt.PresumedLost || state.latencyAt >= attempt.SentAt || attempt.SentAt <= state.startedAt {
		return
	}
	if state.unanswered > 1 || state.lost.Read(r.now) < lossyThreshold {
		r.recordUpdate(state)
		r.observeDelay(state, attempt.Latency)
	}
}

// pauseOverloaded pauses attempts to an endpoint that rejected one as overloaded, and cuts its send rate. The
// pause is randomized so that gateways do not resume at the same moment.
func (r *Router) pauseOverloaded(state *endpointState, retryAfter float64) {
	if r.now >= state.pausedUntil {
		state.sendRate *= overloadRateCut
		state.gossipDelay = maxDelayFactor * r.targetDelay
	}
	pause := overloadPause * state.updateInterval / 1000 * (0.5 + r.random())
	state.pausedUntil = r.now + math.Max(pause, math.Min(retryAfter, delayWindow))
}

// recordUpdate records the time of a load update of an endpoint and updates the mean interval of updates.
func (r *Router) recordUpdate(state *endpointState) {
	if state.updatedAt > 0 {
		interval := math.Min(maxUpdateInterval, r.now-state.updatedAt)
		state.updateInterval = math.Max(1000, (state.updateInterval+interval)/2)
	}
	state.updatedAt = r.now
}

// applyLoadReport applies an endpoint's latest load report; complete: it includes values for the processor.
// Reports may be wrong or stale: a latency measured here recently takes precedence over the reported delay,
// and an implausible delay is ignored.
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

// expectedDelay returns the queueing delay that an attempt sent now can expect: the estimate, but no less
// than the oldest attempt in flight has waited already or, if attempts were lost recently, the second
// oldest. The time of a stall, stalledFor, is not counted as waiting.
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

// currentDelay returns the decayed delay estimate. It decays more slowly the rarer load updates are.
func (s *endpointState) currentDelay(now float64) float64 {
	return s.delay * math.Exp((s.delayAt-now)/(delayWindow*s.updateInterval/1000))
}

func (s *endpointState) minLatencyOrZero() float64 {
	if math.IsInf(s.minLatency, 1) {
		return 0
	}
	return s.minLatency
}

// observeDelay records a delay measured at this gateway. A large difference from the estimate is sent on as
// gossip.
func (r *Router) observeDelay(state *endpointState, delay float64) {
	difference := math.Min(maxDelayFactor*r.targetDelay, delay) - state.currentDelay(r.now)
	if math.Abs(difference) > gossipThreshold*r.targetDelay {
		state.gossipDelay = delay
	}
	r.recordDelay(state, delay)
}

// recordDelay averages a sample into the delay estimate. Samples are bounded, so that every estimate decays
// in bounded time.
func (r *Router) recordDelay(state *endpointState, sample float64) {
	bounded := math.Min(maxDelayFactor*r.targetDelay, math.Max(0, sample))
	state.delay = (state.currentDelay(r.now) + bounded) / 2
	state.delayAt = r.now
}
