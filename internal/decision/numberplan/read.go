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

// hclReader converts an HCL number table to an api.NumberTable.
type hclReader struct {
	// blocks holds the HCL block from which each message was read, for the positions of errors.
	blocks map[proto.Message]*hclconfig.Block
}

// Parse reads and compiles a number table in HCL. It returns both the compiled table and its source message. Errors
// name the file as name. A table without a name attribute is given that name too.
func Parse(name string, src []byte) (*Table, *api.NumberTable, error) {
	root, err := hclconfig.Parse(name, src)
	if err != nil {
		return nil, nil, err
	}
	r := &hclReader{blocks: map[proto.Message]*hclconfig.Block{}}
	table := &api.NumberTable{
		Name:    root.Text("name", name),
		Version: uint64(root.Int("version", 0, 0, 1<<40)),
		Country: root.Text("country", ""),
		Entry:   root.Text("entry", "start"),
	}
	r.blocks[table] = root
	zone := root.Text("zone", "")
	for _, block := range root.Blocks("days", 1) {
		days := &api.NumberDays{Name: block.Labels[0], Dates: block.TextList("dates")}
		r.blocks[days] = block
		table.Days = append(table.Days, days)
	}
	for _, block := range root.Blocks("period", 1) {
		table.Periods = append(table.Periods, r.readPeriod(block, zone))
	}
	if _, err := time.LoadLocation(zone); err != nil {
		root.AddError("zone", "zone: unknown time zone %q", zone)
	}
	for _, block := range root.Blocks("route", 1) {
		table.Routes = append(table.Routes, r.readRoute(block))
	}
	for _, block := range root.Blocks("plan", 1) {
		table.Plans = append(table.Plans, r.readPlan(block))
	}
	compiled := compile(table, func(message proto.Message, key, format string, args ...any) {
		r.blocks[message].AddError(key, format, args...)
	})
	if err := root.Err(); err != nil {
		return nil, nil, err
	}
	return compiled, table, nil
}

// readPeriod reads a period block. The default of its time zone is that of the table.
func (r *hclReader) readPeriod(block *hclconfig.Block, zone string) *api.NumberPeriod {
	period := &api.NumberPeriod{
		Name:   block.Labels[0],
		Zone:   block.Text("zone", zone),
		From:   minuteOfDay(block, "from"),
		To:     minuteOfDay(block, "to"),
		Except: block.TextList("except"),
		Only:   block.TextList("only"),
	}
	for _, day := range block.TextList("days") {
		i := slices.Index(weekdays, day)
		if i < 0 {
			block.AddError("days", "days: want weekdays (%s), got %q", strings.Join(weekdays, ", "), day)
			continue
		}
		period.Weekdays = append(period.Weekdays, int32(i))
	}
	r.blocks[period] = block
	return period
}

// readRoute reads a route block with its trunk groups.
func (r *hclReader) readRoute(block *hclconfig.Block) *api.NumberRoute {
	route := &api.NumberRoute{
		Name:     block.Labels[0],
		Skill:    block.Text("skill", ""),
		Customer: block.Text("customer", ""),
	}
	for _, group := range block.Blocks("group", 1) {
		weightedGroup := &api.NumberChoice{Group: group.Labels[0], Weight: group.Num("weight", 1, 0, 1e9)}
		route.Choices = append(route.Choices, weightedGroup)
	}
	r.blocks[route] = block
	return route
}

// readPlan reads a plan block with its rules.
func (r *hclReader) readPlan(block *hclconfig.Block) *api.NumberPlan {
	plan := &api.NumberPlan{Name: block.Labels[0]}
	r.blocks[plan] = block
	for _, ruleBlock := range block.Blocks("rule", 1) {
		rule := &api.NumberRule{
			Prefix: strings.TrimPrefix(ruleBlock.Labels[0], "+"),
			When:   ruleBlock.Text("when", ""),
			Strip:  int32(ruleBlock.Int("strip", 0, 0, maxDigits)),
			Add:    ruleBlock.Text("add", ""),
			Where:  ruleBlock.Position(),
		}
		rule.Then = r.readAction(ruleBlock, true)
		r.blocks[rule] = ruleBlock
		plan.Rules = append(plan.Rules, rule)
	}
	return plan
}

// weekdays are in the order of time.Weekday.
var weekdays = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// minuteOfDay reads a time of day as minutes after midnight. 24:00 is 0, which at the end of a period means midnight.
func minuteOfDay(block *hclconfig.Block, key string) int32 {
	text := block.Text(key, "00:00")
	if text == "24:00" {
		return 0
	}
	t, err := time.Parse("15:04", text)
	if err != nil {
		block.AddError(key, "%s: want a time such as \"13:30\", got %q", key, text)
	}
	return int32(t.Hour()*60 + t.Minute())
}

// readAction reads the action of a rule, or of one result of a portability look-up.
func (r *hclReader) readAction(block *hclconfig.Block, allowLookup bool) *api.NumberAction {
	action := &api.NumberAction{}
	r.blocks[action] = block
	actions := 0
	if name := block.Text("plan", ""); name != "" {
		actions++
		action.Do = &api.NumberAction_Plan{Plan: name}
	}
	if name := block.Text("route", ""); name != "" {
		actions++
		action.Do = &api.NumberAction_Route{Route: name}
	}
	if reason := block.Text("refuse", ""); reason != "" {
		actions++
		action.Do = &api.NumberAction_Refuse{
			Refuse: &api.NumberRefusal{Code: int32(block.Int("code", 404, 400, 699)), Why: reason},
		}
	} else if block.Has("code") {
		block.AddError("code", "code: allowed only with refuse")
	}
	if allowLookup {
		for _, lookupBlock := range block.Blocks("portability", 0) {
			actions++
			lookup := &api.NumberQuestion{WithinMs: lookupBlock.Ms("within", 500, 1, 60000)}
			for _, result := range []struct {
				key    string
				target **api.NumberAction
			}{{"ported", &lookup.Ported}, {"same", &lookup.Same}, {"silent", &lookup.Silent}} {
				if resultBlocks := lookupBlock.Blocks(result.key, 0); len(resultBlocks) == 1 {
					*result.target = r.readAction(resultBlocks[0], false)
				} else {
					lookupBlock.AddError("", "portability: want exactly one block %s { ... }, the action for that result", result.key)
				}
			}
			action.Do = &api.NumberAction_Ask{Ask: lookup}
		}
	}
	if actions != 1 {
		block.AddError(
			"",
			"want exactly one of plan, route, refuse%s, got %d of them",
			map[bool]string{true: ", portability { ... }", false: ""}[allowLookup],
			actions,
		)
	}
	return action
}

// prefixRangePattern matches a range of prefixes such as 100-199.
var prefixRangePattern = regexp.MustCompile(`^([0-9]+)-([0-9]+)$`)
