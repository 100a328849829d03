// Package baseline holds other ways to choose a pool, kept only to measure the project's decisions against: the plain
// design without departures, and chance. They keep the rules that their host enforces, and no others.
package baseline

//tally:standin

import (
	"math"

	"cobaltpier/internal/detrand"
	"cobaltpier/internal/protocol/endpointset"
	"cobaltpier/internal/routing"
)

// Plain rings the destination while it shows room, or not even that, and gives up after a few rings.
type Plain struct {
	set    *routing.Settings
	host   routing.Host
	now    float64
	pools  []*routing.Pool
	draws  uint64
	random bool
}

// ByName makes "lottery" (S2-082110 as written: the destination while it shows a free processor, else a lottery with
// tickets of total capacity times the square of relative capacity) or "random"; nil otherwise.
func ByName(name string) endpointset.Maker {
	if name != "lottery" && name != "random" {
		return nil
	}
	return func(s *routing.Settings, h routing.Host) endpointset.Module {
		return &Plain{set: s, host: h, random: name == "random"}
	}
}

// Listed implements host.Module.
func (b *Plain) Listed(now float64, changed []*routing.Pool) {
	b.now = now
	for _, p := range changed {
		known := false
		for _, q := range b.pools {
			known = known || q == p
		}
		if !known {
			b.pools = append(b.pools, p)
		}
	}
}

// Offered implements host.Module.
func (b *Plain) Offered(now float64, c *routing.Contact) {
	b.now = now
	b.try(c)
}

func (b *Plain) try(c *routing.Contact) {
	if p := b.pick(c); p != nil && c.Rings < b.set.MaxRings && c.Until-b.now > b.set.Tick {
		c.Rings++
		b.host.Ring(c, p, c.Until-b.now)
		return
	}
	b.host.Defer(c, 0)
}

func (b *Plain) pick(c *routing.Contact) *routing.Pool {
	if !b.random && c.Home != nil && c.Home.State == routing.Ready && c.Rings == 0 && b.free(c.Home) > 0 {
		return c.Home
	}
	total := 0.0
	for _, p := range b.pools {
		total += b.tickets(p)
	}
	u := b.chance() * total
	for _, p := range b.pools {
		if t := b.tickets(p); t > 0 {
			if u -= t; u < 0 {
				return p
			}
		}
	}
	return nil
}

func (b *Plain) tickets(p *routing.Pool) float64 {
	switch {
	case p.State != routing.Ready:
		return 0
	case b.random:
		return 1
	}
	size := 1.0
	if p.Report.Rate >= 0 {
		size = p.Report.Rate
	}
	return size * b.free(p) * b.free(p)
}

func (b *Plain) free(p *routing.Pool) float64 {
	r := &p.Report
	f := 1.0
	switch {
	case !math.IsNaN(r.Util):
		f = 1 - r.Util
	case !math.IsNaN(r.Wait):
		f = 1 - r.Wait/3000
	case !math.IsNaN(r.Holdback):
		f = 1 - r.Holdback
	}
	return math.Max(0, f)
}

// Stood implements host.Module.
func (b *Plain) Stood(now float64, _ *routing.Ring) { b.now = now }

// Ended implements host.Module.
func (b *Plain) Ended(now float64, r *routing.Ring, closed bool) {
	b.now = now
	c := r.Contact
	if closed || c.Over {
		return
	}
	if r.End == routing.TimedOut || r.End == routing.Reset || r.End == routing.Cancelled {
		c.NotTill = now + b.set.ClearWait
		b.host.Wake(c.NotTill, c)
		if c.NotTill >= c.Until {
			b.host.Abandon(c)
		}
		return
	}
	b.try(c)
}

// Left implements host.Module.
func (b *Plain) Left(now float64, _ *routing.Contact) { b.now = now }

// Reported implements host.Module.
func (b *Plain) Reported(now float64, _ *routing.Pool, _, _ bool) { b.now = now }

// Told implements host.Module.
func (b *Plain) Told(now float64, _ int, _ []byte) { b.now = now }

// Woken implements host.Module.
func (b *Plain) Woken(now float64, c *routing.Contact) {
	b.now = now
	if c != nil && !c.Over && c.Out == nil {
		b.try(c)
	}
}

func (b *Plain) chance() float64 {
	b.draws++
	return detrand.Of(b.set.Seed, b.draws)
}
