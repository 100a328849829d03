package binarygateway

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"testing"

	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/protocol/dnsdiscovery"
	"cobaltpier/internal/routing"
)

// TestWithdrawn: a setup that is still queued when its endpoint begins to drain is withdrawn and ends as not sent.
func TestWithdrawn(t *testing.T) {
	g := newTestGateway(t)
	g.policy.attemptOrder = []int{0}
	for _, conn := range g.dialed {
		conn.blocked = conn.address == addrA
	}
	g.holdDials = true
	g.deliver(g.dialed[0], binarymessage.LoadState, 0) // no setup is in flight, and the connections accept writes
	for _, conn := range g.dialed {                    // block the connections with an earlier message
		if conn.address == addrA {
			conn.gatewayConn.send(binarymessage.Append(nil, binarymessage.ReleaseComplete, 1))
		}
	}
	g.step()
	caller := g.acceptClient()
	g.deliverSetup(caller, 7)
	g.setEndpoints(
		2,
		dnsdiscovery.Entry{ID: "a", Addr: addrA, DestinationID: 0, State: routing.Draining},
		readyEntry("b", addrB, 1),
	)
	g.step()
	for _, conn := range g.dialed {
		conn.blocked = false
		g.gateway.OnFlushed(g.now, conn.gatewayConn)
	}
	g.holdDials = false
	g.step()
	for _, conn := range g.dialed {
		if conn.countMessages(7, binarymessage.Setup) != 0 {
			t.Error("the setup was sent to a draining endpoint")
		}
	}
	if got := g.policy.events[len(g.policy.events)-1]; got !=
		"ended outcome=7 finished=false atCapacity=false numberBusy=false retryAfter=0" {
		t.Errorf("the policy got %q, want outcome 7 last", g.policy.events)
	}
}

// openSecondConn opens a second connection to the first endpoint, by two setups in flight at once.
func (g *testGateway) openSecondConn() {
	g.policy.attemptOrder = []int{0, 0}
	caller := g.acceptClient()
	g.deliverSetup(caller, 101)
	g.deliverSetup(caller, 102)
	for _, id := range []uint64{101, 102} {
		g.deliver(g.setupConn(id), binarymessage.Release, id, binarymessage.CauseParam(binarymessage.NoCircuit))
	}
	if n := len(g.connsTo(addrA)); n != 2 {
		g.Fatalf("%d connections are open, want 2", n)
	}
}

// establish sets up a call at the first endpoint, where it is answered.
func (g *testGateway) establish(caller *testConn, id uint64) *testConn {
	g.Helper()
	g.policy.attemptOrder = []int{0}
	g.deliverSetup(caller, id)
	conn := g.setupConn(id)
	g.deliver(conn, binarymessage.Answer, id, answerDescription)
	g.expectMessage(caller.lastMessage(id), binarymessage.Answer, 0)
	return conn
}

// connsTo returns the connections to an address that are not closed.
func (g *testGateway) connsTo(address netip.AddrPort) (conns []*testConn) {
	for _, conn := range g.dialed {
		if conn.address == address && !conn.gatewayConn.closed {
			conns = append(conns, conn)
		}
	}
	return
}

// refuseDials refuses all dials to an address for the given time, in ms.
func (g *testGateway) refuseDials(address netip.AddrPort, ms float64) {
	for end := g.now + ms; g.now < end; g.now += 10 {
		g.step()
		for _, conn := range g.connsTo(address) {
			if !conn.gatewayConn.connected {
				g.gateway.OnClosed(g.now, conn.gatewayConn, ClosedRefused)
			}
		}
	}
	g.step()
}

// connsAfter returns the connections to the first endpoint that were dialed after the first n dials of the gateway.
func (g *testGateway) connsAfter(n int) (conns []*testConn) {
	for _, conn := range g.dialed[n:] {
		if conn.address == addrA {
			conns = append(conns, conn)
		}
	}
	return conns
}

// TestIncompleteMessage guards against a connection that is kept for good after a wrong length field: it is closed
// after half a second, although further bytes arrive, its setup ends as reset, and the release that was lost there is
// received on a new connection within a second, although another connection is open.
func TestIncompleteMessage(t *testing.T) {
	g := newTestGateway(t)
	g.openSecondConn()
	caller := g.acceptClient()
	broken := g.establish(caller, 7)
	g.policy.attemptOrder = []int{0, 0}
	g.deliverSetup(caller, 8)
	g.deliverSetup(caller, 9)
	pending := uint64(8)
	if g.setupConn(8) != broken {
		pending = 9
	}
	if g.setupConn(pending) != broken {
		t.Fatal("neither setup was sent on the connection of the established call")
	}
	g.policy.events = nil
	dialedBefore := len(g.dialed)
	answer := binarymessage.Append(nil, binarymessage.Answer, pending, answerDescription)
	binary.BigEndian.PutUint16(answer, 16000)
	g.gateway.OnData(g.now, broken.gatewayConn, answer)
	g.advance(200)
	g.deliver(broken, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	g.advance(200)
	if broken.closed {
		t.Error("the connection was closed 400 ms after the message began")
	}
	g.advance(500)
	if !broken.closed {
		t.Error("the connection with the incomplete message was not closed after 900 ms")
	}
	if want := "ended outcome=5 finished=false atCapacity=false numberBusy=false retryAfter=0"; !slices.Contains(
		g.policy.events, want) {
		t.Errorf("the policy got %q, want %q", g.policy.events, want)
	}
	repeated := g.connsAfter(dialedBefore)
	if len(repeated) != 1 {
		t.Fatalf("%d connections were opened after the loss, want 1", len(repeated))
	}
	g.deliver(repeated[0], binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	g.expectMessage(caller.lastMessage(7), binarymessage.Release, binarymessage.Normal)
}

// TestConnOpenedAfterLoss guards against releases that are lost unread with one of several connections: another one is
// opened, on which the endpoint repeats them. Nothing can be lost where the endpoint closed the connection in order, or
// where no call is established.
func TestConnOpenedAfterLoss(t *testing.T) {
	reset := func(g *testGateway, conn *testConn) { g.gateway.OnClosed(g.now, conn.gatewayConn, ClosedReset) }
	closed := func(g *testGateway, conn *testConn) { g.gateway.OnClosed(g.now, conn.gatewayConn, ClosedNormally) }
	cutOff := func(g *testGateway, conn *testConn) {
		g.gateway.OnData(g.now, conn.gatewayConn, []byte{0, 40, binarymessage.Answer})
		closed(g, conn)
	}
	malformed := func(g *testGateway, conn *testConn) { g.gateway.OnData(g.now, conn.gatewayConn, []byte{0xff, 0xff}) }
	for _, c := range []struct {
		name        string
		established bool
		lose        func(*testGateway, *testConn)
		want        int // connections opened
	}{
		{"reset", true, reset, 1},
		{"closed in a message", true, cutOff, 1},
		{"malformed message", true, malformed, 1},
		{"closed in order", true, closed, 0},
		{"reset without a call", false, reset, 0},
	} {
		g := newTestGateway(t)
		g.openSecondConn()
		if c.established {
			g.establish(g.acceptClient(), 7)
		}
		before := len(g.dialed)
		c.lose(g, g.connsTo(addrA)[0])
		g.advance(600)
		if n := len(g.connsAfter(before)); n != c.want {
			t.Errorf("%s: %d connections were opened, want %d", c.name, n, c.want)
		}
	}
}

// TestConnDialedBeforeLoss guards against a dial that was made before the loss and counts as the new connection: the
// endpoint may have repeated its releases there before it sent the one that was lost.
func TestConnDialedBeforeLoss(t *testing.T) {
	g := newTestGateway(t)
	g.openSecondConn()
	caller := g.acceptClient()
	g.establish(caller, 7)
	g.holdDials = true
	g.policy.attemptOrder = []int{0, 0, 0}
	for id := range uint64(3) {
		g.deliverSetup(caller, 20+id)
	}
	if n := len(g.connsTo(addrA)); n != 3 {
		t.Fatalf("%d connections are open or dialed, want 3", n)
	}
	before := len(g.dialed)
	g.gateway.OnClosed(g.now, g.connsTo(addrA)[0].gatewayConn, ClosedReset)
	g.holdDials = false
	g.advance(600)
	if n := len(g.connsAfter(before)); n != 1 {
		t.Errorf("%d connections were opened after the loss, want 1", n)
	}
}

// TestBackoffEndsWithMessage guards against a release that comes too late because a dial failed long before: the
// endpoint works again, a connection to it is lost, and the next dial must not wait for the old backoff.
func TestBackoffEndsWithMessage(t *testing.T) {
	g := newTestGateway(t)
	g.holdDials = true
	g.gateway.OnClosed(g.now, g.connsTo(addrA)[0].gatewayConn, ClosedNormally)
	g.refuseDials(addrA, 5000) // the backoff grows to 2 s
	g.holdDials = false
	g.policy.attemptOrder = []int{0}
	g.deliverSetup(g.acceptClient(), 7) // dials at once
	conn := g.setupConn(7)
	g.deliver(conn, binarymessage.Answer, 7, answerDescription)
	before := len(g.dialed)
	g.gateway.OnClosed(g.now, conn.gatewayConn, ClosedReset)
	g.advance(250)
	if n := len(g.connsAfter(before)); n != 1 {
		t.Errorf("%d connections were opened within 250 ms after the loss, want 1", n)
	}
}

// TestEndpointProcessDies: connections that are reset, followed by a refused dial, show that the endpoint's process
// has died. The calls there are released to their callers at once.
func TestEndpointProcessDies(t *testing.T) {
	g := newTestGateway(t)
	caller := g.acceptClient()
	g.establish(caller, 7)
	g.holdDials = true
	for _, conn := range g.connsTo(addrA) {
		g.gateway.OnClosed(g.now, conn.gatewayConn, ClosedReset)
	}
	g.step()
	g.expectMessage(caller.lastMessage(7), binarymessage.Answer, 0) // a reset alone does not end the call
	g.refuseDials(addrA, 50)
	g.expectMessage(caller.lastMessage(7), binarymessage.Release, binarymessage.Failure)
}

// TestDrainingEndpointRefusesDials: a draining endpoint refuses dials and sends few messages. Its calls continue
// while a connection is open, and their releases arrive there.
func TestDrainingEndpointRefusesDials(t *testing.T) {
	for _, listed := range []bool{false, true} {
		g := newTestGateway(t)
		caller := g.acceptClient()
		conn := g.establish(caller, 7)
		if listed {
			g.setEndpoints(
				2,
				dnsdiscovery.Entry{ID: "a", Addr: addrA, DestinationID: 0, State: routing.Draining},
				readyEntry("b", addrB, 1),
			)
		}
		g.holdDials = true
		for _, other := range g.connsTo(addrA) {
			if other != conn {
				g.gateway.OnClosed(g.now, other.gatewayConn, ClosedNormally)
			}
		}
		before := len(g.dialed)
		g.refuseDials(addrA, 12000)
		g.expectMessage(caller.lastMessage(7), binarymessage.Answer, 0)
		if n := len(g.dialed) - before; n > 14 {
			t.Errorf("listed as draining %v: %d dials in 12 s, want 14 at most", listed, n)
		}
		g.deliver(conn, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
		g.expectMessage(caller.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	}
}

// TestEndpointWithoutConn: an endpoint that closed all its connections in order is still running, but its releases
// can't arrive. The call is released to its caller in time, before it counts as not released.
func TestEndpointWithoutConn(t *testing.T) {
	g := newTestGateway(t)
	caller := g.acceptClient()
	g.establish(caller, 7)
	g.holdDials = true
	for _, conn := range g.connsTo(addrA) {
		g.gateway.OnClosed(g.now, conn.gatewayConn, ClosedNormally)
	}
	g.refuseDials(addrA, 6000)
	g.expectMessage(caller.lastMessage(7), binarymessage.Answer, 0)
	g.refuseDials(addrA, 1500)
	g.expectMessage(caller.lastMessage(7), binarymessage.Release, binarymessage.Failure)
}

// TestConnectionsAcceptedThenReset: when an endpoint repeatedly accepts connections and resets them, the dial
// backoff grows, and its calls are released in time.
func TestConnectionsAcceptedThenReset(t *testing.T) {
	g := newTestGateway(t)
	caller := g.acceptClient()
	g.establish(caller, 7)
	before := len(g.dialed)
	g.holdDials = true
	for end := g.now + 5500; g.now < end; g.now += 10 {
		for _, conn := range g.connsTo(addrA) {
			if !conn.gatewayConn.connected {
				g.gateway.OnConnected(g.now, conn.gatewayConn)
			}
			g.gateway.OnClosed(g.now, conn.gatewayConn, ClosedReset)
		}
		g.step()
	}
	if n := len(g.dialed) - before; n > 20 {
		t.Errorf("%d dials in 5.5 s, want 20 at most", n)
	}
	g.expectMessage(caller.lastMessage(7), binarymessage.Release, binarymessage.Failure)
}

// TestEndpointVanishes: a host that has vanished sends nothing and answers no dial. Its calls are released after
// the silence timeout, not earlier.
func TestEndpointVanishes(t *testing.T) {
	g := newTestGateway(t)
	caller := g.acceptClient()
	g.establish(caller, 7)
	g.holdDials = true
	g.advance(3000)
	g.expectMessage(caller.lastMessage(7), binarymessage.Answer, 0)
	g.advance(4000)
	g.expectMessage(caller.lastMessage(7), binarymessage.Release, binarymessage.Failure)
}

// TestSilentEndpoint: an endpoint that has only been silent accepts a new connection and reports its load. Its calls
// continue.
func TestSilentEndpoint(t *testing.T) {
	g := newTestGateway(t)
	caller := g.acceptClient()
	g.establish(caller, 7)
	g.advance(12000)
	g.expectMessage(caller.lastMessage(7), binarymessage.Answer, 0)
	n := 0
	for _, conn := range g.dialed {
		if conn.address == addrA && !conn.gatewayConn.closed {
			n++
		}
	}
	if n > maxReportingConns {
		t.Errorf("%d connections are open, want %d at most", n, maxReportingConns)
	}
}

// TestListEndsCalls: when the list shows that an endpoint was restarted or is gone, its earlier calls have ended.
func TestListEndsCalls(t *testing.T) {
	for _, next := range [][]dnsdiscovery.Entry{
		{{ID: "a", Addr: addrA, DestinationID: 0, State: routing.Ready, StartedAt: 1e6 + 5000}, readyEntry("b", addrB, 1)},
		{readyEntry("b", addrB, 1)},
		{readyEntry("c", addrA, 0), readyEntry("b", addrB, 1)}, // another endpoint has its address now
	} {
		g := newTestGateway(t)
		caller := g.acceptClient()
		old := g.establish(caller, 7)
		g.advance(5100)
		g.expectMessage(caller.lastMessage(7), binarymessage.Answer, 0)
		g.setEndpoints(2, next...)
		g.step()
		g.expectMessage(caller.lastMessage(7), binarymessage.Release, binarymessage.Failure)
		if gone := next[0].ID != "a"; old.closed != gone {
			t.Errorf("earlier connection closed %v, want %v", old.closed, gone)
		}
		g.deliver(old, binarymessage.Answer, 7, answerDescription) // a late answer of the old process is ignored
		g.expectMessage(caller.lastMessage(7), binarymessage.Release, binarymessage.Failure)
	}
}

// TestRestartEndsOnlyEarlierCalls guards against calls that are cut although they are established at the current
// process of an endpoint: the list tells its start late, on another clock, and the setup arrived here before that
// start. A call of an earlier process ends, also if the endpoint has restarted twice before the list tells it.
func TestRestartEndsOnlyEarlierCalls(t *testing.T) {
	const earlier, between, current = 7, 8, 9
	for _, clockOffset := range []float64{-50, 0, 50} {
		g := newTestGateway(t)
		caller := g.acceptClient()
		g.establish(caller, earlier)
		restart := func() (startedAt float64) {
			g.holdDials = true
			for _, conn := range g.connsTo(addrA) {
				g.gateway.OnClosed(g.now, conn.gatewayConn, ClosedReset)
			}
			g.advance(300)
			startedAt = g.now
			g.holdDials = false
			g.step()
			return startedAt
		}
		restart()
		g.establish(caller, between)
		g.advance(1000)
		g.policy.holdCalls = true
		g.deliverSetup(caller, current)
		startedAt := restart()
		g.policy.attemptOrder = []int{0}
		g.policy.attemptNext(g.policy.lastCall)
		g.step()
		g.deliver(g.setupConn(current), binarymessage.Answer, current, answerDescription)
		g.advance(500)
		g.setEndpoints(2, dnsdiscovery.Entry{ID: "a", Addr: addrA, DestinationID: 0, State: routing.Ready,
			StartedAt: startedAt + clockOffset}, readyEntry("b", addrB, 1))
		g.step()
		for _, id := range []uint64{earlier, between} {
			g.expectMessage(caller.lastMessage(id), binarymessage.Release, binarymessage.Failure)
		}
		g.expectMessage(caller.lastMessage(current), binarymessage.Answer, 0)
	}
}

// TestFailedDials: an attempt ends as connection refused, at once if the dial is refused and after the connect
// timeout if it is not answered. Neither counts as a reset, since the setup was not executed.
func TestFailedDials(t *testing.T) {
	for _, refused := range []bool{true, false} {
		g := newTestGateway(t)
		g.holdDials = true
		for _, conn := range slices.Clone(g.dialed) {
			if conn.address == addrA {
				g.gateway.OnClosed(g.now, conn.gatewayConn, ClosedNormally)
			}
		}
		g.step()
		g.policy.attemptOrder = []int{0}
		g.deliverSetup(g.acceptClient(), 7)
		if refused {
			for _, conn := range slices.Clone(g.dialed) {
				if conn.address == addrA && !conn.gatewayConn.closed {
					g.gateway.OnClosed(g.now, conn.gatewayConn, ClosedRefused)
				}
			}
			g.step()
		} else {
			g.advance(600)
		}
		if got := g.policy.events[len(g.policy.events)-1]; got !=
			"ended outcome=4 finished=false atCapacity=false numberBusy=false retryAfter=0" {
			t.Errorf("refused %v: the policy got %q, want outcome 4 last", refused, g.policy.events)
		}
	}
}

// TestResetWithCallsInAllStates: an endpoint's process dies while one call is established, one attempt is in flight
// and the cancel of another is unsent. The attempt ends as reset, since it may have been executed, the canceled one
// as canceled, and the established call is released to its caller.
func TestResetWithCallsInAllStates(t *testing.T) {
	g := newTestGateway(t)
	caller := g.acceptClient()
	conn := g.establish(caller, 7)
	g.policy.attemptOrder = []int{0}
	g.deliverSetup(caller, 8)
	if g.setupConn(8) != conn {
		t.Fatal("the setup was sent on another connection")
	}
	g.policy.attemptOrder = []int{0}
	g.deliverSetup(caller, 9)
	for _, other := range g.connsTo(addrA) {
		other.blocked = true
	}
	g.gateway.OnData(
		g.now,
		caller.gatewayConn,
		binarymessage.Append(nil, binarymessage.Release, 9, binarymessage.CauseParam(binarymessage.Normal)),
	) // its cancel is not sent, as the connection is blocked
	g.step()
	g.holdDials = true
	g.policy.events = nil
	for _, other := range g.connsTo(addrA) {
		g.gateway.OnClosed(g.now, other.gatewayConn, ClosedReset)
	}
	g.refuseDials(addrA, 100)
	g.expectMessage(caller.lastMessage(7), binarymessage.Release, binarymessage.Failure)
	for _, want := range []string{"ended outcome=5 finished=false atCapacity=false numberBusy=false retryAfter=0",
		"ended outcome=6 finished=true atCapacity=false numberBusy=false retryAfter=0"} {
		if !slices.Contains(g.policy.events, want) {
			t.Errorf("the policy got %q, want %q", g.policy.events, want)
		}
	}
	if caller.lastMessage(9) != nil {
		t.Errorf("the caller that canceled got %x, want nothing", caller.lastMessage(9))
	}
}

// TestBlockedSetupNotSentAfterFinalAnswer: a setup that the driver holds, because the endpoint does not read, does not
// leave after its call has its final answer: the connection is closed.
func TestBlockedSetupNotSentAfterFinalAnswer(t *testing.T) {
	g := newTestGateway(t)
	g.policy.attemptOrder = []int{0}
	conn := g.connsTo(addrA)[0]
	conn.blocked = true
	caller := g.acceptClient()
	g.deliverSetup(caller, 7)
	g.advance(100)
	if conn.closed || conn.gatewayConn.legOf(7) == nil {
		t.Fatal("want the setup with the driver, on an open connection")
	}
	g.deliver(caller, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	if g.step(); !conn.closed || g.gateway.Metrics.BlockedSetups != 1 {
		t.Errorf("closed %v, %d blocked setups; want the connection closed, and one counted", conn.closed,
			g.gateway.Metrics.BlockedSetups)
	}
}

// TestLateAnswerWhileSetupIsBlocked: an answer that arrives while the driver holds the setup of a call's second attempt
// at the endpoint belongs to the first one, and does not establish the call.
func TestLateAnswerWhileSetupIsBlocked(t *testing.T) {
	g := newTestGateway(t)
	g.policy.attemptOrder = []int{0, 0}
	caller := g.acceptClient()
	g.deliverSetup(caller, 7)
	conn := g.setupConn(7)
	g.policy.host.CancelAttempt(g.policy.lastCall.InFlight)
	g.advance(50)
	conn.blocked = true
	g.advance(600) // beyond the hold-off
	g.gateway.Router.OnWakeup(g.now, g.policy.lastCall)
	g.step()
	if leg := conn.gatewayConn.legOf(7); leg == nil || !leg.unflushed {
		t.Fatal("want the second setup with the driver")
	}
	g.deliver(conn, binarymessage.Answer, 7, answerDescription)
	if caller.countMessages(7, binarymessage.Answer) != 0 {
		t.Error("the late answer to the first attempt established the call")
	}
}
