package scenario

import (
	"testing"

	"cobaltpier/api"
	"cobaltpier/internal/conformance"
	"cobaltpier/internal/emulator/scenariofile"
	"cobaltpier/internal/protocol/b2bua"
)

// runNumbers plays a short day on which numbers are analysed and tables change every second.
func runNumbers(t *testing.T, change func(*scenariofile.Script)) (*Scenario, *Virtual, *conformance.Checker,
	*conformance.Tables) {
	t.Helper()
	s, err := Day("numbers", `length="14s"`, "load.rate=200", "gateways.count=4", "pools.count=3")
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(s)
	}
	k, tables := conformance.New(), conformance.NewTables(Mark4)
	st := New(s, 5060, func(r *api.Record) { k.Add(r); tables.Add(r) })
	k.Parse, tables.Parse = st.Parse, st.Parse
	st.OnCallEnd = func(gateway int, f b2bua.CallRecord) { tables.Record(st.Gateways[gateway].Name, f.SessionID, f.Table) }
	v := NewVirtual(st, newRouter)
	st.World.Run(s.Length + 12000)
	k.Finish()
	for i, f := range k.Findings {
		if i < 5 {
			t.Error(f)
		}
	}
	return st, v, k, tables
}

// Tables change every second, gateways are killed and stand still, DNS servers fail: each call is analysed wholly by a
// table that was in force when it came, all rules are kept, and nobody keeps an old table when the day is over.
func TestTableChangesUnderFaults(t *testing.T) {
	st, v, _, tables := runNumbers(t, func(s *scenariofile.Script) {
		s.Troubles = []scenariofile.Trouble{
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
		if old, n := b.Tables(); old != 0 || n != 0 {
			t.Errorf("%s: %d calls hold %d old tables", b.gateway.Name, n, old)
		}
	}
	if sv := st.Service(); sv.Total < 0.9 {
		t.Errorf("service %.3f", sv.Total)
	}
}

// Each trouble of the DNS servers, all of them at once: callers are served, the rules kept, and what the resolver holds
// is bounded and let go.
func TestDNSFaults(t *testing.T) {
	for _, c := range []scenariofile.Trouble{{Kind: "names_silent"}, {Kind: "names_slow", Size: 2}, {Kind: "names_lossy",
		Size: 0.6}, {Kind: "names_spoofed", Size: 20},
		{Kind: "names_cut", Size: 1}, {Kind: "names_lame"}, {Kind: "names_wrong", Size: 1}} {
		t.Run(c.Kind, func(t *testing.T) {
			c.At, c.For, c.Part = 3000, 7000, 1
			st, v, _, tables := runNumbers(
				t,
				func(s *scenariofile.Script) { s.Troubles = []scenariofile.Trouble{c}; s.Numbers.Change = 3000 },
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

// Kiosks ask which switch to call while switches drain and are replaced, one dies, gateways are killed and stand still
// and datagrams are lost: one answer a look-up, none that names a switch known to drain, no call to one that was not
// just named, and cold switches are not pushed over by callers and kiosks together.
func TestENUMClientsUnderFaults(t *testing.T) {
	st, v, k, _ := runNumbers(t, func(s *scenariofile.Script) {
		s.Kiosks = scenariofile.Kiosks{Rate: 120, Hold: 4000, Loss: 0.05, Wait: 800, Repeats: 2, Asks: 2}
		s.Troubles = []scenariofile.Trouble{
			{Kind: "deploy", At: 3000, For: 3000, Part: 0.67},
			{Kind: "silent", At: 7000, For: 2000, Part: 0.3},
			{Kind: "restart", At: 5000, For: 1000, Part: 0.25},
			{Kind: "stall", At: 9000, For: 2000, Part: 0.5, Size: 0.8},
		}
	})
	sv := st.KioskService()
	sv.Waits = nil
	t.Logf("%+v, %+v", sv, k.Totals)
	if sv.Visits < 1200 || float64(sv.Named) < 0.85*float64(sv.Visits) || float64(sv.Stood) < 0.85*float64(sv.Named) {
		t.Errorf("%+v", sv)
	}
	for _, b := range v.Gateways {
		if b.enumServer.OpenCount() > 10000 {
			t.Errorf("%d answers are remembered", b.enumServer.OpenCount())
		}
	}
}
