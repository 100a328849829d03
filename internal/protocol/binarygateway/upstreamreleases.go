package binarygateway

import "cobaltpier/internal/protocol/binarymessage"

// endpointRelease is a release towards an endpoint: of an established call, or of a setup that may have been executed.
type endpointRelease struct {
	callID    uint64
	cause     byte
	expiresAt float64
	onSent    func() // may be nil
}

// maxPendingEndpointReleases limits the releases towards one endpoint that wait for a connection.
const maxPendingEndpointReleases = 4096

// releaseCall sends the release of an established call to the endpoint.
func (u *upstream) releaseCall(call *call, cause byte) {
	if cause == 0 {
		cause = binarymessage.Normal
	}
	u.expectLateAnswer(call.id)
	u.sendRelease(u.newRelease(call.id, cause), call.upstreamConn)
}

// releaseLateAnswer releases a call that the late answer to an earlier attempt has established. That attempt ends when
// the release is sent, so the hold-off of rule 5 begins anew then.
func (u *upstream) releaseLateAnswer(callID uint64, conn *Conn) {
	g := u.gateway
	g.Metrics.LateAnswers++
	startHoldOff := func() {
		if call := g.calls[callID]; call != nil && call.Session != nil {
			call.StartHoldOff()
		}
	}
	startHoldOff() // until the release is sent
	release := u.newRelease(callID, binarymessage.Normal)
	release.onSent = startHoldOff
	u.sendRelease(release, conn)
}

// expectLateAnswer records that an answer to a setup that this gateway has given up may still come.
func (u *upstream) expectLateAnswer(callID uint64) {
	u.canceled[callID] = u.gateway.Now + lateAnswerRetention
}

func (u *upstream) newRelease(callID uint64, cause byte) endpointRelease {
	return endpointRelease{callID: callID, cause: cause, expiresAt: u.gateway.Now + lateAnswerRetention}
}

// sendRelease sends a release on the given connection if it is open, else on any other. If none is established, the
// release waits for the next one.
func (u *upstream) sendRelease(release endpointRelease, conn *Conn) {
	if conn == nil || conn.closed {
		conn = u.anyConn()
	}
	if conn == nil {
		u.deferRelease(release)
		return
	}
	conn.enqueue(outgoingMessage{
		data:   releaseMessage(release.callID, release.cause),
		onSent: release.onSent,
		onLost: func() { u.resendRelease(release) },
	})
}

// resendRelease sends a release again that was lost unsent with its connection, unless it has expired or a later
// attempt uses the ID at this endpoint.
func (u *upstream) resendRelease(release endpointRelease) {
	reused := u.established[release.callID] != nil || u.activeLeg(release.callID) != nil
	removed := u.gateway.upstreams[u.endpoint] != u
	if reused || removed || release.expiresAt < u.gateway.Now {
		return
	}
	u.sendRelease(release, nil)
}

// deferRelease keeps a release for the next connection. Beyond the limit the oldest is dropped.
func (u *upstream) deferRelease(release endpointRelease) {
	metrics := &u.gateway.Metrics
	metrics.EndpointReleasesDeferred++
	if len(u.pendingReleases) >= maxPendingEndpointReleases {
		metrics.EndpointReleasesDropped++
		u.pendingReleases = u.pendingReleases[1:]
	}
	u.pendingReleases = append(u.pendingReleases, release)
	u.scheduleReconnect()
}

// sendPendingReleases sends the releases that waited for a connection.
func (u *upstream) sendPendingReleases() {
	releases := u.pendingReleases
	u.pendingReleases = nil
	for _, release := range releases {
		u.resendRelease(release)
	}
}

// anyConn returns an established connection, preferring one that accepts writes. It returns nil if there is none.
func (u *upstream) anyConn() *Conn {
	var found *Conn
	for _, conn := range u.conns {
		if conn.connected && !conn.closed && (found == nil || found.writePending && !conn.writePending) {
			found = conn
		}
	}
	return found
}
