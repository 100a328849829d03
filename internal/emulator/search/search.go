// Package search looks for scenarios that break a rule or serve callers worst. It draws small random scenarios, mutates
// the worst ones, and reduces what it finds to the smallest scenario that still reproduces it.
package search

//tally:standin

import (
	"context"
	"fmt"
	"math"
	"sync"

	"cobaltpier/internal/emulator/scenario"
	"cobaltpier/internal/emulator/scenariofile"
	"cobaltpier/internal/emulator/virtualrun"
	"cobaltpier/internal/protocol/siptransaction"
)

// Find is a scenario that breaks a rule or serves callers badly.
type Find struct {
	Script *scenariofile.Script
	Rule   int     // the broken rule, 0 for bad service only, or TableFinding for a call routed by the wrong number table
	What   string  // the first finding of the checker
	Score  float64 // higher is worse; at least 10 for a broken rule
}

// TableFinding is the value of Find.Rule for findings about number tables.
const TableFinding = 6

// Options configure a search.
type Options struct {
	Days     int
	Seed     uint64
	Large    bool                                          // draws scenarios with up to 40 gateways
	Simulate func(*scenariofile.Script) *virtualrun.Result // runs a scenario; nil: with the project's own policy
	Found    func(Find)                                    // called at once, so that an interrupted search loses none
	Progress func(done int, worst float64)
}

// Result holds the outcome of a search.
type Result struct {
	Days               int
	Broken             []Find
	Worst              []Find               // scenarios that break no rule, worst service first, at most ten
	MaxSlowStartUse    float64              // highest share of a slow-start budget that was used
	MaxSlowStartScript *scenariofile.Script // scenario with that share
}

// faultKinds are the kinds of fault that a search draws, with the range of their sizes.
var faultKinds = []struct {
	name   string
	lo, hi float64
}{
	{"burst", 1.2, 3},
	{"uneven", 0.2, 0.7},
	{"slow", 1.5, 6},
	{"slow_all", 1.2, 3},
	{"other", 0.2, 0.8},
	{"lines", 0.2, 0.8},
	{"silent", 1, 1},
	{
		"ageing",
		2,
		10,
	},
	{"deploy", 1, 1},
	{"region", 1, 1},
	{"stall", 0.3, 2.5},
	{"restart", 1, 1},
	{"mute", 1, 1},
	{"loss", 0.01, 0.2},
	{"listless", 1, 1},
}

// Draw returns a small random scenario.
func Draw(seed uint64, large bool) *scenariofile.Script {
	rng := &siptransaction.Generator{Seed: seed ^ 0x5bd1e995}
	between := func(lo, hi float64) float64 { return lo + (hi-lo)*rng.Float64() }
	intBetween := func(lo, hi int) int { return lo + int(rng.Float64()*float64(hi-lo+1)) }
	s := Plain()
	s.Seed, s.Length = seed, between(8000, 14000)
	s.Gateways.Count, s.Pools.Count = intBetween(1, 6), intBetween(2, 4)
	if large {
		s.Gateways.Count, s.Pools.Count = intBetween(10, 40), intBetween(3, 8)
	}
	s.Gateways.Cancel, s.Gateways.Tell = rng.Float64() < 0.7, rng.Float64() < 0.7
	s.Gateways.Tick = []float64{1, 5, 10}[intBetween(0, 2)]
	s.Pools.Model.WorksOn, s.Pools.Model.NamesWait = rng.Float64() < 0.5, rng.Float64() < 0.5
	s.Pools.Model.Reports = [][]string{{"util", "queue"}, {"rate"}, {"loss", "wait"}, {"wait"}}[intBetween(0, 3)]
	s.Pools.Model.ErrorRate = []float64{0, 0.001, 0.02}[intBetween(0, 2)]
	s.Pools.Model.WaitLimit = between(800, 4000)
	s.Pools.Spread = between(0, 0.6)
	s.Rules.ColdShare = between(0.2, 0.5)
	s.Pools.Model.ColdShare, s.Pools.Model.Warm = s.Rules.ColdShare, between(4000, 14000)
	s.Net.Double, s.Net.Jitter = []float64{0, 0.01, 0.1}[intBetween(0, 2)], between(0, 0.9)
	s.Net.Loss = []float64{0, 0, 0.005, 0.03}[intBetween(0, 3)]
	work := s.Pools.Model.Setup + s.Pools.Model.Answer + s.Pools.Model.Release
	s.Load.Rate = between(0.5, 1.25) * float64(s.Pools.Count) * 1000 / work
	s.List.SilentLo, s.List.SilentHi, s.List.NoticeHi = 1000, between(1500, 6000), between(800, 4000)
	for range intBetween(1, 4) {
		s.Faults = append(s.Faults, randomFault(rng, s))
	}
	if rng.Float64() < 0.5 {
		addNumberAnalysis(rng, s)
	}
	return s
}

// dnsFaultKinds are the faults of DNS servers, with the range of their sizes.
var dnsFaultKinds = []struct {
	name   string
	lo, hi float64
}{{"names_silent", 1, 1}, {"names_slow", 0.05, 2}, {"names_lossy", 0.1, 0.9}, {"names_spoofed", 1, 40}, {"names_cut",
	0.1, 1}, {"names_lame", 1, 1},
	{"names_wrong", 0.1, 1}}

// addNumberAnalysis turns on number analysis in a scenario, with changing number tables and DNS server faults. In some
// scenarios it replaces a share of the callers by ENUM clients, which look up the endpoint themselves.
func addNumberAnalysis(rng *siptransaction.Generator, s *scenariofile.Script) {
	between := func(lo, hi float64) float64 { return lo + (hi-lo)*rng.Float64() }
	oneOf := func(values ...float64) float64 { return values[int(rng.Float64()*float64(len(values)))] }
	s.Numbers = scenariofile.Numbers{
		On:      true,
		Change:  oneOf(0, 300, 1000, 3000),
		Ported:  between(0, 0.6),
		None:    between(0, 0.3),
		Leads:   between(0, 0.6),
		TTL:     oneOf(0, 1000, 60000),
		Delay:   between(0, 40),
		Jitter:  between(0, 60),
		Servers: 1 + int(rng.Float64()*3),
		Within:  between(50, 2500),
		Share:   between(0.05, 0.9),
		Popular: oneOf(1, 3, 8),
		Cache:   rng.Float64() < 0.8,
		Refuse:  rng.Float64() < 0.5,
		Stale:   oneOf(0, 600e3),
		Fail:    oneOf(0, 1000),
	}
	for range int(rng.Float64() * 3) {
		kind := dnsFaultKinds[int(rng.Float64()*float64(len(dnsFaultKinds)))]
		s.Faults = append(
			s.Faults,
			scenariofile.Fault{
				Kind: kind.name,
				At:   500 + rng.Float64()*s.Length*0.6,
				For:  300 + rng.Float64()*s.Length*0.5,
				Part: 0.1 + 0.9*rng.Float64(),
				Size: between(kind.lo, kind.hi),
			},
		)
	}
	if rng.Float64() < 0.6 {
		share := between(0.1, 0.9)
		s.ENUMClients = scenariofile.ENUMClients{
			Rate:    s.Load.Rate * share,
			Hold:    between(1000, 6000),
			Loss:    oneOf(0, 0.02, 0.2),
			Wait:    between(200, 1500),
			Repeats: int(rng.Float64() * 4),
			Asks:    int(rng.Float64() * 4),
		}
		s.Load.Rate *= 1 - share
	}
}

func randomFault(rng *siptransaction.Generator, s *scenariofile.Script) scenariofile.Fault {
	kind := faultKinds[int(rng.Float64()*float64(len(faultKinds)))]
	fault := scenariofile.Fault{
		Kind: kind.name,
		At:   500 + rng.Float64()*s.Length*0.6,
		For:  300 + rng.Float64()*s.Length*0.5,
		Part: 0.1 + 0.8*rng.Float64(),
		Size: kind.lo + (kind.hi-kind.lo)*rng.Float64(),
	}
	if kind.name == "region" || kind.name == "lines" {
		fault.Region = s.Regions[int(rng.Float64()*float64(len(s.Regions)))]
	}
	return fault
}

// Plain returns the scenario that random ones start from. Its core switches are slow, so that few calls load them.
func Plain() *scenariofile.Script {
	s, err := scenario.BuiltIn("plain")
	if err != nil {
		panic(err) // the file is embedded in the program
	}
	return s
}

// mutate returns a copy of a scenario with one random change.
func mutate(s *scenariofile.Script, seed uint64) *scenariofile.Script {
	rng := &siptransaction.Generator{Seed: seed}
	mutant := *s
	mutant.Faults = append([]scenariofile.Fault{}, s.Faults...)
	switch int(rng.Float64() * 6) {
	case 0:
		mutant.Seed = seed
	case 1:
		if len(mutant.Faults) < 6 {
			mutant.Faults = append(mutant.Faults, randomFault(rng, &mutant))
		}
	case 2:
		if len(mutant.Faults) > 0 {
			i := int(rng.Float64() * float64(len(mutant.Faults)))
			mutant.Faults[i].At, mutant.Faults[i].For =
				500+rng.Float64()*mutant.Length*0.6, 300+rng.Float64()*mutant.Length*0.5
		}
	case 3:
		if len(mutant.Faults) > 0 {
			i := int(rng.Float64() * float64(len(mutant.Faults)))
			mutant.Faults[i].Part = 0.1 + 0.8*rng.Float64()
			mutant.Faults[i].Size *= 0.7 + 0.6*rng.Float64()
		}
	case 4:
		mutant.Load.Rate *= 0.8 + 0.4*rng.Float64()
	default:
		mutant.Gateways.Count = max(1, mutant.Gateways.Count+int(rng.Float64()*5)-2)
	}
	return &mutant
}

// Judge rates the result of a scenario. A broken rule scores at least 10; otherwise the score is the share of calls not
// served.
func Judge(s *scenariofile.Script, r *virtualrun.Result) Find {
	f := Find{Script: s, Score: 1 - r.Service.Total}
	if len(r.Findings) > 0 {
		f.Rule, f.What, f.Score = r.Findings[0].Rule, r.Findings[0].String(), 10+float64(len(r.Findings))
	} else if r.Tables != nil && len(r.Tables.Findings) > 0 {
		f.Rule, f.What, f.Score = TableFinding, r.Tables.Findings[0], 10+float64(len(r.Tables.Findings))
	} else if r.Service.OverloadedSwitches > 0 {
		f.What = fmt.Sprintf("%d switches were pushed over", r.Service.OverloadedSwitches)
	}
	return f
}

// Run searches until all scenarios have run or ctx ends. The result holds what was found up to then.
func Run(ctx context.Context, o Options) *Result {
	if o.Simulate == nil {
		o.Simulate = func(s *scenariofile.Script) *virtualrun.Result {
			return virtualrun.Run(s, virtualrun.PolicyByName("brain"), virtualrun.Options{})
		}
	}
	var mu sync.Mutex
	res := &Result{}
	var elite []Find // scenarios to mutate: high use of a slow-start budget, or bad service
	guidanceScore := func(r *virtualrun.Result, f Find) float64 { return f.Score + r.Totals.SlowStartUse }
	guidance := map[*scenariofile.Script]float64{}
	virtualrun.ForEach(ctx, o.Days, func(i int) {
		seed := o.Seed*1000003 + uint64(i)
		rng := &siptransaction.Generator{Seed: seed}
		var s *scenariofile.Script
		mu.Lock()
		if len(elite) > 8 && rng.Float64() < 0.5 {
			s = mutate(elite[int(rng.Float64()*float64(len(elite)))].Script, seed)
		}
		mu.Unlock()
		if s == nil {
			s = Draw(seed, o.Large)
		}
		r := o.Simulate(s)
		f := Judge(s, r)
		mu.Lock()
		defer mu.Unlock()
		res.Days++
		if r.Totals.SlowStartUse > res.MaxSlowStartUse {
			res.MaxSlowStartUse, res.MaxSlowStartScript = r.Totals.SlowStartUse, s
		}
		guidance[s] = guidanceScore(r, f)
		elite = insertSorted(elite, f, 24, func(f Find) float64 { return guidance[f.Script] })
		if f.Rule > 0 {
			res.Broken = append(res.Broken, f)
			if o.Found != nil {
				o.Found(f)
			}
		} else {
			res.Worst = insertSorted(res.Worst, f, 10, func(f Find) float64 { return f.Score })
		}
		if o.Progress != nil && res.Days%200 == 0 && len(res.Worst) > 0 {
			o.Progress(res.Days, res.Worst[0].Score)
		}
	})
	return res
}

// insertSorted inserts f into a list sorted by descending score and cuts the list to limit entries.
func insertSorted(finds []Find, f Find, limit int, score func(Find) float64) []Find {
	i := len(finds)
	for i > 0 && score(finds[i-1]) < score(f) {
		i--
	}
	finds = append(finds, Find{})
	copy(finds[i+1:], finds[i:])
	finds[i] = f
	return finds[:min(limit, len(finds))]
}

// Shrink reduces a scenario as long as it reproduces the find: fewer faults, gateways and core switches, a shorter run,
// less load, plainer settings. reproduces reports whether a smaller scenario still does; it is called at most maxRuns
// times.
func Shrink(s *scenariofile.Script, reproduces func(*scenariofile.Script) bool, maxRuns int) *scenariofile.Script {
	plain := Plain()
	for reduced := true; reduced && maxRuns > 0; {
		reduced = false
		for _, candidate := range reductions(s, plain) {
			if maxRuns--; maxRuns < 0 {
				return s
			}
			if reproduces(candidate) {
				s, reduced = candidate, true
				break
			}
		}
	}
	return s
}

// reductions returns all scenarios that are one step smaller than s.
func reductions(s, plain *scenariofile.Script) []*scenariofile.Script {
	var candidates []*scenariofile.Script
	add := func(edit func(c *scenariofile.Script)) {
		c := *s
		c.Faults = append([]scenariofile.Fault{}, s.Faults...)
		edit(&c)
		candidates = append(candidates, &c)
	}
	for i := range s.Faults {
		add(func(c *scenariofile.Script) { c.Faults = append(c.Faults[:i], c.Faults[i+1:]...) })
	}
	if s.Gateways.Count > 1 {
		add(func(c *scenariofile.Script) { c.Gateways.Count = (c.Gateways.Count + 1) / 2; c.Load.Rate *= 1 })
		add(func(c *scenariofile.Script) { c.Gateways.Count-- })
	}
	if s.Pools.Count > 1 {
		add(func(c *scenariofile.Script) {
			c.Pools.Count--
			c.Load.Rate *= float64(c.Pools.Count) / float64(c.Pools.Count+1)
		})
	}
	if s.Length > 4000 {
		add(func(c *scenariofile.Script) { c.Length = math.Max(4000, c.Length*0.7) })
	}
	if s.Load.Rate > 4 {
		add(func(c *scenariofile.Script) { c.Load.Rate /= 2 })
	}
	if s.ENUMClients.Rate > 0 {
		add(func(c *scenariofile.Script) { c.ENUMClients = scenariofile.ENUMClients{} })
		add(func(c *scenariofile.Script) { c.ENUMClients.Rate /= 2 })
	}
	if s.Numbers.On {
		add(func(c *scenariofile.Script) { c.Numbers = scenariofile.Numbers{} })
	}
	if s.Numbers.Change > 0 {
		add(func(c *scenariofile.Script) { c.Numbers.Change = 0 })
	}
	if s.Net != plain.Net {
		add(func(c *scenariofile.Script) { c.Net = plain.Net })
	}
	if s.Pools.Model.ErrorRate > 0 {
		add(func(c *scenariofile.Script) { c.Pools.Model.ErrorRate = 0 })
	}
	if s.Gateways.Tell {
		add(func(c *scenariofile.Script) { c.Gateways.Tell = false })
	}
	for i, t := range s.Faults {
		if t.For > 600 {
			add(func(c *scenariofile.Script) { c.Faults[i].For = math.Round(t.For/2/100) * 100 })
		}
	}
	return candidates
}
