package detrand

import "testing"

// TestUniform checks that numbers are distributed evenly, and equal for equal values.
func TestUniform(t *testing.T) {
	var bins [10]int
	for i := range uint64(20000) {
		v := Float64(7, i)
		if v != Float64(7, i) || v < 0 || v >= 1 {
			t.Fatalf("draw %d: %v", i, v)
		}
		bins[int(v*10)]++
	}
	for i, n := range bins {
		if n < 1850 || n > 2150 {
			t.Errorf("%d of 20000 numbers in the bin from %d tenths", n, i)
		}
	}
	if Float64(1, 2) == Float64(2, 1) {
		t.Error("the order of the values has no effect")
	}
}
