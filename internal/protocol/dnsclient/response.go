package dnsclient

import (
	"net/netip"
	"strings"

	"github.com/miekg/dns"

	"cobaltpier/internal/decision/enum"
)

// Receive processes a datagram that arrived at one of the ports. Responses that match no query are dropped and counted.
func (c *Client) Receive(now float64, port int, from netip.AddrPort, data []byte) {
	c.now = now
	if len(data) < 12 {
		c.Counts.Strays++
		return
	}
	q := c.outstanding[responseKey{port, from, uint16(data[0])<<8 | uint16(data[1])}]
	m := new(dns.Msg)
	if q == nil || m.Unpack(data) != nil || !matches(m, q.name) {
		c.onMismatch(from)
		return
	}
	c.mismatches[q.server] = 0
	c.timers.Cancel(q.timer)
	delete(c.outstanding, q.key)
	c.health.OnResponse(q.server, now, now-q.sentAt)
	if m.Truncated { // RFC 2181 9: the records of a truncated response are not used
		c.sendStreamQuery(q.lookup, q.server)
		return
	}
	c.onResponse(q, m)
}

// onMismatch records a response that matches no query. Many of them from one server are either spoofed or belong to
// queries that were given up; in both cases the next queries to it go over TCP, where spoofing is hard.
func (c *Client) onMismatch(from netip.AddrPort) {
	c.Counts.Strays++
	for i, a := range c.cfg.Servers {
		if a == from {
			if c.mismatches[i]++; c.mismatches[i] >= maxMismatches {
				c.mismatches[i], c.streamOnlyUntil[i] = 0, c.now+streamOnlyTime
			}
		}
	}
}

// OnStreamResponse processes a response over TCP; data is nil if none arrived in time.
func (c *Client) OnStreamResponse(now float64, token uint64, data []byte) {
	c.now = now
	q := c.streams[token]
	if q == nil {
		return
	}
	delete(c.streams, token)
	c.timers.Cancel(q.timer)
	m := new(dns.Msg)
	if data == nil || m.Unpack(data) != nil || m.Id != q.key.id || !matches(m, q.name) {
		c.health.OnTimeout(q.server, now, q.sentAt)
		c.retry(q.lookup)
		return
	}
	c.health.OnResponse(q.server, now, now-q.sentAt)
	c.onResponse(q, m)
}

// matches reports whether a message answers the query that was sent; the case of the name's letters must match too.
func matches(m *dns.Msg, name string) bool {
	return m.Response && len(m.Question) == 1 && m.Question[0].Name == name && m.Question[0].Qtype == dns.TypeNAPTR &&
		m.Question[0].Qclass == dns.ClassINET
}

// onResponse processes a response that matches a query.
func (c *Client) onResponse(q *outstandingQuery, m *dns.Msg) {
	l := q.lookup
	if l.finished {
		return
	}
	rules, ttl, negativeTTL, referral := parseRules(m, l.name)
	switch {
	case m.Rcode == dns.RcodeFormatError && !c.noEDNS[q.server]:
		c.noEDNS[q.server] = true
		l.sent = min(l.sent, c.cfg.MaxQueries-1) // allows one more query, without EDNS
		c.retry(l)
	case m.Rcode == dns.RcodeSuccess && len(rules) > 0:
		c.Counts.Answered++
		c.health.OnValid(q.server)
		c.cache.put(c.now, l.name, rules, ttl)
		c.finish(l, func(*waiter) Answer { return Answer{Status: Found, Rules: rules} })
	case (m.Rcode == dns.RcodeSuccess || m.Rcode == dns.RcodeNameError) && !referral &&
		(m.Authoritative || negativeTTL >= 0 || m.RecursionAvailable):
		c.Counts.None++
		c.health.OnValid(q.server)
		c.cache.put(c.now, l.name, nil, max(0, negativeTTL))
		c.finish(l, func(*waiter) Answer { return Answer{Status: None} })
	default:
		// An error, a refusal, a referral, or a response without rules that has no SOA and comes from a server that
		// is neither authoritative nor a resolver.
		c.Counts.Lame++
		c.health.OnLame(q.server, c.now)
		c.retry(l)
	}
}

// parseRules extracts only the records that answer the query: the rules of the name or of the CNAMEs it leads to, and
// their TTL in ms. For a negative answer it returns the negative TTL (RFC 2308 5), or -1 if there is none.
// referral reports that the response only points to other servers.
func parseRules(m *dns.Msg, name string) (rules []enum.Rule, ttl, negativeTTL float64, referral bool) {
	ttl, negativeTTL = 1e12, -1
	for range 8 { // length limit on a chain of CNAMEs
		next := ""
		for _, rr := range m.Answer {
			h := rr.Header()
			if !strings.EqualFold(h.Name, name) || h.Class != dns.ClassINET {
				continue
			}
			switch rr := rr.(type) {
			case *dns.NAPTR:
				if len(rules) <= enum.MaxRules { // one above the limit lets Apply detect the excess
					rules = append(
						rules,
						enum.Rule{Order: rr.Order, Preference: rr.Preference, Flags: unescape(rr.Flags), Service: unescape(rr.Service),
							Regexp: unescape(rr.Regexp), Replacement: rr.Replacement},
					)
				}
				ttl = min(ttl, 1000*float64(h.Ttl))
			case *dns.CNAME:
				next = rr.Target
				ttl = min(ttl, 1000*float64(h.Ttl))
			}
		}
		if len(rules) > 0 || next == "" {
			break
		}
		name = next
	}
	for _, rr := range m.Ns {
		switch rr := rr.(type) {
		case *dns.SOA:
			if dns.IsSubDomain(rr.Hdr.Name, name) {
				negativeTTL = 1000 * float64(min(rr.Hdr.Ttl, rr.Minttl))
			}
		case *dns.NS:
			referral = len(m.Answer) == 0
		}
	}
	return rules, ttl, negativeTTL, referral && negativeTTL < 0
}

// unescape returns a character string as it was on the wire: the library represents it as in zone files, with quotes
// and backslashes escaped and other octets as \DDD.
func unescape(s string) string {
	if !strings.Contains(s, "\\") {
		return s
	}
	b := make([]byte, 0, len(s))
	for i := 0; i < len(s); i++ {
		if s[i] != '\\' || i+1 == len(s) {
			b = append(b, s[i])
			continue
		}
		i++
		if i+2 < len(s) && s[i] >= '0' && s[i] <= '2' && s[i+1] >= '0' && s[i+1] <= '9' && s[i+2] >= '0' && s[i+2] <= '9' {
			b = append(b, 100*(s[i]-'0')+10*(s[i+1]-'0')+s[i+2]-'0')
			i += 2
			continue
		}
		b = append(b, s[i])
	}
	return string(b)
}
