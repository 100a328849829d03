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
	if s.Gateways != 4 || s.GatewayIndex != 2 || s.Seed != 7 || s.MaxAttempts != 5 || !s.CancelEnabled ||
		!s.GossipEnabled || s.ProbeEnabled || !s.RetryAfterEnabled || !s.LoadReportsByProbe ||
		s.RetryHoldOff != 500 || s.RetransmitInterval != 400 ||
		s.OverloadWindow != 1000 ||
		s.AnswerGrace != 20 ||
		len(fields) != 2 ||
		len(s.Tenants) != 1 {
		t.Errorf("%+v %v", s, fields)
	}
	a, b := s.Classes[0], s.Classes[1]
	if a.Weight != 1 || !a.Idempotent || a.MeanHoldingTime != 9800 || !a.AllowedDestinations[1] ||
		a.AllowedDestinations[2] ||
		b.Weight != 8 ||
		b.Idempotent ||
		b.AllowedDestinations != nil {
		t.Errorf("%+v %+v", a, b)
	}
	l, err := DecodeConnections([]byte(sample))
	if err != nil || l != (Connections{ConnectTimeout: 500, IdleTimeout: 600000, MaxPendingCalls: 20000}) {
		t.Errorf("%+v %v", l, err)
	}
	if _, _, err := Decode([]byte(`{"balancers":"many"}`), 1); err == nil {
		t.Error("a text for a number passes")
	}
}

func TestFigure(t *testing.T) {
	var r routing.LoadReport
	if SetLoadReportField(&r, "free", 3) || SetLoadReportField(&r, "size", 40) || !SetLoadReportField(&r, "busy", 0.5) ||
		SetLoadReportField(&r, "q", -1) ||
		SetLoadReportField(&r, "nothing", 1) {
		t.Error("which figures are the processor's")
	}
	if r.Free != 3 || r.Capacity != 40 || r.Utilization != 0.5 || r.QueueLength != 0 {
		t.Errorf("%+v", r)
	}
}
