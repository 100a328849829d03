package binarygateway

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"strconv"
	"strings"

	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/protocol/callcontrol"
	"cobaltpier/internal/routing"
)

// client is all that comes from one address: its calls are bound to none of its connections.
type client struct {
	m        *Machine
	links    []*Link
	owed     []owed
	standing int
}

// owed is a release that no connection was there for.
type owed struct {
	call  uint64
	cause byte
	till  float64
}

const (
	owedFor     = 20000.0 // ms: callers come back sooner, or not at all
	mostOwed    = 4096
	mostResumed = 8192    // standing calls told by callers: bounds what they can make a gateway hold
	mostNamed   = 64      // digits and letters of a number called
	longest     = 86400e3 // ms: no caller waits longer
	// a set-up has to fit when its patience is said again in other figures
	mostSaid = binarymessage.Most - 16
)

// call is a contact of a caller, and the same once it stands. One that a caller told of as standing already has no Held.
type call struct {
	*callcontrol.Held
	m      *Machine
	id     uint64
	client *client
	link   *Link         // of its set-up; nil once that has closed
	said   []byte        // its set-up, till it stands
	leg    *leg          // whose ring is out
	at     *trunk        // where it stands
	ring   *routing.Ring // and by which ring
	line   *Link         // the line that it stands on, nil once that has closed
	began  float64
}

// heard implements side.
func (c *client) heard(l *Link, msg binarymessage.Message) {
	m := c.m
	l.used = m.Now
	switch msg.Type() {
	case binarymessage.SetUp:
		l.proven = true
		c.setUp(l, msg)
	case binarymessage.Release:
		l.proven = true
		c.released(l, msg)
	case binarymessage.Test:
		l.proven = true
		if len(m.tests) < 1000 {
			m.tests = append(m.tests, test{l, msg.Call()})
		}
		m.isReady()
	case binarymessage.Heard, binarymessage.Progress, binarymessage.Tested, binarymessage.State, binarymessage.Answer:
		// free: they mean nothing here
	default:
		m.Wire.Odd++
		l.shut()
	}
}

// setUp takes a set-up: decoded fields go straight into a contact. It is offered by the next Wake.
func (c *client) setUp(l *Link, msg binarymessage.Message) {
	m, id := c.m, msg.Call()
	f, ok := figures(msg)
	if !ok || id == 0 {
		m.Wire.Odd++
		l.send(binarymessage.Append(nil, binarymessage.Release, id, binarymessage.Why(binarymessage.Invalid)))
		return
	}
	old := m.calls[id]
	if f.at != "" {
		c.resume(l, id, f.at)
		return
	}
	if old != nil {
		// nobody can tell any more which of the two an answer is for; the one that was there stays, unless both are
		// this connection's
		m.Wire.Twice++
		l.shut()
		return
	}
	skill := m.Skills[msg.Text(binarymessage.Class)]
	wait, ok := figure(msg.Text(binarymessage.Patience))
	number := msg.Text(binarymessage.Number)
	if skill == nil || !ok || wait <= 0 || wait > longest || number == "" || len(number) > mostNamed || len(msg) > mostSaid {
		m.Wire.Odd++
		l.send(binarymessage.Append(nil, binarymessage.Release, id, binarymessage.Why(binarymessage.Invalid)))
		return
	}
	of := &routing.Contact{Skill: skill, Number: number, Came: m.Now, HomeNumber: f.dest, Again: f.again}
	k := &call{Held: m.Hold(of, wait), m: m, id: id, client: c, link: l, said: slices.Clone(msg), began: m.Now}
	k.Party = k
	k.Until = k.From + wait - m.cfg.Margin
	of.Home = m.Pools.Home(f.dest)
	m.calls[id] = k
	l.open++
	m.Wait(k.Held)
}

// asked are a set-up's figures.
type asked struct {
	dest  int
	again bool
	at    string
}

// figures reads a set-up's figures; false: they are out of range or no numbers.
func figures(msg binarymessage.Message) (a asked, ok bool) {
	a.dest = -1
	v, _ := msg.Get(binarymessage.Figures)
	for f := range fieldsOf(string(v)) {
		switch f.name {
		case "at":
			a.at = f.value
			continue
		case "dest", "width", "via", "again":
		default:
			continue
		}
		n, err := strconv.Atoi(f.value)
		if err != nil || n < -1 || n > math.MaxInt32 || f.name == "width" && n < 1 {
			return a, false
		}
		switch f.name {
		case "dest":
			a.dest = n
		case "again":
			a.again = n == 1
		}
	}
	return a, true
}

type field struct{ name, value string }

// fieldsOf reads `a:1;b:2`.
func fieldsOf(s string) iter.Seq[field] {
	return func(yield func(field) bool) {
		for f := range strings.SplitSeq(s, ";") {
			if k, v, ok := strings.Cut(f, ":"); ok && !yield(field{strings.TrimSpace(k), strings.TrimSpace(v)}) {
				return
			}
		}
	}
}

// figure reads a number from 0 up.
func figure(s string) (float64, bool) {
	n, err := strconv.ParseFloat(s, 64)
	return n, err == nil && n >= 0 && !math.IsInf(n, 0)
}

// resume takes up a call that stands at a switch already, set up by a gateway before this one.
func (c *client) resume(l *Link, id uint64, at string) {
	m := c.m
	if k := m.calls[id]; k != nil {
		if k.at != nil { // it is held here: what ends it goes where its caller is now
			k.bind(l)
		}
		return
	}
	t := m.trunks[m.Pools.Pool(at)]
	if t == nil || m.resumed >= mostResumed {
		l.send(binarymessage.Append(nil, binarymessage.Release, id, binarymessage.Why(binarymessage.Failure)))
		return
	}
	if cause, over := t.ends[id]; over {
		delete(t.ends, id)
		l.send(binarymessage.Append(nil, binarymessage.Release, id, binarymessage.Why(cause.cause)))
		return
	}
	m.Wire.Resumed++
	m.resumed++
	k := &call{m: m, id: id, client: c, at: t, began: m.Now}
	m.calls[id] = k
	t.standing[id] = k
	c.standing++
	k.bind(l)
}

// bind lets a standing call's release go to a link.
func (k *call) bind(l *Link) {
	if k.link != nil {
		k.link.standing--
	}
	if k.client != l.client {
		k.client.standing--
		l.client.standing++
		k.client = l.client
	}
	k.link = l
	l.standing++
}

// released takes a caller's release: of a set-up, which is given up, or of a call that stands.
func (c *client) released(l *Link, msg binarymessage.Message) {
	k := c.m.calls[msg.Call()]
	switch {
	case k == nil:
	case k.at != nil:
		k.release(routing.Done, msg.Cause(), true)
	case k.client == c:
		k.giveUp()
	}
}

// lost implements side: set-ups whose connection has closed are given up; what stands goes on.
func (c *client) lost(l *Link, _ Ending) {
	m := c.m
	c.links = slices.DeleteFunc(c.links, func(o *Link) bool { return o == l })
	m.callers = slices.DeleteFunc(m.callers, func(o *Link) bool { return o == l })
	m.tests = slices.DeleteFunc(m.tests, func(t test) bool { return t.link == l })
	if l.open == 0 && l.standing == 0 {
		return
	}
	var of []*call
	for _, k := range m.calls {
		if k.link == l {
			of = append(of, k)
		}
	}
	slices.SortFunc(of, byID)
	for _, k := range of {
		if k.at != nil {
			k.link = nil
		} else {
			k.giveUp()
		}
	}
}

func byID(a, b *call) int { return cmp.Compare(a.id, b.id) }

// giveUp: its caller does not wait any more.
func (k *call) giveUp() {
	if k.Over {
		return
	}
	k.m.Counts.Left++
	if !k.Taken {
		k.Over = true
		k.drop()
		return
	}
	if !k.Settle(true) {
		return
	}
	if k.Offered {
		k.m.Mod.Left(k.m.Now, k.Contact)
	}
	k.drop()
	if k.leg != nil {
		k.leg.giveUp(routing.Cancelled)
	}
}

// drop lets go of a set-up that has its end.
func (k *call) drop() {
	if k.m.calls[k.id] == k {
		delete(k.m.calls, k.id)
	}
	if k.link != nil {
		k.link.open--
		k.link = nil
	}
	k.said = nil
}

// refuse is the final answer that it does not stand.
func (k *call) refuse(params ...binarymessage.Param) {
	if !k.Settle(true) {
		return
	}
	if k.link != nil {
		k.link.send(binarymessage.Append(nil, binarymessage.Release, k.id, params...))
	}
	k.drop()
	if k.leg != nil {
		k.leg.giveUp(routing.Cancelled)
	}
}

// Abandons implements control.Party.
func (k *call) Abandons() { k.refuse(binarymessage.Why(binarymessage.Failure)) }

// Defers implements control.Party.
func (k *call) Defers(wait float64) {
	if wait > 0 && k.m.cfg.Set.MayWait {
		k.refuse(binarymessage.Why(binarymessage.Congested), binarymessage.Text(binarymessage.Wait, strconv.Itoa(int(math.Ceil(wait)))))
		return
	}
	k.refuse(binarymessage.Why(binarymessage.Congested))
}

// Turned implements control.Party.
func (k *call) Turned() {
	if k.link != nil {
		k.link.send(binarymessage.Append(nil, binarymessage.Release, k.id, binarymessage.Why(binarymessage.Congested)))
	}
	k.drop()
}

// Begin implements control.Party.
func (k *call) Begin() bool { return true }

// Prepare implements control.Party.
func (k *call) Prepare() {}

// IsOut implements control.Party: a ring is out, or its call stands.
func (k *call) IsOut() bool { return k.leg != nil || k.at != nil }

// Trying implements control.Party: nothing is owed before the answer.
func (k *call) Trying() {}

// stands passes the switch's answer on, its description unchanged.
func (k *call) stands(t *trunk, line *Link, r *routing.Ring, description []byte) {
	if !k.Settle(false) {
		return
	}
	m := k.m
	k.Stands = true
	m.Control.Standing(1)
	m.Counts.Stood++
	k.at, k.line, k.ring, k.said = t, line, r, nil
	t.standing[k.id] = k
	k.client.standing++
	if k.link != nil {
		k.link.open--
		k.link.standing++
		k.link.put(entry{data: binarymessage.Append(nil, binarymessage.Answer, k.id, binarymessage.Param{Code: binarymessage.Description, Value: description}),
			// its caller has closed and never heard of it: it has given the set-up up
			lost: func() { k.release(routing.Done, binarymessage.Normal, true) }})
	}
}

// release ends a standing call on the sides that do not know of it yet; byCaller: its caller does.
func (k *call) release(how routing.End, cause byte, byCaller bool) {
	m, t := k.m, k.at
	if t == nil {
		return
	}
	delete(m.calls, k.id)
	delete(t.standing, k.id)
	k.at = nil
	k.client.standing--
	if k.link != nil {
		k.link.standing--
	}
	if byCaller {
		m.Wire.Released++
		t.release(k, cause)
	} else {
		k.tell(cause)
	}
	if k.Held == nil {
		m.resumed--
		return
	}
	m.Control.Standing(-1)
	k.Stands = false
	k.Over = true
	k.Ended(k.ring, how, true)
}

// tell releases a call that is over towards its caller: on the connection of its set-up, else on its latest, else on the
// next one.
func (k *call) tell(cause byte) { k.client.tell(k.link, owed{k.id, cause, k.m.Now + owedFor}) }

func (c *client) tell(l *Link, o owed) {
	if l == nil || l.closed {
		l = nil
		for _, other := range c.links {
			if l == nil || other.used > l.used {
				l = other
			}
		}
	}
	if l == nil {
		c.m.Wire.Owed++
		if len(c.owed) < mostOwed {
			c.owed = append(c.owed, o)
		}
		return
	}
	l.put(entry{data: binarymessage.Append(nil, binarymessage.Release, o.call, binarymessage.Why(o.cause)), lost: func() { c.tell(nil, o) }})
}

// pay sends the releases that are owed.
func (c *client) pay(l *Link) {
	of := c.owed
	c.owed = nil
	for _, o := range of {
		c.tell(l, o)
	}
}

// forget gives up owed releases that nobody came for.
func (c *client) forget(now float64) {
	n := len(c.owed)
	c.owed = slices.DeleteFunc(c.owed, func(o owed) bool { return o.till < now })
	c.m.Wire.Unpaid += uint64(n - len(c.owed))
}
