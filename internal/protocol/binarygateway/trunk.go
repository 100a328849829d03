package binarygateway

import (
	"math"
	"net/netip"
	"slices"
	"strconv"

	"cobaltpier/internal/decision/liveness"
	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/routing"
	"cobaltpier/internal/timerqueue"
)

const (
	minConnsPerEndpoint   = 1       // lines that each switch has even if nothing presses: its state is heard on one, and each is paid for
	maxBackoff            = 2000.0  // ms: between two tries to connect
	initialBackoff        = 50.0    // ms
	unknownEndRetention   = 15000.0 // ms: an end that nobody here knows of is remembered for a caller who asks
	maxUnknownEnds        = 2048
	lateAnswerRetention   = 30000.0 // ms: an answer may come so long after its setup was given up
	defaultConnectTimeout = 500.0   // ms: where settings say nothing
)

// upstream is all lines to one switch.
type upstream struct {
	gateway         *Gateway
	endpoint        *routing.Endpoint
	address         netip.AddrPort
	startedAt       float64 // its latest start, as told
	conns           []*Conn
	waiting         []*outboundLeg   // setups that wait for a line
	established     map[uint64]*call // calls that stand there
	canceled        map[uint64]float64
	unknownEnds     map[uint64]endedCall
	lastMessageAt   float64 // when it was last heard
	unansweredDials int     // tries since then that brought no word, not even a refusal
	failedDials     int     // tries to connect that came to nothing since a new line spoke
	retryAt         float64 // no line is tried before this unless a setup needs it
	lastConnReset   bool    // the latest line to end was reset, and none has come up since
	disconnectedAt  float64 // when the latest line ended on which it had spoken
	reconnectTimer  *timerqueue.Timer
	nextConn        uint64
}

// endedCall is an end of a call that nobody here knows of.
type endedCall struct {
	cause     byte
	expiresAt float64
}

// outboundLeg is one attempt on the wire.
type outboundLeg struct {
	call     *call
	attempt  *routing.Attempt
	upstream *upstream
	conn     *Conn // nil: it waits for one
	timeout  *timerqueue.Timer
	sent     bool // its setup was handed to the socket
	ended    bool // the module knows of its end, or is about to
	// answeredLate: an answer to an earlier attempt of the call here came after that was given up
	answeredLate bool
}

func newUpstream(g *Gateway, endpoint *routing.Endpoint, to netip.AddrPort) *upstream {
	return &upstream{gateway: g, endpoint: endpoint, address: to, startedAt: endpoint.StartedAt, established: map[uint64]*call{}, canceled: map[uint64]float64{}, unknownEnds: map[uint64]endedCall{}, lastMessageAt: g.Now, disconnectedAt: g.Now}
}

// connectedConns is how many lines are open.
func (u *upstream) connectedConns() (n int) {
	for _, conn := range u.conns {
		if conn.connected && !conn.retired {
			n++
		}
	}
	return
}

// maintainConns opens the lines that a switch always has, so that its state is heard. One that drains gets no setups: it has a
// line only for what stands there.
func (u *upstream) maintainConns() {
	keep := min(minConnsPerEndpoint, u.gateway.connsPerEndpoint())
	if u.endpoint.State != routing.Ready {
		keep = min(1, len(u.established))
	}
	for len(u.conns) < keep && u.reconnectTimer == nil && u.mayReconnect() && (u.failedDials == 0 || len(u.conns) == 0) {
		u.dial()
	}
}

// mayReconnect tells whether a line may be tried that no setup waits for.
func (u *upstream) mayReconnect() bool { return u.gateway.Now >= u.retryAt }

// dial opens one more line.
func (u *upstream) dial() *Conn {
	g := u.gateway
	conn := &Conn{gateway: g, peer: u}
	u.conns = append(u.conns, conn)
	g.Metrics.Dialed++
	g.Timers.Schedule(g.Now+u.connectTimeout(), func() {
		if !conn.connected && !conn.closed {
			g.Metrics.ConnectTimeouts++
			conn.abort()
		}
	})
	g.transport.Dial(conn, u.address)
	return conn
}

// onConnected: a line is up; what waits goes out. That shows a machine that accepts, not yet a switch that works: only its
// first word does.
func (u *upstream) onConnected(conn *Conn) {
	conn.connected = true
	u.gateway.Metrics.Connected++
	u.lastConnReset = false
	waits := u.waiting
	u.waiting = nil
	for _, leg := range waits {
		u.assignConn(leg)
	}
	u.gateway.updateReadiness()
	conn.scheduleFlush()
}

// SendSetup implements control.Party: it sends a setup and gives up after limit ms.
func (c *call) SendSetup(attempt *routing.Attempt, limit float64) bool {
	u := c.gateway.upstreams[attempt.Endpoint]
	if u == nil || c.setup == nil {
		return false
	}
	leg := &outboundLeg{call: c, attempt: attempt, upstream: u}
	c.leg = leg
	leg.timeout = c.gateway.Timers.Schedule(c.gateway.Now+limit, func() { leg.cancel(routing.TimedOut) })
	u.assignConn(leg)
	return true
}

// assignConn puts a setup on a line: on one with the fewest setups under way, for one that breaks takes all of its own
// along. Where none is up it waits for the next.
func (u *upstream) assignConn(leg *outboundLeg) {
	var best *Conn
	u.nextConn++
	for i := range u.conns {
		conn := u.conns[(int(u.nextConn%uint64(len(u.conns)))+i)%len(u.conns)]
		if conn.connected && !conn.retired && !conn.writePending && (best == nil || len(conn.legs) < len(best.legs)) {
			best = conn
		}
	}
	coming := slices.ContainsFunc(u.conns, func(conn *Conn) bool { return !conn.connected })
	if (best == nil || len(best.legs) > 0 && u.mayReconnect()) && !coming && len(u.conns) < u.gateway.connsPerEndpoint() {
		u.dial()
	}
	if best == nil { // it waits no longer than one connect may take, however many are tried meanwhile
		u.waiting = append(u.waiting, leg)
		u.gateway.Timers.Schedule(u.gateway.Now+u.connectTimeout(), func() { leg.onConnectTimeout() })
		return
	}
	c, now := leg.call, u.gateway.Now
	leg.conn = best
	best.legs = append(best.legs, leg)
	left := math.Max(1, c.Deadline+u.gateway.config.AnswerMargin-now)
	msg := binarymessage.Message(c.setup)
	b := binarymessage.Append(nil, binarymessage.Setup, c.id, forwardedParameters(msg, left)...)
	best.enqueue(outgoingMessage{data: b, leg: leg})
}

// onConnectTimeout ends an attempt that found no line.
func (leg *outboundLeg) onConnectTimeout() {
	u := leg.upstream
	if i := slices.Index(u.waiting, leg); i >= 0 && !leg.ended {
		u.waiting = slices.Delete(u.waiting, i, i+1)
		leg.ended = true
		leg.finish(routing.ConnectionRefused)
	}
}

// connectTimeout is how long a connect may take, ms.
func (u *upstream) connectTimeout() float64 {
	if w := u.gateway.config.Connections.ConnectTimeout; w > 0 {
		return w
	}
	return defaultConnectTimeout
}

// forwardedParameters is what of a caller's setup goes to a switch: class, number and description as they are, and for how many ms
// this gateway waits.
func forwardedParameters(msg binarymessage.Message, left float64) []binarymessage.Param {
	var of []binarymessage.Param
	for _, code := range []byte{binarymessage.Class, binarymessage.Patience, binarymessage.Number, binarymessage.Description} {
		if code == binarymessage.Patience {
			of = append(of, binarymessage.TextParam(code, strconv.Itoa(int(left))))
		} else if v, ok := msg.Get(code); ok {
			of = append(of, binarymessage.Param{Code: code, Value: v})
		}
	}
	return of
}

// cancel ends an attempt from here. What has not left is withdrawn and has not run; else its end counts from when the
// give-up has left.
func (leg *outboundLeg) cancel(how routing.Outcome) {
	if leg.ended {
		return
	}
	g := leg.upstream.gateway
	leg.ended = true
	g.Timers.Cancel(leg.timeout)
	if leg.conn == nil {
		leg.upstream.waiting = slices.DeleteFunc(leg.upstream.waiting, func(o *outboundLeg) bool { return o == leg })
		g.Metrics.Withdrawn++
		g.Timers.Schedule(g.Now, func() { leg.finish(routing.NotSent) })
		return
	}
	if leg.conn.withdraw(leg) {
		g.Metrics.Withdrawn++
		g.Timers.Schedule(g.Now, func() { leg.finish(routing.NotSent) })
		return
	}
	leg.upstream.canceled[leg.call.id] = g.Now + lateAnswerRetention
	conn := leg.conn
	conn.enqueue(outgoingMessage{data: binarymessage.Append(nil, binarymessage.Release, leg.call.id, binarymessage.CauseParam(binarymessage.Normal)), onSent: func() {
		g.Timers.Schedule(g.Now, func() { leg.finish(how) })
	}})
}

// finish tells how an attempt ended, once.
func (leg *outboundLeg) finish(how routing.Outcome) {
	if leg.attempt == nil {
		return
	}
	attempt, c := leg.attempt, leg.call
	leg.attempt, leg.ended = nil, true
	leg.upstream.gateway.Timers.Cancel(leg.timeout)
	if leg.conn != nil {
		leg.conn.legs = slices.DeleteFunc(leg.conn.legs, func(o *outboundLeg) bool { return o == leg })
	}
	if c.leg == leg {
		c.leg = nil
	}
	if leg.answeredLate {
		g := leg.upstream.gateway
		g.Metrics.LateAnswers++
		leg.upstream.sendRelease(c.id, binarymessage.Normal, leg.conn)
	}
	c.EndAttempt(attempt, how, c.Finished)
}

// activeLeg is the attempt of a call that is out at this switch and wanted, on whatever line.
func (u *upstream) activeLeg(id uint64) *outboundLeg {
	for _, conn := range u.conns {
		if leg := conn.legOf(id); leg != nil && !leg.ended {
			return leg
		}
	}
	return nil
}

// SendCancel implements control.Party.
func (c *call) SendCancel(attempt *routing.Attempt) {
	if c.leg != nil && c.leg.attempt == attempt {
		c.leg.cancel(routing.Canceled)
	}
}

// legOf is the attempt of a call that is out on a line.
func (conn *Conn) legOf(id uint64) *outboundLeg {
	for _, leg := range conn.legs {
		if leg.call.id == id {
			return leg
		}
	}
	return nil
}

// onMessage implements side.
func (u *upstream) onMessage(conn *Conn, msg binarymessage.Message) {
	g := u.gateway
	u.lastMessageAt, u.unansweredDials = g.Now, 0
	if !conn.endpointSpoke {
		conn.endpointSpoke, u.failedDials = true, 0
	}
	id := msg.Call()
	switch msg.Type() {
	case binarymessage.LoadState:
		if any, full := g.applyLoadReport(u.endpoint, msg); any {
			g.Router.OnLoadReport(g.Now, u.endpoint, true, full)
		}
	case binarymessage.Answer:
		leg := conn.legOf(id)
		description, ok := msg.Get(binarymessage.Description)
		switch {
		case u.established[id] != nil:
			// the answer of an attempt that was given up before the one that stands here: to release it would cut the call
			g.Metrics.Duplicates++
		case (leg == nil || leg.ended || !leg.sent) && u.activeLeg(id) != nil:
			u.activeLeg(id).answeredLate = true // released when the attempt that is out here has ended without standing
		case leg == nil || leg.ended || !leg.sent:
			if _, late := u.canceled[id]; late || leg != nil && leg.ended { // it crossed our giving up
				g.Metrics.LateAnswers++
				conn.send(binarymessage.Append(nil, binarymessage.Release, id, binarymessage.CauseParam(binarymessage.Normal)))
			} else {
				g.Metrics.UnmatchedAnswers++
			}
		case !ok: // it stands there, but its caller can't be told what the switch said
			g.Metrics.ProtocolErrors++
			conn.send(binarymessage.Append(nil, binarymessage.Release, id, binarymessage.CauseParam(binarymessage.Normal)))
			leg.finish(routing.Failed)
		default:
			g.Timers.Cancel(leg.timeout)
			leg.ended = true
			conn.legs = slices.DeleteFunc(conn.legs, func(o *outboundLeg) bool { return o == leg })
			any, full := g.applyLoadReport(u.endpoint, msg)
			c, attempt := leg.call, leg.attempt
			c.leg = nil
			attempt.Latency = g.Now - attempt.SentAt
			c.establish(u, conn, attempt, description)
			if any {
				g.Router.OnLoadReport(g.Now, u.endpoint, true, full)
			}
			g.Router.OnAnswer(g.Now, attempt)
		}
	case binarymessage.Release:
		u.onRelease(conn, msg)
	case binarymessage.Progress, binarymessage.ReleaseComplete, binarymessage.HealthResult, binarymessage.HealthCheck, binarymessage.Setup:
		// free: they mean nothing here
	default:
		g.Metrics.ProtocolErrors++
		conn.abort()
	}
}

// onRelease takes a switch's release: the end of an attempt, or of a call that stands.
func (u *upstream) onRelease(conn *Conn, msg binarymessage.Message) {
	g, id, cause := u.gateway, msg.Call(), msg.Cause()
	any, full := g.applyLoadReport(u.endpoint, msg)
	if leg := conn.legOf(id); leg != nil && leg.attempt != nil && leg.sent {
		attempt := leg.attempt
		attempt.HasLoadReport = full
		note := msg.Text(binarymessage.Note)
		how := routing.Reset
		switch cause {
		case binarymessage.NoCircuit:
			how = routing.Overloaded
			attempt.AtCapacity = note == "all_trunks_busy"
			if w, ok := parseNumber(msg.Text(binarymessage.Busy)); ok {
				attempt.RetryAfter = w
			}
		case binarymessage.UserBusy, binarymessage.Fault:
			how = routing.Failed
			attempt.NumberBusy = note == "number_busy"
		case binarymessage.Moot:
			how = routing.NotSent
		}
		if !leg.ended { // else our giving up crossed it, and counts
			leg.ended = true
			leg.finish(how)
		}
		return
	}
	if c := u.established[id]; c != nil {
		how := routing.Reset
		if cause == binarymessage.Normal {
			how = routing.Completed
		} else {
			g.Metrics.CallsCut++
		}
		if c.attempt != nil {
			c.attempt.HasLoadReport = full
		}
		c.release(how, cause, false)
		return
	}
	if any && full {
		g.Router.OnLoadReport(g.Now, u.endpoint, true, full)
	}
	if g.calls[id] == nil && len(u.unknownEnds) < maxUnknownEnds { // its caller may still tell us of it
		u.unknownEnds[id] = endedCall{cause, g.Now + unknownEndRetention}
	}
}

// releaseCall releases a call at its switch: on the line of its setup, else on any, else on the next.
func (u *upstream) releaseCall(c *call, cause byte) {
	if cause == 0 {
		cause = binarymessage.Normal
	}
	u.canceled[c.id] = u.gateway.Now + lateAnswerRetention
	u.sendRelease(c.id, cause, c.upstreamConn)
}

// sendRelease sends a release: on a line, where that is still open, else on any, else on the next.
func (u *upstream) sendRelease(id uint64, cause byte, conn *Conn) {
	if conn == nil || conn.closed {
		conn = nil
		for _, o := range u.conns {
			if !o.closed && (conn == nil || o.connected && !conn.connected) {
				conn = o
			}
		}
	}
	if conn == nil {
		conn = u.dial()
	}
	conn.enqueue(outgoingMessage{data: binarymessage.Append(nil, binarymessage.Release, id, binarymessage.CauseParam(cause))})
}

// onClosed implements side: setups that have left on a line may have run, others have not.
func (u *upstream) onClosed(conn *Conn, how CloseReason) {
	g := u.gateway
	u.conns = slices.DeleteFunc(u.conns, func(o *Conn) bool { return o == conn })
	for _, c := range u.established {
		if c.upstreamConn == conn {
			c.upstreamConn = nil
		}
	}
	legs := conn.legs
	conn.legs = nil
	for _, leg := range legs {
		switch {
		case leg.attempt == nil, leg.ended: // ended, or about to: its give-up, gone with the line, settles it
		case !leg.sent:
			leg.ended = true
			g.Timers.Schedule(g.Now, func() { leg.finish(routing.NotSent) })
		default:
			leg.ended = true
			u.canceled[leg.call.id] = g.Now + lateAnswerRetention
			g.Timers.Schedule(g.Now, func() { leg.finish(routing.Reset) })
		}
	}
	if g.upstreams[u.endpoint] != u {
		return
	}
	if conn.connected {
		g.Metrics.ConnectionsLost++
		if u.lastConnReset = how == ClosedReset; conn.endpointSpoke {
			u.disconnectedAt = g.Now
		} else { // accepted, and no more: nobody works there
			u.backOff()
			u.unansweredDials++
		}
		if u.connectedConns() == 0 {
			u.scheduleReconnect()
		}
		return
	}
	u.backOff()
	if how == ClosedRefused { // a machine that says no is there, and a process that has died would have reset the lines that are up
		g.Metrics.ConnectionsRefused++
		u.unansweredDials = 0
	} else {
		u.unansweredDials++
	}
	if u.connectedConns() == 0 && !slices.ContainsFunc(u.conns, func(conn *Conn) bool { return !conn.connected && !conn.closed }) {
		for _, leg := range u.waiting {
			g.Timers.Schedule(g.Now, leg.onConnectTimeout)
		}
		// A process that dies resets its lines, and then nobody listens there; one that drains closes them in order and
		// listens no more, and its calls go on.
		if how == ClosedRefused && u.lastConnReset {
			u.markDead()
		}
		u.scheduleReconnect()
	}
}

// backOff counts a try that came to nothing: the next waits longer, by chance.
func (u *upstream) backOff() {
	u.failedDials++
	u.retryAt = u.gateway.Now + math.Min(maxBackoff, initialBackoff*math.Pow(2, float64(min(u.failedDials, 10))))*(0.5+u.gateway.random())
}

// scheduleReconnect tries to connect once more, after a rest if the last try failed.
func (u *upstream) scheduleReconnect() {
	if u.reconnectTimer != nil || u.endpoint.State == routing.Gone {
		return
	}
	u.reconnectTimer = u.gateway.Timers.Schedule(math.Max(u.gateway.Now, u.retryAt), func() {
		u.reconnectTimer = nil
		if u.gateway.upstreams[u.endpoint] == u && len(u.conns) == 0 && (u.endpoint.State == routing.Ready || len(u.established) > 0) {
			u.dial()
		}
	})
}

// checkLiveness finds switches that have gone silent, and forgets what is over.
func (u *upstream) checkLiveness() {
	g := u.gateway
	for id, till := range u.canceled {
		if till < g.Now {
			delete(u.canceled, id)
		}
	}
	for id, e := range u.unknownEnds {
		if e.expiresAt < g.Now {
			delete(u.unknownEnds, id)
		}
	}
	busy := len(u.established) > 0
	for _, conn := range u.conns {
		busy = busy || len(conn.legs) > 0
	}
	if busy {
		away := 0.0 // how long no line has been up
		if u.connectedConns() == 0 {
			away = g.Now - u.disconnectedAt
		}
		switch liveness.Assess(g.Now-u.lastMessageAt, away, u.unansweredDials) {
		case liveness.Dead:
			for _, conn := range slices.Clone(u.conns) {
				conn.abort()
			}
			u.markDead()
		case liveness.Suspect:
			if u.reconnectTimer == nil && u.mayReconnect() && !slices.ContainsFunc(u.conns, func(conn *Conn) bool { return !conn.connected }) {
				u.freeConnSlot()
				u.dial()
			}
		}
	}
	u.maintainConns()
}

// freeConnSlot makes room for one more line: of those on which nothing is under way the oldest goes.
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

// markDead: the process there has ended and its calls with it.
func (u *upstream) markDead() {
	if len(u.established) == 0 {
		return
	}
	u.gateway.Metrics.EndpointsDead++
	u.releaseCalls(math.Inf(1))
}

// releaseCalls ends the calls that have stood there since before a time.
func (u *upstream) releaseCalls(before float64) {
	var of []*call
	for _, c := range u.established {
		if c.startedAt < before {
			of = append(of, c)
		}
	}
	slices.SortFunc(of, compareByID)
	for _, c := range of {
		u.gateway.Metrics.CallsCut++
		c.release(routing.Reset, binarymessage.Failure, false)
	}
}

// onRestart: the switch's process is a new one since a time.
func (u *upstream) onRestart(since float64) {
	u.startedAt = since
	u.releaseCalls(since)
}

// withdrawUnsent takes back the setups that have not left (rule 3).
func (u *upstream) withdrawUnsent() {
	for _, leg := range slices.Clone(u.waiting) {
		leg.cancel(routing.NotSent)
	}
	for _, conn := range u.conns {
		for _, leg := range slices.Clone(conn.legs) {
			if !leg.sent {
				leg.cancel(routing.NotSent)
			}
		}
	}
}

// closeAll: the switch is gone from the list.
func (u *upstream) closeAll() {
	u.releaseCalls(math.Inf(1))
	for _, conn := range slices.Clone(u.conns) {
		conn.close()
	}
	u.gateway.Timers.Cancel(u.reconnectTimer)
}

// changeAddress: the list names another address for the same switch.
func (u *upstream) changeAddress(to netip.AddrPort) {
	u.address = to
	for _, conn := range slices.Clone(u.conns) {
		conn.retired = true
		if len(conn.legs) == 0 {
			conn.close()
		}
	}
}
