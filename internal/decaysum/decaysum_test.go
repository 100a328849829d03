package decaysum

import (
	"math"
	"testing"
)

// TestSum compares a sum with the formula evaluated term by term.
func TestSum(t *testing.T) {
	const window = 5000.0
	sum := New(window)
	terms := map[float64]float64{0: 1, 100: 2, 2500: 0.5, 9000: 4}
	for _, at := range []float64{0, 100, 2500, 9000} {
		sum.Add(at, terms[at])
	}
	const now = 12000.0
	want := 0.0
	for at, term := range terms {
		want += term * math.Exp((at-now)/window)
	}
	if got := sum.Read(now); math.Abs(got-want) > 1e-12 {
		t.Errorf("sum is %v, want %v", got, want)
	}
	if got := sum.Rate(now); math.Abs(got-want/window) > 1e-12 {
		t.Errorf("rate is %v, want %v", got, want/window)
	}
}
