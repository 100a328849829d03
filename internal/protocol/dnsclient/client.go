// Package dnsclient queries DNS servers for NAPTR records (RFC 1035, RFC 6891). It does no I/O: datagrams, responses
// over TCP and the time come in through methods, queries go out through Transport. The package selects the server,
// sets the timeout and caches answers. Concurrent look-ups of one name share a query.
//
// A response is accepted only if it comes from the server that was queried, arrives at the source port of the query
// and repeats the query's id and name, including the random case of its letters. Port, id and case are drawn at random
// for each query. Only records that answer the query are used.
package dnsclient

import (
	"net/netip"
	"strconv"
	"strings"

	"github.com/miekg/dns"

	"cobaltpier/internal/decision/enum"
	"cobaltpier/internal/detrand"
	"cobaltpier/internal/timerqueue"
)

//tally:decisions

// Transport sends a client's queries.
type Transport interface {
	// Query sends a datagram from the source port with the given index, counted from 0.
	Query(port int, to netip.AddrPort, data []byte)
	// Stream sends a message over TCP and passes the response to OnStreamResponse, or nil if none
	// arrives within timeout ms.
	Stream(token uint64, to netip.AddrPort, data []byte, timeout float64)
}

// Config configures a Client. Times are in ms.
type Config struct {
	Servers        []netip.AddrPort
	Ports          int     // number of source ports
	Seed           uint64  // of ids, ports and letter case; must be kept secret
	MaxLookups     int     // concurrent look-ups; further ones get a stale answer or fail immediately
	MaxQueries     int     // queries sent for one look-up at most, without repeats over TCP of truncated responses
	StaleAfter     float64 // time without a response until a stale answer is served (RFC 8767 5: client response timer)
	Cache          CacheConfig
	DisableSharing bool // look-ups of one name do not share queries; only to measure what sharing saves
}

// Status is the outcome of a look-up.
type Status int

// The outcomes of a look-up.
const (
	Found  Status = iota
	None          // the name does not exist or has no rules
	Failed        // no server gave a usable response
)

// Answer is the result of a look-up.
type Answer struct {
	Status Status
	Rules  []enum.Rule // read-only
	Stale  bool        // it expired, and no newer one is available
	Cached bool
}

// Client looks up names. It is not safe for concurrent use.
type Client struct {
	Counts          Counts
	cfg             Config
	transport       Transport
	timers          timerqueue.Queue
	health          *Health
	cache           *cache
	lookups         map[string]*lookup
	outstanding     map[responseKey]*outstandingQuery
	streams         map[uint64]*outstandingQuery
	noEDNS          map[int]bool    // servers that do not support EDNS (RFC 6891 7)
	streamOnlyUntil map[int]float64 // until then a server is queried over TCP only, because responses may be spoofed
	mismatches      map[int]int     // responses from a server that match no query, since the latest that did
	drawCount       uint64
	seq             uint64
	now             float64
}

// responseKey identifies the query that a datagram answers.
type responseKey struct {
	port int
	from netip.AddrPort
	id   uint16
}

// outstandingQuery is a query that awaits its response.
type outstandingQuery struct {
	lookup *lookup
	server int
	sentAt float64
	key    responseKey
	name   string // as sent, with letters in random case
	timer  *timerqueue.Timer
	token  uint64
}

// lookup is a look-up in progress, shared by all that wait for the name.
type lookup struct {
	name         string
	key          string
	triedServers []int
	queries      []*outstandingQuery
	waiters      []*waiter
	sent         int
	allSent      bool // no further query is sent; late responses are still accepted
	finished     bool
}

type waiter struct {
	done       func(now float64, a Answer)
	deadline   *timerqueue.Timer
	staleTimer *timerqueue.Timer // serves a stale answer
	closed     bool              // answered or canceled
}

const (
	maxMismatches  = 8      // unmatched responses after which a server is queried over TCP only
	streamOnlyTime = 2000.0 // ms: for how long
	maxUDPSize     = 1232   // octets of a UDP response that avoid fragmentation (RFC 6891 6.2.5)
	// ms: responses are accepted this long after the last query timed out, in case all servers have become slower than
	// the timeouts that were learned.
	lastTimeout   = 500.0
	streamTimeout = 1000.0 // ms: timeout of a query over TCP
	// concurrent TCP queries; without a limit, truncated responses could open one for each look-up
	maxStreams = 64
)

// New returns a client.
func New(cfg Config, transport Transport) *Client {
	return &Client{
		cfg:             cfg,
		transport:       transport,
		health:          NewHealth(len(cfg.Servers)),
		cache:           newCache(cfg.Cache),
		lookups:         map[string]*lookup{},
		outstanding:     map[responseKey]*outstandingQuery{},
		streams:         map[uint64]*outstandingQuery{},
		noEDNS:          map[int]bool{},
		streamOnlyUntil: map[int]float64{},
		mismatches:      map[int]int{},
	}
}

// NextWakeup returns the time at which Step must be called next.
func (c *Client) NextWakeup() float64 { return c.timers.Next() }

// Step runs the timers that are due.
func (c *Client) Step(now float64) {
	c.now = now
	c.timers.Run(now)
}

// OpenCounts returns the number of look-ups in progress and of cached names.
func (c *Client) OpenCounts() (lookups, cached int) { return len(c.lookups), c.cache.lru.Len() }

func (c *Client) draw() uint64 {
	c.drawCount++
	return detrand.Hash(c.cfg.Seed, c.drawCount)
}

// Query looks up a name's rules. done is called once within timeout ms, and before Query returns if the answer is
// already known. stop cancels the look-up; done is not called after that.
func (c *Client) Query(now float64, name string, timeout float64, done func(now float64, a Answer)) (stop func()) {
	c.now = now
	c.Counts.Lookups++
	name = strings.ToLower(dns.Fqdn(name))
	if _, ok := dns.IsDomainName(name); !ok || timeout <= 0 {
		c.Counts.Failed++
		done(now, Answer{Status: Failed})
		return func() {}
	}
	e, fresh := c.cache.fresh(now, name)
	if fresh {
		c.Counts.Cached++
		done(now, e.answer(false))
		return func() {}
	}
	stale := c.cache.stale(now, name)
	if e != nil && now < e.noQueryBefore { // the last look-up failed recently
		c.respondFromCache(now, stale, done)
		return func() {}
	}
	l := c.lookups[name]
	if l == nil || c.cfg.DisableSharing {
		if len(c.lookups) >= c.cfg.MaxLookups || c.cfg.DisableSharing && len(c.outstanding) >= c.cfg.MaxLookups {
			c.Counts.Full++
			c.respondFromCache(now, stale, done)
			return func() {}
		}
		l = &lookup{name: name, key: name}
		if c.cfg.DisableSharing {
			c.seq++
			l.key += " " + strconv.FormatUint(c.seq, 10)
		}
		if !c.sendQuery(l) { // no server may be queried now
			c.Counts.Down++
			c.respondFromCache(now, stale, done)
			return func() {}
		}
		c.lookups[l.key] = l
	} else if c.health.UpCount(now) == 0 { // a query that tests a server is already outstanding
		c.Counts.Down++
		c.respondFromCache(now, stale, done)
		return func() {}
	} else {
		c.Counts.Shared++
	}
	w := &waiter{done: done}
	l.waiters = append(l.waiters, w)
	w.deadline = c.timers.Schedule(now+timeout, func() {
		c.Counts.Late++
		c.respondEarly(w, c.cache.stale(c.now, name))
	})
	if stale != nil && c.cfg.StaleAfter < timeout {
		w.staleTimer = c.timers.Schedule(now+c.cfg.StaleAfter, func() { c.respondEarly(w, c.cache.stale(c.now, name)) })
	}
	return func() {
		w.closed = true
		c.timers.Cancel(w.deadline)
		c.timers.Cancel(w.staleTimer)
	}
}

func (e *entry) answer(stale bool) Answer {
	a := Answer{Status: Found, Rules: e.rules, Stale: stale, Cached: true}
	if len(e.rules) == 0 {
		a.Status = None
	}
	return a
}

// respondFromCache responds immediately with a stale answer, or with a failure if there is none.
func (c *Client) respondFromCache(now float64, stale *entry, done func(float64, Answer)) {
	if stale != nil {
		c.Counts.Stale++
		done(now, stale.answer(true))
		return
	}
	c.Counts.Failed++
	done(now, Answer{Status: Failed})
}

// respondEarly responds to a waiter before its look-up has finished.
func (c *Client) respondEarly(w *waiter, stale *entry) {
	if w.closed {
		return
	}
	w.closed = true
	c.timers.Cancel(w.deadline)
	c.timers.Cancel(w.staleTimer)
	c.respondFromCache(c.now, stale, w.done)
}

// sendQuery sends a look-up's next query. It returns false if no server may be queried now.
func (c *Client) sendQuery(l *lookup) bool {
	random := c.draw()
	server, timeout := c.health.Choose(c.now, l.triedServers, float64(random>>11)/(1<<53))
	if server < 0 {
		return false
	}
	l.triedServers = append(l.triedServers, server)
	l.sent++
	if c.now < c.streamOnlyUntil[server] {
		c.sendStreamQuery(l, server)
		return true
	}
	q := &outstandingQuery{lookup: l, server: server, sentAt: c.now, name: c.randomizeCase(l.name)}
	for {
		random = c.draw()
		q.key = responseKey{int(random>>32) % max(1, c.cfg.Ports), c.cfg.Servers[server], uint16(random)}
		if c.outstanding[q.key] == nil {
			break
		}
	}
	data, err := c.buildQuery(q, server)
	if err != nil {
		return false // cannot happen: Query checked the name
	}
	c.outstanding[q.key] = q
	l.queries = append(l.queries, q)
	c.Counts.Sent++
	c.transport.Query(q.key.port, q.key.from, data)
	q.timer = c.timers.Schedule(c.now+timeout, func() {
		c.health.OnTimeout(server, c.now, q.sentAt)
		c.retry(l)
	})
	return true
}

// sendStreamQuery queries a server over TCP.
func (c *Client) sendStreamQuery(l *lookup, server int) {
	if len(c.streams) >= maxStreams {
		c.Counts.Full++
		c.retry(l)
		return
	}
	c.seq++
	q := &outstandingQuery{
		lookup: l,
		server: server,
		sentAt: c.now,
		token:  c.seq,
		name:   c.randomizeCase(l.name),
		key:    responseKey{from: c.cfg.Servers[server], id: uint16(c.draw())},
	}
	data, err := c.buildQuery(q, server)
	if err != nil {
		return
	}
	c.streams[q.token] = q
	l.queries = append(l.queries, q)
	c.Counts.Streams++
	q.timer = c.timers.Schedule(
		c.now+streamTimeout,
		func() { c.OnStreamResponse(c.now, q.token, nil) },
	) // in case the transport never responds
	c.transport.Stream(q.token, q.key.from, data, streamTimeout)
}

func (c *Client) buildQuery(q *outstandingQuery, server int) ([]byte, error) {
	m := new(dns.Msg)
	m.SetQuestion(q.name, dns.TypeNAPTR)
	m.Id = q.key.id
	if !c.noEDNS[server] {
		m.SetEdns0(maxUDPSize, false)
	}
	return m.Pack()
}

// randomizeCase sets the case of a name's letters at random, which makes spoofed responses less likely to match.
func (c *Client) randomizeCase(name string) string {
	b := []byte(name)
	random := c.draw()
	for i, x := range b {
		if x >= 'a' && x <= 'z' {
			if random&1 == 1 {
				b[i] = x - 'a' + 'A'
			}
			random = random>>1 | random<<63
		}
	}
	return string(b)
}

// retry sends the next query of a look-up, or ends it as failed.
func (c *Client) retry(l *lookup) {
	if l.finished {
		return
	}
	if !l.allSent && l.sent < c.cfg.MaxQueries && c.sendQuery(l) {
		return
	}
	if !l.allSent { // responses may only be slow, and each waiter has its own deadline
		l.allSent = true
		c.timers.Schedule(c.now+lastTimeout, func() { c.retry(l) })
		return
	}
	c.cache.fail(c.now, l.name)
	c.finish(l, func(w *waiter) Answer {
		if e := c.cache.stale(c.now, l.name); e != nil {
			c.Counts.Stale++
			return e.answer(true)
		}
		c.Counts.Failed++
		return Answer{Status: Failed}
	})
}

// finish ends a look-up and passes the answer to all waiters.
func (c *Client) finish(l *lookup, answerFor func(*waiter) Answer) {
	l.finished = true
	delete(c.lookups, l.key)
	for _, q := range l.queries {
		c.timers.Cancel(q.timer)
		delete(c.outstanding, q.key)
		delete(c.streams, q.token)
	}
	for _, w := range l.waiters {
		if w.closed {
			continue
		}
		w.closed = true
		c.timers.Cancel(w.deadline)
		c.timers.Cancel(w.staleTimer)
		w.done(c.now, answerFor(w))
	}
}
