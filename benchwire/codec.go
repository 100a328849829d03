// Package benchwire speaks the bench's wire on one side and the words of package contact on the other. It
// hosts the instances of the decision module and decides nothing itself.
package benchwire

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"

	"cobaltpier/contact"
)

// line is one line of the wire, read part by part. The first fault sticks.
type line struct {
	n     int
	kind  string
	parts []string
	at    int
	err   error
}

func (l *line) fault(name, want, got string) {
	if l.err == nil {
		l.err = fmt.Errorf("line %d: %s: %s: want %s, got %q", l.n, l.kind, name, want, got)
	}
}

// text gives the next part; "-" is the absent one and comes back as "".
func (l *line) text(name string) string {
	if l.at >= len(l.parts) {
		l.fault(name, "a value", "end of line")
		return ""
	}
	s := l.parts[l.at]
	l.at++
	if s == "-" {
		return ""
	}
	return s
}

// num gives a number, or absent where there is none.
func (l *line) num(name string, absent float64) float64 {
	s := l.text(name)
	if s == "" {
		return absent
	}
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		l.fault(name, "a number", s)
	}
	return f
}

// whole gives a whole number from lo to hi.
func (l *line) whole(name string, lo, hi int64) int64 {
	s := l.text(name)
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil || v < lo || v > hi {
		l.fault(name, fmt.Sprintf("a whole number from %d to %d", lo, hi), s)
		return lo
	}
	return v
}

func (l *line) flag(name string) bool {
	s := l.text(name)
	if s != "" && s != "0" && s != "1" {
		l.fault(name, "1 or 0", s)
	}
	return s == "1"
}

func (l *line) bytes(name string) []byte {
	s := l.text(name)
	b, err := hex.DecodeString(s)
	if err != nil {
		l.fault(name, "hex digits", s)
	}
	return b
}

func (l *line) choice(name string, of map[string]contact.End) contact.End {
	s := l.text(name)
	e, ok := of[s]
	if !ok {
		l.fault(name, "an outcome code", s)
	}
	return e
}

func (l *line) done() error {
	if l.err == nil && l.at < len(l.parts) {
		l.fault("end of line", fmt.Sprintf("%d values", l.at), strings.Join(l.parts[l.at:], " "))
	}
	return l.err
}

var ends = map[string]contact.End{
	"done": contact.Done, "err": contact.Failed, "busy": contact.Full, "etimedout": contact.TimedOut,
	"econnrefused": contact.Refused, "econnreset": contact.Reset, "ecanceled": contact.Cancelled,
	"skipped": contact.Unsent,
}

// setters put a value of a load report in its place.
var setters = map[string]func(*contact.Report, float64){
	"free":      func(r *contact.Report, v float64) { r.Free = v },
	"size":      func(r *contact.Report, v float64) { r.Agents = v },
	"q":         func(r *contact.Report, v float64) { r.Queue = v },
	"busy":      func(r *contact.Report, v float64) { r.Util = v },
	"lat_ms":    func(r *contact.Report, v float64) { r.Wait = v },
	"can_take":  func(r *contact.Report, v float64) { r.Rate = v },
	"hold_back": func(r *contact.Report, v float64) { r.Holdback = v },
}

// report reads a load report over an older one; it tells whether a processor's figures came. Values that
// are absent or -1 leave the older figure.
func (l *line) report(fields []string, into *contact.Report) bool {
	s := l.text("telemetry")
	if s == "" {
		return false
	}
	row := strings.Split(s, ",")
	if len(row) < len(fields) {
		l.fault("telemetry", fmt.Sprintf("%d values", len(fields)), s)
		return false
	}
	full := false
	for i, f := range fields {
		if row[i] == "" || row[i] == "-" {
			continue
		}
		v, err := strconv.ParseFloat(row[i], 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			l.fault("telemetry", "numbers", s)
			return false
		}
		if set := setters[f]; set != nil && v >= 0 {
			set(into, v)
			full = full || (f != "free" && f != "size")
		}
	}
	return full
}

// wireSettings are the keys of the settings that anybody reads; all others are passed over.
type wireSettings struct {
	Allowed struct {
		Cancel, Peers, Probes, RetryAfter, MayDuplicate bool
		MaxAttempts                                     int
		MaxRetryAfter                                   float64
	}
	Balancers, Me int
	Tick          float64
	FamilyInfo    struct {
		CallLength            []float64
		ClearWait, Retransmit float64
		SkilledPools          [][]int
	}
	Lanes []struct {
		Name, Semantics                   string
		Aim, HardLimit, LateWorth, Window float64
		Worth                             *float64
	}
	Realms []struct{ Name string }
	Rules  struct {
		AnswerSlack, ColdShare, Fall, TipMultiple, WarmWithin float64
	}
	Stats struct {
		Fields []string
		How    string
	}
}

// settings turns the wire's settings into the module's; the second result is the report's fields.
func settings(text string, seed uint64) (*contact.Settings, []string, error) {
	var w wireSettings
	if err := json.Unmarshal([]byte(text), &w); err != nil {
		return nil, nil, fmt.Errorf("params: %w", err)
	}
	s := &contact.Settings{
		Gateways: w.Balancers, Me: w.Me, Seed: seed, Tick: w.Tick,
		MaxRings: w.Allowed.MaxAttempts, MayProbe: w.Allowed.Probes, MayTell: w.Allowed.Peers,
		MayCancel: w.Allowed.Cancel, MayWait: w.Allowed.RetryAfter, MaxWait: w.Allowed.MaxRetryAfter,
		ByProbe: w.Stats.How == "on_probe", Retransmit: w.FamilyInfo.Retransmit,
		Slack: w.Rules.AnswerSlack, ColdShare: w.Rules.ColdShare,
		WarmWithin: w.Rules.WarmWithin, TipMultiple: w.Rules.TipMultiple, TipTime: w.Rules.Fall,
		ClearWait: w.FamilyInfo.ClearWait,
	}
	for i, c := range w.Lanes {
		k := &contact.Skill{Name: c.Name, Target: c.Aim, Patience: c.HardLimit, LateValue: c.LateWorth, Value: 1,
			Repeat: c.Semantics == "pure" || c.Semantics == ""}
		if c.Worth != nil {
			k.Value = *c.Worth
		}
		if i < len(w.FamilyInfo.CallLength) {
			k.Hold = w.FamilyInfo.CallLength[i]
		}
		if i < len(w.FamilyInfo.SkilledPools) {
			k.Pools = map[int]bool{}
			for _, n := range w.FamilyInfo.SkilledPools[i] {
				k.Pools[n] = true
			}
		}
		s.Skills = append(s.Skills, k)
	}
	for _, c := range w.Realms {
		s.Customers = append(s.Customers, &contact.Customer{Name: c.Name})
	}
	return s, w.Stats.Fields, nil
}
