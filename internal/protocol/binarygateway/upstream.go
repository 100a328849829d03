package binarygateway

import (
	"math"
	"net/netip"
	"slices"

	"cobaltpier/internal/protocol/delivery"
	"cobaltpier/internal/routing"
	"cobaltpier/internal/timerqueue"
)

const (
	minConnsPerEndpoint   = 1       // kept open to an idle endpoint, which reports its load on them
	maxBackoff            = 2000.0  // ms between two dials, before jitter
	initialBackoff        = 50.0    // ms
	maxBackoffDoublings   = 10      // of initialBackoff; maxBackoff is reached sooner
	lateAnswerRetention   = 30000.0 // ms after a cancel in which a late answer is still expected
	defaultConnectTimeout = 500.0   // ms, if the settings give none
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

	established map[uint64]*call
	ended       endedCalls
	canceled    map[uint64]float64      // expiry times of canceled setups whose answer may still come
	outbox      *delivery.Outbox[*Conn] // releases of calls and of setups
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

func newUpstream(g *Gateway, endpoint *routing.Endpoint, address netip.AddrPort) *upstream {
	return &upstream{
		gateway:        g,
		endpoint:       endpoint,
		address:        address,
		startedAt:      endpoint.StartedAt,
		established:    map[uint64]*call{},
		canceled:       map[uint64]float64{},
		outbox:         delivery.New[*Conn](&g.Metrics.EndpointReleases, &g.endpointReleases, endpointConfirmAfter),
		lastMessageAt:  g.Now,
		disconnectedAt: g.Now,
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

// needsConn reports whether a connection must be kept to the endpoint. A draining endpoint gets no setups, so it needs
// one only while calls are established there or releases wait.
func (u *upstream) needsConn() bool {
	return u.endpoint.State == routing.Ready || len(u.established) > 0 || u.outbox.Waiting() > 0
}

// maintainConns opens the connections that are kept to the endpoint at all times.
func (u *upstream) maintainConns() {
	wanted := min(minConnsPerEndpoint, u.gateway.connsPerEndpoint())
	if !u.needsConn() {
		wanted = 0
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
func (u *upstream) dial() {
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
	conn.connected, conn.connectedAt = true, u.gateway.Now
	u.gateway.Metrics.Connected++
	u.lastConnReset = false
	if conn.dialNumber > u.unreadUntilDial {
		u.unreadUntilDial = 0
	}
	u.sendWaitingReleases()
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
	leg.conn, leg.releaseMark = conn, u.outbox.Mark()
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
	for _, release := range u.outbox.ConnEnded(conn, u.gateway.Now) {
		u.deliverAgain(release)
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

// endBackOff allows dials at once: the endpoint works.
func (u *upstream) endBackOff() {
	u.failedDials, u.retryAt = 0, 0
	u.gateway.Timers.Cancel(u.reconnectTimer)
	u.reconnectTimer = nil
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
		if u.needsConn() {
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

// restartClockTolerance is how far the start of an endpoint, as the list tells it, may lie after a connection to the
// new process, ms: the list has another clock. An endpoint is down for longer between two processes.
const restartClockTolerance = 100.0

// onRestart ends the calls of earlier endpoint processes; the current one started at startedAt. The list may tell it
// late, so calls may have been set up at the current process: on connections that are younger than the process.
func (u *upstream) onRestart(startedAt float64) {
	u.startedAt = startedAt
	u.cutCalls(startedAt - restartClockTolerance)
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
	u.outbox.Clear()
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
