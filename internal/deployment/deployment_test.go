package deployment

import (
	_ "embed"
	"fmt"
	"reflect"
	"strings"
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

// TestScoringDoesNotDecide checks that settings which say how a deployment is scored (the latency that is aimed at, the
// worth of later answers, prices, the weights of the result) change nothing that calls are routed by.
func TestScoringDoesNotDecide(t *testing.T) {
	const other = `{"lanes":[{"name":"a","hardLimit":9000%s},{"name":"b","hardLimit":6000,"worth":8%s}]%s}`
	decode := func(first, second, rest string) *routing.Settings {
		t.Helper()
		settings, _, err := Decode([]byte(fmt.Sprintf(other, first, second, rest)), 7)
		if err != nil {
			t.Fatal(err)
		}
		return settings
	}
	want := decode("", "", "")
	for _, got := range []*routing.Settings{
		decode(`,"aim":2000,"lateWorth":0.1`, `,"aim":800,"lateWorth":0.25`, ""),
		decode(`,"aim":10,"lateWorth":1`, `,"aim":6000,"lateWorth":0`, ""),
		decode("", "", `,"prices":{"lateFail":0.5,"waste":1},"goal":{"whole":0,"worstClass":1},"overShareWorth":0.2`),
		decode("", "", `,"clients":{"marksRetry":true},"worthBy":"work"`),
	} {
		if !reflect.DeepEqual(got, want) {
			t.Errorf("settings %+v, want %+v", got, want)
		}
	}
	if _, _, err := Decode([]byte(`{"lanes":[{"name":"a","aim":"soon"}]}`), 7); err == nil ||
		!strings.Contains(err.Error(), "aim") {
		t.Errorf("error %v for an aim that is no number, want one that names the field", err)
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
