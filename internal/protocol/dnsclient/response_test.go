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
	host := newSilentHost(t, func(c *Config) { c.MaxQueries = 1 })
	result := host.lookUp("14185551234", 5000)
	query := host.outstandingQuery()
	changeCase := func(n string) string {
		for i, c := range n {
			if c >= 'a' && c <= 'z' {
				return n[:i] + string(c-32) + n[i+1:]
			}
		}
		return n
	}
	respond := func(change func(m *dns.Msg)) {
		host.client.Receive(1, query.key.port, query.key.from, host.reply(query, change))
	}
	for name, send := range map[string]func(){
		"other server":   func() { host.client.Receive(1, query.key.port, addr(5), host.reply(query, nil)) },
		"other port":     func() { host.client.Receive(1, query.key.port+1, query.key.from, host.reply(query, nil)) },
		"other id":       func() { respond(func(m *dns.Msg) { m.Id++ }) },
		"other name":     func() { respond(func(m *dns.Msg) { m.Question[0].Name = "1." + query.name }) },
		"other case":     func() { respond(func(m *dns.Msg) { m.Question[0].Name = changeCase(query.name) }) },
		"other type":     func() { respond(func(m *dns.Msg) { m.Question[0].Qtype = dns.TypeTXT }) },
		"no question":    func() { respond(func(m *dns.Msg) { m.Question = nil }) },
		"not a response": func() { respond(func(m *dns.Msg) { m.Response = false }) },
		"truncated data": func() { host.client.Receive(1, query.key.port, query.key.from, host.reply(query, nil)[:40]) },
		"one octet":      func() { host.client.Receive(1, query.key.port, query.key.from, []byte{1}) },
	} {
		before := host.client.Counts.Strays
		if send(); result.count != 0 || host.client.Counts.Strays != before+1 {
			t.Fatalf("%s: want no answer and 1 unmatched response, got %d and %d",
				name, result.count, host.client.Counts.Strays-before)
		}
	}
	if respond(nil); result.count != 1 || result.Status != Found {
		t.Errorf("matching response: want one answer, got %+v", result)
	}
}

// A response over TCP must match the query, including its id.
func TestStreamMatches(t *testing.T) {
	for name, change := range map[string]func(m *dns.Msg){"other id": func(m *dns.Msg) { m.Id++ },
		"other name": func(m *dns.Msg) { m.Question[0].Name = "1.e164.test." },
		"matching":   nil} {
		host := newSilentHost(t, func(c *Config) { c.MaxQueries = 1 })
		result := host.lookUp("14185551234", 5000)
		query := host.outstandingQuery()
		host.client.Receive(1, query.key.port, query.key.from, host.reply(query, func(m *dns.Msg) { m.Truncated = true }))
		query = host.outstandingQuery()
		host.now = 2
		host.client.OnStreamResponse(2, query.token, host.reply(query, change))
		if (result.Status == Found && result.count == 1) != (change == nil) {
			t.Errorf("%s: want an answer only to the matching response, got %+v", name, result)
		}
		if host.run(3000); result.count != 1 {
			t.Errorf("%s: %d answers, want 1", name, result.count)
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
	for name, c := range map[string]struct {
		change func(m *dns.Msg)
		want   Status
	}{
		"chain of CNAMEs": {func(m *dns.Msg) {
			m.Answer = []dns.RR{naptr("b.test."), cname(m.Question[0].Name, "a.test."), cname("a.test.", "b.test.")}
		}, Found},
		"loop of CNAMEs": {func(m *dns.Msg) {
			m.Answer = []dns.RR{cname(m.Question[0].Name, "a.test."), cname("a.test.", m.Question[0].Name)}
		}, None},
		"negative, SOA of the zone": {func(m *dns.Msg) {
			m.Answer, m.Authoritative, m.Rcode, m.Ns = nil, false, dns.RcodeNameError, soa("e164.test.")
		}, None},
		"negative, SOA of another zone": {func(m *dns.Msg) {
			m.Answer, m.Authoritative, m.Rcode, m.Ns = nil, false, dns.RcodeNameError, soa("other.test.")
		}, Failed},
		"referral": {func(m *dns.Msg) {
			m.Answer, m.Authoritative, m.RecursionAvailable = nil, false, true
			m.Ns = []dns.RR{&dns.NS{Hdr: dns.RR_Header{Name: "e164.test.", Rrtype: dns.TypeNS, Class: dns.ClassINET, Ttl: 60},
				Ns: "n.test."}}
		}, Failed},
		"server failure": {func(m *dns.Msg) { m.Rcode = dns.RcodeServerFailure }, Failed},
	} {
		host := newSilentHost(t, func(c *Config) { c.MaxQueries = 1 })
		result := host.lookUp("14185551234", 5000)
		query := host.outstandingQuery()
		host.client.Receive(1, query.key.port, query.key.from, host.reply(query, c.change))
		if host.run(3000); result.count != 1 || result.Status != c.want {
			t.Errorf("%s: %+v, want %d", name, result, c.want)
		}
	}
}

// Any datagram is handled without a panic, and a look-up is answered exactly once.
func FuzzReceive(f *testing.F) {
	m := new(dns.Msg)
	m.SetQuestion("4.3.2.1.e164.test.", dns.TypeNAPTR)
	m.Response = true
	message, _ := m.Pack()
	f.Add(message)
	rr, err := dns.NewRR(`4.3.2.1.e164.test. 60 IN NAPTR 1 2 "u" "E2U+sip" "!^.*$!sip:a@x!" .`)
	if err != nil {
		f.Fatal(err)
	}
	m.Answer = []dns.RR{rr}
	message, _ = m.Pack()
	f.Add(message)
	f.Fuzz(func(t *testing.T, data []byte) {
		host := newTestHost(t, 1, nil)
		host.servers[0].Faults.Silent = true
		result := host.lookUp("1234", 500)
		for key, query := range host.client.outstanding {
			if len(data) > 2 {
				data = slices.Clone(data)
				data[0], data[1] = byte(key.id>>8), byte(key.id)
			}
			query.name = "4.3.2.1.e164.test."
			host.client.Receive(1, key.port, key.from, data)
		}
		host.run(5000)
		if result.count != 1 {
			t.Errorf("%d answers, want 1", result.count)
		}
	})
}

// A name is never answered with the rules of another name. Answers are checked against the zone, with random look-ups,
// timing and server faults.
func TestAnswersBelongToName(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		host := newTestHost(t, 3, func(c *Config) { c.Seed = rapid.Uint64().Draw(rt, "seed"); c.Cache.MaxEntries = 20 })
		host.servers[0].Zone.TTL = uint32(rapid.IntRange(0, 3).Draw(rt, "ttl"))
		type startedLookup struct {
			number   string
			result   *lookupResult
			deadline float64
		}
		var lookups []startedLookup
		for i := range rapid.IntRange(10, 120).Draw(rt, "steps") {
			if rapid.IntRange(0, 4).Draw(rt, "fault") == 0 {
				u := func(k uint64) float64 { return detrand.Float64(uint64(i), k, host.client.cfg.Seed) }
				host.servers[int(3*u(0))].Faults = dnsserver.Faults{
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
			timeout := rapid.Float64Range(1, 800).Draw(rt, "timeout")
			lookups = append(lookups, startedLookup{n, host.lookUp(n, timeout), host.now + timeout})
			host.run(host.now + rapid.Float64Range(0, 400).Draw(rt, "pause"))
		}
		host.run(host.now + 10000) // five UDP queries of a second each, and TCP queries
		for _, l := range lookups {
			if l.result.count != 1 || l.result.at > l.deadline+1e-6 {
				rt.Fatalf("%s: want one answer by the deadline, got %d, at %.1f, deadline %.1f",
					l.number, l.result.count, l.result.at, l.deadline)
			}
			if l.result.Status == None && host.servers[0].Zone.Exists(l.number) {
				rt.Fatalf("%s exists, but was answered as missing", l.number)
			}
			if l.result.Status == Found {
				res, err := enum.Apply("+"+l.number, l.result.Rules, "pstn:tel")
				_, p, _ := enum.Tel(res.URI)
				if err != nil || p.Routing != host.servers[0].Zone.RoutingNumber(l.number) {
					rt.Fatalf("%s: %v, %v", l.number, res, err)
				}
			}
		}
		if open, _ := host.client.OpenCounts(); open != 0 || len(host.client.outstanding) != 0 {
			rt.Fatalf("left over: %d look-ups, %d UDP queries", open, len(host.client.outstanding))
		}
	})
}
