package b2bua

import (
	"strings"
	"time"

	"cobaltpier/internal/decision/enum"
	"cobaltpier/internal/decision/numberplan"
	"cobaltpier/internal/detrand"
)

// numberAnalysis is what a number's analysis has come to. A call carries one table from its first digit to its final
// answer, whatever table new calls get meanwhile.
type numberAnalysis struct {
	analysis *numberplan.Analysis
	waits    string // the number to be looked up
	within   float64
	stop     func() // takes the look-up back
	version  uint64
	name     string
	params   string // what goes on with the number (RFC 4694)
}

// Use gives new calls another table, nil: none. Calls that are held keep theirs.
func (e *Edge) Use(t *numberplan.Table) { e.table = t }

// Tables says how many calls without a final answer carry each table but the present one.
func (e *Edge) Tables() (old, contacts int) {
	for t, n := range e.tables {
		if t != e.table {
			old++
			contacts += n
		}
	}
	return
}

// analyse begins the analysis of a call's number. What the table refuses at once is answered here and needs no state;
// a question goes out only when the intake has taken the call, so that a flood asks for nothing.
func (k *held) analyse(user, params string) bool {
	e := k.edge
	p, err := enum.Params(params)
	if err != nil {
		k.refuse(400, "Bad Portability Parameters")
		return false
	}
	e.drawn++
	a, o := e.table.Begin(numberplan.Call{Dialled: user, Looked: p.Looked, Routing: p.Routing, Carrier: p.Carrier, At: e.cfg.Epoch.Add(time.Duration(e.Now * float64(time.Millisecond))),
		Draw: detrand.Float64(e.names.Seed, e.drawn)})
	k.route.analysis, k.route.version = a, a.Table.Version
	e.tables[a.Table]++
	if o.Refusal != nil {
		e.Counts.Unrouted++
		k.letGo()
		k.refuse(o.Refusal.Code, phrase(o.Refusal.Why))
		return false
	}
	if o.Route != nil {
		if !k.routed(o.Route) {
			k.letGo()
			k.refuse(500, "Server Internal Error")
			return false
		}
		return true
	}
	k.route.waits, k.route.within = o.Ask, float64(o.Within)/1e6
	return true
}

// lookUp asks what the analysis wants to know, for no longer than a part of what is left of the caller's timeout.
func (k *held) lookUp() {
	e := k.edge
	within := min(k.route.within, e.cfg.Share*(k.Deadline-e.Now))
	over := false
	done := func(now float64, found numberplan.Found) {
		over = true
		k.route.stop = nil
		if k.Finished {
			return
		}
		e.Now, e.sip.Now = now, now
		k.goOn(k.route.analysis.Answered(found))
	}
	if e.cfg.Look == nil || within <= 0 {
		done(e.Now, numberplan.Found{Answer: numberplan.Silent})
		return
	}
	e.Counts.Lookups++
	stop := e.cfg.Look.Ask(e.Now, k.route.waits, within, done)
	if !over {
		k.route.stop = stop
	}
}

// goOn takes the end of an analysis that had a question: the module gets the call, or the caller its answer.
func (k *held) goOn(o numberplan.Outcome) {
	e := k.edge
	switch {
	case o.Refusal != nil:
		e.Counts.Unrouted++
		k.refuse(o.Refusal.Code, phrase(o.Refusal.Why))
	case o.Route == nil || !k.routed(o.Route):
		e.Fail(k.Call)
	default:
		k.Destination = e.Endpoints.ByDestination(k.DestinationID)
		k.PassToRouter()
	}
}

// routed puts a route's fields into the call; false: it names what this edge does not have.
func (k *held) routed(r *numberplan.Route) bool {
	e := k.edge
	g := e.byName[r.Group]
	if g == nil {
		return false
	}
	if r.Skill != "" {
		s := e.Classes[r.Skill]
		if s == nil {
			return false
		}
		k.Class = s
		k.SetDeadline()
	}
	if r.Customer != "" {
		if k.Tenant = e.Tenants[r.Customer]; k.Tenant == nil {
			return false
		}
	}
	k.CalledNumber, k.DestinationID, k.route.name = r.Number, g.Pool, r.Name
	if r.Looked {
		k.route.params = ";npdi"
		if r.Routing != "" {
			k.route.params += ";rn=" + r.Routing
		}
	}
	if r.Carrier != "" {
		k.route.params += ";cic=" + r.Carrier
	}
	return true
}

// letGo ends a call's hold of its table and takes back what it asked.
func (k *held) letGo() {
	r := &k.route
	if r.stop != nil {
		r.stop()
		r.stop = nil
	}
	if r.analysis == nil {
		return
	}
	t := r.analysis.Table
	if k.edge.tables[t]--; k.edge.tables[t] == 0 {
		delete(k.edge.tables, t)
	}
	r.analysis = nil
}

// phrase makes a reason phrase (RFC 3261 7.2) of a table's text: one line.
func phrase(s string) string {
	s = strings.Map(func(c rune) rune {
		if c < ' ' || c == 127 {
			return ' '
		}
		return c
	}, s)
	if len(s) > 200 {
		s = strings.ToValidUTF8(s[:200], "")
	}
	return s
}
