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
	addrA      = netip.MustParseAddrPort("127.0.0.3:5070")
	addrB      = netip.MustParseAddrPort("127.0.0.4:5070")
	clientAddr = netip.MustParseAddr("127.0.0.9")
)

// scriptedPolicy is a module that a test plays by hand: it attempts the endpoints of to in turn and gives up when there
// is none left.
type scriptedPolicy struct {
	host      routing.Host
	endpoints map[int]*routing.Endpoint
	targets   []int
	events    []string
	retries   bool // it attempts the next endpoint after an end, once the retry hold-off is over
	lastCall  *routing.Call
}

func (m *scriptedPolicy) OnEndpoints(_ float64, ps []*routing.Endpoint) {
	for _, endpoint := range ps {
		if endpoint.State != routing.Gone || m.endpoints[endpoint.DestinationID] == endpoint {
			m.endpoints[endpoint.DestinationID] = endpoint
		}
	}
}
func (m *scriptedPolicy) OnCall(now float64, c *routing.Call) {
	m.events = append(m.events, "offered")
	m.lastCall = c
	m.attemptNext(c)
}
func (m *scriptedPolicy) attemptNext(c *routing.Call) {
	if len(m.targets) == 0 {
		m.host.Reject(c, 300)
		return
	}
	endpoint := m.endpoints[m.targets[0]]
	m.targets = m.targets[1:]
	m.host.StartAttempt(c, endpoint, 1e9)
}
func (m *scriptedPolicy) OnAnswer(float64, *routing.Attempt) { m.events = append(m.events, "stood") }
func (m *scriptedPolicy) OnAttemptEnd(now float64, attempt *routing.Attempt, closed bool) {
	m.events = append(
		m.events,
		fmt.Sprintf(
			"ended %d closed %v agent %v engaged %v wait %v",
			attempt.Outcome,
			closed,
			attempt.AtCapacity,
			attempt.NumberBusy,
			attempt.RetryAfter,
		),
	)
	if m.retries && !closed && !attempt.Call.Finished {
		m.host.ScheduleWakeup(now+500, attempt.Call)
	}
}
func (m *scriptedPolicy) OnHangup(float64, *routing.Call) { m.events = append(m.events, "left") }
func (m *scriptedPolicy) OnLoadReport(_ float64, endpoint *routing.Endpoint, ok, full bool) {
	m.events = append(
		m.events,
		fmt.Sprintf(
			"report %d free %v of %v",
			endpoint.DestinationID,
			endpoint.LoadReport.Free,
			endpoint.LoadReport.Capacity,
		),
	)
}
func (m *scriptedPolicy) OnGossip(_ float64, from int, b []byte) {
	m.events = append(m.events, fmt.Sprintf("told %d %s", from, b))
}
func (m *scriptedPolicy) OnWakeup(_ float64, c *routing.Call) {
	if c != nil && !c.Finished {
		m.attemptNext(c)
	}
}

// testConn is the driver's end of one link.
type testConn struct {
	conn        *Conn
	address     netip.AddrPort // a line's
	messages    []binarymessage.Message
	reader      binarymessage.Reader
	blocked     bool // takes nothing
	closed      bool
	writeClosed bool
}

// testGateway is a machine with a hand-played module and sockets.
type testGateway struct {
	*testing.T
	gateway   *Gateway
	policy    *scriptedPolicy
	now       float64
	dialed    []*testConn // lines, in the order of their dials
	client    *testConn   // of tests with one
	holdDials bool        // dials do not come up by themselves
}

func (r *testGateway) Write(conn *Conn, b []byte) bool {
	w := conn.Socket.(*testConn)
	if w.blocked {
		return false
	}
	if err := w.reader.Feed(b, func(m binarymessage.Message) bool {
		w.messages = append(w.messages, append(binarymessage.Message(nil), m...))
		return true
	}); err != nil {
		r.Errorf("what was written is no message: %v", err)
	}
	return true
}

func (r *testGateway) Dial(conn *Conn, to netip.AddrPort) {
	w := &testConn{conn: conn, address: to}
	conn.Socket = w
	r.dialed = append(r.dialed, w)
}

func (r *testGateway) Close(conn *Conn) { conn.Socket.(*testConn).closed = true }

func (r *testGateway) CloseWrite(conn *Conn) { conn.Socket.(*testConn).writeClosed = true }

func (r *testGateway) SendGossip(int, []byte) {}

func newTestGateway(t *testing.T) *testGateway {
	r := &testGateway{T: t, policy: &scriptedPolicy{endpoints: map[int]*routing.Endpoint{}}, now: 1e6}
	set := &routing.Settings{
		Gateways:          2,
		GatewayIndex:      0,
		Seed:              3,
		TickInterval:      1,
		MaxAttempts:       5,
		CancelEnabled:     true,
		RetryAfterEnabled: true,
		RetryHoldOff:      500,
		AnswerGrace:       20,
		Classes: []*routing.Class{
			{Name: "voice", LatencyObjective: 2000, Timeout: 9000, Weight: 1, Idempotent: true},
		},
	}
	r.gateway = New(
		r.now,
		&Config{
			Settings:       set,
			Connections:    deployment.Connections{ConnectTimeout: 500},
			MaxDescriptors: 256,
			AnswerMargin:   5,
			LoadShedding:   loadshed.Gate{MaxPending: 1000},
			FromUnixMillis: func(unix float64) float64 { return unix },
		},
		func(_ *routing.Settings, h routing.Host) routing.Policy {
			r.policy.host = h
			return r.policy
		},
		r,
	)
	r.setEndpoints(1, readyTarget("a", addrA, 0), readyTarget("b", addrB, 1))
	r.step()
	return r
}

func readyTarget(id string, a netip.AddrPort, cell int) dnsdiscovery.Target {
	return dnsdiscovery.Target{ID: id, Addr: a, DestinationID: cell, State: routing.Ready}
}

func (r *testGateway) setEndpoints(no uint32, of ...dnsdiscovery.Target) {
	r.gateway.OnEndpointList(r.now, &dnsdiscovery.List{Serial: no, Complete: true, Targets: of})
}

// step ends a batch; lines that were dialled come up, and their switches speak first.
func (r *testGateway) step() {
	for range 3 {
		if !r.holdDials {
			for _, w := range r.dialed {
				if !w.conn.connected && !w.conn.closed {
					r.gateway.OnConnected(r.now, w.conn)
					r.gateway.OnData(r.now, w.conn, binarymessage.Append(nil, binarymessage.LoadState, 0))
				}
			}
		}
		r.gateway.Step(r.now)
		r.now += 0.01
	}
}

// advance lets time go on.
func (r *testGateway) advance(ms float64) {
	for end := r.now + ms; r.now < end; r.now += 10 {
		r.step()
	}
}

func (r *testGateway) newClient() *testConn {
	w := &testConn{}
	w.conn = r.gateway.OnAccepted(r.now, w, clientAddr)
	return w
}

// receive brings a message of the other side of a link.
func (r *testGateway) receive(w *testConn, kind byte, call uint64, of ...binarymessage.Param) {
	r.gateway.OnData(r.now, w.conn, binarymessage.Append(nil, kind, call, of...))
	r.step()
}

// receiveSetup brings a caller's setup.
func (r *testGateway) receiveSetup(w *testConn, call uint64) {
	r.receive(w, binarymessage.Setup, call,
		binarymessage.TextParam(binarymessage.Class, "voice"),
		binarymessage.TextParam(binarymessage.Timeout, "3000"),
		binarymessage.TextParam(binarymessage.Number, "7f3a9c21e0b4d655"),
		binarymessage.TextParam(binarymessage.Figures, "dest:0;width:1;via:-1"),
		binarymessage.TextParam(binarymessage.Description, "v=0"))
}

// lastMessage is the latest message that a link was sent for a call, nil: none.
func (w *testConn) lastMessage(call uint64) binarymessage.Message {
	for i := len(w.messages) - 1; i >= 0; i-- {
		if w.messages[i].Call() == call {
			return w.messages[i]
		}
	}
	return nil
}

// count is how many messages of a type a link was sent for a call.
func (w *testConn) count(call uint64, kind byte) (n int) {
	for _, m := range w.messages {
		if m.Call() == call && m.Type() == kind {
			n++
		}
	}
	return
}

// connOf is the line that a setup of a call went out on last.
func (r *testGateway) connOf(call uint64) *testConn {
	r.Helper()
	for i := len(r.dialed) - 1; i >= 0; i-- {
		if m := r.dialed[i].lastMessage(call); m != nil && m.Type() == binarymessage.Setup {
			return r.dialed[i]
		}
	}
	r.Fatalf("no setup of %x is out", call)
	return nil
}

func (r *testGateway) expect(m binarymessage.Message, kind, cause byte) {
	r.Helper()
	if m == nil || m.Type() != kind || m.Cause() != cause {
		r.Errorf("got %x, want type %d cause %d", []byte(m), kind, cause)
	}
}

var testDescription = binarymessage.TextParam(binarymessage.Description, "v=0 answer")
