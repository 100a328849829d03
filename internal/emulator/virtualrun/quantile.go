package virtualrun

import (
	"math"
	"slices"
)

// quantile sorts what it gets; NaN values nothing.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
