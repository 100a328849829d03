package binarygateway

import (
	"slices"
	"testing"

	"cobaltpier/internal/protocol/binarymessage"
)

const resetEvent = "ended outcome=5 finished=false atCapacity=false numberBusy=false retryAfter=0"

// TestLostSetupReleased guards against a call that remains established at an endpoint under the ID of the next attempt:
// the answer to a setup may be lost with its connection. The setup is released on another connection, and the attempt
// ends only when the release was sent; without another connection the release precedes all setups on the next.
func TestLostSetupReleased(t *testing.T) {
	for _, otherConn := range []bool{true, false} {
		g := newTestGateway(t)
		if otherConn {
			g.openSecondConn()
		}
		g.policy.attemptOrder, g.policy.retryAfterFailure = []int{0, 0}, true
		g.deliverSetup(g.acceptClient(), 7)
		lost := g.setupConn(7)
		g.policy.events = nil
		g.gateway.OnClosed(g.now, lost.gatewayConn, ClosedReset)
		open := g.connsTo(addrA)
		for _, conn := range open {
			conn.blocked = true // until the release has been handed over
		}
		g.step()
		if ended := slices.Contains(g.policy.events, resetEvent); ended == otherConn {
			t.Errorf("other connection %v: the end of the attempt was reported %v before the release was sent", otherConn, ended)
		}
		for _, conn := range open {
			conn.blocked = false
			conn.messages = append(conn.messages, releaseMessage(7, binarymessage.Normal))
			g.gateway.OnFlushed(g.now, conn.gatewayConn)
		}
		g.advance(600)
		if !slices.Contains(g.policy.events, resetEvent) {
			t.Errorf("other connection %v: the policy got %q, want %q", otherConn, g.policy.events, resetEvent)
		}
		if n := g.countSetups(); n != 2 {
			t.Errorf("other connection %v: %d setups were sent, want 2", otherConn, n)
		}
		for _, conn := range g.connsTo(addrA) {
			setup, release := conn.countMessages(7, binarymessage.Setup), conn.countMessages(7, binarymessage.Release)
			if setup > 0 && (release != 1 || conn.lastMessage(7).Type() != binarymessage.Setup) {
				t.Errorf("other connection %v: the lost setup was not released before the second attempt", otherConn)
			}
		}
	}
}

// TestCallerReleaseNotLost guards against a call that goes on at its endpoint after its caller has released it: a
// release for which there is no connection waits for the next, and one that was lost unsent is sent again on another.
func TestCallerReleaseNotLost(t *testing.T) {
	g := newTestGateway(t)
	caller := g.acceptClient()
	conn := g.establish(caller, 7)
	g.holdDials = true
	g.gateway.OnClosed(g.now, conn.gatewayConn, ClosedReset)
	g.deliver(caller, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	for _, dialed := range g.connsTo(addrA) { // the dial fails, the endpoint is up again later
		g.gateway.OnClosed(g.now, dialed.gatewayConn, ClosedRefused)
	}
	g.holdDials = false
	g.advance(1000)
	released := 0
	for _, dialed := range g.dialed {
		released += dialed.countMessages(7, binarymessage.Release)
	}
	if released != 1 {
		t.Errorf("after a failed dial: %d releases were sent, want 1", released)
	}

	conn = g.establish(caller, 8)
	conn.blocked = true
	g.deliver(caller, binarymessage.Release, 8, binarymessage.CauseParam(binarymessage.Normal))
	g.gateway.OnClosed(g.now, conn.gatewayConn, ClosedReset)
	g.advance(1000)
	released = 0
	for _, dialed := range g.connsTo(addrA) {
		released += dialed.countMessages(8, binarymessage.Release)
	}
	if released != 1 {
		t.Errorf("after a reset: %d releases were sent, want 1", released)
	}
}
