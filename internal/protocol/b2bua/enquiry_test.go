package b2bua

import (
	"fmt"
	"strings"
	"testing"

	"cobaltpier/internal/decision/numberplan"
	"cobaltpier/internal/routing"
)

// An enquiry is answered once, with the endpoint that the policy attempts; the attempt's end is reported to the policy.
func TestEnquiry(t *testing.T) {
	r, b := newNumberTestHost(t)
	r.policy.onCall = func(now float64, routed *routing.Call) {
		r.policy.host.StartAttempt(routed, r.policy.endpoints[1], routed.Deadline-now)
	}
	var got []EnquiryResult
	r.agent.StartEnquiry(r.now, "14185550123", "shift-lookup", 2000,
		func(_ float64, n EnquiryResult) { got = append(got, n) })
	r.advance(1)
	if len(b.numbers) != 1 || len(got) != 0 {
		t.Fatalf("asked %v, %v", b.numbers, got)
	}
	b.callbacks[0](r.now, numberplan.Found{Answer: numberplan.Ported, Routing: "+15145550000"})
	if len(got) != 1 || got[0].Code != 200 || got[0].Addr != switchB || got[0].Group != "TG-1" ||
		got[0].Number != "+14185550123" ||
		got[0].Params != ";npdi;rn=+70115145550000" ||
		!got[0].Valid() {
		t.Fatalf("%+v", got)
	}
	r.advance(2)
	if want := fmt.Sprintf("ended %d closed true wait 0", routing.Completed); len(r.policy.events) != 1 ||
		r.policy.events[0] != want {
		t.Errorf("the policy recorded %v", r.policy.events)
	}
	if held, _ := r.agent.InProgress(); held != 0 || r.agent.Counts.EnquiriesAnswered != 1 || len(r.agent.tables) != 0 {
		t.Errorf("%d held, %+v", held, r.agent.Counts)
	}
	r.agent.OnEndpointList(r.now, []ListEntry{{ID: "b", DestinationID: 1, State: routing.Draining, Addr: switchB}}, false)
	if got[0].Valid() {
		t.Error("a result for a draining endpoint is still valid")
	}
}

// Rules 2 and 3 are enforced for enquiries as for calls, and rule 1 whatever the policy does.
func TestEnquiryRules(t *testing.T) {
	r := newTestHost(t)
	var got []EnquiryResult
	done := func(_ float64, n EnquiryResult) { got = append(got, n) }
	r.policy.onCall = func(now float64, routed *routing.Call) {
		r.policy.host.StartAttempt(routed, r.policy.endpoints[0], 100)
		r.policy.host.StartAttempt(routed, r.policy.endpoints[1], 100)
		r.policy.host.Reject(routed, 0)
	}
	r.agent.StartEnquiry(r.now, "1", "shift-lookup", 2000, done)
	r.advance(2)
	if len(got) != 1 || got[0].Code != 200 || r.agent.Counts.Blocked != 1 {
		t.Errorf("two attempts and a deferral: %+v, blocked %d", got, r.agent.Counts.Blocked)
	}
	got = nil
	r.sendList(routing.Draining)
	r.policy.onCall = func(now float64, routed *routing.Call) {
		r.policy.host.StartAttempt(routed, r.policy.endpoints[0], 100)
	}
	r.agent.StartEnquiry(r.now, "1", "shift-lookup", 2000, done)
	r.advance(1990)
	if len(got) != 0 {
		t.Errorf("a draining endpoint: %+v", got)
	}
	r.advance(30) // the policy forgets it
	if len(got) != 1 || got[0].Code != 500 || r.agent.Counts.Overdue != 1 {
		t.Errorf("forgotten: %+v", got)
	}
	got = nil
	r.policy.onCall = func(now float64, routed *routing.Call) {}
	stop := r.agent.StartEnquiry(r.now, "1", "shift-lookup", 2000, done)
	r.advance(1)
	stop()
	stop()
	r.advance(3000)
	if len(got) != 0 || r.policy.events[len(r.policy.events)-1] != "left" {
		t.Errorf("canceled: %+v, events %v", got, r.policy.events)
	}
	r.agent.StopAdmitting()
	r.agent.StartEnquiry(r.now, "1", "shift-lookup", 2000, done)
	r.agent.StartEnquiry(r.now, "1", "nothing", 2000, done)
	r.advance(1)
	if len(got) != 2 || got[0].Code != 404 || got[1].Code != 503 {
		t.Errorf("while it drains: %+v", got)
	}
	if held, _ := r.agent.InProgress(); held != 0 {
		t.Errorf("%d held", held)
	}
}

// A flood of enquiries passes the same load shedding as calls.
func TestEnquiryFlood(t *testing.T) {
	r := newTestHost(t)
	r.agent.LoadShedder.MaxPending = 10
	r.policy.onCall = func(float64, *routing.Call) {}
	n := map[string]int{}
	for range 100 {
		r.agent.StartEnquiry(
			r.now,
			"1",
			"shift-lookup",
			2000,
			func(_ float64, x EnquiryResult) { n[strings.Fields(x.Reason)[0]]++ },
		)
	}
	r.advance(1)
	if n["busy"] != 90 || r.agent.Counts.Shed != 90 {
		t.Errorf("%v, %d shed", n, r.agent.Counts.Shed)
	}
}
