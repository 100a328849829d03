package b2bua

import (
	"net/netip"

	"github.com/emiago/sipgo/sip"

	"cobaltpier/internal/protocol/siptransaction"
	"cobaltpier/internal/routing"
	"cobaltpier/internal/timerqueue"
)

// oc says in a Via which kinds of overload control this edge heeds (RFC 7339 4.1, RFC 7415).
var oc = sip.HeaderParams{{K: "oc"}, {K: "oc-algo", V: `"loss,rate"`}}

// leg is one attempt on the wire. It outlives the attempt where the switch may still think that the call goes on.
type leg struct {
	call   *call
	ring   *routing.Attempt
	group  *Group
	to     netip.AddrPort
	tx     *siptransaction.Client
	end    *end
	limit  *timerqueue.Timer
	req    *sip.Request
	remote *sip.Response // the 2xx that set the dialog up
	ack    []byte
	wanted bool // false: the caller or the module does not want it any more
	told   bool // the module knows the attempt's end
	closed bool // the other side released it
	freed  bool // its circuit is free
}

// SendSetup implements control.Party: it sends a setup over a trunk group and gives up after limit ms. A group without a free
// circuit takes none.
func (k *call) SendSetup(r *routing.Attempt, limit float64) bool {
	e := k.edge
	g := e.groups[r.Endpoint.DestinationID]
	if g == nil || g.out >= g.Size {
		return false
	}
	to := e.addrs[r.Endpoint]
	l := &leg{call: k, ring: r, group: g, to: to, wanted: true}
	tag, id := e.names.Next(), e.names.Next()+"@"+e.cfg.Name
	l.end = &end{edge: e, call: k, leg: l, callID: id, tag: tag}
	e.ends[tag] = l.end
	g.out++
	k.trunk = l
	l.req = sip.NewRequest(sip.INVITE, sip.Uri{Scheme: "sip", Host: to.Addr().String(), Port: int(to.Port()),
		User: k.CalledNumber + k.route.params + ";tgrp=" + g.Name + ";trunk-context=" + e.cfg.Context})
	e.common(l.req, &sip.FromHeader{Address: sip.Uri{Scheme: "sip", User: "anonymous", Host: k.payer},
		Params: sip.HeaderParams{{K: "tag", V: tag}}},
		&sip.ToHeader{Address: sip.Uri{Scheme: "sip", User: k.CalledNumber, Host: to.Addr().String(), Port: int(to.Port())}}, id, 1)
	l.req.AppendHeader(&sip.ContactHeader{Address: e.uri("")})
	l.req.AppendHeader(sip.NewHeader(siptransaction.SessionID, siptransaction.SessionValue(k.session)))
	l.req.AppendHeader(sip.NewHeader(siptransaction.Service, servicePrefix+k.Class.Name))
	copyBody(k.req, l.req)
	l.tx = e.sip.Ask(l.req, to, oc, l.heard)
	l.limit = e.Timers.Schedule(e.Now+limit, l.late)
	return true
}

// late: no answer in time. The module hears at once, for the caller's answer is due; the switch hears when it may.
func (l *leg) late() {
	l.cancel()
	if !l.tx.Heard() {
		l.tx.Quiet()
	}
	l.tell(routing.TimedOut)
}

// cancel calls the setup off. Where no provisional answer came yet RFC 3261 9.1 forbids the CANCEL: it follows the
// first one, and till then the attempt is out. Rule 1: of a call that has its answer nothing is repeated either.
func (l *leg) cancel() {
	l.wanted = false
	if !l.tx.Cancel() && l.call.Finished && !l.tx.Heard() {
		l.tx.Quiet()
	}
}

// heard takes an answer of the switch; nil: none came for so long that none will.
func (l *leg) heard(res *sip.Response) {
	k := l.call
	e := k.edge
	e.Now = e.sip.Now
	if res == nil {
		if l.wanted || k.Finished {
			l.tell(routing.TimedOut)
		} else {
			l.tell(routing.Canceled)
		}
		l.forget()
		return
	}
	full := e.report(l.ring.Endpoint, res)
	code := res.StatusCode
	switch {
	case code < 200:
		if full {
			e.Router.OnLoadReport(e.Now, l.ring.Endpoint, true, true)
		}
		if !l.wanted {
			l.tx.Cancel()
		} else if code > 100 {
			k.ringing()
		}
	case code < 300 && l.remote != nil:
		if siptransaction.Tag(res.To().Params) == siptransaction.Tag(l.remote.To().Params) {
			e.out.Send(l.to, l.ack) // a repeat
		} else {
			l.shut(res) // another branch's
		}
	case code < 300:
		l.remote = res
		l.ack = l.acknowledge(res)
		if full {
			e.Router.OnLoadReport(e.Now, l.ring.Endpoint, true, true)
		}
		if !l.wanted || l.told || k.Finished || k.Established { // it crossed our giving up: nobody is there for it
			l.bye(plainReason)
			l.tell(routing.Canceled)
			l.forget()
			return
		}
		e.Timers.Cancel(l.limit)
		k.trunk = l
		l.ring.Latency = e.Now - l.ring.SentAt
		k.stands(res)
		e.Router.OnAnswer(e.Now, l.ring)
	default:
		l.ring.RetryAfter = 0
		how := routing.Failed
		switch code {
		case 503: // the processor is too busy
			how, l.ring.RetryAfter = routing.Overloaded, siptransaction.Wait(siptransaction.Field(res, siptransaction.RetryAfter))
		case 486: // no line free at this endpoint
			how, l.ring.AtCapacity = routing.Overloaded, true
		case 600: // all lines of the number are busy, at any endpoint
			l.ring.NumberBusy = true
		case 487:
			how = routing.Canceled
		case 408:
			how = routing.TimedOut
		}
		l.ring.HasLoadReport = full
		l.tell(how)
		l.forget()
	}
}

// tell tells the module how the attempt ended, once, and frees the circuit where nothing is left of it.
func (l *leg) tell(how routing.Outcome) {
	if l.told {
		return
	}
	l.told = true
	k := l.call
	k.edge.Timers.Cancel(l.limit)
	if k.trunk == l {
		k.trunk = nil
	}
	k.EndAttempt(l.ring, how, k.Finished)
}

// forget lets go of the leg's dialog and circuit.
func (l *leg) forget() {
	e := l.call.edge
	delete(e.ends, l.end.tag)
	if l.remote != nil && l.told {
		l.tx.Forget() // a repeat of the 2xx finds the dialog released
	}
	e.Timers.Cancel(l.limit)
	if !l.freed {
		l.freed = true
		l.group.out--
	}
}

// inDialog makes a request in the dialog that an answer set up.
func (l *leg) inDialog(method sip.RequestMethod, res *sip.Response, seq uint32) *sip.Request {
	target := l.req.Recipient
	if c := res.Contact(); c != nil {
		target = c.Address // the datagram goes where the setup went, whatever stands here
	}
	req := sip.NewRequest(method, target)
	l.call.edge.common(req, l.req.From(), res.To(), l.end.callID, seq)
	return req
}

// acknowledge sends the ACK of a 2xx (RFC 3261 13.2.2.4) and returns it for repeats.
func (l *leg) acknowledge(res *sip.Response) []byte {
	e := l.call.edge
	req := l.inDialog(sip.ACK, res, 1)
	req.AppendHeader(sip.NewHeader(siptransaction.SessionID, siptransaction.SessionValue(l.call.session)))
	return e.sip.Ack(req, l.to)
}

// bye releases the dialog.
func (l *leg) bye(why string) {
	req := l.inDialog(sip.BYE, l.remote, 2)
	l.call.edge.bye(req, l.call, why)
	l.call.edge.sip.Ask(req, l.to, nil, func(*sip.Response) {})
}

// shut acknowledges and releases a second answer of a setup that was forked on its way (RFC 3261 13.2.2.4).
func (l *leg) shut(res *sip.Response) {
	l.acknowledge(res)
	req := l.inDialog(sip.BYE, res, 2)
	l.call.edge.bye(req, l.call, plainReason)
	l.call.edge.sip.Ask(req, l.to, nil, func(*sip.Response) {})
}

// Stray implements signal.User: a switch says that a call stands which nobody here knows of, a setup of a process
// before this one, or one whose dialog was released since. It is acknowledged and released, so that no line stays
// taken; only where the list has a switch.
func (e *Edge) Stray(res *sip.Response, from netip.AddrPort) {
	e.Now = e.sip.Now
	known := false
	for _, a := range e.addrs {
		known = known || a == from
	}
	if !known || res.Contact() == nil {
		return
	}
	for i, method := range []sip.RequestMethod{sip.ACK, sip.BYE} {
		req := sip.NewRequest(method, res.Contact().Address)
		e.common(req, res.From(), res.To(), string(*res.CallID()), uint32(i)+res.CSeq().SeqNo)
		if s := siptransaction.Session(res); s != "" {
			req.AppendHeader(sip.NewHeader(siptransaction.SessionID, siptransaction.SessionValue(s)))
		}
		if method == sip.ACK {
			e.sip.Ack(req, from)
			continue
		}
		req.AppendHeader(sip.NewHeader(siptransaction.Reason, plainReason))
		e.sip.Ask(req, from, nil, func(*sip.Response) {})
	}
}
