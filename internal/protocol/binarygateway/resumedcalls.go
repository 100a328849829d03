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

// makeRoomForResumed releases one resumed call of another client, because calls that no endpoint knows may have been
// named there. It returns false if the given client may not take a place of another one. The call is not released at
// the endpoint, because its ID may be made up.
func (g *Gateway) makeRoomForResumed(c *client) bool {
	loser := g.resumedCallsLoser(c)
	if loser == nil {
		return false
	}
	var oldest *call
	for _, call := range g.calls {
		if call.client == loser && call.isResumed() && (oldest == nil || call.resumedBefore(oldest)) {
			oldest = call
		}
	}
	g.Metrics.ResumesRefused++
	oldest.release(routing.Reset, binarymessage.Failure, false)
	return true
}

// resumedCallsLoser returns the client that loses a resumed call to the given one: the client with the most, if it has
// more, else the absent client with the most. It returns nil if there is none. A client with most of all resumed calls
// takes none of an absent one, whose calls may be real.
func (g *Gateway) resumedCallsLoser(c *client) *client {
	most := c
	var absent *client
	for _, other := range g.clients {
		if other.resumedCalls > most.resumedCalls {
			most = other
		}
		if other.isAbsent() && other.resumedCalls > 0 && (absent == nil || other.resumedCalls > absent.resumedCalls) {
			absent = other
		}
	}
	if most != c {
		return most
	}
	if c.resumedCalls > maxResumedCalls/2 {
		return nil
	}
	return absent
}

// isAbsent reports whether the client has had no connection for so long that it may not return. Its calls are kept all
// the same: it has named them to this process, and does not name them again when it returns.
func (c *client) isAbsent() bool {
	return len(c.conns) == 0 && c.gateway.Now > c.disconnectedAt+clientReleaseRetention
}
