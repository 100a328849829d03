// Package binaryconformance checks the rules for the binary gateway using only what is visible at one gateway's
// sockets: the messages written and read, connections opened and closed, and the endpoint lists delivered. It sees
// nothing of the gateway's internal state. Rule 4 concerns all gateways together and is checked by package
// conformance and on the platform's simulator. Rules 6 to 8 are this package's own: a call that has ended is released
// towards its caller in time; a call that must not be executed twice is neither attempted again nor rejected once it
// may have been executed; a call that is over for its caller is released at its switch.
package binaryconformance

//tally:standin

import (
	"fmt"
	"math"
	"slices"

	"cobaltpier/internal/protocol/binarymessage"
)

// Rules are the limits that the rules set, ms.
type Rules struct {
	AnswerGrace         float64 // a final answer may come this long after the timeout
	DrainGrace          float64 // setups may be sent this long after the gateway is told that a switch drains or is gone
	HoldOff             float64 // no attempt of the call for this long after a time-out, reset or cancel
	ReleaseWithin       float64 // a call that has ended is released towards its caller within this
	ReleaseWithinSilent float64 // the same if it ended without a message; and for its release at the switch
	// NonIdempotent holds the classes whose calls must not be executed twice.
	NonIdempotent map[string]bool
}

// Finding is one violation of a rule.
type Finding struct {
	Rule        int // 6 to 8: see the package
	At          float64
	Call        uint64
	Description string
}

func (f Finding) String() string {
	return fmt.Sprintf("rule %d at %.1f ms, call %016x: %s", f.Rule, f.At, f.Call, f.Description)
}

// Checker checks the events at one gateway. They are reported in order of time.
type Checker struct {
	Rules           Rules
	Findings        []Finding
	Setups          struct{ SetUps, Answers, Rejections, Attempts, Established int }
	now             float64
	calls           map[uint64]*call
	drainingSince   map[string]float64 // by switch: when the gateway was told that it drains or is gone
	clientConnected bool               // the callers have a connection
	connectedSince  float64            // since when they have one
	closedConns     map[int]bool       // the callers' connections that have closed
	reachableSince  map[string]float64 // by switch: when it was silent last
}

type call struct {
	id           uint64
	deadline     float64
	idempotent   bool
	executed     int  // setups that a switch has received and may have executed
	finalAnswer  byte // message type; 0 if there is none yet
	callerGone   bool // the caller gave up, or its connection was closed
	inFlight     *attempt
	attempts     []*attempt
	holdOffUntil float64
	endedAt      float64 // when the established call ended, +Inf: it has not ended or was never established
	unreadable   bool    // the switch's release can't be read, and it has not repeated the release
	released     bool    // released towards the caller, or by it
	releasedOn   int     // the caller's connection on which it was released
	releases     int     // towards the caller that were not lost
	overAt       float64 // when the established call was over for its caller, who released it or was told; +Inf: it is not
	established  bool
}

type attempt struct {
	endpoint string // ID of the switch
	conn     int
}

// New returns a checker with the given limits.
func New(r Rules) *Checker {
	return &Checker{
		Rules:          r,
		calls:          map[uint64]*call{},
		drainingSince:  map[string]float64{},
		closedConns:    map[int]bool{},
		reachableSince: map[string]float64{},
	}
}

func (k *Checker) report(rule int, callID uint64, format string, args ...any) {
	k.Findings = append(k.Findings, Finding{rule, k.now, callID, fmt.Sprintf(format, args...)})
}

// SetClientConnected tells the checker whether the callers have a connection to the gateway.
func (k *Checker) SetClientConnected(at float64, connected bool) {
	if k.now = at; connected && !k.clientConnected {
		k.connectedSince = at
	}
	k.clientConnected = connected
}

// OnEndpointState tells the checker that the gateway was told whether a switch is ready.
func (k *Checker) OnEndpointState(at float64, endpoint string, ready bool) {
	if _, known := k.drainingSince[endpoint]; ready {
		delete(k.drainingSince, endpoint)
	} else if !known {
		k.drainingSince[endpoint] = at
	}
}

// OnClientMessage tells the checker of a message that a caller wrote completely. The checker expects callers that keep
// to the protocol.
func (k *Checker) OnClientMessage(at float64, m binarymessage.Message) {
	k.now = at
	c := k.calls[m.CallID()]
	switch m.Type() {
	case binarymessage.Setup:
		if c != nil {
			return
		}
		var timeout float64
		_, _ = fmt.Sscan(m.Text(binarymessage.Timeout), &timeout)
		k.calls[m.CallID()] = &call{id: m.CallID(), deadline: at + timeout, endedAt: math.Inf(1), overAt: math.Inf(1),
			idempotent: !k.Rules.NonIdempotent[m.Text(binarymessage.Class)]}
		k.Setups.SetUps++
	case binarymessage.Release:
		if c == nil {
			return
		}
		c.callerGone = true
		if c.established {
			c.released, c.overAt = true, math.Min(c.overAt, at)
		}
	}
}

// OnClientConnClosed reports that a caller's connection has closed. What was written on it may not have been read.
func (k *Checker) OnClientConnClosed(conn int) { k.closedConns[conn] = true }

// OnCallAbandoned reports that the caller closed the connection on which it sent a call's setup.
func (k *Checker) OnCallAbandoned(id uint64) {
	if c := k.calls[id]; c != nil && c.finalAnswer == 0 {
		c.callerGone = true
	}
}

// OnMessageToClient reports a message that the gateway wrote to a caller's connection.
func (k *Checker) OnMessageToClient(at float64, conn int, m binarymessage.Message) {
	k.now = at
	c := k.calls[m.CallID()]
	if c == nil {
		if m.Type() == binarymessage.Answer {
			k.report(1, m.CallID(), "answer to a call that no caller sent")
		}
		return
	}
	switch m.Type() {
	case binarymessage.Answer, binarymessage.Release:
	default:
		return
	}
	if m.Type() == binarymessage.Release && c.finalAnswer == binarymessage.Answer {
		k.onReleaseToClient(c, at, conn)
		return
	}
	if c.finalAnswer != 0 {
		k.report(1, c.id, "message type %d after the final answer, type %d", m.Type(), c.finalAnswer)
		return
	}
	c.finalAnswer = m.Type()
	if m.Type() == binarymessage.Answer {
		k.Setups.Answers++
		if !c.established {
			k.report(1, c.id, "answered without an answer of a switch")
		}
	} else {
		k.Setups.Rejections++
		k.checkRejection(c, m.Cause())
	}
	if !c.callerGone && at > c.deadline+k.Rules.AnswerGrace {
		k.report(1, c.id, "final answer %.0f ms after the deadline", at-c.deadline)
	}
}

// onReleaseToClient checks a release after the answer. The first one has to be in time; another is allowed if the
// connection of the one before has closed, as that one may not have been read.
func (k *Checker) onReleaseToClient(c *call, at float64, conn int) {
	again := c.released && !c.callerGone
	c.released = true
	c.releases++
	if again && !k.closedConns[c.releasedOn] {
		k.report(1, c.id, "released twice")
	}
	c.releasedOn, c.overAt = conn, math.Min(c.overAt, at)
	if due := math.Max(c.endedAt, k.connectedSince) + k.Rules.ReleaseWithin; at > due && !again && !c.callerGone {
		k.report(6, c.id, "ended at %.0f ms, but the release to the caller was %.0f ms late", c.endedAt, at-due)
	}
}

// OnUnreadByClient reports a message that the gateway wrote to a caller's connection and that was lost with it.
func (k *Checker) OnUnreadByClient(m binarymessage.Message) {
	c := k.calls[m.CallID()]
	if c == nil || m.Type() != binarymessage.Release || c.finalAnswer != binarymessage.Answer {
		return
	}
	c.releases--
	c.released = c.released && (c.callerGone || c.releases > 0)
}

// checkRejection checks the promise of a rejection: trying again is harmless.
func (k *Checker) checkRejection(c *call, cause byte) {
	switch cause {
	case binarymessage.NoCircuit, binarymessage.Congested, binarymessage.NeverSent:
		if !c.idempotent && c.executed > 0 {
			k.report(7, c.id, "rejected with cause %d although a switch may have executed it", cause)
		}
	}
}

// OnMessageToEndpoint reports a message that the gateway wrote to one of its connections to a switch.
func (k *Checker) OnMessageToEndpoint(at float64, endpoint string, conn int, m binarymessage.Message) {
	k.now = at
	c := k.calls[m.CallID()]
	switch m.Type() {
	case binarymessage.Setup:
		if c == nil {
			k.report(1, m.CallID(), "setup of a call that no caller sent")
			return
		}
		k.Setups.Attempts++
		switch {
		case c.finalAnswer != 0:
			k.report(1, c.id, "setup after the final answer")
		case c.callerGone && at > c.deadline:
			k.report(1, c.id, "setup after the deadline")
		}
		if c.inFlight != nil {
			k.report(2, c.id, "attempt at %s while one at %s is in flight", endpoint, c.inFlight.endpoint)
		}
		if since, draining := k.drainingSince[endpoint]; draining && at > since+k.Rules.DrainGrace {
			k.report(3, c.id, "setup to %s %.0f ms after the gateway was told that it drains or is gone", endpoint, at-since)
		}
		if at < c.holdOffUntil {
			k.report(5, c.id, "setup %.1f ms before the hold-off was over", c.holdOffUntil-at)
		}
		if !c.idempotent && c.executed > 0 {
			k.report(7, c.id, "attempt at %s although a switch may have executed an earlier one", endpoint)
		}
		c.executed++
		c.inFlight = &attempt{endpoint, conn}
		c.attempts = append(c.attempts, c.inFlight)
	case binarymessage.Release:
		if c == nil {
			return
		}
		if c.inFlight != nil && c.inFlight.endpoint == endpoint {
			c.inFlight = nil
			c.holdOffUntil = at + k.Rules.HoldOff
			return
		}
		if !c.established || c.attempts[len(c.attempts)-1].endpoint != endpoint || c.endedAt <= at {
			return
		}
		if c.finalAnswer == 0 { // the answer and this release crossed
			c.established, c.holdOffUntil = false, at+k.Rules.HoldOff
			return
		}
		c.endedAt = at
		c.released = c.released || c.callerGone
	}
}

// OnEndpointMessage reports a message of a switch that the gateway read.
func (k *Checker) OnEndpointMessage(at float64, endpoint string, conn int, m binarymessage.Message) {
	k.now = at
	c := k.calls[m.CallID()]
	if c == nil {
		return
	}
	current := c.inFlight != nil && c.inFlight.endpoint == endpoint && c.inFlight.conn == conn
	switch m.Type() {
	case binarymessage.Answer:
		if _, complete := m.Get(binarymessage.Description); current && complete {
			c.inFlight, c.established = nil, true
			k.Setups.Established++
		}
	case binarymessage.Release:
		switch {
		case current:
			c.inFlight = nil
			switch m.Cause() {
			case binarymessage.NoCircuit, binarymessage.NeverSent: // the switch says that it was not executed
				c.executed--
			case binarymessage.UserBusy, binarymessage.Fault:
			default:
				c.holdOffUntil = at + k.Rules.HoldOff
			}
		case c.isEstablishedAt(endpoint):
			k.checkOver(c, math.Min(c.endedAt, at))
			c.endedAt = math.Min(c.endedAt, at)
			c.unreadable = false
		}
	}
}

// checkOver checks that a call which was still established at its switch at a time was not over for its caller long
// before.
func (k *Checker) checkOver(c *call, at float64) {
	since := math.Max(c.overAt, k.reachableSince[c.attempts[len(c.attempts)-1].endpoint])
	if at > since+k.Rules.ReleaseWithinSilent {
		k.report(8, c.id, "established at its switch %.0f ms after it was over for its caller", at-since)
	}
}

// OnUnreadableRelease reports a release that a switch sent and that the gateway can't read, because a message before it
// had a wrong length. The switch repeats it on the next connection that the gateway opens.
func (k *Checker) OnUnreadableRelease(at float64, endpoint string, callID uint64) {
	k.now = at
	if c := k.calls[callID]; c != nil && c.isEstablishedAt(endpoint) && c.endedAt > at {
		c.endedAt, c.unreadable = at, true
	}
}

func (c *call) isEstablishedAt(endpoint string) bool {
	return c.established && c.attempts[len(c.attempts)-1].endpoint == endpoint
}

// OnConnClosed reports that either side closed a connection to a switch; its attempts have ended too.
func (k *Checker) OnConnClosed(at float64, endpoint string, conn int) {
	k.now = at
	for _, c := range k.calls {
		if c.inFlight != nil && c.inFlight.endpoint == endpoint && c.inFlight.conn == conn {
			c.inFlight = nil
			c.holdOffUntil = at + k.Rules.HoldOff
		}
	}
}

// OnEndpointDied reports that a switch ended without any message; its calls have ended too.
func (k *Checker) OnEndpointDied(at float64, endpoint string) {
	k.OnEndpointSilent(at, endpoint)
	for _, c := range k.calls {
		if c.isEstablishedAt(endpoint) && c.endedAt > at {
			c.endedAt = at + k.Rules.ReleaseWithinSilent - k.Rules.ReleaseWithin
		}
	}
}

// OnEndpointSilent reports that a switch can send nothing for some time. An unreadable release can't be repeated then,
// so it counts as not sent.
func (k *Checker) OnEndpointSilent(at float64, endpoint string) {
	k.now = at
	for _, c := range k.calls {
		if c.isEstablishedAt(endpoint) && c.unreadable {
			c.endedAt += k.Rules.ReleaseWithinSilent - k.Rules.ReleaseWithin
			c.unreadable = false
		}
	}
}

// OnEndpointReachable reports that a switch that was silent sends and receives again.
func (k *Checker) OnEndpointReachable(at float64, endpoint string) { k.reachableSince[endpoint] = at }

// Finish checks what can be checked only at the end.
func (k *Checker) Finish(at float64) {
	k.now = at
	ids := make([]uint64, 0, len(k.calls))
	for id := range k.calls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		c := k.calls[id]
		if c.established && math.IsInf(c.endedAt, 1) {
			k.checkOver(c, at)
		}
		if c.finalAnswer == 0 && !c.callerGone && at > c.deadline+k.Rules.AnswerGrace {
			k.report(1, id, "no final answer")
		}
		if c.finalAnswer == binarymessage.Answer && !c.released && !c.callerGone && k.clientConnected &&
			at > math.Max(c.endedAt, k.connectedSince)+k.Rules.ReleaseWithin {
			k.report(6, id, "ended at %.0f ms, but was not released towards its caller", c.endedAt)
		}
	}
}
