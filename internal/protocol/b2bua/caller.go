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
	normalClearing   = `Q.850;cause=16;text="Normal call clearing"`
	temporaryFailure = `Q.850;cause=41;text="Temporary failure"`
)

// servicePrefix is what RFC 6050 puts before the name of a service.
const servicePrefix = "urn:urn-7:"

// dialog is our side of a dialog: the caller's or a trunk's.
type dialog struct {
	agent  *Agent
	call   *call        // nil: one that nobody wants any more
	leg    *outboundLeg // nil: the caller's
	callID string
	tag    string
}

// call is a call of a caller by SIP, with its legs.
type call struct {
	*session
	invite      *sip.Request
	server      *siptransaction.Server
	tag         string
	tenantHost  string       // host of the caller's address
	leg         *outboundLeg // whose attempt is out or stands
	ringingSent bool         // the caller was told that it attempts
}

// onInvite takes an INVITE: decoded fields go straight into a call. It is offered by the next Wake.
func (e *Agent) onInvite(s *siptransaction.Server, req *sip.Request) {
	name, ok := strings.CutPrefix(siptransaction.HeaderValue(req, siptransaction.Service), servicePrefix)
	if !ok {
		name = e.config.DefaultClass
	}
	user, params, _ := strings.Cut(req.Recipient.User, ";")
	skill := e.Classes[name]
	switch {
	case e.refusals.Known(e.Now, transactionKey(req)):
		s.RespondStateless(e.overloadedResponse(req))
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
	c := &routing.Call{
		Class:         skill,
		Tenant:        e.Tenants[req.From().Address.Host],
		CalledNumber:  user,
		ArrivedAt:     e.Now,
		DestinationID: -1,
	}
	if g := e.byName[numberParameter(params, "tgrp")]; g != nil {
		c.DestinationID = g.DestinationID
	}
	k := &call{
		session: &session{
			Session:   e.NewSession(c, siptransaction.ParseRetryAfter(siptransaction.HeaderValue(req, "Expires"))),
			agent:     e,
			sessionID: siptransaction.SessionIDOf(req),
		},
		invite:     req,
		server:     s,
		tenantHost: req.From().Address.Host,
	}
	k.SignalingLeg, k.responder, s.User = k, k, k
	k.SetDeadline()
	if k.sessionID == "" {
		k.sessionID = e.newSessionID()
	}
	if e.table != nil && !k.startAnalysis(user, params) {
		return
	}
	c.Destination = e.Endpoints.ByDestination(c.DestinationID)
	e.Enqueue(k.Session)
}

// numberParameter is a parameter of a telephone number in a user part (RFC 3261 19.1.6, RFC 4904).
func numberParameter(params, name string) string {
	for p := range strings.SplitSeq(params, ";") {
		if k, v, _ := strings.Cut(p, "="); strings.EqualFold(k, name) {
			return v
		}
	}
	return ""
}

// transactionKey names an INVITE's transaction in little space.
func transactionKey(req *sip.Request) uint64 {
	h := fnv.New64a()
	branch, _ := req.Via().Params.Get("branch")
	h.Write([]byte(branch))
	h.Write([]byte(*req.CallID()))
	return h.Sum64()
}

// overloadedResponse is the answer to what is rejected at the door; it needs no state.
func (e *Agent) overloadedResponse(req *sip.Request) *sip.Response {
	return siptransaction.Response(req, 503, "Service Unavailable", "busy")
}

// turned implements control.Party.
func (k *call) SendShed() {
	k.releaseTable()
	k.agent.refusals.Add(k.agent.Now, transactionKey(k.invite))
	k.server.RespondStateless(k.agent.overloadedResponse(k.invite))
}

// respond implements control.Party: of what was not taken nothing is kept.
func (k *call) respond(code int, why string) {
	if k.tag == "" {
		k.server.Respond(siptransaction.Response(k.invite, code, why, k.agent.names.Next()))
		return
	}
	k.answer(siptransaction.Response(k.invite, code, why, k.tag))
}

// defers implements control.Party.
func (k *call) SendRejection(wait float64) {
	res := siptransaction.Response(k.invite, 503, "Service Unavailable", k.tag)
	if wait > 0 && k.agent.config.Settings.RetryAfterEnabled {
		res.AppendHeader(sip.NewHeader(siptransaction.RetryAfter, siptransaction.FormatRetryAfter(wait)))
	}
	k.answer(res)
}

// isOut implements control.Party.
func (k *call) HasAttempt() bool { return k.leg != nil }

// callOff implements control.Party.
func (k *call) SendCancel(r *routing.Attempt) {
	if k.leg != nil && k.leg.attempt == r && !k.Established {
		k.leg.cancel()
	}
}

// OnAccepted implements control.Party: a number that has to be looked up is not ready.
func (k *call) OnAccepted() bool {
	k.tag = k.agent.names.Next()
	return k.number.lookupNumber == ""
}

// trying implements control.Party.
func (k *call) SendTrying() {
	if !k.ringingSent {
		k.server.Respond(siptransaction.Response(k.invite, 100, "Trying", ""))
	}
}

// answer sends a final answer. A second one never leaves.
func (k *call) answer(res *sip.Response) {
	if !k.finish(res.StatusCode) {
		return
	}
	k.server.Respond(res)
	if k.Finished && k.leg != nil {
		k.leg.cancel()
	}
}

// ringing tells the caller that it attempts.
func (k *call) ringing() {
	if !k.ringingSent && !k.Finished {
		k.ringingSent = true
		k.server.Respond(siptransaction.Response(k.invite, 180, "Ringing", k.tag))
	}
}

// establish tells the caller that the call stands.
func (k *call) establish(from *sip.Response) {
	e := k.agent
	res := siptransaction.Response(k.invite, 200, "OK", k.tag)
	res.AppendHeader(&sip.ContactHeader{Address: e.ownURI("")})
	copyBody(from, res)
	k.answer(res)
	k.Established = true
	e.AddEstablished(1)
	e.Counts.Answered++
	e.dialogs[k.tag] = &dialog{agent: e, call: k, callID: string(*k.invite.CallID()), tag: k.tag}
	k.server.OnUnacknowledged(
		func() { k.release(routing.Completed, normalClearing) },
	) // RFC 3261 13.3.1.4: no ACK ever came
}

// OnCancel implements signal.User: the caller is gone before its answer.
func (e *Agent) OnCancel(s *siptransaction.Server, _ *sip.Request) {
	e.Now = e.sip.Now
	k, ok := s.User.(*call)
	if !ok || k.Finished || k.Established {
		return
	}
	e.Counts.HungUp++
	if k.tag == "" { // not taken yet
		k.Finished = true
		k.releaseTable()
		s.Respond(siptransaction.Response(k.invite, 487, "Request Terminated", e.names.Next()))
		return
	}
	k.answer(siptransaction.Response(k.invite, 487, "Request Terminated", k.tag))
	if k.WithRouter {
		e.Router.OnHangup(e.Now, k.Call)
	}
}

// OnAck implements signal.User.
func (e *Agent) OnAck(req *sip.Request) {
	if d := e.dialogs[siptransaction.Tag(req.To().Params)]; d != nil && d.call != nil && d.leg == nil {
		d.call.server.Acknowledge()
	}
}

// bye ends a call from either side.
func (d *dialog) bye(req *sip.Request) {
	if d.call == nil || !d.call.Established {
		return
	}
	how, why := routing.Completed, normalClearing
	if v := siptransaction.HeaderValue(req, siptransaction.Reason); strings.Contains(v, "Q.850") &&
		!strings.Contains(v, "cause=16") {
		how, why = routing.Reset, v
	}
	k := d.call
	if d.leg == nil {
		delete(k.agent.dialogs, k.tag) // nothing more goes to this side
	} else {
		d.leg.closed = true
	}
	k.release(how, why)
}

// release ends a standing call on the sides that do not know of it yet.
func (k *call) release(how routing.Outcome, why string) {
	if !k.Established || k.leg == nil {
		return
	}
	e, l := k.agent, k.leg
	k.server.Acknowledge() // a BYE may overtake the ACK: the 200 is not repeated any more
	e.AddEstablished(-1)
	k.leg = nil
	if _, open := e.dialogs[k.tag]; open {
		delete(e.dialogs, k.tag)
		req := sip.NewRequest(sip.BYE, k.invite.Contact().Address)
		from, to := k.invite.From(), k.invite.To()
		e.addCommonHeaders(req, &sip.FromHeader{Address: to.Address, Params: sip.HeaderParams{{K: "tag", V: k.tag}}},
			&sip.ToHeader{Address: from.Address, Params: from.Params}, string(*k.invite.CallID()), 1)
		e.bye(req, k, why)
		e.sip.Send(req, k.server.ResponseAddress(), nil, func(*sip.Response) {})
	}
	if !l.closed {
		l.bye(why)
	}
	l.reported = true
	l.forget()
	k.EndAttempt(l.attempt, how, true)
}

// bye gives a BYE its Session-ID and reason.
func (e *Agent) bye(req *sip.Request, k *call, why string) {
	req.AppendHeader(sip.NewHeader(siptransaction.SessionID, siptransaction.FormatSessionID(k.sessionID)))
	req.AppendHeader(sip.NewHeader(siptransaction.Reason, why))
}

// newSessionID is an id for a call whose caller gave none.
func (e *Agent) newSessionID() string { return siptransaction.NewSessionID(&e.names) }

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
