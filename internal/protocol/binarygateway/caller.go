package binarygateway

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"strconv"
	"strings"

	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/protocol/callcontrol"
	"cobaltpier/internal/routing"
)

// client is all that comes from one address: its calls are bound to none of its connections.
type client struct {
	gateway          *Gateway
	conns            []*Conn
	pendingReleases  []pendingRelease
	establishedCalls int
}

// pendingRelease is a release that no connection was there for.
type pendingRelease struct {
	callID    uint64
	cause     byte
	expiresAt float64
}

const (
	releaseRetention   = 20000.0 // ms: callers come back sooner, or not at all
	maxPendingReleases = 4096
	maxResumedCalls    = 8192    // standing calls told by callers: bounds what they can make a gateway hold
	maxNumberLength    = 64      // digits and letters of a number called
	maxTimeout         = 86400e3 // ms: no caller waits longer
	// a setup has to fit when its timeout is said again in other figures
	maxSetupLength = binarymessage.MaxLength - 16
)

// call is a call of a caller, and the same once it stands. One that a caller told of as standing already has no Held.
type call struct {
	*callcontrol.Session
	gateway      *Gateway
	id           uint64
	client       *client
	conn         *Conn            // of its setup; nil once that has closed
	setup        []byte           // its setup, till it stands
	leg          *outboundLeg     // whose attempt is out
	upstream     *upstream        // where it stands
	attempt      *routing.Attempt // and by which attempt
	upstreamConn *Conn            // the line that it stands on, nil once that has closed
	startedAt    float64
}

// onMessage implements side.
func (c *client) onMessage(conn *Conn, msg binarymessage.Message) {
	g := c.gateway
	conn.lastUsedAt = g.Now
	switch msg.Type() {
	case binarymessage.Setup:
		conn.receivedMessage = true
		c.onSetup(conn, msg)
	case binarymessage.Release:
		conn.receivedMessage = true
		c.onRelease(conn, msg)
	case binarymessage.HealthCheck:
		conn.receivedMessage = true
		if len(g.pendingChecks) < 1000 {
			g.pendingChecks = append(g.pendingChecks, healthCheck{conn, msg.Call()})
		}
		g.updateReadiness()
	case binarymessage.ReleaseComplete, binarymessage.Progress, binarymessage.HealthResult, binarymessage.LoadState, binarymessage.Answer:
		// free: they mean nothing here
	default:
		g.Metrics.InvalidRequests++
		conn.close()
	}
}

// onSetup takes a setup: decoded fields go straight into a call. It is offered by the next Wake.
func (c *client) onSetup(conn *Conn, msg binarymessage.Message) {
	g, id := c.gateway, msg.Call()
	f, ok := parseSetupParameters(msg)
	if !ok || id == 0 {
		g.Metrics.InvalidRequests++
		conn.send(binarymessage.Append(nil, binarymessage.Release, id, binarymessage.CauseParam(binarymessage.Invalid)))
		return
	}
	old := g.calls[id]
	if f.endpointID != "" {
		c.resumeCall(conn, id, f.endpointID)
		return
	}
	if old != nil {
		// nobody can tell any more which of the two an answer is for; the one that was there stays, unless both are
		// this connection's
		g.Metrics.Duplicates++
		conn.close()
		return
	}
	skill := g.Classes[msg.Text(binarymessage.Class)]
	wait, ok := parseNumber(msg.Text(binarymessage.Patience))
	number := msg.Text(binarymessage.Number)
	if skill == nil || !ok || wait <= 0 || wait > maxTimeout || number == "" || len(number) > maxNumberLength || len(msg) > maxSetupLength {
		g.Metrics.InvalidRequests++
		conn.send(binarymessage.Append(nil, binarymessage.Release, id, binarymessage.CauseParam(binarymessage.Invalid)))
		return
	}
	routed := &routing.Call{Class: skill, CalledNumber: number, ArrivedAt: g.Now, DestinationID: f.destination, Resumed: f.resumed}
	k := &call{Session: g.NewSession(routed, wait), gateway: g, id: id, client: c, conn: conn, setup: slices.Clone(msg), startedAt: g.Now}
	k.SignalingLeg = k
	k.Deadline = k.TimeoutStart + wait - g.config.AnswerMargin
	routed.Destination = g.Endpoints.ByDestination(f.destination)
	g.calls[id] = k
	conn.pendingCalls++
	g.Enqueue(k.Session)
}

// setupParameters are a setup's figures.
type setupParameters struct {
	destination int
	resumed     bool
	endpointID  string
}

// parseSetupParameters reads a setup's figures; false: they are out of range or no numbers.
func parseSetupParameters(msg binarymessage.Message) (a setupParameters, ok bool) {
	a.destination = -1
	v, _ := msg.Get(binarymessage.Figures)
	for f := range parameters(string(v)) {
		switch f.name {
		case "at":
			a.endpointID = f.value
			continue
		case "dest", "width", "via", "again":
		default:
			continue
		}
		n, err := strconv.Atoi(f.value)
		if err != nil || n < -1 || n > math.MaxInt32 || f.name == "width" && n < 1 {
			return a, false
		}
		switch f.name {
		case "dest":
			a.destination = n
		case "again":
			a.resumed = n == 1
		}
	}
	return a, true
}

type parameter struct{ name, value string }

// parameters reads `a:1;b:2`.
func parameters(s string) iter.Seq[parameter] {
	return func(yield func(parameter) bool) {
		for f := range strings.SplitSeq(s, ";") {
			if k, v, ok := strings.Cut(f, ":"); ok && !yield(parameter{strings.TrimSpace(k), strings.TrimSpace(v)}) {
				return
			}
		}
	}
}

// parseNumber reads a number from 0 up.
func parseNumber(s string) (float64, bool) {
	n, err := strconv.ParseFloat(s, 64)
	return n, err == nil && n >= 0 && !math.IsInf(n, 0)
}

// resumeCall takes up a call that stands at a switch already, set up by a gateway before this one.
func (c *client) resumeCall(conn *Conn, id uint64, at string) {
	g := c.gateway
	if k := g.calls[id]; k != nil {
		if k.upstream != nil { // it is held here: what ends it goes where its caller is now
			k.bindTo(conn)
		}
		return
	}
	u := g.upstreams[g.Endpoints.ByID(at)]
	if u == nil || g.resumedCalls >= maxResumedCalls {
		conn.send(binarymessage.Append(nil, binarymessage.Release, id, binarymessage.CauseParam(binarymessage.Failure)))
		return
	}
	if cause, over := u.unknownEnds[id]; over {
		delete(u.unknownEnds, id)
		conn.send(binarymessage.Append(nil, binarymessage.Release, id, binarymessage.CauseParam(cause.cause)))
		return
	}
	g.Metrics.CallsResumed++
	g.resumedCalls++
	k := &call{gateway: g, id: id, client: c, upstream: u, startedAt: g.Now}
	g.calls[id] = k
	u.established[id] = k
	c.establishedCalls++
	k.bindTo(conn)
}

// bindTo lets a standing call's release go to a link.
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

// onRelease takes a caller's release: of a setup, which is given up, or of a call that stands.
func (c *client) onRelease(conn *Conn, msg binarymessage.Message) {
	k := c.gateway.calls[msg.Call()]
	switch {
	case k == nil:
	case k.upstream != nil:
		k.release(routing.Completed, msg.Cause(), true)
	case k.client == c:
		k.onCallerGone()
	}
}

// onClosed implements side: setups whose connection has closed are given up; what stands goes on.
func (c *client) onClosed(conn *Conn, _ CloseReason) {
	g := c.gateway
	c.conns = slices.DeleteFunc(c.conns, func(o *Conn) bool { return o == conn })
	g.clientConns = slices.DeleteFunc(g.clientConns, func(o *Conn) bool { return o == conn })
	g.pendingChecks = slices.DeleteFunc(g.pendingChecks, func(t healthCheck) bool { return t.conn == conn })
	if conn.pendingCalls == 0 && conn.establishedCalls == 0 {
		return
	}
	var of []*call
	for _, k := range g.calls {
		if k.conn == conn {
			of = append(of, k)
		}
	}
	slices.SortFunc(of, compareByID)
	for _, k := range of {
		if k.upstream != nil {
			k.conn = nil
		} else {
			k.onCallerGone()
		}
	}
}

func compareByID(a, b *call) int { return cmp.Compare(a.id, b.id) }

// onCallerGone: its caller does not wait any more.
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
	if c.leg != nil {
		c.leg.cancel(routing.Canceled)
	}
}

// forget lets go of a setup that has its end.
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

// sendFinal is the final answer that it does not stand.
func (c *call) sendFinal(params ...binarymessage.Param) {
	if !c.Finish(true) {
		return
	}
	if c.conn != nil {
		c.conn.send(binarymessage.Append(nil, binarymessage.Release, c.id, params...))
	}
	c.forget()
	if c.leg != nil {
		c.leg.cancel(routing.Canceled)
	}
}

// SendFailure implements control.Party.
func (c *call) SendFailure() { c.sendFinal(binarymessage.CauseParam(binarymessage.Failure)) }

// SendRejection implements control.Party.
func (c *call) SendRejection(wait float64) {
	if wait > 0 && c.gateway.config.Settings.RetryAfterEnabled {
		c.sendFinal(binarymessage.CauseParam(binarymessage.Congested), binarymessage.TextParam(binarymessage.Wait, strconv.Itoa(int(math.Ceil(wait)))))
		return
	}
	c.sendFinal(binarymessage.CauseParam(binarymessage.Congested))
}

// SendShed implements control.Party.
func (c *call) SendShed() {
	if c.conn != nil {
		c.conn.send(binarymessage.Append(nil, binarymessage.Release, c.id, binarymessage.CauseParam(binarymessage.Congested)))
	}
	c.forget()
}

// OnAccepted implements control.Party.
func (c *call) OnAccepted() bool { return true }

// Prepare implements control.Party.
func (c *call) Prepare() {}

// HasAttempt implements control.Party: an attempt is out, or its call stands.
func (c *call) HasAttempt() bool { return c.leg != nil || c.upstream != nil }

// SendTrying implements control.Party: nothing is owed before the answer.
func (c *call) SendTrying() {}

// establish passes the switch's answer on, its description unchanged.
func (c *call) establish(u *upstream, upstreamConn *Conn, attempt *routing.Attempt, description []byte) {
	if !c.Finish(false) {
		return
	}
	g := c.gateway
	c.Established = true
	g.Controller.AddEstablished(1)
	g.Counts.Answered++
	c.upstream, c.upstreamConn, c.attempt, c.setup = u, upstreamConn, attempt, nil
	u.established[c.id] = c
	c.client.establishedCalls++
	if c.conn != nil {
		c.conn.pendingCalls--
		c.conn.establishedCalls++
		c.conn.enqueue(outgoingMessage{data: binarymessage.Append(nil, binarymessage.Answer, c.id, binarymessage.Param{Code: binarymessage.Description, Value: description}),
			// its caller has closed and never heard of it: it has given the setup up
			onLost: func() { c.release(routing.Completed, binarymessage.Normal, true) }})
	}
}

// release ends a standing call on the sides that do not know of it yet; byCaller: its caller does.
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
		c.sendRelease(cause)
	}
	if c.Session == nil {
		g.resumedCalls--
		return
	}
	g.Controller.AddEstablished(-1)
	c.Established = false
	c.Finished = true
	c.EndAttempt(c.attempt, outcome, true)
}

// sendRelease releases a call that is over towards its caller: on the connection of its setup, else on its latest, else on the
// next one.
func (c *call) sendRelease(cause byte) {
	c.client.sendRelease(c.conn, pendingRelease{c.id, cause, c.gateway.Now + releaseRetention})
}

func (c *client) sendRelease(conn *Conn, o pendingRelease) {
	if conn == nil || conn.closed {
		conn = nil
		for _, other := range c.conns {
			if conn == nil || other.lastUsedAt > conn.lastUsedAt {
				conn = other
			}
		}
	}
	if conn == nil {
		c.gateway.Metrics.ReleasesDeferred++
		if len(c.pendingReleases) < maxPendingReleases {
			c.pendingReleases = append(c.pendingReleases, o)
		}
		return
	}
	conn.enqueue(outgoingMessage{data: binarymessage.Append(nil, binarymessage.Release, o.callID, binarymessage.CauseParam(o.cause)), onLost: func() { c.sendRelease(nil, o) }})
}

// sendPendingReleases sends the releases that are owed.
func (c *client) sendPendingReleases(conn *Conn) {
	of := c.pendingReleases
	c.pendingReleases = nil
	for _, o := range of {
		c.sendRelease(conn, o)
	}
}

// dropExpiredReleases gives up owed releases that nobody came for.
func (c *client) dropExpiredReleases(now float64) {
	n := len(c.pendingReleases)
	c.pendingReleases = slices.DeleteFunc(c.pendingReleases, func(o pendingRelease) bool { return o.expiresAt < now })
	c.gateway.Metrics.ReleasesDropped += uint64(n - len(c.pendingReleases))
}
