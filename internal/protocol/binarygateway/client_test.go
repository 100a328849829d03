package binarygateway

import (
	"fmt"
	"slices"
	"testing"

	"cobaltpier/internal/decision/connlimit"
	"cobaltpier/internal/protocol/binarymessage"
)

// A release finds its caller on another connection, or on the next one.
func TestPendingReleases(t *testing.T) {
	r := newTestGateway(t)
	c, d := r.newClient(), r.newClient()
	w := r.establish(c, 7)
	r.gateway.OnClosed(r.now, c.conn, ClosedNormally)
	r.receive(w, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	r.expect(d.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	w = r.establish(d, 8)
	r.gateway.OnClosed(r.now, d.conn, ClosedNormally)
	r.receive(w, binarymessage.Release, 8, binarymessage.CauseParam(binarymessage.Normal))
	r.advance(500)
	e := r.newClient()
	r.step()
	r.expect(e.lastMessage(8), binarymessage.Release, binarymessage.Normal)
}

// A caller releases what stands on any of its connections; the switch hears on the line of the setup, else on another.
func TestCallerReleases(t *testing.T) {
	r := newTestGateway(t)
	c, d := r.newClient(), r.newClient()
	w := r.establish(c, 7)
	r.receive(d, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	r.expect(w.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	w = r.establish(c, 8)
	r.gateway.OnClosed(r.now, w.conn, ClosedNormally)
	r.receive(c, binarymessage.Release, 8, binarymessage.CauseParam(binarymessage.Normal))
	n := 0
	for _, o := range r.dialed {
		if o.address == addrA {
			n += o.count(8, binarymessage.Release)
		}
	}
	if n != 1 {
		t.Errorf("the switch heard %d releases", n)
	}
}

// A caller that gives up is owed nothing; its attempt is canceled, and an answer that crosses that is released.
func TestCanceled(t *testing.T) {
	r := newTestGateway(t)
	r.policy.targets = []int{0}
	c := r.newClient()
	r.receiveSetup(c, 7)
	w := r.connOf(7)
	r.receive(c, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	r.expect(w.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	r.receive(w, binarymessage.Answer, 7, testDescription)
	if n := w.count(7, binarymessage.Release); n != 2 {
		t.Errorf("%d releases went to the switch", n)
	}
	if c.lastMessage(7) != nil {
		t.Errorf("the caller got %x", c.lastMessage(7))
	}
	if !slices.Contains(r.policy.events, "left") {
		t.Errorf("the module heard %q", r.policy.events)
	}
}

// After a restart callers tell of what stands: it is released both ways, and what is over already is told at once.
func TestResumedCalls(t *testing.T) {
	r := newTestGateway(t)
	c := r.newClient()
	at := func(id uint64, who string) {
		r.receive(
			c,
			binarymessage.Setup,
			id,
			binarymessage.TextParam(binarymessage.Class, "voice"),
			binarymessage.TextParam(binarymessage.Figures, "at:"+who),
		)
	}
	var line *testConn
	for _, w := range r.dialed {
		if w.address == addrA {
			line = w
		}
	}
	at(7, "a")
	at(7, "a") // it may name what is held already
	if c.lastMessage(7) != nil {
		t.Errorf("answered with %x", c.lastMessage(7))
	}
	r.receive(line, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	r.expect(c.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	at(8, "a")
	r.receive(c, binarymessage.Release, 8, binarymessage.CauseParam(binarymessage.Normal))
	n := 0
	for _, w := range r.dialed {
		n += w.count(8, binarymessage.Release)
	}
	if n != 1 || c.lastMessage(8) != nil {
		t.Errorf("the switch heard %d releases, the caller got %x", n, c.lastMessage(8))
	}
	r.receive(
		line,
		binarymessage.Release,
		9,
		binarymessage.CauseParam(binarymessage.Failure),
	) // it ended before its caller told of it
	at(9, "a")
	r.expect(c.lastMessage(9), binarymessage.Release, binarymessage.Failure)
	at(10, "nobody")
	r.expect(c.lastMessage(10), binarymessage.Release, binarymessage.Failure)
	if len(r.policy.events) > 0 && slices.Contains(r.policy.events, "offered") {
		t.Errorf("the module was offered a call that stands: %q", r.policy.events)
	}
	if calls := r.gateway.OpenCounts().Calls; calls != 0 {
		t.Errorf("%d calls are left", calls)
	}
}

// An open id again: the newcomer's connection is closed, the call that was there goes on, unless both are one
// connection's.
func TestDuplicateCallID(t *testing.T) {
	r := newTestGateway(t)
	r.policy.targets = []int{0, 0}
	c, d := r.newClient(), r.newClient()
	r.receiveSetup(c, 7)
	w := r.connOf(7)
	r.receiveSetup(d, 7)
	if !d.closed || c.closed {
		t.Errorf("closed: the newcomer's %v, the first one's %v", d.closed, c.closed)
	}
	r.receive(w, binarymessage.Answer, 7, testDescription)
	r.expect(c.lastMessage(7), binarymessage.Answer, 0)
	r.receiveSetup(c, 8)
	w = r.connOf(8)
	r.receiveSetup(c, 8)
	if !c.closed {
		t.Error("two setups under one id, and the connection stays")
	}
	r.expect(w.lastMessage(8), binarymessage.Release, binarymessage.Normal)
}

// A rejected call hears at once, with the time to come back.
func TestRejected(t *testing.T) {
	r := newTestGateway(t)
	c := r.newClient()
	r.receiveSetup(c, 7)
	r.expect(c.lastMessage(7), binarymessage.Release, binarymessage.Congested)
	if w := c.lastMessage(7).Text(binarymessage.RetryAfter); w != "300" {
		t.Errorf("told to stay away %q ms", w)
	}
}

// A line that brings noise is closed: the setups on it may have run, those on other lines go on.
func TestMalformedMessages(t *testing.T) {
	r := newTestGateway(t)
	r.openSecondConn()
	r.policy.targets = []int{0, 0}
	c := r.newClient()
	r.receiveSetup(c, 7)
	r.receiveSetup(c, 8)
	one, other := r.connOf(7), r.connOf(8)
	if one == other {
		t.Fatal("both are on one line")
	}
	r.gateway.OnData(r.now, one.conn, []byte{0xff, 0xff, 1})
	r.step()
	if !one.closed || other.closed {
		t.Errorf("closed: %v, the other %v", one.closed, other.closed)
	}
	if got := r.policy.events[len(r.policy.events)-1]; got != "ended 5 closed false agent false engaged false wait 0" {
		t.Errorf("the module heard %q", r.policy.events)
	}
	r.receive(other, binarymessage.Answer, 8, testDescription)
	r.expect(c.lastMessage(8), binarymessage.Answer, 0)
}

// A good answer after another's under an unknown id, and once more: one answer goes to the caller, nothing is released.
func TestUnsolicitedAndDuplicateAnswers(t *testing.T) {
	r := newTestGateway(t)
	r.policy.targets = []int{0}
	c := r.newClient()
	r.receiveSetup(c, 7)
	w := r.connOf(7)
	r.receive(w, binarymessage.Answer, 99, testDescription)
	r.receive(w, binarymessage.Answer, 7, testDescription)
	r.receive(w, binarymessage.Answer, 7, testDescription)
	if c.count(7, binarymessage.Answer) != 1 || w.count(7, binarymessage.Release) != 0 || c.lastMessage(99) != nil {
		t.Errorf("the caller got %x, the switch %x", c.messages, w.messages)
	}
}

// A caller that reads nothing is cut off when too much waits for it; it holds nobody up.
func TestStalledReader(t *testing.T) {
	r := newTestGateway(t)
	c, d := r.newClient(), r.newClient()
	c.blocked = true
	for i := range uint64(20000) {
		r.gateway.OnData(
			r.now,
			c.conn,
			binarymessage.Append(nil, binarymessage.HealthCheck, i+1, binarymessage.CauseParam(0)),
		)
		if r.gateway.Step(r.now); c.closed {
			break
		}
	}
	if !c.closed {
		t.Errorf("%d bytes wait", c.conn.outgoingBytes)
	}
	r.policy.targets = []int{0}
	r.receiveSetup(d, 7)
	r.receive(r.connOf(7), binarymessage.Answer, 7, testDescription)
	r.expect(d.lastMessage(7), binarymessage.Answer, 0)
}

// A caller's connection that was quiet for long and brings a setup in pieces is not closed between them.
func TestPartialMessagesOnIdleConn(t *testing.T) {
	r := newTestGateway(t)
	r.policy.targets = []int{0}
	c := r.newClient()
	r.receive(c, binarymessage.HealthCheck, 5, binarymessage.CauseParam(0))
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
	r.gateway.OnData(r.now, c.conn, b[:10])
	r.advance(900)
	r.gateway.OnData(r.now, c.conn, b[10:20])
	r.advance(900)
	if c.closed {
		t.Fatal("closed between two pieces")
	}
	r.gateway.OnData(r.now, c.conn, b[20:])
	r.step()
	r.receive(r.connOf(7), binarymessage.Answer, 7, testDescription)
	r.expect(c.lastMessage(7), binarymessage.Answer, 0)
}

// fillClientConns opens callers' connections, each used once, till one has to go.
func (r *testGateway) fillClientConns() {
	for i := range uint64(connlimit.MaxClientConns(256)) {
		r.receive(r.newClient(), binarymessage.HealthCheck, 1000+i, binarymessage.CauseParam(0))
	}
}

// An answer that waits behind a slow reader's socket is not lost to eviction, nor to the look for what is spent.
func TestEvictionKeepsUnsentAnswers(t *testing.T) {
	r := newTestGateway(t)
	r.policy.targets = []int{0}
	c := r.newClient()
	r.receiveSetup(c, 7)
	c.blocked = true
	r.receive(c, binarymessage.HealthCheck, 5, binarymessage.CauseParam(0)) // the socket has this, and does not take it
	r.receive(r.connOf(7), binarymessage.Answer, 7, testDescription)
	r.receive(r.connOf(7), binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	r.fillClientConns()
	r.advance(3000)
	if c.closed {
		t.Fatal("closed with an answer in its queue")
	}
	c.blocked = false
	r.gateway.OnFlushed(r.now, c.conn)
	r.step()
	if c.count(7, binarymessage.Answer) != 1 || c.count(7, binarymessage.Release) != 1 {
		t.Errorf("the caller got %x", c.messages)
	}
}

// What a link's end takes along goes another way: a release to another connection or the next one; a call whose caller
// never heard of it is released at its switch.
func TestUnsentAnswersAtClose(t *testing.T) {
	r := newTestGateway(t)
	c := r.newClient()
	w := r.establish(c, 7)
	c.blocked = true
	r.receive(c, binarymessage.HealthCheck, 5, binarymessage.CauseParam(0))
	r.receive(
		w,
		binarymessage.Release,
		7,
		binarymessage.CauseParam(binarymessage.Normal),
	) // its release waits in the queue
	r.policy.targets = []int{0}
	r.receiveSetup(c, 8)
	w = r.connOf(8)
	r.receive(w, binarymessage.Answer, 8, testDescription) // and so does the answer to another
	d := r.newClient()
	r.gateway.OnClosed(r.now, c.conn, ClosedReset)
	r.step()
	r.expect(d.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	r.expect(w.lastMessage(8), binarymessage.Release, binarymessage.Normal)
	if d.lastMessage(8) != nil {
		t.Errorf("a call that its caller gave up with its connection: %x", d.lastMessage(8))
	}
	d.blocked = true
	r.receive(d, binarymessage.HealthCheck, 6, binarymessage.CauseParam(0))
	w = r.receiveSetupAndAnswer(d, 9)
	r.receive(w, binarymessage.Release, 9, binarymessage.CauseParam(binarymessage.Normal))
	r.gateway.OnClosed(r.now, d.conn, ClosedReset)
	r.advance(300)
	e := r.newClient()
	r.step()
	if e.count(9, binarymessage.Answer) != 0 {
		t.Errorf("the caller got %x", e.messages)
	}
	if calls := r.gateway.OpenCounts().Calls; calls != 0 {
		t.Errorf("%d calls are left", calls)
	}
}

// receiveSetupAndAnswer makes a established call and whose answer waits.
func (r *testGateway) receiveSetupAndAnswer(c *testConn, id uint64) *testConn {
	r.policy.targets = []int{0}
	r.receiveSetup(c, id)
	w := r.connOf(id)
	r.receive(w, binarymessage.Answer, id, testDescription)
	return w
}

// TestCallerLeavesPendingCall: a caller that closes or cancels has gone, whatever its setup waits for. No attempt begins any more.
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
					conn.conn.writePending = false
				}
				r.advance(3000)
				if after := r.countSetups(7); after != before {
					t.Errorf("%d attempts before, %d after", before, after)
				}
				if calls := r.gateway.OpenCounts().Calls; calls != 0 || r.client.lastMessage(7) != nil {
					t.Errorf("%d calls are left, the caller got %x", calls, r.client.lastMessage(7))
				}
			})
		}
	}
}

func waitForConn(r *testGateway) {
	r.holdDials = true
	for _, conn := range r.connsTo(addrA) {
		r.gateway.OnClosed(r.now, conn.conn, ClosedNormally)
	}
	r.receiveSetup(r.client, 7)
}

func waitInConn(r *testGateway) {
	for _, conn := range r.connsTo(addrA) {
		r.gateway.OnData(r.now, conn.conn, binarymessage.Append(nil, binarymessage.LoadState, 0))
		conn.conn.writePending = true // under a batch that was not sent
	}
	r.holdDials = true
	r.receiveSetup(r.client, 7)
}

func waitAfterAttempt(r *testGateway) {
	r.receiveSetup(r.client, 7)
	r.receive(r.connOf(7), binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Failure))
	r.advance(100)
}

// callerGoes has the caller of call 7 close its connection or cancel.
func (r *testGateway) callerGoes(closes bool) {
	if closes {
		r.gateway.OnClosed(r.now, r.client.conn, ClosedNormally)
		return
	}
	r.gateway.OnData(r.now, r.client.conn, releaseMessage(7, binarymessage.Normal))
}

// countSetups is how many setups of a call went to endpoints.
func (r *testGateway) countSetups(call uint64) (n int) {
	for _, conn := range r.dialed {
		n += conn.count(call, binarymessage.Setup)
	}
	return n
}

// An attempt that is canceled before it has left has not run, and nothing of it goes out.
func TestCancelBeforeSetupIsSent(t *testing.T) {
	r := newTestGateway(t)
	r.policy.targets = []int{0}
	c := r.newClient()
	r.gateway.OnData(
		r.now,
		c.conn,
		binarymessage.Append(nil, binarymessage.Setup, 7, binarymessage.TextParam(binarymessage.Class, "voice"),
			binarymessage.TextParam(binarymessage.Timeout, "3000"), binarymessage.TextParam(binarymessage.Number, "1")),
	)
	r.gateway.ProcessBatch(r.now, nil) // it has been tried, and is in its line's queue
	r.gateway.OnData(
		r.now,
		c.conn,
		binarymessage.Append(nil, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal)),
	)
	r.advance(100)
	for _, w := range r.dialed {
		if w.lastMessage(7) != nil {
			t.Errorf("a switch got %x", w.lastMessage(7))
		}
	}
	if got := r.policy.events[len(r.policy.events)-1]; got != "ended 7 closed true agent false engaged false wait 0" {
		t.Errorf("the module heard %q", r.policy.events)
	}
}

// Callers that asked once and keep their connections fill all places: one that has just come is let in, and served.
func TestEvictionAdmitsNewcomers(t *testing.T) {
	r := newTestGateway(t)
	r.fillClientConns()
	r.advance(1000)
	for i := range uint64(5) {
		c := r.newClient()
		if c.conn == nil || c.closed {
			t.Fatal("who has just come was shut out")
		}
		r.policy.targets = []int{0}
		r.receiveSetup(c, 7+i)
		r.receive(r.connOf(7+i), binarymessage.Answer, 7+i, testDescription)
		r.expect(c.lastMessage(7+i), binarymessage.Answer, 0)
	}
}

// Before the process goes: what is held is answered, and then callers' connections end in order; what comes after that
// is not taken, and nothing is written any more.
func TestCloseWrite(t *testing.T) {
	r := newTestGateway(t)
	r.policy.targets = []int{0, 0}
	c, slow := r.newClient(), r.newClient()
	r.receiveSetup(c, 7)
	slow.blocked = true
	r.receive(slow, binarymessage.HealthCheck, 5, binarymessage.CauseParam(0))
	r.receiveSetup(slow, 8)
	r.gateway.RejectAll(r.now)
	r.expect(c.lastMessage(7), binarymessage.Release, binarymessage.Congested)
	if unsent, open := r.gateway.ClientConns(); unsent != 1 || open != 2 {
		t.Errorf("%d of %d have something that has not left", unsent, open)
	}
	slow.blocked = false
	r.gateway.OnFlushed(r.now, slow.conn)
	r.gateway.Step(r.now)
	r.expect(slow.lastMessage(8), binarymessage.Release, binarymessage.Congested)
	if unsent, _ := r.gateway.ClientConns(); unsent != 0 {
		t.Errorf("%d have something that has not left", unsent)
	}
	r.gateway.CloseClientWrites()
	before, heard := len(c.messages), len(r.policy.events)
	r.receiveSetup(c, 9)
	if len(r.policy.events) != heard {
		t.Errorf("the module heard %q", r.policy.events[heard:])
	}
	if !c.writeClosed || !slow.writeClosed || c.closed || len(c.messages) != before {
		t.Errorf("ended %v and %v, shut %v, got %x", c.writeClosed, slow.writeClosed, c.closed, c.messages[before:])
	}
}
