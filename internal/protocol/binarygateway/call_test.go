package binarygateway

import (
	"slices"
	"testing"

	"cobaltpier/internal/protocol/binarymessage"
)

// TestCall: setup and answer are forwarded with their descriptions unchanged, and the endpoint's release reaches the
// caller.
func TestCall(t *testing.T) {
	r := newTestGateway(t)
	r.policy.targets = []int{0}
	caller := r.newClient()
	r.receiveSetup(caller, 7)
	conn := r.connOf(7)
	m := conn.lastMessage(7)
	if conn.address != addrA || m.Text(binarymessage.Class) != "voice" ||
		m.Text(binarymessage.Number) != "7f3a9c21e0b4d655" ||
		m.Text(binarymessage.Description) != "v=0" {
		t.Errorf("to %v: %q", conn.address, m)
	}
	if _, found := m.Get(binarymessage.Figures); found {
		t.Error("the caller's routing parameters were sent to the endpoint")
	}
	if timeout, _ := parseNumber(m.Text(binarymessage.Timeout)); timeout < 2990 || timeout > 3000 {
		t.Errorf("the endpoint was sent a timeout of %v ms", timeout)
	}
	r.receive(
		conn,
		binarymessage.Answer,
		7,
		testDescription,
		binarymessage.TextParam(binarymessage.Report, "free:3;size:40;busy:0.5;q:2"),
	)
	r.expect(caller.lastMessage(7), binarymessage.Answer, 0)
	if otherCaller := caller.lastMessage(7).Text(binarymessage.Description); otherCaller != "v=0 answer" {
		t.Errorf("the caller got %q", otherCaller)
	}
	r.receive(conn, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	r.expect(caller.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	if want := []string{
		"offered",
		"report 0 free 3 of 40",
		"answered",
		"ended 0 finished true capacity false busy false retry 0",
	}; !slices.Equal(r.policy.events, want) {
		t.Errorf("the policy got %q", r.policy.events)
	}
	if calls := r.gateway.OpenCounts().Calls; calls != 0 {
		t.Errorf("%d calls remain", calls)
	}
}

// TestReleaseCauses: each release cause and note of an endpoint maps to the outcome that the platform defines.
func TestReleaseCauses(t *testing.T) {
	for _, tt := range []struct {
		cause byte
		note  string
		wait  string
		want  string
	}{
		{binarymessage.NoCircuit, "all_trunks_busy", "", "ended 2 finished false capacity true busy false retry 0"},
		{binarymessage.NoCircuit, "cpu_full", "320", "ended 2 finished false capacity false busy false retry 320"},
		{binarymessage.UserBusy, "number_busy", "", "ended 1 finished false capacity false busy true retry 0"},
		{binarymessage.Fault, "", "", "ended 1 finished false capacity false busy false retry 0"},
		{binarymessage.NeverSent, "", "", "ended 7 finished false capacity false busy false retry 0"},
		{binarymessage.Failure, "", "", "ended 5 finished false capacity false busy false retry 0"},
		{99, "", "", "ended 5 finished false capacity false busy false retry 0"},
	} {
		r := newTestGateway(t)
		r.policy.targets = []int{0}
		r.receiveSetup(r.newClient(), 7)
		params := []binarymessage.Param{binarymessage.CauseParam(tt.cause),
			binarymessage.TextParam(binarymessage.Note, tt.note)}
		if tt.wait != "" {
			params = append(params, binarymessage.TextParam(binarymessage.QueueDelay, tt.wait))
		}
		r.receive(r.connOf(7), binarymessage.Release, 7, params...)
		if got := r.policy.events[len(r.policy.events)-1]; got != tt.want {
			t.Errorf("cause %d note %q: the policy got %q, want %q", tt.cause, tt.note, got, tt.want)
		}
	}
}

// TestLateAnswerOfEarlierAttempt: the answer to a canceled attempt arrives after another attempt of the call was
// answered. At the same endpoint it must not be released, since that would end the call; at another endpoint it
// must be.
func TestLateAnswerOfEarlierAttempt(t *testing.T) {
	for _, second := range []int{0, 1} {
		r := newTestGateway(t)
		r.policy.targets, r.policy.retries = []int{0, second}, true
		caller := r.newClient()
		r.receiveSetup(caller, 7)
		first := r.connOf(7)
		r.policy.host.CancelAttempt(r.policy.lastCall.InFlight)
		r.step()
		r.expect(first.lastMessage(7), binarymessage.Release, binarymessage.Normal)
		r.advance(600)
		conn := r.connOf(7)
		r.receive(conn, binarymessage.Answer, 7, testDescription)
		r.expect(caller.lastMessage(7), binarymessage.Answer, 0)
		before := first.count(7, binarymessage.Release)
		r.receive(first, binarymessage.Answer, 7, testDescription)
		if got := first.count(7, binarymessage.Release) - before; got != second {
			t.Errorf("second attempt established at %d: the late answer was released %d times", second, got)
		}
		if caller.count(7, binarymessage.Answer) != 1 || caller.count(7, binarymessage.Release) != 0 {
			t.Error("the caller got a second answer or a release")
		}
	}
}

// TestLateAnswerDuringAttempt: the late answer arrives while the second attempt is in flight. The call established
// by it is released only after the second attempt has ended without an answer.
func TestLateAnswerDuringAttempt(t *testing.T) {
	r := newTestGateway(t)
	r.openSecondConn()
	r.policy.targets, r.policy.retries = []int{0, 0}, true
	caller := r.newClient()
	r.receiveSetup(caller, 7)
	first := r.connOf(7)
	r.policy.host.CancelAttempt(r.policy.lastCall.InFlight)
	r.advance(600)
	conn := r.connOf(7)
	if conn == first {
		t.Fatal("both attempts were sent on one connection")
	}
	before := first.count(7, binarymessage.Release)
	r.receive(first, binarymessage.Answer, 7, testDescription)
	if first.count(7, binarymessage.Release) != before || conn.count(7, binarymessage.Release) != 0 {
		t.Error("the attempt in flight was released")
	}
	r.receive(conn, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.NoCircuit))
	r.expect(conn.lastMessage(7), binarymessage.Release, binarymessage.Normal)
}

// TestTimeoutAfterStall: after a stall of the gateway, a caller's timeout counts from the last batch before the stall.
func TestTimeoutAfterStall(t *testing.T) {
	r := newTestGateway(t)
	r.policy.targets = []int{0}
	caller := r.newClient()
	r.step()
	r.now += 1000
	r.receiveSetup(caller, 7)
	if remaining := r.policy.lastCall.Deadline - r.now; remaining > 2010 || remaining < 1900 {
		t.Errorf("%.0f ms of 3000 remain after a stall of 1000 ms", remaining)
	}
}

// TestHealthCheck: health checks pass while an endpoint is connected, and fail once the gateway drains.
func TestHealthCheck(t *testing.T) {
	r := newTestGateway(t)
	caller := r.newClient()
	r.receive(caller, binarymessage.HealthCheck, 5, binarymessage.CauseParam(0))
	r.expect(caller.lastMessage(5), binarymessage.HealthResult, 1)
	r.gateway.BeginDrain()
	r.receive(caller, binarymessage.HealthCheck, 6, binarymessage.CauseParam(0))
	r.expect(caller.lastMessage(6), binarymessage.HealthResult, 0)
}

// TestAnswerWithoutDescription: an answer without a description can't be forwarded, so the call is released at the
// endpoint and the attempt has failed.
func TestAnswerWithoutDescription(t *testing.T) {
	r := newTestGateway(t)
	r.policy.targets = []int{0}
	caller := r.newClient()
	r.receiveSetup(caller, 7)
	conn := r.connOf(7)
	r.receive(conn, binarymessage.Answer, 7)
	r.expect(conn.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	if caller.count(7, binarymessage.Answer) > 0 {
		t.Error("the caller got an answer")
	}
}

// TestCrossingMessages: releases from both sides, or a caller's disconnect and the endpoint's answer, arrive in one
// batch in either order. The side that may not know of the end gets a release, and no call remains.
func TestCrossingMessages(t *testing.T) {
	r := newTestGateway(t)
	caller, otherCaller := r.newClient(), r.newClient()
	conn := r.establish(caller, 7)
	r.gateway.OnData(
		r.now,
		caller.gatewayConn,
		binarymessage.Append(nil, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal)),
	)
	r.gateway.OnData(
		r.now,
		conn.gatewayConn,
		binarymessage.Append(nil, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal)),
	)
	r.step()
	if caller.count(7, binarymessage.Release) != 0 || conn.count(7, binarymessage.Release) != 1 {
		t.Errorf("caller's release first: the caller got %x, the endpoint %x", caller.messages, conn.messages)
	}
	conn = r.establish(caller, 8)
	r.gateway.OnData(
		r.now,
		conn.gatewayConn,
		binarymessage.Append(nil, binarymessage.Release, 8, binarymessage.CauseParam(binarymessage.Normal)),
	)
	r.gateway.OnData(
		r.now,
		caller.gatewayConn,
		binarymessage.Append(nil, binarymessage.Release, 8, binarymessage.CauseParam(binarymessage.Normal)),
	)
	r.step()
	if caller.count(8, binarymessage.Release) != 1 || conn.count(8, binarymessage.Release) != 0 {
		t.Errorf("endpoint's release first: the caller got %x, the endpoint %x", caller.messages, conn.messages)
	}
	for id, closesFirst := range map[uint64]bool{9: true, 10: false} {
		laterCaller := r.newClient()
		r.policy.targets = []int{0}
		r.receiveSetup(laterCaller, id)
		conn = r.connOf(id)
		answer := binarymessage.Append(nil, binarymessage.Answer, id, testDescription)
		if closesFirst {
			r.gateway.OnClosed(r.now, laterCaller.gatewayConn, ClosedReset)
			r.gateway.OnData(r.now, conn.gatewayConn, answer)
		} else {
			r.gateway.OnData(r.now, conn.gatewayConn, answer)
			r.gateway.OnClosed(r.now, laterCaller.gatewayConn, ClosedReset)
		}
		r.advance(100)
		if conn.count(id, binarymessage.Release) == 0 || caller.lastMessage(id) != nil ||
			otherCaller.lastMessage(id) != nil || laterCaller.lastMessage(id) != nil {
			t.Errorf("close first %v: the endpoint got %x", closesFirst, conn.messages)
		}
	}
	if calls := r.gateway.OpenCounts().Calls; calls != 0 {
		t.Errorf("%d calls remain", calls)
	}
}
