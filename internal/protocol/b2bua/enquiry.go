package b2bua

import (
	"net/netip"

	"cobaltpier/internal/routing"
)

// Named is the answer to an enquiry: which endpoint to call, or why none is named.
type Named struct {
	Code   int // 200: an endpoint is named; else as of SIP
	Why    string
	Wait   float64 // ms: come back after this, 0: nothing is said
	Addr   netip.AddrPort
	Group  string
	Number string // to be called there
	Params string // that go with it (RFC 4694)
	// Still tells whether the endpoint could be named now: it has not drained or gone since.
	Still func() bool
}

// enquiry is a call of somebody who asks which endpoint to call, and calls it itself.
type enquiry struct {
	*held
	out  *routing.Attempt
	done func(now float64, n Named)
}

// Enquire asks for the endpoint that a call of a class with a number, as it would be dialled, would be sent to at this moment. done is called once,
// within timeout ms; what the module decides counts for drains and cold budgets as an attempt does. stop takes the question
// back.
func (e *Edge) Enquire(now float64, number, skill string, patience float64, done func(now float64, n Named)) (stop func()) {
	e.Now, e.sip.Now = now, now
	k := e.Classes[skill]
	if k == nil {
		done(now, Named{Code: 404, Why: "no such skill"})
		return func() {}
	}
	c := &routing.Call{Class: k, CalledNumber: number, ArrivedAt: now, DestinationID: -1}
	q := &enquiry{held: &held{Session: e.NewSession(c, patience), edge: e, session: e.session()}, done: done}
	q.SignalingLeg, q.refuser = q, q
	q.SetDeadline()
	if e.table != nil && !q.analyse(number, "") {
		return func() {}
	}
	c.Destination = e.Endpoints.ByDestination(c.DestinationID)
	e.Enqueue(q.Session)
	return q.stop
}

// stop: nobody waits for the answer any more.
func (q *enquiry) stop() {
	switch {
	case q.Finished:
	case !q.Accepted:
		q.Finished = true
		q.letGo()
	default:
		q.settle(487)
		if q.WithRouter {
			q.edge.Router.OnHangup(q.edge.Now, q.Call)
		}
	}
}

// turned implements control.Party.
func (q *enquiry) SendShed() {
	q.letGo()
	q.done(q.edge.Now, Named{Code: 503, Why: "busy"})
}

// OnAccepted implements control.Party.
func (q *enquiry) OnAccepted() bool { return q.route.waits == "" }

// refuse implements control.Party.
func (q *enquiry) refuse(code int, why string) {
	if !q.Accepted {
		q.Finished = true
	} else if !q.settle(code) {
		return
	}
	q.done(q.edge.Now, Named{Code: code, Why: why})
}

// defers implements control.Party.
func (q *enquiry) SendRejection(wait float64) {
	if !q.settle(503) {
		return
	}
	if !q.edge.cfg.Set.RetryAfterEnabled {
		wait = 0
	}
	q.done(q.edge.Now, Named{Code: 503, Why: "deferred", Wait: wait})
}

// isOut implements control.Party.
func (q *enquiry) HasAttempt() bool { return q.out != nil }

// SendSetup implements control.Party: the answer is the attempt. Whoever asked calls the endpoint itself, so it is over for us; the module
// counts it as one that was sent and taken.
func (q *enquiry) SendSetup(r *routing.Attempt, _ float64) bool {
	e := q.edge
	g := e.groups[r.Endpoint.DestinationID]
	if g == nil || g.out >= g.Size || !q.settle(200) {
		return false
	}
	q.Finished, q.out = true, r
	e.Counts.EnquiriesAnswered++
	p := r.Endpoint
	e.Timers.Schedule(e.Now, func() {
		q.out = nil
		q.EndAttempt(r, routing.Completed, true)
	})
	q.done(e.Now, Named{Code: 200, Addr: e.addrs[p], Group: g.Name, Number: q.CalledNumber, Params: q.route.params,
		Still: func() bool { return p.State == routing.Ready }})
	return true
}

// callOff implements control.Party: an answer that was given can't be taken back.
func (*enquiry) SendCancel(*routing.Attempt) {}

// trying implements control.Party.
func (*enquiry) SendTrying() {}
