package binarygateway

import (
	"net/netip"
	"slices"

	"cobaltpier/internal/decision/connlimit"
	"cobaltpier/internal/protocol/binarymessage"
)

// Conn is one connection, a caller's or a line to a switch.
type Conn struct {
	Socket any // the driver's own

	gateway        *Gateway
	peer           peer
	reader         binarymessage.Reader
	outgoing       []outgoingMessage // what was made and has not been handed to the socket
	outgoingBytes  int
	written        []outgoingMessage // what the socket has been handed and has not left, without its bytes
	writePending   bool              // there is something of that
	lastWriteAt    float64           // when the socket was handed something last
	closed         bool
	flushScheduled bool // in dirty

	// a caller's
	writeClosed      bool // nothing is written to it any more
	client           *client
	openedAt         float64
	lastUsedAt       float64
	receivedMessage  bool
	partialSince     float64 // when the message began that is not whole
	pendingCalls     int     // setups without an answer
	establishedCalls int     // calls whose release would go here

	// a line's
	legs          []*outboundLeg
	connected     bool
	endpointSpoke bool // the switch has said something on it
	retired       bool // it gets no setups any more
}

// peer is who is at the other end.
type peer interface {
	onMessage(l *Conn, m binarymessage.Message)
	onClosed(l *Conn, how CloseReason)
}

// CloseReason is how a link ended.
type CloseReason int

// The endings.
const (
	ClosedNormally CloseReason = iota // closed by one side, or given up
	ClosedRefused                     // it never came up: nobody listens there
	ClosedReset                       // reset under way
)

// outgoingMessage is a message that waits in a queue.
type outgoingMessage struct {
	data   []byte
	leg    *outboundLeg // whose setup it is; nil: none
	onSent func()       // to be done once it has left; may be nil
	onLost func()       // to be done in its place if its link ends before; nil: left, for with the link its setup is given up
}

// connLost does what is to be done when an entry's link has ended before it left.
func (e *outgoingMessage) connLost() {
	if e.onLost != nil {
		e.onLost()
	} else if e.onSent != nil {
		e.onSent()
	}
}

// maxOutgoingBytes is how much may wait for a socket: whoever reads nothing for so long is cut off.
const maxOutgoingBytes = 256 << 10

// send queues a message.
func (conn *Conn) send(b []byte) { conn.enqueue(outgoingMessage{data: b}) }

func (conn *Conn) enqueue(message outgoingMessage) {
	if conn.closed {
		if message.onSent != nil || message.onLost != nil {
			conn.gateway.Timers.Schedule(conn.gateway.Now, message.connLost)
		}
		return
	}
	conn.outgoing = append(conn.outgoing, message)
	conn.outgoingBytes += len(message.data)
	conn.scheduleFlush()
}

// scheduleFlush has a link flushed at the end of the batch.
func (conn *Conn) scheduleFlush() {
	if !conn.flushScheduled {
		conn.flushScheduled = true
		conn.gateway.dirtyConns = append(conn.gateway.dirtyConns, conn)
	}
}

// flush hands what waits to the socket, unless that still has something.
func (conn *Conn) flush() {
	conn.flushScheduled = false
	if conn.closed || conn.writeClosed {
		return
	}
	if conn.writePending || conn.gateway.upstreamOf(conn) != nil && !conn.connected {
		if conn.outgoingBytes > maxOutgoingBytes {
			conn.gateway.Metrics.ProtocolErrors++
			conn.abort()
		}
		return
	}
	if len(conn.outgoing) == 0 {
		return
	}
	var b []byte
	for _, e := range conn.outgoing {
		b = append(b, e.data...)
		if conn.gateway.OnMessage != nil && len(e.data) > 0 {
			conn.gateway.OnMessage(conn, true, e.data)
		}
		if e.leg != nil {
			e.leg.sent = true
		}
		if e.onSent != nil || e.onLost != nil {
			conn.written = append(conn.written, outgoingMessage{onSent: e.onSent, onLost: e.onLost})
		}
	}
	clear(conn.outgoing)
	conn.outgoing, conn.outgoingBytes = conn.outgoing[:0], 0
	conn.writePending, conn.lastWriteAt = true, conn.gateway.Now
	if conn.gateway.transport.Write(conn, b) {
		conn.onFlushed()
	}
}

func (conn *Conn) onFlushed() {
	conn.writePending = false
	handed := conn.written
	conn.written = nil
	for _, e := range handed {
		if e.onSent != nil {
			e.onSent()
		}
	}
}

// withdraw takes a leg's setup back that has not been handed to the socket; false: it has been.
func (conn *Conn) withdraw(leg *outboundLeg) bool {
	if leg.sent {
		return false
	}
	conn.outgoing = slices.DeleteFunc(conn.outgoing, func(e outgoingMessage) bool {
		if e.leg == leg {
			conn.outgoingBytes -= len(e.data)
			return true
		}
		return false
	})
	return true
}

// close closes a link from here.
func (conn *Conn) close() {
	if conn.closed {
		return
	}
	conn.flushBeforeClose()
	conn.gateway.transport.Close(conn)
	conn.terminate(ClosedNormally)
}

// flushBeforeClose tries to hand over what waits before a close.
func (conn *Conn) flushBeforeClose() {
	if !conn.writePending && (conn.connected || conn.client != nil) && len(conn.outgoing) > 0 {
		conn.flush()
	}
}

// abort closes a link that is of no use, without a last word.
func (conn *Conn) abort() {
	if conn.closed {
		return
	}
	conn.gateway.transport.Close(conn)
	conn.terminate(ClosedNormally)
}

// terminate forgets a link: what has not left has not run, and what somebody is owed goes another way.
func (conn *Conn) terminate(reason CloseReason) {
	if conn.closed {
		return
	}
	conn.closed = true
	unsent := append(conn.written, conn.outgoing...)
	conn.outgoing, conn.written, conn.outgoingBytes = nil, nil, 0
	conn.peer.onClosed(conn, reason)
	for _, e := range unsent {
		e.connLost()
	}
}

// connState is what is decided by of a caller's link.
func (conn *Conn) connState() connlimit.ConnState {
	return connlimit.ConnState{OpenedAt: conn.openedAt, LastUsedAt: conn.lastUsedAt, ReceivedMessage: conn.receivedMessage, PartialMessage: conn.reader.Partial(), PartialSince: conn.partialSince,
		PendingCalls: conn.pendingCalls, EstablishedCalls: conn.establishedCalls, HasUnsentData: conn.writePending || len(conn.outgoing) > 0, BlockedFor: conn.gateway.Now - conn.lastWriteAt}
}

// OnAccepted takes a caller's connection; nil: it was closed at once.
func (g *Gateway) OnAccepted(now float64, socket any, address netip.Addr) *Conn {
	g.Now = now
	g.Metrics.Accepted++
	c := g.clients[address]
	if c == nil {
		c = &client{gateway: g}
		g.clients[address] = c
	}
	conn := &Conn{Socket: socket, gateway: g, peer: c, client: c, openedAt: now, lastUsedAt: now, lastWriteAt: now}
	c.conns = append(c.conns, conn)
	g.clientConns = append(g.clientConns, conn)
	if len(g.clientConns) > connlimit.MaxClientConns(g.config.MaxDescriptors) {
		facts := make([]connlimit.ConnState, len(g.clientConns))
		for i, conn := range g.clientConns {
			facts[i] = conn.connState()
		}
		g.Metrics.Evicted++
		worst := conn
		if i := connlimit.ChooseEviction(now, facts); i >= 0 {
			worst = g.clientConns[i]
		}
		worst.close()
	}
	if conn.closed {
		return nil
	}
	c.sendPendingReleases(conn)
	return conn
}

// OnConnected says that a link that was dialled is up.
func (g *Gateway) OnConnected(now float64, conn *Conn) {
	g.Now = now
	if u := g.upstreamOf(conn); u != nil && !conn.closed {
		u.onConnected(conn)
	}
}

// OnData takes bytes of a link.
func (g *Gateway) OnData(now float64, conn *Conn, data []byte) {
	g.Now = now
	if conn.closed {
		return
	}
	if !conn.reader.Partial() {
		conn.partialSince = now
	}
	err := conn.reader.Feed(data, func(msg binarymessage.Message) bool {
		conn.partialSince = now // of whatever follows
		if g.OnMessage != nil {
			g.OnMessage(conn, false, msg)
		}
		conn.peer.onMessage(conn, msg)
		return !conn.closed
	})
	if err != nil && !conn.closed {
		if conn.client != nil {
			g.Metrics.Malformed++
			conn.close()
		} else {
			g.Metrics.ProtocolErrors++
			conn.abort()
		}
	}
}

// OnFlushed says that all that a link's socket was handed has left.
func (g *Gateway) OnFlushed(now float64, conn *Conn) {
	g.Now = now
	if conn.closed || !conn.writePending {
		return
	}
	conn.onFlushed()
	conn.scheduleFlush()
}

// OnClosed says that a link was closed from the other side, or never came up.
func (g *Gateway) OnClosed(now float64, conn *Conn, how CloseReason) {
	g.Now = now
	conn.terminate(how)
}

func (g *Gateway) upstreamOf(conn *Conn) *upstream {
	u, _ := conn.peer.(*upstream)
	return u
}

// PeerName names who is at the other end: a switch by its id.
func (conn *Conn) PeerName() string {
	if u := conn.gateway.upstreamOf(conn); u != nil {
		return conn.gateway.Endpoints.IDOf(u.endpoint)
	}
	return "caller"
}
