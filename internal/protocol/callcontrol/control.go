// Package callcontrol is what every door of a gateway does alike with its contacts, whatever its wire: it keeps them till
// their final answer, offers them to the decision module, and bars whatever would break a rule. It has no I/O and no
// clock, and decides nothing that the module decides.
//
// What the five rules ask of the wire is kept at one place each: rule 1 in (*Held).Settle, rules 2, 3 and 5 in
// (*Control).Ring, which every set-up passes.
package callcontrol

import (
	"math"

	"cobaltpier/internal/decision/intake"
	"cobaltpier/internal/protocol/endpointset"
	"cobaltpier/internal/routing"
	"cobaltpier/internal/timerqueue"
)

//tally:decisions

// Counts are what a gateway has seen since its start.
type Counts struct {
	Taken, Turned, Stood, Deferred, Abandoned, Left, Rings, Overdue, Barred uint64
	Asked, Unrouted, Named                                                  uint64 // of numbers: look-ups, refused by the table; enquiries answered with a pool
}

// Config is what the call control is told at start.
type Config struct {
	Set    *routing.Settings
	Margin float64 // ms: final answers leave so long before the caller's patience ends
	Gate   intake.Gate
	Off    [6]bool // guards that are switched off, by rule: only to show that the checker sees what they prevent
}

// Control holds one gateway's contacts.
type Control struct {
	Counts Counts
	Timers timerqueue.Queue
	Mod    endpointset.Module
	Pools  *endpointset.Pools[string]
	Skills map[string]*routing.Skill
	Payers map[string]*routing.Customer
	Gate   intake.Gate // what is taken of a flood
	Now    float64

	cfg      *Config
	waiting  []*Held // came since the last batch
	held     int     // contacts without a final answer
	standing int
	closing  bool
	looked   float64 // when the latest batch ended, 0: none yet
}

// New makes a call control without a module.
func New(cfg *Config) *Control {
	c := &Control{cfg: cfg, Gate: cfg.Gate, Pools: endpointset.NewPools[string](), Skills: map[string]*routing.Skill{}, Payers: map[string]*routing.Customer{}}
	for _, k := range cfg.Set.Skills {
		c.Skills[k.Name] = k
	}
	for _, p := range cfg.Set.Customers {
		c.Payers[p.Name] = p
	}
	return c
}

// beat is how often a gateway wants to be woken even if nothing is due, ms: so it knows when it stood still.
const beat = 100.0

// Since is the earliest time at which what came in this batch may have come: a process that was stopped finds what came
// meanwhile at once, and a caller's patience ran all the time. It guards rule 1 against stalls of any cause. What comes
// just at the end of a stall gets less time than its caller has.
func (c *Control) Since() float64 {
	if c.looked > 0 && c.Now-c.looked > 2*beat {
		return c.looked
	}
	return c.Now
}

// Wait keeps a contact for the end of the batch.
func (c *Control) Wait(k *Held) { c.waiting = append(c.waiting, k) }

// Batch ends a batch: timers that are due run, then what came is offered to the module.
func (c *Control) Batch(now float64, due func()) {
	c.Now = now
	defer func() { c.looked = now }()
	c.Timers.Run(now)
	if due != nil {
		due()
	}
	if len(c.waiting) == 0 {
		return
	}
	batch := c.waiting
	c.waiting = nil
	values := make([]float64, len(batch))
	for i, k := range batch {
		values[i] = k.Skill.Value
	}
	for i, ok := range c.Gate.Take(now, values, c.held) {
		if k := batch[i]; !ok {
			k.turn()
		} else if !k.Over {
			k.take()
		}
	}
}

// Next is when Batch is wanted, on the clock that was handed in.
func (c *Control) Next() float64 {
	if len(c.waiting) > 0 {
		return c.Now
	}
	return math.Min(c.Timers.Next(), math.Max(c.looked, c.Now)+beat)
}

// Close lets no new contact in; those held go on.
func (c *Control) Close() { c.closing = true }

// Held is how many contacts have no final answer yet, and how many stand.
func (c *Control) Held() (waiting, standing int) { return c.held + len(c.waiting), c.standing }

// Standing counts calls that stand, or no longer.
func (c *Control) Standing(more int) { c.standing += more }

// Ring implements contact.Host: rules 2, 3 and 5 are the module's to keep, and whatever it asks, nothing that breaks
// one of them passes here. What is barred comes back as never sent.
func (c *Control) Ring(of *routing.Contact, p *routing.Pool, limit float64) {
	k := of.ID.(*Held)
	off := &c.cfg.Off
	barred := !off[1] && (k.Over || c.Now > of.Until) || !off[2] && k.IsOut() ||
		!off[3] && p.State != routing.Ready || !off[5] && c.Now < k.clear
	r := k.Call.Ring(p, c.Now)
	c.Counts.Rings++
	if barred {
		c.Counts.Barred++
	}
	if barred || !k.Dial(r, math.Min(limit, of.Until-c.Now)) {
		c.Timers.Set(c.Now, func() { k.Ended(r, routing.Unsent, false) })
	}
}

// Defer implements contact.Host.
func (c *Control) Defer(of *routing.Contact, wait float64) {
	c.Counts.Deferred++
	of.ID.(*Held).Defers(wait)
}

// Abandon implements contact.Host.
func (c *Control) Abandon(of *routing.Contact) {
	c.Counts.Abandoned++
	of.ID.(*Held).Abandons()
}

// Cancel implements contact.Host. The ring's end comes when it is over at the switch: until then it is out.
func (c *Control) Cancel(r *routing.Ring) { r.Contact.ID.(*Held).CallOff(r) }

// Wake implements contact.Host.
func (c *Control) Wake(at float64, of *routing.Contact) {
	c.Timers.Set(at, func() { c.Mod.Woken(c.Now, of) })
}
