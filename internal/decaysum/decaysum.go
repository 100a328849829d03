// Package decaysum provides sums of terms that decay exponentially with time. It has no clock: the time is passed in,
// in milliseconds.
package decaysum

import "math"

// Sum is an exponentially decaying sum. Use New: the zero value has no window.
type Sum struct{ window, value, updatedAt float64 }

// New returns an empty sum whose terms decay with a time constant of window ms.
func New(window float64) Sum { return Sum{window: window} }

// Read returns the sum at a time.
func (s *Sum) Read(now float64) float64 {
	s.value *= math.Exp((s.updatedAt - now) / s.window)
	s.updatedAt = now
	return s.value
}

// Add adds a term at a time.
func (s *Sum) Add(now, term float64) {
	s.value = s.Read(now) + term
	s.updatedAt = now
}

// Rate returns the mean over the window, in terms a millisecond.
func (s *Sum) Rate(now float64) float64 { return s.Read(now) / s.window }
