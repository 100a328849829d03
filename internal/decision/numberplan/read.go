package numberplan

import (
	"regexp"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"cobaltpier/api"
	"cobaltpier/internal/hclconfig"
)

// reader makes the compact form of HCL.
type reader struct {
	at map[proto.Message]*hclconfig.Block // where each part of it was written
}

// Parse reads and compiles a table of HCL that is at hand; name stands in the errors.
func Parse(name string, src []byte) (*Table, *api.NumberTable, error) {
	b, err := hclconfig.Parse(name, src)
	if err != nil {
		return nil, nil, err
	}
	r := &reader{at: map[proto.Message]*hclconfig.Block{}}
	form := &api.NumberTable{
		Name:    b.Text("name", name),
		Version: uint64(b.Int("version", 0, 0, 1<<40)),
		Country: b.Text("country", ""),
		Entry:   b.Text("entry", "start"),
	}
	r.at[form] = b
	zone := b.Text("zone", "")
	for _, c := range b.Blocks("days", 1) {
		x := &api.NumberDays{Name: c.Labels[0], Dates: c.Texts("dates")}
		r.at[x] = c
		form.Days = append(form.Days, x)
	}
	for _, c := range b.Blocks("period", 1) {
		x := &api.NumberPeriod{Name: c.Labels[0], Zone: c.Text("zone", zone), From: minute(c, "from"), To: minute(c, "to"),
			Except: c.Texts("except"), Only: c.Texts("only")}
		for _, d := range c.Texts("days") {
			i := slices.Index(weekdays, d)
			if i < 0 {
				c.Fault("days", "days: want some of %s, got %q", strings.Join(weekdays, ", "), d)
				continue
			}
			x.Weekdays = append(x.Weekdays, int32(i))
		}
		r.at[x] = c
		form.Periods = append(form.Periods, x)
	}
	if _, err := time.LoadLocation(zone); err != nil {
		b.Fault("zone", "zone: no time zone %q", zone)
	}
	for _, c := range b.Blocks("route", 1) {
		x := &api.NumberRoute{Name: c.Labels[0], Skill: c.Text("skill", ""), Customer: c.Text("customer", "")}
		for _, g := range c.Blocks("group", 1) {
			x.Choices = append(x.Choices, &api.NumberChoice{Group: g.Labels[0], Weight: g.Num("weight", 1, 0, 1e9)})
		}
		r.at[x] = c
		form.Routes = append(form.Routes, x)
	}
	for _, c := range b.Blocks("plan", 1) {
		x := &api.NumberPlan{Name: c.Labels[0]}
		r.at[x] = c
		for _, k := range c.Blocks("rule", 1) {
			y := &api.NumberRule{
				Prefix: strings.TrimPrefix(k.Labels[0], "+"),
				When:   k.Text("when", ""),
				Strip:  int32(k.Int("strip", 0, 0, mostDigits)),
				Add:    k.Text("add", ""),
				Where:  k.Where(),
			}
			y.Then = r.action(k, true)
			r.at[y] = k
			x.Rules = append(x.Rules, y)
		}
		form.Plans = append(form.Plans, x)
	}
	t := compile(form, func(of proto.Message, key, format string, args ...any) { r.at[of].Fault(key, format, args...) })
	if err := b.Err(); err != nil {
		return nil, nil, err
	}
	return t, form, nil
}

var weekdays = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

func minute(c *hclconfig.Block, key string) int32 {
	s := c.Text(key, "00:00")
	if s == "24:00" {
		return 0
	}
	t, err := time.Parse("15:04", s)
	if err != nil {
		c.Fault(key, "%s: want a time such as \"13:30\", got %q", key, s)
	}
	return int32(t.Hour()*60 + t.Minute())
}

// action reads what a rule does, or what an end of a question leads to.
func (r *reader) action(b *hclconfig.Block, mayAsk bool) *api.NumberAction {
	a := &api.NumberAction{}
	r.at[a] = b
	n := 0
	if name := b.Text("plan", ""); name != "" {
		n++
		a.Do = &api.NumberAction_Plan{Plan: name}
	}
	if name := b.Text("route", ""); name != "" {
		n++
		a.Do = &api.NumberAction_Route{Route: name}
	}
	if why := b.Text("refuse", ""); why != "" {
		n++
		a.Do = &api.NumberAction_Refuse{Refuse: &api.NumberRefusal{Code: int32(b.Int("code", 404, 400, 699)), Why: why}}
	} else if b.Has("code") {
		b.Fault("code", "code: goes with refuse only")
	}
	if mayAsk {
		for _, q := range b.Blocks("portability", 0) {
			n++
			x := &api.NumberQuestion{WithinMs: q.Ms("within", 500, 1, 60000)}
			for _, e := range []struct {
				kind string
				to   **api.NumberAction
			}{{"ported", &x.Ported}, {"same", &x.Same}, {"silent", &x.Silent}} {
				if ends := q.Blocks(e.kind, 0); len(ends) == 1 {
					*e.to = r.action(ends[0], false)
				} else {
					q.Fault("", "portability: want one %s { ... }: what is done then", e.kind)
				}
			}
			a.Do = &api.NumberAction_Ask{Ask: x}
		}
	}
	if n != 1 {
		b.Fault(
			"",
			"want one of plan, route, refuse%s, got %d",
			map[bool]string{true: ", portability { ... }", false: ""}[mayAsk],
			n,
		)
	}
	return a
}

var rangeForm = regexp.MustCompile(`^([0-9]+)-([0-9]+)$`)
