package router

import (
	"slices"

	"cobaltpier/internal/routing"
)

// admit passes a call on if an endpoint has capacity for it and no call waits, and queues it otherwise.
//
// The queue is in the order of the deadlines: whoever has least time left is served first, and so all are
// served in time where that is possible in any order. What the caller waited before, and whether it called
// before or was attempted before, does not count.
func (r *Router) admit(call *routing.Call, _ **routing.Endpoint) stageResult {
	if len(r.queue) == 0 && r.anyCapacity(call) {
		return proceed
	}
	if !r.mayGetTickets(call) {
		return r.reject(call, r.nextTicketsAt(call))
	}
	if r.queueServedAt != r.now || r.capacityGrown {
		r.enqueue(call)
		r.serveQueue()
		return pending
	}
	r.admitAfterOthers(call)
	return pending
}

// admitAfterOthers passes on or queues one of several calls that arrive together. The queue was served just
// before, with no capacity for any call in it, so only what this call changes needs a look.
func (r *Router) admitAfterOthers(call *routing.Call) {
	if r.anyEndpointOpen() {
		r.updateSendRates()
		if r.anyCapacity(call) {
			r.advance(call, stageAfterQueue)
			r.giveUpQueued(r.takeHopeless()) // the tokens that it took are not left for those that wait
			r.scheduleQueueWakeup()
			return
		}
	}
	if isLast := r.enqueue(call); isLast {
		r.giveUpQueued(r.takeHopelessForLast())
	} else {
		r.giveUpQueued(r.takeHopeless())
	}
	r.scheduleQueueWakeup()
}

// enqueue inserts a call into the queue and reports whether it is the last one. Of calls with the same
// deadline, those that were queued before are first.
func (r *Router) enqueue(call *routing.Call) (isLast bool) {
	call.Queued = true
	position, _ := slices.BinarySearchFunc(r.queue, call.Deadline, notAfter)
	r.queue = slices.Insert(r.queue, position, call)
	r.waiting.outdated = true
	return position == len(r.queue)-1
}

// notAfter compares a queued call with a deadline for a search for the first call that has a later one.
func notAfter(queued *routing.Call, deadline float64) int {
	if queued.Deadline <= deadline {
		return -1
	}
	return 1
}

// serveQueue passes on queued calls while there is capacity, and gives up those that can't be served in time.
func (r *Router) serveQueue() {
	r.updateSendRates()
	r.queueServedAt = r.now
	r.capacityGrown = false
	r.waiting.outdated = true
	waiting := r.queue
	r.queue = nil
	setupTimes := map[*routing.Class]float64{}
	var remaining, late []*routing.Call
	capacity := r.anyEndpointOpen()
	for _, call := range waiting {
		setupTime, known := setupTimes[call.Class]
		if !known {
			setupTime = r.setupTime(call.Class, r.now)
			setupTimes[call.Class] = setupTime
		}
		switch {
		case call.Finished:
		case r.now+setupTime > call.Deadline:
			late = append(late, call)
		case capacity && r.anyCapacity(call):
			call.Queued = false
			r.advance(call, stageAfterQueue)
			capacity = r.anyEndpointOpen()
		default:
			remaining = append(remaining, call)
		}
	}
	r.queue = remaining
	r.giveUpQueued(append(late, r.takeHopeless()...))
	r.scheduleQueueWakeup()
}

// scheduleQueueWakeup has the queue served again after queueInterval while calls wait.
func (r *Router) scheduleQueueWakeup() {
	if len(r.queue) > 0 && !r.queueWakeupSet {
		r.queueWakeupSet = true
		r.host.ScheduleWakeup(r.now+queueInterval, nil)
	}
}

// giveUpQueued gives up calls that were taken from the queue.
func (r *Router) giveUpQueued(calls []*routing.Call) {
	for _, call := range calls {
		call.Queued = false
		r.giveUp(call)
	}
}
