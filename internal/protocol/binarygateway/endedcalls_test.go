package binarygateway

import (
	"testing"

	"cobaltpier/internal/protocol/binarymessage"
)

// deliverReleases passes releases of the calls with the given IDs from an endpoint to the gateway, in one stream.
func (g *testGateway) deliverReleases(conn *testConn, from, to uint64) {
	var stream []byte
	for id := from; id < to; id++ {
		stream = append(stream, releaseMessage(id, binarymessage.Normal)...)
	}
	g.gateway.OnData(g.now, conn.gatewayConn, stream)
	g.step()
}

// resume passes a setup from a client that names a call as established at the first endpoint.
func (g *testGateway) resume(caller *testConn, id uint64) {
	g.deliver(caller, binarymessage.Setup, id,
		binarymessage.TextParam(binarymessage.Class, "voice"),
		binarymessage.TextParam(binarymessage.RoutingParams, "at:a"))
}

// TestNewestEndsRemembered guards against calls that are resumed although they have ended, and never released: the
// endpoint repeats far more releases than are remembered, and those of the calls that ended last come last.
func TestNewestEndsRemembered(t *testing.T) {
	const repeated, ended = 10 * maxEndedCalls, 2000
	g := newTestGateway(t)
	conn := g.connsTo(addrA)[0]
	g.deliverReleases(conn, 1, 1+repeated)
	caller := g.acceptClient()
	for id := uint64(1 + repeated - ended); id <= repeated; id++ {
		g.resume(caller, id)
		if m := caller.lastMessage(id); m == nil || m.Type() != binarymessage.Release {
			t.Fatalf("call %d had ended as one of the last %d; its client got %x, want a release", id, ended, []byte(m))
		}
	}
	_, remembered := g.gateway.RememberedCounts()
	if remembered > maxEndedCalls || uint64(remembered)+g.gateway.Metrics.EndedCallsDropped != repeated {
		t.Errorf("%d ended calls are remembered and %d were dropped, want %d in all and %d at most remembered",
			remembered, g.gateway.Metrics.EndedCallsDropped, repeated, maxEndedCalls)
	}
}

// TestEndRememberedForLateClient guards against the same where the client comes back long after the release, and asks
// twice. Then the end is forgotten.
func TestEndRememberedForLateClient(t *testing.T) {
	g := newTestGateway(t)
	g.deliverReleases(g.connsTo(addrA)[0], 7, 8)
	g.advance(30000)
	for range 2 {
		caller := g.acceptClient()
		g.resume(caller, 7)
		g.expectMessage(caller.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	}
	g.advance(6000)
	if _, remembered := g.gateway.RememberedCounts(); remembered != 0 {
		t.Errorf("%d ended calls are remembered, want none", remembered)
	}
}

// TestResumedAfterLostRelease guards against a call that has ended here and is taken over as established: its release
// was lost with the connection of its client, which resumes it on the next one, and there it is lost unsent.
func TestResumedAfterLostRelease(t *testing.T) {
	g := newTestGateway(t)
	caller := g.acceptClient()
	conn := g.establish(caller, 7)
	g.deliver(conn, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	g.gateway.OnClosed(g.now, caller.gatewayConn, ClosedReset)
	second := g.acceptClient()
	second.blocked = true
	g.resume(second, 7)
	g.gateway.OnClosed(g.now, second.gatewayConn, ClosedReset)
	g.advance(100)
	third := g.acceptClient()
	g.step()
	g.expectMessage(third.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	if calls := g.gateway.OpenCounts().Calls; calls != 0 {
		t.Errorf("%d calls are established, want none", calls)
	}
}
