package scenariofile

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"cobaltpier/internal/emulator/coreswitch"
	"cobaltpier/internal/protocol/siptransaction"
)

// simulatorScenario is the part of a scenario of the external simulator that is read. Times are in µs; sizes are in
// the simulator's units. Other keys are ignored.
type simulatorScenario struct {
	V       int
	Site    string
	Noise   uint64
	Length  float64
	Tick    float64
	Zones   []string
	Net     struct{ Same, Cross, Client, Jitter float64 }
	Traffic struct{ Load float64 }
	Clients struct {
		Retries    int
		TryShare   float64 `json:"try_share"`
		Backoff    string
		BackoffUs  float64 `json:"backoff_us"`
		Honour     float64
		MaxRetryUs float64 `json:"max_retry_after"`
	}
	Discovery struct {
		Notice       float64
		SilentNotice float64 `json:"silent_notice"`
		Add, Spread  float64
	}
	Allow struct {
		Probes, Peers, Cancel bool
		RetryAfter            bool    `json:"retry_after"`
		MaxAttempts           int     `json:"max_attempts"`
		MaxOpen               int     `json:"max_open"`
		PeerDelay             float64 `json:"peer_delay"`
	}
	DrainGrace   float64 `json:"drain_grace"`
	FallMultiple float64 `json:"fall_multiple"`
	FallFor      float64 `json:"fall_for"`
	Classes      []struct {
		Name                 string
		Share, Work          float64
		Aim, Deadline, Worth float64
		LateWorth            float64 `json:"late_worth"`
	}
	Tenants []struct {
		Name  string
		Share float64
	}
	Tiers   []simulatorTier
	Servers []struct {
		Zone  int
		Speed float64
	}
	Balancers []struct{ Zone int }
	Troubles  []simulatorFault
	Fam       struct {
		Capacity, Drift, Queue, Reject, Release, Repeat, Resend float64
		DriftCv                                                 float64 `json:"drift_cv"`
		CancelDrops                                             bool    `json:"cancel_drops"`
		TellsWait                                               bool    `json:"tells_wait"`
		Hold                                                    []float64
		Size                                                    []int
	}
}

// simulatorTier is a group of servers.
type simulatorTier struct {
	Kinds []struct {
		ColdFrom  float64 `json:"cold_from"`
		Cold      float64
		ErrorRate float64 `json:"error_rate"`
	}
	ReportFields []string `json:"report_fields"`
	ReportPeriod float64  `json:"report_period"`
	ReportDelay  float64  `json:"report_delay"`
	ReportNoise  float64  `json:"report_noise"`
	ProbeWork    float64  `json:"probe_work"`
	StatedFrom   float64  `json:"stated_cold_from"`
	StatedCold   float64  `json:"stated_cold"`
}

// simulatorFault is a fault; times are in µs.
type simulatorFault struct {
	Kind        string
	At, Len     float64
	Size, Extra float64
	On          []int
}

// faultKinds maps the simulator's kinds of fault to those of a Script.
var faultKinds = map[string]string{
	"burst":          "burst",
	"hot_caller":     "uneven",
	"slow":           "slow",
	"shared_slow":    "slow_all",
	"neighbour":      "other",
	"origin_slow":    "lines",
	"vanish":         "silent",
	"hang":           "silent",
	"crash":          "silent",
	"ageing":         "ageing",
	"deploy":         "deploy",
	"mass_restart":   "region",
	"balancer_stall": "stall",
	"balancer_roll":  "restart",
	"peer_down":      "mute",
}

// FromSimulator reads a scenario file written by the external simulator. Its model differs from the emulator's, so
// their results can't be compared directly; the second result lists what was not converted.
func FromSimulator(src []byte) (*Script, []string, error) {
	d := &simulatorScenario{}
	if err := json.Unmarshal(src, d); err != nil {
		return nil, nil, fmt.Errorf("simulator scenario: %w", err)
	}
	if err := d.validate(); err != nil {
		return nil, nil, err
	}
	c := &simulatorConverter{source: d, tier: &d.Tiers[0]}
	s := &Script{
		Name:     d.Site,
		Seed:     d.Noise % (1 << 31),
		Length:   ms(d.Length),
		Regions:  d.Zones,
		Gateways: c.gateways(),
		Rules:    c.rules(),
		Net:      c.net(),
		Load:     c.load(),
		Callers:  c.callers(),
		List:     c.list(),
		Pools:    c.pools(),
		Classes:  c.classes(),
		Tenants:  c.tenants(),
		Faults:   c.faults(),
	}
	return s, c.notes, nil
}

func (d *simulatorScenario) validate() error {
	switch {
	case d.V != 1:
		return fmt.Errorf("simulator scenario: want \"v\": 1, got %d", d.V)
	case len(d.Servers) == 0 || len(d.Balancers) == 0 || len(d.Classes) == 0 || len(d.Tiers) == 0 ||
		len(d.Tiers[0].Kinds) == 0 || len(d.Zones) == 0:
		return errors.New("simulator scenario: want servers, balancers, classes, zones and a tier with a kind")
	case !(d.Fam.Capacity > 0) || !(d.Length > 0):
		return errors.New("simulator scenario: want a capacity and a length above 0")
	}
	return nil
}

// ms converts the simulator's µs.
func ms(us float64) float64 { return us / 1000 }

// simulatorConverter converts a scenario of the simulator into a Script.
type simulatorConverter struct {
	source *simulatorScenario
	tier   *simulatorTier
	notes  []string // what was not converted
}

func (c *simulatorConverter) note(format string, args ...any) {
	c.notes = append(c.notes, fmt.Sprintf(format, args...))
}

func (c *simulatorConverter) gateways() Gateways {
	d := c.source
	return Gateways{
		Count:    len(d.Balancers),
		Held:     max(1, d.Allow.MaxOpen),
		MaxRings: d.Allow.MaxAttempts,
		MaxWait:  int(ms(d.Clients.MaxRetryUs)),
		Tick:     math.Max(0.1, ms(d.Tick)),
		Margin:   30,
		Cancel:   d.Allow.Cancel,
		Tell:     d.Allow.Peers,
		Probe:    d.Allow.Probes,
		NameWait: d.Allow.RetryAfter,
	}
}

func (c *simulatorConverter) rules() Rules {
	d := c.source
	return Rules{
		Slack:      20,
		Grace:      ms(d.DrainGrace),
		Clear:      ms(d.Fam.Release),
		ColdShare:  c.tier.StatedFrom,
		WarmWithin: ms(c.tier.StatedCold),
		TipTimes:   d.FallMultiple,
		TipWindow:  ms(d.FallFor),
	}
}

func (c *simulatorConverter) net() Net {
	d := c.source
	return Net{
		Same:     ms(d.Net.Same),
		Cross:    ms(d.Net.Cross),
		Caller:   math.Max(0.05, ms(d.Net.Client)),
		Peer:     ms(d.Allow.PeerDelay),
		Jitter:   d.Net.Jitter,
		PeerLoss: 0.01,
	}
}

func (c *simulatorConverter) load() Load {
	d := c.source
	return Load{
		Rate:    d.Traffic.Load * d.Fam.Capacity,
		Drift:   math.Max(100, ms(d.Fam.Drift)),
		Skew:    math.Min(1, d.Fam.DriftCv),
		Numbers: 20000,
	}
}

func (c *simulatorConverter) callers() Callers {
	d := c.source
	return Callers{
		Redials: d.Clients.Retries,
		Pause:   ms(d.Clients.BackoffUs),
		Grows:   d.Clients.Backoff == "exp",
		Honour:  d.Clients.Honour,
		MaxWait: ms(d.Clients.MaxRetryUs),
		Silence: 1000,
	}
}

func (c *simulatorConverter) list() List {
	d := c.source
	return List{
		NoticeLo: ms(d.Discovery.Notice) / 2,
		NoticeHi: ms(d.Discovery.Notice),
		SilentLo: ms(d.Discovery.SilentNotice),
		SilentHi: ms(d.Discovery.SilentNotice),
		AddLo:    ms(d.Discovery.Add),
		AddHi:    ms(d.Discovery.Add),
		Spread:   ms(d.Discovery.Spread),
	}
}

func (c *simulatorConverter) pools() Pools {
	d := c.source
	total := 0.0
	for _, server := range d.Servers {
		total += server.Speed
	}
	mean := total / float64(len(d.Servers))
	p := Pools{Count: len(d.Servers), Model: c.model()}
	for _, server := range d.Servers {
		p.Sizes = append(p.Sizes, server.Speed/mean)
		p.Regions = append(p.Regions, server.Zone)
	}
	return p
}

// reportNames maps the simulator's load report fields to those of coreswitch.Model.Reports.
var reportNames = map[string]string{
	"util":       "util",
	"queue":      "queue",
	"latency_ms": "wait",
	"qps":        "rate",
	"eps":        "loss",
}

// model returns the model of a switch of mean speed.
func (c *simulatorConverter) model() coreswitch.Model {
	d, tier, kind := c.source, c.tier, c.tier.Kinds[0]
	// processor time of a call in ms at which switches of mean speed are fully busy when the load equals the capacity
	work := float64(len(d.Servers)) * 1000 / d.Fam.Capacity
	lines := 2000
	if len(d.Fam.Size) > 0 {
		lines = d.Fam.Size[0]
		c.note("all switches have the %d lines of the first one", lines)
	}
	retry := math.Max(10, ms(d.Fam.Resend))
	if d.Fam.Resend <= 0 {
		retry = 500
	}
	var reports []string
	for _, field := range tier.ReportFields {
		if name := reportNames[field]; name != "" {
			reports = append(reports, name)
		}
	}
	return coreswitch.Model{
		Setup:          0.6 * work,
		Answer:         0.22 * work,
		Release:        0.18 * work,
		Repeat:         d.Fam.Repeat * 0.6 * work,
		Reject:         d.Fam.Reject * 0.6 * work,
		Probe:          ms(tier.ProbeWork),
		Lines:          lines,
		WaitLimit:      ms(d.Fam.Queue),
		NamesWait:      d.Fam.TellsWait,
		WorksOn:        !d.Fam.CancelDrops,
		ErrorRate:      kind.ErrorRate,
		ColdShare:      kind.ColdFrom,
		Warm:           ms(kind.Cold),
		OverloadFactor: d.FallMultiple,
		OverloadWindow: ms(d.FallFor),
		ReportInterval: math.Max(1, ms(tier.ReportPeriod)),
		ReportDelay:    ms(tier.ReportDelay),
		ReportNoise:    tier.ReportNoise,
		Times:          siptransaction.TimerValues{T1: retry, T2: 8 * retry, T4: 5000},
		Reports:        reports,
	}
}

func (c *simulatorConverter) classes() []Class {
	d := c.source
	var classes []Class
	for i, class := range d.Classes {
		hold := 9000.0
		if i < len(d.Fam.Hold) {
			hold = ms(d.Fam.Hold[i])
		}
		classes = append(classes, Class{
			Name:     class.Name,
			Share:    class.Share,
			Target:   ms(class.Aim),
			Patience: ms(class.Deadline),
			Try:      math.Max(1000, math.Round(d.Clients.TryShare*ms(class.Deadline)/1000)*1000),
			Value:    class.Worth,
			Late:     class.LateWorth,
			Hold:     hold,
		})
	}
	c.note("a set-up, its answer and its release are 60, 22 and 18 %% of a call's work, and the timeout of an attempt " +
		"is in whole seconds")
	return classes
}

func (c *simulatorConverter) tenants() []Tenant {
	var tenants []Tenant
	for _, tenant := range c.source.Tenants {
		tenants = append(tenants, Tenant{tenant.Name, tenant.Share})
	}
	if len(tenants) == 0 {
		return []Tenant{{"laurentide.example", 1}}
	}
	return tenants
}

func (c *simulatorConverter) faults() []Fault {
	var faults []Fault
	for _, t := range c.source.Troubles {
		kind := faultKinds[t.Kind]
		if kind == "" {
			c.note("fault %q is unknown here and was left out", t.Kind)
			continue
		}
		faults = append(faults, c.fault(kind, &t))
	}
	c.note("the switches and gateways affected by a fault are drawn again")
	return faults
}

func (c *simulatorConverter) fault(kind string, t *simulatorFault) Fault {
	d := c.source
	fault := Fault{Kind: kind, At: ms(t.At), For: ms(t.Len), Size: t.Size}
	count := len(d.Servers)
	switch kind {
	case "uneven", "stall", "restart":
		count = len(d.Balancers)
	}
	fault.Part = math.Min(1, float64(len(t.On))/float64(count))
	if fault.Part == 0 {
		fault.Part = 0.25
	}
	switch kind {
	case "stall":
		fault.Size = t.Size / 1000
	case "lines":
		fault.Size = 1 / math.Sqrt(math.Max(1, t.Size))
	}
	if (kind == "region" || kind == "lines") && len(t.On) > 0 && t.On[0] < len(d.Servers) {
		fault.Region = d.Zones[d.Servers[t.On[0]].Zone%len(d.Zones)]
	}
	return fault
}
