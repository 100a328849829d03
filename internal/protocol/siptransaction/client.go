package siptransaction

import (
	"net/netip"

	"github.com/emiago/sipgo/sip"

	"cobaltpier/internal/timerqueue"
)

// Client is a transaction that we asked for.
type Client struct {
	layer  *Layer
	key    string
	req    *sip.Request
	to     netip.AddrPort
	data   []byte
	gap    float64
	due    float64 // when the next repeat is
	timer  *timerqueue.Timer
	end    *timerqueue.Timer
	heard  func(*sip.Response) // nil: nothing came in time
	first  bool                // a provisional answer came
	final  int
	ack    []byte
	quiet  bool // no repeats any more
	called bool // CANCEL was sent
}

// Ask sends a request, with a Via of its own, and repeats it until an answer comes. heard gets every answer that is no
// repeat (every 2xx of an INVITE, though: each wants its ACK, RFC 6026 8), and nil when none came within 64 T1.
func (l *Layer) Ask(req *sip.Request, to netip.AddrPort, via sip.HeaderParams, heard func(*sip.Response)) *Client {
	branch := "z9hG4bK" + l.Names.Next()
	p := via.Clone()
	p.Add("branch", branch)
	req.PrependHeader(&sip.ViaHeader{ProtocolName: "SIP", ProtocolVersion: "2.0", Transport: "UDP",
		Host: l.Self.Addr().String(), Port: int(l.Self.Port()), Params: p})
	c := &Client{layer: l, key: string(req.Method) + branch, req: req, to: to, data: l.bytes(req),
		gap: l.Times.T1, heard: heard}
	l.clients[c.key] = c
	l.out(to, c.data)
	c.timer = l.Timers.Schedule(l.Now+c.gap, c.again)       // timers A and E
	c.end = l.Timers.Schedule(l.Now+64*l.Times.T1, func() { // timers B and F
		c.forget()
		if c.final == 0 {
			heard(nil)
		}
	})
	return c
}

// Ack sends the ACK of a 2xx, a transaction of its own without an answer (RFC 3261 13.2.2.4), and returns its bytes.
func (l *Layer) Ack(req *sip.Request, to netip.AddrPort) []byte {
	req.PrependHeader(&sip.ViaHeader{ProtocolName: "SIP", ProtocolVersion: "2.0", Transport: "UDP",
		Host: l.Self.Addr().String(), Port: int(l.Self.Port()),
		Params: sip.HeaderParams{{K: "branch", V: "z9hG4bK" + l.Names.Next()}}})
	data := l.bytes(req)
	l.out(to, data)
	return data
}

// Request is what was asked, with its Via.
func (c *Client) Request() *sip.Request { return c.req }

// Heard tells whether any answer came.
func (c *Client) Heard() bool { return c.first || c.final != 0 }

// Quiet ends the repeats of a request that must not reach its receiver any more.
func (c *Client) Quiet() {
	c.quiet = true
	c.layer.Timers.Cancel(c.timer)
}

// Cancel sends a CANCEL (RFC 3261 9.1) where that is allowed: a provisional answer came, no final one. It tells
// whether it was.
func (c *Client) Cancel() bool {
	if !c.first || c.final != 0 || c.called {
		return c.called
	}
	c.called = true
	l, r := c.layer, sip.NewRequest(sip.CANCEL, c.req.Recipient)
	r.AppendHeader(c.req.Via())
	r.AppendHeader(c.req.From())
	r.AppendHeader(c.req.To())
	r.AppendHeader(c.req.CallID())
	r.AppendHeader(&sip.CSeqHeader{SeqNo: c.req.CSeq().SeqNo, MethodName: sip.CANCEL})
	r.AppendHeader(sip.NewHeader("Max-Forwards", "70"))
	if s := c.req.GetHeader(SessionID); s != nil {
		r.AppendHeader(s)
	}
	branch, _ := c.req.Via().Params.Get("branch")
	k := &Client{layer: l, key: "CANCEL" + branch, req: r, to: c.to, data: l.bytes(r), gap: l.Times.T1,
		heard: func(*sip.Response) {}}
	l.clients[k.key] = k
	l.out(k.to, k.data)
	k.due = l.Now + k.gap
	k.timer = l.Timers.Schedule(k.due, k.again)
	k.end = l.Timers.Schedule(l.Now+64*l.Times.T1, k.forget)
	l.Timers.Cancel(c.end) // RFC 3261 9.1: 64 T1 after the CANCEL nothing more will come
	c.end = l.Timers.Schedule(l.Now+64*l.Times.T1, func() {
		c.forget()
		if c.final == 0 {
			c.heard(nil)
		}
	})
	return true
}

func (c *Client) again() {
	l := c.layer
	if c.quiet || c.final != 0 || c.first && c.req.Method == sip.INVITE {
		return
	}
	if l.Now-c.due > l.Times.T1/2 { // this process stalled: what else is overdue comes first, and may end this
		c.due = l.Now + 1
		c.timer = l.Timers.Schedule(c.due, c.again)
		return
	}
	l.out(c.to, c.data)
	c.gap *= 2
	if c.req.Method != sip.INVITE {
		c.gap = min(c.gap, l.Times.T2)
	}
	c.due = l.Now + c.gap
	c.timer = l.Timers.Schedule(c.due, c.again)
}

func (c *Client) answered(res *sip.Response) {
	l, invite := c.layer, c.req.Method == sip.INVITE
	code := res.StatusCode
	switch {
	case code < 200:
		if c.final == 0 {
			c.first = true
			if invite {
				l.Timers.Cancel(c.timer)
			}
			c.heard(res)
		}
		return
	case c.final != 0:
		switch {
		case invite && code < 300 && c.final < 300:
			c.heard(res) // a repeat, or another branch: each wants its ACK
		case invite && c.ack != nil:
			l.out(c.to, c.ack)
		}
		return
	}
	c.final = code
	l.Timers.Cancel(c.timer)
	l.Timers.Cancel(c.end)
	switch {
	case invite && code < 300:
		c.end = l.Timers.Schedule(l.Now+64*l.Times.T1, c.forget) // timer M
	case invite:
		c.ack = c.ackOf(res)
		l.out(c.to, c.ack)
		c.end = l.Timers.Schedule(l.Now+max(32000, 64*l.Times.T1), c.forget) // timer D
	default:
		c.forget() // timer K would only pass repeats over, and without it they are
	}
	c.heard(res)
}

// ackOf is the ACK of a refusal (RFC 3261 17.1.1.3).
func (c *Client) ackOf(res *sip.Response) []byte {
	r := sip.NewRequest(sip.ACK, c.req.Recipient)
	r.AppendHeader(c.req.Via())
	r.AppendHeader(c.req.From())
	r.AppendHeader(res.To())
	r.AppendHeader(c.req.CallID())
	r.AppendHeader(&sip.CSeqHeader{SeqNo: c.req.CSeq().SeqNo, MethodName: sip.ACK})
	r.AppendHeader(sip.NewHeader("Max-Forwards", "70"))
	return c.layer.bytes(r)
}

// Forget lets go of a transaction whose user wants nothing more of it.
func (c *Client) Forget() { c.forget() }

func (c *Client) forget() {
	l := c.layer
	l.Timers.Cancel(c.timer)
	l.Timers.Cancel(c.end)
	delete(l.clients, c.key)
}
