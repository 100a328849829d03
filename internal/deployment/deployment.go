// Package deployment decodes a deployment's settings from the platform's JSON, which has the same format on the
// simulator's wire and in a gateway's configuration. It also sets the load report fields that the settings name.
package deployment

import (
	"encoding/json"
	"errors"
	"fmt"

	"cobaltpier/internal/routing"
)

// loadReportFields holds a setter for each field of a load report, by the name that the settings use.
var loadReportFields = map[string]func(*routing.LoadReport, float64){
	"free":      func(r *routing.LoadReport, v float64) { r.Free = v },
	"size":      func(r *routing.LoadReport, v float64) { r.Capacity = v },
	"q":         func(r *routing.LoadReport, v float64) { r.QueueLength = v },
	"busy":      func(r *routing.LoadReport, v float64) { r.Utilization = v },
	"lat_ms":    func(r *routing.LoadReport, v float64) { r.QueueDelay = v },
	"can_take":  func(r *routing.LoadReport, v float64) { r.RateLimit = v },
	"hold_back": func(r *routing.LoadReport, v float64) { r.LossFraction = v },
}

// SetLoadReportField sets a field of a load report by its name in the settings. A negative value means unknown and is
// ignored. It returns true if it has set a field that reports the processor's load, not the number of lines.
func SetLoadReportField(report *routing.LoadReport, field string, value float64) bool {
	set := loadReportFields[field]
	if set == nil || !(value >= 0) {
		return false
	}
	set(report, value)
	return field != "free" && field != "size"
}

// settingsObject is the part of the settings that a gateway reads, as the platform writes it.
type settingsObject struct {
	Allowed struct {
		Cancel        bool    `json:"cancel"`
		Gossip        bool    `json:"peers"`
		Probes        bool    `json:"probes"`
		RetryAfter    bool    `json:"retryAfter"`
		MaxAttempts   int     `json:"maxAttempts"`
		MaxRetryAfter float64 `json:"maxRetryAfter"`
	} `json:"allowed"`
	Gateways     int     `json:"balancers"`
	GatewayIndex int     `json:"me"`
	TickInterval float64 `json:"tick"`
	Calls        struct {
		MeanHoldingTimes    []float64 `json:"callLength"`   // by class
		AllowedDestinations [][]int   `json:"skilledPools"` // by class
		RetryHoldOff        float64   `json:"clearWait"`
		RetransmitInterval  float64   `json:"retransmit"`
	} `json:"familyInfo"`
	Classes []classObject `json:"lanes"`
	Tenants []struct {
		Name string `json:"name"`
	} `json:"realms"`
	Rules struct {
		AnswerGrace       float64 `json:"answerSlack"`
		SlowStartFraction float64 `json:"coldShare"`
		SlowStartDuration float64 `json:"warmWithin"`
		OverloadFactor    float64 `json:"tipMultiple"`
		OverloadWindow    float64 `json:"fall"`
	} `json:"rules"`
	LoadReports struct {
		Fields   []string `json:"fields"`
		Delivery string   `json:"how"`
	} `json:"stats"`
}

// classObject is a class. The latency that is aimed at and the worth of later answers are checked and not used: a
// deployment is scored by them, and calls are routed by the time that their callers have.
type classObject struct {
	Name             string   `json:"name"`
	Semantics        string   `json:"semantics"`
	LatencyObjective float64  `json:"aim"`
	Timeout          float64  `json:"hardLimit"`
	LateWorth        float64  `json:"lateWorth"`
	Weight           *float64 `json:"worth"`
}

// Values in the platform's settings.
const (
	semanticsPure   = "pure" // a setup may be executed twice
	deliveryByProbe = "on_probe"
)

// unmarshal decodes JSON. Type errors name the field as the platform spells it.
func unmarshal(text []byte, into any) error {
	err := json.Unmarshal(text, into)
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return fmt.Errorf("%s: want %s, got %s", typeError.Field, typeError.Type, typeError.Value)
	}
	return err
}

// validate rejects settings that are invalid in every deployment. Other negative values are allowed: they switch off
// the limit that they set.
func (o *settingsObject) validate() error {
	indexes := map[string]int{}
	for i, class := range o.Classes {
		if class.Name == "" {
			return fmt.Errorf("lanes[%d].name: missing", i)
		}
		if j, duplicate := indexes[class.Name]; duplicate {
			return fmt.Errorf("lanes[%d].name: %q is the name of lanes[%d] too", i, class.Name, j)
		}
		indexes[class.Name] = i
		if class.Timeout < 0 {
			return fmt.Errorf("lanes[%d].hardLimit: want milliseconds from 0 up, got %v", i, class.Timeout)
		}
	}
	if o.Gateways < 0 {
		return fmt.Errorf("balancers: want a number from 0 up, got %d", o.Gateways)
	}
	if o.Calls.RetryHoldOff < 0 {
		return fmt.Errorf("familyInfo.clearWait: want milliseconds from 0 up, got %v", o.Calls.RetryHoldOff)
	}
	return nil
}

// Decode decodes the routing settings, and the names of the load report fields in their order.
func Decode(text []byte, seed uint64) (*routing.Settings, []string, error) {
	var object settingsObject
	if err := unmarshal(text, &object); err != nil {
		return nil, nil, err
	}
	if err := object.validate(); err != nil {
		return nil, nil, err
	}
	settings := &routing.Settings{
		Gateways:           object.Gateways,
		GatewayIndex:       object.GatewayIndex,
		Seed:               seed,
		TickInterval:       object.TickInterval,
		MaxAttempts:        object.Allowed.MaxAttempts,
		ProbeEnabled:       object.Allowed.Probes,
		GossipEnabled:      object.Allowed.Gossip,
		CancelEnabled:      object.Allowed.Cancel,
		RetryAfterEnabled:  object.Allowed.RetryAfter,
		MaxRetryAfter:      object.Allowed.MaxRetryAfter,
		LoadReportsByProbe: object.LoadReports.Delivery == deliveryByProbe,
		RetransmitInterval: object.Calls.RetransmitInterval,
		AnswerGrace:        object.Rules.AnswerGrace,
		SlowStartFraction:  object.Rules.SlowStartFraction,
		SlowStartDuration:  object.Rules.SlowStartDuration,
		OverloadFactor:     object.Rules.OverloadFactor,
		OverloadWindow:     object.Rules.OverloadWindow,
		RetryHoldOff:       object.Calls.RetryHoldOff,
	}
	for i := range object.Classes {
		settings.Classes = append(settings.Classes, object.class(i))
	}
	for _, tenant := range object.Tenants {
		settings.Tenants = append(settings.Tenants, &routing.Tenant{Name: tenant.Name})
	}
	return settings, object.LoadReports.Fields, nil
}

func (o *settingsObject) class(i int) *routing.Class {
	object := &o.Classes[i]
	class := &routing.Class{
		Name:       object.Name,
		Timeout:    object.Timeout,
		Weight:     1,
		Idempotent: object.Semantics == semanticsPure || object.Semantics == "",
	}
	if object.Weight != nil {
		class.Weight = *object.Weight
	}
	if i < len(o.Calls.MeanHoldingTimes) {
		class.MeanHoldingTime = o.Calls.MeanHoldingTimes[i]
	}
	if i < len(o.Calls.AllowedDestinations) {
		class.AllowedDestinations = map[int]bool{}
		for _, destination := range o.Calls.AllowedDestinations[i] {
			class.AllowedDestinations[destination] = true
		}
	}
	return class
}

// Connections are the connection settings. Times are in milliseconds.
type Connections struct {
	ConnectTimeout  float64 // after this an attempt to connect is aborted
	IdleTimeout     float64 // after this an idle connection is closed
	MaxPendingCalls int     // per gateway
}

// DecodeConnections decodes the connection settings.
func DecodeConnections(text []byte) (Connections, error) {
	var object struct {
		Allowed struct {
			ConnectTimeout float64 `json:"connectTimeout"`
			IdleTimeout    float64 `json:"connIdle"`
			MaxPending     int     `json:"mostHeld"`
		} `json:"allowed"`
	}
	if err := unmarshal(text, &object); err != nil {
		return Connections{}, err
	}
	return Connections{
		ConnectTimeout:  object.Allowed.ConnectTimeout,
		IdleTimeout:     object.Allowed.IdleTimeout,
		MaxPendingCalls: object.Allowed.MaxPending,
	}, nil
}
