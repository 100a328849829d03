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
	c       *Client
	events  timerqueue.Queue
	now     float64
	servers []*dnsserver.Server
	addrs   []netip.AddrPort
	sent    []int // datagrams by server
	streams int
	ids     map[uint16]bool
	ports   map[int]int
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(1 + i)}), 53)
}

func newTestHost(t testing.TB, n int, change func(*Config)) *testHost {
	r := &testHost{t: t, sent: make([]int, n), ids: map[uint16]bool{}, ports: map[int]int{}}
	z := &dnsserver.Zone{
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
		Tries:      5,
		StaleAfter: 100,
		Cache: CacheTimes{
			MaxEntries:     10000,
			MinTTL:         1000,
			MaxTTL:         3600e3,
			MaxNegativeTTL: 30e3,
			StaleTime:      600e3,
			FailureTTL:     1000,
		},
	}
	for i := range n {
		r.addrs = append(r.addrs, addr(i))
		r.servers = append(
			r.servers,
			&dnsserver.Server{Zone: z, Seed: uint64(i), Faults: dnsserver.Faults{Delay: 10, Jitter: 4}},
		)
	}
	cfg.Servers = r.addrs
	if change != nil {
		change(&cfg)
	}
	r.c = New(cfg, r)
	return r
}

func (r *testHost) Query(port int, to netip.AddrPort, data []byte) {
	i := slices.Index(r.addrs, to)
	r.sent[i]++
	r.ids[uint16(data[0])<<8|uint16(data[1])] = true
	r.ports[port]++
	for _, x := range r.servers[i].Datagram(data) {
		r.events.Schedule(r.now+x.After, func() { r.c.Receive(r.now, port, to, x.Data) })
	}
}

func (r *testHost) Stream(token uint64, to netip.AddrPort, data []byte, within float64) {
	r.streams++
	xs := r.servers[slices.Index(r.addrs, to)].Stream(data)
	if len(xs) == 0 {
		return // the client's own timeout ends the query
	}
	r.events.Schedule(r.now+xs[0].After, func() { r.c.OnStreamResponse(r.now, token, xs[0].Data) })
}

func (r *testHost) run(until float64) {
	for {
		at := math.Min(r.events.Next(), r.c.NextWakeup())
		if at > until {
			r.now = until
			return
		}
		r.now = math.Max(at, r.now)
		r.events.Run(r.now)
		r.c.Step(r.now)
	}
}

type got struct {
	Answer
	at float64
	n  int
}

func (r *testHost) ask(number string, within float64) *got {
	d, err := enum.Domain(number, "e164.test.")
	if err != nil {
		r.t.Fatal(err)
	}
	g := &got{}
	r.c.Query(r.now, d, within, func(now float64, a Answer) { *g = got{a, now, g.n + 1} })
	return g
}

// find returns a number that satisfies the condition.
func (r *testHost) find(want func(z *dnsserver.Zone, n string) bool) string {
	for i := range 10000 {
		if n := fmt.Sprint(14185550000 + i); want(r.servers[0].Zone, n) {
			return n
		}
	}
	r.t.Fatal("no such number")
	return ""
}

func (r *testHost) ported() string {
	return r.find(func(z *dnsserver.Zone, n string) bool { return z.Routing(n) != "" })
}

// pending returns the one outstanding query.
func (r *testHost) pending() *outstandingQuery {
	for _, s := range r.c.outstanding {
		return s
	}
	for _, s := range r.c.streams {
		return s
	}
	r.t.Fatal("no outstanding query")
	return nil
}

// reply builds a response to a query, modified by change.
func (r *testHost) reply(s *outstandingQuery, change func(m *dns.Msg)) []byte {
	m := new(dns.Msg)
	m.SetQuestion(s.name, dns.TypeNAPTR)
	m.Id, m.Response, m.Authoritative = s.key.id, true, true
	m.Answer = []dns.RR{naptr(s.name)}
	if change != nil {
		change(m)
	}
	b, err := m.Pack()
	if err != nil {
		r.t.Fatal(err)
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

// silent returns a host whose server does not respond, so that the test supplies the responses.
func silent(t testing.TB, change func(*Config)) *testHost {
	r := newTestHost(t, 1, change)
	r.servers[0].Faults = dnsserver.Faults{Silent: true}
	return r
}
