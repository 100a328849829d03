// Package siptransaction runs SIP transactions (RFC 3261 section 17, RFC 6026) without I/O: datagrams and the time are
// passed in, and datagrams leave through a function. Messages are those of package sip of sipgo; the transaction state
// machines are implemented here, so that the same code runs on sockets and in virtual time.
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

// Names of the header fields that are read or written by name.
const (
	SessionID     = "Session-ID"          // RFC 7989: one call on all its legs
	ReasonHeader  = "Reason"              // RFC 3326: why a call was released
	RetryAfter    = "Retry-After"         // RFC 3261 20.33
	ServiceHeader = "P-Preferred-Service" // RFC 6050: the requested class
	LoadHeader    = "Cobalt-Load"         // private to this project: util, queue, wait, lines, free; see docs/gateway.md
)

// Generator makes pseudo-random tags, branches and call IDs from a seed and a counter.
type Generator struct {
	Seed    uint64
	counter uint64
}

// Next returns a string that this generator has not returned before.
func (g *Generator) Next() string {
	g.counter++
	return strconv.FormatUint(detrand.Hash(g.Seed, g.counter), 36)
}

// Float64 returns a pseudo-random number in [0, 1), of the same sequence.
func (g *Generator) Float64() float64 {
	g.counter++
	return detrand.Float64(g.Seed, g.counter)
}

// Parse parses a datagram. It returns an error if a mandatory header field is missing (RFC 3261 8.1.1) or the library
// can't parse the message. It recovers from panics of the library, so that no datagram can end the process.
func Parse(data []byte) (m sip.Message, err error) {
	defer func() {
		if p := recover(); p != nil {
			m, err = nil, fmt.Errorf("parse SIP message: parser panicked: %v", p)
		}
	}()
	if len(data) < 16 {
		return nil, fmt.Errorf("parse SIP message: %d bytes are too short", len(data))
	}
	m, err = parser.ParseSIP(data)
	if err != nil {
		return nil, fmt.Errorf("parse SIP message: %w", err)
	}
	switch {
	case m.Via() == nil || m.Via().Host == "":
		return nil, fmt.Errorf("parse SIP message: Via is missing or has no host")
	case m.From() == nil || m.To() == nil:
		return nil, fmt.Errorf("parse SIP message: From or To is missing")
	case m.CallID() == nil || *m.CallID() == "":
		return nil, fmt.Errorf("parse SIP message: Call-ID is missing or empty")
	case m.CSeq() == nil:
		return nil, fmt.Errorf("parse SIP message: CSeq is missing")
	}
	if r, ok := m.(*sip.Request); ok && r.Method != r.CSeq().MethodName {
		return nil, fmt.Errorf("parse SIP message: method %s differs from CSeq method %s", r.Method, r.CSeq().MethodName)
	}
	return m, nil
}

// parser is not changed after initialization.
var parser = newParser()

// newParser returns the library's parser with a workaround for quoted values in a Via, which the list of algorithms in
// RFC 7339 4.1 needs. The library takes a comma inside quotes for the end of the Via and misparses what follows the
// closing quote. Quotes and separators inside them are replaced by control characters, which no message may contain,
// before parsing, and restored after it.
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

// quotedReplacer restores the characters that hideQuoted replaced.
var quotedReplacer = strings.NewReplacer("\x1d", `"`, "\x1e", ";", "\x1f", ",")

// hideQuoted replaces quotes, and semicolons and commas inside quotes, by control characters.
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

// HeaderValue returns the value of a header field, or "" if it is missing.
func HeaderValue(m interface{ GetHeader(string) sip.Header }, name string) string {
	if h := m.GetHeader(name); h != nil {
		return h.Value()
	}
	return ""
}

// Tag returns the tag of a From or To field, or "" if it has none.
func Tag(p sip.HeaderParams) string {
	t, _ := p.Get("tag")
	return t
}

// Response makes a response to a request (RFC 3261 8.2.6). tag is added to To if that has none.
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

// FormatRetryAfter formats a wait in milliseconds as a Retry-After value (RFC 3261 20.33): whole seconds, rounded up,
// and the exact wait in the extension parameter ms.
func FormatRetryAfter(ms float64) string {
	s := int((ms + 999) / 1000)
	return fmt.Sprintf("%d;ms=%d", s, int(ms+0.5))
}

// ParseRetryAfter returns the wait of a Retry-After value in milliseconds, or 0 if it is empty or invalid.
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

// responseAddress returns the address to which a response is sent (RFC 3261 18.2.2, RFC 3581).
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

// SessionIDOf returns the call's ID (RFC 7989 5): the first of the two UUIDs in Session-ID that is not nil, or "".
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

// FormatSessionID formats the Session-ID value of a request whose remote UUID is not known.
func FormatSessionID(id string) string { return id + ";remote=" + nilSessionID }

// NewSessionID makes a session ID: 32 lower-case hex digits (RFC 7989 4.1).
func NewSessionID(g *Generator) string {
	a, b := g.Float64(), g.Float64()
	return fmt.Sprintf("%016x%016x", uint64(a*(1<<53))|1<<63, uint64(b*(1<<53))|1<<62)
}
