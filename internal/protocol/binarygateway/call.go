package binarygateway

import (
	"container/list"
	"math"
	"strconv"

	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/protocol/callcontrol"
	"cobaltpier/internal/routing"
)

// call is a client's call, pending or established. A call resumed from an earlier process has no Session.
type call struct {
	*callcontrol.Session
	gateway *Gateway
	id      uint64
	client  *client
	conn    *Conn        // the client's connection for the answer, later for the release; nil if closed
	setup   []byte       // the client's message, until the call is established
	leg     *outboundLeg // of the attempt in flight

	// of an established call
	upstream     *upstream
	attempt      *routing.Attempt
	upstreamConn *Conn // nil if closed
	// endpointUpSince is a time at which the endpoint's process was running already: when the connection was opened on
	// which the call was set up, or, for a resumed call, see resumedUpSince.
	endpointUpSince float64
	resumedElement  *list.Element // of a resumed call: its place among those of its client
}

// HasAttempt implements callcontrol.SignalingLeg.
func (c *call) HasAttempt() bool { return c.leg != nil || c.upstream != nil }

// SetupSent implements callcontrol.SignalingLeg.
func (c *call) SetupSent() bool { return c.leg != nil && c.leg.sent }

// OnAccepted implements callcontrol.SignalingLeg.
func (c *call) OnAccepted() bool { return true }

// Prepare implements callcontrol.SignalingLeg. Calls need no preparation.
func (c *call) Prepare() {}

// SendTrying implements callcontrol.SignalingLeg. Callers need no provisional answer.
func (c *call) SendTrying() {}

// SendFailure implements callcontrol.SignalingLeg.
func (c *call) SendFailure() { c.sendRefusal(binarymessage.CauseParam(binarymessage.Failure)) }

// SendRejection implements callcontrol.SignalingLeg.
func (c *call) SendRejection(retryAfter float64) {
	c.sendRefusal(c.gateway.rejectionParams(retryAfter)...)
}

// rejectionParams returns the parameters of a rejection; a retryAfter above 0 asks the caller to wait that many ms.
func (g *Gateway) rejectionParams(retryAfter float64) []binarymessage.Param {
	params := []binarymessage.Param{binarymessage.CauseParam(binarymessage.Congested)}
	if retryAfter > 0 && g.config.Settings.RetryAfterEnabled {
		milliseconds := strconv.Itoa(int(math.Ceil(retryAfter)))
		params = append(params, binarymessage.TextParam(binarymessage.RetryAfter, milliseconds))
	}
	return params
}

// SendShed implements callcontrol.SignalingLeg.
func (c *call) SendShed(retryAfter float64) {
	if c.conn != nil {
		c.conn.send(binarymessage.Append(nil, binarymessage.Release, c.id, c.gateway.rejectionParams(retryAfter)...))
	}
	c.forget()
}

// SendSetup implements callcontrol.SignalingLeg.
func (c *call) SendSetup(attempt *routing.Attempt, timeout float64) bool {
	u := c.gateway.upstreams[attempt.Endpoint]
	if u == nil || c.setup == nil {
		return false
	}
	leg := &outboundLeg{call: c, attempt: attempt, upstream: u}
	c.leg = leg
	leg.timeout = c.gateway.Timers.Schedule(c.gateway.Now+timeout, func() { leg.cancel(routing.TimedOut) })
	u.assignConn(leg)
	return true
}

// SendCancel implements callcontrol.SignalingLeg.
func (c *call) SendCancel(attempt *routing.Attempt) {
	if c.leg != nil && c.leg.attempt == attempt {
		c.leg.cancel(routing.Canceled)
	}
}

// onCallerGone gives up a pending call whose caller has hung up or disconnected.
func (c *call) onCallerGone() {
	if c.Finished {
		return
	}
	c.gateway.Counts.HungUp++
	if !c.Accepted {
		c.Finished = true
		c.forget()
		return
	}
	if !c.Finish(true) {
		return
	}
	if c.WithRouter {
		c.gateway.Router.OnHangup(c.gateway.Now, c.Call)
	}
	c.forget()
	c.cancelLeg()
}

// sendRefusal sends a final answer that ends the call: failed or rejected.
func (c *call) sendRefusal(params ...binarymessage.Param) {
	if !c.Finish(true) {
		return
	}
	if c.conn != nil {
		c.conn.send(binarymessage.Append(nil, binarymessage.Release, c.id, params...))
	}
	c.forget()
	c.cancelLeg()
}

func (c *call) cancelLeg() {
	if c.leg != nil {
		c.leg.cancel(routing.Canceled)
	}
}

// setConn selects the client's connection for the answer or the release; nil: none.
func (c *call) setConn(conn *Conn) {
	if c.conn != nil {
		delete(c.conn.calls, c)
	}
	c.conn = conn
	if conn == nil {
		return
	}
	if conn.calls == nil {
		conn.calls = map[*call]struct{}{}
	}
	conn.calls[c] = struct{}{}
}

// forget removes a pending call that has its final answer or needs none.
func (c *call) forget() {
	if c.gateway.calls[c.id] == c {
		delete(c.gateway.calls, c.id)
	}
	if c.conn != nil {
		c.conn.pendingCalls--
		c.setConn(nil)
	}
	c.dropSetup()
}

// dropSetup frees the client's setup, which is not needed any more.
func (c *call) dropSetup() {
	c.gateway.setupMemory.Free(len(c.setup))
	c.setup = nil
}

// establish records that a call is established and forwards the endpoint's description to the client unchanged.
func (c *call) establish(u *upstream, conn *Conn, attempt *routing.Attempt, description []byte) {
	if !c.Finish(false) {
		return
	}
	g := c.gateway
	c.Established = true
	g.AddEstablished(1)
	g.Counts.Answered++
	c.upstream, c.upstreamConn, c.attempt = u, conn, attempt
	c.dropSetup()
	c.endpointUpSince = conn.connectedAt
	u.established[c.id] = c
	c.client.establishedCalls++
	if c.conn == nil {
		return
	}
	c.conn.pendingCalls--
	c.conn.establishedCalls++
	answer := binarymessage.Param{Code: binarymessage.Description, Value: description}
	c.conn.enqueue(outgoingMessage{
		data: binarymessage.Append(nil, binarymessage.Answer, c.id, answer),
		// A client that disconnected before the answer was sent has given up the setup.
		onLost: func() { c.release(routing.Completed, binarymessage.Normal, true) },
	})
}

// bindTo selects the client connection on which the release of an established call will be sent.
func (c *call) bindTo(conn *Conn) {
	if c.conn != nil {
		c.conn.establishedCalls--
	}
	if c.client != conn.client {
		c.client.establishedCalls--
		conn.client.establishedCalls++
		if c.isResumed() {
			c.gateway.resumed.remove(c.client, c)
			c.gateway.resumed.add(conn.client, c)
		}
		c.client = conn.client
	}
	c.setConn(conn)
	conn.establishedCalls++
}

// release ends an established call and sends the release to the other side: to the endpoint if the caller released the
// call, else to the caller.
func (c *call) release(outcome routing.Outcome, cause byte, byCaller bool) {
	g, u := c.gateway, c.upstream
	if u == nil {
		return
	}
	delete(g.calls, c.id)
	delete(u.established, c.id)
	c.upstream = nil
	c.client.establishedCalls--
	if c.conn != nil {
		c.conn.establishedCalls--
	}
	if byCaller {
		g.Metrics.ReleasesByCaller++
		u.releaseCall(c, cause)
	} else {
		u.rememberEnd(c.id, cause) // in case the release is lost with the client's connection
		c.client.sendRelease(c.conn, c.id, cause)
	}
	c.setConn(nil)
	if c.isResumed() {
		g.resumed.remove(c.client, c)
		return
	}
	g.AddEstablished(-1)
	c.Established = false
	c.Finished = true
	c.EndAttempt(c.attempt, outcome, true)
}
