// Package baseline holds other ways to choose a pool, kept only to measure the project's decisions against: the plain
// design without departures, and chance. They keep the rules that their host enforces, and no others.
package baseline

//tally:standin

import (
	"math"

	"cobaltpier/chance"
	"cobaltpier/contact"
	"cobaltpier/host"
)

// Plain rings the destination while it shows room, or not even that, and gives up after a few rings.
type Plain struct {
	set    *contact.Settings
	host   contact.Host
	now    float64
	pools  []*contact.Pool
	draws  uint64
	random bool
}

// ByName makes "lottery" (S2-082110 as written: the destination while it shows a free processor, else a lottery with
// tickets of total capacity times the square of relative capacity) or "random"; nil otherwise.
func ByName(name string) host.Maker {
	if name != "lottery" && name != "random" {
		return nil
	}
	return func(s *contact.Settings, h contact.Host) host.Module {
		return &Plain{set: s, host: h, random: name == "random"}
	}
}

// Listed implements host.Module.
func (b *Plain) Listed(now float64, changed []*contact.Pool) {
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
func (b *Plain) Offered(now float64, c *contact.Contact) {
	b.now = now
	b.try(c)
}

func (b *Plain) try(c *contact.Contact) {
	if p := b.pick(c); p != nil && c.Rings < b.set.MaxRings && c.Until-b.now > b.set.Tick {
		c.Rings++
		b.host.Ring(c, p, c.Until-b.now)
		return
	}
	b.host.Defer(c, 0)
}

func (b *Plain) pick(c *contact.Contact) *contact.Pool {
	if !b.random && c.Home != nil && c.Home.State == contact.Ready && c.Rings == 0 && b.free(c.Home) > 0 {
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

func (b *Plain) tickets(p *contact.Pool) float64 {
	switch {
	case p.State != contact.Ready:
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

func (b *Plain) free(p *contact.Pool) float64 {
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
func (b *Plain) Stood(now float64, _ *contact.Ring) { b.now = now }

// Ended implements host.Module.
func (b *Plain) Ended(now float64, r *contact.Ring, closed bool) {
	b.now = now
	c := r.Contact
	if closed || c.Over {
		return
	}
	if r.End == contact.TimedOut || r.End == contact.Reset || r.End == contact.Cancelled {
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
func (b *Plain) Left(now float64, _ *contact.Contact) { b.now = now }

// Reported implements host.Module.
func (b *Plain) Reported(now float64, _ *contact.Pool, _, _ bool) { b.now = now }

// Told implements host.Module.
func (b *Plain) Told(now float64, _ int, _ []byte) { b.now = now }

// Woken implements host.Module.
func (b *Plain) Woken(now float64, c *contact.Contact) {
	b.now = now
	if c != nil && !c.Over && c.Out == nil {
		b.try(c)
	}
}

func (b *Plain) chance() float64 {
	b.draws++
	return chance.Of(b.set.Seed, b.draws)
}
