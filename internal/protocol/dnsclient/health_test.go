package dnsclient

import (
	"fmt"
	"testing"
)

// Checks which responses and timeouts take a server down, and how timeouts grow with repeated queries.
func TestHealth(t *testing.T) {
	h := NewHealth(2)
	h.OnLame(0, 1)
	h.OnLame(0, 2)
	if h.UpCount(3) != 2 {
		t.Error("avoided after two lame responses: the names may be at fault")
	}
	h.OnValid(0)
	h.OnLame(0, 4)
	h.OnLame(0, 5)
	if h.UpCount(6) != 2 {
		t.Error("avoided, though there was a valid response in between")
	}
	if h.OnLame(0, 7); h.UpCount(8) != 1 || h.UpCount(7+lameDownTime) != 2 {
		t.Errorf("three lame responses in a row: want 1 server up, and 2 after lameDownTime, got %d and %d",
			h.UpCount(8), h.UpCount(7+lameDownTime))
	}
	h = NewHealth(1)
	h.OnResponse(0, 100, 10)
	for range 10 {
		h.OnTimeout(0, 500, 90)
	}
	if h.UpCount(500) != 1 {
		t.Error("down after timeouts of queries sent before its latest response")
	}
	for i := range 10 {
		h.OnTimeout(0, 600, 510+float64(i))
	}
	if h.UpCount(600) != 1 {
		t.Error("down within 90 ms, which may be one late burst")
	}
	if h.OnTimeout(0, 510+downAfterSilence, 600); h.UpCount(510+downAfterSilence) != 0 {
		t.Error("up after a dozen timeouts and 250 ms")
	}
	h = NewHealth(1)
	h.OnResponse(0, 0, 40)
	_, first := h.Choose(1, nil, 0.5)
	if _, again := h.Choose(1, []int{0}, 0.5); again != 2*first {
		t.Errorf("timeout %v, of the second query %v, want twice as long", first, again)
	}
	if _, again := h.Choose(1, []int{0, 0, 0, 0, 0, 0, 0, 0}, 0.5); again != maxTimeout {
		t.Errorf("timeout %v after many queries, want maxTimeout", again)
	}
}

// Ids, ports and letter case are random, so a spoofed response has to guess all of them.
func TestQueriesRandomized(t *testing.T) {
	host := newTestHost(t, 1, nil)
	mixed := map[string]bool{}
	for i := range 2000 {
		host.lookUp(fmt.Sprint(14180000000+i), 500)
		for key, query := range host.client.outstanding {
			_ = key
			mixed[query.name[len(query.name)-10:]] = true
		}
		host.run(host.now + 20)
	}
	if len(host.ids) < 1900 || len(host.ports) != 4 || len(mixed) != 32 { // five letters
		t.Errorf("want 1900 ids at least, 4 ports, 32 spellings of the apex; got %d, %v, %d",
			len(host.ids), host.ports, len(mixed))
	}
}
