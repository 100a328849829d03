package siptransaction

import (
	"net/netip"

	"github.com/emiago/sipgo/sip"

	"cobaltpier/internal/timerqueue"
)

// Client is a client transaction.
type Client struct {
	layer       *Layer
	key         string
	request     *sip.Request
	to          netip.AddrPort
	data        []byte
	interval    float64
	dueAt       float64 // the next retransmission
	timer       *timerqueue.Timer
	expiry      *timerqueue.Timer
	onResponse  func(*sip.Response) // called with nil if no final response came in time
	provisional bool                // a provisional response was received
	final       int
	ack         []byte
	stopped     bool // retransmission has been stopped
	cancelSent  bool
}

// Send adds a Via to a request, sends it and retransmits it: an INVITE until any response comes, another request until
// its final response. onResponse is called for every provisional response before the final one, for the final response
// and, since each needs an ACK, for every further 2xx to an INVITE (RFC 6026 8). It is called with nil if there was no
// final response within 64 T1, counted from the request or from its CANCEL.
func (l *Layer) Send(req *sip.Request, to netip.AddrPort, via sip.HeaderParams,
	onResponse func(*sip.Response)) *Client {
	branch := "z9hG4bK" + l.Generator.Next()
	params := via.Clone()
	params.Add("branch", branch)
	req.PrependHeader(&sip.ViaHeader{ProtocolName: "SIP", ProtocolVersion: "2.0", Transport: "UDP",
		Host: l.Address.Addr().String(), Port: int(l.Address.Port()), Params: params})
	c := &Client{layer: l, key: string(req.Method) + branch, request: req, to: to, data: l.encode(req),
		interval: l.Times.T1, onResponse: onResponse}
	l.clients[c.key] = c
	l.send(to, c.data)
	c.timer = l.Timers.Schedule(l.Now+c.interval, c.retransmit) // timers A and E
	c.expiry = l.Timers.Schedule(l.Now+64*l.Times.T1, func() {  // timers B and F
		c.discard()
		if c.final == 0 {
			onResponse(nil)
		}
	})
	return c
}

// SendAck sends the ACK of a 2xx, which is a separate transaction without a response (RFC 3261 13.2.2.4), and returns
// the encoded message.
func (l *Layer) SendAck(req *sip.Request, to netip.AddrPort) []byte {
	req.PrependHeader(&sip.ViaHeader{ProtocolName: "SIP", ProtocolVersion: "2.0", Transport: "UDP",
		Host: l.Address.Addr().String(), Port: int(l.Address.Port()),
		Params: sip.HeaderParams{{K: "branch", V: "z9hG4bK" + l.Generator.Next()}}})
	data := l.encode(req)
	l.send(to, data)
	return data
}

// Request returns the request, including its Via.
func (c *Client) Request() *sip.Request { return c.request }

// HasResponse reports whether any response was received.
func (c *Client) HasResponse() bool { return c.provisional || c.final != 0 }

// StopRetransmitting stops retransmission, for a request that must no longer reach its receiver.
func (c *Client) StopRetransmitting() {
	c.stopped = true
	c.layer.Timers.Cancel(c.timer)
}

// Cancel sends a CANCEL if RFC 3261 9.1 allows it: after a provisional and before a final response. It reports whether
// a CANCEL was sent, now or before.
func (c *Client) Cancel() bool {
	if !c.provisional || c.final != 0 || c.cancelSent {
		return c.cancelSent
	}
	c.cancelSent = true
	l, req := c.layer, sip.NewRequest(sip.CANCEL, c.request.Recipient)
	req.AppendHeader(c.request.Via())
	req.AppendHeader(c.request.From())
	req.AppendHeader(c.request.To())
	req.AppendHeader(c.request.CallID())
	req.AppendHeader(&sip.CSeqHeader{SeqNo: c.request.CSeq().SeqNo, MethodName: sip.CANCEL})
	req.AppendHeader(sip.NewHeader("Max-Forwards", "70"))
	if s := c.request.GetHeader(SessionID); s != nil {
		req.AppendHeader(s)
	}
	branch, _ := c.request.Via().Params.Get("branch")
	cancel := &Client{layer: l, key: "CANCEL" + branch, request: req, to: c.to, data: l.encode(req), interval: l.Times.T1,
		onResponse: func(*sip.Response) {}}
	l.clients[cancel.key] = cancel
	l.send(cancel.to, cancel.data)
	cancel.dueAt = l.Now + cancel.interval
	cancel.timer = l.Timers.Schedule(cancel.dueAt, cancel.retransmit)
	cancel.expiry = l.Timers.Schedule(l.Now+64*l.Times.T1, cancel.discard)
	l.Timers.Cancel(c.expiry) // RFC 3261 9.1: no response is expected later than 64 T1 after the CANCEL
	c.expiry = l.Timers.Schedule(l.Now+64*l.Times.T1, func() {
		c.discard()
		if c.final == 0 {
			c.onResponse(nil)
		}
	})
	return true
}

func (c *Client) retransmit() {
	l := c.layer
	if c.stopped || c.final != 0 || c.provisional && c.request.Method == sip.INVITE {
		return
	}
	// the process stalled: run other overdue timers first, as they may end this transaction
	if l.Now-c.dueAt > l.Times.T1/2 {
		c.dueAt = l.Now + 1
		c.timer = l.Timers.Schedule(c.dueAt, c.retransmit)
		return
	}
	l.send(c.to, c.data)
	c.interval *= 2
	if c.request.Method != sip.INVITE {
		c.interval = min(c.interval, l.Times.T2)
	}
	c.dueAt = l.Now + c.interval
	c.timer = l.Timers.Schedule(c.dueAt, c.retransmit)
}

func (c *Client) receive(res *sip.Response) {
	l, invite := c.layer, c.request.Method == sip.INVITE
	code := res.StatusCode
	switch {
	case code < 200:
		if c.final == 0 {
			c.provisional = true
			if invite {
				l.Timers.Cancel(c.timer)
			}
			c.onResponse(res)
		}
		return
	case c.final != 0:
		switch {
		case invite && code < 300 && c.final < 300:
			c.onResponse(res) // a retransmission, or another branch: each needs its ACK
		case invite && c.ack != nil:
			l.send(c.to, c.ack)
		}
		return
	}
	c.final = code
	l.Timers.Cancel(c.timer)
	l.Timers.Cancel(c.expiry)
	switch {
	case invite && code < 300:
		c.expiry = l.Timers.Schedule(l.Now+64*l.Times.T1, c.discard) // timer M
	case invite:
		c.ack = c.ackFor(res)
		l.send(c.to, c.ack)
		c.expiry = l.Timers.Schedule(l.Now+max(32000, 64*l.Times.T1), c.discard) // timer D
	default:
		c.discard() // timer K would only absorb retransmissions, which are ignored anyway
	}
	c.onResponse(res)
}

// ackFor encodes the ACK of a final response other than 2xx (RFC 3261 17.1.1.3).
func (c *Client) ackFor(res *sip.Response) []byte {
	req := sip.NewRequest(sip.ACK, c.request.Recipient)
	req.AppendHeader(c.request.Via())
	req.AppendHeader(c.request.From())
	req.AppendHeader(res.To())
	req.AppendHeader(c.request.CallID())
	req.AppendHeader(&sip.CSeqHeader{SeqNo: c.request.CSeq().SeqNo, MethodName: sip.ACK})
	req.AppendHeader(sip.NewHeader("Max-Forwards", "70"))
	return c.layer.encode(req)
}

// Discard removes a transaction that its user no longer needs.
func (c *Client) Discard() { c.discard() }

func (c *Client) discard() {
	l := c.layer
	l.Timers.Cancel(c.timer)
	l.Timers.Cancel(c.expiry)
	delete(l.clients, c.key)
}
