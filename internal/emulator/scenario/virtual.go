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

// Virtual runs the gateways as machines in the stage's own world.
type Virtual struct {
	Stage *Scenario
	Make  routing.PolicyFactory
	Edges []*Box
}

// Box is a gateway in virtual time; what is no datagram waits there for its next tick.
type Box struct {
	*b2bua.Agent
	v       *Virtual
	g       *Gateway
	pending []func(now float64)
	births  uint64
	front   *enumserver.Server // nil: it answers no look-ups
	look    *lookUps           // of this process, nil: it looks nothing up
}

// epoch is when virtual days begin: a Thursday noon, for times of day.
var epoch = time.Date(2026, 12, 3, 17, 0, 0, 0, time.UTC)

// NewVirtual puts the gateways on a stage, all with the same kind of module. They start within the first second with
// the whole list.
func NewVirtual(st *Scenario, mk routing.PolicyFactory) *Virtual {
	v := &Virtual{Stage: st, Make: mk}
	st.Fleet = v
	for _, g := range st.Gateways {
		b := &Box{v: v, g: g}
		v.Edges = append(v.Edges, b)
		b.fresh()
		g.Node.Machine = b
		st.Welcome(g, 0)
		g.Node.Due()
	}
	return v
}

func (b *Box) fresh() {
	cfg := b.v.Stage.Config(b.g)
	cfg.Settings.Seed += b.births << 32
	b.births++
	b.pending = nil
	if st := b.v.Stage; st.Names != nil {
		b.look = b.lookUps()
		cfg.NumberLookup, cfg.Table, cfg.LookupShare, cfg.Epoch = b.look, st.Table(st.Names.Version).Table,
			st.Script.Numbers.Share, epoch
		st.TableIn(b.g.Number, st.Names.Version)
	}
	b.Agent = b2bua.New(cfg, b.v.Make, b)
	b.OnCallEnd = func(f b2bua.CallRecord) {
		if st := b.v.Stage; st.Fate != nil {
			st.Fate(b.g.Number, f)
		}
	}
	b.front = nil
	if b.g.FrontAt != nil {
		b.front = enumserver.New(b.v.Stage.FrontConfig(), b.Agent)
		b.g.FrontAt.Machine = &door{b}
	}
}

// Send implements b2bua.Transport.
func (b *Box) Send(to netip.AddrPort, data []byte) { b.v.Stage.World.Send(b.g.Addr, to, data) }

// SendGossip implements b2bua.Transport.
func (b *Box) SendGossip(to int, data []byte) {
	from := b.g.Number
	b.v.Stage.Tell(to, func(float64) {
		o := b.v.Edges[to]
		o.later(func(now float64) { o.OnPeerMessage(now, from, data) })
	})
}

func (b *Box) later(do func(now float64)) {
	if b.g.Node.Dead {
		return
	}
	b.pending = append(b.pending, do)
	b.g.Node.Due()
}

// Step implements world.Machine.
func (b *Box) Step(now float64) {
	of := b.pending
	b.pending = nil
	for _, do := range of {
		do(now)
	}
	b.Agent.Step(now)
}

// NextWakeup implements world.Machine.
func (b *Box) NextWakeup() float64 {
	if len(b.pending) > 0 {
		return b.v.Stage.World.Now
	}
	return b.Agent.NextWakeup()
}

// List implements Fleet.
func (v *Virtual) List(i int, u *api.Update) {
	b := v.Edges[i]
	sent := v.Stage.World.Now
	b.later(func(now float64) { b.OnEndpointList(now, grpcdiscovery.Entries(u, sent), u.Whole) })
}

// Halt implements Fleet.
func (v *Virtual) Halt(i int) { v.Stage.Gateways[i].Node.Halt() }

// Go implements Fleet.
func (v *Virtual) Go(i int) { v.Stage.Gateways[i].Node.Go() }

// Kill implements Fleet.
func (v *Virtual) Kill(i int) {
	g := v.Stage.Gateways[i]
	g.Node.Die()
}

// Start implements Fleet.
func (v *Virtual) Start(i int) {
	g, b := v.Stage.Gateways[i], v.Edges[i]
	b.fresh()
	g.Node.Live(b)
	v.Stage.Welcome(g, 0)
}
