// Package attempts keeps the attempts of a call until all of them have ended. It decides nothing.
package attempts

//tally:decisions

import "cobaltpier/internal/routing"

// Tracker is a call with its attempts.
type Tracker struct {
	*routing.Call
	ID  string             // the host's name of the call
	Log []*routing.Attempt // by index, in the order of sending; nil where ended

	open int
}

// Begin records an attempt that is sent now. Its HostData is its index in Log.
func (t *Tracker) Begin(endpoint *routing.Endpoint, now float64) *routing.Attempt {
	attempt := &routing.Attempt{Call: t.Call, Endpoint: endpoint, SentAt: now, HostData: len(t.Log)}
	t.Log = append(t.Log, attempt)
	t.open++
	t.InFlight = attempt
	return attempt
}

// Ended tells whether the end of an attempt was recorded already.
func (t *Tracker) Ended(attempt *routing.Attempt) bool { return t.Log[attempt.HostData.(int)] == nil }

// RecordOutcome records the end of an attempt after so many ms; finished: its call needs no answer any more.
func (t *Tracker) RecordOutcome(attempt *routing.Attempt, outcome routing.Outcome, latency float64, finished bool) {
	t.Log[attempt.HostData.(int)] = nil
	t.open--
	attempt.Latency, attempt.Outcome = latency, outcome
	if t.InFlight == attempt {
		t.InFlight = nil
	}
	t.Finished = t.Finished || finished
}

// Done tells whether the call has its final answer and no attempt left, and may be forgotten.
func (t *Tracker) Done() bool { return t.Finished && t.open == 0 }
