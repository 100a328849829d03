// Package enumserver answers ENUM look-ups (RFC 6116) of ENUM clients. A query for a number's domain starts an enquiry
// at the gateway, and the response names the endpoint that the gateway selects at this moment. The package does no I/O:
// messages are passed in with a function that sends the reply, at most once. Queries over UDP are limited by client
// network and in total, and so is the size of a response relative to its query.
package enumserver

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/miekg/dns"

	"cobaltpier/internal/decision/enum"
	"cobaltpier/internal/protocol/b2bua"
)

// Enquirer selects the endpoint for a number; a gateway implements it.
type Enquirer interface {
	StartEnquiry(
		now float64,
		number, class string,
		timeout float64,
		done func(now float64, result b2bua.EnquiryResult),
	) (stop func())
}

// Config configures a Server. Times are in ms.
type Config struct {
	Apex             string
	Class            string  // class of the calls
	TTL              uint32  // s: of responses that name an endpoint
	NegativeTTL      uint32  // s: of negative responses
	Timeout          float64 // timeout of an enquiry; after this a resolver has retried or given up
	RepeatWindow     float64 // a query repeated by its client within this time gets the same answer
	MaxAmplification float64 // maximum size of a UDP response relative to its query; a longer one is truncated
	MaxPending       int     // queries that may await an enquiry
	MaxRemembered    int     // answers kept for repeated queries; the oldest are dropped first
	TrunkContext     string  // trunk-context (RFC 4904)
	Limits           Limits
}

// Counts are the counters of a server.
type Counts struct {
	Queries   uint64 `json:"queries"`   // all messages received
	Named     uint64 `json:"named"`     // responses that name an endpoint
	None      uint64 `json:"none"`      // negative responses: no such name, or no record of the queried type
	Failed    uint64 `json:"failed"`    // queries answered with SERVFAIL, except while the server closes
	Repeats   uint64 `json:"repeats"`   // queries that repeat a pending one or one whose answer is kept
	Refused   uint64 `json:"refused"`   // queries from refused networks, or for another zone or class
	Slipped   uint64 `json:"slipped"`   // queries over a limit that were answered as truncated
	Dropped   uint64 `json:"dropped"`   // queries over a limit that were not answered
	Truncated uint64 `json:"truncated"` // responses truncated because of their size
	Bad       uint64 `json:"bad"`       // malformed messages, responses, and messages without exactly one question
}

// Server answers ENUM queries. It is not safe for concurrent use.
type Server struct {
	Counts     Counts
	cfg        Config
	enquirer   Enquirer
	limits     *limiter
	open       map[queryKey]*pendingQuery
	remembered []rememberedQuery // answered queries kept for repeats, oldest first
	pending    int               // queries that await their enquiry
	now        float64
}

// queryKey identifies a repeated query: client address, id and name.
type queryKey struct {
	from netip.AddrPort
	id   uint16
	name string
}

// pendingQuery is a query that awaits its enquiry, or whose answer is kept for repeats.
type pendingQuery struct {
	replies []replyTo // to be answered by the enquiry
	result  *b2bua.EnquiryResult
	stop    func()
}

type rememberedQuery struct {
	key     queryKey
	query   *pendingQuery
	expires float64
}

type replyTo struct {
	msg     *dns.Msg // the query
	maxSize int      // maximum response size in octets; 0 over TCP, where it is not limited
	send    func([]byte)
}

// New returns a server.
func New(cfg Config, enquirer Enquirer) *Server {
	cfg.Apex = dns.Fqdn(strings.ToLower(cfg.Apex))
	return &Server{cfg: cfg, enquirer: enquirer, limits: newLimiter(cfg.Limits), open: map[queryKey]*pendingQuery{}}
}

// dropExpired drops expired answers, and the oldest ones above the limit MaxRemembered.
func (s *Server) dropExpired() {
	dropped := 0
	for dropped < len(s.remembered) &&
		(s.now >= s.remembered[dropped].expires || len(s.remembered)-dropped > s.cfg.MaxRemembered) {
		if oldest := s.remembered[dropped]; s.open[oldest.key] == oldest.query {
			delete(s.open, oldest.key)
		}
		dropped++
	}
	s.remembered = s.remembered[dropped:]
}

// OpenCount returns the number of queries that are pending or whose answers are kept for repeats.
func (s *Server) OpenCount() int { return len(s.open) }

const (
	minUDPSize = 512  // octets: every client accepts this size (RFC 1035 4.2.1)
	maxUDPSize = 1232 // octets: avoids fragmentation, whatever size a client advertises
	// messages of a pending query that are answered; a client that repeats it more often has an answer by then
	maxReplies = 4
)

// Receive processes a message; send is called at most once, with the response. stream reports
// whether the message arrived over TCP.
func (s *Server) Receive(now float64, from netip.AddrPort, data []byte, stream bool, send func([]byte)) {
	s.now = now
	s.Counts.Queries++
	s.dropExpired()
	m := new(dns.Msg)
	if err := m.Unpack(data); err != nil || m.Response || len(m.Question) != 1 {
		s.rejectMalformed(m, data, stream, send)
		return
	}
	r := replyTo{msg: m, send: send}
	if !stream {
		switch s.limits.check(now, from.Addr()) {
		case Drop:
			s.Counts.Dropped++
			return
		case Slip:
			s.Counts.Slipped++
			s.respondTruncated(r)
			return
		case Refuse:
			s.Counts.Refused++
			s.respondCode(r, dns.RcodeRefused)
			return
		}
		r.maxSize = minUDPSize
		if e := m.IsEdns0(); e != nil {
			r.maxSize = int(max(minUDPSize, min(e.UDPSize(), maxUDPSize)))
		}
		if s.cfg.MaxAmplification > 0 {
			r.maxSize = min(r.maxSize, int(s.cfg.MaxAmplification*float64(len(data))))
		}
	}
	s.onQuery(from, r)
}

// rejectMalformed responds to a malformed query over TCP that has at least a header. Responses are never answered.
func (s *Server) rejectMalformed(m *dns.Msg, data []byte, stream bool, send func([]byte)) {
	s.Counts.Bad++
	if len(data) < 12 || data[2]&0x80 != 0 || !stream {
		return // over UDP nothing is sent, as the source address may be forged
	}
	out := &dns.Msg{
		MsgHdr: dns.MsgHdr{Id: uint16(data[0])<<8 | uint16(data[1]), Response: true, Rcode: dns.RcodeFormatError},
	}
	s.send(replyTo{msg: m, send: send}, out)
}

// onQuery answers a query, or starts an enquiry for its number.
func (s *Server) onQuery(from netip.AddrPort, r replyTo) {
	question := r.msg.Question[0]
	name := strings.ToLower(question.Name)
	switch {
	case r.msg.Opcode != dns.OpcodeQuery:
		s.respondCode(r, dns.RcodeNotImplemented)
		return
	case question.Qclass != dns.ClassINET || !dns.IsSubDomain(s.cfg.Apex, name):
		s.Counts.Refused++
		s.respondCode(r, dns.RcodeRefused)
		return
	}
	number, err := enum.Number(name, s.cfg.Apex)
	if name == s.cfg.Apex || err == nil && question.Qtype != dns.TypeNAPTR {
		s.respondEmpty(r, dns.RcodeSuccess)
		return
	}
	if err != nil {
		s.respondEmpty(r, dns.RcodeNameError)
		return
	}
	key := queryKey{from, r.msg.Id, name}
	if query := s.open[key]; query != nil {
		s.Counts.Repeats++
		switch {
		case query.result == nil: // repeats share the enquiry
			if len(query.replies) < maxReplies {
				query.replies = append(query.replies, r)
			}
			return
		case query.result.Code != 200 || query.result.Valid():
			s.answer(r, query.result)
			return
		}
		delete(s.open, key) // the endpoint is draining or gone: select again
	}
	if s.pending >= s.cfg.MaxPending {
		s.Counts.Failed++
		s.respondCode(r, dns.RcodeServerFailure)
		return
	}
	query := &pendingQuery{replies: []replyTo{r}}
	s.open[key] = query
	s.pending++
	stop := s.enquirer.StartEnquiry(s.now, "+"+number, s.cfg.Class, s.cfg.Timeout, func(
		now float64,
		result b2bua.EnquiryResult,
	) {
		s.now = now
		s.pending--
		query.result, query.stop = &result, nil
		for _, r := range query.replies {
			s.answer(r, &result)
		}
		query.replies = nil
		s.remembered = append(s.remembered, rememberedQuery{key, query, now + s.cfg.RepeatWindow})
	})
	if query.result == nil {
		query.stop = stop
	}
}

// Close stops all pending enquiries and answers their queries with an error.
func (s *Server) Close(now float64) {
	s.now = now
	for _, key := range slices.SortedFunc(maps.Keys(s.open), queryKey.compare) {
		query := s.open[key]
		if query.stop != nil {
			query.stop()
			for _, r := range query.replies {
				s.respondCode(r, dns.RcodeServerFailure)
			}
		}
		delete(s.open, key)
	}
	s.remembered, s.pending = nil, 0
}

func (a queryKey) compare(b queryKey) int {
	return cmp.Or(a.from.Compare(b.from), cmp.Compare(a.id, b.id), strings.Compare(a.name, b.name))
}

// answer sends the result of an enquiry. A SIP URI names endpoint and trunk group (RFC 6116 3.4, RFC 3764, RFC 4904).
func (s *Server) answer(r replyTo, result *b2bua.EnquiryResult) {
	switch result.Code {
	case 200:
		s.Counts.Named++
		uri := fmt.Sprintf("sip:%s%s;tgrp=%s;trunk-context=%s@%s",
			result.Number, result.Params, result.Group, s.cfg.TrunkContext, result.Addr)
		out := s.newResponse(r)
		out.Authoritative = true
		out.Answer = []dns.RR{
			&dns.NAPTR{
				Hdr: dns.RR_Header{
					Name:   r.msg.Question[0].Name,
					Rrtype: dns.TypeNAPTR,
					Class:  dns.ClassINET,
					Ttl:    s.cfg.TTL,
				},
				Order:       10,
				Preference:  10,
				Flags:       "u",
				Service:     "E2U+sip",
				Regexp:      "!^.*$!" + strings.ReplaceAll(uri, `\`, "") + "!",
				Replacement: ".",
			},
		}
		s.send(r, out)
	case 404, 484, 410, 604:
		s.respondEmpty(r, dns.RcodeNameError)
	default: // rejected or failed: resolvers need not cache it (RFC 2308 7); the reason goes into an EDE option (RFC 8914)
		s.Counts.Failed++
		out := s.newResponse(r)
		out.Rcode = dns.RcodeServerFailure
		if o := out.IsEdns0(); o != nil {
			text := result.Reason
			if result.RetryAfter > 0 {
				text += fmt.Sprintf("; retry after %.0f ms", result.RetryAfter)
			}
			o.Option = append(o.Option, &dns.EDNS0_EDE{InfoCode: dns.ExtendedErrorCodeNotReady, ExtraText: text})
		}
		s.send(r, out)
	}
}

// respondEmpty sends a negative response, for a missing name or a missing type, with the SOA record that sets its
// negative TTL (RFC 2308).
func (s *Server) respondEmpty(r replyTo, code int) {
	s.Counts.None++
	out := s.newResponse(r)
	out.Authoritative, out.Rcode = true, code
	out.Ns = []dns.RR{
		&dns.SOA{
			Hdr:     dns.RR_Header{Name: s.cfg.Apex, Rrtype: dns.TypeSOA, Class: dns.ClassINET, Ttl: s.cfg.NegativeTTL},
			Ns:      "ns." + s.cfg.Apex,
			Mbox:    "hostmaster." + s.cfg.Apex,
			Serial:  1,
			Refresh: 3600,
			Retry:   600,
			Expire:  86400,
			Minttl:  s.cfg.NegativeTTL,
		},
	}
	s.send(r, out)
}

func (s *Server) respondCode(r replyTo, code int) {
	out := s.newResponse(r)
	out.Rcode = code
	s.send(r, out)
}

func (s *Server) newResponse(r replyTo) *dns.Msg {
	out := new(dns.Msg)
	out.SetReply(r.msg)
	if r.msg.IsEdns0() != nil {
		out.SetEdns0(maxUDPSize, false)
	}
	return out
}

// respondTruncated tells a client to retry over TCP. The response is no longer than the query.
func (s *Server) respondTruncated(r replyTo) {
	out := new(dns.Msg)
	out.SetReply(r.msg)
	out.Truncated = true
	s.write(r, out)
}

// send sends a response, truncated if it exceeds the maximum size.
func (s *Server) send(r replyTo, out *dns.Msg) {
	if r.maxSize > 0 && out.Len() > r.maxSize {
		s.Counts.Truncated++
		s.respondTruncated(r)
		return
	}
	s.write(r, out)
}

func (s *Server) write(r replyTo, out *dns.Msg) {
	b, err := out.Pack()
	if err != nil { // a text is too long for a character string (RFC 1035 3.3)
		s.Counts.Failed++
		fail := new(dns.Msg)
		fail.SetRcode(r.msg, dns.RcodeServerFailure)
		if b, err = fail.Pack(); err != nil {
			return // cannot happen: the question was unpacked from a message
		}
	}
	r.send(b)
}
