package numberplan

import (
	"fmt"
	"slices"
	"strings"
	_ "time/tzdata" // for machines without a time zone database
)

// Names are the classes, tenants and trunk groups that a table refers to or that a gateway has.
type Names struct {
	Classes, Tenants, Groups []string
}

// Names returns the classes, tenants and trunk groups that a table's routes refer to, sorted.
func (t *Table) Names() Names {
	var n Names
	for _, r := range t.routes {
		if r.skill != "" {
			n.Classes = append(n.Classes, r.skill)
		}
		if r.customer != "" {
			n.Tenants = append(n.Tenants, r.customer)
		}
		for _, c := range r.choices {
			n.Groups = append(n.Groups, c.group)
		}
	}
	for _, list := range []*[]string{&n.Classes, &n.Tenants, &n.Groups} {
		slices.Sort(*list)
		*list = slices.Compact(*list)
	}
	return n
}

// Fits returns an error that lists all names that the table refers to and the gateway does not have.
func (t *Table) Fits(available Names) error {
	var missing []string
	want := t.Names()
	for _, list := range []struct {
		kind      string
		want, has []string
	}{
		{"skill", want.Classes, available.Classes},
		{"customer", want.Tenants, available.Tenants},
		{"trunk group", want.Groups, available.Groups},
	} {
		for _, name := range list.want {
			if !slices.Contains(list.has, name) {
				missing = append(missing, fmt.Sprintf("%s %q", list.kind, name))
			}
		}
	}
	if len(missing) > 0 {
		return fmt.Errorf("number table %s: not configured on this gateway: %s", t.Name, strings.Join(missing, ", "))
	}
	return nil
}
