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

// servicePrefix precedes the name of a service (RFC 6050).
const servicePrefix = "urn:urn-7:"

// dialog is our side of a SIP dialog, with a caller or with an endpoint.
type dialog struct {
	agent  *Agent
	call   *call
	leg    *outboundLeg // nil in the caller's dialog
	callID string
	tag    string
}

// call is a SIP call from a caller, with its legs.
type call struct {
	*session
	invite      *sip.Request
	server      *siptransaction.Server
	tag         string
	tenantHost  string       // host of the caller's From address
	leg         *outboundLeg // of the attempt in flight, or of the established call
	ringingSent bool         // 180 Ringing was sent to the caller
}

// onInvite handles a new INVITE. Unless it is rejected here, the call goes to load shedding and, if it is admitted, to
// the policy at the end of the batch.
func (a *Agent) onInvite(s *siptransaction.Server, req *sip.Request) {
	className, ok := strings.CutPrefix(siptransaction.HeaderValue(req, siptransaction.ServiceHeader), servicePrefix)
	if !ok {
		className = a.config.DefaultClass
	}
	user, params, _ := strings.Cut(req.Recipient.User, ";")
	class := a.Classes[className]
	switch {
	case a.refusals.Known(a.Now, transactionKey(req)):
		s.RespondStateless(a.overloadedResponse(req))
		return
	case class == nil:
		s.Respond(siptransaction.Response(req, 404, "Not Found", a.ids.Next()))
		return
	case user == "":
		s.Respond(siptransaction.Response(req, 484, "Address Incomplete", a.ids.Next()))
		return
	case req.Contact() == nil:
		s.Respond(siptransaction.Response(req, 400, "Missing Contact", a.ids.Next()))
		return
	}
	routingCall := &routing.Call{
		Class:         class,
		Tenant:        a.Tenants[req.From().Address.Host],
		CalledNumber:  user,
		ArrivedAt:     a.Now,
		DestinationID: -1,
	}
	if g := a.groupsByName[numberParameter(params, "tgrp")]; g != nil {
		routingCall.DestinationID = g.DestinationID
	}
	c := &call{
		session: &session{
			Session:   a.NewSession(routingCall, siptransaction.ParseRetryAfter(siptransaction.HeaderValue(req, "Expires"))),
			agent:     a,
			sessionID: siptransaction.SessionIDOf(req),
		},
		invite:     req,
		server:     s,
		tenantHost: req.From().Address.Host,
	}
	c.SignalingLeg, c.responder, s.User = c, c, c
	c.SetDeadline()
	if c.sessionID == "" {
		c.sessionID = a.newSessionID()
	}
	if a.table != nil && !c.startAnalysis(user, params) {
		return
	}
	routingCall.Destination = a.Endpoints.ByDestination(routingCall.DestinationID)
	a.Enqueue(c.Session)
}

// numberParameter returns a parameter of the telephone number in a user part (RFC 3261 19.1.6, RFC 4904).
func numberParameter(params, name string) string {
	for p := range strings.SplitSeq(params, ";") {
		if k, v, _ := strings.Cut(p, "="); strings.EqualFold(k, name) {
			return v
		}
	}
	return ""
}

// transactionKey identifies an INVITE's transaction by a hash, to save memory.
func transactionKey(req *sip.Request) uint64 {
	h := fnv.New64a()
	branch, _ := req.Via().Params.Get("branch")
	h.Write([]byte(branch))
	h.Write([]byte(*req.CallID()))
	return h.Sum64()
}

// overloadedResponse is the response to a call that is shed. It is the same each time, so no state is kept for it, and
// it names no time to call again: that would be another each time.
func (a *Agent) overloadedResponse(req *sip.Request) *sip.Response {
	return siptransaction.Response(req, 503, "Service Unavailable", "busy")
}

// SendShed implements callcontrol.SignalingLeg.
func (c *call) SendShed(float64) {
	c.releaseTable()
	c.agent.refusals.Add(c.agent.Now, transactionKey(c.invite))
	c.server.RespondStateless(c.agent.overloadedResponse(c.invite))
}

// respond implements responder. No state is kept for a call that was not admitted.
func (c *call) respond(code int, reason string) {
	if c.tag == "" {
		c.server.Respond(siptransaction.Response(c.invite, code, reason, c.agent.ids.Next()))
		return
	}
	c.sendFinal(siptransaction.Response(c.invite, code, reason, c.tag))
}

// SendRejection implements callcontrol.SignalingLeg.
func (c *call) SendRejection(wait float64) {
	res := siptransaction.Response(c.invite, 503, "Service Unavailable", c.tag)
	if wait > 0 && c.agent.config.Settings.RetryAfterEnabled {
		res.AppendHeader(sip.NewHeader(siptransaction.RetryAfter, siptransaction.FormatRetryAfter(wait)))
	}
	c.sendFinal(res)
}

// HasAttempt implements callcontrol.SignalingLeg.
func (c *call) HasAttempt() bool { return c.leg != nil }

// SetupSent implements callcontrol.SignalingLeg. A setup is sent when its leg is made.
func (c *call) SetupSent() bool { return c.leg != nil }

// SendCancel implements callcontrol.SignalingLeg.
func (c *call) SendCancel(attempt *routing.Attempt) {
	if c.leg != nil && c.leg.attempt == attempt && !c.Established {
		c.leg.cancel()
	}
}

// OnAccepted implements callcontrol.SignalingLeg. A call whose number has to be looked up is not ready for the policy.
func (c *call) OnAccepted() bool {
	c.tag = c.agent.ids.Next()
	return c.number.lookupNumber == ""
}

// SendTrying implements callcontrol.SignalingLeg.
func (c *call) SendTrying() {
	if !c.ringingSent {
		c.server.Respond(siptransaction.Response(c.invite, 100, "Trying", ""))
	}
}

// sendFinal sends the final response, never a second one (rule 1). If the call is finished, it cancels the setup.
func (c *call) sendFinal(res *sip.Response) {
	if !c.finishWithCode(res.StatusCode) {
		return
	}
	c.server.Respond(res)
	if c.Finished && c.leg != nil {
		c.leg.cancel()
	}
}

// sendRinging sends the caller 180 Ringing, once.
func (c *call) sendRinging() {
	if !c.ringingSent && !c.Finished {
		c.ringingSent = true
		c.server.Respond(siptransaction.Response(c.invite, 180, "Ringing", c.tag))
	}
}

// establish answers the caller with 200 and opens the caller's dialog.
func (c *call) establish(answer *sip.Response) {
	a := c.agent
	res := siptransaction.Response(c.invite, 200, "OK", c.tag)
	res.AppendHeader(&sip.ContactHeader{Address: a.ownURI("")})
	copyBody(answer, res)
	c.sendFinal(res)
	c.Established = true
	a.AddEstablished(1)
	a.Counts.Answered++
	a.dialogs[c.tag] = &dialog{agent: a, call: c, callID: string(*c.invite.CallID()), tag: c.tag}
	c.server.OnUnacknowledged(
		func() { c.release(routing.Completed, normalClearing) },
	) // RFC 3261 13.3.1.4: no ACK arrived
}

// OnCancel implements siptransaction.User: the caller cancels before the final answer.
func (a *Agent) OnCancel(s *siptransaction.Server, _ *sip.Request) {
	a.Now = a.sip.Now
	c, ok := s.User.(*call)
	if !ok || c.Finished || c.Established {
		return
	}
	a.Counts.HungUp++
	if c.tag == "" { // not admitted yet
		c.Finished = true
		c.releaseTable()
		s.Respond(siptransaction.Response(c.invite, 487, "Request Terminated", a.ids.Next()))
		return
	}
	c.sendFinal(siptransaction.Response(c.invite, 487, "Request Terminated", c.tag))
	if c.WithRouter {
		a.Router.OnHangup(a.Now, c.Call)
	}
}

// OnAck implements siptransaction.User.
func (a *Agent) OnAck(req *sip.Request) {
	if d := a.dialogs[siptransaction.Tag(req.To().Params)]; d != nil && d.call != nil && d.leg == nil {
		d.call.server.Acknowledge()
	}
}

// onBye handles a BYE from either side and releases the call.
func (d *dialog) onBye(req *sip.Request) {
	if d.call == nil || !d.call.Established {
		return
	}
	outcome, reason := routing.Completed, normalClearing
	if v := siptransaction.HeaderValue(req, siptransaction.ReasonHeader); strings.Contains(v, "Q.850") &&
		!strings.Contains(v, "cause=16") {
		outcome, reason = routing.Reset, v
	}
	c := d.call
	if d.leg == nil {
		delete(c.agent.dialogs, c.tag) // no BYE is sent back to this side
	} else {
		d.leg.releasedByPeer = true
	}
	c.release(outcome, reason)
}

// release ends an established call and sends BYE to each side that has not released it.
func (c *call) release(outcome routing.Outcome, reason string) {
	if !c.Established || c.leg == nil {
		return
	}
	a, l := c.agent, c.leg
	c.server.Acknowledge() // a BYE may overtake the ACK: stop retransmitting the 200
	a.AddEstablished(-1)
	c.leg = nil
	if _, open := a.dialogs[c.tag]; open {
		delete(a.dialogs, c.tag)
		req := sip.NewRequest(sip.BYE, c.invite.Contact().Address)
		from, to := c.invite.From(), c.invite.To()
		a.addCommonHeaders(req, &sip.FromHeader{Address: to.Address, Params: sip.HeaderParams{{K: "tag", V: c.tag}}},
			&sip.ToHeader{Address: from.Address, Params: from.Params}, string(*c.invite.CallID()), 1)
		a.addByeHeaders(req, c, reason)
		a.sip.Send(req, c.server.ResponseAddress(), nil, func(*sip.Response) {})
	}
	if !l.releasedByPeer {
		l.sendBye(reason)
	}
	l.reported = true
	l.discard()
	c.EndAttempt(l.attempt, outcome, true)
}

// addByeHeaders adds Session-ID and Reason to a BYE.
func (a *Agent) addByeHeaders(req *sip.Request, c *call, reason string) {
	req.AppendHeader(sip.NewHeader(siptransaction.SessionID, siptransaction.FormatSessionID(c.sessionID)))
	req.AppendHeader(sip.NewHeader(siptransaction.ReasonHeader, reason))
}

// newSessionID makes a session ID for an enquiry, or for a call without one.
func (a *Agent) newSessionID() string { return siptransaction.NewSessionID(&a.ids) }

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
