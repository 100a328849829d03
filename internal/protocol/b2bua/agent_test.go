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
	host := newTestHost(t)
	host.receive(caller, callerRequest("INVITE", "1a", ""))
	invite := host.expectSent(switchA, "INVITE sip:+14185550123;tgrp=TG-0;trunk-context=x.example@127.0.0.3")
	host.advance(151)
	host.expectSent(caller, "SIP/2.0 100")
	if s := siptransaction.SessionIDOf(invite.(*sip.Request)); s != strings.Repeat("1", 32) {
		t.Errorf("Session-ID %q on the trunk, want that of the caller", s)
	}
	host.respond(switchA, invite, 180, "s1", "Cobalt-Load: util=0.5;queue=3;lines=90;free=80")
	host.expectSent(caller, "SIP/2.0 180")
	host.advance(50)
	host.respond(switchA, invite, 200, "s1", "")
	host.expectSent(switchA, "ACK ")
	ok := host.expectSent(caller, "SIP/2.0 200")
	tag := ";tag=" + siptransaction.Tag(ok.To().Params)
	if report := host.policy.endpoints[0].LoadReport; report.Utilization != 0.5 || report.QueueLength != 3 ||
		report.Capacity != 90 || report.Free != 80 {
		t.Errorf("want utilization 0.5, queue 3, capacity 90 and 80 free, got %+v", report)
	}
	host.advance(900)
	if n := host.count(caller, "SIP/2.0 200"); n != 2 {
		t.Errorf("200 sent %d times in 900 ms without an ACK, want 2", n)
	}
	host.receive(caller, callerRequest("ACK", "1a", tag))
	host.respond(switchA, invite, 200, "s1", "") // retransmitted: the switch did not get our ACK
	if n := host.count(switchA, "ACK "); n != 2 {
		t.Errorf("%d ACKs to the switch, want 2", n)
	}
	host.advance(3000)
	if n := host.count(caller, "SIP/2.0 200"); n != 2 {
		t.Errorf("200 retransmitted after its ACK")
	}
	host.receive(caller, callerRequest("BYE", "1a", tag))
	host.expectSent(switchA, "BYE ")
	host.expectEvents("report true true", "answered", "ended 0 closed true wait 0")
	if pending, established := host.agent.InProgress(); pending != 0 || established != 0 {
		t.Errorf("want no call, got %d pending, %d established", pending, established)
	}
	host.advance(100000)
	if dialogs, transactions, timers := host.agent.OpenCounts(); dialogs+transactions+timers != 0 {
		t.Errorf("left over: %d dialogs, %d transactions, %d timers", dialogs, transactions, timers)
	}
}

// A BYE that overtakes the ACK stops the retransmission of the 200.
func TestByeOvertakesAck(t *testing.T) {
	host := newTestHost(t)
	host.receive(caller, callerRequest("INVITE", "1e", ""))
	host.respond(switchA, host.expectSent(switchA, "INVITE"), 200, "s", "")
	tag := ";tag=" + siptransaction.Tag(host.expectSent(caller, "SIP/2.0 200").To().Params)
	host.receive(caller, callerRequest("BYE", "1e", tag))
	host.receive(caller, callerRequest("ACK", "1e", tag))
	host.advance(5000)
	if n := host.count(caller, "SIP/2.0 200"); n != 2 { // of the INVITE and of the BYE
		t.Errorf("%d responses 200, want 2", n)
	}
}

// CANCEL and 200 cross: the answered call is acknowledged and released, and no attempt starts before the end of the
// retry hold-off.
func TestCancelCrosses200(t *testing.T) {
	host := newTestHost(t)
	host.policy.onAttemptEnd = func(now float64, attempt *routing.Attempt) {
		host.policy.routingHost.ScheduleWakeup(now+1, attempt.Call)
	}
	host.policy.onWakeup = func(now float64, routed *routing.Call) {
		if !routed.Finished && routed.InFlight == nil {
			// before the retry hold-off is over: blocked
			host.policy.routingHost.StartAttempt(routed, host.policy.endpoints[1], routed.Deadline-now)
			host.policy.routingHost.ScheduleWakeup(now+100, routed)
		}
	}
	host.receive(caller, callerRequest("INVITE", "2a", ""))
	invite := host.expectSent(switchA, "INVITE")
	host.respond(switchA, invite, 180, "s", "")
	host.policy.routingHost.CancelAttempt(host.agent.dialogs[siptransaction.Tag(invite.From().Params)].leg.attempt)
	host.expectSent(switchA, "CANCEL")
	host.advance(10)
	if host.count(switchB, "INVITE") != 0 {
		t.Error("second attempt while the first was in flight")
	}
	host.respond(switchA, invite, 200, "s", "")
	host.expectSent(switchA, "ACK")
	bye := host.expectSent(switchA, "BYE")
	if tag := siptransaction.Tag(bye.To().Params); tag != "s" {
		t.Errorf("BYE to tag %q, want \"s\"", tag)
	}
	host.advance(480)
	if host.count(switchB, "INVITE") != 0 {
		t.Error("attempt before the end of the retry hold-off")
	}
	host.advance(200)
	if host.count(switchB, "INVITE") != 1 {
		t.Error("no attempt after the retry hold-off")
	}
}

// A 200 after the timeout: the caller already has its final answer, so the answered call is released.
func TestLate200(t *testing.T) {
	host := newTestHost(t)
	host.policy.onAttemptEnd = func(_ float64, attempt *routing.Attempt) {
		if !attempt.Call.Finished {
			host.policy.routingHost.Fail(attempt.Call)
		}
	}
	host.receive(caller, callerRequest("INVITE", "3a", ""))
	invite := host.expectSent(switchA, "INVITE")
	host.advance(8999)
	if host.count(caller, "SIP/2.0 500") != 0 {
		t.Error("answered before the timeout")
	}
	host.advance(2)
	host.expectSent(caller, "SIP/2.0 500")
	sent := host.count(switchA, "INVITE")
	host.respond(switchA, invite, 200, "s", "")
	host.expectSent(switchA, "ACK")
	host.expectSent(switchA, "BYE")
	host.advance(20000)
	if again := host.count(switchA, "INVITE"); again != sent {
		t.Errorf("%d setups retransmitted after the answer", again-sent)
	}
	if host.count(caller, "SIP/2.0 200") != 0 {
		t.Error("second final answer")
	}
	host.expectEvents("ended 3 closed false wait 0")
}

// The caller cancels before any response of the endpoint: RFC 3261 9.1 forbids a CANCEL until a provisional response.
func TestCancelWaitsForProvisional(t *testing.T) {
	host := newTestHost(t)
	host.receive(caller, callerRequest("INVITE", "4a", ""))
	invite := host.expectSent(switchA, "INVITE")
	host.receive(caller, callerRequest("CANCEL", "4a", ""))
	host.expectSent(caller, "SIP/2.0 200")
	host.expectSent(caller, "SIP/2.0 487")
	if host.count(switchA, "CANCEL") != 0 {
		t.Error("CANCEL before a provisional response")
	}
	host.respond(switchA, invite, 180, "s", "")
	host.expectSent(switchA, "CANCEL")
	host.respond(switchA, invite, 487, "s", "")
	host.expectSent(switchA, "ACK")
	host.expectEvents("hung up", "ended 6 closed true wait 0")
}

// The caller cancels while its call is in the retry hold-off.
func TestCallerCancelsInHoldOff(t *testing.T) {
	host := newTestHost(t)
	host.policy.onAttemptEnd = func(now float64, attempt *routing.Attempt) {
		host.policy.routingHost.ScheduleWakeup(now+500, attempt.Call)
	}
	host.policy.onWakeup = func(now float64, routed *routing.Call) {
		host.policy.routingHost.StartAttempt(routed, host.policy.endpoints[1], 100)
	}
	host.receive(caller, callerRequest("INVITE", "5a", ""))
	invite := host.expectSent(switchA, "INVITE")
	host.respond(switchA, invite, 408, "s", "")
	host.advance(100)
	host.receive(caller, callerRequest("CANCEL", "5a", ""))
	host.expectSent(caller, "SIP/2.0 487")
	host.advance(2000) // the policy still starts an attempt, which is blocked
	if host.count(switchB, "INVITE") != 0 {
		t.Error("attempt after the final answer")
	}
}

// 503 with Retry-After in seconds and with the exact wait, 486 (no free circuit) and 600 (busy everywhere). The policy
// rejects the call then. If its class is not idempotent, and the response does not prove that it was not executed, it
// is failed instead, without a Retry-After: a retry is not harmless.
func TestFailureResponses(t *testing.T) {
	for i, c := range []struct {
		code        int
		field, want string
		idempotent  bool
		rejected    bool
	}{
		{503, "Retry-After: 3600", "ended 2 closed false wait 3.6e+06", false, true},
		{503, "Retry-After: 1;ms=250", "ended 2 closed false wait 250", false, true},
		{503, "Retry-After: 2 (in a while);duration=10", "ended 2 closed false wait 2000", false, true},
		{503, "Retry-After: soon", "ended 2 closed false wait 0", false, true},
		{486, "", "ended 2 closed false wait 0", false, true},
		{600, "", "ended 1 closed false wait 0", true, true},
		{302, "Contact: <sip:127.0.0.9>", "ended 1 closed false wait 0", true, true},
		{600, "", "ended 1 closed false wait 0", false, false},
		{302, "Contact: <sip:127.0.0.9>", "ended 1 closed false wait 0", false, false},
	} {
		host := newTestHost(t)
		for _, class := range host.agent.Classes {
			class.Idempotent = c.idempotent
		}
		host.policy.onAttemptEnd = func(_ float64, attempt *routing.Attempt) {
			host.policy.routingHost.Reject(attempt.Call, 300)
		}
		host.receive(caller, callerRequest("INVITE", fmt.Sprintf("%da", i+1), ""))
		host.respond(switchA, host.expectSent(switchA, "INVITE"), c.code, "s", c.field)
		host.expectSent(switchA, "ACK")
		host.expectEvents(c.want)
		if !c.rejected {
			res := host.expectSent(caller, "SIP/2.0 500").(*sip.Response)
			if res.GetHeader(siptransaction.RetryAfter) != nil {
				t.Errorf("%d: the failed call has a Retry-After", c.code)
			}
			continue
		}
		res := host.expectSent(caller, "SIP/2.0 503").(*sip.Response)
		retryAfter := siptransaction.HeaderValue(res, siptransaction.RetryAfter)
		if siptransaction.ParseRetryAfter(retryAfter) != 300 {
			t.Errorf("Retry-After %q to the caller, want 300 ms",
				siptransaction.HeaderValue(res, siptransaction.RetryAfter))
		}
	}
}

// The endpoint drains while a setup has no response: the setup is not retransmitted, since the retransmission could be
// the first copy to arrive there.
func TestDrainStopsRetransmissions(t *testing.T) {
	host := newTestHost(t)
	host.receive(caller, callerRequest("INVITE", "6a", ""))
	host.advance(500)
	if n := host.count(switchA, "INVITE"); n != 2 {
		t.Fatalf("%d setups sent in 500 ms, want 2", n)
	}
	host.sendList(routing.Draining)
	host.advance(5000)
	if n := host.count(switchA, "INVITE"); n != 2 {
		t.Errorf("%d setups retransmitted to a draining endpoint", n-2)
	}
}

// An endpoint that restarted answers our BYE with 481, which ends the dialog too. Its own BYE for an aborted call is
// reported as a reset and passed on with its reason.
func TestEndpointLosesDialog(t *testing.T) {
	host := newTestHost(t)
	establish := func(id string) (invite sip.Message, tag string) {
		host.receive(caller, callerRequest("INVITE", id, ""))
		invite = host.expectSent(switchA, "INVITE")
		host.respond(switchA, invite, 200, "s"+id, "")
		tag = ";tag=" + siptransaction.Tag(host.expectSent(caller, "SIP/2.0 200").To().Params)
		host.receive(caller, callerRequest("ACK", id, tag))
		return invite, tag
	}
	_, tag := establish("7a")
	host.receive(caller, callerRequest("BYE", "7a", tag))
	host.respond(switchA, host.expectSent(switchA, "BYE"), 481, "", "")
	invite, _ := establish("8a")
	host.receive(
		switchA,
		"BYE sip:127.0.0.1 SIP/2.0\nVia: SIP/2.0/UDP 127.0.0.3:5060;branch=z9hG4bKx\nFrom: <sip:x@y>;tag=s8a\nTo: "+
			"<sip:a@b>;tag="+
			siptransaction.Tag(invite.From().Params)+"\nCall-ID: "+string(
			*invite.CallID(),
		)+"\nCSeq: 1 BYE\nReason: Q.850;cause=41\nContent-Length: 0",
	)
	bye := host.expectSent(caller, "BYE").(*sip.Request)
	if !strings.Contains(siptransaction.HeaderValue(bye, siptransaction.ReasonHeader), "cause=41") {
		t.Errorf("Reason %q to the caller, want cause 41", siptransaction.HeaderValue(bye, siptransaction.ReasonHeader))
	}
	host.expectEvents("answered", "ended 0 closed true wait 0", "answered", "ended 5 closed true wait 0")
	host.receive(caller, callerRequest("BYE", "8a", ";tag=nobody"))
	host.expectSent(caller, "SIP/2.0 481")
}

// An INVITE that arrives twice over different paths is one call: the second copy gets 482 (RFC 3261 8.2.2.2).
func TestMergedRequests(t *testing.T) {
	host := newTestHost(t)
	host.receive(caller, callerRequest("INVITE", "9a", ""))
	host.receive(caller, strings.Replace(callerRequest("INVITE", "9a", ""), "z9hG4bK9a", "z9hG4bKother", 1))
	host.expectSent(caller, "SIP/2.0 482")
	if n := host.count(switchA, "INVITE"); n != 1 {
		t.Errorf("%d setups sent, want 1", n)
	}
}

// A gateway that stalls past a retransmission and the timeout sends the final answer and retransmits nothing.
func TestStallPastTimeout(t *testing.T) {
	host := newTestHost(t)
	host.policy.onAttemptEnd = func(_ float64, attempt *routing.Attempt) { host.policy.routingHost.Fail(attempt.Call) }
	host.receive(caller, callerRequest("INVITE", "1d", ""))
	host.advance(2000) // the next retransmission is due at 2800, the timeout at 9000
	sent := host.count(switchA, "INVITE")
	host.now += 8000
	host.advance(50)
	host.expectSent(caller, "SIP/2.0 500")
	if again := host.count(switchA, "INVITE"); again != sent {
		t.Errorf("%d setups retransmitted with the answer", again-sent)
	}
}

// After a stall an INVITE may have arrived at any time during it, so the timeout counts from the start of the stall. A
// gateway that was merely idle counts from the receipt.
func TestStall(t *testing.T) {
	host := newTestHost(t)
	host.policy.onAttemptEnd = func(_ float64, attempt *routing.Attempt) {
		if !attempt.Call.Finished {
			host.policy.routingHost.Fail(attempt.Call)
		}
	}
	host.advance(1000)
	host.now += 4000
	host.receive(caller, callerRequest("INVITE", "1c", ""))
	host.advance(4999)
	if host.count(caller, "SIP/2.0 500") != 0 {
		t.Error("answered before the timeout")
	}
	host.advance(2)
	host.expectSent(caller, "SIP/2.0 500")
	for range 40 { // idle: only its own timers wake it
		host.now = host.agent.NextWakeup()
		host.agent.Step(host.now)
	}
	host.receive(caller, callerRequest("INVITE", "2c", ""))
	host.advance(8990)
	if host.agent.Counts.Failed != 1 {
		t.Error("after an idle time, the timeout of a new call began before its receipt")
	}
}

// A call that was shed gets the same answer if its INVITE is retransmitted when there is capacity again.
func TestShedStaysShed(t *testing.T) {
	host := newTestHost(t)
	host.agent.LoadShedder.MaxPending = 1
	host.receive(caller, callerRequest("INVITE", "1a", ""))
	invite := host.expectSent(switchA, "INVITE")
	host.receive(caller, callerRequest("INVITE", "2a", ""))
	host.expectSent(caller, "SIP/2.0 503")
	host.respond(switchA, invite, 200, "s", "")
	host.receive(caller, callerRequest("INVITE", "2a", ""))
	host.expectSent(caller, "SIP/2.0 503")
	if host.agent.Counts.Accepted != 1 {
		t.Errorf("%d accepted, want 1", host.agent.Counts.Accepted)
	}
}

// Rule 1 holds even if the policy forgets a call or answers it twice.
func TestPolicyForgetsCall(t *testing.T) {
	host := newTestHost(t)
	host.policy.onCall = func(float64, *routing.Call) {}
	host.receive(caller, callerRequest("INVITE", "1b", ""))
	host.advance(9011)
	host.expectSent(caller, "SIP/2.0 500")
	host.policy.onCall = func(_ float64, routed *routing.Call) {
		host.policy.routingHost.Reject(routed, 0)
		host.policy.routingHost.Fail(routed)
	}
	host.receive(caller, callerRequest("INVITE", "2b", ""))
	host.expectSent(caller, "SIP/2.0 503")
	if n := host.count(caller, "SIP/2.0 500"); n < 1 || host.agent.Counts.Overdue != 1 {
		t.Errorf("want a response 500 and 1 overdue, got %d and %d", n, host.agent.Counts.Overdue)
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
		host := newTestHost(t)
		host.agent.Receive(host.now, caller, data)
		host.agent.Step(host.now)
		host.agent.Receive(host.now, caller, data)
		host.advance(5)
	})
}
