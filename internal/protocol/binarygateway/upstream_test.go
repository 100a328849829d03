package binarygateway

import (
	"net/netip"
	"slices"
	"testing"

	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/protocol/dnsdiscovery"
	"cobaltpier/internal/routing"
)

// TestWithdrawn: a setup that is still queued when its endpoint begins to drain is withdrawn and ends as not sent.
func TestWithdrawn(t *testing.T) {
	r := newTestGateway(t)
	r.policy.targets = []int{0}
	for _, conn := range r.dialed {
		conn.blocked = conn.address == addrA
	}
	r.holdDials = true
	r.receive(r.dialed[0], binarymessage.LoadState, 0) // no setup is in flight, and the connections accept writes
	for _, conn := range r.dialed {                    // block the connections with an earlier message
		if conn.address == addrA {
			conn.gatewayConn.send(binarymessage.Append(nil, binarymessage.ReleaseComplete, 1))
		}
	}
	r.step()
	caller := r.newClient()
	r.receiveSetup(caller, 7)
	r.setEndpoints(
		2,
		dnsdiscovery.Target{ID: "a", Addr: addrA, DestinationID: 0, State: routing.Draining},
		readyTarget("b", addrB, 1),
	)
	r.step()
	for _, conn := range r.dialed {
		conn.blocked = false
		r.gateway.OnFlushed(r.now, conn.gatewayConn)
	}
	r.holdDials = false
	r.step()
	for _, conn := range r.dialed {
		if conn.count(7, binarymessage.Setup) != 0 {
			t.Error("the setup was sent to a draining endpoint")
		}
	}
	if got := r.policy.events[len(r.policy.events)-1]; got != "ended 7 finished false capacity false busy false retry 0" {
		t.Errorf("the policy got %q", r.policy.events)
	}
}

// openSecondConn opens a second connection to the first endpoint, by two setups in flight at once.
func (r *testGateway) openSecondConn() {
	r.policy.targets = []int{0, 0}
	caller := r.newClient()
	r.receiveSetup(caller, 101)
	r.receiveSetup(caller, 102)
	for _, id := range []uint64{101, 102} {
		r.receive(r.connOf(id), binarymessage.Release, id, binarymessage.CauseParam(binarymessage.NoCircuit))
	}
	if n := len(r.connsTo(addrA)); n != 2 {
		r.Fatalf("%d connections are open", n)
	}
}

// establish sets up a call at the first endpoint, where it is answered.
func (r *testGateway) establish(caller *testConn, id uint64) *testConn {
	r.Helper()
	r.policy.targets = []int{0}
	r.receiveSetup(caller, id)
	conn := r.connOf(id)
	r.receive(conn, binarymessage.Answer, id, testDescription)
	r.expect(caller.lastMessage(id), binarymessage.Answer, 0)
	return conn
}

// connsTo returns the connections to an address that are not closed.
func (r *testGateway) connsTo(a netip.AddrPort) (conns []*testConn) {
	for _, conn := range r.dialed {
		if conn.address == a && !conn.gatewayConn.closed {
			conns = append(conns, conn)
		}
	}
	return
}

// refuseDials refuses all dials to an address for the given time, in ms.
func (r *testGateway) refuseDials(a netip.AddrPort, ms float64) {
	for end := r.now + ms; r.now < end; r.now += 10 {
		r.step()
		for _, conn := range r.connsTo(a) {
			if !conn.gatewayConn.connected {
				r.gateway.OnClosed(r.now, conn.gatewayConn, ClosedRefused)
			}
		}
	}
	r.step()
}

// TestEndpointProcessDies: connections that are reset, followed by a refused dial, show that the endpoint's process
// has died. The calls there are released to their callers at once.
func TestEndpointProcessDies(t *testing.T) {
	r := newTestGateway(t)
	caller := r.newClient()
	r.establish(caller, 7)
	r.holdDials = true
	for _, conn := range r.connsTo(addrA) {
		r.gateway.OnClosed(r.now, conn.gatewayConn, ClosedReset)
	}
	r.step()
	r.expect(caller.lastMessage(7), binarymessage.Answer, 0) // a reset alone does not end the call
	r.refuseDials(addrA, 50)
	r.expect(caller.lastMessage(7), binarymessage.Release, binarymessage.Failure)
}

// TestDrainingEndpointRefusesDials: a draining endpoint refuses dials and sends few messages. Its calls continue
// while a connection is open, and their releases arrive there.
func TestDrainingEndpointRefusesDials(t *testing.T) {
	for _, listed := range []bool{false, true} {
		r := newTestGateway(t)
		caller := r.newClient()
		conn := r.establish(caller, 7)
		if listed {
			r.setEndpoints(
				2,
				dnsdiscovery.Target{ID: "a", Addr: addrA, DestinationID: 0, State: routing.Draining},
				readyTarget("b", addrB, 1),
			)
		}
		r.holdDials = true
		for _, other := range r.connsTo(addrA) {
			if other != conn {
				r.gateway.OnClosed(r.now, other.gatewayConn, ClosedNormally)
			}
		}
		before := len(r.dialed)
		r.refuseDials(addrA, 12000)
		r.expect(caller.lastMessage(7), binarymessage.Answer, 0)
		if n := len(r.dialed) - before; n > 14 {
			t.Errorf("listed as draining %v: %d dials in 12 s", listed, n)
		}
		r.receive(conn, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
		r.expect(caller.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	}
}

// TestEndpointWithoutConn: an endpoint that closed all its connections in order is still running, but its releases
// can't arrive. The call is released to its caller in time, before it counts as not released.
func TestEndpointWithoutConn(t *testing.T) {
	r := newTestGateway(t)
	caller := r.newClient()
	r.establish(caller, 7)
	r.holdDials = true
	for _, conn := range r.connsTo(addrA) {
		r.gateway.OnClosed(r.now, conn.gatewayConn, ClosedNormally)
	}
	r.refuseDials(addrA, 6000)
	r.expect(caller.lastMessage(7), binarymessage.Answer, 0)
	r.refuseDials(addrA, 1500)
	r.expect(caller.lastMessage(7), binarymessage.Release, binarymessage.Failure)
}

// TestConnectionsAcceptedThenReset: when an endpoint repeatedly accepts connections and resets them, the dial
// backoff grows, and its calls are released in time.
func TestConnectionsAcceptedThenReset(t *testing.T) {
	r := newTestGateway(t)
	caller := r.newClient()
	r.establish(caller, 7)
	before := len(r.dialed)
	r.holdDials = true
	for end := r.now + 5500; r.now < end; r.now += 10 {
		for _, conn := range r.connsTo(addrA) {
			if !conn.gatewayConn.connected {
				r.gateway.OnConnected(r.now, conn.gatewayConn)
			}
			r.gateway.OnClosed(r.now, conn.gatewayConn, ClosedReset)
		}
		r.step()
	}
	if n := len(r.dialed) - before; n > 20 {
		t.Errorf("%d dials in 5.5 s", n)
	}
	r.expect(caller.lastMessage(7), binarymessage.Release, binarymessage.Failure)
}

// TestEndpointVanishes: a host that has vanished sends nothing and answers no dial. Its calls are released after
// the silence timeout, not earlier.
func TestEndpointVanishes(t *testing.T) {
	r := newTestGateway(t)
	caller := r.newClient()
	r.establish(caller, 7)
	r.holdDials = true
	r.advance(3000)
	r.expect(caller.lastMessage(7), binarymessage.Answer, 0)
	r.advance(4000)
	r.expect(caller.lastMessage(7), binarymessage.Release, binarymessage.Failure)
}

// TestSilentEndpoint: an endpoint that has only been silent accepts a new connection and reports its load. Its calls
// continue.
func TestSilentEndpoint(t *testing.T) {
	r := newTestGateway(t)
	caller := r.newClient()
	r.establish(caller, 7)
	r.advance(12000)
	r.expect(caller.lastMessage(7), binarymessage.Answer, 0)
	n := 0
	for _, conn := range r.dialed {
		if conn.address == addrA && !conn.gatewayConn.closed {
			n++
		}
	}
	if n > maxReportingConns {
		t.Errorf("%d connections are open", n)
	}
}

// TestListEndsCalls: when the list shows that an endpoint was restarted or is gone, its earlier calls have ended.
func TestListEndsCalls(t *testing.T) {
	for _, next := range [][]dnsdiscovery.Target{
		{{ID: "a", Addr: addrA, DestinationID: 0, State: routing.Ready, StartedAt: 1e6 + 5000}, readyTarget("b", addrB, 1)},
		{readyTarget("b", addrB, 1)},
		{readyTarget("c", addrA, 0), readyTarget("b", addrB, 1)}, // another endpoint has its address now
	} {
		r := newTestGateway(t)
		caller := r.newClient()
		old := r.establish(caller, 7)
		r.advance(5100)
		r.expect(caller.lastMessage(7), binarymessage.Answer, 0)
		r.setEndpoints(2, next...)
		r.step()
		r.expect(caller.lastMessage(7), binarymessage.Release, binarymessage.Failure)
		if gone := next[0].ID != "a"; old.closed != gone {
			t.Errorf("gone %v, its connection is closed %v", gone, old.closed)
		}
		r.receive(old, binarymessage.Answer, 7, testDescription) // a late answer of the old process is ignored
		r.expect(caller.lastMessage(7), binarymessage.Release, binarymessage.Failure)
	}
}

// TestFailedDials: an attempt ends as connection refused, at once if the dial is refused and after the connect
// timeout if it is not answered. Neither counts as a reset, since the setup was not executed.
func TestFailedDials(t *testing.T) {
	for _, refused := range []bool{true, false} {
		r := newTestGateway(t)
		r.holdDials = true
		for _, conn := range slices.Clone(r.dialed) {
			if conn.address == addrA {
				r.gateway.OnClosed(r.now, conn.gatewayConn, ClosedNormally)
			}
		}
		r.step()
		r.policy.targets = []int{0}
		r.receiveSetup(r.newClient(), 7)
		if refused {
			for _, conn := range slices.Clone(r.dialed) {
				if conn.address == addrA && !conn.gatewayConn.closed {
					r.gateway.OnClosed(r.now, conn.gatewayConn, ClosedRefused)
				}
			}
			r.step()
		} else {
			r.advance(600)
		}
		if got := r.policy.events[len(r.policy.events)-1]; got != "ended 4 finished false capacity false busy false retry 0" {
			t.Errorf("refused %v: the policy got %q", refused, r.policy.events)
		}
	}
}

// TestResetWithCallsInAllStates: an endpoint's process dies while one call is established, one attempt is in flight
// and the cancel of another is unsent. The attempt ends as reset, since it may have been executed, the canceled one
// as canceled, and the established call is released to its caller.
func TestResetWithCallsInAllStates(t *testing.T) {
	r := newTestGateway(t)
	caller := r.newClient()
	conn := r.establish(caller, 7)
	r.policy.targets = []int{0}
	r.receiveSetup(caller, 8)
	if r.connOf(8) != conn {
		t.Fatal("the setup was sent on another connection")
	}
	r.policy.targets = []int{0}
	r.receiveSetup(caller, 9)
	for _, other := range r.connsTo(addrA) {
		other.blocked = true
	}
	r.gateway.OnData(
		r.now,
		caller.gatewayConn,
		binarymessage.Append(nil, binarymessage.Release, 9, binarymessage.CauseParam(binarymessage.Normal)),
	) // its cancel is not sent, as the connection is blocked
	r.step()
	r.holdDials = true
	r.policy.events = nil
	for _, other := range r.connsTo(addrA) {
		r.gateway.OnClosed(r.now, other.gatewayConn, ClosedReset)
	}
	r.refuseDials(addrA, 100)
	r.expect(caller.lastMessage(7), binarymessage.Release, binarymessage.Failure)
	for _, want := range []string{"ended 5 finished false capacity false busy false retry 0",
		"ended 6 finished true capacity false busy false retry 0"} {
		if !slices.Contains(r.policy.events, want) {
			t.Errorf("the policy got %q, want %q", r.policy.events, want)
		}
	}
	if caller.lastMessage(9) != nil {
		t.Errorf("the caller that canceled got %x", caller.lastMessage(9))
	}
}
