package binarystandin

import (
	"net/netip"
	"slices"

	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/routing"
)

// Endpoint is a stand-in for a core switch.
type Endpoint struct {
	sim         *Simulation
	id          string
	addr        netip.AddrPort
	destination int
	state       routing.State
	unreachable bool // it does not respond, while its connections stay open
	crashed     bool // its process has ended
	conns       []*conn
	established map[uint64]bool  // by call id
	pending     map[uint64]*conn // connection of each setup without an answer, by call id
}

// crash ends the endpoint's process: its connections are reset and its calls are lost.
func (e *Endpoint) crash() {
	if e.crashed {
		return
	}
	e.crashed = true
	if !e.unreachable {
		e.sim.Checker.OnEndpointDied(e.sim.now, e.id)
	}
	for _, c := range slices.Clone(e.conns) {
		c.reset()
	}
}

// onMessage handles a message from the gateway.
func (e *Endpoint) onMessage(c *conn, m binarymessage.Message) {
	sim, faults, id := c.sim, &c.sim.Faults, m.CallID()
	if c.closed || e.unreachable || e.crashed {
		return
	}
	switch m.Type() {
	case binarymessage.Release:
		delete(e.pending, id)
		delete(e.established, id)
	case binarymessage.Setup:
		e.pending[id] = c
		wait := sim.AnswerTime * (0.5 + sim.Random())
		late := sim.happens(faults.Late)
		if late {
			wait = 1500 + 2000*sim.Random()
		}
		if sim.happens(faults.Unanswered) {
			return
		}
		sim.after(wait, func() { e.answer(c, id, late) })
	}
}

func (e *Endpoint) answer(c *conn, id uint64, late bool) {
	sim, faults := c.sim, &c.sim.Faults
	if c.closed || e.unreachable || e.crashed || e.pending[id] != c && !late {
		return
	}
	report := binarymessage.TextParam(binarymessage.LoadReport, "free:20;size:40;busy:0.4;q:1")
	switch {
	case sim.happens(faults.Reset):
		c.reset()
		return
	case sim.happens(faults.Malformed):
		delete(e.pending, id)
		c.sendRaw([]byte{0xff, 0xff, 'n', 'o', 'i', 's', 'e'})
		return
	case sim.happens(faults.Overloaded):
		delete(e.pending, id)
		c.send(
			binarymessage.Release,
			id,
			binarymessage.CauseParam(binarymessage.NoCircuit),
			binarymessage.TextParam(binarymessage.Note, "cpu_full"),
			binarymessage.TextParam(binarymessage.QueueDelay, "50"),
			report,
		)
		return
	case sim.happens(faults.Failed):
		delete(e.pending, id)
		c.send(binarymessage.Release, id, binarymessage.CauseParam(binarymessage.Fault), report)
		return
	}
	if sim.happens(faults.Unsolicited) {
		c.send(binarymessage.Answer, id^0xffff, binarymessage.TextParam(binarymessage.Description, "another's"), report)
	}
	delete(e.pending, id)
	e.established[id] = true
	times := 1
	if sim.happens(faults.Duplicate) {
		times = 2
	}
	for range times {
		c.send(binarymessage.Answer, id, binarymessage.TextParam(binarymessage.Description, "answer"), report)
	}
	sim.after(sim.HoldingTime*(0.5+sim.Random()), func() {
		if !e.established[id] || e.crashed || e.unreachable {
			return
		}
		delete(e.established, id)
		cause := byte(binarymessage.Normal)
		if sim.happens(faults.Cut) {
			cause = binarymessage.Failure
		}
		releaseConn := c
		if releaseConn.closed {
			if len(e.conns) == 0 {
				return
			}
			releaseConn = e.conns[0]
		}
		releaseConn.send(binarymessage.Release, id, binarymessage.CauseParam(cause), report)
	})
}
