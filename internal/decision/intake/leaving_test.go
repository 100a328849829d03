package intake

import "testing"

// Each stage waits for what is owed in it, and for no longer than its bound.
func TestStages(t *testing.T) {
	for _, c := range []struct {
		what string
		s    Stage
		t    Told
		want Stage
	}{
		{"nobody told it", Serving, Told{Since: 9000}, Serving},
		{"contacts still come", Taking, Told{Since: 700, Patience: 9000}, Taking},
		{"no more come", Taking, Told{Since: 701, Patience: 9000}, Deferring},
		{"no class is patient: it is killed at 800", Taking, Told{Since: 501, Patience: 100}, Deferring},
		{"some may be on their way", Deferring, Told{Since: 1100, Patience: 9000}, Deferring},
		{"nothing is held", Deferring, Told{Since: 1101, Patience: 9000}, Flushing},
		{"a contact waits", Deferring, Told{Since: 3400, Patience: 9000, Waiting: 1}, Deferring},
		{"a call stands", Deferring, Told{Since: 3400, Patience: 9000, Standing: 1}, Deferring},
		{"soon it is killed", Deferring, Told{Since: 3401, Patience: 9000, Waiting: 1, Standing: 1}, Flushing},
		{"soon, with a shorter patience", Deferring, Told{Since: 1401, Patience: 1000, Standing: 1}, Flushing},
		{"somebody may be at the door", Flushing, Told{In: 100, Accepting: true}, Flushing},
		{"an answer has not left", Flushing, Told{In: 100, Unsent: 1}, Flushing},
		{"one that came last has none", Flushing, Told{In: 100, Waiting: 1}, Flushing},
		{"all have left", Flushing, Told{In: 1}, HalfClosing},
		{"one reads nothing", Flushing, Told{In: 121, Unsent: 1, Accepting: true}, HalfClosing},
		{"a caller has not closed", HalfClosing, Told{In: 60, Open: 1}, HalfClosing},
		{"all have", HalfClosing, Told{In: 1}, Over},
		{"one never does", HalfClosing, Told{In: 61, Open: 1}, Over},
		{"it is over", Over, Told{}, Over},
	} {
		if got := c.s.Next(c.t); got != c.want {
			t.Errorf("%s: %d, want %d", c.what, got, c.want)
		}
	}
}
