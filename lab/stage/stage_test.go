package stage

import (
	"testing"

	"cobaltpier/api"
	"cobaltpier/brain"
	"cobaltpier/check"
	"cobaltpier/contact"
	"cobaltpier/host"
)

func mind(s *contact.Settings, h contact.Host) host.Module { return brain.New(s, h) }

func TestDayOfTrouble(t *testing.T) {
	s, err := Day("trouble")
	if err != nil {
		t.Fatal(err)
	}
	k := check.New()
	st := New(s, 5060, func(r *api.Record) { k.Add(r) })
	v := NewVirtual(st, mind)
	st.World.Run(s.Length + 12000)
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
	for _, b := range v.Edges {
		t.Logf("%+v", b.Counts)
	}
}
