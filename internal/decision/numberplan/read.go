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

// reader converts HCL to the compact form.
type reader struct {
	blocks map[proto.Message]*hclconfig.Block // the HCL block of each part, for error positions
}

// Parse reads and compiles a table in HCL. name is the file name in errors, and the name of a table without one.
func Parse(name string, src []byte) (*Table, *api.NumberTable, error) {
	b, err := hclconfig.Parse(name, src)
	if err != nil {
		return nil, nil, err
	}
	r := &reader{blocks: map[proto.Message]*hclconfig.Block{}}
	form := &api.NumberTable{
		Name:    b.Text("name", name),
		Version: uint64(b.Int("version", 0, 0, 1<<40)),
		Country: b.Text("country", ""),
		Entry:   b.Text("entry", "start"),
	}
	r.blocks[form] = b
	zone := b.Text("zone", "")
	for _, block := range b.Blocks("days", 1) {
		days := &api.NumberDays{Name: block.Labels[0], Dates: block.Texts("dates")}
		r.blocks[days] = block
		form.Days = append(form.Days, days)
	}
	for _, block := range b.Blocks("period", 1) {
		form.Periods = append(form.Periods, r.period(block, zone))
	}
	if _, err := time.LoadLocation(zone); err != nil {
		b.Fault("zone", "zone: no time zone %q", zone)
	}
	for _, block := range b.Blocks("route", 1) {
		form.Routes = append(form.Routes, r.route(block))
	}
	for _, block := range b.Blocks("plan", 1) {
		form.Plans = append(form.Plans, r.plan(block))
	}
	t := compile(form, func(part proto.Message, key, format string, args ...any) {
		r.blocks[part].Fault(key, format, args...)
	})
	if err := b.Err(); err != nil {
		return nil, nil, err
	}
	return t, form, nil
}

func (r *reader) period(block *hclconfig.Block, zone string) *api.NumberPeriod {
	period := &api.NumberPeriod{
		Name:   block.Labels[0],
		Zone:   block.Text("zone", zone),
		From:   minute(block, "from"),
		To:     minute(block, "to"),
		Except: block.Texts("except"),
		Only:   block.Texts("only"),
	}
	for _, day := range block.Texts("days") {
		i := slices.Index(weekdays, day)
		if i < 0 {
			block.Fault("days", "days: want some of %s, got %q", strings.Join(weekdays, ", "), day)
			continue
		}
		period.Weekdays = append(period.Weekdays, int32(i))
	}
	r.blocks[period] = block
	return period
}

func (r *reader) route(block *hclconfig.Block) *api.NumberRoute {
	route := &api.NumberRoute{
		Name:     block.Labels[0],
		Skill:    block.Text("skill", ""),
		Customer: block.Text("customer", ""),
	}
	for _, group := range block.Blocks("group", 1) {
		choice := &api.NumberChoice{Group: group.Labels[0], Weight: group.Num("weight", 1, 0, 1e9)}
		route.Choices = append(route.Choices, choice)
	}
	r.blocks[route] = block
	return route
}

func (r *reader) plan(block *hclconfig.Block) *api.NumberPlan {
	plan := &api.NumberPlan{Name: block.Labels[0]}
	r.blocks[plan] = block
	for _, ruleBlock := range block.Blocks("rule", 1) {
		rule := &api.NumberRule{
			Prefix: strings.TrimPrefix(ruleBlock.Labels[0], "+"),
			When:   ruleBlock.Text("when", ""),
			Strip:  int32(ruleBlock.Int("strip", 0, 0, maxDigits)),
			Add:    ruleBlock.Text("add", ""),
			Where:  ruleBlock.Where(),
		}
		rule.Then = r.action(ruleBlock, true)
		r.blocks[rule] = ruleBlock
		plan.Rules = append(plan.Rules, rule)
	}
	return plan
}

var weekdays = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

func minute(block *hclconfig.Block, key string) int32 {
	text := block.Text(key, "00:00")
	if text == "24:00" {
		return 0
	}
	t, err := time.Parse("15:04", text)
	if err != nil {
		block.Fault(key, "%s: want a time such as \"13:30\", got %q", key, text)
	}
	return int32(t.Hour()*60 + t.Minute())
}

// action reads the action of a rule, or of one result of a portability look-up.
func (r *reader) action(b *hclconfig.Block, allowLookup bool) *api.NumberAction {
	a := &api.NumberAction{}
	r.blocks[a] = b
	actions := 0
	if name := b.Text("plan", ""); name != "" {
		actions++
		a.Do = &api.NumberAction_Plan{Plan: name}
	}
	if name := b.Text("route", ""); name != "" {
		actions++
		a.Do = &api.NumberAction_Route{Route: name}
	}
	if why := b.Text("refuse", ""); why != "" {
		actions++
		a.Do = &api.NumberAction_Refuse{Refuse: &api.NumberRefusal{Code: int32(b.Int("code", 404, 400, 699)), Why: why}}
	} else if b.Has("code") {
		b.Fault("code", "code: allowed only with refuse")
	}
	if allowLookup {
		for _, lookupBlock := range b.Blocks("portability", 0) {
			actions++
			question := &api.NumberQuestion{WithinMs: lookupBlock.Ms("within", 500, 1, 60000)}
			for _, e := range []struct {
				kind string
				to   **api.NumberAction
			}{{"ported", &question.Ported}, {"same", &question.Same}, {"silent", &question.Silent}} {
				if ends := lookupBlock.Blocks(e.kind, 0); len(ends) == 1 {
					*e.to = r.action(ends[0], false)
				} else {
					lookupBlock.Fault("", "portability: want one %s { ... } with the action for this result", e.kind)
				}
			}
			a.Do = &api.NumberAction_Ask{Ask: question}
		}
	}
	if actions != 1 {
		b.Fault(
			"",
			"want one of plan, route, refuse%s, got %d",
			map[bool]string{true: ", portability { ... }", false: ""}[allowLookup],
			actions,
		)
	}
	return a
}

var rangePattern = regexp.MustCompile(`^([0-9]+)-([0-9]+)$`)
