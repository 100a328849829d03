// Package timerqueue provides timers for code that has no clock of its own: the time is passed in, in milliseconds.
// Timers that are due at the same time run in the order in which they were scheduled.
package timerqueue

import (
	"container/heap"
	"math"
)

// Timer is a scheduled callback; a nil pointer means none.
type Timer struct {
	at       float64
	sequence uint64
	index    int // in the heap; -1: not in it
	callback func()
}

// Queue is a queue of timers. Its zero value is empty and ready to use.
type Queue struct {
	heap     timers
	sequence uint64
}

// Schedule schedules callback for the first Run at or after a time.
func (q *Queue) Schedule(at float64, callback func()) *Timer {
	q.sequence++
	t := &Timer{at: at, sequence: q.sequence, callback: callback}
	heap.Push(&q.heap, t)
	return t
}

// Cancel removes a timer. A nil timer or one that has run is ignored.
func (q *Queue) Cancel(t *Timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&q.heap, t.index)
	}
}

// Next returns when the next timer is due; +Inf: there is none.
func (q *Queue) Next() float64 {
	if len(q.heap) == 0 {
		return math.Inf(1)
	}
	return q.heap[0].at
}

// Len returns the number of scheduled timers.
func (q *Queue) Len() int { return len(q.heap) }

// Run runs the timers that are due, including those that callbacks schedule for a time before now. A timer that its
// callback schedules again for now waits for the next Run.
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
