// Package dnsclient asks DNS servers for NAPTR records (RFC 1035, RFC 6891) without I/O: datagrams, answers over
// streams and the time come in through methods, queries go out through Transport. Which server is asked, how long its
// answer is waited for and what is kept are decisions of this package. What was asked for by several at once goes out
// once.
//
// An answer counts only if it comes from the server that was asked, to the port that asked, with the id, the query
// and even the case of its letters that were sent, all drawn at random; and of it only what answers the query.
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

// Transport is what a client asks of its driver.
type Transport interface {
	// Query sends a datagram from one of the client's ports, by its number from 0.
	Query(port int, to netip.AddrPort, data []byte)
	// Stream sends a message over TCP and hands what comes back to Streamed, or nil if nothing does in time.
	Stream(token uint64, to netip.AddrPort, data []byte, within float64)
}

// Config is what a client is told. Times are ms.
type Config struct {
	Servers    []netip.AddrPort
	Ports      int     // source ports that the driver has
	Seed       uint64  // of ids and ports: nobody else may know it
	MaxLookups int     // names asked for at once; beyond it a query fails at once
	Tries      int     // datagrams for one name
	StaleAfter float64 // what ran out is served where nothing newer comes in this time (RFC 8767 5: client response timer)
	Cache      CacheTimes
	Alone      bool // queries for one name are not shared: only to measure what sharing saves
}

// Status is what an answer says.
type Status int

// The states of an answer.
const (
	Found  Status = iota
	None          // there is no such name, or it has no rules
	Failed        // nobody said
)

// Answer is what a query came to.
type Answer struct {
	Status Status
	Rules  []enum.Rule // only to be read
	Stale  bool        // it ran out, and nothing newer came
	Cached bool
}

// Client asks. One goroutine owns it.
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
	noEDNS          map[int]bool    // servers that know no EDNS (RFC 6891 7)
	streamOnlyUntil map[int]float64 // till then a server is asked by stream: somebody guesses
	mismatches      map[int]int     // answers from it that match nothing, since the latest that did
	drawCount       uint64
	seq             uint64
	now             float64
}

// responseKey is all that an answer must match.
type responseKey struct {
	port int
	from netip.AddrPort
	id   uint16
}

// outstandingQuery is one query on its way.
type outstandingQuery struct {
	lookup *lookup
	server int
	sentAt float64
	key    responseKey
	name   string // as it was sent: letters at random large and small
	timer  *timerqueue.Timer
	token  uint64
}

// lookup is a name that is asked for.
type lookup struct {
	name         string
	key          string
	triedServers []int
	queries      []*outstandingQuery
	waiters      []*waiter
	sent         int
	allSent      bool // nothing more is sent
	finished     bool
}

type waiter struct {
	done       func(now float64, a Answer)
	deadline   *timerqueue.Timer
	staleTimer *timerqueue.Timer // when stale answers are given
	finished   bool
}

const (
	maxMismatches  = 8      // answers that match nothing, after which a server is asked by stream
	streamOnlyTime = 2000.0 // ms: so long
	maxUDPSize     = 1232   // octets of an answer by datagram (RFC 6891 6.2.5, as far as no fragments come)
	// ms: answers that come so long after the last query was given up still count. It guards against servers that all
	// got slower than the waits that were learned.
	lastTimeout   = 500.0
	streamTimeout = 1000.0 // ms: most that a stream may take
	// streams open at once: truncated answers would else open as many as there are names asked for
	maxStreams = 64
)

// New makes a client.
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

// NextWakeup is when Step is wanted next.
func (c *Client) NextWakeup() float64 { return c.timers.Next() }

// Step runs what is due.
func (c *Client) Step(now float64) {
	c.now = now
	c.timers.Run(now)
}

// OpenCounts is how many names are asked for, and how many are kept.
func (c *Client) OpenCounts() (lookups, cached int) { return len(c.lookups), c.cache.lru.Len() }

func (c *Client) draw() uint64 {
	c.drawCount++
	return detrand.Hash(c.cfg.Seed, c.drawCount)
}

// Query asks for a name's rules. done is called once, within the time given, at once where the answer is at hand; stop
// cancels it, and done is not called then.
func (c *Client) Query(now float64, name string, within float64, done func(now float64, w Answer)) (stop func()) {
	c.now = now
	c.Counts.Lookups++
	name = strings.ToLower(dns.Fqdn(name))
	if _, ok := dns.IsDomainName(name); !ok || within <= 0 {
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
	if e != nil && now < e.noQueryBefore { // it came to nothing a moment ago
		c.respondLater(now, stale, done)
		return func() {}
	}
	l := c.lookups[name]
	if l == nil || c.cfg.Alone {
		if len(c.lookups) >= c.cfg.MaxLookups || c.cfg.Alone && len(c.outstanding) >= c.cfg.MaxLookups {
			c.Counts.Full++
			c.respondLater(now, stale, done)
			return func() {}
		}
		l = &lookup{name: name, key: name}
		if c.cfg.Alone {
			c.seq++
			l.key += " " + strconv.FormatUint(c.seq, 10)
		}
		if !c.sendQuery(l) { // no server is worth a query
			c.Counts.Down++
			c.respondLater(now, stale, done)
			return func() {}
		}
		c.lookups[l.key] = l
	} else if c.health.UpCount(now) == 0 { // the one that finds out is on its way
		c.Counts.Down++
		c.respondLater(now, stale, done)
		return func() {}
	} else {
		c.Counts.Shared++
	}
	a := &waiter{done: done}
	l.waiters = append(l.waiters, a)
	a.deadline = c.timers.Schedule(now+within, func() {
		c.Counts.Late++
		c.notify(a, c.cache.stale(c.now, name))
	})
	if stale != nil && c.cfg.StaleAfter < within {
		a.staleTimer = c.timers.Schedule(now+c.cfg.StaleAfter, func() { c.notify(a, c.cache.stale(c.now, name)) })
	}
	return func() {
		a.finished = true
		c.timers.Cancel(a.deadline)
		c.timers.Cancel(a.staleTimer)
	}
}

func (e *entry) answer(stale bool) Answer {
	a := Answer{Status: Found, Rules: e.rules, Stale: stale, Cached: true}
	if len(e.rules) == 0 {
		a.Status = None
	}
	return a
}

// respondLater answers at once from what is left.
func (c *Client) respondLater(now float64, stale *entry, done func(float64, Answer)) {
	if stale != nil {
		c.Counts.Stale++
		done(now, stale.answer(true))
		return
	}
	c.Counts.Failed++
	done(now, Answer{Status: Failed})
}

// notify answers an caller before its name has an answer.
func (c *Client) notify(w *waiter, stale *entry) {
	if w.finished {
		return
	}
	w.finished = true
	c.timers.Cancel(w.deadline)
	c.timers.Cancel(w.staleTimer)
	c.respondLater(c.now, stale, w.done)
}

// sendQuery sends a lookup's next query; false: no server is worth one.
func (c *Client) sendQuery(l *lookup) bool {
	random := c.draw()
	server, wait := c.health.Choose(c.now, l.triedServers, float64(random>>11)/(1<<53))
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
		return false // never: the name was looked at
	}
	c.outstanding[q.key] = q
	l.queries = append(l.queries, q)
	c.Counts.Sent++
	c.transport.Query(q.key.port, q.key.from, data)
	q.timer = c.timers.Schedule(c.now+wait, func() {
		c.health.OnTimeout(server, c.now, q.sentAt)
		c.retry(l)
	})
	return true
}

// sendStreamQuery asks a server over TCP.
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
	) // whatever the driver does
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

// randomizeCase writes a name's letters large or small at random: one more thing that who guesses must guess.
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

// retry asks on, or gives the lookup up.
func (c *Client) retry(l *lookup) {
	if l.finished {
		return
	}
	if !l.allSent && l.sent < c.cfg.Tries && c.sendQuery(l) {
		return
	}
	if !l.allSent { // all is sent; answers may only be slow, and whoever asked has its own limit
		l.allSent = true
		c.timers.Schedule(c.now+lastTimeout, func() { c.retry(l) })
		return
	}
	c.cache.fail(c.now, l.name)
	c.finish(l, func(a *waiter) Answer {
		if e := c.cache.stale(c.now, l.name); e != nil {
			c.Counts.Stale++
			return e.answer(true)
		}
		c.Counts.Failed++
		return Answer{Status: Failed}
	})
}

// finish ends a lookup and tells all who asked.
func (c *Client) finish(l *lookup, answerFor func(*waiter) Answer) {
	l.finished = true
	delete(c.lookups, l.key)
	for _, q := range l.queries {
		c.timers.Cancel(q.timer)
		delete(c.outstanding, q.key)
		delete(c.streams, q.token)
	}
	for _, w := range l.waiters {
		if w.finished {
			continue
		}
		w.finished = true
		c.timers.Cancel(w.deadline)
		c.timers.Cancel(w.staleTimer)
		w.done(c.now, answerFor(w))
	}
}
