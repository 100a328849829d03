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

// KioskApex is the domain that kiosks ask under.
const KioskApex = "kiosk.lab."

// phone is a kiosk's own calls to one switch.
type phone struct {
	*callers.Callers
	node *simulation.Node
}

// openKiosks plans the visits and puts the kiosks' nodes in.
func (st *Scenario) openKiosks() {
	s := st.Script
	if s.Kiosks.Rate <= 0 {
		return
	}
	w, n := st.World, &st.names
	port := int(st.Gateways[0].Addr.Port())
	for i, g := range st.Gateways {
		g.Front, g.phones = addr(1, i, port+40), map[netip.AddrPort]*phone{}
		at := addr(9, i, port)
		g.FrontAt = w.Add(&simulation.Node{Addr: g.Front, Name: g.Name, Region: g.Region, Tapped: true})
		st.node(g.Front, "front", g.Name)
		send := func(data []byte) { w.Send(at, g.Front, data) }
		g.Kiosks = enumclient.New(
			enumclient.Manners{Apex: KioskApex, Wait: s.Kiosks.Wait, Repeats: s.Kiosks.Repeats, Asks: s.Kiosks.Asks, Pause: 900},
			s.Seed*37+uint64(i),
			send,
			send,
		)
		g.Kiosks.Call = func(now float64, v *enumclient.Visit, user string, to netip.AddrPort) {
			st.kioskCalls(g, now, v, user, to)
		}
		g.kiosks = w.Add(&simulation.Node{Addr: at, Name: g.Name, Region: g.Region, Machine: g.Kiosks})
		st.node(at, "kiosk", g.Name)
	}
	for t := 0.0; ; {
		t += -math.Log(1-n.Float64()) * 1000 / s.Kiosks.Rate
		if t >= s.Length-1000 {
			break
		}
		home := workload.Pick(n.Float64(), len(st.places), func(i int) float64 { return 1 / st.places[i].model.Setup })
		number := "1418"
		if st.Names != nil {
			number = strings.TrimPrefix(st.dialled(home, n.Float64()), "+")
		}
		g := st.Gateways[int(n.Float64()*float64(len(st.Gateways)))]
		g.Kiosks.Plan(&enumclient.Visit{At: t, Number: number, Hold: -math.Log(1-n.Float64()) * s.Kiosks.Hold})
	}
	for _, g := range st.Gateways {
		g.kiosks.Due()
	}
}

// kioskCalls lets a kiosk call the switch that was named.
func (st *Scenario) kioskCalls(g *Gateway, now float64, v *enumclient.Visit, user string, to netip.AddrPort) {
	w := st.World
	p := g.phones[to]
	if p == nil {
		at := netip.AddrPortFrom(g.kiosks.Addr.Addr(), g.kiosks.Addr.Port()+uint16(100+len(g.phones)))
		c := callers.New(
			callers.Behavior{Context: Context, Parse: st.Parse, Silence: st.Script.Callers.Silence},
			at,
			to,
			st.Script.Pools.Model.Times,
			st.Script.Seed*41+uint64(at.Port())+uint64(g.Number)<<20,
			func(dst netip.AddrPort, data []byte) {
				st.record(&api.Record_Datagram{Datagram: &api.Datagram{From: at.String(), To: dst.String(), Data: data}})
				w.Send(at, dst, data)
			},
		)
		p = &phone{c, w.Add(&simulation.Node{Addr: at, Name: g.Name, Region: g.Region, Machine: c})}
		g.phones[to] = p
		st.node(at, "kiosk-phone", g.Name)
	}
	number, rest, _ := strings.Cut(user, ";")
	skill := st.Script.Skills[0]
	p.Plan(
		&callers.Arrival{
			At:               now,
			Number:           number + ";" + rest,
			Class:            skill.Name,
			Tenant:           st.Script.Payers[0].Name,
			HoldingTime:      v.Hold,
			LatencyObjective: skill.Target,
			Timeout:          skill.Patience,
			AttemptTimeout:   skill.Try,
			Weight:           1,
		},
	)
	p.node.Due()
}

// FrontConfig is how the gateways answer look-ups.
func (st *Scenario) FrontConfig() enumserver.Config {
	return enumserver.Config{
		Apex:       KioskApex,
		Class:      st.Script.Skills[0].Name,
		Negative:   30,
		Patience:   3000,
		Repeat:     5000,
		Gain:       8,
		MaxPending: 2000,
		Keep:       10000,
		Context:    Context,
		Limits: enumserver.Limits{
			Rate:    50,
			Burst:   100,
			Clients: 10000,
			Nets:    []enumserver.Net{{Prefix: netip.MustParsePrefix("127.90.0.0/16"), Rate: 5000}},
		},
	}
}

// KioskService is what became of the kiosks' calls.
type KioskService struct {
	Visits, Named, Stood, Cut, None, Silent int
	Waits                                   []float64 // from the visit to the endpoint's name, ms
}

// KioskService adds up.
func (st *Scenario) KioskService() KioskService {
	var s KioskService
	for _, g := range st.Gateways {
		if g.Kiosks == nil {
			continue
		}
		s.Silent += g.Kiosks.Silent
		for _, v := range g.Kiosks.Visits {
			s.Visits++
			if v.None {
				s.None++
			}
			if !math.IsNaN(v.Named) {
				s.Named++
				s.Waits = append(s.Waits, v.Named-v.At)
			}
		}
		for _, p := range g.phones {
			for _, x := range p.Stories {
				if !math.IsNaN(x.AnsweredAt) {
					s.Stood++
				}
				if x.Dropped {
					s.Cut++
				}
			}
		}
	}
	return s
}

// door is a gateway's front in virtual time.
type door struct{ b *Box }

// Receive implements world.Machine.
func (d *door) Receive(_ float64, from netip.AddrPort, data []byte) {
	b := d.b
	b.later(func(now float64) {
		if b.front != nil {
			b.front.Receive(now, from, data, false, func(out []byte) { b.v.Stage.World.Send(b.g.Front, from, out) })
		}
	})
}

// Step implements world.Machine.
func (*door) Step(float64) {}

// NextWakeup implements world.Machine.
func (*door) NextWakeup() float64 { return math.Inf(1) }
