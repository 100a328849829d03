package simulation

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// echo notes what it gets and when it is woken.
type echo struct {
	heard []string
	next  float64
}

func (e *echo) Receive(now float64, _ netip.AddrPort, data []byte) {
	e.heard = append(e.heard, fmt.Sprintf("%v %s", now, data))
}
func (e *echo) Step(now float64) {
	if now >= e.next {
		e.heard = append(e.heard, fmt.Sprintf("%v woken", now))
		e.next = math.Inf(1)
	}
}
func (e *echo) NextWakeup() float64 { return e.next }

func two(seed uint64, l Link) (*World, *Node, *Node, *echo) {
	w := New(seed)
	w.Link = func(_, _ *Node) Link { return l }
	e := &echo{next: math.Inf(1)}
	a := w.Add(&Node{Addr: netip.MustParseAddrPort("127.0.0.1:1"), Machine: &echo{next: math.Inf(1)}})
	b := w.Add(&Node{Addr: netip.MustParseAddrPort("127.0.0.2:1"), Machine: e, Tick: 10})
	return w, a, b, e
}

// Events of one instant happen in the order of their making; a node with a tick handles them together.
func TestOrder(t *testing.T) {
	w, a, b, e := two(1, Link{Delay: 7})
	for _, s := range []string{"x", "y", "z"} {
		w.Send(a.Addr, b.Addr, []byte(s))
	}
	var order []int
	for i := range 5 {
		w.At(3, func() { order = append(order, i) })
	}
	w.Run(100)
	if !slices.Equal(order, []int{0, 1, 2, 3, 4}) || !slices.Equal(e.heard, []string{"10 x", "10 y", "10 z"}) {
		t.Errorf("order %v, heard %v", order, e.heard)
	}
}

// What comes to a node that stalls waits; what comes to a dead one is lost.
func TestHaltAndDie(t *testing.T) {
	w, a, b, e := two(1, Link{Delay: 1})
	b.Halt()
	w.Send(a.Addr, b.Addr, []byte("x"))
	w.At(55, b.Go)
	w.At(70, b.Die)
	w.At(75, func() { w.Send(a.Addr, b.Addr, []byte("y")) })
	w.At(90, func() { b.Live(nil) })
	w.At(95, func() { e.next = 120; b.Due() })
	w.Run(200)
	if !slices.Equal(e.heard, []string{"60 x", "120 woken"}) {
		t.Errorf("heard %v", e.heard)
	}
}

// The same seed loses, doubles and delays the same; another does not.
func TestSeed(t *testing.T) {
	run := func(seed uint64) []string {
		w, a, b, e := two(seed, Link{Delay: 20, Jitter: 0.9, Loss: 0.3, Double: 0.2})
		b.Tick = 0
		for i := range 50 {
			w.Send(a.Addr, b.Addr, fmt.Append(nil, i))
		}
		w.Run(100)
		return e.heard
	}
	x := run(1)
	if !slices.Equal(x, run(1)) || slices.Equal(x, run(2)) || len(x) < 20 || len(x) > 60 {
		t.Errorf("%d of 50 heard", len(x))
	}
}

// By the wall clock: what comes from outside is carried over the link, and Do runs in the loop.
func TestReal(t *testing.T) {
	w, a, b, e := two(1, Link{Delay: 5})
	b.Tick = 0
	sent := make(chan []byte, 1)
	a.Real = func(_, _ netip.AddrPort, data []byte) { sent <- data }
	w.Begin()
	w.Arrived(a.Addr, b.Addr, []byte("in"))
	w.Do(func() { w.Send(b.Addr, a.Addr, []byte("out")) })
	begin := time.Now()
	w.RunReal(60, nil)
	if took := time.Since(begin); took < 50*time.Millisecond || took > 5*time.Second {
		t.Errorf("60 ms took %v", took)
	}
	if len(e.heard) != 1 || len(sent) != 1 || string(<-sent) != "out" {
		t.Errorf("heard %v", e.heard)
	}
}
