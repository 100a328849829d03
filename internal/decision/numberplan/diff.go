package numberplan

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"cobaltpier/api"
)

// Change is one difference between two tables.
type Change struct {
	Op   string // "+": added, "-": removed, "~": changed
	Kind string // table, days, period, route or rule
	Name string
	Old  string // what it did; "" if it was added
	New  string // what it does; "" if it was removed
}

// String formats the change as one line.
func (c Change) String() string {
	switch c.Op {
	case "+":
		return fmt.Sprintf("+ %s %s: %s", c.Kind, c.Name, c.New)
	case "-":
		return fmt.Sprintf("- %s %s: %s", c.Kind, c.Name, c.Old)
	}
	return fmt.Sprintf("~ %s %s: %s, was %s", c.Kind, c.Name, c.New, c.Old)
}

// Diff returns the changes from table a to table b, by what they do and not by how they are written: a range counts
// as the prefixes that it covers, and the place where a rule is written does not matter.
func Diff(a, b *api.NumberTable) []Change {
	changes := compareByName("table", describeTable(a), describeTable(b))
	changes = append(changes, compareByName("days", describeDays(a), describeDays(b))...)
	changes = append(changes, compareByName("period", describePeriods(a), describePeriods(b))...)
	changes = append(changes, compareByName("route", describeRoutes(a), describeRoutes(b))...)
	return append(changes, compareByName("rule", describeRules(a), describeRules(b))...)
}

func describeTable(t *api.NumberTable) []description {
	return []description{{"country", t.Country}, {"entry", t.Entry}}
}

func describeDays(t *api.NumberTable) (out []description) {
	for _, days := range t.Days {
		out = append(out, description{days.Name, strings.Join(days.Dates, " ")})
	}
	return out
}

func describePeriods(t *api.NumberTable) (out []description) {
	for _, p := range t.Periods {
		names := make([]string, len(p.Weekdays))
		for i, day := range p.Weekdays {
			names[i] = weekdays[((day%7)+7)%7]
		}
		text := fmt.Sprintf("%s %02d:%02d-%02d:%02d %s except %v only %v", strings.Join(names, ","),
			p.From/60, p.From%60, p.To/60, p.To%60, p.Zone, p.Except, p.Only)
		out = append(out, description{p.Name, strings.TrimSpace(text)})
	}
	return out
}

func describeRoutes(t *api.NumberTable) (out []description) {
	for _, r := range t.Routes {
		groups := []string{}
		for _, choice := range r.Choices {
			groups = append(groups, fmt.Sprintf("%s %v", choice.Group, choice.Weight))
		}
		text := fmt.Sprintf("skill %q customer %q groups %s", r.Skill, r.Customer, strings.Join(groups, ", "))
		out = append(out, description{r.Name, text})
	}
	return out
}

func describeRules(t *api.NumberTable) (out []description) {
	for _, p := range t.Plans {
		out = append(out, describePlanRules(p)...)
	}
	return out
}

// description is a named part of a table with everything that it does.
type description struct{ name, text string }

// describePlanRules returns a plan's prefixes, each with everything that its rules do.
func describePlanRules(p *api.NumberPlan) []description {
	type part struct {
		prefix, text string
		order        int
	}
	var all []part
	for i, r := range p.Rules {
		prefixes, _, err := expandPrefixes(r)
		if err != nil { // reported when the table is compiled
			prefixes = []string{r.Prefix}
		}
		text := ""
		if r.When != "" {
			text = "when " + r.When + " "
		}
		if r.Strip > 0 || r.Add != "" {
			text += fmt.Sprintf("strip %d add %q ", r.Strip, r.Add)
		}
		text += describeAction(r.Then)
		for _, prefix := range prefixes {
			all = append(all, part{prefix, text, i})
		}
	}
	slices.SortFunc(
		all,
		func(a, b part) int { return cmp.Or(strings.Compare(a.prefix, b.prefix), cmp.Compare(a.order, b.order)) },
	)
	var descriptions []description
	for i := 0; i < len(all); {
		j := i + 1
		text := all[i].text
		for ; j < len(all) && all[j].prefix == all[i].prefix; j++ {
			text += "; " + all[j].text
		}
		descriptions = append(descriptions, description{p.Name + "/" + all[i].prefix, text})
		i = j
	}
	return descriptions
}

func describeAction(a *api.NumberAction) string {
	switch do := a.GetDo().(type) {
	case *api.NumberAction_Plan:
		return "plan " + do.Plan
	case *api.NumberAction_Route:
		return "route " + do.Route
	case *api.NumberAction_Refuse:
		return fmt.Sprintf("refuse %d %s", do.Refuse.GetCode(), do.Refuse.GetWhy())
	case *api.NumberAction_Ask:
		q := do.Ask
		return fmt.Sprintf(
			"portability within %v ms: ported %s, same %s, silent %s",
			q.GetWithinMs(),
			describeAction(q.GetPorted()),
			describeAction(q.GetSame()),
			describeAction(q.GetSilent()),
		)
	}
	return "nothing"
}

// compareByName returns the differences between two lists of descriptions, matched by name.
func compareByName(kind string, a, b []description) []Change {
	byName := func(x, y description) int { return strings.Compare(x.name, y.name) }
	slices.SortStableFunc(a, byName)
	slices.SortStableFunc(b, byName)
	var out []Change
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && a[0].name < b[0].name:
			out = append(out, Change{"-", kind, a[0].name, a[0].text, ""})
			a = a[1:]
		case len(a) == 0 || b[0].name < a[0].name:
			out = append(out, Change{"+", kind, b[0].name, "", b[0].text})
			b = b[1:]
		default:
			if a[0].text != b[0].text {
				out = append(out, Change{"~", kind, a[0].name, a[0].text, b[0].text})
			}
			a, b = a[1:], b[1:]
		}
	}
	return out
}
