package binarygateway

import (
	"testing"

	"cobaltpier/internal/protocol/binarymessage"
)

// establishAtFirst sets up a call at the first destination.
func (g *testGateway) establishAtFirst(caller *testConn, id uint64) {
	g.policy.attemptOrder = []int{0}
	g.deliverSetup(caller, id)
	g.deliver(g.setupConn(id), binarymessage.Answer, id, answerDescription)
}

// TestNewEndpointAtGoneAddress guards against calls that are released towards their clients while they are established
// at a new endpoint: it took over the address of one that had died, and was taken for that one until the list told.
func TestNewEndpointAtGoneAddress(t *testing.T) {
	g := newTestGateway(t)
	caller := g.acceptClient()
	g.establishAtFirst(caller, 7)
	g.advance(2000)
	startedAt := g.now
	for _, conn := range g.connsTo(addrA) { // its process dies, and the new one listens at once
		g.gateway.OnClosed(g.now, conn.gatewayConn, ClosedReset)
	}
	g.advance(500)
	for id := uint64(8); id <= 10; id++ {
		g.establishAtFirst(caller, id)
	}
	g.deliver(caller, binarymessage.Release, 10, binarymessage.CauseParam(binarymessage.Normal))
	successor := readyEntry("c", addrA, 0)
	successor.StartedAt = startedAt
	dialed := len(g.dialed)
	g.setEndpoints(2, successor, readyEntry("b", addrB, 1))
	g.advance(500)
	g.expectMessage(caller.lastMessage(7), binarymessage.Release, binarymessage.Failure)
	for id := uint64(8); id <= 9; id++ {
		g.expectMessage(caller.lastMessage(id), binarymessage.Answer, 0)
	}
	if len(g.dialed) == dialed {
		t.Fatal("no connection was opened to the new endpoint")
	}
	newConn := g.dialed[dialed]
	g.deliver(newConn, binarymessage.Release, 8, binarymessage.CauseParam(binarymessage.Normal))
	g.expectMessage(caller.lastMessage(8), binarymessage.Release, binarymessage.Normal)
	g.deliver(caller, binarymessage.Release, 9, binarymessage.CauseParam(binarymessage.Normal))
	g.expectMessage(newConn.lastMessage(9), binarymessage.Release, binarymessage.Normal)
	g.expectMessage(newConn.lastMessage(10), binarymessage.Release, binarymessage.Normal)
	if calls := g.gateway.OpenCounts().Calls; calls != 0 {
		t.Errorf("%d calls remain, want none", calls)
	}
}
