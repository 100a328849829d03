package binarygateway

import (
	"math"
	"net/netip"
	"slices"
	"strconv"

	"cobaltpier/internal/decision/intake"
	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/routing"
	"cobaltpier/internal/timerqueue"
)

const (
	keepUp      = 1       // lines that each switch has even if nothing presses: its state is heard on one, and each is paid for
	mostPause   = 2000.0  // ms: between two tries to connect
	firstPause  = 50.0    // ms
	endsFor     = 15000.0 // ms: an end that nobody here knows of is remembered for a caller who asks
	mostEnds    = 2048
	lateFor     = 30000.0 // ms: an answer may come so long after its set-up was given up
	connectElse = 500.0   // ms: where settings say nothing
)

// trunk is all lines to one switch.
type trunk struct {
	m          *Machine
	pool       *routing.Pool
	to         netip.AddrPort
	since      float64 // its latest start, as told
	lines      []*Link
	waits      []*leg           // set-ups that wait for a line
	standing   map[uint64]*call // calls that stand there
	late       map[uint64]float64
	ends       map[uint64]ended
	heardAt    float64 // when it was last heard
	unanswered int     // tries since then that brought no word, not even a refusal
	failed     int     // tries to connect that came to nothing since a new line spoke
	retryAt    float64 // no line is tried before this unless a set-up needs it
	reset      bool    // the latest line to end was reset, and none has come up since
	lostAt     float64 // when the latest line ended on which it had spoken
	pause      *timerqueue.Timer
	turn       uint64
}

// ended is an end of a call that nobody here knows of.
type ended struct {
	cause byte
	till  float64
}

// leg is one ring on the wire.
type leg struct {
	call  *call
	ring  *routing.Ring
	trunk *trunk
	line  *Link // nil: it waits for one
	limit *timerqueue.Timer
	left  bool // its set-up was handed to the socket
	over  bool // the module knows of its end, or is about to
	// crossed: an answer to an earlier ring of the call here came after that was given up
	crossed bool
}

func newTrunk(m *Machine, p *routing.Pool, to netip.AddrPort) *trunk {
	return &trunk{m: m, pool: p, to: to, since: p.Since, standing: map[uint64]*call{}, late: map[uint64]float64{}, ends: map[uint64]ended{}, heardAt: m.Now, lostAt: m.Now}
}

// up is how many lines are open.
func (t *trunk) up() (n int) {
	for _, l := range t.lines {
		if l.isUp && !l.retired {
			n++
		}
	}
	return
}

// warm opens the lines that a switch always has, so that its state is heard. One that drains gets no set-ups: it has a
// line only for what stands there.
func (t *trunk) warm() {
	keep := min(keepUp, t.m.lines())
	if t.pool.State != routing.Ready {
		keep = min(1, len(t.standing))
	}
	for len(t.lines) < keep && t.pause == nil && t.mayRetry() && (t.failed == 0 || len(t.lines) == 0) {
		t.dial()
	}
}

// mayRetry tells whether a line may be tried that no set-up waits for.
func (t *trunk) mayRetry() bool { return t.m.Now >= t.retryAt }

// dial opens one more line.
func (t *trunk) dial() *Link {
	m := t.m
	l := &Link{m: m, side: t}
	t.lines = append(t.lines, l)
	m.Wire.Dialled++
	m.Timers.Set(m.Now+t.within(), func() {
		if !l.isUp && !l.closed {
			m.Wire.Silent++
			l.fail()
		}
	})
	m.out.Dial(l, t.to)
	return l
}

// connected: a line is up; what waits goes out. That shows a machine that accepts, not yet a switch that works: only its
// first word does.
func (t *trunk) connected(l *Link) {
	l.isUp = true
	t.m.Wire.Up++
	t.reset = false
	waits := t.waits
	t.waits = nil
	for _, g := range waits {
		t.place(g)
	}
	t.m.isReady()
	l.mark()
}

// Dial implements control.Party: it sends a set-up and gives up after limit ms.
func (k *call) Dial(r *routing.Ring, limit float64) bool {
	t := k.m.trunks[r.Pool]
	if t == nil || k.said == nil {
		return false
	}
	g := &leg{call: k, ring: r, trunk: t}
	k.leg = g
	g.limit = k.m.Timers.Set(k.m.Now+limit, func() { g.giveUp(routing.TimedOut) })
	t.place(g)
	return true
}

// place puts a set-up on a line: on one with the fewest set-ups under way, for one that breaks takes all of its own
// along. Where none is up it waits for the next.
func (t *trunk) place(g *leg) {
	var best *Link
	t.turn++
	for i := range t.lines {
		l := t.lines[(int(t.turn%uint64(len(t.lines)))+i)%len(t.lines)]
		if l.isUp && !l.retired && !l.busy && (best == nil || len(l.legs) < len(best.legs)) {
			best = l
		}
	}
	coming := slices.ContainsFunc(t.lines, func(l *Link) bool { return !l.isUp })
	if (best == nil || len(best.legs) > 0 && t.mayRetry()) && !coming && len(t.lines) < t.m.lines() {
		t.dial()
	}
	if best == nil { // it waits no longer than one connect may take, however many are tried meanwhile
		t.waits = append(t.waits, g)
		t.m.Timers.Set(t.m.Now+t.within(), func() { g.unreached() })
		return
	}
	k, now := g.call, t.m.Now
	g.line = best
	best.legs = append(best.legs, g)
	left := math.Max(1, k.Until+t.m.cfg.Margin-now)
	msg := binarymessage.Message(k.said)
	b := binarymessage.Append(nil, binarymessage.SetUp, k.id, forwarded(msg, left)...)
	best.put(entry{data: b, leg: g})
}

// unreached ends a ring that found no line.
func (g *leg) unreached() {
	t := g.trunk
	if i := slices.Index(t.waits, g); i >= 0 && !g.over {
		t.waits = slices.Delete(t.waits, i, i+1)
		g.over = true
		g.finish(routing.Refused)
	}
}

// within is how long a connect may take, ms.
func (t *trunk) within() float64 {
	if w := t.m.cfg.Links.ConnectTimeout; w > 0 {
		return w
	}
	return connectElse
}

// forwarded is what of a caller's set-up goes to a switch: class, number and description as they are, and for how many ms
// this gateway waits.
func forwarded(msg binarymessage.Message, left float64) []binarymessage.Param {
	var of []binarymessage.Param
	for _, code := range []byte{binarymessage.Class, binarymessage.Patience, binarymessage.Number, binarymessage.Description} {
		if code == binarymessage.Patience {
			of = append(of, binarymessage.Text(code, strconv.Itoa(int(left))))
		} else if v, ok := msg.Get(code); ok {
			of = append(of, binarymessage.Param{Code: code, Value: v})
		}
	}
	return of
}

// giveUp ends a ring from here. What has not left is withdrawn and has not run; else its end counts from when the
// give-up has left.
func (g *leg) giveUp(how routing.End) {
	if g.over {
		return
	}
	m := g.trunk.m
	g.over = true
	m.Timers.Stop(g.limit)
	if g.line == nil {
		g.trunk.waits = slices.DeleteFunc(g.trunk.waits, func(o *leg) bool { return o == g })
		m.Wire.Withdrawn++
		m.Timers.Set(m.Now, func() { g.finish(routing.Unsent) })
		return
	}
	if g.line.take(g) {
		m.Wire.Withdrawn++
		m.Timers.Set(m.Now, func() { g.finish(routing.Unsent) })
		return
	}
	g.trunk.late[g.call.id] = m.Now + lateFor
	l := g.line
	l.put(entry{data: binarymessage.Append(nil, binarymessage.Release, g.call.id, binarymessage.Why(binarymessage.Normal)), left: func() {
		m.Timers.Set(m.Now, func() { g.finish(how) })
	}})
}

// finish tells how a ring ended, once.
func (g *leg) finish(how routing.End) {
	if g.ring == nil {
		return
	}
	r, k := g.ring, g.call
	g.ring, g.over = nil, true
	g.trunk.m.Timers.Stop(g.limit)
	if g.line != nil {
		g.line.legs = slices.DeleteFunc(g.line.legs, func(o *leg) bool { return o == g })
	}
	if k.leg == g {
		k.leg = nil
	}
	if g.crossed {
		m := g.trunk.m
		m.Wire.Crossed++
		g.trunk.say(k.id, binarymessage.Normal, g.line)
	}
	k.Ended(r, how, k.Over)
}

// outs is the ring of a call that is out at this switch and wanted, on whatever line.
func (t *trunk) outs(id uint64) *leg {
	for _, l := range t.lines {
		if g := l.find(id); g != nil && !g.over {
			return g
		}
	}
	return nil
}

// CallOff implements control.Party.
func (k *call) CallOff(r *routing.Ring) {
	if k.leg != nil && k.leg.ring == r {
		k.leg.giveUp(routing.Cancelled)
	}
}

// find is the ring of a call that is out on a line.
func (l *Link) find(id uint64) *leg {
	for _, g := range l.legs {
		if g.call.id == id {
			return g
		}
	}
	return nil
}

// heard implements side.
func (t *trunk) heard(l *Link, msg binarymessage.Message) {
	m := t.m
	t.heardAt, t.unanswered = m.Now, 0
	if !l.spoke {
		l.spoke, t.failed = true, 0
	}
	id := msg.Call()
	switch msg.Type() {
	case binarymessage.State:
		if any, full := m.report(t.pool, msg); any {
			m.Mod.Reported(m.Now, t.pool, true, full)
		}
	case binarymessage.Answer:
		g := l.find(id)
		description, ok := msg.Get(binarymessage.Description)
		switch {
		case t.standing[id] != nil:
			// the answer of a ring that was given up before the one that stands here: to release it would cut the call
			m.Wire.Twice++
		case (g == nil || g.over || !g.left) && t.outs(id) != nil:
			t.outs(id).crossed = true // released when the ring that is out here has ended without standing
		case g == nil || g.over || !g.left:
			if _, late := t.late[id]; late || g != nil && g.over { // it crossed our giving up
				m.Wire.Crossed++
				l.send(binarymessage.Append(nil, binarymessage.Release, id, binarymessage.Why(binarymessage.Normal)))
			} else {
				m.Wire.Stray++
			}
		case !ok: // it stands there, but its caller can't be told what the switch said
			m.Wire.Broken++
			l.send(binarymessage.Append(nil, binarymessage.Release, id, binarymessage.Why(binarymessage.Normal)))
			g.finish(routing.Failed)
		default:
			m.Timers.Stop(g.limit)
			g.over = true
			l.legs = slices.DeleteFunc(l.legs, func(o *leg) bool { return o == g })
			any, full := m.report(t.pool, msg)
			k, r := g.call, g.ring
			k.leg = nil
			r.Cost = m.Now - r.Sent
			k.stands(t, l, r, description)
			if any {
				m.Mod.Reported(m.Now, t.pool, true, full)
			}
			m.Mod.Stood(m.Now, r)
		}
	case binarymessage.Release:
		t.released(l, msg)
	case binarymessage.Progress, binarymessage.Heard, binarymessage.Tested, binarymessage.Test, binarymessage.SetUp:
		// free: they mean nothing here
	default:
		m.Wire.Broken++
		l.fail()
	}
}

// released takes a switch's release: the end of a ring, or of a call that stands.
func (t *trunk) released(l *Link, msg binarymessage.Message) {
	m, id, cause := t.m, msg.Call(), msg.Cause()
	any, full := m.report(t.pool, msg)
	if g := l.find(id); g != nil && g.ring != nil && g.left {
		r := g.ring
		r.Reported = full
		note := msg.Text(binarymessage.Note)
		how := routing.Reset
		switch cause {
		case binarymessage.NoCircuit:
			how = routing.Full
			r.NoAgent = note == "all_trunks_busy"
			if w, ok := figure(msg.Text(binarymessage.Busy)); ok {
				r.Wait = w
			}
		case binarymessage.UserBusy, binarymessage.Fault:
			how = routing.Failed
			r.Engaged = note == "number_busy"
		case binarymessage.Moot:
			how = routing.Unsent
		}
		if !g.over { // else our giving up crossed it, and counts
			g.over = true
			g.finish(how)
		}
		return
	}
	if k := t.standing[id]; k != nil {
		how := routing.Reset
		if cause == binarymessage.Normal {
			how = routing.Done
		} else {
			m.Wire.Cut++
		}
		if k.ring != nil {
			k.ring.Reported = full
		}
		k.release(how, cause, false)
		return
	}
	if any && full {
		m.Mod.Reported(m.Now, t.pool, true, full)
	}
	if m.calls[id] == nil && len(t.ends) < mostEnds { // its caller may still tell us of it
		t.ends[id] = ended{cause, m.Now + endsFor}
	}
}

// release releases a call at its switch: on the line of its set-up, else on any, else on the next.
func (t *trunk) release(k *call, cause byte) {
	if cause == 0 {
		cause = binarymessage.Normal
	}
	t.late[k.id] = t.m.Now + lateFor
	t.say(k.id, cause, k.line)
}

// say sends a release: on a line, where that is still open, else on any, else on the next.
func (t *trunk) say(id uint64, cause byte, l *Link) {
	if l == nil || l.closed {
		l = nil
		for _, o := range t.lines {
			if !o.closed && (l == nil || o.isUp && !l.isUp) {
				l = o
			}
		}
	}
	if l == nil {
		l = t.dial()
	}
	l.put(entry{data: binarymessage.Append(nil, binarymessage.Release, id, binarymessage.Why(cause))})
}

// lost implements side: set-ups that have left on a line may have run, others have not.
func (t *trunk) lost(l *Link, how Ending) {
	m := t.m
	t.lines = slices.DeleteFunc(t.lines, func(o *Link) bool { return o == l })
	for _, k := range t.standing {
		if k.line == l {
			k.line = nil
		}
	}
	legs := l.legs
	l.legs = nil
	for _, g := range legs {
		switch {
		case g.ring == nil, g.over: // ended, or about to: its give-up, gone with the line, settles it
		case !g.left:
			g.over = true
			m.Timers.Set(m.Now, func() { g.finish(routing.Unsent) })
		default:
			g.over = true
			t.late[g.call.id] = m.Now + lateFor
			m.Timers.Set(m.Now, func() { g.finish(routing.Reset) })
		}
	}
	if m.trunks[t.pool] != t {
		return
	}
	if l.isUp {
		m.Wire.Lost++
		if t.reset = how == Reset; l.spoke {
			t.lostAt = m.Now
		} else { // accepted, and no more: nobody works there
			t.backOff()
			t.unanswered++
		}
		if t.up() == 0 {
			t.again()
		}
		return
	}
	t.backOff()
	if how == Refused { // a machine that says no is there, and a process that has died would have reset the lines that are up
		m.Wire.Refused++
		t.unanswered = 0
	} else {
		t.unanswered++
	}
	if t.up() == 0 && !slices.ContainsFunc(t.lines, func(l *Link) bool { return !l.isUp && !l.closed }) {
		for _, g := range t.waits {
			m.Timers.Set(m.Now, g.unreached)
		}
		// A process that dies resets its lines, and then nobody listens there; one that drains closes them in order and
		// listens no more, and its calls go on.
		if how == Refused && t.reset {
			t.died()
		}
		t.again()
	}
}

// backOff counts a try that came to nothing: the next waits longer, by chance.
func (t *trunk) backOff() {
	t.failed++
	t.retryAt = t.m.Now + math.Min(mostPause, firstPause*math.Pow(2, float64(min(t.failed, 10))))*(0.5+t.m.chance())
}

// again tries to connect once more, after a rest if the last try failed.
func (t *trunk) again() {
	if t.pause != nil || t.pool.State == routing.Gone {
		return
	}
	t.pause = t.m.Timers.Set(math.Max(t.m.Now, t.retryAt), func() {
		t.pause = nil
		if t.m.trunks[t.pool] == t && len(t.lines) == 0 && (t.pool.State == routing.Ready || len(t.standing) > 0) {
			t.dial()
		}
	})
}

// look finds switches that have gone silent, and forgets what is over.
func (t *trunk) look() {
	m := t.m
	for id, till := range t.late {
		if till < m.Now {
			delete(t.late, id)
		}
	}
	for id, e := range t.ends {
		if e.till < m.Now {
			delete(t.ends, id)
		}
	}
	busy := len(t.standing) > 0
	for _, l := range t.lines {
		busy = busy || len(l.legs) > 0
	}
	if busy {
		away := 0.0 // how long no line has been up
		if t.up() == 0 {
			away = m.Now - t.lostAt
		}
		switch intake.Silence(m.Now-t.heardAt, away, t.unanswered) {
		case intake.Died:
			for _, l := range slices.Clone(t.lines) {
				l.fail()
			}
			t.died()
		case intake.Doubt:
			if t.pause == nil && t.mayRetry() && !slices.ContainsFunc(t.lines, func(l *Link) bool { return !l.isUp }) {
				t.spare()
				t.dial()
			}
		}
	}
	t.warm()
}

// spare makes room for one more line: of those on which nothing is under way the oldest goes.
func (t *trunk) spare() {
	if len(t.lines) < t.m.lines() {
		return
	}
	for _, l := range t.lines {
		if l.isUp && len(l.legs) == 0 && len(l.queue) == 0 && !l.busy {
			l.shut()
			return
		}
	}
}

// died: the process there has ended and its calls with it.
func (t *trunk) died() {
	if len(t.standing) == 0 {
		return
	}
	t.m.Wire.Dead++
	t.cut(math.Inf(1))
}

// cut ends the calls that have stood there since before a time.
func (t *trunk) cut(before float64) {
	var of []*call
	for _, k := range t.standing {
		if k.began < before {
			of = append(of, k)
		}
	}
	slices.SortFunc(of, byID)
	for _, k := range of {
		t.m.Wire.Cut++
		k.release(routing.Reset, binarymessage.Failure, false)
	}
}

// restarted: the switch's process is a new one since a time.
func (t *trunk) restarted(since float64) {
	t.since = since
	t.cut(since)
}

// withdraw takes back the set-ups that have not left (rule 3).
func (t *trunk) withdraw() {
	for _, g := range slices.Clone(t.waits) {
		g.giveUp(routing.Unsent)
	}
	for _, l := range t.lines {
		for _, g := range slices.Clone(l.legs) {
			if !g.left {
				g.giveUp(routing.Unsent)
			}
		}
	}
}

// over: the switch is gone from the list.
func (t *trunk) over() {
	t.cut(math.Inf(1))
	for _, l := range slices.Clone(t.lines) {
		l.shut()
	}
	t.m.Timers.Stop(t.pause)
}

// move: the list names another address for the same switch.
func (t *trunk) move(to netip.AddrPort) {
	t.to = to
	for _, l := range slices.Clone(t.lines) {
		l.retired = true
		if len(l.legs) == 0 {
			l.shut()
		}
	}
}
