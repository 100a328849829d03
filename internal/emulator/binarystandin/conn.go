package binarystandin

import (
	"net/netip"
	"slices"

	"cobaltpier/internal/protocol/binarygateway"
	"cobaltpier/internal/protocol/binarymessage"
)

// conn is the simulated far end of one of the gateway's connections.
type conn struct {
	w            *World
	gatewayConn  *binarygateway.Conn
	number       int
	endpoint     *Endpoint // nil on a client's connection
	reader       binarymessage.Reader
	pendingCalls []uint64 // on a client's connection: setups without an answer
	closed       bool
	blocked      []byte
}

// send sends a message to the gateway, in pieces if Faults.Fragmented is set.
func (c *conn) send(kind byte, id uint64, params ...binarymessage.Param) {
	b := binarymessage.Append(nil, kind, id, params...)
	if c.endpoint == nil {
		c.w.Checker.OnClientMessage(c.w.now, b)
	} else {
		c.w.Checker.OnEndpointMessage(c.w.now, c.endpoint.id, c.number, b)
	}
	c.sendRaw(b)
}

func (c *conn) sendRaw(b []byte) {
	w := c.w
	for len(b) > 0 && !c.closed {
		n := len(b)
		if w.Faults.Fragmented {
			n = 1 + int(w.Chance()*float64(len(b)))
		}
		n = min(n, len(b))
		w.Gateway.OnData(w.now, c.gatewayConn, slices.Clone(b[:n]))
		b = b[n:]
	}
}

// reset resets the connection from the simulated side.
func (c *conn) reset() {
	if c.closed {
		return
	}
	c.onGone()
	c.w.Gateway.OnClosed(c.w.now, c.gatewayConn, binarygateway.ClosedReset)
}

// onGone updates the endpoint or client, and the checker, after a connection has ended.
func (c *conn) onGone() {
	c.closed = true
	w := c.w
	if c.endpoint != nil {
		c.endpoint.conns = slices.DeleteFunc(c.endpoint.conns, func(o *conn) bool { return o == c })
		w.Checker.OnConnClosed(w.now, c.endpoint.id, c.number)
		for id, o := range c.endpoint.pending {
			if o == c {
				delete(c.endpoint.pending, id)
			}
		}
		return
	}
	for _, id := range c.pendingCalls {
		w.Checker.OnClientGone(id)
	}
	w.Checker.SetClientConnected(w.now, slices.ContainsFunc(w.conns, func(o *conn) bool { return !o.closed }))
}

// Write implements binarygateway.Transport.
func (w *World) Write(gatewayConn *binarygateway.Conn, b []byte) bool {
	c := gatewayConn.Socket.(*conn)
	if c.endpoint != nil && w.happens(w.Faults.Blocked) {
		c.blocked = b
		w.after(20+200*w.Chance(), func() {
			if !c.closed {
				c.blocked = nil
				c.deliver(b)
				w.Gateway.OnFlushed(w.now, gatewayConn)
			}
		})
		return false
	}
	c.deliver(b)
	return true
}

func (c *conn) deliver(b []byte) {
	if err := c.reader.Feed(b, func(m binarymessage.Message) bool {
		m = slices.Clone(m)
		if c.endpoint != nil {
			c.w.Checker.OnMessageToEndpoint(c.w.now, c.endpoint.id, c.number, m)
			c.w.after(0.2, func() { c.endpoint.onMessage(c, m) })
		} else {
			c.w.Checker.OnMessageToClient(c.w.now, m)
			c.w.after(0.2, func() { c.onClientMessage(m) })
		}
		return true
	}); err != nil {
		panic(err)
	}
}

func (c *conn) onClientMessage(m binarymessage.Message) {
	id := m.Call()
	c.pendingCalls = slices.DeleteFunc(c.pendingCalls, func(o uint64) bool { return o == id })
	if m.Type() == binarymessage.Answer && c.w.happens(c.w.Faults.CallerHangsUp) {
		c.w.after(c.w.Chance()*c.w.HoldingTime, func() {
			if !c.closed {
				c.send(binarymessage.Release, id, binarymessage.CauseParam(binarymessage.Normal))
			}
		})
	}
}

// Dial implements binarygateway.Transport.
func (w *World) Dial(gatewayConn *binarygateway.Conn, to netip.AddrPort) {
	w.dialed++
	c := &conn{w: w, gatewayConn: gatewayConn, number: w.dialed}
	gatewayConn.Socket = c
	s := w.byAddr[to]
	w.after(0.3+w.Chance(), func() {
		switch {
		case c.closed || s != nil && s.vanished && !s.dead:
		case s == nil || s.dead:
			c.closed = true
			w.Gateway.OnClosed(w.now, gatewayConn, binarygateway.ClosedRefused)
		default:
			c.endpoint = s
			s.conns = append(s.conns, c)
			w.Gateway.OnConnected(w.now, gatewayConn)
			c.send(binarymessage.LoadState, 0, binarymessage.TextParam(binarymessage.Report, "free:20;size:40;busy:-1;q:-1"))
		}
	})
}

// Close implements binarygateway.Transport.
func (w *World) Close(gatewayConn *binarygateway.Conn) {
	if c := gatewayConn.Socket.(*conn); !c.closed {
		c.onGone()
	}
}

// CloseWrite implements binarygateway.Transport.
func (w *World) CloseWrite(*binarygateway.Conn) {}

// SendGossip implements binarygateway.Transport.
func (w *World) SendGossip(int, []byte) {}
