package numberplan

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
	_ "time/tzdata" // for machines without a time zone database

	"google.golang.org/protobuf/proto"

	"cobaltpier/api"
	"cobaltpier/internal/decision/prefixtrie"
)

// maxErrors is how many errors of a table are listed; further ones are only counted.
const maxErrors = 50

// Compile compiles a table from its source message. The error lists what is wrong anywhere in the table.
func Compile(source *api.NumberTable) (*Table, error) {
	var messages []string
	count := 0
	t := compile(source, func(message proto.Message, key, format string, args ...any) {
		if count++; count <= maxErrors {
			messages = append(messages, positionOf(source, message)+fmt.Sprintf(format, args...))
		}
	})
	if count > maxErrors {
		messages = append(messages, fmt.Sprintf("and %d more", count-maxErrors))
	}
	if count > 0 {
		return nil, fmt.Errorf("number table: %s", strings.Join(messages, "\n  "))
	}
	return t, nil
}

// positionOf returns the position of a message in its table, as a prefix for error texts.
func positionOf(source *api.NumberTable, message proto.Message) string {
	switch message := message.(type) {
	case *api.NumberDays:
		return fmt.Sprintf("days %q: ", message.Name)
	case *api.NumberPeriod:
		return fmt.Sprintf("period %q: ", message.Name)
	case *api.NumberRoute:
		return fmt.Sprintf("route %q: ", message.Name)
	case *api.NumberPlan:
		return fmt.Sprintf("plan %q: ", message.Name)
	}
	for _, p := range source.Plans {
		for i, r := range p.Rules {
			if proto.Message(r) == message || r.Then != nil && containsMessage(r.Then, message) {
				if r.Where != "" {
					return r.Where + ": "
				}
				return fmt.Sprintf("plan %q, rule %d: ", p.Name, i+1)
			}
		}
	}
	return ""
}

// containsMessage reports whether a message is an action or one of the actions of its look-up.
func containsMessage(a *api.NumberAction, message proto.Message) bool {
	if q := a.GetAsk(); q != nil {
		for _, e := range []*api.NumberAction{q.Ported, q.Same, q.Silent} {
			if e != nil && containsMessage(e, message) {
				return true
			}
		}
	}
	return proto.Message(a) == message
}

// compiler builds a table and reports errors in its source.
type compiler struct {
	table          *Table
	addError       func(message proto.Message, key, format string, args ...any)
	periods        map[string]*Period
	days           map[string]map[string]bool
	zones          map[string]*time.Location
	planReferences map[string][]reference // the plans that each plan refers to, for loop detection
	used           map[string]bool
}

// reference is a plan that an action continues with.
type reference struct {
	to     string
	action proto.Message
}

// compile compiles a table and passes the errors in its source to addError, with the message and the key in question.
func compile(source *api.NumberTable, addError func(message proto.Message, key, format string, args ...any)) *Table {
	t := &Table{
		Name:    source.Name,
		Version: source.Version,
		Country: source.Country,
		plans:   map[string]*plan{},
		routes:  map[string]*route{},
	}
	c := &compiler{
		table:          t,
		addError:       addError,
		periods:        map[string]*Period{},
		days:           map[string]map[string]bool{},
		zones:          map[string]*time.Location{"": time.UTC},
		planReferences: map[string][]reference{},
		used:           map[string]bool{},
	}
	var err error
	if t.Sum, err = Sum(source); err != nil { // text that is not valid UTF-8
		addError(source, "", "%v", err)
	}
	if strings.Trim(t.Country, "0123456789") != "" {
		addError(source, "country", "country: want digits, got %q", t.Country)
	}
	for _, d := range source.Days {
		c.compileDays(d)
	}
	for _, p := range source.Periods {
		c.compilePeriod(p)
	}
	for _, r := range source.Routes {
		c.compileRoute(r)
	}
	for _, p := range source.Plans {
		if t.plans[p.Name] != nil {
			addError(p, "", "duplicate plan %q", p.Name)
		}
		t.plans[p.Name] = &plan{name: p.Name}
	}
	for _, p := range source.Plans {
		c.compilePlan(p)
	}
	if t.entry = t.plans[source.Entry]; t.entry == nil {
		addError(source, "entry", "entry: no plan %q", source.Entry)
	} else {
		c.checkReachable(source.Plans, source.Entry)
	}
	for _, r := range source.Routes {
		if !c.used["route "+r.Name] {
			t.Warnings = append(t.Warnings, fmt.Sprintf("route %q is never used", r.Name))
		}
	}
	for _, p := range source.Periods {
		if !c.used["period "+p.Name] {
			t.Warnings = append(t.Warnings, fmt.Sprintf("period %q is never used", p.Name))
		}
	}
	return t
}

// compileDays adds a set of dates.
func (c *compiler) compileDays(d *api.NumberDays) {
	if c.days[d.Name] != nil {
		c.addError(d, "", "duplicate days %q", d.Name)
	}
	set := map[string]bool{}
	for _, date := range d.Dates {
		if _, err := time.Parse(time.DateOnly, date); err != nil {
			c.addError(d, "dates", "dates: want dates such as \"2026-12-25\", got %q", date)
		}
		set[date] = true
	}
	c.days[d.Name] = set
}

// compilePeriod adds a period. Its days and zone are resolved.
func (c *compiler) compilePeriod(source *api.NumberPeriod) {
	p := &Period{
		Name:    source.Name,
		Except:  map[string]bool{},
		Only:    map[string]bool{},
		anyDays: len(source.Weekdays) == 0,
		From:    int(source.From),
		To:      int(source.To),
	}
	if p.Zone = c.zones[source.Zone]; p.Zone == nil {
		z, err := time.LoadLocation(source.Zone)
		if err != nil {
			c.addError(source, "zone", "zone: unknown time zone %q", source.Zone)
			z = time.UTC
		}
		p.Zone, c.zones[source.Zone] = z, z
	}
	for _, d := range source.Weekdays {
		if d < 0 || d > 6 {
			c.addError(source, "days", "days: want 0 to 6, got %d", d)
			continue
		}
		p.Days[d] = true
	}
	if min(source.From, source.To) < 0 || max(source.From, source.To) >= 24*60 {
		c.addError(source, "from", "from, to: want minutes of a day, got %d, %d", source.From, source.To)
	}
	for _, list := range []struct {
		key   string
		names []string
		dates map[string]bool
	}{{"except", source.Except, p.Except}, {"only", source.Only, p.Only}} {
		for _, name := range list.names {
			if c.days[name] == nil {
				c.addError(source, list.key, "%s: no days %q", list.key, name)
			}
			for d := range c.days[name] {
				list.dates[d] = true
			}
		}
	}
	if c.periods[p.Name] != nil {
		c.addError(source, "", "duplicate period %q", p.Name)
	}
	c.periods[p.Name] = p
}

// compileRoute adds a route with its weighted trunk groups.
func (c *compiler) compileRoute(source *api.NumberRoute) {
	r := &route{name: source.Name, skill: source.Skill, customer: source.Customer}
	for _, g := range source.Choices {
		if !(g.Weight >= 0 && g.Weight <= 1e9) {
			c.addError(source, "", "group %q: want a weight from 0 to 1e9, got %v", g.Group, g.Weight)
			continue
		}
		r.choices = append(r.choices, choice{g.Group, g.Weight})
		r.total += g.Weight
	}
	if len(r.choices) == 0 || r.total <= 0 {
		c.addError(
			source,
			"",
			"route %q: want at least one group \"NAME\" { weight = ... } with a weight above 0",
			source.Name,
		)
	}
	if c.table.routes[source.Name] != nil {
		c.addError(source, "", "duplicate route %q", source.Name)
	}
	c.table.routes[source.Name] = r
}

// compiledRule is a rule as it is written and as it is compiled, with the prefixes that it covers.
type compiledRule struct {
	source   *api.NumberRule
	rule     *rule
	prefixes []string
}

// prefixEntry is a prefix with the index of one of its rules. It is small because a large table has many.
type prefixEntry struct {
	prefix    string
	ruleIndex int
}

// compilePlan compiles the rules of a plan and builds its trie of prefixes.
func (c *compiler) compilePlan(source *api.NumberPlan) {
	p := c.table.plans[source.Name]
	var compiled []compiledRule
	var ranges []numberRange
	total := 0
	for _, ruleSource := range source.Rules {
		r, span, ok := c.compileRule(source.Name, ruleSource)
		if !ok {
			continue
		}
		if span.from != "" {
			span.rule = ruleSource
			ranges = append(ranges, span)
		}
		compiled = append(compiled, r)
		total += len(r.prefixes)
	}
	c.checkOverlaps(ranges)
	c.table.size += total
	trie, err := prefixtrie.New(c.assignRuleSets(p, compiled, sortedEntries(compiled, total)))
	if err != nil {
		c.addError(source, "", "plan %q: %v", p.name, err)
		return
	}
	p.trie = trie
}

// rule compiles one rule of a plan. It returns false if the rule can't be used.
func (c *compiler) compileRule(plan string, source *api.NumberRule) (compiledRule, numberRange, bool) {
	if source.Then == nil {
		c.addError(source, "", "a rule without an action")
		return compiledRule{}, numberRange{}, false
	}
	r := &rule{strip: int(source.Strip), add: source.Add, position: source.Where}
	if strings.Trim(source.Add, "0123456789") != "" || len(source.Add) > maxDigits {
		c.addError(source, "add", "add: want %d digits at most, got %q", maxDigits, source.Add)
	}
	if source.Strip < 0 || source.Strip > maxDigits {
		c.addError(source, "strip", "strip: want 0 to %d, got %d", maxDigits, source.Strip)
		r.strip = 0
	}
	if source.When != "" {
		c.used["period "+source.When] = true
		if r.when = c.periods[source.When]; r.when == nil {
			c.addError(source, "when", "when: no period %q", source.When)
		}
	}
	r.then = c.action(plan, source.Then, 0)
	prefixes, span, err := expandPrefixes(source)
	if err != nil {
		c.addError(source, "", "%v", err)
		return compiledRule{}, numberRange{}, false
	}
	if prefix := prefixes[0]; r.strip > len(prefix) && len(prefixes) == 1 && prefix != "" {
		c.addError(source, "strip", "strip: %d digits are more than the prefix %q has", r.strip, prefix)
	}
	return compiledRule{source, r, prefixes}, span, true
}

// sortedEntries returns the prefixes of all rules, sorted; equal prefixes keep the order of their rules.
func sortedEntries(compiled []compiledRule, total int) []prefixEntry {
	entries := make([]prefixEntry, 0, total)
	for i, r := range compiled {
		for _, prefix := range r.prefixes {
			entries = append(entries, prefixEntry{prefix, i})
		}
	}
	slices.SortFunc(entries, func(a, b prefixEntry) int {
		return cmp.Or(strings.Compare(a.prefix, b.prefix), cmp.Compare(a.ruleIndex, b.ruleIndex))
	})
	return entries
}

// assignRuleSets assigns each prefix the index of its rule set in the plan. Prefixes with the same single rule share
// a set.
func (c *compiler) assignRuleSets(p *plan, compiled []compiledRule, entries []prefixEntry) []prefixtrie.Prefix {
	prefixes := make([]prefixtrie.Prefix, 0, len(entries))
	single := map[int]uint32{} // index of the set with only this rule, by rule index
	for i := 0; i < len(entries); {
		j := i + 1
		for j < len(entries) && entries[j].prefix == entries[i].prefix {
			before, unreachable := compiled[entries[j-1].ruleIndex], compiled[entries[j].ruleIndex].source
			if before.rule.when == nil {
				c.addError(unreachable, "", "rule %q is never reached: the rule%s of the same prefix %s always holds",
					unreachable.Prefix, positionSuffix(before.source), entries[j].prefix)
			}
			j++
		}
		set, known := single[entries[i].ruleIndex]
		if !known || j-i > 1 {
			set = uint32(len(p.ruleSets))
			rules := make([]*rule, 0, j-i)
			for _, e := range entries[i:j] {
				rules = append(rules, compiled[e.ruleIndex].rule)
			}
			p.ruleSets = append(p.ruleSets, rules)
			if j-i == 1 {
				single[entries[i].ruleIndex] = set
			}
		}
		prefixes = append(prefixes, prefixtrie.Prefix{Digits: entries[i].prefix, Value: set})
		i = j
	}
	return prefixes
}

// positionSuffix returns the position of a rule, if it is known, for the end of a phrase.
func positionSuffix(r *api.NumberRule) string {
	if r.Where == "" {
		return ""
	}
	return " " + r.Where
}

// numberRange is a range of numbers of the same length.
type numberRange struct {
	from, to string
	rule     *api.NumberRule
}

// checkOverlaps rejects ranges that overlap without one containing the other: it would be arbitrary which rule
// applies to the shared part.
func (c *compiler) checkOverlaps(ranges []numberRange) {
	slices.SortStableFunc(ranges, func(a, b numberRange) int {
		return cmp.Or(cmp.Compare(len(a.from), len(b.from)), strings.Compare(a.from, b.from), strings.Compare(b.to, a.to))
	})
	var enclosing []numberRange // the ranges that contain the current one, the widest first
	for _, b := range ranges {
		for len(enclosing) > 0 && (len(enclosing[0].from) != len(b.from) || enclosing[len(enclosing)-1].to < b.from) {
			enclosing = enclosing[:len(enclosing)-1]
		}
		if n := len(enclosing); n > 0 && enclosing[n-1].to < b.to {
			a := enclosing[n-1]
			c.addError(b.rule, "", "range %s-%s overlaps %s-%s%s in part", b.from, b.to, a.from, a.to, positionSuffix(a.rule))
		}
		enclosing = append(enclosing, b)
	}
}

// expandPrefixes returns the prefixes that a rule covers, and its range if it has one.
func expandPrefixes(r *api.NumberRule) ([]string, numberRange, error) {
	switch m := prefixRangePattern.FindStringSubmatch(r.Prefix); {
	case len(r.Packed) > 0:
		prefixes, err := unpackPrefixes(r.Packed)
		return prefixes, numberRange{}, err
	case m != nil:
		prefixes, err := prefixtrie.Cover(m[1], m[2])
		if err != nil {
			return nil, numberRange{}, fmt.Errorf("rule %q: %w", r.Prefix, err)
		}
		return prefixes, numberRange{from: m[1], to: m[2]}, nil
	case strings.Trim(r.Prefix, "0123456789") != "" || len(r.Prefix) > maxDigits:
		return nil, numberRange{}, fmt.Errorf(
			"rule %q: want a prefix of digits, or a range such as \"5145550000-5145559999\"",
			r.Prefix,
		)
	}
	return []string{r.Prefix}, numberRange{}, nil
}

// action compiles the action of a rule. depth is above 0 in the results of a look-up, where another is rejected.
func (c *compiler) action(planName string, source *api.NumberAction, depth int) action {
	var a action
	switch do := source.Do.(type) {
	case *api.NumberAction_Plan:
		if a.plan = c.table.plans[do.Plan]; a.plan == nil {
			c.addError(source, "plan", "plan: no plan %q", do.Plan)
		}
		c.planReferences[planName] = append(c.planReferences[planName], reference{do.Plan, source})
	case *api.NumberAction_Route:
		c.used["route "+do.Route] = true
		if a.route = c.table.routes[do.Route]; a.route == nil {
			c.addError(source, "route", "route: no route %q", do.Route)
		}
	case *api.NumberAction_Refuse:
		a.refuse = &Refusal{int(do.Refuse.GetCode()), do.Refuse.GetWhy()}
		if a.refuse.Code < 400 || a.refuse.Code > 699 {
			c.addError(source, "code", "code: want 400 to 699, got %d", a.refuse.Code)
		}
	case *api.NumberAction_Ask:
		q := do.Ask
		switch {
		case depth > 0:
			c.addError(source, "", "portability: not allowed in the result of another portability look-up")
		case !(q.GetWithinMs() >= 1 && q.GetWithinMs() <= 60000):
			c.addError(source, "", "portability: within: want 1 to 60000 ms, got %v", q.GetWithinMs())
		case q.Ported == nil || q.Same == nil || q.Silent == nil:
			c.addError(source, "", "portability: want ported, same and silent")
		default:
			a.lookup = &lookup{
				timeout:   time.Duration(math.Round(q.WithinMs * 1e6)),
				ported:    c.action(planName, q.Ported, 1),
				notPorted: c.action(planName, q.Same, 1),
				noAnswer:  c.action(planName, q.Silent, 1),
			}
		}
	default:
		c.addError(source, "", "a rule without an action")
	}
	return a
}

// checkReachable rejects loops, in which an analysis would never end, and plans that the entry does not lead to.
func (c *compiler) checkReachable(plans []*api.NumberPlan, entry string) {
	const (
		open = 1 + iota
		done
	)
	state := map[string]int{}
	var visit func(name string, path []string)
	visit = func(name string, path []string) {
		state[name] = open
		if len(path) == maxSteps/2 {
			c.addError(
				c.planReferences[path[len(path)-1]][0].action,
				"plan",
				"plan: a chain of %d plans is too long",
				len(path)+1,
			)
			return
		}
		for _, ref := range c.planReferences[name] {
			switch {
			case state[ref.to] == open:
				c.addError(ref.action, "plan", "loop: %s leads back to %s", strings.Join(append(path, name), " to "), ref.to)
			case state[ref.to] == 0 && c.table.plans[ref.to] != nil:
				visit(ref.to, append(path, name))
			}
		}
		state[name] = done
	}
	visit(entry, nil)
	for _, p := range plans {
		if state[p.Name] == 0 {
			c.addError(p, "", "plan %q is never reached from %q", p.Name, entry)
		}
	}
}
