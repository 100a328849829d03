package binarygateway

import (
	"slices"
	"testing"

	"cobaltpier/internal/protocol/binarymessage"
)

// TestCall: setup and answer are forwarded with their descriptions unchanged, and the endpoint's release reaches the
// caller.
func TestCall(t *testing.T) {
	g := newTestGateway(t)
	g.policy.attemptOrder = []int{0}
	caller := g.acceptClient()
	g.deliverSetup(caller, 7)
	conn := g.setupConn(7)
	m := conn.lastMessage(7)
	if conn.address != addrA || m.Text(binarymessage.Class) != "voice" ||
		m.Text(binarymessage.Number) != "7f3a9c21e0b4d655" ||
		m.Text(binarymessage.Description) != "v=0" {
		t.Errorf("setup sent to %v: %q, want the parameters of the caller's setup, to the first endpoint", conn.address, m)
	}
	if _, found := m.Get(binarymessage.RoutingParams); found {
		t.Error("the caller's routing parameters were sent to the endpoint")
	}
	if timeout, _ := parseNumber(m.Text(binarymessage.Timeout)); timeout < 2990 || timeout > 3000 {
		t.Errorf("the endpoint got a timeout of %v ms, want 2990 to 3000", timeout)
	}
	g.deliver(
		conn,
		binarymessage.Answer,
		7,
		answerDescription,
		binarymessage.TextParam(binarymessage.LoadReport, "free:3;size:40;busy:0.5;q:2"),
	)
	g.expectMessage(caller.lastMessage(7), binarymessage.Answer, 0)
	if description := caller.lastMessage(7).Text(binarymessage.Description); description != "v=0 answer" {
		t.Errorf("the caller got description %q, want \"v=0 answer\"", description)
	}
	g.deliver(conn, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	g.expectMessage(caller.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	if want := []string{
		"offered",
		"load report from 0: 3 of 40 free",
		"answered",
		"ended outcome=0 finished=true atCapacity=false numberBusy=false retryAfter=0",
	}; !slices.Equal(g.policy.events, want) {
		t.Errorf("the policy got %q, want %q", g.policy.events, want)
	}
	if calls := g.gateway.OpenCounts().Calls; calls != 0 {
		t.Errorf("%d calls remain, want none", calls)
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
		{binarymessage.NoCircuit, "all_trunks_busy", "",
			"ended outcome=2 finished=false atCapacity=true numberBusy=false retryAfter=0"},
		{binarymessage.NoCircuit, "cpu_full", "320",
			"ended outcome=2 finished=false atCapacity=false numberBusy=false retryAfter=320"},
		{binarymessage.UserBusy, "number_busy", "",
			"ended outcome=1 finished=false atCapacity=false numberBusy=true retryAfter=0"},
		{binarymessage.Fault, "", "", "ended outcome=1 finished=false atCapacity=false numberBusy=false retryAfter=0"},
		{binarymessage.NeverSent, "", "", "ended outcome=7 finished=false atCapacity=false numberBusy=false retryAfter=0"},
		{binarymessage.Failure, "", "", "ended outcome=5 finished=false atCapacity=false numberBusy=false retryAfter=0"},
		{99, "", "", "ended outcome=5 finished=false atCapacity=false numberBusy=false retryAfter=0"},
	} {
		g := newTestGateway(t)
		g.policy.attemptOrder = []int{0}
		g.deliverSetup(g.acceptClient(), 7)
		params := []binarymessage.Param{binarymessage.CauseParam(tt.cause),
			binarymessage.TextParam(binarymessage.Note, tt.note)}
		if tt.wait != "" {
			params = append(params, binarymessage.TextParam(binarymessage.QueueDelay, tt.wait))
		}
		g.deliver(g.setupConn(7), binarymessage.Release, 7, params...)
		if got := g.policy.events[len(g.policy.events)-1]; got != tt.want {
			t.Errorf("cause %d note %q: the policy got %q, want %q", tt.cause, tt.note, got, tt.want)
		}
	}
}

// TestLateAnswerOfEarlierAttempt: the answer to a canceled attempt arrives after another attempt of the call was
// answered. At the same endpoint it must not be released, since that would end the call; at another endpoint it
// must be.
func TestLateAnswerOfEarlierAttempt(t *testing.T) {
	for _, second := range []int{0, 1} {
		g := newTestGateway(t)
		g.policy.attemptOrder, g.policy.retryAfterFailure = []int{0, second}, true
		caller := g.acceptClient()
		g.deliverSetup(caller, 7)
		first := g.setupConn(7)
		g.policy.host.CancelAttempt(g.policy.lastCall.InFlight)
		g.step()
		g.expectMessage(first.lastMessage(7), binarymessage.Release, binarymessage.Normal)
		g.advance(600)
		conn := g.setupConn(7)
		g.deliver(conn, binarymessage.Answer, 7, answerDescription)
		g.expectMessage(caller.lastMessage(7), binarymessage.Answer, 0)
		before := first.countMessages(7, binarymessage.Release)
		g.deliver(first, binarymessage.Answer, 7, answerDescription)
		if got := first.countMessages(7, binarymessage.Release) - before; got != second {
			t.Errorf("second attempt established at %d: the late answer was released %d times, want %[1]d", second, got)
		}
		if caller.countMessages(7, binarymessage.Answer) != 1 || caller.countMessages(7, binarymessage.Release) != 0 {
			t.Error("the caller got a second answer or a release")
		}
	}
}

// TestLateAnswerDuringAttempt: the late answer arrives while the second attempt is in flight. The call established
// by it is released only after the second attempt has ended without an answer.
func TestLateAnswerDuringAttempt(t *testing.T) {
	g := newTestGateway(t)
	g.openSecondConn()
	g.policy.attemptOrder, g.policy.retryAfterFailure = []int{0, 0}, true
	caller := g.acceptClient()
	g.deliverSetup(caller, 7)
	first := g.setupConn(7)
	g.policy.host.CancelAttempt(g.policy.lastCall.InFlight)
	g.advance(600)
	conn := g.setupConn(7)
	if conn == first {
		t.Fatal("both attempts were sent on one connection")
	}
	before := first.countMessages(7, binarymessage.Release)
	g.deliver(first, binarymessage.Answer, 7, answerDescription)
	if first.countMessages(7, binarymessage.Release) != before || conn.countMessages(7, binarymessage.Release) != 0 {
		t.Error("the attempt in flight was released")
	}
	g.deliver(conn, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.NoCircuit))
	g.expectMessage(conn.lastMessage(7), binarymessage.Release, binarymessage.Normal)
}

// TestLateAnswerStartsHoldOff guards against an attempt within the hold-off after the late answer to an earlier one was
// released (rule 5): the earlier attempt ends only then.
func TestLateAnswerStartsHoldOff(t *testing.T) {
	g := newTestGateway(t)
	g.policy.attemptOrder, g.policy.retryAfterFailure = []int{0, 1, 1}, true
	g.deliverSetup(g.acceptClient(), 7)
	first := g.setupConn(7)
	g.policy.host.CancelAttempt(g.policy.lastCall.InFlight)
	g.advance(300)
	g.deliver(first, binarymessage.Answer, 7, answerDescription)
	released := g.now
	if n := first.countMessages(7, binarymessage.Release); n != 2 {
		t.Fatalf("%d releases were sent, want 2: of the setup and of the late answer", n)
	}
	for g.countSetups() == 1 && g.now < released+2000 {
		g.advance(10)
	}
	if waited := g.now - released; waited < 500 || waited >= 2000 {
		t.Errorf("the next attempt was sent %.0f ms after the release of the late answer, want 500 at least", waited)
	}
}

// TestLateAnswerDuringRejectedAttempt guards against the same where the late answer is released because a later attempt
// at the endpoint was rejected: that outcome alone has no hold-off.
func TestLateAnswerDuringRejectedAttempt(t *testing.T) {
	g := newTestGateway(t)
	g.openSecondConn()
	g.policy.attemptOrder, g.policy.retryAfterFailure = []int{0, 0}, true
	g.deliverSetup(g.acceptClient(), 7)
	first := g.setupConn(7)
	g.policy.host.CancelAttempt(g.policy.lastCall.InFlight)
	g.advance(600)
	g.deliver(first, binarymessage.Answer, 7, answerDescription)
	g.deliver(g.setupConn(7), binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.NoCircuit))
	g.policy.attemptOrder = []int{1}
	g.policy.attemptNext(g.policy.lastCall)
	g.step()
	if n := g.countSetups(); n != 2 {
		t.Errorf("%d setups were sent, want 2: the third is within the hold-off", n)
	}
}

// TestTimeoutAfterStall: after a stall of the gateway, a caller's timeout counts from the last batch before the stall.
func TestTimeoutAfterStall(t *testing.T) {
	g := newTestGateway(t)
	g.policy.attemptOrder = []int{0}
	caller := g.acceptClient()
	g.step()
	g.now += 1000
	g.deliverSetup(caller, 7)
	if remaining := g.policy.lastCall.Deadline - g.now; remaining > 2010 || remaining < 1900 {
		t.Errorf("%.0f ms of 3000 remain after a stall of 1000 ms, want 1900 to 2010", remaining)
	}
}

// TestHealthCheck: health checks pass while an endpoint is connected, and fail once the gateway drains.
func TestHealthCheck(t *testing.T) {
	g := newTestGateway(t)
	caller := g.acceptClient()
	g.deliver(caller, binarymessage.HealthCheck, 5, binarymessage.CauseParam(0))
	g.expectMessage(caller.lastMessage(5), binarymessage.HealthResult, 1)
	g.gateway.BeginDrain()
	g.deliver(caller, binarymessage.HealthCheck, 6, binarymessage.CauseParam(0))
	g.expectMessage(caller.lastMessage(6), binarymessage.HealthResult, 0)
}

// TestAnswerWithoutDescription: an answer without a description can't be forwarded, so the call is released at the
// endpoint and the attempt has failed.
func TestAnswerWithoutDescription(t *testing.T) {
	g := newTestGateway(t)
	g.policy.attemptOrder = []int{0}
	caller := g.acceptClient()
	g.deliverSetup(caller, 7)
	conn := g.setupConn(7)
	g.deliver(conn, binarymessage.Answer, 7)
	g.expectMessage(conn.lastMessage(7), binarymessage.Release, binarymessage.Normal)
	if caller.countMessages(7, binarymessage.Answer) > 0 {
		t.Error("the caller got an answer, want none")
	}
}

// TestCrossingMessages: releases from both sides, or a caller's disconnect and the endpoint's answer, arrive in one
// batch in either order. The side that may not know of the end gets a release, and no call remains.
func TestCrossingMessages(t *testing.T) {
	g := newTestGateway(t)
	caller, otherCaller := g.acceptClient(), g.acceptClient()
	conn := g.establish(caller, 7)
	g.gateway.OnData(
		g.now,
		caller.gatewayConn,
		binarymessage.Append(nil, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal)),
	)
	g.gateway.OnData(
		g.now,
		conn.gatewayConn,
		binarymessage.Append(nil, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal)),
	)
	g.step()
	if caller.countMessages(7, binarymessage.Release) != 0 || conn.countMessages(7, binarymessage.Release) != 1 {
		t.Errorf("caller's release first: the caller got %x, want no release; the endpoint got %x, want one",
			caller.messages, conn.messages)
	}
	conn = g.establish(caller, 8)
	g.gateway.OnData(
		g.now,
		conn.gatewayConn,
		binarymessage.Append(nil, binarymessage.Release, 8, binarymessage.CauseParam(binarymessage.Normal)),
	)
	g.gateway.OnData(
		g.now,
		caller.gatewayConn,
		binarymessage.Append(nil, binarymessage.Release, 8, binarymessage.CauseParam(binarymessage.Normal)),
	)
	g.step()
	if caller.countMessages(8, binarymessage.Release) != 1 || conn.countMessages(8, binarymessage.Release) != 0 {
		t.Errorf("endpoint's release first: the caller got %x, want one release; the endpoint got %x, want none",
			caller.messages, conn.messages)
	}
	for id, closesFirst := range map[uint64]bool{9: true, 10: false} {
		laterCaller := g.acceptClient()
		g.policy.attemptOrder = []int{0}
		g.deliverSetup(laterCaller, id)
		conn = g.setupConn(id)
		answer := binarymessage.Append(nil, binarymessage.Answer, id, answerDescription)
		if closesFirst {
			g.gateway.OnClosed(g.now, laterCaller.gatewayConn, ClosedReset)
			g.gateway.OnData(g.now, conn.gatewayConn, answer)
		} else {
			g.gateway.OnData(g.now, conn.gatewayConn, answer)
			g.gateway.OnClosed(g.now, laterCaller.gatewayConn, ClosedReset)
		}
		g.advance(100)
		if conn.countMessages(id, binarymessage.Release) == 0 || caller.lastMessage(id) != nil ||
			otherCaller.lastMessage(id) != nil || laterCaller.lastMessage(id) != nil {
			t.Errorf("close first %v: the endpoint got %x, want a release, and the clients nothing",
				closesFirst, conn.messages)
		}
	}
	if calls := g.gateway.OpenCounts().Calls; calls != 0 {
		t.Errorf("%d calls remain, want none", calls)
	}
}

// TestRejectionPromise guards against a call that runs twice because its caller was told that a retry is harmless: if
// its class is not idempotent and it may have been executed, it is failed, before the process exits and when the policy
// rejects it.
func TestRejectionPromise(t *testing.T) {
	const sent, unsent, timedOut, overloaded = 7, 8, 9, 10
	for _, idempotent := range []bool{true, false} {
		g := newTestGateway(t)
		g.gateway.Classes["voice"].Idempotent = idempotent
		caller := g.acceptClient()
		g.policy.attemptOrder = []int{0}
		g.deliverSetup(caller, timedOut)
		g.policy.host.CancelAttempt(g.policy.lastCall.InFlight)
		g.step()
		g.policy.host.Reject(g.policy.lastCall, 0)
		g.policy.attemptOrder = []int{0}
		g.deliverSetup(caller, overloaded)
		g.deliver(g.setupConn(overloaded), binarymessage.Release, overloaded,
			binarymessage.CauseParam(binarymessage.NoCircuit))
		g.policy.host.Reject(g.policy.lastCall, 0)
		g.policy.attemptOrder = []int{0, 1}
		g.deliverSetup(caller, sent)
		g.holdDials = true
		for _, conn := range g.connsTo(addrB) {
			g.gateway.OnClosed(g.now, conn.gatewayConn, ClosedNormally)
		}
		g.deliverSetup(caller, unsent) // it waits for a connection
		g.gateway.RejectAll(g.now)
		harmful := byte(binarymessage.Failure)
		if idempotent {
			harmful = binarymessage.Congested
		}
		g.expectMessage(caller.lastMessage(sent), binarymessage.Release, harmful)
		g.expectMessage(caller.lastMessage(timedOut), binarymessage.Release, harmful)
		g.expectMessage(caller.lastMessage(unsent), binarymessage.Release, binarymessage.Congested)
		g.expectMessage(caller.lastMessage(overloaded), binarymessage.Release, binarymessage.Congested)
		counts := g.gateway.Counts
		if answered := counts.Rejected + counts.Failed; answered != 4 || idempotent != (counts.Failed == 0) {
			t.Errorf("idempotent %v: %d rejected and %d failed are counted, want 4 in all", idempotent, counts.Rejected,
				counts.Failed)
		}
	}
}
