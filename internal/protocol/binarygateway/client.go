package binarygateway

import (
	"cmp"
	"slices"

	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/routing"
)

// client holds all connections from one address. Its established calls survive the close of any of them.
type client struct {
	gateway          *Gateway
	conns            []*Conn
	pendingReleases  []pendingRelease
	establishedCalls int
}

// pendingRelease is a release that waits until its client has a connection.
type pendingRelease struct {
	callID    uint64
	cause     byte
	expiresAt float64
}

func newPendingRelease(now float64, callID uint64, cause byte) pendingRelease {
	return pendingRelease{callID, cause, now + releaseRetention}
}

const (
	releaseRetention   = 20000.0 // ms: a client that reconnects at all does so sooner
	maxPendingReleases = 65536   // of all clients together
	maxResumedCalls    = 8192    // bounds the state that clients can create by resuming calls
)

// onMessage implements peer.
func (c *client) onMessage(conn *Conn, message binarymessage.Message) {
	g := c.gateway
	conn.lastUsedAt = g.Now
	switch message.Type() {
	case binarymessage.Setup:
		conn.receivedMessage = true
		c.onSetup(conn, message)
	case binarymessage.Release:
		conn.receivedMessage = true
		c.onRelease(message)
	case binarymessage.HealthCheck:
		conn.receivedMessage = true
		if len(g.pendingChecks) < maxPendingChecks {
			g.pendingChecks = append(g.pendingChecks, healthCheck{conn, message.CallID()})
		}
		g.updateReadiness()
	case binarymessage.ReleaseComplete, binarymessage.Progress, binarymessage.HealthResult, binarymessage.LoadState,
		binarymessage.Answer:
		// allowed, but ignored
	default:
		g.Metrics.InvalidRequests++
		conn.close()
	}
}

// onSetup handles a setup. The call is passed to the policy at the end of the batch.
func (c *client) onSetup(conn *Conn, message binarymessage.Message) {
	g, id := c.gateway, message.CallID()
	request, err := parseSetup(message)
	if err != nil {
		c.refuseInvalid(conn, id)
		return
	}
	if request.resumeAt != "" {
		c.resumeCall(conn, id, request.resumeAt)
		return
	}
	if g.calls[id] != nil {
		// An answer could not be matched to one of two calls with the same ID. The earlier call continues, unless
		// it was set up on this connection, which is closed.
		g.Metrics.Duplicates++
		conn.close()
		return
	}
	class := g.Classes[request.class]
	if class == nil || request.validate(message) != nil {
		c.refuseInvalid(conn, id)
		return
	}
	routed := &routing.Call{
		Class:         class,
		CalledNumber:  request.calledNumber,
		ArrivedAt:     g.Now,
		DestinationID: request.destinationID,
		Destination:   g.Endpoints.ByDestination(request.destinationID),
		Resumed:       request.repeated,
	}
	call := &call{
		Session: g.NewSession(routed, request.timeout),
		gateway: g,
		id:      id,
		client:  c,
		conn:    conn,
		setup:   slices.Clone(message),
	}
	call.SignalingLeg = call
	call.Deadline = call.TimeoutStart + request.timeout - g.config.AnswerMargin
	g.calls[id] = call
	conn.pendingCalls++
	g.Enqueue(call.Session)
}

func (c *client) refuseInvalid(conn *Conn, id uint64) {
	c.gateway.Metrics.InvalidRequests++
	conn.send(releaseMessage(id, binarymessage.Invalid))
}

// resumeCall takes over a call that an earlier process established and that is still in progress at an endpoint.
func (c *client) resumeCall(conn *Conn, id uint64, endpointID string) {
	g := c.gateway
	if known := g.calls[id]; known != nil {
		if known.upstream != nil {
			known.bindTo(conn)
		}
		return
	}
	u := g.upstreams[g.Endpoints.ByID(endpointID)]
	if u == nil || g.resumedCalls >= maxResumedCalls {
		c.sendRelease(conn, newPendingRelease(g.Now, id, binarymessage.Failure))
		return
	}
	if cause, ended := u.ended.cause(id); ended {
		c.sendRelease(conn, newPendingRelease(g.Now, id, cause))
		return
	}
	g.Metrics.CallsResumed++
	g.resumedCalls++
	call := &call{gateway: g, id: id, client: c, upstream: u, endpointUpSince: g.Now}
	g.calls[id] = call
	u.established[id] = call
	c.establishedCalls++
	call.bindTo(conn)
}

// onRelease handles a client's release of a pending or established call.
func (c *client) onRelease(message binarymessage.Message) {
	call := c.gateway.calls[message.CallID()]
	switch {
	case call == nil:
	case call.upstream != nil:
		call.release(routing.Completed, message.Cause(), true)
	case call.client == c:
		call.onCallerGone()
	}
}

// onClosed implements peer. Pending calls of the closed connection are given up; established calls continue.
func (c *client) onClosed(conn *Conn, _ CloseReason) {
	g := c.gateway
	c.conns = slices.DeleteFunc(c.conns, func(other *Conn) bool { return other == conn })
	g.clientConns = slices.DeleteFunc(g.clientConns, func(other *Conn) bool { return other == conn })
	g.pendingChecks = slices.DeleteFunc(g.pendingChecks, func(check healthCheck) bool { return check.conn == conn })
	if conn.pendingCalls == 0 && conn.establishedCalls == 0 {
		return
	}
	var affected []*call
	for _, call := range g.calls {
		if call.conn == conn {
			affected = append(affected, call)
		}
	}
	slices.SortFunc(affected, compareByID)
	for _, call := range affected {
		if call.upstream != nil {
			call.conn = nil
		} else {
			call.onCallerGone()
		}
	}
}

func compareByID(a, b *call) int { return cmp.Compare(a.id, b.id) }

// sendRelease sends a release to the client: on the given connection if it is open, else on the most recently used one.
// If there is none, the release waits for the client's next connection.
func (c *client) sendRelease(conn *Conn, release pendingRelease) {
	if conn == nil || conn.closed {
		conn = c.lastUsedConn()
	}
	if conn == nil {
		c.deferRelease(release)
		return
	}
	conn.enqueue(outgoingMessage{
		data:   releaseMessage(release.callID, release.cause),
		onLost: func() { c.sendRelease(nil, release) },
	})
}

// deferRelease keeps a release for the client's next connection. Beyond the limit, the client with the most releases
// loses its oldest.
func (c *client) deferRelease(release pendingRelease) {
	g := c.gateway
	g.Metrics.ReleasesDeferred++
	c.pendingReleases = append(c.pendingReleases, release)
	g.pendingReleases++
	if g.pendingReleases <= maxPendingReleases {
		return
	}
	most := c
	for _, other := range g.clients {
		if len(other.pendingReleases) > len(most.pendingReleases) {
			most = other
		}
	}
	most.pendingReleases = most.pendingReleases[1:]
	g.pendingReleases--
	g.Metrics.ReleasesDropped++
}

func (c *client) lastUsedConn() *Conn {
	var latest *Conn
	for _, conn := range c.conns {
		if latest == nil || conn.lastUsedAt > latest.lastUsedAt {
			latest = conn
		}
	}
	return latest
}

// sendPendingReleases sends the releases that waited for a connection.
func (c *client) sendPendingReleases(conn *Conn) {
	releases := c.pendingReleases
	c.pendingReleases = nil
	c.gateway.pendingReleases -= len(releases)
	for _, release := range releases {
		c.sendRelease(conn, release)
	}
}

// dropExpiredReleases drops releases whose client has not reconnected in time.
func (c *client) dropExpiredReleases(now float64) {
	before := len(c.pendingReleases)
	c.pendingReleases = slices.DeleteFunc(c.pendingReleases, func(release pendingRelease) bool {
		return release.expiresAt < now
	})
	expired := before - len(c.pendingReleases)
	c.gateway.pendingReleases -= expired
	c.gateway.Metrics.ReleasesDropped += uint64(expired)
}

func releaseMessage(callID uint64, cause byte) []byte {
	return binarymessage.Append(nil, binarymessage.Release, callID, binarymessage.CauseParam(cause))
}
