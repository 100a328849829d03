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
	Delay  float64
	Jitter float64 // a part of the delay, up or down
	Loss   float64 // chance that a datagram is lost
	Double float64 // chance that it comes twice
}

// World holds the nodes.
type World struct {
	Now   float64 // ms since the start
	Seed  uint64
	Link  func(from, to *Node) Link
	Tap   func(at float64, from, to netip.AddrPort, data []byte) // sees what crosses a tapped node's socket
	draws uint64
	seq   uint64
	queue events
	nodes map[netip.AddrPort]*Node
	inbox chan outside
	start time.Time
}

// Node is one address.
type Node struct {
	Addr    netip.AddrPort
	Name    string
	Region  string
	Machine Machine
	Tick    float64                                    // it handles what came at multiples of this; 0: at once
	Tapped  bool                                       // the tap sees it
	Real    func(to, from netip.AddrPort, data []byte) // set: it is behind a socket, and this writes there
	Halted  bool                                       // it stalls: what comes waits
	Dead    bool                                       // what comes is lost
	inbox   []letter
	waking  float64 // when it will be woken, +Inf: not
	world   *World
}

type letter struct {
	from netip.AddrPort
	data []byte
}

type outside struct {
	from, to netip.AddrPort
	data     []byte
	do       func()
}

// New makes an empty world.
func New(seed uint64) *World {
	return &World{Seed: seed, nodes: map[netip.AddrPort]*Node{}, Link: func(_, _ *Node) Link { return Link{} },
		inbox: make(chan outside, 1<<16)}
}

// Add puts a node in.
func (w *World) Add(n *Node) *Node {
	n.world, n.waking = w, math.Inf(1)
	w.nodes[n.Addr] = n
	return n
}

// Node is the node of an address, nil where there is none.
func (w *World) Node(a netip.AddrPort) *Node { return w.nodes[a] }

// At does something at a time.
func (w *World) At(at float64, do func()) {
	w.seq++
	heap.Push(&w.queue, &event{at: math.Max(at, w.Now), seq: w.seq, do: do})
}

// Chance draws a number from 0 to 1.
func (w *World) Chance() float64 {
	w.draws++
	return detrand.Float64(w.Seed, w.draws)
}

// Send carries a datagram from a node of ours, or from one behind a socket, over the link.
func (w *World) Send(from, to netip.AddrPort, data []byte) {
	a, b := w.nodes[from], w.nodes[to]
	if a != nil && a.Tapped && w.Tap != nil {
		w.Tap(w.Now, from, to, data)
	}
	if a == nil || b == nil || a.Dead {
		return
	}
	l := w.Link(a, b)
	if l.Loss > 0 && w.Chance() < l.Loss {
		return
	}
	times := 1
	if l.Double > 0 && w.Chance() < l.Double {
		times = 2
	}
	for ; times > 0; times-- {
		delay := l.Delay * (1 + l.Jitter*(2*w.Chance()-1))
		w.At(w.Now+delay, func() { b.deliver(from, data) })
	}
}

func (n *Node) deliver(from netip.AddrPort, data []byte) {
	w := n.world
	if n.Dead {
		return
	}
	if n.Tapped && w.Tap != nil {
		w.Tap(w.Now, from, n.Addr, data)
	}
	if n.Real != nil {
		n.Real(n.Addr, from, data)
		return
	}
	n.inbox = append(n.inbox, letter{from, data})
	n.Due()
}

// Due sees to it that a node is woken when it wants.
func (n *Node) Due() {
	if n.Machine == nil || n.Real != nil || n.Halted || n.Dead {
		return
	}
	w := n.world
	at := math.Max(w.Now, n.Machine.NextWakeup())
	if len(n.inbox) > 0 {
		at = w.Now
	}
	if n.Tick > 0 {
		at = math.Ceil(at/n.Tick) * n.Tick
	}
	if at >= n.waking || math.IsInf(at, 1) {
		return
	}
	n.waking = at
	w.At(at, func() {
		if n.waking == at {
			n.run()
		}
	})
}

func (n *Node) run() {
	n.waking = math.Inf(1)
	if n.Halted || n.Dead {
		return
	}
	in := n.inbox
	n.inbox = nil
	for _, l := range in {
		n.Machine.Receive(n.world.Now, l.from, l.data)
	}
	n.Machine.Step(n.world.Now)
	if n.Tick > 0 { // what it wants now it gets with the next tick
		at := math.Max(n.Machine.NextWakeup(), n.world.Now+n.Tick/2)
		if !math.IsInf(at, 1) {
			at = math.Ceil(at/n.Tick) * n.Tick
			n.waking = at
			n.world.At(at, func() {
				if n.waking == at {
					n.run()
				}
			})
		}
		return
	}
	n.Due()
}

// Halt lets a node stand still; Go lets it go on and find what came meanwhile.
func (n *Node) Halt() { n.Halted = true }

// Go ends a Halt.
func (n *Node) Go() {
	n.Halted = false
	n.waking = math.Inf(1)
	n.Due()
}

// Die loses what waits and all that comes, until Live.
func (n *Node) Die() { n.Dead, n.inbox = true, nil }

// Live ends a Die, with another machine where one is given.
func (n *Node) Live(m Machine) {
	n.Dead, n.waking = false, math.Inf(1)
	if m != nil {
		n.Machine = m
	}
	n.Due()
}

// Run plays virtual time up to a time.
func (w *World) Run(until float64) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(*event)
		w.Now = e.at
		e.do()
	}
	w.Now = until
}

// Arrived hands in a datagram that a socket of ours received from a node behind a socket. Safe for any goroutine; a
// flood that the world can't take is lost, as a socket's queue would lose it.
func (w *World) Arrived(from, to netip.AddrPort, data []byte) {
	select {
	case w.inbox <- outside{from: from, to: to, data: data}:
	default:
	}
}

// Do runs something in the world's own loop. Safe for any goroutine.
func (w *World) Do(f func()) { w.inbox <- outside{do: f} }

// RunReal plays by the wall clock up to a time, with what Arrived and Do bring; it ends early when stop is closed. The
// time of each event is its own where it runs late, so that the stand-ins' models don't drift.
func (w *World) RunReal(until float64, stop <-chan struct{}) {
	if w.start.IsZero() {
		w.start = time.Now().Add(-time.Duration(w.Now * float64(time.Millisecond)))
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		wall := w.Wall()
		for len(w.queue) > 0 && w.queue[0].at <= wall && w.queue[0].at <= until {
			e := heap.Pop(&w.queue).(*event)
			w.Now = math.Max(w.Now, e.at)
			e.do()
			if len(w.inbox) > 0 {
				break
			}
		}
		if wall >= until {
			return
		}
		wait := until - wall
		if len(w.queue) > 0 {
			wait = math.Max(0, math.Min(wait, w.queue[0].at-w.Wall()))
		}
		timer.Reset(time.Duration(wait * float64(time.Millisecond)))
		select {
		case <-stop:
			return
		case o := <-w.inbox:
			for n := 0; ; n++ {
				w.Now = math.Max(w.Now, math.Min(w.Wall(), until))
				if o.do != nil {
					o.do()
				} else {
					w.Send(o.from, o.to, o.data)
				}
				if n > 256 || len(w.inbox) == 0 {
					break
				}
				o = <-w.inbox
			}
		case <-timer.C:
		}
	}
}

// Wall is the wall clock's time in ms since the start.
func (w *World) Wall() float64 { return float64(time.Since(w.start)) / float64(time.Millisecond) }

// Begin sets the wall clock's start to now.
func (w *World) Begin() { w.start = time.Now().Add(-time.Duration(w.Now * float64(time.Millisecond))) }

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
