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
	Counts  Counts
	cfg     Config
	out     Transport
	timers  timerqueue.Queue
	health  *Health
	cache   *cache
	flights map[string]*lookup
	tries   map[queryAttempt]*outstandingQuery
	streams map[uint64]*outstandingQuery
	plain   map[int]bool    // servers that know no EDNS (RFC 6891 7)
	doubt   map[int]float64 // till then a server is asked by stream: somebody guesses
	strays  map[int]int     // answers from it that match nothing, since the latest that did
	drawn   uint64
	seq     uint64
	now     float64
}

// queryAttempt is all that an answer must match.
type queryAttempt struct {
	port int
	from netip.AddrPort
	id   uint16
}

// outstandingQuery is one query on its way.
type outstandingQuery struct {
	flight *lookup
	server int
	at     float64
	key    queryAttempt
	name   string // as it was sent: letters at random large and small
	timer  *timerqueue.Timer
	token  uint64
}

// lookup is a name that is asked for.
type lookup struct {
	name    string
	key     string
	tried   []int
	out     []*outstandingQuery
	askers  []*waiter
	sends   int
	last    bool // nothing more is sent
	settled bool
}

type waiter struct {
	done  func(now float64, a Answer)
	limit *timerqueue.Timer
	early *timerqueue.Timer // when stale answers are given
	over  bool
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
func New(cfg Config, out Transport) *Client {
	return &Client{
		cfg:     cfg,
		out:     out,
		health:  NewHealth(len(cfg.Servers)),
		cache:   newCache(cfg.Cache),
		flights: map[string]*lookup{},
		tries:   map[queryAttempt]*outstandingQuery{},
		streams: map[uint64]*outstandingQuery{},
		plain:   map[int]bool{},
		doubt:   map[int]float64{},
		strays:  map[int]int{},
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
func (c *Client) OpenCounts() (flights, kept int) { return len(c.flights), c.cache.of.Len() }

func (c *Client) draw() uint64 {
	c.drawn++
	return detrand.Hash(c.cfg.Seed, c.drawn)
}

// Query asks for a name's rules. done is called once, within the time given, at once where the answer is at hand; stop
// cancels it, and done is not called then.
func (c *Client) Query(now float64, name string, within float64, done func(now float64, a Answer)) (stop func()) {
	c.now = now
	c.Counts.Lookups++
	name = strings.ToLower(dns.Fqdn(name))
	if _, ok := dns.IsDomainName(name); !ok || within <= 0 {
		c.Counts.Failed++
		done(now, Answer{Status: Failed})
		return func() {}
	}
	k, fresh := c.cache.fresh(now, name)
	if fresh {
		c.Counts.Cached++
		done(now, k.answer(false))
		return func() {}
	}
	stale := c.cache.stale(now, name)
	if k != nil && now < k.failed { // it came to nothing a moment ago
		c.respondLater(now, stale, done)
		return func() {}
	}
	f := c.flights[name]
	if f == nil || c.cfg.Alone {
		if len(c.flights) >= c.cfg.MaxLookups || c.cfg.Alone && len(c.tries) >= c.cfg.MaxLookups {
			c.Counts.Full++
			c.respondLater(now, stale, done)
			return func() {}
		}
		f = &lookup{name: name, key: name}
		if c.cfg.Alone {
			c.seq++
			f.key += " " + strconv.FormatUint(c.seq, 10)
		}
		if !c.sendQuery(f) { // no server is worth a query
			c.Counts.Down++
			c.respondLater(now, stale, done)
			return func() {}
		}
		c.flights[f.key] = f
	} else if c.health.UpCount(now) == 0 { // the one that finds out is on its way
		c.Counts.Down++
		c.respondLater(now, stale, done)
		return func() {}
	} else {
		c.Counts.Shared++
	}
	a := &waiter{done: done}
	f.askers = append(f.askers, a)
	a.limit = c.timers.Schedule(now+within, func() {
		c.Counts.Late++
		c.notify(a, c.cache.stale(c.now, name))
	})
	if stale != nil && c.cfg.StaleAfter < within {
		a.early = c.timers.Schedule(now+c.cfg.StaleAfter, func() { c.notify(a, c.cache.stale(c.now, name)) })
	}
	return func() {
		a.over = true
		c.timers.Cancel(a.limit)
		c.timers.Cancel(a.early)
	}
}

func (k *entry) answer(stale bool) Answer {
	a := Answer{Status: Found, Rules: k.rules, Stale: stale, Cached: true}
	if len(k.rules) == 0 {
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
func (c *Client) notify(a *waiter, stale *entry) {
	if a.over {
		return
	}
	a.over = true
	c.timers.Cancel(a.limit)
	c.timers.Cancel(a.early)
	c.respondLater(c.now, stale, a.done)
}

// sendQuery sends a lookup's next query; false: no server is worth one.
func (c *Client) sendQuery(f *lookup) bool {
	r := c.draw()
	i, wait := c.health.Choose(c.now, f.tried, float64(r>>11)/(1<<53))
	if i < 0 {
		return false
	}
	f.tried = append(f.tried, i)
	f.sends++
	if c.now < c.doubt[i] {
		c.sendStreamQuery(f, i)
		return true
	}
	s := &outstandingQuery{flight: f, server: i, at: c.now, name: c.randomizeCase(f.name)}
	for {
		r = c.draw()
		s.key = queryAttempt{int(r>>32) % max(1, c.cfg.Ports), c.cfg.Servers[i], uint16(r)}
		if c.tries[s.key] == nil {
			break
		}
	}
	data, err := c.buildQuery(s, i)
	if err != nil {
		return false // never: the name was looked at
	}
	c.tries[s.key] = s
	f.out = append(f.out, s)
	c.Counts.Sent++
	c.out.Query(s.key.port, s.key.from, data)
	s.timer = c.timers.Schedule(c.now+wait, func() {
		c.health.OnTimeout(i, c.now, s.at)
		c.retry(f)
	})
	return true
}

// sendStreamQuery asks a server over TCP.
func (c *Client) sendStreamQuery(f *lookup, i int) {
	if len(c.streams) >= maxStreams {
		c.Counts.Full++
		c.retry(f)
		return
	}
	c.seq++
	s := &outstandingQuery{
		flight: f,
		server: i,
		at:     c.now,
		token:  c.seq,
		name:   c.randomizeCase(f.name),
		key:    queryAttempt{from: c.cfg.Servers[i], id: uint16(c.draw())},
	}
	data, err := c.buildQuery(s, i)
	if err != nil {
		return
	}
	c.streams[s.token] = s
	f.out = append(f.out, s)
	c.Counts.Streams++
	s.timer = c.timers.Schedule(
		c.now+streamTimeout,
		func() { c.OnStreamResponse(c.now, s.token, nil) },
	) // whatever the driver does
	c.out.Stream(s.token, s.key.from, data, streamTimeout)
}

func (c *Client) buildQuery(s *outstandingQuery, server int) ([]byte, error) {
	m := new(dns.Msg)
	m.SetQuestion(s.name, dns.TypeNAPTR)
	m.Id = s.key.id
	if !c.plain[server] {
		m.SetEdns0(maxUDPSize, false)
	}
	return m.Pack()
}

// randomizeCase writes a name's letters large or small at random: one more thing that who guesses must guess.
func (c *Client) randomizeCase(name string) string {
	b := []byte(name)
	r := c.draw()
	for i, x := range b {
		if x >= 'a' && x <= 'z' {
			if r&1 == 1 {
				b[i] = x - 'a' + 'A'
			}
			r = r>>1 | r<<63
		}
	}
	return string(b)
}

// retry asks on, or gives the lookup up.
func (c *Client) retry(f *lookup) {
	if f.settled {
		return
	}
	if !f.last && f.sends < c.cfg.Tries && c.sendQuery(f) {
		return
	}
	if !f.last { // all is sent; answers may only be slow, and whoever asked has its own limit
		f.last = true
		c.timers.Schedule(c.now+lastTimeout, func() { c.retry(f) })
		return
	}
	c.cache.fail(c.now, f.name)
	c.finish(f, func(a *waiter) Answer {
		if k := c.cache.stale(c.now, f.name); k != nil {
			c.Counts.Stale++
			return k.answer(true)
		}
		c.Counts.Failed++
		return Answer{Status: Failed}
	})
}

// finish ends a lookup and tells all who asked.
func (c *Client) finish(f *lookup, say func(*waiter) Answer) {
	f.settled = true
	delete(c.flights, f.key)
	for _, s := range f.out {
		c.timers.Cancel(s.timer)
		delete(c.tries, s.key)
		delete(c.streams, s.token)
	}
	for _, a := range f.askers {
		if a.over {
			continue
		}
		a.over = true
		c.timers.Cancel(a.limit)
		c.timers.Cancel(a.early)
		a.done(c.now, say(a))
	}
}
