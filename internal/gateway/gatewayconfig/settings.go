// Package gatewayconfig reads a gateway's settings: one HCL file, checked as a whole, faults told with file and line.
package gatewayconfig

import (
	"net/netip"

	"cobaltpier/internal/decision/loadshed"
	"cobaltpier/internal/decision/numberplan"
	"cobaltpier/internal/gateway/hclfile"
	"cobaltpier/internal/hclconfig"
	"cobaltpier/internal/protocol/b2bua"
	"cobaltpier/internal/protocol/dnsclient"
	"cobaltpier/internal/protocol/enumserver"
	"cobaltpier/internal/protocol/siptransaction"
	"cobaltpier/internal/routing"
)

// Config is all that cobalt-edge is told. Times are milliseconds.
type Config struct {
	b2bua.Config
	PeerListen   netip.AddrPort   // where other gateways' messages come in
	Peers        []netip.AddrPort // of all gateways, by number
	EndpointList string           // the endpoint list's address
	Tick         float64
	LogLevel     string // of the log
	LogConsole   bool   // logs for a person, not JSON
	DrainTimeout float64
	Numbers      Numbers
	ENUMServer   ENUMServer
	QueueSize    int // datagrams that may wait for the loop
}

// Numbers is what a gateway is told of its number tables and where it looks numbers up.
type Numbers struct {
	Table    string // a file; runs where the store has none yet; "" and no store: callers name class and group themselves
	Store    string // a file; "": what is put in service lives as long as the process
	Admin    string // where gRPC puts tables in service; "": nowhere
	DNS      dnsclient.Config
	Apex     string // "": nothing is looked up
	Services []string
}

// Names are what number tables may name here.
func (s *Config) Names() (n numberplan.Names) {
	for _, k := range s.Settings.Classes {
		n.Classes = append(n.Classes, k.Name)
	}
	for _, c := range s.Settings.Tenants {
		n.Tenants = append(n.Tenants, c.Name)
	}
	for _, g := range s.Groups {
		n.Groups = append(n.Groups, g.Name)
	}
	return n
}

// ENUMServer is where the agent answers look-ups, and how.
type ENUMServer struct {
	enumserver.Config
	Listen      netip.AddrPort // UDP and TCP; not valid: nowhere
	MaxConns    int            // streams open at once; what comes beyond is closed
	IdleTimeout float64        // ms: a stream on which nothing is asked is closed (RFC 7766 6.2.3)
}

// Enabled tells whether the agent analyses numbers.
func (n *Numbers) Enabled() bool { return n.Table != "" || n.Store != "" }

const dayMillis = 24 * 3600 * 1000.0

// Load reads a file.
func Load(name string) (*Config, error) {
	b, err := hclfile.Load(name)
	if err != nil {
		return nil, err
	}
	return read(b)
}

// Parse reads settings at hand; name stands in the errors.
func Parse(name string, src []byte) (*Config, error) {
	b, err := hclconfig.Parse(name, src)
	if err != nil {
		return nil, err
	}
	return read(b)
}

func read(b *hclconfig.Block) (*Config, error) {
	s := &Config{}
	s.Settings = &routing.Settings{}
	gateway := b.One("gateway")
	s.readGateway(gateway)
	s.readEndpointListAndLog(b)
	s.readAllowed(b, gateway)
	s.readTimers(b)
	s.readRules(b)
	s.readClasses(b, gateway)
	s.readTrunkGroups(b)
	s.numbers(b)
	return s, b.Err()
}

func (s *Config) readGateway(g *hclconfig.Block) {
	set := s.Settings
	s.Name = g.Must("name")
	s.Address, s.PeerListen = g.Addr("sip"), g.Addr("peer")
	s.TrunkContext = g.Must("trunk_context")
	set.Gateways = g.Int("gateways", 1, 1, 100000)
	set.GatewayIndex = g.Int("number", 0, 0, 99999)
	set.Seed = uint64(g.Num("seed", 1, 0, 1<<53))
	s.Tick = g.Ms("tick", 0, 0, 1000)
	set.TickInterval = s.Tick
	s.AnswerMargin = g.Ms("margin", 30, 0, 60000)
	s.LoadShedding = loadshed.Gate{
		MaxPending:    g.Int("most_held", 20000, 1, 1<<24),
		RatePerSecond: g.Num("most_rate", 0, 0, 1e6),
	}
	s.QueueSize = g.Int("queue", 8192, 16, 1<<20)
	s.DrainTimeout = g.Ms("drain_within", 30000, 0, dayMillis)
	s.DefaultClass = g.Text("default_skill", "")
	if set.GatewayIndex >= set.Gateways {
		g.Fault("number", "number: want one below gateways = %d, got %d", set.Gateways, set.GatewayIndex)
	}
	for _, p := range g.Texts("peers") {
		a, err := netip.ParseAddrPort(p)
		if err != nil {
			g.Fault("peers", "peers: want addresses such as \"127.0.0.1:5070\", got %q", p)
		}
		s.Peers = append(s.Peers, a)
	}
}

func (s *Config) readEndpointListAndLog(b *hclconfig.Block) {
	l := b.One("list")
	s.EndpointList = l.Must("addr")
	o := b.One("log")
	s.LogLevel = o.Text("level", "info", "debug", "info", "warn", "error")
	s.LogConsole = o.Text("form", "json", "json", "console") == "console"
}

func (s *Config) readAllowed(b, g *hclconfig.Block) {
	set := s.Settings
	m := b.One("allow")
	set.MaxAttempts = m.Int("max_rings", 5, 1, 1000)
	set.ProbeEnabled, set.GossipEnabled = m.Flag("probe", false), m.Flag("tell", len(s.Peers) > 0)
	set.CancelEnabled, set.RetryAfterEnabled = m.Flag("cancel", true), m.Flag("name_wait", true)
	set.MaxRetryAfter = m.Ms("max_wait", 2000, 0, dayMillis)
	set.LoadReportsByProbe = m.Flag("reports_by_probe", false)
	if set.GossipEnabled && len(s.Peers) != set.Gateways {
		g.Fault(
			"peers",
			"peers: want the addresses of all %d gateways where allow.tell is set, got %d",
			set.Gateways,
			len(s.Peers),
		)
	}
}

func (s *Config) readTimers(b *hclconfig.Block) {
	set := s.Settings
	t := b.One("timers")
	t1 := t.Ms("t1", 500, 10, 60000)
	s.Times = siptransaction.Timers{T1: t1, T2: t.Ms("t2", 8*t1, 10, 600000), T4: t.Ms("t4", 5000, 10, 600000)}
	set.RetransmitInterval = t1
}

func (s *Config) readRules(b *hclconfig.Block) {
	set := s.Settings
	r := b.One("rules")
	set.AnswerGrace = r.Ms("slack", 20, 0, 10000)
	set.RetryHoldOff = r.Ms("clear_wait", hclconfig.Required, 0, 60000)
	set.SlowStartFraction = r.Num("cold_share", hclconfig.Required, 0.001, 1)
	set.SlowStartDuration = r.Ms("warm_within", hclconfig.Required, 0, dayMillis)
	set.OverloadFactor = r.Num("tip_multiple", hclconfig.Required, 0, 1000)
	set.OverloadWindow = r.Ms("tip_time", hclconfig.Required, 1, dayMillis)
}

// readClasses reads the classes and the tenants.
func (s *Config) readClasses(b, g *hclconfig.Block) {
	set := s.Settings
	for _, k := range b.Blocks("skill", 1) {
		x := &routing.Class{
			Name:             k.Labels[0],
			LatencyObjective: k.Ms("target", hclconfig.Required, 1, dayMillis),
			Timeout:          k.Ms("patience", hclconfig.Required, 1, dayMillis),
			Weight: k.Num(
				"value",
				1,
				0,
				1e9,
			),
			LateWeightFraction: k.Num("late_value", 0, 0, 1),
			MeanHoldingTime:    k.Ms("hold", 0, 0, dayMillis),
			Idempotent:         k.Flag("repeat", true),
		}
		if x.LatencyObjective > x.Timeout {
			k.Fault("target", "target: want no more than patience")
		}
		set.Classes = append(set.Classes, x)
	}
	if len(set.Classes) == 0 {
		b.Fault("", "want at least one skill \"NAME\" { ... }")
	} else if s.DefaultClass == "" {
		s.DefaultClass = set.Classes[0].Name
	}
	names := map[string]bool{}
	for _, k := range set.Classes {
		names[k.Name] = true
	}
	if len(set.Classes) > 0 && !names[s.DefaultClass] {
		g.Fault("default_skill", "default_skill: want one of the skills, got %q", s.DefaultClass)
	}
	for _, c := range b.Blocks("customer", 1) {
		set.Tenants = append(set.Tenants, &routing.Tenant{Name: c.Labels[0]})
	}
}

func (s *Config) readTrunkGroups(b *hclconfig.Block) {
	pools := map[int]string{}
	for _, x := range b.Blocks("group", 1) {
		n := b2bua.Group{Name: x.Labels[0], DestinationID: x.Int("pool", -1, 0, 1<<30), Circuits: x.Int("size", -1, 1, 1<<20)}
		if !x.Has("pool") || !x.Has("size") {
			x.Fault("", "group %q: want pool and size", n.Name)
		}
		if o := pools[n.DestinationID]; o != "" {
			x.Fault("pool", "pool %d has a group already, %q", n.DestinationID, o)
		}
		pools[n.DestinationID] = n.Name
		s.Groups = append(s.Groups, n)
	}
	if len(s.Groups) == 0 {
		b.Fault("", "want at least one group \"NAME\" { pool = ..., size = ... }")
	}
}

// numbers reads what concerns numbers.
func (s *Config) numbers(b *hclconfig.Block) {
	n, e := b.One("numbers"), b.One("enum")
	s.Numbers = Numbers{Table: n.Text("table", ""), Store: n.Text("store", ""), Admin: n.Text("admin", ""),
		Apex: e.Text("apex", ""), Services: e.Texts("services")}
	s.LookupShare = n.Num("lookup_share", 0.3, 0, 1)
	if len(s.Numbers.Services) == 0 {
		s.Numbers.Services = []string{"pstn:tel"}
	}
	r := dnsclient.Config{
		Ports:      e.Int("ports", 8, 1, 64),
		MaxLookups: e.Int("most", 1000, 1, 1<<20),
		Tries:      e.Int("tries", 4, 1, 20),
		StaleAfter: e.Ms("stale_after", 200, 0, dayMillis),
	}
	r.Cache = dnsclient.CacheTimes{
		MaxEntries: e.Int("keep", 100000, 1, 1<<24),
		MinTTL:     e.Ms("least", 1000, 0, dayMillis),
		MaxTTL:     e.Ms("longest", dayMillis, 0, 7*dayMillis),
		MaxNegativeTTL: e.Ms(
			"negative",
			900e3,
			0,
			dayMillis,
		),
		StaleTime:  e.Ms("stale", 3600e3, 0, 7*dayMillis),
		FailureTTL: e.Ms("fail", 1000, 0, 300e3),
	}
	for _, a := range e.Texts("servers") {
		x, err := netip.ParseAddrPort(a)
		if err != nil {
			e.Fault("servers", "servers: want addresses such as \"127.0.0.1:5353\", got %q", a)
		}
		r.Servers = append(r.Servers, x)
	}
	if (s.Numbers.Apex == "") != (len(r.Servers) == 0) {
		e.Fault("servers", "enum: want apex and servers, or neither")
	}
	if s.Numbers.Apex != "" && !s.Numbers.Enabled() {
		n.Fault("", "enum: want numbers { table = ... } that asks for something")
	}
	s.Numbers.DNS = r
	for _, f := range b.Blocks("front", 0) {
		s.enumServer(f)
	}
}

// enumServer reads how look-ups are answered.
func (s *Config) enumServer(f *hclconfig.Block) {
	c := &s.ENUMServer
	if c.Listen.IsValid() {
		f.Fault("", "front: stands here twice")
	}
	c.Listen, c.Apex, c.Context = f.Addr("listen"), f.Must("apex"), s.TrunkContext
	c.Class = f.Text("skill", s.DefaultClass)
	c.TTL, c.Negative = uint32(f.Int("ttl", 0, 0, 86400)), uint32(f.Int("negative", 30, 0, 86400))
	c.Patience, c.Repeat = f.Ms("patience", 3000, 100, 60000), f.Ms("repeat", 5000, 0, 60000)
	c.MaxConns, c.IdleTimeout = f.Int("streams", 256, 1, 1<<16), f.Ms("stream_idle", 10000, 100, 600000)
	c.Gain = f.Num("gain", 6, 1, 1000)
	c.MaxPending, c.Keep = f.Int("most", 2000, 1, 1<<20), f.Int("keep", 10000, 1, 1<<20)
	c.Limits = enumserver.Limits{
		Rate:    f.Num("rate", 50, 0, 1e6),
		Burst:   f.Num("burst", 100, 1, 1e6),
		Total:   f.Num("total_rate", 0, 0, 1e7),
		Clients: f.Int("clients", 100000, 2, 1<<24),
	}
	for _, n := range f.Blocks("client", 1) {
		p, err := netip.ParsePrefix(n.Labels[0])
		if err != nil {
			n.Fault("", "client %q: want a network such as \"10.1.0.0/16\"", n.Labels[0])
		}
		c.Limits.Nets = append(c.Limits.Nets, enumserver.Net{Prefix: p, Rate: n.Num("rate", hclconfig.Required, 0, 1e6)})
	}
	known := false
	for _, k := range s.Settings.Classes {
		known = known || k.Name == c.Class
	}
	if !known {
		f.Fault("skill", "skill: want one of the skills, got %q", c.Class)
	}
}
