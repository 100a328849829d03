// Package scenariofile reads scenarios: how many gateways and switches there are, which calls arrive, and which
// faults occur when.
package scenariofile

//tally:standin

import (
	"maps"
	"slices"
	"strings"

	"cobaltpier/api"
	"cobaltpier/internal/emulator/coreswitch"
	"cobaltpier/internal/hclconfig"
	"cobaltpier/internal/protocol/siptransaction"
)

// Script is a scenario. Times are in milliseconds.
//
// Scripts are stored as JSON under the Go names of their fields; a renamed field keeps its old name in a tag.
type Script struct {
	Name        string
	Seed        uint64
	Length      float64
	Regions     []string
	Gateways    Gateways
	Rules       Rules
	Net         Net
	Classes     []Class  `json:"Skills"`
	Tenants     []Tenant `json:"Payers"`
	Pools       Pools
	Load        Load
	Callers     Callers
	List        List
	Numbers     Numbers
	ENUMClients ENUMClients `json:"Kiosks"`
	Faults      []Fault     `json:"Troubles"`
	Calls       []*api.Call `json:"-"` // calls of a trace, in place of Load
}

// Gateways holds the number and the settings of the gateways. Held is the most calls that may be pending at one
// of them, MaxRings the most attempts of a call, MaxWait the longest Retry-After in ms. Tick is the timer
// interval in ms, Margin the answer margin in ms, MostRate the admission rate in calls per second (0: no limit).
// Cancel, Tell, Probe and NameWait permit CANCEL, gossip, probes and Retry-After.
type Gateways struct {
	Count, Held, MaxRings, MaxWait int
	Tick, Margin, MostRate         float64
	Cancel, Tell, Probe, NameWait  bool
}

// Rules holds the parameters of rules 1 to 5, which package conformance checks. Slack is how much later than the
// deadline a final answer may be (rule 1), Grace the time after which nothing may be sent to an endpoint that is
// known to drain or be gone (rule 3), Clear the hold-off (rule 5), all in ms. The others belong to rule 4:
// ColdShare is the share of its capacity that a switch has at the begin of slow start, WarmWithin the duration of
// slow start in ms; a switch in slow start is overloaded by more than TipTimes its capacity over TipWindow ms.
type Rules struct{ Slack, Grace, Clear, ColdShare, WarmWithin, TipTimes, TipWindow float64 }

// Net describes the network. Same, Cross, Caller and Peer are the one-way delays in ms within a region, between
// regions, between callers and gateways and between gateways (gossip). Jitter is the largest deviation from the
// delay, as a fraction of it. Loss and Double are the shares of datagrams that are lost or duplicated, PeerLoss
// the share of gossip that is lost.
type Net struct{ Same, Cross, Caller, Peer, Jitter, Loss, Double, PeerLoss float64 }

// Class is a class of calls. Share is its share of the calls, Target its latency objective, Patience the caller's
// timeout, Try the timeout of an attempt, Value the weight of a call, Late the fraction of the weight that a late
// answer counts, Hold the mean holding time. Times are in ms.
type Class struct {
	Name                                            string
	Share, Target, Patience, Try, Value, Late, Hold float64
}

// Tenant is a tenant with its share of the calls.
type Tenant struct {
	Name  string
	Share float64
}

// Pools are the endpoints.
type Pools struct {
	Count  int
	Spread float64 // capacities differ from the mean by up to this fraction
	// Sizes, if set, are the relative capacities, in place of Spread; Regions, if set, holds for
	// each endpoint the index of its region in Script.Regions.
	Sizes   []float64
	Regions []int
	Model   coreswitch.Model
}

// Load is the offered load.
type Load struct {
	Rate    float64 // calls per second at all gateways together
	Drift   float64 // the popularity of destinations is redrawn at this interval
	Skew    float64 // 0: all destinations are equally popular
	Numbers int     // distinct called numbers
}

// Callers is the behavior of the callers.
type Callers struct {
	Redials int     // most redials of a call
	Pause   float64 // pause before a redial, in ms
	Grows   bool    // the pause grows exponentially
	Honour  float64 // share of the callers that obey Retry-After
	MaxWait float64 // longest Retry-After that they obey, in ms
	Silence float64 // a caller hangs up after this time on a dead line, in ms
}

// List holds the delays in ms, least (Lo) and most (Hi), after which the endpoint list shows a change: Notice the
// stop of a switch, Silent the kill of a switch, Add a new switch. Single gateways get it up to Spread later.
type List struct{ NoticeLo, NoticeHi, SilentLo, SilentHi, AddLo, AddHi, Spread float64 }

// Numbers says whether the gateways analyse numbers, and how the look-ups requested by their number tables are
// answered.
type Numbers struct {
	On                  bool
	Change              float64 // interval between new tables; 0: never
	Ported, None, Leads float64 // shares of the numbers that are ported, unassigned, answered with a non-terminal record
	TTL, Delay, Jitter  float64
	Servers             int
	Within, Share       float64 // timeout of a look-up in ms; largest share of the call's timeout that it may take
	Cache, Alone        bool    // Cache: answers are cached; Alone: concurrent look-ups of one name are not shared
	Popular             float64 // 1: all numbers are equally popular; above 1: lower numbers are called more often
	Refuse              bool    // a call whose look-up gets no answer is rejected, not routed by the dialled number
	Fail                float64 // how long a failed look-up is not repeated
	Stale               float64 // how long stale answers are served
}

// ENUMClients are ENUM clients: they look up which switch to call and call it themselves.
type ENUMClients struct {
	Rate    float64 // calls per second at all gateways together; 0: no ENUM clients
	Hold    float64 // holding time in ms
	Loss    float64 // share of datagrams lost between them and the gateways
	Wait    float64 // retransmission interval of a query
	Repeats int     // most retransmissions of a query
	Asks    int     // most further look-ups after a failed one
}

// AnalysesNumbers reports whether the gateways analyse numbers. They don't for the calls of a trace, which name their
// trunk groups themselves.
func (s *Script) AnalysesNumbers() bool { return s.Numbers.On && len(s.Calls) == 0 }

// Fault is a fault. At is its begin and For its duration, in ms; Part is the share of the components that it affects;
// what Size means depends on the kind. Region is the region of the affected switches; "": all regions.
type Fault struct {
	Kind       string
	At, For    float64
	Part, Size float64
	Region     string
}

// FaultKinds describes each kind of fault with the meaning of its part and size.
var FaultKinds = map[string]string{
	"burst":         "calls arrive size times as often",
	"uneven":        "a part of the gateways gets the share size of all calls",
	"slow":          "a part of the switches runs size times slower",
	"slow_all":      "all switches run size times slower",
	"other":         "on a part of the switches other work takes the share size of the processor, on and off",
	"lines":         "the switches of a region keep the share size of their lines",
	"silent":        "a part of the switches stops responding and restarts cold",
	"ageing":        "a part of the switches gets slower, up to size times, then crashes and restarts cold",
	"deploy":        "a part of the switches drains and is replaced by cold ones, one after the other",
	"region":        "all switches of a region restart together",
	"stall":         "a part of the gateways is paused for size seconds, repeatedly",
	"restart":       "a part of the gateways is killed and restarted with its last list",
	"mute":          "messages between gateways are lost",
	"loss":          "another share size of datagrams is lost, except between callers and gateways and between gateways",
	"listless":      "the endpoint list sends no updates",
	"names_silent":  "a part of the DNS servers never answers",
	"names_slow":    "a part of the DNS servers answers after size seconds",
	"names_lossy":   "a part of the DNS servers loses the share size of its answers",
	"names_spoofed": "each answer of a part of the DNS servers is preceded by size spoofed answers",
	"names_cut":     "a part of the DNS servers truncates the share size of its answers",
	"names_lame":    "a part of the DNS servers refuses queries",
	"names_wrong":   "the share size of the answers of a part of the DNS servers has a wrong id",
	"flood":         "one gateway gets size times the total load, in the class of the lowest value",
}

const msPerDay = 24 * 3600 * 1000.0

// Read reads a script from a parsed scenario file.
func Read(b *hclconfig.Block) (*Script, error) {
	s := &Script{
		Name:    b.Text("name", "day"),
		Seed:    uint64(b.Int("seed", 1, 0, 1<<31)),
		Length:  b.Ms("length", 60000, 1000, msPerDay),
		Regions: b.TextList("regions"),
	}
	if len(s.Regions) == 0 {
		s.Regions = []string{"one"}
	}
	s.readGateways(b)
	s.readRules(b)
	s.readNet(b)
	s.readClasses(b)
	s.readPools(b)
	s.readLoad(b)
	s.readCallers(b)
	s.readList(b)
	s.readNumbers(b)
	s.readENUMClients(b)
	s.readFaults(b)
	return s, b.Err()
}

// readGateways reads the settings of the gateways.
func (s *Script) readGateways(b *hclconfig.Block) {
	g := b.SingleBlock("gateways")
	s.Gateways = Gateways{
		Count:    g.Int("count", 8, 1, 1000),
		Held:     g.Int("most_held", 20000, 1, 1<<24),
		MostRate: g.Num("most_rate", 0, 0, 1e6),
		MaxRings: g.Int("max_rings", 5, 1, 100),
		MaxWait:  int(g.Ms("max_wait", 2000, 0, msPerDay)),
		Tick:     g.Ms("tick", 5, 0.1, 1000),
		Margin:   g.Ms("margin", 30, 0, 10000),
		Cancel:   g.Flag("may_cancel", true),
		Tell:     g.Flag("may_tell", true),
		Probe:    g.Flag("may_probe", false),
		NameWait: g.Flag("names_wait", true),
	}
}

// readRules reads the parameters of the rules.
func (s *Script) readRules(b *hclconfig.Block) {
	r := b.SingleBlock("rules")
	s.Rules = Rules{
		Slack:      r.Ms("slack", 20, 0, 1000),
		Grace:      r.Ms("grace", 250, 0, 10000),
		Clear:      r.Ms("clear_wait", 500, 0, 10000),
		ColdShare:  r.Num("cold_share", 0.36, 0.01, 1),
		WarmWithin: r.Ms("warm_within", 14000, 0, msPerDay),
		TipTimes:   r.Num("tip_multiple", 2.5, 0, 100),
		TipWindow:  r.Ms("tip_time", 1000, 1, msPerDay),
	}
}

// readNet reads the delays and losses of the network.
func (s *Script) readNet(b *hclconfig.Block) {
	n := b.SingleBlock("net")
	s.Net = Net{
		Same:     n.Ms("same", 5, 0, 1000),
		Cross:    n.Ms("cross", 14, 0, 1000),
		Caller:   n.Ms("caller", 0.1, 0, 1000),
		Peer:     n.Ms("peer", 6, 0, 1000),
		Jitter:   n.Num("jitter", 0.2, 0, 1),
		Loss:     n.Num("loss", 0, 0, 1),
		Double:   n.Num("double", 0, 0, 1),
		PeerLoss: n.Num("peer_loss", 0.01, 0, 1),
	}
}

// readClasses reads the classes and tenants of calls.
func (s *Script) readClasses(b *hclconfig.Block) {
	for _, k := range b.Blocks("skill", 1) {
		s.Classes = append(
			s.Classes,
			Class{
				Name:     k.Labels[0],
				Share:    k.Num("share", 1, 0, 1),
				Target:   k.Ms("target", 2000, 1, msPerDay),
				Patience: k.Ms("patience", 9000, 1000, msPerDay),
				Try:      k.Ms("try", 3000, 1000, msPerDay),
				Value:    k.Num("value", 1, 0, 1e6),
				Late:     k.Num("late", 0.1, 0, 1),
				Hold:     k.Ms("hold", 9000, 1, msPerDay),
			},
		)
	}
	if len(s.Classes) == 0 {
		s.Classes = []Class{{"shift-lookup", 1, 2000, 9000, 3000, 1, 0.1, 9000}}
	}
	for _, c := range b.Blocks("customer", 1) {
		s.Tenants = append(s.Tenants, Tenant{c.Labels[0], c.Num("share", 1, 0, 1)})
	}
	if len(s.Tenants) == 0 {
		s.Tenants = []Tenant{{"laurentide.example", 1}}
	}
}

// readPools reads the core switches. It uses s.Rules, which must have been read before.
func (s *Script) readPools(b *hclconfig.Block) {
	p := b.SingleBlock("pools")
	retry := p.Ms("retransmit", 400, 10, 60000)
	s.Pools = Pools{Count: p.Int("count", 4, 1, 1000), Spread: p.Num("spread", 0.15, 0, 0.9), Model: coreswitch.Model{
		Setup:          p.Num("setup_ms", 6.4, 0.001, 1000),
		Answer:         p.Num("answer_ms", 2.4, 0, 1000),
		Release:        p.Num("release_ms", 1.9, 0, 1000),
		Repeat:         p.Num("repeat_ms", 1, 0, 1000),
		Reject:         p.Num("reject_ms", 0.8, 0, 1000),
		Probe:          p.Num("probe_ms", 0.3, 0, 1000),
		Lines:          p.Int("lines", 2000, 1, 1<<20),
		WaitLimit:      p.Ms("wait_limit", 2500, 1, msPerDay),
		NamesWait:      p.Flag("names_wait", true),
		WorksOn:        p.Flag("works_on", false),
		ErrorRate:      p.Num("error_rate", 0.0005, 0, 1),
		ColdShare:      s.Rules.ColdShare,
		Warm:           p.Ms("warm", 12000, 0, msPerDay),
		OverloadFactor: s.Rules.TipTimes,
		OverloadWindow: s.Rules.TipWindow,
		ReportInterval: p.Ms("refresh", 400, 1, msPerDay),
		ReportDelay:    p.Ms("report_delay", 120, 0, msPerDay),
		ReportNoise:    p.Num("noise", 0.08, 0, 1),
		Times:          siptransaction.TimerValues{T1: retry, T2: 8 * retry, T4: 5000},
	}}
	s.Pools.Model.Reports = p.TextList("reports")
	if len(s.Pools.Model.Reports) == 0 {
		s.Pools.Model.Reports = []string{"util", "queue"}
	}
	for _, v := range s.Pools.Model.Reports {
		if !strings.Contains(" util queue wait rate loss ", " "+v+" ") {
			p.AddError("reports", "reports: want some of util, queue, wait, rate, loss, got %q", v)
		}
	}
}

// readLoad reads the offered load.
func (s *Script) readLoad(b *hclconfig.Block) {
	l := b.SingleBlock("load")
	s.Load = Load{
		Rate:    l.Num("rate", 300, 0, 1e6),
		Drift:   l.Ms("drift", 15000, 100, msPerDay),
		Skew:    l.Num("skew", 0.3, 0, 1),
		Numbers: l.Int("numbers", 20000, 1, 1<<30),
	}
}

// readCallers reads the behavior of the callers.
func (s *Script) readCallers(b *hclconfig.Block) {
	c := b.SingleBlock("callers")
	s.Callers = Callers{
		Redials: c.Int("redials", 2, 0, 100),
		Pause:   c.Ms("pause", 900, 0, msPerDay),
		Grows:   c.Flag("grows", true),
		Honour:  c.Num("honour", 0.6, 0, 1),
		MaxWait: c.Ms("max_wait", 2000, 0, msPerDay),
		Silence: c.Ms("silence", 1000, 0, msPerDay),
	}
}

// readList reads the delays of the endpoint list.
func (s *Script) readList(b *hclconfig.Block) {
	d := b.SingleBlock("list")
	s.List = List{
		NoticeLo: d.Ms("notice_least", 700, 0, msPerDay),
		NoticeHi: d.Ms("notice_most", 5000, 0, msPerDay),
		SilentLo: d.Ms("silent_least", 5200, 0, msPerDay),
		SilentHi: d.Ms("silent_most", 13000, 0, msPerDay),
		AddLo:    d.Ms("add_least", 900, 0, msPerDay),
		AddHi:    d.Ms("add_most", 2400, 0, msPerDay),
		Spread:   d.Ms("spread", 300, 0, msPerDay),
	}
}

// readNumbers reads the settings of number analysis.
func (s *Script) readNumbers(b *hclconfig.Block) {
	for _, n := range b.Blocks("numbers", 0) {
		s.Numbers = Numbers{
			On:      true,
			Change:  n.Ms("change", 0, 0, msPerDay),
			Ported:  n.Num("ported", 0.3, 0, 1),
			None:    n.Num("none", 0.05, 0, 1),
			Leads:   n.Num("leads", 0.1, 0, 1),
			TTL:     n.Ms("ttl", 60000, 0, msPerDay),
			Delay:   n.Ms("delay", 3, 0, msPerDay),
			Jitter:  n.Ms("jitter", 4, 0, msPerDay),
			Servers: n.Int("servers", 2, 1, 50),
			Within:  n.Ms("within", 400, 1, 60000),
			Share:   n.Num("lookup_share", 0.3, 0, 1),
			Cache:   n.Flag("cache", true),
			Alone:   n.Flag("alone", false),
			Stale:   n.Ms("stale", 600e3, 0, msPerDay),
			Fail:    n.Ms("fail", 1000, 0, msPerDay),
			Popular: n.Num("popular", 1, 1, 100),
			Refuse:  n.Text("silent", "route", "route", "refuse") == "refuse",
		}
	}
}

// readENUMClients reads the settings of the ENUM clients.
func (s *Script) readENUMClients(b *hclconfig.Block) {
	for _, n := range b.Blocks("kiosks", 0) {
		s.ENUMClients = ENUMClients{
			Rate:    n.Num("rate", 100, 0, 1e6),
			Hold:    n.Ms("hold", 5000, 1, msPerDay),
			Loss:    n.Num("loss", 0, 0, 1),
			Wait:    n.Ms("wait", 1000, 1, msPerDay),
			Repeats: n.Int("repeats", 1, 0, 10),
			Asks:    n.Int("asks", 2, 0, 10),
		}
	}
}

// readFaults reads the faults.
func (s *Script) readFaults(b *hclconfig.Block) {
	for _, t := range b.Blocks("trouble", 1) {
		fault := Fault{
			Kind:   t.Labels[0],
			At:     t.Ms("at", hclconfig.Required, 0, msPerDay),
			For:    t.Ms("for", 10000, 0, msPerDay),
			Part:   t.Num("part", 0.25, 0, 1),
			Size:   t.Num("size", 2, 0, 1000),
			Region: t.Text("region", ""),
		}
		if FaultKinds[fault.Kind] == "" {
			t.AddError("", "trouble %q is not known", fault.Kind)
		}
		s.Faults = append(s.Faults, fault)
	}
}

// FaultKindNames returns the names of the kinds of fault, sorted.
func FaultKindNames() []string { return slices.Sorted(maps.Keys(FaultKinds)) }
