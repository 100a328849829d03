package router

import "maps"

// busyNumber is a called number that answered busy.
type busyNumber struct {
	until    float64 // no attempts before this
	answered int     // calls answered since then
}

// blockBusyNumber stops attempts to a number that answered busy: a setup to it would be work without a result
// at any endpoint.
func (r *Router) blockBusyNumber(calledNumber string) {
	r.sweepBusyNumbers()
	r.busyNumbers[calledNumber] = &busyNumber{until: r.now + busyNumberPause}
}

// clearBusyNumber removes a busy number once two calls to it were answered.
func (r *Router) clearBusyNumber(calledNumber string) {
	if busy := r.busyNumbers[calledNumber]; busy != nil {
		busy.answered++
		if busy.answered > 1 {
			delete(r.busyNumbers, calledNumber)
		}
	}
}

// sweepBusyNumbers removes numbers that were not called for long, at most once per interval.
func (r *Router) sweepBusyNumbers() {
	if r.now-r.busyNumbersSweptAt <= busyNumberRetention {
		return
	}
	r.busyNumbersSweptAt = r.now
	maps.DeleteFunc(r.busyNumbers, func(_ string, busy *busyNumber) bool {
		return r.now > busy.until+busyNumberRetention
	})
}
