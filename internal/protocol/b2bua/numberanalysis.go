package b2bua

import (
	"strings"
	"time"

	"cobaltpier/internal/decision/enum"
	"cobaltpier/internal/decision/numberplan"
	"cobaltpier/internal/detrand"
)

// numberAnalysis is the state of the analysis of a called number. A call keeps its number table until its final
// answer, even if new calls get another one meanwhile.
type numberAnalysis struct {
	analysis      *numberplan.Analysis
	lookupNumber  string // the number to be looked up
	lookupTimeout float64
	cancelLookup  func() // nil if no look-up is pending
	tableVersion  uint64
	routeName     string
	params        string // portability parameters of the number (RFC 4694)
}

// SetTable sets the number table of new calls, or none if t is nil. Pending calls keep theirs.
func (a *Agent) SetTable(t *numberplan.Table) { a.table = t }

// OldTables returns the number of older tables in use, and of calls without a final answer that use them.
func (a *Agent) OldTables() (old, calls int) {
	for t, n := range a.tables {
		if t != a.table {
			old++
			calls += n
		}
	}
	return
}

// startAnalysis begins the analysis of a call's number. It returns false if it has answered the call. A number that
// the table refuses is answered here without keeping state. A look-up starts only after admission, so that a flood of
// shed calls causes no DNS queries.
func (s *session) startAnalysis(user, params string) bool {
	a := s.agent
	p, err := enum.Params(params)
	if err != nil {
		s.respond(400, "Bad Portability Parameters")
		return false
	}
	a.drawCount++
	analysis, outcome := a.table.Begin(
		numberplan.Call{
			Dialled:  user,
			LookedUp: p.LookupDone,
			Routing:  p.Routing,
			Carrier:  p.Carrier,
			At:       a.config.Epoch.Add(time.Duration(a.Now * float64(time.Millisecond))),
			Draw:     detrand.Float64(a.ids.Seed, a.drawCount),
		},
	)
	s.number.analysis, s.number.tableVersion = analysis, analysis.Table.Version
	a.tables[analysis.Table]++
	if outcome.Refusal != nil {
		a.Counts.Unrouted++
		s.releaseTable()
		s.respond(outcome.Refusal.Code, reasonPhrase(outcome.Refusal.Why))
		return false
	}
	if outcome.Route != nil {
		if !s.applyRoute(outcome.Route) {
			s.releaseTable()
			s.respond(500, "Server Internal Error")
			return false
		}
		return true
	}
	s.number.lookupNumber, s.number.lookupTimeout = outcome.LookupNumber, float64(outcome.LookupTimeout)/1e6
	return true
}

// startLookup looks up the number for the analysis, within a share of the call's remaining timeout.
func (s *session) startLookup() {
	a := s.agent
	timeout := min(s.number.lookupTimeout, a.config.LookupShare*(s.Deadline-a.Now))
	answered := false
	done := func(now float64, found numberplan.LookupResult) {
		answered = true
		s.number.cancelLookup = nil
		if s.Finished {
			return
		}
		a.Now, a.sip.Now = now, now
		s.onAnalysisEnd(s.number.analysis.Resume(found))
	}
	if a.config.NumberLookup == nil || timeout <= 0 {
		done(a.Now, numberplan.LookupResult{Answer: numberplan.NoAnswer})
		return
	}
	a.Counts.Lookups++
	stop := a.config.NumberLookup.Resolve(a.Now, s.number.lookupNumber, timeout, done)
	if !answered {
		s.number.cancelLookup = stop
	}
}

// onAnalysisEnd handles the outcome of an analysis that needed a look-up: it passes the call to the policy or answers
// it.
func (s *session) onAnalysisEnd(outcome numberplan.Outcome) {
	a := s.agent
	switch {
	case outcome.Refusal != nil:
		a.Counts.Unrouted++
		s.respond(outcome.Refusal.Code, reasonPhrase(outcome.Refusal.Why))
	case outcome.Route == nil || !s.applyRoute(outcome.Route):
		a.Fail(s.Call)
	default:
		s.Destination = a.Endpoints.ByDestination(s.DestinationID)
		s.PassToRouter()
	}
}

// applyRoute copies a route into the call. It returns false if this agent lacks the route's trunk group, class or
// tenant.
func (s *session) applyRoute(r *numberplan.Route) bool {
	a := s.agent
	g := a.groupsByName[r.Group]
	if g == nil {
		return false
	}
	if r.Class != "" {
		class := a.Classes[r.Class]
		if class == nil {
			return false
		}
		s.Class = class
		s.SetDeadline()
	}
	if r.Tenant != "" {
		if s.Tenant = a.Tenants[r.Tenant]; s.Tenant == nil {
			return false
		}
	}
	s.CalledNumber, s.DestinationID, s.number.routeName = r.Number, g.DestinationID, r.Name
	if r.LookedUp {
		s.number.params = ";npdi"
		if r.Routing != "" {
			s.number.params += ";rn=" + r.Routing
		}
	}
	if r.Carrier != "" {
		s.number.params += ";cic=" + r.Carrier
	}
	return true
}

// releaseTable drops the call's reference to its number table and cancels a pending look-up.
func (s *session) releaseTable() {
	number := &s.number
	if number.cancelLookup != nil {
		number.cancelLookup()
		number.cancelLookup = nil
	}
	if number.analysis == nil {
		return
	}
	t := number.analysis.Table
	if s.agent.tables[t]--; s.agent.tables[t] == 0 {
		delete(s.agent.tables, t)
	}
	number.analysis = nil
}

// reasonPhrase turns a text of a table into a reason phrase (RFC 3261 7.2): one line of at most 200 bytes.
func reasonPhrase(s string) string {
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
