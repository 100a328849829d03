package b2bua

import (
	"hash/fnv"
	"strings"

	"github.com/emiago/sipgo/sip"

	"cobaltpier/internal/protocol/siptransaction"
	"cobaltpier/internal/routing"
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

// call is a call of a caller by SIP, with its legs.
type call struct {
	*held
	req    *sip.Request
	server *siptransaction.Server
	tag    string
	payer  string // host of the caller's address
	trunk  *leg   // whose attempt is out or stands
	rang   bool   // the caller was told that it attempts
}

// invited takes an INVITE: decoded fields go straight into a call. It is offered by the next Wake.
func (e *Edge) invited(s *siptransaction.Server, req *sip.Request) {
	name, ok := strings.CutPrefix(siptransaction.Field(req, siptransaction.Service), servicePrefix)
	if !ok {
		name = e.cfg.Default
	}
	user, params, _ := strings.Cut(req.Recipient.User, ";")
	skill := e.Classes[name]
	switch {
	case e.refusals.Known(e.Now, key(req)):
		s.Refuse(e.busy(req))
		return
	case skill == nil:
		s.Respond(siptransaction.Response(req, 404, "Not Found", e.names.Next()))
		return
	case user == "":
		s.Respond(siptransaction.Response(req, 484, "Address Incomplete", e.names.Next()))
		return
	case req.Contact() == nil:
		s.Respond(siptransaction.Response(req, 400, "Missing Contact", e.names.Next()))
		return
	}
	c := &routing.Call{Class: skill, Tenant: e.Tenants[req.From().Address.Host], CalledNumber: user, ArrivedAt: e.Now, DestinationID: -1}
	if g := e.byName[param(params, "tgrp")]; g != nil {
		c.DestinationID = g.Pool
	}
	k := &call{held: &held{Session: e.NewSession(c, siptransaction.Wait(siptransaction.Field(req, "Expires"))), edge: e, session: siptransaction.Session(req)}, req: req, server: s,
		payer: req.From().Address.Host}
	k.SignalingLeg, k.refuser, s.User = k, k, k
	k.SetDeadline()
	if k.session == "" {
		k.session = e.session()
	}
	if e.table != nil && !k.analyse(user, params) {
		return
	}
	c.Destination = e.Endpoints.ByDestination(c.DestinationID)
	e.Enqueue(k.Session)
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

// busy is the answer to what is rejected at the door; it needs no state.
func (e *Edge) busy(req *sip.Request) *sip.Response {
	return siptransaction.Response(req, 503, "Service Unavailable", "busy")
}

// turned implements control.Party.
func (k *call) SendShed() {
	k.letGo()
	k.edge.refusals.Add(k.edge.Now, key(k.req))
	k.server.Refuse(k.edge.busy(k.req))
}

// refuse implements control.Party: of what was not taken nothing is kept.
func (k *call) refuse(code int, why string) {
	if k.tag == "" {
		k.server.Respond(siptransaction.Response(k.req, code, why, k.edge.names.Next()))
		return
	}
	k.answer(siptransaction.Response(k.req, code, why, k.tag))
}

// defers implements control.Party.
func (k *call) SendRejection(wait float64) {
	res := siptransaction.Response(k.req, 503, "Service Unavailable", k.tag)
	if wait > 0 && k.edge.cfg.Set.RetryAfterEnabled {
		res.AppendHeader(sip.NewHeader(siptransaction.RetryAfter, siptransaction.Seconds(wait)))
	}
	k.answer(res)
}

// isOut implements control.Party.
func (k *call) HasAttempt() bool { return k.trunk != nil }

// callOff implements control.Party.
func (k *call) SendCancel(r *routing.Attempt) {
	if k.trunk != nil && k.trunk.ring == r && !k.Established {
		k.trunk.cancel()
	}
}

// OnAccepted implements control.Party: a number that has to be looked up is not ready.
func (k *call) OnAccepted() bool {
	k.tag = k.edge.names.Next()
	return k.route.waits == ""
}

// trying implements control.Party.
func (k *call) SendTrying() {
	if !k.rang {
		k.server.Respond(siptransaction.Response(k.req, 100, "Trying", ""))
	}
}

// answer sends a final answer. A second one never leaves.
func (k *call) answer(res *sip.Response) {
	if !k.settle(res.StatusCode) {
		return
	}
	k.server.Respond(res)
	if k.Finished && k.trunk != nil {
		k.trunk.cancel()
	}
}

// ringing tells the caller that it attempts.
func (k *call) ringing() {
	if !k.rang && !k.Finished {
		k.rang = true
		k.server.Respond(siptransaction.Response(k.req, 180, "Ringing", k.tag))
	}
}

// stands tells the caller that the call stands.
func (k *call) stands(from *sip.Response) {
	e := k.edge
	res := siptransaction.Response(k.req, 200, "OK", k.tag)
	res.AppendHeader(&sip.ContactHeader{Address: e.uri("")})
	copyBody(from, res)
	k.answer(res)
	k.Established = true
	e.AddEstablished(1)
	e.Counts.Answered++
	e.ends[k.tag] = &end{edge: e, call: k, callID: string(*k.req.CallID()), tag: k.tag}
	k.server.Lost(func() { k.release(routing.Completed, plainReason) }) // RFC 3261 13.3.1.4: no ACK ever came
}

// CalledOff implements signal.User: the caller is gone before its answer.
func (e *Edge) CalledOff(s *siptransaction.Server, _ *sip.Request) {
	e.Now = e.sip.Now
	k, ok := s.User.(*call)
	if !ok || k.Finished || k.Established {
		return
	}
	e.Counts.HungUp++
	if k.tag == "" { // not taken yet
		k.Finished = true
		k.letGo()
		s.Respond(siptransaction.Response(k.req, 487, "Request Terminated", e.names.Next()))
		return
	}
	k.answer(siptransaction.Response(k.req, 487, "Request Terminated", k.tag))
	if k.WithRouter {
		e.Router.OnHangup(e.Now, k.Call)
	}
}

// Acked implements signal.User.
func (e *Edge) Acked(req *sip.Request) {
	if d := e.ends[siptransaction.Tag(req.To().Params)]; d != nil && d.call != nil && d.leg == nil {
		d.call.server.Acked()
	}
}

// bye ends a call from either side.
func (d *end) bye(req *sip.Request) {
	if d.call == nil || !d.call.Established {
		return
	}
	how, why := routing.Completed, plainReason
	if v := siptransaction.Field(req, siptransaction.Reason); strings.Contains(v, "Q.850") && !strings.Contains(v, "cause=16") {
		how, why = routing.Reset, v
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
func (k *call) release(how routing.Outcome, why string) {
	if !k.Established || k.trunk == nil {
		return
	}
	e, l := k.edge, k.trunk
	k.server.Acked() // a BYE may overtake the ACK: the 200 is not repeated any more
	e.AddEstablished(-1)
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
	k.EndAttempt(l.ring, how, true)
}

// bye gives a BYE its Session-ID and reason.
func (e *Edge) bye(req *sip.Request, k *call, why string) {
	req.AppendHeader(sip.NewHeader(siptransaction.SessionID, siptransaction.SessionValue(k.session)))
	req.AppendHeader(sip.NewHeader(siptransaction.Reason, why))
}

// session is an id for a call whose caller gave none.
func (e *Edge) session() string { return siptransaction.NewSession(&e.names) }

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
