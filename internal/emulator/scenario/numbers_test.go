package scenario

import (
	"testing"

	"cobaltpier/api"
	"cobaltpier/internal/conformance"
	"cobaltpier/internal/emulator/scenariofile"
	"cobaltpier/internal/protocol/b2bua"
)

// runNumbers runs a short scenario in which numbers are analysed and tables change every second.
func runNumbers(t *testing.T, change func(*scenariofile.Script)) (*Scenario, *Virtual, *conformance.Checker,
	*conformance.TableChecker) {
	t.Helper()
	s, err := BuiltIn("numbers", `length="14s"`, "load.rate=200", "gateways.count=4", "pools.count=3")
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(s)
	}
	k, tables := conformance.New(), conformance.NewTableChecker(TablePrefix)
	st := New(s, 5060, func(r *api.Record) { k.Add(r); tables.Add(r) })
	k.Parse, tables.Parse = st.Parse, st.Parse
	st.OnCallEnd = func(gateway int, f b2bua.CallRecord) { tables.Record(st.Gateways[gateway].Name, f.SessionID, f.Table) }
	v := NewVirtual(st, newRouter)
	st.Simulation.Run(s.Length + 12000)
	k.Finish()
	for i, f := range k.Findings {
		if i < 5 {
			t.Error(f)
		}
	}
	return st, v, k, tables
}

// While tables change every second, gateways are killed and paused and DNS servers fail, each call must be analysed
// by a single table that was in force when it arrived, all rules must be kept, and no call may hold an old table at
// the end.
func TestTableChangesUnderFaults(t *testing.T) {
	st, v, _, tables := runNumbers(t, func(s *scenariofile.Script) {
		s.Faults = []scenariofile.Fault{
			{Kind: "restart", At: 4000, For: 1000, Part: 0.25},
			{Kind: "stall", At: 6000, For: 3000, Part: 0.5, Size: 0.8},
			{Kind: "names_silent", At: 8000, For: 3000, Part: 1},
			{Kind: "deploy", At: 3000, For: 2000, Part: 0.3},
		}
	})
	for i, f := range tables.Findings {
		if i < 5 {
			t.Error(f)
		}
	}
	if tables.Calls < 2000 || tables.Records < 2000 || tables.Versions < 13 {
		t.Errorf("%d calls, %d tables", tables.Calls, tables.Versions)
	}
	for _, b := range v.Gateways {
		if old, n := b.OldTables(); old != 0 || n != 0 {
			t.Errorf("%s: %d calls hold %d old tables", b.gateway.Name, n, old)
		}
	}
	if sv := st.Service(); sv.Total < 0.9 {
		t.Errorf("service %.3f", sv.Total)
	}
}

// Under each fault at all DNS servers, callers must be served, the rules kept, and no look-up may be left open.
func TestDNSFaults(t *testing.T) {
	for _, c := range []scenariofile.Fault{{Kind: "names_silent"}, {Kind: "names_slow", Size: 2}, {Kind: "names_lossy",
		Size: 0.6}, {Kind: "names_spoofed", Size: 20},
		{Kind: "names_cut", Size: 1}, {Kind: "names_lame"}, {Kind: "names_wrong", Size: 1}} {
		t.Run(c.Kind, func(t *testing.T) {
			c.At, c.For, c.Part = 3000, 7000, 1
			st, v, _, tables := runNumbers(
				t,
				func(s *scenariofile.Script) { s.Faults = []scenariofile.Fault{c}; s.Numbers.Change = 3000 },
			)
			if len(tables.Findings) > 0 {
				t.Error(tables.Findings[0])
			}
			sv, l := st.Service(), v.LookupCounts()
			t.Logf("service %.3f, %+v", sv.Total, l)
			if sv.Total < 0.98 {
				t.Errorf("service %.3f", sv.Total)
			}
			if c.Kind == "names_spoofed" && l.Strays == 0 || c.Kind == "names_cut" && l.Streams == 0 ||
				c.Kind == "names_silent" && l.Down+l.Failed == 0 {
				t.Errorf("the fault had no effect: %+v", l)
			}
			for _, b := range v.Gateways {
				if f, _ := b.resolver.client.OpenCounts(); f != 0 {
					t.Errorf("%d look-ups are still open", f)
				}
			}
		})
	}
}

// ENUM clients look up which switch to call while switches drain and are replaced, one is killed, gateways are
// killed and paused and datagrams are lost. Each look-up must get one answer, none may name a switch known to drain,
// clients may only call a switch that was just named, and callers and ENUM clients together must not overload cold
// switches.
func TestENUMClientsUnderFaults(t *testing.T) {
	st, v, k, _ := runNumbers(t, func(s *scenariofile.Script) {
		s.ENUMClients = scenariofile.ENUMClients{Rate: 120, Hold: 4000, Loss: 0.05, Wait: 800, Repeats: 2, Asks: 2}
		s.Faults = []scenariofile.Fault{
			{Kind: "deploy", At: 3000, For: 3000, Part: 0.67},
			{Kind: "silent", At: 7000, For: 2000, Part: 0.3},
			{Kind: "restart", At: 5000, For: 1000, Part: 0.25},
			{Kind: "stall", At: 9000, For: 2000, Part: 0.5, Size: 0.8},
		}
	})
	sv := st.ENUMService()
	sv.Waits = nil
	t.Logf("%+v, %+v", sv, k.Totals)
	if sv.Lookups < 1200 || float64(sv.Named) < 0.85*float64(sv.Lookups) ||
		float64(sv.Established) < 0.85*float64(sv.Named) {
		t.Errorf("%+v", sv)
	}
	for _, b := range v.Gateways {
		if b.enumServer.OpenCount() > 10000 {
			t.Errorf("%d answers are remembered", b.enumServer.OpenCount())
		}
	}
}
