package b2bua

import (
	"fmt"
	"strings"
	"testing"

	"cobaltpier/internal/decision/numberplan"
	"cobaltpier/internal/routing"
)

// An enquiry's answer names the endpoint that the policy attempts, once; the policy hears that the attempt is over.
func TestEnquiry(t *testing.T) {
	r, b := numberRig(t)
	r.m.offered = func(now float64, routed *routing.Call) { r.m.h.StartAttempt(routed, r.m.pools[1], routed.Deadline-now) }
	var got []EnquiryResult
	r.e.StartEnquiry(r.now, "14185550123", "shift-lookup", 2000, func(_ float64, n EnquiryResult) { got = append(got, n) })
	r.pass(1)
	if len(b.asked) != 1 || len(got) != 0 {
		t.Fatalf("asked %v, %v", b.asked, got)
	}
	b.done[0](r.now, numberplan.Found{Answer: numberplan.Ported, Routing: "+15145550000"})
	if len(got) != 1 || got[0].Code != 200 || got[0].Addr != switchB || got[0].Group != "TG-1" ||
		got[0].Number != "+14185550123" ||
		got[0].Params != ";npdi;rn=+70115145550000" ||
		!got[0].Valid() {
		t.Fatalf("%+v", got)
	}
	r.pass(2)
	if want := fmt.Sprintf("ended %d closed true wait 0", routing.Completed); len(r.m.heard) != 1 || r.m.heard[0] != want {
		t.Errorf("the module heard %v", r.m.heard)
	}
	if held, _ := r.e.InProgress(); held != 0 || r.e.Counts.EnquiriesAnswered != 1 || len(r.e.tables) != 0 {
		t.Errorf("%d held, %+v", held, r.e.Counts)
	}
	r.e.OnEndpointList(r.now, []ListEntry{{ID: "b", DestinationID: 1, State: routing.Draining, Addr: switchB}}, false)
	if got[0].Valid() {
		t.Error("a pool that drains may still be named")
	}
}

// Rules 2 and 3 hold for enquiries at the same place as for calls, rule 1 whatever the policy does.
func TestEnquiryRules(t *testing.T) {
	r := newTestHost(t)
	var got []EnquiryResult
	done := func(_ float64, n EnquiryResult) { got = append(got, n) }
	r.m.offered = func(now float64, routed *routing.Call) {
		r.m.h.StartAttempt(routed, r.m.pools[0], 100)
		r.m.h.StartAttempt(routed, r.m.pools[1], 100)
		r.m.h.Reject(routed, 0)
	}
	r.e.StartEnquiry(r.now, "1", "shift-lookup", 2000, done)
	r.pass(2)
	if len(got) != 1 || got[0].Code != 200 || r.e.Counts.Blocked != 1 {
		t.Errorf("two rings and a deferral: %+v, barred %d", got, r.e.Counts.Blocked)
	}
	got = nil
	r.list(routing.Draining)
	r.m.offered = func(now float64, routed *routing.Call) { r.m.h.StartAttempt(routed, r.m.pools[0], 100) }
	r.e.StartEnquiry(r.now, "1", "shift-lookup", 2000, done)
	r.pass(1990)
	if len(got) != 0 {
		t.Errorf("a pool that drains: %+v", got)
	}
	r.pass(30) // the policy forgets it
	if len(got) != 1 || got[0].Code != 500 || r.e.Counts.Overdue != 1 {
		t.Errorf("forgotten: %+v", got)
	}
	got = nil
	r.m.offered = func(now float64, routed *routing.Call) {}
	stop := r.e.StartEnquiry(r.now, "1", "shift-lookup", 2000, done)
	r.pass(1)
	stop()
	stop()
	r.pass(3000)
	if len(got) != 0 || r.m.heard[len(r.m.heard)-1] != "left" {
		t.Errorf("taken back: %+v, heard %v", got, r.m.heard)
	}
	r.e.StopAdmitting()
	r.e.StartEnquiry(r.now, "1", "shift-lookup", 2000, done)
	r.e.StartEnquiry(r.now, "1", "nothing", 2000, done)
	r.pass(1)
	if len(got) != 2 || got[0].Code != 404 || got[1].Code != 503 {
		t.Errorf("while it drains: %+v", got)
	}
	if held, _ := r.e.InProgress(); held != 0 {
		t.Errorf("%d held", held)
	}
}

// A flood of enquiries passes the same load shedding as calls.
func TestEnquiryFlood(t *testing.T) {
	r := newTestHost(t)
	r.e.LoadShedder.MaxPending = 10
	r.m.offered = func(float64, *routing.Call) {}
	n := map[string]int{}
	for range 100 {
		r.e.StartEnquiry(
			r.now,
			"1",
			"shift-lookup",
			2000,
			func(_ float64, x EnquiryResult) { n[strings.Fields(x.Reason)[0]]++ },
		)
	}
	r.pass(1)
	if n["busy"] != 90 || r.e.Counts.Shed != 90 {
		t.Errorf("%v, turned %d", n, r.e.Counts.Shed)
	}
}
