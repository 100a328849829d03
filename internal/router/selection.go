package router

import (
	"math"

	"cobaltpier/internal/routing"
)

// selectEndpoint chooses the destination while it has capacity, else an endpoint by lottery (docs/design.md).
func (r *Router) selectEndpoint(call *routing.Call, selected **routing.Endpoint) stageResult {
	destination := call.Destination
	if destination != nil && r.hasCapacity(call, destination) &&
		r.successRate(destination) >= minSuccessRatio*r.bestSuccessRate(call) {
		*selected = destination
		return proceed
	}
	*selected = r.drawEndpoint(call)
	if *selected == nil {
		return r.reject(call)
	}
	return proceed
}

// drawEndpoint draws an endpoint with chances in proportion to tickets; nil: none has any.
func (r *Router) drawEndpoint(call *routing.Call) *routing.Endpoint {
	total := 0.0
	for _, endpoint := range r.endpoints {
		total += r.tickets(call, endpoint)
	}
	draw := r.random() * total
	var drawn *routing.Endpoint
	for _, endpoint := range r.endpoints {
		if tickets := r.tickets(call, endpoint); tickets > 0 {
			drawn = endpoint
			if draw -= tickets; draw < 0 {
				break
			}
		}
	}
	return drawn
}

// tickets is total capacity times the square of the free share, which counts only so far as the endpoint's
// attempts succeed.
func (r *Router) tickets(call *routing.Call, endpoint *routing.Endpoint) float64 {
	if !r.hasCapacity(call, endpoint) {
		return 0
	}
	share := r.freeShare(endpoint) * r.successRate(endpoint)
	return r.capacityOf(endpoint) * share * share
}

// successRate is the share of recently concluded attempts that did not fail. It guards against outliers that
// answer fast and fail most calls: with no queueing delay they would draw all of them.
func (r *Router) successRate(endpoint *routing.Endpoint) float64 {
	state := stateOf(endpoint)
	return 1 - state.failed.Read(r.now)/(failureAllowance+state.concluded.Read(r.now))
}

// bestSuccessRate is the best success rate of the endpoints with capacity: where all fail alike none is an
// outlier.
func (r *Router) bestSuccessRate(call *routing.Call) float64 {
	best := 0.0
	for _, endpoint := range r.endpoints {
		if rate := r.successRate(endpoint); rate > best && r.hasCapacity(call, endpoint) {
			best = rate
		}
	}
	return best
}

// capacityOf is the total capacity of an endpoint in calls a second: the rate limit that it reports, but no
// more than its agents can sustain; where no rate is reported the agents alone; else 1.
func (r *Router) capacityOf(endpoint *routing.Endpoint) float64 {
	sustainable := r.sustainableRate(endpoint.LoadReport.Capacity)
	switch {
	case endpoint.LoadReport.RateLimit >= 0:
		return math.Min(endpoint.LoadReport.RateLimit, sustainable)
	case !math.IsInf(sustainable, 1):
		return sustainable
	}
	return 1
}

// sustainableRate is how many calls a second so many agents can hold (Little's law), with room for the
// deviations of their load, without which small endpoints are overrated; +Inf: not known.
func (r *Router) sustainableRate(agents float64) float64 {
	if !(agents > 0) || r.maxHoldingTime <= 0 {
		return math.Inf(1)
	}
	return 1000 * math.Max(1, agents-loadDeviations*math.Sqrt(agents)) / r.maxHoldingTime
}

// capacityShare is an endpoint's part of the total capacity of all destinations, including those that are
// down: the load is dimensioned for all of them.
func (r *Router) capacityShare(endpoint *routing.Endpoint) float64 {
	if r.totalCapacityAt != r.now {
		r.totalCapacity, r.totalCapacityAt = 0, r.now
		for _, other := range r.destinations {
			r.totalCapacity += r.capacityOf(other)
		}
	}
	capacity := r.capacityOf(endpoint)
	return capacity / math.Max(r.totalCapacity, capacity)
}

// freeShare is the free share of an endpoint's processor by its latest load report, 0 to 1.
func (r *Router) freeShare(endpoint *routing.Endpoint) float64 {
	state := stateOf(endpoint)
	share := reportedFreeShare(&endpoint.LoadReport, state.maxQueueLength)
	if share <= 0 && r.now-state.reportedAt > staleZeroAge {
		return staleZeroFreeShare
	}
	return math.Max(0, share)
}

// reportedFreeShare reads the free share from the first figure of a report that is known; 1 where none is.
func reportedFreeShare(report *routing.LoadReport, maxQueueLength float64) float64 {
	switch {
	case !math.IsNaN(report.Utilization):
		return 1 - report.Utilization
	case !math.IsNaN(report.QueueDelay):
		return 1 - report.QueueDelay/fullQueueDelay
	case !math.IsNaN(report.LossFraction):
		return 1 - report.LossFraction
	case !math.IsNaN(report.QueueLength) && maxQueueLength > 0:
		return 1 - report.QueueLength/maxQueueLength
	case report.RateLimit == 0:
		return 0
	}
	return 1
}
