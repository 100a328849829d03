package dnsclient

import (
	"testing"

	"github.com/miekg/dns"

	"cobaltpier/internal/emulator/dnsserver"
)

// An answer is cached for its TTL within the configured bounds. After a failed look-up, no query for the name is sent
// until FailureTTL has passed.
func TestCacheTimes(t *testing.T) {
	for _, c := range []struct{ ttl, kept float64 }{{0, 1000}, {60, 60e3}, {1e6, 3600e3}} {
		r := silent(t, nil)
		r.ask("1", 500)
		s := r.pending()
		r.c.Receive(0, s.key.port, s.key.from, r.reply(s, func(m *dns.Msg) { m.Answer[0].Header().Ttl = uint32(c.ttl) }))
		r.now = c.kept - 1
		if g := r.ask("1", 500); !g.Cached || g.Stale {
			t.Errorf("TTL %v s, %v ms later: %+v", c.ttl, r.now, g)
		}
		r.now = c.kept + 1
		if g := r.ask("1", 500); g.n != 0 {
			t.Errorf("TTL %v s, %v ms later: %+v", c.ttl, r.now, g)
		}
	}
	r := newTestHost(t, 2, nil)
	for _, s := range r.servers {
		s.Faults = dnsserver.Faults{Delay: 5, ServFail: true}
	}
	r.c.cfg.Tries = 2 // too few for a server to count as lame
	g := r.ask("1", 5000)
	r.run(1000)
	if sent := r.sent[0] + r.sent[1]; g.n != 1 || g.Status != Failed || sent != 2 {
		t.Fatalf("%+v, %d sent", g, sent)
	}
	if g := r.ask("1", 500); g.n != 1 || r.sent[0]+r.sent[1] != 2 {
		t.Errorf("soon after: %+v, sent %v", g, r.sent)
	}
	r.run(2000)
	if g := r.ask("1", 500); g.n != 0 {
		t.Errorf("later: %+v", g)
	}
}

// A stale answer is served after StaleAfter while the query is still outstanding; its late response is cached.
func TestStaleAfter(t *testing.T) {
	r := newTestHost(t, 1, nil)
	r.servers[0].Zone.TTL = 1
	n := r.ported()
	r.ask(n, 500)
	r.run(2000)
	r.servers[0].Faults.Delay = 300
	at := r.now
	g := r.ask(n, 1000)
	r.run(at + 900)
	if g.n != 1 || !g.Stale || g.at != at+100 {
		t.Errorf("%+v, asked at %v", g, at)
	}
	if g := r.ask(n, 1000); !g.Cached || g.Stale {
		t.Errorf("then: %+v", g)
	}
}
