package scenario

import (
	"math"
	"net/netip"
	"strings"

	"cobaltpier/api"
	"cobaltpier/internal/emulator/callers"
	"cobaltpier/internal/emulator/enumclient"
	"cobaltpier/internal/emulator/simulation"
	"cobaltpier/internal/emulator/workload"
	"cobaltpier/internal/protocol/enumserver"
)

// ENUMApex is the domain under which ENUM clients look up numbers.
const ENUMApex = "kiosk.lab."

// enumCaller makes the calls of ENUM clients to one switch.
type enumCaller struct {
	*callers.Callers
	node *simulation.Node
}

// setupENUMClients adds the nodes of the ENUM clients and plans their look-ups.
func (st *Scenario) setupENUMClients() {
	s := st.Script
	if s.ENUMClients.Rate <= 0 {
		return
	}
	sim, random := st.Simulation, &st.random
	port := int(st.Gateways[0].Addr.Port())
	for i, g := range st.Gateways {
		g.ENUMAddr, g.enumCallers = addr(1, i, port+40), map[netip.AddrPort]*enumCaller{}
		at := addr(9, i, port)
		g.ENUMNode = sim.Add(&simulation.Node{Addr: g.ENUMAddr, Name: g.Name, Region: g.Region, Tapped: true})
		st.recordNode(g.ENUMAddr, "front", g.Name)
		send := func(data []byte) { sim.Send(at, g.ENUMAddr, data) }
		g.ENUMClients = enumclient.New(
			enumclient.Config{
				Apex: ENUMApex, Wait: s.ENUMClients.Wait, Repeats: s.ENUMClients.Repeats, Asks: s.ENUMClients.Asks, Pause: 900,
			},
			s.Seed*37+uint64(i),
			send,
			send,
		)
		g.ENUMClients.Call = func(now float64, v *enumclient.Visit, user string, to netip.AddrPort) {
			st.callFromENUMClient(g, now, v, user, to)
		}
		g.enumClientsNode = sim.Add(&simulation.Node{Addr: at, Name: g.Name, Region: g.Region, Machine: g.ENUMClients})
		st.recordNode(at, "kiosk", g.Name)
	}
	for t := 0.0; ; {
		t += -math.Log(1-random.Float64()) * 1000 / s.ENUMClients.Rate
		if t >= s.Length-1000 {
			break
		}
		destination := workload.PickWeighted(random.Float64(), len(st.endpoints),
			func(i int) float64 { return 1 / st.endpoints[i].model.Setup })
		number := "1418"
		if st.Numbering != nil {
			number = strings.TrimPrefix(st.dialledNumber(destination, random.Float64()), "+")
		}
		g := st.Gateways[int(random.Float64()*float64(len(st.Gateways)))]
		g.ENUMClients.Plan(&enumclient.Visit{At: t, Number: number, Hold: -math.Log(1-random.Float64()) * s.ENUMClients.Hold})
	}
	for _, g := range st.Gateways {
		g.enumClientsNode.ScheduleWakeup()
	}
}

// callFromENUMClient plans the call to the switch that a look-up has named.
func (st *Scenario) callFromENUMClient(g *Gateway, now float64, v *enumclient.Visit, user string, to netip.AddrPort) {
	sim := st.Simulation
	caller := g.enumCallers[to]
	if caller == nil {
		at := netip.AddrPortFrom(g.enumClientsNode.Addr.Addr(),
			g.enumClientsNode.Addr.Port()+uint16(100+len(g.enumCallers)))
		c := callers.New(
			callers.Behavior{Context: Context, Parse: st.Parse, HangUpDelay: st.Script.Callers.Silence},
			at,
			to,
			st.Script.Pools.Model.Times,
			st.Script.Seed*41+uint64(at.Port())+uint64(g.Number)<<20,
			func(dst netip.AddrPort, data []byte) {
				st.record(&api.Record_Datagram{Datagram: &api.Datagram{From: at.String(), To: dst.String(), Data: data}})
				sim.Send(at, dst, data)
			},
		)
		caller = &enumCaller{c, sim.Add(&simulation.Node{Addr: at, Name: g.Name, Region: g.Region, Machine: c})}
		g.enumCallers[to] = caller
		st.recordNode(at, "kiosk-phone", g.Name)
	}
	number, rest, _ := strings.Cut(user, ";")
	class := st.Script.Classes[0]
	caller.Plan(
		&callers.Arrival{
			At:               now,
			Number:           number + ";" + rest,
			Class:            class.Name,
			Tenant:           st.Script.Tenants[0].Name,
			HoldingTime:      v.Hold,
			LatencyObjective: class.Target,
			Timeout:          class.Patience,
			AttemptTimeout:   class.Try,
			Weight:           1,
		},
	)
	caller.node.ScheduleWakeup()
}

// ENUMConfig returns the configuration of the gateways' ENUM servers.
func (st *Scenario) ENUMConfig() enumserver.Config {
	return enumserver.Config{
		Apex:             ENUMApex,
		Class:            st.Script.Classes[0].Name,
		NegativeTTL:      30,
		Timeout:          3000,
		RepeatWindow:     5000,
		MaxAmplification: 8,
		MaxPending:       2000,
		MaxRemembered:    10000,
		TrunkContext:     Context,
		Limits: enumserver.Limits{
			Rate:       50,
			Burst:      100,
			MaxClients: 10000,
			Networks:   []enumserver.Net{{Prefix: netip.MustParsePrefix("127.90.0.0/16"), Rate: 5000}},
		},
	}
}

// ENUMService is the result of the look-ups and calls of the ENUM clients.
type ENUMService struct {
	Lookups, Named, Established, Dropped, None, Silent int
	Waits                                              []float64 // time to a look-up's answer, in ms
}

// ENUMService sums up the results of all ENUM clients.
func (st *Scenario) ENUMService() ENUMService {
	var s ENUMService
	for _, g := range st.Gateways {
		if g.ENUMClients == nil {
			continue
		}
		s.Silent += g.ENUMClients.Silent
		for _, v := range g.ENUMClients.Visits {
			s.Lookups++
			if v.None {
				s.None++
			}
			if !math.IsNaN(v.Named) {
				s.Named++
				s.Waits = append(s.Waits, v.Named-v.At)
			}
		}
		for _, caller := range g.enumCallers {
			for _, record := range caller.Records {
				if !math.IsNaN(record.AnsweredAt) {
					s.Established++
				}
				if record.Dropped {
					s.Dropped++
				}
			}
		}
	}
	return s
}

// enumMachine passes datagrams to the ENUM server of a gateway in virtual time.
type enumMachine struct{ gateway *VirtualGateway }

// Receive implements simulation.Machine.
func (m *enumMachine) Receive(_ float64, from netip.AddrPort, data []byte) {
	b := m.gateway
	b.enqueue(func(now float64) {
		if b.enumServer != nil {
			b.enumServer.Receive(now, from, data, false,
				func(out []byte) { b.fleet.Scenario.Simulation.Send(b.gateway.ENUMAddr, from, out) })
		}
	})
}

// Step implements simulation.Machine.
func (*enumMachine) Step(float64) {}

// NextWakeup implements simulation.Machine.
func (*enumMachine) NextWakeup() float64 { return math.Inf(1) }
