package timerqueue

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestAgainstSortedList compares the queue with a sorted list.
func TestAgainstSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		type entry struct {
			at float64
			n  int
		}
		var want []entry
		var got, due []int
		timers := map[int]*Timer{}
		now := 0.0
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "do") {
			case 0, 1:
				at := now + float64(rapid.IntRange(0, 5).Draw(t, "at"))
				timers[n] = q.Schedule(at, func() { got = append(got, n) })
				want = append(want, entry{at, n})
			case 2:
				if len(want) > 0 {
					i := rapid.IntRange(0, len(want)-1).Draw(t, "which")
					q.Cancel(timers[want[i].n])
					want = slices.Delete(want, i, i+1)
				}
			default:
				now += float64(rapid.IntRange(0, 4).Draw(t, "pass"))
				q.Run(now)
				slices.SortStableFunc(want, func(a, b entry) int { return int(a.at - b.at) })
				for len(want) > 0 && want[0].at <= now {
					due = append(due, want[0].n)
					want = want[1:]
				}
				slices.SortStableFunc(want, func(a, b entry) int { return a.n - b.n })
			}
		}
		if !slices.Equal(got, due) {
			t.Fatalf("ran %v, want %v", got, due)
		}
		next := math.Inf(1)
		for _, w := range want {
			next = min(next, w.at)
		}
		if q.Next() != next || q.Len() != len(want) {
			t.Fatalf("next %v of %d, want %v of %d", q.Next(), q.Len(), next, len(want))
		}
	})
}

// TestRescheduleDuringRun checks that a timer scheduled again for now by its callback waits for the next Run.
func TestRescheduleDuringRun(t *testing.T) {
	var q Queue
	n := 0
	var do func()
	do = func() { n++; q.Schedule(5, do) }
	q.Schedule(5, do)
	q.Run(5)
	if n != 1 {
		t.Errorf("ran %d times", n)
	}
}
