// Package simulation connects state machines that do no I/O: it has an event scheduler, links that delay and lose
// datagrams, and a tap at the sockets of the gateways. It runs in virtual time, as fast as the processor allows and
// with the same result for the same seed, or in real time with some of the nodes behind real sockets.
package simulation

//tally:standin

import (
	"container/heap"
	"math"
	"net/netip"
	"time"

	"cobaltpier/internal/detrand"
)

// Machine is the state machine of a node. Step is to be called at the time that NextWakeup returns.
type Machine interface {
	Receive(now float64, from netip.AddrPort, data []byte)
	Step(now float64)
	NextWakeup() float64
}

// Link describes the path from one node to another. Times are in milliseconds, one way.
type Link struct {
	Delay       float64
	Jitter      float64 // largest deviation as a fraction of the delay
	Loss        float64 // probability that a datagram is lost
	Duplication float64 // probability that it arrives twice
}

// Simulation holds the nodes and the queue of events.
type Simulation struct {
	Now   float64 // ms since the start
	Seed  uint64
	Link  func(from, to *Node) Link
	Tap   func(at float64, from, to netip.AddrPort, data []byte) // gets the datagrams of tapped nodes
	draws uint64
	seq   uint64
	queue events
	nodes map[netip.AddrPort]*Node
	inbox chan externalEvent
	start time.Time
}

// Node is an address with the machine behind it.
type Node struct {
	Addr         netip.AddrPort
	Name         string
	Region       string
	Machine      Machine
	Tick         float64                                    // it runs at multiples of this interval; 0: immediately
	Tapped       bool                                       // its datagrams go to the tap
	SendToSocket func(to, from netip.AddrPort, data []byte) // set: the node is behind a real socket; sends there
	Paused       bool                                       // it doesn't run; arriving datagrams are queued
	Down         bool                                       // arriving datagrams are lost
	inbox        []datagram
	wakeupAt     float64 // +Inf: no wake-up is scheduled
	simulation   *Simulation
}

type datagram struct {
	from netip.AddrPort
	data []byte
}

type externalEvent struct {
	from, to netip.AddrPort
	data     []byte
	do       func()
}

// New returns a simulation without nodes.
func New(seed uint64) *Simulation {
	return &Simulation{Seed: seed, nodes: map[netip.AddrPort]*Node{}, Link: func(_, _ *Node) Link { return Link{} },
		inbox: make(chan externalEvent, 1<<16)}
}

// Add adds a node.
func (sim *Simulation) Add(n *Node) *Node {
	n.simulation, n.wakeupAt = sim, math.Inf(1)
	sim.nodes[n.Addr] = n
	return n
}

// Node returns the node of an address, or nil.
func (sim *Simulation) Node(a netip.AddrPort) *Node { return sim.nodes[a] }

// At schedules do for a time. Events of the same time run in the order in which they were scheduled.
func (sim *Simulation) At(at float64, do func()) {
	sim.seq++
	heap.Push(&sim.queue, &event{at: math.Max(at, sim.Now), seq: sim.seq, do: do})
}

// Float64 draws a random number in [0, 1).
func (sim *Simulation) Float64() float64 {
	sim.draws++
	return detrand.Float64(sim.Seed, sim.draws)
}

// Send sends a datagram over the link between two nodes, whether or not the sender is behind a socket.
func (sim *Simulation) Send(from, to netip.AddrPort, data []byte) {
	source, destination := sim.nodes[from], sim.nodes[to]
	if source != nil && source.Tapped && sim.Tap != nil {
		sim.Tap(sim.Now, from, to, data)
	}
	if source == nil || destination == nil || source.Down {
		return
	}
	link := sim.Link(source, destination)
	if link.Loss > 0 && sim.Float64() < link.Loss {
		return
	}
	copies := 1
	if link.Duplication > 0 && sim.Float64() < link.Duplication {
		copies = 2
	}
	for ; copies > 0; copies-- {
		delay := link.Delay * (1 + link.Jitter*(2*sim.Float64()-1))
		sim.At(sim.Now+delay, func() { destination.deliver(from, data) })
	}
}

func (n *Node) deliver(from netip.AddrPort, data []byte) {
	sim := n.simulation
	if n.Down {
		return
	}
	if n.Tapped && sim.Tap != nil {
		sim.Tap(sim.Now, from, n.Addr, data)
	}
	if n.SendToSocket != nil {
		n.SendToSocket(n.Addr, from, data)
		return
	}
	n.inbox = append(n.inbox, datagram{from, data})
	n.ScheduleWakeup()
}

// ScheduleWakeup schedules the next run of the node. It must be called when the machine was changed from outside.
func (n *Node) ScheduleWakeup() {
	if n.Machine == nil || n.SendToSocket != nil || n.Paused || n.Down {
		return
	}
	sim := n.simulation
	at := math.Max(sim.Now, n.Machine.NextWakeup())
	if len(n.inbox) > 0 {
		at = sim.Now
	}
	if n.Tick > 0 {
		at = math.Ceil(at/n.Tick) * n.Tick
	}
	if at >= n.wakeupAt || math.IsInf(at, 1) {
		return
	}
	n.wakeupAt = at
	sim.At(at, func() {
		if n.wakeupAt == at {
			n.run()
		}
	})
}

func (n *Node) run() {
	n.wakeupAt = math.Inf(1)
	if n.Paused || n.Down {
		return
	}
	received := n.inbox
	n.inbox = nil
	for _, d := range received {
		n.Machine.Receive(n.simulation.Now, d.from, d.data)
	}
	n.Machine.Step(n.simulation.Now)
	if n.Tick > 0 { // a wake-up that is due now waits for the next tick
		at := math.Max(n.Machine.NextWakeup(), n.simulation.Now+n.Tick/2)
		if !math.IsInf(at, 1) {
			at = math.Ceil(at/n.Tick) * n.Tick
			n.wakeupAt = at
			n.simulation.At(at, func() {
				if n.wakeupAt == at {
					n.run()
				}
			})
		}
		return
	}
	n.ScheduleWakeup()
}

// Pause stops the node from running until Resume; datagrams that arrive in between are handled then.
func (n *Node) Pause() { n.Paused = true }

// Resume ends a Pause.
func (n *Node) Resume() {
	n.Paused = false
	n.wakeupAt = math.Inf(1)
	n.ScheduleWakeup()
}

// Kill drops queued datagrams, and those that arrive until Restart.
func (n *Node) Kill() { n.Down, n.inbox = true, nil }

// Restart ends a Kill. If m is not nil, it replaces the machine.
func (n *Node) Restart(m Machine) {
	n.Down, n.wakeupAt = false, math.Inf(1)
	if m != nil {
		n.Machine = m
	}
	n.ScheduleWakeup()
}

// Run runs the simulation in virtual time until a time.
func (sim *Simulation) Run(until float64) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		e := heap.Pop(&sim.queue).(*event)
		sim.Now = e.at
		e.do()
	}
	sim.Now = until
}

// Inject passes in a datagram that a real socket has received from a node behind a socket. It is safe for
// concurrent use. If the queue is full, the datagram is dropped, as a socket's receive buffer would drop it.
func (sim *Simulation) Inject(from, to netip.AddrPort, data []byte) {
	select {
	case sim.inbox <- externalEvent{from: from, to: to, data: data}:
	default:
	}
}

// RunInLoop queues f to run in the loop of RunReal, and blocks while that queue is full. It is safe for concurrent use.
func (sim *Simulation) RunInLoop(f func()) { sim.inbox <- externalEvent{do: f} }

// RunReal runs in real time until a time, handling also what Inject and RunInLoop pass in; it returns early when
// stop is closed. An event that runs late still sees the time for which it was scheduled, so that the models of the
// stand-ins don't drift.
func (sim *Simulation) RunReal(until float64, stop <-chan struct{}) {
	if sim.start.IsZero() {
		sim.start = time.Now().Add(-time.Duration(sim.Now * float64(time.Millisecond)))
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		wall := sim.RealTime()
		for len(sim.queue) > 0 && sim.queue[0].at <= wall && sim.queue[0].at <= until {
			e := heap.Pop(&sim.queue).(*event)
			sim.Now = math.Max(sim.Now, e.at)
			e.do()
			if len(sim.inbox) > 0 {
				break
			}
		}
		if wall >= until {
			return
		}
		wait := until - wall
		if len(sim.queue) > 0 {
			wait = math.Max(0, math.Min(wait, sim.queue[0].at-sim.RealTime()))
		}
		timer.Reset(time.Duration(wait * float64(time.Millisecond)))
		select {
		case <-stop:
			return
		case external := <-sim.inbox:
			for handled := 0; ; handled++ {
				sim.Now = math.Max(sim.Now, math.Min(sim.RealTime(), until))
				if external.do != nil {
					external.do()
				} else {
					sim.Send(external.from, external.to, external.data)
				}
				if handled > 256 || len(sim.inbox) == 0 {
					break
				}
				external = <-sim.inbox
			}
		case <-timer.C:
		}
	}
}

// RealTime returns the real time since the start, in ms.
func (sim *Simulation) RealTime() float64 {
	return float64(time.Since(sim.start)) / float64(time.Millisecond)
}

// StartRealTime sets the start of real time so that Now is the present moment.
func (sim *Simulation) StartRealTime() {
	sim.start = time.Now().Add(-time.Duration(sim.Now * float64(time.Millisecond)))
}

type event struct {
	at  float64
	seq uint64
	do  func()
}

type events []*event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(*event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
