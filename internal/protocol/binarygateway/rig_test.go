package binarygateway

import (
	"fmt"
	"net/netip"
	"testing"

	"cobaltpier/internal/decision/intake"
	"cobaltpier/internal/deployment"
	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/protocol/dnsdiscovery"
	"cobaltpier/internal/protocol/endpointset"
	"cobaltpier/internal/routing"
)

var (
	addrA  = netip.MustParseAddrPort("127.0.0.3:5070")
	addrB  = netip.MustParseAddrPort("127.0.0.4:5070")
	callin = netip.MustParseAddr("127.0.0.9")
)

// mind is a module that a test plays by hand: it rings the pools of to in turn and gives up when there is none left.
type mind struct {
	h     routing.Host
	pools map[int]*routing.Pool
	to    []int
	heard []string
	again bool // it rings the next pool after an end, once the clear wait is over
	last  *routing.Contact
}

func (m *mind) Listed(_ float64, ps []*routing.Pool) {
	for _, p := range ps {
		if p.State != routing.Gone || m.pools[p.Number] == p {
			m.pools[p.Number] = p
		}
	}
}
func (m *mind) Offered(now float64, c *routing.Contact) {
	m.heard = append(m.heard, "offered")
	m.last = c
	m.next(c)
}
func (m *mind) next(c *routing.Contact) {
	if len(m.to) == 0 {
		m.h.Defer(c, 300)
		return
	}
	p := m.pools[m.to[0]]
	m.to = m.to[1:]
	m.h.Ring(c, p, 1e9)
}
func (m *mind) Stood(float64, *routing.Ring) { m.heard = append(m.heard, "stood") }
func (m *mind) Ended(now float64, r *routing.Ring, closed bool) {
	m.heard = append(m.heard, fmt.Sprintf("ended %d closed %v agent %v engaged %v wait %v", r.End, closed, r.NoAgent, r.Engaged, r.Wait))
	if m.again && !closed && !r.Contact.Over {
		m.h.Wake(now+500, r.Contact)
	}
}
func (m *mind) Left(float64, *routing.Contact) { m.heard = append(m.heard, "left") }
func (m *mind) Reported(_ float64, p *routing.Pool, ok, full bool) {
	m.heard = append(m.heard, fmt.Sprintf("report %d free %v of %v", p.Number, p.Report.Free, p.Report.Agents))
}
func (m *mind) Told(_ float64, from int, b []byte) {
	m.heard = append(m.heard, fmt.Sprintf("told %d %s", from, b))
}
func (m *mind) Woken(_ float64, c *routing.Contact) {
	if c != nil && !c.Over {
		m.next(c)
	}
}

// wire is the driver's end of one link.
type wire struct {
	link   *Link
	to     netip.AddrPort // a line's
	got    []binarymessage.Message
	reader binarymessage.Reader
	stuck  bool // takes nothing
	shut   bool
	ended  bool
}

// rig is a machine with a hand-played module and sockets.
type rig struct {
	*testing.T
	m     *Machine
	mod   *mind
	now   float64
	wires []*wire // lines, in the order of their dials
	mute  bool    // dials do not come up by themselves
}

func (r *rig) Write(l *Link, b []byte) bool {
	w := l.Conn.(*wire)
	if w.stuck {
		return false
	}
	if err := w.reader.Feed(b, func(m binarymessage.Message) bool {
		w.got = append(w.got, append(binarymessage.Message(nil), m...))
		return true
	}); err != nil {
		r.Errorf("what was written is no message: %v", err)
	}
	return true
}

func (r *rig) Dial(l *Link, to netip.AddrPort) {
	w := &wire{link: l, to: to}
	l.Conn = w
	r.wires = append(r.wires, w)
}

func (r *rig) Shut(l *Link) { l.Conn.(*wire).shut = true }

func (r *rig) CloseWrite(l *Link) { l.Conn.(*wire).ended = true }

func (r *rig) Tell(int, []byte) {}

func newRig(t *testing.T) *rig {
	r := &rig{T: t, mod: &mind{pools: map[int]*routing.Pool{}}, now: 1e6}
	set := &routing.Settings{Gateways: 2, Me: 0, Seed: 3, Tick: 1, MaxRings: 5, MayCancel: true, MayWait: true, ClearWait: 500, Slack: 20,
		Skills: []*routing.Skill{{Name: "voice", Target: 2000, Patience: 9000, Value: 1, Repeat: true}}}
	r.m = New(r.now, &Config{Set: set, Links: deployment.Links{ConnectTimeout: 500}, Sockets: 256,
		Margin: 5, Gate: intake.Gate{Most: 1000}, Clock: func(unix float64) float64 { return unix }}, func(_ *routing.Settings, h routing.Host) endpointset.Module {
		r.mod.h = h
		return r.mod
	}, r)
	r.list(1, ready("a", addrA, 0), ready("b", addrB, 1))
	r.turn()
	return r
}

func ready(id string, a netip.AddrPort, cell int) dnsdiscovery.Target {
	return dnsdiscovery.Target{ID: id, Addr: a, Cell: cell, State: routing.Ready}
}

func (r *rig) list(no uint32, of ...dnsdiscovery.Target) {
	r.m.Listed(r.now, &dnsdiscovery.List{No: no, Whole: true, Targets: of})
}

// turn ends a batch; lines that were dialled come up, and their switches speak first.
func (r *rig) turn() {
	for range 3 {
		if !r.mute {
			for _, w := range r.wires {
				if !w.link.isUp && !w.link.closed {
					r.m.Connected(r.now, w.link)
					r.m.Received(r.now, w.link, binarymessage.Append(nil, binarymessage.State, 0))
				}
			}
		}
		r.m.Turn(r.now)
		r.now += 0.01
	}
}

// pass lets time go on.
func (r *rig) pass(ms float64) {
	for end := r.now + ms; r.now < end; r.now += 10 {
		r.turn()
	}
}

func (r *rig) caller() *wire {
	w := &wire{}
	w.link = r.m.Accepted(r.now, w, callin)
	return w
}

// says brings a message of the other side of a link.
func (r *rig) says(w *wire, kind byte, call uint64, of ...binarymessage.Param) {
	r.m.Received(r.now, w.link, binarymessage.Append(nil, kind, call, of...))
	r.turn()
}

// setUp brings a caller's set-up.
func (r *rig) setUp(w *wire, call uint64, of ...binarymessage.Param) {
	r.says(w, binarymessage.SetUp, call, append([]binarymessage.Param{binarymessage.Text(binarymessage.Class, "voice"), binarymessage.Text(binarymessage.Patience, "3000"),
		binarymessage.Text(binarymessage.Number, "7f3a9c21e0b4d655"), binarymessage.Text(binarymessage.Figures, "dest:0;width:1;via:-1"),
		binarymessage.Text(binarymessage.Description, "v=0")}, of...)...)
}

// last is the latest message that a link was sent for a call, nil: none.
func (w *wire) last(call uint64) binarymessage.Message {
	for i := len(w.got) - 1; i >= 0; i-- {
		if w.got[i].Call() == call {
			return w.got[i]
		}
	}
	return nil
}

// count is how many messages of a type a link was sent for a call.
func (w *wire) count(call uint64, kind byte) (n int) {
	for _, m := range w.got {
		if m.Call() == call && m.Type() == kind {
			n++
		}
	}
	return
}

// on is the line that a set-up of a call went out on last.
func (r *rig) on(call uint64) *wire {
	r.Helper()
	for i := len(r.wires) - 1; i >= 0; i-- {
		if m := r.wires[i].last(call); m != nil && m.Type() == binarymessage.SetUp {
			return r.wires[i]
		}
	}
	r.Fatalf("no set-up of %x is out", call)
	return nil
}

func (r *rig) wants(m binarymessage.Message, kind, cause byte) {
	r.Helper()
	if m == nil || m.Type() != kind || m.Cause() != cause {
		r.Errorf("got %x, want type %d cause %d", []byte(m), kind, cause)
	}
}

var said = binarymessage.Text(binarymessage.Description, "v=0 answer")
