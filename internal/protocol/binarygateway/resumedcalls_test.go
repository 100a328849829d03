package binarygateway

import (
	"net/netip"
	"testing"

	"cobaltpier/internal/protocol/binarymessage"
)

// acceptFrom accepts a connection of the client with an address.
func (g *testGateway) acceptFrom(address netip.Addr) *testConn {
	conn := &testConn{}
	conn.gatewayConn = g.gateway.OnAccepted(g.now, conn, address)
	return conn
}

// resumeMany passes, in one stream, setups that name the calls from first as established at the first endpoint.
func (g *testGateway) resumeMany(caller *testConn, first uint64, count int) {
	var stream []byte
	for i := range count {
		stream = append(stream, binarymessage.Append(nil, binarymessage.Setup, first+uint64(i),
			binarymessage.TextParam(binarymessage.RoutingParams, "at:a"))...)
	}
	g.gateway.OnData(g.now, caller.gatewayConn, stream)
	g.step()
}

// endAtEndpoint passes the first endpoint's release of an established call to the gateway.
func (g *testGateway) endAtEndpoint(id uint64) {
	g.deliver(g.connsTo(addrA)[0], binarymessage.Release, id, binarymessage.CauseParam(binarymessage.Normal))
}

// TestResumedCallOutlivesItsClientsConnections guards against a resumed call that is forgotten while its client has no
// connection: the call goes on at its endpoint, and its release would never reach the client.
func TestResumedCallOutlivesItsClientsConnections(t *testing.T) {
	for _, rest := range []float64{23000, 10 * 60000} {
		g := newTestGateway(t)
		caller := g.acceptClient()
		g.resume(caller, 7)
		g.gateway.OnClosed(g.now, caller.gatewayConn, ClosedNormally)
		g.advance(rest)
		g.endAtEndpoint(7)
		g.advance(1000)
		g.expectMessage(g.acceptAndStep().lastMessage(7), binarymessage.Release, binarymessage.Normal)
	}
}

// acceptAndStep accepts a connection of the client and lets the gateway send what waits for it.
func (g *testGateway) acceptAndStep() *testConn {
	conn := g.acceptClient()
	g.step()
	return conn
}

// TestMadeUpCallsMakeRoom guards against calls that can't be resumed because another client has named many that don't
// exist: its oldest ones make room. They never take more than their limit, and make room also once it has gone.
func TestMadeUpCallsMakeRoom(t *testing.T) {
	g := newTestGateway(t)
	madeUp := g.acceptFrom(clientAddr.Next())
	const firstMadeUp, extra = 1 << 32, 10
	g.resumeMany(madeUp, firstMadeUp, maxResumedCalls+extra)
	if n := len(madeUp.messages); n != extra {
		t.Errorf("%d calls above the limit were refused, want %d", n, extra)
	}
	caller := g.acceptClient()
	g.resumeMany(caller, 1, 100)
	if n := len(caller.messages); n > 0 {
		t.Errorf("%d calls of another client were refused, want none", n)
	}
	g.expectMessage(madeUp.lastMessage(firstMadeUp), binarymessage.Release, binarymessage.Failure)
	g.gateway.OnClosed(g.now, madeUp.gatewayConn, ClosedNormally)
	g.endAtEndpoint(1)
	g.expectMessage(caller.lastMessage(1), binarymessage.Release, binarymessage.Normal)
	g.advance(clientReleaseRetention + 1000)
	g.resumeMany(caller, 1000, maxResumedCalls/2-99)
	if n := len(caller.messages); n > 1 {
		t.Errorf("%d calls were refused after the other client had gone, want none", n-1)
	}
	if calls := g.gateway.OpenCounts().Calls; calls != maxResumedCalls {
		t.Errorf("%d calls are held, want %d", calls, maxResumedCalls)
	}
	if calls := g.gateway.EstablishedCalls(); calls != maxResumedCalls {
		t.Errorf("%d calls count as established, want %d", calls, maxResumedCalls)
	}
}

// TestAbsentClientsMakeRoom guards against calls that can't be resumed because many clients that have gone have each
// named fewer, and against one client that takes the places of all others by naming calls that don't exist.
func TestAbsentClientsMakeRoom(t *testing.T) {
	const clients = 128
	g := newTestGateway(t)
	address := clientAddr
	for i := range uint64(clients) {
		address = address.Next()
		conn := g.acceptFrom(address)
		g.resumeMany(conn, 1<<32+i<<16, maxResumedCalls/clients)
		g.gateway.OnClosed(g.now, conn.gatewayConn, ClosedNormally)
	}
	caller := g.acceptClient()
	g.resumeMany(caller, 1, maxResumedCalls/clients+1)
	if n := caller.countMessages(maxResumedCalls/clients+1, binarymessage.Release); n != 1 {
		t.Errorf("the call above an equal share got %d releases, want 1: the others may return", n)
	}
	g.advance(clientReleaseRetention + 1000)
	g.resumeMany(caller, 1000, maxResumedCalls)
	held := g.gateway.clients[clientAddr].resumed.calls.Len()
	if held < maxResumedCalls/2 || held > maxResumedCalls/2+1 {
		t.Errorf("one client holds %d of %d resumed calls, want half of them", held, maxResumedCalls)
	}
	if held = g.gateway.clients[address].resumed.calls.Len(); held == 0 {
		t.Error("an absent client has lost all of its calls, want some kept")
	}
}

// TestResumedAfterEndpointRestart guards against a call of the gateway's former process that is never released to its
// client: the endpoint restarted before the client resumed it, and its new process was taken for the one that had the
// call. The list may tell the start before the client comes or after.
func TestResumedAfterEndpointRestart(t *testing.T) {
	for _, toldFirst := range []bool{false, true} {
		g := newTestGateway(t)
		g.advance(3000)
		restarted := readyEntry("a", addrA, 0)
		restarted.StartedAt = g.now
		g.advance(1000)
		caller := g.acceptClient()
		if !toldFirst {
			g.resume(caller, 7)
		}
		g.setEndpoints(2, restarted, readyEntry("b", addrB, 1))
		g.step()
		if toldFirst {
			g.resume(caller, 7)
		}
		g.expectMessage(caller.lastMessage(7), binarymessage.Release, binarymessage.Failure)
		g.advance(endedCallRetention)
		caller = g.acceptClient()
		g.resume(caller, 8)
		if m := caller.lastMessage(8); m != nil {
			t.Errorf("a call that is named long after the restart got %x, want nothing", []byte(m))
		}
	}
}
