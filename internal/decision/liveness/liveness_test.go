package liveness

import "testing"

// TestAssess checks that an endpoint is not considered dead only because it sends nothing or only because dials are
// unanswered, but is if both hold, or after a long time without any connection.
func TestAssess(t *testing.T) {
	for _, c := range []struct {
		silentFor, disconnectedFor float64
		unanswered                 int
		want                       Liveness
	}{{1500, 0, 5, Alive}, {1501, 0, 0, Suspect}, {4000, 0, 5, Suspect}, {60000, 0, 1, Suspect}, {4001, 0, 2, Dead},
		{6500, 6500, 0, Suspect}, {6501, 6501, 0, Dead}} {
		if got := Assess(c.silentFor, c.disconnectedFor, c.unanswered); got != c.want {
			t.Errorf("silent %v ms, disconnected %v ms, %d unanswered: %v, want %v",
				c.silentFor, c.disconnectedFor, c.unanswered, got, c.want)
		}
	}
}

// TestIsStreamBroken guards against waiting for the rest of a message that never comes: closing the connection, a check
// each 250 ms and a new connection must fit into the second in which a release is due.
func TestIsStreamBroken(t *testing.T) {
	if IsStreamBroken(300) {
		t.Error("broken after 300 ms: the retransmission of one segment may take as long")
	}
	if !IsStreamBroken(600) {
		t.Error("not broken after 600 ms")
	}
}
