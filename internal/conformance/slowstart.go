package conformance

import (
	"math"

	"cobaltpier/api"
)

// SlowStartSample is the fraction of a slow-starting switch's budget that was used in the window that ended at At.
type SlowStartSample struct {
	At     float64
	Switch string
	Used   float64 // 1 is the limit
}

// endpointStart is one start of a switch and the work sent to it since.
type endpointStart struct {
	at       float64
	endpoint string // name of the switch
	model    *api.Start
	sends    []send
	end      float64 // when it stopped or started again
}

// send is the work of a setup or a retransmission.
type send struct {
	at, work    float64
	gatewayKnew bool // the gateway had been told of the start
}

// recordSlowStartWork records the work of a setup, or of its retransmission, that is sent to a switch in slow start.
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

// orInf returns a time, or infinity if the time is 0, that is not set.
func orInf(at float64) float64 {
	if at == 0 {
		return math.Inf(1)
	}
	return at
}

// checkSlowStart checks rule 4 for one start of a switch: the work that all gateways together send it in any window
// stays below the permitted multiple of what it can do at its age, with some slack for chance. The rule is broken
// only if more than two thirds of that work came from gateways that had been told of the start.
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
		if informed <= sum*2/3 { // mostly from gateways that had not been told
			use = informed / limit
		}
		k.Totals.SlowStartUse = math.Max(k.Totals.SlowStartUse, use)
		if k.KeepSlowStart {
			k.SlowStartSamples = append(k.SlowStartSamples, SlowStartSample{sent.at, s.endpoint, use})
		}
		if sum > limit+math.Sqrt(limit*s.model.SetupMs)+s.model.SetupMs && informed > sum*2/3 {
			k.latestAt = sent.at
			k.report(
				4,
				&call{gateway: "all", id: s.endpoint},
				"%.0f ms of work sent within %.0f ms to %s, %.0f ms after its start; %.0f allowed",
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
