// Package attempts tracks the attempts of a call until all of them have ended. It makes no routing decisions.
package attempts

//tally:decisions

import "cobaltpier/internal/routing"

// Tracker is a call with its attempts.
type Tracker struct {
	*routing.Call
	ID  string             // identifies the call at the host
	Log []*routing.Attempt // in the order of sending; nil once an attempt has ended

	open int
}

// Begin records an attempt that is about to be sent. Its HostData is its index in Log.
func (t *Tracker) Begin(endpoint *routing.Endpoint, now float64) *routing.Attempt {
	attempt := &routing.Attempt{Call: t.Call, Endpoint: endpoint, SentAt: now, HostData: len(t.Log)}
	t.Log = append(t.Log, attempt)
	t.open++
	t.InFlight = attempt
	return attempt
}

// Ended reports whether the end of an attempt was recorded.
func (t *Tracker) Ended(attempt *routing.Attempt) bool { return t.Log[attempt.HostData.(int)] == nil }

// RecordOutcome records the end of an attempt and its latency in ms; finished: its call needs no further answer.
func (t *Tracker) RecordOutcome(attempt *routing.Attempt, outcome routing.Outcome, latency float64, finished bool) {
	t.Log[attempt.HostData.(int)] = nil
	t.open--
	attempt.Latency, attempt.Outcome = latency, outcome
	if t.InFlight == attempt {
		t.InFlight = nil
	}
	t.Finished = t.Finished || finished
}

// Done reports whether the call has its final answer and no attempt in progress, so that it can be removed.
func (t *Tracker) Done() bool { return t.Finished && t.open == 0 }
