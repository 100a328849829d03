package binarygateway

import (
	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/routing"
)

// Notes of a release, as the platform's protocol defines them.
const (
	noteNoCircuit  = "all_trunks_busy"
	noteNumberBusy = "number_busy"
)

// onMessage implements peer.
func (u *upstream) onMessage(conn *Conn, message binarymessage.Message) {
	g := u.gateway
	u.lastMessageAt, u.unansweredDials = g.Now, 0
	if !conn.endpointSentMessage {
		conn.endpointSentMessage = true
		u.endBackOff()
	}
	switch message.Type() {
	case binarymessage.LoadState:
		if reported, complete := applyLoadReport(u.endpoint, message); reported {
			g.Router.OnLoadReport(g.Now, u.endpoint, true, complete)
		}
	case binarymessage.Answer:
		u.onAnswer(conn, message)
	case binarymessage.Release:
		u.onRelease(conn, message)
	case binarymessage.ReleaseComplete:
		u.outbox.Confirm(conn, message.CallID())
	case binarymessage.Progress, binarymessage.HealthResult, binarymessage.HealthCheck,
		binarymessage.Setup:
		// allowed, but ignored
	default:
		g.Metrics.ProtocolErrors++
		conn.abort()
	}
}

// onAnswer handles an endpoint's answer to a setup.
func (u *upstream) onAnswer(conn *Conn, message binarymessage.Message) {
	g, id := u.gateway, message.CallID()
	if u.established[id] != nil {
		// The answer belongs to an earlier, canceled attempt of this call. To release it would end the established
		// call.
		g.Metrics.Duplicates++
		return
	}
	leg := conn.legOf(id)
	_, attemptedBefore := u.canceled[id] // while the driver holds the setup, the answer is one to that attempt
	if leg == nil || leg.ended || !leg.sent || leg.unflushed && attemptedBefore {
		u.onLateAnswer(conn, id, leg)
		return
	}
	u.outbox.ConfirmUpTo(conn, leg.releaseMark)
	description, ok := message.Get(binarymessage.Description)
	if !ok { // established at the endpoint, but no valid answer can be sent to the caller
		g.Metrics.ProtocolErrors++
		u.sendRelease(conn, id, binarymessage.Normal, nil)
		leg.finish(routing.Failed)
		return
	}
	g.Timers.Cancel(leg.timeout)
	leg.ended = true
	conn.removeLeg(leg)
	reported, complete := applyLoadReport(u.endpoint, message)
	attempt := leg.attempt
	leg.call.leg = nil
	attempt.Latency = g.Now - attempt.SentAt
	leg.call.establish(u, conn, attempt, description)
	if reported {
		g.Router.OnLoadReport(g.Now, u.endpoint, true, complete)
	}
	g.Router.OnAnswer(g.Now, attempt)
}

// onLateAnswer handles an answer to an attempt that is not in flight on this connection. The call established by it is
// released at the endpoint, unless the release would end another attempt of the call.
func (u *upstream) onLateAnswer(conn *Conn, id uint64, leg *outboundLeg) {
	g := u.gateway
	if active := u.activeLeg(id); active != nil {
		active.answeredLate = true
		return
	}
	_, canceled := u.canceled[id]
	if canceled || leg != nil && leg.ended {
		u.releaseLateAnswer(id, conn)
		return
	}
	g.Metrics.UnmatchedAnswers++
}

// onRelease handles an endpoint's release of a setup or of an established call.
func (u *upstream) onRelease(conn *Conn, message binarymessage.Message) {
	g, id, cause := u.gateway, message.CallID(), message.Cause()
	reported, complete := applyLoadReport(u.endpoint, message)
	if leg := conn.legOf(id); leg != nil && leg.attempt != nil && leg.sent {
		u.outbox.ConfirmUpTo(conn, leg.releaseMark)
		u.onSetupReleased(leg, message, complete)
		return
	}
	if call := u.established[id]; call != nil {
		outcome := routing.Completed
		if cause != binarymessage.Normal {
			outcome = routing.Reset
			g.Metrics.CallsCut++
		}
		if call.attempt != nil {
			call.attempt.HasLoadReport = complete
		}
		call.release(outcome, cause, false)
		return
	}
	if reported && complete {
		g.Router.OnLoadReport(g.Now, u.endpoint, true, true)
	}
	if g.calls[id] == nil { // its client may still resume it
		g.Metrics.UnmatchedReleases++
		u.rememberEnd(id, cause)
	}
}

// rememberEnd remembers that a call has ended at the endpoint.
func (u *upstream) rememberEnd(id uint64, cause byte) {
	g := u.gateway
	forgotten := u.ended.remember(id, cause, g.Now, g.endedCallsPerEndpoint())
	g.Metrics.EndedCallsDropped += uint64(forgotten)
}

// onSetupReleased handles the release of a setup that was not answered. If the attempt is being canceled, the cancel
// reports its end.
func (u *upstream) onSetupReleased(leg *outboundLeg, message binarymessage.Message, complete bool) {
	attempt := leg.attempt
	attempt.HasLoadReport = complete
	note := message.Text(binarymessage.Note)
	outcome := routing.Reset
	switch message.Cause() {
	case binarymessage.NoCircuit:
		outcome = routing.Overloaded
		attempt.AtCapacity = note == noteNoCircuit
		if retryAfter, ok := parseNumber(message.Text(binarymessage.QueueDelay)); ok {
			attempt.RetryAfter = retryAfter
		}
	case binarymessage.UserBusy, binarymessage.Fault:
		outcome = routing.Failed
		attempt.NumberBusy = note == noteNumberBusy
	case binarymessage.NeverSent:
		outcome = routing.NotSent
	}
	if !leg.ended {
		leg.ended = true
		leg.finish(outcome)
	}
}
