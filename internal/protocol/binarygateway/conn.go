package binarygateway

import (
	"net/netip"
	"slices"

	"cobaltpier/internal/decision/connlimit"
	"cobaltpier/internal/protocol/binarymessage"
)

// Conn is one connection, of a client or to an endpoint.
type Conn struct {
	Socket any // the driver's own

	gateway *Gateway
	peer    peer
	reader  binarymessage.Reader
	closed  bool

	outgoing       []outgoingMessage // not yet handed to the driver
	outgoingBytes  int
	written        []outgoingMessage // handed to the driver and not yet sent, without their bytes
	writePending   bool              // the driver has not sent all that it was handed
	lastWriteAt    float64
	flushScheduled bool // it is in the gateway's dirtyConns

	// of a client's connection
	client           *client
	writeClosed      bool // nothing is written to it any more
	openedAt         float64
	lastUsedAt       float64
	receivedMessage  bool
	partialSince     float64 // when the message began that is not complete
	pendingCalls     int     // setups without an answer
	establishedCalls int     // calls whose release would be sent on it

	// of a connection to an endpoint
	legs          []*outboundLeg
	connected     bool
	endpointSentMessage bool // the endpoint has sent a message on it
	retired       bool // it gets no setups any more
}

// peer is who is at the other end of a connection.
type peer interface {
	onMessage(conn *Conn, message binarymessage.Message)
	onClosed(conn *Conn, reason CloseReason)
}

// CloseReason is how a connection ended.
type CloseReason int

// The reasons.
const (
	ClosedNormally CloseReason = iota // closed by one side, or given up
	ClosedRefused                     // it never came up: nobody listens there
	ClosedReset
)

// outgoingMessage is a message on its way to a connection.
type outgoingMessage struct {
	data   []byte
	leg    *outboundLeg // whose setup it is; nil: of none
	onSent func()       // called once it has been sent; may be nil
	// onLost is called in its place if the connection ends before; nil: onSent, for the end of a connection gives up its
	// setups as a cancel does.
	onLost func()
}

func (m *outgoingMessage) connLost() {
	if m.onLost != nil {
		m.onLost()
	} else if m.onSent != nil {
		m.onSent()
	}
}

// maxOutgoingBytes is how much may wait for a connection: a peer that reads nothing for so long is disconnected.
const maxOutgoingBytes = 256 << 10

// send queues a message.
func (c *Conn) send(data []byte) { c.enqueue(outgoingMessage{data: data}) }

func (c *Conn) enqueue(message outgoingMessage) {
	if c.closed {
		if message.onSent != nil || message.onLost != nil {
			c.gateway.Timers.Schedule(c.gateway.Now, message.connLost)
		}
		return
	}
	c.outgoing = append(c.outgoing, message)
	c.outgoingBytes += len(message.data)
	c.scheduleFlush()
}

// scheduleFlush has the connection flushed at the end of the batch.
func (c *Conn) scheduleFlush() {
	if !c.flushScheduled {
		c.flushScheduled = true
		c.gateway.dirtyConns = append(c.gateway.dirtyConns, c)
	}
}

// flush hands what is queued to the driver, unless that has not sent all of what it was handed before.
func (c *Conn) flush() {
	c.flushScheduled = false
	if c.closed || c.writeClosed {
		return
	}
	if c.writePending || c.gateway.upstreamOf(c) != nil && !c.connected {
		if c.outgoingBytes > maxOutgoingBytes {
			c.gateway.Metrics.ProtocolErrors++
			c.abort()
		}
		return
	}
	if len(c.outgoing) == 0 {
		return
	}
	data := c.takeOutgoing()
	c.writePending = true
	c.lastWriteAt = c.gateway.Now
	if c.gateway.transport.Write(c, data) {
		c.onFlushed()
	}
}

// takeOutgoing empties the queue and gives its bytes.
func (c *Conn) takeOutgoing() []byte {
	var data []byte
	for _, message := range c.outgoing {
		data = append(data, message.data...)
		if c.gateway.OnMessage != nil && len(message.data) > 0 {
			c.gateway.OnMessage(c, true, message.data)
		}
		if message.leg != nil {
			message.leg.sent = true
		}
		if message.onSent != nil || message.onLost != nil {
			c.written = append(c.written, outgoingMessage{onSent: message.onSent, onLost: message.onLost})
		}
	}
	clear(c.outgoing)
	c.outgoing, c.outgoingBytes = c.outgoing[:0], 0
	return data
}

func (c *Conn) onFlushed() {
	c.writePending = false
	written := c.written
	c.written = nil
	for _, message := range written {
		if message.onSent != nil {
			message.onSent()
		}
	}
}

// withdraw takes back a leg's setup that was not handed to the driver; false: it was.
func (c *Conn) withdraw(leg *outboundLeg) bool {
	if leg.sent {
		return false
	}
	c.outgoing = slices.DeleteFunc(c.outgoing, func(message outgoingMessage) bool {
		if message.leg != leg {
			return false
		}
		c.outgoingBytes -= len(message.data)
		return true
	})
	return true
}

// close closes a connection from here, after writing what is queued if the driver can take it.
func (c *Conn) close() {
	if c.closed {
		return
	}
	if !c.writePending && (c.connected || c.client != nil) && len(c.outgoing) > 0 {
		c.flush()
	}
	c.gateway.transport.Close(c)
	c.terminate(ClosedNormally)
}

// abort closes a connection that is of no use, without writing what is queued.
func (c *Conn) abort() {
	if c.closed {
		return
	}
	c.gateway.transport.Close(c)
	c.terminate(ClosedNormally)
}

// terminate forgets a connection: setups that were not sent have not been executed, and releases go another way.
func (c *Conn) terminate(reason CloseReason) {
	if c.closed {
		return
	}
	c.closed = true
	unsent := append(c.written, c.outgoing...)
	c.outgoing, c.written, c.outgoingBytes = nil, nil, 0
	c.peer.onClosed(c, reason)
	for _, message := range unsent {
		message.connLost()
	}
}

// state is what package connlimit decides by.
func (c *Conn) state() connlimit.ConnState {
	return connlimit.ConnState{
		OpenedAt:         c.openedAt,
		LastUsedAt:       c.lastUsedAt,
		ReceivedMessage:  c.receivedMessage,
		PartialMessage:   c.reader.Partial(),
		PartialSince:     c.partialSince,
		PendingCalls:     c.pendingCalls,
		EstablishedCalls: c.establishedCalls,
		HasUnsentData:    c.writePending || len(c.outgoing) > 0,
		BlockedFor:       c.gateway.Now - c.lastWriteAt,
	}
}

// PeerName names who is at the other end: "caller", or an endpoint by its ID.
func (c *Conn) PeerName() string {
	if u := c.gateway.upstreamOf(c); u != nil {
		return c.gateway.Endpoints.IDOf(u.endpoint)
	}
	return "caller"
}

func (g *Gateway) upstreamOf(conn *Conn) *upstream {
	u, _ := conn.peer.(*upstream)
	return u
}

// OnAccepted takes a client's connection; nil: it was closed at once.
func (g *Gateway) OnAccepted(now float64, socket any, address netip.Addr) *Conn {
	g.Now = now
	g.Metrics.Accepted++
	owner := g.clients[address]
	if owner == nil {
		owner = &client{gateway: g}
		g.clients[address] = owner
	}
	conn := &Conn{
		Socket:      socket,
		gateway:     g,
		peer:        owner,
		client:      owner,
		openedAt:    now,
		lastUsedAt:  now,
		lastWriteAt: now,
	}
	owner.conns = append(owner.conns, conn)
	g.clientConns = append(g.clientConns, conn)
	if len(g.clientConns) > connlimit.MaxClientConns(g.config.MaxDescriptors) {
		g.evictOne(conn)
	}
	if conn.closed {
		return nil
	}
	owner.sendPendingReleases(conn)
	return conn
}

// evictOne closes one client connection, the newcomer where no other can go.
func (g *Gateway) evictOne(newcomer *Conn) {
	states := make([]connlimit.ConnState, len(g.clientConns))
	for i, conn := range g.clientConns {
		states[i] = conn.state()
	}
	g.Metrics.Evicted++
	evicted := newcomer
	if i := connlimit.ChooseEviction(g.Now, states); i >= 0 {
		evicted = g.clientConns[i]
	}
	evicted.close()
}

// OnConnected reports that a connection that was dialed is up.
func (g *Gateway) OnConnected(now float64, conn *Conn) {
	g.Now = now
	if u := g.upstreamOf(conn); u != nil && !conn.closed {
		u.onConnected(conn)
	}
}

// OnData takes bytes that were received.
func (g *Gateway) OnData(now float64, conn *Conn, data []byte) {
	g.Now = now
	if conn.closed {
		return
	}
	if !conn.reader.Partial() {
		conn.partialSince = now
	}
	err := conn.reader.Feed(data, func(message binarymessage.Message) bool {
		conn.partialSince = now // of whatever follows
		if g.OnMessage != nil {
			g.OnMessage(conn, false, message)
		}
		conn.peer.onMessage(conn, message)
		return !conn.closed
	})
	if err == nil || conn.closed {
		return
	}
	if conn.client != nil {
		g.Metrics.Malformed++
		conn.close()
		return
	}
	g.Metrics.ProtocolErrors++
	conn.abort()
}

// OnFlushed reports that the driver has sent all that it was handed for a connection.
func (g *Gateway) OnFlushed(now float64, conn *Conn) {
	g.Now = now
	if conn.closed || !conn.writePending {
		return
	}
	conn.onFlushed()
	conn.scheduleFlush()
}

// OnClosed reports that a connection was closed from the other side, or never came up.
func (g *Gateway) OnClosed(now float64, conn *Conn, reason CloseReason) {
	g.Now = now
	conn.terminate(reason)
}
