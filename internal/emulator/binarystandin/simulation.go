// Package binarystandin simulates, in virtual time, the endpoints and clients of a gateway on the platform, with seeded
// faults. It runs the real protocol gateway and hands the messages on all connections to a conformance checker.
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

// Faults are the rates of faults: shares from 0 to 1 or, where it says so, events a second for each endpoint.
type Faults struct {
	Malformed     float64 // answers replaced by invalid bytes
	Late          float64 // answers sent after the attempt has timed out
	Unanswered    float64 // setups that get no answer
	Duplicate     float64 // answers sent twice
	Unsolicited   float64 // answers preceded by one with an unknown call ID
	Reset         float64 // connections reset in place of an answer
	Overloaded    float64 // setups rejected for overload
	Failed        float64 // setups that fail
	Cut           float64 // calls released with a failure cause
	CallerLeaves  float64 // callers that cancel before the answer
	CallerHangsUp float64 // callers that release an established call
	ClientCloses  float64 // client connections reset shortly after a setup
	Blocked       float64 // writes to endpoints that are delayed, as by a full socket buffer
	Fragmented    bool    // messages reach the gateway in pieces
	Drains        float64 // endpoints set to drain, a second
	Crashes       float64 // endpoints that crash, a second
	Vanish        float64 // endpoints that stop responding while their connections stay open, a second
}

// World is one gateway with its simulated endpoints and clients.
type World struct {
	Gateway     *binarygateway.Gateway
	Checker     *binaryconformance.Checker
	Faults      Faults
	Rate        float64 // setups a second
	HoldingTime float64 // ms, mean duration of an established call
	AnswerTime  float64 // ms, mean time from a setup to its answer
	StopAt      float64 // ms from the start; no setups or new faults after it. 0: the end of the run

	seed, draws  uint64
	now          float64
	timers       timerqueue.Queue
	byAddr       map[netip.AddrPort]*Endpoint
	endpoints    []*Endpoint
	conns        []*conn // of clients
	byConn       map[*binarygateway.Conn]*conn
	dialed       int
	calls        uint64
	serial       uint32
	destinations int
}

// New returns a simulation with the given number of endpoints.
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

// Chance returns the next pseudo-random number in [0, 1).
func (w *World) Chance() float64 {
	w.draws++
	return detrand.Float64(w.seed, w.draws)
}

func (w *World) happens(share float64) bool { return share > 0 && w.Chance() < share }

func (w *World) after(ms float64, do func()) { w.timers.Schedule(w.now+ms, do) }

// addEndpoint starts a new endpoint, which may get the address of one that is gone.
func (w *World) addEndpoint() {
	w.destinations++
	destinationID := (w.destinations - 1) % 4
	addr := w.freeAddress()
	s := &Endpoint{w: w, id: "s-" + strconv.Itoa(w.destinations), addr: addr, destination: destinationID,
		state: routing.Ready, established: map[uint64]bool{}, pending: map[uint64]*conn{}}
	w.byAddr[s.addr] = s
	w.endpoints = append(w.endpoints, s)
}

// freeAddress returns the first address that no listed endpoint has. Addresses of endpoints that are gone are reused.
func (w *World) freeAddress() netip.AddrPort {
	for i := byte(1); ; i++ {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, i}), 5070)
		if !slices.ContainsFunc(w.endpoints, func(s *Endpoint) bool { return s.addr == a && s.state != routing.Gone }) {
			return a
		}
	}
}

// sendList delivers the current endpoint list to the gateway and the checker.
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

// Run simulates the given time in ms.
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

// Now returns the virtual time in ms.
func (w *World) Now() float64 { return w.now }

// injectFaults makes endpoints drain, crash and stop responding. It runs every 500 ms.
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

// sendSetup sends a setup on a random client connection and schedules the next one.
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
