// Package workload draws the calls of a plan from a seed, before any is sent: arrival time, gateway, number, class and
// holding time of each. The plan does not depend on how calls are answered.
package workload

//tally:standin

import (
	"fmt"
	"math"

	"cobaltpier/api"
	"cobaltpier/internal/hclconfig"
	"cobaltpier/internal/protocol/siptransaction"
)

// Plan describes the calls to draw. Times are milliseconds.
type Plan struct {
	Seed      uint64
	Rate      float64 // calls a second, the mean over the shape
	Length    float64
	Shape     string  // steady, ramp, surge, day, bursts
	Swing     float64 // ramp: from 1-swing to 1+swing times the rate; surge, bursts: the peak is 1+swing times
	Every     float64 // bursts: interval between their starts
	Gateways  int
	Uneven    float64 // spread of the gateways' shares, up and down
	Drift     float64 // the destinations' shares change at this interval
	Groups    []string
	Skew      float64 // spread of the destinations' shares, up and down
	Numbers   int
	Skills    []Skill
	Customers []Customer
}

// Skill is a class of calls.
type Skill struct {
	Name                  string
	Share, Hold, Patience float64
}

// Customer is a tenant with its share of the calls.
type Customer struct {
	Name  string
	Share float64
}

// Shapes are the known shapes of the rate over time.
var Shapes = []string{"steady", "ramp", "surge", "day", "bursts"}

// ReadPlan reads a plan from a configuration block.
func ReadPlan(block *hclconfig.Block) (*Plan, error) {
	const day = 24 * 3600 * 1000.0
	plan := &Plan{
		Seed:     uint64(block.Int("seed", 1, 0, 1<<31)),
		Rate:     block.Num("rate", 100, 0.001, 1e6),
		Length:   block.Ms("length", 30000, 1, day),
		Shape:    block.Text("shape", "steady", Shapes...),
		Swing:    block.Num("swing", 0.8, 0, 20),
		Every:    block.Ms("every", 5000, 1, day),
		Gateways: block.Int("gateways", 1, 1, 100000),
		Uneven:   block.Num("uneven", 0, 0, 1),
		Drift:    block.Ms("drift", 15000, 1, day),
		Groups:   block.TextList("groups"),
		Skew:     block.Num("skew", 0, 0, 1),
		Numbers:  block.Int("numbers", 100000, 1, 1<<30),
	}
	for _, skill := range block.Blocks("skill", 1) {
		plan.Skills = append(
			plan.Skills,
			Skill{
				skill.Labels[0],
				skill.Num("share", 1, 0, 1),
				skill.Ms("hold", 3000, 0, day),
				skill.Ms("patience", 9000, 1000, day),
			},
		)
	}
	if len(plan.Skills) == 0 {
		plan.Skills = []Skill{{"shift-lookup", 1, 3000, 9000}}
	}
	for _, customer := range block.Blocks("customer", 1) {
		plan.Customers = append(plan.Customers, Customer{customer.Labels[0], customer.Num("share", 1, 0, 1)})
	}
	if len(plan.Customers) == 0 {
		plan.Customers = []Customer{{"laurentide.example", 1}}
	}
	if len(plan.Groups) == 0 {
		plan.Groups = []string{"TG-0"}
	}
	return plan, block.Err()
}

// RateFactor returns the rate at a time as a multiple of the mean rate.
func (p *Plan) RateFactor(atMs float64) float64 {
	progress := atMs / p.Length
	switch p.Shape {
	case "ramp":
		return 1 + p.Swing*(2*progress-1)*math.Min(1, 1/math.Max(p.Swing, 1e-9))
	case "surge": // a steep rise and a slow decline, as when callers react to a published roster within minutes
		fromPeak := (progress - 0.35) / 0.08
		if progress > 0.35 {
			fromPeak = (progress - 0.35) / 0.25
		}
		return (1 + p.Swing*math.Exp(-fromPeak*fromPeak)) / (1 + p.Swing*0.292)
	case "day":
		return 1 + math.Min(1, p.Swing)*math.Sin(2*math.Pi*(progress-0.25))
	case "bursts":
		if math.Mod(atMs, p.Every) < p.Every/5 {
			return (1 + p.Swing) / (1 + p.Swing/5)
		}
		return 1 / (1 + p.Swing/5)
	}
	return 1
}

// Calls draws the calls: a Poisson process whose rate follows the shape.
func (p *Plan) Calls() []*api.Call {
	random := &siptransaction.Generator{Seed: p.Seed}
	peak := 0.0
	for i := range 1000 {
		peak = math.Max(peak, p.RateFactor(p.Length*float64(i)/1000))
	}
	drawShares := func(count int, spread float64) []float64 {
		shares := make([]float64, count)
		for i := range shares {
			shares[i] = 1 + spread*(2*random.Float64()-1)
		}
		return shares
	}
	gatewayShares := drawShares(p.Gateways, p.Uneven)
	var groupShares []float64
	segment := -1
	var calls []*api.Call
	for atMs := 0.0; ; {
		atMs += -math.Log(1-random.Float64()) * 1000 / (p.Rate * peak)
		if atMs >= p.Length {
			return calls
		}
		if random.Float64()*peak > p.RateFactor(atMs) {
			continue
		}
		if current := int(atMs / p.Drift); current != segment {
			segment, groupShares = current, drawShares(len(p.Groups), p.Skew)
		}
		skill := p.Skills[PickWeighted(random.Float64(), len(p.Skills), func(i int) float64 { return p.Skills[i].Share })]
		calls = append(
			calls,
			&api.Call{
				AtMs: atMs,
				Gateway: uint32(PickWeighted(random.Float64(), len(gatewayShares),
					func(i int) float64 { return gatewayShares[i] })),
				Number: fmt.Sprintf("+1418%07d", int(random.Float64()*float64(p.Numbers))),
				Skill:  skill.Name,
				Customer: p.Customers[PickWeighted(random.Float64(), len(p.Customers),
					func(i int) float64 { return p.Customers[i].Share })].Name,
				Group: p.Groups[PickWeighted(random.Float64(), len(groupShares),
					func(i int) float64 { return groupShares[i] })],
				HoldMs:     -math.Log(1-random.Float64()) * skill.Hold,
				PatienceMs: skill.Patience,
			},
		)
	}
}

// PickWeighted returns an index below n, drawn by weight; u is uniform in [0, 1).
func PickWeighted(u float64, n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	u *= sum
	for i := range n {
		if u -= weight(i); u < 0 {
			return i
		}
	}
	return n - 1
}
