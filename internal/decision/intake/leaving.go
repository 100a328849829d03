package intake

import "math"

// Stage is how far a gateway is that was told to go (a planned restart).
type Stage int

// The stages, in their order. A gateway never goes back to an earlier one.
const (
	Serving     Stage = iota // nobody told it to go
	Taking                   // calls still come, and are taken
	Deferring                // what comes is rejected at once; what is held and stands goes on
	Flushing                 // nobody is let in any more, and what is held has its last answer: that has to leave
	HalfClosing              // callers' connections are ended in order, so that no answer is lost to a reset
	Over                     // the process may end
)

// Told is how a gateway stands that was told to go.
type Told struct {
	Since     float64 // ms since it was told
	In        float64 // ms since the stage began
	Patience  float64 // the longest of any class, ms
	Waiting   int     // calls without a final answer
	Standing  int     // calls that stand
	Accepting bool    // connections are still let in
	Unsent    int     // callers' connections with something that has not left
	Open      int     // callers' connections
}

// What the platform grants, and how it is used, ms.
const (
	comeOn   = 700.0  // so long after it has told a gateway to go calls may come
	stayOn   = 1100.0 // no end before, for calls on their way
	longest  = 3000.0 // it waits for no longer timeout than this before it kills
	lastWord = 300.0  // before that: what is still held is answered, in the time of the two below and some more
	flushFor = 120.0  // so long for answers to leave
	closeFor = 60.0   // and so long for callers to close
)

// Next is the stage after s, or s itself. It settles what is owed before the process goes: calls are answered before
// nobody is let in, answers leave before connections end, and connections end before the process does; each within a bound.
func (s Stage) Next(t Told) Stage {
	kill := comeOn + math.Min(longest, t.Patience)
	switch {
	case s == Taking && t.Since > math.Min(comeOn, kill-lastWord):
		return Deferring
	case s == Deferring && (t.Since > stayOn && t.Waiting == 0 && t.Standing == 0 || t.Since > kill-lastWord):
		return Flushing
	case s == Flushing && (!t.Accepting && t.Unsent == 0 && t.Waiting == 0 || t.In > flushFor):
		return HalfClosing
	case s == HalfClosing && (t.Open == 0 || t.In > closeFor):
		return Over
	}
	return s
}
