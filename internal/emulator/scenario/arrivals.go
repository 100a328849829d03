package scenario

import (
	"fmt"
	"math"
	"slices"

	"cobaltpier/internal/emulator/callers"
	"cobaltpier/internal/emulator/scenariofile"
	"cobaltpier/internal/emulator/workload"
	"cobaltpier/internal/protocol/siptransaction"
)

//tally:standin

// lastArrivalMargin is how long before the scenario's end the last call arrives, in ms.
const lastArrivalMargin = 1000

// planArrivals plans all calls: those of the script's trace if it has one, otherwise random ones.
func (st *Scenario) planArrivals() {
	switch {
	case len(st.Script.Calls) > 0:
		st.replay()
	case st.Script.Load.Rate > 0:
		st.drawArrivals()
	}
}

// drawArrivals draws a Poisson process at the highest rate of the scenario and thins it to the rate at each time.
func (st *Scenario) drawArrivals() {
	draw := newArrivalDraw(st)
	for at := 0.0; ; {
		at += -math.Log(1-st.random.Float64()) * 1000 / (st.Script.Load.Rate * draw.peak)
		if at >= st.Script.Length-lastArrivalMargin {
			break
		}
		factor, gateway := draw.rateAndGateway(at)
		if st.random.Float64()*draw.peak >= factor {
			continue
		}
		st.Gateways[gateway].Callers.Plan(draw.arrival(at))
	}
	for _, t := range st.Script.Faults {
		if t.Kind == "flood" {
			st.flood(t)
		}
	}
	for _, g := range st.Gateways {
		g.callersNode.ScheduleWakeup()
	}
}

// arrivalDraw is the state of drawing arrivals.
type arrivalDraw struct {
	scenario *Scenario
	random   *siptransaction.Generator
	peak     float64       // highest rate divided by the script's rate
	favoured map[int][]int // gateways that get more than their share, by index of the "uneven" fault
	segment  int           // index of the current segment; weights are redrawn between segments
	weights  []float64     // of the trunk groups in the current segment
}

func newArrivalDraw(st *Scenario) *arrivalDraw {
	draw := &arrivalDraw{scenario: st, random: &st.random, peak: 1, favoured: map[int][]int{}, segment: -1}
	for i, t := range st.Script.Faults {
		switch t.Kind {
		case "burst":
			draw.peak *= math.Max(1, t.Size)
		case "uneven":
			draw.favoured[i] = draw.someGateways(t.Part)
		}
	}
	return draw
}

// someGateways draws a share of the gateways, at least one, with replacement.
func (draw *arrivalDraw) someGateways(share float64) []int {
	count := float64(len(draw.scenario.Gateways))
	var gateways []int
	for range max(1, int(share*count)) {
		gateways = append(gateways, int(draw.random.Float64()*count))
	}
	slices.Sort(gateways)
	return slices.Compact(gateways)
}

// rateAndGateway returns the rate at a time, divided by the script's rate, and the gateway of a call that arrives
// then.
func (draw *arrivalDraw) rateAndGateway(at float64) (factor float64, gateway int) {
	factor = 1
	gateway = int(draw.random.Float64() * float64(len(draw.scenario.Gateways)))
	for i, t := range draw.scenario.Script.Faults {
		if at < t.At || at >= t.At+t.For {
			continue
		}
		switch t.Kind {
		case "burst":
			factor *= t.Size
		case "uneven":
			if draw.random.Float64() < t.Size {
				favoured := draw.favoured[i]
				gateway = favoured[int(draw.random.Float64()*float64(len(favoured)))]
			}
		}
	}
	return factor, gateway
}

// arrival draws a call that arrives at a time.
func (draw *arrivalDraw) arrival(at float64) *callers.Arrival {
	st, random := draw.scenario, draw.random
	draw.updateWeights(at)
	classes, tenants := st.Script.Classes, st.Script.Tenants
	classIndex := workload.PickWeighted(random.Float64(), len(classes), func(i int) float64 { return classes[i].Share })
	tenantIndex := workload.PickWeighted(random.Float64(), len(tenants), func(i int) float64 { return tenants[i].Share })
	destination := workload.PickWeighted(random.Float64(), len(draw.weights),
		func(i int) float64 { return draw.weights[i] })
	class := classes[classIndex]
	number, group := fmt.Sprintf("+1418%07d", int(random.Float64()*float64(st.Script.Load.Numbers))), Group(destination)
	if st.Numbering != nil {
		number, group = st.dialledNumber(destination, random.Float64()), ""
	}
	return &callers.Arrival{
		At:                 at,
		Number:             number,
		Class:              class.Name,
		Tenant:             tenants[tenantIndex].Name,
		Group:              group,
		HoldingTime:        -math.Log(1-random.Float64()) * class.Hold,
		LatencyObjective:   class.Target,
		Timeout:            class.Patience,
		AttemptTimeout:     class.Try,
		Weight:             class.Value,
		LateWeightFraction: class.Late,
	}
}

// updateWeights redraws the trunk groups' weights when a segment begins.
func (draw *arrivalDraw) updateWeights(at float64) {
	load := draw.scenario.Script.Load
	segment := int(at / load.Drift)
	if segment == draw.segment {
		return
	}
	draw.segment, draw.weights = segment, nil
	for _, p := range draw.scenario.endpoints {
		draw.weights = append(draw.weights, (1+load.Skew*(2*draw.random.Float64()-1))/p.model.Setup)
	}
}

// replay plans the calls of a trace.
func (st *Scenario) replay() {
	classes := map[string]scenariofile.Class{}
	for _, class := range st.Script.Classes {
		classes[class.Name] = class
	}
	for _, c := range st.Script.Calls {
		class, ok := classes[c.Skill]
		if !ok {
			class = st.Script.Classes[0]
		}
		timeout, holdingTime := c.PatienceMs, c.HoldMs
		if timeout == 0 {
			timeout = class.Patience
		}
		if holdingTime == 0 {
			holdingTime = class.Hold
		}
		g := st.Gateways[int(c.Gateway)%len(st.Gateways)]
		g.Callers.Plan(
			&callers.Arrival{
				At:                 c.AtMs,
				Number:             c.Number,
				Class:              class.Name,
				Tenant:             c.Customer,
				Group:              c.Group,
				HoldingTime:        holdingTime,
				LatencyObjective:   class.Target,
				Timeout:            timeout,
				AttemptTimeout:     math.Min(class.Try, timeout),
				Weight:             class.Value,
				LateWeightFraction: class.Late,
			},
		)
	}
	for _, g := range st.Gateways {
		g.callersNode.ScheduleWakeup()
	}
}

// flood plans many calls of the class of the lowest value, all to one gateway.
func (st *Scenario) flood(t scenariofile.Fault) {
	s, random := st.Script, &st.random
	lowest := s.Classes[0]
	for _, class := range s.Classes {
		if class.Value < lowest.Value {
			lowest = class
		}
	}
	end := math.Min(t.At+t.For, s.Length-lastArrivalMargin)
	for at := t.At; at < end; at += -math.Log(1-random.Float64()) * 1000 / (s.Load.Rate * t.Size) {
		number, group := fmt.Sprintf("+1999%07d", int(random.Float64()*1e7)), Group(0)
		if st.Numbering != nil {
			number, group = st.dialledNumber(int(random.Float64()*float64(len(st.endpoints))), random.Float64()), ""
		}
		st.Gateways[0].Callers.Plan(&callers.Arrival{At: at, Number: number, Class: lowest.Name,
			Tenant: s.Tenants[0].Name, Group: group, HoldingTime: lowest.Hold, LatencyObjective: lowest.Target,
			Timeout:        lowest.Patience,
			AttemptTimeout: lowest.Try, Weight: lowest.Value, LateWeightFraction: lowest.Late, OverQuota: true})
	}
}
