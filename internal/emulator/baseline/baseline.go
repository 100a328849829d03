// Package baseline holds simple routing policies to compare the project's own policy with: the design as specified
// (S2-082110) and a random choice. They follow only the rules that their host enforces.
package baseline

//tally:standin

import (
	"math"

	"cobaltpier/internal/detrand"
	"cobaltpier/internal/routing"
)

// Plain implements both policies. With uniform it chooses a random endpoint; otherwise it attempts the destination
// first, if its load report shows free capacity, and then draws by lottery. It rejects the call after MaxAttempts.
type Plain struct {
	settings  *routing.Settings
	host      routing.Host
	now       float64
	endpoints []*routing.Endpoint
	draws     uint64
	uniform   bool
}

// ByName returns the policy "lottery" or "random", or nil for any other name. "lottery" is S2-082110 as written: the
// destination while its load report shows free processor capacity, else a lottery in which each endpoint's tickets are
// its total capacity times the square of its free share.
func ByName(name string) routing.PolicyFactory {
	if name != "lottery" && name != "random" {
		return nil
	}
	return func(s *routing.Settings, h routing.Host) routing.Policy {
		return &Plain{settings: s, host: h, uniform: name == "random"}
	}
}

// OnEndpoints implements routing.Policy.
func (b *Plain) OnEndpoints(now float64, changed []*routing.Endpoint) {
	b.now = now
	for _, p := range changed {
		known := false
		for _, q := range b.endpoints {
			known = known || q == p
		}
		if !known {
			b.endpoints = append(b.endpoints, p)
		}
	}
}

// OnCall implements routing.Policy.
func (b *Plain) OnCall(now float64, c *routing.Call) {
	b.now = now
	b.attempt(c)
}

func (b *Plain) attempt(c *routing.Call) {
	if p := b.choose(c); p != nil && c.Attempts < b.settings.MaxAttempts && c.Deadline-b.now > b.settings.TickInterval {
		c.Attempts++
		b.host.StartAttempt(c, p, c.Deadline-b.now)
		return
	}
	b.host.Reject(c, 0)
}

func (b *Plain) choose(c *routing.Call) *routing.Endpoint {
	if !b.uniform && c.Destination != nil && c.Destination.State == routing.Ready && c.Attempts == 0 &&
		b.freeShare(c.Destination) > 0 {
		return c.Destination
	}
	total := 0.0
	for _, p := range b.endpoints {
		total += b.tickets(p)
	}
	u := b.randomFloat() * total
	for _, p := range b.endpoints {
		if t := b.tickets(p); t > 0 {
			if u -= t; u < 0 {
				return p
			}
		}
	}
	return nil
}

// tickets returns the weight of an endpoint in the draw.
func (b *Plain) tickets(p *routing.Endpoint) float64 {
	switch {
	case p.State != routing.Ready:
		return 0
	case b.uniform:
		return 1
	}
	size := 1.0
	if p.LoadReport.RateLimit >= 0 {
		size = p.LoadReport.RateLimit
	}
	return size * b.freeShare(p) * b.freeShare(p)
}

// freeShare returns the free share of an endpoint's capacity by its load report, 1 if the report does not tell.
func (b *Plain) freeShare(p *routing.Endpoint) float64 {
	r := &p.LoadReport
	f := 1.0
	switch {
	case !math.IsNaN(r.Utilization):
		f = 1 - r.Utilization
	case !math.IsNaN(r.QueueDelay):
		f = 1 - r.QueueDelay/3000
	case !math.IsNaN(r.LossFraction):
		f = 1 - r.LossFraction
	}
	return math.Max(0, f)
}

// OnAnswer implements routing.Policy.
func (b *Plain) OnAnswer(now float64, _ *routing.Attempt) { b.now = now }

// OnAttemptEnd implements routing.Policy.
func (b *Plain) OnAttemptEnd(now float64, ended *routing.Attempt, closed bool) {
	b.now = now
	c := ended.Call
	if closed || c.Finished {
		return
	}
	if ended.Outcome == routing.TimedOut || ended.Outcome == routing.Reset || ended.Outcome == routing.Canceled {
		c.RetryNotBefore = now + b.settings.RetryHoldOff
		b.host.ScheduleWakeup(c.RetryNotBefore, c)
		if c.RetryNotBefore >= c.Deadline {
			b.host.Fail(c)
		}
		return
	}
	b.attempt(c)
}

// OnHangup implements routing.Policy.
func (b *Plain) OnHangup(now float64, _ *routing.Call) { b.now = now }

// OnLoadReport implements routing.Policy.
func (b *Plain) OnLoadReport(now float64, _ *routing.Endpoint, _, _ bool) { b.now = now }

// OnGossip implements routing.Policy.
func (b *Plain) OnGossip(now float64, _ int, _ []byte) { b.now = now }

// OnWakeup implements routing.Policy.
func (b *Plain) OnWakeup(now float64, c *routing.Call) {
	b.now = now
	if c != nil && !c.Finished && c.InFlight == nil {
		b.attempt(c)
	}
}

// RetryAfter implements routing.Policy. The baselines tell callers nothing.
func (b *Plain) RetryAfter(float64, *routing.Call) float64 { return 0 }

func (b *Plain) randomFloat() float64 {
	b.draws++
	return detrand.Float64(b.settings.Seed, b.draws)
}
