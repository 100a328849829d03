package binarygateway

import (
	"net/netip"
	"slices"

	"cobaltpier/internal/decision/intake"
	"cobaltpier/internal/protocol/binarymessage"
)

// Link is one connection, a caller's or a line to a switch.
type Link struct {
	Conn any // the driver's own

	m       *Machine
	side    side
	reader  binarymessage.Reader
	queue   []entry // what was made and has not been handed to the socket
	size    int
	handed  []entry // what the socket has been handed and has not left, without its bytes
	busy    bool    // there is something of that
	wrote   float64 // when the socket was handed something last
	closed  bool
	waiting bool // in dirty

	// a caller's
	writeClosed bool // nothing is written to it any more
	client      *client
	opened      float64
	used        float64
	proven      bool
	begun       float64 // when the message began that is not whole
	open        int     // set-ups without an answer
	standing    int     // calls whose release would go here

	// a line's
	legs    []*leg
	isUp    bool
	spoke   bool // the switch has said something on it
	retired bool // it gets no set-ups any more
}

// side is who is at the other end.
type side interface {
	heard(l *Link, m binarymessage.Message)
	lost(l *Link, how Ending)
}

// Ending is how a link ended.
type Ending int

// The endings.
const (
	Orderly Ending = iota // closed by one side, or given up
	Refused               // it never came up: nobody listens there
	Reset                 // reset under way
)

// entry is a message that waits in a queue.
type entry struct {
	data []byte
	leg  *leg   // whose set-up it is; nil: none
	left func() // to be done once it has left; may be nil
	lost func() // to be done in its place if its link ends before; nil: left, for with the link its set-up is given up
}

// end does what is to be done when an entry's link has ended before it left.
func (e *entry) end() {
	if e.lost != nil {
		e.lost()
	} else if e.left != nil {
		e.left()
	}
}

// mostQueued is how much may wait for a socket: whoever reads nothing for so long is cut off.
const mostQueued = 256 << 10

// send queues a message.
func (l *Link) send(b []byte) { l.put(entry{data: b}) }

func (l *Link) put(e entry) {
	if l.closed {
		if e.left != nil || e.lost != nil {
			l.m.Timers.Set(l.m.Now, e.end)
		}
		return
	}
	l.queue = append(l.queue, e)
	l.size += len(e.data)
	l.mark()
}

// mark has a link flushed at the end of the batch.
func (l *Link) mark() {
	if !l.waiting {
		l.waiting = true
		l.m.dirty = append(l.m.dirty, l)
	}
}

// flush hands what waits to the socket, unless that still has something.
func (l *Link) flush() {
	l.waiting = false
	if l.closed || l.writeClosed {
		return
	}
	if l.busy || l.m.trunkOf(l) != nil && !l.isUp {
		if l.size > mostQueued {
			l.m.Wire.Broken++
			l.fail()
		}
		return
	}
	if len(l.queue) == 0 {
		return
	}
	var b []byte
	for _, e := range l.queue {
		b = append(b, e.data...)
		if l.m.Tap != nil && len(e.data) > 0 {
			l.m.Tap(l, true, e.data)
		}
		if e.leg != nil {
			e.leg.left = true
		}
		if e.left != nil || e.lost != nil {
			l.handed = append(l.handed, entry{left: e.left, lost: e.lost})
		}
	}
	clear(l.queue)
	l.queue, l.size = l.queue[:0], 0
	l.busy, l.wrote = true, l.m.Now
	if l.m.out.Write(l, b) {
		l.hasLeft()
	}
}

func (l *Link) hasLeft() {
	l.busy = false
	handed := l.handed
	l.handed = nil
	for _, e := range handed {
		if e.left != nil {
			e.left()
		}
	}
}

// take takes a leg's set-up back that has not been handed to the socket; false: it has been.
func (l *Link) take(g *leg) bool {
	if g.left {
		return false
	}
	l.queue = slices.DeleteFunc(l.queue, func(e entry) bool {
		if e.leg == g {
			l.size -= len(e.data)
			return true
		}
		return false
	})
	return true
}

// shut closes a link from here.
func (l *Link) shut() {
	if l.closed {
		return
	}
	l.flushLast()
	l.m.out.Shut(l)
	l.end(Orderly)
}

// flushLast tries to hand over what waits before a close.
func (l *Link) flushLast() {
	if !l.busy && (l.isUp || l.client != nil) && len(l.queue) > 0 {
		l.flush()
	}
}

// fail closes a link that is of no use, without a last word.
func (l *Link) fail() {
	if l.closed {
		return
	}
	l.m.out.Shut(l)
	l.end(Orderly)
}

// end forgets a link: what has not left has not run, and what somebody is owed goes another way.
func (l *Link) end(how Ending) {
	if l.closed {
		return
	}
	l.closed = true
	unsent := append(l.handed, l.queue...)
	l.queue, l.handed, l.size = nil, nil, 0
	l.side.lost(l, how)
	for _, e := range unsent {
		e.end()
	}
}

// facts is what is decided by of a caller's link.
func (l *Link) facts() intake.Link {
	return intake.Link{Opened: l.opened, Used: l.used, Proven: l.proven, Partial: l.reader.Partial(), Begun: l.begun,
		Open: l.open, Standing: l.standing, Unsent: l.busy || len(l.queue) > 0, Stuck: l.m.Now - l.wrote}
}

// Accepted takes a caller's connection; nil: it was closed at once.
func (m *Machine) Accepted(now float64, conn any, from netip.Addr) *Link {
	m.Now = now
	m.Wire.Accepted++
	c := m.clients[from]
	if c == nil {
		c = &client{m: m}
		m.clients[from] = c
	}
	l := &Link{Conn: conn, m: m, side: c, client: c, opened: now, used: now, wrote: now}
	c.links = append(c.links, l)
	m.callers = append(m.callers, l)
	if len(m.callers) > intake.Callers(m.cfg.Sockets) {
		facts := make([]intake.Link, len(m.callers))
		for i, l := range m.callers {
			facts[i] = l.facts()
		}
		m.Wire.Evicted++
		worst := l
		if i := intake.Evict(now, facts); i >= 0 {
			worst = m.callers[i]
		}
		worst.shut()
	}
	if l.closed {
		return nil
	}
	c.pay(l)
	return l
}

// Connected says that a link that was dialled is up.
func (m *Machine) Connected(now float64, l *Link) {
	m.Now = now
	if t := m.trunkOf(l); t != nil && !l.closed {
		t.connected(l)
	}
}

// Received takes bytes of a link.
func (m *Machine) Received(now float64, l *Link, b []byte) {
	m.Now = now
	if l.closed {
		return
	}
	if !l.reader.Partial() {
		l.begun = now
	}
	err := l.reader.Feed(b, func(msg binarymessage.Message) bool {
		l.begun = now // of whatever follows
		if m.Tap != nil {
			m.Tap(l, false, msg)
		}
		l.side.heard(l, msg)
		return !l.closed
	})
	if err != nil && !l.closed {
		if l.client != nil {
			m.Wire.Unreadable++
			l.shut()
		} else {
			m.Wire.Broken++
			l.fail()
		}
	}
}

// Left says that all that a link's socket was handed has left.
func (m *Machine) Left(now float64, l *Link) {
	m.Now = now
	if l.closed || !l.busy {
		return
	}
	l.hasLeft()
	l.mark()
}

// Closed says that a link was closed from the other side, or never came up.
func (m *Machine) Closed(now float64, l *Link, how Ending) {
	m.Now = now
	l.end(how)
}

func (m *Machine) trunkOf(l *Link) *trunk {
	t, _ := l.side.(*trunk)
	return t
}

// With names who is at the other end: a switch by its id.
func (l *Link) With() string {
	if t := l.m.trunkOf(l); t != nil {
		return l.m.Pools.ID(t.pool)
	}
	return "caller"
}
