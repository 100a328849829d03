package scenario

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"

	"cobaltpier/api"
	"cobaltpier/internal/decision/numberplan"
	"cobaltpier/internal/emulator/dnsserver"
	"cobaltpier/internal/emulator/scenariofile"
	"cobaltpier/internal/protocol/dnsclient"
	"cobaltpier/internal/protocol/portability"
)

// Apex is the domain under which ported numbers are looked up.
const Apex = "e164.lab."

// Numbering holds the DNS server stand-ins and the number tables of a scenario.
type Numbering struct {
	Servers        []*dnsserver.Server
	Addrs          []netip.AddrPort
	WithServer     func(i int, do func(*dnsserver.Server)) // changes server i; a real one must be locked
	Version        uint64                                  // of the latest table
	tables         map[uint64]*Table
	DialledNumbers int // numbers drawn for calls
}

// Table is a number table, compiled and in packed form.
type Table struct {
	*numberplan.Table
	Packed []byte
}

// setupNumbering creates the DNS servers and schedules the changes of the number table.
func (st *Scenario) setupNumbering() {
	s := st.Script.Numbers
	if !st.Script.AnalysesNumbers() {
		return
	}
	zone := &dnsserver.Zone{
		Apex:        Apex,
		Seed:        st.Script.Seed*31 + 7,
		Ported:      s.Ported,
		None:        s.None,
		NonTerminal: s.Leads,
		TTL:         uint32(s.TTL / 1000),
	}
	for i := range st.Script.Pools.Count {
		zone.Routes = append(zone.Routes, fmt.Sprintf("+1999%03d0000", i))
	}
	st.Numbering = &Numbering{Version: 1, tables: map[uint64]*Table{}}
	n := st.Numbering
	n.WithServer = func(i int, do func(*dnsserver.Server)) { do(n.Servers[i]) }
	for i := range s.Servers {
		n.Servers = append(
			n.Servers,
			&dnsserver.Server{
				Zone:   zone,
				Seed:   st.Script.Seed + uint64(i)*13,
				Faults: dnsserver.Faults{Delay: s.Delay, Jitter: s.Jitter},
			},
		)
		n.Addrs = append(n.Addrs, addr(8, i, int(st.Gateways[0].Addr.Port())))
	}
	if s.Change > 0 {
		var next func()
		next = func() {
			n.Version++
			t := st.Table(n.Version)
			for _, g := range st.Gateways {
				st.Mark("table-sent", g.Name, strconv.FormatUint(n.Version, 10), nil)
				st.Fleet.SetTable(g.Number, t)
			}
			if st.Simulation.Now+s.Change < st.Script.Length {
				st.Simulation.At(st.Simulation.Now+s.Change, next)
			}
		}
		st.Simulation.At(s.Change, next)
	}
}

// RecordTableInUse records that a gateway uses a table.
func (st *Scenario) RecordTableInUse(gateway int, version uint64) {
	st.Mark("table-in", st.Gateways[gateway].Name, strconv.FormatUint(version, 10), nil)
}

// TablePrefix returns the prefix that a table of a version adds to every number, so that the traffic shows which table
// was used.
func TablePrefix(version uint64) string { return strconv.FormatUint(1000+version%9000, 10) }

// Table returns the table of a version. All versions route alike, but each uses its own prefix in every step: a call
// analysed partly by one table and partly by another would have no route.
func (st *Scenario) Table(version uint64) *Table {
	if t := st.Numbering.tables[version]; t != nil {
		return t
	}
	prefix := TablePrefix(version)
	toPlan := func(plan string) *api.NumberAction { return &api.NumberAction{Do: &api.NumberAction_Plan{Plan: plan}} }
	noAnswer := toPlan("mark")
	if st.Script.Numbers.Refuse {
		noAnswer = &api.NumberAction{Do: &api.NumberAction_Refuse{Refuse: &api.NumberRefusal{Code: 503, Why: "no answer"}}}
	}
	destinations := &api.NumberPlan{Name: "exchange"}
	form := &api.NumberTable{Name: "lab", Version: version, Country: "1", Entry: "start", Plans: []*api.NumberPlan{
		{
			Name: "start",
			Rules: []*api.NumberRule{{Prefix: "1418", Then: &api.NumberAction{Do: &api.NumberAction_Ask{Ask: &api.NumberQuestion{
				WithinMs: st.Script.Numbers.Within, Ported: toPlan("mark"), Same: toPlan("mark"), Silent: noAnswer}}}}},
		},
		{Name: "mark", Rules: []*api.NumberRule{{Add: prefix, Then: toPlan("exchange")}}},
		destinations,
	}}
	for i := range st.Script.Pools.Count {
		name := Group(i)
		form.Routes = append(
			form.Routes,
			&api.NumberRoute{Name: name, Choices: []*api.NumberChoice{{Group: name, Weight: 1}}},
		)
		for _, called := range []string{"1418", "1999"} {
			destinations.Rules = append(destinations.Rules, &api.NumberRule{Prefix: fmt.Sprintf("%s%s%03d", prefix, called, i),
				Then: &api.NumberAction{Do: &api.NumberAction_Route{Route: name}}})
		}
	}
	t, err := numberplan.Compile(form)
	if err != nil {
		panic(err) // the table above is invalid
	}
	packed, err := numberplan.Pack(form)
	if err != nil {
		panic(err)
	}
	st.Numbering.tables[version] = &Table{t, packed}
	return st.Numbering.tables[version]
}

// dialledNumber returns a number of a destination; draw is a random number in [0, 1).
func (st *Scenario) dialledNumber(destination int, draw float64) string {
	numbersPerDestination := max(1, st.Script.Load.Numbers/len(st.endpoints))
	return fmt.Sprintf("+1418%03d%05d", destination,
		int(math.Pow(draw, st.Script.Numbers.Popular)*float64(numbersPerDestination)))
}

// ResolverConfig returns the configuration of the gateways' resolvers.
func (st *Scenario) ResolverConfig(seed uint64) dnsclient.Config {
	s := st.Script.Numbers
	c := dnsclient.Config{
		Servers:        st.Numbering.Addrs,
		Ports:          2,
		Seed:           seed,
		MaxLookups:     1000,
		MaxQueries:     4,
		StaleAfter:     100,
		DisableSharing: s.Alone,
		Cache: dnsclient.CacheConfig{
			MaxEntries:     100000,
			MinTTL:         1000,
			MaxTTL:         3600e3,
			MaxNegativeTTL: 60e3,
			StaleTime:      s.Stale,
			FailureTTL:     s.Fail,
		},
	}
	if !s.Cache {
		c.Cache = dnsclient.CacheConfig{MaxEntries: 1, FailureTTL: s.Fail}
	}
	return c
}

// dnsFaultEffects returns what a fault of the DNS servers does when it begins and when it ends.
func (st *Scenario) dnsFaultEffects(t scenariofile.Fault) (begin, end func()) {
	n := st.Numbering
	if n == nil {
		return nil, nil
	}
	affected := max(1, int(math.Round(t.Part*float64(len(n.Servers)))))
	set := func(do func(*dnsserver.Faults)) {
		for i := range min(affected, len(n.Servers)) {
			n.WithServer(i, func(s *dnsserver.Server) { do(&s.Faults) })
		}
	}
	normal := dnsserver.Faults{Delay: st.Script.Numbers.Delay, Jitter: st.Script.Numbers.Jitter}
	begin = func() { set(func(f *dnsserver.Faults) { applyFault(f, t) }) }
	end = func() { set(func(f *dnsserver.Faults) { *f = normal }) }
	return begin, end
}

// applyFault sets the fault at a DNS server.
func applyFault(f *dnsserver.Faults, t scenariofile.Fault) {
	switch t.Kind {
	case "names_silent":
		f.Silent = true
	case "names_slow":
		f.Delay = t.Size * 1000
	case "names_lossy":
		f.Loss = t.Size
	case "names_spoofed":
		f.Spoof, f.Guesses = 1, int(t.Size)
	case "names_cut":
		f.Truncated = t.Size
	case "names_lame":
		f.Lame = true
	case "names_wrong":
		f.WrongID = t.Size
	}
}

// gatewayResolver is the resolver of a gateway in virtual time, with simulated paths to the DNS servers.
type gatewayResolver struct {
	gateway *VirtualGateway
	client  *dnsclient.Client
	*portability.Finder
}

func (b *VirtualGateway) newResolver() *gatewayResolver {
	st := b.fleet.Scenario
	l := &gatewayResolver{gateway: b}
	l.client = dnsclient.New(st.ResolverConfig(st.Script.Seed*97+uint64(b.gateway.Number)+b.starts<<32), l)
	l.Finder = &portability.Finder{Resolver: l.client, Apex: Apex, Services: []string{"pstn:tel"}}
	return l
}

// Wake implements b2bua.Lookup.
func (l *gatewayResolver) Wake(now float64) { l.client.Step(now) }

// NextWakeup implements b2bua.Lookup.
func (l *gatewayResolver) NextWakeup() float64 { return l.client.NextWakeup() }

// linkDelay draws the one-way delay in ms between a gateway and a DNS server, and whether the datagram is lost.
func (l *gatewayResolver) linkDelay() (delay float64, lost bool) {
	st := l.gateway.fleet.Scenario
	n := st.Script.Net
	return n.Cross * (1 + n.Jitter*(2*st.random.Float64()-1)), st.random.Float64() < n.Loss+st.extraLoss
}

// Query implements dnsclient.Transport.
func (l *gatewayResolver) Query(port int, to netip.AddrPort, data []byte) {
	st := l.gateway.fleet.Scenario
	delay, lost := l.linkDelay()
	if lost {
		return
	}
	st.Simulation.At(st.Simulation.Now+delay, func() {
		for i, a := range st.Numbering.Addrs {
			if a != to {
				continue
			}
			for _, r := range st.Numbering.Servers[i].Datagram(data) {
				if returnDelay, lost := l.linkDelay(); !lost {
					st.Simulation.At(st.Simulation.Now+r.After+returnDelay, func() {
						l.gateway.enqueue(func(now float64) {
							if l.gateway.resolver == l {
								l.client.Receive(now, port, to, r.Data)
							}
						})
					})
				}
			}
		}
	})
}

// Stream implements dnsclient.Transport. Opening the connection takes a round trip before the query is sent.
func (l *gatewayResolver) Stream(token uint64, to netip.AddrPort, data []byte, within float64) {
	st := l.gateway.fleet.Scenario
	delay, _ := l.linkDelay()
	st.Simulation.At(st.Simulation.Now+3*delay, func() {
		for i, a := range st.Numbering.Addrs {
			if a != to {
				continue
			}
			for _, r := range st.Numbering.Servers[i].Stream(data) {
				st.Simulation.At(st.Simulation.Now+r.After+delay, func() {
					l.gateway.enqueue(func(now float64) {
						if l.gateway.resolver == l {
							l.client.OnStreamResponse(now, token, r.Data)
						}
					})
				})
			}
		}
	})
}

// LookupCounts returns the sum of the resolvers' counts, without those of processes that were killed.
func (v *Virtual) LookupCounts() dnsclient.Counts {
	var sum dnsclient.Counts
	for _, b := range v.Gateways {
		if b.resolver != nil {
			sum.Add(&b.resolver.client.Counts)
		}
	}
	return sum
}

// SetTable implements Fleet.
func (v *Virtual) SetTable(i int, t *Table) {
	b := v.Gateways[i]
	b.enqueue(func(now float64) {
		b.SetTable(t.Table)
		v.Scenario.RecordTableInUse(i, t.Version)
	})
}
