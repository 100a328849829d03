// Package dnsserver is a stand-in for authoritative ENUM and portability servers, without I/O: a question comes in,
// answers and when they leave come out. A zone is made by chance from a seed, so that a million numbers need no memory,
// and a server can be made to fail in the ways that servers and those between do.
package dnsserver

//tally:standin

import (
	"strings"

	"github.com/miekg/dns"

	"cobaltpier/internal/decision/enum"
	"cobaltpier/internal/detrand"
)

// Zone is what all servers of an apex agree on.
type Zone struct {
	Apex   string
	Seed   uint64
	Ported float64                // share of numbers with a routing number
	None   float64                // share of numbers that do not exist
	Leads  float64                // share of the ported whose rules only lead to another domain, where the answer stands
	TTL    uint32                 // s
	Routes []string               // routing numbers, taken by chance
	Own    map[string][]enum.Rule // rules of some domains, in place of the above
}

// Routing is the routing number of a number, "" where it is not ported or does not exist.
func (z *Zone) Routing(number string) string {
	switch u := z.hashFraction(number, 1); {
	case u < z.None || u >= z.None+z.Ported || len(z.Routes) == 0:
		return ""
	}
	return z.Routes[int(z.hashFraction(number, 2)*float64(len(z.Routes)))]
}

// Exists tells whether there is such a number.
func (z *Zone) Exists(number string) bool { return z.hashFraction(number, 1) >= z.None }

func (z *Zone) hashFraction(number string, purpose uint64) float64 {
	h := z.Seed
	for i := range len(number) {
		h = h*31 + uint64(number[i])
	}
	return detrand.Float64(h, purpose)
}

// rules are those of a domain; false: there is no such name.
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
	rn := z.Routing(number)
	switch {
	case rn == "":
		return []enum.Rule{
			{Order: 10, Preference: 10, Flags: "u", Service: "E2U+pstn:tel", Regexp: `!^(.*)$!tel:\1;npdi!`},
		}, true
	case !redirected && z.hashFraction(number, 3) < z.Leads:
		d, _ := enum.Domain(number, "led."+z.Apex)
		return []enum.Rule{{Order: 10, Preference: 10, Replacement: d}}, true
	}
	return []enum.Rule{
		{Order: 10, Preference: 20, Flags: "u", Service: "E2U+mailto", Regexp: "!^.*$!mailto:a@example.com!"},
		{Order: 10, Preference: 30, Flags: "u", Service: "E2U+pstn:tel", Regexp: `!^(.*)$!tel:\1;npdi;rn=` + rn + "!"}}, true
}

// Faults are what a server does wrong. Shares are of its answers.
type Faults struct {
	Silent    bool    // it never answers
	Delay     float64 // ms
	Jitter    float64 // ms, up to so much more
	Loss      float64 // share of answers lost
	WrongID   float64 // share with an id that was not asked for
	Spoof     float64 // share that somebody's guesses come before, with a lie
	Guesses   int     // so many
	Truncated float64 // share truncated to nothing: the rest by stream
	NoStream  bool    // streams bring nothing
	Lame      bool    // it knows nothing of the zone
	Refer     bool    // it points elsewhere
	ServFail  bool
	NoEDNS    bool // it answers EDNS with FORMERR
	Flat      bool // it answers in small letters
	Poison    bool // it adds records of other names
}

// Reply is a message and when it leaves, ms after the question came.
type Reply struct {
	After float64
	Data  []byte
}

// Server answers for a zone.
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

// Datagram answers a datagram.
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
				spoofed.Id++ // one guess of 65536 would be right: here none is, so that a test can ask for none
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

// Stream answers a message that came over TCP.
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
	if s.Faults.Flat {
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

// refuse makes the response of a server that does not answer for its zone; false: it does.
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

// addRecords puts the zone's records into a response, or its SOA record where there are none.
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

// poison adds records of other names.
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

// record is a rule as the library wants it: in the form of zone files.
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
