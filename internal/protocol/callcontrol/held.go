package callcontrol

import (
	"cobaltpier/internal/protocol/endpointset"
	"cobaltpier/internal/routing"
	"cobaltpier/internal/timerqueue"
)

// Party is whoever wants an answer for a contact, and the way its rings go out.
type Party interface {
	// Abandons sends the final answer "failed".
	Abandons()
	// Defers sends the module's "refused": come back, after wait ms if that is above 0.
	Defers(wait float64)
	// Turned sends the answer of the intake, which keeps no state.
	Turned()
	// Begin says that the intake has taken the contact; false: Prepare comes first, and offers it.
	Begin() bool
	// Prepare does what a contact that was not ready needs before the module gets it.
	Prepare()
	// IsOut tells whether a ring of the contact is out.
	IsOut() bool
	// Dial sends a ring; false: it can't be sent.
	Dial(r *routing.Ring, limit float64) bool
	// CallOff calls a ring off.
	CallOff(r *routing.Ring)
	// Trying tells that the contact is looked at.
	Trying()
}

// Held is a contact as a gateway holds it till its final answer, whoever asked. Its contact's ID is the Held.
type Held struct {
	endpointset.Call
	Party
	Taken   bool    // by the intake
	Offered bool    // the module has it
	From    float64 // its patience counts from here
	Expires float64 // what the caller said of its patience, 0: nothing

	control *Control
	overdue *timerqueue.Timer
	clear   float64 // rule 5: no send before this
}

// Hold makes a contact of this gateway.
func (c *Control) Hold(of *routing.Contact, expires float64) *Held {
	k := &Held{Call: endpointset.Call{Contact: of}, control: c, From: c.Since(), Expires: expires}
	of.ID = k
	return k
}

// Patience is how long the caller of a contact of its skill waits, no longer than it says itself.
func (k *Held) Patience() {
	p := k.Skill.Patience
	if k.Expires > 0 {
		p = min(p, k.Expires)
	}
	k.Until = k.From + p - k.control.cfg.Margin
}

// turn refuses what the intake does not take.
func (k *Held) turn() {
	if k.Over {
		return
	}
	k.control.Counts.Turned++
	k.Over = true
	k.Turned()
}

// take hands a contact that the intake has let in to the module, or lets its door prepare it first.
func (k *Held) take() {
	c := k.control
	c.Counts.Taken++
	c.held++
	k.Taken = true
	ready := k.Begin()
	if c.closing {
		c.Counts.Deferred++
		k.Defers(0)
		return
	}
	if ready {
		k.Offer()
	}
	if !k.Over && !k.Stands {
		k.watch()
	}
	if !ready {
		k.Prepare()
	}
}

// Offer hands a contact whose route is known to the module.
func (k *Held) Offer() {
	k.Offered = true
	k.control.Mod.Offered(k.control.Now, k.Contact)
}

// watch sees to it that the caller hears something soon, and has its answer whatever happens.
func (k *Held) watch() {
	c := k.control
	k.overdue = c.Timers.Set(c.Now+trying, func() {
		k.Trying()
		// Rule 1 holds whatever the module does: a contact that is forgotten is answered here.
		k.overdue = c.Timers.Set(k.Until+c.cfg.Set.Slack/2, func() {
			c.Counts.Overdue++
			c.Abandon(k.Contact)
		})
	})
}

// trying is when a caller that heard nothing is told that its call is looked at: 200 ms at most (RFC 3261 8.2.6.1), ms.
const trying = 150

// Settle notes a final answer, the one place that does so for a contact that was taken; over: it does not stand. False:
// it has one already, and this one must not leave.
func (k *Held) Settle(over bool) bool {
	if k.Over || k.Stands {
		return false
	}
	k.control.held--
	k.control.Timers.Stop(k.overdue)
	k.Over = over
	return true
}

// Ended notes a ring's end and tells the module.
func (k *Held) Ended(r *routing.Ring, how routing.End, closed bool) {
	c := k.control
	if k.Call.Rings[r.ID.(int)] == nil {
		return
	}
	if how == routing.TimedOut || how == routing.Reset || how == routing.Cancelled {
		k.clear = c.Now + c.cfg.Set.ClearWait
	}
	k.End(r, how, c.Now-r.Sent, closed || k.Over)
	c.Mod.Ended(c.Now, r, k.Over)
}
