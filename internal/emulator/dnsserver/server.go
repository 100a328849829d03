// Package dnsserver is a stand-in for authoritative ENUM and portability servers. It does no I/O itself: for each query
// it returns the responses and when to send them. The data of a zone follows from a seed, so that a million numbers
// need no memory, and a server can be given the faults of real servers, networks and attackers.
package dnsserver

//tally:standin

import (
	"strings"

	"github.com/miekg/dns"

	"cobaltpier/internal/decision/enum"
	"cobaltpier/internal/detrand"
)

// Zone holds the data of a zone, which all its servers share.
type Zone struct {
	Apex        string
	Seed        uint64
	Ported      float64                // share of numbers with a routing number
	None        float64                // share of numbers that do not exist
	NonTerminal float64                // share of the ported numbers with a non-terminal rule, leading to another domain
	TTL         uint32                 // s
	Routes      []string               // routing numbers, picked by a hash of the number
	Own         map[string][]enum.Rule // rules of certain domains, which replace the generated ones
}

// RoutingNumber returns the routing number of a number, or "" if the number is not ported or does not exist.
func (z *Zone) RoutingNumber(number string) string {
	switch u := z.hashFraction(number, 1); {
	case u < z.None || u >= z.None+z.Ported || len(z.Routes) == 0:
		return ""
	}
	return z.Routes[int(z.hashFraction(number, 2)*float64(len(z.Routes)))]
}

// Exists reports whether the number exists.
func (z *Zone) Exists(number string) bool { return z.hashFraction(number, 1) >= z.None }

// hashFraction returns a fraction in [0, 1) that depends on the seed, the number and the purpose.
func (z *Zone) hashFraction(number string, purpose uint64) float64 {
	h := z.Seed
	for i := range len(number) {
		h = h*31 + uint64(number[i])
	}
	return detrand.Float64(h, purpose)
}

// rulesFor returns the rules of a domain, and false if the name does not exist.
func (z *Zone) rulesFor(domain string) ([]enum.Rule, bool) {
	if own, ok := z.Own[domain]; ok {
		return own, len(own) > 0
	}
	prefix, redirected := strings.CutSuffix(domain, "led."+z.Apex)
	if redirected {
		domain = prefix + z.Apex
	}
	number, err := enum.Number(domain, z.Apex)
	if err != nil || z.hashFraction(number, 1) < z.None {
		return nil, false
	}
	rn := z.RoutingNumber(number)
	switch {
	case rn == "":
		return []enum.Rule{
			{Order: 10, Preference: 10, Flags: "u", Service: "E2U+pstn:tel", Regexp: `!^(.*)$!tel:\1;npdi!`},
		}, true
	case !redirected && z.hashFraction(number, 3) < z.NonTerminal:
		d, _ := enum.Domain(number, "led."+z.Apex)
		return []enum.Rule{{Order: 10, Preference: 10, Replacement: d}}, true
	}
	return []enum.Rule{
		{Order: 10, Preference: 20, Flags: "u", Service: "E2U+mailto", Regexp: "!^.*$!mailto:a@example.com!"},
		{Order: 10, Preference: 30, Flags: "u", Service: "E2U+pstn:tel", Regexp: `!^(.*)$!tel:\1;npdi;rn=` + rn + "!"}}, true
}

// Faults are the faults of a server. Shares are of its responses.
type Faults struct {
	Silent    bool    // never responds
	Delay     float64 // ms
	Jitter    float64 // ms, upper bound of a random additional delay
	Loss      float64 // share of responses lost
	WrongID   float64 // share with a message ID that differs from the query's
	Spoof     float64 // share preceded by an attacker's spoofed responses
	Guesses   int     // spoofed responses for each such query, with guessed IDs
	Truncated float64 // share truncated to no records; the client has to ask again over TCP
	NoStream  bool    // no response over TCP
	Lame      bool    // REFUSED: the server does not serve the zone
	Refer     bool    // referral to another server
	ServFail  bool
	NoEDNS    bool // FORMERR for queries with EDNS
	Lowercase bool // the question's name in lower case
	Poison    bool // additional records that the query did not ask for
}

// Reply is a message and when it is sent, in ms after the query arrived.
type Reply struct {
	After float64
	Data  []byte
}

// Server is one server of a zone.
type Server struct {
	Zone    *Zone
	Faults  Faults
	Seed    uint64
	Queries uint64
	draws   uint64
}

func (s *Server) randomFloat() float64 {
	s.draws++
	return detrand.Float64(s.Seed, s.draws)
}

// Datagram returns the responses to a query over UDP.
func (s *Server) Datagram(data []byte) []Reply {
	f := &s.Faults
	s.Queries++
	if f.Silent || s.randomFloat() < f.Loss {
		return nil
	}
	after := f.Delay + f.Jitter*s.randomFloat()
	m := s.respond(data)
	if m == nil {
		return nil
	}
	var out []Reply
	if s.randomFloat() < f.Spoof {
		spoofed := m.Copy()
		spoofed.Rcode = dns.RcodeSuccess
		spoofed.Answer = []dns.RR{
			naptrRecord(m.Question[0].Name, enum.Rule{Order: 1, Preference: 1, Flags: "u", Service: "E2U+pstn:tel",
				Regexp: "!^.*$!tel:+19005550666;npdi;rn=+19005550666!"}, 86400),
		}
		for range f.Guesses {
			spoofed.Id = uint16(s.randomFloat() * 65536)
			if spoofed.Id == m.Id {
				spoofed.Id++ // one in 65536 guesses would be right; none is, so that tests can require it
			}
			out = append(out, Reply{after / 2, pack(spoofed)})
		}
	}
	if s.randomFloat() < f.WrongID {
		m.Id++
	}
	if s.randomFloat() < f.Truncated {
		m.Truncated, m.Answer = true, nil
	}
	return append(out, Reply{after, pack(m)})
}

// Stream returns the responses to a query over TCP.
func (s *Server) Stream(data []byte) []Reply {
	s.Queries++
	if s.Faults.Silent || s.Faults.NoStream {
		return nil
	}
	m := s.respond(data)
	if m == nil {
		return nil
	}
	return []Reply{{s.Faults.Delay + s.Faults.Jitter*s.randomFloat(), pack(m)}}
}

func pack(m *dns.Msg) []byte {
	b, err := m.Pack()
	if err != nil {
		return nil
	}
	return b
}

func (s *Server) respond(data []byte) *dns.Msg {
	q := new(dns.Msg)
	if q.Unpack(data) != nil || q.Response || len(q.Question) != 1 {
		return nil
	}
	m := new(dns.Msg)
	m.SetReply(q)
	if s.Faults.Lowercase {
		m.Question[0].Name = strings.ToLower(q.Question[0].Name)
	}
	if s.respondWithFault(q, m) {
		return m
	}
	m.Authoritative = true
	s.addRecords(q, m)
	if s.Faults.Poison {
		s.poison(q, m)
	}
	if e := q.IsEdns0(); e != nil {
		m.SetEdns0(1232, false)
	}
	return m
}

// respondWithFault fills in the response of a server with a fault that replaces the zone's data. It returns false if
// the server has no such fault.
func (s *Server) respondWithFault(q, m *dns.Msg) bool {
	switch f := &s.Faults; {
	case f.NoEDNS && q.IsEdns0() != nil:
		m.Rcode = dns.RcodeFormatError
	case f.ServFail:
		m.Rcode = dns.RcodeServerFailure
	case f.Lame:
		m.Rcode = dns.RcodeRefused
	case f.Refer:
		m.Ns = []dns.RR{&dns.NS{Hdr: rrHeader(s.Zone.Apex, dns.TypeNS, 3600), Ns: "elsewhere.example."}}
	default:
		return false
	}
	return true
}

// addRecords adds the zone's records to a response, or its SOA record if there are none.
func (s *Server) addRecords(q, m *dns.Msg) {
	name := q.Question[0].Name
	rules, exists := s.Zone.rulesFor(strings.ToLower(name))
	switch {
	case !exists:
		m.Rcode, m.Ns = dns.RcodeNameError, []dns.RR{s.soa()}
	case q.Question[0].Qtype != dns.TypeNAPTR:
		m.Ns = []dns.RR{s.soa()}
	default:
		for _, r := range rules {
			m.Answer = append(m.Answer, naptrRecord(name, r, s.Zone.TTL))
		}
	}
}

func (s *Server) soa() *dns.SOA {
	return &dns.SOA{
		Hdr:     rrHeader(s.Zone.Apex, dns.TypeSOA, 3600),
		Ns:      "ns." + s.Zone.Apex,
		Mbox:    "host." + s.Zone.Apex,
		Serial:  1,
		Refresh: 3600,
		Retry:   600,
		Expire:  86400,
		Minttl:  s.Zone.TTL,
	}
}

// poison adds unrequested records, as in cache poisoning.
func (s *Server) poison(q, m *dns.Msg) {
	r := enum.Rule{
		Order:      1,
		Preference: 1,
		Flags:      "u",
		Service:    "E2U+pstn:tel",
		Regexp:     "!^.*$!tel:+19005550666;npdi;rn=+19005550666!",
	}
	m.Answer = append(m.Answer, naptrRecord("1.2.3."+s.Zone.Apex, r, 86400))
	m.Extra = append(m.Extra, naptrRecord(q.Question[0].Name, r, 86400))
}

func rrHeader(name string, kind uint16, ttl uint32) dns.RR_Header {
	return dns.RR_Header{Name: name, Rrtype: kind, Class: dns.ClassINET, Ttl: ttl}
}

// naptrRecord converts a rule to a NAPTR record. The library expects strings with the escapes of zone files.
func naptrRecord(name string, r enum.Rule, ttl uint32) dns.RR {
	replacement := r.Replacement
	if replacement == "" {
		replacement = "."
	}
	escaper := strings.NewReplacer(`\`, `\\`, `"`, `\"`)
	return &dns.NAPTR{
		Hdr:         rrHeader(name, dns.TypeNAPTR, ttl),
		Order:       r.Order,
		Preference:  r.Preference,
		Flags:       escaper.Replace(r.Flags),
		Service:     escaper.Replace(r.Service),
		Regexp:      escaper.Replace(r.Regexp),
		Replacement: replacement,
	}
}
