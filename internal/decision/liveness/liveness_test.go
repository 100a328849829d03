package liveness

import "testing"

// TestAssess: silence alone proves nothing, nor do unanswered dials. Both together do, and so does a long time without
// any connection.
func TestAssess(t *testing.T) {
	for _, c := range []struct {
		quiet, away float64
		unanswered  int
		want        Liveness
	}{{1500, 0, 5, Alive}, {1501, 0, 0, Suspect}, {4000, 0, 5, Suspect}, {60000, 0, 1, Suspect}, {4001, 0, 2, Dead},
		{6500, 6500, 0, Suspect}, {6501, 6501, 0, Dead}} {
		if got := Assess(c.quiet, c.away, c.unanswered); got != c.want {
			t.Errorf("quiet %v ms, away %v ms, %d unanswered: %v, want %v", c.quiet, c.away, c.unanswered, got, c.want)
		}
	}
}
