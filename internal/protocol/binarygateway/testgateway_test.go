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

// scriptedPolicy is a routing policy controlled by a test: it attempts the endpoints in targets in turn and rejects the
// call when none is left.
type scriptedPolicy struct {
	host      routing.Host
	endpoints map[int]*routing.Endpoint
	targets   []int
	events    []string
	retries   bool // it attempts the next endpoint after a failed attempt, once the retry hold-off is over
	lastCall  *routing.Call
}

func (m *scriptedPolicy) OnEndpoints(_ float64, changed []*routing.Endpoint) {
	for _, endpoint := range changed {
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
func (m *scriptedPolicy) OnAnswer(float64, *routing.Attempt) { m.events = append(m.events, "answered") }
func (m *scriptedPolicy) OnAttemptEnd(now float64, attempt *routing.Attempt, finished bool) {
	m.events = append(
		m.events,
		fmt.Sprintf(
			"ended %d finished %v capacity %v busy %v retry %v",
			attempt.Outcome,
			finished,
			attempt.AtCapacity,
			attempt.NumberBusy,
			attempt.RetryAfter,
		),
	)
	if m.retries && !finished && !attempt.Call.Finished {
		m.host.ScheduleWakeup(now+500, attempt.Call)
	}
}
func (m *scriptedPolicy) OnHangup(float64, *routing.Call) { m.events = append(m.events, "hung up") }
func (m *scriptedPolicy) OnLoadReport(_ float64, endpoint *routing.Endpoint, ok, complete bool) {
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
func (m *scriptedPolicy) OnGossip(_ float64, gateway int, message []byte) {
	m.events = append(m.events, fmt.Sprintf("gossip of %d: %s", gateway, message))
}
func (m *scriptedPolicy) OnWakeup(_ float64, c *routing.Call) {
	if c != nil && !c.Finished {
		m.attemptNext(c)
	}
}

// testConn is the driver's side of a connection.
type testConn struct {
	gatewayConn *Conn
	address     netip.AddrPort // of the endpoint
	messages    []binarymessage.Message
	reader      binarymessage.Reader
	blocked     bool // writes stay pending
	closed      bool
	writeClosed bool
}

// testGateway is a gateway with a scripted policy and simulated connections.
type testGateway struct {
	*testing.T
	gateway   *Gateway
	policy    *scriptedPolicy
	now       float64
	dialed    []*testConn // connections to endpoints, in the order of their dials
	client    *testConn   // in tests with a single client
	holdDials bool        // dials do not complete by themselves
}

func (r *testGateway) Write(conn *Conn, b []byte) bool {
	tc := conn.Socket.(*testConn)
	if tc.blocked {
		return false
	}
	if err := tc.reader.Feed(b, func(m binarymessage.Message) bool {
		tc.messages = append(tc.messages, append(binarymessage.Message(nil), m...))
		return true
	}); err != nil {
		r.Errorf("malformed message written: %v", err)
	}
	return true
}

func (r *testGateway) Dial(conn *Conn, to netip.AddrPort) {
	tc := &testConn{gatewayConn: conn, address: to}
	conn.Socket = tc
	r.dialed = append(r.dialed, tc)
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

func readyTarget(id string, address netip.AddrPort, destinationID int) dnsdiscovery.Target {
	return dnsdiscovery.Target{ID: id, Addr: address, DestinationID: destinationID, State: routing.Ready}
}

func (r *testGateway) setEndpoints(serial uint32, targets ...dnsdiscovery.Target) {
	r.gateway.OnEndpointList(r.now, &dnsdiscovery.List{Serial: serial, Complete: true, Targets: targets})
}

// step ends a batch. Unless holdDials is set, dials complete first, and their endpoints send a LoadState message.
func (r *testGateway) step() {
	for range 3 {
		if !r.holdDials {
			for _, tc := range r.dialed {
				if !tc.gatewayConn.connected && !tc.gatewayConn.closed {
					r.gateway.OnConnected(r.now, tc.gatewayConn)
					r.gateway.OnData(r.now, tc.gatewayConn, binarymessage.Append(nil, binarymessage.LoadState, 0))
				}
			}
		}
		r.gateway.Step(r.now)
		r.now += 0.01
	}
}

// advance runs steps for the given time, in ms.
func (r *testGateway) advance(ms float64) {
	for end := r.now + ms; r.now < end; r.now += 10 {
		r.step()
	}
}

func (r *testGateway) newClient() *testConn {
	tc := &testConn{}
	tc.gatewayConn = r.gateway.OnAccepted(r.now, tc, clientAddr)
	return tc
}

// receive delivers a message from the peer of a connection.
func (r *testGateway) receive(tc *testConn, kind byte, call uint64, params ...binarymessage.Param) {
	r.gateway.OnData(r.now, tc.gatewayConn, binarymessage.Append(nil, kind, call, params...))
	r.step()
}

// receiveSetup delivers a setup from a caller.
func (r *testGateway) receiveSetup(tc *testConn, call uint64) {
	r.receive(tc, binarymessage.Setup, call,
		binarymessage.TextParam(binarymessage.Class, "voice"),
		binarymessage.TextParam(binarymessage.Timeout, "3000"),
		binarymessage.TextParam(binarymessage.Number, "7f3a9c21e0b4d655"),
		binarymessage.TextParam(binarymessage.Figures, "dest:0;width:1;via:-1"),
		binarymessage.TextParam(binarymessage.Description, "v=0"))
}

// lastMessage returns the latest message for a call that was written to the connection; nil: none.
func (tc *testConn) lastMessage(call uint64) binarymessage.Message {
	for i := len(tc.messages) - 1; i >= 0; i-- {
		if tc.messages[i].Call() == call {
			return tc.messages[i]
		}
	}
	return nil
}

// count returns how many messages of a type were written to the connection for a call.
func (tc *testConn) count(call uint64, kind byte) (n int) {
	for _, m := range tc.messages {
		if m.Call() == call && m.Type() == kind {
			n++
		}
	}
	return
}

// connOf returns the connection on which the latest setup of a call was sent.
func (r *testGateway) connOf(call uint64) *testConn {
	r.Helper()
	for i := len(r.dialed) - 1; i >= 0; i-- {
		if m := r.dialed[i].lastMessage(call); m != nil && m.Type() == binarymessage.Setup {
			return r.dialed[i]
		}
	}
	r.Fatalf("no setup of call %x was sent", call)
	return nil
}

func (r *testGateway) expect(m binarymessage.Message, kind, cause byte) {
	r.Helper()
	if m == nil || m.Type() != kind || m.Cause() != cause {
		r.Errorf("got %x, want type %d cause %d", []byte(m), kind, cause)
	}
}

var testDescription = binarymessage.TextParam(binarymessage.Description, "v=0 answer")
