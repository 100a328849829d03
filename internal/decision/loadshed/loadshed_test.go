package loadshed

import (
	"testing"

	"pgregory.net/rapid"
)

// TestAdmit checks that neither the capacity nor the rate is exceeded, and that no call is shed while one of less
// weight in the same batch is admitted.
func TestAdmit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &Gate{
			MaxPending:    rapid.IntRange(1, 50).Draw(t, "max pending"),
			RatePerSecond: rapid.SampledFrom([]float64{0, 1, 5, 100}).Draw(t, "rate"),
		}
		pending, now, total := 0, 1.0, 0
		for range 20 {
			now += rapid.Float64Range(0, 5000).Draw(t, "gap")
			weights := rapid.SliceOfN(rapid.SampledFrom([]float64{1, 1, 1, 5, 8}), 0, 40).Draw(t, "weights")
			admitted, n, least := g.Admit(now, weights, pending), 0, 1e9
			for i, ok := range admitted {
				if ok {
					n++
					least = min(least, weights[i])
				}
			}
			for i, ok := range admitted {
				if !ok && weights[i] > least {
					t.Fatalf("call of weight %v shed, one of %v admitted", weights[i], least)
				}
			}
			if pending+n > g.MaxPending {
				t.Fatalf("%d admitted with %d pending of %d", n, pending, g.MaxPending)
			}
			if total += n; g.RatePerSecond > 0 &&
				float64(total) > g.RatePerSecond*now/1000+2*max(2, g.RatePerSecond*burstWindow/1000)+1 {
				t.Fatalf("%d admitted in %.0f ms at %v a second", total, now, g.RatePerSecond)
			}
			pending = max(0, pending+n-rapid.IntRange(0, 30).Draw(t, "ended"))
		}
	})
}

// TestReserveForHighWeight checks that a flood of calls of low weight leaves capacity for one of high weight, and
// that nothing is reserved if all calls have the same weight.
func TestReserveForHighWeight(t *testing.T) {
	count := func(admitted []bool) (n int) {
		for _, ok := range admitted {
			if ok {
				n++
			}
		}
		return n
	}
	uniform := &Gate{MaxPending: 100}
	if n := count(uniform.Admit(0, make([]float64, 200), 0)); n != 100 {
		t.Errorf("%d calls of equal weight admitted, want 100", n)
	}
	g := &Gate{MaxPending: 100}
	weights := make([]float64, 200)
	for i := range weights {
		weights[i] = 1
	}
	weights[3] = 8
	if n := count(g.Admit(0, weights, 0)); n != 90 {
		t.Errorf("%d admitted of a flood, want 90", n)
	}
	if n := count(g.Admit(1, []float64{8, 1}, 95)); n != 1 {
		t.Errorf("%d admitted into the reserve, want only the call of high weight", n)
	}
}

// TestRefusals checks that refusals are remembered for as long as a retransmission may arrive, in bounded memory.
func TestRefusals(t *testing.T) {
	r := &Refusals{Retention: 1000}
	r.Add(0, 7)
	for _, c := range []struct {
		now  float64
		want bool
	}{{500, true}, {999, true}, {1500, true}, {3000, false}} {
		if got := r.Known(c.now, 7); got != c.want {
			t.Errorf("at %v ms: known %v", c.now, got)
		}
	}
	for i := range uint64(3 * maxRemembered) {
		r.Add(3000, i)
	}
	if r.Len() > 2*maxRemembered {
		t.Errorf("%d refusals remembered, above the bound", r.Len())
	}
}
