package edge

import (
	"hash/fnv"
	"strings"

	"github.com/emiago/sipgo/sip"

	"cobaltpier/clock"
	"cobaltpier/contact"
	"cobaltpier/host"
	"cobaltpier/signal"
)

// Reasons of a release (RFC 3326, Q.850).
const (
	plainReason = `Q.850;cause=16;text="Normal call clearing"`
	cutReason   = `Q.850;cause=41;text="Temporary failure"`
)

// servicePrefix is what RFC 6050 puts before the name of a service.
const servicePrefix = "urn:urn-7:"

// end is our side of a dialog: the caller's or a trunk's.
type end struct {
	edge   *Edge
	call   *call // nil: one that nobody wants any more
	leg    *leg  // nil: the caller's
	callID string
	tag    string
}

// call is a contact with its legs.
type call struct {
	host.Call
	edge    *Edge
	req     *sip.Request
	server  *signal.Server
	tag     string
	session string
	payer   string // host of the caller's address
	trunk   *leg   // whose ring is out or stands
	overdue *clock.Timer
	rang    bool    // the caller was told that it rings
	offered bool    // the module has it
	from    float64 // its patience counts from here
	expires float64 // what the caller said of its patience, 0: nothing
	route   routing
	clear   float64 // rule 5: no send before this
}

// invited takes an INVITE: decoded fields go straight into a contact. It is offered by the next Wake.
func (e *Edge) invited(s *signal.Server, req *sip.Request) {
	name, ok := strings.CutPrefix(signal.Field(req, signal.Service), servicePrefix)
	if !ok {
		name = e.cfg.Default
	}
	user, params, _ := strings.Cut(req.Recipient.User, ";")
	skill := e.skills[name]
	switch {
	case e.refusals.Known(e.now, key(req)):
		s.Refuse(e.busy(req))
		return
	case skill == nil:
		s.Respond(signal.Response(req, 404, "Not Found", e.names.Next()))
		return
	case user == "":
		s.Respond(signal.Response(req, 484, "Address Incomplete", e.names.Next()))
		return
	case req.Contact() == nil:
		s.Respond(signal.Response(req, 400, "Missing Contact", e.names.Next()))
		return
	}
	c := &contact.Contact{Skill: skill, Customer: e.payers[req.From().Address.Host], Number: user, Came: e.now, HomeNumber: -1}
	if g := e.byName[param(params, "tgrp")]; g != nil {
		c.HomeNumber = g.Pool
	}
	k := &call{Call: host.Call{Contact: c}, edge: e, req: req, server: s, session: signal.Session(req),
		payer: req.From().Address.Host, from: e.since(), expires: signal.Wait(signal.Field(req, "Expires"))}
	c.ID, s.User = k, k
	k.patience()
	if k.session == "" {
		k.session = e.session()
	}
	if e.table != nil && !k.analyse(user, params) {
		return
	}
	c.Home = e.pools.Home(c.HomeNumber)
	e.waiting = append(e.waiting, k)
}

// patience is how long the caller of a contact of its skill waits, no longer than it says itself.
func (k *call) patience() {
	p := k.Skill.Patience
	if k.expires > 0 {
		p = min(p, k.expires)
	}
	k.Until = k.from + p - k.edge.cfg.Margin
}

// param is a parameter of a telephone number in a user part (RFC 3261 19.1.6, RFC 4904).
func param(params, name string) string {
	for p := range strings.SplitSeq(params, ";") {
		if k, v, _ := strings.Cut(p, "="); strings.EqualFold(k, name) {
			return v
		}
	}
	return ""
}

// key names an INVITE's transaction in little space.
func key(req *sip.Request) uint64 {
	h := fnv.New64a()
	branch, _ := req.Via().Params.Get("branch")
	h.Write([]byte(branch))
	h.Write([]byte(*req.CallID()))
	return h.Sum64()
}

// busy is the answer to what is turned away at the door; it needs no state.
func (e *Edge) busy(req *sip.Request) *sip.Response {
	return signal.Response(req, 503, "Service Unavailable", "busy")
}

// turn refuses what the intake does not take.
func (e *Edge) turn(k *call) {
	if k.Over {
		return
	}
	e.Counts.Turned++
	k.Over = true
	k.letGo()
	e.refusals.Add(e.now, key(k.req))
	k.server.Refuse(e.busy(k.req))
}

// take hands a contact to the module.
func (e *Edge) take(k *call) {
	e.Counts.Taken++
	e.held++
	k.tag = e.names.Next()
	if e.closing {
		e.Counts.Deferred++
		k.answer(signal.Response(k.req, 503, "Service Unavailable", k.tag))
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
func (k *call) offer() {
	k.offered = true
	k.edge.mod.Offered(k.edge.now, k.Contact)
}

// watch sees to it that the caller hears something soon, and has its answer whatever happens.
func (k *call) watch() {
	e := k.edge
	k.overdue = e.timers.Set(e.now+trying, func() {
		if !k.rang {
			k.server.Respond(signal.Response(k.req, 100, "Trying", ""))
		}
		// Rule 1 holds whatever the module does: a contact that is forgotten is answered here.
		k.overdue = e.timers.Set(k.Until+e.cfg.Set.Slack/2, func() {
			e.Counts.Overdue++
			e.Abandon(k.Contact)
		})
	})
}

// trying is when a caller that heard nothing is told that its call is looked at: 200 ms at most (RFC 3261 8.2.6.1), ms.
const trying = 150

// answer sends a final answer: the one place that does so for a contact that was taken. A second one never leaves.
func (k *call) answer(res *sip.Response) {
	if k.Over || k.Stands {
		return
	}
	e := k.edge
	e.held--
	e.timers.Stop(k.overdue)
	k.letGo()
	if res.StatusCode >= 300 {
		k.Over = true
	}
	k.server.Respond(res)
	if e.OnFate != nil {
		e.OnFate(Fate{Session: k.session, Skill: k.Skill.Name, Answer: res.StatusCode, Rings: k.Rings(), Took: e.now - k.Came,
			Table: k.route.version, Route: k.route.name})
	}
	if k.Over && k.trunk != nil {
		k.trunk.cancel()
	}
}

// Rings is how many set-ups were sent.
func (k *call) Rings() int { return k.Contact.Rings }

// ringing tells the caller that it rings.
func (k *call) ringing() {
	if !k.rang && !k.Over {
		k.rang = true
		k.server.Respond(signal.Response(k.req, 180, "Ringing", k.tag))
	}
}

// stands tells the caller that the call stands.
func (k *call) stands(from *sip.Response) {
	e := k.edge
	res := signal.Response(k.req, 200, "OK", k.tag)
	res.AppendHeader(&sip.ContactHeader{Address: e.uri("")})
	copyBody(from, res)
	k.answer(res)
	k.Stands = true
	e.standing++
	e.Counts.Stood++
	e.ends[k.tag] = &end{edge: e, call: k, callID: string(*k.req.CallID()), tag: k.tag}
	k.server.Lost(func() { k.release(contact.Done, plainReason) }) // RFC 3261 13.3.1.4: no ACK ever came
}

// CalledOff implements signal.User: the caller is gone before its answer.
func (e *Edge) CalledOff(s *signal.Server, _ *sip.Request) {
	e.now = e.sip.Now
	k, ok := s.User.(*call)
	if !ok || k.Over || k.Stands {
		return
	}
	e.Counts.Left++
	if k.tag == "" { // not taken yet
		k.Over = true
		k.letGo()
		s.Respond(signal.Response(k.req, 487, "Request Terminated", e.names.Next()))
		return
	}
	k.answer(signal.Response(k.req, 487, "Request Terminated", k.tag))
	if k.offered {
		e.mod.Left(e.now, k.Contact)
	}
}

// Acked implements signal.User.
func (e *Edge) Acked(req *sip.Request) {
	if d := e.ends[signal.Tag(req.To().Params)]; d != nil && d.call != nil && d.leg == nil {
		d.call.server.Acked()
	}
}

// bye ends a call from either side.
func (d *end) bye(req *sip.Request) {
	if d.call == nil || !d.call.Stands {
		return
	}
	how, why := contact.Done, plainReason
	if v := signal.Field(req, signal.Reason); strings.Contains(v, "Q.850") && !strings.Contains(v, "cause=16") {
		how, why = contact.Reset, v
	}
	k := d.call
	if d.leg == nil {
		delete(k.edge.ends, k.tag) // nothing more goes to this side
	} else {
		d.leg.closed = true
	}
	k.release(how, why)
}

// release ends a standing call on the sides that do not know of it yet.
func (k *call) release(how contact.End, why string) {
	if !k.Stands || k.trunk == nil {
		return
	}
	e, l := k.edge, k.trunk
	k.server.Acked() // a BYE may overtake the ACK: the 200 is not repeated any more
	e.standing--
	k.trunk = nil
	if _, open := e.ends[k.tag]; open {
		delete(e.ends, k.tag)
		req := sip.NewRequest(sip.BYE, k.req.Contact().Address)
		from, to := k.req.From(), k.req.To()
		e.common(req, &sip.FromHeader{Address: to.Address, Params: sip.HeaderParams{{K: "tag", V: k.tag}}},
			&sip.ToHeader{Address: from.Address, Params: from.Params}, string(*k.req.CallID()), 1)
		e.bye(req, k, why)
		e.sip.Ask(req, k.server.To(), nil, func(*sip.Response) {})
	}
	if !l.closed {
		l.bye(why)
	}
	l.told = true
	l.forget()
	e.ended(k, l.ring, how, true)
}

// bye gives a BYE its Session-ID and reason.
func (e *Edge) bye(req *sip.Request, k *call, why string) {
	req.AppendHeader(sip.NewHeader(signal.SessionID, signal.SessionValue(k.session)))
	req.AppendHeader(sip.NewHeader(signal.Reason, why))
}

// session is an id for a contact whose caller gave none.
func (e *Edge) session() string { return signal.NewSession(&e.names) }

func copyBody(from, to interface {
	GetHeader(string) sip.Header
	Body() []byte
	SetBody([]byte)
	AppendHeader(sip.Header)
}) {
	if b := from.Body(); len(b) > 0 {
		if t := from.GetHeader("Content-Type"); t != nil {
			to.AppendHeader(t)
		}
		to.SetBody(b)
	}
}
