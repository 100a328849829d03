package edge

import (
	"cobaltpier/clock"
	"cobaltpier/contact"
	"cobaltpier/host"
)

// party is whoever wants an answer for a contact: a caller by SIP, or somebody who asks by ENUM which pool to call.
type party interface {
	// refuse sends a final answer that is none of the module's: code and reason as of SIP.
	refuse(code int, why string)
	// defers sends the module's: come back, after wait ms if that is above 0.
	defers(wait float64)
	// turned sends the answer of the intake, which keeps no state.
	turned()
	// begin says that the intake has taken the contact.
	begin()
	// isOut tells whether a ring of the contact is out.
	isOut() bool
	// dial sends a ring.
	dial(r *contact.Ring, g *Group, limit float64)
	// callOff calls a ring off.
	callOff(r *contact.Ring)
	// trying tells that the contact is looked at.
	trying()
}

// held is a contact as the edge holds it till its final answer, whoever asked.
type held struct {
	host.Call
	party
	edge    *Edge
	session string
	overdue *clock.Timer
	taken   bool    // by the intake
	offered bool    // the module has it
	from    float64 // its patience counts from here
	expires float64 // what the caller said of its patience, 0: nothing
	route   routing
	clear   float64 // rule 5: no send before this
}

// patience is how long the caller of a contact of its skill waits, no longer than it says itself.
func (k *held) patience() {
	p := k.Skill.Patience
	if k.expires > 0 {
		p = min(p, k.expires)
	}
	k.Until = k.from + p - k.edge.cfg.Margin
}

// turn refuses what the intake does not take.
func (k *held) turn() {
	if k.Over {
		return
	}
	k.edge.Counts.Turned++
	k.Over = true
	k.letGo()
	k.turned()
}

// take hands a contact that the intake has let in to the module, or looks its number up first.
func (e *Edge) take(k *held) {
	e.Counts.Taken++
	e.held++
	k.taken = true
	k.begin()
	if e.closing {
		e.Counts.Deferred++
		k.defers(0)
		return
	}
	if k.route.waits != "" {
		k.watch()
		k.lookUp()
		return
	}
	k.offer()
	if !k.Over && !k.Stands {
		k.watch()
	}
}

// offer hands a contact whose route is known to the module.
func (k *held) offer() {
	k.offered = true
	k.edge.mod.Offered(k.edge.now, k.Contact)
}

// watch sees to it that the caller hears something soon, and has its answer whatever happens.
func (k *held) watch() {
	e := k.edge
	k.overdue = e.timers.Set(e.now+trying, func() {
		k.trying()
		// Rule 1 holds whatever the module does: a contact that is forgotten is answered here.
		k.overdue = e.timers.Set(k.Until+e.cfg.Set.Slack/2, func() {
			e.Counts.Overdue++
			e.Abandon(k.Contact)
		})
	})
}

// trying is when a caller that heard nothing is told that its call is looked at: 200 ms at most (RFC 3261 8.2.6.1), ms.
const trying = 150

// settle notes a final answer, the one place that does so for a contact that was taken; false: it has one already, and
// this one must not leave.
func (k *held) settle(code int) bool {
	if k.Over || k.Stands {
		return false
	}
	e := k.edge
	e.held--
	e.timers.Stop(k.overdue)
	k.letGo()
	if code >= 300 {
		k.Over = true
	}
	if e.OnFate != nil {
		e.OnFate(Fate{Session: k.session, Skill: k.Skill.Name, Answer: code, Rings: k.Contact.Rings, Took: e.now - k.Came,
			Table: k.route.version, Route: k.route.name})
	}
	return true
}

// ended notes a ring's end and tells the module.
func (k *held) ended(r *contact.Ring, how contact.End, closed bool) {
	e := k.edge
	if k.Call.Rings[r.ID.(int)] == nil {
		return
	}
	if how == contact.TimedOut || how == contact.Reset || how == contact.Cancelled {
		k.clear = e.now + e.cfg.Set.ClearWait
	}
	k.End(r, how, e.now-r.Sent, closed || k.Over)
	e.mod.Ended(e.now, r, k.Over)
}
