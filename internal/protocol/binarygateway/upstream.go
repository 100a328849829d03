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
	minConnsPerEndpoint       = 1       // kept open to an idle endpoint, which reports its load on them
	maxBackoff                = 2000.0  // ms between two dials, before jitter
	initialBackoff            = 50.0    // ms
	maxBackoffDoublings       = 10      // of initialBackoff; maxBackoff is reached sooner
	unmatchedReleaseRetention = 15000.0 // ms for which the release of an unknown call is kept for a client that resumes it
	maxUnmatchedReleases      = 2048
	lateAnswerRetention       = 30000.0 // ms after a cancel in which a late answer is still expected
	defaultConnectTimeout     = 500.0   // ms, if the settings give none
)

// upstream manages all connections to one endpoint.
type upstream struct {
	gateway     *Gateway
	endpoint    *routing.Endpoint
	address     netip.AddrPort
	startedAt   float64 // the endpoint's latest known start
	conns       []*Conn
	dials       uint64         // so far
	nextConn    uint64         // rotates among equally used connections
	waitingLegs []*outboundLeg // setups that wait for a connection

	established       map[uint64]*call
	canceled          map[uint64]float64          // expiry times of canceled setups whose answer may still come
	unmatchedReleases map[uint64]unmatchedRelease // releases of calls that are unknown here
	// unreadUntilDial is the number of dials at the time when a connection ended on which the endpoint may have sent
	// messages that were not read. It repeats releases on the next connection that is opened. 0: that was opened since.
	unreadUntilDial uint64

	// liveness and reconnection
	lastMessageAt   float64
	unansweredDials int // dials since lastMessageAt without a message or a refusal
	failedDials     int // failed dials since the first message on a new connection
	retryAt         float64
	reconnectTimer  *timerqueue.Timer
	lastConnReset   bool // the connection that ended last was reset, and none was established since
	disconnectedAt  float64
}

// unmatchedRelease is an endpoint's release of a call that is unknown here.
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

// connectedConns returns the number of established connections that take setups.
func (u *upstream) connectedConns() (n int) {
	for _, conn := range u.conns {
		if conn.connected && !conn.retired {
			n++
		}
	}
	return n
}

// isDialing reports whether a dial is in progress.
func (u *upstream) isDialing() bool {
	return slices.ContainsFunc(u.conns, func(conn *Conn) bool { return !conn.connected })
}

// maintainConns opens the connections that are kept to the endpoint at all times. A draining endpoint gets no
// setups, so it needs a connection only while calls are established there.
func (u *upstream) maintainConns() {
	wanted := min(minConnsPerEndpoint, u.gateway.connsPerEndpoint())
	if u.endpoint.State != routing.Ready {
		wanted = min(1, len(u.established))
	}
	for len(u.conns) < wanted && u.reconnectTimer == nil && u.mayReconnect() &&
		(u.failedDials == 0 || len(u.conns) == 0) {
		u.dial()
	}
	if u.needsRepeatedReleases() {
		u.scheduleReconnect()
	}
}

// needsRepeatedReleases reports whether a new connection must be opened because a release of an established call may
// have been lost with an earlier one.
func (u *upstream) needsRepeatedReleases() bool {
	return u.unreadUntilDial > 0 && len(u.established) > 0
}

// mayReconnect reports whether the backoff allows a dial for which no setup waits.
func (u *upstream) mayReconnect() bool { return u.gateway.Now >= u.retryAt }

// dial opens another connection.
func (u *upstream) dial() *Conn {
	g := u.gateway
	u.dials++
	conn := &Conn{gateway: g, peer: u, dialNumber: u.dials}
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

// connectTimeout returns the maximum duration of a dial, in ms.
func (u *upstream) connectTimeout() float64 {
	if timeout := u.gateway.config.Connections.ConnectTimeout; timeout > 0 {
		return timeout
	}
	return defaultConnectTimeout
}

// onConnected sends the waiting setups. An established connection proves only that the host accepts connections; the
// endpoint counts as working after its first message.
func (u *upstream) onConnected(conn *Conn) {
	conn.connected = true
	u.gateway.Metrics.Connected++
	u.lastConnReset = false
	if conn.dialNumber > u.unreadUntilDial {
		u.unreadUntilDial = 0
	}
	waiting := u.waitingLegs
	u.waitingLegs = nil
	for _, leg := range waiting {
		u.assignConn(leg)
	}
	u.gateway.updateReadiness()
	conn.scheduleFlush()
}

// assignConn sends a setup on the connection with the fewest setups in flight, since all setups on a connection
// fail if it breaks. Without a usable connection the setup waits for the next, but no longer than the connect
// timeout.
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

// leastUsedConn returns the connection with the fewest setups in flight among those that can take one, choosing among
// equals in rotation. It returns nil if none can.
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

// releaseCall sends the release of an established call to the endpoint.
func (u *upstream) releaseCall(call *call, cause byte) {
	if cause == 0 {
		cause = binarymessage.Normal
	}
	u.canceled[call.id] = u.gateway.Now + lateAnswerRetention
	u.sendRelease(call.id, cause, call.upstreamConn)
}

// sendRelease sends a release on the given connection if it is still open, else on any other, else on a new one.
func (u *upstream) sendRelease(id uint64, cause byte, conn *Conn) {
	if conn == nil || conn.closed {
		conn = u.anyConn()
	}
	if conn == nil {
		conn = u.dial()
	}
	conn.send(releaseMessage(id, cause))
}

// anyConn returns a connection that is not closed, preferring an established one. It returns nil if there is none.
func (u *upstream) anyConn() *Conn {
	var found *Conn
	for _, conn := range u.conns {
		if !conn.closed && (found == nil || conn.connected && !found.connected) {
			found = conn
		}
	}
	return found
}

// onClosed implements peer. Setups that were sent on the connection may have been executed; the others were not.
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
	if conn.mayHaveUnreadMessages(reason) {
		u.unreadUntilDial = u.dials
	}
	if conn.endpointSentMessage {
		u.disconnectedAt = u.gateway.Now
	} else { // accepted without any message: the endpoint does not work
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
	if reason == ClosedRefused { // the host is up; had the process died, its connections would have been reset
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
	// When a process dies, its connections are reset and further dials are refused. A draining one also stops
	// listening, but closes its connections in order, and its calls continue.
	if reason == ClosedRefused && u.lastConnReset {
		u.markDead()
	}
	u.scheduleReconnect()
}

// backOff counts a failed dial and delays the next: the delay doubles with each failure and has random jitter.
func (u *upstream) backOff() {
	u.failedDials++
	doublings := float64(min(u.failedDials, maxBackoffDoublings))
	backoff := math.Min(maxBackoff, initialBackoff*math.Pow(2, doublings))
	u.retryAt = u.gateway.Now + backoff*(0.5+u.gateway.random())
}

// scheduleReconnect schedules a dial after the backoff.
func (u *upstream) scheduleReconnect() {
	g := u.gateway
	if u.reconnectTimer != nil || u.endpoint.State == routing.Gone {
		return
	}
	u.reconnectTimer = g.Timers.Schedule(math.Max(g.Now, u.retryAt), func() {
		u.reconnectTimer = nil
		if g.upstreams[u.endpoint] == u {
			u.reconnect()
		}
	})
}

// reconnect dials if the endpoint has no connection, or needs another one to repeat releases on.
func (u *upstream) reconnect() {
	if len(u.conns) == 0 {
		if u.endpoint.State == routing.Ready || len(u.established) > 0 {
			u.dial()
		}
		return
	}
	if !u.needsRepeatedReleases() || u.isDialing() {
		return
	}
	u.freeConnSlot()
	if len(u.conns) < u.gateway.connsPerEndpoint() {
		u.dial()
	}
}

// checkLiveness handles connections that are no longer usable and an endpoint that has become silent, and drops expired
// state.
func (u *upstream) checkLiveness() {
	u.dropExpired()
	u.closeBrokenStreams()
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

// closeBrokenStreams closes the connections whose message boundaries are lost.
func (u *upstream) closeBrokenStreams() {
	g := u.gateway
	for _, conn := range slices.Clone(u.conns) {
		if conn.reader.Partial() && liveness.IsStreamBroken(g.Now-conn.partialSince) {
			g.Metrics.IncompleteMessages++
			conn.abort()
		}
	}
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

// isBusy reports whether the endpoint has established calls or setups in flight.
func (u *upstream) isBusy() bool {
	hasLegs := func(conn *Conn) bool { return len(conn.legs) > 0 }
	return len(u.established) > 0 || slices.ContainsFunc(u.conns, hasLegs)
}

// silence returns the input of liveness.Assess: ms without a message, ms without a connection, and unanswered dials.
func (u *upstream) silence() (silentFor, disconnectedFor float64, unansweredDials int) {
	if u.connectedConns() == 0 {
		disconnectedFor = u.gateway.Now - u.disconnectedAt
	}
	return u.gateway.Now - u.lastMessageAt, disconnectedFor, u.unansweredDials
}

// freeConnSlot closes the oldest idle connection if the connection limit is reached.
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

// markDead ends the calls of an endpoint process that has died.
func (u *upstream) markDead() {
	if len(u.established) == 0 {
		return
	}
	u.gateway.Metrics.EndpointsDead++
	u.cutCalls(math.Inf(1))
}

// cutCalls ends the established calls that were set up before the given time.
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

// onRestart ends the calls of the previous endpoint process; the current one started at startedAt.
func (u *upstream) onRestart(startedAt float64) {
	u.startedAt = startedAt
	u.cutCalls(startedAt)
}

// withdrawUnsent withdraws the setups that were not sent, since the endpoint must get no new ones (rule 3).
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

// closeAll ends the calls and connections of a gone endpoint.
func (u *upstream) closeAll() {
	u.cutCalls(math.Inf(1))
	for _, conn := range slices.Clone(u.conns) {
		conn.close()
	}
	u.gateway.Timers.Cancel(u.reconnectTimer)
}

// changeAddress makes new connections use another address of the same endpoint. Old connections are closed, those with
// setups in flight once they are idle.
func (u *upstream) changeAddress(address netip.AddrPort) {
	u.address = address
	for _, conn := range slices.Clone(u.conns) {
		conn.retired = true
		if len(conn.legs) == 0 {
			conn.close()
		}
	}
}
