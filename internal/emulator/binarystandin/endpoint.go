package binarystandin

import (
	"net/netip"
	"slices"

	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/routing"
)

// Endpoint is a stand-in for a core switch.
type Endpoint struct {
	w           *World
	id          string
	addr        netip.AddrPort
	destination int
	state       routing.State
	vanished    bool
	dead        bool
	conns       []*conn
	established map[uint64]bool
	pending     map[uint64]*conn
}

// crash ends the endpoint's process: its connections are reset and its calls are lost.
func (s *Endpoint) crash() {
	if s.dead {
		return
	}
	s.dead = true
	if !s.vanished {
		s.w.Checker.OnEndpointDied(s.w.now, s.id)
	}
	for _, c := range slices.Clone(s.conns) {
		c.reset()
	}
}

// onMessage handles a message from the gateway.
func (s *Endpoint) onMessage(c *conn, m binarymessage.Message) {
	w, faults, id := c.w, &c.w.Faults, m.Call()
	if c.closed || s.vanished || s.dead {
		return
	}
	switch m.Type() {
	case binarymessage.Release:
		delete(s.pending, id)
		delete(s.established, id)
	case binarymessage.Setup:
		s.pending[id] = c
		wait := w.AnswerTime * (0.5 + w.Chance())
		late := w.happens(faults.Late)
		if late {
			wait = 1500 + 2000*w.Chance()
		}
		if w.happens(faults.Unanswered) {
			return
		}
		w.after(wait, func() { s.answer(c, id, late) })
	}
}

func (s *Endpoint) answer(c *conn, id uint64, late bool) {
	w, faults := c.w, &c.w.Faults
	if c.closed || s.vanished || s.dead || s.pending[id] != c && !late {
		return
	}
	report := binarymessage.TextParam(binarymessage.Report, "free:20;size:40;busy:0.4;q:1")
	switch {
	case w.happens(faults.Reset):
		c.reset()
		return
	case w.happens(faults.Malformed):
		delete(s.pending, id)
		c.sendRaw([]byte{0xff, 0xff, 'n', 'o', 'i', 's', 'e'})
		return
	case w.happens(faults.Overloaded):
		delete(s.pending, id)
		c.send(
			binarymessage.Release,
			id,
			binarymessage.CauseParam(binarymessage.NoCircuit),
			binarymessage.TextParam(binarymessage.Note, "cpu_full"),
			binarymessage.TextParam(binarymessage.QueueDelay, "50"),
			report,
		)
		return
	case w.happens(faults.Failed):
		delete(s.pending, id)
		c.send(binarymessage.Release, id, binarymessage.CauseParam(binarymessage.Fault), report)
		return
	}
	if w.happens(faults.Unsolicited) {
		c.send(binarymessage.Answer, id^0xffff, binarymessage.TextParam(binarymessage.Description, "another's"), report)
	}
	delete(s.pending, id)
	s.established[id] = true
	times := 1
	if w.happens(faults.Duplicate) {
		times = 2
	}
	for range times {
		c.send(binarymessage.Answer, id, binarymessage.TextParam(binarymessage.Description, "answer"), report)
	}
	w.after(w.HoldingTime*(0.5+w.Chance()), func() {
		if !s.established[id] || s.dead || s.vanished {
			return
		}
		delete(s.established, id)
		cause := byte(binarymessage.Normal)
		if w.happens(faults.Cut) {
			cause = binarymessage.Failure
		}
		releaseConn := c
		if releaseConn.closed {
			if len(s.conns) == 0 {
				return
			}
			releaseConn = s.conns[0]
		}
		releaseConn.send(binarymessage.Release, id, binarymessage.CauseParam(cause), report)
	})
}
