package binarygateway

import (
	"net/netip"
	"slices"
	"testing"

	"cobaltpier/internal/decision/connlimit"
	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/protocol/dnsdiscovery"
	"cobaltpier/internal/routing"
)

// A call passes both ways, its description unchanged, and is released towards its caller when its switch ends it.
func TestCall(t *testing.T) {
	r := newTestGateway(t)
	r.policy.targets = []int{0}
	c := r.newClient()
	r.receiveSetup(c, 7)
	w := r.connOf(7)
	m := w.lastMessage(7)
	if w.address != addrA || m.Text(binarymessage.Class) != "voice" ||
		m.Text(binarymessage.Number) != "7f3a9c21e0b4d655" ||
		m.Text(binarymessage.Description) != "v=0" {
		t.Errorf("to %v: %q", w.address, m)
	}
	if _, there := m.Get(binarymessage.Figures); there {
		t.Error("the caller's figures went to the switch")
	}
	if left, _ := parseNumber(m.Text(binarymessage.Timeout)); left < 2990 || left > 3000 {
		t.Errorf("the gateway waits %v ms", left)
	}
	r.receive(
		w,
		binarymessage.Answer,
		7,
		testDescription,
		binarymessage.TextParam(binarymessage.Report, "free:3;size:40;busy:0.5;q:2"),
	)
	r.expect(c.lastMessage(7), binarymessage.Answer, 0)
	if d := c.lastMessage(7).Text(binarymessage.Description); d != "v=0 answer" {
		t.Errorf("the caller got %q", d)
	}
	r.receive(w, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	r.expect(c.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	if want := []string{
		"offered",
		"report 0 free 3 of 40",
		"stood",
		"ended 0 closed true agent false engaged false wait 0",
	}; !slices.Equal(r.policy.events, want) {
		t.Errorf("the module heard %q", r.policy.events)
	}
	if calls := r.gateway.OpenCounts().Calls; calls != 0 {
		t.Errorf("%d calls are left", calls)
	}
}

// Causes and notes of a switch mean what the platform's table says.
func TestEnds(t *testing.T) {
	for _, x := range []struct {
		cause byte
		note  string
		wait  string
		want  string
	}{
		{binarymessage.NoCircuit, "all_trunks_busy", "", "ended 2 closed false agent true engaged false wait 0"},
		{binarymessage.NoCircuit, "cpu_full", "320", "ended 2 closed false agent false engaged false wait 320"},
		{binarymessage.UserBusy, "number_busy", "", "ended 1 closed false agent false engaged true wait 0"},
		{binarymessage.Fault, "", "", "ended 1 closed false agent false engaged false wait 0"},
		{binarymessage.NeverSent, "", "", "ended 7 closed false agent false engaged false wait 0"},
		{binarymessage.Failure, "", "", "ended 5 closed false agent false engaged false wait 0"},
		{99, "", "", "ended 5 closed false agent false engaged false wait 0"},
	} {
		r := newTestGateway(t)
		r.policy.targets = []int{0}
		r.receiveSetup(r.newClient(), 7)
		of := []binarymessage.Param{binarymessage.CauseParam(x.cause), binarymessage.TextParam(binarymessage.Note, x.note)}
		if x.wait != "" {
			of = append(of, binarymessage.TextParam(binarymessage.QueueDelay, x.wait))
		}
		r.receive(r.connOf(7), binarymessage.Release, 7, of...)
		if got := r.policy.events[len(r.policy.events)-1]; got != x.want {
			t.Errorf("cause %d note %q: the module heard %q, want %q", x.cause, x.note, got, x.want)
		}
	}
}

// The answer to an attempt that was given up comes when another attempt of the call stands at the same switch: a
// release there would cut the call. At another switch it is released.
func TestLateAnswerOfAnEarlierRing(t *testing.T) {
	for _, second := range []int{0, 1} {
		r := newTestGateway(t)
		r.policy.targets, r.policy.retries = []int{0, second}, true
		c := r.newClient()
		r.receiveSetup(c, 7)
		first := r.connOf(7)
		r.policy.host.CancelAttempt(r.policy.lastCall.InFlight)
		r.step()
		r.expect(first.lastMessage(7), binarymessage.Release, binarymessage.Normal)
		r.advance(600)
		w := r.connOf(7)
		r.receive(w, binarymessage.Answer, 7, testDescription)
		r.expect(c.lastMessage(7), binarymessage.Answer, 0)
		before := first.count(7, binarymessage.Release)
		r.receive(first, binarymessage.Answer, 7, testDescription)
		if got := first.count(7, binarymessage.Release) - before; got != second {
			t.Errorf("the second ring stands at %d: the late answer was released %d times", second, got)
		}
		if c.count(7, binarymessage.Answer) != 1 || c.count(7, binarymessage.Release) != 0 {
			t.Error("the caller heard of it")
		}
	}
}

// The same while the second attempt is still out there: released only when that has ended without standing.
func TestLateAnswerWhileRinging(t *testing.T) {
	r := newTestGateway(t)
	r.second()
	r.policy.targets, r.policy.retries = []int{0, 0}, true
	c := r.newClient()
	r.receiveSetup(c, 7)
	first := r.connOf(7)
	r.policy.host.CancelAttempt(r.policy.lastCall.InFlight)
	r.advance(600)
	w := r.connOf(7)
	if w == first {
		t.Fatal("both rings went out on one line")
	}
	before := first.count(7, binarymessage.Release)
	r.receive(first, binarymessage.Answer, 7, testDescription)
	if first.count(7, binarymessage.Release) != before || w.count(7, binarymessage.Release) != 0 {
		t.Error("the ring that is out was released")
	}
	r.receive(w, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.NoCircuit))
	r.expect(w.lastMessage(7), binarymessage.Release, binarymessage.Normal)
}

// A setup that waits in our buffer when its endpoint drains is withdrawn, and known not to have run.
func TestWithdrawn(t *testing.T) {
	r := newTestGateway(t)
	r.policy.targets = []int{0}
	for _, w := range r.dialed {
		w.blocked = w.address == addrA
	}
	r.holdDials = true
	r.receive(r.dialed[0], binarymessage.LoadState, 0) // nothing is under way: lines take what comes
	for _, w := range r.dialed {                       // something is before the setup, and does not leave
		if w.address == addrA {
			w.conn.send(binarymessage.Append(nil, binarymessage.ReleaseComplete, 1))
		}
	}
	r.step()
	c := r.newClient()
	r.receiveSetup(c, 7)
	r.setEndpoints(
		2,
		dnsdiscovery.Target{ID: "a", Addr: addrA, DestinationID: 0, State: routing.Draining},
		readyTarget("b", addrB, 1),
	)
	r.step()
	for _, w := range r.dialed {
		w.blocked = false
		r.gateway.OnFlushed(r.now, w.conn)
	}
	r.holdDials = false
	r.step()
	for _, w := range r.dialed {
		if w.count(7, binarymessage.Setup) != 0 {
			t.Error("the set-up went to a switch that drains")
		}
	}
	if got := r.policy.events[len(r.policy.events)-1]; got != "ended 7 closed false agent false engaged false wait 0" {
		t.Errorf("the module heard %q", r.policy.events)
	}
}

// second has a second line up to the first switch: setups under way at once want it.
func (r *testGateway) second() {
	r.policy.targets = []int{0, 0}
	c := r.newClient()
	r.receiveSetup(c, 101)
	r.receiveSetup(c, 102)
	for _, id := range []uint64{101, 102} {
		r.receive(r.connOf(id), binarymessage.Release, id, binarymessage.CauseParam(binarymessage.NoCircuit))
	}
	if n := len(r.linesTo(addrA)); n != 2 {
		r.Fatalf("%d lines are up", n)
	}
}

// stood makes a established call at the first switch.
func (r *testGateway) stood(c *testConn, id uint64) *testConn {
	r.Helper()
	r.policy.targets = []int{0}
	r.receiveSetup(c, id)
	w := r.connOf(id)
	r.receive(w, binarymessage.Answer, id, testDescription)
	r.expect(c.lastMessage(id), binarymessage.Answer, 0)
	return w
}

// linesTo is the lines to an address that are not closed.
func (r *testGateway) linesTo(a netip.AddrPort) (of []*testConn) {
	for _, w := range r.dialed {
		if w.address == a && !w.conn.closed {
			of = append(of, w)
		}
	}
	return
}

// refuse has an address refuse whatever dials it for so many ms.
func (r *testGateway) refuse(a netip.AddrPort, ms float64) {
	for end := r.now + ms; r.now < end; r.now += 10 {
		r.step()
		for _, w := range r.linesTo(a) {
			if !w.conn.connected {
				r.gateway.OnClosed(r.now, w.conn, ClosedRefused)
			}
		}
	}
	r.step()
}

// A switch whose process has died has cut its calls: lines that are reset and then a refused connection show it, and
// callers hear at once.
func TestDied(t *testing.T) {
	r := newTestGateway(t)
	c := r.newClient()
	r.stood(c, 7)
	r.holdDials = true
	for _, w := range r.linesTo(addrA) {
		r.gateway.OnClosed(r.now, w.conn, ClosedReset)
	}
	r.step()
	r.expect(c.lastMessage(7), binarymessage.Answer, 0) // a reset alone proves nothing
	r.refuse(addrA, 50)
	r.expect(c.lastMessage(7), binarymessage.Release, binarymessage.Failure)
}

// One that drains takes no more lines and says little: while a line is up its calls go on, and their ends come there.
func TestDrainsAndRefuses(t *testing.T) {
	for _, told := range []bool{false, true} {
		r := newTestGateway(t)
		c := r.newClient()
		w := r.stood(c, 7)
		if told {
			r.setEndpoints(
				2,
				dnsdiscovery.Target{ID: "a", Addr: addrA, DestinationID: 0, State: routing.Draining},
				readyTarget("b", addrB, 1),
			)
		}
		r.holdDials = true
		for _, o := range r.linesTo(addrA) {
			if o != w {
				r.gateway.OnClosed(r.now, o.conn, ClosedNormally)
			}
		}
		before := len(r.dialed)
		r.refuse(addrA, 12000)
		r.expect(c.lastMessage(7), binarymessage.Answer, 0)
		if n := len(r.dialed) - before; n > 14 {
			t.Errorf("told %v: %d lines were tried in 12 s", told, n)
		}
		r.receive(w, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
		r.expect(c.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	}
}

// Where all its lines were closed in order it lives on too, but a call may end there unheard: its caller is told before
// it would count as left standing.
func TestDrainsWithoutLine(t *testing.T) {
	r := newTestGateway(t)
	c := r.newClient()
	r.stood(c, 7)
	r.holdDials = true
	for _, w := range r.linesTo(addrA) {
		r.gateway.OnClosed(r.now, w.conn, ClosedNormally)
	}
	r.refuse(addrA, 6000)
	r.expect(c.lastMessage(7), binarymessage.Answer, 0)
	r.refuse(addrA, 1500)
	r.expect(c.lastMessage(7), binarymessage.Release, binarymessage.Failure)
}

// A switch that accepts and then resets, again and again, is dialled ever more seldom, and its calls are over in time.
func TestKilledBehindAccept(t *testing.T) {
	r := newTestGateway(t)
	c := r.newClient()
	r.stood(c, 7)
	before := len(r.dialed)
	r.holdDials = true
	for end := r.now + 5500; r.now < end; r.now += 10 {
		for _, w := range r.linesTo(addrA) {
			if !w.conn.connected {
				r.gateway.OnConnected(r.now, w.conn)
			}
			r.gateway.OnClosed(r.now, w.conn, ClosedReset)
		}
		r.step()
	}
	if n := len(r.dialed) - before; n > 20 {
		t.Errorf("%d lines were tried in 5.5 s", n)
	}
	r.expect(c.lastMessage(7), binarymessage.Release, binarymessage.Failure)
}

// A machine that has vanished says nothing and takes no line: its calls are over soon, and not before.
func TestVanished(t *testing.T) {
	r := newTestGateway(t)
	c := r.newClient()
	r.stood(c, 7)
	r.holdDials = true
	r.advance(3000)
	r.expect(c.lastMessage(7), binarymessage.Answer, 0)
	r.advance(4000)
	r.expect(c.lastMessage(7), binarymessage.Release, binarymessage.Failure)
}

// One that is only quiet takes a new line and says its state: its calls go on.
func TestQuiet(t *testing.T) {
	r := newTestGateway(t)
	c := r.newClient()
	r.stood(c, 7)
	r.advance(12000)
	r.expect(c.lastMessage(7), binarymessage.Answer, 0)
	n := 0
	for _, w := range r.dialed {
		if w.address == addrA && !w.conn.closed {
			n++
		}
	}
	if n > maxReportingConns {
		t.Errorf("%d lines are open", n)
	}
}

// A switch that the list calls started anew, or gone, has cut the calls from before.
func TestListCuts(t *testing.T) {
	for _, next := range [][]dnsdiscovery.Target{
		{{ID: "a", Addr: addrA, DestinationID: 0, State: routing.Ready, StartedAt: 1e6 + 5000}, readyTarget("b", addrB, 1)},
		{readyTarget("b", addrB, 1)},
		{readyTarget("c", addrA, 0), readyTarget("b", addrB, 1)}, // another has its address now
	} {
		r := newTestGateway(t)
		c := r.newClient()
		old := r.stood(c, 7)
		r.advance(5100)
		r.expect(c.lastMessage(7), binarymessage.Answer, 0)
		r.setEndpoints(2, next...)
		r.step()
		r.expect(c.lastMessage(7), binarymessage.Release, binarymessage.Failure)
		if gone := next[0].ID != "a"; old.closed != gone {
			t.Errorf("gone %v, its line is shut %v", gone, old.closed)
		}
		r.receive(old, binarymessage.Answer, 7, testDescription) // a late word of the old one reaches nobody
		r.expect(c.lastMessage(7), binarymessage.Release, binarymessage.Failure)
	}
}

// A release finds its caller on another connection, or on the next one.
func TestOwed(t *testing.T) {
	r := newTestGateway(t)
	c, d := r.newClient(), r.newClient()
	w := r.stood(c, 7)
	r.gateway.OnClosed(r.now, c.conn, ClosedNormally)
	r.receive(w, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	r.expect(d.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	w = r.stood(d, 8)
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
	w := r.stood(c, 7)
	r.receive(d, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	r.expect(w.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	w = r.stood(c, 8)
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
func TestGivenUp(t *testing.T) {
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
func TestResumed(t *testing.T) {
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
func TestSameID(t *testing.T) {
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
		t.Error("two set-ups under one id, and the connection stays")
	}
	r.expect(w.lastMessage(8), binarymessage.Release, binarymessage.Normal)
}

// A rejected call hears at once, with the time to come back.
func TestDeferred(t *testing.T) {
	r := newTestGateway(t)
	c := r.newClient()
	r.receiveSetup(c, 7)
	r.expect(c.lastMessage(7), binarymessage.Release, binarymessage.Congested)
	if w := c.lastMessage(7).Text(binarymessage.RetryAfter); w != "300" {
		t.Errorf("told to stay away %q ms", w)
	}
}

// A line that brings noise is closed: the setups on it may have run, those on other lines go on.
func TestNoise(t *testing.T) {
	r := newTestGateway(t)
	r.second()
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
func TestMoreThanBelongs(t *testing.T) {
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

// A connection refused is told from a silent one by its time, and both from a reset; nothing ran at either.
func TestNoConnection(t *testing.T) {
	for _, refused := range []bool{true, false} {
		r := newTestGateway(t)
		r.holdDials = true
		for _, w := range slices.Clone(r.dialed) {
			if w.address == addrA {
				r.gateway.OnClosed(r.now, w.conn, ClosedNormally)
			}
		}
		r.step()
		r.policy.targets = []int{0}
		r.receiveSetup(r.newClient(), 7)
		if refused {
			for _, w := range slices.Clone(r.dialed) {
				if w.address == addrA && !w.conn.closed {
					r.gateway.OnClosed(r.now, w.conn, ClosedRefused)
				}
			}
			r.step()
		} else {
			r.advance(600)
		}
		if got := r.policy.events[len(r.policy.events)-1]; got != "ended 4 closed false agent false engaged false wait 0" {
			t.Errorf("refused %v: the module heard %q", refused, r.policy.events)
		}
	}
}

// A caller that reads nothing is cut off when too much waits for it; it holds nobody up.
func TestReadsNothing(t *testing.T) {
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

// A gateway that stalled counts a caller's timeout from when it last looked.
func TestStoodStill(t *testing.T) {
	r := newTestGateway(t)
	r.policy.targets = []int{0}
	c := r.newClient()
	r.step()
	r.now += 1000
	r.receiveSetup(c, 7)
	if left := r.policy.lastCall.Deadline - r.now; left > 2010 || left < 1900 {
		t.Errorf("%.0f ms of 3000 are left after a stall of 1000", left)
	}
}

// Tests wait for a line to a switch, and fail once the gateway leaves.
func TestReady(t *testing.T) {
	r := newTestGateway(t)
	c := r.newClient()
	r.receive(c, binarymessage.HealthCheck, 5, binarymessage.CauseParam(0))
	r.expect(c.lastMessage(5), binarymessage.HealthResult, 1)
	r.gateway.BeginDrain()
	r.receive(c, binarymessage.HealthCheck, 6, binarymessage.CauseParam(0))
	r.expect(c.lastMessage(6), binarymessage.HealthResult, 0)
}

// An answer without a description is none that a caller could be told: the call is released and has failed.
func TestNoDescription(t *testing.T) {
	r := newTestGateway(t)
	r.policy.targets = []int{0}
	c := r.newClient()
	r.receiveSetup(c, 7)
	w := r.connOf(7)
	r.receive(w, binarymessage.Answer, 7)
	r.expect(w.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	if c.count(7, binarymessage.Answer) > 0 {
		t.Error("the caller was told that it stands")
	}
}

// A caller's connection that was quiet for long and brings a setup in pieces is not closed between them.
func TestPiecesOnAnIdleLink(t *testing.T) {
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

// full opens callers' connections, each used once, till one has to go.
func (r *testGateway) full() {
	for i := range uint64(connlimit.MaxClientConns(256)) {
		r.receive(r.newClient(), binarymessage.HealthCheck, 1000+i, binarymessage.CauseParam(0))
	}
}

// An answer that waits behind a slow reader's socket is not lost to eviction, nor to the look for what is spent.
func TestUnsentIsKept(t *testing.T) {
	r := newTestGateway(t)
	r.policy.targets = []int{0}
	c := r.newClient()
	r.receiveSetup(c, 7)
	c.blocked = true
	r.receive(c, binarymessage.HealthCheck, 5, binarymessage.CauseParam(0)) // the socket has this, and does not take it
	r.receive(r.connOf(7), binarymessage.Answer, 7, testDescription)
	r.receive(r.connOf(7), binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	r.full()
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
func TestUnsentAtTheEnd(t *testing.T) {
	r := newTestGateway(t)
	c := r.newClient()
	w := r.stood(c, 7)
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
	w = r.stoodAs(d, 9)
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

// stoodAs makes a established call and whose answer waits.
func (r *testGateway) stoodAs(c *testConn, id uint64) *testConn {
	r.policy.targets = []int{0}
	r.receiveSetup(c, id)
	w := r.connOf(id)
	r.receive(w, binarymessage.Answer, id, testDescription)
	return w
}

// A caller that closes or cancels has gone, whatever its setup waits for: no attempt begins any more.
func TestGoneCallers(t *testing.T) {
	for _, closes := range []bool{true, false} {
		for _, state := range []string{"waits for a line", "waits in a line", "waits after a ring", "rings"} {
			r := newTestGateway(t)
			r.policy.targets, r.policy.retries = []int{0, 1, 0, 1}, true
			c := r.newClient()
			switch state {
			case "waits for a line":
				r.holdDials = true
				for _, w := range r.linesTo(addrA) {
					r.gateway.OnClosed(r.now, w.conn, ClosedNormally)
				}
			case "waits in a line":
				for _, w := range r.linesTo(addrA) {
					r.gateway.OnData(r.now, w.conn, binarymessage.Append(nil, binarymessage.LoadState, 0))
					w.conn.writePending = true // under a batch that has not left
				}
				r.holdDials = true
			}
			r.receiveSetup(c, 7)
			if state == "waits after a ring" {
				r.receive(r.connOf(7), binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Failure))
				r.advance(100)
			}
			rings := 0
			for _, w := range r.dialed {
				rings += w.count(7, binarymessage.Setup)
			}
			if closes {
				r.gateway.OnClosed(r.now, c.conn, ClosedNormally)
			} else {
				r.gateway.OnData(
					r.now,
					c.conn,
					binarymessage.Append(nil, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal)),
				)
			}
			r.holdDials = false
			for _, w := range r.dialed {
				w.conn.writePending = false
			}
			r.advance(3000)
			after := 0
			for _, w := range r.dialed {
				after += w.count(7, binarymessage.Setup)
			}
			if after != rings {
				t.Errorf("closes %v, %s: %d rings before, %d after", closes, state, rings, after)
			}
			if calls := r.gateway.OpenCounts().Calls; calls != 0 || c.lastMessage(7) != nil {
				t.Errorf("closes %v, %s: %d calls are left, the caller got %x", closes, state, calls, c.lastMessage(7))
			}
		}
	}
}

// An attempt that is canceled before it has left has not run, and nothing of it goes out.
func TestCalledOffAtOnce(t *testing.T) {
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
func TestPlacesKept(t *testing.T) {
	r := newTestGateway(t)
	r.full()
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

// What crosses on the way is settled once: releases of both sides, a caller's close and the switch's answer in one
// batch, whichever comes first.
func TestCrossings(t *testing.T) {
	r := newTestGateway(t)
	c, d := r.newClient(), r.newClient()
	w := r.stood(c, 7)
	r.gateway.OnData(
		r.now,
		c.conn,
		binarymessage.Append(nil, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal)),
	)
	r.gateway.OnData(
		r.now,
		w.conn,
		binarymessage.Append(nil, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal)),
	)
	r.step()
	if c.count(7, binarymessage.Release) != 0 || w.count(7, binarymessage.Release) != 1 {
		t.Errorf("the caller's release first: the caller got %x, the switch %x", c.messages, w.messages)
	}
	w = r.stood(c, 8)
	r.gateway.OnData(
		r.now,
		w.conn,
		binarymessage.Append(nil, binarymessage.Release, 8, binarymessage.CauseParam(binarymessage.Normal)),
	)
	r.gateway.OnData(
		r.now,
		c.conn,
		binarymessage.Append(nil, binarymessage.Release, 8, binarymessage.CauseParam(binarymessage.Normal)),
	)
	r.step()
	if c.count(8, binarymessage.Release) != 1 || w.count(8, binarymessage.Release) != 0 {
		t.Errorf("the switch's release first: the caller got %x, the switch %x", c.messages, w.messages)
	}
	for id, closesFirst := range map[uint64]bool{9: true, 10: false} {
		e := r.newClient()
		r.policy.targets = []int{0}
		r.receiveSetup(e, id)
		w = r.connOf(id)
		answer := binarymessage.Append(nil, binarymessage.Answer, id, testDescription)
		if closesFirst {
			r.gateway.OnClosed(r.now, e.conn, ClosedReset)
			r.gateway.OnData(r.now, w.conn, answer)
		} else {
			r.gateway.OnData(r.now, w.conn, answer)
			r.gateway.OnClosed(r.now, e.conn, ClosedReset)
		}
		r.advance(100)
		if w.count(id, binarymessage.Release) == 0 || c.lastMessage(id) != nil || d.lastMessage(id) != nil ||
			e.lastMessage(id) != nil {
			t.Errorf("close first %v: the switch got %x", closesFirst, w.messages)
		}
	}
	if calls := r.gateway.OpenCounts().Calls; calls != 0 {
		t.Errorf("%d calls are left", calls)
	}
}

// A switch is killed behind its accept while a call stands, an attempt is in flight and a give-up is in the socket: the
// attempt ends as one that may have run, the give-up as what it is, and the call is over for its caller.
func TestKilledWithAllThree(t *testing.T) {
	r := newTestGateway(t)
	c := r.newClient()
	w := r.stood(c, 7)
	r.policy.targets = []int{0}
	r.receiveSetup(c, 8)
	if r.connOf(8) != w {
		t.Fatal("another line")
	}
	r.policy.targets = []int{0}
	r.receiveSetup(c, 9)
	for _, o := range r.linesTo(addrA) {
		o.blocked = true
	}
	r.gateway.OnData(
		r.now,
		c.conn,
		binarymessage.Append(nil, binarymessage.Release, 9, binarymessage.CauseParam(binarymessage.Normal)),
	) // its give-up is in the socket
	r.step()
	r.holdDials = true
	r.policy.events = nil
	for _, o := range r.linesTo(addrA) {
		r.gateway.OnClosed(r.now, o.conn, ClosedReset)
	}
	r.refuse(addrA, 100)
	r.expect(c.lastMessage(7), binarymessage.Release, binarymessage.Failure)
	for _, want := range []string{"ended 5 closed false agent false engaged false wait 0",
		"ended 6 closed true agent false engaged false wait 0"} {
		if !slices.Contains(r.policy.events, want) {
			t.Errorf("the module heard %q, not %q", r.policy.events, want)
		}
	}
	if c.lastMessage(9) != nil {
		t.Errorf("the caller that gave up got %x", c.lastMessage(9))
	}
}
