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
	silent      bool // it neither sends nor receives for some time, and goes on where it was
	crashed     bool // its process has ended
	conns       []*conn
	established map[uint64]bool  // by call id
	pending     map[uint64]*conn // connection of each setup without an answer, by call id
	repeated    []release        // releases since the latest connection was opened: sent again on the next one
}

// release is the release of a call that has ended at the endpoint.
type release struct {
	callID uint64
	cause  byte
}

// onConnected opens a connection: the endpoint reports its load and repeats the releases.
func (e *Endpoint) onConnected(c *conn) {
	c.endpoint = e
	e.conns = append(e.conns, c)
	e.sim.Gateway.OnConnected(e.sim.now, c.gatewayConn)
	c.send(binarymessage.LoadState, 0, binarymessage.TextParam(binarymessage.LoadReport, "free:20;size:40;busy:-1;q:-1"))
	repeated := e.repeated
	e.repeated = nil
	for _, r := range repeated {
		c.send(binarymessage.Release, r.callID, binarymessage.CauseParam(r.cause))
	}
}

// endCall releases an established call: on the connection of its setup, or else on any open one, and again on the next
// connection that is opened.
func (e *Endpoint) endCall(c *conn, r release) {
	if !e.established[r.callID] || e.crashed || e.unreachable {
		return
	}
	if e.silent { // the release is sent when the silence is over
		e.sim.after(100, func() { e.endCall(c, r) })
		return
	}
	delete(e.established, r.callID)
	e.repeated = append(e.repeated, r)
	if c.closed && len(e.conns) > 0 {
		c = e.conns[0]
	}
	if !c.closed {
		c.send(binarymessage.Release, r.callID, binarymessage.CauseParam(r.cause), fullReport)
	}
}

// fullReport is the load report in answers and releases.
var fullReport = binarymessage.TextParam(binarymessage.LoadReport, "free:20;size:40;busy:0.4;q:1")

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
	if e.silent { // TCP delivers the message when the silence is over, unless the connection is closed before
		e.sim.after(100, func() { e.onMessage(c, m) })
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
	if e.silent {
		e.sim.after(100, func() { e.answer(c, id, late) })
		return
	}
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
			fullReport,
		)
		return
	case sim.happens(faults.Failed):
		delete(e.pending, id)
		c.send(binarymessage.Release, id, binarymessage.CauseParam(binarymessage.Fault), fullReport)
		return
	}
	if sim.happens(faults.Unsolicited) {
		c.send(binarymessage.Answer, id^0xffff, binarymessage.TextParam(binarymessage.Description, "another's"), fullReport)
	}
	delete(e.pending, id)
	e.established[id] = true
	e.sendAnswer(c, id)
	sim.after(sim.HoldingTime*(0.5+sim.Random()), func() {
		cause := byte(binarymessage.Normal)
		if sim.happens(faults.Cut) {
			cause = binarymessage.Failure
		}
		e.endCall(c, release{id, cause})
	})
}

// sendAnswer sends the answer that a call is established, once or with a fault.
func (e *Endpoint) sendAnswer(c *conn, id uint64) {
	sim := c.sim
	description := binarymessage.TextParam(binarymessage.Description, "answer")
	if sim.happens(sim.Faults.WrongLength) {
		c.sendWrongLength(binarymessage.Append(nil, binarymessage.Answer, id, description, fullReport))
		return
	}
	c.send(binarymessage.Answer, id, description, fullReport)
	if sim.happens(sim.Faults.Duplicate) {
		c.send(binarymessage.Answer, id, description, fullReport)
	}
}
