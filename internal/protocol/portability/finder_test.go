package portability

import (
	"fmt"
	"testing"

	"cobaltpier/internal/decision/enum"
	"cobaltpier/internal/decision/numberplan"
	"cobaltpier/internal/protocol/dnsclient"
)

// fakeResolver answers immediately, or if delayed is set, when the test runs the pending callbacks.
type fakeResolver struct {
	answers  map[string]dnsclient.Answer // by domain; others fail
	pending  []func()
	delayed  bool
	timeouts []float64
	canceled int
}

func (r *fakeResolver) Query(now float64, name string, timeout float64, done func(float64, dnsclient.Answer)) func() {
	r.timeouts = append(r.timeouts, timeout)
	a, ok := r.answers[name]
	if !ok {
		a.Status = dnsclient.Failed
	}
	if r.delayed {
		r.pending = append(r.pending, func() { done(now+100, a) })
	} else {
		done(now, a)
	}
	return func() { r.canceled++ }
}

func rules(of ...enum.Rule) dnsclient.Answer { return dnsclient.Answer{Rules: of} }

func tel(re string) enum.Rule { return enum.Rule{Flags: "u", Service: "E2U+pstn:tel", Regexp: re} }

// Checks the result of a look-up: 0 not ported, 1 ported, with routing number and carrier, 2 no valid answer.
func TestResolve(t *testing.T) {
	loop := rules(enum.Rule{Replacement: "1.p.test."})
	resolver := &fakeResolver{answers: map[string]dnsclient.Answer{
		"1.p.test.":   loop,
		"2.p.test.":   rules(tel(`!^(.*)$!tel:\1;npdi;rn=+1514!`)),
		"8.7.p.test.": rules(tel(`!^(.*)$!tel:\1;npdi;rn=+1514;cic=+1-6789!`)),
		"3.p.test.":   rules(tel(`!^(.*)$!tel:\1;npdi!`)),
		"4.p.test.":   {Status: dnsclient.None},
		"5.p.test.":   rules(tel(`!^(.*)$!tel:\1;npdi;rn=+1;rn=+2!`)),
		"6.p.test.":   rules(enum.Rule{Flags: "u", Service: "E2U+sip", Regexp: "!^.*$!sip:a@x!"}),
		"7.p.test.":   rules(enum.Rule{Replacement: "2.p.test."}),
		"8.p.test.":   rules(tel(`!^(.*$!tel:1!`)),
		"9.p.test.":   rules(tel(`!^.*$!sip:a@x!`)),
	}}
	for i := range 9 {
		resolver.answers[fmt.Sprintf("far%d.test.", i)] = rules(enum.Rule{Replacement: fmt.Sprintf("far%d.test.", i+1)})
	}
	resolver.answers["0.p.test."] = rules(enum.Rule{Replacement: "far0.test."})
	finder := &Finder{Resolver: resolver, Apex: "p.test", Services: []string{"pstn:tel"}}
	for number, want := range map[string]string{"1": "2 ", "2": "1 +1514", "3": "0 ", "4": "0 ", "5": "2 ", "6": "0 ",
		"7": "1 +1514", "78": "1 +1514+1-6789", "8": "2 ",
		"9": "2 ", "0": "2 ", "77": "2 ", "": "2 "} {
		calls, got := 0, ""
		finder.Resolve(0, number, 500, func(_ float64, found numberplan.LookupResult) {
			calls++
			got = fmt.Sprint(int(found.Answer), " ", found.Routing, found.Carrier)
		})
		if calls != 1 || got != want {
			t.Errorf("%q: %q, answered %d times; want %q", number, got, calls, want)
		}
	}
}

// All steps share one deadline, and a canceled look-up is not answered.
func TestDeadlineAndCancel(t *testing.T) {
	resolver := &fakeResolver{
		delayed: true,
		answers: map[string]dnsclient.Answer{
			"7.p.test.": rules(enum.Rule{Replacement: "2.p.test."}),
			"2.p.test.": rules(tel(`!^.*$!tel:+1;rn=+2!`)),
		},
	}
	finder := &Finder{Resolver: resolver, Apex: "p.test", Services: []string{"pstn:tel"}}
	calls := 0
	stop := finder.Resolve(0, "7", 500, func(float64, numberplan.LookupResult) { calls++ })
	resolver.pending[0]()
	if len(resolver.timeouts) != 2 || resolver.timeouts[1] != 400 {
		t.Errorf("timeouts of the queries: %v, want 2, the second 400 ms", resolver.timeouts)
	}
	stop()
	resolver.pending[1]()
	if calls != 0 || resolver.canceled != 1 {
		t.Errorf("after the look-up was canceled: want no answer and 1 query canceled, got %d and %d",
			calls, resolver.canceled)
	}
}
