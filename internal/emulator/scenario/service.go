package scenario

import (
	"math"
	"sort"
)

// Service is how a day went by the users' account: the value of calls that were established in time and were not cut,
// over the value offered, a caller's further tries counted with its first. Of simulated switches.
type Service struct {
	Total, Worst10s                   float64
	WorstClass, WorstTenant           string // the worst served
	ClassShare, TenantShare           float64
	Arrived                           int
	Answered, Late, Dropped, Unserved int
	Extra                             int       // final answers after a final answer, as callers saw them
	Waits                             []float64 // of those that stood, ms, sorted
	Fell                              int
}

// Service adds a day up.
func (st *Scenario) Service() Service {
	var s Service
	type part struct{ got, of float64 }
	add := func(p *part, got, of float64) { p.got += got; p.of += of }
	var whole part
	skills, payers, windows := map[string]*part{}, map[string]*part{}, map[int]*part{}
	get := func(m map[string]*part, k string) *part {
		if m[k] == nil {
			m[k] = &part{}
		}
		return m[k]
	}
	for _, g := range st.Gateways {
		s.Extra += g.Callers.Extra
		for _, x := range g.Callers.Stories {
			if x.OverQuota {
				continue
			}
			s.Arrived++
			got := 0.0
			wait := x.AnsweredAt - x.At
			switch {
			case math.IsNaN(x.AnsweredAt):
				s.Unserved++
			case x.Dropped:
				s.Dropped++
			case wait <= x.LatencyObjective:
				s.Answered++
				got = x.Weight
			default:
				s.Late++
				got = x.Weight * x.LateWeightFraction
			}
			if !math.IsNaN(x.AnsweredAt) {
				s.Waits = append(s.Waits, wait)
			}
			add(&whole, got, x.Weight)
			add(get(skills, x.Class), got, x.Weight)
			add(get(payers, x.Tenant), got, x.Weight)
			for k := int(x.At / 1000); k > int(x.At/1000)-10 && k >= 0; k-- { // every window of 10 s that holds it
				if windows[k] == nil {
					windows[k] = &part{}
				}
				add(windows[k], got, x.Weight)
			}
		}
	}
	sort.Float64s(s.Waits)
	share := func(p *part) float64 {
		if p.of == 0 {
			return 1
		}
		return p.got / p.of
	}
	worst := func(m map[string]*part) (string, float64) {
		name, least := "", 2.0
		for k, p := range m {
			if v := share(p); v < least || v == least && k < name {
				name, least = k, v
			}
		}
		return name, least
	}
	s.Total = share(&whole)
	s.WorstClass, s.ClassShare = worst(skills)
	s.WorstTenant, s.TenantShare = worst(payers)
	s.Worst10s = 1
	for k, p := range windows {
		if float64(k+10)*1000 <= st.Script.Length {
			s.Worst10s = math.Min(s.Worst10s, share(p))
		}
	}
	for _, p := range st.places {
		if p.sw.Fell {
			s.Fell++
		}
	}
	return s
}
