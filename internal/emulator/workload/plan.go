// Package workload draws calls ahead from a seed: when each is meant to come, where and what for. What is planned does
// not depend on any answer.
package workload

//tally:standin

import (
	"fmt"
	"math"

	"cobaltpier/api"
	"cobaltpier/internal/hclconfig"
	"cobaltpier/internal/protocol/siptransaction"
)

// Plan says what comes. Times are milliseconds.
type Plan struct {
	Seed      uint64
	Rate      float64 // calls a second, the mean of the shape
	Length    float64
	Shape     string  // steady, ramp, surge, day, bursts
	Swing     float64 // ramp: from 1-swing to 1+swing times the rate; surge, bursts: the peak is 1+swing times
	Every     float64 // bursts: one so often
	Gateways  int
	Uneven    float64 // gateways' parts differ by so much, up or down
	Drift     float64 // destinations' parts change after so long
	Groups    []string
	Skew      float64 // destinations' parts differ by so much
	Numbers   int
	Skills    []Skill
	Customers []Share
}

// Skill is a class of calls.
type Skill struct {
	Name                  string
	Share, Hold, Patience float64
}

// Share is a tenant's part.
type Share struct {
	Name  string
	Share float64
}

// Shapes are the shapes that are known.
var Shapes = []string{"steady", "ramp", "surge", "day", "bursts"}

// Read takes a plan from settings.
func Read(b *hclconfig.Block) (*Plan, error) {
	const day = 24 * 3600 * 1000.0
	p := &Plan{
		Seed:     uint64(b.Int("seed", 1, 0, 1<<31)),
		Rate:     b.Num("rate", 100, 0.001, 1e6),
		Length:   b.Ms("length", 30000, 1, day),
		Shape:    b.Text("shape", "steady", Shapes...),
		Swing:    b.Num("swing", 0.8, 0, 20),
		Every:    b.Ms("every", 5000, 1, day),
		Gateways: b.Int("gateways", 1, 1, 100000),
		Uneven:   b.Num("uneven", 0, 0, 1),
		Drift:    b.Ms("drift", 15000, 1, day),
		Groups:   b.Texts("groups"),
		Skew:     b.Num("skew", 0, 0, 1),
		Numbers:  b.Int("numbers", 100000, 1, 1<<30),
	}
	for _, k := range b.Blocks("skill", 1) {
		p.Skills = append(
			p.Skills,
			Skill{k.Labels[0], k.Num("share", 1, 0, 1), k.Ms("hold", 3000, 0, day), k.Ms("patience", 9000, 1000, day)},
		)
	}
	if len(p.Skills) == 0 {
		p.Skills = []Skill{{"shift-lookup", 1, 3000, 9000}}
	}
	for _, c := range b.Blocks("customer", 1) {
		p.Customers = append(p.Customers, Share{c.Labels[0], c.Num("share", 1, 0, 1)})
	}
	if len(p.Customers) == 0 {
		p.Customers = []Share{{"laurentide.example", 1}}
	}
	if len(p.Groups) == 0 {
		p.Groups = []string{"TG-0"}
	}
	return p, b.Err()
}

// At is the rate at a time as a multiple of the mean rate.
func (p *Plan) At(at float64) float64 {
	x := at / p.Length
	switch p.Shape {
	case "ramp":
		return 1 + p.Swing*(2*x-1)*math.Min(1, 1/math.Max(p.Swing, 1e-9))
	case "surge": // a Thursday: rosters go up, callers come within minutes and trail off
		y := (x - 0.35) / 0.08
		if x > 0.35 {
			y = (x - 0.35) / 0.25
		}
		return (1 + p.Swing*math.Exp(-y*y)) / (1 + p.Swing*0.292)
	case "day":
		return 1 + math.Min(1, p.Swing)*math.Sin(2*math.Pi*(x-0.25))
	case "bursts":
		if math.Mod(at, p.Every) < p.Every/5 {
			return (1 + p.Swing) / (1 + p.Swing/5)
		}
		return 1 / (1 + p.Swing/5)
	}
	return 1
}

// Calls draws the calls, a Poisson stream of the shape's rate.
func (p *Plan) Calls() []*api.Call {
	n := &siptransaction.Generator{Seed: p.Seed}
	most := 0.0
	for i := range 1000 {
		most = math.Max(most, p.At(p.Length*float64(i)/1000))
	}
	part := func(count int, spread float64) []float64 {
		w := make([]float64, count)
		for i := range w {
			w[i] = 1 + spread*(2*n.Float64()-1)
		}
		return w
	}
	gates := part(p.Gateways, p.Uneven)
	var homes []float64
	segment := -1
	var of []*api.Call
	for at := 0.0; ; {
		at += -math.Log(1-n.Float64()) * 1000 / (p.Rate * most)
		if at >= p.Length {
			return of
		}
		if n.Float64()*most > p.At(at) {
			continue
		}
		if k := int(at / p.Drift); k != segment {
			segment, homes = k, part(len(p.Groups), p.Skew)
		}
		skill := p.Skills[Pick(n.Float64(), len(p.Skills), func(i int) float64 { return p.Skills[i].Share })]
		of = append(
			of,
			&api.Call{
				AtMs:    at,
				Gateway: uint32(Pick(n.Float64(), len(gates), func(i int) float64 { return gates[i] })),
				Number:  fmt.Sprintf("+1418%07d", int(n.Float64()*float64(p.Numbers))),
				Skill:   skill.Name,
				Customer: p.Customers[Pick(n.Float64(), len(p.Customers),
					func(i int) float64 { return p.Customers[i].Share })].Name,
				Group:      p.Groups[Pick(n.Float64(), len(homes), func(i int) float64 { return homes[i] })],
				HoldMs:     -math.Log(1-n.Float64()) * skill.Hold,
				PatienceMs: skill.Patience,
			},
		)
	}
}

// Pick chooses among n by weights, with a number from 0 to 1.
func Pick(u float64, n int, weight func(int) float64) int {
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
