// Package gatewayconfig reads the settings of a gateway from one HCL file. The file is checked as a whole; errors
// name the file and the line.
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

// Config is the settings of cobalt-edge. Times are in milliseconds.
type Config struct {
	b2bua.Config
	PeerListen   netip.AddrPort   // for gossip of other gateways
	Peers        []netip.AddrPort // of all gateways, by index
	EndpointList string           // address of the server of the endpoint list
	Tick         float64
	LogLevel     string
	LogConsole   bool // log in console format, not JSON
	DrainTimeout float64
	Numbers      Numbers
	ENUMServer   ENUMServer
	QueueSize    int // datagrams that may wait for the event loop
}

// Numbers is the settings of the number tables and of ENUM look-ups.
type Numbers struct {
	Table    string // file of the table used while the store has none; without both, callers name class and group
	Store    string // file that keeps the tables put in service; "": they are lost when the process ends
	Admin    string // address of the gRPC service that puts tables in service; "": none
	DNS      dnsclient.Config
	Apex     string // domain of the look-ups; "": no look-ups
	Services []string
}

// Names returns the classes, tenants and trunk groups that number tables may refer to.
func (s *Config) Names() (n numberplan.Names) {
	for _, class := range s.Settings.Classes {
		n.Classes = append(n.Classes, class.Name)
	}
	for _, tenant := range s.Settings.Tenants {
		n.Tenants = append(n.Tenants, tenant.Name)
	}
	for _, group := range s.Groups {
		n.Groups = append(n.Groups, group.Name)
	}
	return n
}

// ENUMServer is the settings of the gateway's ENUM server.
type ENUMServer struct {
	enumserver.Config
	Listen      netip.AddrPort // UDP and TCP; not valid: no ENUM server
	MaxConns    int            // open TCP connections; further ones are closed
	IdleTimeout float64        // ms after which a connection without queries is closed (RFC 7766 6.2.3)
}

// Enabled tells whether the gateway analyses numbers.
func (n *Numbers) Enabled() bool { return n.Table != "" || n.Store != "" }

const dayMillis = 24 * 3600 * 1000.0

// Load reads the settings from a file.
func Load(name string) (*Config, error) {
	b, err := hclfile.Load(name)
	if err != nil {
		return nil, err
	}
	return read(b)
}

// Parse reads the settings from memory. Errors name the file as name.
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
	s.readNumbers(b)
	return s, b.Err()
}

func (s *Config) readGateway(gateway *hclconfig.Block) {
	set := s.Settings
	s.Name = gateway.Must("name")
	s.Address, s.PeerListen = gateway.Addr("sip"), gateway.Addr("peer")
	s.TrunkContext = gateway.Must("trunk_context")
	set.Gateways = gateway.Int("gateways", 1, 1, 100000)
	set.GatewayIndex = gateway.Int("number", 0, 0, 99999)
	set.Seed = uint64(gateway.Num("seed", 1, 0, 1<<53))
	s.Tick = gateway.Ms("tick", 0, 0, 1000)
	set.TickInterval = s.Tick
	s.AnswerMargin = gateway.Ms("margin", 30, 0, 60000)
	s.LoadShedding = loadshed.Gate{
		MaxPending:    gateway.Int("most_held", 20000, 1, 1<<24),
		RatePerSecond: gateway.Num("most_rate", 0, 0, 1e6),
	}
	s.QueueSize = gateway.Int("queue", 8192, 16, 1<<20)
	s.DrainTimeout = gateway.Ms("drain_within", 30000, 0, dayMillis)
	s.DefaultClass = gateway.Text("default_skill", "")
	if set.GatewayIndex >= set.Gateways {
		gateway.Fault("number", "number: want one below gateways = %d, got %d", set.Gateways, set.GatewayIndex)
	}
	for _, p := range gateway.Texts("peers") {
		addr, err := netip.ParseAddrPort(p)
		if err != nil {
			gateway.Fault("peers", "peers: want addresses such as \"127.0.0.1:5070\", got %q", p)
		}
		s.Peers = append(s.Peers, addr)
	}
}

func (s *Config) readEndpointListAndLog(b *hclconfig.Block) {
	list := b.One("list")
	s.EndpointList = list.Must("addr")
	log := b.One("log")
	s.LogLevel = log.Text("level", "info", "debug", "info", "warn", "error")
	s.LogConsole = log.Text("form", "json", "json", "console") == "console"
}

func (s *Config) readAllowed(b, gateway *hclconfig.Block) {
	set := s.Settings
	allow := b.One("allow")
	set.MaxAttempts = allow.Int("max_rings", 5, 1, 1000)
	set.ProbeEnabled, set.GossipEnabled = allow.Flag("probe", false), allow.Flag("tell", len(s.Peers) > 0)
	set.CancelEnabled, set.RetryAfterEnabled = allow.Flag("cancel", true), allow.Flag("name_wait", true)
	set.MaxRetryAfter = allow.Ms("max_wait", 2000, 0, dayMillis)
	set.LoadReportsByProbe = allow.Flag("reports_by_probe", false)
	if set.GossipEnabled && len(s.Peers) != set.Gateways {
		gateway.Fault(
			"peers",
			"peers: want the addresses of all %d gateways where allow.tell is set, got %d",
			set.Gateways,
			len(s.Peers),
		)
	}
}

func (s *Config) readTimers(b *hclconfig.Block) {
	set := s.Settings
	timers := b.One("timers")
	t1 := timers.Ms("t1", 500, 10, 60000)
	s.Times = siptransaction.Timers{T1: t1, T2: timers.Ms("t2", 8*t1, 10, 600000), T4: timers.Ms("t4", 5000, 10, 600000)}
	set.RetransmitInterval = t1
}

func (s *Config) readRules(b *hclconfig.Block) {
	set := s.Settings
	rules := b.One("rules")
	set.AnswerGrace = rules.Ms("slack", 20, 0, 10000)
	set.RetryHoldOff = rules.Ms("clear_wait", hclconfig.Required, 0, 60000)
	set.SlowStartFraction = rules.Num("cold_share", hclconfig.Required, 0.001, 1)
	set.SlowStartDuration = rules.Ms("warm_within", hclconfig.Required, 0, dayMillis)
	set.OverloadFactor = rules.Num("tip_multiple", hclconfig.Required, 0, 1000)
	set.OverloadWindow = rules.Ms("tip_time", hclconfig.Required, 1, dayMillis)
}

// readClasses reads the classes and the tenants.
func (s *Config) readClasses(b, gateway *hclconfig.Block) {
	set := s.Settings
	for _, skill := range b.Blocks("skill", 1) {
		class := &routing.Class{
			Name:             skill.Labels[0],
			LatencyObjective: skill.Ms("target", hclconfig.Required, 1, dayMillis),
			Timeout:          skill.Ms("patience", hclconfig.Required, 1, dayMillis),
			Weight: skill.Num(
				"value",
				1,
				0,
				1e9,
			),
			LateWeightFraction: skill.Num("late_value", 0, 0, 1),
			MeanHoldingTime:    skill.Ms("hold", 0, 0, dayMillis),
			Idempotent:         skill.Flag("repeat", true),
		}
		if class.LatencyObjective > class.Timeout {
			skill.Fault("target", "target: want no more than patience")
		}
		set.Classes = append(set.Classes, class)
	}
	if len(set.Classes) == 0 {
		b.Fault("", "want at least one skill \"NAME\" { ... }")
	} else if s.DefaultClass == "" {
		s.DefaultClass = set.Classes[0].Name
	}
	names := map[string]bool{}
	for _, class := range set.Classes {
		names[class.Name] = true
	}
	if len(set.Classes) > 0 && !names[s.DefaultClass] {
		gateway.Fault("default_skill", "default_skill: want one of the skills, got %q", s.DefaultClass)
	}
	for _, customer := range b.Blocks("customer", 1) {
		set.Tenants = append(set.Tenants, &routing.Tenant{Name: customer.Labels[0]})
	}
}

func (s *Config) readTrunkGroups(b *hclconfig.Block) {
	nameByDestination := map[int]string{}
	for _, block := range b.Blocks("group", 1) {
		group := b2bua.Group{
			Name:          block.Labels[0],
			DestinationID: block.Int("pool", -1, 0, 1<<30),
			Circuits:      block.Int("size", -1, 1, 1<<20),
		}
		if !block.Has("pool") || !block.Has("size") {
			block.Fault("", "group %q: want pool and size", group.Name)
		}
		if other := nameByDestination[group.DestinationID]; other != "" {
			block.Fault("pool", "pool %d already belongs to group %q", group.DestinationID, other)
		}
		nameByDestination[group.DestinationID] = group.Name
		s.Groups = append(s.Groups, group)
	}
	if len(s.Groups) == 0 {
		b.Fault("", "want at least one group \"NAME\" { pool = ..., size = ... }")
	}
}

// readNumbers reads the blocks numbers, enum and front.
func (s *Config) readNumbers(b *hclconfig.Block) {
	numbers, enum := b.One("numbers"), b.One("enum")
	s.Numbers = Numbers{
		Table:    numbers.Text("table", ""),
		Store:    numbers.Text("store", ""),
		Admin:    numbers.Text("admin", ""),
		Apex:     enum.Text("apex", ""),
		Services: enum.Texts("services"),
	}
	s.LookupShare = numbers.Num("lookup_share", 0.3, 0, 1)
	if len(s.Numbers.Services) == 0 {
		s.Numbers.Services = []string{"pstn:tel"}
	}
	dns := dnsclient.Config{
		Ports:      enum.Int("ports", 8, 1, 64),
		MaxLookups: enum.Int("most", 1000, 1, 1<<20),
		Tries:      enum.Int("tries", 4, 1, 20),
		StaleAfter: enum.Ms("stale_after", 200, 0, dayMillis),
	}
	dns.Cache = dnsclient.CacheTimes{
		MaxEntries: enum.Int("keep", 100000, 1, 1<<24),
		MinTTL:     enum.Ms("least", 1000, 0, dayMillis),
		MaxTTL:     enum.Ms("longest", dayMillis, 0, 7*dayMillis),
		MaxNegativeTTL: enum.Ms(
			"negative",
			900e3,
			0,
			dayMillis,
		),
		StaleTime:  enum.Ms("stale", 3600e3, 0, 7*dayMillis),
		FailureTTL: enum.Ms("fail", 1000, 0, 300e3),
	}
	for _, server := range enum.Texts("servers") {
		addr, err := netip.ParseAddrPort(server)
		if err != nil {
			enum.Fault("servers", "servers: want addresses such as \"127.0.0.1:5353\", got %q", server)
		}
		dns.Servers = append(dns.Servers, addr)
	}
	if (s.Numbers.Apex == "") != (len(dns.Servers) == 0) {
		enum.Fault("servers", "enum: want apex and servers, or neither")
	}
	if s.Numbers.Apex != "" && !s.Numbers.Enabled() {
		numbers.Fault("", "enum: want numbers { table = ... } or a store too: only number tables look numbers up")
	}
	s.Numbers.DNS = dns
	for _, front := range b.Blocks("front", 0) {
		s.readENUMServer(front)
	}
}

// readENUMServer reads a front block, the settings of the ENUM server.
func (s *Config) readENUMServer(front *hclconfig.Block) {
	server := &s.ENUMServer
	if server.Listen.IsValid() {
		front.Fault("", "front: want one such block, this is a second one")
	}
	server.Listen, server.Apex, server.Context = front.Addr("listen"), front.Must("apex"), s.TrunkContext
	server.Class = front.Text("skill", s.DefaultClass)
	server.TTL, server.Negative = uint32(front.Int("ttl", 0, 0, 86400)), uint32(front.Int("negative", 30, 0, 86400))
	server.Patience, server.Repeat = front.Ms("patience", 3000, 100, 60000), front.Ms("repeat", 5000, 0, 60000)
	server.MaxConns, server.IdleTimeout = front.Int("streams", 256, 1, 1<<16), front.Ms("stream_idle", 10000, 100, 600000)
	server.Gain = front.Num("gain", 6, 1, 1000)
	server.MaxPending, server.Keep = front.Int("most", 2000, 1, 1<<20), front.Int("keep", 10000, 1, 1<<20)
	server.Limits = enumserver.Limits{
		Rate:    front.Num("rate", 50, 0, 1e6),
		Burst:   front.Num("burst", 100, 1, 1e6),
		Total:   front.Num("total_rate", 0, 0, 1e7),
		Clients: front.Int("clients", 100000, 2, 1<<24),
	}
	for _, client := range front.Blocks("client", 1) {
		prefix, err := netip.ParsePrefix(client.Labels[0])
		if err != nil {
			client.Fault("", "client %q: want a network such as \"10.1.0.0/16\"", client.Labels[0])
		}
		server.Limits.Nets = append(
			server.Limits.Nets,
			enumserver.Net{Prefix: prefix, Rate: client.Num("rate", hclconfig.Required, 0, 1e6)},
		)
	}
	known := false
	for _, class := range s.Settings.Classes {
		known = known || class.Name == server.Class
	}
	if !known {
		front.Fault("skill", "skill: want one of the skills, got %q", server.Class)
	}
}
