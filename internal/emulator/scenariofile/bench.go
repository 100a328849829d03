package scenariofile

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"cobaltpier/internal/emulator/coreswitch"
	"cobaltpier/internal/protocol/siptransaction"
)

// benchDay is what is read of a day as the bench draws it; times are µs, sizes its own. All other keys are passed over.
type benchDay struct {
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
	Tiers   []benchTier
	Servers []struct {
		Zone  int
		Speed float64
	}
	Balancers []struct{ Zone int }
	Troubles  []benchTrouble
	Fam       struct {
		Capacity, Drift, Queue, Reject, Release, Repeat, Resend float64
		DriftCv                                                 float64 `json:"drift_cv"`
		CancelDrops                                             bool    `json:"cancel_drops"`
		TellsWait                                               bool    `json:"tells_wait"`
		Hold                                                    []float64
		Size                                                    []int
	}
}

// benchTier is a group of servers.
type benchTier struct {
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

// benchTrouble is one thing that goes wrong.
type benchTrouble struct {
	Kind        string
	At, Len     float64
	Size, Extra float64
	On          []int
}

// benchKinds are the bench's troubles in our words.
var benchKinds = map[string]string{
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

// FromBench reads a day file that the bench prints. The bench's world and ours are two models: the second result says
// what was not taken over, so that nobody takes one's figures for the other's.
func FromBench(src []byte) (*Script, []string, error) {
	d := &benchDay{}
	if err := json.Unmarshal(src, d); err != nil {
		return nil, nil, fmt.Errorf("bench day: %w", err)
	}
	if err := d.validate(); err != nil {
		return nil, nil, err
	}
	c := &benchConverter{day: d, tier: &d.Tiers[0]}
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
		Skills:   c.skills(),
		Payers:   c.payers(),
		Troubles: c.troubles(),
	}
	return s, c.notes, nil
}

func (d *benchDay) validate() error {
	switch {
	case d.V != 1:
		return fmt.Errorf("bench day: want \"v\": 1, got %d", d.V)
	case len(d.Servers) == 0 || len(d.Balancers) == 0 || len(d.Classes) == 0 || len(d.Tiers) == 0 ||
		len(d.Tiers[0].Kinds) == 0 || len(d.Zones) == 0:
		return errors.New("bench day: want servers, balancers, classes, zones and a tier with a kind")
	case !(d.Fam.Capacity > 0) || !(d.Length > 0):
		return errors.New("bench day: want a capacity and a length above 0")
	}
	return nil
}

// ms converts from the bench's µs.
func ms(us float64) float64 { return us / 1000 }

// benchConverter turns a day of the bench into a script.
type benchConverter struct {
	day   *benchDay
	tier  *benchTier
	notes []string // what was not taken over
}

func (c *benchConverter) note(format string, args ...any) {
	c.notes = append(c.notes, fmt.Sprintf(format, args...))
}

func (c *benchConverter) gateways() Gateways {
	d := c.day
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

func (c *benchConverter) rules() Rules {
	d := c.day
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

func (c *benchConverter) net() Net {
	d := c.day
	return Net{
		Same:     ms(d.Net.Same),
		Cross:    ms(d.Net.Cross),
		Caller:   math.Max(0.05, ms(d.Net.Client)),
		Peer:     ms(d.Allow.PeerDelay),
		Jitter:   d.Net.Jitter,
		PeerLoss: 0.01,
	}
}

func (c *benchConverter) load() Load {
	d := c.day
	return Load{
		Rate:    d.Traffic.Load * d.Fam.Capacity,
		Drift:   math.Max(100, ms(d.Fam.Drift)),
		Skew:    math.Min(1, d.Fam.DriftCv),
		Numbers: 20000,
	}
}

func (c *benchConverter) callers() Callers {
	d := c.day
	return Callers{
		Redials: d.Clients.Retries,
		Pause:   ms(d.Clients.BackoffUs),
		Grows:   d.Clients.Backoff == "exp",
		Honour:  d.Clients.Honour,
		MaxWait: ms(d.Clients.MaxRetryUs),
		Silence: 1000,
	}
}

func (c *benchConverter) list() List {
	d := c.day
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

func (c *benchConverter) pools() Pools {
	d := c.day
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

// benchReports are the fields of the bench's load reports in our words.
var benchReports = map[string]string{
	"util":       "util",
	"queue":      "queue",
	"latency_ms": "wait",
	"qps":        "rate",
	"eps":        "loss",
}

// model is that of the mean switch.
func (c *benchConverter) model() coreswitch.Model {
	d, tier, kind := c.day, c.tier, c.tier.Kinds[0]
	// ms of a call at a mean switch that is wholly busy at the capacity
	work := float64(len(d.Servers)) * 1000 / d.Fam.Capacity
	lines := 2000
	if len(d.Fam.Size) > 0 {
		lines = d.Fam.Size[0]
		c.note("all switches have the first one's %d lines", lines)
	}
	retry := math.Max(10, ms(d.Fam.Resend))
	if d.Fam.Resend <= 0 {
		retry = 500
	}
	var reports []string
	for _, field := range tier.ReportFields {
		if name := benchReports[field]; name != "" {
			reports = append(reports, name)
		}
	}
	return coreswitch.Model{
		Setup:     0.6 * work,
		Answer:    0.22 * work,
		Release:   0.18 * work,
		Repeat:    d.Fam.Repeat * 0.6 * work,
		Reject:    d.Fam.Reject * 0.6 * work,
		Probe:     ms(tier.ProbeWork),
		Lines:     lines,
		WaitLimit: ms(d.Fam.Queue),
		NamesWait: d.Fam.TellsWait,
		WorksOn:   !d.Fam.CancelDrops,
		ErrorRate: kind.ErrorRate,
		ColdShare: kind.ColdFrom,
		Warm:      ms(kind.Cold),
		TipTimes:  d.FallMultiple,
		TipWindow: ms(d.FallFor),
		Refresh:   math.Max(1, ms(tier.ReportPeriod)),
		Delay:     ms(tier.ReportDelay),
		Noise:     tier.ReportNoise,
		Times:     siptransaction.Timers{T1: retry, T2: 8 * retry, T4: 5000},
		Reports:   reports,
	}
}

func (c *benchConverter) skills() []Skill {
	d := c.day
	var skills []Skill
	for i, class := range d.Classes {
		hold := 9000.0
		if i < len(d.Fam.Hold) {
			hold = ms(d.Fam.Hold[i])
		}
		skills = append(skills, Skill{
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
	c.note("a set-up, its answer and its release are 60, 22 and 18 %% of a call's work, and patience of a try is in " +
		"whole seconds")
	return skills
}

func (c *benchConverter) payers() []Payer {
	var payers []Payer
	for _, tenant := range c.day.Tenants {
		payers = append(payers, Payer{tenant.Name, tenant.Share})
	}
	if len(payers) == 0 {
		return []Payer{{"laurentide.example", 1}}
	}
	return payers
}

func (c *benchConverter) troubles() []Trouble {
	var troubles []Trouble
	for _, t := range c.day.Troubles {
		kind := benchKinds[t.Kind]
		if kind == "" {
			c.note("trouble %q is not known here and was left out", t.Kind)
			continue
		}
		troubles = append(troubles, c.trouble(kind, &t))
	}
	c.note("which switches and gateways a trouble meets is drawn anew")
	return troubles
}

func (c *benchConverter) trouble(kind string, t *benchTrouble) Trouble {
	d := c.day
	x := Trouble{Kind: kind, At: ms(t.At), For: ms(t.Len), Size: t.Size}
	concerned := len(d.Servers)
	switch kind {
	case "uneven", "stall", "restart":
		concerned = len(d.Balancers)
	}
	x.Part = math.Min(1, float64(len(t.On))/float64(concerned))
	if x.Part == 0 {
		x.Part = 0.25
	}
	switch kind {
	case "stall":
		x.Size = t.Size / 1000
	case "lines":
		x.Size = 1 / math.Sqrt(math.Max(1, t.Size))
	}
	if (kind == "region" || kind == "lines") && len(t.On) > 0 && t.On[0] < len(d.Servers) {
		x.Region = d.Zones[d.Servers[t.On[0]].Zone%len(d.Zones)]
	}
	return x
}
