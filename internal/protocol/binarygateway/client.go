package binarygateway

import (
	"cmp"
	"maps"
	"slices"

	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/protocol/delivery"
	"cobaltpier/internal/routing"
)

// client holds all connections from one address. Its established calls survive the close of any of them.
type client struct {
	gateway          *Gateway
	conns            []*Conn
	outbox           *delivery.Outbox[*Conn] // releases of its calls
	establishedCalls int
	resumed          resumedByClient
	disconnectedAt   float64
}

const (
	clientReleaseRetention = 20000.0 // ms: a client that reconnects at all does so sooner
	// clientConfirmAfter is the time in ms in which a client reads what was sent. A client that closes an idle
	// connection does so later.
	clientConfirmAfter = 1000.0
	maxClientReleases  = 65536 // owed to all clients together
	// maxClientSends is on how many connections a release is sent. A client whose connections never last for
	// clientConfirmAfter would get all its releases on each of them.
	maxClientSends = 8
	// overflowsPerSearch is how many releases one client loses before the client with the most is searched for again.
	overflowsPerSearch = 512
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
		if len(g.pendingChecks) >= maxPendingChecks { // not ready yet, and flooded
			g.Metrics.ChecksFailedAtOnce++
			conn.send(binarymessage.Append(nil, binarymessage.HealthResult, message.CallID(), binarymessage.HealthFailed))
			return
		}
		g.pendingChecks = append(g.pendingChecks, healthCheck{conn, message.CallID()})
		g.updateReadiness()
	case binarymessage.ReleaseComplete:
		c.outbox.Confirm(conn, message.CallID())
	case binarymessage.Progress, binarymessage.HealthResult, binarymessage.LoadState,
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
	if g.wasCanceled(id) {
		g.Metrics.Duplicates++
		conn.send(releaseMessage(id, binarymessage.Failure))
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
	if !g.setupMemory.Reserve(len(message)) {
		g.Counts.Shed++
		g.Metrics.LargeSetupsShed++
		params := g.rejectionParams(g.Router.RetryAfter(g.Now, routed))
		conn.send(binarymessage.Append(nil, binarymessage.Release, id, params...))
		return
	}
	call := &call{
		Session: g.NewSession(routed, request.timeout),
		gateway: g,
		id:      id,
		client:  c,
		setup:   slices.Clone(message),
	}
	call.SignalingLeg = call
	call.Deadline = call.TimeoutStart + request.timeout - g.config.AnswerMargin
	g.calls[id] = call
	call.setConn(conn)
	conn.pendingCalls++
	g.Enqueue(call.Session)
}

// wasCanceled reports whether an earlier call with the same ID was given up lately while an endpoint had its setup, or
// was established there. It may have been executed, so the ID must not be attempted again, and a late answer to it
// could not be told from one to a new setup.
func (g *Gateway) wasCanceled(id uint64) bool {
	for _, u := range g.upstreams {
		if _, canceled := u.canceled[id]; canceled {
			return true
		}
	}
	return false
}

func (c *client) refuseInvalid(conn *Conn, id uint64) {
	c.gateway.Metrics.InvalidRequests++
	conn.send(releaseMessage(id, binarymessage.Invalid))
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

// onClosed implements peer. Pending calls of the closed connection are given up; established calls continue, and
// releases that may be lost with it are sent again.
func (c *client) onClosed(conn *Conn, _ CloseReason) {
	c.removeConn(conn)
	for _, release := range c.outbox.ConnEnded(conn, c.gateway.Now) {
		if release.Sends >= maxClientSends {
			c.outbox.GiveUp(release)
			continue
		}
		c.deliver(release, nil)
	}
}

func (c *client) removeConn(conn *Conn) {
	g := c.gateway
	c.conns = slices.DeleteFunc(c.conns, func(other *Conn) bool { return other == conn })
	c.disconnectedAt = g.Now
	g.clientConns = slices.DeleteFunc(g.clientConns, func(other *Conn) bool { return other == conn })
	g.pendingChecks = slices.DeleteFunc(g.pendingChecks, func(check healthCheck) bool { return check.conn == conn })
	for _, call := range slices.SortedFunc(maps.Keys(conn.calls), compareByID) {
		if call.upstream != nil {
			call.setConn(nil)
		} else {
			call.onCallerGone()
		}
	}
}

func compareByID(a, b *call) int { return cmp.Compare(a.id, b.id) }

// sendRelease sends a release to the client, on the given connection if it is open.
func (c *client) sendRelease(conn *Conn, callID uint64, cause byte) {
	c.outbox.Owe()
	c.deliver(&delivery.Release{CallID: callID, Cause: cause, ExpiresAt: c.gateway.Now + clientReleaseRetention}, conn)
}

// deliver sends a release on the given connection if it is open, else on the most recently used one. If there is none,
// the release waits for the client's next connection.
func (c *client) deliver(release *delivery.Release, conn *Conn) {
	if conn == nil || conn.closed {
		conn = c.lastUsedConn()
	}
	if conn == nil {
		c.outbox.Wait(release)
	} else {
		conn.enqueueRelease(release, c.outbox)
	}
	c.gateway.limitClientReleases()
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

// sendWaitingReleases sends the releases that waited for a connection.
func (c *client) sendWaitingReleases(conn *Conn) {
	for _, release := range c.outbox.TakeWaiting() {
		c.deliver(release, conn)
	}
}

// limitClientReleases keeps the releases that are owed to clients below their limit: the client with the most loses its
// oldest.
func (g *Gateway) limitClientReleases() {
	if !g.clientReleases.Exceeded() {
		return
	}
	if g.overflowsUntilSearch == 0 || g.mostOwed.outbox.Len() == 0 {
		g.mostOwed = g.clientOwedMost()
		g.overflowsUntilSearch = overflowsPerSearch
	}
	g.overflowsUntilSearch--
	g.mostOwed.outbox.GiveUpOldest()
}

// clientOwedMost returns the client to which most releases are owed.
func (g *Gateway) clientOwedMost() (most *client) {
	for _, c := range g.clients {
		if most == nil || c.outbox.Len() > most.outbox.Len() {
			most = c
		}
	}
	return most
}

func releaseMessage(callID uint64, cause byte) []byte {
	return binarymessage.Append(nil, binarymessage.Release, callID, binarymessage.CauseParam(cause))
}
