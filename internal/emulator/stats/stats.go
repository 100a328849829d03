// Package stats compares paired measurements.
package stats

//tally:standin

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Paired summarises the differences of paired measurements.
type Paired struct {
	N             int
	Mean          float64
	Low, High     float64 // confidence interval of the mean difference
	A, B          float64 // means of the two sides
	Higher, Lower int     // number of pairs in which B is above or below A
	Confidence    float64
}

// Compare takes the differences b-a, pair by pair, and the confidence interval of their mean by Student's t
// distribution. With fewer than two pairs the interval is unbounded.
func Compare(a, b []float64, confidence float64) Paired {
	n := min(len(a), len(b))
	p := Paired{N: n, Low: math.Inf(-1), High: math.Inf(1), Confidence: confidence}
	if n == 0 {
		return p
	}
	differences := make([]float64, n)
	for i := range n {
		differences[i] = b[i] - a[i]
		switch {
		case differences[i] > 0:
			p.Higher++
		case differences[i] < 0:
			p.Lower++
		}
	}
	p.A, p.B, p.Mean = stat.Mean(a[:n], nil), stat.Mean(b[:n], nil), stat.Mean(differences, nil)
	if n < 2 {
		return p
	}
	halfWidth := distuv.StudentsT{
		Mu:    0,
		Sigma: 1,
		Nu:    float64(n - 1),
	}.Quantile(0.5+confidence/2) * stat.StdDev(differences, nil) / math.Sqrt(float64(n))
	p.Low, p.High = p.Mean-halfWidth, p.Mean+halfWidth
	return p
}

// Verdict says which side is higher, if the interval excludes zero.
func (p Paired) Verdict() string {
	switch {
	case p.N < 2:
		return "too few days to tell"
	case p.Low > 0:
		return "B is higher"
	case p.High < 0:
		return "B is lower"
	}
	return "no difference beyond the noise"
}

func (p Paired) String() string {
	return fmt.Sprintf(
		"A %.4f  B %.4f  B-A %+.4f [%+.4f, %+.4f] at %.0f %%, %d pairs (%d up, %d down): %s",
		p.A,
		p.B,
		p.Mean,
		p.Low,
		p.High,
		100*p.Confidence,
		p.N,
		p.Higher,
		p.Lower,
		p.Verdict(),
	)
}
