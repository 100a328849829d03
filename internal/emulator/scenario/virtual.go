package scenario

import (
	"net/netip"
	"time"

	"cobaltpier/api"
	"cobaltpier/internal/gateway/grpcdiscovery"
	"cobaltpier/internal/protocol/b2bua"
	"cobaltpier/internal/protocol/enumserver"
	"cobaltpier/internal/routing"
)

// Virtual runs the gateways inside the simulation, in virtual time.
type Virtual struct {
	Scenario  *Scenario
	NewPolicy routing.PolicyFactory
	Gateways  []*VirtualGateway
}

// VirtualGateway is a gateway in virtual time. Events other than datagrams are queued until its next tick.
type VirtualGateway struct {
	*b2bua.Agent
	fleet      *Virtual
	gateway    *Gateway
	pending    []func(now float64)
	starts     uint64
	enumServer *enumserver.Server // nil: no ENUM server
	resolver   *gatewayResolver   // of the current process; nil: no number look-ups
}

// epoch is the date and time at which runs in virtual time begin, a Thursday noon in Montreal. Number rules that apply
// at certain times of day depend on it.
var epoch = time.Date(2026, 12, 3, 17, 0, 0, 0, time.UTC)

// NewVirtual adds the gateways to a scenario, all with the same routing policy, and sends each the complete endpoint
// list.
func NewVirtual(st *Scenario, newPolicy routing.PolicyFactory) *Virtual {
	v := &Virtual{Scenario: st, NewPolicy: newPolicy}
	st.Fleet = v
	for _, g := range st.Gateways {
		b := &VirtualGateway{fleet: v, gateway: g}
		v.Gateways = append(v.Gateways, b)
		b.startProcess()
		g.Node.Machine = b
		st.SendList(g, 0)
		g.Node.ScheduleWakeup()
	}
	return v
}

func (b *VirtualGateway) startProcess() {
	cfg := b.fleet.Scenario.Config(b.gateway)
	cfg.Settings.Seed += b.starts << 32
	b.starts++
	b.pending = nil
	if st := b.fleet.Scenario; st.Numbering != nil {
		b.resolver = b.newResolver()
		cfg.NumberLookup, cfg.Table, cfg.LookupShare, cfg.Epoch = b.resolver, st.Table(st.Numbering.Version).Table,
			st.Script.Numbers.Share, epoch
		st.RecordTableInUse(b.gateway.Number, st.Numbering.Version)
	}
	b.Agent = b2bua.New(cfg, b.fleet.NewPolicy, b)
	b.OnCallEnd = func(f b2bua.CallRecord) {
		if st := b.fleet.Scenario; st.OnCallEnd != nil {
			st.OnCallEnd(b.gateway.Number, f)
		}
	}
	b.enumServer = nil
	if b.gateway.ENUMNode != nil {
		b.enumServer = enumserver.New(b.fleet.Scenario.ENUMConfig(), b.Agent)
		b.gateway.ENUMNode.Machine = &enumMachine{b}
	}
}

// Send implements b2bua.Transport.
func (b *VirtualGateway) Send(to netip.AddrPort, data []byte) {
	b.fleet.Scenario.Simulation.Send(b.gateway.Addr, to, data)
}

// SendGossip implements b2bua.Transport.
func (b *VirtualGateway) SendGossip(to int, data []byte) {
	from := b.gateway.Number
	b.fleet.Scenario.SendGossip(to, func(float64) {
		o := b.fleet.Gateways[to]
		o.enqueue(func(now float64) { o.OnPeerMessage(now, from, data) })
	})
}

func (b *VirtualGateway) enqueue(do func(now float64)) {
	if b.gateway.Node.Down {
		return
	}
	b.pending = append(b.pending, do)
	b.gateway.Node.ScheduleWakeup()
}

// Step implements simulation.Machine.
func (b *VirtualGateway) Step(now float64) {
	pending := b.pending
	b.pending = nil
	for _, do := range pending {
		do(now)
	}
	b.Agent.Step(now)
}

// NextWakeup implements simulation.Machine.
func (b *VirtualGateway) NextWakeup() float64 {
	if len(b.pending) > 0 {
		return b.fleet.Scenario.Simulation.Now
	}
	return b.Agent.NextWakeup()
}

// SendList implements Fleet.
func (v *Virtual) SendList(i int, u *api.Update) {
	b := v.Gateways[i]
	sent := v.Scenario.Simulation.Now
	b.enqueue(func(now float64) { b.OnEndpointList(now, grpcdiscovery.Entries(u, sent), u.Whole) })
}

// Pause implements Fleet.
func (v *Virtual) Pause(i int) { v.Scenario.Gateways[i].Node.Pause() }

// Resume implements Fleet.
func (v *Virtual) Resume(i int) { v.Scenario.Gateways[i].Node.Resume() }

// Kill implements Fleet.
func (v *Virtual) Kill(i int) {
	g := v.Scenario.Gateways[i]
	g.Node.Kill()
}

// Start implements Fleet.
func (v *Virtual) Start(i int) {
	g, b := v.Scenario.Gateways[i], v.Gateways[i]
	b.startProcess()
	g.Node.Restart(b)
	v.Scenario.SendList(g, 0)
}
