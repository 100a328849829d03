// Package router decides what becomes of each contact at one gateway. A host makes one Brain for each gateway
// with New, tells it what happens through the methods below (Listed, Offered, Stood, Ended, Left, Reported,
// Told, Woken) and does what it asks for through contact.Host; package contact holds all words of both.
//
// A contact passes the stages of the chain: door, admission, route, guard, ring. Each passes it on, keeps it
// for later or ends it. How a ring went runs through the same stages from the last to the first.
package router

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"

	"cobaltpier/internal/routing"
)

// Values that no setting gives. They are general: none is taken from a deployment.
const (
	waitScale   = 3000.0 // design: a wait of so much is nought free
	noughtAge   = 2000.0 // design: a nought report older than this
	noughtShare = 0.1    // design: counts as this free share
	probeEvery  = 1000.0 // design: where reports come only by probe

	span       = 5000.0  // counts fade like this
	waitSpan   = 2000.0  // a judgement of a pool's wait fades like this
	coldSafety = 0.4     // part of the cold budget that a gateway uses
	coldProven = 0.8     // the same once set-ups there stand without a wait
	coldOpen   = 0.6     // of the time that tips a cold pool: so long a token for it is good
	goalRepeat = 0.35    // the wait aimed at: this part of the time of the first repeat
	goalTarget = 0.15    // and no more than this part of the shortest answer target
	goalElse   = 150.0   // the same where neither is known
	growth     = 1.0     // a second: how fast a pace grows at no wait
	regrowth   = 3.0     // a second: the same, up to half of the pace before the latest press
	decline    = 0.7     // a second: how fast it falls at twice the wait aimed at
	lean       = 0.5     // how far the pace leans at once against the wait
	mostWait   = 6.0     // of the wait aimed at: no judgement is longer
	ownFirst   = 500.0   // a wait reported within this after a set-up time seen here does not count
	worst      = -2.0    // a wait counts as no more than this many times over the one aimed at
	leastPace  = 0.001   // set-ups a millisecond that a pool always gets, from all gateways together
	release    = 3.0     // a pace is no more than so many times what is sent lately,
	mostEven   = 1.2     // or than so many even parts of what the pool is rated for,
	leastEven  = 0.03    // and no less than this one
	patienceIn = 0.45    // of the answer target: so long a contact may wait in line here
	openFor    = 500.0   // so long a token is good for contacts of another destination
	swing      = 3.0     // standard deviations of a load that a group of agents has to spare
	agentShare = 0.03    // of the agents: with fewer free the pace falls
	agentLeast = 3.0     // but no fewer agents than this
	overtaken  = 0.5     // of the wait aimed at: a set-up sent so long before one that stands is lost
	lossy      = 0.5     // lost set-ups lately: with more a lone set-up under way may be lost too
	little     = 0.5     // of the mean worth: a contact of less
	soundFrom  = 3.0     // so many set-ups failed lately may be chance
	soundAs    = 0.7     // of the best sound share: a destination that has less is passed by
	spareRoom  = 0.4     // takes only a pool with a wait under this part of the one aimed at
	comeBack   = 0.15    // of the answer target: a deferred caller who can still be in time is asked back then
	engagedFor = 2000.0  // a number with no line free is left alone so long
	homeCredit = 1.0     // a token in advance for the destination's own contacts while nothing presses it
	longIdle   = 500.0   // a gateway that heard nothing for longer may have stood still
	longEvery  = 10000.0 // a pool not heard for longer counts as heard once in this time
	tellEvery  = 200.0   // news is told no more often than this,
	tellTo     = 4       // to so many gateways,
	tellUnit   = 10.0    // in steps of so many milliseconds,
	newsFrom   = 2.0     // when a wait is off by so many times the one aimed at,
	newsFor    = 1000.0  // to those who have heard nothing of that pool for so long
	fullPause  = 400.0   // a pool that turns a set-up away is left alone so long, longer where heard seldom
	fullCut    = 0.7     // and its pace cut to this part
	lookAgain  = 20.0    // how often the line is looked at
)

// Brain is the decision module of one gateway.
type Brain struct {
	set     *routing.Settings
	host    routing.Host
	now     float64
	idle    float64 // so long nothing was heard before now, if that may mean that this gateway stood still
	draws   uint64
	goal    float64                    // the wait aimed at in a pool
	longest float64                    // the longest patience
	hold    float64                    // the longest mean time that a contact stands
	whole   float64                    // the total capacity of all places
	summed  float64                    // and when it was added up
	pools   []*routing.Pool            // in the order in which they were first listed
	line    []*routing.Contact         // contacts that wait for room, the most valuable first
	probed  float64                    // when pools were last probed
	telling float64                    // when others may be told next
	awake   bool                       // the line will be looked at
	came    sum                        // first tries that came lately
	value   sum                        // and what they are worth
	places  []*routing.Pool            // the latest pool of each number
	tried   map[caller]float64         // callers who went unserved, and when they first came
	most    map[*routing.Skill]float64 // the most time that was left of a contact when it came
	engaged map[string]*number         // numbers that were found engaged
	swept   float64                    // when those who have given up were last forgotten
}

// caller is what a redial has in common with the try before it.
type caller struct {
	number   string
	skill    *routing.Skill
	customer *routing.Customer
}

// number is one called that was found engaged: till when it is left alone, and set-ups that stood since.
type number struct {
	till  float64
	stood int
}

// pool is what the module notes of a pool.
type pool struct {
	base    float64         // the least set-up time seen
	queue   float64         // the largest queue seen
	heard   float64         // when the latest report came
	life    float64         // when it last gave a sign of life
	silent  int             // set-ups without an answer since then
	cuts    int             // standing contacts cut and connections refused since then
	noAgent bool            // told with no free agent
	wait    float64         // the wait at its processor, as judged
	judged  float64         // and when
	saw     float64         // the latest wait seen here that others were not told yet, or -1
	told    float64         // when anything was last heard of it
	every   float64         // how long it is between two times, but at least a second
	timed   float64         // when a set-up time was last seen
	out     []*routing.Ring // set-ups under way, the oldest first
	sent    sum             // set-ups sent lately
	lost    sum             // set-ups found lost lately
	done    sum             // set-ups that stood or failed lately
	failed  sum             // and those of them that failed, through no engaged number
	pace    float64         // set-ups a millisecond that it gets from here; +Inf: all
	knee    float64         // the pace when the latest press began
	pressed bool            // its wait is longer than aimed at
	tokens  float64         // set-ups that may go now
	filled  float64         // when pace and tokens were brought up to date
	shut    float64         // it turned a set-up away and is left alone till then
	fresh   float64         // rule 4: when it started cold, as far as known; -Inf: long ago
	budget  float64         // rule 4: set-ups that may go now
	counted float64         // rule 4: when the budget was brought up to date
}

// sum is a decaying sum, brought up to date when it is read.
type sum struct{ v, at float64 }

func (s *sum) read(now float64) float64 {
	s.v *= math.Exp((s.at - now) / span)
	s.at = now
	return s.v
}

func (s *sum) add(now, v float64) { s.v, s.at = s.read(now)+v, now }

// rate is the sum's count a millisecond.
func (s *sum) rate(now float64) float64 { return s.read(now) / span }

// verdict is what a stage makes of a contact.
type verdict int

const (
	pass verdict = iota
	kept
	ended
)

// stage is a link of the chain: down takes a contact on its way to a pool, up hears how a ring went.
type stage struct {
	down func(*Brain, *routing.Contact, **routing.Pool) verdict
	up   func(*Brain, *routing.Ring)
}

var chain [5]stage

const afterLine = 2 // the first stage behind the line

func init() {
	chain = [...]stage{{(*Brain).door, (*Brain).doorUp}, {(*Brain).admission, nil},
		{(*Brain).route, (*Brain).routeUp}, {(*Brain).guard, nil}, {(*Brain).ring, (*Brain).ringUp}}
}

// New makes the module of one gateway.
func New(s *routing.Settings, h routing.Host) *Brain {
	b := &Brain{set: s, host: h, goal: math.Inf(1), tried: map[caller]float64{},
		engaged: map[string]*number{}, most: map[*routing.Skill]float64{}}
	for _, k := range s.Skills {
		b.goal = math.Min(b.goal, goalTarget*k.Target)
		b.longest, b.hold = math.Max(b.longest, k.Patience), math.Max(b.hold, k.Hold)
	}
	if s.Retransmit > 0 {
		b.goal = math.Min(b.goal, goalRepeat*s.Retransmit)
	}
	if !(b.goal > 0) || math.IsInf(b.goal, 1) {
		b.goal = goalElse
	}
	if s.MaxRings <= 0 {
		s.MaxRings = math.MaxInt
	}
	return b
}

// advance sends a contact down the chain from a stage on.
func (b *Brain) advance(c *routing.Contact, from int) {
	var p *routing.Pool
	for _, s := range chain[from:] {
		if s.down(b, c, &p) != pass {
			return
		}
	}
}

// back runs what a ring brought up the chain.
func (b *Brain) back(r *routing.Ring) {
	for i := len(chain) - 1; i >= 0; i-- {
		if up := chain[i].up; up != nil {
			up(b, r)
		}
	}
}

// Listed hears that pools are new on the list or have changed there.
func (b *Brain) Listed(now float64, changed []*routing.Pool) {
	b.at(now)
	for _, p := range changed {
		if i := slices.Index(b.pools, p); i >= 0 && p.State == routing.Gone {
			b.pools = slices.Delete(b.pools, i, i+1)
		}
		if p.Notes == nil {
			p.Notes = &pool{base: math.Inf(1), fresh: math.Inf(-1), pace: math.Inf(1), filled: now, counted: now,
				tokens: 1 - b.chance()*(1-b.part(1)), // the first one falls due at a moment drawn by chance
				budget: b.chance(), every: 1000, saw: -1}
		}
		if p.State != routing.Gone && !slices.Contains(b.pools, p) {
			b.pools = append(b.pools, p)
		}
		if i := slices.IndexFunc(b.places, func(q *routing.Pool) bool { return q.Number == p.Number }); i < 0 {
			b.places = append(b.places, p)
		} else if p.State != routing.Gone {
			b.places[i] = p
		}
		if n := note(p); p.Since > n.fresh && p.Since > 0 {
			n.restart(now, p.Since)
		}
	}
	b.probe()
}

// Offered takes a new contact.
func (b *Brain) Offered(now float64, c *routing.Contact) {
	b.at(now)
	left := c.Until - now
	b.most[c.Skill] = math.Max(b.most[c.Skill], left)
	c.Came -= math.Min(b.idle, b.most[c.Skill]-left) // it waited while this gateway stood still
	c.First = c.Came
	id := caller{c.Number, c.Skill, c.Customer}
	if first, again := b.tried[id]; again && now < first+c.Skill.Patience {
		c.First = first
		delete(b.tried, id)
	} else {
		b.came.add(now, 1)
		b.value.add(now, c.Skill.Value)
	}
	b.advance(c, 0)
}

// Stood hears that a ring's contact stands.
func (b *Brain) Stood(now float64, r *routing.Ring) {
	b.at(now)
	b.back(r)
	b.tell()
}

// Ended hears how a ring ended; closed: its contact needs no answer any more.
func (b *Brain) Ended(now float64, r *routing.Ring, closed bool) {
	b.at(now)
	b.back(r)
	b.tell()
}

// Left hears that a caller is gone.
func (b *Brain) Left(now float64, c *routing.Contact) {
	b.at(now)
	b.unserved(c)
}

// Reported hears a report that came by itself or for a probe.
func (b *Brain) Reported(now float64, p *routing.Pool, ok, full bool) {
	b.at(now)
	b.learn(p, full)
}

// Told hears another gateway's news: pairs of a pool's number and the wait seen there. What was heard here
// lately goes first, and news that makes no sense is passed over.
func (b *Brain) Told(now float64, from int, data []byte) {
	b.at(now)
	for ; len(data) > 1; data = data[2:] {
		for _, p := range b.places {
			if n := note(p); p.Number == int(data[0]) && b.now-n.told > newsFor {
				b.judge(n, float64(data[1])*tellUnit)
			}
		}
	}
}

// tell passes on news of the pools' waits to a few gateways drawn by chance. It guards against jams that grow
// faster than gateways that seldom hear of a pool could learn of them alone; the module is sound without it.
func (b *Brain) tell() {
	if !b.set.MayTell || b.now < b.telling || b.set.Gateways < 2 {
		return
	}
	var data []byte
	for _, p := range b.places {
		if n := note(p); n.saw >= 0 && p.State == routing.Ready && p.Number < 256 {
			data = append(data, byte(p.Number), byte(math.Min(255, n.saw/tellUnit)))
			n.saw = -1
		}
	}
	for i := 0; i < tellTo && len(data) > 0; i++ {
		b.telling = b.now + tellEvery
		if to := int(b.chance() * float64(b.set.Gateways)); to != b.set.Me {
			b.host.Tell(to, data)
		}
	}
}

// Woken goes on with a contact, or with the line.
func (b *Brain) Woken(now float64, c *routing.Contact) {
	b.at(now)
	switch {
	case c == nil:
		b.awake = false
		b.serve()
		b.probe()
	case !c.Over && c.Out == nil && !c.InLine:
		b.advance(c, 0)
	}
}

// probe asks every pool for its report where reports come only so: once a second, as the design has it.
func (b *Brain) probe() {
	if !b.set.ByProbe || !b.set.MayProbe || b.now < b.probed+probeEvery && b.probed > 0 {
		return
	}
	b.probed = b.now
	for _, p := range b.pools {
		if p.State == routing.Ready {
			b.host.Probe(p)
		}
	}
	b.host.Wake(b.now+probeEvery, nil)
}

// at moves the clock. A gateway that stood still finds all that came meanwhile at once, and can't tell when:
// idle is how long it heard nothing.
func (b *Brain) at(now float64) {
	if now > b.now {
		if b.idle = now - b.now; b.idle < longIdle {
			b.idle = 0 // it need not mean anything
		}
		b.now = now
	}
}

func note(p *routing.Pool) *pool { return p.Notes.(*pool) }

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

// unserved remembers a caller who may dial again: a redial still has to stand within the target of the
// first try, so one that comes later is worth less than a first try.
func (b *Brain) unserved(c *routing.Contact) {
	if b.now-b.swept > c.Skill.Patience {
		b.swept = b.now
		for id, first := range b.tried {
			if b.now > first+id.skill.Patience {
				delete(b.tried, id)
			}
		}
		for id, e := range b.engaged {
			if b.now > e.till+c.Skill.Patience {
				delete(b.engaged, id)
			}
		}
	}
	b.tried[caller{c.Number, c.Skill, c.Customer}] = c.First
}

// shed is the final answer "deferred".
func (b *Brain) shed(c *routing.Contact) verdict {
	b.unserved(c)
	wait := 0.0
	if w := comeBack * c.Skill.Target; b.set.MayWait && b.now+w+b.goal < c.First+c.Skill.Target {
		wait = math.Min(w, b.set.MaxWait) // soon enough to be in time: its own pause would be longer
	}
	b.host.Defer(c, wait)
	return ended
}

// giveUp is the final answer "abandoned".
func (b *Brain) giveUp(c *routing.Contact) verdict {
	b.unserved(c)
	b.host.Abandon(c)
	return ended
}

// worth is what a contact is worth if it stands soon.
func (b *Brain) worth(c *routing.Contact) float64 {
	if b.now+b.goal > c.First+c.Skill.Target {
		return c.Skill.Value * c.Skill.LateValue
	}
	return c.Skill.Value
}

// door keeps a contact until it may ring and ends it when its time is up.
func (b *Brain) door(c *routing.Contact, _ **routing.Pool) verdict {
	if c.Until-b.now <= b.set.Tick || c.Rings >= b.set.MaxRings {
		return b.giveUp(c)
	}
	if c.NotTill > b.now {
		b.host.Wake(c.NotTill, c)
		return kept
	}
	if e := b.engaged[c.Number]; e != nil { // all its lines are busy: work for nothing, at any pool
		if b.now < e.till {
			return b.shed(c)
		}
		e.till = b.now + engagedFor // one may try
	}
	return pass
}

// doorUp answers a contact whose ring did not stand, or lets it ring again.
func (b *Brain) doorUp(r *routing.Ring) {
	c := r.Contact
	if e := b.engaged[c.Number]; e != nil && c.Out == r {
		if e.stood++; e.stood > 1 {
			delete(b.engaged, c.Number)
		}
	}
	if c.Out == r || c.Over { // it stands, or needs nothing more
		return
	}
	if r.Engaged && c.Number != "" {
		b.engaged[c.Number] = &number{till: b.now + engagedFor}
	}
	c.MayRun = c.MayRun || r.End != routing.Full && r.End != routing.Refused && r.End != routing.Unsent
	if r.End == routing.TimedOut || r.End == routing.Reset || r.End == routing.Cancelled {
		c.NotTill = b.now + b.set.ClearWait // rule 5
	}
	if from := math.Max(c.NotTill, b.now); from+b.goal > c.Came+c.Skill.Target || from+2*lookAgain > c.Until ||
		c.MayRun && !c.Skill.Repeat { // the last may have run and must not run twice
		b.giveUp(c)
		return
	}
	b.advance(c, 0)
}

// admission keeps contacts in line while no pool has room and defers the least valuable when not all can be
// served in time: the document's case of all pools overloaded, take what can be taken and shed the rest.
func (b *Brain) admission(c *routing.Contact, _ **routing.Pool) verdict {
	if len(b.line) == 0 && b.anyRoom(c) {
		return pass
	}
	c.InLine = true
	at := len(b.line)
	for at > 0 && b.worth(b.line[at-1]) < b.worth(c) {
		at--
	}
	b.line = append(b.line, nil)
	copy(b.line[at+1:], b.line[at:])
	b.line[at] = c
	b.serve()
	return kept
}

// serve lets contacts in line go on while there is room, and defers those that must not wait longer or are
// too far back to be served in time.
func (b *Brain) serve() {
	pace := 0.0
	for _, p := range b.pools {
		if p.State == routing.Ready {
			b.fill(p)
			pace += note(p).pace
		}
	}
	line := b.line
	b.line = nil
	ahead := 0.0
	var rest []*routing.Contact
	for _, c := range line {
		limit := patienceIn * math.Min(c.Skill.Target, c.Until-c.Came)
		switch {
		case c.Over:
		case b.anyRoom(c):
			c.InLine = false
			b.advance(c, afterLine)
		case b.now-c.Came > limit && c.Rings == 0, b.now+b.goal > c.Came+c.Skill.Target, ahead >= pace*limit,
			b.now+2*lookAgain > c.Until: // the last guards rule 1: nobody may be forgotten in line
			c.InLine = false
			b.shed(c)
		default:
			rest = append(rest, c)
			ahead++
		}
	}
	b.line = append(rest, b.line...)
	if len(b.line) > 0 && !b.awake {
		b.awake = true
		b.host.Wake(b.now+lookAgain, nil)
	}
}

func (b *Brain) anyRoom(c *routing.Contact) bool {
	for _, p := range b.pools {
		if b.room(c, p) {
			return true
		}
	}
	return false
}

// room tells whether p has room for c: the rules allow it, and its pace has a token left.
func (b *Brain) room(c *routing.Contact, p *routing.Pool) bool {
	if !b.allowed(c, p) || note(p).noAgent {
		return false
	}
	b.fill(p)
	n := note(p)
	if b.worth(c)*b.came.read(b.now) < little*b.value.read(b.now) && n.expect(b.now, b.idle) > spareRoom*b.goal {
		return false // what is worth little takes only what nobody else will miss
	}
	if n.silent > 1 && (len(n.out) > 0 || b.now-n.life < probeEvery) {
		return false // a pool that is silent gets one set-up at a time to show that it is back
	}
	if b.now < n.shut {
		return false
	}
	if p == c.Home { // its own contacts come as they come, while nothing presses it
		calm := b.idle == 0 && n.expect(b.now, 0) < spareRoom*b.goal && agents(p) < spareRoom && n.pace >= n.knee/2
		return n.tokens >= 1 || calm && n.tokens >= 1-homeCredit
	}
	// for others a token is good for a moment only: else all that the gateways had saved up would come at once
	// to the few pools with room when a large one fails
	return n.tokens >= 1 && (n.tokens < 1+n.pace*openFor || n.pace*openFor >= 1)
}

// fill brings a pool's pace and tokens up to date. While set-ups there wait longer than aimed at, the pace
// falls, else it grows: gateways that each do so share the pool's processor without knowing of each other,
// and do not all stop and start together. It guards against every cause of long waits: overload, slow
// processors, other work on them, traffic piled on one pool.
//
// Where a pool is heard seldom, as with hundreds of gateways, its pace grows the slower: else each gateway
// would be back at its full pace before its next sample. What a press tells counts at once, however seldom
// it is seen.
func (b *Brain) fill(p *routing.Pool) {
	n := note(p)
	dt := math.Max(0, b.now-math.Max(n.filled, n.shut)) // what turns set-ups away earns nothing meanwhile
	n.filled = b.now
	off := math.Max(worst, 1-math.Max(n.expect(b.now, b.idle)/b.goal, agents(p)))
	turn := growth / n.every
	switch {
	case off < 0:
		if turn = decline / 1000; !n.pressed {
			n.knee = n.pace
		}
	case n.pace < n.knee/2:
		turn = regrowth / n.every // back soon to half of what went well before the press
	}
	n.pressed = off < 0
	even := math.Max(b.part(b.size(p)/1000), b.came.rate(b.now)*b.share(p))
	if !(p.Report.Agents > 0) && !(p.Report.Rate >= 0) {
		even = 1 / b.goal // nothing is known of it
	}
	few := n.sent.read(b.now)
	most := math.Max(release*(few-math.Sqrt(few))/span, mostEven*even) // a few sends may be chance
	n.pace = math.Min(most, math.Min(most, n.pace)*math.Exp(off*turn*dt))
	n.pace = math.Max(n.pace, math.Max(b.part(leastPace), leastEven*even))
	n.tokens += dt * n.pace * (1 + lean*off)
	if n.tokens > 2 && n.pace*openFor < 1 {
		n.tokens = 1 + frac(n.tokens)
	} else {
		n.tokens = math.Min(1+math.Max(1, n.pace*b.goal), n.tokens)
	}
}

// part is this gateway's even part of what all gateways may do.
func (b *Brain) part(v float64) float64 { return v / float64(max(1, b.set.Gateways)) }

// agents is the press on a pool's agents, 0 to 2: it is 1 with half of a small reserve free. The figure is
// late and every gateway has the same, so the last agents are shared by pace, not raced for.
func agents(p *routing.Pool) float64 {
	if !(p.Report.Agents > 0) || math.IsNaN(p.Report.Free) {
		return 0
	}
	return math.Max(0, 2-2*p.Report.Free/math.Max(agentLeast, agentShare*p.Report.Agents))
}

// route chooses the destination while it has room, else a pool by lottery.
func (b *Brain) route(c *routing.Contact, to **routing.Pool) verdict {
	h := c.Home
	if h != nil && b.room(c, h) && b.sound(h) >= soundAs*b.soundest(c) {
		*to = h
		return pass
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
		return b.shed(c)
	}
	return pass
}

// sound is the share of the set-ups a pool took up lately that it did not fail. It guards against pools that
// answer soon and fail most of what they take: what makes nobody wait draws everything.
func (b *Brain) sound(p *routing.Pool) float64 {
	n := note(p)
	return 1 - n.failed.read(b.now)/(soundFrom+n.done.read(b.now))
}

// soundest is the best sound share of the pools that have room: where all fail alike, no pool is at fault.
func (b *Brain) soundest(c *routing.Contact) float64 {
	best := 0.0
	for _, p := range b.pools {
		if s := b.sound(p); s > best && b.room(c, p) {
			best = s
		}
	}
	return best
}

// tickets is the document's lottery: total capacity times the square of the relative capacity, of which a
// pool that fails set-ups has its sound share only.
func (b *Brain) tickets(c *routing.Contact, p *routing.Pool) float64 {
	if !b.room(c, p) {
		return 0
	}
	f := b.free(p) * b.sound(p)
	return b.size(p) * f * f
}

// size is the total capacity in set-ups a second: the reported rate, and no more than its agents can hold
// with room for the load's swing (else small pools are overrated); the agents alone, which the document
// names as a measure too, where no rate is reported; else 1.
func (b *Brain) size(p *routing.Pool) float64 {
	held := math.Inf(1)
	if p.Report.Agents > 0 && b.hold > 0 {
		held = 1000 * math.Max(1, p.Report.Agents-swing*math.Sqrt(p.Report.Agents)) / b.hold
	}
	switch {
	case p.Report.Rate >= 0:
		return math.Min(p.Report.Rate, held)
	case !math.IsInf(held, 1):
		return held
	}
	return 1
}

// free is the relative capacity: the free share of a pool's processor by its latest report.
func (b *Brain) free(p *routing.Pool) float64 {
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
func (b *Brain) routeUp(r *routing.Ring) {
	n := note(r.Pool)
	if stood := r.Contact.Out == r; stood || r.End == routing.Failed && !r.Engaged {
		n.done.add(b.now, 1)
		if !stood {
			n.failed.add(b.now, 1)
		}
	}
	switch {
	case r.Contact.Out == r:
		b.hear(n)
		n.base = math.Min(n.base, r.Cost)
		n.timed = b.now
		if w := r.Cost - n.base; w < b.goal || w > b.idle {
			b.see(n, w-math.Min(b.idle, w)) // else it may have waited unread here
		}
		return
	case r.End == routing.Full && r.NoAgent:
		n.noAgent, r.Pool.Report.Free = true, 0
		return // the report with it is older than that
	case r.End == routing.Cancelled, r.End == routing.TimedOut:
		// one sent to a process that has died since says nothing of the next
		late := !r.Lost && n.timed < r.Sent && (n.silent > 1 || n.lost.read(b.now) < lossy) // else lost
		if late && r.Sent > n.fresh {
			b.hear(n)
			b.see(n, r.Cost)
		}
	case r.End == routing.Full:
		if b.now >= n.shut {
			n.pace *= fullCut
			n.saw = mostWait * b.goal
		}
		pause := fullPause * n.every / 1000 * (0.5 + b.chance())
		n.shut = b.now + math.Max(pause, math.Min(r.Wait, waitSpan))
	case r.End == routing.Refused:
		n.wait, n.judged = mostWait*b.goal, b.now
	}
	b.learn(r.Pool, r.Reported)
}

// hear notes that something was heard of a pool's processor.
func (b *Brain) hear(n *pool) {
	if n.told > 0 {
		n.every = math.Max(1000, (n.every+math.Min(longEvery, b.now-n.told))/2)
	}
	n.told = b.now
}

// learn takes a pool's latest report.
func (b *Brain) learn(p *routing.Pool, full bool) {
	n := note(p)
	if !math.IsNaN(p.Report.Free) {
		n.noAgent = p.Report.Free <= 0
	}
	if full {
		b.hear(n)
		n.heard = b.now
		// a report may lie or stick: set-up times seen here go first, and what cannot be is not believed
		if w := p.Report.Wait; w < b.longest && b.now-n.timed > ownFirst {
			b.judge(n, w)
		}
		if !math.IsNaN(p.Report.Queue) {
			n.queue = math.Max(n.queue, p.Report.Queue)
		}
	}
}

// expect is the wait that a set-up sent now must reckon with: the faded judgement, but no less than the
// oldest set-up under way has waited; where some were lost lately, the second oldest.
func (n *pool) expect(now, idle float64) float64 {
	w := n.faded(now)
	skip := 0
	if n.lost.read(now) > lossy {
		skip = 1
	}
	if len(n.out) > skip {
		w = math.Max(w, now-idle-n.out[skip].Sent-n.least())
	}
	return w
}

// faded is the judged wait as far as it still counts: it fades the slower the less often something is heard.
func (n *pool) faded(now float64) float64 {
	return n.wait * math.Exp((n.judged-now)/(waitSpan*n.every/1000))
}

// least is the set-up time without a wait, as far as seen.
func (n *pool) least() float64 {
	if math.IsInf(n.base, 1) {
		return 0
	}
	return n.base
}

// see judges a wait seen here; one that surprises is news for others.
func (b *Brain) see(n *pool, wait float64) {
	if math.Abs(math.Min(mostWait*b.goal, wait)-n.faded(b.now)) > newsFrom*b.goal {
		n.saw = wait
	}
	b.judge(n, wait)
}

// judge takes a sample of the wait. It is bounded, so that any judgement is forgotten in bounded time.
func (b *Brain) judge(n *pool, sample float64) {
	w := n.faded(b.now)
	n.wait, n.judged = (w+math.Min(mostWait*b.goal, math.Max(0, sample)))/2, b.now
}

// guard is the last word on every send: what the rules do not allow does not pass.
func (b *Brain) guard(c *routing.Contact, to **routing.Pool) verdict {
	if !b.allowed(c, *to) {
		return b.shed(c)
	}
	return pass
}

// allowed tells whether the rules let c ring p now.
func (b *Brain) allowed(c *routing.Contact, p *routing.Pool) bool {
	return p.State == routing.Ready && // rule 3: at once, not only after the grace
		c.Out == nil && !c.Over && // rules 1 and 2
		c.Until > b.now && c.Rings < b.set.MaxRings && (c.Skill.Repeat || !c.MayRun) &&
		c.NotTill <= b.now && // rule 5
		(c.Skill.Pools == nil || c.Skill.Pools[p.Number]) &&
		b.cold(p) // rule 4
}

// cold is rule 4: it tells whether this gateway may send a pool a set-up now. All gateways together keep
// the rule if each sends no more than the stated multiple of its part of a warm pool's load, scaled down to
// what the pool can do at its present age. First tries stand for that load: they do not fall to nothing
// with the pools. A token is good for a moment only and falls due at a moment drawn by chance: so all
// gateways together hold no more than a moment's budget, however many they are and however long nothing was
// sent.
func (b *Brain) cold(p *routing.Pool) bool {
	n := note(p)
	age := b.now - n.fresh
	if age >= b.set.WarmWithin || b.set.TipMultiple <= 0 {
		n.counted = b.now
		return true
	}
	part := b.set.ColdShare + (1-b.set.ColdShare)*math.Max(0, age)/b.set.WarmWithin
	safety := coldSafety
	if n.timed > n.fresh && n.expect(b.now, b.idle) < spareRoom*b.goal {
		safety = coldProven // set-ups stand there at once
	}
	rate := b.came.rate(b.now) * b.share(p) * safety * b.set.TipMultiple * part
	n.pace = math.Max(b.part(leastPace), math.Min(n.pace, 2*rate)) // and no rush when it is warm
	n.budget += rate * (b.now - n.counted)
	n.counted = b.now
	open := rate * b.set.TipTime * coldOpen
	if open >= 1 {
		n.budget = math.Min(n.budget, 1+open)
		return n.budget >= 1
	}
	if n.budget >= 2 {
		n.budget = 1 + frac(n.budget)
	}
	return n.budget >= 1 && n.budget < 1+open
}

// share is a pool's part of the total capacity: the load is made for all places, not for the few pools that
// are left.
func (b *Brain) share(p *routing.Pool) float64 {
	if b.summed != b.now {
		b.whole, b.summed = 0, b.now
		for _, q := range b.places {
			b.whole += b.size(q)
		}
	}
	return b.size(p) / math.Max(b.whole, b.size(p))
}

// frac is the part after the point.
func frac(v float64) float64 { return v - math.Floor(v) }

// ring sends the set-up.
func (b *Brain) ring(c *routing.Contact, to **routing.Pool) verdict {
	n := note(*to)
	n.budget--
	n.tokens--
	n.sent.add(b.now, 1)
	c.Rings++
	b.host.Ring(c, *to, c.Until-b.now)
	n.out = append(n.out, c.Out)
	return kept
}

// ringUp notes that a set-up is no longer under way, and the pool's signs of life. A pool that left set-ups
// unanswered, and cut contacts or refused to connect, has started anew when it answers: it is cold, whatever
// the list says of it.
func (b *Brain) ringUp(r *routing.Ring) {
	n := note(r.Pool)
	stood := r.Contact.Out == r
	for i, o := range n.out {
		if o == r {
			n.out = append(n.out[:i], n.out[i+1:]...)
			break
		}
	}
	switch {
	case stood || r.End == routing.Done || r.End == routing.Full || r.End == routing.Failed:
		if n.silent > 0 && n.cuts > 0 && b.now-n.fresh > b.set.WarmWithin {
			n.restart(b.now, b.now)
		}
		n.life, n.silent, n.cuts = b.now, 0, 0
	case r.End == routing.Refused:
		n.silent++
		n.cuts++
	case r.End == routing.Reset:
		n.cuts++
	case !r.Lost && r.End != routing.Unsent && r.Sent > n.fresh:
		n.silent++
	}
	for stood && b.set.MayCancel && len(n.out) > 0 && n.out[0].Sent < r.Sent-overtaken*b.goal {
		lost := n.out[0] // a processor takes set-ups in turn: this one is lost, and says nothing of the wait
		lost.Lost = true
		n.lost.add(b.now, 1)
		n.out = n.out[1:]
		if b.inTime(lost.Contact) {
			b.host.Cancel(lost)
		}
	}
}

// restart begins a pool's notes anew: its processor has started cold. The time before earns no cold budget.
func (n *pool) restart(now, at float64) {
	n.fresh, n.wait, n.pace, n.silent, n.budget, n.counted = at, 0, math.Inf(1), 0, frac(n.budget), now
	n.out = slices.DeleteFunc(n.out, func(r *routing.Ring) bool { return r.Sent < at }) // lost with the old one
}

// inTime tells whether a contact called off now could still stand in time elsewhere.
func (b *Brain) inTime(c *routing.Contact) bool {
	return b.now+b.set.ClearWait+b.goal < c.Came+c.Skill.Target
}
