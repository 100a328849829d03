package router

import (
	"maps"

	"cobaltpier/internal/decaysum"
	"cobaltpier/internal/routing"
)

// offeredLoad estimates how many callers a second this gateway gets. A caller that calls again after it was
// not served is counted once: callers' own repeats inflate the offered load, and a budget for endpoints in
// slow start that followed them would overload these just when many calls fail. It says nothing about a
// single call: first and repeated calls are routed alike.
type offeredLoad struct {
	callers  decaysum.Sum
	unserved map[callerKey]float64 // first call of each caller that was not served
	sweptAt  float64               // when expired entries were last removed
}

// callerKey identifies a caller by what its calls have in common.
type callerKey struct {
	calledNumber string
	class        *routing.Class
	tenant       *routing.Tenant
}

func newOfferedLoad() offeredLoad {
	return offeredLoad{callers: decaysum.New(rateWindow), unserved: map[callerKey]float64{}}
}

func callerOf(call *routing.Call) callerKey {
	return callerKey{call.CalledNumber, call.Class, call.Tenant}
}

// rate returns the callers a millisecond.
func (l *offeredLoad) rate(now float64) float64 { return l.callers.Rate(now) }

// onCall counts the caller of a call, unless an earlier call of it was counted.
func (l *offeredLoad) onCall(now float64, call *routing.Call) {
	if !l.isRepeat(now, call) {
		l.callers.Add(now, 1)
	}
}

// isRepeat reports whether an earlier call of the same caller was not served. Callers are known by the number
// that they call; without one, every call counts.
func (l *offeredLoad) isRepeat(now float64, call *routing.Call) bool {
	first, known := l.unserved[callerOf(call)]
	return known && call.CalledNumber != "" && now < first+call.Class.Timeout
}

// onServed forgets the caller of a call that was established: its next call is not a repeat.
func (l *offeredLoad) onServed(call *routing.Call) { delete(l.unserved, callerOf(call)) }

// onUnserved remembers the caller of a call that was not established.
func (l *offeredLoad) onUnserved(now float64, call *routing.Call) {
	l.sweep(now, call.Class.Timeout)
	if !l.isRepeat(now, call) {
		l.unserved[callerOf(call)] = call.ArrivedAt
	}
}

// sweep removes expired callers, at most once per interval.
func (l *offeredLoad) sweep(now, interval float64) {
	if now-l.sweptAt <= interval {
		return
	}
	l.sweptAt = now
	maps.DeleteFunc(l.unserved, func(caller callerKey, first float64) bool {
		return now >= first+caller.class.Timeout
	})
}
