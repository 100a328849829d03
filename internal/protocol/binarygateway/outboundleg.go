package binarygateway

import (
	"math"
	"slices"
	"strconv"

	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/routing"
	"cobaltpier/internal/timerqueue"
)

// outboundLeg is the setup of one attempt, waiting to be sent to an endpoint or in flight there.
type outboundLeg struct {
	call     *call
	attempt  *routing.Attempt // nil once its end has been reported
	upstream *upstream
	conn     *Conn // nil while it waits for a connection
	timeout  *timerqueue.Timer
	sent     bool // its setup was handed to the driver
	// unflushed is set while the driver has not yet sent all of the write that holds the setup.
	unflushed bool
	// releaseMark stands for the releases that were sent on the connection before the setup.
	releaseMark uint64
	ended       bool // its end has been reported, or is about to be
	// answeredLate is set when an answer to an earlier, canceled attempt of the call arrives from this endpoint.
	// The call established by that answer is released once this leg has ended without an answer.
	answeredLate bool
}

// setupMessage returns the setup for the endpoint: class, called number and description as the client sent them,
// and the ms that remain until this gateway gives up.
func (l *outboundLeg) setupMessage() []byte {
	clientSetup := binarymessage.Message(l.call.setup)
	g := l.upstream.gateway
	remaining := math.Max(1, l.call.Deadline+g.config.AnswerMargin-g.Now)
	var params []binarymessage.Param
	for _, code := range []byte{
		binarymessage.Class, binarymessage.Timeout, binarymessage.Number, binarymessage.Description,
	} {
		if code == binarymessage.Timeout {
			params = append(params, binarymessage.TextParam(code, strconv.Itoa(int(remaining))))
		} else if value, ok := clientSetup.Get(code); ok {
			params = append(params, binarymessage.Param{Code: code, Value: value})
		}
	}
	return binarymessage.Append(nil, binarymessage.Setup, l.call.id, params...)
}

// onConnectTimeout ends a leg that got no connection in time.
func (l *outboundLeg) onConnectTimeout() {
	i := slices.Index(l.upstream.waitingLegs, l)
	if i < 0 || l.ended {
		return
	}
	l.upstream.waitingLegs = slices.Delete(l.upstream.waitingLegs, i, i+1)
	l.ended = true
	l.finish(routing.ConnectionRefused)
}

// cancel gives up a leg. If its setup was not sent, it ends as not sent, whatever the given outcome. Otherwise a
// release is sent, and the leg ends with the given outcome once that has been sent. A setup that the driver still holds
// would leave after the call's final answer (rule 1): its connection, which takes no data, is closed.
func (l *outboundLeg) cancel(outcome routing.Outcome) {
	if l.ended {
		return
	}
	g := l.upstream.gateway
	l.ended = true
	g.Timers.Cancel(l.timeout)
	if l.withdraw() {
		g.Metrics.Withdrawn++
		g.Timers.Schedule(g.Now, func() { l.finish(routing.NotSent) })
		return
	}
	if l.unflushed {
		g.Metrics.BlockedSetups++
		l.conn.abort()
	}
	l.releaseSetup(l.conn, outcome)
}

// releaseSetup releases the setup at the endpoint, on the given connection if it is open. The leg ends with the given
// outcome once the release has been sent: no later attempt of the call may overtake it. If no connection accepts
// writes, the release waits for the next one, but the leg ends at once.
func (l *outboundLeg) releaseSetup(conn *Conn, outcome routing.Outcome) {
	g := l.upstream.gateway
	l.upstream.sendRelease(conn, l.call.id, binarymessage.Normal, func() {
		g.Timers.Schedule(g.Now, func() { l.finish(outcome) })
	})
}

// withdraw removes the setup from its queue. It returns false if the setup was already sent.
func (l *outboundLeg) withdraw() bool {
	if l.conn != nil {
		return l.conn.withdraw(l)
	}
	l.upstream.waitingLegs = slices.DeleteFunc(l.upstream.waitingLegs, func(other *outboundLeg) bool { return other == l })
	return true
}

// onConnClosed ends a leg whose connection has closed. If the leg is being canceled, the cancel reports its end.
func (l *outboundLeg) onConnClosed() {
	if l.attempt == nil || l.ended {
		return
	}
	g := l.upstream.gateway
	l.ended = true
	if l.sent { // an answer may have been lost unread, and the call would remain established at the endpoint
		l.releaseSetup(nil, routing.Reset)
		return
	}
	g.Timers.Schedule(g.Now, func() { l.finish(routing.NotSent) })
}

// finish reports the outcome of the attempt. Only the first call has an effect.
func (l *outboundLeg) finish(outcome routing.Outcome) {
	if l.attempt == nil {
		return
	}
	attempt, call, g := l.attempt, l.call, l.upstream.gateway
	l.attempt, l.ended = nil, true
	g.Timers.Cancel(l.timeout)
	if l.conn != nil {
		l.conn.removeLeg(l)
	}
	if call.leg == l {
		call.leg = nil
	}
	if l.answeredLate {
		l.upstream.releaseLateAnswer(call.id, l.conn)
	}
	call.EndAttempt(attempt, outcome, call.Finished)
}

func (c *Conn) removeLeg(leg *outboundLeg) {
	c.legs = slices.DeleteFunc(c.legs, func(other *outboundLeg) bool { return other == leg })
}

// legOf returns the leg of a call on this connection, or nil if there is none.
func (c *Conn) legOf(id uint64) *outboundLeg {
	for _, leg := range c.legs {
		if leg.call.id == id {
			return leg
		}
	}
	return nil
}

// activeLeg returns the leg of a call that is in flight on any connection to this endpoint and not canceled. It
// returns nil if there is none.
func (u *upstream) activeLeg(id uint64) *outboundLeg {
	for _, conn := range u.conns {
		if leg := conn.legOf(id); leg != nil && !leg.ended {
			return leg
		}
	}
	return nil
}
