package binarygateway

import (
	"math"
	"strconv"

	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/protocol/callcontrol"
	"cobaltpier/internal/routing"
)

// call is a call of a client, pending or established. One that was established by an earlier process has no Session.
type call struct {
	*callcontrol.Session
	gateway   *Gateway
	id        uint64
	client    *client
	conn      *Conn        // of its setup, later the one for its release; nil: closed
	setup     []byte       // the client's message, until the call is established
	leg       *outboundLeg // of the attempt in flight
	startedAt float64

	// of an established call
	upstream     *upstream
	attempt      *routing.Attempt
	upstreamConn *Conn // nil: closed
}

// HasAttempt implements callcontrol.SignalingLeg.
func (c *call) HasAttempt() bool { return c.leg != nil || c.upstream != nil }

// OnAccepted implements callcontrol.SignalingLeg.
func (c *call) OnAccepted() bool { return true }

// Prepare implements callcontrol.SignalingLeg: nothing is needed.
func (c *call) Prepare() {}

// SendTrying implements callcontrol.SignalingLeg: callers need no provisional answer.
func (c *call) SendTrying() {}

// SendFailure implements callcontrol.SignalingLeg.
func (c *call) SendFailure() { c.sendRefusal(binarymessage.CauseParam(binarymessage.Failure)) }

// SendRejection implements callcontrol.SignalingLeg.
func (c *call) SendRejection(retryAfter float64) {
	cause := binarymessage.CauseParam(binarymessage.Congested)
	if retryAfter > 0 && c.gateway.config.Settings.RetryAfterEnabled {
		milliseconds := strconv.Itoa(int(math.Ceil(retryAfter)))
		c.sendRefusal(cause, binarymessage.TextParam(binarymessage.RetryAfter, milliseconds))
		return
	}
	c.sendRefusal(cause)
}

// SendShed implements callcontrol.SignalingLeg.
func (c *call) SendShed() {
	if c.conn != nil {
		c.conn.send(releaseMessage(c.id, binarymessage.Congested))
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

// onCallerGone gives up a pending call whose caller does not wait any more.
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

// sendRefusal sends a final answer other than that the call is established.
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

// forget removes a setup that has its final answer or needs none.
func (c *call) forget() {
	if c.gateway.calls[c.id] == c {
		delete(c.gateway.calls, c.id)
	}
	if c.conn != nil {
		c.conn.pendingCalls--
		c.conn = nil
	}
	c.setup = nil
}

// establish passes an endpoint's answer on, its description unchanged.
func (c *call) establish(u *upstream, conn *Conn, attempt *routing.Attempt, description []byte) {
	if !c.Finish(false) {
		return
	}
	g := c.gateway
	c.Established = true
	g.AddEstablished(1)
	g.Counts.Answered++
	c.upstream, c.upstreamConn, c.attempt, c.setup = u, conn, attempt, nil
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
		// a client that closed before the answer was sent never heard of it: it has given the setup up
		onLost: func() { c.release(routing.Completed, binarymessage.Normal, true) },
	})
}

// bindTo has the release of an established call sent on a connection.
func (c *call) bindTo(conn *Conn) {
	if c.conn != nil {
		c.conn.establishedCalls--
	}
	if c.client != conn.client {
		c.client.establishedCalls--
		conn.client.establishedCalls++
		c.client = conn.client
	}
	c.conn = conn
	conn.establishedCalls++
}

// release ends an established call towards the side that does not know of it: the endpoint if the caller released it,
// else the caller.
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
		c.client.sendRelease(c.conn, pendingRelease{c.id, cause, g.Now + releaseRetention})
	}
	if c.Session == nil {
		g.resumedCalls--
		return
	}
	g.AddEstablished(-1)
	c.Established = false
	c.Finished = true
	c.EndAttempt(c.attempt, outcome, true)
}
