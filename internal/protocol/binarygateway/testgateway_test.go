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

// scriptedPolicy is a routing policy controlled by a test: it attempts the destinations in attemptOrder in turn and
// rejects the call when none is left.
type scriptedPolicy struct {
	host              routing.Host
	endpoints         map[int]*routing.Endpoint
	attemptOrder      []int // destination IDs
	events            []string
	retryAfterFailure bool // attempt the next endpoint 500 ms (the hold-off) after a failed attempt
	lastCall          *routing.Call
	holdCalls         bool // attempt nothing for new calls
}

func (p *scriptedPolicy) OnEndpoints(_ float64, changed []*routing.Endpoint) {
	for _, endpoint := range changed {
		if endpoint.State != routing.Gone || p.endpoints[endpoint.DestinationID] == endpoint {
			p.endpoints[endpoint.DestinationID] = endpoint
		}
	}
}
func (p *scriptedPolicy) OnCall(now float64, c *routing.Call) {
	p.events = append(p.events, "offered")
	p.lastCall = c
	if !p.holdCalls {
		p.attemptNext(c)
	}
}
func (p *scriptedPolicy) attemptNext(c *routing.Call) {
	if len(p.attemptOrder) == 0 {
		p.host.Reject(c, 300)
		return
	}
	endpoint := p.endpoints[p.attemptOrder[0]]
	p.attemptOrder = p.attemptOrder[1:]
	p.host.StartAttempt(c, endpoint, 1e9)
}
func (p *scriptedPolicy) OnAnswer(float64, *routing.Attempt) { p.events = append(p.events, "answered") }
func (p *scriptedPolicy) OnAttemptEnd(now float64, attempt *routing.Attempt, finished bool) {
	p.events = append(
		p.events,
		fmt.Sprintf(
			"ended outcome=%d finished=%v atCapacity=%v numberBusy=%v retryAfter=%v",
			attempt.Outcome,
			finished,
			attempt.AtCapacity,
			attempt.NumberBusy,
			attempt.RetryAfter,
		),
	)
	if p.retryAfterFailure && !finished && !attempt.Call.Finished {
		p.host.ScheduleWakeup(now+500, attempt.Call)
	}
}
func (p *scriptedPolicy) OnHangup(float64, *routing.Call) { p.events = append(p.events, "hung up") }
func (p *scriptedPolicy) OnLoadReport(_ float64, endpoint *routing.Endpoint, ok, complete bool) {
	p.events = append(
		p.events,
		fmt.Sprintf(
			"load report from %d: %v of %v free",
			endpoint.DestinationID,
			endpoint.LoadReport.Free,
			endpoint.LoadReport.Capacity,
		),
	)
}
func (p *scriptedPolicy) OnGossip(_ float64, gateway int, message []byte) {
	p.events = append(p.events, fmt.Sprintf("gossip from %d: %s", gateway, message))
}
func (p *scriptedPolicy) RetryAfter(float64, *routing.Call) float64 { return 250 }
func (p *scriptedPolicy) OnWakeup(_ float64, c *routing.Call) {
	if c != nil && !c.Finished {
		p.attemptNext(c)
	}
}

// testConn is the remote side of a simulated connection.
type testConn struct {
	gatewayConn *Conn
	address     netip.AddrPort // address of the endpoint, if the gateway dialed
	messages    []binarymessage.Message
	reader      binarymessage.Reader
	blocked     bool // Write reports that nothing was written
	closed      bool
	writeClosed bool
}

// testGateway is a gateway with a scripted policy and simulated connections.
type testGateway struct {
	*testing.T
	gateway   *Gateway
	policy    *scriptedPolicy
	now       float64
	dialed    []*testConn // connections to endpoints, in the order in which they were dialed
	client    *testConn   // the client connection, in tests that have only one
	holdDials bool        // step doesn't complete dials
}

func (g *testGateway) Write(conn *Conn, b []byte) bool {
	tc := conn.Socket.(*testConn)
	if tc.blocked {
		return false
	}
	if err := tc.reader.Feed(b, func(m binarymessage.Message) bool {
		tc.messages = append(tc.messages, append(binarymessage.Message(nil), m...))
		return true
	}); err != nil {
		g.Errorf("malformed message written: %v", err)
	}
	return true
}

func (g *testGateway) Dial(conn *Conn, to netip.AddrPort) {
	tc := &testConn{gatewayConn: conn, address: to}
	conn.Socket = tc
	g.dialed = append(g.dialed, tc)
}

func (g *testGateway) Close(conn *Conn) { conn.Socket.(*testConn).closed = true }

func (g *testGateway) CloseWrite(conn *Conn) { conn.Socket.(*testConn).writeClosed = true }

func (g *testGateway) SendGossip(int, []byte) {}

func newTestGateway(t *testing.T) *testGateway {
	g := &testGateway{T: t, policy: &scriptedPolicy{endpoints: map[int]*routing.Endpoint{}}, now: 1e6}
	settings := &routing.Settings{
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
			{Name: "voice", Timeout: 9000, Weight: 1, Idempotent: true},
		},
	}
	g.gateway = New(
		g.now,
		&Config{
			Settings:       settings,
			Connections:    deployment.Connections{ConnectTimeout: 500},
			MaxDescriptors: 256,
			AnswerMargin:   5,
			LoadShedding:   loadshed.Gate{MaxPending: 1000},
			FromUnixMillis: func(unix float64) float64 { return unix },
		},
		func(_ *routing.Settings, h routing.Host) routing.Policy {
			g.policy.host = h
			return g.policy
		},
		g,
	)
	g.setEndpoints(1, readyEntry("a", addrA, 0), readyEntry("b", addrB, 1))
	g.step()
	return g
}

func readyEntry(id string, address netip.AddrPort, destinationID int) dnsdiscovery.Entry {
	return dnsdiscovery.Entry{ID: id, Addr: address, DestinationID: destinationID, State: routing.Ready}
}

func (g *testGateway) setEndpoints(serial uint32, entries ...dnsdiscovery.Entry) {
	g.gateway.OnEndpointList(g.now, &dnsdiscovery.List{Serial: serial, Complete: true, Entries: entries})
}

// step processes three batches. Before each, unless holdDials is set, pending dials complete, and the endpoints send a
// LoadState message on the new connections.
func (g *testGateway) step() {
	for range 3 {
		if !g.holdDials {
			for _, tc := range g.dialed {
				if !tc.gatewayConn.connected && !tc.gatewayConn.closed {
					g.gateway.OnConnected(g.now, tc.gatewayConn)
					g.gateway.OnData(g.now, tc.gatewayConn, binarymessage.Append(nil, binarymessage.LoadState, 0))
				}
			}
		}
		g.gateway.Step(g.now)
		g.now += 0.01
	}
}

// advance calls step every 10 ms for the given time, in ms.
func (g *testGateway) advance(ms float64) {
	for end := g.now + ms; g.now < end; g.now += 10 {
		g.step()
	}
}

// acceptClient accepts a connection of a client.
func (g *testGateway) acceptClient() *testConn {
	tc := &testConn{}
	tc.gatewayConn = g.gateway.OnAccepted(g.now, tc, clientAddr)
	return tc
}

// deliver passes a message from the remote side of a connection to the gateway, and then calls step.
func (g *testGateway) deliver(tc *testConn, kind byte, call uint64, params ...binarymessage.Param) {
	g.gateway.OnData(g.now, tc.gatewayConn, binarymessage.Append(nil, kind, call, params...))
	g.step()
}

// deliverSetup passes a setup from a client to the gateway, and then calls step.
func (g *testGateway) deliverSetup(tc *testConn, call uint64) {
	g.deliver(tc, binarymessage.Setup, call,
		binarymessage.TextParam(binarymessage.Class, "voice"),
		binarymessage.TextParam(binarymessage.Timeout, "3000"),
		binarymessage.TextParam(binarymessage.Number, "7f3a9c21e0b4d655"),
		binarymessage.TextParam(binarymessage.RoutingParams, "dest:0;width:1;via:-1"),
		binarymessage.TextParam(binarymessage.Description, "v=0"))
}

// lastMessage returns the latest message for a call that was written to the connection, or nil if there is none.
func (tc *testConn) lastMessage(call uint64) binarymessage.Message {
	for i := len(tc.messages) - 1; i >= 0; i-- {
		if tc.messages[i].CallID() == call {
			return tc.messages[i]
		}
	}
	return nil
}

// countMessages returns how many messages of a type were written to the connection for a call.
func (tc *testConn) countMessages(call uint64, kind byte) (n int) {
	for _, m := range tc.messages {
		if m.CallID() == call && m.Type() == kind {
			n++
		}
	}
	return
}

// setupConn returns the latest dialed connection whose last message for a call is a setup.
func (g *testGateway) setupConn(call uint64) *testConn {
	g.Helper()
	for i := len(g.dialed) - 1; i >= 0; i-- {
		if m := g.dialed[i].lastMessage(call); m != nil && m.Type() == binarymessage.Setup {
			return g.dialed[i]
		}
	}
	g.Fatalf("no connection has a setup as its last message for call %x", call)
	return nil
}

// expectMessage reports an error unless a message has the given type and cause.
func (g *testGateway) expectMessage(m binarymessage.Message, kind, cause byte) {
	g.Helper()
	if m == nil || m.Type() != kind || m.Cause() != cause {
		g.Errorf("got %x, want type %d cause %d", []byte(m), kind, cause)
	}
}

var answerDescription = binarymessage.TextParam(binarymessage.Description, "v=0 answer")
