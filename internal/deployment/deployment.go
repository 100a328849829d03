// Package deployment reads a deployment's settings as its operators hand them over, in JSON: the same object on the
// bench's wire and in a gateway's configuration. It tells which figures the load reports have, and what they mean.
package deployment

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"cobaltpier/internal/routing"
)

// loadReportFields put a value of a load report in its place.
var loadReportFields = map[string]func(*routing.LoadReport, float64){
	"free":      func(r *routing.LoadReport, v float64) { r.Free = v },
	"size":      func(r *routing.LoadReport, v float64) { r.Capacity = v },
	"q":         func(r *routing.LoadReport, v float64) { r.QueueLength = v },
	"busy":      func(r *routing.LoadReport, v float64) { r.Utilization = v },
	"lat_ms":    func(r *routing.LoadReport, v float64) { r.QueueDelay = v },
	"can_take":  func(r *routing.LoadReport, v float64) { r.RateLimit = v },
	"hold_back": func(r *routing.LoadReport, v float64) { r.LossFraction = v },
}

// SetLoadReportField puts a value of a load report, by its name in the settings, in its place; a negative one is not
// known. It tells whether it was one of the processor's.
func SetLoadReportField(report *routing.LoadReport, field string, value float64) bool {
	set := loadReportFields[field]
	if set == nil || !(value >= 0) {
		return false
	}
	set(report, value)
	return field != "free" && field != "size"
}

// settingsObject is the keys of the settings that anybody reads; all others are passed over.
type settingsObject struct {
	Allowed struct {
		Cancel, Peers, Probes, RetryAfter, MayDuplicate bool
		MaxAttempts                                     int
		MaxRetryAfter                                   float64
	}
	Balancers, Me int
	Tick          float64
	FamilyInfo    struct {
		CallLength            []float64
		ClearWait, Retransmit float64
		SkilledPools          [][]int
	}
	Lanes []struct {
		Name, Semantics                   string
		Aim, HardLimit, LateWorth, Window float64
		Worth                             *float64
	}
	Realms []struct{ Name string }
	Rules  struct {
		AnswerSlack, ColdShare, Fall, TipMultiple, WarmWithin float64
	}
	Stats struct {
		Fields []string
		How    string
	}
}

// unmarshal reads JSON; a fault is told with the field's name as its writer spells it.
func unmarshal(text []byte, into any) error {
	err := json.Unmarshal(text, into)
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		of := strings.Split(strings.TrimPrefix(t.Field, "."), ".")
		for i, f := range of {
			if f != "" {
				of[i] = strings.ToLower(f[:1]) + f[1:]
			}
		}
		return fmt.Errorf("%s: want %s, got %s", strings.Join(of, "."), t.Type, t.Value)
	}
	return err
}

// check finds what no deployment can mean. Other figures below 0 switch off what they bound.
func (w *settingsObject) check() error {
	named := map[string]int{}
	for i, c := range w.Lanes {
		if c.Name == "" {
			return fmt.Errorf("lanes[%d].name: missing", i)
		}
		if j, twice := named[c.Name]; twice {
			return fmt.Errorf("lanes[%d].name: %q is the name of lanes[%d] too", i, c.Name, j)
		}
		named[c.Name] = i
		if c.HardLimit < 0 {
			return fmt.Errorf("lanes[%d].hardLimit: want milliseconds from 0 up, got %v", i, c.HardLimit)
		}
	}
	if w.Balancers < 0 {
		return fmt.Errorf("balancers: want a number from 0 up, got %d", w.Balancers)
	}
	if w.FamilyInfo.ClearWait < 0 {
		return fmt.Errorf("familyInfo.clearWait: want milliseconds from 0 up, got %v", w.FamilyInfo.ClearWait)
	}
	return nil
}

// Decode turns the object into the module's settings; the second result is the reports' fields.
func Decode(text []byte, seed uint64) (*routing.Settings, []string, error) {
	var object settingsObject
	if err := unmarshal(text, &object); err != nil {
		return nil, nil, err
	}
	if err := object.check(); err != nil {
		return nil, nil, err
	}
	settings := &routing.Settings{
		Gateways:           object.Balancers,
		GatewayIndex:       object.Me,
		Seed:               seed,
		TickInterval:       object.Tick,
		MaxAttempts:        object.Allowed.MaxAttempts,
		ProbeEnabled:       object.Allowed.Probes,
		GossipEnabled:      object.Allowed.Peers,
		CancelEnabled:      object.Allowed.Cancel,
		RetryAfterEnabled:  object.Allowed.RetryAfter,
		MaxRetryAfter:      object.Allowed.MaxRetryAfter,
		LoadReportsByProbe: object.Stats.How == "on_probe",
		RetransmitInterval: object.FamilyInfo.Retransmit,
		AnswerGrace:        object.Rules.AnswerSlack,
		SlowStartFraction:  object.Rules.ColdShare,
		SlowStartDuration:  object.Rules.WarmWithin,
		OverloadFactor:     object.Rules.TipMultiple,
		OverloadWindow:     object.Rules.Fall,
		RetryHoldOff:       object.FamilyInfo.ClearWait,
	}
	for i, lane := range object.Lanes {
		class := &routing.Class{
			Name:               lane.Name,
			LatencyObjective:   lane.Aim,
			Timeout:            lane.HardLimit,
			LateWeightFraction: lane.LateWorth,
			Weight:             1,
			Idempotent:         lane.Semantics == "pure" || lane.Semantics == "",
		}
		if lane.Worth != nil {
			class.Weight = *lane.Worth
		}
		if i < len(object.FamilyInfo.CallLength) {
			class.MeanHoldingTime = object.FamilyInfo.CallLength[i]
		}
		if i < len(object.FamilyInfo.SkilledPools) {
			class.AllowedDestinations = map[int]bool{}
			for _, n := range object.FamilyInfo.SkilledPools[i] {
				class.AllowedDestinations[n] = true
			}
		}
		settings.Classes = append(settings.Classes, class)
	}
	for _, lane := range object.Realms {
		settings.Tenants = append(settings.Tenants, &routing.Tenant{Name: lane.Name})
	}
	return settings, object.Stats.Fields, nil
}

// Connections is what the settings say of connections. Times are milliseconds.
type Connections struct {
	ConnectTimeout  float64 // one that is not up by then is refused
	IdleTimeout     float64 // idle ones are closed after this
	MaxPendingCalls int     // open calls of one gateway
}

// DecodeConnections reads what the object says of connections.
func DecodeConnections(text []byte) (Connections, error) {
	var object struct {
		Allowed struct {
			ConnectTimeout, ConnIdle float64
			MostHeld                 int
		}
	}
	if err := unmarshal(text, &object); err != nil {
		return Connections{}, err
	}
	return Connections{
		ConnectTimeout:  object.Allowed.ConnectTimeout,
		IdleTimeout:     object.Allowed.ConnIdle,
		MaxPendingCalls: object.Allowed.MostHeld,
	}, nil
}
