package scenariofile

import (
	"encoding/json"
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
	Tiers []struct {
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
	Servers []struct {
		Zone  int
		Speed float64
	}
	Balancers []struct{ Zone int }
	Troubles  []struct {
		Kind        string
		At, Len     float64
		Size, Extra float64
		On          []int
	}
	Fam struct {
		Capacity, Drift, Queue, Reject, Release, Repeat, Resend float64
		DriftCv                                                 float64 `json:"drift_cv"`
		CancelDrops                                             bool    `json:"cancel_drops"`
		TellsWait                                               bool    `json:"tells_wait"`
		Hold                                                    []float64
		Size                                                    []int
	}
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
	var d benchDay
	if err := json.Unmarshal(src, &d); err != nil {
		return nil, nil, fmt.Errorf("bench day: %w", err)
	}
	switch {
	case d.V != 1:
		return nil, nil, fmt.Errorf("bench day: want \"v\": 1, got %d", d.V)
	case len(d.Servers) == 0 || len(d.Balancers) == 0 || len(d.Classes) == 0 || len(d.Tiers) == 0 ||
		len(d.Tiers[0].Kinds) == 0 || len(d.Zones) == 0:
		return nil, nil, fmt.Errorf("bench day: want servers, balancers, classes, zones and a tier with a kind")
	case !(d.Fam.Capacity > 0) || !(d.Length > 0):
		return nil, nil, fmt.Errorf("bench day: want a capacity and a length above 0")
	}
	ms := func(us float64) float64 { return us / 1000 }
	tier, kind := d.Tiers[0], d.Tiers[0].Kinds[0]
	var notes []string
	note := func(format string, args ...any) { notes = append(notes, fmt.Sprintf(format, args...)) }
	s := &Script{
		Name:    d.Site,
		Seed:    d.Noise % (1 << 31),
		Length:  ms(d.Length),
		Regions: d.Zones,
		Gateways: Gateways{
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
		},
		Rules: Rules{
			Slack:      20,
			Grace:      ms(d.DrainGrace),
			Clear:      ms(d.Fam.Release),
			ColdShare:  tier.StatedFrom,
			WarmWithin: ms(tier.StatedCold),
			TipTimes:   d.FallMultiple,
			TipWindow:  ms(d.FallFor),
		},
		Net: Net{
			Same:     ms(d.Net.Same),
			Cross:    ms(d.Net.Cross),
			Caller:   math.Max(0.05, ms(d.Net.Client)),
			Peer:     ms(d.Allow.PeerDelay),
			Jitter:   d.Net.Jitter,
			PeerLoss: 0.01,
		},
		Load: Load{
			Rate:    d.Traffic.Load * d.Fam.Capacity,
			Drift:   math.Max(100, ms(d.Fam.Drift)),
			Skew:    math.Min(1, d.Fam.DriftCv),
			Numbers: 20000,
		},
		Callers: Callers{
			Redials: d.Clients.Retries,
			Pause:   ms(d.Clients.BackoffUs),
			Grows:   d.Clients.Backoff == "exp",
			Honour:  d.Clients.Honour,
			MaxWait: ms(d.Clients.MaxRetryUs),
			Silence: 1000,
		},
		List: List{
			NoticeLo: ms(d.Discovery.Notice) / 2,
			NoticeHi: ms(d.Discovery.Notice),
			SilentLo: ms(d.Discovery.SilentNotice),
			SilentHi: ms(d.Discovery.SilentNotice),
			AddLo:    ms(d.Discovery.Add),
			AddHi:    ms(d.Discovery.Add),
			Spread:   ms(d.Discovery.Spread),
		},
	}
	total := 0.0
	for _, v := range d.Servers {
		total += v.Speed
	}
	mean := total / float64(len(d.Servers))
	for _, v := range d.Servers {
		s.Pools.Sizes = append(s.Pools.Sizes, v.Speed/mean)
		s.Pools.Regions = append(s.Pools.Regions, v.Zone)
	}
	// ms of a call at a mean switch that is wholly busy at the capacity
	work := float64(len(d.Servers)) * 1000 / d.Fam.Capacity
	lines := 2000
	if len(d.Fam.Size) > 0 {
		lines = d.Fam.Size[0]
		note("all switches have the first one's %d lines", lines)
	}
	retry := math.Max(10, ms(d.Fam.Resend))
	if d.Fam.Resend <= 0 {
		retry = 500
	}
	s.Pools.Count = len(d.Servers)
	s.Pools.Model = coreswitch.Model{
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
	}
	names := map[string]string{"util": "util", "queue": "queue", "latency_ms": "wait", "qps": "rate", "eps": "loss"}
	for _, f := range tier.ReportFields {
		if n := names[f]; n != "" {
			s.Pools.Model.Reports = append(s.Pools.Model.Reports, n)
		}
	}
	for i, c := range d.Classes {
		hold := 9000.0
		if i < len(d.Fam.Hold) {
			hold = ms(d.Fam.Hold[i])
		}
		try := math.Max(1000, math.Round(d.Clients.TryShare*ms(c.Deadline)/1000)*1000)
		s.Skills = append(
			s.Skills,
			Skill{
				Name:     c.Name,
				Share:    c.Share,
				Target:   ms(c.Aim),
				Patience: ms(c.Deadline),
				Try:      try,
				Value:    c.Worth,
				Late:     c.LateWorth,
				Hold:     hold,
			},
		)
	}
	note(
		"a set-up, its answer and its release are 60, 22 and 18 %% of a call's work, and patience of a try is in whole " +
			"seconds",
	)
	for _, t := range d.Tenants {
		s.Payers = append(s.Payers, Payer{t.Name, t.Share})
	}
	if len(s.Payers) == 0 {
		s.Payers = []Payer{{"laurentide.example", 1}}
	}
	for _, t := range d.Troubles {
		k := benchKinds[t.Kind]
		if k == "" {
			note("trouble %q is not known here and was left out", t.Kind)
			continue
		}
		x := Trouble{Kind: k, At: ms(t.At), For: ms(t.Len), Size: t.Size}
		switch k {
		case "uneven", "stall", "restart":
			x.Part = float64(len(t.On)) / float64(len(d.Balancers))
		default:
			x.Part = float64(len(t.On)) / float64(len(d.Servers))
		}
		if x.Part = math.Min(1, x.Part); x.Part == 0 {
			x.Part = 0.25
		}
		switch k {
		case "stall":
			x.Size = t.Size / 1000
		case "lines":
			x.Size = 1 / math.Sqrt(math.Max(1, t.Size))
		}
		if (k == "region" || k == "lines") && len(t.On) > 0 && t.On[0] < len(d.Servers) {
			x.Region = d.Zones[d.Servers[t.On[0]].Zone%len(d.Zones)]
		}
		s.Troubles = append(s.Troubles, x)
	}
	note("which switches and gateways a trouble meets is drawn anew")
	return s, notes, nil
}
