package binarygateway

import (
	"net/netip"
	"slices"
	"testing"

	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/protocol/dnsdiscovery"
	"cobaltpier/internal/routing"
)

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
			t.Error("the setup went to a switch that drains")
		}
	}
	if got := r.policy.events[len(r.policy.events)-1]; got != "ended 7 closed false agent false engaged false wait 0" {
		t.Errorf("the module heard %q", r.policy.events)
	}
}

// openSecondConn has a second line up to the first switch: setups under way at once want it.
func (r *testGateway) openSecondConn() {
	r.policy.targets = []int{0, 0}
	c := r.newClient()
	r.receiveSetup(c, 101)
	r.receiveSetup(c, 102)
	for _, id := range []uint64{101, 102} {
		r.receive(r.connOf(id), binarymessage.Release, id, binarymessage.CauseParam(binarymessage.NoCircuit))
	}
	if n := len(r.connsTo(addrA)); n != 2 {
		r.Fatalf("%d lines are up", n)
	}
}

// establish makes a established call at the first switch.
func (r *testGateway) establish(c *testConn, id uint64) *testConn {
	r.Helper()
	r.policy.targets = []int{0}
	r.receiveSetup(c, id)
	w := r.connOf(id)
	r.receive(w, binarymessage.Answer, id, testDescription)
	r.expect(c.lastMessage(id), binarymessage.Answer, 0)
	return w
}

// connsTo is the lines to an address that are not closed.
func (r *testGateway) connsTo(a netip.AddrPort) (of []*testConn) {
	for _, w := range r.dialed {
		if w.address == a && !w.conn.closed {
			of = append(of, w)
		}
	}
	return
}

// refuseDials has an address refuse whatever dials it for so many ms.
func (r *testGateway) refuseDials(a netip.AddrPort, ms float64) {
	for end := r.now + ms; r.now < end; r.now += 10 {
		r.step()
		for _, w := range r.connsTo(a) {
			if !w.conn.connected {
				r.gateway.OnClosed(r.now, w.conn, ClosedRefused)
			}
		}
	}
	r.step()
}

// A switch whose process has died has cut its calls: lines that are reset and then a refused connection show it, and
// callers hear at once.
func TestEndpointProcessDies(t *testing.T) {
	r := newTestGateway(t)
	c := r.newClient()
	r.establish(c, 7)
	r.holdDials = true
	for _, w := range r.connsTo(addrA) {
		r.gateway.OnClosed(r.now, w.conn, ClosedReset)
	}
	r.step()
	r.expect(c.lastMessage(7), binarymessage.Answer, 0) // a reset alone proves nothing
	r.refuseDials(addrA, 50)
	r.expect(c.lastMessage(7), binarymessage.Release, binarymessage.Failure)
}

// One that drains takes no more lines and says little: while a line is up its calls go on, and their ends come there.
func TestDrainingEndpointRefusesDials(t *testing.T) {
	for _, told := range []bool{false, true} {
		r := newTestGateway(t)
		c := r.newClient()
		w := r.establish(c, 7)
		if told {
			r.setEndpoints(
				2,
				dnsdiscovery.Target{ID: "a", Addr: addrA, DestinationID: 0, State: routing.Draining},
				readyTarget("b", addrB, 1),
			)
		}
		r.holdDials = true
		for _, o := range r.connsTo(addrA) {
			if o != w {
				r.gateway.OnClosed(r.now, o.conn, ClosedNormally)
			}
		}
		before := len(r.dialed)
		r.refuseDials(addrA, 12000)
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
func TestEndpointWithoutConn(t *testing.T) {
	r := newTestGateway(t)
	c := r.newClient()
	r.establish(c, 7)
	r.holdDials = true
	for _, w := range r.connsTo(addrA) {
		r.gateway.OnClosed(r.now, w.conn, ClosedNormally)
	}
	r.refuseDials(addrA, 6000)
	r.expect(c.lastMessage(7), binarymessage.Answer, 0)
	r.refuseDials(addrA, 1500)
	r.expect(c.lastMessage(7), binarymessage.Release, binarymessage.Failure)
}

// A switch that accepts and then resets, again and again, is dialled ever more seldom, and its calls are over in time.
func TestConnectionsAcceptedThenReset(t *testing.T) {
	r := newTestGateway(t)
	c := r.newClient()
	r.establish(c, 7)
	before := len(r.dialed)
	r.holdDials = true
	for end := r.now + 5500; r.now < end; r.now += 10 {
		for _, w := range r.connsTo(addrA) {
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
func TestEndpointVanishes(t *testing.T) {
	r := newTestGateway(t)
	c := r.newClient()
	r.establish(c, 7)
	r.holdDials = true
	r.advance(3000)
	r.expect(c.lastMessage(7), binarymessage.Answer, 0)
	r.advance(4000)
	r.expect(c.lastMessage(7), binarymessage.Release, binarymessage.Failure)
}

// One that is only quiet takes a new line and says its state: its calls go on.
func TestSilentEndpoint(t *testing.T) {
	r := newTestGateway(t)
	c := r.newClient()
	r.establish(c, 7)
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
func TestListEndsCalls(t *testing.T) {
	for _, next := range [][]dnsdiscovery.Target{
		{{ID: "a", Addr: addrA, DestinationID: 0, State: routing.Ready, StartedAt: 1e6 + 5000}, readyTarget("b", addrB, 1)},
		{readyTarget("b", addrB, 1)},
		{readyTarget("c", addrA, 0), readyTarget("b", addrB, 1)}, // another has its address now
	} {
		r := newTestGateway(t)
		c := r.newClient()
		old := r.establish(c, 7)
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

// A connection refused is told from a silent one by its time, and both from a reset; nothing ran at either.
func TestFailedDials(t *testing.T) {
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

// A switch is killed behind its accept while a call stands, an attempt is in flight and a give-up is in the socket: the
// attempt ends as one that may have run, the give-up as what it is, and the call is over for its caller.
func TestResetWithCallsInAllStates(t *testing.T) {
	r := newTestGateway(t)
	c := r.newClient()
	w := r.establish(c, 7)
	r.policy.targets = []int{0}
	r.receiveSetup(c, 8)
	if r.connOf(8) != w {
		t.Fatal("another line")
	}
	r.policy.targets = []int{0}
	r.receiveSetup(c, 9)
	for _, o := range r.connsTo(addrA) {
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
	for _, o := range r.connsTo(addrA) {
		r.gateway.OnClosed(r.now, o.conn, ClosedReset)
	}
	r.refuseDials(addrA, 100)
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
