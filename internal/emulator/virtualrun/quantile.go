package virtualrun

import (
	"math"
	"slices"
)

// quantile returns the q-quantile of the values, NaN if there are none. It sorts them in place.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(q*float64(len(values))))]
}
