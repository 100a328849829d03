package enumserver

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/miekg/dns"
	"pgregory.net/rapid"

	"cobaltpier/internal/protocol/b2bua"
)

// fakeEnquirer stands in for a gateway; the test supplies the results.
type fakeEnquirer struct {
	asked     []string
	done      []func(now float64, n b2bua.EnquiryResult)
	stopped   int
	ready     bool
	immediate *b2bua.EnquiryResult
}

func (d *fakeEnquirer) StartEnquiry(
	now float64,
	number, skill string,
	patience float64,
	done func(float64, b2bua.EnquiryResult),
) func() {
	d.asked = append(d.asked, number+" "+skill)
	if d.immediate != nil {
		done(now, *d.immediate)
		return func() {}
	}
	d.done = append(d.done, done)
	return func() { d.stopped++ }
}

func (d *fakeEnquirer) success() b2bua.EnquiryResult {
	return b2bua.EnquiryResult{
		Code:   200,
		Addr:   netip.MustParseAddrPort("127.0.0.3:5060"),
		Group:  "TG-0",
		Number: "+14185551234",
		Params: ";npdi",
		Valid:  func() bool { return d.ready },
	}
}

type testServer struct {
	*testing.T
	f        *Server
	enquirer *fakeEnquirer
	got      []*dns.Msg
	size     []int
	now      float64
}

func newTestServer(t *testing.T, change func(*Config)) *testServer {
	c := Config{
		Apex:       "e164.test",
		Class:      "shift-lookup",
		TTL:        0,
		Negative:   30,
		Patience:   2000,
		Repeat:     5000,
		Gain:       8,
		MaxPending: 100,
		Keep:       150,
		Context:    "x.example",
	}
	if change != nil {
		change(&c)
	}
	r := &testServer{T: t, enquirer: &fakeEnquirer{ready: true}, now: 1000}
	r.f = New(c, r.enquirer)
	return r
}

var clientAddr = netip.MustParseAddrPort("10.0.0.1:4000")

func query(name string, kind, id uint16, edns uint16) *dns.Msg {
	m := new(dns.Msg)
	m.SetQuestion(name, kind)
	m.Id = id
	if edns > 0 {
		m.SetEdns0(edns, false)
	}
	return m
}

func (r *testServer) ask(from netip.AddrPort, m *dns.Msg, stream bool) {
	b, err := m.Pack()
	if err != nil {
		r.Fatal(err)
	}
	r.f.Receive(r.now, from, b, stream, func(b []byte) {
		m := new(dns.Msg)
		if err := m.Unpack(b); err != nil {
			r.Fatal(err)
		}
		r.got, r.size = append(r.got, m), append(r.size, len(b))
	})
}

const name = "4.3.2.1.5.5.5.8.1.4.1.e164.test."

// A query is answered once, with the selected endpoint or with the response code and reason of the failure.
func TestAnswers(t *testing.T) {
	r := newTestServer(t, nil)
	r.ask(clientAddr, query(strings.ToUpper(name), dns.TypeNAPTR, 7, 1232), false)
	if len(r.got) != 0 || len(r.enquirer.asked) != 1 || r.enquirer.asked[0] != "+14185551234 shift-lookup" {
		t.Fatalf("%v, asked %v", r.got, r.enquirer.asked)
	}
	r.enquirer.done[0](1100, r.enquirer.success())
	m := r.got[0]
	n, ok := m.Answer[0].(*dns.NAPTR)
	if !ok || m.Id != 7 || !m.Authoritative || n.Hdr.Ttl != 0 || n.Hdr.Name != strings.ToUpper(name) || n.Flags != "u" ||
		n.Service != "E2U+sip" ||
		n.Regexp != "!^.*$!sip:+14185551234;npdi;tgrp=TG-0;trunk-context=x.example@127.0.0.3:5060!" {
		t.Errorf("%v", m)
	}
	for i, c := range []struct {
		n     b2bua.EnquiryResult
		rcode int
		text  string
	}{
		{b2bua.EnquiryResult{Code: 404, Reason: "no rule"}, dns.RcodeNameError, ""},
		{b2bua.EnquiryResult{Code: 503, Reason: "deferred", RetryAfter: 1500}, dns.RcodeServerFailure,
			"deferred; retry after 1500 ms"},
		{b2bua.EnquiryResult{Code: 500, Reason: "fault"}, dns.RcodeServerFailure, "fault"},
	} {
		r.got = nil
		r.enquirer.immediate = &c.n
		r.ask(clientAddr, query(name, dns.TypeNAPTR, uint16(100+i), 1232), false)
		m := r.got[0]
		if len(r.got) != 1 || m.Rcode != c.rcode || len(m.Answer) != 0 || c.rcode == dns.RcodeNameError && len(m.Ns) != 1 {
			t.Errorf("%+v: %v", c.n, m)
		}
		if c.text != "" {
			o := m.IsEdns0()
			if o == nil || len(o.Option) != 1 || o.Option[0].(*dns.EDNS0_EDE).ExtraText != c.text {
				t.Errorf("%+v: %v", c.n, o)
			}
		}
	}
}

// A URI too long for a NAPTR record is answered with SERVFAIL. Found by generated inputs.
func TestURITooLong(t *testing.T) {
	r := newTestServer(t, nil)
	n := r.enquirer.success()
	n.Params = strings.Repeat("x", 250)
	r.enquirer.immediate = &n
	r.ask(clientAddr, query(name, dns.TypeNAPTR, 1, 1232), true)
	if len(r.got) != 1 || r.got[0].Rcode != dns.RcodeServerFailure || r.got[0].Id != 1 || len(r.got[0].Question) != 1 {
		t.Errorf("%v", r.got)
	}
}

// Queries that do not ask for a number in the zone start no enquiry, and a response is never answered.
func TestQueriesWithoutEnquiry(t *testing.T) {
	r := newTestServer(t, nil)
	reply := query(name, dns.TypeNAPTR, 1, 0)
	reply.Response = true
	notify := query(name, dns.TypeNAPTR, 1, 0)
	notify.Opcode = dns.OpcodeNotify
	chaos := query(name, dns.TypeNAPTR, 1, 0)
	chaos.Question[0].Qclass = dns.ClassCHAOS
	for what, c := range map[string]struct {
		m    *dns.Msg
		want int // -1: nothing
	}{
		"an answer":         {reply, -1},
		"another zone":      {query("1.e164.arpa.", dns.TypeNAPTR, 1, 0), dns.RcodeRefused},
		"a longer apex":     {query("1.xe164.test.", dns.TypeNAPTR, 1, 0), dns.RcodeRefused},
		"no digits":         {query("a.e164.test.", dns.TypeNAPTR, 1, 0), dns.RcodeNameError},
		"the apex":          {query("e164.test.", dns.TypeNAPTR, 1, 0), dns.RcodeSuccess},
		"another type":      {query(name, dns.TypeA, 1, 0), dns.RcodeSuccess},
		"another operation": {notify, dns.RcodeNotImplemented},
		"another class":     {chaos, dns.RcodeRefused},
		"41 digits":         {query(strings.Repeat("1.", 41)+"e164.test.", dns.TypeNAPTR, 1, 0), dns.RcodeNameError},
	} {
		r.got = nil
		r.ask(clientAddr, c.m, false)
		if c.want < 0 && len(r.got) != 0 ||
			c.want >= 0 && (len(r.got) != 1 || r.got[0].Rcode != c.want || len(r.got[0].Answer) != 0) {
			t.Errorf("%s: %v", what, r.got)
		}
	}
	if len(r.enquirer.asked) != 0 {
		t.Errorf("asked %v", r.enquirer.asked)
	}
	r.got = nil
	r.f.Receive(0, clientAddr, []byte{0, 1, 2}, true, func([]byte) { t.Error("answered three octets") })
	r.f.Receive(
		0,
		clientAddr,
		append([]byte{0, 9, 0, 0}, make([]byte, 3)...),
		false,
		func([]byte) { t.Error("answered a malformed query over UDP") },
	)
}

// Repeats of a pending query share its enquiry. Later repeats get the same answer, unless the endpoint is draining:
// then a new enquiry starts. Another id or client starts an enquiry of its own.
func TestRepeats(t *testing.T) {
	r := newTestServer(t, nil)
	q := query(name, dns.TypeNAPTR, 7, 1232)
	r.ask(clientAddr, q, false)
	r.ask(clientAddr, q, false)
	if len(r.enquirer.asked) != 1 {
		t.Fatalf("asked %v", r.enquirer.asked)
	}
	r.enquirer.done[0](r.now, r.enquirer.success())
	r.ask(clientAddr, q, false)
	if len(r.got) != 3 || len(r.enquirer.asked) != 1 {
		t.Fatalf("%d answers, asked %v", len(r.got), r.enquirer.asked)
	}
	r.ask(clientAddr, query(name, dns.TypeNAPTR, 8, 1232), false)
	r.ask(netip.MustParseAddrPort("10.0.0.2:4000"), q, false)
	if len(r.enquirer.asked) != 3 {
		t.Fatalf("asked %v", r.enquirer.asked)
	}
	r.enquirer.ready = false
	r.ask(clientAddr, q, false)
	if len(r.got) != 3 || len(r.enquirer.asked) != 4 {
		t.Errorf("while the pool drains: %d answers, asked %v", len(r.got), r.enquirer.asked)
	}
	r.f.Close(r.now)
	if r.enquirer.stopped != 3 || len(r.got) != 6 || r.got[5].Rcode != dns.RcodeServerFailure || r.f.OpenCount() != 0 {
		t.Errorf("closed: %d stopped, %d answers, %d open", r.enquirer.stopped, len(r.got), r.f.OpenCount())
	}
}

// Answers are kept for a limited time, and the numbers of pending and kept queries are limited.
func TestHeldQueriesBounded(t *testing.T) {
	r := newTestServer(t, nil)
	for i := range 300 {
		r.ask(clientAddr, query(name, dns.TypeNAPTR, uint16(i), 0), true)
	}
	if r.f.OpenCount() != 100 || len(r.got) != 200 {
		t.Errorf("%d held, %d failed", r.f.OpenCount(), len(r.got))
	}
	for _, d := range r.enquirer.done {
		d(r.now, r.enquirer.success())
	}
	n := b2bua.EnquiryResult{Code: 404}
	r.enquirer.immediate = &n
	for i := range 200 {
		r.ask(clientAddr, query(name, dns.TypeNAPTR, uint16(1000+i), 0), true)
	}
	if r.f.OpenCount() < 150 || r.f.OpenCount() > 151 {
		t.Errorf("%d remembered", r.f.OpenCount())
	}
	r.now += 5001
	if r.ask(clientAddr, query(name, dns.TypeNAPTR, 2000, 0), true); r.f.OpenCount() != 1 {
		t.Errorf("%d remembered too long", r.f.OpenCount())
	}
}

// A client over its UDP rate gets no more than the rate; half of the other queries get a truncated response no longer
// than the query. Over TCP it is served. Forged addresses use bounded memory.
func TestLimits(t *testing.T) {
	n := b2bua.EnquiryResult{Code: 404}
	r := newTestServer(t, func(c *Config) {
		c.Limits = Limits{
			Rate:    10,
			Burst:   20,
			Clients: 1000,
			Nets:    []Net{{netip.MustParsePrefix("10.1.0.0/16"), 1000}, {netip.MustParsePrefix("10.2.0.0/16"), 0}},
		}
	})
	r.enquirer.immediate = &n
	flood := func(from string, count int) (answered, slipped, refused int) {
		r.got, r.size = nil, nil
		for i := range count {
			r.now += 1
			r.ask(netip.MustParseAddrPort(from), query(name, dns.TypeNAPTR, uint16(i), 1232), false)
		}
		for i, m := range r.got {
			switch {
			case m.Rcode == dns.RcodeNameError:
				answered++
			case m.Rcode == dns.RcodeRefused:
				refused++
			case m.Truncated:
				slipped++
				if r.size[i] > 60 {
					t.Errorf("a truncated answer of %d octets", r.size[i])
				}
			}
		}
		return
	}
	if a, s, x := flood("10.0.0.1:1", 1000); a != 30 && a != 29 || s < 484 || s > 486 || x != 0 {
		t.Errorf("%d answered, %d truncated, %d refused of 1000", a, s, x)
	}
	if a, _, _ := flood("10.0.0.200:1", 100); a > 2 {
		t.Errorf("its neighbour: %d answered", a)
	}
	if a, s, _ := flood("10.1.0.1:1", 1000); a != 1000 || s != 0 {
		t.Errorf("a known network: %d answered, %d truncated", a, s)
	}
	r.now += 5000 // after a stall, the delayed queries arrive at once
	r.got = nil
	for i := range 900 {
		r.ask(netip.MustParseAddrPort("10.1.0.1:1"), query(name, dns.TypeNAPTR, uint16(2000+i), 1232), false)
	}
	for _, m := range r.got {
		if m.Truncated {
			t.Error("a known network is truncated after a standstill")
			break
		}
	}
	if a, _, x := flood("10.2.0.1:1", 100); a != 0 || x != 100 {
		t.Errorf("a refused network: %d answered, %d refused", a, x)
	}
	r.got = nil
	if r.ask(netip.MustParseAddrPort("10.0.0.1:1"), query(name, dns.TypeNAPTR, 1, 0), true); len(r.got) != 1 ||
		r.got[0].Truncated {
		t.Errorf("over TCP: %v", r.got)
	}
	for i := range 100000 {
		r.f.limits.check(r.now, netip.AddrFrom4([4]byte{byte(20 + i>>16), byte(i >> 8), byte(i), 1}))
	}
	if n := len(r.f.limits.current) + len(r.f.limits.previous); n > 1000 {
		t.Errorf("%d networks remembered", n)
	}
	r = newTestServer(t, func(c *Config) { c.Limits = Limits{Total: 100} })
	r.enquirer.immediate = &n
	answered := 0
	for i := range 2000 {
		r.now++
		r.got = nil
		r.ask(
			netip.AddrPortFrom(netip.AddrFrom4([4]byte{30, byte(i >> 8), byte(i), 1}), 1),
			query(name, dns.TypeNAPTR, 1, 0),
			false,
		)
		if len(r.got) > 0 && !r.got[0].Truncated {
			answered++
		}
	}
	if answered < 195 || answered > 215 {
		t.Errorf("%d answered of 2000 in 2 s, want 200", answered)
	}
}

// A UDP response exceeds neither the amplification limit nor the size that the client accepts, and each query gets at
// most one response.
func TestAmplificationBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gain := rapid.Float64Range(1, 10).Draw(rt, "gain")
		r := newTestServer(t, func(c *Config) { c.Gain = gain })
		n := r.enquirer.success()
		n.Params = strings.Repeat("x", rapid.IntRange(0, 200).Draw(rt, "long"))
		switch rapid.IntRange(0, 2).Draw(rt, "what") {
		case 0:
			r.enquirer.immediate = &n
		case 1:
			r.enquirer.immediate = &b2bua.EnquiryResult{Code: 404}
		case 2:
			r.enquirer.immediate = &b2bua.EnquiryResult{Code: 503, Reason: strings.Repeat("y", 50), RetryAfter: 3}
		}
		edns := uint16(rapid.SampledFrom([]int{0, 100, 512, 1232, 65535}).Draw(rt, "edns"))
		q := query(
			rapid.SampledFrom([]string{name, "1.e164.test.", "e164.test.", "x."}).Draw(rt, "name"),
			rapid.SampledFrom([]uint16{dns.TypeNAPTR, dns.TypeANY}).Draw(rt, "type"),
			1,
			edns,
		)
		b, _ := q.Pack()
		r.ask(clientAddr, q, false)
		if len(r.got) != 1 {
			rt.Fatalf("%d answers", len(r.got))
		}
		// a truncated response holds only the question
		if s := r.size[0]; float64(s) > max(gain*float64(len(b)), float64(len(b))) || s > 1232 || edns < 513 && s > 512 {
			rt.Fatalf("%d octets for %d, gain %.1f, edns %d", s, len(b), gain, edns)
		}
	})
}

func FuzzReceive(f *testing.F) {
	b, _ := query(name, dns.TypeNAPTR, 1, 1232).Pack()
	f.Add(b, true)
	f.Add([]byte{0, 1, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 1}, true)
	f.Fuzz(func(t *testing.T, b []byte, stream bool) {
		r := newTestServer(t, nil)
		n := r.enquirer.success()
		r.enquirer.immediate = &n
		sent := 0
		r.f.Receive(1, clientAddr, b, stream, func(out []byte) {
			sent++
			if !stream && float64(len(out)) > 8*float64(len(b)) {
				t.Errorf("%d octets for %d", len(out), len(b))
			}
			if len(b) > 2 && b[2]&0x80 != 0 {
				t.Error("an answer was answered")
			}
		})
		if sent > 1 {
			t.Errorf("%d answers", sent)
		}
	})
}
