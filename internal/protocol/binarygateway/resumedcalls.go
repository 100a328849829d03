package binarygateway

import (
	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/routing"
)

// maxResumedCalls bounds the state that clients can create by resuming calls.
const maxResumedCalls = 8192

// isResumed reports whether the call is established and was set up by an earlier process of the gateway.
func (c *call) isResumed() bool { return c.Session == nil && c.upstream != nil }

// resumedBefore orders resumed calls by their times, and by ID where these are equal.
func (c *call) resumedBefore(other *call) bool {
	return c.resumedAt < other.resumedAt || c.resumedAt == other.resumedAt && c.id < other.id
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
	if u == nil {
		conn.send(releaseMessage(id, binarymessage.Failure)) // if it is lost, the client gets it again when it asks again
		return
	}
	if cause, ended := u.ended.cause(id); ended {
		c.sendRelease(conn, id, cause)
		return
	}
	if g.resumedCalls >= maxResumedCalls && !g.makeRoomForResumed(c) {
		g.Metrics.ResumesRefused++
		conn.send(releaseMessage(id, binarymessage.Failure))
		return
	}
	g.Metrics.CallsResumed++
	g.resumedCalls++
	call := &call{gateway: g, id: id, client: c, upstream: u, endpointUpSince: g.Now, resumedAt: g.Now}
	g.calls[id] = call
	u.established[id] = call
	c.establishedCalls++
	c.resumedCalls++
	call.bindTo(conn)
}

// makeRoomForResumed releases the oldest resumed call of the client that has the most of them: calls that no endpoint
// knows may have been named there. It returns false if no client has more than the given one. The call is not released
// at the endpoint, because its ID may be made up.
func (g *Gateway) makeRoomForResumed(c *client) bool {
	most := c
	for _, other := range g.clients {
		if other.resumedCalls > most.resumedCalls {
			most = other
		}
	}
	var oldest *call
	for _, call := range g.calls {
		if call.client == most && call.isResumed() && (oldest == nil || call.resumedBefore(oldest)) {
			oldest = call
		}
	}
	if most == c || oldest == nil {
		return false
	}
	g.Metrics.ResumesRefused++
	oldest.release(routing.Reset, binarymessage.Failure, false)
	return true
}

// forgetResumed forgets the resumed calls of a client that has had no connection for long, and that can resume them
// again: calls that it has made up would be kept for good.
func (c *client) forgetResumed() {
	g := c.gateway
	if len(c.conns) > 0 || c.resumedCalls == 0 || g.Now < c.disconnectedAt+clientReleaseRetention {
		return
	}
	for _, call := range g.calls {
		if call.client == c && call.isResumed() {
			delete(g.calls, call.id)
			delete(call.upstream.established, call.id)
			call.upstream = nil
			c.establishedCalls--
			c.resumedCalls--
			g.resumedCalls--
		}
	}
}
