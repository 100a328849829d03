// Package binarystandin has stand-ins of what a gateway on the platform talks to, in virtual time: switches and callers
// with seeded faults, around the machine itself. What crosses its sockets is handed to a judge.
package binarystandin

//tally:standin

import (
	"math"
	"net/netip"
	"slices"
	"strconv"

	"cobaltpier/internal/conformance/binaryconformance"
	"cobaltpier/internal/detrand"
	"cobaltpier/internal/protocol/binarygateway"
	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/protocol/dnsdiscovery"
	"cobaltpier/internal/routing"
	"cobaltpier/internal/timerqueue"
)

// Faults are the shares of what goes wrong, 0 to 1.
type Faults struct {
	Malformed     float64 // answers that are noise
	Late          float64 // answers that come after the setup was given up
	Unanswered    float64 // answers that never come
	Duplicate     float64 // answers that come twice
	Unsolicited   float64 // an answer under an unknown id comes first
	Reset         float64 // lines that are reset under a setup
	Overloaded    float64 // setups rejected
	Failed        float64 // setups that fail
	Cut           float64 // calls that are cut
	CallerLeaves  float64 // callers that do not wait
	CallerHangsUp float64 // callers that release what stands
	ClientCloses  float64 // callers' connections closed under a setup
	Blocked       float64 // writes to switches that do not leave at once
	Fragmented    bool    // bytes come in pieces
	Drains        float64 // switches told to drain, a second
	Crashes       float64 // switches that die, a second
	Vanish        float64 // switches that vanish, a second
}

// World is one gateway among its stand-ins.
type World struct {
	Gateway     *binarygateway.Gateway
	Checker     *binaryconformance.Checker
	Faults      Faults
	Rate        float64 // setups a second
	HoldingTime float64 // ms that a call stands
	AnswerTime  float64 // ms until an answer
	StopAt      float64 // no setups after this

	seed, draws  uint64
	now          float64
	timers       timerqueue.Queue
	byAddr       map[netip.AddrPort]*Endpoint
	endpoints    []*Endpoint
	conns        []*conn // callers'
	byConn       map[*binarygateway.Conn]*conn
	dialed       int
	calls        uint64
	serial       uint32
	destinations int
}

// New makes a world of so many switches.
func New(seed uint64, cfg *binarygateway.Config, newPolicy routing.PolicyFactory, endpointCount int,
	checker *binaryconformance.Checker) *World {
	w := &World{
		Checker:     checker,
		seed:        seed,
		now:         1e6,
		byAddr:      map[netip.AddrPort]*Endpoint{},
		byConn:      map[*binarygateway.Conn]*conn{},
		Rate:        20,
		HoldingTime: 800,
		AnswerTime:  30,
	}
	cfg.FromUnixMillis = func(unix float64) float64 { return unix }
	w.Gateway = binarygateway.New(w.now, cfg, newPolicy, w)
	for range endpointCount {
		w.addEndpoint()
	}
	w.sendList()
	return w
}

// Chance draws a number from 0 to 1.
func (w *World) Chance() float64 {
	w.draws++
	return detrand.Float64(w.seed, w.draws)
}

func (w *World) happens(share float64) bool { return share > 0 && w.Chance() < share }

func (w *World) after(ms float64, do func()) { w.timers.Schedule(w.now+ms, do) }

// addEndpoint puts a new switch up; it may take the address of one that has gone.
func (w *World) addEndpoint() {
	w.destinations++
	destination := (w.destinations - 1) % 4
	addr := w.freeAddress()
	s := &Endpoint{w: w, id: "s-" + strconv.Itoa(w.destinations), addr: addr, destination: destination,
		state: routing.Ready, established: map[uint64]bool{}, pending: map[uint64]*conn{}}
	w.byAddr[s.addr] = s
	w.endpoints = append(w.endpoints, s)
}

// freeAddress is the first address that no switch of the list has: that of one that has gone comes again.
func (w *World) freeAddress() netip.AddrPort {
	for i := byte(1); ; i++ {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, i}), 5070)
		if !slices.ContainsFunc(w.endpoints, func(s *Endpoint) bool { return s.addr == a && s.state != routing.Gone }) {
			return a
		}
	}
}

// sendList delivers the list.
func (w *World) sendList() {
	w.serial++
	l := &dnsdiscovery.List{Serial: w.serial, Complete: true}
	for _, s := range w.endpoints {
		if s.state != routing.Gone {
			l.Targets = append(
				l.Targets,
				dnsdiscovery.Target{ID: s.id, Addr: s.addr, DestinationID: s.destination, State: s.state},
			)
		}
		w.Checker.OnEndpointState(w.now, s.id, s.state == routing.Ready)
	}
	w.endpoints = slices.DeleteFunc(w.endpoints, func(s *Endpoint) bool { return s.state == routing.Gone })
	w.Gateway.OnEndpointList(w.now, l)
}

// Run plays till a time on from the start, ms.
func (w *World) Run(ms float64) {
	end := w.now + ms
	if w.StopAt == 0 {
		w.StopAt = end
	} else {
		w.StopAt += w.now
	}
	w.after(50, w.sendSetup)
	w.after(500, w.injectFaults)
	for w.now < end {
		w.Gateway.Step(w.now)
		next := math.Min(math.Min(w.timers.Next(), w.Gateway.NextWakeup()), end)
		w.now = math.Max(w.now+0.01, next)
		w.timers.Run(w.now)
	}
	w.Checker.Finish(w.now)
}

// Now is the time.
func (w *World) Now() float64 { return w.now }

// injectFaults has switches drain, die and vanish.
func (w *World) injectFaults() {
	w.after(500, w.injectFaults)
	f, now := &w.Faults, w.now
	if now > w.StopAt {
		return
	}
	live := 0
	for _, s := range w.endpoints {
		if s.state == routing.Ready && !s.dead && !s.vanished {
			live++
		}
	}
	for _, s := range slices.Clone(w.endpoints) {
		if s.state != routing.Ready || s.dead || s.vanished || live < 2 {
			continue
		}
		switch {
		case w.happens(f.Drains / 2):
			s.state = routing.Draining
			w.sendList()
			live--
			w.after(1500, func() {
				s.crash()
				s.state = routing.Gone
				w.addEndpoint()
				w.sendList()
			})
		case w.happens(f.Crashes / 2):
			live--
			s.crash()
			w.after(1500, func() {
				s.state = routing.Gone
				w.addEndpoint()
				w.sendList()
			})
		case w.happens(f.Vanish / 2):
			live--
			s.vanished = true
			w.Checker.OnEndpointDied(w.now, s.id)
			w.after(9000, func() {
				s.crash()
				s.state = routing.Gone
				w.addEndpoint()
				w.sendList()
			})
		}
	}
}

// sendSetup sends the next setup.
func (w *World) sendSetup() {
	if w.now > w.StopAt {
		return
	}
	w.after(-math.Log(1-w.Chance())*1000/w.Rate, w.sendSetup)
	w.conns = slices.DeleteFunc(w.conns, func(c *conn) bool { return c.closed })
	if len(w.conns) < 3 {
		c := &conn{w: w}
		c.gatewayConn = w.Gateway.OnAccepted(w.now, c, netip.MustParseAddr("127.0.0.9"))
		if c.gatewayConn == nil {
			return
		}
		w.conns = append(w.conns, c)
		w.Checker.SetClientConnected(w.now, true)
	}
	c := w.conns[int(w.Chance()*float64(len(w.conns)))]
	w.calls++
	id := detrand.Hash(w.seed, 0xca11, w.calls)
	timeout := 1500 + 1500*w.Chance()
	c.send(
		binarymessage.Setup,
		id,
		binarymessage.TextParam(binarymessage.Class, "voice"),
		binarymessage.TextParam(binarymessage.Timeout, strconv.Itoa(int(timeout))),
		binarymessage.TextParam(binarymessage.Number, "n"+strconv.FormatUint(id%50, 10)),
		binarymessage.TextParam(binarymessage.Figures, "dest:"+strconv.Itoa(int(id%4))+";width:1;via:-1"),
		binarymessage.TextParam(binarymessage.Description, "offer"),
	)
	c.pendingCalls = append(c.pendingCalls, id)
	if w.happens(w.Faults.CallerLeaves) {
		w.after(w.Chance()*3*w.AnswerTime, func() {
			if !c.closed && slices.Contains(c.pendingCalls, id) {
				c.pendingCalls = slices.DeleteFunc(c.pendingCalls, func(o uint64) bool { return o == id })
				c.send(binarymessage.Release, id, binarymessage.CauseParam(binarymessage.Normal))
			}
		})
	}
	if w.happens(w.Faults.ClientCloses) {
		w.after(w.Chance()*2*w.AnswerTime, c.reset)
	}
}
