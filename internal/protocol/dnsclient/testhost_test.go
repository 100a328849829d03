package dnsclient

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"

	"github.com/miekg/dns"

	"cobaltpier/internal/decision/enum"
	"cobaltpier/internal/emulator/dnsserver"
	"cobaltpier/internal/timerqueue"
)

// testHost runs a client and stand-in servers in virtual time.
type testHost struct {
	t       testing.TB
	client  *Client
	events  timerqueue.Queue
	now     float64
	servers []*dnsserver.Server
	addrs   []netip.AddrPort
	sent    []int // queries over UDP by server
	streams int   // queries over TCP
	ids     map[uint16]bool
	ports   map[int]int
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(1 + i)}), 53)
}

func newTestHost(t testing.TB, servers int, change func(*Config)) *testHost {
	host := &testHost{t: t, sent: make([]int, servers), ids: map[uint16]bool{}, ports: map[int]int{}}
	zone := &dnsserver.Zone{
		Apex:   "e164.test.",
		Seed:   5,
		Ported: 0.3,
		None:   0.1,
		TTL:    60,
		Routes: []string{"+15145550000", "+15145550001"},
	}
	cfg := Config{
		Ports:      4,
		Seed:       9,
		MaxLookups: 1000,
		MaxQueries: 5,
		StaleAfter: 100,
		Cache: CacheConfig{
			MaxEntries:     10000,
			MinTTL:         1000,
			MaxTTL:         3600e3,
			MaxNegativeTTL: 30e3,
			StaleTime:      600e3,
			FailureTTL:     1000,
		},
	}
	for i := range servers {
		host.addrs = append(host.addrs, addr(i))
		host.servers = append(
			host.servers,
			&dnsserver.Server{Zone: zone, Seed: uint64(i), Faults: dnsserver.Faults{Delay: 10, Jitter: 4}},
		)
	}
	cfg.Servers = host.addrs
	if change != nil {
		change(&cfg)
	}
	host.client = New(cfg, host)
	return host
}

func (h *testHost) Query(port int, to netip.AddrPort, data []byte) {
	i := slices.Index(h.addrs, to)
	h.sent[i]++
	h.ids[uint16(data[0])<<8|uint16(data[1])] = true
	h.ports[port]++
	for _, response := range h.servers[i].Datagram(data) {
		h.events.Schedule(h.now+response.After, func() { h.client.Receive(h.now, port, to, response.Data) })
	}
}

func (h *testHost) Stream(token uint64, to netip.AddrPort, data []byte, timeout float64) {
	h.streams++
	responses := h.servers[slices.Index(h.addrs, to)].Stream(data)
	if len(responses) == 0 {
		return // the client's own timeout ends the query
	}
	h.events.Schedule(h.now+responses[0].After, func() { h.client.OnStreamResponse(h.now, token, responses[0].Data) })
}

// run advances the time to until, and handles all responses and timers that are due.
func (h *testHost) run(until float64) {
	for {
		at := math.Min(h.events.Next(), h.client.NextWakeup())
		if at > until {
			h.now = until
			return
		}
		h.now = math.Max(at, h.now)
		h.events.Run(h.now)
		h.client.Step(h.now)
	}
}

// lookupResult is the latest answer to a look-up, and the number of answers.
type lookupResult struct {
	Answer
	at    float64 // time of that answer
	count int
}

// lookUp starts a look-up of a number.
func (h *testHost) lookUp(number string, timeout float64) *lookupResult {
	domain, err := enum.Domain(number, "e164.test.")
	if err != nil {
		h.t.Fatal(err)
	}
	r := &lookupResult{}
	h.client.Query(h.now, domain, timeout, func(now float64, a Answer) { *r = lookupResult{a, now, r.count + 1} })
	return r
}

// findNumber returns a number that satisfies the condition.
func (h *testHost) findNumber(want func(z *dnsserver.Zone, n string) bool) string {
	for i := range 10000 {
		if n := fmt.Sprint(14185550000 + i); want(h.servers[0].Zone, n) {
			return n
		}
	}
	h.t.Fatal("no number satisfies the condition")
	return ""
}

// portedNumber returns a number that the zone lists as ported.
func (h *testHost) portedNumber() string {
	return h.findNumber(func(z *dnsserver.Zone, n string) bool { return z.RoutingNumber(n) != "" })
}

// outstandingQuery returns the one outstanding query.
func (h *testHost) outstandingQuery() *outstandingQuery {
	for _, s := range h.client.outstanding {
		return s
	}
	for _, s := range h.client.streams {
		return s
	}
	h.t.Fatal("no outstanding query")
	return nil
}

// reply builds a response to a query, modified by change.
func (h *testHost) reply(s *outstandingQuery, change func(m *dns.Msg)) []byte {
	m := new(dns.Msg)
	m.SetQuestion(s.name, dns.TypeNAPTR)
	m.Id, m.Response, m.Authoritative = s.key.id, true, true
	m.Answer = []dns.RR{naptr(s.name)}
	if change != nil {
		change(m)
	}
	b, err := m.Pack()
	if err != nil {
		h.t.Fatal(err)
	}
	return b
}

func naptr(name string) dns.RR {
	return &dns.NAPTR{
		Hdr:         dns.RR_Header{Name: name, Rrtype: dns.TypeNAPTR, Class: dns.ClassINET, Ttl: 60},
		Flags:       "u",
		Service:     "E2U+sip",
		Regexp:      "!^.*$!sip:a@x!",
		Replacement: ".",
	}
}

// newSilentHost returns a host whose server does not respond, so that the test supplies the responses.
func newSilentHost(t testing.TB, change func(*Config)) *testHost {
	host := newTestHost(t, 1, change)
	host.servers[0].Faults = dnsserver.Faults{Silent: true}
	return host
}
