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
			now += rapid.Float64Range(0, 5000).Draw(t, "interval")
			weights := rapid.SliceOfN(rapid.SampledFrom([]float64{1, 1, 1, 5, 8}), 0, 40).Draw(t, "weights")
			admitted, admittedCount, minAdmittedWeight := g.Admit(now, weights, pending), 0, 1e9
			for i, ok := range admitted {
				if ok {
					admittedCount++
					minAdmittedWeight = min(minAdmittedWeight, weights[i])
				}
			}
			for i, ok := range admitted {
				if !ok && weights[i] > minAdmittedWeight {
					t.Fatalf("shed a call of weight %v but admitted one of weight %v", weights[i], minAdmittedWeight)
				}
			}
			if pending+admittedCount > g.MaxPending {
				t.Fatalf("admitted %d calls with %d already pending, want at most %d in all",
					admittedCount, pending, g.MaxPending)
			}
			// Above the mean rate: the initial burst, one burst in advance for calls of high weight, and 1 for rounding.
			if total += admittedCount; g.RatePerSecond > 0 &&
				float64(total) > g.RatePerSecond*now/1000+2*max(2, g.RatePerSecond*burstWindow/1000)+1 {
				t.Fatalf("admitted %d calls in %.0f ms, above the limit of %v per second", total, now, g.RatePerSecond)
			}
			pending = max(0, pending+admittedCount-rapid.IntRange(0, 30).Draw(t, "ended"))
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
		t.Errorf("admitted %d of 200 calls of equal weight, want 100", n)
	}
	g := &Gate{MaxPending: 100}
	weights := make([]float64, 200)
	for i := range weights {
		weights[i] = 1
	}
	weights[3] = 8
	if n := count(g.Admit(0, weights, 0)); n != 90 {
		t.Errorf("admitted %d of 200 calls, want 90", n)
	}
	if n := count(g.Admit(1, []float64{8, 1}, 95)); n != 1 {
		t.Errorf("admitted %d calls from the reserve, want 1 (the call of high weight)", n)
	}
}

// TestRefusals checks that a refusal is known for at least Retention and is later forgotten (it may still be known
// after 1500 ms, since two generations are kept), and that the number of remembered refusals is bounded.
func TestRefusals(t *testing.T) {
	r := &Refusals{Retention: 1000}
	r.Add(0, 7)
	for _, c := range []struct {
		now  float64
		want bool
	}{{500, true}, {999, true}, {1500, true}, {3000, false}} {
		if got := r.Known(c.now, 7); got != c.want {
			t.Errorf("at %v ms: Known(7) = %v, want %v", c.now, got, c.want)
		}
	}
	for i := range uint64(3 * maxRemembered) {
		r.Add(3000, i)
	}
	if r.Len() > 2*maxRemembered {
		t.Errorf("%d refusals remembered, want at most %d", r.Len(), 2*maxRemembered)
	}
}
