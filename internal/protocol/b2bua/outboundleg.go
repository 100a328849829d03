package b2bua

import (
	"net/netip"

	"github.com/emiago/sipgo/sip"

	"cobaltpier/internal/protocol/siptransaction"
	"cobaltpier/internal/routing"
	"cobaltpier/internal/timerqueue"
)

// overloadControlParams says in a Via which kinds of overload control this agent heeds (RFC 7339 4.1, RFC 7415).
var overloadControlParams = sip.HeaderParams{{K: "oc"}, {K: "oc-algo", V: `"loss,rate"`}}

// outboundLeg is the SIP side of one attempt. It outlives the attempt where the endpoint may still have the call.
type outboundLeg struct {
	call            *call
	attempt         *routing.Attempt
	group           *Group
	to              netip.AddrPort
	tx              *siptransaction.Client
	dialog          *dialog
	timeout         *timerqueue.Timer
	invite          *sip.Request
	answer          *sip.Response // the 2xx that set the dialog up
	ack             []byte
	active          bool // false: the caller or the policy gave it up
	reported        bool // the policy knows the attempt's end
	releasedByPeer  bool // the other side released it
	circuitReleased bool // its circuit is free
}

// SendSetup implements callcontrol.SignalingLeg: it sends a setup over a trunk group and gives up after so many ms. A
// group without a free circuit takes none.
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
	l.invite.AppendHeader(sip.NewHeader(siptransaction.Service, servicePrefix+c.Class.Name))
	copyBody(c.invite, l.invite)
	l.tx = a.sip.Send(l.invite, to, overloadControlParams, l.onResponse)
	l.timeout = a.Timers.Schedule(a.Now+timeout, l.onTimeout)
	return true
}

// onTimeout takes the end of the attempt's timeout. The policy is told at once, since the caller's answer is due; the
// endpoint as soon as SIP allows.
func (l *outboundLeg) onTimeout() {
	l.cancel()
	if !l.tx.HasResponse() {
		l.tx.StopRetransmitting()
	}
	l.reportEnd(routing.TimedOut)
}

// cancel calls the setup off. Where no provisional answer came yet RFC 3261 9.1 forbids the CANCEL: it follows the
// first one, and till then the attempt is in flight. Rule 1: of a call that has its answer nothing is repeated either.
func (l *outboundLeg) cancel() {
	l.active = false
	if !l.tx.Cancel() && l.call.Finished && !l.tx.HasResponse() {
		l.tx.StopRetransmitting()
	}
}

// onResponse takes a response of the endpoint; nil: the transaction has timed out.
func (l *outboundLeg) onResponse(res *sip.Response) {
	a := l.call.agent
	a.Now = a.sip.Now
	if res == nil {
		l.onTransactionTimeout()
		return
	}
	fullReport := a.applyLoadReport(l.attempt.Endpoint, res)
	switch code := res.StatusCode; {
	case code < 200:
		l.onProvisional(code, fullReport)
	case code < 300 && l.answer != nil:
		l.onFurtherAnswer(res)
	case code < 300:
		l.onAnswer(res, fullReport)
	default:
		l.onFailure(res, fullReport)
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

func (l *outboundLeg) onProvisional(code int, fullReport bool) {
	a := l.call.agent
	if fullReport {
		a.Router.OnLoadReport(a.Now, l.attempt.Endpoint, true, true)
	}
	if !l.active {
		l.tx.Cancel()
	} else if code > sip.StatusTrying {
		l.call.sendRinging()
	}
}

// onFurtherAnswer takes a 2xx after the first: a retransmission, or that of another branch of a forked setup.
func (l *outboundLeg) onFurtherAnswer(res *sip.Response) {
	if siptransaction.Tag(res.To().Params) == siptransaction.Tag(l.answer.To().Params) {
		l.call.agent.transport.Send(l.to, l.ack)
		return
	}
	l.releaseForked(res)
}

func (l *outboundLeg) onAnswer(res *sip.Response, fullReport bool) {
	c := l.call
	a := c.agent
	l.answer = res
	l.ack = l.sendAck(res)
	if fullReport {
		a.Router.OnLoadReport(a.Now, l.attempt.Endpoint, true, true)
	}
	if !l.active || l.reported || c.Finished || c.Established { // it crossed a cancel: nobody is there for it
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

// onFailure takes a final response other than 2xx; docs/gateway.md lists what each code means.
func (l *outboundLeg) onFailure(res *sip.Response, fullReport bool) {
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
	l.attempt.HasLoadReport = fullReport
	l.reportEnd(outcome)
	l.discard()
}

// reportEnd tells the policy how the attempt ended, once, and frees the circuit where nothing is left of it.
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
		l.tx.Discard() // a repeat of the 2xx finds the dialog released
	}
	a.Timers.Cancel(l.timeout)
	if !l.circuitReleased {
		l.circuitReleased = true
		l.group.inUse--
	}
}

// newDialogRequest makes a request in the dialog that an answer set up.
func (l *outboundLeg) newDialogRequest(method sip.RequestMethod, res *sip.Response, seq uint32) *sip.Request {
	target := l.invite.Recipient
	if c := res.Contact(); c != nil {
		target = c.Address // the datagram goes where the setup went, whatever the Contact says
	}
	req := sip.NewRequest(method, target)
	l.call.agent.addCommonHeaders(req, l.invite.From(), res.To(), l.dialog.callID, seq)
	return req
}

// sendAck sends the ACK of a 2xx (RFC 3261 13.2.2.4) and returns it for repeats.
func (l *outboundLeg) sendAck(res *sip.Response) []byte {
	a := l.call.agent
	req := l.newDialogRequest(sip.ACK, res, 1)
	req.AppendHeader(sip.NewHeader(siptransaction.SessionID, siptransaction.FormatSessionID(l.call.sessionID)))
	return a.sip.SendAck(req, l.to)
}

// sendBye releases the dialog.
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

// OnStrayResponse implements siptransaction.User: an endpoint answers a call that is unknown here, a setup
// of a process before this one, or one whose dialog was released since. It is acknowledged and released, so that no
// circuit stays in use; only if the address is that of a listed endpoint.
func (a *Agent) OnStrayResponse(res *sip.Response, from netip.AddrPort) {
	a.Now = a.sip.Now
	known := false
	for _, address := range a.addresses {
		known = known || address == from
	}
	if !known || res.Contact() == nil {
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
		req.AppendHeader(sip.NewHeader(siptransaction.Reason, normalClearing))
		a.sip.Send(req, from, nil, func(*sip.Response) {})
	}
}
