package deployment

import (
	_ "embed"
	"testing"

	"cobaltpier/internal/routing"
)

// sampleSettings is a deployment's settings as the platform writes them.
//
//go:embed testdata/settings.json
var sampleSettings string

func TestDecode(t *testing.T) {
	s, fields, err := Decode([]byte(sampleSettings), 7)
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
	l, err := DecodeConnections([]byte(sampleSettings))
	if err != nil || l != (Connections{ConnectTimeout: 500, IdleTimeout: 600000, MaxPendingCalls: 20000}) {
		t.Errorf("%+v %v", l, err)
	}
	if _, _, err := Decode([]byte(`{"balancers":"many"}`), 1); err == nil {
		t.Error("a string was accepted for a number")
	}
}

func TestSetLoadReportField(t *testing.T) {
	var r routing.LoadReport
	if SetLoadReportField(&r, "free", 3) || SetLoadReportField(&r, "size", 40) || !SetLoadReportField(&r, "busy", 0.5) ||
		SetLoadReportField(&r, "q", -1) ||
		SetLoadReportField(&r, "nothing", 1) {
		t.Error("wrong result of SetLoadReportField")
	}
	if r.Free != 3 || r.Capacity != 40 || r.Utilization != 0.5 || r.QueueLength != 0 {
		t.Errorf("%+v", r)
	}
}
