package b2bua

import (
	"fmt"
	"strings"
	"testing"

	"cobaltpier/internal/decision/numberplan"
	"cobaltpier/internal/routing"
)

// An enquiry is answered once, with the endpoint for which the policy starts an attempt; the attempt's end is
// reported to the policy.
func TestEnquiry(t *testing.T) {
	host, lookup := newNumberTestHost(t)
	host.policy.onCall = func(now float64, routed *routing.Call) {
		host.policy.routingHost.StartAttempt(routed, host.policy.endpoints[1], routed.Deadline-now)
	}
	var results []EnquiryResult
	host.agent.StartEnquiry(host.now, "14185550123", "shift-lookup", 2000,
		func(_ float64, r EnquiryResult) { results = append(results, r) })
	host.advance(1)
	if len(lookup.numbers) != 1 || len(results) != 0 {
		t.Fatalf("looked up %v, results %v", lookup.numbers, results)
	}
	lookup.callbacks[0](host.now, numberplan.LookupResult{Answer: numberplan.Ported, Routing: "+15145550000"})
	if len(results) != 1 || results[0].Code != 200 || results[0].Addr != switchB || results[0].Group != "TG-1" ||
		results[0].Number != "+14185550123" ||
		results[0].Params != ";npdi;rn=+70115145550000" ||
		!results[0].Valid() {
		t.Fatalf("%+v", results)
	}
	host.advance(2)
	if want := fmt.Sprintf("ended %d closed true wait 0", routing.Completed); len(host.policy.events) != 1 ||
		host.policy.events[0] != want {
		t.Errorf("the policy recorded %v", host.policy.events)
	}
	if pending, _ := host.agent.InProgress(); pending != 0 || host.agent.Counts.EnquiriesAnswered != 1 ||
		len(host.agent.tables) != 0 {
		t.Errorf("%d pending, %+v", pending, host.agent.Counts)
	}
	host.agent.OnEndpointList(
		host.now,
		[]ListEntry{{ID: "b", DestinationID: 1, State: routing.Draining, Addr: switchB}},
		false,
	)
	if results[0].Valid() {
		t.Error("a result for a draining endpoint is still valid")
	}
}

// An enquiry gets one answer by its deadline (rule 1), one attempt (rule 2) and no draining endpoint (rule 3), whatever
// the policy does. A canceled enquiry gets no answer. An unknown class gets 404, and a draining gateway answers 503.
func TestEnquiryRules(t *testing.T) {
	host := newTestHost(t)
	var results []EnquiryResult
	done := func(_ float64, r EnquiryResult) { results = append(results, r) }
	host.policy.onCall = func(now float64, routed *routing.Call) {
		host.policy.routingHost.StartAttempt(routed, host.policy.endpoints[0], 100)
		host.policy.routingHost.StartAttempt(routed, host.policy.endpoints[1], 100)
		host.policy.routingHost.Reject(routed, 0)
	}
	host.agent.StartEnquiry(host.now, "1", "shift-lookup", 2000, done)
	host.advance(2)
	if len(results) != 1 || results[0].Code != 200 || host.agent.Counts.Blocked != 1 {
		t.Errorf("two attempts and a rejection: want one result 200 and 1 blocked attempt, got %+v, %d blocked",
			results, host.agent.Counts.Blocked)
	}
	results = nil
	host.sendList(routing.Draining)
	host.policy.onCall = func(now float64, routed *routing.Call) {
		host.policy.routingHost.StartAttempt(routed, host.policy.endpoints[0], 100)
	}
	host.agent.StartEnquiry(host.now, "1", "shift-lookup", 2000, done)
	host.advance(1990)
	if len(results) != 0 {
		t.Errorf("answered before the deadline, though the attempted endpoint drains: %+v", results)
	}
	host.advance(30) // the blocked attempt is not replaced: the deadline passes
	if len(results) != 1 || results[0].Code != 500 || host.agent.Counts.Overdue != 1 {
		t.Errorf("after the deadline: want one result 500 and 1 overdue, got %+v", results)
	}
	results = nil
	host.policy.onCall = func(now float64, routed *routing.Call) {}
	stop := host.agent.StartEnquiry(host.now, "1", "shift-lookup", 2000, done)
	host.advance(1)
	stop()
	stop()
	host.advance(3000)
	if len(results) != 0 || host.policy.events[len(host.policy.events)-1] != "hung up" {
		t.Errorf("a canceled enquiry: want no result and a last event \"hung up\", got %+v, events %v",
			results, host.policy.events)
	}
	host.agent.StopAdmitting()
	host.agent.StartEnquiry(host.now, "1", "shift-lookup", 2000, done)
	host.agent.StartEnquiry(host.now, "1", "unknown-class", 2000, done)
	host.advance(1)
	if len(results) != 2 || results[0].Code != 404 || results[1].Code != 503 {
		t.Errorf("unknown class, and a known class after StopAdmitting: want 404 and 503, got %+v", results)
	}
	if pending, _ := host.agent.InProgress(); pending != 0 {
		t.Errorf("%d pending", pending)
	}
}

// Enquiries beyond MaxPending are shed, as calls are.
func TestEnquiryFlood(t *testing.T) {
	host := newTestHost(t)
	host.agent.LoadShedder.MaxPending = 10
	host.policy.onCall = func(float64, *routing.Call) {}
	reasons := map[string]int{}
	for range 100 {
		host.agent.StartEnquiry(
			host.now,
			"1",
			"shift-lookup",
			2000,
			func(_ float64, r EnquiryResult) { reasons[strings.Fields(r.Reason)[0]]++ },
		)
	}
	host.advance(1)
	if reasons["busy"] != 90 || host.agent.Counts.Shed != 90 {
		t.Errorf("100 enquiries with MaxPending 10: want 90 shed, got %v, %d shed", reasons, host.agent.Counts.Shed)
	}
}
