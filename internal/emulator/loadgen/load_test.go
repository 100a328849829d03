package loadgen

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"testing"
	"time"

	"cobaltpier/api"
)

func evenlySpacedCalls(n int, gap float64) []*api.Call {
	var calls []*api.Call
	for i := range n {
		calls = append(
			calls,
			&api.Call{AtMs: float64(i) * gap, Number: "+1", Skill: "a", Customer: "x", HoldMs: 20, PatienceMs: 5000},
		)
	}
	return calls
}

// TestStallCountsWholeWait guards against coordinated omission: the server stalls for half of the run, and the calls
// planned during the stall must count with their whole wait while the load does not slow down. The bounds are wide
// because the machine may be busy.
func TestStallCountsWholeWait(t *testing.T) {
	at := netip.MustParseAddrPort("127.73.0.2:19063")
	s := &Still{Delay: 10 * time.Millisecond, Pauses: []Pause{{300 * time.Millisecond, 600 * time.Millisecond}}}
	start := time.Now().Add(100 * time.Millisecond)
	if err := s.Serve(at, start); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	calls := evenlySpacedCalls(600, 2) // 1.2 s
	r, err := Run(
		context.Background(),
		calls,
		Options{Self: netip.MustParseAddrPort("127.73.0.1:19063"), Targets: []netip.AddrPort{at}, Start: start},
	)
	if err != nil {
		t.Fatal(err)
	}
	if r.Planned != 600 || r.Answered != 600 || r.Intended.TotalCount() != 600 {
		t.Errorf("%d of %d calls answered, %d counted", r.Answered, r.Planned, r.Intended.TotalCount())
	}
	var want []time.Duration
	for _, c := range calls {
		want = append(want, s.True(time.Duration(c.AtMs*1e6)))
	}
	slices.Sort(want)
	for _, q := range []float64{75, 90, 99} {
		got, w := time.Duration(r.Intended.ValueAtQuantile(q))*time.Microsecond, want[int(q/100*600)]
		if got < w-20*time.Millisecond || got > w+200*time.Millisecond {
			t.Errorf("p%v %v, want %v", q, got, w)
		}
	}
}

// TestNobodyAnswers checks that calls without an answer count with their timeout and none is left out.
func TestNobodyAnswers(t *testing.T) {
	calls := evenlySpacedCalls(20, 5)
	for _, c := range calls {
		c.PatienceMs = 300
	}
	r, err := Run(
		context.Background(),
		calls,
		Options{
			Self:    netip.MustParseAddrPort("127.73.0.3:19063"),
			Targets: []netip.AddrPort{netip.MustParseAddrPort("127.73.0.4:19063")},
			T1:      100 * time.Millisecond,
		},
	)
	if err != nil {
		t.Fatal(err)
	}
	if r.Unanswered != 20 || r.Repeats < 20 || r.Intended.Min() < 290_000 {
		t.Errorf("%d unanswered, %d repeats, least wait %d µs", r.Unanswered, r.Repeats, r.Intended.Min())
	}
}

// TestMergeAndJudge checks that merged results equal the whole, that a wait above the range is counted at its end and
// in Past, and that a late generator is reported.
func TestMergeAndJudge(t *testing.T) {
	whole, merged := NewResult(), NewResult()
	for p := range 64 {
		part := NewResult()
		for i := range 100 {
			d := time.Duration(p*100+i) * time.Millisecond
			part.record(part.Intended, d)
			whole.record(whole.Intended, d)
		}
		part.Planned = 100
		merged.Merge(part)
	}
	if !merged.Intended.Equals(whole.Intended) || merged.Planned != 6400 {
		t.Error("the merged result differs from the whole")
	}
	merged.record(merged.Intended, time.Hour)
	if merged.Past != 1 || merged.Intended.TotalCount() != 6401 {
		t.Errorf("%d above the range, %d counted", merged.Past, merged.Intended.TotalCount())
	}
	merged.record(merged.Late, time.Millisecond)
	if err := merged.Judge(5 * time.Millisecond); err != nil {
		t.Error(err)
	}
	for range 10 {
		merged.record(merged.Late, 50*time.Millisecond)
	}
	if err := merged.Judge(5 * time.Millisecond); !errors.Is(err, ErrBottleneck) {
		t.Errorf("a late generator: %v", err)
	}
	if _, err := Run(context.Background(), nil, Options{}); err == nil {
		t.Error("no gateway: no error")
	}
}
