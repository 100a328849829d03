package dnsclient

import (
	"fmt"
	"slices"
	"testing"

	"github.com/miekg/dns"
	"pgregory.net/rapid"

	"cobaltpier/internal/decision/enum"
	"cobaltpier/internal/detrand"
	"cobaltpier/internal/emulator/dnsserver"
)

// A response must match the query in server, port, id, name including letter case, and type.
func TestMatches(t *testing.T) {
	r := silent(t, func(c *Config) { c.Tries = 1 })
	g := r.ask("14185551234", 5000)
	s := r.pending()
	other := func(n string) string {
		for i, c := range n {
			if c >= 'a' && c <= 'z' {
				return n[:i] + string(c-32) + n[i+1:]
			}
		}
		return n
	}
	get := func(change func(m *dns.Msg)) { r.c.Receive(1, s.key.port, s.key.from, r.reply(s, change)) }
	for what, send := range map[string]func(){
		"another server": func() { r.c.Receive(1, s.key.port, addr(5), r.reply(s, nil)) },
		"another port":   func() { r.c.Receive(1, s.key.port+1, s.key.from, r.reply(s, nil)) },
		"another id":     func() { get(func(m *dns.Msg) { m.Id++ }) },
		"another name":   func() { get(func(m *dns.Msg) { m.Question[0].Name = "1." + s.name }) },
		"other letters":  func() { get(func(m *dns.Msg) { m.Question[0].Name = other(s.name) }) },
		"another type":   func() { get(func(m *dns.Msg) { m.Question[0].Qtype = dns.TypeTXT }) },
		"no question":    func() { get(func(m *dns.Msg) { m.Question = nil }) },
		"a question":     func() { get(func(m *dns.Msg) { m.Response = false }) },
		"cut off":        func() { r.c.Receive(1, s.key.port, s.key.from, r.reply(s, nil)[:40]) },
		"nearly nothing": func() { r.c.Receive(1, s.key.port, s.key.from, []byte{1}) },
	} {
		before := r.c.Counts.Strays
		if send(); g.n != 0 || r.c.Counts.Strays != before+1 {
			t.Fatalf("%s: %d answers, %d strays", what, g.n, r.c.Counts.Strays-before)
		}
	}
	if get(nil); g.n != 1 || g.Status != Found {
		t.Errorf("the right one: %+v", g)
	}
}

// A response over TCP must match the query, including its id.
func TestStreamMatches(t *testing.T) {
	for what, change := range map[string]func(m *dns.Msg){"another id": func(m *dns.Msg) { m.Id++ },
		"another name":  func(m *dns.Msg) { m.Question[0].Name = "1.e164.test." },
		"the right one": nil} {
		r := silent(t, func(c *Config) { c.Tries = 1 })
		g := r.ask("14185551234", 5000)
		s := r.pending()
		r.c.Receive(1, s.key.port, s.key.from, r.reply(s, func(m *dns.Msg) { m.Truncated = true }))
		s = r.pending()
		r.now = 2
		r.c.OnStreamResponse(2, s.token, r.reply(s, change))
		if (g.Status == Found && g.n == 1) != (change == nil) {
			t.Errorf("%s: %+v", what, g)
		}
		if r.run(3000); g.n != 1 {
			t.Errorf("%s: %d answers", what, g.n)
		}
	}
}

// CNAMEs are followed; an SOA record of another zone does not make a negative answer, and neither does a referral.
func TestParseResponse(t *testing.T) {
	soa := func(zone string) []dns.RR {
		return []dns.RR{
			&dns.SOA{
				Hdr:    dns.RR_Header{Name: zone, Rrtype: dns.TypeSOA, Class: dns.ClassINET, Ttl: 60},
				Ns:     "n.",
				Mbox:   "m.",
				Minttl: 60,
			},
		}
	}
	cname := func(from, to string) dns.RR {
		return &dns.CNAME{Hdr: dns.RR_Header{Name: from, Rrtype: dns.TypeCNAME, Class: dns.ClassINET, Ttl: 60}, Target: to}
	}
	for what, c := range map[string]struct {
		change func(m *dns.Msg)
		want   Status
	}{
		"a name of a name": {func(m *dns.Msg) {
			m.Answer = []dns.RR{naptr("b.test."), cname(m.Question[0].Name, "a.test."), cname("a.test.", "b.test.")}
		}, Found},
		"names in a ring": {func(m *dns.Msg) {
			m.Answer = []dns.RR{cname(m.Question[0].Name, "a.test."), cname("a.test.", m.Question[0].Name)}
		}, None},
		"none, by the zone": {func(m *dns.Msg) {
			m.Answer, m.Authoritative, m.Rcode, m.Ns = nil, false, dns.RcodeNameError, soa("e164.test.")
		}, None},
		"none, by another zone": {func(m *dns.Msg) {
			m.Answer, m.Authoritative, m.Rcode, m.Ns = nil, false, dns.RcodeNameError, soa("other.test.")
		}, Failed},
		"pointed elsewhere": {func(m *dns.Msg) {
			m.Answer, m.Authoritative, m.RecursionAvailable = nil, false, true
			m.Ns = []dns.RR{&dns.NS{Hdr: dns.RR_Header{Name: "e164.test.", Rrtype: dns.TypeNS, Class: dns.ClassINET, Ttl: 60},
				Ns: "n.test."}}
		}, Failed},
		"a fault": {func(m *dns.Msg) { m.Rcode = dns.RcodeServerFailure }, Failed},
	} {
		r := silent(t, func(c *Config) { c.Tries = 1 })
		g := r.ask("14185551234", 5000)
		s := r.pending()
		r.c.Receive(1, s.key.port, s.key.from, r.reply(s, c.change))
		if r.run(3000); g.n != 1 || g.Status != c.want {
			t.Errorf("%s: %+v, want %d", what, g, c.want)
		}
	}
}

// Any datagram is handled without a panic, and a look-up is answered exactly once.
func FuzzReceive(f *testing.F) {
	m := new(dns.Msg)
	m.SetQuestion("4.3.2.1.e164.test.", dns.TypeNAPTR)
	m.Response = true
	b, _ := m.Pack()
	f.Add(b)
	rr, err := dns.NewRR(`4.3.2.1.e164.test. 60 IN NAPTR 1 2 "u" "E2U+sip" "!^.*$!sip:a@x!" .`)
	if err != nil {
		f.Fatal(err)
	}
	m.Answer = []dns.RR{rr}
	b, _ = m.Pack()
	f.Add(b)
	f.Fuzz(func(t *testing.T, data []byte) {
		r := newTestHost(t, 1, nil)
		r.servers[0].Faults.Silent = true
		g := r.ask("1234", 500)
		for k, s := range r.c.outstanding {
			if len(data) > 2 {
				data = slices.Clone(data)
				data[0], data[1] = byte(k.id>>8), byte(k.id)
			}
			s.name = "4.3.2.1.e164.test."
			r.c.Receive(1, k.port, k.from, data)
		}
		r.run(5000)
		if g.n != 1 {
			t.Errorf("%d answers", g.n)
		}
	})
}

// A name is never answered with the rules of another name. Answers are checked against the zone, with random look-ups,
// timing and server faults.
func TestAnswersBelongToName(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newTestHost(t, 3, func(c *Config) { c.Seed = rapid.Uint64().Draw(rt, "seed"); c.Cache.MaxEntries = 20 })
		r.servers[0].Zone.TTL = uint32(rapid.IntRange(0, 3).Draw(rt, "ttl"))
		type q struct {
			n     string
			g     *got
			until float64
		}
		var qs []q
		for i := range rapid.IntRange(10, 120).Draw(rt, "steps") {
			if rapid.IntRange(0, 4).Draw(rt, "trouble") == 0 {
				u := func(k uint64) float64 { return detrand.Float64(uint64(i), k, r.c.cfg.Seed) }
				r.servers[int(3*u(0))].Faults = dnsserver.Faults{
					Silent:    u(1) < 0.2,
					Delay:     300 * u(2),
					Jitter:    300 * u(3),
					Loss:      u(4) * u(4),
					WrongID:   u(5) * u(5),
					Spoof:     u(6) * u(6),
					Guesses:   int(30 * u(7)),
					Truncated: u(8) * u(8),
					NoStream:  u(9) < 0.3,
					Lame:      u(10) < 0.1,
					Refer:     u(11) < 0.1,
					ServFail:  u(12) < 0.1,
					Poison:    u(13) < 0.5,
				}
			}
			n := fmt.Sprint(14180000000 + rapid.IntRange(0, 40).Draw(rt, "number"))
			within := rapid.Float64Range(1, 800).Draw(rt, "within")
			qs = append(qs, q{n, r.ask(n, within), r.now + within})
			r.run(r.now + rapid.Float64Range(0, 400).Draw(rt, "pause"))
		}
		r.run(r.now + 10000) // five queries of a second each, and streams
		for _, q := range qs {
			if q.g.n != 1 || q.g.at > q.until+1e-6 {
				rt.Fatalf("%s: %d answers, at %.1f of %.1f", q.n, q.g.n, q.g.at, q.until)
			}
			if q.g.Status == None && r.servers[0].Zone.Exists(q.n) {
				rt.Fatalf("%s exists, and was said not to", q.n)
			}
			if q.g.Status == Found {
				res, err := enum.Apply("+"+q.n, q.g.Rules, "pstn:tel")
				_, p, _ := enum.Tel(res.URI)
				if err != nil || p.Routing != r.servers[0].Zone.Routing(q.n) {
					rt.Fatalf("%s: %v, %v", q.n, res, err)
				}
			}
		}
		if f, _ := r.c.OpenCounts(); f != 0 || len(r.c.outstanding) != 0 {
			rt.Fatalf("left over: %d names, %d queries", f, len(r.c.outstanding))
		}
	})
}
