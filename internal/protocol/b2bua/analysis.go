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
	analysis      *numberplan.Analysis
	lookupNumber  string // the number to be looked up
	lookupTimeout float64
	cancelLookup  func() // takes the look-up back
	tableVersion  uint64
	routeName     string
	params        string // what goes on with the number (RFC 4694)
}

// SetTable gives new calls another table, nil: none. Calls that are held keep theirs.
func (e *Agent) SetTable(t *numberplan.Table) { e.table = t }

// Tables says how many calls without a final answer carry each table but the present one.
func (e *Agent) Tables() (old, contacts int) {
	for t, n := range e.tables {
		if t != e.table {
			old++
			contacts += n
		}
	}
	return
}

// startAnalysis begins the analysis of a call's number. What the table refuses at once is answered here and needs no
// state; a question goes out only when the intake has taken the call, so that a flood asks for nothing.
func (k *session) startAnalysis(user, params string) bool {
	e := k.agent
	p, err := enum.Params(params)
	if err != nil {
		k.respond(400, "Bad Portability Parameters")
		return false
	}
	e.draws++
	a, o := e.table.Begin(
		numberplan.Call{
			Dialled: user,
			Looked:  p.Looked,
			Routing: p.Routing,
			Carrier: p.Carrier,
			At:      e.config.Epoch.Add(time.Duration(e.Now * float64(time.Millisecond))),
			Draw:    detrand.Float64(e.names.Seed, e.draws),
		},
	)
	k.number.analysis, k.number.tableVersion = a, a.Table.Version
	e.tables[a.Table]++
	if o.Refusal != nil {
		e.Counts.Unrouted++
		k.releaseTable()
		k.respond(o.Refusal.Code, phrase(o.Refusal.Why))
		return false
	}
	if o.Route != nil {
		if !k.applyRoute(o.Route) {
			k.releaseTable()
			k.respond(500, "Server Internal Error")
			return false
		}
		return true
	}
	k.number.lookupNumber, k.number.lookupTimeout = o.Ask, float64(o.Within)/1e6
	return true
}

// startLookup asks what the analysis wants to know, for no longer than a part of what is left of the caller's timeout.
func (k *session) startLookup() {
	e := k.agent
	within := min(k.number.lookupTimeout, e.config.LookupShare*(k.Deadline-e.Now))
	over := false
	done := func(now float64, found numberplan.Found) {
		over = true
		k.number.cancelLookup = nil
		if k.Finished {
			return
		}
		e.Now, e.sip.Now = now, now
		k.onAnalysisEnd(k.number.analysis.Answered(found))
	}
	if e.config.NumberLookup == nil || within <= 0 {
		done(e.Now, numberplan.Found{Answer: numberplan.Silent})
		return
	}
	e.Counts.Lookups++
	stop := e.config.NumberLookup.Resolve(e.Now, k.number.lookupNumber, within, done)
	if !over {
		k.number.cancelLookup = stop
	}
}

// onAnalysisEnd takes the end of an analysis that had a question: the module gets the call, or the caller its answer.
func (k *session) onAnalysisEnd(o numberplan.Outcome) {
	e := k.agent
	switch {
	case o.Refusal != nil:
		e.Counts.Unrouted++
		k.respond(o.Refusal.Code, phrase(o.Refusal.Why))
	case o.Route == nil || !k.applyRoute(o.Route):
		e.Fail(k.Call)
	default:
		k.Destination = e.Endpoints.ByDestination(k.DestinationID)
		k.PassToRouter()
	}
}

// applyRoute puts a route's fields into the call; false: it names what this edge does not have.
func (k *session) applyRoute(r *numberplan.Route) bool {
	e := k.agent
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
	k.CalledNumber, k.DestinationID, k.number.routeName = r.Number, g.DestinationID, r.Name
	if r.Looked {
		k.number.params = ";npdi"
		if r.Routing != "" {
			k.number.params += ";rn=" + r.Routing
		}
	}
	if r.Carrier != "" {
		k.number.params += ";cic=" + r.Carrier
	}
	return true
}

// releaseTable ends a call's hold of its table and takes back what it asked.
func (k *session) releaseTable() {
	r := &k.number
	if r.cancelLookup != nil {
		r.cancelLookup()
		r.cancelLookup = nil
	}
	if r.analysis == nil {
		return
	}
	t := r.analysis.Table
	if k.agent.tables[t]--; k.agent.tables[t] == 0 {
		delete(k.agent.tables, t)
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
