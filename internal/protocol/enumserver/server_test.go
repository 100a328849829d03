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
	enquiries []string // number and class of each
	callbacks []func(now float64, n b2bua.EnquiryResult)
	canceled  int
	valid     bool                 // whether a returned endpoint may still be called
	immediate *b2bua.EnquiryResult // if set, the answer to every enquiry
}

func (e *fakeEnquirer) StartEnquiry(
	now float64,
	number, class string,
	timeout float64,
	done func(float64, b2bua.EnquiryResult),
) func() {
	e.enquiries = append(e.enquiries, number+" "+class)
	if e.immediate != nil {
		done(now, *e.immediate)
		return func() {}
	}
	e.callbacks = append(e.callbacks, done)
	return func() { e.canceled++ }
}

func (e *fakeEnquirer) success() b2bua.EnquiryResult {
	return b2bua.EnquiryResult{
		Code:   200,
		Addr:   netip.MustParseAddrPort("127.0.0.3:5060"),
		Group:  "TG-0",
		Number: "+14185551234",
		Params: ";npdi",
		Valid:  func() bool { return e.valid },
	}
}

// testServer is a server with a fake gateway; it records the responses.
type testServer struct {
	*testing.T
	server    *Server
	enquirer  *fakeEnquirer
	responses []*dns.Msg
	sizes     []int // of the responses in octets
	now       float64
}

func newTestServer(t *testing.T, change func(*Config)) *testServer {
	config := Config{
		Apex:             "e164.test",
		Class:            "shift-lookup",
		TTL:              0,
		NegativeTTL:      30,
		Timeout:          2000,
		RepeatWindow:     5000,
		MaxAmplification: 8,
		MaxPending:       100,
		MaxRemembered:    150,
		TrunkContext:     "x.example",
	}
	if change != nil {
		change(&config)
	}
	s := &testServer{T: t, enquirer: &fakeEnquirer{valid: true}, now: 1000}
	s.server = New(config, s.enquirer)
	return s
}

var clientAddr = netip.MustParseAddrPort("10.0.0.1:4000")

// query returns a query, with an EDNS option unless ednsSize is 0.
func query(name string, recordType, id uint16, ednsSize uint16) *dns.Msg {
	m := new(dns.Msg)
	m.SetQuestion(name, recordType)
	m.Id = id
	if ednsSize > 0 {
		m.SetEdns0(ednsSize, false)
	}
	return m
}

// receive passes a query to the server.
func (s *testServer) receive(from netip.AddrPort, m *dns.Msg, stream bool) {
	b, err := m.Pack()
	if err != nil {
		s.Fatal(err)
	}
	s.server.Receive(s.now, from, b, stream, func(b []byte) {
		m := new(dns.Msg)
		if err := m.Unpack(b); err != nil {
			s.Fatal(err)
		}
		s.responses, s.sizes = append(s.responses, m), append(s.sizes, len(b))
	})
}

const name = "4.3.2.1.5.5.5.8.1.4.1.e164.test."

// A query is answered once, with the selected endpoint or with the response code and reason of the failure.
func TestAnswers(t *testing.T) {
	s := newTestServer(t, nil)
	s.receive(clientAddr, query(strings.ToUpper(name), dns.TypeNAPTR, 7, 1232), false)
	if len(s.responses) != 0 || len(s.enquirer.enquiries) != 1 ||
		s.enquirer.enquiries[0] != "+14185551234 shift-lookup" {
		t.Fatalf("responses %v, enquiries %v", s.responses, s.enquirer.enquiries)
	}
	s.enquirer.callbacks[0](1100, s.enquirer.success())
	m := s.responses[0]
	naptr, ok := m.Answer[0].(*dns.NAPTR)
	if !ok || m.Id != 7 || !m.Authoritative || naptr.Hdr.Ttl != 0 || naptr.Hdr.Name != strings.ToUpper(name) ||
		naptr.Flags != "u" || naptr.Service != "E2U+sip" ||
		naptr.Regexp != "!^.*$!sip:+14185551234;npdi;tgrp=TG-0;trunk-context=x.example@127.0.0.3:5060!" {
		t.Errorf("%v", m)
	}
	for i, c := range []struct {
		result b2bua.EnquiryResult
		rcode  int
		text   string
	}{
		{b2bua.EnquiryResult{Code: 404, Reason: "no rule"}, dns.RcodeNameError, ""},
		{b2bua.EnquiryResult{Code: 503, Reason: "deferred", RetryAfter: 1500}, dns.RcodeServerFailure,
			"deferred; retry after 1500 ms"},
		{b2bua.EnquiryResult{Code: 500, Reason: "fault"}, dns.RcodeServerFailure, "fault"},
	} {
		s.responses = nil
		s.enquirer.immediate = &c.result
		s.receive(clientAddr, query(name, dns.TypeNAPTR, uint16(100+i), 1232), false)
		m := s.responses[0]
		if len(s.responses) != 1 || m.Rcode != c.rcode || len(m.Answer) != 0 ||
			c.rcode == dns.RcodeNameError && len(m.Ns) != 1 {
			t.Errorf("%+v: %v", c.result, m)
		}
		if c.text != "" {
			option := m.IsEdns0()
			if option == nil || len(option.Option) != 1 || option.Option[0].(*dns.EDNS0_EDE).ExtraText != c.text {
				t.Errorf("%+v: %v", c.result, option)
			}
		}
	}
}

// A URI too long for a NAPTR record is answered with SERVFAIL.
func TestURITooLong(t *testing.T) {
	s := newTestServer(t, nil)
	result := s.enquirer.success()
	result.Params = strings.Repeat("x", 250)
	s.enquirer.immediate = &result
	s.receive(clientAddr, query(name, dns.TypeNAPTR, 1, 1232), true)
	if len(s.responses) != 1 || s.responses[0].Rcode != dns.RcodeServerFailure || s.responses[0].Id != 1 ||
		len(s.responses[0].Question) != 1 {
		t.Errorf("%v", s.responses)
	}
}

// Queries that do not ask for a number in the zone start no enquiry, and a response is never answered.
func TestQueriesWithoutEnquiry(t *testing.T) {
	s := newTestServer(t, nil)
	responseMessage := query(name, dns.TypeNAPTR, 1, 0)
	responseMessage.Response = true
	notifyMessage := query(name, dns.TypeNAPTR, 1, 0)
	notifyMessage.Opcode = dns.OpcodeNotify
	chaosClassQuery := query(name, dns.TypeNAPTR, 1, 0)
	chaosClassQuery.Question[0].Qclass = dns.ClassCHAOS
	for description, c := range map[string]struct {
		m    *dns.Msg
		want int // response code; -1: no response
	}{
		"a response":     {responseMessage, -1},
		"another zone":   {query("1.e164.arpa.", dns.TypeNAPTR, 1, 0), dns.RcodeRefused},
		"same ending":    {query("1.xe164.test.", dns.TypeNAPTR, 1, 0), dns.RcodeRefused},
		"no digits":      {query("a.e164.test.", dns.TypeNAPTR, 1, 0), dns.RcodeNameError},
		"the apex":       {query("e164.test.", dns.TypeNAPTR, 1, 0), dns.RcodeSuccess},
		"another type":   {query(name, dns.TypeA, 1, 0), dns.RcodeSuccess},
		"another opcode": {notifyMessage, dns.RcodeNotImplemented},
		"another class":  {chaosClassQuery, dns.RcodeRefused},
		"41 digits":      {query(strings.Repeat("1.", 41)+"e164.test.", dns.TypeNAPTR, 1, 0), dns.RcodeNameError},
	} {
		s.responses = nil
		s.receive(clientAddr, c.m, false)
		if c.want < 0 && len(s.responses) != 0 ||
			c.want >= 0 && (len(s.responses) != 1 || s.responses[0].Rcode != c.want || len(s.responses[0].Answer) != 0) {
			t.Errorf("%s: %v", description, s.responses)
		}
	}
	if len(s.enquirer.enquiries) != 0 {
		t.Errorf("enquiries %v", s.enquirer.enquiries)
	}
	s.responses = nil
	s.server.Receive(0, clientAddr, []byte{0, 1, 2}, true, func([]byte) { t.Error("answered a message of three octets") })
	s.server.Receive(
		0,
		clientAddr,
		append([]byte{0, 9, 0, 0}, make([]byte, 3)...),
		false,
		func([]byte) { t.Error("answered a malformed query over UDP") },
	)
}

// Repetitions of a pending query share its enquiry. Later repetitions get the same answer, unless the endpoint is
// draining: then a new enquiry starts. Another id or client starts an enquiry of its own.
func TestRepeats(t *testing.T) {
	s := newTestServer(t, nil)
	q := query(name, dns.TypeNAPTR, 7, 1232)
	s.receive(clientAddr, q, false)
	s.receive(clientAddr, q, false)
	if len(s.enquirer.enquiries) != 1 {
		t.Fatalf("enquiries %v", s.enquirer.enquiries)
	}
	s.enquirer.callbacks[0](s.now, s.enquirer.success())
	s.receive(clientAddr, q, false)
	if len(s.responses) != 3 || len(s.enquirer.enquiries) != 1 {
		t.Fatalf("want 3 responses and 1 enquiry, got %d responses, enquiries %v",
			len(s.responses), s.enquirer.enquiries)
	}
	s.receive(clientAddr, query(name, dns.TypeNAPTR, 8, 1232), false)
	s.receive(netip.MustParseAddrPort("10.0.0.2:4000"), q, false)
	if len(s.enquirer.enquiries) != 3 {
		t.Fatalf("enquiries %v", s.enquirer.enquiries)
	}
	s.enquirer.valid = false
	s.receive(clientAddr, q, false)
	if len(s.responses) != 3 || len(s.enquirer.enquiries) != 4 {
		t.Errorf("while the endpoint drains: want 3 responses and 4 enquiries, got %d responses, enquiries %v",
			len(s.responses), s.enquirer.enquiries)
	}
	s.server.Close(s.now)
	if s.enquirer.canceled != 3 || len(s.responses) != 6 ||
		s.responses[5].Rcode != dns.RcodeServerFailure || s.server.OpenCount() != 0 {
		t.Errorf("after Close: want 3 enquiries canceled, 6 responses and 0 queries open, got %d, %d and %d",
			s.enquirer.canceled, len(s.responses), s.server.OpenCount())
	}
}

// Answers are kept for a limited time, and the numbers of pending and kept queries are limited.
func TestOpenQueriesBounded(t *testing.T) {
	s := newTestServer(t, nil)
	for i := range 300 {
		s.receive(clientAddr, query(name, dns.TypeNAPTR, uint16(i), 0), true)
	}
	if s.server.OpenCount() != 100 || len(s.responses) != 200 {
		t.Errorf("want 100 queries open and 200 responses, got %d and %d", s.server.OpenCount(), len(s.responses))
	}
	for _, d := range s.enquirer.callbacks {
		d(s.now, s.enquirer.success())
	}
	result := b2bua.EnquiryResult{Code: 404}
	s.enquirer.immediate = &result
	for i := range 200 {
		s.receive(clientAddr, query(name, dns.TypeNAPTR, uint16(1000+i), 0), true)
	}
	if s.server.OpenCount() < 150 || s.server.OpenCount() > 151 {
		t.Errorf("%d queries open, want 150 or 151", s.server.OpenCount())
	}
	s.now += 5001
	if s.receive(clientAddr, query(name, dns.TypeNAPTR, 2000, 0), true); s.server.OpenCount() != 1 {
		t.Errorf("%d queries open after the repeat window, want 1", s.server.OpenCount())
	}
}

// A client network over its UDP rate gets its burst and its rate; half of its other queries get a truncated response,
// no longer than the query, so that the client retries over TCP, which is not limited. A network may have its own
// rate or be refused, and the responses are limited in total. Memory stays bounded however many addresses send.
func TestLimits(t *testing.T) {
	result := b2bua.EnquiryResult{Code: 404}
	s := newTestServer(t, func(c *Config) {
		c.Limits = Limits{
			Rate:       10,
			Burst:      20,
			MaxClients: 1000,
			Networks:   []Net{{netip.MustParsePrefix("10.1.0.0/16"), 1000}, {netip.MustParsePrefix("10.2.0.0/16"), 0}},
		}
	})
	s.enquirer.immediate = &result
	flood := func(from string, count int) (answered, truncated, refused int) {
		s.responses, s.sizes = nil, nil
		for i := range count {
			s.now += 1
			s.receive(netip.MustParseAddrPort(from), query(name, dns.TypeNAPTR, uint16(i), 1232), false)
		}
		for i, m := range s.responses {
			switch {
			case m.Rcode == dns.RcodeNameError:
				answered++
			case m.Rcode == dns.RcodeRefused:
				refused++
			case m.Truncated:
				truncated++
				if s.sizes[i] > 60 {
					t.Errorf("truncated response of %d octets", s.sizes[i])
				}
			}
		}
		return
	}
	if answered, truncated, refused := flood("10.0.0.1:1", 1000); answered != 30 && answered != 29 || truncated < 484 ||
		truncated > 486 || refused != 0 {
		t.Errorf("of 1000 queries: want 29 or 30 answered, 484 to 486 truncated and none refused, got %d, %d and %d",
			answered, truncated, refused)
	}
	if a, _, _ := flood("10.0.0.200:1", 100); a > 2 {
		t.Errorf("another address of that network: %d answered, want 2 at most", a)
	}
	if a, truncated, _ := flood("10.1.0.1:1", 1000); a != 1000 || truncated != 0 {
		t.Errorf("network with its own rate: want 1000 answered and 0 truncated, got %d and %d", a, truncated)
	}
	s.now += 5000 // after a stall, the delayed queries arrive at once
	s.responses = nil
	for i := range 900 {
		s.receive(netip.MustParseAddrPort("10.1.0.1:1"), query(name, dns.TypeNAPTR, uint16(2000+i), 1232), false)
	}
	for _, m := range s.responses {
		if m.Truncated {
			t.Error("responses to a network with its own rate are truncated after a stall")
			break
		}
	}
	if a, _, refused := flood("10.2.0.1:1", 100); a != 0 || refused != 100 {
		t.Errorf("refused network: want 0 answered and 100 refused, got %d and %d", a, refused)
	}
	s.responses = nil
	if s.receive(netip.MustParseAddrPort("10.0.0.1:1"), query(name, dns.TypeNAPTR, 1, 0), true); len(s.responses) != 1 ||
		s.responses[0].Truncated {
		t.Errorf("over TCP: want one response that is not truncated, got %v", s.responses)
	}
	for i := range 100000 {
		s.server.limits.check(s.now, netip.AddrFrom4([4]byte{byte(20 + i>>16), byte(i >> 8), byte(i), 1}))
	}
	if n := len(s.server.limits.current) + len(s.server.limits.previous); n > 1000 {
		t.Errorf("%d client networks tracked, want 1000 at most", n)
	}
	s = newTestServer(t, func(c *Config) { c.Limits = Limits{TotalRate: 100} })
	s.enquirer.immediate = &result
	answered := 0
	for i := range 2000 {
		s.now++
		s.responses = nil
		s.receive(
			netip.AddrPortFrom(netip.AddrFrom4([4]byte{30, byte(i >> 8), byte(i), 1}), 1),
			query(name, dns.TypeNAPTR, 1, 0),
			false,
		)
		if len(s.responses) > 0 && !s.responses[0].Truncated {
			answered++
		}
	}
	if answered < 195 || answered > 215 {
		t.Errorf("%d answered of 2000 in 2 s, want about 200 (195 to 215)", answered)
	}
}

// A UDP response exceeds neither the amplification limit nor the size that the client accepts, and each query gets at
// most one response.
func TestAmplificationBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		amplification := rapid.Float64Range(1, 10).Draw(rt, "amplification")
		s := newTestServer(t, func(c *Config) { c.MaxAmplification = amplification })
		result := s.enquirer.success()
		result.Params = strings.Repeat("x", rapid.IntRange(0, 200).Draw(rt, "params length"))
		switch rapid.IntRange(0, 2).Draw(rt, "result") {
		case 0:
			s.enquirer.immediate = &result
		case 1:
			s.enquirer.immediate = &b2bua.EnquiryResult{Code: 404}
		case 2:
			s.enquirer.immediate = &b2bua.EnquiryResult{Code: 503, Reason: strings.Repeat("y", 50), RetryAfter: 3}
		}
		edns := uint16(rapid.SampledFrom([]int{0, 100, 512, 1232, 65535}).Draw(rt, "edns"))
		q := query(
			rapid.SampledFrom([]string{name, "1.e164.test.", "e164.test.", "x."}).Draw(rt, "name"),
			rapid.SampledFrom([]uint16{dns.TypeNAPTR, dns.TypeANY}).Draw(rt, "type"),
			1,
			edns,
		)
		b, _ := q.Pack()
		s.receive(clientAddr, q, false)
		if len(s.responses) != 1 {
			rt.Fatalf("%d responses, want 1", len(s.responses))
		}
		// Even with a maximum amplification near 1 the truncated response fits, since it holds only the question.
		if size := s.sizes[0]; float64(size) > max(amplification*float64(len(b)), float64(len(b))) || size > 1232 ||
			edns < 513 && size > 512 {
			rt.Fatalf("response of %d octets to a query of %d, maximum amplification %.1f, EDNS size %d",
				size, len(b), amplification, edns)
		}
	})
}

func FuzzReceive(f *testing.F) {
	b, _ := query(name, dns.TypeNAPTR, 1, 1232).Pack()
	f.Add(b, true)
	f.Add([]byte{0, 1, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 1}, true)
	f.Fuzz(func(t *testing.T, b []byte, stream bool) {
		s := newTestServer(t, nil)
		result := s.enquirer.success()
		s.enquirer.immediate = &result
		sent := 0
		s.server.Receive(1, clientAddr, b, stream, func(out []byte) {
			sent++
			if !stream && float64(len(out)) > 8*float64(len(b)) {
				t.Errorf("response of %d octets to a query of %d", len(out), len(b))
			}
			if len(b) > 2 && b[2]&0x80 != 0 {
				t.Error("a response was answered")
			}
		})
		if sent > 1 {
			t.Errorf("%d responses, want 1 at most", sent)
		}
	})
}
