package loadshed

import (
	"testing"

	"pgregory.net/rapid"
)

// TestAdmit: never more than the room or the rate, the most valuable first, and no valuable one rejected while
// a cheaper one of the same batch is taken.
func TestAdmit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &Gate{
			MaxPending:    rapid.IntRange(1, 50).Draw(t, "most"),
			RatePerSecond: rapid.SampledFrom([]float64{0, 1, 5, 100}).Draw(t, "rate"),
		}
		held, now, all := 0, 1.0, 0
		for range 20 {
			now += rapid.Float64Range(0, 5000).Draw(t, "gap")
			values := rapid.SliceOfN(rapid.SampledFrom([]float64{1, 1, 1, 5, 8}), 0, 40).Draw(t, "values")
			taken, n, least := g.Admit(now, values, held), 0, 1e9
			for i, ok := range taken {
				if ok {
					n++
					least = min(least, values[i])
				}
			}
			for i, ok := range taken {
				if !ok && values[i] > least {
					t.Fatalf("%v rejected, %v taken", values[i], least)
				}
			}
			if held+n > g.MaxPending {
				t.Fatalf("%d taken with %d held of %d", n, held, g.MaxPending)
			}
			if all += n; g.RatePerSecond > 0 &&
				float64(all) > g.RatePerSecond*now/1000+2*max(2, g.RatePerSecond*burstWindow/1000)+1 {
				t.Fatalf("%d taken in %.0f ms at %v a second", all, now, g.RatePerSecond)
			}
			held = max(0, held+n-rapid.IntRange(0, 30).Draw(t, "ended"))
		}
	})
}

// The reserve: a flood of cheap calls leaves room for a dear one; where all are worth the same nothing is held back.
func TestReserveForHighWeight(t *testing.T) {
	count := func(of []bool) (n int) {
		for _, ok := range of {
			if ok {
				n++
			}
		}
		return n
	}
	flat := &Gate{MaxPending: 100}
	if n := count(flat.Admit(0, make([]float64, 200), 0)); n != 100 {
		t.Errorf("%d of equals taken, want 100", n)
	}
	g := &Gate{MaxPending: 100}
	cheap := make([]float64, 200)
	for i := range cheap {
		cheap[i] = 1
	}
	cheap[3] = 8
	if n := count(g.Admit(0, cheap, 0)); n != 90 {
		t.Errorf("%d taken of a flood, want 90", n)
	}
	if n := count(g.Admit(1, []float64{8, 1}, 95)); n != 1 {
		t.Errorf("%d taken into the reserve, want the dear one", n)
	}
}

// Refusals are remembered for as long as a repeat may come, in bounded space.
func TestRefusals(t *testing.T) {
	r := &Refusals{Retention: 1000}
	r.Add(0, 7)
	for _, x := range []struct {
		now  float64
		want bool
	}{{500, true}, {999, true}, {1500, true}, {3000, false}} {
		if got := r.Known(x.now, 7); got != x.want {
			t.Errorf("at %v known %v", x.now, got)
		}
	}
	for i := range uint64(3 * maxRemembered) {
		r.Add(3000, i)
	}
	if r.Len() > 2*maxRemembered {
		t.Errorf("%d remembered", r.Len())
	}
}
