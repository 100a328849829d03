package conformance

import (
	"math"

	"cobaltpier/api"
)

// Cold is how much of a cold switch's budget the work of the window that ended at a time used.
type Cold struct {
	At     float64
	Switch string
	Used   float64 // 1: the limit
}

type start struct {
	at    float64
	who   string
	model *api.Start
	sends []send
	end   float64
}

type send struct {
	at, work    float64
	gatewayKnew bool
}

// countSlowStart notes work that goes to a switch that started lately.
func (k *Checker) countSlowStart(at float64, edge, to string, repeat bool) {
	of := k.startsByAddr[to]
	if len(of) == 0 {
		return
	}
	s := of[len(of)-1]
	if at > s.end || at > s.at+s.model.WarmMs+k.rules.TipMs {
		return
	}
	work := s.model.SetupMs
	if repeat {
		work = s.model.RepeatMs
	}
	p := k.listings[edge][to]
	s.sends = append(s.sends, send{at, work, p != nil && p.startedAt > 0 && p.startedAt >= s.at-1000})
}

func whenSet(at float64) float64 {
	if at == 0 {
		return math.Inf(1)
	}
	return at
}

// window is rule 4: the work sent to a cold switch in any window, by all gateways together, stays under the stated
// multiple of what it can do then, with some slack for chance; broken if two thirds of it came from gateways that had
// been told of its start.
func (k *Checker) window(addr string, s *start) {
	sum, told, from := 0.0, 0.0, 0
	for _, x := range s.sends {
		sum += x.work
		if x.gatewayKnew {
			told += x.work
		}
		for s.sends[from].at <= x.at-k.rules.TipMs {
			sum -= s.sends[from].work
			if s.sends[from].gatewayKnew {
				told -= s.sends[from].work
			}
			from++
		}
		part := math.Min(1, s.model.ColdShare+(1-s.model.ColdShare)*math.Max(0, x.at-s.at)/s.model.WarmMs)
		if part >= 1 {
			continue
		}
		most := k.rules.TipMultiple * part * k.rules.TipMs
		use := sum / most
		if told <= sum*2/3 { // mostly from gateways that could not know
			use = told / most
		}
		k.Totals.SlowStartUse = math.Max(k.Totals.SlowStartUse, use)
		if k.Keep {
			k.Cold = append(k.Cold, Cold{x.at, s.who, use})
		}
		if sum > most+math.Sqrt(most*s.model.SetupMs)+s.model.SetupMs && told > sum*2/3 {
			k.latestAt = x.at
			k.report(
				4,
				&call{edge: "all", id: s.who},
				"%.0f ms of work in %.0f ms to %s, %.0f ms after its start: %.0f allowed",
				sum,
				k.rules.TipMs,
				k.name(addr),
				x.at-s.at,
				most,
			)
			return
		}
	}
}
