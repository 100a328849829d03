package scenario

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"cobaltpier/api"
	"cobaltpier/internal/conformance"
	"cobaltpier/internal/emulator/scenariofile"
	"cobaltpier/internal/router"
	"cobaltpier/internal/routing"
)

func newRouter(s *routing.Settings, h routing.Host) routing.Policy { return router.New(s, h) }

func TestAllFaults(t *testing.T) {
	s, err := BuiltIn("trouble")
	if err != nil {
		t.Fatal(err)
	}
	k := conformance.New()
	st := New(s, 5060, func(r *api.Record) { k.Add(r) })
	v := NewVirtual(st, newRouter)
	st.Simulation.Run(s.Length + 12000)
	k.Finish()
	sv := st.Service()
	sv.Waits = nil
	t.Logf("%+v", sv)
	t.Logf("%+v", k.Totals)
	for i, f := range k.Findings {
		if i < 10 {
			t.Error(f)
		}
	}
	for _, b := range v.Gateways {
		t.Logf("%+v", b.Counts)
	}
}

// TestDesignShares checks the design: without faults, first attempts go to the destination, and the endpoints of
// calls whose destination drains are drawn by the formula.
func TestDesignShares(t *testing.T) {
	s, err := BuiltIn("quiet")
	if err != nil {
		t.Fatal(err)
	}
	var shares *Shares
	st := New(s, 5060, func(r *api.Record) {
		if shares != nil {
			shares.Add(r)
		}
	})
	shares = NewShares(st, 1)
	st.Drain(1)
	NewVirtual(st, newRouter)
	st.Simulation.Run(s.Length + 10000)
	t.Logf("\n%s", shares)
	if part := float64(shares.AtDestination) / float64(shares.FirstAttempts); part < 0.9 || shares.FirstAttempts < 3000 {
		t.Errorf("%.3f of %d first attempts at the destination", part, shares.FirstAttempts)
	}
	if d := shares.Deviation(); d > 4 {
		t.Errorf("draws are %.1f standard deviations from the formula", d)
	}
}

// TestSameSeedSameDay checks that two runs of a scenario give byte-identical captures.
func TestSameSeedSameDay(t *testing.T) {
	sum := func() (n uint64) {
		s := shortScenario(t)
		st := New(s, 5060, func(r *api.Record) {
			b, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
			if err != nil {
				t.Fatal(err)
			}
			for _, c := range b {
				n = (n ^ uint64(c)) * 1099511628211
			}
		})
		NewVirtual(st, newRouter)
		st.Simulation.Run(s.Length + 5000)
		return n
	}
	if a, b := sum(), sum(); a != b || a == 0 {
		t.Errorf("captures differ: %x, %x", a, b)
	}
}

// TestFlood sends one gateway twenty times the total load in the class of the lowest value: the number of pending
// calls must be bounded, the rules kept, and the class of the higher value served.
func TestFlood(t *testing.T) {
	s := shortScenario(t)
	s.Gateways.Count, s.Gateways.Held, s.Gateways.MostRate = 1, 400, 90
	s.Load.Rate, s.Length = 40, 8000
	s.Callers.Redials = 0
	s.Faults = []scenariofile.Fault{{Kind: "flood", At: 2000, For: 4000, Size: 20}}
	k := conformance.New()
	st := New(s, 5060, func(r *api.Record) { k.Add(r) })
	v := NewVirtual(st, newRouter)
	most := 0
	for at := 0.0; at < s.Length+10000; at += 50 {
		st.Simulation.Run(at)
		waiting, _ := v.Gateways[0].InProgress()
		most = max(most, waiting)
	}
	k.Finish()
	if len(k.Findings) > 0 {
		t.Error(k.Findings[0])
	}
	if c := v.Gateways[0].Counts; most > 400+20 || c.Shed == 0 {
		t.Errorf("%d pending at most, %d shed", most, c.Shed)
	}
	inTime, all := 0, 0
	for _, x := range st.Gateways[0].Callers.Records {
		if x.Class == "absence-report" {
			all++
			if x.AnsweredAt-x.At <= x.LatencyObjective {
				inTime++
			}
		}
	}
	t.Logf("%d of %d of the higher class in time, %d pending at most, %+v", inTime, all, most, v.Gateways[0].Counts)
	if all < 10 || float64(inTime) < 0.8*float64(all) {
		t.Errorf("%d of %d of the higher class answered in time", inTime, all)
	}
}

// TestListSilent checks that gateways continue with the list that they have when the endpoint list sends nothing for
// a minute, while an endpoint drains and is replaced and gateways are paused.
func TestListSilent(t *testing.T) {
	s := shortScenario(t)
	s.Length = 70000
	s.Load.Rate = 30
	s.Faults = append(
		s.Faults,
		scenariofile.Fault{Kind: "listless", At: 1000, For: 60000},
		scenariofile.Fault{Kind: "stall", At: 5000, For: 3000, Part: 0.4, Size: 2},
	)
	if k := runAndCheck(s, newRouter, 0); len(k.Findings) > 0 || k.Totals.Attempts < 300 {
		t.Errorf("%d attempts, findings %v", k.Totals.Attempts, k.Findings)
	}
}
