package scenario

import (
	"testing"

	"cobaltpier/api"
	"cobaltpier/internal/conformance"
	"cobaltpier/internal/emulator/scenariofile"
	"cobaltpier/internal/router"
	"cobaltpier/internal/routing"
)

// rogue is a module that breaks one rule and leaves the rest to the real one.
type rogue struct {
	routing.Policy
	h     routing.Host
	rule  int
	n     int
	pools []*routing.Endpoint
	set   *routing.Settings
}

func (r *rogue) OnEndpoints(now float64, changed []*routing.Endpoint) {
	for _, p := range changed {
		known := false
		for _, q := range r.pools {
			known = known || p == q
		}
		if !known {
			r.pools = append(r.pools, p)
		}
	}
	r.Policy.OnEndpoints(now, changed)
}

func (r *rogue) OnCall(now float64, c *routing.Call) {
	r.n++
	switch {
	case r.rule == 1 && r.n%10 == 0: // an attempt after the answer
		r.h.Reject(c, 0)
		r.h.StartAttempt(c, r.pools[0], 1000)
	case r.rule == 1 && r.n%10 == 5: // forgotten
	case r.rule == 2 && r.n%10 == 0: // two at once
		r.h.StartAttempt(c, r.pools[0], 1000)
		r.h.StartAttempt(c, r.pools[1], 1000)
	case r.rule == 3: // to endpoints that drain as to any
		r.h.StartAttempt(c, r.pools[r.n%len(r.pools)], c.Deadline-now)
	case r.rule == 5 && r.n%3 == 0: // canceled at once, and sent again as soon as that is over
		r.h.StartAttempt(c, r.pools[0], c.Deadline-now)
		r.h.ScheduleWakeup(now+8, c)
	default:
		r.Policy.OnCall(now, c)
	}
}

func (r *rogue) OnWakeup(now float64, c *routing.Call) {
	if r.rule == 5 && c != nil && c.InFlight != nil && !c.Established {
		r.h.CancelAttempt(c.InFlight)
		r.h.ScheduleWakeup(now+8, c)
		return
	}
	r.Policy.OnWakeup(now, c)
}

func (r *rogue) OnAnswer(now float64, ring *routing.Attempt) {
	if r.rule == 4 || r.rule == 0 {
		r.Policy.OnAnswer(now, ring)
	}
}

func (r *rogue) OnAttemptEnd(now float64, ring *routing.Attempt, closed bool) {
	c := ring.Call
	switch {
	case r.rule == 4 || r.rule == 0:
		r.Policy.OnAttemptEnd(now, ring, closed)
	case c.Finished || c.Established || c.InFlight != nil:
	case r.rule == 5 && ring.Outcome == routing.Canceled && c.Attempts < 5:
		c.Attempts++
		r.h.StartAttempt(c, r.pools[0], c.Deadline-now)
	default:
		r.h.Reject(c, 0)
	}
}

func short(t *testing.T) *scenariofile.Script {
	t.Helper()
	s, err := Day("try")
	if err != nil {
		t.Fatal(err)
	}
	s.Length = 16000
	s.Net.Double = 0.01
	s.Gateways.Count, s.Pools.Count, s.Load.Rate = 3, 2, 60
	s.Troubles = []scenariofile.Trouble{{Kind: "deploy", At: 2000, For: 100, Part: 0.4}}
	return s
}

// judged plays a day and returns what the checker finds; build makes the module, change may alter each gateway.
func judged(s *scenariofile.Script, build routing.PolicyFactory, off int) *conformance.Checker {
	k := conformance.New()
	st := New(s, 5060, func(r *api.Record) { k.Add(r) })
	st.DisabledGuard = routing.Rule(off)
	NewVirtual(st, build)
	st.World.Run(s.Length + 12000)
	k.Finish()
	return k
}

// TestGuardsAndChecker shows for each rule that a module which breaks it is held by the agent, and that with that guard
// switched off the checker sees the rule broken in the traffic.
func TestGuardsAndChecker(t *testing.T) {
	for _, rule := range []int{1, 2, 3, 5} {
		mk := func(set *routing.Settings, h routing.Host) routing.Policy {
			return &rogue{Policy: router.New(set, h), h: h, rule: rule, set: set}
		}
		if k := judged(short(t), mk, 0); len(k.Findings) > 0 {
			t.Errorf("rule %d, guard on: %v", rule, k.Findings[0])
		}
		k := judged(short(t), mk, rule)
		if k.Verdicts()[rule] == 0 {
			t.Errorf("rule %d, guard off: the checker found nothing", rule)
		}
	}
}

// TestColdGuardAndChecker is rule 4's: the guard is the module's budget, and without its figures there is none.
func TestColdGuardAndChecker(t *testing.T) {
	for _, guarded := range []bool{true, false} {
		s := short(t)
		s.Length, s.Load.Rate, s.Rules.ColdShare, s.Rules.TipTimes = 20000, 95, 0.2, 1.2
		s.Pools.Model.ColdShare, s.Pools.Model.TipTimes, s.Pools.Model.Warm = 0.2, 0, 14000
		s.Troubles = []scenariofile.Trouble{{Kind: "silent", At: 4000, For: 5000, Part: 0.5}}
		k := judged(s, func(set *routing.Settings, h routing.Host) routing.Policy {
			if !guarded {
				set.OverloadFactor = 0
				return &pusher{rogue{Policy: router.New(set, h), h: h, set: set}}
			}
			return router.New(set, h)
		}, 0)
		if broken := k.Verdicts()[4] > 0; broken == guarded {
			t.Errorf("guarded %v: rule 4 broken %v, budget used to %.2f", guarded, broken, k.Totals.SlowStartUse)
		}
	}
}

// pusher sends all it has to an endpoint that starts.
type pusher struct{ rogue }

func (p *pusher) OnCall(now float64, c *routing.Call) {
	for _, q := range p.pools {
		if q.StartedAt > 0 && q.State == routing.Ready {
			p.h.StartAttempt(c, q, c.Deadline-now)
			return
		}
	}
	p.rogue.OnCall(now, c)
}
