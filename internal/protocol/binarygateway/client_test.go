package binarygateway

import (
	"fmt"
	"slices"
	"testing"

	"cobaltpier/internal/decision/connlimit"
	"cobaltpier/internal/protocol/binarymessage"
)

// TestPendingReleases: a release whose connection has closed is sent on another connection of the client, or on its
// next.
func TestPendingReleases(t *testing.T) {
	r := newTestGateway(t)
	caller, otherCaller := r.newClient(), r.newClient()
	conn := r.establish(caller, 7)
	r.gateway.OnClosed(r.now, caller.gatewayConn, ClosedNormally)
	r.receive(conn, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	r.expect(otherCaller.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	conn = r.establish(otherCaller, 8)
	r.gateway.OnClosed(r.now, otherCaller.gatewayConn, ClosedNormally)
	r.receive(conn, binarymessage.Release, 8, binarymessage.CauseParam(binarymessage.Normal))
	r.advance(500)
	laterCaller := r.newClient()
	r.step()
	r.expect(laterCaller.lastMessage(8), binarymessage.Release, binarymessage.Normal)
}

// TestCallerReleases: a caller may release a call on any of its connections. The release goes to the endpoint on the
// connection of the setup, or on another if that has closed.
func TestCallerReleases(t *testing.T) {
	r := newTestGateway(t)
	caller, otherCaller := r.newClient(), r.newClient()
	conn := r.establish(caller, 7)
	r.receive(otherCaller, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	r.expect(conn.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	conn = r.establish(caller, 8)
	r.gateway.OnClosed(r.now, conn.gatewayConn, ClosedNormally)
	r.receive(caller, binarymessage.Release, 8, binarymessage.CauseParam(binarymessage.Normal))
	n := 0
	for _, other := range r.dialed {
		if other.address == addrA {
			n += other.count(8, binarymessage.Release)
		}
	}
	if n != 1 {
		t.Errorf("the endpoint got %d releases", n)
	}
}

// TestCanceled: a caller that cancels gets no answer. Its attempt is canceled, and an answer that crosses the cancel is
// released.
func TestCanceled(t *testing.T) {
	r := newTestGateway(t)
	r.policy.targets = []int{0}
	caller := r.newClient()
	r.receiveSetup(caller, 7)
	conn := r.connOf(7)
	r.receive(caller, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	r.expect(conn.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	r.receive(conn, binarymessage.Answer, 7, testDescription)
	if n := conn.count(7, binarymessage.Release); n != 2 {
		t.Errorf("%d releases were sent to the endpoint", n)
	}
	if caller.lastMessage(7) != nil {
		t.Errorf("the caller got %x", caller.lastMessage(7))
	}
	if !slices.Contains(r.policy.events, "hung up") {
		t.Errorf("the policy got %q", r.policy.events)
	}
}

// TestResumedCalls: after a restart of the gateway, callers resume their established calls. These can be released
// from both sides; a call that has already ended is released to the caller at once.
func TestResumedCalls(t *testing.T) {
	r := newTestGateway(t)
	caller := r.newClient()
	resume := func(id uint64, endpointID string) {
		r.receive(
			caller,
			binarymessage.Setup,
			id,
			binarymessage.TextParam(binarymessage.Class, "voice"),
			binarymessage.TextParam(binarymessage.Figures, "at:"+endpointID),
		)
	}
	var connA *testConn
	for _, conn := range r.dialed {
		if conn.address == addrA {
			connA = conn
		}
	}
	resume(7, "a")
	resume(7, "a") // a repeated resume is ignored
	if caller.lastMessage(7) != nil {
		t.Errorf("answered with %x", caller.lastMessage(7))
	}
	r.receive(connA, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	r.expect(caller.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	resume(8, "a")
	r.receive(caller, binarymessage.Release, 8, binarymessage.CauseParam(binarymessage.Normal))
	n := 0
	for _, conn := range r.dialed {
		n += conn.count(8, binarymessage.Release)
	}
	if n != 1 || caller.lastMessage(8) != nil {
		t.Errorf("the endpoint got %d releases, the caller %x", n, caller.lastMessage(8))
	}
	r.receive(
		connA,
		binarymessage.Release,
		9,
		binarymessage.CauseParam(binarymessage.Failure),
	) // the call ended before its caller resumed it
	resume(9, "a")
	r.expect(caller.lastMessage(9), binarymessage.Release, binarymessage.Failure)
	resume(10, "nobody")
	r.expect(caller.lastMessage(10), binarymessage.Release, binarymessage.Failure)
	if len(r.policy.events) > 0 && slices.Contains(r.policy.events, "offered") {
		t.Errorf("the policy was offered an established call: %q", r.policy.events)
	}
	if calls := r.gateway.OpenCounts().Calls; calls != 0 {
		t.Errorf("%d calls remain", calls)
	}
}

// TestDuplicateCallID: a setup with the ID of an open call closes its connection. The earlier call continues unless
// it was set up on that connection.
func TestDuplicateCallID(t *testing.T) {
	r := newTestGateway(t)
	r.policy.targets = []int{0, 0}
	caller, otherCaller := r.newClient(), r.newClient()
	r.receiveSetup(caller, 7)
	conn := r.connOf(7)
	r.receiveSetup(otherCaller, 7)
	if !otherCaller.closed || caller.closed {
		t.Errorf("closed: the second connection %v, the first %v", otherCaller.closed, caller.closed)
	}
	r.receive(conn, binarymessage.Answer, 7, testDescription)
	r.expect(caller.lastMessage(7), binarymessage.Answer, 0)
	r.receiveSetup(caller, 8)
	conn = r.connOf(8)
	r.receiveSetup(caller, 8)
	if !caller.closed {
		t.Error("the connection with two setups of one ID is still open")
	}
	r.expect(conn.lastMessage(8), binarymessage.Release, binarymessage.Normal)
}

// TestRejected: a rejected call is answered at once, with a Retry-After value.
func TestRejected(t *testing.T) {
	r := newTestGateway(t)
	caller := r.newClient()
	r.receiveSetup(caller, 7)
	r.expect(caller.lastMessage(7), binarymessage.Release, binarymessage.Congested)
	if retryAfter := caller.lastMessage(7).Text(binarymessage.RetryAfter); retryAfter != "300" {
		t.Errorf("got Retry-After %q ms, want 300", retryAfter)
	}
}

// TestMalformedMessages: malformed data closes the endpoint connection. Setups on it may have been executed; those
// on other connections continue.
func TestMalformedMessages(t *testing.T) {
	r := newTestGateway(t)
	r.openSecondConn()
	r.policy.targets = []int{0, 0}
	caller := r.newClient()
	r.receiveSetup(caller, 7)
	r.receiveSetup(caller, 8)
	one, other := r.connOf(7), r.connOf(8)
	if one == other {
		t.Fatal("both setups were sent on one connection")
	}
	r.gateway.OnData(r.now, one.gatewayConn, []byte{0xff, 0xff, 1})
	r.step()
	if !one.closed || other.closed {
		t.Errorf("closed: %v, the other %v", one.closed, other.closed)
	}
	if got := r.policy.events[len(r.policy.events)-1]; got != "ended 5 finished false capacity false busy false retry 0" {
		t.Errorf("the policy got %q", r.policy.events)
	}
	r.receive(other, binarymessage.Answer, 8, testDescription)
	r.expect(caller.lastMessage(8), binarymessage.Answer, 0)
}

// TestUnsolicitedAndDuplicateAnswers: of an answer with an unknown call ID and two answers to the call, the caller
// gets one answer, and nothing is released.
func TestUnsolicitedAndDuplicateAnswers(t *testing.T) {
	r := newTestGateway(t)
	r.policy.targets = []int{0}
	caller := r.newClient()
	r.receiveSetup(caller, 7)
	conn := r.connOf(7)
	r.receive(conn, binarymessage.Answer, 99, testDescription)
	r.receive(conn, binarymessage.Answer, 7, testDescription)
	r.receive(conn, binarymessage.Answer, 7, testDescription)
	if caller.count(7, binarymessage.Answer) != 1 || conn.count(7, binarymessage.Release) != 0 ||
		caller.lastMessage(99) != nil {
		t.Errorf("the caller got %x, the endpoint %x", caller.messages, conn.messages)
	}
}

// TestStalledReader: a caller that does not read is disconnected when its queue is too long, and does not block others.
func TestStalledReader(t *testing.T) {
	r := newTestGateway(t)
	caller, otherCaller := r.newClient(), r.newClient()
	caller.blocked = true
	for i := range uint64(20000) {
		r.gateway.OnData(
			r.now,
			caller.gatewayConn,
			binarymessage.Append(nil, binarymessage.HealthCheck, i+1, binarymessage.CauseParam(0)),
		)
		if r.gateway.Step(r.now); caller.closed {
			break
		}
	}
	if !caller.closed {
		t.Errorf("still open with %d bytes queued", caller.gatewayConn.outgoingBytes)
	}
	r.policy.targets = []int{0}
	r.receiveSetup(otherCaller, 7)
	r.receive(r.connOf(7), binarymessage.Answer, 7, testDescription)
	r.expect(otherCaller.lastMessage(7), binarymessage.Answer, 0)
}

// TestPartialMessagesOnIdleConn: a connection that was idle for long is not closed while a setup arrives in fragments.
func TestPartialMessagesOnIdleConn(t *testing.T) {
	r := newTestGateway(t)
	r.policy.targets = []int{0}
	caller := r.newClient()
	r.receive(caller, binarymessage.HealthCheck, 5, binarymessage.CauseParam(0))
	r.advance(6000)
	b := binarymessage.Append(
		nil,
		binarymessage.Setup,
		7,
		binarymessage.TextParam(binarymessage.Class, "voice"),
		binarymessage.TextParam(binarymessage.Timeout, "3000"),
		binarymessage.TextParam(binarymessage.Number, "1"),
		binarymessage.TextParam(binarymessage.Description, "v=0"),
	)
	r.gateway.OnData(r.now, caller.gatewayConn, b[:10])
	r.advance(900)
	r.gateway.OnData(r.now, caller.gatewayConn, b[10:20])
	r.advance(900)
	if caller.closed {
		t.Fatal("closed between two fragments")
	}
	r.gateway.OnData(r.now, caller.gatewayConn, b[20:])
	r.step()
	r.receive(r.connOf(7), binarymessage.Answer, 7, testDescription)
	r.expect(caller.lastMessage(7), binarymessage.Answer, 0)
}

// fillClientConns opens client connections up to the limit and sends one health check on each.
func (r *testGateway) fillClientConns() {
	for i := range uint64(connlimit.MaxClientConns(256)) {
		r.receive(r.newClient(), binarymessage.HealthCheck, 1000+i, binarymessage.CauseParam(0))
	}
}

// TestEvictionKeepsUnsentAnswers: a connection with an unsent answer for a slow reader is neither evicted nor closed as
// idle.
func TestEvictionKeepsUnsentAnswers(t *testing.T) {
	r := newTestGateway(t)
	r.policy.targets = []int{0}
	caller := r.newClient()
	r.receiveSetup(caller, 7)
	caller.blocked = true
	r.receive(caller, binarymessage.HealthCheck, 5, binarymessage.CauseParam(0)) // this message blocks the socket
	r.receive(r.connOf(7), binarymessage.Answer, 7, testDescription)
	r.receive(r.connOf(7), binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	r.fillClientConns()
	r.advance(3000)
	if caller.closed {
		t.Fatal("closed with an answer in its queue")
	}
	caller.blocked = false
	r.gateway.OnFlushed(r.now, caller.gatewayConn)
	r.step()
	if caller.count(7, binarymessage.Answer) != 1 || caller.count(7, binarymessage.Release) != 1 {
		t.Errorf("the caller got %x", caller.messages)
	}
}

// TestUnsentAnswersAtClose: when a client connection closes with unsent messages, releases are sent on another
// connection or the next one, and a call whose answer was not sent is released at its endpoint.
func TestUnsentAnswersAtClose(t *testing.T) {
	r := newTestGateway(t)
	caller := r.newClient()
	conn := r.establish(caller, 7)
	caller.blocked = true
	r.receive(caller, binarymessage.HealthCheck, 5, binarymessage.CauseParam(0))
	r.receive(
		conn,
		binarymessage.Release,
		7,
		binarymessage.CauseParam(binarymessage.Normal),
	) // the release stays in the caller's queue
	r.policy.targets = []int{0}
	r.receiveSetup(caller, 8)
	conn = r.connOf(8)
	r.receive(conn, binarymessage.Answer, 8, testDescription) // the answer stays there, too
	otherCaller := r.newClient()
	r.gateway.OnClosed(r.now, caller.gatewayConn, ClosedReset)
	r.step()
	r.expect(otherCaller.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	r.expect(conn.lastMessage(8), binarymessage.Release, binarymessage.Normal)
	if otherCaller.lastMessage(8) != nil {
		t.Errorf("a message about a call that ended with its connection: %x", otherCaller.lastMessage(8))
	}
	otherCaller.blocked = true
	r.receive(otherCaller, binarymessage.HealthCheck, 6, binarymessage.CauseParam(0))
	conn = r.receiveSetupAndAnswer(otherCaller, 9)
	r.receive(conn, binarymessage.Release, 9, binarymessage.CauseParam(binarymessage.Normal))
	r.gateway.OnClosed(r.now, otherCaller.gatewayConn, ClosedReset)
	r.advance(300)
	laterCaller := r.newClient()
	r.step()
	if laterCaller.count(9, binarymessage.Answer) != 0 {
		t.Errorf("the caller got %x", laterCaller.messages)
	}
	if calls := r.gateway.OpenCounts().Calls; calls != 0 {
		t.Errorf("%d calls remain", calls)
	}
}

// receiveSetupAndAnswer sets up a call and answers it, without checking that the caller gets the answer.
func (r *testGateway) receiveSetupAndAnswer(caller *testConn, id uint64) *testConn {
	r.policy.targets = []int{0}
	r.receiveSetup(caller, id)
	conn := r.connOf(id)
	r.receive(conn, binarymessage.Answer, id, testDescription)
	return conn
}

// TestCallerLeavesPendingCall: when the caller disconnects or cancels, no further attempt starts, whatever state
// its setup is in.
func TestCallerLeavesPendingCall(t *testing.T) {
	for name, wait := range map[string]func(*testGateway){
		"waits for a connection":   waitForConn,
		"waits in a connection":    waitInConn,
		"waits after an attempt":   waitAfterAttempt,
		"has an attempt in flight": func(r *testGateway) { r.receiveSetup(r.client, 7) },
	} {
		for _, closes := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, closes %v", name, closes), func(t *testing.T) {
				r := newTestGateway(t)
				r.policy.targets, r.policy.retries = []int{0, 1, 0, 1}, true
				r.client = r.newClient()
				wait(r)
				before := r.countSetups(7)
				r.callerGoes(closes)
				r.holdDials = false
				for _, conn := range r.dialed {
					conn.gatewayConn.writePending = false
				}
				r.advance(3000)
				if after := r.countSetups(7); after != before {
					t.Errorf("%d attempts before, %d after", before, after)
				}
				if calls := r.gateway.OpenCounts().Calls; calls != 0 || r.client.lastMessage(7) != nil {
					t.Errorf("%d calls remain, the caller got %x", calls, r.client.lastMessage(7))
				}
			})
		}
	}
}

func waitForConn(r *testGateway) {
	r.holdDials = true
	for _, conn := range r.connsTo(addrA) {
		r.gateway.OnClosed(r.now, conn.gatewayConn, ClosedNormally)
	}
	r.receiveSetup(r.client, 7)
}

func waitInConn(r *testGateway) {
	for _, conn := range r.connsTo(addrA) {
		r.gateway.OnData(r.now, conn.gatewayConn, binarymessage.Append(nil, binarymessage.LoadState, 0))
		conn.gatewayConn.writePending = true // an earlier write has not been sent
	}
	r.holdDials = true
	r.receiveSetup(r.client, 7)
}

func waitAfterAttempt(r *testGateway) {
	r.receiveSetup(r.client, 7)
	r.receive(r.connOf(7), binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Failure))
	r.advance(100)
}

// callerGoes makes the caller of call 7 disconnect or cancel.
func (r *testGateway) callerGoes(closes bool) {
	if closes {
		r.gateway.OnClosed(r.now, r.client.gatewayConn, ClosedNormally)
		return
	}
	r.gateway.OnData(r.now, r.client.gatewayConn, releaseMessage(7, binarymessage.Normal))
}

// countSetups returns how many setups of a call were sent to endpoints.
func (r *testGateway) countSetups(call uint64) (n int) {
	for _, conn := range r.dialed {
		n += conn.count(call, binarymessage.Setup)
	}
	return n
}

// TestCancelBeforeSetupIsSent: an attempt that is canceled before its setup is sent ends as not sent, and nothing
// is sent for it.
func TestCancelBeforeSetupIsSent(t *testing.T) {
	r := newTestGateway(t)
	r.policy.targets = []int{0}
	caller := r.newClient()
	r.gateway.OnData(
		r.now,
		caller.gatewayConn,
		binarymessage.Append(nil, binarymessage.Setup, 7, binarymessage.TextParam(binarymessage.Class, "voice"),
			binarymessage.TextParam(binarymessage.Timeout, "3000"), binarymessage.TextParam(binarymessage.Number, "1")),
	)
	r.gateway.ProcessBatch(r.now, nil) // starts the attempt; its setup is queued on the connection
	r.gateway.OnData(
		r.now,
		caller.gatewayConn,
		binarymessage.Append(nil, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal)),
	)
	r.advance(100)
	for _, conn := range r.dialed {
		if conn.lastMessage(7) != nil {
			t.Errorf("an endpoint got %x", conn.lastMessage(7))
		}
	}
	if got := r.policy.events[len(r.policy.events)-1]; got != "ended 7 finished true capacity false busy false retry 0" {
		t.Errorf("the policy got %q", r.policy.events)
	}
}

// TestEvictionAdmitsNewcomers: when idle connections reach the limit, a new connection is accepted and its call is
// set up.
func TestEvictionAdmitsNewcomers(t *testing.T) {
	r := newTestGateway(t)
	r.fillClientConns()
	r.advance(1000)
	for i := range uint64(5) {
		caller := r.newClient()
		if caller.gatewayConn == nil || caller.closed {
			t.Fatal("the new connection was closed")
		}
		r.policy.targets = []int{0}
		r.receiveSetup(caller, 7+i)
		r.receive(r.connOf(7+i), binarymessage.Answer, 7+i, testDescription)
		r.expect(caller.lastMessage(7+i), binarymessage.Answer, 0)
	}
}

// TestCloseWrite: before the process exits, pending calls are rejected and the sending sides of client connections are
// closed. After that no setup is accepted and nothing is written.
func TestCloseWrite(t *testing.T) {
	r := newTestGateway(t)
	r.policy.targets = []int{0, 0}
	caller, slow := r.newClient(), r.newClient()
	r.receiveSetup(caller, 7)
	slow.blocked = true
	r.receive(slow, binarymessage.HealthCheck, 5, binarymessage.CauseParam(0))
	r.receiveSetup(slow, 8)
	r.gateway.RejectAll(r.now)
	r.expect(caller.lastMessage(7), binarymessage.Release, binarymessage.Congested)
	if unsent, open := r.gateway.ClientConns(); unsent != 1 || open != 2 {
		t.Errorf("%d of %d connections have unsent data", unsent, open)
	}
	slow.blocked = false
	r.gateway.OnFlushed(r.now, slow.gatewayConn)
	r.gateway.Step(r.now)
	r.expect(slow.lastMessage(8), binarymessage.Release, binarymessage.Congested)
	if unsent, _ := r.gateway.ClientConns(); unsent != 0 {
		t.Errorf("%d connections have unsent data", unsent)
	}
	r.gateway.CloseClientWrites()
	before, eventsBefore := len(caller.messages), len(r.policy.events)
	r.receiveSetup(caller, 9)
	if len(r.policy.events) != eventsBefore {
		t.Errorf("the policy got %q", r.policy.events[eventsBefore:])
	}
	if !caller.writeClosed || !slow.writeClosed || caller.closed || len(caller.messages) != before {
		t.Errorf("write closed %v and %v, closed %v, got %x", caller.writeClosed, slow.writeClosed,
			caller.closed, caller.messages[before:])
	}
}
