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

// setters put a value of a load report in its place.
var setters = map[string]func(*routing.Report, float64){
	"free":      func(r *routing.Report, v float64) { r.Free = v },
	"size":      func(r *routing.Report, v float64) { r.Agents = v },
	"q":         func(r *routing.Report, v float64) { r.Queue = v },
	"busy":      func(r *routing.Report, v float64) { r.Util = v },
	"lat_ms":    func(r *routing.Report, v float64) { r.Wait = v },
	"can_take":  func(r *routing.Report, v float64) { r.Rate = v },
	"hold_back": func(r *routing.Report, v float64) { r.Holdback = v },
}

// Figure puts a value of a load report, by its name in the settings, in its place; a negative one is not known. It tells
// whether it was one of the processor's.
func Figure(into *routing.Report, field string, v float64) bool {
	set := setters[field]
	if set == nil || !(v >= 0) {
		return false
	}
	set(into, v)
	return field != "free" && field != "size"
}

// object is the keys of the settings that anybody reads; all others are passed over.
type object struct {
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

// decode reads JSON; a fault is told with the field's name as its writer spells it.
func decode(text []byte, into any) error {
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
func (w *object) check() error {
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
	var w object
	if err := decode(text, &w); err != nil {
		return nil, nil, err
	}
	if err := w.check(); err != nil {
		return nil, nil, err
	}
	s := &routing.Settings{
		Gateways: w.Balancers, Me: w.Me, Seed: seed, Tick: w.Tick,
		MaxRings: w.Allowed.MaxAttempts, MayProbe: w.Allowed.Probes, MayTell: w.Allowed.Peers,
		MayCancel: w.Allowed.Cancel, MayWait: w.Allowed.RetryAfter, MaxWait: w.Allowed.MaxRetryAfter,
		ByProbe: w.Stats.How == "on_probe", Retransmit: w.FamilyInfo.Retransmit,
		Slack: w.Rules.AnswerSlack, ColdShare: w.Rules.ColdShare,
		WarmWithin: w.Rules.WarmWithin, TipMultiple: w.Rules.TipMultiple, TipTime: w.Rules.Fall,
		ClearWait: w.FamilyInfo.ClearWait,
	}
	for i, c := range w.Lanes {
		k := &routing.Skill{Name: c.Name, Target: c.Aim, Patience: c.HardLimit, LateValue: c.LateWorth, Value: 1,
			Repeat: c.Semantics == "pure" || c.Semantics == ""}
		if c.Worth != nil {
			k.Value = *c.Worth
		}
		if i < len(w.FamilyInfo.CallLength) {
			k.Hold = w.FamilyInfo.CallLength[i]
		}
		if i < len(w.FamilyInfo.SkilledPools) {
			k.Pools = map[int]bool{}
			for _, n := range w.FamilyInfo.SkilledPools[i] {
				k.Pools[n] = true
			}
		}
		s.Skills = append(s.Skills, k)
	}
	for _, c := range w.Realms {
		s.Customers = append(s.Customers, &routing.Customer{Name: c.Name})
	}
	return s, w.Stats.Fields, nil
}

// Links is what the settings say of connections. Times are milliseconds.
type Links struct {
	ConnectTimeout float64 // one that is not up by then is refused
	Idle           float64 // idle ones are closed after this
	MostHeld       int     // open contacts of one gateway
}

// DecodeLinks reads what the object says of connections.
func DecodeLinks(text []byte) (Links, error) {
	var w struct {
		Allowed struct {
			ConnectTimeout, ConnIdle float64
			MostHeld                 int
		}
	}
	if err := decode(text, &w); err != nil {
		return Links{}, err
	}
	return Links{ConnectTimeout: w.Allowed.ConnectTimeout, Idle: w.Allowed.ConnIdle, MostHeld: w.Allowed.MostHeld}, nil
}
