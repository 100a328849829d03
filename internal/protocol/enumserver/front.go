// Package enumserver answers ENUM look-ups (RFC 6116) of kiosks without I/O: a number's domain is asked for, and the answer
// names the endpoint that the gateway's decisions give at this moment. Messages come in with a way to reply; what a question asks goes
// into an enquiry, and its answer goes out, once. Whatever comes by datagram is bounded: by client, in all, and in what is sent for what came.
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

// Enquirer is what decides: an edge.
type Enquirer interface {
	Enquire(now float64, number, skill string, patience float64, done func(now float64, n b2bua.Named)) (stop func())
}

// Config is what a front is told. Times are ms.
type Config struct {
	Apex     string
	Skill    string  // of the calls
	TTL      uint32  // s: of answers that name an endpoint
	Negative uint32  // s: of "there is no such number"
	Patience float64 // a resolver asks again or gives up after this
	Repeat   float64 // the same question of the same client within this is a repeat: it gets the same answer
	Gain     float64 // octets of an answer by datagram for each that came; a longer one is truncated
	Most     int     // questions that wait for an answer
	Keep     int     // answers remembered for repeats; the oldest go first
	Context  string  // trunk-context (RFC 4904)
	Limits   Limits
}

// Counts are what a front has seen.
type Counts struct {
	Asked, Named, None, Failed, Repeats, Refused, Slipped, Dropped, Truncated, Bad uint64
}

// Front answers. One goroutine owns it.
type Front struct {
	Counts Counts
	cfg    Config
	ask    Enquirer
	limits *limiter
	open   map[key]*question
	kept   []kept // of those the answered, the oldest first
	waits  int    // those that wait
	now    float64
}

// key is what makes a question the same as another: who asks, its id, and what it asks for.
type key struct {
	from netip.AddrPort
	id   uint16
	name string
}

// question is one that waits for its answer, or whose answer is kept for repeats.
type question struct {
	replies []reply // what waits
	named   *b2bua.Named
	stop    func()
}

type kept struct {
	key   key
	of    *question
	until float64
}

type reply struct {
	msg  *dns.Msg // the question
	size int      // most octets of the answer; 0: any number, over TCP
	send func([]byte)
}

// New makes a front.
func New(cfg Config, ask Enquirer) *Front {
	cfg.Apex = dns.Fqdn(strings.ToLower(cfg.Apex))
	return &Front{cfg: cfg, ask: ask, limits: newLimiter(cfg.Limits), open: map[key]*question{}}
}

// forget lets go of answers whose time is over, and of the oldest where there are too many.
func (f *Front) forget() {
	n := 0
	for n < len(f.kept) && (f.now >= f.kept[n].until || len(f.kept)-n > f.cfg.Keep) {
		if k := f.kept[n]; f.open[k.key] == k.of {
			delete(f.open, k.key)
		}
		n++
	}
	f.kept = f.kept[n:]
}

// Open is how many questions are held.
func (f *Front) Open() int { return len(f.open) }

const (
	leastSize   = 512  // octets: what any client takes (RFC 1035 4.2.1)
	mostSize    = 1232 // octets: what goes by datagram without fragments, whatever a client says that it takes
	mostReplies = 4    // repeats of a question that waits which get the answer too; a client that repeats more has it by then
)

// Receive takes a message; send replies to it, once at most. stream: it came over TCP.
func (f *Front) Receive(now float64, from netip.AddrPort, data []byte, stream bool, send func([]byte)) {
	f.now = now
	f.Counts.Asked++
	f.forget()
	m := new(dns.Msg)
	if err := m.Unpack(data); err != nil || m.Response || len(m.Question) != 1 {
		f.bad(m, data, stream, send)
		return
	}
	r := reply{msg: m, send: send}
	if !stream {
		switch f.limits.ask(now, from.Addr()) {
		case Drop:
			f.Counts.Dropped++
			return
		case Slip:
			f.Counts.Slipped++
			f.truncated(r)
			return
		case Refuse:
			f.Counts.Refused++
			f.code(r, dns.RcodeRefused)
			return
		}
		r.size = leastSize
		if e := m.IsEdns0(); e != nil {
			r.size = int(max(leastSize, min(e.UDPSize(), mostSize)))
		}
		if f.cfg.Gain > 0 {
			r.size = min(r.size, int(f.cfg.Gain*float64(len(data))))
		}
	}
	f.asked(from, r)
}

// bad answers what is no question, where it has at least an id; never an answer to an answer.
func (f *Front) bad(m *dns.Msg, data []byte, stream bool, send func([]byte)) {
	f.Counts.Bad++
	if len(data) < 12 || data[2]&0x80 != 0 || !stream {
		return // by datagram: whoever forges gets nothing sent
	}
	out := &dns.Msg{MsgHdr: dns.MsgHdr{Id: uint16(data[0])<<8 | uint16(data[1]), Response: true, Rcode: dns.RcodeFormatError}}
	f.send(reply{msg: m, send: send}, out)
}

// asked answers a question, or asks for what it is about.
func (f *Front) asked(from netip.AddrPort, r reply) {
	q := r.msg.Question[0]
	name := strings.ToLower(q.Name)
	switch {
	case r.msg.Opcode != dns.OpcodeQuery:
		f.code(r, dns.RcodeNotImplemented)
		return
	case q.Qclass != dns.ClassINET || !dns.IsSubDomain(f.cfg.Apex, name):
		f.Counts.Refused++
		f.code(r, dns.RcodeRefused)
		return
	}
	number, err := enum.Number(name, f.cfg.Apex)
	if name == f.cfg.Apex || err == nil && q.Qtype != dns.TypeNAPTR {
		f.nothing(r, dns.RcodeSuccess)
		return
	}
	if err != nil {
		f.nothing(r, dns.RcodeNameError)
		return
	}
	k := key{from, r.msg.Id, name}
	if x := f.open[k]; x != nil {
		f.Counts.Repeats++
		switch {
		case x.named == nil: // it has one call, whatever is repeated
			if len(x.replies) < mostReplies {
				x.replies = append(x.replies, r)
			}
			return
		case x.named.Code != 200 || x.named.Still():
			f.answer(r, x.named)
			return
		}
		delete(f.open, k) // the endpoint drains by now: the answer is decided anew
	}
	if f.waits >= f.cfg.Most {
		f.Counts.Failed++
		f.code(r, dns.RcodeServerFailure)
		return
	}
	x := &question{replies: []reply{r}}
	f.open[k] = x
	f.waits++
	stop := f.ask.Enquire(f.now, "+"+number, f.cfg.Skill, f.cfg.Patience, func(now float64, n b2bua.Named) {
		f.now = now
		f.waits--
		x.named, x.stop = &n, nil
		for _, r := range x.replies {
			f.answer(r, &n)
		}
		x.replies = nil
		f.kept = append(f.kept, kept{k, x, now + f.cfg.Repeat})
	})
	if x.named == nil {
		x.stop = stop
	}
}

// Close takes back all questions that wait and fails them.
func (f *Front) Close(now float64) {
	f.now = now
	for _, k := range slices.SortedFunc(maps.Keys(f.open), key.compare) {
		x := f.open[k]
		if x.stop != nil {
			x.stop()
			for _, r := range x.replies {
				f.code(r, dns.RcodeServerFailure)
			}
		}
		delete(f.open, k)
	}
	f.kept, f.waits = nil, 0
}

func (a key) compare(b key) int {
	return cmp.Or(a.from.Compare(b.from), cmp.Compare(a.id, b.id), strings.Compare(a.name, b.name))
}

// answer says what an enquiry came to. A SIP URI names endpoint and trunk group (RFC 6116 3.4, RFC 3764, RFC 4904).
func (f *Front) answer(r reply, n *b2bua.Named) {
	switch {
	case n.Code == 200:
		f.Counts.Named++
		uri := fmt.Sprintf("sip:%s%s;tgrp=%s;trunk-context=%s@%s", n.Number, n.Params, n.Group, f.cfg.Context, n.Addr)
		out := f.to(r)
		out.Authoritative = true
		out.Answer = []dns.RR{&dns.NAPTR{Hdr: dns.RR_Header{Name: r.msg.Question[0].Name, Rrtype: dns.TypeNAPTR, Class: dns.ClassINET, Ttl: f.cfg.TTL},
			Order: 10, Preference: 10, Flags: "u", Service: "E2U+sip", Regexp: "!^.*$!" + strings.ReplaceAll(uri, `\`, "") + "!", Replacement: "."}}
		f.send(r, out)
	case n.Code == 404 || n.Code == 484 || n.Code == 410 || n.Code == 604:
		f.nothing(r, dns.RcodeNameError)
	default: // rejected, failed: a resolver does not keep that (RFC 2308 7), and says why (RFC 8914)
		f.Counts.Failed++
		out := f.to(r)
		out.Rcode = dns.RcodeServerFailure
		if o := out.IsEdns0(); o != nil {
			text := n.Why
			if n.Wait > 0 {
				text += fmt.Sprintf("; retry after %.0f ms", n.Wait)
			}
			o.Option = append(o.Option, &dns.EDNS0_EDE{InfoCode: dns.ExtendedErrorCodeNotReady, ExtraText: text})
		}
		f.send(r, out)
	}
}

// nothing says that there is no such number, or nothing of that type, with the time for which that holds (RFC 2308).
func (f *Front) nothing(r reply, code int) {
	f.Counts.None++
	out := f.to(r)
	out.Authoritative, out.Rcode = true, code
	out.Ns = []dns.RR{&dns.SOA{Hdr: dns.RR_Header{Name: f.cfg.Apex, Rrtype: dns.TypeSOA, Class: dns.ClassINET, Ttl: f.cfg.Negative}, Ns: "ns." + f.cfg.Apex,
		Mbox: "hostmaster." + f.cfg.Apex, Serial: 1, Refresh: 3600, Retry: 600, Expire: 86400, Minttl: f.cfg.Negative}}
	f.send(r, out)
}

func (f *Front) code(r reply, code int) {
	out := f.to(r)
	out.Rcode = code
	f.send(r, out)
}

func (f *Front) to(r reply) *dns.Msg {
	out := new(dns.Msg)
	out.SetReply(r.msg)
	if r.msg.IsEdns0() != nil {
		out.SetEdns0(mostSize, false)
	}
	return out
}

// truncated tells an asker to come back over TCP, in no more octets than it sent.
func (f *Front) truncated(r reply) {
	out := new(dns.Msg)
	out.SetReply(r.msg)
	out.Truncated = true
	f.put(r, out)
}

// send sends an answer, truncated where it is longer than may be.
func (f *Front) send(r reply, out *dns.Msg) {
	if r.size > 0 && out.Len() > r.size {
		f.Counts.Truncated++
		f.truncated(r)
		return
	}
	f.put(r, out)
}

func (f *Front) put(r reply, out *dns.Msg) {
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
