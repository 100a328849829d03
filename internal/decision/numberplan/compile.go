package numberplan

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
	_ "time/tzdata" // zones also where the machine has none

	"google.golang.org/protobuf/proto"

	"cobaltpier/api"
	"cobaltpier/internal/decision/prefixtrie"
)

// maxFaults are told of a table; the rest is counted.
const maxFaults = 50

// Compile makes a table of its compact form and tells all that is wrong with it.
func Compile(form *api.NumberTable) (*Table, error) {
	var faults []string
	n := 0
	t := compile(form, func(of proto.Message, key, format string, args ...any) {
		if n++; n <= maxFaults {
			faults = append(faults, positionOf(form, of)+fmt.Sprintf(format, args...))
		}
	})
	if n > maxFaults {
		faults = append(faults, fmt.Sprintf("and %d more", n-maxFaults))
	}
	if n > 0 {
		return nil, fmt.Errorf("number table: %s", strings.Join(faults, "\n  "))
	}
	return t, nil
}

// positionOf says where in a table a part of it stands.
func positionOf(form *api.NumberTable, of proto.Message) string {
	switch of := of.(type) {
	case *api.NumberDays:
		return fmt.Sprintf("days %q: ", of.Name)
	case *api.NumberPeriod:
		return fmt.Sprintf("period %q: ", of.Name)
	case *api.NumberRoute:
		return fmt.Sprintf("route %q: ", of.Name)
	case *api.NumberPlan:
		return fmt.Sprintf("plan %q: ", of.Name)
	}
	for _, p := range form.Plans {
		for i, r := range p.Rules {
			if proto.Message(r) == of || r.Then != nil && within(r.Then, of) {
				if r.Where != "" {
					return r.Where + ": "
				}
				return fmt.Sprintf("plan %q, rule %d: ", p.Name, i+1)
			}
		}
	}
	return ""
}

func within(a *api.NumberAction, of proto.Message) bool {
	if q := a.GetAsk(); q != nil {
		for _, e := range []*api.NumberAction{q.Ported, q.Same, q.Silent} {
			if e != nil && within(e, of) {
				return true
			}
		}
	}
	return proto.Message(a) == of
}

// compiler makes a table and tells faults.
type compiler struct {
	t       *Table
	fault   func(of proto.Message, key, format string, args ...any)
	periods map[string]*Period
	days    map[string]map[string]bool
	zones   map[string]*time.Location
	leads   map[string][]reference // from plan to plan, for loops
	used    map[string]bool
}

type reference struct {
	to string
	at proto.Message
}

func compile(form *api.NumberTable, fault func(of proto.Message, key, format string, args ...any)) *Table {
	t := &Table{
		Name:    form.Name,
		Version: form.Version,
		Country: form.Country,
		plans:   map[string]*plan{},
		routes:  map[string]*route{},
	}
	c := &compiler{
		t:       t,
		fault:   fault,
		periods: map[string]*Period{},
		days:    map[string]map[string]bool{},
		zones:   map[string]*time.Location{"": time.UTC},
		leads:   map[string][]reference{},
		used:    map[string]bool{},
	}
	var err error
	if t.Sum, err = Sum(form); err != nil { // text that is no UTF-8
		fault(form, "", "%v", err)
	}
	if strings.Trim(t.Country, "0123456789") != "" {
		fault(form, "country", "country: want digits, got %q", t.Country)
	}
	for _, d := range form.Days {
		c.dates(d)
	}
	for _, p := range form.Periods {
		c.period(p)
	}
	for _, r := range form.Routes {
		c.route(r)
	}
	for _, p := range form.Plans {
		if t.plans[p.Name] != nil {
			fault(p, "", "plan %q stands here twice", p.Name)
		}
		t.plans[p.Name] = &plan{name: p.Name}
	}
	for _, p := range form.Plans {
		c.plan(p)
	}
	if t.entry = t.plans[form.Entry]; t.entry == nil {
		fault(form, "entry", "entry: no plan %q", form.Entry)
	} else {
		c.reach(form.Plans, form.Entry)
	}
	for _, r := range form.Routes {
		if !c.used["route "+r.Name] {
			t.Warnings = append(t.Warnings, fmt.Sprintf("route %q is never used", r.Name))
		}
	}
	for _, p := range form.Periods {
		if !c.used["period "+p.Name] {
			t.Warnings = append(t.Warnings, fmt.Sprintf("period %q is never used", p.Name))
		}
	}
	return t
}

func (c *compiler) dates(d *api.NumberDays) {
	if c.days[d.Name] != nil {
		c.fault(d, "", "days %q stand here twice", d.Name)
	}
	of := map[string]bool{}
	for _, x := range d.Dates {
		if _, err := time.Parse(time.DateOnly, x); err != nil {
			c.fault(d, "dates", "dates: want days such as \"2026-12-25\", got %q", x)
		}
		of[x] = true
	}
	c.days[d.Name] = of
}

func (c *compiler) period(x *api.NumberPeriod) {
	p := &Period{
		Name:    x.Name,
		Except:  map[string]bool{},
		Only:    map[string]bool{},
		anyDays: len(x.Weekdays) == 0,
		From:    int(x.From),
		To:      int(x.To),
	}
	if p.Zone = c.zones[x.Zone]; p.Zone == nil {
		z, err := time.LoadLocation(x.Zone)
		if err != nil {
			c.fault(x, "zone", "zone: no time zone %q", x.Zone)
			z = time.UTC
		}
		p.Zone, c.zones[x.Zone] = z, z
	}
	for _, d := range x.Weekdays {
		if d < 0 || d > 6 {
			c.fault(x, "days", "days: want 0 to 6, got %d", d)
			continue
		}
		p.Days[d] = true
	}
	if min(x.From, x.To) < 0 || max(x.From, x.To) >= 24*60 {
		c.fault(x, "from", "from, to: want minutes of a day, got %d, %d", x.From, x.To)
	}
	for _, k := range []struct {
		key  string
		of   []string
		into map[string]bool
	}{{"except", x.Except, p.Except}, {"only", x.Only, p.Only}} {
		for _, n := range k.of {
			if c.days[n] == nil {
				c.fault(x, k.key, "%s: no days %q", k.key, n)
			}
			for d := range c.days[n] {
				k.into[d] = true
			}
		}
	}
	if c.periods[p.Name] != nil {
		c.fault(x, "", "period %q stands here twice", p.Name)
	}
	c.periods[p.Name] = p
}

func (c *compiler) route(x *api.NumberRoute) {
	r := &route{name: x.Name, skill: x.Skill, customer: x.Customer}
	for _, g := range x.Choices {
		if !(g.Weight >= 0 && g.Weight <= 1e9) {
			c.fault(x, "", "group %q: want a weight from 0 to 1e9, got %v", g.Group, g.Weight)
			continue
		}
		r.choices = append(r.choices, choice{g.Group, g.Weight})
		r.total += g.Weight
	}
	if len(r.choices) == 0 || r.total <= 0 {
		c.fault(x, "", "route %q: want at least one group \"NAME\" { weight = ... } with a weight above 0", x.Name)
	}
	if c.t.routes[x.Name] != nil {
		c.fault(x, "", "route %q stands here twice", x.Name)
	}
	c.t.routes[x.Name] = r
}

// line is a rule as it is written and as it is compiled.
type line struct {
	of       *api.NumberRule
	rule     *rule
	prefixes []string
}

// entry is a prefix with the number of one of its rules; a large table has many.
type entry struct {
	prefix string
	line   int
}

func (c *compiler) plan(x *api.NumberPlan) {
	p := c.t.plans[x.Name]
	var lines []line
	var spans []span
	total := 0
	for _, k := range x.Rules {
		l, sp, ok := c.rule(x.Name, k)
		if !ok {
			continue
		}
		if sp.from != "" {
			sp.at = k
			spans = append(spans, sp)
		}
		lines = append(lines, l)
		total += len(l.prefixes)
	}
	c.spans(spans)
	c.t.size += total
	trie, err := prefixtrie.New(c.shareRules(p, lines, sortedEntries(lines, total)))
	if err != nil {
		c.fault(x, "", "plan %q: %v", p.name, err)
		return
	}
	p.trie = trie
}

// rule compiles one rule of a plan; false: it can't be used.
func (c *compiler) rule(plan string, k *api.NumberRule) (line, span, bool) {
	if k.Then == nil {
		c.fault(k, "", "a rule without an action")
		return line{}, span{}, false
	}
	r := &rule{strip: int(k.Strip), add: k.Add, line: k.Where}
	if strings.Trim(k.Add, "0123456789") != "" || len(k.Add) > mostDigits {
		c.fault(k, "add", "add: want %d digits at most, got %q", mostDigits, k.Add)
	}
	if k.Strip < 0 || k.Strip > mostDigits {
		c.fault(k, "strip", "strip: want 0 to %d, got %d", mostDigits, k.Strip)
		r.strip = 0
	}
	if k.When != "" {
		c.used["period "+k.When] = true
		if r.when = c.periods[k.When]; r.when == nil {
			c.fault(k, "when", "when: no period %q", k.When)
		}
	}
	r.then = c.action(plan, k.Then, 0)
	prefixes, sp, err := prefixesOf(k)
	if err != nil {
		c.fault(k, "", "%v", err)
		return line{}, span{}, false
	}
	if d := prefixes[0]; r.strip > len(d) && len(prefixes) == 1 && d != "" {
		c.fault(k, "strip", "strip: %d digits are more than the prefix %q has", r.strip, d)
	}
	return line{k, r, prefixes}, sp, true
}

// sortedEntries is the prefixes of all rules, those of one prefix in the order of the rules.
func sortedEntries(lines []line, total int) []entry {
	entries := make([]entry, 0, total)
	for i, l := range lines {
		for _, prefix := range l.prefixes {
			entries = append(entries, entry{prefix, i})
		}
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(strings.Compare(a.prefix, b.prefix), cmp.Compare(a.line, b.line))
	})
	return entries
}

// shareRules gives each prefix the number of its set of rules in the plan. Prefixes with the same single rule share
// one.
func (c *compiler) shareRules(p *plan, lines []line, entries []entry) []prefixtrie.Prefix {
	prefixes := make([]prefixtrie.Prefix, 0, len(entries))
	single := map[int]uint32{} // set of a single rule, by its line
	for i := 0; i < len(entries); {
		j := i + 1
		for j < len(entries) && entries[j].prefix == entries[i].prefix {
			before, k := lines[entries[j-1].line], lines[entries[j].line].of
			if before.rule.when == nil {
				c.fault(k, "", "rule %q is never reached:%s of the same prefix %s always holds",
					k.Prefix, at(before.of), entries[j].prefix)
			}
			j++
		}
		set, known := single[entries[i].line]
		if !known || j-i > 1 {
			set = uint32(len(p.sets))
			rules := make([]*rule, 0, j-i)
			for _, e := range entries[i:j] {
				rules = append(rules, lines[e.line].rule)
			}
			p.sets = append(p.sets, rules)
			if j-i == 1 {
				single[entries[i].line] = set
			}
		}
		prefixes = append(prefixes, prefixtrie.Prefix{Digits: entries[i].prefix, Value: set})
		i = j
	}
	return prefixes
}

func at(k *api.NumberRule) string {
	if k.Where == "" {
		return ""
	}
	return " " + k.Where
}

// span is a range of numbers of one length.
type span struct {
	from, to string
	at       *api.NumberRule
}

// spans refuses ranges that share a part where neither holds the other: it would be chance which rule stands for it.
func (c *compiler) spans(of []span) {
	slices.SortStableFunc(of, func(a, b span) int {
		return cmp.Or(cmp.Compare(len(a.from), len(b.from)), strings.Compare(a.from, b.from), strings.Compare(b.to, a.to))
	})
	var around []span // those that hold the present one, the widest first
	for _, b := range of {
		for len(around) > 0 && (len(around[0].from) != len(b.from) || around[len(around)-1].to < b.from) {
			around = around[:len(around)-1]
		}
		if n := len(around); n > 0 && around[n-1].to < b.to {
			a := around[n-1]
			c.fault(b.at, "", "range %s-%s overlaps %s-%s%s in part", b.from, b.to, a.from, a.to, at(a.at))
		}
		around = append(around, b)
	}
}

// prefixesOf are the prefixes that a rule stands for.
func prefixesOf(k *api.NumberRule) ([]string, span, error) {
	switch m := rangeForm.FindStringSubmatch(k.Prefix); {
	case len(k.Packed) > 0:
		of, err := unpackPrefixes(k.Packed)
		return of, span{}, err
	case m != nil:
		of, err := prefixtrie.Cover(m[1], m[2])
		if err != nil {
			return nil, span{}, fmt.Errorf("rule %q: %w", k.Prefix, err)
		}
		return of, span{from: m[1], to: m[2]}, nil
	case strings.Trim(k.Prefix, "0123456789") != "" || len(k.Prefix) > mostDigits:
		return nil, span{}, fmt.Errorf("rule %q: want a prefix of digits, or a range such as \"5145550000-5145559999\"",
			k.Prefix)
	}
	return []string{k.Prefix}, span{}, nil
}

// action compiles what a rule does; depth bounds questions in questions.
func (c *compiler) action(from string, x *api.NumberAction, depth int) action {
	var a action
	switch do := x.Do.(type) {
	case *api.NumberAction_Plan:
		if a.plan = c.t.plans[do.Plan]; a.plan == nil {
			c.fault(x, "plan", "plan: no plan %q", do.Plan)
		}
		c.leads[from] = append(c.leads[from], reference{do.Plan, x})
	case *api.NumberAction_Route:
		c.used["route "+do.Route] = true
		if a.route = c.t.routes[do.Route]; a.route == nil {
			c.fault(x, "route", "route: no route %q", do.Route)
		}
	case *api.NumberAction_Refuse:
		a.refuse = &Refusal{int(do.Refuse.GetCode()), do.Refuse.GetWhy()}
		if a.refuse.Code < 400 || a.refuse.Code > 699 {
			c.fault(x, "code", "code: want 400 to 699, got %d", a.refuse.Code)
		}
	case *api.NumberAction_Ask:
		q := do.Ask
		switch {
		case depth > 0:
			c.fault(x, "", "portability: asked for in what follows on portability")
		case !(q.GetWithinMs() >= 1 && q.GetWithinMs() <= 60000):
			c.fault(x, "", "portability: within: want 1 to 60000 ms, got %v", q.GetWithinMs())
		case q.Ported == nil || q.Same == nil || q.Silent == nil:
			c.fault(x, "", "portability: want ported, same and silent")
		default:
			a.ask = &question{
				silence: time.Duration(math.Round(q.WithinMs * 1e6)),
				ported:  c.action(from, q.Ported, 1),
				same:    c.action(from, q.Same, 1),
				silent:  c.action(from, q.Silent, 1),
			}
		}
	default:
		c.fault(x, "", "a rule without an action")
	}
	return a
}

// reach refuses loops, which no number could end, and plans that nothing leads to.
func (c *compiler) reach(plans []*api.NumberPlan, entry string) {
	const (
		open = 1 + iota
		done
	)
	state := map[string]int{}
	var walk func(name string, way []string)
	walk = func(name string, way []string) {
		state[name] = open
		if len(way) == mostSteps/2 {
			c.fault(c.leads[way[len(way)-1]][0].at, "plan", "plan: %d plans in a row are too many", len(way)+1)
			return
		}
		for _, l := range c.leads[name] {
			switch {
			case state[l.to] == open:
				c.fault(l.at, "plan", "loop: %s leads back to %s", strings.Join(append(way, name), " to "), l.to)
			case state[l.to] == 0 && c.t.plans[l.to] != nil:
				walk(l.to, append(way, name))
			}
		}
		state[name] = done
	}
	walk(entry, nil)
	for _, p := range plans {
		if state[p.Name] == 0 {
			c.fault(p, "", "plan %q is never reached from %q", p.Name, entry)
		}
	}
}
