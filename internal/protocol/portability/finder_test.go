package portability

import (
	"fmt"
	"testing"

	"cobaltpier/internal/decision/enum"
	"cobaltpier/internal/decision/numberplan"
	"cobaltpier/internal/protocol/dnsclient"
)

// fakeResolver answers immediately, or with later set when the test runs the waiting callbacks.
type fakeResolver struct {
	of       map[string]dnsclient.Answer
	waiting  []func()
	later    bool
	timeouts []float64
	stopped  int
}

func (b *fakeResolver) Query(now float64, name string, within float64, done func(float64, dnsclient.Answer)) func() {
	b.timeouts = append(b.timeouts, within)
	a, ok := b.of[name]
	if !ok {
		a.Status = dnsclient.Failed
	}
	if b.later {
		b.waiting = append(b.waiting, func() { done(now+100, a) })
	} else {
		done(now, a)
	}
	return func() { b.stopped++ }
}

func rules(of ...enum.Rule) dnsclient.Answer { return dnsclient.Answer{Rules: of} }

func tel(re string) enum.Rule { return enum.Rule{Flags: "u", Service: "E2U+pstn:tel", Regexp: re} }

func TestResolve(t *testing.T) {
	loop := rules(enum.Rule{Replacement: "1.p.test."})
	b := &fakeResolver{of: map[string]dnsclient.Answer{
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
		b.of[fmt.Sprintf("far%d.test.", i)] = rules(enum.Rule{Replacement: fmt.Sprintf("far%d.test.", i+1)})
	}
	b.of["0.p.test."] = rules(enum.Rule{Replacement: "far0.test."})
	f := &Finder{Resolver: b, Apex: "p.test", Services: []string{"pstn:tel"}}
	for n, want := range map[string]string{"1": "2 ", "2": "1 +1514", "3": "0 ", "4": "0 ", "5": "2 ", "6": "0 ",
		"7": "1 +1514", "78": "1 +1514+1-6789", "8": "2 ",
		"9": "2 ", "0": "2 ", "77": "2 ", "": "2 "} {
		calls, got := 0, ""
		f.Resolve(0, n, 500, func(_ float64, f numberplan.Found) {
			calls++
			got = fmt.Sprint(int(f.Answer), " ", f.Routing, f.Carrier)
		})
		if calls != 1 || got != want {
			t.Errorf("%q: %q, %d times; want %q", n, got, calls, want)
		}
	}
}

// All steps share one deadline, and a canceled look-up is not answered.
func TestDeadlineAndCancel(t *testing.T) {
	b := &fakeResolver{
		later: true,
		of: map[string]dnsclient.Answer{
			"7.p.test.": rules(enum.Rule{Replacement: "2.p.test."}),
			"2.p.test.": rules(tel(`!^.*$!tel:+1;rn=+2!`)),
		},
	}
	f := &Finder{Resolver: b, Apex: "p.test", Services: []string{"pstn:tel"}}
	calls := 0
	stop := f.Resolve(0, "7", 500, func(float64, numberplan.Found) { calls++ })
	b.waiting[0]()
	if len(b.timeouts) != 2 || b.timeouts[1] != 400 {
		t.Errorf("times given: %v", b.timeouts)
	}
	stop()
	b.waiting[1]()
	if calls != 0 || b.stopped != 1 {
		t.Errorf("answered %d times after it was canceled, stopped %d", calls, b.stopped)
	}
}
