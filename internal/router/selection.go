package router

import (
	"math"
	"slices"

	"cobaltpier/internal/routing"
)

// selectEndpoint selects the call's destination if that has free capacity and its success rate isn't far
// below the best one. Otherwise it chooses an endpoint at random, by lottery (docs/design.md).
func (r *Router) selectEndpoint(call *routing.Call, selected **routing.Endpoint) stageResult {
	destination := call.Destination
	toDestination := destination != nil && r.hasCapacity(call, destination)
	if !toDestination || r.successRate(destination) < minSuccessRatio*r.bestSuccessRate(call) {
		*selected = r.drawEndpoint(call)
	}
	if *selected == nil && toDestination {
		*selected = destination
	}
	if *selected == nil {
		return r.giveUp(call)
	}
	return proceed
}

// isSelectable reports whether selectEndpoint may select an endpoint now: the destination needs capacity, any
// other endpoint lottery tickets as well.
func (r *Router) isSelectable(call *routing.Call, endpoint *routing.Endpoint) bool {
	if endpoint == call.Destination {
		return r.hasCapacity(call, endpoint)
	}
	return r.freeFraction(endpoint) > 0 && r.hasCapacity(call, endpoint)
}

// mayGetTickets reports whether a call may be sent to its destination, or any endpoint has lottery tickets
// for it apart from the tokens and agents that it may wait for. If not, the design has it refused
// (docs/design.md).
func (r *Router) mayGetTickets(call *routing.Call) bool {
	return slices.ContainsFunc(r.endpoints, func(endpoint *routing.Endpoint) bool {
		return usable(call.Class, endpoint) && (endpoint == call.Destination || r.freeFraction(endpoint) > 0)
	})
}

// nextTicketsAt returns when the first endpoint that a call may use gets lottery tickets again by the age of
// its report, or 0 if there is none.
func (r *Router) nextTicketsAt(call *routing.Call) float64 {
	next := math.Inf(1)
	for _, endpoint := range r.endpoints {
		if usable(call.Class, endpoint) {
			next = math.Min(next, stateOf(endpoint).reportedAt+staleZeroAge)
		}
	}
	if math.IsInf(next, 1) {
		return 0
	}
	return next
}

// drawEndpoint chooses an endpoint at random, with a probability proportional to its tickets. It returns nil
// if no endpoint has tickets.
func (r *Router) drawEndpoint(call *routing.Call) *routing.Endpoint {
	total := 0.0
	for _, endpoint := range r.endpoints {
		total += r.tickets(call, endpoint)
	}
	remaining := r.random() * total
	var chosen *routing.Endpoint
	for _, endpoint := range r.endpoints {
		if tickets := r.tickets(call, endpoint); tickets > 0 {
			chosen = endpoint
			if remaining -= tickets; remaining < 0 {
				break
			}
		}
	}
	return chosen
}

// tickets returns an endpoint's number of lottery tickets: its capacity times the square of its free
// fraction, where the free fraction is scaled by the success rate.
func (r *Router) tickets(call *routing.Call, endpoint *routing.Endpoint) float64 {
	if !r.hasCapacity(call, endpoint) {
		return 0
	}
	fraction := r.freeFraction(endpoint) * r.successRate(endpoint)
	return r.callCapacity(endpoint) * fraction * fraction
}

// successRate estimates the fraction of recently concluded attempts that did not fail. failureAllowance keeps
// a few failures, which may be chance, from lowering it much. Without the success rate, an endpoint that
// quickly fails most calls would have no queueing delay and would be sent all calls.
func (r *Router) successRate(endpoint *routing.Endpoint) float64 {
	state := stateOf(endpoint)
	return 1 - state.failed.Read(r.now)/(failureAllowance+state.concluded.Read(r.now))
}

// bestSuccessRate returns the best success rate of the endpoints with free capacity. If all endpoints fail at
// the same rate, none is an outlier.
func (r *Router) bestSuccessRate(call *routing.Call) float64 {
	best := 0.0
	for _, endpoint := range r.endpoints {
		if rate := r.successRate(endpoint); rate > best && r.hasCapacity(call, endpoint) {
			best = rate
		}
	}
	return best
}

// callCapacity returns the capacity of an endpoint in calls per second: the lower of the reported rate limit
// and of what its agents can sustain, as far as these are known. It returns 1 if neither is known.
func (r *Router) callCapacity(endpoint *routing.Endpoint) float64 {
	sustainable := r.sustainableRate(endpoint.LoadReport.Capacity)
	switch {
	case endpoint.LoadReport.RateLimit >= 0:
		return math.Min(endpoint.LoadReport.RateLimit, sustainable)
	case !math.IsInf(sustainable, 1):
		return sustainable
	}
	return 1
}

// sustainableRate returns how many calls per second a number of agents can sustain by Little's law. It
// returns +Inf if the rate isn't known. loadDeviations standard deviations of the load are subtracted from
// the agents first: without that margin for random variation, small endpoints would be overrated.
func (r *Router) sustainableRate(agents float64) float64 {
	if !(agents > 0) || r.maxHoldingTime <= 0 {
		return math.Inf(1)
	}
	return 1000 * math.Max(1, agents-loadDeviations*math.Sqrt(agents)) / r.maxHoldingTime
}

// capacityShare returns an endpoint's part of the total capacity of all destinations. Destinations that are
// down are included, because the offered load is sized for all destinations together.
func (r *Router) capacityShare(endpoint *routing.Endpoint) float64 {
	if r.totalCapacityAt != r.now {
		r.totalCapacity, r.totalCapacityAt = 0, r.now
		for _, other := range r.destinations {
			r.totalCapacity += r.callCapacity(other)
		}
	}
	capacity := r.callCapacity(endpoint)
	return capacity / math.Max(r.totalCapacity, capacity)
}

// freeFraction returns the free fraction of an endpoint's capacity, 0 to 1, according to its latest load
// report. A reported fraction of 0 is replaced by staleZeroFreeFraction if the report is older than
// staleZeroAge.
func (r *Router) freeFraction(endpoint *routing.Endpoint) float64 {
	state := stateOf(endpoint)
	fraction := reportedFreeFraction(&endpoint.LoadReport, state.maxQueueLength)
	if fraction <= 0 && r.now-state.reportedAt > staleZeroAge {
		return staleZeroFreeFraction
	}
	return math.Max(0, fraction)
}

// reportedFreeFraction derives the free fraction from the first known value of a load report. It returns 1 if
// none is known.
func reportedFreeFraction(report *routing.LoadReport, maxQueueLength float64) float64 {
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
