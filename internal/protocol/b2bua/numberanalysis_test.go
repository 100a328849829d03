package b2bua

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"weak"

	"github.com/emiago/sipgo/sip"

	"cobaltpier/internal/decision/numberplan"
	"cobaltpier/internal/protocol/callcontrol"
	"cobaltpier/internal/protocol/siptransaction"
	"cobaltpier/internal/routing"
)

const tableText = `
name    = "t%d"
version = %d
route "a" {
  skill = "claim"
  group "TG-1" {
  }
}
route "b" {
  group "TG-0" {
  }
}
route "bad" {
  group "TG-9" {
  }
}
plan "start" {
  rule "1418" {
    portability {
      within = "400ms"
      ported {
        plan = "mark"
      }
      same {
        plan = "mark"
      }
      silent {
        route = "b"
      }
    }
  }
  rule "1613" {
    route = "bad"
  }
  rule "1911" {
    refuse = "not\nhere"
    code   = 410
  }
}
plan "mark" {
  rule "" {
    add  = "%d"
    plan = "end"
  }
}
plan "end" {
  rule "%d" {
    route = "a"
  }
}
`

func numbers(t *testing.T, version int) *numberplan.Table {
	x, _, err := numberplan.Parse("t.hcl", []byte(fmt.Sprintf(tableText, version, version, 700+version, 700+version)))
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// manualLookup records look-ups, which the test answers.
type manualLookup struct {
	numbers   []string
	timeouts  []float64
	callbacks []func(now float64, found numberplan.Found)
	stops     int
}

func (b *manualLookup) Resolve(_ float64, digits string, within float64, done func(float64, numberplan.Found)) func() {
	b.numbers, b.timeouts, b.callbacks = append(b.numbers, digits), append(b.timeouts, within), append(b.callbacks, done)
	return func() { b.stops++ }
}
func (b *manualLookup) Wake(float64)        {}
func (b *manualLookup) NextWakeup() float64 { return 1e18 }

func newNumberTestHost(t *testing.T) (*testHost, *manualLookup) {
	r, b := newTestHost(t), &manualLookup{}
	r.agent.config.NumberLookup, r.agent.config.LookupShare = b, 0.25
	r.agent.SetTable(numbers(t, 1))
	return r, b
}

// A call to a ported number is set up over the route's trunk group with the routing number, and the timeout of the
// route's class applies.
func TestPortedNumber(t *testing.T) {
	r, b := newNumberTestHost(t)
	var got *routing.Call
	r.policy.onCall = func(now float64, routed *routing.Call) {
		got = routed
		r.policy.host.StartAttempt(routed, r.policy.endpoints[1], routed.Deadline-now)
	}
	r.receive(caller, callerRequest("INVITE", "a1", ""))
	if len(b.numbers) != 1 || b.numbers[0] != "14185550123" || b.timeouts[0] != 400 || got != nil {
		t.Fatalf("asked %v within %v, offered %v", b.numbers, b.timeouts, got)
	}
	r.advance(200)
	r.expectSent(caller, "SIP/2.0 100")
	b.callbacks[0](r.now, numberplan.Found{Answer: numberplan.Ported, Routing: "+15145550000", Carrier: "+1-6789"})
	if got == nil || got.Class.Name != "claim" || got.DestinationID != 1 || got.Destination != r.policy.endpoints[1] ||
		got.Deadline != got.ArrivedAt+6000 {
		t.Fatalf("offered %+v", got)
	}
	req := r.expectSent(switchB, "INVITE sip:+14185550123;npdi;rn=+70115145550000;cic=+1-6789;tgrp=TG-1;")
	if siptransaction.HeaderValue(req.(*sip.Request), siptransaction.Service) != "urn:urn-7:claim" {
		t.Error("wrong class in the setup")
	}
	if n, _ := r.agent.Tables(); n != 0 {
		t.Errorf("%d old tables", n)
	}
}

// A look-up uses no more than its share of the call's remaining timeout.
func TestLookupTimeoutShare(t *testing.T) {
	r, b := newNumberTestHost(t)
	r.receive(caller, strings.Replace(callerRequest("INVITE", "a1", ""), "Expires: 9", "Expires: 1", 1))
	if len(b.timeouts) != 1 || b.timeouts[0] != 250 {
		t.Errorf("within %v", b.timeouts)
	}
}

// No look-up starts if the share of look-ups is 0.
func TestZeroLookupShare(t *testing.T) {
	r, b := newNumberTestHost(t)
	r.agent.config.LookupShare = 0
	home := -1
	r.policy.onCall = func(_ float64, routed *routing.Call) { home = routed.DestinationID }
	r.receive(caller, callerRequest("INVITE", "a1", ""))
	if len(b.numbers) != 0 || home != 0 {
		t.Errorf("asked %v, offered with destination %d", b.numbers, home)
	}
}

// A caller's CANCEL cancels its look-up. An answer after the CANCEL or the call's end has no effect.
func TestLookupAnswerTooLate(t *testing.T) {
	r, b := newNumberTestHost(t)
	r.policy.onCall = func(float64, *routing.Call) { t.Error("offered") }
	r.receive(caller, callerRequest("INVITE", "a1", ""))
	r.receive(caller, callerRequest("CANCEL", "a1", ""))
	r.expectSent(caller, "SIP/2.0 487")
	b.callbacks[0](r.now, numberplan.Found{Answer: numberplan.NotPorted})
	if b.stops != 1 || len(r.policy.events) != 0 {
		t.Errorf("stopped %d, the policy recorded %v", b.stops, r.policy.events)
	}
	r.receive(caller, callerRequest("INVITE", "b1", ""))
	r.advance(9500) // the look-up never returns
	r.expectSent(caller, "SIP/2.0 500")
	b.callbacks[1](r.now, numberplan.Found{Answer: numberplan.NotPorted})
	if b.stops != 2 || r.agent.Counts.Overdue != 1 {
		t.Errorf("stopped %d, overdue %d", b.stops, r.agent.Counts.Overdue)
	}
	if old, n := r.agent.Tables(); old != 0 || n != 0 {
		t.Errorf("%d calls use %d old tables", n, old)
	}
}

// The table changes while 1000 calls wait for look-ups: each call keeps its table, and the old tables are released
// after the calls' final answers.
func TestTableChangeDuringLookups(t *testing.T) {
	r, b := newNumberTestHost(t)
	r.agent.LoadShedder.MaxPending = 5000
	var sent []string
	r.policy.onCall = func(now float64, routed *routing.Call) {
		sent = append(sent, routed.CalledNumber+routed.HostData.(*callcontrol.Session).SignalingLeg.(*call).number.params)
		r.policy.host.Reject(routed, 0)
	}
	for v := 1; v <= 4; v++ {
		r.agent.SetTable(numbers(t, v))
		for i := range 250 {
			r.receive(caller, callerRequest("INVITE", fmt.Sprintf("%x%d", v, i), ""))
		}
	}
	old, n := r.agent.Tables()
	if old != 3 || n != 750 {
		t.Fatalf("%d calls use %d old tables", n, old)
	}
	r.agent.SetTable(numbers(t, 5))
	for i := range 1000 {
		b.callbacks[i](r.now, numberplan.Found{Answer: numberplan.NotPorted})
	}
	for i, s := range sent {
		if want := fmt.Sprintf("+%d14185550123;npdi", 701+i/250); s != want {
			t.Fatalf("call %d was sent to %s, want %s", i, s, want)
		}
	}
	if old, n := r.agent.Tables(); len(sent) != 1000 || old != 0 || n != 0 {
		t.Errorf("%d offered; %d calls use %d old tables", len(sent), n, old)
	}
}

// An old table is garbage-collected after the last call that uses it has its final answer, and not before. Established
// calls don't keep it.
func TestOldTableIsFreed(t *testing.T) {
	r, b := newNumberTestHost(t)
	r.policy.onCall = func(now float64, routed *routing.Call) {
		r.policy.host.StartAttempt(routed, r.policy.endpoints[1], routed.Deadline-now)
	}
	old := func() weak.Pointer[numberplan.Table] {
		x := numbers(t, 2)
		r.agent.SetTable(x)
		return weak.Make(x)
	}()
	r.receive(caller, callerRequest("INVITE", "a1", ""))
	r.agent.SetTable(numbers(t, 3))
	runtime.GC()
	if old.Value() == nil {
		t.Fatal("table freed while a call uses it")
	}
	b.callbacks[0](r.now, numberplan.Found{Answer: numberplan.NotPorted})
	b.callbacks = nil
	r.respond(switchB, r.expectSent(switchB, "INVITE"), 200, "s1", "")
	r.expectSent(caller, "SIP/2.0 200")
	runtime.GC()
	runtime.GC()
	if old.Value() != nil {
		t.Error("old table not freed")
	}
	if _, standing := r.agent.InProgress(); standing != 1 {
		t.Errorf("%d established calls", standing)
	}
}

// Refused and malformed numbers are answered at once without a look-up. A route to an unknown trunk group gets 500.
func TestNumberRefused(t *testing.T) {
	r, b := newNumberTestHost(t)
	r.policy.onCall = func(float64, *routing.Call) { t.Error("offered") }
	for number, want := range map[string]string{"+19115550123": "SIP/2.0 410 not here", "+15145550123": "SIP/2.0 404",
		"+1CALLME":     "SIP/2.0 484",
		"+16135550123": "SIP/2.0 500", "+1418555;npdi;npdi": "SIP/2.0 400"} {
		r.receive(caller, strings.Replace(callerRequest("INVITE", "z"+want[8:11], ""), "+14185550123", number, 1))
		r.expectSent(caller, want)
		r.nextPacket = 0
	}
	if held, _ := r.agent.InProgress(); held != 0 || len(b.numbers) != 0 || len(r.agent.tables) != 0 {
		t.Errorf("%d held, asked %v, %d tables", held, b.numbers, len(r.agent.tables))
	}
}

// Calls that are shed cause no look-ups.
func TestShedCallsAreNotLookedUp(t *testing.T) {
	r, b := newNumberTestHost(t)
	r.agent.LoadShedder.MaxPending = 10
	for i := range 200 {
		r.receive(caller, callerRequest("INVITE", fmt.Sprintf("f%d", i), ""))
	}
	if len(b.numbers) > 10 || r.agent.Counts.Shed < 190 {
		t.Errorf("%d looked up, %d shed", len(b.numbers), r.agent.Counts.Shed)
	}
}

// A call that waits for a look-up is served although the agent drains meanwhile; the endpoint's state at the end of the
// look-up counts (rule 3).
func TestDrainDuringLookup(t *testing.T) {
	r, b := newNumberTestHost(t)
	r.policy.onCall = func(now float64, routed *routing.Call) {
		r.policy.host.StartAttempt(routed, r.policy.endpoints[0], routed.Deadline-now)
	}
	r.receive(caller, callerRequest("INVITE", "a1", ""))
	r.agent.StopAdmitting()
	r.sendList(routing.Draining)
	b.callbacks[0](r.now, numberplan.Found{Answer: numberplan.Silent})
	r.advance(1)
	if len(r.policy.events) != 1 || !strings.HasPrefix(r.policy.events[0], fmt.Sprintf("ended %d", routing.NotSent)) ||
		r.agent.Counts.Blocked != 1 {
		t.Errorf("rule 3: events %v, blocked %d", r.policy.events, r.agent.Counts.Blocked)
	}
	for _, p := range r.packets {
		if p.to == switchA && strings.HasPrefix(p.data, "INVITE") {
			t.Error("setup to a draining endpoint")
		}
	}
	r.sendList(routing.Ready)
	r.receive(caller, callerRequest("INVITE", "b1", ""))
	r.expectSent(caller, "SIP/2.0 503")
}
