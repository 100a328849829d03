package binarygateway

import (
	"slices"
	"testing"

	"cobaltpier/internal/protocol/binarymessage"
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
func TestReleaseCauses(t *testing.T) {
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
func TestLateAnswerOfEarlierAttempt(t *testing.T) {
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
			t.Errorf("the second attempt stands at %d: the late answer was released %d times", second, got)
		}
		if c.count(7, binarymessage.Answer) != 1 || c.count(7, binarymessage.Release) != 0 {
			t.Error("the caller heard of it")
		}
	}
}

// The same while the second attempt is still out there: released only when that has ended without standing.
func TestLateAnswerDuringAttempt(t *testing.T) {
	r := newTestGateway(t)
	r.openSecondConn()
	r.policy.targets, r.policy.retries = []int{0, 0}, true
	c := r.newClient()
	r.receiveSetup(c, 7)
	first := r.connOf(7)
	r.policy.host.CancelAttempt(r.policy.lastCall.InFlight)
	r.advance(600)
	w := r.connOf(7)
	if w == first {
		t.Fatal("both attempts went out on one line")
	}
	before := first.count(7, binarymessage.Release)
	r.receive(first, binarymessage.Answer, 7, testDescription)
	if first.count(7, binarymessage.Release) != before || w.count(7, binarymessage.Release) != 0 {
		t.Error("the attempt that is out was released")
	}
	r.receive(w, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.NoCircuit))
	r.expect(w.lastMessage(7), binarymessage.Release, binarymessage.Normal)
}

// A gateway that stalled counts a caller's timeout from when it last looked.
func TestTimeoutAfterStall(t *testing.T) {
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
func TestHealthCheck(t *testing.T) {
	r := newTestGateway(t)
	c := r.newClient()
	r.receive(c, binarymessage.HealthCheck, 5, binarymessage.CauseParam(0))
	r.expect(c.lastMessage(5), binarymessage.HealthResult, 1)
	r.gateway.BeginDrain()
	r.receive(c, binarymessage.HealthCheck, 6, binarymessage.CauseParam(0))
	r.expect(c.lastMessage(6), binarymessage.HealthResult, 0)
}

// An answer without a description is none that a caller could be told: the call is released and has failed.
func TestAnswerWithoutDescription(t *testing.T) {
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

// What crosses on the way is settled once: releases of both sides, a caller's close and the switch's answer in one
// batch, whichever comes first.
func TestCrossingMessages(t *testing.T) {
	r := newTestGateway(t)
	c, d := r.newClient(), r.newClient()
	w := r.establish(c, 7)
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
	w = r.establish(c, 8)
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
