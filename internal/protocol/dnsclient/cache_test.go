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
		host := newSilentHost(t, nil)
		host.lookUp("1", 500)
		query := host.outstandingQuery()
		host.client.Receive(
			0,
			query.key.port,
			query.key.from,
			host.reply(query, func(m *dns.Msg) { m.Answer[0].Header().Ttl = uint32(c.ttl) }),
		)
		host.now = c.kept - 1
		if result := host.lookUp("1", 500); !result.Cached || result.Stale {
			t.Errorf("TTL %v s, %v ms later: want the cached answer, got %+v", c.ttl, host.now, result)
		}
		host.now = c.kept + 1
		if result := host.lookUp("1", 500); result.count != 0 {
			t.Errorf("TTL %v s, %v ms later: want no answer yet, got %+v", c.ttl, host.now, result)
		}
	}
	host := newTestHost(t, 2, nil)
	for _, server := range host.servers {
		server.Faults = dnsserver.Faults{Delay: 5, ServFail: true}
	}
	host.client.cfg.MaxQueries = 2 // too few for a server to count as lame
	result := host.lookUp("1", 5000)
	host.run(1000)
	if sent := host.sent[0] + host.sent[1]; result.count != 1 || result.Status != Failed || sent != 2 {
		t.Fatalf("want one failure after 2 queries, got %+v, %d sent", result, sent)
	}
	if result := host.lookUp("1", 500); result.count != 1 || host.sent[0]+host.sent[1] != 2 {
		t.Errorf("look-up before FailureTTL has passed: want one answer and no query, got %+v, sent %v",
			result, host.sent)
	}
	host.run(2000)
	if result := host.lookUp("1", 500); result.count != 0 {
		t.Errorf("look-up after FailureTTL: want no answer yet, got %+v", result)
	}
}

// A stale answer is served after StaleAfter while the query is still outstanding; its late response is cached.
func TestStaleAfter(t *testing.T) {
	host := newTestHost(t, 1, nil)
	host.servers[0].Zone.TTL = 1
	number := host.portedNumber()
	host.lookUp(number, 500)
	host.run(2000)
	host.servers[0].Faults.Delay = 300
	started := host.now
	result := host.lookUp(number, 1000)
	host.run(started + 900)
	if result.count != 1 || !result.Stale || result.at != started+100 {
		t.Errorf("want one stale answer after 100 ms, got %+v, looked up at %v", result, started)
	}
	if result := host.lookUp(number, 1000); !result.Cached || result.Stale {
		t.Errorf("after the late response: want the cached answer, got %+v", result)
	}
}
