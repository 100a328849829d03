package number

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"
	_ "time/tzdata" // zones also where the machine has none

	"cobaltpier/conf"
	"cobaltpier/digits"
)

// Load reads and compiles a table of HCL; every fault is told with file and line.
func Load(file string) (*Table, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("number table: %w", err)
	}
	return Parse(file, src)
}

// reader compiles a table.
type reader struct {
	t       *Table
	periods map[string]*Period
	days    map[string]map[string]bool
	zones   map[string]*time.Location
	leads   map[string][]lead // from plan to plan, for loops
	asks    map[string]bool
}

type lead struct {
	to string
	at *conf.Block
}

// Parse compiles a table that is at hand; name stands in the errors.
func Parse(name string, src []byte) (*Table, error) {
	b, err := conf.Parse(name, src)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(src)
	t := &Table{Name: b.Text("name", name), Version: uint64(b.Int("version", 0, 0, 1<<40)), Sum: hex.EncodeToString(sum[:8]),
		Country: b.Text("country", ""), plans: map[string]*plan{}, routes: map[string]*route{}}
	if strings.Trim(t.Country, "0123456789") != "" {
		b.Fault("country", "country: want digits, got %q", t.Country)
	}
	r := &reader{t: t, periods: map[string]*Period{}, days: map[string]map[string]bool{}, zones: map[string]*time.Location{}, leads: map[string][]lead{}}
	zone := r.zone(b, "zone", time.UTC)
	for _, c := range b.Blocks("days", 1) {
		r.days[c.Labels[0]] = r.dates(c)
	}
	for _, c := range b.Blocks("period", 1) {
		r.period(c, zone)
	}
	for _, c := range b.Blocks("route", 1) {
		r.route(c)
	}
	plans := b.Blocks("plan", 1)
	for _, c := range plans {
		if t.plans[c.Labels[0]] != nil {
			c.Fault("", "plan %q stands here twice", c.Labels[0])
		}
		t.plans[c.Labels[0]] = &plan{name: c.Labels[0]}
	}
	for _, c := range plans {
		r.plan(name, c)
	}
	entry := b.Text("entry", "start")
	t.entry = t.plans[entry]
	if t.entry == nil {
		b.Fault("entry", "entry: no plan %q", entry)
	} else {
		r.reach(plans, entry)
	}
	if err := b.Err(); err != nil {
		return nil, err
	}
	return t, nil
}

func (r *reader) zone(b *conf.Block, key string, other *time.Location) *time.Location {
	name := b.Text(key, "")
	if name == "" {
		return other
	}
	if z := r.zones[name]; z != nil {
		return z
	}
	z, err := time.LoadLocation(name)
	if err != nil {
		b.Fault(key, "%s: no time zone %q", key, name)
		return other
	}
	r.zones[name] = z
	return z
}

func (r *reader) dates(c *conf.Block) map[string]bool {
	of := map[string]bool{}
	for _, d := range c.Texts("dates") {
		if _, err := time.Parse(time.DateOnly, d); err != nil {
			c.Fault("dates", "dates: want days such as \"2026-12-25\", got %q", d)
		}
		of[d] = true
	}
	return of
}

var weekdays = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

func (r *reader) period(c *conf.Block, zone *time.Location) {
	p := &Period{Name: c.Labels[0], Zone: r.zone(c, "zone", zone), Except: map[string]bool{}, Only: map[string]bool{}, anyDays: true}
	for _, d := range c.Texts("days") {
		i := slices.Index(weekdays, d)
		if i < 0 {
			c.Fault("days", "days: want some of %s, got %q", strings.Join(weekdays, ", "), d)
			continue
		}
		p.Days[i], p.anyDays = true, false
	}
	p.From, p.To = r.minute(c, "from"), r.minute(c, "to")
	for key, into := range map[string]map[string]bool{"except": p.Except, "only": p.Only} {
		for _, n := range c.Texts(key) {
			if r.days[n] == nil {
				c.Fault(key, "%s: no days %q", key, n)
			}
			for d := range r.days[n] {
				into[d] = true
			}
		}
	}
	if r.periods[p.Name] != nil {
		c.Fault("", "period %q stands here twice", p.Name)
	}
	r.periods[p.Name] = p
}

func (r *reader) minute(c *conf.Block, key string) int {
	s := c.Text(key, "00:00")
	if s == "24:00" {
		return 0
	}
	t, err := time.Parse("15:04", s)
	if err != nil {
		c.Fault(key, "%s: want a time such as \"13:30\", got %q", key, s)
	}
	return t.Hour()*60 + t.Minute()
}

func (r *reader) route(c *conf.Block) {
	x := &route{name: c.Labels[0], skill: c.Text("skill", ""), customer: c.Text("customer", "")}
	for _, g := range c.Blocks("group", 1) {
		w := g.Num("weight", 1, 0, 1e9)
		x.choices = append(x.choices, choice{g.Labels[0], w})
		x.total += w
	}
	if len(x.choices) == 0 || x.total <= 0 {
		c.Fault("", "route %q: want at least one group \"NAME\" { weight = ... } with a weight above 0", x.name)
	}
	if r.t.routes[x.name] != nil {
		c.Fault("", "route %q stands here twice", x.name)
	}
	r.t.routes[x.name] = x
}

var rangeForm = regexp.MustCompile(`^([0-9]+)-([0-9]+)$`)

func (r *reader) plan(file string, c *conf.Block) {
	p := r.t.plans[c.Labels[0]]
	byPrefix := map[string]int{}
	ranges := map[string]*conf.Block{}
	var of []digits.Prefix
	for _, b := range c.Blocks("rule", 1) {
		r.t.size++
		x := &rule{strip: b.Int("strip", 0, 0, mostDigits), add: b.Text("add", ""), line: b.Where()}
		if strings.Trim(x.add, "0123456789") != "" {
			b.Fault("add", "add: want digits, got %q", x.add)
		}
		if w := b.Text("when", ""); w != "" {
			if x.when = r.periods[w]; x.when == nil {
				b.Fault("when", "when: no period %q", w)
			}
		}
		x.then = r.action(p.name, b, "")
		prefixes := []string{strings.TrimPrefix(b.Labels[0], "+")}
		if m := rangeForm.FindStringSubmatch(prefixes[0]); m != nil {
			var err error
			if prefixes, err = digits.Cover(m[1], m[2]); err != nil {
				b.Fault("", "rule %q: %v", b.Labels[0], err)
				continue
			}
		} else if strings.Trim(prefixes[0], "0123456789") != "" {
			b.Fault("", "rule %q: want a prefix of digits, or a range such as \"5145550000-5145559999\"", b.Labels[0])
			continue
		}
		for _, d := range prefixes {
			y := *x
			y.prefix = d
			if x.strip > len(d) && x.strip > 0 && len(prefixes) == 1 && d != "" {
				b.Fault("strip", "strip: %d digits are more than the prefix %q has", x.strip, d)
			}
			i, known := byPrefix[d]
			if !known {
				i = len(p.sets)
				byPrefix[d] = i
				p.sets = append(p.sets, nil)
				of = append(of, digits.Prefix{Digits: d, Value: uint32(i)})
				ranges[d] = b
			}
			if n := len(p.sets[i]); n > 0 && p.sets[i][n-1].when == nil {
				b.Fault("", "rule %q is never reached: %s of the same prefix %s always holds", b.Labels[0], p.sets[i][n-1].line, d)
			}
			p.sets[i] = append(p.sets[i], &y)
		}
	}
	trie, err := digits.New(of)
	if err != nil {
		c.Fault("", "plan %q: %v", p.name, err)
		return
	}
	p.trie = trie
}

// action reads what a rule does, or what an end of a question leads to.
func (r *reader) action(from string, b *conf.Block, of string) action {
	var a action
	n := 0
	if name := b.Text("plan", ""); name != "" {
		n++
		if a.plan = r.t.plans[name]; a.plan == nil {
			b.Fault("plan", "plan: no plan %q", name)
		}
		r.leads[from] = append(r.leads[from], lead{name, b})
	}
	if name := b.Text("route", ""); name != "" {
		n++
		if a.route = r.t.routes[name]; a.route == nil {
			b.Fault("route", "route: no route %q", name)
		}
	}
	if why := b.Text("refuse", ""); why != "" {
		n++
		a.refuse = &Refusal{b.Int("code", 404, 400, 699), why}
	} else if b.Has("code") {
		b.Fault("code", "code: goes with refuse only")
	}
	if of == "" {
		for _, q := range b.Blocks("portability", 0) {
			n++
			a.ask = &question{silence: time.Duration(q.Ms("within", 500, 1, 60000) * 1e6)}
			for kind, to := range map[string]*action{"ported": &a.ask.ported, "same": &a.ask.same, "silent": &a.ask.silent} {
				if ends := q.Blocks(kind, 0); len(ends) == 1 {
					*to = r.action(from, ends[0], kind)
				} else {
					q.Fault("", "portability: want one %s { ... }: what is done then", kind)
				}
			}
		}
	}
	if n != 1 {
		b.Fault("", "want one of plan, route, refuse%s, got %d", map[bool]string{true: ", portability { ... }", false: ""}[of == ""], n)
	}
	return a
}

// reach refuses loops, which no number could end, and plans that nothing leads to.
func (r *reader) reach(plans []*conf.Block, entry string) {
	const (
		open = 1 + iota
		done
	)
	state := map[string]int{}
	var walk func(name string, way []string)
	walk = func(name string, way []string) {
		state[name] = open
		for _, l := range r.leads[name] {
			switch {
			case state[l.to] == open:
				l.at.Fault("plan", "loop: %s leads back to %s", strings.Join(append(way, name), " to "), l.to)
			case state[l.to] == 0 && r.t.plans[l.to] != nil:
				walk(l.to, append(way, name))
			}
		}
		state[name] = done
	}
	walk(entry, nil)
	for _, c := range plans {
		if state[c.Labels[0]] == 0 {
			c.Fault("", "plan %q is never reached from %q", c.Labels[0], entry)
		}
	}
}
