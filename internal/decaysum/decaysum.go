// Package decaysum sums terms that decay exponentially with time. It has no clock: the time is handed in, in
// milliseconds.
package decaysum

import "math"

// Sum is a decaying sum; the zero value has no window and can't be used.
type Sum struct{ window, value, updatedAt float64 }

// New makes an empty sum whose terms decay with a time constant, the window, in ms.
func New(window float64) Sum { return Sum{window: window} }

// Read gives the sum at a time.
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

// Rate gives the terms a millisecond, as a mean over the window.
func (s *Sum) Rate(now float64) float64 { return s.Read(now) / s.window }
