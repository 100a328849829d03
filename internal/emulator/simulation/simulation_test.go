package simulation

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// recorder records the datagrams that it receives and when it is woken.
type recorder struct {
	events []string
	next   float64
}

func (e *recorder) Receive(now float64, _ netip.AddrPort, data []byte) {
	e.events = append(e.events, fmt.Sprintf("%v %s", now, data))
}
func (e *recorder) Step(now float64) {
	if now >= e.next {
		e.events = append(e.events, fmt.Sprintf("%v woken", now))
		e.next = math.Inf(1)
	}
}
func (e *recorder) NextWakeup() float64 { return e.next }

func newPair(seed uint64, l Link) (*Simulation, *Node, *Node, *recorder) {
	sim := New(seed)
	sim.Link = func(_, _ *Node) Link { return l }
	e := &recorder{next: math.Inf(1)}
	a := sim.Add(&Node{Addr: netip.MustParseAddrPort("127.0.0.1:1"), Machine: &recorder{next: math.Inf(1)}})
	b := sim.Add(&Node{Addr: netip.MustParseAddrPort("127.0.0.2:1"), Machine: e, Tick: 10})
	return sim, a, b, e
}

// Events of the same time run in the order in which they were scheduled; a node with a tick handles all datagrams at
// its next tick.
func TestOrder(t *testing.T) {
	sim, a, b, e := newPair(1, Link{Delay: 7})
	for _, s := range []string{"x", "y", "z"} {
		sim.Send(a.Addr, b.Addr, []byte(s))
	}
	var order []int
	for i := range 5 {
		sim.At(3, func() { order = append(order, i) })
	}
	sim.Run(100)
	if !slices.Equal(order, []int{0, 1, 2, 3, 4}) || !slices.Equal(e.events, []string{"10 x", "10 y", "10 z"}) {
		t.Errorf("order %v, heard %v", order, e.events)
	}
}

// Datagrams to a paused node are queued; those to a killed node are lost.
func TestPauseAndKill(t *testing.T) {
	sim, a, b, e := newPair(1, Link{Delay: 1})
	b.Pause()
	sim.Send(a.Addr, b.Addr, []byte("x"))
	sim.At(55, b.Resume)
	sim.At(70, b.Kill)
	sim.At(75, func() { sim.Send(a.Addr, b.Addr, []byte("y")) })
	sim.At(90, func() { b.Restart(nil) })
	sim.At(95, func() { e.next = 120; b.ScheduleWakeup() })
	sim.Run(200)
	if !slices.Equal(e.events, []string{"60 x", "120 woken"}) {
		t.Errorf("heard %v", e.events)
	}
}

// The same seed loses, duplicates and delays the same datagrams; another seed does not.
func TestSeed(t *testing.T) {
	run := func(seed uint64) []string {
		sim, a, b, e := newPair(seed, Link{Delay: 20, Jitter: 0.9, Loss: 0.3, Duplication: 0.2})
		b.Tick = 0
		for i := range 50 {
			sim.Send(a.Addr, b.Addr, fmt.Append(nil, i))
		}
		sim.Run(100)
		return e.events
	}
	x := run(1)
	if !slices.Equal(x, run(1)) || slices.Equal(x, run(2)) || len(x) < 20 || len(x) > 60 {
		t.Errorf("%d of 50 heard", len(x))
	}
}

// In real time: datagrams passed to Inject go over the link, and functions passed to RunInLoop run in the loop.
func TestRealTime(t *testing.T) {
	sim, a, b, e := newPair(1, Link{Delay: 5})
	b.Tick = 0
	sent := make(chan []byte, 1)
	a.SendToSocket = func(_, _ netip.AddrPort, data []byte) { sent <- data }
	sim.StartRealTime()
	sim.Inject(a.Addr, b.Addr, []byte("in"))
	sim.RunInLoop(func() { sim.Send(b.Addr, a.Addr, []byte("out")) })
	begin := time.Now()
	sim.RunReal(60, nil)
	if took := time.Since(begin); took < 50*time.Millisecond || took > 5*time.Second {
		t.Errorf("60 ms took %v", took)
	}
	if len(e.events) != 1 || len(sent) != 1 || string(<-sent) != "out" {
		t.Errorf("heard %v", e.events)
	}
}
