// Package siptransaction runs SIP transactions (RFC 3261 section 17, RFC 6026) without I/O: datagrams and the time come
// in, datagrams go out through a function, and timers run when the time is handed in. Messages are those of the sip
// library; the transaction machines are ours, so that the same ones run on sockets and in virtual time.
package siptransaction

import (
	"fmt"
	"maps"
	"net/netip"
	"strconv"
	"strings"

	"github.com/emiago/sipgo/sip"

	"cobaltpier/internal/detrand"
)

// Header fields that the project reads by name.
const (
	SessionID  = "Session-ID"          // RFC 7989: one call on all its legs
	Reason     = "Reason"              // RFC 3326: why a call was released
	RetryAfter = "Retry-After"         // RFC 3261 20.33
	Service    = "P-Preferred-Service" // RFC 6050: the class asked for
	Load       = "Cobalt-Load"         // ours: util, queue, wait, lines, free; see docs/gateway.md
)

// Generator makes the tags, branches and call ids of one process by chance from a seed and a counter.
type Generator struct {
	Seed    uint64
	counter uint64
}

// Next is a name that this process has not used before.
func (s *Generator) Next() string {
	s.counter++
	return strconv.FormatUint(detrand.Hash(s.Seed, s.counter), 36)
}

// Float64 is a number from 0 to 1 by the same draw.
func (s *Generator) Float64() float64 {
	s.counter++
	return detrand.Float64(s.Seed, s.counter)
}

// Parse reads a datagram. A message that lacks what every message must have (RFC 3261 8.1.1) is an error, and so is
// one that the library can't take; whatever is sent to us, Parse returns.
func Parse(data []byte) (m sip.Message, err error) {
	defer func() {
		if p := recover(); p != nil {
			m, err = nil, fmt.Errorf("parse: the library gave up: %v", p)
		}
	}()
	if len(data) < 16 {
		return nil, fmt.Errorf("parse: %d bytes are no message", len(data))
	}
	m, err = parser.ParseSIP(data)
	if err != nil {
		return nil, fmt.Errorf("parse: %w", err)
	}
	switch {
	case m.Via() == nil || m.Via().Host == "":
		return nil, fmt.Errorf("parse: want a Via")
	case m.From() == nil || m.To() == nil:
		return nil, fmt.Errorf("parse: want From and To")
	case m.CallID() == nil || *m.CallID() == "":
		return nil, fmt.Errorf("parse: want a Call-ID")
	case m.CSeq() == nil:
		return nil, fmt.Errorf("parse: want a CSeq")
	}
	if r, ok := m.(*sip.Request); ok && r.Method != r.CSeq().MethodName {
		return nil, fmt.Errorf("parse: %s with the CSeq of %s", r.Method, r.CSeq().MethodName)
	}
	return m, nil
}

// parser is read only once made.
var parser = newParser()

// newParser is the library's, but for quoted values in a Via: the library takes a comma in them for the end of the
// Via, and loses its place after the closing quote; RFC 7339 4.1 writes its list of algorithms so. They are hidden
// from it behind bytes that no message may hold, and put back after.
func newParser() *sip.Parser {
	m := maps.Clone(sip.DefaultHeadersParser())
	plain := m["via"]
	via := func(name []byte, text string) (sip.Header, error) {
		if strings.IndexByte(text, '"') < 0 {
			return plain(name, text)
		}
		h, err := plain(name, hideQuoted(text))
		if v, ok := h.(*sip.ViaHeader); ok && v != nil {
			for i := range v.Params {
				if strings.IndexByte(v.Params[i].V, 0x1d) >= 0 {
					v.Params[i].V = quotedReplacer.Replace(v.Params[i].V)
				}
			}
		}
		return h, err
	}
	m["via"], m["v"] = via, via
	return sip.NewParser(sip.WithHeadersParsers(m))
}

// quotedReplacer is read only once made.
var quotedReplacer = strings.NewReplacer("\x1d", `"`, "\x1e", ";", "\x1f", ",")

// hideQuoted puts other bytes in the place of quotes, and of what parts parameters inside them.
func hideQuoted(s string) string {
	b, quoted := []byte(s), false
	for i, c := range b {
		switch {
		case c == '"':
			quoted = !quoted
			b[i] = 0x1d
		case quoted && c == ';':
			b[i] = 0x1e
		case quoted && c == ',':
			b[i] = 0x1f
		}
	}
	return string(b)
}

// HeaderValue is a header field's value, "" where there is none.
func HeaderValue(m interface{ GetHeader(string) sip.Header }, name string) string {
	if h := m.GetHeader(name); h != nil {
		return h.Value()
	}
	return ""
}

// Tag is the tag of a From or To field, "" without one.
func Tag(p sip.HeaderParams) string {
	t, _ := p.Get("tag")
	return t
}

// Response makes the answer to a request (RFC 3261 8.2.6); tag is put into To where that has none yet.
func Response(req *sip.Request, code int, reason, tag string) *sip.Response {
	res := sip.NewResponse(code, reason)
	for _, h := range req.GetHeaders("Via") {
		res.AppendHeader(h)
	}
	res.AppendHeader(req.From())
	to := req.To()
	if tag != "" && !to.Params.Has("tag") {
		to = &sip.ToHeader{DisplayName: to.DisplayName, Address: to.Address, Params: to.Params.Clone()}
		to.Params.Add("tag", tag)
	}
	res.AppendHeader(to)
	res.AppendHeader(req.CallID())
	res.AppendHeader(req.CSeq())
	if s := SessionIDOf(req); s != "" {
		res.AppendHeader(sip.NewHeader(SessionID, nilSessionID+";remote="+s))
	}
	return res
}

// FormatRetryAfter writes a wait in milliseconds as RFC 3261 20.33 has it: whole seconds, rounded up; the exact wait
// stands in a parameter of ours, which the grammar allows.
func FormatRetryAfter(ms float64) string {
	s := int((ms + 999) / 1000)
	return fmt.Sprintf("%d;ms=%d", s, int(ms+0.5))
}

// ParseRetryAfter reads such a field, in milliseconds; 0 where there is none or it makes no sense.
func ParseRetryAfter(v string) float64 {
	parts := strings.Split(v, ";")
	for _, p := range parts[1:] {
		if ms, ok := strings.CutPrefix(strings.TrimSpace(p), "ms="); ok {
			if n, err := strconv.ParseUint(ms, 10, 31); err == nil {
				return float64(n)
			}
		}
	}
	head, _, _ := strings.Cut(strings.TrimSpace(parts[0]), " ")
	head, _, _ = strings.Cut(head, "(")
	n, err := strconv.ParseUint(head, 10, 31)
	if err != nil {
		return 0
	}
	return float64(n) * 1000
}

// responseAddress is where the answer to a request goes (RFC 3261 18.2.2, RFC 3581).
func responseAddress(from netip.AddrPort, via *sip.ViaHeader) netip.AddrPort {
	if via.Params.Has("rport") {
		return from
	}
	port := via.Port
	if port == 0 {
		port = 5060
	}
	return netip.AddrPortFrom(from.Addr(), uint16(port))
}

const nilSessionID = "00000000000000000000000000000000"

// SessionIDOf is the call's id (RFC 7989 5): the first of a Session-ID's two that is not the nil one. "" without.
func SessionIDOf(m interface{ GetHeader(string) sip.Header }) string {
	local, rest, _ := strings.Cut(HeaderValue(m, SessionID), ";")
	if local = strings.TrimSpace(local); local != "" && local != nilSessionID {
		return local
	}
	remote, _ := strings.CutPrefix(strings.TrimSpace(rest), "remote=")
	if remote == nilSessionID {
		return ""
	}
	return remote
}

// FormatSessionID is the header's value in a request of a call's own side.
func FormatSessionID(id string) string { return id + ";remote=" + nilSessionID }

// NewSessionID makes an id: 32 lower-case hex digits (RFC 7989 4.1).
func NewSessionID(n *Generator) string {
	a, b := n.Float64(), n.Float64()
	return fmt.Sprintf("%016x%016x", uint64(a*(1<<53))|1<<63, uint64(b*(1<<53))|1<<62)
}
