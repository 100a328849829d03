// Package scenario runs a script: it simulates the switches, the callers, the endpoint list and the network between
// them and the gateways. The gateways are the real agents in virtual time, or separate processes behind real
// sockets.
package scenario

//tally:standin

import (
	"fmt"
	"net/netip"
	"sort"
	"unsafe"

	"github.com/emiago/sipgo/sip"

	"cobaltpier/api"
	"cobaltpier/internal/decision/loadshed"
	"cobaltpier/internal/emulator/callers"
	"cobaltpier/internal/emulator/coreswitch"
	"cobaltpier/internal/emulator/enumclient"
	"cobaltpier/internal/emulator/scenariofile"
	"cobaltpier/internal/emulator/simulation"
	"cobaltpier/internal/protocol/b2bua"
	"cobaltpier/internal/protocol/siptransaction"
	"cobaltpier/internal/routing"
)

// Context is the trunk-context of the trunk groups.
const Context = "laurentide.example"

// Fleet is implemented by whatever runs the gateways. Gateways are identified by their number.
type Fleet interface {
	SendList(gateway int, u *api.Update) // sends an endpoint list or a change to it
	Pause(gateway int)                   // pauses it
	Resume(gateway int)                  // resumes it
	Kill(gateway int)
	Start(gateway int)
	SetTable(gateway int, t *Table) // installs a number table and calls RecordTableInUse when that is done
}

// Gateway holds a gateway's addresses and the clients that use it.
type Gateway struct {
	Number          int
	Name            string
	Addr            netip.AddrPort // SIP
	Peer            netip.AddrPort // for messages from other gateways
	Region          string
	Callers         *callers.Callers
	callersNode     *simulation.Node
	ENUMClients     *enumclient.Kiosks // nil: no ENUM clients
	ENUMAddr        netip.AddrPort     // address of the ENUM server
	ENUMNode        *simulation.Node   // node of the ENUM server; nil: none
	enumClientsNode *simulation.Node
	enumCallers     map[netip.AddrPort]*enumCaller
	Node            *simulation.Node
	listVersion     uint64
	down            bool // killed; the endpoint list is not sent
}

// endpoint is an endpoint with the switch process that serves it at present.
type endpoint struct {
	number      int
	region      string
	model       coreswitch.Model
	addr        netip.AddrPort
	id          string
	state       api.State
	startedAt   float64 // -1: long ago
	coreSwitch  *coreswitch.Switch
	node        *simulation.Node
	incarnation int
}

// Scenario is a script that is being run.
type Scenario struct {
	Script     *scenariofile.Script
	Simulation *simulation.Simulation
	Gateways   []*Gateway
	Fleet      Fleet
	Record     func(*api.Record)                     // gets the records of the capture; may be nil
	OnMark     func(at float64, what string)         // gets a text for each mark but starts; may be nil
	Parse      func([]byte) (sip.Message, error)     // parser used by all simulated machines
	OnCallEnd  func(gateway int, f b2bua.CallRecord) // gets the record of each call, in virtual time only; may be nil
	Numbering  *Numbering                            // nil: numbers are not analysed; callers name their trunk groups
	// DisabledGuard is the rule whose guard in the gateways is switched off, to test that the checker reports it; 0:
	// none.
	DisabledGuard routing.Rule
	random        siptransaction.Generator
	endpoints     []*endpoint
	members       []*api.Member // the complete endpoint list; AgeMs holds start times
	version       uint64
	updates       []*api.Update
	extraLoss     float64
	gossipLost    bool
	listSilent    bool
}

// New returns the scenario of a script with all its nodes; port is the SIP port of the addresses. The caller
// provides what runs the gateways, e.g. by NewVirtual.
func New(s *scenariofile.Script, port int, record func(*api.Record)) *Scenario {
	return build(s, port, 0, record)
}

// NewReal is like New for gateways behind real sockets. Records of different sockets may be out of order by up to
// blur ms.
func NewReal(s *scenariofile.Script, port int, blur float64, record func(*api.Record)) *Scenario {
	return build(s, port, blur, record)
}

func build(s *scenariofile.Script, port int, blur float64, record func(*api.Record)) *Scenario {
	st := &Scenario{Script: s, Simulation: simulation.New(s.Seed), Record: record, Parse: newCachedParser()}
	st.random.Seed = s.Seed*2654435761 + 17
	sim := st.Simulation
	sim.Link = st.link
	sim.Tap = func(at float64, from, to netip.AddrPort, data []byte) {
		if st.Record != nil {
			st.Record(
				&api.Record{
					At:   at,
					What: &api.Record_Datagram{Datagram: &api.Datagram{From: from.String(), To: to.String(), Data: data}},
				},
			)
		}
	}
	st.recordRules(blur)
	for i := range s.Gateways.Count {
		st.addGateway(i, port)
	}
	for i := range s.Pools.Count {
		st.addEndpoint(i, port)
	}
	st.version = 1
	st.setupNumbering()
	st.planArrivals()
	st.setupENUMClients()
	for _, t := range s.Faults {
		st.scheduleFault(t)
	}
	return st
}

// recordRules records the parameters of the rules for the checker. Records may be out of order by up to blur ms.
func (st *Scenario) recordRules(blur float64) {
	r := st.Script.Rules
	st.record(
		&api.Record_Rules{
			Rules: &api.Rules{
				SlackMs:     r.Slack,
				GraceMs:     r.Grace,
				ClearMs:     r.Clear,
				TipMultiple: r.TipTimes,
				TipMs:       r.TipWindow,
				BlurMs:      blur,
			},
		},
	)
}

// addGateway adds gateway i and its callers.
func (st *Scenario) addGateway(i, port int) {
	s, sim := st.Script, st.Simulation
	region := s.Regions[i%len(s.Regions)]
	g := &Gateway{
		Number: i,
		Name:   fmt.Sprintf("edge-%d", i),
		Region: region,
		Addr:   addr(1, i, port),
		Peer:   addr(1, i, port+10),
	}
	g.Node = sim.Add(&simulation.Node{Addr: g.Addr, Name: g.Name, Region: region, Tick: s.Gateways.Tick, Tapped: true})
	from := addr(2, i, port)
	c := s.Callers
	g.Callers = callers.New(
		callers.Behavior{Redials: c.Redials, Pause: c.Pause, ExponentialBackoff: c.Grows, RetryAfterShare: c.Honour,
			MaxRetryAfter: c.MaxWait, Context: Context, HangUpDelay: c.Silence, Parse: st.Parse},
		from,
		g.Addr,
		s.Pools.Model.Times,
		s.Seed+uint64(i)*7919+1,
		func(to netip.AddrPort, data []byte) { sim.Send(from, to, data) },
	)
	g.callersNode = sim.Add(
		&simulation.Node{Addr: from, Name: fmt.Sprintf("callers-%d", i), Region: region, Machine: g.Callers},
	)
	st.Gateways = append(st.Gateways, g)
	st.recordNode(g.Addr, "edge", g.Name)
	st.recordNode(from, "caller", g.callersNode.Name)
}

// addEndpoint adds endpoint i, which is past slow start when the scenario begins.
func (st *Scenario) addEndpoint(i, port int) {
	s := st.Script
	m := s.Pools.Model
	m.Parse = st.Parse
	size := 1 + s.Pools.Spread*(2*st.random.Float64()-1)
	region := s.Regions[i%len(s.Regions)]
	if i < len(s.Pools.Sizes) {
		size = s.Pools.Sizes[i]
	}
	if i < len(s.Pools.Regions) {
		region = s.Regions[s.Pools.Regions[i]%len(s.Regions)]
	}
	for _, v := range []*float64{&m.Setup, &m.Answer, &m.Release, &m.Repeat, &m.Reject} {
		*v /= size
	}
	m.Name = fmt.Sprintf("switch-%d", i)
	p := &endpoint{number: i, region: region, model: m, addr: addr(3, i, port), id: fmt.Sprintf("m%d", i),
		state: api.State_READY, startedAt: -1}
	st.endpoints = append(st.endpoints, p)
	st.boot(p, false)
	st.members = append(st.members, p.member())
}

func addr(kind, i, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(10*kind + i/250), 0, byte(1 + i%250)}), uint16(port))
}

// Addresses returns the addresses of the stand-ins, those of replacement switches included, for binding real
// sockets.
func (st *Scenario) Addresses() []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, g := range st.Gateways {
		addrs = append(addrs, g.callersNode.Addr)
	}
	for _, g := range st.Gateways {
		if g.enumClientsNode != nil {
			addrs = append(addrs, g.enumClientsNode.Addr)
		}
	}
	for _, p := range st.endpoints {
		addrs = append(addrs, p.addr)
		for n := 1; n < 4; n++ {
			addrs = append(addrs, st.replacementAddr(p, n))
		}
	}
	return addrs
}

// replacementAddr returns the address of an endpoint's nth replacement.
func (st *Scenario) replacementAddr(p *endpoint, n int) netip.AddrPort {
	a := addr(3, p.number, 0).Addr().As4()
	a[1] = byte(30 + 10*n)
	return netip.AddrPortFrom(netip.AddrFrom4(a), p.addr.Port())
}

func (st *Scenario) record(what any) {
	if st.Record == nil {
		return
	}
	r := &api.Record{At: st.Simulation.Now}
	switch v := what.(type) {
	case *api.Record_Node:
		r.What = v
	case *api.Record_Rules:
		r.What = v
	case *api.Record_Mark:
		r.What = v
	case *api.Record_Listing:
		r.What = v
	case *api.Record_Datagram:
		r.What = v
	}
	st.Record(r)
}

func (st *Scenario) recordNode(a netip.AddrPort, role, name string) {
	st.record(&api.Record_Node{Node: &api.Node{Addr: a.String(), Role: role, Name: name}})
}

// Mark records an event of the scenario in the capture.
func (st *Scenario) Mark(what, name, text string, start *api.Start) {
	st.record(&api.Record_Mark{Mark: &api.Mark{What: what, Who: name, Text: text, Start: start}})
	if st.OnMark != nil && what != "start" {
		st.OnMark(st.Simulation.Now, fmt.Sprintf("%s %s %s", what, name, text))
	}
}

// link returns the link between two nodes.
func (st *Scenario) link(a, b *simulation.Node) simulation.Link {
	network := st.Script.Net
	link := simulation.Link{Delay: network.Cross, Jitter: network.Jitter, Loss: network.Loss + st.extraLoss,
		Duplication: network.Double}
	if a.Region == b.Region {
		link.Delay = network.Same
	}
	if st.isENUMClient(a) || st.isENUMClient(b) {
		link.Loss += st.Script.ENUMClients.Loss
		return link
	}
	if (st.isCaller(a) || st.isCaller(b)) && !st.isSwitch(a) && !st.isSwitch(b) {
		return simulation.Link{Delay: network.Caller}
	}
	return link
}

func (st *Scenario) isSwitch(n *simulation.Node) bool {
	_, ok := n.Machine.(*coreswitch.Switch)
	return ok
}

func (st *Scenario) isENUMClient(n *simulation.Node) bool {
	_, ok := n.Machine.(*enumclient.Kiosks)
	return ok
}

func (st *Scenario) isCaller(n *simulation.Node) bool {
	_, ok := n.Machine.(*callers.Callers)
	return ok
}

// boot starts a switch process for an endpoint.
func (st *Scenario) boot(p *endpoint, cold bool) {
	sim := st.Simulation
	self := p.addr
	p.coreSwitch = coreswitch.New(p.model, self, st.Script.Seed+uint64(p.number)*104729+uint64(p.incarnation)*31+5,
		sim.Now, cold, func(to netip.AddrPort, data []byte) { sim.Send(self, to, data) })
	if n := sim.Node(self); n != nil {
		n.Restart(p.coreSwitch)
		p.node = n
	} else {
		name := p.model.Name
		if p.incarnation > 0 {
			name = fmt.Sprintf("%s.%d", name, p.incarnation)
		}
		p.node = sim.Add(&simulation.Node{Addr: self, Name: name, Region: p.region, Machine: p.coreSwitch})
		st.recordNode(self, "switch", name)
	}
	p.node.ScheduleWakeup()
	if cold {
		st.Mark(
			"start",
			p.node.Name,
			"",
			&api.Start{ColdShare: p.model.ColdShare, WarmMs: p.model.Warm, SetupMs: p.model.Setup, RepeatMs: p.model.Repeat},
		)
	}
}

var stateName = map[api.State]string{api.State_GONE: "gone", api.State_READY: "ready", api.State_DRAINING: "draining"}

// kill ends an endpoint's switch process; its calls are lost without a BYE.
func (st *Scenario) kill(p *endpoint) {
	st.Mark("kill", p.node.Name, "", nil)
	st.cutCalls(p)
	p.node.Kill()
}

// cutCalls tells the callers of a killed switch's calls that their lines have gone dead.
func (st *Scenario) cutCalls(p *endpoint) {
	sessions := p.coreSwitch.EstablishedCalls()
	sort.Strings(sessions)
	for _, g := range st.Gateways {
		for _, session := range sessions {
			g.Callers.OnLineDead(st.Simulation.Now, session)
		}
		g.callersNode.ScheduleWakeup()
	}
}

// Group returns the name of the trunk group to an endpoint.
func Group(number int) string { return fmt.Sprintf("TG-%d", number) }

// Settings returns the settings of a gateway's routing policy.
func (st *Scenario) Settings(g *Gateway) *routing.Settings {
	s := st.Script
	set := &routing.Settings{
		Gateways:           s.Gateways.Count,
		GatewayIndex:       g.Number,
		Seed:               s.Seed*1000003 + uint64(g.Number),
		TickInterval:       s.Gateways.Tick,
		MaxAttempts:        s.Gateways.MaxRings,
		ProbeEnabled:       s.Gateways.Probe,
		GossipEnabled:      s.Gateways.Tell,
		CancelEnabled:      s.Gateways.Cancel,
		RetryAfterEnabled:  s.Gateways.NameWait,
		MaxRetryAfter:      float64(s.Gateways.MaxWait),
		RetransmitInterval: s.Pools.Model.Times.T1,
		AnswerGrace:        s.Rules.Slack,
		SlowStartFraction:  s.Rules.ColdShare,
		SlowStartDuration:  s.Rules.WarmWithin,
		OverloadFactor:     s.Rules.TipTimes,
		OverloadWindow:     s.Rules.TipWindow,
		RetryHoldOff:       s.Rules.Clear,
	}
	for _, k := range s.Classes {
		set.Classes = append(
			set.Classes,
			&routing.Class{
				Name: k.Name, Timeout: k.Patience, Weight: k.Value, MeanHoldingTime: k.Hold, Idempotent: true},
		)
	}
	for _, c := range s.Tenants {
		set.Tenants = append(set.Tenants, &routing.Tenant{Name: c.Name})
	}
	return set
}

// Config returns the configuration of a gateway.
func (st *Scenario) Config(g *Gateway) *b2bua.Config {
	s := st.Script
	c := &b2bua.Config{
		Name:         g.Name,
		Address:      g.Addr,
		TrunkContext: Context,
		Settings:     st.Settings(g),
		Times:        s.Pools.Model.Times,
		Parse:        st.Parse,
		DefaultClass: s.Classes[0].Name,
		AnswerMargin: s.Gateways.Margin,
		LoadShedding: loadshed.Gate{MaxPending: s.Gateways.Held, RatePerSecond: s.Gateways.MostRate},
	}
	c.DisabledGuard = st.DisabledGuard
	for _, p := range st.endpoints {
		c.Groups = append(c.Groups, b2bua.Group{Name: Group(p.number), DestinationID: p.number, Circuits: p.model.Lines})
	}
	return c
}

// SendGossip calls deliver after the delay of a message between gateways, unless the message is lost.
func (st *Scenario) SendGossip(to int, deliver func(now float64)) {
	network := st.Script.Net
	if to < 0 || to >= len(st.Gateways) || st.gossipLost || st.random.Float64() < network.PeerLoss {
		return
	}
	st.Simulation.At(st.Simulation.Now+network.Peer*(1+network.Jitter*(2*st.random.Float64()-1)),
		func() { deliver(st.Simulation.Now) })
}

// newCachedParser returns a parser that parses a datagram once for all who read it: the tap, then the receiver. They
// must not change the message.
func newCachedParser() func([]byte) (sip.Message, error) {
	type parsed struct {
		first *byte
		n     int
		m     sip.Message
		err   error
	}
	var slots [1 << 12]parsed
	return func(data []byte) (sip.Message, error) {
		if len(data) == 0 {
			return siptransaction.Parse(data)
		}
		p := &slots[(uintptr(unsafe.Pointer(&data[0]))>>4)%uintptr(len(slots))]
		if p.first != &data[0] || p.n != len(data) {
			p.m, p.err = siptransaction.Parse(data)
			p.first, p.n = &data[0], len(data) // keeps the buffer alive, so that its address is not reused
		}
		return p.m, p.err
	}
}
