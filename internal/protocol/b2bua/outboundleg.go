package b2bua

import (
	"net/netip"

	"github.com/emiago/sipgo/sip"

	"cobaltpier/internal/protocol/siptransaction"
	"cobaltpier/internal/routing"
	"cobaltpier/internal/timerqueue"
)

// overloadControlParams are the Via parameters that announce the supported overload control algorithms (RFC 7339 4.1,
// RFC 7415).
var overloadControlParams = sip.HeaderParams{{K: "oc"}, {K: "oc-algo", V: `"loss,rate"`}}

// outboundLeg is the SIP side of one attempt. It is kept after the attempt's end was reported, until the endpoint has
// answered, rejected or released the call or its transaction has timed out.
type outboundLeg struct {
	call            *call
	attempt         *routing.Attempt
	group           *Group
	to              netip.AddrPort
	tx              *siptransaction.Client
	dialog          *dialog
	timeout         *timerqueue.Timer
	invite          *sip.Request
	answer          *sip.Response // the 2xx that established the dialog
	ack             []byte
	active          bool // until cancel is called: by the policy, with the caller's final response or on a timeout
	reported        bool // the attempt's end was reported to the policy
	releasedByPeer  bool // the endpoint sent BYE
	circuitReleased bool // its circuit was freed
}

// SendSetup implements callcontrol.SignalingLeg: it sends a setup over the endpoint's trunk group, with a timeout in
// ms. It returns false if the destination has no trunk group or the group has no free circuit.
func (c *call) SendSetup(attempt *routing.Attempt, timeout float64) bool {
	a := c.agent
	g := a.groupsByDestination[attempt.Endpoint.DestinationID]
	if g == nil || g.inUse >= g.Circuits {
		return false
	}
	to := a.addresses[attempt.Endpoint]
	l := &outboundLeg{call: c, attempt: attempt, group: g, to: to, active: true}
	tag, id := a.ids.Next(), a.ids.Next()+"@"+a.config.Name
	l.dialog = &dialog{agent: a, call: c, leg: l, callID: id, tag: tag}
	a.dialogs[tag] = l.dialog
	g.inUse++
	c.leg = l
	l.invite = sip.NewRequest(sip.INVITE, sip.Uri{Scheme: "sip", Host: to.Addr().String(), Port: int(to.Port()),
		User: c.CalledNumber + c.number.params + ";tgrp=" + g.Name + ";trunk-context=" + a.config.TrunkContext})
	a.addCommonHeaders(
		l.invite,
		&sip.FromHeader{Address: sip.Uri{Scheme: "sip", User: "anonymous", Host: c.tenantHost},
			Params: sip.HeaderParams{{K: "tag", V: tag}}},
		&sip.ToHeader{
			Address: sip.Uri{Scheme: "sip", User: c.CalledNumber, Host: to.Addr().String(), Port: int(to.Port())},
		},
		id,
		1,
	)
	l.invite.AppendHeader(&sip.ContactHeader{Address: a.ownURI("")})
	l.invite.AppendHeader(sip.NewHeader(siptransaction.SessionID, siptransaction.FormatSessionID(c.sessionID)))
	l.invite.AppendHeader(sip.NewHeader(siptransaction.ServiceHeader, servicePrefix+c.Class.Name))
	copyBody(c.invite, l.invite)
	l.tx = a.sip.Send(l.invite, to, overloadControlParams, l.onResponse)
	l.timeout = a.Timers.Schedule(a.Now+timeout, l.onTimeout)
	return true
}

// onTimeout handles the attempt's timeout. The timeout is reported to the policy at once, without waiting for the
// endpoint, so that the policy can try another endpoint or reject the call. The CANCEL is sent as soon as SIP allows
// it.
func (l *outboundLeg) onTimeout() {
	l.cancel()
	if !l.tx.HasResponse() {
		l.tx.StopRetransmitting()
	}
	l.reportEnd(routing.TimedOut)
}

// cancel cancels the setup. RFC 3261 9.1 forbids a CANCEL before the first provisional response; it is then sent when
// that response arrives (onProvisional). For the policy, the attempt stays in flight until reportEnd is called. If the
// call already has its final answer (rule 1) and no response has arrived, the setup is no longer retransmitted either.
func (l *outboundLeg) cancel() {
	l.active = false
	if !l.tx.Cancel() && l.call.Finished && !l.tx.HasResponse() {
		l.tx.StopRetransmitting()
	}
}

// onResponse handles a response of the endpoint, or the timeout of the transaction if res is nil.
func (l *outboundLeg) onResponse(res *sip.Response) {
	a := l.call.agent
	a.Now = a.sip.Now
	if res == nil {
		l.onTransactionTimeout()
		return
	}
	hasLoadReport := a.applyLoadReport(l.attempt.Endpoint, res)
	switch code := res.StatusCode; {
	case code < 200:
		l.onProvisional(code, hasLoadReport)
	case code < 300 && l.answer != nil:
		l.onFurtherAnswer(res)
	case code < 300:
		l.onAnswer(res, hasLoadReport)
	default:
		l.onFailure(res, hasLoadReport)
	}
}

func (l *outboundLeg) onTransactionTimeout() {
	if l.active || l.call.Finished {
		l.reportEnd(routing.TimedOut)
	} else {
		l.reportEnd(routing.Canceled)
	}
	l.discard()
}

func (l *outboundLeg) onProvisional(code int, hasLoadReport bool) {
	a := l.call.agent
	if hasLoadReport {
		a.Router.OnLoadReport(a.Now, l.attempt.Endpoint, true, true)
	}
	if !l.active {
		l.tx.Cancel()
	} else if code > sip.StatusTrying {
		l.call.sendRinging()
	}
}

// onFurtherAnswer handles a 2xx after the first: a retransmission, or one from another branch of a forked setup.
func (l *outboundLeg) onFurtherAnswer(res *sip.Response) {
	if siptransaction.Tag(res.To().Params) == siptransaction.Tag(l.answer.To().Params) {
		l.call.agent.transport.Send(l.to, l.ack)
		return
	}
	l.releaseForked(res)
}

func (l *outboundLeg) onAnswer(res *sip.Response, hasLoadReport bool) {
	c := l.call
	a := c.agent
	l.answer = res
	l.ack = l.sendAck(res)
	if hasLoadReport {
		a.Router.OnLoadReport(a.Now, l.attempt.Endpoint, true, true)
	}
	if !l.active || l.reported || c.Finished || c.Established {
		// The attempt was canceled or its end reported, or the call is finished or established: release this answer.
		l.sendBye(normalClearing)
		l.reportEnd(routing.Canceled)
		l.discard()
		return
	}
	a.Timers.Cancel(l.timeout)
	c.leg = l
	l.attempt.Latency = a.Now - l.attempt.SentAt
	c.establish(res)
	a.Router.OnAnswer(a.Now, l.attempt)
}

// onFailure handles a final response other than 2xx; docs/gateway.md lists what each code means.
func (l *outboundLeg) onFailure(res *sip.Response, hasLoadReport bool) {
	outcome := routing.Failed
	l.attempt.RetryAfter = 0
	switch res.StatusCode {
	case sip.StatusServiceUnavailable:
		outcome = routing.Overloaded
		l.attempt.RetryAfter = siptransaction.ParseRetryAfter(
			siptransaction.HeaderValue(res, siptransaction.RetryAfter))
	case sip.StatusBusyHere: // no free circuit at this endpoint
		outcome = routing.Overloaded
		l.attempt.AtCapacity = true
	case sip.StatusGlobalBusyEverywhere: // the called number is busy, at any endpoint
		l.attempt.NumberBusy = true
	case sip.StatusRequestTerminated:
		outcome = routing.Canceled
	case sip.StatusRequestTimeout:
		outcome = routing.TimedOut
	}
	l.attempt.HasLoadReport = hasLoadReport
	l.reportEnd(outcome)
	l.discard()
}

// reportEnd reports the end of the attempt to the policy, once.
func (l *outboundLeg) reportEnd(outcome routing.Outcome) {
	if l.reported {
		return
	}
	l.reported = true
	c := l.call
	c.agent.Timers.Cancel(l.timeout)
	if c.leg == l {
		c.leg = nil
	}
	c.EndAttempt(l.attempt, outcome, c.Finished)
}

// discard removes the leg's dialog and frees its circuit.
func (l *outboundLeg) discard() {
	a := l.call.agent
	delete(a.dialogs, l.dialog.tag)
	if l.answer != nil && l.reported {
		l.tx.Discard() // a retransmitted 2xx is then handled by OnStrayResponse
	}
	a.Timers.Cancel(l.timeout)
	if !l.circuitReleased {
		l.circuitReleased = true
		l.group.inUse--
	}
}

// newDialogRequest makes a request in the dialog that a response established.
func (l *outboundLeg) newDialogRequest(method sip.RequestMethod, res *sip.Response, seq uint32) *sip.Request {
	target := l.invite.Recipient
	if c := res.Contact(); c != nil {
		target = c.Address // Request-URI only: the datagram goes to the setup's address
	}
	req := sip.NewRequest(method, target)
	l.call.agent.addCommonHeaders(req, l.invite.From(), res.To(), l.dialog.callID, seq)
	return req
}

// sendAck sends the ACK of a 2xx (RFC 3261 13.2.2.4) and returns it for retransmissions.
func (l *outboundLeg) sendAck(res *sip.Response) []byte {
	a := l.call.agent
	req := l.newDialogRequest(sip.ACK, res, 1)
	req.AppendHeader(sip.NewHeader(siptransaction.SessionID, siptransaction.FormatSessionID(l.call.sessionID)))
	return a.sip.SendAck(req, l.to)
}

// sendBye sends a BYE in the leg's dialog.
func (l *outboundLeg) sendBye(reason string) {
	req := l.newDialogRequest(sip.BYE, l.answer, 2)
	l.call.agent.addByeHeaders(req, l.call, reason)
	l.call.agent.sip.Send(req, l.to, nil, func(*sip.Response) {})
}

// releaseForked acknowledges and releases a second answer of a setup that was forked on its way (RFC 3261 13.2.2.4).
func (l *outboundLeg) releaseForked(res *sip.Response) {
	l.sendAck(res)
	req := l.newDialogRequest(sip.BYE, res, 2)
	l.call.agent.addByeHeaders(req, l.call, normalClearing)
	l.call.agent.sip.Send(req, l.to, nil, func(*sip.Response) {})
}

// OnStrayResponse implements siptransaction.User: an endpoint answers a setup that is unknown here, because an earlier
// process sent it or its dialog was released since. The answer is acknowledged and released, so that no circuit stays
// in use, but only if it comes from the address of a listed endpoint and has a Contact.
func (a *Agent) OnStrayResponse(res *sip.Response, from netip.AddrPort) {
	a.Now = a.sip.Now
	fromListedEndpoint := false
	for _, address := range a.addresses {
		fromListedEndpoint = fromListedEndpoint || address == from
	}
	if !fromListedEndpoint || res.Contact() == nil {
		return
	}
	for i, method := range []sip.RequestMethod{sip.ACK, sip.BYE} {
		req := sip.NewRequest(method, res.Contact().Address)
		a.addCommonHeaders(req, res.From(), res.To(), string(*res.CallID()), uint32(i)+res.CSeq().SeqNo)
		if s := siptransaction.SessionIDOf(res); s != "" {
			req.AppendHeader(sip.NewHeader(siptransaction.SessionID, siptransaction.FormatSessionID(s)))
		}
		if method == sip.ACK {
			a.sip.SendAck(req, from)
			continue
		}
		req.AppendHeader(sip.NewHeader(siptransaction.ReasonHeader, normalClearing))
		a.sip.Send(req, from, nil, func(*sip.Response) {})
	}
}
