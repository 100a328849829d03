package binarygateway

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"cobaltpier/internal/decision/connlimit"
	"cobaltpier/internal/decision/loadshed"
	"cobaltpier/internal/protocol/binarymessage"
)

// TestPendingReleases: a release whose connection has closed is sent on another connection of the client, or on its
// next.
func TestPendingReleases(t *testing.T) {
	g := newTestGateway(t)
	caller, otherCaller := g.acceptClient(), g.acceptClient()
	conn := g.establish(caller, 7)
	g.gateway.OnClosed(g.now, caller.gatewayConn, ClosedNormally)
	g.deliver(conn, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	g.expectMessage(otherCaller.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	conn = g.establish(otherCaller, 8)
	g.gateway.OnClosed(g.now, otherCaller.gatewayConn, ClosedNormally)
	g.deliver(conn, binarymessage.Release, 8, binarymessage.CauseParam(binarymessage.Normal))
	g.advance(500)
	laterCaller := g.acceptClient()
	g.step()
	g.expectMessage(laterCaller.lastMessage(8), binarymessage.Release, binarymessage.Normal)
}

// TestManyPendingReleases guards against calls that are never released because many others of their client ended
// before them while it had no connection. Beyond the limit the oldest releases are dropped, and counted.
func TestManyPendingReleases(t *testing.T) {
	const excess = 1000
	for calls, dropped := range map[uint64]uint64{10000: 0, maxClientReleases + excess: excess} {
		g := newTestGateway(t)
		g.gateway.OnClosed(g.now, g.acceptClient().gatewayConn, ClosedReset)
		owner := g.gateway.clients[clientAddr]
		for id := uint64(1); id <= calls; id++ {
			owner.sendRelease(nil, id, binarymessage.Normal)
		}
		caller := g.acceptClient()
		g.step()
		if sent := uint64(len(caller.messages)); sent != calls-dropped ||
			g.gateway.Metrics.ClientReleases.Overflowed != dropped {
			t.Errorf("%d calls ended: %d releases were sent and %d counted as dropped, want %d and %d",
				calls, sent, g.gateway.Metrics.ClientReleases.Overflowed, calls-dropped, dropped)
		}
		g.expectMessage(caller.lastMessage(calls), binarymessage.Release, binarymessage.Normal)
		g.advance(2 * clientConfirmAfter)
		if held := caller.gatewayConn.client.outbox.Len(); held != 0 {
			t.Errorf("%d releases are held after all were sent", held)
		}
	}
}

// TestReleaseIsNotSentForever guards against a gateway that is kept busy by a client whose connections all end at once:
// it got each release that it is owed on each of its connections.
func TestReleaseIsNotSentForever(t *testing.T) {
	g := newTestGateway(t)
	caller := g.acceptClient()
	conn := g.establish(caller, 7)
	g.gateway.OnClosed(g.now, caller.gatewayConn, ClosedNormally)
	g.deliver(conn, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	sent := 0
	for range 100 {
		next := g.acceptAndStep()
		sent += next.countMessages(7, binarymessage.Release)
		g.gateway.OnClosed(g.now, next.gatewayConn, ClosedNormally)
		g.step()
	}
	if sent < 2 || sent > maxClientSends {
		t.Errorf("the release was sent on %d connections, want 2 to %d", sent, maxClientSends)
	}
	if owed := g.gateway.clientReleases; owed.Exceeded() || g.gateway.Metrics.ClientReleases.GivenUp != 1 {
		t.Errorf("%d releases were given up, want 1", g.gateway.Metrics.ClientReleases.GivenUp)
	}
}

// TestCallerReleases: a caller may release a call on any of its connections. The release goes to the endpoint on the
// connection of the setup, or on another if that has closed.
func TestCallerReleases(t *testing.T) {
	g := newTestGateway(t)
	caller, otherCaller := g.acceptClient(), g.acceptClient()
	conn := g.establish(caller, 7)
	g.deliver(otherCaller, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	g.expectMessage(conn.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	conn = g.establish(caller, 8)
	g.gateway.OnClosed(g.now, conn.gatewayConn, ClosedNormally)
	g.deliver(caller, binarymessage.Release, 8, binarymessage.CauseParam(binarymessage.Normal))
	n := 0
	for _, other := range g.dialed {
		if other.address == addrA {
			n += other.countMessages(8, binarymessage.Release)
		}
	}
	if n != 1 {
		t.Errorf("the endpoint got %d releases, want 1", n)
	}
}

// TestCanceled: a caller that cancels gets no answer. Its attempt is canceled, and an answer that crosses the cancel is
// released.
func TestCanceled(t *testing.T) {
	g := newTestGateway(t)
	g.policy.attemptOrder = []int{0}
	caller := g.acceptClient()
	g.deliverSetup(caller, 7)
	conn := g.setupConn(7)
	g.deliver(caller, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	g.expectMessage(conn.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	g.deliver(conn, binarymessage.Answer, 7, answerDescription)
	if n := conn.countMessages(7, binarymessage.Release); n != 2 {
		t.Errorf("the endpoint got %d releases, want 2", n)
	}
	if caller.lastMessage(7) != nil {
		t.Errorf("the caller got %x, want nothing", caller.lastMessage(7))
	}
	if !slices.Contains(g.policy.events, "hung up") {
		t.Errorf("the policy got %q, want \"hung up\" among them", g.policy.events)
	}
}

// TestResumedCalls: after a restart of the gateway, callers resume their established calls. These can be released
// from both sides; a call that has already ended is released to the caller at once.
func TestResumedCalls(t *testing.T) {
	g := newTestGateway(t)
	caller := g.acceptClient()
	resume := func(id uint64, endpointID string) {
		g.deliver(
			caller,
			binarymessage.Setup,
			id,
			binarymessage.TextParam(binarymessage.Class, "voice"),
			binarymessage.TextParam(binarymessage.RoutingParams, "at:"+endpointID),
		)
	}
	var connA *testConn
	for _, conn := range g.dialed {
		if conn.address == addrA {
			connA = conn
		}
	}
	resume(7, "a")
	resume(7, "a") // a repeated resume is ignored
	if caller.lastMessage(7) != nil {
		t.Errorf("the caller got %x after resuming a call, want nothing", caller.lastMessage(7))
	}
	g.deliver(connA, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	g.expectMessage(caller.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	resume(8, "a")
	g.deliver(caller, binarymessage.Release, 8, binarymessage.CauseParam(binarymessage.Normal))
	n := 0
	for _, conn := range g.dialed {
		n += conn.countMessages(8, binarymessage.Release)
	}
	if n != 1 || caller.lastMessage(8) != nil {
		t.Errorf("the endpoint got %d releases, want 1; the caller got %x, want nothing", n, caller.lastMessage(8))
	}
	g.deliver(
		connA,
		binarymessage.Release,
		9,
		binarymessage.CauseParam(binarymessage.Failure),
	) // the call ended before its caller resumed it
	resume(9, "a")
	g.expectMessage(caller.lastMessage(9), binarymessage.Release, binarymessage.Failure)
	resume(10, "nobody")
	g.expectMessage(caller.lastMessage(10), binarymessage.Release, binarymessage.Failure)
	if len(g.policy.events) > 0 && slices.Contains(g.policy.events, "offered") {
		t.Errorf("the policy was offered an established call: %q", g.policy.events)
	}
	if calls := g.gateway.OpenCounts().Calls; calls != 0 {
		t.Errorf("%d calls remain, want none", calls)
	}
}

// TestDuplicateCallID: a setup with the ID of an open call closes its connection. The earlier call continues unless
// it was set up on that connection.
func TestDuplicateCallID(t *testing.T) {
	g := newTestGateway(t)
	g.policy.attemptOrder = []int{0, 0}
	caller, otherCaller := g.acceptClient(), g.acceptClient()
	g.deliverSetup(caller, 7)
	conn := g.setupConn(7)
	g.deliverSetup(otherCaller, 7)
	if !otherCaller.closed || caller.closed {
		t.Errorf("second connection closed %v, want true; first connection closed %v, want false",
			otherCaller.closed, caller.closed)
	}
	g.deliver(conn, binarymessage.Answer, 7, answerDescription)
	g.expectMessage(caller.lastMessage(7), binarymessage.Answer, 0)
	g.deliverSetup(caller, 8)
	conn = g.setupConn(8)
	g.deliverSetup(caller, 8)
	if !caller.closed {
		t.Error("the connection with two setups of one ID is still open")
	}
	g.expectMessage(conn.lastMessage(8), binarymessage.Release, binarymessage.Normal)
}

// TestIDOfCanceledCall guards against a call that is executed twice: its caller leaves while an endpoint has the setup,
// and the same ID comes again on another connection, in the hold-off or later.
func TestIDOfCanceledCall(t *testing.T) {
	for _, closes := range []bool{false, true} {
		for _, gap := range []float64{0, 50, 600, 10000} {
			g := newTestGateway(t)
			g.policy.attemptOrder = []int{0, 1}
			caller := g.acceptClient()
			g.deliverSetup(caller, 7)
			if closes {
				g.gateway.OnClosed(g.now, caller.gatewayConn, ClosedNormally)
			} else {
				g.deliver(caller, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
			}
			g.step()
			g.advance(gap)
			again := g.acceptClient()
			g.deliverSetup(again, 7)
			g.advance(1000)
			setups := 0
			for _, conn := range g.dialed {
				setups += conn.countMessages(7, binarymessage.Setup)
			}
			if setups != 1 {
				t.Errorf("closes %v, again after %v ms: %d setups of the call were sent, want 1", closes, gap, setups)
			}
			g.expectMessage(again.lastMessage(7), binarymessage.Release, binarymessage.Failure)
		}
	}
}

// TestRejected: a rejected call is answered at once, with a Retry-After value.
func TestRejected(t *testing.T) {
	g := newTestGateway(t)
	caller := g.acceptClient()
	g.deliverSetup(caller, 7)
	g.expectMessage(caller.lastMessage(7), binarymessage.Release, binarymessage.Congested)
	if retryAfter := caller.lastMessage(7).Text(binarymessage.RetryAfter); retryAfter != "300" {
		t.Errorf("got Retry-After %q ms, want 300", retryAfter)
	}
}

// TestShed: a call that is not admitted is answered at once, with the Retry-After value of the policy, and not passed
// to the policy.
func TestShed(t *testing.T) {
	g := newTestGateway(t)
	g.gateway.LoadShedder.MaxPending = 0
	caller := g.acceptClient()
	g.deliverSetup(caller, 7)
	g.expectMessage(caller.lastMessage(7), binarymessage.Release, binarymessage.Congested)
	if retryAfter := caller.lastMessage(7).Text(binarymessage.RetryAfter); retryAfter != "250" {
		t.Errorf("got Retry-After %q ms, want 250", retryAfter)
	}
	if g.gateway.Counts.Shed != 1 || g.gateway.Counts.Accepted != 0 {
		t.Errorf("counts %+v, want one call that was shed", g.gateway.Counts)
	}
}

// TestMalformedMessages: malformed data closes the endpoint connection. Setups on it may have been executed; those
// on other connections continue.
func TestMalformedMessages(t *testing.T) {
	g := newTestGateway(t)
	g.openSecondConn()
	g.policy.attemptOrder = []int{0, 0}
	caller := g.acceptClient()
	g.deliverSetup(caller, 7)
	g.deliverSetup(caller, 8)
	conn, other := g.setupConn(7), g.setupConn(8)
	if conn == other {
		t.Fatal("both setups were sent on one connection")
	}
	g.gateway.OnData(g.now, conn.gatewayConn, []byte{0xff, 0xff, 1})
	g.step()
	if !conn.closed || other.closed {
		t.Errorf("connection with malformed data closed %v, want true; the other %v, want false", conn.closed, other.closed)
	}
	if got := g.policy.events[len(g.policy.events)-1]; got !=
		"ended outcome=5 finished=false atCapacity=false numberBusy=false retryAfter=0" {
		t.Errorf("the policy got %q", g.policy.events)
	}
	g.deliver(other, binarymessage.Answer, 8, answerDescription)
	g.expectMessage(caller.lastMessage(8), binarymessage.Answer, 0)
}

// TestUnsolicitedAndDuplicateAnswers: of an answer with an unknown call ID and two answers to the call, the caller
// gets one answer, and nothing is released.
func TestUnsolicitedAndDuplicateAnswers(t *testing.T) {
	g := newTestGateway(t)
	g.policy.attemptOrder = []int{0}
	caller := g.acceptClient()
	g.deliverSetup(caller, 7)
	conn := g.setupConn(7)
	g.deliver(conn, binarymessage.Answer, 99, answerDescription)
	g.deliver(conn, binarymessage.Answer, 7, answerDescription)
	g.deliver(conn, binarymessage.Answer, 7, answerDescription)
	if caller.countMessages(7, binarymessage.Answer) != 1 || conn.countMessages(7, binarymessage.Release) != 0 ||
		caller.lastMessage(99) != nil {
		t.Errorf("the caller got %x, want one answer to call 7; the endpoint got %x, want no release",
			caller.messages, conn.messages)
	}
}

// TestLargeSetupsAreLimitedByMemory guards against a gateway that goes over its memory limit because clients send many
// setups of the maximum size: they were limited by their number alone. Small ones are still admitted, and the memory is
// free again after the final answers.
func TestLargeSetupsAreLimitedByMemory(t *testing.T) {
	const processBytes, large = 32 << 20, 16000
	g := newTestGateway(t)
	g.gateway.setupMemory = loadshed.NewSetupMemory(processBytes)
	g.policy.holdCalls = true
	caller := g.acceptClient()
	for id := uint64(1); id <= 900; id++ {
		g.deliver(caller, binarymessage.Setup, id,
			binarymessage.TextParam(binarymessage.Class, "voice"),
			binarymessage.TextParam(binarymessage.Timeout, "3000"),
			binarymessage.TextParam(binarymessage.Number, "1"),
			binarymessage.Param{Code: binarymessage.Description, Value: make([]byte, large)})
	}
	held := 0
	for _, call := range g.gateway.calls {
		held += len(call.setup)
	}
	if held == 0 || held > processBytes/4 {
		t.Errorf("setups of %d bytes are held, want up to a quarter of %d", held, processBytes)
	}
	g.expectMessage(caller.lastMessage(900), binarymessage.Release, binarymessage.Congested)
	g.deliverSetup(g.acceptClient(), 1000)
	if g.gateway.calls[1000] == nil {
		t.Error("a small setup was refused, want it admitted")
	}
	g.gateway.OnClosed(g.now, caller.gatewayConn, ClosedNormally)
	g.step()
	if g.gateway.setupMemory != loadshed.NewSetupMemory(processBytes) {
		t.Errorf("memory %+v is taken by large setups, want none", g.gateway.setupMemory)
	}
}

// TestManyRoutingParams guards against a gateway that is kept busy by setups with thousands of short routing
// parameters: they are refused before these are read. Unknown ones are still allowed.
func TestManyRoutingParams(t *testing.T) {
	g := newTestGateway(t)
	g.policy.attemptOrder = []int{0}
	caller := g.acceptClient()
	deliver := func(id uint64, routingParams string) {
		g.deliver(caller, binarymessage.Setup, id,
			binarymessage.TextParam(binarymessage.Class, "voice"),
			binarymessage.TextParam(binarymessage.Timeout, "3000"),
			binarymessage.TextParam(binarymessage.Number, "1"),
			binarymessage.TextParam(binarymessage.RoutingParams, routingParams))
	}
	deliver(7, strings.Repeat("a:1;", 4000))
	g.expectMessage(caller.lastMessage(7), binarymessage.Release, binarymessage.Invalid)
	deliver(8, "dest:0;width:1;via:-1;"+strings.Repeat("a:1;", 200))
	g.setupConn(8)
}

// TestStalledReader: a caller that does not read is disconnected when its queue is too long, and does not block others.
func TestStalledReader(t *testing.T) {
	g := newTestGateway(t)
	caller, otherCaller := g.acceptClient(), g.acceptClient()
	caller.blocked = true
	for i := range uint64(20000) {
		g.gateway.OnData(
			g.now,
			caller.gatewayConn,
			binarymessage.Append(nil, binarymessage.HealthCheck, i+1, binarymessage.CauseParam(0)),
		)
		if g.gateway.Step(g.now); caller.closed {
			break
		}
	}
	if !caller.closed {
		t.Errorf("the connection is still open with %d bytes queued, want it closed", caller.gatewayConn.outgoingBytes)
	}
	g.policy.attemptOrder = []int{0}
	g.deliverSetup(otherCaller, 7)
	g.deliver(g.setupConn(7), binarymessage.Answer, 7, answerDescription)
	g.expectMessage(otherCaller.lastMessage(7), binarymessage.Answer, 0)
}

// TestPartialMessagesOnIdleConn: a connection that was idle for long is not closed while a setup arrives in fragments.
func TestPartialMessagesOnIdleConn(t *testing.T) {
	g := newTestGateway(t)
	g.policy.attemptOrder = []int{0}
	caller := g.acceptClient()
	g.deliver(caller, binarymessage.HealthCheck, 5, binarymessage.CauseParam(0))
	g.advance(6000)
	b := binarymessage.Append(
		nil,
		binarymessage.Setup,
		7,
		binarymessage.TextParam(binarymessage.Class, "voice"),
		binarymessage.TextParam(binarymessage.Timeout, "3000"),
		binarymessage.TextParam(binarymessage.Number, "1"),
		binarymessage.TextParam(binarymessage.Description, "v=0"),
	)
	g.gateway.OnData(g.now, caller.gatewayConn, b[:10])
	g.advance(900)
	g.gateway.OnData(g.now, caller.gatewayConn, b[10:20])
	g.advance(900)
	if caller.closed {
		t.Fatal("the connection was closed between two fragments of a setup")
	}
	g.gateway.OnData(g.now, caller.gatewayConn, b[20:])
	g.step()
	g.deliver(g.setupConn(7), binarymessage.Answer, 7, answerDescription)
	g.expectMessage(caller.lastMessage(7), binarymessage.Answer, 0)
}

// fillClientConns opens client connections up to the limit and sends one health check on each.
func (g *testGateway) fillClientConns() {
	for i := range uint64(connlimit.MaxClientConns(256)) {
		g.deliver(g.acceptClient(), binarymessage.HealthCheck, 1000+i, binarymessage.CauseParam(0))
	}
}

// TestEvictionKeepsUnsentAnswers: a connection with an unsent answer for a slow reader is neither evicted nor closed as
// idle.
func TestEvictionKeepsUnsentAnswers(t *testing.T) {
	g := newTestGateway(t)
	g.policy.attemptOrder = []int{0}
	caller := g.acceptClient()
	g.deliverSetup(caller, 7)
	caller.blocked = true
	g.deliver(caller, binarymessage.HealthCheck, 5, binarymessage.CauseParam(0)) // this message blocks the socket
	g.deliver(g.setupConn(7), binarymessage.Answer, 7, answerDescription)
	g.deliver(g.setupConn(7), binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	g.fillClientConns()
	g.advance(3000)
	if caller.closed {
		t.Fatal("the connection was closed with an answer in its queue")
	}
	caller.blocked = false
	g.gateway.OnFlushed(g.now, caller.gatewayConn)
	g.step()
	if caller.countMessages(7, binarymessage.Answer) != 1 || caller.countMessages(7, binarymessage.Release) != 1 {
		t.Errorf("the caller got %x, want one answer and one release", caller.messages)
	}
}

// TestUnsentAnswersAtClose: when a client connection closes with unsent messages, releases are sent on another
// connection or the next one, and a call whose answer was not sent is released at its endpoint.
func TestUnsentAnswersAtClose(t *testing.T) {
	g := newTestGateway(t)
	caller := g.acceptClient()
	conn := g.establish(caller, 7)
	caller.blocked = true
	g.deliver(caller, binarymessage.HealthCheck, 5, binarymessage.CauseParam(0))
	g.deliver(
		conn,
		binarymessage.Release,
		7,
		binarymessage.CauseParam(binarymessage.Normal),
	) // the release stays in the caller's queue
	g.policy.attemptOrder = []int{0}
	g.deliverSetup(caller, 8)
	conn = g.setupConn(8)
	g.deliver(conn, binarymessage.Answer, 8, answerDescription) // the answer stays there, too
	otherCaller := g.acceptClient()
	g.gateway.OnClosed(g.now, caller.gatewayConn, ClosedReset)
	g.step()
	g.expectMessage(otherCaller.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	g.expectMessage(conn.lastMessage(8), binarymessage.Release, binarymessage.Normal)
	if otherCaller.lastMessage(8) != nil {
		t.Errorf("the client got %x about a call that ended with its connection, want nothing", otherCaller.lastMessage(8))
	}
	otherCaller.blocked = true
	g.deliver(otherCaller, binarymessage.HealthCheck, 6, binarymessage.CauseParam(0))
	conn = g.receiveSetupAndAnswer(otherCaller, 9)
	g.deliver(conn, binarymessage.Release, 9, binarymessage.CauseParam(binarymessage.Normal))
	g.gateway.OnClosed(g.now, otherCaller.gatewayConn, ClosedReset)
	g.advance(300)
	laterCaller := g.acceptClient()
	g.step()
	if laterCaller.countMessages(9, binarymessage.Answer) != 0 {
		t.Errorf("the caller got %x, want no answer", laterCaller.messages)
	}
	if calls := g.gateway.OpenCounts().Calls; calls != 0 {
		t.Errorf("%d calls remain, want none", calls)
	}
}

// receiveSetupAndAnswer sets up a call and answers it, without checking that the caller gets the answer.
func (g *testGateway) receiveSetupAndAnswer(caller *testConn, id uint64) *testConn {
	g.policy.attemptOrder = []int{0}
	g.deliverSetup(caller, id)
	conn := g.setupConn(id)
	g.deliver(conn, binarymessage.Answer, id, answerDescription)
	return conn
}

// TestCallerLeavesPendingCall: when the caller disconnects or cancels, no further attempt starts, whatever state
// its setup is in.
func TestCallerLeavesPendingCall(t *testing.T) {
	for name, wait := range map[string]func(*testGateway){
		"waits for a connection":   waitForConn,
		"waits in a connection":    waitInConn,
		"waits after an attempt":   waitAfterAttempt,
		"has an attempt in flight": func(g *testGateway) { g.deliverSetup(g.client, 7) },
	} {
		for _, closes := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, closes %v", name, closes), func(t *testing.T) {
				g := newTestGateway(t)
				g.policy.attemptOrder, g.policy.retryAfterFailure = []int{0, 1, 0, 1}, true
				g.client = g.acceptClient()
				wait(g)
				before := g.countSetups()
				g.callerLeaves(closes)
				g.holdDials = false
				for _, conn := range g.dialed {
					conn.gatewayConn.writePending = false
				}
				g.advance(3000)
				if after := g.countSetups(); after != before {
					t.Errorf("%d attempts before the caller left, %d after; want no further ones", before, after)
				}
				if calls := g.gateway.OpenCounts().Calls; calls != 0 || g.client.lastMessage(7) != nil {
					t.Errorf("%d calls remain, want none; the caller got %x, want nothing", calls, g.client.lastMessage(7))
				}
			})
		}
	}
}

func waitForConn(g *testGateway) {
	g.holdDials = true
	for _, conn := range g.connsTo(addrA) {
		g.gateway.OnClosed(g.now, conn.gatewayConn, ClosedNormally)
	}
	g.deliverSetup(g.client, 7)
}

func waitInConn(g *testGateway) {
	for _, conn := range g.connsTo(addrA) {
		g.gateway.OnData(g.now, conn.gatewayConn, binarymessage.Append(nil, binarymessage.LoadState, 0))
		conn.gatewayConn.writePending = true // an earlier write has not been sent
	}
	g.holdDials = true
	g.deliverSetup(g.client, 7)
}

func waitAfterAttempt(g *testGateway) {
	g.deliverSetup(g.client, 7)
	g.deliver(g.setupConn(7), binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Failure))
	g.advance(100)
}

// callerLeaves makes the caller of call 7 disconnect or cancel.
func (g *testGateway) callerLeaves(closes bool) {
	if closes {
		g.gateway.OnClosed(g.now, g.client.gatewayConn, ClosedNormally)
		return
	}
	g.gateway.OnData(g.now, g.client.gatewayConn, releaseMessage(7, binarymessage.Normal))
}

// countSetups returns how many setups of call 7 were sent to endpoints.
func (g *testGateway) countSetups() (n int) {
	for _, conn := range g.dialed {
		n += conn.countMessages(7, binarymessage.Setup)
	}
	return n
}

// TestCancelBeforeSetupIsSent: an attempt that is canceled before its setup is sent ends as not sent, and nothing
// is sent for it.
func TestCancelBeforeSetupIsSent(t *testing.T) {
	g := newTestGateway(t)
	g.policy.attemptOrder = []int{0}
	caller := g.acceptClient()
	g.gateway.OnData(
		g.now,
		caller.gatewayConn,
		binarymessage.Append(nil, binarymessage.Setup, 7, binarymessage.TextParam(binarymessage.Class, "voice"),
			binarymessage.TextParam(binarymessage.Timeout, "3000"), binarymessage.TextParam(binarymessage.Number, "1")),
	)
	g.gateway.ProcessBatch(g.now, nil) // starts the attempt; its setup is queued on the connection
	g.gateway.OnData(
		g.now,
		caller.gatewayConn,
		binarymessage.Append(nil, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal)),
	)
	g.advance(100)
	for _, conn := range g.dialed {
		if conn.lastMessage(7) != nil {
			t.Errorf("an endpoint got %x, want nothing", conn.lastMessage(7))
		}
	}
	if got := g.policy.events[len(g.policy.events)-1]; got !=
		"ended outcome=7 finished=true atCapacity=false numberBusy=false retryAfter=0" {
		t.Errorf("the policy got %q", g.policy.events)
	}
}

// TestEvictionAdmitsNewcomers: when idle connections reach the limit, a new connection is accepted and its call is
// set up.
func TestEvictionAdmitsNewcomers(t *testing.T) {
	g := newTestGateway(t)
	g.fillClientConns()
	g.advance(1000)
	for i := range uint64(5) {
		caller := g.acceptClient()
		if caller.gatewayConn == nil || caller.closed {
			t.Fatal("the new connection was closed, want it open")
		}
		g.policy.attemptOrder = []int{0}
		g.deliverSetup(caller, 7+i)
		g.deliver(g.setupConn(7+i), binarymessage.Answer, 7+i, answerDescription)
		g.expectMessage(caller.lastMessage(7+i), binarymessage.Answer, 0)
	}
}

// TestCloseWrite: before the process exits, pending calls are rejected and the sending sides of client connections are
// closed. After that no setup is accepted and nothing is written.
func TestCloseWrite(t *testing.T) {
	g := newTestGateway(t)
	g.policy.attemptOrder = []int{0, 0}
	caller, slow := g.acceptClient(), g.acceptClient()
	g.deliverSetup(caller, 7)
	slow.blocked = true
	g.deliver(slow, binarymessage.HealthCheck, 5, binarymessage.CauseParam(0))
	g.deliverSetup(slow, 8)
	g.gateway.RejectAll(g.now)
	g.expectMessage(caller.lastMessage(7), binarymessage.Release, binarymessage.Congested)
	if unsent, open := g.gateway.ClientConns(); unsent != 1 || open != 2 {
		t.Errorf("%d of %d connections have unsent data, want 1 of 2", unsent, open)
	}
	slow.blocked = false
	g.gateway.OnFlushed(g.now, slow.gatewayConn)
	g.gateway.Step(g.now)
	g.expectMessage(slow.lastMessage(8), binarymessage.Release, binarymessage.Congested)
	if unsent, _ := g.gateway.ClientConns(); unsent != 0 {
		t.Errorf("%d connections have unsent data, want none", unsent)
	}
	g.gateway.CloseClientWrites()
	before, eventsBefore := len(caller.messages), len(g.policy.events)
	g.deliverSetup(caller, 9)
	if len(g.policy.events) != eventsBefore {
		t.Errorf("the policy got %q, want no event", g.policy.events[eventsBefore:])
	}
	if !caller.writeClosed || !slow.writeClosed || caller.closed || len(caller.messages) != before {
		t.Errorf("write closed %v and %v, closed %v, got %x", caller.writeClosed, slow.writeClosed,
			caller.closed, caller.messages[before:])
	}
}
