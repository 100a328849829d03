// Package binaryconformance judges the rules of the platform from what crossed a gateway's sockets alone: messages as
// they were written or read there, connections as they came and went, and the lists that were delivered. It knows
// nothing of the gateway's state. Rule 4 needs all gateways together and is judged by package check and on the bench.
package binaryconformance

//tally:standin

import (
	"fmt"
	"math"
	"slices"

	"cobaltpier/internal/protocol/binarymessage"
)

// Rules are the figures of the rules, ms.
type Rules struct {
	AnswerGrace         float64 // after the timeout a final answer still counts
	DrainGrace          float64 // after hearing that a switch drains or is gone
	HoldOff             float64 // after a time-out, reset or cancel
	ReleaseWithin       float64 // a call that is over is released towards its caller within this
	ReleaseWithinSilent float64 // the same where nobody could say that it was over
}

// Finding is a broken rule.
type Finding struct {
	Rule        int // 6: what stood and is over was not released in time
	At          float64
	Call        uint64
	Description string
}

func (f Finding) String() string {
	return fmt.Sprintf("rule %d at %.1f ms, call %016x: %s", f.Rule, f.At, f.Call, f.Description)
}

// Checker takes what happens at one gateway, in order of time.
type Checker struct {
	Rules           Rules
	Findings        []Finding
	Totals          struct{ SetUps, Answers, Rejections, Attempts, Established int }
	now             float64
	calls           map[uint64]*call
	drainingSince   map[string]float64 // switch: when the gateway was told that it drains or is gone
	clientConnected bool               // the caller has a connection
	connectedSince  float64            // and since when
}

type call struct {
	id           uint64
	deadline     float64
	finalAnswer  byte // type of its final answer, 0: none
	callerGone   bool // its caller gave up, or its connection ended
	inFlight     *attempt
	attempts     []*attempt
	holdOffUntil float64
	endedAt      float64 // when what stood was over, +Inf: it stands or never stood
	released     bool    // released towards its caller, or by it
	established  bool
}

type attempt struct {
	endpoint string // the switch
	conn     int
}

// New makes a judge.
func New(r Rules) *Checker {
	return &Checker{Rules: r, calls: map[uint64]*call{}, drainingSince: map[string]float64{}}
}

func (k *Checker) report(rule int, callID uint64, format string, args ...any) {
	k.Findings = append(k.Findings, Finding{rule, k.now, callID, fmt.Sprintf(format, args...)})
}

// SetClientConnected says whether the callers have a connection to the gateway.
func (k *Checker) SetClientConnected(at float64, connected bool) {
	if k.now = at; connected && !k.clientConnected {
		k.connectedSince = at
	}
	k.clientConnected = connected
}

// OnEndpointState says that the gateway was told that a switch takes nothing more, or again.
func (k *Checker) OnEndpointState(at float64, endpoint string, ready bool) {
	if _, known := k.drainingSince[endpoint]; ready {
		delete(k.drainingSince, endpoint)
	} else if !known {
		k.drainingSince[endpoint] = at
	}
}

// OnClientMessage is a message that was written whole to a caller's connection. Only usual callers are judged by.
func (k *Checker) OnClientMessage(at float64, m binarymessage.Message) {
	k.now = at
	c := k.calls[m.Call()]
	switch m.Type() {
	case binarymessage.Setup:
		if c != nil {
			return
		}
		var timeout float64
		_, _ = fmt.Sscan(m.Text(binarymessage.Timeout), &timeout)
		k.calls[m.Call()] = &call{id: m.Call(), deadline: at + timeout, endedAt: math.Inf(1)}
		k.Totals.SetUps++
	case binarymessage.Release:
		if c == nil {
			return
		}
		c.callerGone = true
		if c.established {
			c.released = true
		}
	}
}

// OnClientGone takes the end of the connection of a call's setup, from the caller's side.
func (k *Checker) OnClientGone(id uint64) {
	if c := k.calls[id]; c != nil && c.finalAnswer == 0 {
		c.callerGone = true
	}
}

// OnMessageToClient is a message that the gateway wrote to a caller's connection.
func (k *Checker) OnMessageToClient(at float64, m binarymessage.Message) {
	k.now = at
	c := k.calls[m.Call()]
	if c == nil {
		if m.Type() == binarymessage.Answer {
			k.report(1, m.Call(), "answered, and nobody asked")
		}
		return
	}
	switch m.Type() {
	case binarymessage.Answer, binarymessage.Release:
	default:
		return
	}
	if m.Type() == binarymessage.Release && c.finalAnswer == binarymessage.Answer {
		if c.released && !c.callerGone {
			k.report(1, c.id, "released twice")
		}
		c.released = true
		if due := math.Max(c.endedAt, k.connectedSince) + k.Rules.ReleaseWithin; at > due && !c.callerGone {
			k.report(6, c.id, "was over at %.0f ms, and its caller was told %.0f ms late", c.endedAt, at-due)
		}
		return
	}
	if c.finalAnswer != 0 {
		k.report(1, c.id, "type %d after the final answer %d", m.Type(), c.finalAnswer)
		return
	}
	c.finalAnswer = m.Type()
	if m.Type() == binarymessage.Answer {
		k.Totals.Answers++
		if !c.established {
			k.report(1, c.id, "served with what no switch said")
		}
	} else {
		k.Totals.Rejections++
	}
	if !c.callerGone && at > c.deadline+k.Rules.AnswerGrace {
		k.report(1, c.id, "answered %.0f ms after its patience", at-c.deadline)
	}
}

// OnMessageToEndpoint is a message that left for a switch on one of its lines.
func (k *Checker) OnMessageToEndpoint(at float64, endpoint string, conn int, m binarymessage.Message) {
	k.now = at
	c := k.calls[m.Call()]
	switch m.Type() {
	case binarymessage.Setup:
		if c == nil {
			k.report(1, m.Call(), "a set-up that no caller sent")
			return
		}
		k.Totals.Attempts++
		switch {
		case c.finalAnswer != 0:
			k.report(1, c.id, "set-up after the final answer")
		case c.callerGone && at > c.deadline:
			k.report(1, c.id, "set-up after the patience")
		}
		if c.inFlight != nil {
			k.report(2, c.id, "a ring to %s while one to %s is out", endpoint, c.inFlight.endpoint)
		}
		if since, draining := k.drainingSince[endpoint]; draining && at > since+k.Rules.DrainGrace {
			k.report(3, c.id, "set-up to %s %.0f ms after it was told off", endpoint, at-since)
		}
		if at < c.holdOffUntil {
			k.report(5, c.id, "set-up %.1f ms before the clear wait was over", c.holdOffUntil-at)
		}
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
		if c.finalAnswer == 0 { // the answer crossed the giving up
			c.established, c.holdOffUntil = false, at+k.Rules.HoldOff
			return
		}
		c.endedAt = at
		c.released = c.released || c.callerGone
	}
}

// OnEndpointMessage is a message of a switch that the gateway read.
func (k *Checker) OnEndpointMessage(at float64, endpoint string, conn int, m binarymessage.Message) {
	k.now = at
	c := k.calls[m.Call()]
	if c == nil {
		return
	}
	current := c.inFlight != nil && c.inFlight.endpoint == endpoint && c.inFlight.conn == conn
	switch m.Type() {
	case binarymessage.Answer:
		if _, complete := m.Get(binarymessage.Description); current && complete {
			c.inFlight, c.established = nil, true
			k.Totals.Established++
		}
	case binarymessage.Release:
		switch {
		case current:
			c.inFlight = nil
			switch m.Cause() {
			case binarymessage.NoCircuit, binarymessage.UserBusy, binarymessage.Fault, binarymessage.NeverSent:
			default:
				c.holdOffUntil = at + k.Rules.HoldOff
			}
		case c.established && c.attempts[len(c.attempts)-1].endpoint == endpoint && c.endedAt > at:
			c.endedAt = at
		}
	}
}

// OnConnClosed takes the end of a connection to an endpoint, from either side: its attempts have ended too.
func (k *Checker) OnConnClosed(at float64, endpoint string, conn int) {
	k.now = at
	for _, c := range k.calls {
		if c.inFlight != nil && c.inFlight.endpoint == endpoint && c.inFlight.conn == conn {
			c.inFlight = nil
			c.holdOffUntil = at + k.Rules.HoldOff
		}
	}
}

// OnEndpointDied takes the end of an endpoint without any message: its calls have ended with it.
func (k *Checker) OnEndpointDied(at float64, endpoint string) {
	for _, c := range k.calls {
		if c.established && c.attempts[len(c.attempts)-1].endpoint == endpoint && c.endedAt > at {
			c.endedAt = at + k.Rules.ReleaseWithinSilent - k.Rules.ReleaseWithin
		}
	}
}

// Finish judges what can be judged only at the end.
func (k *Checker) Finish(at float64) {
	k.now = at
	ids := make([]uint64, 0, len(k.calls))
	for id := range k.calls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		c := k.calls[id]
		if c.finalAnswer == 0 && !c.callerGone && at > c.deadline+k.Rules.AnswerGrace {
			k.report(1, id, "never answered")
		}
		if c.finalAnswer == binarymessage.Answer && !c.released && !c.callerGone && k.clientConnected &&
			at > math.Max(c.endedAt, k.connectedSince)+k.Rules.ReleaseWithin {
			k.report(6, id, "was over at %.0f ms, and its caller was not told", c.endedAt)
		}
	}
}
