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

// manualLookup is a look-up that a test answers by hand.
type manualLookup struct {
	asked   []string
	within  []float64
	done    []func(now float64, found numberplan.Found)
	stopped int
}

func (b *manualLookup) Resolve(_ float64, digits string, within float64, done func(float64, numberplan.Found)) func() {
	b.asked, b.within, b.done = append(b.asked, digits), append(b.within, within), append(b.done, done)
	return func() { b.stopped++ }
}
func (b *manualLookup) Wake(float64)        {}
func (b *manualLookup) NextWakeup() float64 { return 1e18 }

func newNumberTestHost(t *testing.T) (*testHost, *manualLookup) {
	r, b := newTestHost(t), &manualLookup{}
	r.agent.config.NumberLookup, r.agent.config.LookupShare = b, 0.25
	r.agent.SetTable(numbers(t, 1))
	return r, b
}

// A number whose portability is looked up is set up over its route's group with its routing number, and its class's
// timeout holds.
func TestPortedNumber(t *testing.T) {
	r, b := newNumberTestHost(t)
	var got *routing.Call
	r.policy.onCall = func(now float64, routed *routing.Call) {
		got = routed
		r.policy.host.StartAttempt(routed, r.policy.endpoints[1], routed.Deadline-now)
	}
	r.receive(caller, callerRequest("INVITE", "a1", ""))
	if len(b.asked) != 1 || b.asked[0] != "14185550123" || b.within[0] != 400 || got != nil {
		t.Fatalf("asked %v within %v, offered %v", b.asked, b.within, got)
	}
	r.advance(200)
	r.expectSent(caller, "SIP/2.0 100")
	b.done[0](r.now, numberplan.Found{Answer: numberplan.Ported, Routing: "+15145550000", Carrier: "+1-6789"})
	if got == nil || got.Class.Name != "claim" || got.DestinationID != 1 || got.Destination != r.policy.endpoints[1] ||
		got.Deadline != got.ArrivedAt+6000 {
		t.Fatalf("offered %+v", got)
	}
	req := r.expectSent(switchB, "INVITE sip:+14185550123;npdi;rn=+70115145550000;cic=+1-6789;tgrp=TG-1;")
	if siptransaction.HeaderValue(req.(*sip.Request), siptransaction.Service) != "urn:urn-7:claim" {
		t.Error("the wrong skill")
	}
	if n, _ := r.agent.Tables(); n != 0 {
		t.Errorf("%d old tables", n)
	}
}

// A look-up uses no more than its part of what is left of the caller's timeout.
func TestLookupTimeoutShare(t *testing.T) {
	r, b := newNumberTestHost(t)
	r.receive(caller, strings.Replace(callerRequest("INVITE", "a1", ""), "Expires: 9", "Expires: 1", 1))
	if len(b.within) != 1 || b.within[0] != 250 {
		t.Errorf("within %v", b.within)
	}
}

// Where look-ups may use no time nothing is asked.
func TestZeroLookupShare(t *testing.T) {
	r, b := newNumberTestHost(t)
	r.agent.config.LookupShare = 0
	home := -1
	r.policy.onCall = func(_ float64, routed *routing.Call) { home = routed.DestinationID }
	r.receive(caller, callerRequest("INVITE", "a1", ""))
	if len(b.asked) != 0 || home != 0 {
		t.Errorf("asked %v, offered with destination %d", b.asked, home)
	}
}

// A caller that hangs up takes its question back; an answer that comes then, or after the call's end, changes nothing.
func TestLookupAnswerTooLate(t *testing.T) {
	r, b := newNumberTestHost(t)
	r.policy.onCall = func(float64, *routing.Call) { t.Error("offered") }
	r.receive(caller, callerRequest("INVITE", "a1", ""))
	r.receive(caller, callerRequest("CANCEL", "a1", ""))
	r.expectSent(caller, "SIP/2.0 487")
	b.done[0](r.now, numberplan.Found{Answer: numberplan.NotPorted})
	if b.stopped != 1 || len(r.policy.events) != 0 {
		t.Errorf("stopped %d, the module heard %v", b.stopped, r.policy.events)
	}
	r.receive(caller, callerRequest("INVITE", "b1", ""))
	r.advance(9500) // the look-up never returns
	r.expectSent(caller, "SIP/2.0 500")
	b.done[1](r.now, numberplan.Found{Answer: numberplan.NotPorted})
	if b.stopped != 2 || r.agent.Counts.Overdue != 1 {
		t.Errorf("stopped %d, overdue %d", b.stopped, r.agent.Counts.Overdue)
	}
	if old, n := r.agent.Tables(); old != 0 || n != 0 {
		t.Errorf("%d contacts hold %d tables", n, old)
	}
}

// A thousand calls are half analysed when their table changes: each ends by the table that it began with, and then the
// old table is let go.
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
		t.Fatalf("%d contacts hold %d old tables", n, old)
	}
	r.agent.SetTable(numbers(t, 5))
	for i := range 1000 {
		b.done[i](r.now, numberplan.Found{Answer: numberplan.NotPorted})
	}
	for i, s := range sent {
		if want := fmt.Sprintf("+%d14185550123;npdi", 701+i/250); s != want {
			t.Fatalf("contact %d was sent to %s, want %s", i, s, want)
		}
	}
	if old, n := r.agent.Tables(); len(sent) != 1000 || old != 0 || n != 0 {
		t.Errorf("%d offered; %d contacts hold %d old tables", len(sent), n, old)
	}
}

// An old table is gone from memory when the last call that carries it has its answer, and not before; established calls
// need none.
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
		t.Fatal("gone while a contact carries it")
	}
	b.done[0](r.now, numberplan.Found{Answer: numberplan.NotPorted})
	b.done = nil
	r.respond(switchB, r.expectSent(switchB, "INVITE"), 200, "s1", "")
	r.expectSent(caller, "SIP/2.0 200")
	runtime.GC()
	runtime.GC()
	if old.Value() != nil {
		t.Error("still there")
	}
	if _, standing := r.agent.InProgress(); standing != 1 {
		t.Errorf("%d stand", standing)
	}
}

// What a table refuses is answered at once and asks for nothing, and so is a number that is none; a route that this
// edge does not have is a fault of its own.
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
	if held, _ := r.agent.InProgress(); held != 0 || len(b.asked) != 0 || len(r.agent.tables) != 0 {
		t.Errorf("%d held, asked %v, %d tables", held, b.asked, len(r.agent.tables))
	}
}

// A flood that is shed asks for nothing.
func TestShedCallsAreNotLookedUp(t *testing.T) {
	r, b := newNumberTestHost(t)
	r.agent.LoadShedder.MaxPending = 10
	for i := range 200 {
		r.receive(caller, callerRequest("INVITE", fmt.Sprintf("f%d", i), ""))
	}
	if len(b.asked) > 10 || r.agent.Counts.Shed < 190 {
		t.Errorf("%d asked, %d turned away", len(b.asked), r.agent.Counts.Shed)
	}
}

// A call held for its look-up is served when the agent drains meanwhile; to the endpoint that the list has then.
func TestDrainDuringLookup(t *testing.T) {
	r, b := newNumberTestHost(t)
	r.policy.onCall = func(now float64, routed *routing.Call) {
		r.policy.host.StartAttempt(routed, r.policy.endpoints[0], routed.Deadline-now)
	}
	r.receive(caller, callerRequest("INVITE", "a1", ""))
	r.agent.StopAdmitting()
	r.sendList(routing.Draining)
	b.done[0](r.now, numberplan.Found{Answer: numberplan.Silent})
	r.advance(1)
	if len(r.policy.events) != 1 || !strings.HasPrefix(r.policy.events[0], fmt.Sprintf("ended %d", routing.NotSent)) ||
		r.agent.Counts.Blocked != 1 {
		t.Errorf("rule 3: heard %v, barred %d", r.policy.events, r.agent.Counts.Blocked)
	}
	for _, p := range r.packets {
		if p.to == switchA && strings.HasPrefix(p.data, "INVITE") {
			t.Error("sent to a pool that drains")
		}
	}
	r.sendList(routing.Ready)
	r.receive(caller, callerRequest("INVITE", "b1", ""))
	r.expectSent(caller, "SIP/2.0 503")
}
