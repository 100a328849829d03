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

func newTable(t *testing.T, version int) *numberplan.Table {
	table, _, err := numberplan.Parse("t.hcl", []byte(fmt.Sprintf(tableText, version, version, 700+version, 700+version)))
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// manualLookup records look-ups, which the test answers.
type manualLookup struct {
	numbers   []string
	timeouts  []float64
	callbacks []func(now float64, found numberplan.LookupResult)
	canceled  int
}

func (l *manualLookup) Resolve(
	_ float64, digits string, timeout float64, done func(float64, numberplan.LookupResult),
) func() {
	l.numbers, l.timeouts, l.callbacks = append(l.numbers, digits), append(l.timeouts, timeout), append(l.callbacks, done)
	return func() { l.canceled++ }
}
func (l *manualLookup) Wake(float64)        {}
func (l *manualLookup) NextWakeup() float64 { return 1e18 }

func newNumberTestHost(t *testing.T) (*testHost, *manualLookup) {
	host, lookup := newTestHost(t), &manualLookup{}
	host.agent.config.NumberLookup, host.agent.config.LookupShare = lookup, 0.25
	host.agent.SetTable(newTable(t, 1))
	return host, lookup
}

// A call to a ported number is set up over the route's trunk group with the routing number, and the timeout of the
// route's class applies.
func TestPortedNumber(t *testing.T) {
	host, lookup := newNumberTestHost(t)
	var passed *routing.Call
	host.policy.onCall = func(now float64, routed *routing.Call) {
		passed = routed
		host.policy.routingHost.StartAttempt(routed, host.policy.endpoints[1], routed.Deadline-now)
	}
	host.receive(caller, callerRequest("INVITE", "a1", ""))
	if len(lookup.numbers) != 1 || lookup.numbers[0] != "14185550123" || lookup.timeouts[0] != 400 || passed != nil {
		t.Fatalf("want 14185550123 looked up within 400 ms first, got %v, timeouts %v, passed to the policy %v",
			lookup.numbers, lookup.timeouts, passed)
	}
	host.advance(200)
	host.expectSent(caller, "SIP/2.0 100")
	lookup.callbacks[0](
		host.now,
		numberplan.LookupResult{Answer: numberplan.Ported, Routing: "+15145550000", Carrier: "+1-6789"},
	)
	if passed == nil || passed.Class.Name != "claim" || passed.DestinationID != 1 ||
		passed.Destination != host.policy.endpoints[1] || passed.Deadline != passed.ArrivedAt+6000 {
		t.Fatalf("want class claim, destination 1 and a deadline 6 s after arrival, got %+v", passed)
	}
	req := host.expectSent(switchB, "INVITE sip:+14185550123;npdi;rn=+70115145550000;cic=+1-6789;tgrp=TG-1;")
	if siptransaction.HeaderValue(req.(*sip.Request), siptransaction.ServiceHeader) != "urn:urn-7:claim" {
		t.Error("class in the setup: want claim")
	}
	if n, _ := host.agent.OldTables(); n != 0 {
		t.Errorf("%d old tables in use, want 0", n)
	}
}

// A look-up uses no more than its share of the call's remaining timeout.
func TestLookupTimeoutShare(t *testing.T) {
	host, lookup := newNumberTestHost(t)
	host.receive(caller, strings.Replace(callerRequest("INVITE", "a1", ""), "Expires: 9", "Expires: 1", 1))
	if len(lookup.timeouts) != 1 || lookup.timeouts[0] != 250 {
		t.Errorf("timeouts %v, want 250", lookup.timeouts)
	}
}

// No look-up starts if the share of look-ups is 0.
func TestZeroLookupShare(t *testing.T) {
	host, lookup := newNumberTestHost(t)
	host.agent.config.LookupShare = 0
	destination := -1
	host.policy.onCall = func(_ float64, routed *routing.Call) { destination = routed.DestinationID }
	host.receive(caller, callerRequest("INVITE", "a1", ""))
	if len(lookup.numbers) != 0 || destination != 0 {
		t.Errorf("want no look-up and destination 0, got look-ups %v and destination %d", lookup.numbers, destination)
	}
}

// A caller's CANCEL cancels its look-up. An answer after the CANCEL or the call's end has no effect.
func TestLookupAnswerTooLate(t *testing.T) {
	host, lookup := newNumberTestHost(t)
	host.policy.onCall = func(float64, *routing.Call) { t.Error("call passed to the policy") }
	host.receive(caller, callerRequest("INVITE", "a1", ""))
	host.receive(caller, callerRequest("CANCEL", "a1", ""))
	host.expectSent(caller, "SIP/2.0 487")
	lookup.callbacks[0](host.now, numberplan.LookupResult{Answer: numberplan.NotPorted})
	if lookup.canceled != 1 || len(host.policy.events) != 0 {
		t.Errorf("want 1 look-up canceled and no event, got %d, the policy recorded %v",
			lookup.canceled, host.policy.events)
	}
	host.receive(caller, callerRequest("INVITE", "b1", ""))
	host.advance(9500) // the look-up never returns
	host.expectSent(caller, "SIP/2.0 500")
	lookup.callbacks[1](host.now, numberplan.LookupResult{Answer: numberplan.NotPorted})
	if lookup.canceled != 2 || host.agent.Counts.Overdue != 1 {
		t.Errorf("want 2 look-ups canceled and 1 call overdue, got %d and %d",
			lookup.canceled, host.agent.Counts.Overdue)
	}
	if old, n := host.agent.OldTables(); old != 0 || n != 0 {
		t.Errorf("%d calls use %d old tables, want none", n, old)
	}
}

// The table changes while 1000 calls wait for look-ups: each call keeps its table, and the old tables are released
// after the calls' final answers.
func TestTableChangeDuringLookups(t *testing.T) {
	host, lookup := newNumberTestHost(t)
	host.agent.LoadShedder.MaxPending = 5000
	var sent []string
	host.policy.onCall = func(now float64, routed *routing.Call) {
		sent = append(sent, routed.CalledNumber+routed.HostData.(*callcontrol.Session).SignalingLeg.(*call).number.params)
		host.policy.routingHost.Reject(routed, 0)
	}
	for v := 1; v <= 4; v++ {
		host.agent.SetTable(newTable(t, v))
		for i := range 250 {
			host.receive(caller, callerRequest("INVITE", fmt.Sprintf("%x%d", v, i), ""))
		}
	}
	old, n := host.agent.OldTables()
	if old != 3 || n != 750 {
		t.Fatalf("%d calls use %d old tables, want 750 and 3", n, old)
	}
	host.agent.SetTable(newTable(t, 5))
	for i := range 1000 {
		lookup.callbacks[i](host.now, numberplan.LookupResult{Answer: numberplan.NotPorted})
	}
	for i, s := range sent {
		if want := fmt.Sprintf("+%d14185550123;npdi", 701+i/250); s != want {
			t.Fatalf("call %d was sent to %s, want %s", i, s, want)
		}
	}
	if old, n := host.agent.OldTables(); len(sent) != 1000 || old != 0 || n != 0 {
		t.Errorf("%d passed to the policy, want 1000; %d calls use %d old tables, want none", len(sent), n, old)
	}
}

// An old table is garbage-collected after the last call that uses it has its final answer, and not before. Established
// calls don't keep it.
func TestOldTableIsFreed(t *testing.T) {
	host, lookup := newNumberTestHost(t)
	host.policy.onCall = func(now float64, routed *routing.Call) {
		host.policy.routingHost.StartAttempt(routed, host.policy.endpoints[1], routed.Deadline-now)
	}
	old := func() weak.Pointer[numberplan.Table] {
		table := newTable(t, 2)
		host.agent.SetTable(table)
		return weak.Make(table)
	}()
	host.receive(caller, callerRequest("INVITE", "a1", ""))
	host.agent.SetTable(newTable(t, 3))
	runtime.GC()
	if old.Value() == nil {
		t.Fatal("table freed while a call uses it")
	}
	lookup.callbacks[0](host.now, numberplan.LookupResult{Answer: numberplan.NotPorted})
	lookup.callbacks = nil
	host.respond(switchB, host.expectSent(switchB, "INVITE"), 200, "s1", "")
	host.expectSent(caller, "SIP/2.0 200")
	runtime.GC()
	runtime.GC()
	if old.Value() != nil {
		t.Error("old table not freed")
	}
	if _, established := host.agent.InProgress(); established != 1 {
		t.Errorf("%d established calls, want 1", established)
	}
}

// Refused and malformed numbers are answered at once without a look-up. A route to an unknown trunk group gets 500.
func TestNumberRefused(t *testing.T) {
	host, lookup := newNumberTestHost(t)
	host.policy.onCall = func(float64, *routing.Call) { t.Error("call passed to the policy") }
	for number, want := range map[string]string{"+19115550123": "SIP/2.0 410 not here", "+15145550123": "SIP/2.0 404",
		"+1CALLME":     "SIP/2.0 484",
		"+16135550123": "SIP/2.0 500", "+1418555;npdi;npdi": "SIP/2.0 400"} {
		host.receive(caller, strings.Replace(callerRequest("INVITE", "z"+want[8:11], ""), "+14185550123", number, 1))
		host.expectSent(caller, want)
		host.nextPacket = 0
	}
	if pending, _ := host.agent.InProgress(); pending != 0 || len(lookup.numbers) != 0 || len(host.agent.tables) != 0 {
		t.Errorf("want no pending call, look-up or table in use, got %d pending, look-ups %v, %d tables",
			pending, lookup.numbers, len(host.agent.tables))
	}
}

// Calls that are shed cause no look-ups.
func TestShedCallsAreNotLookedUp(t *testing.T) {
	host, lookup := newNumberTestHost(t)
	host.agent.LoadShedder.MaxPending = 10
	for i := range 200 {
		host.receive(caller, callerRequest("INVITE", fmt.Sprintf("f%d", i), ""))
	}
	if len(lookup.numbers) > 10 || host.agent.Counts.Shed < 190 {
		t.Errorf("want 10 looked up at most and 190 shed at least, got %d and %d",
			len(lookup.numbers), host.agent.Counts.Shed)
	}
}

// A call that waits for a look-up is served although the agent drains meanwhile; the endpoint's state at the end of the
// look-up counts (rule 3).
func TestDrainDuringLookup(t *testing.T) {
	host, lookup := newNumberTestHost(t)
	host.policy.onCall = func(now float64, routed *routing.Call) {
		host.policy.routingHost.StartAttempt(routed, host.policy.endpoints[0], routed.Deadline-now)
	}
	host.receive(caller, callerRequest("INVITE", "a1", ""))
	host.agent.StopAdmitting()
	host.sendList(routing.Draining)
	lookup.callbacks[0](host.now, numberplan.LookupResult{Answer: numberplan.NoAnswer})
	host.advance(1)
	if len(host.policy.events) != 1 ||
		!strings.HasPrefix(host.policy.events[0], fmt.Sprintf("ended %d", routing.NotSent)) ||
		host.agent.Counts.Blocked != 1 {
		t.Errorf("rule 3: want one attempt that was not sent and 1 blocked, got events %v, %d blocked",
			host.policy.events, host.agent.Counts.Blocked)
	}
	for _, p := range host.packets {
		if p.to == switchA && strings.HasPrefix(p.data, "INVITE") {
			t.Error("setup to a draining endpoint")
		}
	}
	host.sendList(routing.Ready)
	host.receive(caller, callerRequest("INVITE", "b1", ""))
	host.expectSent(caller, "SIP/2.0 503")
}
