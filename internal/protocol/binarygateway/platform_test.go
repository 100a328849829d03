package binarygateway

import (
	"net/netip"
	"slices"
	"testing"

	"cobaltpier/internal/decision/connlimit"
	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/protocol/dnsdiscovery"
	"cobaltpier/internal/routing"
)

// A call passes both ways, its description unchanged, and is released towards its caller when its switch ends it.
func TestCall(t *testing.T) {
	r := newRig(t)
	r.mod.to = []int{0}
	c := r.caller()
	r.setUp(c, 7)
	w := r.on(7)
	m := w.last(7)
	if w.to != addrA || m.Text(binarymessage.Class) != "voice" || m.Text(binarymessage.Number) != "7f3a9c21e0b4d655" || m.Text(binarymessage.Description) != "v=0" {
		t.Errorf("to %v: %q", w.to, m)
	}
	if _, there := m.Get(binarymessage.Figures); there {
		t.Error("the caller's figures went to the switch")
	}
	if left, _ := parseNumber(m.Text(binarymessage.Timeout)); left < 2990 || left > 3000 {
		t.Errorf("the gateway waits %v ms", left)
	}
	r.says(w, binarymessage.Answer, 7, said, binarymessage.TextParam(binarymessage.Report, "free:3;size:40;busy:0.5;q:2"))
	r.wants(c.last(7), binarymessage.Answer, 0)
	if d := c.last(7).Text(binarymessage.Description); d != "v=0 answer" {
		t.Errorf("the caller got %q", d)
	}
	r.says(w, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	r.wants(c.last(7), binarymessage.Release, binarymessage.Normal)
	if want := []string{"offered", "report 0 free 3 of 40", "stood", "ended 0 closed true agent false engaged false wait 0"}; !slices.Equal(r.mod.heard, want) {
		t.Errorf("the module heard %q", r.mod.heard)
	}
	if calls := r.m.OpenCounts().Calls; calls != 0 {
		t.Errorf("%d calls are left", calls)
	}
}

// Causes and notes of a switch mean what the platform's table says.
func TestEnds(t *testing.T) {
	for _, x := range []struct {
		cause byte
		note  string
		wait  string
		want  string
	}{
		{binarymessage.NoCircuit, "all_trunks_busy", "", "ended 2 closed false agent true engaged false wait 0"},
		{binarymessage.NoCircuit, "cpu_full", "320", "ended 2 closed false agent false engaged false wait 320"},
		{binarymessage.UserBusy, "number_busy", "", "ended 1 closed false agent false engaged true wait 0"},
		{binarymessage.Fault, "", "", "ended 1 closed false agent false engaged false wait 0"},
		{binarymessage.NeverSent, "", "", "ended 7 closed false agent false engaged false wait 0"},
		{binarymessage.Failure, "", "", "ended 5 closed false agent false engaged false wait 0"},
		{99, "", "", "ended 5 closed false agent false engaged false wait 0"},
	} {
		r := newRig(t)
		r.mod.to = []int{0}
		r.setUp(r.caller(), 7)
		of := []binarymessage.Param{binarymessage.CauseParam(x.cause), binarymessage.TextParam(binarymessage.Note, x.note)}
		if x.wait != "" {
			of = append(of, binarymessage.TextParam(binarymessage.QueueDelay, x.wait))
		}
		r.says(r.on(7), binarymessage.Release, 7, of...)
		if got := r.mod.heard[len(r.mod.heard)-1]; got != x.want {
			t.Errorf("cause %d note %q: the module heard %q, want %q", x.cause, x.note, got, x.want)
		}
	}
}

// The answer to an attempt that was given up comes when another attempt of the call stands at the same switch: a release there
// would cut the call. At another switch it is released.
func TestLateAnswerOfAnEarlierRing(t *testing.T) {
	for _, second := range []int{0, 1} {
		r := newRig(t)
		r.mod.to, r.mod.again = []int{0, second}, true
		c := r.caller()
		r.setUp(c, 7)
		first := r.on(7)
		r.mod.h.CancelAttempt(r.mod.last.InFlight)
		r.turn()
		r.wants(first.last(7), binarymessage.Release, binarymessage.Normal)
		r.pass(600)
		w := r.on(7)
		r.says(w, binarymessage.Answer, 7, said)
		r.wants(c.last(7), binarymessage.Answer, 0)
		before := first.count(7, binarymessage.Release)
		r.says(first, binarymessage.Answer, 7, said)
		if got := first.count(7, binarymessage.Release) - before; got != second {
			t.Errorf("the second ring stands at %d: the late answer was released %d times", second, got)
		}
		if c.count(7, binarymessage.Answer) != 1 || c.count(7, binarymessage.Release) != 0 {
			t.Error("the caller heard of it")
		}
	}
}

// The same while the second attempt is still out there: released only when that has ended without standing.
func TestLateAnswerWhileRinging(t *testing.T) {
	r := newRig(t)
	r.second()
	r.mod.to, r.mod.again = []int{0, 0}, true
	c := r.caller()
	r.setUp(c, 7)
	first := r.on(7)
	r.mod.h.CancelAttempt(r.mod.last.InFlight)
	r.pass(600)
	w := r.on(7)
	if w == first {
		t.Fatal("both rings went out on one line")
	}
	before := first.count(7, binarymessage.Release)
	r.says(first, binarymessage.Answer, 7, said)
	if first.count(7, binarymessage.Release) != before || w.count(7, binarymessage.Release) != 0 {
		t.Error("the ring that is out was released")
	}
	r.says(w, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.NoCircuit))
	r.wants(w.last(7), binarymessage.Release, binarymessage.Normal)
}

// A setup that waits in our buffer when its endpoint drains is withdrawn, and known not to have run.
func TestWithdrawn(t *testing.T) {
	r := newRig(t)
	r.mod.to = []int{0}
	for _, w := range r.wires {
		w.stuck = w.to == addrA
	}
	r.mute = true
	r.says(r.wires[0], binarymessage.LoadState, 0) // nothing is under way: lines take what comes
	for _, w := range r.wires {                    // something is before the setup, and does not leave
		if w.to == addrA {
			w.link.send(binarymessage.Append(nil, binarymessage.ReleaseComplete, 1))
		}
	}
	r.turn()
	c := r.caller()
	r.setUp(c, 7)
	r.list(2, dnsdiscovery.Target{ID: "a", Addr: addrA, DestinationID: 0, State: routing.Draining}, ready("b", addrB, 1))
	r.turn()
	for _, w := range r.wires {
		w.stuck = false
		r.m.OnFlushed(r.now, w.link)
	}
	r.mute = false
	r.turn()
	for _, w := range r.wires {
		if w.count(7, binarymessage.Setup) != 0 {
			t.Error("the set-up went to a switch that drains")
		}
	}
	if got := r.mod.heard[len(r.mod.heard)-1]; got != "ended 7 closed false agent false engaged false wait 0" {
		t.Errorf("the module heard %q", r.mod.heard)
	}
}

// second has a second line up to the first switch: setups under way at once want it.
func (r *rig) second() {
	r.mod.to = []int{0, 0}
	c := r.caller()
	r.setUp(c, 101)
	r.setUp(c, 102)
	for _, id := range []uint64{101, 102} {
		r.says(r.on(id), binarymessage.Release, id, binarymessage.CauseParam(binarymessage.NoCircuit))
	}
	if n := len(r.linesTo(addrA)); n != 2 {
		r.Fatalf("%d lines are up", n)
	}
}

// stood makes a call that stands at the first switch.
func (r *rig) stood(c *wire, id uint64) *wire {
	r.Helper()
	r.mod.to = []int{0}
	r.setUp(c, id)
	w := r.on(id)
	r.says(w, binarymessage.Answer, id, said)
	r.wants(c.last(id), binarymessage.Answer, 0)
	return w
}

// linesTo is the lines to an address that are not closed.
func (r *rig) linesTo(a netip.AddrPort) (of []*wire) {
	for _, w := range r.wires {
		if w.to == a && !w.link.closed {
			of = append(of, w)
		}
	}
	return
}

// refuse has an address refuse whatever dials it for so many ms.
func (r *rig) refuse(a netip.AddrPort, ms float64) {
	for end := r.now + ms; r.now < end; r.now += 10 {
		r.turn()
		for _, w := range r.linesTo(a) {
			if !w.link.connected {
				r.m.OnClosed(r.now, w.link, ClosedRefused)
			}
		}
	}
	r.turn()
}

// A switch whose process has died has cut its calls: lines that are reset and then a refused connection show it, and
// callers hear at once.
func TestDied(t *testing.T) {
	r := newRig(t)
	c := r.caller()
	r.stood(c, 7)
	r.mute = true
	for _, w := range r.linesTo(addrA) {
		r.m.OnClosed(r.now, w.link, ClosedReset)
	}
	r.turn()
	r.wants(c.last(7), binarymessage.Answer, 0) // a reset alone proves nothing
	r.refuse(addrA, 50)
	r.wants(c.last(7), binarymessage.Release, binarymessage.Failure)
}

// One that drains takes no more lines and says little: while a line is up its calls go on, and their ends come there.
func TestDrainsAndRefuses(t *testing.T) {
	for _, told := range []bool{false, true} {
		r := newRig(t)
		c := r.caller()
		w := r.stood(c, 7)
		if told {
			r.list(2, dnsdiscovery.Target{ID: "a", Addr: addrA, DestinationID: 0, State: routing.Draining}, ready("b", addrB, 1))
		}
		r.mute = true
		for _, o := range r.linesTo(addrA) {
			if o != w {
				r.m.OnClosed(r.now, o.link, ClosedNormally)
			}
		}
		before := len(r.wires)
		r.refuse(addrA, 12000)
		r.wants(c.last(7), binarymessage.Answer, 0)
		if n := len(r.wires) - before; n > 14 {
			t.Errorf("told %v: %d lines were tried in 12 s", told, n)
		}
		r.says(w, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
		r.wants(c.last(7), binarymessage.Release, binarymessage.Normal)
	}
}

// Where all its lines were closed in order it lives on too, but a call may end there unheard: its caller is told before it
// would count as left standing.
func TestDrainsWithoutLine(t *testing.T) {
	r := newRig(t)
	c := r.caller()
	r.stood(c, 7)
	r.mute = true
	for _, w := range r.linesTo(addrA) {
		r.m.OnClosed(r.now, w.link, ClosedNormally)
	}
	r.refuse(addrA, 6000)
	r.wants(c.last(7), binarymessage.Answer, 0)
	r.refuse(addrA, 1500)
	r.wants(c.last(7), binarymessage.Release, binarymessage.Failure)
}

// A switch that accepts and then resets, again and again, is dialled ever more seldom, and its calls are over in time.
func TestKilledBehindAccept(t *testing.T) {
	r := newRig(t)
	c := r.caller()
	r.stood(c, 7)
	before := len(r.wires)
	r.mute = true
	for end := r.now + 5500; r.now < end; r.now += 10 {
		for _, w := range r.linesTo(addrA) {
			if !w.link.connected {
				r.m.OnConnected(r.now, w.link)
			}
			r.m.OnClosed(r.now, w.link, ClosedReset)
		}
		r.turn()
	}
	if n := len(r.wires) - before; n > 20 {
		t.Errorf("%d lines were tried in 5.5 s", n)
	}
	r.wants(c.last(7), binarymessage.Release, binarymessage.Failure)
}

// A machine that has vanished says nothing and takes no line: its calls are over soon, and not before.
func TestVanished(t *testing.T) {
	r := newRig(t)
	c := r.caller()
	r.stood(c, 7)
	r.mute = true
	r.pass(3000)
	r.wants(c.last(7), binarymessage.Answer, 0)
	r.pass(4000)
	r.wants(c.last(7), binarymessage.Release, binarymessage.Failure)
}

// One that is only quiet takes a new line and says its state: its calls go on.
func TestQuiet(t *testing.T) {
	r := newRig(t)
	c := r.caller()
	r.stood(c, 7)
	r.pass(12000)
	r.wants(c.last(7), binarymessage.Answer, 0)
	n := 0
	for _, w := range r.wires {
		if w.to == addrA && !w.link.closed {
			n++
		}
	}
	if n > maxReportingConns {
		t.Errorf("%d lines are open", n)
	}
}

// A switch that the list calls started anew, or gone, has cut the calls from before.
func TestListCuts(t *testing.T) {
	for _, next := range [][]dnsdiscovery.Target{
		{{ID: "a", Addr: addrA, DestinationID: 0, State: routing.Ready, StartedAt: 1e6 + 5000}, ready("b", addrB, 1)},
		{ready("b", addrB, 1)},
		{ready("c", addrA, 0), ready("b", addrB, 1)}, // another has its address now
	} {
		r := newRig(t)
		c := r.caller()
		old := r.stood(c, 7)
		r.pass(5100)
		r.wants(c.last(7), binarymessage.Answer, 0)
		r.list(2, next...)
		r.turn()
		r.wants(c.last(7), binarymessage.Release, binarymessage.Failure)
		if gone := next[0].ID != "a"; old.shut != gone {
			t.Errorf("gone %v, its line is shut %v", gone, old.shut)
		}
		r.says(old, binarymessage.Answer, 7, said) // a late word of the old one reaches nobody
		r.wants(c.last(7), binarymessage.Release, binarymessage.Failure)
	}
}

// A release finds its caller on another connection, or on the next one.
func TestOwed(t *testing.T) {
	r := newRig(t)
	c, d := r.caller(), r.caller()
	w := r.stood(c, 7)
	r.m.OnClosed(r.now, c.link, ClosedNormally)
	r.says(w, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	r.wants(d.last(7), binarymessage.Release, binarymessage.Normal)
	w = r.stood(d, 8)
	r.m.OnClosed(r.now, d.link, ClosedNormally)
	r.says(w, binarymessage.Release, 8, binarymessage.CauseParam(binarymessage.Normal))
	r.pass(500)
	e := r.caller()
	r.turn()
	r.wants(e.last(8), binarymessage.Release, binarymessage.Normal)
}

// A caller releases what stands on any of its connections; the switch hears on the line of the setup, else on another.
func TestCallerReleases(t *testing.T) {
	r := newRig(t)
	c, d := r.caller(), r.caller()
	w := r.stood(c, 7)
	r.says(d, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	r.wants(w.last(7), binarymessage.Release, binarymessage.Normal)
	w = r.stood(c, 8)
	r.m.OnClosed(r.now, w.link, ClosedNormally)
	r.says(c, binarymessage.Release, 8, binarymessage.CauseParam(binarymessage.Normal))
	n := 0
	for _, o := range r.wires {
		if o.to == addrA {
			n += o.count(8, binarymessage.Release)
		}
	}
	if n != 1 {
		t.Errorf("the switch heard %d releases", n)
	}
}

// A caller that gives up is owed nothing; its attempt is called off, and an answer that crosses that is released.
func TestGivenUp(t *testing.T) {
	r := newRig(t)
	r.mod.to = []int{0}
	c := r.caller()
	r.setUp(c, 7)
	w := r.on(7)
	r.says(c, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	r.wants(w.last(7), binarymessage.Release, binarymessage.Normal)
	r.says(w, binarymessage.Answer, 7, said)
	if n := w.count(7, binarymessage.Release); n != 2 {
		t.Errorf("%d releases went to the switch", n)
	}
	if c.last(7) != nil {
		t.Errorf("the caller got %x", c.last(7))
	}
	if !slices.Contains(r.mod.heard, "left") {
		t.Errorf("the module heard %q", r.mod.heard)
	}
}

// After a restart callers tell of what stands: it is released both ways, and what is over already is told at once.
func TestResumed(t *testing.T) {
	r := newRig(t)
	c := r.caller()
	at := func(id uint64, who string) {
		r.says(c, binarymessage.Setup, id, binarymessage.TextParam(binarymessage.Class, "voice"), binarymessage.TextParam(binarymessage.Figures, "at:"+who))
	}
	var line *wire
	for _, w := range r.wires {
		if w.to == addrA {
			line = w
		}
	}
	at(7, "a")
	at(7, "a") // it may name what is held already
	if c.last(7) != nil {
		t.Errorf("answered with %x", c.last(7))
	}
	r.says(line, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	r.wants(c.last(7), binarymessage.Release, binarymessage.Normal)
	at(8, "a")
	r.says(c, binarymessage.Release, 8, binarymessage.CauseParam(binarymessage.Normal))
	n := 0
	for _, w := range r.wires {
		n += w.count(8, binarymessage.Release)
	}
	if n != 1 || c.last(8) != nil {
		t.Errorf("the switch heard %d releases, the caller got %x", n, c.last(8))
	}
	r.says(line, binarymessage.Release, 9, binarymessage.CauseParam(binarymessage.Failure)) // it ended before its caller told of it
	at(9, "a")
	r.wants(c.last(9), binarymessage.Release, binarymessage.Failure)
	at(10, "nobody")
	r.wants(c.last(10), binarymessage.Release, binarymessage.Failure)
	if len(r.mod.heard) > 0 && slices.Contains(r.mod.heard, "offered") {
		t.Errorf("the module was offered a call that stands: %q", r.mod.heard)
	}
	if calls := r.m.OpenCounts().Calls; calls != 0 {
		t.Errorf("%d calls are left", calls)
	}
}

// An open id again: the newcomer's connection is closed, the call that was there goes on, unless both are one connection's.
func TestSameID(t *testing.T) {
	r := newRig(t)
	r.mod.to = []int{0, 0}
	c, d := r.caller(), r.caller()
	r.setUp(c, 7)
	w := r.on(7)
	r.setUp(d, 7)
	if !d.shut || c.shut {
		t.Errorf("closed: the newcomer's %v, the first one's %v", d.shut, c.shut)
	}
	r.says(w, binarymessage.Answer, 7, said)
	r.wants(c.last(7), binarymessage.Answer, 0)
	r.setUp(c, 8)
	w = r.on(8)
	r.setUp(c, 8)
	if !c.shut {
		t.Error("two set-ups under one id, and the connection stays")
	}
	r.wants(w.last(8), binarymessage.Release, binarymessage.Normal)
}

// A rejected call hears at once, with the time to come back.
func TestDeferred(t *testing.T) {
	r := newRig(t)
	c := r.caller()
	r.setUp(c, 7)
	r.wants(c.last(7), binarymessage.Release, binarymessage.Congested)
	if w := c.last(7).Text(binarymessage.RetryAfter); w != "300" {
		t.Errorf("told to stay away %q ms", w)
	}
}

// A line that brings noise is closed: the setups on it may have run, those on other lines go on.
func TestNoise(t *testing.T) {
	r := newRig(t)
	r.second()
	r.mod.to = []int{0, 0}
	c := r.caller()
	r.setUp(c, 7)
	r.setUp(c, 8)
	one, other := r.on(7), r.on(8)
	if one == other {
		t.Fatal("both are on one line")
	}
	r.m.OnData(r.now, one.link, []byte{0xff, 0xff, 1})
	r.turn()
	if !one.shut || other.shut {
		t.Errorf("closed: %v, the other %v", one.shut, other.shut)
	}
	if got := r.mod.heard[len(r.mod.heard)-1]; got != "ended 5 closed false agent false engaged false wait 0" {
		t.Errorf("the module heard %q", r.mod.heard)
	}
	r.says(other, binarymessage.Answer, 8, said)
	r.wants(c.last(8), binarymessage.Answer, 0)
}

// A good answer after another's under an unknown id, and once more: one answer goes to the caller, nothing is released.
func TestMoreThanBelongs(t *testing.T) {
	r := newRig(t)
	r.mod.to = []int{0}
	c := r.caller()
	r.setUp(c, 7)
	w := r.on(7)
	r.says(w, binarymessage.Answer, 99, said)
	r.says(w, binarymessage.Answer, 7, said)
	r.says(w, binarymessage.Answer, 7, said)
	if c.count(7, binarymessage.Answer) != 1 || w.count(7, binarymessage.Release) != 0 || c.last(99) != nil {
		t.Errorf("the caller got %x, the switch %x", c.got, w.got)
	}
}

// A connection refused is told from a silent one by its time, and both from a reset; nothing ran at either.
func TestNoConnection(t *testing.T) {
	for _, refused := range []bool{true, false} {
		r := newRig(t)
		r.mute = true
		for _, w := range slices.Clone(r.wires) {
			if w.to == addrA {
				r.m.OnClosed(r.now, w.link, ClosedNormally)
			}
		}
		r.turn()
		r.mod.to = []int{0}
		r.setUp(r.caller(), 7)
		if refused {
			for _, w := range slices.Clone(r.wires) {
				if w.to == addrA && !w.link.closed {
					r.m.OnClosed(r.now, w.link, ClosedRefused)
				}
			}
			r.turn()
		} else {
			r.pass(600)
		}
		if got := r.mod.heard[len(r.mod.heard)-1]; got != "ended 4 closed false agent false engaged false wait 0" {
			t.Errorf("refused %v: the module heard %q", refused, r.mod.heard)
		}
	}
}

// A caller that reads nothing is cut off when too much waits for it; it holds nobody up.
func TestReadsNothing(t *testing.T) {
	r := newRig(t)
	c, d := r.caller(), r.caller()
	c.stuck = true
	for i := range uint64(20000) {
		r.m.OnData(r.now, c.link, binarymessage.Append(nil, binarymessage.HealthCheck, i+1, binarymessage.CauseParam(0)))
		if r.m.Step(r.now); c.shut {
			break
		}
	}
	if !c.shut {
		t.Errorf("%d bytes wait", c.link.outgoingBytes)
	}
	r.mod.to = []int{0}
	r.setUp(d, 7)
	r.says(r.on(7), binarymessage.Answer, 7, said)
	r.wants(d.last(7), binarymessage.Answer, 0)
}

// A gateway that stalled counts a caller's timeout from when it last looked.
func TestStoodStill(t *testing.T) {
	r := newRig(t)
	r.mod.to = []int{0}
	c := r.caller()
	r.turn()
	r.now += 1000
	r.setUp(c, 7)
	if left := r.mod.last.Deadline - r.now; left > 2010 || left < 1900 {
		t.Errorf("%.0f ms of 3000 are left after a stall of 1000", left)
	}
}

// Tests wait for a line to a switch, and fail once the gateway leaves.
func TestReady(t *testing.T) {
	r := newRig(t)
	c := r.caller()
	r.says(c, binarymessage.HealthCheck, 5, binarymessage.CauseParam(0))
	r.wants(c.last(5), binarymessage.HealthResult, 1)
	r.m.BeginDrain()
	r.says(c, binarymessage.HealthCheck, 6, binarymessage.CauseParam(0))
	r.wants(c.last(6), binarymessage.HealthResult, 0)
}

// An answer without a description is none that a caller could be told: the call is released and has failed.
func TestNoDescription(t *testing.T) {
	r := newRig(t)
	r.mod.to = []int{0}
	c := r.caller()
	r.setUp(c, 7)
	w := r.on(7)
	r.says(w, binarymessage.Answer, 7)
	r.wants(w.last(7), binarymessage.Release, binarymessage.Normal)
	if c.count(7, binarymessage.Answer) > 0 {
		t.Error("the caller was told that it stands")
	}
}

// A caller's connection that was quiet for long and brings a setup in pieces is not closed between them.
func TestPiecesOnAnIdleLink(t *testing.T) {
	r := newRig(t)
	r.mod.to = []int{0}
	c := r.caller()
	r.says(c, binarymessage.HealthCheck, 5, binarymessage.CauseParam(0))
	r.pass(6000)
	b := binarymessage.Append(nil, binarymessage.Setup, 7, binarymessage.TextParam(binarymessage.Class, "voice"), binarymessage.TextParam(binarymessage.Timeout, "3000"),
		binarymessage.TextParam(binarymessage.Number, "1"), binarymessage.TextParam(binarymessage.Description, "v=0"))
	r.m.OnData(r.now, c.link, b[:10])
	r.pass(900)
	r.m.OnData(r.now, c.link, b[10:20])
	r.pass(900)
	if c.shut {
		t.Fatal("closed between two pieces")
	}
	r.m.OnData(r.now, c.link, b[20:])
	r.turn()
	r.says(r.on(7), binarymessage.Answer, 7, said)
	r.wants(c.last(7), binarymessage.Answer, 0)
}

// full opens callers' connections, each used once, till one has to go.
func (r *rig) full() {
	for i := range uint64(connlimit.MaxClientConns(256)) {
		r.says(r.caller(), binarymessage.HealthCheck, 1000+i, binarymessage.CauseParam(0))
	}
}

// An answer that waits behind a slow reader's socket is not lost to eviction, nor to the look for what is spent.
func TestUnsentIsKept(t *testing.T) {
	r := newRig(t)
	r.mod.to = []int{0}
	c := r.caller()
	r.setUp(c, 7)
	c.stuck = true
	r.says(c, binarymessage.HealthCheck, 5, binarymessage.CauseParam(0)) // the socket has this, and does not take it
	r.says(r.on(7), binarymessage.Answer, 7, said)
	r.says(r.on(7), binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal))
	r.full()
	r.pass(3000)
	if c.shut {
		t.Fatal("closed with an answer in its queue")
	}
	c.stuck = false
	r.m.OnFlushed(r.now, c.link)
	r.turn()
	if c.count(7, binarymessage.Answer) != 1 || c.count(7, binarymessage.Release) != 1 {
		t.Errorf("the caller got %x", c.got)
	}
}

// What a link's end takes along goes another way: a release to another connection or the next one; a call whose caller
// never heard of it is released at its switch.
func TestUnsentAtTheEnd(t *testing.T) {
	r := newRig(t)
	c := r.caller()
	w := r.stood(c, 7)
	c.stuck = true
	r.says(c, binarymessage.HealthCheck, 5, binarymessage.CauseParam(0))
	r.says(w, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal)) // its release waits in the queue
	r.mod.to = []int{0}
	r.setUp(c, 8)
	w = r.on(8)
	r.says(w, binarymessage.Answer, 8, said) // and so does the answer to another
	d := r.caller()
	r.m.OnClosed(r.now, c.link, ClosedReset)
	r.turn()
	r.wants(d.last(7), binarymessage.Release, binarymessage.Normal)
	r.wants(w.last(8), binarymessage.Release, binarymessage.Normal)
	if d.last(8) != nil {
		t.Errorf("a call that its caller gave up with its connection: %x", d.last(8))
	}
	d.stuck = true
	r.says(d, binarymessage.HealthCheck, 6, binarymessage.CauseParam(0))
	w = r.stoodAs(d, 9)
	r.says(w, binarymessage.Release, 9, binarymessage.CauseParam(binarymessage.Normal))
	r.m.OnClosed(r.now, d.link, ClosedReset)
	r.pass(300)
	e := r.caller()
	r.turn()
	if e.count(9, binarymessage.Answer) != 0 {
		t.Errorf("the caller got %x", e.got)
	}
	if calls := r.m.OpenCounts().Calls; calls != 0 {
		t.Errorf("%d calls are left", calls)
	}
}

// stoodAs makes a call that stands and whose answer waits.
func (r *rig) stoodAs(c *wire, id uint64) *wire {
	r.mod.to = []int{0}
	r.setUp(c, id)
	w := r.on(id)
	r.says(w, binarymessage.Answer, id, said)
	return w
}

// A caller that closes or cancels has gone, whatever its setup waits for: no attempt begins any more.
func TestGoneCallers(t *testing.T) {
	for _, closes := range []bool{true, false} {
		for _, state := range []string{"waits for a line", "waits in a line", "waits after a ring", "rings"} {
			r := newRig(t)
			r.mod.to, r.mod.again = []int{0, 1, 0, 1}, true
			c := r.caller()
			switch state {
			case "waits for a line":
				r.mute = true
				for _, w := range r.linesTo(addrA) {
					r.m.OnClosed(r.now, w.link, ClosedNormally)
				}
			case "waits in a line":
				for _, w := range r.linesTo(addrA) {
					r.m.OnData(r.now, w.link, binarymessage.Append(nil, binarymessage.LoadState, 0))
					w.link.writePending = true // under a batch that has not left
				}
				r.mute = true
			}
			r.setUp(c, 7)
			if state == "waits after a ring" {
				r.says(r.on(7), binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Failure))
				r.pass(100)
			}
			rings := 0
			for _, w := range r.wires {
				rings += w.count(7, binarymessage.Setup)
			}
			if closes {
				r.m.OnClosed(r.now, c.link, ClosedNormally)
			} else {
				r.m.OnData(r.now, c.link, binarymessage.Append(nil, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal)))
			}
			r.mute = false
			for _, w := range r.wires {
				w.link.writePending = false
			}
			r.pass(3000)
			after := 0
			for _, w := range r.wires {
				after += w.count(7, binarymessage.Setup)
			}
			if after != rings {
				t.Errorf("closes %v, %s: %d rings before, %d after", closes, state, rings, after)
			}
			if calls := r.m.OpenCounts().Calls; calls != 0 || c.last(7) != nil {
				t.Errorf("closes %v, %s: %d calls are left, the caller got %x", closes, state, calls, c.last(7))
			}
		}
	}
}

// An attempt that is called off before it has left has not run, and nothing of it goes out.
func TestCalledOffAtOnce(t *testing.T) {
	r := newRig(t)
	r.mod.to = []int{0}
	c := r.caller()
	r.m.OnData(r.now, c.link, binarymessage.Append(nil, binarymessage.Setup, 7, binarymessage.TextParam(binarymessage.Class, "voice"),
		binarymessage.TextParam(binarymessage.Timeout, "3000"), binarymessage.TextParam(binarymessage.Number, "1")))
	r.m.ProcessBatch(r.now, nil) // it has been tried, and is in its line's queue
	r.m.OnData(r.now, c.link, binarymessage.Append(nil, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal)))
	r.pass(100)
	for _, w := range r.wires {
		if w.last(7) != nil {
			t.Errorf("a switch got %x", w.last(7))
		}
	}
	if got := r.mod.heard[len(r.mod.heard)-1]; got != "ended 7 closed true agent false engaged false wait 0" {
		t.Errorf("the module heard %q", r.mod.heard)
	}
}

// Callers that asked once and keep their connections fill all places: one that has just come is let in, and served.
func TestPlacesKept(t *testing.T) {
	r := newRig(t)
	r.full()
	r.pass(1000)
	for i := range uint64(5) {
		c := r.caller()
		if c.link == nil || c.shut {
			t.Fatal("who has just come was shut out")
		}
		r.mod.to = []int{0}
		r.setUp(c, 7+i)
		r.says(r.on(7+i), binarymessage.Answer, 7+i, said)
		r.wants(c.last(7+i), binarymessage.Answer, 0)
	}
}

// Before the process goes: what is held is answered, and then callers' connections end in order; what comes after that is
// not taken, and nothing is written any more.
func TestCloseWrite(t *testing.T) {
	r := newRig(t)
	r.mod.to = []int{0, 0}
	c, slow := r.caller(), r.caller()
	r.setUp(c, 7)
	slow.stuck = true
	r.says(slow, binarymessage.HealthCheck, 5, binarymessage.CauseParam(0))
	r.setUp(slow, 8)
	r.m.RejectAll(r.now)
	r.wants(c.last(7), binarymessage.Release, binarymessage.Congested)
	if unsent, open := r.m.ClientConns(); unsent != 1 || open != 2 {
		t.Errorf("%d of %d have something that has not left", unsent, open)
	}
	slow.stuck = false
	r.m.OnFlushed(r.now, slow.link)
	r.m.Step(r.now)
	r.wants(slow.last(8), binarymessage.Release, binarymessage.Congested)
	if unsent, _ := r.m.ClientConns(); unsent != 0 {
		t.Errorf("%d have something that has not left", unsent)
	}
	r.m.CloseClientWrites()
	before, heard := len(c.got), len(r.mod.heard)
	r.setUp(c, 9)
	if len(r.mod.heard) != heard {
		t.Errorf("the module heard %q", r.mod.heard[heard:])
	}
	if !c.ended || !slow.ended || c.shut || len(c.got) != before {
		t.Errorf("ended %v and %v, shut %v, got %x", c.ended, slow.ended, c.shut, c.got[before:])
	}
}

// What crosses on the way is settled once: releases of both sides, a caller's close and the switch's answer in one batch,
// whichever comes first.
func TestCrossings(t *testing.T) {
	r := newRig(t)
	c, d := r.caller(), r.caller()
	w := r.stood(c, 7)
	r.m.OnData(r.now, c.link, binarymessage.Append(nil, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal)))
	r.m.OnData(r.now, w.link, binarymessage.Append(nil, binarymessage.Release, 7, binarymessage.CauseParam(binarymessage.Normal)))
	r.turn()
	if c.count(7, binarymessage.Release) != 0 || w.count(7, binarymessage.Release) != 1 {
		t.Errorf("the caller's release first: the caller got %x, the switch %x", c.got, w.got)
	}
	w = r.stood(c, 8)
	r.m.OnData(r.now, w.link, binarymessage.Append(nil, binarymessage.Release, 8, binarymessage.CauseParam(binarymessage.Normal)))
	r.m.OnData(r.now, c.link, binarymessage.Append(nil, binarymessage.Release, 8, binarymessage.CauseParam(binarymessage.Normal)))
	r.turn()
	if c.count(8, binarymessage.Release) != 1 || w.count(8, binarymessage.Release) != 0 {
		t.Errorf("the switch's release first: the caller got %x, the switch %x", c.got, w.got)
	}
	for id, closesFirst := range map[uint64]bool{9: true, 10: false} {
		e := r.caller()
		r.mod.to = []int{0}
		r.setUp(e, id)
		w = r.on(id)
		answer := binarymessage.Append(nil, binarymessage.Answer, id, said)
		if closesFirst {
			r.m.OnClosed(r.now, e.link, ClosedReset)
			r.m.OnData(r.now, w.link, answer)
		} else {
			r.m.OnData(r.now, w.link, answer)
			r.m.OnClosed(r.now, e.link, ClosedReset)
		}
		r.pass(100)
		if w.count(id, binarymessage.Release) == 0 || c.last(id) != nil || d.last(id) != nil || e.last(id) != nil {
			t.Errorf("close first %v: the switch got %x", closesFirst, w.got)
		}
	}
	if calls := r.m.OpenCounts().Calls; calls != 0 {
		t.Errorf("%d calls are left", calls)
	}
}

// A switch is killed behind its accept while a call stands, an attempt is out and a give-up is in the socket: the attempt ends as
// one that may have run, the give-up as what it is, and the call is over for its caller.
func TestKilledWithAllThree(t *testing.T) {
	r := newRig(t)
	c := r.caller()
	w := r.stood(c, 7)
	r.mod.to = []int{0}
	r.setUp(c, 8)
	if r.on(8) != w {
		t.Fatal("another line")
	}
	r.mod.to = []int{0}
	r.setUp(c, 9)
	for _, o := range r.linesTo(addrA) {
		o.stuck = true
	}
	r.m.OnData(r.now, c.link, binarymessage.Append(nil, binarymessage.Release, 9, binarymessage.CauseParam(binarymessage.Normal))) // its give-up is in the socket
	r.turn()
	r.mute = true
	r.mod.heard = nil
	for _, o := range r.linesTo(addrA) {
		r.m.OnClosed(r.now, o.link, ClosedReset)
	}
	r.refuse(addrA, 100)
	r.wants(c.last(7), binarymessage.Release, binarymessage.Failure)
	for _, want := range []string{"ended 5 closed false agent false engaged false wait 0", "ended 6 closed true agent false engaged false wait 0"} {
		if !slices.Contains(r.mod.heard, want) {
			t.Errorf("the module heard %q, not %q", r.mod.heard, want)
		}
	}
	if c.last(9) != nil {
		t.Errorf("the caller that gave up got %x", c.last(9))
	}
}
