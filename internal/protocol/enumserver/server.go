// Package enumserver answers ENUM look-ups (RFC 6116) of kiosks without I/O: a number's domain is asked for, and the
// answer names the endpoint that the gateway's decisions give at this moment. Messages come in with a way to reply;
// what a query asks goes into an enquiry, and its answer goes out, once. Whatever comes by datagram is bounded: by
// client, in all, and in what is sent for what came.
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

// Enquirer is what decides: a gateway.
type Enquirer interface {
	StartEnquiry(
		now float64,
		number, skill string,
		patience float64,
		done func(now float64, n b2bua.EnquiryResult),
	) (stop func())
}

// Config is what a front is told. Times are ms.
type Config struct {
	Apex       string
	Class      string  // of the calls
	TTL        uint32  // s: of answers that name an endpoint
	Negative   uint32  // s: of "there is no such number"
	Patience   float64 // a resolver asks again or gives up after this
	Repeat     float64 // the same query of the same client within this is a repeat: it gets the same answer
	Gain       float64 // octets of an answer by datagram for each that came; a longer one is truncated
	MaxPending int     // queries that wait for an answer
	Keep       int     // answers remembered for repeats; the oldest go first
	Context    string  // trunk-context (RFC 4904)
	Limits     Limits
}

// Counts are what a front has seen.
type Counts struct {
	Queries   uint64 `json:"queries"`
	Named     uint64 `json:"named"` // queries answered with an endpoint
	None      uint64 `json:"none"`  // queries for numbers without one
	Failed    uint64 `json:"failed"`
	Repeats   uint64 `json:"repeats"`
	Refused   uint64 `json:"refused"` // queries refused by a limit
	Slipped   uint64 `json:"slipped"` // queries over a limit that were answered as truncated
	Dropped   uint64 `json:"dropped"` // queries over a limit that were not answered
	Truncated uint64 `json:"truncated"`
	Bad       uint64 `json:"bad"` // malformed messages
}

// Server answers. One goroutine owns it.
type Server struct {
	Counts Counts
	cfg    Config
	ask    Enquirer
	limits *limiter
	open   map[queryKey]*pendingQuery
	kept   []cachedResult // of those the answered, the oldest first
	waits  int            // those that wait
	now    float64
}

// queryKey is what makes a query the same as another: who asks, its id, and what it asks for.
type queryKey struct {
	from netip.AddrPort
	id   uint16
	name string
}

// pendingQuery is one that waits for its answer, or whose answer is kept for repeats.
type pendingQuery struct {
	replies []replyTo // what waits
	named   *b2bua.EnquiryResult
	stop    func()
}

type cachedResult struct {
	key   queryKey
	of    *pendingQuery
	until float64
}

type replyTo struct {
	msg  *dns.Msg // the query
	size int      // most octets of the answer; 0: any number, over TCP
	send func([]byte)
}

// New makes a front.
func New(cfg Config, ask Enquirer) *Server {
	cfg.Apex = dns.Fqdn(strings.ToLower(cfg.Apex))
	return &Server{cfg: cfg, ask: ask, limits: newLimiter(cfg.Limits), open: map[queryKey]*pendingQuery{}}
}

// dropExpired lets go of answers whose time is over, and of the oldest where there are too many.
func (f *Server) dropExpired() {
	n := 0
	for n < len(f.kept) && (f.now >= f.kept[n].until || len(f.kept)-n > f.cfg.Keep) {
		if k := f.kept[n]; f.open[k.key] == k.of {
			delete(f.open, k.key)
		}
		n++
	}
	f.kept = f.kept[n:]
}

// OpenCount is how many queries are held.
func (f *Server) OpenCount() int { return len(f.open) }

const (
	minUDPSize = 512  // octets: what any client takes (RFC 1035 4.2.1)
	maxUDPSize = 1232 // octets: what goes by datagram without fragments, whatever a client says that it takes
	// repeats of a pending query that get the answer too; a client that repeats more has it by then
	maxReplies = 4
)

// Receive takes a message; send replies to it, once at most. stream: it came over TCP.
func (f *Server) Receive(now float64, from netip.AddrPort, data []byte, stream bool, send func([]byte)) {
	f.now = now
	f.Counts.Queries++
	f.dropExpired()
	m := new(dns.Msg)
	if err := m.Unpack(data); err != nil || m.Response || len(m.Question) != 1 {
		f.rejectMalformed(m, data, stream, send)
		return
	}
	r := replyTo{msg: m, send: send}
	if !stream {
		switch f.limits.check(now, from.Addr()) {
		case Drop:
			f.Counts.Dropped++
			return
		case Slip:
			f.Counts.Slipped++
			f.respondTruncated(r)
			return
		case Refuse:
			f.Counts.Refused++
			f.respondCode(r, dns.RcodeRefused)
			return
		}
		r.size = minUDPSize
		if e := m.IsEdns0(); e != nil {
			r.size = int(max(minUDPSize, min(e.UDPSize(), maxUDPSize)))
		}
		if f.cfg.Gain > 0 {
			r.size = min(r.size, int(f.cfg.Gain*float64(len(data))))
		}
	}
	f.onQuery(from, r)
}

// rejectMalformed answers what is no query, where it has at least an id; never an answer to an answer.
func (f *Server) rejectMalformed(m *dns.Msg, data []byte, stream bool, send func([]byte)) {
	f.Counts.Bad++
	if len(data) < 12 || data[2]&0x80 != 0 || !stream {
		return // by datagram: whoever forges gets nothing sent
	}
	out := &dns.Msg{
		MsgHdr: dns.MsgHdr{Id: uint16(data[0])<<8 | uint16(data[1]), Response: true, Rcode: dns.RcodeFormatError},
	}
	f.send(replyTo{msg: m, send: send}, out)
}

// onQuery answers a query, or asks for what it is about.
func (f *Server) onQuery(from netip.AddrPort, r replyTo) {
	q := r.msg.Question[0]
	name := strings.ToLower(q.Name)
	switch {
	case r.msg.Opcode != dns.OpcodeQuery:
		f.respondCode(r, dns.RcodeNotImplemented)
		return
	case q.Qclass != dns.ClassINET || !dns.IsSubDomain(f.cfg.Apex, name):
		f.Counts.Refused++
		f.respondCode(r, dns.RcodeRefused)
		return
	}
	number, err := enum.Number(name, f.cfg.Apex)
	if name == f.cfg.Apex || err == nil && q.Qtype != dns.TypeNAPTR {
		f.respondEmpty(r, dns.RcodeSuccess)
		return
	}
	if err != nil {
		f.respondEmpty(r, dns.RcodeNameError)
		return
	}
	k := queryKey{from, r.msg.Id, name}
	if x := f.open[k]; x != nil {
		f.Counts.Repeats++
		switch {
		case x.named == nil: // it has one call, whatever is repeated
			if len(x.replies) < maxReplies {
				x.replies = append(x.replies, r)
			}
			return
		case x.named.Code != 200 || x.named.Valid():
			f.answer(r, x.named)
			return
		}
		delete(f.open, k) // the endpoint drains by now: the answer is decided anew
	}
	if f.waits >= f.cfg.MaxPending {
		f.Counts.Failed++
		f.respondCode(r, dns.RcodeServerFailure)
		return
	}
	x := &pendingQuery{replies: []replyTo{r}}
	f.open[k] = x
	f.waits++
	stop := f.ask.StartEnquiry(f.now, "+"+number, f.cfg.Class, f.cfg.Patience, func(now float64, n b2bua.EnquiryResult) {
		f.now = now
		f.waits--
		x.named, x.stop = &n, nil
		for _, r := range x.replies {
			f.answer(r, &n)
		}
		x.replies = nil
		f.kept = append(f.kept, cachedResult{k, x, now + f.cfg.Repeat})
	})
	if x.named == nil {
		x.stop = stop
	}
}

// Close takes back all queries that wait and fails them.
func (f *Server) Close(now float64) {
	f.now = now
	for _, k := range slices.SortedFunc(maps.Keys(f.open), queryKey.compare) {
		x := f.open[k]
		if x.stop != nil {
			x.stop()
			for _, r := range x.replies {
				f.respondCode(r, dns.RcodeServerFailure)
			}
		}
		delete(f.open, k)
	}
	f.kept, f.waits = nil, 0
}

func (a queryKey) compare(b queryKey) int {
	return cmp.Or(a.from.Compare(b.from), cmp.Compare(a.id, b.id), strings.Compare(a.name, b.name))
}

// answer says what an enquiry came to. A SIP URI names endpoint and trunk group (RFC 6116 3.4, RFC 3764, RFC 4904).
func (f *Server) answer(r replyTo, n *b2bua.EnquiryResult) {
	switch n.Code {
	case 200:
		f.Counts.Named++
		uri := fmt.Sprintf("sip:%s%s;tgrp=%s;trunk-context=%s@%s", n.Number, n.Params, n.Group, f.cfg.Context, n.Addr)
		out := f.newResponse(r)
		out.Authoritative = true
		out.Answer = []dns.RR{
			&dns.NAPTR{
				Hdr: dns.RR_Header{
					Name:   r.msg.Question[0].Name,
					Rrtype: dns.TypeNAPTR,
					Class:  dns.ClassINET,
					Ttl:    f.cfg.TTL,
				},
				Order:       10,
				Preference:  10,
				Flags:       "u",
				Service:     "E2U+sip",
				Regexp:      "!^.*$!" + strings.ReplaceAll(uri, `\`, "") + "!",
				Replacement: ".",
			},
		}
		f.send(r, out)
	case 404, 484, 410, 604:
		f.respondEmpty(r, dns.RcodeNameError)
	default: // rejected, failed: a resolver does not keep that (RFC 2308 7), and says why (RFC 8914)
		f.Counts.Failed++
		out := f.newResponse(r)
		out.Rcode = dns.RcodeServerFailure
		if o := out.IsEdns0(); o != nil {
			text := n.Reason
			if n.RetryAfter > 0 {
				text += fmt.Sprintf("; retry after %.0f ms", n.RetryAfter)
			}
			o.Option = append(o.Option, &dns.EDNS0_EDE{InfoCode: dns.ExtendedErrorCodeNotReady, ExtraText: text})
		}
		f.send(r, out)
	}
}

// respondEmpty says that there is no such number, or nothing of that type, with the time for which that holds (RFC
// 2308).
func (f *Server) respondEmpty(r replyTo, code int) {
	f.Counts.None++
	out := f.newResponse(r)
	out.Authoritative, out.Rcode = true, code
	out.Ns = []dns.RR{
		&dns.SOA{
			Hdr:     dns.RR_Header{Name: f.cfg.Apex, Rrtype: dns.TypeSOA, Class: dns.ClassINET, Ttl: f.cfg.Negative},
			Ns:      "ns." + f.cfg.Apex,
			Mbox:    "hostmaster." + f.cfg.Apex,
			Serial:  1,
			Refresh: 3600,
			Retry:   600,
			Expire:  86400,
			Minttl:  f.cfg.Negative,
		},
	}
	f.send(r, out)
}

func (f *Server) respondCode(r replyTo, code int) {
	out := f.newResponse(r)
	out.Rcode = code
	f.send(r, out)
}

func (f *Server) newResponse(r replyTo) *dns.Msg {
	out := new(dns.Msg)
	out.SetReply(r.msg)
	if r.msg.IsEdns0() != nil {
		out.SetEdns0(maxUDPSize, false)
	}
	return out
}

// respondTruncated tells an caller to come back over TCP, in no more octets than it sent.
func (f *Server) respondTruncated(r replyTo) {
	out := new(dns.Msg)
	out.SetReply(r.msg)
	out.Truncated = true
	f.write(r, out)
}

// send sends an answer, truncated where it is longer than may be.
func (f *Server) send(r replyTo, out *dns.Msg) {
	if r.size > 0 && out.Len() > r.size {
		f.Counts.Truncated++
		f.respondTruncated(r)
		return
	}
	f.write(r, out)
}

func (f *Server) write(r replyTo, out *dns.Msg) {
	b, err := out.Pack()
	if err != nil { // a text of the answer is longer than a character string may be (RFC 1035 3.3)
		f.Counts.Failed++
		fail := new(dns.Msg)
		fail.SetRcode(r.msg, dns.RcodeServerFailure)
		if b, err = fail.Pack(); err != nil {
			return // never: it is what was read
		}
	}
	r.send(b)
}
