package intake

import "testing"

func TestSpent(t *testing.T) {
	for _, c := range []struct {
		what string
		l    Link
		at   float64
		want bool
	}{
		{"new and silent", Link{Opened: 0}, 1000, false},
		{"silent for long", Link{Opened: 0}, 2001, true},
		{"half a message", Link{Proven: true, Partial: true, Used: 0}, 2001, true},
		{"quiet for long, and a message has just begun", Link{Proven: true, Partial: true, Used: 0, Begun: 8000}, 9000, false},
		{"and does not go on", Link{Proven: true, Partial: true, Used: 0, Begun: 8000}, 10001, true},
		{"new, and a first message has begun late", Link{Partial: true, Begun: 1900}, 2500, false},
		{"and drips", Link{Partial: true, Begun: 1900}, 2801, true},
		{"an answer has not left", Link{Proven: true, Used: 0, Unsent: true, Stuck: 9000}, 60000, false},
		{"and never will", Link{Proven: true, Used: 0, Unsent: true, Stuck: 10000}, 60000, true},
		{"half a message under a set-up", Link{Proven: true, Partial: true, Open: 1}, 9000, false},
		{"it asked lately", Link{Proven: true, Used: 0}, 8000, false},
		{"nothing since", Link{Proven: true, Used: 0}, 12001, true},
		{"a call stands", Link{Proven: true, Used: 0, Standing: 1}, 60000, false},
		{"a set-up is open", Link{Proven: true, Used: 0, Open: 1}, 60000, false},
	} {
		if got := c.l.Spent(c.at); got != c.want {
			t.Errorf("%s: %v", c.what, got)
		}
	}
}

// Who has said nothing goes first, then who carries nothing; a connection with an open setup never.
func TestEvict(t *testing.T) {
	busy, stands := Link{Proven: true, Used: 1, Open: 1}, Link{Proven: true, Used: 2, Standing: 1}
	idle, later, silent := Link{Proven: true, Used: 500}, Link{Proven: true, Used: 600}, Link{Opened: 700, Used: 700}
	fresh := Link{Opened: 990, Used: 990}
	begun, further := Link{Used: 100, Partial: true, Begun: 1000}, Link{Proven: true, Used: 100, Partial: true, Begun: 1000}
	unsent := Link{Proven: true, Used: 1, Unsent: true}
	for _, c := range []struct {
		of   []Link
		want int
	}{
		{[]Link{busy, stands, idle, later, silent, fresh}, 4},
		{[]Link{busy, fresh, silent}, 2},
		{[]Link{busy, stands, later, idle}, 3},
		{[]Link{busy, idle, fresh, stands}, 1}, // who has just come is not shut out by who keeps an idle connection
		{[]Link{busy, fresh, stands}, 1},
		{[]Link{busy, stands}, 1},
		{[]Link{begun, further, unsent, stands}, 0}, // a message has begun: a further one goes last, and an answer never
		{[]Link{begun, idle, unsent}, 1},
		{[]Link{further, unsent, stands}, 2},
		{[]Link{further, unsent}, 0},
		{[]Link{unsent, busy}, -1},
		{[]Link{busy}, -1},
		{nil, -1},
	} {
		if got := Evict(1000, c.of); got != c.want {
			t.Errorf("%v: %d, want %d", c.of, got, c.want)
		}
	}
}

func TestLines(t *testing.T) {
	for _, c := range [][4]int{{256, 2, 4, 4}, {256, 30, 4, 2}, {256, 100, 4, 1}, {1024, 0, 4, 4}} {
		if got := Lines(c[0], c[1], c[2]); got != c[3] {
			t.Errorf("%d descriptors, %d switches: %d lines", c[0], c[1], got)
		}
	}
	if n := Callers(256); n < 256/3 || n+64 > 256-64 {
		t.Errorf("%d callers' connections of 256 descriptors", n)
	}
}

// Silence alone proves nothing, nor do unanswered tries: both together do; so does it to be without any line for long.
func TestSilence(t *testing.T) {
	for _, c := range []struct {
		quiet, away float64
		unanswered  int
		want        Life
	}{{1500, 0, 5, Lives}, {1501, 0, 0, Doubt}, {4000, 0, 5, Doubt}, {60000, 0, 1, Doubt}, {4001, 0, 2, Died},
		{6500, 6500, 0, Doubt}, {6501, 6501, 0, Died}} {
		if got := Silence(c.quiet, c.away, c.unanswered); got != c.want {
			t.Errorf("quiet %v ms, away %v ms, %d unanswered: %v, want %v", c.quiet, c.away, c.unanswered, got, c.want)
		}
	}
}
