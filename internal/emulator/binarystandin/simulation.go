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
	WrongLength   float64 // answers with a length field that is too large
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
	Forgotten     float64 // writes to connections that the endpoint has forgotten: they are lost and answered by a reset
	Blocked       float64 // writes to endpoints that are delayed, as by a full socket buffer
	Fragmented    bool    // messages reach the gateway in pieces
	Drains        float64 // endpoints set to drain, a second
	Crashes       float64 // endpoints that crash, a second
	Silences      float64 // endpoints that are silent for 6 s, with their calls and connections intact, a second
	Vanish        float64 // endpoints that stop responding while their connections stay open, a second
}

// Simulation is one gateway with its simulated endpoints and clients.
type Simulation struct {
	Gateway     *binarygateway.Gateway
	Checker     *binaryconformance.Checker
	Faults      Faults
	Rate        float64 // setups a second
	HoldingTime float64 // ms, mean duration of an established call
	AnswerTime  float64 // ms, mean time from a setup to its answer
	StopAt      float64 // ms from the start; no setups or new faults after it. 0: the end of the run
	RejectAt    float64 // ms from the start: the gateway answers all pending calls and admits no more. 0: never

	seed, draws  uint64
	now          float64
	timers       timerqueue.Queue
	byAddr       map[netip.AddrPort]*Endpoint
	endpoints    []*Endpoint
	conns        []*conn // of clients
	byConn       map[*binarygateway.Conn]*conn
	dialed       int
	accepted     int
	calls        uint64
	serial       uint32
	destinations int
}

// New returns a simulation with the given number of endpoints.
func New(seed uint64, cfg *binarygateway.Config, newPolicy routing.PolicyFactory, endpointCount int,
	checker *binaryconformance.Checker) *Simulation {
	sim := &Simulation{
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
	sim.Gateway = binarygateway.New(sim.now, cfg, newPolicy, sim)
	for range endpointCount {
		sim.addEndpoint()
	}
	sim.sendList()
	return sim
}

// Random returns the next pseudo-random number in [0, 1).
func (sim *Simulation) Random() float64 {
	sim.draws++
	return detrand.Float64(sim.seed, sim.draws)
}

func (sim *Simulation) happens(share float64) bool { return share > 0 && sim.Random() < share }

func (sim *Simulation) after(ms float64, do func()) { sim.timers.Schedule(sim.now+ms, do) }

// addEndpoint starts a new endpoint, which may get the address of one that is gone.
func (sim *Simulation) addEndpoint() {
	sim.destinations++
	destinationID := (sim.destinations - 1) % 4
	addr := sim.freeAddress()
	endpoint := &Endpoint{sim: sim, id: "s-" + strconv.Itoa(sim.destinations), addr: addr, destination: destinationID,
		state: routing.Ready, established: map[uint64]bool{}, pending: map[uint64]*conn{}}
	sim.byAddr[endpoint.addr] = endpoint
	sim.endpoints = append(sim.endpoints, endpoint)
}

// freeAddress returns the first address that no listed endpoint has. Addresses of endpoints that are gone are reused.
func (sim *Simulation) freeAddress() netip.AddrPort {
	for i := byte(1); ; i++ {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, i}), 5070)
		if !slices.ContainsFunc(sim.endpoints, func(endpoint *Endpoint) bool {
			return endpoint.addr == a && endpoint.state != routing.Gone
		}) {
			return a
		}
	}
}

// sendList delivers the current endpoint list to the gateway and the checker.
func (sim *Simulation) sendList() {
	sim.serial++
	l := &dnsdiscovery.List{Serial: sim.serial, Complete: true}
	for _, endpoint := range sim.endpoints {
		if endpoint.state != routing.Gone {
			l.Entries = append(
				l.Entries,
				dnsdiscovery.Entry{
					ID:            endpoint.id,
					Addr:          endpoint.addr,
					DestinationID: endpoint.destination,
					State:         endpoint.state,
				},
			)
		}
		sim.Checker.OnEndpointState(sim.now, endpoint.id, endpoint.state == routing.Ready)
	}
	sim.endpoints = slices.DeleteFunc(sim.endpoints, func(endpoint *Endpoint) bool {
		return endpoint.state == routing.Gone
	})
	sim.Gateway.OnEndpointList(sim.now, l)
}

// Run simulates the given time in ms.
func (sim *Simulation) Run(ms float64) {
	end := sim.now + ms
	if sim.StopAt == 0 {
		sim.StopAt = end
	} else {
		sim.StopAt += sim.now
	}
	sim.after(50, sim.sendSetup)
	sim.after(500, sim.injectFaults)
	if sim.RejectAt > 0 {
		sim.after(sim.RejectAt, func() { sim.Gateway.RejectAll(sim.now) })
	}
	for sim.now < end {
		sim.Gateway.Step(sim.now)
		next := math.Min(math.Min(sim.timers.Next(), sim.Gateway.NextWakeup()), end)
		sim.now = math.Max(sim.now+0.01, next)
		sim.timers.Run(sim.now)
	}
	sim.Checker.Finish(sim.now)
}

// Now returns the virtual time in ms.
func (sim *Simulation) Now() float64 { return sim.now }

// silenceDuration is how long an endpoint with the fault Silences is silent, ms.
const silenceDuration = 6000

// injectFaults makes endpoints drain, crash and stop responding. It runs every 500 ms.
func (sim *Simulation) injectFaults() {
	sim.after(500, sim.injectFaults)
	f, now := &sim.Faults, sim.now
	if now > sim.StopAt {
		return
	}
	live := 0
	for _, endpoint := range sim.endpoints {
		if endpoint.state == routing.Ready && !endpoint.crashed && !endpoint.unreachable && !endpoint.silent {
			live++
		}
	}
	for _, endpoint := range slices.Clone(sim.endpoints) {
		if endpoint.state != routing.Ready || endpoint.crashed || endpoint.unreachable || endpoint.silent || live < 2 {
			continue
		}
		switch {
		case sim.happens(f.Drains / 2):
			endpoint.state = routing.Draining
			sim.sendList()
			live--
			sim.after(1500, func() {
				endpoint.crash()
				endpoint.state = routing.Gone
				sim.addEndpoint()
				sim.sendList()
			})
		case sim.happens(f.Crashes / 2):
			live--
			endpoint.crash()
			sim.after(1500, func() {
				endpoint.state = routing.Gone
				sim.addEndpoint()
				sim.sendList()
			})
		case sim.happens(f.Silences / 2):
			live--
			endpoint.silent = true
			sim.Checker.OnEndpointSilent(sim.now, endpoint.id)
			sim.after(silenceDuration, func() {
				endpoint.silent = false
				sim.Checker.OnEndpointReachable(sim.now, endpoint.id)
			})
		case sim.happens(f.Vanish / 2):
			live--
			endpoint.unreachable = true
			sim.Checker.OnEndpointDied(sim.now, endpoint.id)
			sim.after(9000, func() {
				endpoint.crash()
				endpoint.state = routing.Gone
				sim.addEndpoint()
				sim.sendList()
			})
		}
	}
}

// sendSetup sends a setup on a random client connection and schedules the next one.
func (sim *Simulation) sendSetup() {
	if sim.now > sim.StopAt {
		return
	}
	sim.after(-math.Log(1-sim.Random())*1000/sim.Rate, sim.sendSetup)
	sim.conns = slices.DeleteFunc(sim.conns, func(c *conn) bool { return c.closed })
	if len(sim.conns) < 3 {
		sim.accepted++
		c := &conn{sim: sim, connNumber: sim.accepted}
		c.gatewayConn = sim.Gateway.OnAccepted(sim.now, c, netip.MustParseAddr("127.0.0.9"))
		if c.gatewayConn == nil {
			return
		}
		sim.conns = append(sim.conns, c)
		sim.Checker.SetClientConnected(sim.now, true)
	}
	c := sim.conns[int(sim.Random()*float64(len(sim.conns)))]
	sim.calls++
	id := detrand.Hash(sim.seed, 0xca11, sim.calls)
	timeout := 1500 + 1500*sim.Random()
	c.send(
		binarymessage.Setup,
		id,
		binarymessage.TextParam(binarymessage.Class, "voice"),
		binarymessage.TextParam(binarymessage.Timeout, strconv.Itoa(int(timeout))),
		binarymessage.TextParam(binarymessage.Number, "n"+strconv.FormatUint(id%50, 10)),
		binarymessage.TextParam(binarymessage.RoutingParams, "dest:"+strconv.Itoa(int(id%4))+";width:1;via:-1"),
		binarymessage.TextParam(binarymessage.Description, "offer"),
	)
	c.pendingCalls = append(c.pendingCalls, id)
	if sim.happens(sim.Faults.CallerLeaves) {
		sim.after(sim.Random()*3*sim.AnswerTime, func() {
			if !c.closed && slices.Contains(c.pendingCalls, id) {
				c.pendingCalls = slices.DeleteFunc(c.pendingCalls, func(pendingID uint64) bool { return pendingID == id })
				c.send(binarymessage.Release, id, binarymessage.CauseParam(binarymessage.Normal))
			}
		})
	}
	if sim.happens(sim.Faults.ClientCloses) {
		sim.after(sim.Random()*2*sim.AnswerTime, c.reset)
	}
}
