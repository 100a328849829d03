package shutdown

import "testing"

// TestStages checks that each stage lasts until its work is done, but no longer than its limit.
func TestStages(t *testing.T) {
	for _, c := range []struct {
		name string
		s    Stage
		t    Status
		want Stage
	}{
		{"no shutdown requested", Serving, Status{SinceSignal: 9000}, Serving},
		{"calls may still arrive", AdmittingCalls, Status{SinceSignal: 700, MaxTimeout: 9000}, AdmittingCalls},
		{"accept window is over", AdmittingCalls, Status{SinceSignal: 701, MaxTimeout: 9000}, Rejecting},
		{"short timeouts: the kill comes at 800 ms", AdmittingCalls, Status{SinceSignal: 501, MaxTimeout: 100}, Rejecting},
		{"calls may be in transit", Rejecting, Status{SinceSignal: 1100, MaxTimeout: 9000}, Rejecting},
		{"no calls left", Rejecting, Status{SinceSignal: 1101, MaxTimeout: 9000}, Flushing},
		{"pending call", Rejecting, Status{SinceSignal: 3400, MaxTimeout: 9000, PendingCalls: 1}, Rejecting},
		{"established call", Rejecting, Status{SinceSignal: 3400, MaxTimeout: 9000, EstablishedCalls: 1}, Rejecting},
		{"close to the kill", Rejecting, Status{SinceSignal: 3401, MaxTimeout: 9000, PendingCalls: 1, EstablishedCalls: 1},
			Flushing},
		{"close to the kill, shorter timeout", Rejecting, Status{SinceSignal: 1401, MaxTimeout: 1000, EstablishedCalls: 1},
			Flushing},
		{"connections are still accepted", Flushing, Status{InStage: 100, Listening: true}, Flushing},
		{"unsent answer", Flushing, Status{InStage: 100, UnsentConns: 1}, Flushing},
		{"late call without an answer", Flushing, Status{InStage: 100, PendingCalls: 1}, Flushing},
		{"all answers sent", Flushing, Status{InStage: 1}, HalfClosing},
		{"a client does not read", Flushing, Status{InStage: 121, UnsentConns: 1, Listening: true}, HalfClosing},
		{"a client has not closed", HalfClosing, Status{InStage: 60, OpenConns: 1}, HalfClosing},
		{"all clients have closed", HalfClosing, Status{InStage: 1}, Stopped},
		{"a client never closes", HalfClosing, Status{InStage: 61, OpenConns: 1}, Stopped},
		{"stopped", Stopped, Status{}, Stopped},
	} {
		if got := c.s.Next(c.t); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}
