package virtualrun

import (
	"math"
	"slices"
)

// quantile sorts what it gets; NaN of nothing.
func quantile(of []float64, q float64) float64 {
	if len(of) == 0 {
		return math.NaN()
	}
	slices.Sort(of)
	return of[min(len(of)-1, int(q*float64(len(of))))]
}
