package binarygateway

import (
	"math"
	"net/netip"
	"slices"

	"cobaltpier/internal/decision/liveness"
	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/routing"
	"cobaltpier/internal/timerqueue"
)

const (
	minConnsPerEndpoint       = 1       // connections that each endpoint has even when idle: it reports its load on one
	maxBackoff                = 2000.0  // ms between two attempts to connect
	initialBackoff            = 50.0    // ms
	maxBackoffDoublings       = 10      // of initialBackoff; maxBackoff is reached long before
	unmatchedReleaseRetention = 15000.0 // ms that the end of an unknown call is remembered for a caller that asks
	maxUnmatchedReleases      = 2048
	lateAnswerRetention       = 30000.0 // ms after a cancel in which an answer may still come
	defaultConnectTimeout     = 500.0   // ms, where the settings give none
)

// upstream is all connections to one endpoint.
type upstream struct {
	gateway     *Gateway
	endpoint    *routing.Endpoint
	address     netip.AddrPort
	startedAt   float64 // the endpoint's latest start, as far as known
	conns       []*Conn
	nextConn    uint64         // counts setups, to spread them
	waitingLegs []*outboundLeg // setups that wait for a connection

	established       map[uint64]*call
	canceled          map[uint64]float64          // setups given up, until when an answer may come
	unmatchedReleases map[uint64]unmatchedRelease // ends of calls that are unknown here

	// liveness and reconnection
	lastMessageAt   float64
	unansweredDials int // since then, not even refused
	failedDials     int // since a new connection carried a message
	retryAt         float64
	reconnectTimer  *timerqueue.Timer
	lastConnReset   bool // the latest connection to end was reset, and none has come up since
	disconnectedAt  float64
}

// unmatchedRelease is the end of a call that is unknown here.
type unmatchedRelease struct {
	cause     byte
	expiresAt float64
}

func newUpstream(g *Gateway, endpoint *routing.Endpoint, address netip.AddrPort) *upstream {
	return &upstream{
		gateway:           g,
		endpoint:          endpoint,
		address:           address,
		startedAt:         endpoint.StartedAt,
		established:       map[uint64]*call{},
		canceled:          map[uint64]float64{},
		unmatchedReleases: map[uint64]unmatchedRelease{},
		lastMessageAt:     g.Now,
		disconnectedAt:    g.Now,
	}
}

// connectedConns is how many connections are up and take setups.
func (u *upstream) connectedConns() (n int) {
	for _, conn := range u.conns {
		if conn.connected && !conn.retired {
			n++
		}
	}
	return n
}

// isDialing tells whether a connection is being opened.
func (u *upstream) isDialing() bool {
	return slices.ContainsFunc(u.conns, func(conn *Conn) bool { return !conn.connected })
}

// maintainConns opens the connections that an endpoint always has. One that drains gets no setups, and has a connection
// only for its established calls.
func (u *upstream) maintainConns() {
	wanted := min(minConnsPerEndpoint, u.gateway.connsPerEndpoint())
	if u.endpoint.State != routing.Ready {
		wanted = min(1, len(u.established))
	}
	for len(u.conns) < wanted && u.reconnectTimer == nil && u.mayReconnect() &&
		(u.failedDials == 0 || len(u.conns) == 0) {
		u.dial()
	}
}

// mayReconnect tells whether the backoff allows a connection that no setup waits for.
func (u *upstream) mayReconnect() bool { return u.gateway.Now >= u.retryAt }

// dial opens one more connection.
func (u *upstream) dial() *Conn {
	g := u.gateway
	conn := &Conn{gateway: g, peer: u}
	u.conns = append(u.conns, conn)
	g.Metrics.Dialed++
	g.Timers.Schedule(g.Now+u.connectTimeout(), func() {
		if !conn.connected && !conn.closed {
			g.Metrics.ConnectTimeouts++
			conn.abort()
		}
	})
	g.transport.Dial(conn, u.address)
	return conn
}

// connectTimeout is how long opening a connection may take, ms.
func (u *upstream) connectTimeout() float64 {
	if timeout := u.gateway.config.Connections.ConnectTimeout; timeout > 0 {
		return timeout
	}
	return defaultConnectTimeout
}

// onConnected sends the setups that wait. A connection that is up shows a machine that accepts; only the first message
// on it shows an endpoint that works.
func (u *upstream) onConnected(conn *Conn) {
	conn.connected = true
	u.gateway.Metrics.Connected++
	u.lastConnReset = false
	waiting := u.waitingLegs
	u.waitingLegs = nil
	for _, leg := range waiting {
		u.assignConn(leg)
	}
	u.gateway.updateReadiness()
	conn.scheduleFlush()
}

// assignConn sends a setup on the connection with the fewest setups in flight, since one that breaks takes all of its
// own along. Where none is up the setup waits for the next, but no longer than opening one may take.
func (u *upstream) assignConn(leg *outboundLeg) {
	g := u.gateway
	conn := u.leastUsedConn()
	wantsAnotherConn := conn == nil || len(conn.legs) > 0 && u.mayReconnect()
	if wantsAnotherConn && !u.isDialing() && len(u.conns) < g.connsPerEndpoint() {
		u.dial()
	}
	if conn == nil {
		u.waitingLegs = append(u.waitingLegs, leg)
		g.Timers.Schedule(g.Now+u.connectTimeout(), leg.onConnectTimeout)
		return
	}
	leg.conn = conn
	conn.legs = append(conn.legs, leg)
	conn.enqueue(outgoingMessage{data: leg.setupMessage(), leg: leg})
}

// leastUsedConn is the connection with the fewest setups in flight of those that can take one, by turns among equals;
// nil: none can.
func (u *upstream) leastUsedConn() *Conn {
	var best *Conn
	u.nextConn++
	count := len(u.conns)
	for i := range u.conns {
		conn := u.conns[(int(u.nextConn%uint64(count))+i)%count]
		if !conn.connected || conn.retired || conn.writePending {
			continue
		}
		if best == nil || len(conn.legs) < len(best.legs) {
			best = conn
		}
	}
	return best
}

// releaseCall releases an established call at its endpoint.
func (u *upstream) releaseCall(call *call, cause byte) {
	if cause == 0 {
		cause = binarymessage.Normal
	}
	u.canceled[call.id] = u.gateway.Now + lateAnswerRetention
	u.sendRelease(call.id, cause, call.upstreamConn)
}

// sendRelease sends a release: on the connection given if that is still open, else on any, else on a new one.
func (u *upstream) sendRelease(id uint64, cause byte, conn *Conn) {
	if conn == nil || conn.closed {
		conn = u.anyConn()
	}
	if conn == nil {
		conn = u.dial()
	}
	conn.send(releaseMessage(id, cause))
}

// anyConn is an open connection, one that is up if there is any; nil: there is none.
func (u *upstream) anyConn() *Conn {
	var found *Conn
	for _, conn := range u.conns {
		if !conn.closed && (found == nil || conn.connected && !found.connected) {
			found = conn
		}
	}
	return found
}

// onClosed implements peer: setups that were sent on a connection may have been executed, others have not.
func (u *upstream) onClosed(conn *Conn, reason CloseReason) {
	u.conns = slices.DeleteFunc(u.conns, func(other *Conn) bool { return other == conn })
	for _, call := range u.established {
		if call.upstreamConn == conn {
			call.upstreamConn = nil
		}
	}
	legs := conn.legs
	conn.legs = nil
	for _, leg := range legs {
		leg.onConnClosed()
	}
	if u.gateway.upstreams[u.endpoint] != u {
		return
	}
	if conn.connected {
		u.onConnLost(conn, reason)
	} else {
		u.onDialFailed(reason)
	}
}

func (u *upstream) onConnLost(conn *Conn, reason CloseReason) {
	u.gateway.Metrics.ConnectionsLost++
	u.lastConnReset = reason == ClosedReset
	if conn.endpointSentMessage {
		u.disconnectedAt = u.gateway.Now
	} else { // accepted, and no more: no endpoint works there
		u.backOff()
		u.unansweredDials++
	}
	if u.connectedConns() == 0 {
		u.scheduleReconnect()
	}
}

func (u *upstream) onDialFailed(reason CloseReason) {
	g := u.gateway
	u.backOff()
	if reason == ClosedRefused { // the machine is there; an endpoint that died would have reset its connections
		g.Metrics.ConnectionsRefused++
		u.unansweredDials = 0
	} else {
		u.unansweredDials++
	}
	stillDialing := func(conn *Conn) bool { return !conn.connected && !conn.closed }
	if u.connectedConns() > 0 || slices.ContainsFunc(u.conns, stillDialing) {
		return
	}
	for _, leg := range u.waitingLegs {
		g.Timers.Schedule(g.Now, leg.onConnectTimeout)
	}
	// A process that dies resets its connections, and then nobody listens there. One that drains closes them in order and
	// listens no more, and its calls go on.
	if reason == ClosedRefused && u.lastConnReset {
		u.markDead()
	}
	u.scheduleReconnect()
}

// backOff counts an attempt to connect that failed: the next waits longer, by a random time.
func (u *upstream) backOff() {
	u.failedDials++
	doublings := float64(min(u.failedDials, maxBackoffDoublings))
	backoff := math.Min(maxBackoff, initialBackoff*math.Pow(2, doublings))
	u.retryAt = u.gateway.Now + backoff*(0.5+u.gateway.random())
}

// scheduleReconnect connects again after the backoff.
func (u *upstream) scheduleReconnect() {
	g := u.gateway
	if u.reconnectTimer != nil || u.endpoint.State == routing.Gone {
		return
	}
	u.reconnectTimer = g.Timers.Schedule(math.Max(g.Now, u.retryAt), func() {
		u.reconnectTimer = nil
		needed := u.endpoint.State == routing.Ready || len(u.established) > 0
		if g.upstreams[u.endpoint] == u && len(u.conns) == 0 && needed {
			u.dial()
		}
	})
}

// checkLiveness finds an endpoint that has gone silent, and drops what has expired.
func (u *upstream) checkLiveness() {
	u.dropExpired()
	if u.isBusy() {
		switch liveness.Assess(u.silence()) {
		case liveness.Dead:
			for _, conn := range slices.Clone(u.conns) {
				conn.abort()
			}
			u.markDead()
		case liveness.Suspect:
			if u.reconnectTimer == nil && u.mayReconnect() && !u.isDialing() {
				u.freeConnSlot()
				u.dial()
			}
		}
	}
	u.maintainConns()
}

func (u *upstream) dropExpired() {
	now := u.gateway.Now
	for id, expiresAt := range u.canceled {
		if expiresAt < now {
			delete(u.canceled, id)
		}
	}
	for id, end := range u.unmatchedReleases {
		if end.expiresAt < now {
			delete(u.unmatchedReleases, id)
		}
	}
}

// isBusy tells whether calls are established there or setups in flight.
func (u *upstream) isBusy() bool {
	hasLegs := func(conn *Conn) bool { return len(conn.legs) > 0 }
	return len(u.established) > 0 || slices.ContainsFunc(u.conns, hasLegs)
}

// silence is what liveness is judged by: ms without a message and without a connection, and unanswered dials.
func (u *upstream) silence() (silentFor, disconnectedFor float64, unansweredDials int) {
	if u.connectedConns() == 0 {
		disconnectedFor = u.gateway.Now - u.disconnectedAt
	}
	return u.gateway.Now - u.lastMessageAt, disconnectedFor, u.unansweredDials
}

// freeConnSlot closes the oldest idle connection where there is no room for one more.
func (u *upstream) freeConnSlot() {
	if len(u.conns) < u.gateway.connsPerEndpoint() {
		return
	}
	for _, conn := range u.conns {
		if conn.connected && len(conn.legs) == 0 && len(conn.outgoing) == 0 && !conn.writePending {
			conn.close()
			return
		}
	}
}

// markDead ends the calls of a process that has died.
func (u *upstream) markDead() {
	if len(u.established) == 0 {
		return
	}
	u.gateway.Metrics.EndpointsDead++
	u.cutCalls(math.Inf(1))
}

// cutCalls ends the calls that were set up before a time.
func (u *upstream) cutCalls(before float64) {
	var cut []*call
	for _, call := range u.established {
		if call.startedAt < before {
			cut = append(cut, call)
		}
	}
	slices.SortFunc(cut, compareByID)
	for _, call := range cut {
		u.gateway.Metrics.CallsCut++
		call.release(routing.Reset, binarymessage.Failure, false)
	}
}

// onRestart ends the calls of the process before the one that started at a time.
func (u *upstream) onRestart(startedAt float64) {
	u.startedAt = startedAt
	u.cutCalls(startedAt)
}

// withdrawUnsent takes back the setups that were not sent (rule 3).
func (u *upstream) withdrawUnsent() {
	for _, leg := range slices.Clone(u.waitingLegs) {
		leg.cancel(routing.NotSent)
	}
	for _, conn := range u.conns {
		for _, leg := range slices.Clone(conn.legs) {
			if !leg.sent {
				leg.cancel(routing.NotSent)
			}
		}
	}
}

// closeAll ends everything of an endpoint that is gone.
func (u *upstream) closeAll() {
	u.cutCalls(math.Inf(1))
	for _, conn := range slices.Clone(u.conns) {
		conn.close()
	}
	u.gateway.Timers.Cancel(u.reconnectTimer)
}

// changeAddress has new connections go to another address of the same endpoint; those with setups in flight are closed
// later, as they fall idle.
func (u *upstream) changeAddress(address netip.AddrPort) {
	u.address = address
	for _, conn := range slices.Clone(u.conns) {
		conn.retired = true
		if len(conn.legs) == 0 {
			conn.close()
		}
	}
}
