package b2bua

import (
	"net/netip"

	"github.com/emiago/sipgo/sip"

	"cobaltpier/internal/protocol/siptransaction"
	"cobaltpier/internal/routing"
	"cobaltpier/internal/timerqueue"
)

// overloadControlParams says in a Via which kinds of overload control this edge heeds (RFC 7339 4.1, RFC 7415).
var overloadControlParams = sip.HeaderParams{{K: "oc"}, {K: "oc-algo", V: `"loss,rate"`}}

// outboundLeg is one attempt on the wire. It outlives the attempt where the switch may still think that the call goes
// on.
type outboundLeg struct {
	call            *call
	attempt         *routing.Attempt
	group           *Group
	to              netip.AddrPort
	tx              *siptransaction.Client
	dialog          *dialog
	timeout         *timerqueue.Timer
	invite          *sip.Request
	remote          *sip.Response // the 2xx that set the dialog up
	ack             []byte
	active          bool // false: the caller or the module does not want it any more
	reported        bool // the module knows the attempt's end
	closed          bool // the other side released it
	circuitReleased bool // its circuit is free
}

// SendSetup implements control.Party: it sends a setup over a trunk group and gives up after limit ms. A group without
// a free circuit takes none.
func (k *call) SendSetup(r *routing.Attempt, limit float64) bool {
	e := k.agent
	g := e.groups[r.Endpoint.DestinationID]
	if g == nil || g.inUse >= g.Circuits {
		return false
	}
	to := e.addresses[r.Endpoint]
	l := &outboundLeg{call: k, attempt: r, group: g, to: to, active: true}
	tag, id := e.names.Next(), e.names.Next()+"@"+e.config.Name
	l.dialog = &dialog{agent: e, call: k, leg: l, callID: id, tag: tag}
	e.dialogs[tag] = l.dialog
	g.inUse++
	k.leg = l
	l.invite = sip.NewRequest(sip.INVITE, sip.Uri{Scheme: "sip", Host: to.Addr().String(), Port: int(to.Port()),
		User: k.CalledNumber + k.number.params + ";tgrp=" + g.Name + ";trunk-context=" + e.config.TrunkContext})
	e.addCommonHeaders(
		l.invite,
		&sip.FromHeader{Address: sip.Uri{Scheme: "sip", User: "anonymous", Host: k.tenantHost},
			Params: sip.HeaderParams{{K: "tag", V: tag}}},
		&sip.ToHeader{
			Address: sip.Uri{Scheme: "sip", User: k.CalledNumber, Host: to.Addr().String(), Port: int(to.Port())},
		},
		id,
		1,
	)
	l.invite.AppendHeader(&sip.ContactHeader{Address: e.ownURI("")})
	l.invite.AppendHeader(sip.NewHeader(siptransaction.SessionID, siptransaction.FormatSessionID(k.sessionID)))
	l.invite.AppendHeader(sip.NewHeader(siptransaction.Service, servicePrefix+k.Class.Name))
	copyBody(k.invite, l.invite)
	l.tx = e.sip.Send(l.invite, to, overloadControlParams, l.onResponse)
	l.timeout = e.Timers.Schedule(e.Now+limit, l.onTimeout)
	return true
}

// onTimeout: no answer in time. The module hears at once, for the caller's answer is due; the switch hears when it may.
func (l *outboundLeg) onTimeout() {
	l.cancel()
	if !l.tx.HasResponse() {
		l.tx.StopRetransmitting()
	}
	l.reportEnd(routing.TimedOut)
}

// cancel calls the setup off. Where no provisional answer came yet RFC 3261 9.1 forbids the CANCEL: it follows the
// first one, and till then the attempt is out. Rule 1: of a call that has its answer nothing is repeated either.
func (l *outboundLeg) cancel() {
	l.active = false
	if !l.tx.Cancel() && l.call.Finished && !l.tx.HasResponse() {
		l.tx.StopRetransmitting()
	}
}

// onResponse takes an answer of the switch; nil: none came for so long that none will.
func (l *outboundLeg) onResponse(res *sip.Response) {
	k := l.call
	e := k.agent
	e.Now = e.sip.Now
	if res == nil {
		if l.active || k.Finished {
			l.reportEnd(routing.TimedOut)
		} else {
			l.reportEnd(routing.Canceled)
		}
		l.forget()
		return
	}
	full := e.applyLoadReport(l.attempt.Endpoint, res)
	code := res.StatusCode
	switch {
	case code < 200:
		if full {
			e.Router.OnLoadReport(e.Now, l.attempt.Endpoint, true, true)
		}
		if !l.active {
			l.tx.Cancel()
		} else if code > 100 {
			k.ringing()
		}
	case code < 300 && l.remote != nil:
		if siptransaction.Tag(res.To().Params) == siptransaction.Tag(l.remote.To().Params) {
			e.transport.Send(l.to, l.ack) // a repeat
		} else {
			l.releaseForked(res) // another branch's
		}
	case code < 300:
		l.remote = res
		l.ack = l.acknowledge(res)
		if full {
			e.Router.OnLoadReport(e.Now, l.attempt.Endpoint, true, true)
		}
		if !l.active || l.reported || k.Finished || k.Established { // it crossed our giving up: nobody is there for it
			l.bye(normalClearing)
			l.reportEnd(routing.Canceled)
			l.forget()
			return
		}
		e.Timers.Cancel(l.timeout)
		k.leg = l
		l.attempt.Latency = e.Now - l.attempt.SentAt
		k.establish(res)
		e.Router.OnAnswer(e.Now, l.attempt)
	default:
		l.attempt.RetryAfter = 0
		how := routing.Failed
		switch code {
		case 503: // the processor is too busy
			how, l.attempt.RetryAfter = routing.Overloaded, siptransaction.ParseRetryAfter(siptransaction.HeaderValue(res,
				siptransaction.RetryAfter))
		case 486: // no line free at this endpoint
			how, l.attempt.AtCapacity = routing.Overloaded, true
		case 600: // all lines of the number are busy, at any endpoint
			l.attempt.NumberBusy = true
		case 487:
			how = routing.Canceled
		case 408:
			how = routing.TimedOut
		}
		l.attempt.HasLoadReport = full
		l.reportEnd(how)
		l.forget()
	}
}

// reportEnd tells the module how the attempt ended, once, and frees the circuit where nothing is left of it.
func (l *outboundLeg) reportEnd(how routing.Outcome) {
	if l.reported {
		return
	}
	l.reported = true
	k := l.call
	k.agent.Timers.Cancel(l.timeout)
	if k.leg == l {
		k.leg = nil
	}
	k.EndAttempt(l.attempt, how, k.Finished)
}

// forget lets go of the leg's dialog and circuit.
func (l *outboundLeg) forget() {
	e := l.call.agent
	delete(e.dialogs, l.dialog.tag)
	if l.remote != nil && l.reported {
		l.tx.Discard() // a repeat of the 2xx finds the dialog released
	}
	e.Timers.Cancel(l.timeout)
	if !l.circuitReleased {
		l.circuitReleased = true
		l.group.inUse--
	}
}

// inDialog makes a request in the dialog that an answer set up.
func (l *outboundLeg) inDialog(method sip.RequestMethod, res *sip.Response, seq uint32) *sip.Request {
	target := l.invite.Recipient
	if c := res.Contact(); c != nil {
		target = c.Address // the datagram goes where the setup went, whatever stands here
	}
	req := sip.NewRequest(method, target)
	l.call.agent.addCommonHeaders(req, l.invite.From(), res.To(), l.dialog.callID, seq)
	return req
}

// acknowledge sends the ACK of a 2xx (RFC 3261 13.2.2.4) and returns it for repeats.
func (l *outboundLeg) acknowledge(res *sip.Response) []byte {
	e := l.call.agent
	req := l.inDialog(sip.ACK, res, 1)
	req.AppendHeader(sip.NewHeader(siptransaction.SessionID, siptransaction.FormatSessionID(l.call.sessionID)))
	return e.sip.SendAck(req, l.to)
}

// bye releases the dialog.
func (l *outboundLeg) bye(why string) {
	req := l.inDialog(sip.BYE, l.remote, 2)
	l.call.agent.bye(req, l.call, why)
	l.call.agent.sip.Send(req, l.to, nil, func(*sip.Response) {})
}

// releaseForked acknowledges and releases a second answer of a setup that was forked on its way (RFC 3261 13.2.2.4).
func (l *outboundLeg) releaseForked(res *sip.Response) {
	l.acknowledge(res)
	req := l.inDialog(sip.BYE, res, 2)
	l.call.agent.bye(req, l.call, normalClearing)
	l.call.agent.sip.Send(req, l.to, nil, func(*sip.Response) {})
}

// OnStrayResponse implements signal.User: a switch says that a call stands which nobody here knows of, a setup of a
// process before this one, or one whose dialog was released since. It is acknowledged and released, so that no line
// stays taken; only where the list has a switch.
func (e *Agent) OnStrayResponse(res *sip.Response, from netip.AddrPort) {
	e.Now = e.sip.Now
	known := false
	for _, a := range e.addresses {
		known = known || a == from
	}
	if !known || res.Contact() == nil {
		return
	}
	for i, method := range []sip.RequestMethod{sip.ACK, sip.BYE} {
		req := sip.NewRequest(method, res.Contact().Address)
		e.addCommonHeaders(req, res.From(), res.To(), string(*res.CallID()), uint32(i)+res.CSeq().SeqNo)
		if s := siptransaction.SessionIDOf(res); s != "" {
			req.AppendHeader(sip.NewHeader(siptransaction.SessionID, siptransaction.FormatSessionID(s)))
		}
		if method == sip.ACK {
			e.sip.SendAck(req, from)
			continue
		}
		req.AppendHeader(sip.NewHeader(siptransaction.Reason, normalClearing))
		e.sip.Send(req, from, nil, func(*sip.Response) {})
	}
}
