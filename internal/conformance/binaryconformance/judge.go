// Package binaryconformance judges the rules of the platform from what crossed a gateway's sockets alone: messages as they were
// written or read there, connections as they came and went, and the lists that were delivered. It knows nothing of the
// gateway's state. Rule 4 needs all gateways together and is judged by package check and on the bench.
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
	Slack    float64 // after the timeout a final answer still counts
	Grace    float64 // after hearing that a switch drains or is gone
	Clear    float64 // after a time-out, reset or cancel
	Told     float64 // a call that is over is released towards its caller within this
	ToldElse float64 // the same where nobody could say that it was over
}

// Finding is a broken rule.
type Finding struct {
	Rule int // 6: what stood and is over was not released in time
	At   float64
	Call uint64
	What string
}

func (f Finding) String() string {
	return fmt.Sprintf("rule %d at %.1f ms, call %016x: %s", f.Rule, f.At, f.Call, f.What)
}

// Judge takes what happens at one gateway, in order of time.
type Judge struct {
	Rules    Rules
	Findings []Finding
	Totals   struct{ SetUps, Answers, Refusals, Rings, Stood int }
	now      float64
	calls    map[uint64]*call
	told     map[string]float64 // switch: when the gateway was told that it drains or is gone
	present  bool               // the caller has a connection
	since    float64            // and since when
}

type call struct {
	id     uint64
	until  float64
	final  byte // type of its final answer, 0: none
	left   bool // its caller gave up, or its connection ended
	out    *ring
	rings  []*ring
	clear  float64
	over   float64 // when what stood was over, +Inf: it stands or never stood
	freed  bool    // released towards its caller, or by it
	stands bool
}

type ring struct {
	to   string // the switch
	line int
}

// New makes a judge.
func New(r Rules) *Judge {
	return &Judge{Rules: r, calls: map[uint64]*call{}, told: map[string]float64{}}
}

func (j *Judge) broke(rule int, c uint64, what string, of ...any) {
	j.Findings = append(j.Findings, Finding{rule, j.now, c, fmt.Sprintf(what, of...)})
}

// Present says whether the callers have a connection to the gateway.
func (j *Judge) Present(at float64, yes bool) {
	if j.now = at; yes && !j.present {
		j.since = at
	}
	j.present = yes
}

// Listed says that the gateway was told that a switch takes nothing more, or again.
func (j *Judge) Listed(at float64, who string, ready bool) {
	if _, known := j.told[who]; ready {
		delete(j.told, who)
	} else if !known {
		j.told[who] = at
	}
}

// FromCaller is a message that was written whole to a caller's connection. Only usual callers are judged by.
func (j *Judge) FromCaller(at float64, m binarymessage.Message) {
	j.now = at
	c := j.calls[m.Call()]
	switch m.Type() {
	case binarymessage.Setup:
		if c != nil {
			return
		}
		var wait float64
		fmt.Sscan(m.Text(binarymessage.Timeout), &wait)
		j.calls[m.Call()] = &call{id: m.Call(), until: at + wait, over: math.Inf(1)}
		j.Totals.SetUps++
	case binarymessage.Release:
		if c == nil {
			return
		}
		c.left = true
		if c.stands {
			c.freed = true
		}
	}
}

// CallerGone: the connection of a call's setup has ended from the caller's side.
func (j *Judge) CallerGone(id uint64) {
	if c := j.calls[id]; c != nil && c.final == 0 {
		c.left = true
	}
}

// ToCaller is a message that the gateway wrote to a caller's connection.
func (j *Judge) ToCaller(at float64, m binarymessage.Message) {
	j.now = at
	c := j.calls[m.Call()]
	if c == nil {
		if m.Type() == binarymessage.Answer {
			j.broke(1, m.Call(), "answered, and nobody asked")
		}
		return
	}
	switch m.Type() {
	case binarymessage.Answer, binarymessage.Release:
	default:
		return
	}
	if m.Type() == binarymessage.Release && c.final == binarymessage.Answer {
		if c.freed && !c.left {
			j.broke(1, c.id, "released twice")
		}
		c.freed = true
		if due := math.Max(c.over, j.since) + j.Rules.Told; at > due && !c.left {
			j.broke(6, c.id, "was over at %.0f ms, and its caller was told %.0f ms late", c.over, at-due)
		}
		return
	}
	if c.final != 0 {
		j.broke(1, c.id, "type %d after the final answer %d", m.Type(), c.final)
		return
	}
	c.final = m.Type()
	if m.Type() == binarymessage.Answer {
		j.Totals.Answers++
		if !c.stands {
			j.broke(1, c.id, "served with what no switch said")
		}
	} else {
		j.Totals.Refusals++
	}
	if !c.left && at > c.until+j.Rules.Slack {
		j.broke(1, c.id, "answered %.0f ms after its patience", at-c.until)
	}
}

// ToSwitch is a message that left for a switch on one of its lines.
func (j *Judge) ToSwitch(at float64, who string, line int, m binarymessage.Message) {
	j.now = at
	c := j.calls[m.Call()]
	switch m.Type() {
	case binarymessage.Setup:
		if c == nil {
			j.broke(1, m.Call(), "a set-up that no caller sent")
			return
		}
		j.Totals.Rings++
		switch {
		case c.final != 0:
			j.broke(1, c.id, "set-up after the final answer")
		case c.left && at > c.until:
			j.broke(1, c.id, "set-up after the patience")
		}
		if c.out != nil {
			j.broke(2, c.id, "a ring to %s while one to %s is out", who, c.out.to)
		}
		if told, ok := j.told[who]; ok && at > told+j.Rules.Grace {
			j.broke(3, c.id, "set-up to %s %.0f ms after it was told off", who, at-told)
		}
		if at < c.clear {
			j.broke(5, c.id, "set-up %.1f ms before the clear wait was over", c.clear-at)
		}
		c.out = &ring{who, line}
		c.rings = append(c.rings, c.out)
	case binarymessage.Release:
		if c == nil {
			return
		}
		if c.out != nil && c.out.to == who {
			c.out = nil
			c.clear = at + j.Rules.Clear
			return
		}
		if !c.stands || c.rings[len(c.rings)-1].to != who || c.over <= at {
			return
		}
		if c.final == 0 { // the answer crossed the giving up
			c.stands, c.clear = false, at+j.Rules.Clear
			return
		}
		c.over = at
		c.freed = c.freed || c.left
	}
}

// FromSwitch is a message of a switch that the gateway read.
func (j *Judge) FromSwitch(at float64, who string, line int, m binarymessage.Message) {
	j.now = at
	c := j.calls[m.Call()]
	if c == nil {
		return
	}
	mine := c.out != nil && c.out.to == who && c.out.line == line
	switch m.Type() {
	case binarymessage.Answer:
		if _, whole := m.Get(binarymessage.Description); mine && whole {
			c.out, c.stands = nil, true
			j.Totals.Stood++
		}
	case binarymessage.Release:
		switch {
		case mine:
			c.out = nil
			switch m.Cause() {
			case binarymessage.NoCircuit, binarymessage.UserBusy, binarymessage.Fault, binarymessage.NeverSent:
			default:
				c.clear = at + j.Rules.Clear
			}
		case c.stands && c.rings[len(c.rings)-1].to == who && c.over > at:
			c.over = at
		}
	}
}

// LineGone: a line has ended, from either side; the attempts on it have too.
func (j *Judge) LineGone(at float64, who string, line int) {
	j.now = at
	for _, c := range j.calls {
		if c.out != nil && c.out.to == who && c.out.line == line {
			c.out = nil
			c.clear = at + j.Rules.Clear
		}
	}
}

// Died: a switch has ended without a word, and its calls with it.
func (j *Judge) Died(at float64, who string) {
	for _, c := range j.calls {
		if c.stands && c.rings[len(c.rings)-1].to == who && c.over > at {
			c.over = at + j.Rules.ToldElse - j.Rules.Told
		}
	}
}

// Finish judges what can be judged only at the end.
func (j *Judge) Finish(at float64) {
	j.now = at
	ids := make([]uint64, 0, len(j.calls))
	for id := range j.calls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		c := j.calls[id]
		if c.final == 0 && !c.left && at > c.until+j.Rules.Slack {
			j.broke(1, id, "never answered")
		}
		if c.final == binarymessage.Answer && !c.freed && !c.left && j.present && at > math.Max(c.over, j.since)+j.Rules.Told {
			j.broke(6, id, "was over at %.0f ms, and its caller was not told", c.over)
		}
	}
}
