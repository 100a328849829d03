// Package timerqueue keeps timers for machines that have no clock of their own: time is handed in, and of timers due at
// the same time the one set first runs first. Times are milliseconds with fractions.
package timerqueue

import (
	"container/heap"
	"math"
)

// Timer is a call back at a time; the zero of a pointer is "none set".
type Timer struct {
	at       float64
	sequence uint64
	index    int // in the heap, -1 when it is not there
	callback func()
}

// Queue holds timers.
type Queue struct {
	heap     timers
	sequence uint64
}

// Schedule calls do back in the first Run at or after a time.
func (q *Queue) Schedule(at float64, callback func()) *Timer {
	q.sequence++
	t := &Timer{at: at, sequence: q.sequence, callback: callback}
	heap.Push(&q.heap, t)
	return t
}

// Cancel forgets a timer; nil or one that has run is no matter.
func (q *Queue) Cancel(t *Timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&q.heap, t.index)
	}
}

// Next is when the next timer is due, +Inf without one.
func (q *Queue) Next() float64 {
	if len(q.heap) == 0 {
		return math.Inf(1)
	}
	return q.heap[0].at
}

// Len is the number of timers set.
func (q *Queue) Len() int { return len(q.heap) }

// Run runs what is due, timers that are set meanwhile and already due included, as long as they were set for a time
// before now or were there when Run began: a timer that sets itself anew for now waits for the next Run.
func (q *Queue) Run(now float64) {
	last := q.sequence
	for len(q.heap) > 0 && q.heap[0].at <= now && (q.heap[0].sequence <= last || q.heap[0].at < now) {
		heap.Pop(&q.heap).(*Timer).callback()
	}
}

type timers []*Timer

func (h timers) Len() int { return len(h) }
func (h timers) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h timers) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timers) Push(x any) {
	t := x.(*Timer)
	t.index = len(*h)
	*h = append(*h, t)
}
func (h *timers) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
