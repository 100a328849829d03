package router

import (
	"math"
	"slices"

	"cobaltpier/internal/routing"
)

// admit passes a call on if an endpoint has capacity and the queue is empty, and queues it otherwise. When
// not all queued calls can be served in time, those of least weight are rejected.
func (r *Router) admit(call *routing.Call, _ **routing.Endpoint) stageResult {
	if len(r.queue) == 0 && r.anyCapacity(call) {
		return proceed
	}
	call.Queued = true
	position := len(r.queue)
	for position > 0 && r.currentWeight(r.queue[position-1]) < r.currentWeight(call) {
		position--
	}
	r.queue = slices.Insert(r.queue, position, call)
	r.serveQueue()
	return pending
}

// serveQueue passes on queued calls while there is capacity. It rejects calls that can't wait longer and
// calls too far back in the queue to be served in time.
func (r *Router) serveQueue() {
	totalRate := r.updateSendRates()
	queue := r.queue
	r.queue = nil
	ahead := 0.0
	var remaining []*routing.Call
	for _, call := range queue {
		switch {
		case call.Finished:
		case r.anyCapacity(call):
			call.Queued = false
			r.advance(call, stageAfterQueue)
		case r.queuedTooLong(call, ahead, totalRate):
			call.Queued = false
			r.reject(call)
		default:
			remaining = append(remaining, call)
			ahead++
		}
	}
	r.queue = append(remaining, r.queue...)
	if len(r.queue) > 0 && !r.queueWakeupSet {
		r.queueWakeupSet = true
		r.host.ScheduleWakeup(r.now+queueInterval, nil)
	}
}

// queuedTooLong reports whether a queued call must be rejected, given the number of calls ahead of it and the
// total send rate to all endpoints.
func (r *Router) queuedTooLong(call *routing.Call, ahead, totalRate float64) bool {
	limit := maxQueueingFraction * math.Min(call.Class.LatencyObjective, call.Deadline-call.ArrivedAt)
	return r.now-call.ArrivedAt > limit && call.Attempts == 0 ||
		r.now+r.targetDelay > call.ArrivedAt+call.Class.LatencyObjective ||
		ahead >= totalRate*limit ||
		r.now+2*queueInterval > call.Deadline // rule 1: every call is answered before its deadline
}

// currentWeight returns the weight of a call if it is established now; it is lower once the latency objective
// can no longer be met.
func (r *Router) currentWeight(call *routing.Call) float64 {
	if r.now+r.targetDelay > call.ArrivedAt+call.Class.LatencyObjective {
		return call.Class.Weight * call.Class.LateWeightFraction
	}
	return call.Class.Weight
}
