package router

import (
	"math"

	"cobaltpier/internal/routing"
)

// selectEndpoint selects the call's destination while that has capacity and is no outlier, and otherwise
// draws an endpoint by lottery (docs/design.md).
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

// drawEndpoint draws an endpoint with a probability proportional to its tickets; nil: no endpoint has
// tickets.
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

// tickets returns an endpoint's number of lottery tickets: its total capacity times the square of its free
// share, where the free share is scaled by the success rate.
func (r *Router) tickets(call *routing.Call, endpoint *routing.Endpoint) float64 {
	if !r.hasCapacity(call, endpoint) {
		return 0
	}
	share := r.freeShare(endpoint) * r.successRate(endpoint)
	return r.capacityOf(endpoint) * share * share
}

// successRate returns the share of recently concluded attempts that did not fail. It guards against outliers
// that answer fast and fail most calls: having no queueing delay, they would attract all calls.
func (r *Router) successRate(endpoint *routing.Endpoint) float64 {
	state := stateOf(endpoint)
	return 1 - state.failed.Read(r.now)/(failureAllowance+state.concluded.Read(r.now))
}

// bestSuccessRate returns the best success rate of the endpoints with capacity. If all endpoints fail at the
// same rate, none is an outlier.
func (r *Router) bestSuccessRate(call *routing.Call) float64 {
	best := 0.0
	for _, endpoint := range r.endpoints {
		if rate := r.successRate(endpoint); rate > best && r.hasCapacity(call, endpoint) {
			best = rate
		}
	}
	return best
}

// capacityOf returns the total capacity of an endpoint in calls a second: the reported rate limit, but no
// more than its agents can sustain; without a rate limit, what its agents can sustain; if neither is known,
// 1.
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

// sustainableRate returns how many calls a second a number of agents can sustain by Little's law; +Inf: not
// known. Some agents are set aside for random variation of the load: otherwise small endpoints are overrated.
func (r *Router) sustainableRate(agents float64) float64 {
	if !(agents > 0) || r.maxHoldingTime <= 0 {
		return math.Inf(1)
	}
	return 1000 * math.Max(1, agents-loadDeviations*math.Sqrt(agents)) / r.maxHoldingTime
}

// capacityShare returns an endpoint's part of the total capacity of all destinations. Destinations that are
// down are included, because the load is dimensioned for all of them.
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

// freeShare returns the free share of an endpoint's processor according to its latest load report, 0 to 1. A
// report of no free share counts as staleZeroFreeShare once it is older than staleZeroAge.
func (r *Router) freeShare(endpoint *routing.Endpoint) float64 {
	state := stateOf(endpoint)
	share := reportedFreeShare(&endpoint.LoadReport, state.maxQueueLength)
	if share <= 0 && r.now-state.reportedAt > staleZeroAge {
		return staleZeroFreeShare
	}
	return math.Max(0, share)
}

// reportedFreeShare derives the free share from the first known value of a load report; 1 if none is known.
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
