package binarygateway

import (
	"maps"
	"math"
	"slices"

	"cobaltpier/internal/decision/liveness"
	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/routing"
)

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
			u.markSilent()
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
	u.ended.dropExpired(now)
	u.outbox.Expire(now)
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

// markSilent ends the calls of an endpoint that counts as dead without a proof, because their releases would come too
// late otherwise. It may still be running: then the calls are released there once it can be reached.
func (u *upstream) markSilent() {
	calls := slices.Sorted(maps.Keys(u.established))
	u.markDead()
	for _, id := range calls {
		u.sendRelease(nil, id, binarymessage.Failure, nil)
	}
}

// cutCalls ends the established calls of processes of the endpoint that were running before the given time.
func (u *upstream) cutCalls(before float64) {
	var cut []*call
	for _, call := range u.established {
		if call.endpointUpSince < before {
			cut = append(cut, call)
		}
	}
	slices.SortFunc(cut, compareByID)
	for _, call := range cut {
		u.gateway.Metrics.CallsCut++
		call.release(routing.Reset, binarymessage.Failure, false)
	}
}
