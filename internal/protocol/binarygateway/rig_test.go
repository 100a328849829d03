package binarygateway

import (
	"fmt"
	"net/netip"
	"testing"

	"cobaltpier/internal/decision/loadshed"
	"cobaltpier/internal/deployment"
	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/protocol/dnsdiscovery"
	"cobaltpier/internal/routing"
)

var (
	addrA  = netip.MustParseAddrPort("127.0.0.3:5070")
	addrB  = netip.MustParseAddrPort("127.0.0.4:5070")
	callin = netip.MustParseAddr("127.0.0.9")
)

// mind is a module that a test plays by hand: it attempts the endpoints of to in turn and gives up when there is none left.
type mind struct {
	h     routing.Host
	pools map[int]*routing.Endpoint
	to    []int
	heard []string
	again bool // it attempts the next endpoint after an end, once the retry hold-off is over
	last  *routing.Call
}

func (m *mind) OnEndpoints(_ float64, ps []*routing.Endpoint) {
	for _, endpoint := range ps {
		if endpoint.State != routing.Gone || m.pools[endpoint.DestinationID] == endpoint {
			m.pools[endpoint.DestinationID] = endpoint
		}
	}
}
func (m *mind) OnCall(now float64, c *routing.Call) {
	m.heard = append(m.heard, "offered")
	m.last = c
	m.next(c)
}
func (m *mind) next(c *routing.Call) {
	if len(m.to) == 0 {
		m.h.Reject(c, 300)
		return
	}
	endpoint := m.pools[m.to[0]]
	m.to = m.to[1:]
	m.h.StartAttempt(c, endpoint, 1e9)
}
func (m *mind) OnAnswer(float64, *routing.Attempt) { m.heard = append(m.heard, "stood") }
func (m *mind) OnAttemptEnd(now float64, attempt *routing.Attempt, closed bool) {
	m.heard = append(m.heard, fmt.Sprintf("ended %d closed %v agent %v engaged %v wait %v", attempt.Outcome, closed, attempt.AtCapacity, attempt.NumberBusy, attempt.RetryAfter))
	if m.again && !closed && !attempt.Call.Finished {
		m.h.ScheduleWakeup(now+500, attempt.Call)
	}
}
func (m *mind) OnHangup(float64, *routing.Call) { m.heard = append(m.heard, "left") }
func (m *mind) OnLoadReport(_ float64, endpoint *routing.Endpoint, ok, full bool) {
	m.heard = append(m.heard, fmt.Sprintf("report %d free %v of %v", endpoint.DestinationID, endpoint.LoadReport.Free, endpoint.LoadReport.Capacity))
}
func (m *mind) OnGossip(_ float64, from int, b []byte) {
	m.heard = append(m.heard, fmt.Sprintf("told %d %s", from, b))
}
func (m *mind) OnWakeup(_ float64, c *routing.Call) {
	if c != nil && !c.Finished {
		m.next(c)
	}
}

// wire is the driver's end of one link.
type wire struct {
	link   *Conn
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
	m     *Gateway
	mod   *mind
	now   float64
	wires []*wire // lines, in the order of their dials
	mute  bool    // dials do not come up by themselves
}

func (r *rig) Write(conn *Conn, b []byte) bool {
	w := conn.Socket.(*wire)
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

func (r *rig) Dial(conn *Conn, to netip.AddrPort) {
	w := &wire{link: conn, to: to}
	conn.Socket = w
	r.wires = append(r.wires, w)
}

func (r *rig) Close(conn *Conn) { conn.Socket.(*wire).shut = true }

func (r *rig) CloseWrite(conn *Conn) { conn.Socket.(*wire).ended = true }

func (r *rig) SendGossip(int, []byte) {}

func newRig(t *testing.T) *rig {
	r := &rig{T: t, mod: &mind{pools: map[int]*routing.Endpoint{}}, now: 1e6}
	set := &routing.Settings{Gateways: 2, GatewayIndex: 0, Seed: 3, TickInterval: 1, MaxAttempts: 5, CancelEnabled: true, RetryAfterEnabled: true, RetryHoldOff: 500, AnswerGrace: 20,
		Classes: []*routing.Class{{Name: "voice", LatencyObjective: 2000, Timeout: 9000, Weight: 1, Idempotent: true}}}
	r.m = New(r.now, &Config{Settings: set, Connections: deployment.Connections{ConnectTimeout: 500}, MaxDescriptors: 256,
		AnswerMargin: 5, LoadShedding: loadshed.Gate{MaxPending: 1000}, FromUnixMillis: func(unix float64) float64 { return unix }}, func(_ *routing.Settings, h routing.Host) routing.Policy {
		r.mod.h = h
		return r.mod
	}, r)
	r.list(1, ready("a", addrA, 0), ready("b", addrB, 1))
	r.turn()
	return r
}

func ready(id string, a netip.AddrPort, cell int) dnsdiscovery.Target {
	return dnsdiscovery.Target{ID: id, Addr: a, DestinationID: cell, State: routing.Ready}
}

func (r *rig) list(no uint32, of ...dnsdiscovery.Target) {
	r.m.OnEndpointList(r.now, &dnsdiscovery.List{Serial: no, Complete: true, Targets: of})
}

// turn ends a batch; lines that were dialled come up, and their switches speak first.
func (r *rig) turn() {
	for range 3 {
		if !r.mute {
			for _, w := range r.wires {
				if !w.link.connected && !w.link.closed {
					r.m.OnConnected(r.now, w.link)
					r.m.OnData(r.now, w.link, binarymessage.Append(nil, binarymessage.LoadState, 0))
				}
			}
		}
		r.m.Step(r.now)
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
	w.link = r.m.OnAccepted(r.now, w, callin)
	return w
}

// says brings a message of the other side of a link.
func (r *rig) says(w *wire, kind byte, call uint64, of ...binarymessage.Param) {
	r.m.OnData(r.now, w.link, binarymessage.Append(nil, kind, call, of...))
	r.turn()
}

// setUp brings a caller's setup.
func (r *rig) setUp(w *wire, call uint64, of ...binarymessage.Param) {
	r.says(w, binarymessage.Setup, call, append([]binarymessage.Param{binarymessage.TextParam(binarymessage.Class, "voice"), binarymessage.TextParam(binarymessage.Timeout, "3000"),
		binarymessage.TextParam(binarymessage.Number, "7f3a9c21e0b4d655"), binarymessage.TextParam(binarymessage.Figures, "dest:0;width:1;via:-1"),
		binarymessage.TextParam(binarymessage.Description, "v=0")}, of...)...)
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

// on is the line that a setup of a call went out on last.
func (r *rig) on(call uint64) *wire {
	r.Helper()
	for i := len(r.wires) - 1; i >= 0; i-- {
		if m := r.wires[i].last(call); m != nil && m.Type() == binarymessage.Setup {
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

var said = binarymessage.TextParam(binarymessage.Description, "v=0 answer")
