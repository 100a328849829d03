package b2bua

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/emiago/sipgo/sip"

	"cobaltpier/internal/protocol/siptransaction"
	"cobaltpier/internal/routing"
)

var (
	gatewayAddr = netip.MustParseAddrPort("127.0.0.1:5060")
	caller      = netip.MustParseAddrPort("127.0.0.2:5060")
	switchA     = netip.MustParseAddrPort("127.0.0.3:5060")
	switchB     = netip.MustParseAddrPort("127.0.0.4:5060")
)

// A complete call with a load report, released by the caller.
func TestCall(t *testing.T) {
	r := newTestHost(t)
	r.receive(caller, callerRequest("INVITE", "1a", ""))
	inv := r.expectSent(switchA, "INVITE sip:+14185550123;tgrp=TG-0;trunk-context=x.example@127.0.0.3")
	r.advance(151)
	r.expectSent(caller, "SIP/2.0 100")
	if s := siptransaction.SessionIDOf(inv.(*sip.Request)); s != strings.Repeat("1", 32) {
		t.Errorf("Session-ID %q on the trunk", s)
	}
	r.respond(switchA, inv, 180, "s1", "Cobalt-Load: util=0.5;queue=3;lines=90;free=80")
	r.expectSent(caller, "SIP/2.0 180")
	r.advance(50)
	r.respond(switchA, inv, 200, "s1", "")
	r.expectSent(switchA, "ACK ")
	ok := r.expectSent(caller, "SIP/2.0 200")
	tag := ";tag=" + siptransaction.Tag(ok.To().Params)
	if p := r.policy.endpoints[0].LoadReport; p.Utilization != 0.5 || p.QueueLength != 3 ||
		p.Capacity != 90 || p.Free != 80 {
		t.Errorf("report %+v", p)
	}
	r.advance(900)
	if n := r.count(caller, "SIP/2.0 200"); n != 2 {
		t.Errorf("200 sent %d times in 900 ms without an ACK, want 2", n)
	}
	r.receive(caller, callerRequest("ACK", "1a", tag))
	r.respond(switchA, inv, 200, "s1", "") // the switch did not get our ACK
	if n := r.count(switchA, "ACK "); n != 2 {
		t.Errorf("%d ACKs to the switch, want 2", n)
	}
	r.advance(3000)
	if n := r.count(caller, "SIP/2.0 200"); n != 2 {
		t.Errorf("200 repeated after its ACK")
	}
	r.receive(caller, callerRequest("BYE", "1a", tag))
	r.expectSent(switchA, "BYE ")
	r.expectEvents("report true true", "stood", "ended 0 closed true wait 0")
	if w, s := r.agent.InProgress(); w != 0 || s != 0 {
		t.Errorf("%d pending, %d established calls", w, s)
	}
	r.advance(100000)
	if d, x, timers := r.agent.OpenCounts(); d+x+timers != 0 {
		t.Errorf("left over: %d dialogs, %d transactions, %d timers", d, x, timers)
	}
}

// A BYE that overtakes the ACK stops the retransmission of the 200.
func TestByeOvertakesAck(t *testing.T) {
	r := newTestHost(t)
	r.receive(caller, callerRequest("INVITE", "1e", ""))
	r.respond(switchA, r.expectSent(switchA, "INVITE"), 200, "s", "")
	tag := ";tag=" + siptransaction.Tag(r.expectSent(caller, "SIP/2.0 200").To().Params)
	r.receive(caller, callerRequest("BYE", "1e", tag))
	r.receive(caller, callerRequest("ACK", "1e", tag))
	r.advance(5000)
	if n := r.count(caller, "SIP/2.0 200"); n != 2 { // of the INVITE and of the BYE
		t.Errorf("%d answers 200, want 2", n)
	}
}

// CANCEL and 200 cross: the answered call is acknowledged and released, and no attempt starts before the end of the
// retry hold-off.
func TestCancelCrosses200(t *testing.T) {
	r := newTestHost(t)
	r.policy.onAttemptEnd = func(now float64, x *routing.Attempt) { r.policy.host.ScheduleWakeup(now+1, x.Call) }
	r.policy.onWakeup = func(now float64, routed *routing.Call) {
		if !routed.Finished && routed.InFlight == nil {
			// before the retry hold-off is over: blocked
			r.policy.host.StartAttempt(routed, r.policy.endpoints[1], routed.Deadline-now)
			r.policy.host.ScheduleWakeup(now+100, routed)
		}
	}
	r.receive(caller, callerRequest("INVITE", "2a", ""))
	inv := r.expectSent(switchA, "INVITE")
	r.respond(switchA, inv, 180, "s", "")
	r.policy.host.CancelAttempt(r.agent.dialogs[siptransaction.Tag(inv.From().Params)].leg.attempt)
	r.expectSent(switchA, "CANCEL")
	r.advance(10)
	if r.count(switchB, "INVITE") != 0 {
		t.Error("second attempt while the first was in flight")
	}
	r.respond(switchA, inv, 200, "s", "")
	r.expectSent(switchA, "ACK")
	bye := r.expectSent(switchA, "BYE")
	if tag := siptransaction.Tag(bye.To().Params); tag != "s" {
		t.Errorf("BYE to tag %q", tag)
	}
	r.advance(480)
	if r.count(switchB, "INVITE") != 0 {
		t.Error("attempt before the end of the retry hold-off")
	}
	r.advance(200)
	if r.count(switchB, "INVITE") != 1 {
		t.Error("no attempt after the retry hold-off")
	}
}

// A 200 after the timeout: the caller already has its final answer, so the answered call is released.
func TestLate200(t *testing.T) {
	r := newTestHost(t)
	r.policy.onAttemptEnd = func(_ float64, x *routing.Attempt) {
		if !x.Call.Finished {
			r.policy.host.Fail(x.Call)
		}
	}
	r.receive(caller, callerRequest("INVITE", "3a", ""))
	inv := r.expectSent(switchA, "INVITE")
	r.advance(8999)
	if r.count(caller, "SIP/2.0 500") != 0 {
		t.Error("answered before its time")
	}
	r.advance(2)
	r.expectSent(caller, "SIP/2.0 500")
	n := r.count(switchA, "INVITE")
	r.respond(switchA, inv, 200, "s", "")
	r.expectSent(switchA, "ACK")
	r.expectSent(switchA, "BYE")
	r.advance(20000)
	if m := r.count(switchA, "INVITE"); m != n {
		t.Errorf("%d set-ups repeated after the answer", m-n)
	}
	if r.count(caller, "SIP/2.0 200") != 0 {
		t.Error("a second final answer")
	}
	r.expectEvents("ended 3 closed false wait 0")
}

// The caller cancels before any response of the endpoint: RFC 3261 9.1 forbids a CANCEL until a provisional response.
func TestCancelWaitsForProvisional(t *testing.T) {
	r := newTestHost(t)
	r.receive(caller, callerRequest("INVITE", "4a", ""))
	inv := r.expectSent(switchA, "INVITE")
	r.receive(caller, callerRequest("CANCEL", "4a", ""))
	r.expectSent(caller, "SIP/2.0 200")
	r.expectSent(caller, "SIP/2.0 487")
	if r.count(switchA, "CANCEL") != 0 {
		t.Error("CANCEL before a provisional answer")
	}
	r.respond(switchA, inv, 180, "s", "")
	r.expectSent(switchA, "CANCEL")
	r.respond(switchA, inv, 487, "s", "")
	r.expectSent(switchA, "ACK")
	r.expectEvents("left", "ended 6 closed true wait 0")
}

// The caller cancels while its call is in the retry hold-off.
func TestCallerCancelsInHoldOff(t *testing.T) {
	r := newTestHost(t)
	r.policy.onAttemptEnd = func(now float64, x *routing.Attempt) { r.policy.host.ScheduleWakeup(now+500, x.Call) }
	r.policy.onWakeup = func(now float64, routed *routing.Call) {
		r.policy.host.StartAttempt(routed, r.policy.endpoints[1], 100)
	}
	r.receive(caller, callerRequest("INVITE", "5a", ""))
	inv := r.expectSent(switchA, "INVITE")
	r.respond(switchA, inv, 408, "s", "")
	r.advance(100)
	r.receive(caller, callerRequest("CANCEL", "5a", ""))
	r.expectSent(caller, "SIP/2.0 487")
	r.advance(2000) // the policy attempts all the same: barred
	if r.count(switchB, "INVITE") != 0 {
		t.Error("an attempt after the final answer")
	}
}

// 503 with Retry-After in seconds and with the exact wait, 486 (no free circuit) and 600 (busy everywhere).
func TestFailureResponses(t *testing.T) {
	for i, x := range []struct {
		code       int
		more, want string
	}{
		{503, "Retry-After: 3600", "ended 2 closed false wait 3.6e+06"},
		{503, "Retry-After: 1;ms=250", "ended 2 closed false wait 250"},
		{503, "Retry-After: 2 (in a while);duration=10", "ended 2 closed false wait 2000"},
		{503, "Retry-After: soon", "ended 2 closed false wait 0"},
		{486, "", "ended 2 closed false wait 0"},
		{600, "", "ended 1 closed false wait 0"},
		{302, "Contact: <sip:127.0.0.9>", "ended 1 closed false wait 0"},
	} {
		r := newTestHost(t)
		r.policy.onAttemptEnd = func(_ float64, x *routing.Attempt) { r.policy.host.Reject(x.Call, 300) }
		r.receive(caller, callerRequest("INVITE", fmt.Sprintf("%da", i+1), ""))
		r.respond(switchA, r.expectSent(switchA, "INVITE"), x.code, "s", x.more)
		r.expectSent(switchA, "ACK")
		r.expectEvents(x.want)
		res := r.expectSent(caller, "SIP/2.0 503").(*sip.Response)
		retryAfter := siptransaction.HeaderValue(res, siptransaction.RetryAfter)
		if siptransaction.ParseRetryAfter(retryAfter) != 300 {
			t.Errorf("caller told to wait %q", siptransaction.HeaderValue(res, siptransaction.RetryAfter))
		}
	}
}

// The endpoint drains while a setup has no response: the setup is not retransmitted, since the retransmission could be
// the first copy to arrive there.
func TestDrainStopsRetransmissions(t *testing.T) {
	r := newTestHost(t)
	r.receive(caller, callerRequest("INVITE", "6a", ""))
	r.advance(500)
	if n := r.count(switchA, "INVITE"); n != 2 {
		t.Fatalf("%d set-ups in 500 ms, want 2", n)
	}
	r.sendList(routing.Draining)
	r.advance(5000)
	if n := r.count(switchA, "INVITE"); n != 2 {
		t.Errorf("%d setups retransmitted to a draining endpoint", n-2)
	}
}

// An endpoint that restarted answers our BYE with 481, which ends the dialog too. Its own BYE for an aborted call is
// reported as a reset and passed on with its reason.
func TestEndpointLosesDialog(t *testing.T) {
	r := newTestHost(t)
	stand := func(id string) (inv sip.Message, tag string) {
		r.receive(caller, callerRequest("INVITE", id, ""))
		inv = r.expectSent(switchA, "INVITE")
		r.respond(switchA, inv, 200, "s"+id, "")
		tag = ";tag=" + siptransaction.Tag(r.expectSent(caller, "SIP/2.0 200").To().Params)
		r.receive(caller, callerRequest("ACK", id, tag))
		return inv, tag
	}
	_, tag := stand("7a")
	r.receive(caller, callerRequest("BYE", "7a", tag))
	r.respond(switchA, r.expectSent(switchA, "BYE"), 481, "", "")
	inv, _ := stand("8a")
	r.receive(
		switchA,
		"BYE sip:127.0.0.1 SIP/2.0\nVia: SIP/2.0/UDP 127.0.0.3:5060;branch=z9hG4bKx\nFrom: <sip:x@y>;tag=s8a\nTo: "+
			"<sip:a@b>;tag="+
			siptransaction.Tag(inv.From().Params)+"\nCall-ID: "+string(
			*inv.CallID(),
		)+"\nCSeq: 1 BYE\nReason: Q.850;cause=41\nContent-Length: 0",
	)
	bye := r.expectSent(caller, "BYE").(*sip.Request)
	if !strings.Contains(siptransaction.HeaderValue(bye, siptransaction.Reason), "cause=41") {
		t.Errorf("reason %q to the caller", siptransaction.HeaderValue(bye, siptransaction.Reason))
	}
	r.expectEvents("stood", "ended 0 closed true wait 0", "stood", "ended 5 closed true wait 0")
	r.receive(caller, callerRequest("BYE", "8a", ";tag=nobody"))
	r.expectSent(caller, "SIP/2.0 481")
}

// An INVITE that arrives twice over different paths is one call: the second copy gets 482 (RFC 3261 8.2.2.2).
func TestMergedRequests(t *testing.T) {
	r := newTestHost(t)
	r.receive(caller, callerRequest("INVITE", "9a", ""))
	r.receive(caller, strings.Replace(callerRequest("INVITE", "9a", ""), "z9hG4bK9a", "z9hG4bKother", 1))
	r.expectSent(caller, "SIP/2.0 482")
	if n := r.count(switchA, "INVITE"); n != 1 {
		t.Errorf("%d set-ups, want 1", n)
	}
}

// A gateway that stalls past a retransmission and the timeout sends the answer without a retransmission.
func TestStallPastTimeout(t *testing.T) {
	r := newTestHost(t)
	r.policy.onAttemptEnd = func(_ float64, x *routing.Attempt) { r.policy.host.Fail(x.Call) }
	r.receive(caller, callerRequest("INVITE", "1d", ""))
	r.advance(2000) // the next repeat is due at 2800, the timeout ends at 9000
	n := r.count(switchA, "INVITE")
	r.now += 8000
	r.advance(50)
	r.expectSent(caller, "SIP/2.0 500")
	if m := r.count(switchA, "INVITE"); m != n {
		t.Errorf("%d set-ups repeated with the answer", m-n)
	}
}

// After a stall an INVITE may have arrived at any time during it, so the timeout counts from the start of the stall. A
// gateway that was merely idle counts from the receipt.
func TestStall(t *testing.T) {
	r := newTestHost(t)
	r.policy.onAttemptEnd = func(_ float64, x *routing.Attempt) {
		if !x.Call.Finished {
			r.policy.host.Fail(x.Call)
		}
	}
	r.advance(1000)
	r.now += 4000
	r.receive(caller, callerRequest("INVITE", "1c", ""))
	r.advance(4999)
	if r.count(caller, "SIP/2.0 500") != 0 {
		t.Error("answered before its time")
	}
	r.advance(2)
	r.expectSent(caller, "SIP/2.0 500")
	for range 40 { // idle, woken at its beat
		r.now = r.agent.NextWakeup()
		r.agent.Step(r.now)
	}
	r.receive(caller, callerRequest("INVITE", "2c", ""))
	r.advance(8990)
	if r.agent.Counts.Failed != 1 {
		t.Error("an idle gateway counted the timeout of a new call from before its receipt")
	}
}

// A call that was shed gets the same answer if its INVITE is retransmitted when there is capacity again.
func TestShedStaysShed(t *testing.T) {
	r := newTestHost(t)
	r.agent.LoadShedder.MaxPending = 1
	r.receive(caller, callerRequest("INVITE", "1a", ""))
	inv := r.expectSent(switchA, "INVITE")
	r.receive(caller, callerRequest("INVITE", "2a", ""))
	r.expectSent(caller, "SIP/2.0 503")
	r.respond(switchA, inv, 200, "s", "")
	r.receive(caller, callerRequest("INVITE", "2a", ""))
	r.expectSent(caller, "SIP/2.0 503")
	if r.agent.Counts.Accepted != 1 {
		t.Errorf("%d accepted", r.agent.Counts.Accepted)
	}
}

// Rule 1 holds even if the policy forgets a call or answers it twice.
func TestPolicyForgetsCall(t *testing.T) {
	r := newTestHost(t)
	r.policy.onCall = func(float64, *routing.Call) {}
	r.receive(caller, callerRequest("INVITE", "1b", ""))
	r.advance(9011)
	r.expectSent(caller, "SIP/2.0 500")
	r.policy.onCall = func(_ float64, routed *routing.Call) { r.policy.host.Reject(routed, 0); r.policy.host.Fail(routed) }
	r.receive(caller, callerRequest("INVITE", "2b", ""))
	r.expectSent(caller, "SIP/2.0 503")
	if n := r.count(caller, "SIP/2.0 500"); n < 1 || r.agent.Counts.Overdue != 1 {
		t.Errorf("%d answers 500, %d overdue", n, r.agent.Counts.Overdue)
	}
}

// No datagram makes the agent panic: truncated, oversized, random or hostile.
func FuzzReceive(f *testing.F) {
	invite := strings.ReplaceAll(callerRequest("INVITE", "1a", ""), "\n", "\r\n") + "\r\n\r\n"
	for _, s := range []string{invite, invite[:60], invite[:len(invite)-40], strings.Repeat("A", 65535),
		"\x00\xff\r\n\r\n",
		strings.Replace(invite, "\r\n", "\r\n"+strings.Repeat("Via: SIP/2.0/UDP 1.2.3.4:5;branch=z9hG4bKv\r\n", 1500), 1),
		strings.Replace(invite, "CSeq: 1", "CSeq: 99999999999", 1), strings.Replace(invite, "Content-Length: 0",
			"Content-Length: 4000000000", 1),
		strings.Replace(invite, "branch=", "branch=\"a,b;c\";branch=", 1), strings.Replace(invite, "INVITE", "BYE", 2),
		"SIP/2.0 200 OK\r\nVia: SIP/2.0/UDP 127.0.0.1:5060;branch=z9hG4bKq\r\nFrom: <sip:a@b>\r\nTo: <sip:a@b>\r\n" +
			"Call-ID: 1\r\nCSeq: 1 INVITE\r\n\r\n",
		strings.Replace(invite, "Expires: 9", "Expires: -9", 1), strings.Replace(invite,
			"Contact: <sip:127.0.0.2:5060>\r\n", "", 1)} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r := newTestHost(t)
		r.agent.Receive(r.now, caller, data)
		r.agent.Step(r.now)
		r.agent.Receive(r.now, caller, data)
		r.advance(5)
	})
}
