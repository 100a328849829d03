package router

import (
	"slices"

	"cobaltpier/internal/routing"
)

// backlog is what waits in the queue ahead of a call, by class.
type backlog struct {
	router  *Router
	classes []*classBacklog // in the order in which they were seen
}

// classBacklog are the waiting calls of one class, in the order in which they are served.
type classBacklog struct {
	class *routing.Class
	calls []*routing.Call
	// contenders are the backlogs whose calls may use no other endpoints than calls of this class. Their calls
	// are certain to take capacity that calls of this class could use.
	contenders []*classBacklog
	setupTime  float64 // least time in which a call of the class is answered
	tokens     float64 // attempts that may be sent now to the endpoints of the class
	rate       float64 // and at least how many more a millisecond
}

// takeHopeless removes from the queue the calls that can't be served in time because of the work ahead of
// them, and returns them. They are better told at once: a caller that waits in vain could have called later,
// or elsewhere.
//
// When not all can be served in time, those of least weight are refused, as the deployment's settings tell
// which calls matter most; of equal weight, the call that would be late itself.
func (r *Router) takeHopeless() []*routing.Call {
	r.ahead = &backlog{router: r}
	var hopeless []*routing.Call
	for _, call := range r.queue {
		hopeless = append(hopeless, r.ahead.refusedFor(call)...)
	}
	r.removeQueued(hopeless)
	return hopeless
}

// takeHopelessForLast does what takeHopeless does after a call was added at the end of a queue in which all
// others are in time. It takes a time that does not depend on the length of the queue, unless other calls are
// refused for it.
func (r *Router) takeHopelessForLast() []*routing.Call {
	if r.ahead == nil {
		return r.takeHopeless()
	}
	last := r.queue[len(r.queue)-1]
	hopeless := r.ahead.refusedFor(last)
	if len(hopeless) == 1 && hopeless[0] == last {
		last.Queued = false
		r.queue = r.queue[:len(r.queue)-1]
		r.waiting.outdated = true
		return hopeless
	}
	r.removeQueued(hopeless)
	return hopeless
}

// removeQueued removes calls from the queue.
func (r *Router) removeQueued(calls []*routing.Call) {
	if len(calls) == 0 {
		return
	}
	for _, call := range calls {
		call.Queued = false
	}
	r.queue = slices.DeleteFunc(r.queue, func(call *routing.Call) bool { return !call.Queued })
	r.waiting.outdated = true
}

// refusedFor appends a call to the backlog and returns the calls that have to be refused so that all others
// are served in time.
func (b *backlog) refusedFor(call *routing.Call) (refused []*routing.Call) {
	own := b.add(call)
	for !b.inTime(call, own) {
		removed := own.removeLightest()
		refused = append(refused, removed)
		if removed == call {
			break
		}
	}
	return refused
}

// add appends a call to the backlog of its class and returns that.
func (b *backlog) add(call *routing.Call) *classBacklog {
	own := b.of(call.Class)
	own.calls = append(own.calls, call)
	return own
}

// of returns the backlog of a class.
func (b *backlog) of(class *routing.Class) *classBacklog {
	for _, known := range b.classes {
		if known.class == class {
			return known
		}
	}
	r := b.router
	own := &classBacklog{
		class:     class,
		setupTime: r.setupTime(class, r.now),
		tokens:    r.attemptsUntil(class, r.now),
		rate:      r.sendRateFor(class, r.now),
	}
	own.contenders = []*classBacklog{own}
	for _, other := range b.classes {
		if usesOnly(other.class, class) {
			own.contenders = append(own.contenders, other)
		}
		if usesOnly(class, other.class) {
			other.contenders = append(other.contenders, own)
		}
	}
	b.classes = append(b.classes, own)
	return own
}

// usesOnly reports whether calls of a class may use no endpoints but those that calls of another class may
// use.
func usesOnly(class, other *routing.Class) bool {
	if other.AllowedDestinations == nil || class == other {
		return true
	}
	if class.AllowedDestinations == nil {
		return false
	}
	for destination, allowed := range class.AllowedDestinations {
		if allowed && !other.AllowedDestinations[destination] {
			return false
		}
	}
	return true
}

// inTime reports whether a call that was added last can be sent early enough to be answered before its
// deadline, after all calls ahead of it. The queue is served in intervals: the last check must come before
// that, and early enough for a final answer if the call is not sent (rule 1).
func (b *backlog) inTime(call *routing.Call, own *classBacklog) bool {
	r := b.router
	latestSend := call.Deadline - queueInterval - max(own.setupTime, queueInterval)
	if latestSend < r.now {
		return false
	}
	needed := 0
	for _, other := range own.contenders {
		needed += len(other.calls)
	}
	// The first estimate, without the endpoints that work off a delay, is a lower bound of the second.
	return float64(needed) <= own.tokens+own.rate*(latestSend-r.now) ||
		float64(needed) <= r.attemptsUntil(call.Class, latestSend)
}

// removeLightest removes the call that is refused so that the last call of this backlog is in time: the last
// one of the class of least weight, or that call itself if none weighs less.
func (own *classBacklog) removeLightest() *routing.Call {
	lightest := own
	for _, other := range own.contenders {
		if len(other.calls) > 0 && other.class.Weight < lightest.class.Weight {
			lightest = other
		}
	}
	last := len(lightest.calls) - 1
	removed := lightest.calls[last]
	lightest.calls = lightest.calls[:last]
	return removed
}
