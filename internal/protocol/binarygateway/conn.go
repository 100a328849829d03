package binarygateway

import (
	"net/netip"
	"slices"

	"cobaltpier/internal/decision/connlimit"
	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/protocol/delivery"
)

// Conn is a connection from a client or to an endpoint.
type Conn struct {
	Socket any // for use by the driver

	gateway *Gateway
	peer    peer
	reader  binarymessage.Reader
	closed  bool

	partialSince float64 // when the first bytes of the incomplete message arrived

	outgoing       []outgoingMessage // not yet handed to the driver
	outgoingBytes  int
	written        []outgoingMessage // handed to the driver and not yet sent; without data
	writePending   bool              // the driver has not yet sent all data of the last write
	lastWriteAt    float64
	flushScheduled bool // it is in the gateway's dirtyConns

	// of a client's connection
	client           *client
	calls            map[*call]struct{} // whose answer or release would be sent on it
	writeClosed      bool               // no more data is written to it
	openedAt         float64
	lastUsedAt       float64
	receivedMessage  bool
	pendingCalls     int // setups without an answer
	establishedCalls int // calls whose release would be sent on it

	// of a connection to an endpoint
	legs                []*outboundLeg
	dialNumber          uint64 // counted from 1 over all dials of the upstream
	connected           bool
	connectedAt         float64
	endpointSentMessage bool // the endpoint has sent a message on it
	retired             bool // it takes no more setups
}

// peer handles the events of a connection: a client or an upstream.
type peer interface {
	onMessage(conn *Conn, message binarymessage.Message)
	onClosed(conn *Conn, reason CloseReason)
}

// CloseReason says how a connection ended.
type CloseReason int

// Reasons for the end of a connection.
const (
	ClosedNormally CloseReason = iota // closed in order by the peer, which had sent everything, or the dial failed
	ClosedRefused                     // the dial was refused: no process listens on the port
	ClosedReset
	ClosedLocally // closed by this gateway, or its dial was given up
)

// outgoingMessage is a message that is queued on a connection or handed to its driver.
type outgoingMessage struct {
	data   []byte
	leg    *outboundLeg // the leg whose setup this is; nil if it isn't a setup
	onSent func()       // called once the message has been sent; may be nil
	onLost func()       // called instead of onSent if the connection ends first; may be nil
}

func (m *outgoingMessage) connLost() {
	if m.onLost != nil {
		m.onLost()
	}
}

// maxOutgoingBytes limits the data queued on a connection. A peer that does not read is disconnected beyond it.
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

// enqueueRelease queues a release that an outbox holds.
func (c *Conn) enqueueRelease(release *delivery.Release, outbox *delivery.Outbox[*Conn]) {
	outbox.Put(c, release)
	c.enqueue(outgoingMessage{
		data:   releaseMessage(release.CallID, release.Cause),
		onSent: func() { outbox.Sent(release, c.gateway.Now) },
	})
}

// scheduleFlush marks the connection to be flushed at the end of the batch.
func (c *Conn) scheduleFlush() {
	if !c.flushScheduled {
		c.flushScheduled = true
		c.gateway.dirtyConns = append(c.gateway.dirtyConns, c)
	}
}

// flush hands queued messages to the driver, unless the previous write is pending or the connection is not yet
// established.
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

// takeOutgoing empties the queue and returns its bytes.
func (c *Conn) takeOutgoing() []byte {
	var data []byte
	for _, message := range c.outgoing {
		data = append(data, message.data...)
		if c.gateway.OnMessage != nil && len(message.data) > 0 {
			c.gateway.OnMessage(c, true, message.data)
		}
		if message.leg != nil {
			message.leg.sent, message.leg.unflushed = true, true
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
	for _, leg := range c.legs {
		leg.unflushed = false
	}
	written := c.written
	c.written = nil
	for _, message := range written {
		if message.onSent != nil {
			message.onSent()
		}
	}
}

// withdraw removes a leg's setup from the queue. It returns false if the setup was already handed to the driver.
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

// close closes the connection. Queued messages are written first, if it is established and no write is pending.
func (c *Conn) close() {
	if c.closed {
		return
	}
	if !c.writePending && (c.connected || c.client != nil) && len(c.outgoing) > 0 {
		c.flush()
	}
	c.gateway.transport.Close(c)
	c.terminate(ClosedLocally)
}

// abort closes the connection without writing queued messages.
func (c *Conn) abort() {
	if c.closed {
		return
	}
	c.gateway.transport.Close(c)
	c.terminate(ClosedLocally)
}

// terminate ends a connection. Setups that were not sent end as not sent, and the callbacks of lost messages are
// called, which send releases to clients on another connection.
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

// state returns the input for the decisions of package connlimit.
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

// PeerName returns the name of the peer for logs: "caller", or the ID of an endpoint.
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

// OnAccepted handles a new client connection. It returns nil if the connection was closed at once.
func (g *Gateway) OnAccepted(now float64, socket any, address netip.Addr) *Conn {
	g.Now = now
	g.Metrics.Accepted++
	owner := g.clients[address]
	if owner == nil {
		outbox := delivery.New[*Conn](&g.Metrics.ClientReleases, &g.clientReleases, clientConfirmAfter)
		owner = &client{gateway: g, outbox: outbox}
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
	g.resumed.setAbsent(owner, false)
	g.clientConns = append(g.clientConns, conn)
	if len(g.clientConns) > connlimit.MaxClientConns(g.config.MaxDescriptors) {
		g.evictOne(conn)
	}
	if conn.closed {
		return nil
	}
	owner.sendWaitingReleases(conn)
	return conn
}

// evictOne closes one client connection: the newcomer if no other may be closed.
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

// OnConnected reports that a dialed connection is established.
func (g *Gateway) OnConnected(now float64, conn *Conn) {
	g.Now = now
	if u := g.upstreamOf(conn); u != nil && !conn.closed {
		u.onConnected(conn)
	}
}

// OnData handles received bytes.
func (g *Gateway) OnData(now float64, conn *Conn, data []byte) {
	g.Now = now
	if conn.closed {
		return
	}
	if !conn.reader.Partial() {
		conn.partialSince = now
	}
	err := conn.reader.Feed(data, func(message binarymessage.Message) bool {
		conn.partialSince = now // for the next message
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

// OnFlushed reports that the driver has sent all data of the last write on a connection.
func (g *Gateway) OnFlushed(now float64, conn *Conn) {
	g.Now = now
	if conn.closed || !conn.writePending {
		return
	}
	conn.onFlushed()
	conn.scheduleFlush()
}

// mayHaveUnreadMessages reports whether the peer may have sent messages that were not read when the connection ended.
func (c *Conn) mayHaveUnreadMessages(reason CloseReason) bool {
	return c.connected && (reason != ClosedNormally || c.reader.Partial())
}

// OnClosed reports that the peer closed a connection, or that a dial failed.
func (g *Gateway) OnClosed(now float64, conn *Conn, reason CloseReason) {
	g.Now = now
	conn.terminate(reason)
}
