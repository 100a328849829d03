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

// TestStallCountsWholeWait guards against coordinated omission, in which waits are measured from sends that were
// delayed themselves: the server stalls for half of the run, and the calls planned during the stall must be sent at
// their planned times and count with their whole wait. The bounds are wide because the machine may be busy.
func TestStallCountsWholeWait(t *testing.T) {
	serverAddr := netip.MustParseAddrPort("127.73.0.2:19063")
	s := &StallingServer{Delay: 10 * time.Millisecond, Stalls: []Stall{{300 * time.Millisecond, 600 * time.Millisecond}}}
	start := time.Now().Add(100 * time.Millisecond)
	if err := s.Serve(serverAddr, start); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	calls := evenlySpacedCalls(600, 2) // 1.2 s
	r, err := Run(
		context.Background(),
		calls,
		Options{LocalAddr: netip.MustParseAddrPort("127.73.0.1:19063"), Targets: []netip.AddrPort{serverAddr}, Start: start},
	)
	if err != nil {
		t.Fatal(err)
	}
	if r.Planned != 600 || r.Answered != 600 || r.WaitFromPlanned.TotalCount() != 600 {
		t.Errorf("want 600 calls planned, answered and recorded, got %d answered of %d, %d recorded",
			r.Answered, r.Planned, r.WaitFromPlanned.TotalCount())
	}
	var want []time.Duration
	for _, c := range calls {
		want = append(want, s.ExpectedWait(time.Duration(c.AtMs*1e6)))
	}
	slices.Sort(want)
	for _, q := range []float64{75, 90, 99} {
		got, wantWait := time.Duration(r.WaitFromPlanned.ValueAtQuantile(q))*time.Microsecond, want[int(q/100*600)]
		if got < wantWait-20*time.Millisecond || got > wantWait+200*time.Millisecond {
			t.Errorf("p%v %v, want %v (20 ms less to 200 ms more)", q, got, wantWait)
		}
	}
}

// TestNobodyAnswers checks that every call without an answer is counted as unanswered, that the shortest recorded
// wait is about the timeout, and that setups are retransmitted.
func TestNobodyAnswers(t *testing.T) {
	calls := evenlySpacedCalls(20, 5)
	for _, c := range calls {
		c.PatienceMs = 300
	}
	r, err := Run(
		context.Background(),
		calls,
		Options{
			LocalAddr: netip.MustParseAddrPort("127.73.0.3:19063"),
			Targets:   []netip.AddrPort{netip.MustParseAddrPort("127.73.0.4:19063")},
			T1:        100 * time.Millisecond,
		},
	)
	if err != nil {
		t.Fatal(err)
	}
	if r.Unanswered != 20 || r.Retransmissions < 20 || r.WaitFromPlanned.Min() < 290_000 {
		t.Errorf("want 20 unanswered, 20 retransmissions or more, shortest wait 290000 µs or more, got %d, %d, %d",
			r.Unanswered, r.Retransmissions, r.WaitFromPlanned.Min())
	}
}

// TestMergeAndCheckLateness checks that merged results equal the result recorded directly, that a wait above the
// histogram's range is recorded in it and counted in OutOfRange, and that CheckLateness reports a generator that
// sends too late.
func TestMergeAndCheckLateness(t *testing.T) {
	whole, merged := NewResult(), NewResult()
	for p := range 64 {
		part := NewResult()
		for i := range 100 {
			d := time.Duration(p*100+i) * time.Millisecond
			part.record(part.WaitFromPlanned, d)
			whole.record(whole.WaitFromPlanned, d)
		}
		part.Planned = 100
		merged.Merge(part)
	}
	if !merged.WaitFromPlanned.Equals(whole.WaitFromPlanned) || merged.Planned != 6400 {
		t.Error("the merged result differs from the result recorded directly")
	}
	merged.record(merged.WaitFromPlanned, time.Hour)
	if merged.OutOfRange != 1 || merged.WaitFromPlanned.TotalCount() != 6401 {
		t.Errorf("want 1 wait above the range and 6401 recorded, got %d and %d",
			merged.OutOfRange, merged.WaitFromPlanned.TotalCount())
	}
	merged.record(merged.SendDelay, time.Millisecond)
	if err := merged.CheckLateness(5 * time.Millisecond); err != nil {
		t.Error(err)
	}
	for range 10 {
		merged.record(merged.SendDelay, 50*time.Millisecond)
	}
	if err := merged.CheckLateness(5 * time.Millisecond); !errors.Is(err, ErrBottleneck) {
		t.Errorf("CheckLateness of a generator 50 ms late: got %v, want ErrBottleneck", err)
	}
	if _, err := Run(context.Background(), nil, Options{}); err == nil {
		t.Error("no gateway: no error")
	}
}
