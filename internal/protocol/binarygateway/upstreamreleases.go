package binarygateway

import (
	"slices"

	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/protocol/delivery"
)

const (
	// endpointConfirmAfter is the time in ms in which a connection to an endpoint that does not read ends: the endpoint
	// counts as dead sooner.
	endpointConfirmAfter = 10000.0
	maxEndpointReleases  = 65536 // owed to all endpoints together
)

// releaseCall sends the release of an established call to the endpoint.
func (u *upstream) releaseCall(call *call, cause byte) {
	if cause == 0 {
		cause = binarymessage.Normal
	}
	u.sendRelease(call.upstreamConn, call.id, cause, nil)
}

// releaseLateAnswer releases a call that the late answer to an earlier attempt has established. That attempt ends when
// the release is sent: the hold-off of rule 5 begins anew then.
func (u *upstream) releaseLateAnswer(callID uint64, conn *Conn) {
	u.gateway.Metrics.LateAnswers++
	u.startHoldOff(callID) // until the release is sent
	u.sendRelease(conn, callID, binarymessage.Normal, func() { u.startHoldOff(callID) })
}

// startHoldOff begins the hold-off of a pending call anew: an earlier attempt at this endpoint ends only now.
func (u *upstream) startHoldOff(callID uint64) {
	if call := u.gateway.calls[callID]; call != nil && call.Session != nil {
		call.StartHoldOff()
	}
}

// sendRelease sends the release of a call or of a setup, on the given connection if it is open. onSent may be nil; it
// is called once the release is sent, or waits for a connection.
func (u *upstream) sendRelease(conn *Conn, callID uint64, cause byte, onSent func()) {
	expiresAt := u.gateway.Now + lateAnswerRetention
	u.canceled[callID] = expiresAt // an answer may still come
	u.outbox.Owe()
	u.deliver(&delivery.Release{CallID: callID, Cause: cause, ExpiresAt: expiresAt, OnSent: onSent}, conn)
}

// deliver sends a release on the given connection if it is open, else on another that accepts writes. If there is none,
// the release waits for the next one.
func (u *upstream) deliver(release *delivery.Release, conn *Conn) {
	if conn == nil || conn.closed {
		conn = u.writableConn()
	}
	if conn == nil {
		u.outbox.Wait(release)
		u.scheduleReconnect()
	} else {
		conn.enqueueRelease(release, u.outbox)
	}
	u.gateway.limitEndpointReleases(u)
}

// deliverAgain sends a release again that may be lost with its connection, or that has waited, unless a later attempt
// uses the ID at this endpoint.
func (u *upstream) deliverAgain(release *delivery.Release) {
	removed := u.gateway.upstreams[u.endpoint] != u
	if removed || u.usesID(release.CallID) {
		release.Drop()
		return
	}
	u.startHoldOff(release.CallID)
	if release.OnSent == nil {
		release.OnSent = func() { u.startHoldOff(release.CallID) }
	}
	u.deliver(release, nil)
}

// usesID reports whether a call is established at the endpoint under an ID, or an attempt of it is on its way there.
func (u *upstream) usesID(callID uint64) bool {
	waits := func(leg *outboundLeg) bool { return leg.call.id == callID && !leg.ended }
	return u.established[callID] != nil || u.activeLeg(callID) != nil || slices.ContainsFunc(u.waitingLegs, waits)
}

// sendWaitingReleases sends the releases that waited for a connection.
func (u *upstream) sendWaitingReleases() {
	for _, release := range u.outbox.TakeWaiting() {
		u.deliverAgain(release)
	}
}

// writableConn returns an established connection that accepts writes, or nil if there is none.
func (u *upstream) writableConn() *Conn {
	for _, conn := range u.conns {
		if conn.connected && !conn.closed && !conn.writePending {
			return conn
		}
	}
	return nil
}

// limitEndpointReleases keeps the releases that are owed to endpoints below their limit.
func (g *Gateway) limitEndpointReleases(u *upstream) {
	if g.endpointReleases.Exceeded() {
		u.outbox.GiveUpOldest()
	}
}
