package edge

import (
	"net/netip"

	"cobaltpier/contact"
	"cobaltpier/host"
)

// Named is the answer to an enquiry: which pool to call, or why none is named.
type Named struct {
	Code   int // 200: a pool is named; else as of SIP
	Why    string
	Wait   float64 // ms: come back after this, 0: nothing is said
	Addr   netip.AddrPort
	Group  string
	Number string // to be called there
	Params string // that go with it (RFC 4694)
	// Still tells whether the pool could be named now: it has not drained or gone since.
	Still func() bool
}

// enquiry is a contact of somebody who asks which pool to call, and calls it itself.
type enquiry struct {
	*held
	out  *contact.Ring
	done func(now float64, n Named)
}

// Enquire asks for the pool that a contact of a skill with a number, as it would be dialled, would be sent to at this moment. done is called once,
// within patience ms; what the module decides counts for drains and cold budgets as a ring does. stop takes the question
// back.
func (e *Edge) Enquire(now float64, number, skill string, patience float64, done func(now float64, n Named)) (stop func()) {
	e.now, e.sip.Now = now, now
	k := e.skills[skill]
	if k == nil {
		done(now, Named{Code: 404, Why: "no such skill"})
		return func() {}
	}
	c := &contact.Contact{Skill: k, Number: number, Came: now, HomeNumber: -1}
	q := &enquiry{held: &held{Call: host.Call{Contact: c}, edge: e, session: e.session(), from: e.since(), expires: patience}, done: done}
	q.party, c.ID = q, q.held
	q.patience()
	if e.table != nil && !q.analyse(number, "") {
		return func() {}
	}
	c.Home = e.pools.Home(c.HomeNumber)
	e.waiting = append(e.waiting, q.held)
	return q.stop
}

// stop: nobody waits for the answer any more.
func (q *enquiry) stop() {
	switch {
	case q.Over:
	case !q.taken:
		q.Over = true
		q.letGo()
	default:
		q.settle(487)
		if q.offered {
			q.edge.mod.Left(q.edge.now, q.Contact)
		}
	}
}

// turned implements party.
func (q *enquiry) turned() { q.done(q.edge.now, Named{Code: 503, Why: "busy"}) }

// begin implements party.
func (*enquiry) begin() {}

// refuse implements party.
func (q *enquiry) refuse(code int, why string) {
	if !q.taken {
		q.Over = true
	} else if !q.settle(code) {
		return
	}
	q.done(q.edge.now, Named{Code: code, Why: why})
}

// defers implements party.
func (q *enquiry) defers(wait float64) {
	if !q.settle(503) {
		return
	}
	if !q.edge.cfg.Set.MayWait {
		wait = 0
	}
	q.done(q.edge.now, Named{Code: 503, Why: "deferred", Wait: wait})
}

// isOut implements party.
func (q *enquiry) isOut() bool { return q.out != nil }

// dial implements party: the answer is the ring. Whoever asked calls the pool itself, so it is over for us; the module
// counts it as one that was sent and taken.
func (q *enquiry) dial(r *contact.Ring, g *Group, _ float64) {
	if !q.settle(200) {
		return
	}
	e := q.edge
	q.Over, q.out = true, r
	e.Counts.Named++
	p := r.Pool
	e.timers.Set(e.now, func() {
		q.out = nil
		q.ended(r, contact.Done, true)
	})
	q.done(e.now, Named{Code: 200, Addr: e.addrs[p], Group: g.Name, Number: q.Number, Params: q.route.params,
		Still: func() bool { return p.State == contact.Ready }})
}

// callOff implements party: an answer that was given can't be taken back.
func (*enquiry) callOff(*contact.Ring) {}

// trying implements party.
func (*enquiry) trying() {}
