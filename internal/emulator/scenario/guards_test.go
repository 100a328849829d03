package scenario

import (
	"testing"

	"cobaltpier/api"
	"cobaltpier/internal/conformance"
	"cobaltpier/internal/emulator/scenariofile"
	"cobaltpier/internal/router"
	"cobaltpier/internal/routing"
)

// faultyPolicy violates one rule and leaves other decisions to the real policy.
type faultyPolicy struct {
	routing.Policy
	host      routing.Host
	rule      int
	calls     int
	endpoints []*routing.Endpoint
	settings  *routing.Settings
}

func (r *faultyPolicy) OnEndpoints(now float64, changed []*routing.Endpoint) {
	for _, p := range changed {
		known := false
		for _, q := range r.endpoints {
			known = known || p == q
		}
		if !known {
			r.endpoints = append(r.endpoints, p)
		}
	}
	r.Policy.OnEndpoints(now, changed)
}

func (r *faultyPolicy) OnCall(now float64, c *routing.Call) {
	r.calls++
	switch {
	case r.rule == 1 && r.calls%10 == 0: // an attempt after the final answer
		r.host.Reject(c, 0)
		r.host.StartAttempt(c, r.endpoints[0], 1000)
	case r.rule == 1 && r.calls%10 == 5: // never answered
	case r.rule == 2 && r.calls%10 == 0: // two attempts at once
		r.host.StartAttempt(c, r.endpoints[0], 1000)
		r.host.StartAttempt(c, r.endpoints[1], 1000)
	case r.rule == 3: // to any endpoint, draining or not
		r.host.StartAttempt(c, r.endpoints[r.calls%len(r.endpoints)], c.Deadline-now)
	case r.rule == 5 && r.calls%3 == 0: // canceled after 8 ms and sent again as soon as the attempt has ended
		r.host.StartAttempt(c, r.endpoints[0], c.Deadline-now)
		r.host.ScheduleWakeup(now+8, c)
	default:
		r.Policy.OnCall(now, c)
	}
}

func (r *faultyPolicy) OnWakeup(now float64, c *routing.Call) {
	if r.rule == 5 && c != nil && c.InFlight != nil && !c.Established {
		r.host.CancelAttempt(c.InFlight)
		r.host.ScheduleWakeup(now+8, c)
		return
	}
	r.Policy.OnWakeup(now, c)
}

func (r *faultyPolicy) OnAnswer(now float64, attempt *routing.Attempt) {
	if r.rule == 4 || r.rule == 0 {
		r.Policy.OnAnswer(now, attempt)
	}
}

func (r *faultyPolicy) OnAttemptEnd(now float64, attempt *routing.Attempt, closed bool) {
	c := attempt.Call
	switch {
	case r.rule == 4 || r.rule == 0:
		r.Policy.OnAttemptEnd(now, attempt, closed)
	case c.Finished || c.Established || c.InFlight != nil:
	case r.rule == 5 && attempt.Outcome == routing.Canceled && c.Attempts < 5:
		c.Attempts++
		r.host.StartAttempt(c, r.endpoints[0], c.Deadline-now)
	default:
		r.host.Reject(c, 0)
	}
}

func shortScenario(t *testing.T) *scenariofile.Script {
	t.Helper()
	s, err := BuiltIn("try")
	if err != nil {
		t.Fatal(err)
	}
	s.Length = 16000
	s.Net.Double = 0.01
	s.Gateways.Count, s.Pools.Count, s.Load.Rate = 3, 2, 60
	s.Faults = []scenariofile.Fault{{Kind: "deploy", At: 2000, For: 100, Part: 0.4}}
	return s
}

// runAndCheck runs a scenario and returns the checker. build creates the policies; disabledGuard is the rule whose
// guard is off, 0 for none.
func runAndCheck(s *scenariofile.Script, build routing.PolicyFactory, disabledGuard int) *conformance.Checker {
	k := conformance.New()
	st := New(s, 5060, func(r *api.Record) { k.Add(r) })
	st.DisabledGuard = routing.Rule(disabledGuard)
	NewVirtual(st, build)
	st.Simulation.Run(s.Length + 12000)
	k.Finish()
	return k
}

// TestGuardsAndChecker checks for each rule that the agent stops a policy that violates it, and that with this guard
// switched off the checker finds the violation in the traffic.
func TestGuardsAndChecker(t *testing.T) {
	for _, rule := range []int{1, 2, 3, 5} {
		newPolicy := func(settings *routing.Settings, h routing.Host) routing.Policy {
			return &faultyPolicy{Policy: router.New(settings, h), host: h, rule: rule, settings: settings}
		}
		if k := runAndCheck(shortScenario(t), newPolicy, 0); len(k.Findings) > 0 {
			t.Errorf("rule %d, guard on: %v", rule, k.Findings[0])
		}
		k := runAndCheck(shortScenario(t), newPolicy, rule)
		if k.Verdicts()[rule] == 0 {
			t.Errorf("rule %d, guard off: the checker found nothing", rule)
		}
	}
}

// TestSlowStartGuardAndChecker is the same for rule 4, whose guard is the budget in the policy: without an overload
// factor in its settings there is no budget.
func TestSlowStartGuardAndChecker(t *testing.T) {
	for _, guarded := range []bool{true, false} {
		s := shortScenario(t)
		s.Length, s.Load.Rate, s.Rules.ColdShare, s.Rules.TipTimes = 20000, 95, 0.2, 1.2
		s.Pools.Model.ColdShare, s.Pools.Model.OverloadFactor, s.Pools.Model.Warm = 0.2, 0, 14000
		s.Faults = []scenariofile.Fault{{Kind: "silent", At: 4000, For: 5000, Part: 0.5}}
		k := runAndCheck(s, func(settings *routing.Settings, h routing.Host) routing.Policy {
			if !guarded {
				settings.OverloadFactor = 0
				return &overloadingPolicy{faultyPolicy{Policy: router.New(settings, h), host: h, settings: settings}}
			}
			return router.New(settings, h)
		}, 0)
		if broken := k.Verdicts()[4] > 0; broken == guarded {
			t.Errorf("guarded %v: rule 4 broken %v, budget used to %.2f", guarded, broken, k.Totals.SlowStartUse)
		}
	}
}

// overloadingPolicy sends all calls to an endpoint in slow start.
type overloadingPolicy struct{ faultyPolicy }

func (p *overloadingPolicy) OnCall(now float64, c *routing.Call) {
	for _, q := range p.endpoints {
		if q.StartedAt > 0 && q.State == routing.Ready {
			p.host.StartAttempt(c, q, c.Deadline-now)
			return
		}
	}
	p.faultyPolicy.OnCall(now, c)
}
