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

type endpointStart struct {
	at       float64
	endpoint string
	model    *api.Start
	sends    []send
	end      float64
}

type send struct {
	at, work    float64
	gatewayKnew bool
}

// recordSlowStartWork notes work that goes to a switch that started lately.
func (k *Checker) recordSlowStartWork(at float64, gateway, to string, repeat bool) {
	starts := k.startsByAddr[to]
	if len(starts) == 0 {
		return
	}
	s := starts[len(starts)-1]
	if at > s.end || at > s.at+s.model.WarmMs+k.rules.TipMs {
		return
	}
	work := s.model.SetupMs
	if repeat {
		work = s.model.RepeatMs
	}
	entry := k.endpointLists[gateway][to]
	s.sends = append(s.sends, send{at, work, entry != nil && entry.startedAt > 0 && entry.startedAt >= s.at-1000})
}

func orInf(at float64) float64 {
	if at == 0 {
		return math.Inf(1)
	}
	return at
}

// checkSlowStart is rule 4: the work sent to a cold switch in any window, by all gateways together, stays under the
// stated multiple of what it can do then, with some slack for chance; broken if two thirds of it came from gateways that had
// been told of its start.
func (k *Checker) checkSlowStart(addr string, s *endpointStart) {
	sum, informed, oldest := 0.0, 0.0, 0
	for _, sent := range s.sends {
		sum += sent.work
		if sent.gatewayKnew {
			informed += sent.work
		}
		for s.sends[oldest].at <= sent.at-k.rules.TipMs {
			sum -= s.sends[oldest].work
			if s.sends[oldest].gatewayKnew {
				informed -= s.sends[oldest].work
			}
			oldest++
		}
		capacity := math.Min(1, s.model.ColdShare+(1-s.model.ColdShare)*math.Max(0, sent.at-s.at)/s.model.WarmMs)
		if capacity >= 1 {
			continue
		}
		limit := k.rules.TipMultiple * capacity * k.rules.TipMs
		use := sum / limit
		if informed <= sum*2/3 { // mostly from gateways that could not know
			use = informed / limit
		}
		k.Totals.SlowStartUse = math.Max(k.Totals.SlowStartUse, use)
		if k.Keep {
			k.Cold = append(k.Cold, Cold{sent.at, s.endpoint, use})
		}
		if sum > limit+math.Sqrt(limit*s.model.SetupMs)+s.model.SetupMs && informed > sum*2/3 {
			k.latestAt = sent.at
			k.report(
				4,
				&call{gateway: "all", id: s.endpoint},
				"%.0f ms of work in %.0f ms to %s, %.0f ms after its start: %.0f allowed",
				sum,
				k.rules.TipMs,
				k.name(addr),
				sent.at-s.at,
				limit,
			)
			return
		}
	}
}
