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

// book is a look-up that a test answers by hand.
type book struct {
	asked   []string
	within  []float64
	done    []func(now float64, found numberplan.Found)
	stopped int
}

func (b *book) Resolve(_ float64, digits string, within float64, done func(float64, numberplan.Found)) func() {
	b.asked, b.within, b.done = append(b.asked, digits), append(b.within, within), append(b.done, done)
	return func() { b.stopped++ }
}
func (b *book) Wake(float64)        {}
func (b *book) NextWakeup() float64 { return 1e18 }

func numberRig(t *testing.T) (*testHost, *book) {
	r, b := newTestHost(t), &book{}
	r.e.config.NumberLookup, r.e.config.LookupShare = b, 0.25
	r.e.SetTable(numbers(t, 1))
	return r, b
}

// A number whose portability is looked up is set up over its route's group with its routing number, and its class's
// timeout holds.
func TestRouted(t *testing.T) {
	r, b := numberRig(t)
	var got *routing.Call
	r.m.offered = func(now float64, routed *routing.Call) {
		got = routed
		r.m.h.StartAttempt(routed, r.m.pools[1], routed.Deadline-now)
	}
	r.get(caller, callerSays("INVITE", "a1", ""))
	if len(b.asked) != 1 || b.asked[0] != "14185550123" || b.within[0] != 400 || got != nil {
		t.Fatalf("asked %v within %v, offered %v", b.asked, b.within, got)
	}
	r.pass(200)
	r.sent(caller, "SIP/2.0 100")
	b.done[0](r.now, numberplan.Found{Answer: numberplan.Ported, Routing: "+15145550000", Carrier: "+1-6789"})
	if got == nil || got.Class.Name != "claim" || got.DestinationID != 1 || got.Destination != r.m.pools[1] ||
		got.Deadline != got.ArrivedAt+6000 {
		t.Fatalf("offered %+v", got)
	}
	req := r.sent(switchB, "INVITE sip:+14185550123;npdi;rn=+70115145550000;cic=+1-6789;tgrp=TG-1;")
	if siptransaction.HeaderValue(req.(*sip.Request), siptransaction.Service) != "urn:urn-7:claim" {
		t.Error("the wrong skill")
	}
	if n, _ := r.e.Tables(); n != 0 {
		t.Errorf("%d old tables", n)
	}
}

// A look-up uses no more than its part of what is left of the caller's timeout.
func TestShareOfPatience(t *testing.T) {
	r, b := numberRig(t)
	r.get(caller, strings.Replace(callerSays("INVITE", "a1", ""), "Expires: 9", "Expires: 1", 1))
	if len(b.within) != 1 || b.within[0] != 250 {
		t.Errorf("within %v", b.within)
	}
}

// Where look-ups may use no time nothing is asked.
func TestNoShare(t *testing.T) {
	r, b := numberRig(t)
	r.e.config.LookupShare = 0
	home := -1
	r.m.offered = func(_ float64, routed *routing.Call) { home = routed.DestinationID }
	r.get(caller, callerSays("INVITE", "a1", ""))
	if len(b.asked) != 0 || home != 0 {
		t.Errorf("asked %v, offered with destination %d", b.asked, home)
	}
}

// A caller that hangs up takes its question back; an answer that comes then, or after the call's end, changes nothing.
func TestAnswerTooLate(t *testing.T) {
	r, b := numberRig(t)
	r.m.offered = func(float64, *routing.Call) { t.Error("offered") }
	r.get(caller, callerSays("INVITE", "a1", ""))
	r.get(caller, callerSays("CANCEL", "a1", ""))
	r.sent(caller, "SIP/2.0 487")
	b.done[0](r.now, numberplan.Found{Answer: numberplan.NotPorted})
	if b.stopped != 1 || len(r.m.heard) != 0 {
		t.Errorf("stopped %d, the module heard %v", b.stopped, r.m.heard)
	}
	r.get(caller, callerSays("INVITE", "b1", ""))
	r.pass(9500) // the look-up never returns
	r.sent(caller, "SIP/2.0 500")
	b.done[1](r.now, numberplan.Found{Answer: numberplan.NotPorted})
	if b.stopped != 2 || r.e.Counts.Overdue != 1 {
		t.Errorf("stopped %d, overdue %d", b.stopped, r.e.Counts.Overdue)
	}
	if old, n := r.e.Tables(); old != 0 || n != 0 {
		t.Errorf("%d contacts hold %d tables", n, old)
	}
}

// A thousand calls are half analysed when their table changes: each ends by the table that it began with, and then the
// old table is let go.
func TestSwapInFlight(t *testing.T) {
	r, b := numberRig(t)
	r.e.LoadShedder.MaxPending = 5000
	var sent []string
	r.m.offered = func(now float64, routed *routing.Call) {
		sent = append(sent, routed.CalledNumber+routed.HostData.(*callcontrol.Session).SignalingLeg.(*call).number.params)
		r.m.h.Reject(routed, 0)
	}
	for v := 1; v <= 4; v++ {
		r.e.SetTable(numbers(t, v))
		for i := range 250 {
			r.get(caller, callerSays("INVITE", fmt.Sprintf("%x%d", v, i), ""))
		}
	}
	old, n := r.e.Tables()
	if old != 3 || n != 750 {
		t.Fatalf("%d contacts hold %d old tables", n, old)
	}
	r.e.SetTable(numbers(t, 5))
	for i := range 1000 {
		b.done[i](r.now, numberplan.Found{Answer: numberplan.NotPorted})
	}
	for i, s := range sent {
		if want := fmt.Sprintf("+%d14185550123;npdi", 701+i/250); s != want {
			t.Fatalf("contact %d was sent to %s, want %s", i, s, want)
		}
	}
	if old, n := r.e.Tables(); len(sent) != 1000 || old != 0 || n != 0 {
		t.Errorf("%d offered; %d contacts hold %d old tables", len(sent), n, old)
	}
}

// An old table is gone from memory when the last call that carries it has its answer, and not before; established calls
// need none.
func TestTableLetGo(t *testing.T) {
	r, b := numberRig(t)
	r.m.offered = func(now float64, routed *routing.Call) { r.m.h.StartAttempt(routed, r.m.pools[1], routed.Deadline-now) }
	old := func() weak.Pointer[numberplan.Table] {
		x := numbers(t, 2)
		r.e.SetTable(x)
		return weak.Make(x)
	}()
	r.get(caller, callerSays("INVITE", "a1", ""))
	r.e.SetTable(numbers(t, 3))
	runtime.GC()
	if old.Value() == nil {
		t.Fatal("gone while a contact carries it")
	}
	b.done[0](r.now, numberplan.Found{Answer: numberplan.NotPorted})
	b.done = nil
	r.answer(switchB, r.sent(switchB, "INVITE"), 200, "s1", "")
	r.sent(caller, "SIP/2.0 200")
	runtime.GC()
	runtime.GC()
	if old.Value() != nil {
		t.Error("still there")
	}
	if _, standing := r.e.InProgress(); standing != 1 {
		t.Errorf("%d stand", standing)
	}
}

// What a table refuses is answered at once and asks for nothing, and so is a number that is none; a route that this
// edge does not have is a fault of its own.
func TestRefused(t *testing.T) {
	r, b := numberRig(t)
	r.m.offered = func(float64, *routing.Call) { t.Error("offered") }
	for number, want := range map[string]string{"+19115550123": "SIP/2.0 410 not here", "+15145550123": "SIP/2.0 404",
		"+1CALLME":     "SIP/2.0 484",
		"+16135550123": "SIP/2.0 500", "+1418555;npdi;npdi": "SIP/2.0 400"} {
		r.get(caller, strings.Replace(callerSays("INVITE", "z"+want[8:11], ""), "+14185550123", number, 1))
		r.sent(caller, want)
		r.said = 0
	}
	if held, _ := r.e.InProgress(); held != 0 || len(b.asked) != 0 || len(r.e.tables) != 0 {
		t.Errorf("%d held, asked %v, %d tables", held, b.asked, len(r.e.tables))
	}
}

// A flood that is shed asks for nothing.
func TestFloodAsksNothing(t *testing.T) {
	r, b := numberRig(t)
	r.e.LoadShedder.MaxPending = 10
	for i := range 200 {
		r.get(caller, callerSays("INVITE", fmt.Sprintf("f%d", i), ""))
	}
	if len(b.asked) > 10 || r.e.Counts.Shed < 190 {
		t.Errorf("%d asked, %d turned away", len(b.asked), r.e.Counts.Shed)
	}
}

// A call held for its look-up is served when the agent drains meanwhile; to the endpoint that the list has then.
func TestListedAndDrainingMeanwhile(t *testing.T) {
	r, b := numberRig(t)
	r.m.offered = func(now float64, routed *routing.Call) { r.m.h.StartAttempt(routed, r.m.pools[0], routed.Deadline-now) }
	r.get(caller, callerSays("INVITE", "a1", ""))
	r.e.StopAdmitting()
	r.list(routing.Draining)
	b.done[0](r.now, numberplan.Found{Answer: numberplan.Silent})
	r.pass(1)
	if len(r.m.heard) != 1 || !strings.HasPrefix(r.m.heard[0], fmt.Sprintf("ended %d", routing.NotSent)) ||
		r.e.Counts.Blocked != 1 {
		t.Errorf("rule 3: heard %v, barred %d", r.m.heard, r.e.Counts.Blocked)
	}
	for _, p := range r.out {
		if p.to == switchA && strings.HasPrefix(p.data, "INVITE") {
			t.Error("sent to a pool that drains")
		}
	}
	r.list(routing.Ready)
	r.get(caller, callerSays("INVITE", "b1", ""))
	r.sent(caller, "SIP/2.0 503")
}
