package binarystandin

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"cobaltpier/internal/protocol/binarygateway"
	"cobaltpier/internal/protocol/binarymessage"
)

// conn is the simulated far end of one of the gateway's connections.
type conn struct {
	sim          *Simulation
	gatewayConn  *binarygateway.Conn
	connNumber   int       // counted from 1 over all connections that the gateway opened, or over those of clients
	endpoint     *Endpoint // nil on a client's connection
	reader       binarymessage.Reader
	pendingCalls []uint64 // on a client's connection: ids of calls for which no message from the gateway has arrived yet
	closed       bool
	wrongLength  bool   // the gateway can no longer tell where the messages on it begin
	delayedWrite []byte // the latest write that was delayed, until it is delivered; not read so far
}

// send sends a message to the gateway, in pieces if Faults.Fragmented is set.
func (c *conn) send(kind byte, id uint64, params ...binarymessage.Param) {
	b := binarymessage.Append(nil, kind, id, params...)
	switch {
	case c.endpoint == nil:
		c.sim.Checker.OnClientMessage(c.sim.now, b)
	case c.wrongLength:
		if kind == binarymessage.Release {
			c.sim.Checker.OnUnreadableRelease(c.sim.now, c.endpoint.id, id)
		}
	default:
		c.sim.Checker.OnEndpointMessage(c.sim.now, c.endpoint.id, c.connNumber, b)
	}
	c.sendRaw(b)
}

// sendWrongLength sends a message with a length field that is too large: the gateway takes what follows for a part of
// the message.
func (c *conn) sendWrongLength(message []byte) {
	length := len(message) + int(c.sim.Random()*float64(binarymessage.MaxLength-len(message)))
	binary.BigEndian.PutUint16(message, uint16(length))
	c.wrongLength = true
	c.sendRaw(message)
}

func (c *conn) sendRaw(b []byte) {
	sim := c.sim
	for len(b) > 0 && !c.closed {
		n := len(b)
		if sim.Faults.Fragmented {
			n = 1 + int(sim.Random()*float64(len(b)))
		}
		n = min(n, len(b))
		sim.Gateway.OnData(sim.now, c.gatewayConn, slices.Clone(b[:n]))
		b = b[n:]
	}
}

// reset resets the connection from the simulated side.
func (c *conn) reset() {
	if c.closed {
		return
	}
	c.onEnded()
	c.sim.Gateway.OnClosed(c.sim.now, c.gatewayConn, binarygateway.ClosedReset)
}

// onEnded marks a connection as ended. It removes it from its endpoint, with the endpoint's pending calls on it, and
// tells the checker; for a client's connection, it reports the pending calls as abandoned.
func (c *conn) onEnded() {
	c.closed = true
	sim := c.sim
	if c.endpoint != nil {
		c.endpoint.conns = slices.DeleteFunc(c.endpoint.conns, func(other *conn) bool { return other == c })
		sim.Checker.OnConnClosed(sim.now, c.endpoint.id, c.connNumber)
		for id, pendingConn := range c.endpoint.pending {
			if pendingConn == c {
				delete(c.endpoint.pending, id)
			}
		}
		return
	}
	sim.Checker.OnClientConnClosed(c.connNumber)
	for _, id := range c.pendingCalls {
		sim.Checker.OnCallAbandoned(id)
	}
	sim.Checker.SetClientConnected(
		sim.now,
		slices.ContainsFunc(sim.conns, func(client *conn) bool { return !client.closed }),
	)
}

// Write implements binarygateway.Transport.
func (sim *Simulation) Write(gatewayConn *binarygateway.Conn, b []byte) bool {
	c := gatewayConn.Socket.(*conn)
	if c.endpoint != nil && sim.happens(sim.Faults.Blocked) {
		c.delayedWrite = b
		sim.after(20+200*sim.Random(), func() {
			if !c.closed {
				c.delayedWrite = nil
				c.deliver(b)
				sim.Gateway.OnFlushed(sim.now, gatewayConn)
			}
		})
		return false // the write is blocked: OnFlushed follows when the data is delivered
	}
	c.deliver(b)
	return true
}

func (c *conn) deliver(b []byte) {
	if c.endpoint != nil && c.sim.happens(c.sim.Faults.Forgotten) {
		c.sim.after(0.2, c.reset)
		return
	}
	if err := c.reader.Feed(b, func(m binarymessage.Message) bool {
		m = slices.Clone(m)
		if c.endpoint != nil {
			c.sim.Checker.OnMessageToEndpoint(c.sim.now, c.endpoint.id, c.connNumber, m)
			c.sim.after(0.2, func() { c.endpoint.onMessage(c, m) })
		} else {
			c.sim.Checker.OnMessageToClient(c.sim.now, c.connNumber, m)
			c.sim.after(0.2, func() {
				if c.closed {
					c.sim.Checker.OnUnreadByClient(m)
				} else {
					c.onClientMessage(m)
				}
			})
		}
		return true
	}); err != nil {
		panic(err)
	}
}

func (c *conn) onClientMessage(m binarymessage.Message) {
	id := m.CallID()
	c.pendingCalls = slices.DeleteFunc(c.pendingCalls, func(pendingID uint64) bool { return pendingID == id })
	if m.Type() == binarymessage.Answer && c.sim.happens(c.sim.Faults.CallerHangsUp) {
		c.sim.after(c.sim.Random()*c.sim.HoldingTime, func() {
			if !c.closed {
				c.send(binarymessage.Release, id, binarymessage.CauseParam(binarymessage.Normal))
			}
		})
	}
}

// Dial implements binarygateway.Transport.
func (sim *Simulation) Dial(gatewayConn *binarygateway.Conn, to netip.AddrPort) {
	sim.dialed++
	c := &conn{sim: sim, gatewayConn: gatewayConn, connNumber: sim.dialed}
	gatewayConn.Socket = c
	endpoint := sim.byAddr[to]
	sim.after(0.3+sim.Random(), func() {
		switch {
		case c.closed || endpoint != nil && (endpoint.unreachable || endpoint.silent) && !endpoint.crashed:
			// The connection was closed, or the endpoint does not respond: the connection attempt gets no reply.
		case endpoint == nil || endpoint.crashed:
			c.closed = true
			sim.Gateway.OnClosed(sim.now, gatewayConn, binarygateway.ClosedRefused)
		default:
			endpoint.onConnected(c)
		}
	})
}

// Close implements binarygateway.Transport.
func (sim *Simulation) Close(gatewayConn *binarygateway.Conn) {
	if c := gatewayConn.Socket.(*conn); !c.closed {
		c.onEnded()
	}
}

// CloseWrite implements binarygateway.Transport.
func (sim *Simulation) CloseWrite(*binarygateway.Conn) {}

// SendGossip implements binarygateway.Transport.
func (sim *Simulation) SendGossip(int, []byte) {}
