// Package binarystandin has stand-ins of what a gateway on the platform talks to, in virtual time: switches and callers with
// seeded faults, around the machine itself. What crosses its sockets is handed to a judge.
package binarystandin

//tally:standin

import (
	"math"
	"net/netip"
	"slices"
	"strconv"

	"cobaltpier/internal/conformance/binaryconformance"
	"cobaltpier/internal/detrand"
	"cobaltpier/internal/protocol/binarygateway"
	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/protocol/dnsdiscovery"
	"cobaltpier/internal/routing"
	"cobaltpier/internal/timerqueue"
)

// Faults are the shares of what goes wrong, 0 to 1.
type Faults struct {
	Spoilt  float64 // answers that are noise
	Late    float64 // answers that come after the setup was given up
	Never   float64 // answers that never come
	Twice   float64 // answers that come twice
	Ahead   float64 // an answer under an unknown id comes first
	Reset   float64 // lines that are reset under a setup
	Full    float64 // setups rejected
	Bad     float64 // setups that fail
	Cut     float64 // calls that are cut
	Leaves  float64 // callers that do not wait
	Hangs   float64 // callers that release what stands
	Closes  float64 // callers' connections closed under a setup
	Stuck   float64 // writes to switches that do not leave at once
	Split   bool    // bytes come in pieces
	Drains  float64 // switches told to drain, a second
	Deaths  float64 // switches that die, a second
	Silents float64 // switches that vanish, a second
}

// World is one gateway among its stand-ins.
type World struct {
	M      *binarygateway.Gateway
	Judge  *binaryconformance.Judge
	Faults Faults
	Rate   float64 // setups a second
	Hold   float64 // ms that a call stands
	Work   float64 // ms until an answer
	Stop   float64 // no setups after this

	seed, draws uint64
	now         float64
	q           timerqueue.Queue
	switches    map[netip.AddrPort]*Switch
	order       []*Switch
	conns       []*conn // callers'
	byLink      map[*binarygateway.Conn]*conn
	lines       int
	calls       uint64
	no          uint32
	cells       int
}

// Switch is a stand-in of a core switch.
type Switch struct {
	w        *World
	id       string
	addr     netip.AddrPort
	cell     int
	state    routing.State
	vanished bool
	dead     bool
	lines    []*conn
	standing map[uint64]bool
	open     map[uint64]*conn
}

// conn is one connection's other end.
type conn struct {
	w      *World
	link   *binarygateway.Conn
	number int
	sw     *Switch // nil: a caller's
	reader binarymessage.Reader
	open   []uint64 // callers': setups without an answer
	closed bool
	stuck  []byte
}

// New makes a world of so many switches.
func New(seed uint64, cfg *binarygateway.Config, mk routing.PolicyFactory, n int, j *binaryconformance.Judge) *World {
	w := &World{Judge: j, seed: seed, now: 1e6, switches: map[netip.AddrPort]*Switch{}, byLink: map[*binarygateway.Conn]*conn{}, Rate: 20, Hold: 800, Work: 30}
	cfg.FromUnixMillis = func(unix float64) float64 { return unix }
	w.M = binarygateway.New(w.now, cfg, mk, w)
	for range n {
		w.birth()
	}
	w.told()
	return w
}

// Chance draws a number from 0 to 1.
func (w *World) Chance() float64 {
	w.draws++
	return detrand.Float64(w.seed, w.draws)
}

func (w *World) hits(share float64) bool { return share > 0 && w.Chance() < share }

func (w *World) after(ms float64, do func()) { w.q.Schedule(w.now+ms, do) }

// birth puts a new switch up; it may take the address of one that has gone.
func (w *World) birth() *Switch {
	w.cells++
	cell := (w.cells - 1) % 4
	addr := w.free()
	s := &Switch{w: w, id: "s-" + strconv.Itoa(w.cells), addr: addr, cell: cell, state: routing.Ready,
		standing: map[uint64]bool{}, open: map[uint64]*conn{}}
	w.switches[s.addr] = s
	w.order = append(w.order, s)
	return s
}

// free is the first address that no switch of the list has: that of one that has gone comes again.
func (w *World) free() netip.AddrPort {
	for i := byte(1); ; i++ {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, i}), 5070)
		if !slices.ContainsFunc(w.order, func(s *Switch) bool { return s.addr == a && s.state != routing.Gone }) {
			return a
		}
	}
}

// told delivers the list.
func (w *World) told() {
	w.no++
	l := &dnsdiscovery.List{Serial: w.no, Complete: true}
	for _, s := range w.order {
		if s.state != routing.Gone {
			l.Targets = append(l.Targets, dnsdiscovery.Target{ID: s.id, Addr: s.addr, DestinationID: s.cell, State: s.state})
		}
		w.Judge.Listed(w.now, s.id, s.state == routing.Ready)
	}
	w.order = slices.DeleteFunc(w.order, func(s *Switch) bool { return s.state == routing.Gone })
	w.M.OnEndpointList(w.now, l)
}

// Run plays till a time on from the start, ms.
func (w *World) Run(ms float64) {
	end := w.now + ms
	if w.Stop == 0 {
		w.Stop = end
	} else {
		w.Stop += w.now
	}
	w.after(50, w.arrive)
	w.after(500, w.trouble)
	for w.now < end {
		w.M.Step(w.now)
		next := math.Min(math.Min(w.q.Next(), w.M.NextWakeup()), end)
		w.now = math.Max(w.now+0.01, next)
		w.q.Run(w.now)
	}
	w.Judge.Finish(w.now)
}

// Now is the time.
func (w *World) Now() float64 { return w.now }

// trouble has switches drain, die and vanish.
func (w *World) trouble() {
	w.after(500, w.trouble)
	f, now := &w.Faults, w.now
	if now > w.Stop {
		return
	}
	live := 0
	for _, s := range w.order {
		if s.state == routing.Ready && !s.dead && !s.vanished {
			live++
		}
	}
	for _, s := range slices.Clone(w.order) {
		if s.state != routing.Ready || s.dead || s.vanished || live < 2 {
			continue
		}
		switch {
		case w.hits(f.Drains / 2):
			s.state = routing.Draining
			w.told()
			live--
			w.after(1500, func() {
				s.die()
				s.state = routing.Gone
				w.birth()
				w.told()
			})
		case w.hits(f.Deaths / 2):
			live--
			s.die()
			w.after(1500, func() {
				s.state = routing.Gone
				w.birth()
				w.told()
			})
		case w.hits(f.Silents / 2):
			live--
			s.vanished = true
			w.Judge.Died(w.now, s.id)
			w.after(9000, func() {
				s.die()
				s.state = routing.Gone
				w.birth()
				w.told()
			})
		}
	}
}

// die ends a switch's process: its lines are reset and its calls cut.
func (s *Switch) die() {
	if s.dead {
		return
	}
	s.dead = true
	if !s.vanished {
		s.w.Judge.Died(s.w.now, s.id)
	}
	for _, c := range slices.Clone(s.lines) {
		c.reset()
	}
}

// arrive sends the next setup.
func (w *World) arrive() {
	if w.now > w.Stop {
		return
	}
	w.after(-math.Log(1-w.Chance())*1000/w.Rate, w.arrive)
	w.conns = slices.DeleteFunc(w.conns, func(c *conn) bool { return c.closed })
	if len(w.conns) < 3 {
		c := &conn{w: w}
		c.link = w.M.OnAccepted(w.now, c, netip.MustParseAddr("127.0.0.9"))
		if c.link == nil {
			return
		}
		w.conns = append(w.conns, c)
		w.Judge.Present(w.now, true)
	}
	c := w.conns[int(w.Chance()*float64(len(w.conns)))]
	w.calls++
	id := detrand.Hash(w.seed, 0xca11, w.calls)
	patience := 1500 + 1500*w.Chance()
	c.say(binarymessage.Setup, id, binarymessage.TextParam(binarymessage.Class, "voice"), binarymessage.TextParam(binarymessage.Timeout, strconv.Itoa(int(patience))),
		binarymessage.TextParam(binarymessage.Number, "n"+strconv.FormatUint(id%50, 10)), binarymessage.TextParam(binarymessage.Figures, "dest:"+strconv.Itoa(int(id%4))+";width:1;via:-1"),
		binarymessage.TextParam(binarymessage.Description, "offer"))
	c.open = append(c.open, id)
	if w.hits(w.Faults.Leaves) {
		w.after(w.Chance()*3*w.Work, func() {
			if !c.closed && slices.Contains(c.open, id) {
				c.open = slices.DeleteFunc(c.open, func(o uint64) bool { return o == id })
				c.say(binarymessage.Release, id, binarymessage.CauseParam(binarymessage.Normal))
			}
		})
	}
	if w.hits(w.Faults.Closes) {
		w.after(w.Chance()*2*w.Work, c.reset)
	}
}

// say sends a message to the gateway, maybe in pieces.
func (c *conn) say(kind byte, id uint64, of ...binarymessage.Param) {
	b := binarymessage.Append(nil, kind, id, of...)
	if c.sw == nil {
		c.w.Judge.FromCaller(c.w.now, b)
	} else {
		c.w.Judge.FromSwitch(c.w.now, c.sw.id, c.number, b)
	}
	c.raw(b)
}

func (c *conn) raw(b []byte) {
	w := c.w
	for len(b) > 0 && !c.closed {
		n := len(b)
		if w.Faults.Split {
			n = 1 + int(w.Chance()*float64(len(b)))
		}
		n = min(n, len(b))
		w.M.OnData(w.now, c.link, slices.Clone(b[:n]))
		b = b[n:]
	}
}

// reset ends a connection from this side.
func (c *conn) reset() {
	if c.closed {
		return
	}
	c.gone()
	c.w.M.OnClosed(c.w.now, c.link, binarygateway.ClosedReset)
}

// gone notes that a connection has ended.
func (c *conn) gone() {
	c.closed = true
	w := c.w
	if c.sw != nil {
		c.sw.lines = slices.DeleteFunc(c.sw.lines, func(o *conn) bool { return o == c })
		w.Judge.LineGone(w.now, c.sw.id, c.number)
		for id, o := range c.sw.open {
			if o == c {
				delete(c.sw.open, id)
			}
		}
		return
	}
	for _, id := range c.open {
		w.Judge.CallerGone(id)
	}
	w.Judge.Present(w.now, slices.ContainsFunc(w.conns, func(o *conn) bool { return !o.closed }))
}

// Write implements platform.Out.
func (w *World) Write(l *binarygateway.Conn, b []byte) bool {
	c := l.Socket.(*conn)
	if c.sw != nil && w.hits(w.Faults.Stuck) {
		c.stuck = b
		w.after(20+200*w.Chance(), func() {
			if !c.closed {
				c.stuck = nil
				c.take(b)
				w.M.OnFlushed(w.now, l)
			}
		})
		return false
	}
	c.take(b)
	return true
}

func (c *conn) take(b []byte) {
	if err := c.reader.Feed(b, func(m binarymessage.Message) bool {
		m = slices.Clone(m)
		if c.sw != nil {
			c.w.Judge.ToSwitch(c.w.now, c.sw.id, c.number, m)
			c.w.after(0.2, func() { c.sw.heard(c, m) })
		} else {
			c.w.Judge.ToCaller(c.w.now, m)
			c.w.after(0.2, func() { c.callerHeard(m) })
		}
		return true
	}); err != nil {
		panic(err)
	}
}

func (c *conn) callerHeard(m binarymessage.Message) {
	id := m.Call()
	c.open = slices.DeleteFunc(c.open, func(o uint64) bool { return o == id })
	if m.Type() == binarymessage.Answer && c.w.hits(c.w.Faults.Hangs) {
		c.w.after(c.w.Chance()*c.w.Hold, func() {
			if !c.closed {
				c.say(binarymessage.Release, id, binarymessage.CauseParam(binarymessage.Normal))
			}
		})
	}
}

// Dial implements platform.Out.
func (w *World) Dial(l *binarygateway.Conn, to netip.AddrPort) {
	w.lines++
	c := &conn{w: w, link: l, number: w.lines}
	l.Socket = c
	s := w.switches[to]
	w.after(0.3+w.Chance(), func() {
		switch {
		case c.closed || s != nil && s.vanished && !s.dead:
		case s == nil || s.dead:
			c.closed = true
			w.M.OnClosed(w.now, l, binarygateway.ClosedRefused)
		default:
			c.sw = s
			s.lines = append(s.lines, c)
			w.M.OnConnected(w.now, l)
			c.say(binarymessage.LoadState, 0, binarymessage.TextParam(binarymessage.Report, "free:20;size:40;busy:-1;q:-1"))
		}
	})
}

// Close implements platform.Out.
func (w *World) Close(l *binarygateway.Conn) {
	if c := l.Socket.(*conn); !c.closed {
		c.gone()
	}
}

// CloseWrite implements platform.Out.
func (w *World) CloseWrite(*binarygateway.Conn) {}

// SendGossip implements platform.Out.
func (w *World) SendGossip(int, []byte) {}

// heard is what a switch does with a message.
func (s *Switch) heard(c *conn, m binarymessage.Message) {
	w, f, id := c.w, &c.w.Faults, m.Call()
	if c.closed || s.vanished || s.dead {
		return
	}
	switch m.Type() {
	case binarymessage.Release:
		delete(s.open, id)
		delete(s.standing, id)
	case binarymessage.Setup:
		s.open[id] = c
		wait := w.Work * (0.5 + w.Chance())
		late := w.hits(f.Late)
		if late {
			wait = 1500 + 2000*w.Chance()
		}
		if w.hits(f.Never) {
			return
		}
		w.after(wait, func() { s.answer(c, id, late) })
	}
}

func (s *Switch) answer(c *conn, id uint64, late bool) {
	w, f := c.w, &c.w.Faults
	if c.closed || s.vanished || s.dead || s.open[id] != c && !late {
		return
	}
	report := binarymessage.TextParam(binarymessage.Report, "free:20;size:40;busy:0.4;q:1")
	switch {
	case w.hits(f.Reset):
		c.reset()
		return
	case w.hits(f.Spoilt):
		delete(s.open, id)
		c.raw([]byte{0xff, 0xff, 'n', 'o', 'i', 's', 'e'})
		return
	case w.hits(f.Full):
		delete(s.open, id)
		c.say(binarymessage.Release, id, binarymessage.CauseParam(binarymessage.NoCircuit), binarymessage.TextParam(binarymessage.Note, "cpu_full"), binarymessage.TextParam(binarymessage.QueueDelay, "50"), report)
		return
	case w.hits(f.Bad):
		delete(s.open, id)
		c.say(binarymessage.Release, id, binarymessage.CauseParam(binarymessage.Fault), report)
		return
	}
	if w.hits(f.Ahead) {
		c.say(binarymessage.Answer, id^0xffff, binarymessage.TextParam(binarymessage.Description, "another's"), report)
	}
	delete(s.open, id)
	s.standing[id] = true
	times := 1
	if w.hits(f.Twice) {
		times = 2
	}
	for range times {
		c.say(binarymessage.Answer, id, binarymessage.TextParam(binarymessage.Description, "answer"), report)
	}
	w.after(w.Hold*(0.5+w.Chance()), func() {
		if !s.standing[id] || s.dead || s.vanished {
			return
		}
		delete(s.standing, id)
		cause := byte(binarymessage.Normal)
		if w.hits(f.Cut) {
			cause = binarymessage.Failure
		}
		on := c
		if on.closed {
			if len(s.lines) == 0 {
				return
			}
			on = s.lines[0]
		}
		on.say(binarymessage.Release, id, binarymessage.CauseParam(cause), report)
	})
}
