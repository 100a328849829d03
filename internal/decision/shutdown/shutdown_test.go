package shutdown

import "testing"

// TestStages: each stage waits for what must be done in it, and for no longer than its limit.
func TestStages(t *testing.T) {
	for _, c := range []struct {
		what string
		s    Stage
		t    Status
		want Stage
	}{
		{"nobody told it", Serving, Status{SinceSignal: 9000}, Serving},
		{"calls still come", Accepting, Status{SinceSignal: 700, MaxTimeout: 9000}, Accepting},
		{"no more come", Accepting, Status{SinceSignal: 701, MaxTimeout: 9000}, Rejecting},
		{"no class is patient: it is killed at 800", Accepting, Status{SinceSignal: 501, MaxTimeout: 100}, Rejecting},
		{"some may be on their way", Rejecting, Status{SinceSignal: 1100, MaxTimeout: 9000}, Rejecting},
		{"nothing is held", Rejecting, Status{SinceSignal: 1101, MaxTimeout: 9000}, Flushing},
		{"a call waits", Rejecting, Status{SinceSignal: 3400, MaxTimeout: 9000, PendingCalls: 1}, Rejecting},
		{"a call stands", Rejecting, Status{SinceSignal: 3400, MaxTimeout: 9000, EstablishedCalls: 1}, Rejecting},
		{"soon it is killed", Rejecting, Status{SinceSignal: 3401, MaxTimeout: 9000, PendingCalls: 1, EstablishedCalls: 1},
			Flushing},
		{"soon, with a shorter timeout", Rejecting, Status{SinceSignal: 1401, MaxTimeout: 1000, EstablishedCalls: 1},
			Flushing},
		{"somebody may be at the door", Flushing, Status{InStage: 100, Listening: true}, Flushing},
		{"an answer has not left", Flushing, Status{InStage: 100, UnsentConns: 1}, Flushing},
		{"one that came last has none", Flushing, Status{InStage: 100, PendingCalls: 1}, Flushing},
		{"all have left", Flushing, Status{InStage: 1}, HalfClosing},
		{"one reads nothing", Flushing, Status{InStage: 121, UnsentConns: 1, Listening: true}, HalfClosing},
		{"a caller has not closed", HalfClosing, Status{InStage: 60, OpenConns: 1}, HalfClosing},
		{"all have", HalfClosing, Status{InStage: 1}, Stopped},
		{"one never does", HalfClosing, Status{InStage: 61, OpenConns: 1}, Stopped},
		{"it is over", Stopped, Status{}, Stopped},
	} {
		if got := c.s.Next(c.t); got != c.want {
			t.Errorf("%s: %d, want %d", c.what, got, c.want)
		}
	}
}
