// Package simulation brings machines without I/O together: a scheduler, a lossy and delaying wire between them, and a
// tap at the gateways' sockets. It runs in virtual time, where a day takes as long as its work and the same seed gives
// the same run, or by the wall clock with some of the nodes behind real sockets.
package simulation

//tally:standin

import (
	"container/heap"
	"math"
	"net/netip"
	"time"

	"cobaltpier/internal/detrand"
)

// Machine is a node: it takes datagrams and wants to be woken.
type Machine interface {
	Receive(now float64, from netip.AddrPort, data []byte)
	Step(now float64)
	NextWakeup() float64
}

// Link is a wire's quality from one node to another, in milliseconds one way.
type Link struct {
	Delay       float64
	Jitter      float64 // a part of the delay, up or down
	Loss        float64 // chance that a datagram is lost
	Duplication float64 // chance that it comes twice
}

// Simulation holds the nodes.
type Simulation struct {
	Now   float64 // ms since the start
	Seed  uint64
	Link  func(from, to *Node) Link
	Tap   func(at float64, from, to netip.AddrPort, data []byte) // sees what crosses a tapped node's socket
	draws uint64
	seq   uint64
	queue events
	nodes map[netip.AddrPort]*Node
	inbox chan externalEvent
	start time.Time
}

// Node is one address.
type Node struct {
	Addr       netip.AddrPort
	Name       string
	Region     string
	Machine    Machine
	Tick       float64                                    // it handles what came at multiples of this; 0: at once
	Tapped     bool                                       // the tap sees it
	Real       func(to, from netip.AddrPort, data []byte) // set: it is behind a socket, and this writes there
	Paused     bool                                       // it stalls: what comes waits
	Down       bool                                       // what comes is lost
	inbox      []datagram
	wakeupAt   float64 // when it will be woken, +Inf: not
	simulation *Simulation
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

// New makes an empty world.
func New(seed uint64) *Simulation {
	return &Simulation{Seed: seed, nodes: map[netip.AddrPort]*Node{}, Link: func(_, _ *Node) Link { return Link{} },
		inbox: make(chan externalEvent, 1<<16)}
}

// Add puts a node in.
func (sim *Simulation) Add(n *Node) *Node {
	n.simulation, n.wakeupAt = sim, math.Inf(1)
	sim.nodes[n.Addr] = n
	return n
}

// Node is the node of an address, nil where there is none.
func (sim *Simulation) Node(a netip.AddrPort) *Node { return sim.nodes[a] }

// At does something at a time.
func (sim *Simulation) At(at float64, do func()) {
	sim.seq++
	heap.Push(&sim.queue, &event{at: math.Max(at, sim.Now), seq: sim.seq, do: do})
}

// Float64 draws a number from 0 to 1.
func (sim *Simulation) Float64() float64 {
	sim.draws++
	return detrand.Float64(sim.Seed, sim.draws)
}

// Send carries a datagram from a node of ours, or from one behind a socket, over the link.
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
	if n.Real != nil {
		n.Real(n.Addr, from, data)
		return
	}
	n.inbox = append(n.inbox, datagram{from, data})
	n.ScheduleWakeup()
}

// ScheduleWakeup sees to it that a node is woken when it wants.
func (n *Node) ScheduleWakeup() {
	if n.Machine == nil || n.Real != nil || n.Paused || n.Down {
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
	if n.Tick > 0 { // what it wants now it gets with the next tick
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

// Pause lets a node stand still; Go lets it go on and find what came meanwhile.
func (n *Node) Pause() { n.Paused = true }

// Resume ends a Halt.
func (n *Node) Resume() {
	n.Paused = false
	n.wakeupAt = math.Inf(1)
	n.ScheduleWakeup()
}

// Kill loses what waits and all that comes, until Live.
func (n *Node) Kill() { n.Down, n.inbox = true, nil }

// Restart ends a Die, with another machine where one is given.
func (n *Node) Restart(m Machine) {
	n.Down, n.wakeupAt = false, math.Inf(1)
	if m != nil {
		n.Machine = m
	}
	n.ScheduleWakeup()
}

// Run plays virtual time up to a time.
func (sim *Simulation) Run(until float64) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		e := heap.Pop(&sim.queue).(*event)
		sim.Now = e.at
		e.do()
	}
	sim.Now = until
}

// Arrived hands in a datagram that a socket of ours received from a node behind a socket. Safe for any goroutine; a
// flood that the world can't take is lost, as a socket's queue would lose it.
func (sim *Simulation) Arrived(from, to netip.AddrPort, data []byte) {
	select {
	case sim.inbox <- externalEvent{from: from, to: to, data: data}:
	default:
	}
}

// Do runs something in the world's own loop. Safe for any goroutine.
func (sim *Simulation) Do(f func()) { sim.inbox <- externalEvent{do: f} }

// RunReal plays by the wall clock up to a time, with what Arrived and Do bring; it ends early when stop is closed. The
// time of each event is its own where it runs late, so that the stand-ins' models don't drift.
func (sim *Simulation) RunReal(until float64, stop <-chan struct{}) {
	if sim.start.IsZero() {
		sim.start = time.Now().Add(-time.Duration(sim.Now * float64(time.Millisecond)))
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		wall := sim.Wall()
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
			wait = math.Max(0, math.Min(wait, sim.queue[0].at-sim.Wall()))
		}
		timer.Reset(time.Duration(wait * float64(time.Millisecond)))
		select {
		case <-stop:
			return
		case external := <-sim.inbox:
			for handled := 0; ; handled++ {
				sim.Now = math.Max(sim.Now, math.Min(sim.Wall(), until))
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

// Wall is the wall clock's time in ms since the start.
func (sim *Simulation) Wall() float64 {
	return float64(time.Since(sim.start)) / float64(time.Millisecond)
}

// Begin sets the wall clock's start to now.
func (sim *Simulation) Begin() {
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
