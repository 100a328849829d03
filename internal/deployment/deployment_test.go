package deployment

import (
	"testing"

	"cobaltpier/internal/routing"
)

const sample = `{"allowed":{"cancel":true,"connIdle":600000.0,"connectTimeout":500.0,"maxAttempts":5,"maxRetryAfter":2000.0,"mostHeld":20000,"peers":true,"retryAfter":true},
"balancers":4,"me":2,"tick":5,"familyInfo":{"callLength":[9800.0,100],"clearWait":500.0,"retransmit":400.0,"skilledPools":[[0,1]]},
"lanes":[{"name":"a","aim":2000,"hardLimit":9000,"lateWorth":0.1,"semantics":"pure"},{"name":"b","aim":1,"hardLimit":2,"semantics":"side_effect","worth":8}],
"realms":[{"name":"x"}],"rules":{"answerSlack":20,"coldShare":0.36,"fall":1000,"tipMultiple":2.5,"warmWithin":14000},"stats":{"fields":["free","q"],"how":"on_probe"},
"unknown":{"of":"no concern"}}`

func TestDecode(t *testing.T) {
	s, fields, err := Decode([]byte(sample), 7)
	if err != nil {
		t.Fatal(err)
	}
	if s.Gateways != 4 || s.Me != 2 || s.Seed != 7 || s.MaxRings != 5 || !s.MayCancel || !s.MayTell || s.MayProbe || !s.MayWait || !s.ByProbe ||
		s.ClearWait != 500 || s.Retransmit != 400 || s.TipTime != 1000 || s.Slack != 20 || len(fields) != 2 || len(s.Customers) != 1 {
		t.Errorf("%+v %v", s, fields)
	}
	a, b := s.Skills[0], s.Skills[1]
	if a.Value != 1 || !a.Repeat || a.Hold != 9800 || !a.Pools[1] || a.Pools[2] || b.Value != 8 || b.Repeat || b.Pools != nil {
		t.Errorf("%+v %+v", a, b)
	}
	l, err := DecodeLinks([]byte(sample))
	if err != nil || l != (Links{ConnectTimeout: 500, Idle: 600000, MostHeld: 20000}) {
		t.Errorf("%+v %v", l, err)
	}
	if _, _, err := Decode([]byte(`{"balancers":"many"}`), 1); err == nil {
		t.Error("a text for a number passes")
	}
}

func TestFigure(t *testing.T) {
	var r routing.Report
	if Figure(&r, "free", 3) || Figure(&r, "size", 40) || !Figure(&r, "busy", 0.5) || Figure(&r, "q", -1) || Figure(&r, "nothing", 1) {
		t.Error("which figures are the processor's")
	}
	if r.Free != 3 || r.Agents != 40 || r.Util != 0.5 || r.Queue != 0 {
		t.Errorf("%+v", r)
	}
}
