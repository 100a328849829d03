// Package brain decides what becomes of each contact at one gateway. A host makes one Brain for each gateway
// with New, tells it what happens through the methods below (Listed, Offered, Stood, Ended, Left, Reported,
// Told, Woken) and does what it asks for through contact.Host; package contact holds all words of both.
//
// A contact passes the stages of the chain: door, admission, route, guard, ring. Each passes it on, keeps it
// for later or ends it. How a ring went runs through the same stages from the last to the first.
package brain

import (
	"encoding/binary"
	"hash/fnv"
	"math"

	"cobaltpier/contact"
)

// Values that no setting gives. They are general: none is taken from a deployment.
const (
	waitScale   = 3000.0 // design: a wait of so much is nought free
	noughtAge   = 2000.0 // design: a nought report older than this
	noughtShare = 0.1    // design: counts as this free share
	probeEvery  = 1000.0 // design: where reports come only by probe
	rateSpan    = 10000.0
	coldSafety  = 0.5    // part of the cold budget that a gateway uses
	waitSpan    = 2000.0 // a judgement of a pool's wait fades like this
	calmShare   = 0.25   // of the answer target: a wait that is in order where set-ups are not repeated
	roomFrom    = 0.6    // of the wait in order: room begins to shrink
	roomTo      = 2.0    // of the wait in order: no room is left
	latest      = 0.7    // of the answer target: no wait beyond this leaves room
)

// New values of no deployment: how far a contact's worth against the mean widens or narrows the room.
const (
	leastWorth = 0.5
	mostWorth  = 2.0
)

// Brain is the decision module of one gateway.
type Brain struct {
	set   *contact.Settings
	host  contact.Host
	now   float64
	draws uint64
	pools []*contact.Pool // in the order in which they were first listed
	sends sum
	came  sum // contacts that came lately
	worth sum // and their value
}

// pool is what the module notes of a pool.
type pool struct {
	base    float64         // the least set-up time seen
	queue   float64         // the largest queue seen
	heard   float64         // when the latest report came
	fresh   float64         // when it started cold, as far as known; -Inf: long ago
	budget  float64         // rule 4: set-ups that may go now
	filled  float64         // rule 4: when the budget was brought up to date
	noAgent bool            // told with no free agent
	wait    float64         // the wait at its processor, as judged
	judged  float64         // and when
	out     []*contact.Ring // set-ups under way, the oldest first
}

// expect is the wait that a set-up sent now must reckon with: the faded judgement, but no less than the
// oldest set-up under way has waited and the own ones will take.
func (n *pool) expect(p *contact.Pool, now float64) float64 {
	w := n.wait * math.Exp((n.judged-now)/waitSpan)
	if len(n.out) > 0 {
		w = math.Max(w, now-n.out[0].Sent-n.least())
		if p.Report.Rate > 0 {
			w = math.Max(w, float64(len(n.out))*1000/p.Report.Rate)
		}
	}
	return w
}

// least is the set-up time without a wait, as far as seen.
func (n *pool) least() float64 {
	if math.IsInf(n.base, 1) {
		return 0
	}
	return n.base
}

// judge takes a sample of the wait.
func (n *pool) judge(now, sample float64) {
	w := n.wait * math.Exp((n.judged-now)/waitSpan)
	n.wait, n.judged = (w+math.Max(0, sample))/2, now
}

// sum is a decaying sum, brought up to date when it is read.
type sum struct{ v, at float64 }

func (s *sum) read(now, span float64) float64 {
	s.v *= math.Exp((s.at - now) / span)
	s.at = now
	return s.v
}

func (s *sum) add(now, span, v float64) { s.v, s.at = s.read(now, span)+v, now }

// verdict is what a stage makes of a contact.
type verdict int

const (
	pass verdict = iota
	kept
	ended
)

// stage is a link of the chain: down takes a contact that wants a ring to the pool chosen so far, up hears how
// a ring went.
type stage struct {
	down func(*Brain, *contact.Contact, **contact.Pool) verdict
	up   func(*Brain, *contact.Ring)
}

var chain []stage

func init() {
	chain = []stage{{(*Brain).door, (*Brain).doorUp}, {(*Brain).admission, nil}, {(*Brain).route, (*Brain).routeUp}, {(*Brain).guard, nil},
		{(*Brain).ring, nil}}
}

// New makes the module of one gateway.
func New(s *contact.Settings, h contact.Host) *Brain { return &Brain{set: s, host: h} }

// advance sends a contact down the chain.
func (b *Brain) advance(c *contact.Contact) {
	var p *contact.Pool
	for _, s := range chain {
		if s.down(b, c, &p) != pass {
			return
		}
	}
}

// back runs what a ring brought up the chain.
func (b *Brain) back(r *contact.Ring) {
	for i := len(chain) - 1; i >= 0; i-- {
		if up := chain[i].up; up != nil {
			up(b, r)
		}
	}
}

// Listed hears that pools are new on the list or have changed there.
func (b *Brain) Listed(now float64, changed []*contact.Pool) {
	b.now = now
	for _, p := range changed {
		if p.Notes == nil {
			p.Notes = &pool{base: math.Inf(1), fresh: math.Inf(-1)}
			b.pools = append(b.pools, p)
		}
		if n := note(p); p.Since > n.fresh && p.Since > 0 {
			n.fresh = p.Since
		}
	}
	if b.set.ByProbe && len(changed) > 0 {
		b.host.Wake(now, nil)
	}
}

// Offered takes a new contact.
func (b *Brain) Offered(now float64, c *contact.Contact) {
	b.now = now
	b.came.add(now, rateSpan, 1)
	b.worth.add(now, rateSpan, c.Skill.Value)
	b.advance(c)
}

// Stood hears that a ring's contact stands.
func (b *Brain) Stood(now float64, r *contact.Ring) {
	b.now = now
	b.back(r)
}

// Ended hears how a ring ended.
func (b *Brain) Ended(now float64, r *contact.Ring, closed bool) {
	b.now = now
	b.back(r)
}

// Left hears that a caller is gone.
func (b *Brain) Left(now float64, c *contact.Contact) { b.now = now }

// Reported hears a report that came by itself or for a probe.
func (b *Brain) Reported(now float64, p *contact.Pool, ok, full bool) {
	b.now = now
	b.learn(p, full)
}

// Told hears another gateway.
func (b *Brain) Told(now float64, from int, data []byte) { b.now = now }

// Woken goes on with a contact that was kept, or probes.
func (b *Brain) Woken(now float64, c *contact.Contact) {
	b.now = now
	if c != nil {
		if !c.Over && c.Out == nil {
			b.advance(c)
		}
		return
	}
	for _, p := range b.pools {
		if p.State == contact.Ready && b.set.MayProbe {
			b.host.Probe(p)
		}
	}
	b.host.Wake(now+probeEvery, nil)
}

func note(p *contact.Pool) *pool { return p.Notes.(*pool) }

// chance draws a number from 0 to 1: the hash of the instance's seed and a counter.
func (b *Brain) chance() float64 {
	var x [16]byte
	b.draws++
	binary.LittleEndian.PutUint64(x[:8], b.set.Seed)
	binary.LittleEndian.PutUint64(x[8:], b.draws)
	h := fnv.New64a()
	h.Write(x[:])
	v := h.Sum64()
	v = (v ^ v>>33) * 0xff51afd7ed558ccd // fnv leaves a counter's last byte in the low bits: spread it
	return float64((v^v>>33)>>11) / (1 << 53)
}

// door keeps a contact until it may ring and ends it when its time is up.
func (b *Brain) door(c *contact.Contact, _ **contact.Pool) verdict {
	if c.Until-b.now <= b.set.Tick || c.Rings >= b.set.MaxRings {
		b.host.Abandon(c)
		return ended
	}
	if c.NotTill > b.now {
		b.host.Wake(c.NotTill, c)
		return kept
	}
	return pass
}

// doorUp answers a contact whose ring did not stand, or lets it ring again.
func (b *Brain) doorUp(r *contact.Ring) {
	c := r.Contact
	if c.Out == r || c.Over { // it stands, or needs nothing more
		return
	}
	if r.End == contact.TimedOut || r.End == contact.Reset || r.End == contact.Cancelled {
		c.NotTill = b.now + b.set.ClearWait // rule 5
	}
	if math.Max(c.NotTill, b.now) > c.Came+c.Skill.Target {
		b.host.Abandon(c)
		return
	}
	b.advance(c)
}

// room is the part of such contacts as c that p's processor has time for, 1 to 0. A repeat of a set-up that
// waits is work for nothing, so the wait should stay under the time of the first; a contact of more value may
// wait longer than one of less.
func (b *Brain) room(c *contact.Contact, p *contact.Pool) float64 {
	calm := b.set.Retransmit
	if calm <= 0 || calm > calmShare*c.Skill.Target {
		calm = calmShare * c.Skill.Target
	}
	if came := b.came.read(b.now, rateSpan); came > 0 {
		calm *= math.Min(mostWorth, math.Max(leastWorth, math.Sqrt(c.Skill.Value*came/b.worth.read(b.now, rateSpan))))
	}
	to := math.Min(roomTo*calm, latest*c.Skill.Target)
	from := math.Min(roomFrom*calm, to/2)
	return math.Min(1, math.Max(0, (to-note(p).expect(p, b.now))/(to-from)))
}

// admission defers what cannot be served in time: the document's case of all pools overloaded.
func (b *Brain) admission(c *contact.Contact, _ **contact.Pool) verdict {
	best := 0.0
	for _, p := range b.pools {
		if b.allowed(c, p) && !note(p).noAgent {
			best = math.Max(best, b.room(c, p))
		}
	}
	if best < 1 && b.chance() >= best {
		b.host.Defer(c, 0)
		return ended
	}
	return pass
}

// route chooses the destination while it has room, else a pool by lottery; with no tickets the contact is
// deferred.
func (b *Brain) route(c *contact.Contact, to **contact.Pool) verdict {
	h := c.Home
	if h != nil && b.allowed(c, h) && !note(h).noAgent {
		if r := b.room(c, h); r >= 1 || b.chance() < r {
			*to = h
			return pass
		}
	}
	total := 0.0
	for _, p := range b.pools {
		total += b.tickets(c, p)
	}
	draw := b.chance() * total
	for _, p := range b.pools {
		if t := b.tickets(c, p); t > 0 {
			*to = p
			if draw -= t; draw < 0 {
				break
			}
		}
	}
	if *to == nil {
		b.host.Defer(c, 0)
		return ended
	}
	return pass
}

// tickets is the document's lottery: total capacity times the square of the relative capacity, and the room.
func (b *Brain) tickets(c *contact.Contact, p *contact.Pool) float64 {
	if !b.allowed(c, p) || note(p).noAgent {
		return 0
	}
	f := math.Max(noughtShare, b.free(p)) // the wait tells better than a nought whether there is room
	return size(p) * f * f * b.room(c, p)
}

// size is the total capacity: the reported set-ups a second, else the agents, which the document names as a
// measure too, else 1.
func size(p *contact.Pool) float64 {
	switch {
	case !math.IsNaN(p.Report.Rate):
		return p.Report.Rate
	case p.Report.Agents > 0:
		return p.Report.Agents
	}
	return 1
}

// free is the relative capacity: the free share of a pool's processor by its latest report.
func (b *Brain) free(p *contact.Pool) float64 {
	n, r, f := note(p), &p.Report, 1.0
	switch {
	case !math.IsNaN(r.Util):
		f = 1 - r.Util
	case !math.IsNaN(r.Wait):
		f = 1 - r.Wait/waitScale
	case !math.IsNaN(r.Holdback):
		f = 1 - r.Holdback
	case !math.IsNaN(r.Queue) && n.queue > 0:
		f = 1 - r.Queue/n.queue
	case r.Rate == 0:
		f = 0
	}
	if f <= 0 {
		f = 0
		if b.now-n.heard > noughtAge {
			f = noughtShare
		}
	}
	return f
}

// routeUp learns a pool's state from what a ring brought.
func (b *Brain) routeUp(r *contact.Ring) {
	n := note(r.Pool)
	if r.Contact.Out == r {
		n.base = math.Min(n.base, r.Cost)
		n.judge(b.now, r.Cost-n.base)
		n.drop(r)
		return
	}
	n.drop(r)
	if r.End == contact.Full && !r.NoAgent {
		n.wait, n.judged = math.Max(n.wait, r.Contact.Skill.Target), b.now
	}
	b.learn(r.Pool, r.Reported)
	if r.NoAgent {
		n.noAgent = true
	}
}

func (n *pool) drop(r *contact.Ring) {
	for i, o := range n.out {
		if o == r {
			n.out = append(n.out[:i], n.out[i+1:]...)
			return
		}
	}
}

// learn takes a pool's latest report.
func (b *Brain) learn(p *contact.Pool, full bool) {
	n := note(p)
	if !math.IsNaN(p.Report.Free) {
		n.noAgent = p.Report.Free <= 0
	}
	if full {
		n.heard = b.now
		if !math.IsNaN(p.Report.Wait) {
			n.judge(b.now, p.Report.Wait)
		}
		if !math.IsNaN(p.Report.Queue) {
			n.queue = math.Max(n.queue, p.Report.Queue)
		}
	}
}

// guard is the last word on every send: what the rules do not allow does not pass.
func (b *Brain) guard(c *contact.Contact, to **contact.Pool) verdict {
	if !b.allowed(c, *to) {
		b.host.Defer(c, 0)
		return ended
	}
	return pass
}

// allowed tells whether the rules let c ring p now.
func (b *Brain) allowed(c *contact.Contact, p *contact.Pool) bool {
	return p.State == contact.Ready && // rule 3: at once, not only after the grace
		c.Out == nil && !c.Over && // rules 1 and 2
		c.Until > b.now && c.Rings < b.set.MaxRings &&
		c.NotTill <= b.now && // rule 5
		(c.Skill.Pools == nil || c.Skill.Pools[p.Number]) &&
		b.cold(p) >= 1 // rule 4
}

// cold is rule 4's budget: the set-ups that this gateway may send a cold pool now; +Inf where it is warm. All
// gateways together keep the rule if each sends no more than the stated multiple of what it sends a warm pool,
// scaled down to what the pool can do at its present age.
func (b *Brain) cold(p *contact.Pool) float64 {
	n := note(p)
	age := b.now - n.fresh
	if age >= b.set.WarmWithin || b.set.TipMultiple <= 0 {
		return math.Inf(1)
	}
	share, known := 1.0, 0.0
	for _, q := range b.pools {
		if q.State == contact.Ready {
			known += size(q)
		}
	}
	if known > 0 {
		share = size(p) / known
	}
	part := b.set.ColdShare + (1-b.set.ColdShare)*math.Max(0, age)/b.set.WarmWithin
	rate := b.sends.read(b.now, rateSpan) / rateSpan * share * coldSafety * b.set.TipMultiple * part
	n.budget = math.Min(1+rate*b.set.TipTime/2, n.budget+rate*(b.now-n.filled))
	n.filled = b.now
	return n.budget
}

// ring sends the set-up.
func (b *Brain) ring(c *contact.Contact, to **contact.Pool) verdict {
	n := note(*to)
	n.budget--
	b.sends.add(b.now, rateSpan, 1)
	c.Rings++
	b.host.Ring(c, *to, c.Until-b.now)
	n.out = append(n.out, c.Out)
	return kept
}
