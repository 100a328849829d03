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

// Config holds the settings of a gateway (the program cobalt-edge). Times are in milliseconds.
type Config struct {
	b2bua.Config
	GossipAddr       netip.AddrPort   // address on which gossip from other gateways is received
	Peers            []netip.AddrPort // gossip addresses of all gateways, by gateway index
	EndpointListAddr string           // address of the server of the endpoint list
	TickInterval     float64          // minimum time between two batches of events
	LogLevel         string
	LogConsole       bool // log in console format, not JSON
	DrainTimeout     float64
	Numbers          NumberAnalysis
	ENUMServer       ENUMServer
	QueueSize        int // received datagrams that may wait for the event loop
}

// NumberAnalysis holds the settings of number analysis: the number tables and ENUM look-ups.
type NumberAnalysis struct {
	// TableFile is the file of the number table that is used until the store has one. Without TableFile and StoreFile
	// numbers aren't analysed: callers state the class and the trunk group.
	TableFile    string
	StoreFile    string // file that stores the activated tables; if empty, they are lost when the process ends
	AdminAddr    string // address of the gRPC service that activates tables; if empty, there is none
	DNS          dnsclient.Config
	LookupDomain string // domain of the ENUM look-ups; if empty, there are none
	ENUMServices []string
}

// Names returns the classes, tenants and trunk groups that number tables may refer to.
func (c *Config) Names() (n numberplan.Names) {
	for _, class := range c.Settings.Classes {
		n.Classes = append(n.Classes, class.Name)
	}
	for _, tenant := range c.Settings.Tenants {
		n.Tenants = append(n.Tenants, tenant.Name)
	}
	for _, group := range c.Groups {
		n.Groups = append(n.Groups, group.Name)
	}
	return n
}

// ENUMServer holds the settings of the gateway's ENUM server.
type ENUMServer struct {
	enumserver.Config
	Listen      netip.AddrPort // UDP and TCP address; if not valid, there is no ENUM server
	MaxConns    int            // open TCP connections; further ones are closed
	IdleTimeout float64        // ms after which a connection without queries is closed (RFC 7766 6.2.3)
}

// Enabled reports whether the gateway analyses numbers.
func (n *NumberAnalysis) Enabled() bool { return n.TableFile != "" || n.StoreFile != "" }

const dayMillis = 24 * 3600 * 1000.0

// Load reads the settings from a file.
func Load(name string) (*Config, error) {
	root, err := hclfile.Load(name)
	if err != nil {
		return nil, err
	}
	return read(root)
}

// Parse reads the settings from memory. Errors name the file as name.
func Parse(name string, src []byte) (*Config, error) {
	root, err := hclconfig.Parse(name, src)
	if err != nil {
		return nil, err
	}
	return read(root)
}

func read(root *hclconfig.Block) (*Config, error) {
	c := &Config{}
	c.Settings = &routing.Settings{}
	gateway := root.SingleBlock("gateway")
	c.readGateway(gateway)
	c.readEndpointListAndLog(root)
	c.readAllow(root, gateway)
	c.readTimers(root)
	c.readRules(root)
	c.readClasses(root, gateway)
	c.readTrunkGroups(root)
	c.readNumbers(root)
	return c, root.Err()
}

// readGateway reads the block gateway.
func (c *Config) readGateway(block *hclconfig.Block) {
	settings := c.Settings
	c.Name = block.RequiredText("name")
	c.Address, c.GossipAddr = block.Addr("sip"), block.Addr("peer")
	c.TrunkContext = block.RequiredText("trunk_context")
	settings.Gateways = block.Int("gateways", 1, 1, 100000)
	settings.GatewayIndex = block.Int("number", 0, 0, 99999)
	settings.Seed = uint64(block.Num("seed", 1, 0, 1<<53))
	c.TickInterval = block.Ms("tick", 0, 0, 1000)
	settings.TickInterval = c.TickInterval
	c.AnswerMargin = block.Ms("margin", 30, 0, 60000)
	c.LoadShedding = loadshed.Gate{
		MaxPending:    block.Int("most_held", 20000, 1, 1<<24),
		RatePerSecond: block.Num("most_rate", 0, 0, 1e6),
	}
	c.QueueSize = block.Int("queue", 8192, 16, 1<<20)
	c.DrainTimeout = block.Ms("drain_within", 30000, 0, dayMillis)
	c.DefaultClass = block.Text("default_skill", "")
	if settings.GatewayIndex >= settings.Gateways {
		block.AddError("number", "number: want less than gateways (%d), got %d", settings.Gateways, settings.GatewayIndex)
	}
	for _, peer := range block.TextList("peers") {
		addr, err := netip.ParseAddrPort(peer)
		if err != nil {
			block.AddError("peers", "peers: want addresses such as \"127.0.0.1:5070\", got %q", peer)
		}
		c.Peers = append(c.Peers, addr)
	}
}

// readEndpointListAndLog reads the blocks list and log.
func (c *Config) readEndpointListAndLog(root *hclconfig.Block) {
	list := root.SingleBlock("list")
	c.EndpointListAddr = list.RequiredText("addr")
	log := root.SingleBlock("log")
	c.LogLevel = log.Text("level", "info", "debug", "info", "warn", "error")
	c.LogConsole = log.Text("form", "json", "json", "console") == "console"
}

// readAllow reads the block allow. It checks the number of peers too, which depends on allow.tell.
func (c *Config) readAllow(root, gateway *hclconfig.Block) {
	settings := c.Settings
	allow := root.SingleBlock("allow")
	settings.MaxAttempts = allow.Int("max_rings", 5, 1, 1000)
	settings.ProbeEnabled, settings.GossipEnabled = allow.Flag("probe", false), allow.Flag("tell", len(c.Peers) > 0)
	settings.CancelEnabled, settings.RetryAfterEnabled = allow.Flag("cancel", true), allow.Flag("name_wait", true)
	settings.MaxRetryAfter = allow.Ms("max_wait", 2000, 0, dayMillis)
	settings.LoadReportsByProbe = allow.Flag("reports_by_probe", false)
	if settings.GossipEnabled && len(c.Peers) != settings.Gateways {
		gateway.AddError(
			"peers",
			"peers: want %d addresses, one for each gateway, because allow.tell is set; got %d",
			settings.Gateways,
			len(c.Peers),
		)
	}
}

// readTimers reads the block timers, the SIP timers T1, T2 and T4 (RFC 3261).
func (c *Config) readTimers(root *hclconfig.Block) {
	settings := c.Settings
	timers := root.SingleBlock("timers")
	t1 := timers.Ms("t1", 500, 10, 60000)
	c.Times = siptransaction.TimerValues{
		T1: t1,
		T2: timers.Ms("t2", 8*t1, 10, 600000),
		T4: timers.Ms("t4", 5000, 10, 600000),
	}
	settings.RetransmitInterval = t1
}

// readRules reads the block rules, the parameters of the five rules.
func (c *Config) readRules(root *hclconfig.Block) {
	settings := c.Settings
	rules := root.SingleBlock("rules")
	settings.AnswerGrace = rules.Ms("slack", 20, 0, 10000)
	settings.RetryHoldOff = rules.Ms("clear_wait", hclconfig.Required, 0, 60000)
	settings.SlowStartFraction = rules.Num("cold_share", hclconfig.Required, 0.001, 1)
	settings.SlowStartDuration = rules.Ms("warm_within", hclconfig.Required, 0, dayMillis)
	settings.OverloadFactor = rules.Num("tip_multiple", hclconfig.Required, 0, 1000)
	settings.OverloadWindow = rules.Ms("tip_time", hclconfig.Required, 1, dayMillis)
}

// readClasses reads the skill blocks, the classes, and the customer blocks, the tenants.
func (c *Config) readClasses(root, gateway *hclconfig.Block) {
	settings := c.Settings
	for _, block := range root.Blocks("skill", 1) {
		class := &routing.Class{
			Name:            block.Labels[0],
			Timeout:         block.Ms("patience", hclconfig.Required, 1, dayMillis),
			Weight:          block.Num("value", 1, 0, 1e9),
			MeanHoldingTime: block.Ms("hold", 0, 0, dayMillis),
			Idempotent:      block.Flag("repeat", true),
		}
		// These say how service is scored. They are checked and not used: calls are routed by their callers' time.
		if target := block.Ms("target", hclconfig.Required, 1, dayMillis); target > class.Timeout {
			block.AddError("target", "target: want at most patience")
		}
		block.Num("late_value", 0, 0, 1)
		settings.Classes = append(settings.Classes, class)
	}
	if len(settings.Classes) == 0 {
		root.AddError("", "want at least one skill \"NAME\" { ... }")
	} else if c.DefaultClass == "" {
		c.DefaultClass = settings.Classes[0].Name
	}
	names := map[string]bool{}
	for _, class := range settings.Classes {
		names[class.Name] = true
	}
	if len(settings.Classes) > 0 && !names[c.DefaultClass] {
		gateway.AddError("default_skill", "default_skill: want one of the skills, got %q", c.DefaultClass)
	}
	for _, block := range root.Blocks("customer", 1) {
		settings.Tenants = append(settings.Tenants, &routing.Tenant{Name: block.Labels[0]})
	}
}

// readTrunkGroups reads the group blocks.
func (c *Config) readTrunkGroups(root *hclconfig.Block) {
	groupByDestination := map[int]string{}
	for _, block := range root.Blocks("group", 1) {
		group := b2bua.Group{
			Name:          block.Labels[0],
			DestinationID: block.Int("pool", -1, 0, 1<<30),
			Circuits:      block.Int("size", -1, 1, 1<<20),
		}
		if !block.Has("pool") || !block.Has("size") {
			block.AddError("", "group %q: want pool and size", group.Name)
		}
		if other := groupByDestination[group.DestinationID]; other != "" {
			block.AddError("pool", "pool: %d is already the pool of group %q", group.DestinationID, other)
		}
		groupByDestination[group.DestinationID] = group.Name
		c.Groups = append(c.Groups, group)
	}
	if len(c.Groups) == 0 {
		root.AddError("", "want at least one group \"NAME\" { pool = ..., size = ... }")
	}
}

// readNumbers reads the blocks numbers, enum and front.
func (c *Config) readNumbers(root *hclconfig.Block) {
	numbers, enum := root.SingleBlock("numbers"), root.SingleBlock("enum")
	c.Numbers = NumberAnalysis{
		TableFile:    numbers.Text("table", ""),
		StoreFile:    numbers.Text("store", ""),
		AdminAddr:    numbers.Text("admin", ""),
		LookupDomain: enum.Text("apex", ""),
		ENUMServices: enum.TextList("services"),
	}
	c.LookupShare = numbers.Num("lookup_share", 0.3, 0, 1)
	if len(c.Numbers.ENUMServices) == 0 {
		c.Numbers.ENUMServices = []string{"pstn:tel"}
	}
	dns := dnsclient.Config{
		Ports:      enum.Int("ports", 8, 1, 64),
		MaxLookups: enum.Int("most", 1000, 1, 1<<20),
		MaxQueries: enum.Int("tries", 4, 1, 20),
		StaleAfter: enum.Ms("stale_after", 200, 0, dayMillis),
	}
	dns.Cache = dnsclient.CacheConfig{
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
	for _, server := range enum.TextList("servers") {
		addr, err := netip.ParseAddrPort(server)
		if err != nil {
			enum.AddError("servers", "servers: want addresses such as \"127.0.0.1:5353\", got %q", server)
		}
		dns.Servers = append(dns.Servers, addr)
	}
	if (c.Numbers.LookupDomain == "") != (len(dns.Servers) == 0) {
		enum.AddError("servers", "enum: want both apex and servers, or neither")
	}
	if c.Numbers.LookupDomain != "" && !c.Numbers.Enabled() {
		numbers.AddError("", "numbers: want table or store if enum.apex is set, because only number tables use ENUM look-ups")
	}
	c.Numbers.DNS = dns
	for _, block := range root.Blocks("front", 0) {
		c.readENUMServer(block)
	}
}

// readENUMServer reads a front block, the settings of the ENUM server.
func (c *Config) readENUMServer(block *hclconfig.Block) {
	server := &c.ENUMServer
	if server.Listen.IsValid() {
		block.AddError("", "front: want at most one block")
	}
	server.Listen, server.Apex, server.TrunkContext = block.Addr("listen"), block.RequiredText("apex"), c.TrunkContext
	server.Class = block.Text("skill", c.DefaultClass)
	server.TTL, server.NegativeTTL = uint32(block.Int("ttl", 0, 0, 86400)), uint32(block.Int("negative", 30, 0, 86400))
	server.Timeout, server.RepeatWindow = block.Ms("patience", 3000, 100, 60000), block.Ms("repeat", 5000, 0, 60000)
	server.MaxConns, server.IdleTimeout = block.Int("streams", 256, 1, 1<<16), block.Ms("stream_idle", 10000, 100, 600000)
	server.MaxAmplification = block.Num("gain", 6, 1, 1000)
	server.MaxPending, server.MaxRemembered = block.Int("most", 2000, 1, 1<<20), block.Int("keep", 10000, 1, 1<<20)
	server.Limits = enumserver.Limits{
		Rate:       block.Num("rate", 50, 0, 1e6),
		Burst:      block.Num("burst", 100, 1, 1e6),
		TotalRate:  block.Num("total_rate", 0, 0, 1e7),
		MaxClients: block.Int("clients", 100000, 2, 1<<24),
	}
	for _, clientBlock := range block.Blocks("client", 1) {
		prefix, err := netip.ParsePrefix(clientBlock.Labels[0])
		if err != nil {
			clientBlock.AddError("", "client %q: want a network such as \"10.1.0.0/16\"", clientBlock.Labels[0])
		}
		server.Limits.Networks = append(
			server.Limits.Networks,
			enumserver.Net{Prefix: prefix, Rate: clientBlock.Num("rate", hclconfig.Required, 0, 1e6)},
		)
	}
	known := false
	for _, class := range c.Settings.Classes {
		known = known || class.Name == server.Class
	}
	if !known {
		block.AddError("skill", "skill: want one of the skills, got %q", server.Class)
	}
}
