// Package binarygateway is the platform's door of a gateway, without I/O or clock: callers' connections, lines to core
// switches, calls and standing calls. Bytes and times come in through methods; bytes, connects and closes go out through
// Out. The call control is the one that the edge has (package control), and so are the guards of the rules.
//
// A contact passes caller link, intake, module, line; what comes back runs the other way.
package binarygateway

import (
	"net/netip"
	"slices"

	"cobaltpier/internal/decision/intake"
	"cobaltpier/internal/deployment"
	"cobaltpier/internal/detrand"
	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/protocol/callcontrol"
	"cobaltpier/internal/protocol/dnsdiscovery"
	"cobaltpier/internal/protocol/endpointset"
	"cobaltpier/internal/routing"
)

//tally:decisions

// Out is what a machine asks of its driver.
type Out interface {
	// Write hands bytes to a link's socket; it tells whether all of them have left, else Left follows.
	Write(l *Link, b []byte) (left bool)
	// Dial opens a link; Connected or Closed follows.
	Dial(l *Link, to netip.AddrPort)
	// Shut closes a link; nothing follows. The machine does not use it any more.
	Shut(l *Link)
	// CloseWrite ends a caller's link in order, once all that was written has left: nothing more is written to it.
	CloseWrite(l *Link)
	// Tell sends a message of at most 256 bytes to another gateway, by its number.
	Tell(gateway int, data []byte)
}

// Config is what a machine is told at start.
type Config struct {
	Set     *routing.Settings
	Links   deployment.Links
	Sockets int     // descriptors
	Margin  float64 // ms: final answers leave so long before the caller's patience ends
	Gate    intake.Gate
	Off     [6]bool // guards that are switched off, by rule: only to show that the checker sees what they prevent
	// Clock turns the Unix ms of a start into the clock that is handed in.
	Clock func(unix float64) float64
}

// Machine is one gateway's door to the platform.
type Machine struct {
	*callcontrol.Control
	Wire Wire
	// Tap, where it is set, sees each message as it comes or is handed to a socket.
	Tap func(l *Link, out bool, msg binarymessage.Message)

	cfg     *Config
	out     Out
	calls   map[uint64]*call // by id: open and standing
	trunks  map[*routing.Pool]*trunk
	clients map[netip.Addr]*client
	callers []*Link // callers' connections
	tests   []test  // that wait for the gateway to be ready
	dirty   []*Link
	resumed int // standing calls that were told by their callers
	started float64
	ready   bool
	leaving bool
	draws   uint64
}

// Wire counts what was seen on the connections.
type Wire struct {
	Accepted, Evicted, Spent, Unreadable, Odd, Twice             uint64 // callers'
	Dialled, Up, Refused, Silent, Lost, Broken, Withdrawn, Stray uint64 // lines'
	Cut, Resumed, Owed, Unpaid, Crossed, Dead, Released          uint64 // standing calls
}

// test is a caller's question whether calls are taken here.
type test struct {
	link *Link
	call uint64
}

const (
	readyBy = 1000.0 // ms: tests are passed by then even if no switch was reached
	tidy    = 250.0  // ms between two looks at what is left over
	tellsOn = 4      // a switch tells its state on no more connections
)

// New makes a machine; its module comes from mk.
func New(now float64, cfg *Config, mk endpointset.Maker, out Out) *Machine {
	m := &Machine{Control: callcontrol.New(&callcontrol.Config{Set: cfg.Set, Margin: cfg.Margin, Gate: cfg.Gate, Off: cfg.Off}), cfg: cfg, out: out,
		calls: map[uint64]*call{}, trunks: map[*routing.Pool]*trunk{}, clients: map[netip.Addr]*client{}, started: now}
	m.Now = now
	m.Mod = mk(cfg.Set, m)
	m.Timers.Set(now+tidy, m.tidy)
	return m
}

// Probe implements contact.Host: a test shows no load, so there is nothing to ask.
func (m *Machine) Probe(p *routing.Pool) {
	m.Timers.Set(m.Now, func() { m.Mod.Reported(m.Now, p, m.trunks[p] != nil && m.trunks[p].up() > 0, false) })
}

// Leave has tests fail from now on: whoever asks is to go elsewhere.
func (m *Machine) Leave() { m.leaving = true }

// DeferAll answers whatever is still held, before the process ends.
func (m *Machine) DeferAll(now float64) {
	m.Close()
	m.Turn(now) // what has just come is taken and deferred
	var of []*call
	for _, k := range m.calls {
		if k.at == nil {
			of = append(of, k)
		}
	}
	slices.SortFunc(of, byID)
	for _, k := range of {
		k.Defers(0)
	}
	m.Turn(now)
}

// Callers is how many callers' links are there, and on how many of them something has not left.
func (m *Machine) Callers() (unsent, open int) {
	for _, l := range m.callers {
		if f := l.facts(); f.Unsent {
			unsent++
		}
	}
	return unsent, len(m.callers)
}

// CloseWrite ends callers' links in order: what crosses it is sent once more elsewhere.
func (m *Machine) CloseWrite() {
	for _, l := range m.callers {
		l.writeClosed = true
		m.out.CloseWrite(l)
	}
}

// Tell implements contact.Host.
func (m *Machine) Tell(to int, data []byte) { m.out.Tell(to, data) }

// Peer takes another gateway's message.
func (m *Machine) Peer(now float64, from int, data []byte) {
	m.Now = now
	if len(data) <= 256 && from >= 0 && from < m.cfg.Set.Gateways && from != m.cfg.Set.Me {
		m.Mod.Told(now, from, data)
	}
}

// Listed takes a list. What it says of a pool counts from now on (rule 3): set-ups to a pool that drains or is gone that
// wait here are withdrawn. The lines to a switch that is gone are closed, and calls there have ended with it; one with a
// new id is another switch, whatever its address.
func (m *Machine) Listed(now float64, l *dnsdiscovery.List) {
	m.Now = now
	entries := make([]endpointset.Entry[string], len(l.Targets))
	for i, t := range l.Targets {
		entries[i] = endpointset.Entry[string]{ID: t.ID, Number: t.Cell, State: t.State}
		if t.Started > 0 {
			entries[i].Since = m.cfg.Clock(t.Started)
		}
		if p := m.Pools.Pool(t.ID); p != nil && t.State == routing.Gone && entries[i].Number < 0 {
			entries[i].Number = p.Number
		}
	}
	changed := m.Pools.Apply(entries, l.Whole)
	for _, t := range l.Targets {
		p := m.Pools.Pool(t.ID)
		if k := m.trunks[p]; k == nil && p.State != routing.Gone {
			m.trunks[p] = newTrunk(m, p, t.Addr)
		} else if k != nil && t.Addr.IsValid() && k.to != t.Addr && p.State != routing.Gone {
			k.move(t.Addr)
		}
	}
	for _, p := range changed {
		t := m.trunks[p]
		if t == nil {
			continue
		}
		if p.State != routing.Ready {
			t.withdraw()
		}
		if p.State == routing.Gone {
			t.over()
			delete(m.trunks, p)
		} else if p.Since > t.since {
			t.restarted(p.Since)
		}
	}
	m.Mod.Listed(now, changed)
	for _, p := range changed {
		if t := m.trunks[p]; t != nil {
			t.warm()
		} else {
			m.Pools.Forget(p)
		}
	}
}

// lines is how many lines each switch gets.
func (m *Machine) lines() int { return intake.Lines(m.cfg.Sockets, len(m.trunks), tellsOn) }

// Turn ends a batch: timers that are due run, what came is offered to the module, and what was made leaves.
func (m *Machine) Turn(now float64) {
	m.Batch(now, nil)
	for len(m.dirty) > 0 {
		dirty := m.dirty
		m.dirty = nil
		for _, l := range dirty {
			l.flush()
		}
	}
}

// Next is when Turn is wanted, on the clock that was handed in.
func (m *Machine) Next() float64 {
	if len(m.dirty) > 0 {
		return m.Now
	}
	return m.Control.Next()
}

// tidy looks after what nobody else does: connections that carry nothing, releases that could not be sent, tests.
func (m *Machine) tidy() {
	m.Timers.Set(m.Now+tidy, m.tidy)
	m.isReady()
	for _, l := range slices.Clone(m.callers) {
		if f := l.facts(); f.Spent(m.Now) {
			m.Wire.Spent++
			l.shut()
		}
	}
	for a, c := range m.clients {
		c.forget(m.Now)
		if len(c.links) == 0 && len(c.owed) == 0 && c.standing == 0 {
			delete(m.clients, a)
		}
	}
	for _, p := range m.inOrder() {
		m.trunks[p].look()
	}
}

// inOrder is the pools that have a trunk, in the order of their ids.
func (m *Machine) inOrder() []*routing.Pool {
	of := make([]*routing.Pool, 0, len(m.trunks))
	for p := range m.trunks {
		of = append(of, p)
	}
	slices.SortFunc(of, func(a, b *routing.Pool) int {
		if m.Pools.ID(a) < m.Pools.ID(b) {
			return -1
		}
		return 1
	})
	return of
}

// isReady passes the tests that wait once calls can be taken.
func (m *Machine) isReady() bool {
	for _, t := range m.trunks {
		m.ready = m.ready || t.up() > 0
	}
	m.ready = m.ready || m.Now > m.started+readyBy
	if m.ready {
		passed := byte(1)
		if m.leaving {
			passed = 0
		}
		for _, t := range m.tests {
			t.link.send(binarymessage.Append(nil, binarymessage.Tested, t.call, binarymessage.Why(passed)))
		}
		m.tests = nil
	}
	return m.ready
}

// chance draws a number from 0 to 1.
func (m *Machine) chance() float64 {
	m.draws++
	return detrand.Of(m.cfg.Set.Seed, 0x6c696e6b, m.draws)
}

// Open is how much the machine holds: for tests of what is left after churn.
func (m *Machine) Open() (calls, trunks, clients, links, timers int) {
	return len(m.calls), len(m.trunks), len(m.clients), len(m.callers), m.Timers.Len()
}

// Remembered is how many calls that are over here are remembered: given up at their switch, ended and unknown.
func (m *Machine) Remembered() (late, ends int) {
	for _, t := range m.trunks {
		late += len(t.late)
		ends += len(t.ends)
	}
	return
}

// Stood is how many calls stand, resumed ones included.
func (m *Machine) Stood() int {
	_, n := m.Held()
	return n + m.resumed
}

// report reads a load report (`a:1;b:2`) over the pool's older one. It tells whether figures of the processor came. What
// makes no sense is passed over.
func (m *Machine) report(p *routing.Pool, msg binarymessage.Message) (any, full bool) {
	v, ok := msg.Get(binarymessage.Report)
	if !ok {
		return false, false
	}
	for f := range fieldsOf(string(v)) {
		if n, ok := figure(f.value); ok {
			if deployment.Figure(&p.Report, f.name, n) {
				full = true
			}
		}
	}
	return true, full
}
