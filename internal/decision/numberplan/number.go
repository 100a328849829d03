// Package numberplan analyzes dialled numbers. Plans that refer to each other lead a number to a route or a refusal,
// by longest prefix, time of day, portability and weights. A call uses one table from its first digit to its end,
// however often the gateway's table is replaced meanwhile. The package does no I/O and reads no clock: a step that
// needs a portability look-up returns the number to look up, and the analysis resumes with the answer or the lack of
// one.
package numberplan

import (
	"fmt"
	"strings"
	"time"

	"cobaltpier/internal/decision/prefixtrie"
)

//tally:decisions

// maxSteps bounds every analysis. A compiled table has no loops, so the limit is never reached.
const maxSteps = 64

// maxDigits is the longest number accepted: E.164 allows 15 digits; dialled prefixes and routing numbers add to them.
const maxDigits = 40

// Table is a compiled number table. It is never modified.
type Table struct {
	Name    string
	Version uint64
	Sum     string // SHA-256 of its compact form, in hex
	Country string // country code, put in front of national numbers
	// Warnings name parts that do no harm but are probably unintended.
	Warnings []string
	entry    *plan
	plans    map[string]*plan
	routes   map[string]*route
	size     int
}

// Size returns the number of rules; a range or packed rule counts once for each of its prefixes.
func (t *Table) Size() int { return t.size }

type plan struct {
	name     string
	trie     *prefixtrie.Trie
	ruleSets [][]*rule // indexed by the trie's values: the rules of one prefix, in order
}

type rule struct {
	when     *Period // nil: always
	strip    int
	add      string
	then     action
	position string // where the rule is written, for explanations
}

// action is what a rule does; exactly one field is set.
type action struct {
	plan   *plan
	route  *route
	refuse *Refusal
	lookup *lookup
}

// lookup is a portability look-up and the action for each of its results.
type lookup struct {
	ported    action // continues with the routing number in place of the number
	notPorted action
	noAnswer  action // no answer in time
	timeout   time.Duration
}

type route struct {
	name     string
	skill    string
	customer string
	choices  []choice
	total    float64
}

type choice struct {
	group  string
	weight float64
}

// Refusal ends an analysis without a route.
type Refusal struct {
	Code int // SIP status code
	Why  string
}

// Route is where a call is sent.
type Route struct {
	Name     string
	Class    string // "": the one that the caller asked for
	Tenant   string // "": that of the caller
	Group    string // trunk group of the destination (RFC 4904)
	Number   string // the called number, as it is sent on
	Routing  string // the routing number; empty if portability was not looked up or the number is not ported
	LookedUp bool   // portability was looked up (RFC 4694 npdi)
	Carrier  string // the carrier that serves the number (RFC 4694 cic); empty if unknown
}

// Outcome is the result of an analysis, or the look-up that it waits for. One of Route, Refusal and
// LookupNumber is set.
type Outcome struct {
	Route         *Route
	Refusal       *Refusal
	LookupNumber  string // the number to look up
	LookupTimeout time.Duration
}

// Answer is the kind of result of a portability look-up.
type Answer int

// The results of a portability look-up.
const (
	NotPorted Answer = iota // also: the number does not exist
	Ported                  // with a routing number (RFC 4694 rn)
	NoAnswer                // no answer in time, or an error
)

// LookupResult is the result of a portability look-up.
type LookupResult struct {
	Answer  Answer
	Routing string // if Ported: the routing number (RFC 4694 rn)
	Carrier string // the carrier (RFC 4694 cic); empty if unknown
}

// Analysis is the state of one call's number analysis.
type Analysis struct {
	Table    *Table
	Steps    []string // each step with its reason, if Call.Explain is set
	number   string   // what rules match: the called number, or its routing number once that is known
	called   string   // the called number, set once number holds its routing number
	at       time.Time
	draw     float64
	next     action
	pending  *lookup
	carrier  string
	noAnswer bool // the look-up had no answer
	lookedUp bool // portability is looked up only once (RFC 4694 npdi)
	steps    int
	explain  bool
}

// Normalize reduces a dialled number to digits. "+" and "00" begin an international number. Any other number loses a
// leading 0 and gets the country code in front unless it begins with that. Spaces, dashes, dots and parentheses are
// skipped; any other character is an error.
func Normalize(dialled, country string) (string, error) {
	var b strings.Builder
	plus := false
	for i, c := range strings.TrimSpace(dialled) {
		switch {
		case c >= '0' && c <= '9':
			b.WriteRune(c)
		case c == '+' && i == 0:
			plus = true
		case strings.ContainsRune(" -.()", c):
		default:
			return "", fmt.Errorf("number %q: %q is no digit", dialled, c)
		}
	}
	n := b.String()
	switch {
	case n == "":
		return "", fmt.Errorf("number %q: no digits", dialled)
	case len(n) > maxDigits:
		return "", fmt.Errorf("number: %d digits are too many", len(n))
	case plus:
		return n, nil
	case strings.HasPrefix(n, "00") && len(n) > 2:
		return n[2:], nil
	case country != "" && strings.HasPrefix(n, "0"):
		return country + n[1:], nil
	case country != "" && !strings.HasPrefix(n, country):
		return country + n, nil
	}
	return n, nil
}

// Call is what is known of a call when the analysis of its number begins.
type Call struct {
	Dialled  string
	LookedUp bool   // an earlier hop looked up portability (RFC 4694 npdi)
	Routing  string // the routing number that this look-up found; empty if none
	Carrier  string // the carrier that came with it
	At       time.Time
	Draw     float64 // random, from 0 to 1, for the choice by weight
	Explain  bool    // record the steps
}

// Begin starts the analysis of a call's number and returns it with its first outcome.
func (t *Table) Begin(c Call) (*Analysis, Outcome) {
	a := &Analysis{
		Table:    t,
		at:       c.At,
		draw:     c.Draw,
		lookedUp: c.LookedUp,
		carrier:  c.Carrier,
		explain:  c.Explain,
		next:     action{plan: t.entry},
	}
	n, err := Normalize(c.Dialled, t.Country)
	if err != nil {
		a.addStep("%v", err)
		return a, Outcome{Refusal: &Refusal{484, err.Error()}}
	}
	a.number = n
	a.addStep("%q is %s", c.Dialled, n)
	if c.LookedUp && c.Routing != "" {
		rn, err := Normalize(c.Routing, t.Country)
		if err != nil {
			a.addStep("routing number: %v", err)
			return a, Outcome{Refusal: &Refusal{484, "routing " + err.Error()}}
		}
		a.called, a.number = n, rn
		a.addStep("its routing number is %s", rn)
	}
	return a, a.run()
}

// Resume resumes the analysis with the result of its look-up. An invalid routing number counts as no answer.
func (a *Analysis) Resume(found LookupResult) Outcome {
	answer, routing := found.Answer, found.Routing
	pending := a.pending
	if pending == nil {
		return Outcome{Refusal: &Refusal{500, "nothing was asked"}}
	}
	a.pending = nil
	if answer == Ported {
		n, err := Normalize(routing, a.Table.Country)
		if err != nil {
			answer = NoAnswer
			a.addStep("routing number: %v", err)
		} else {
			a.called, a.number = a.number, n
		}
	}
	if answer != NoAnswer {
		a.carrier = found.Carrier
	}
	switch answer {
	case Ported:
		a.addStep("ported: %s", a.number)
		a.next = pending.ported
	case NotPorted:
		a.addStep("not ported")
		a.next = pending.notPorted
	default:
		a.addStep("no answer")
		a.noAnswer = true
		a.next = pending.noAnswer
	}
	return a.run()
}

func (a *Analysis) addStep(format string, args ...any) {
	if a.explain {
		a.Steps = append(a.Steps, fmt.Sprintf(format, args...))
	}
}

// run applies actions until one ends the analysis or needs a look-up.
func (a *Analysis) run() Outcome {
	for ; a.steps < maxSteps; a.steps++ {
		switch current := a.next; {
		case current.refuse != nil:
			a.addStep("refused: %d %s", current.refuse.Code, current.refuse.Why)
			return Outcome{Refusal: current.refuse}
		case current.route != nil:
			return Outcome{Route: a.buildRoute(current.route)}
		case current.lookup != nil:
			if a.lookedUp {
				a.addStep("portability was looked up before")
				a.next = current.lookup.notPorted
				continue
			}
			a.lookedUp, a.pending = true, current.lookup
			a.addStep("asks for the portability of %s", a.number)
			return Outcome{LookupNumber: a.number, LookupTimeout: current.lookup.timeout}
		case current.plan != nil:
			if !a.match(current.plan) {
				a.addStep("plan %s: nothing fits %s", current.plan.name, a.number)
				return Outcome{Refusal: &Refusal{404, "no rule for this number"}}
			}
		default:
			return Outcome{Refusal: &Refusal{500, "a rule without an action"}}
		}
	}
	return Outcome{Refusal: &Refusal{500, "too many steps"}}
}

// match applies the first rule that is in force at the time of the call, of the longest prefix that has one. It
// returns false if there is none, or if the rule makes the number too long.
func (a *Analysis) match(p *plan) bool {
	for n := len(a.number); n >= 0; {
		set, length, ok := p.trie.Find(a.number[:n])
		if !ok {
			return false
		}
		for _, candidate := range p.ruleSets[set] {
			prefix := a.number[:length]
			if candidate.when != nil && !candidate.when.Holds(a.at) {
				a.addStep("plan %s, prefix %s (%s): not now, %s", p.name, prefix, candidate.position, candidate.when.Name)
				continue
			}
			a.number = candidate.add + a.number[min(candidate.strip, len(a.number)):]
			a.addStep("plan %s, prefix %s (%s): %s", p.name, prefix, candidate.position, a.number)
			a.next = candidate.then
			return len(a.number) <= maxDigits
		}
		n = length - 1
	}
	return false
}

// buildRoute returns the route of the call, with one of its trunk groups chosen by weight.
func (a *Analysis) buildRoute(r *route) *Route {
	out := &Route{
		Name:     r.name,
		Class:    r.skill,
		Tenant:   r.customer,
		Number:   "+" + a.number,
		LookedUp: a.lookedUp && !a.noAnswer,
		Carrier:  a.carrier,
	}
	if a.called != "" {
		out.Number, out.Routing = "+"+a.called, "+"+a.number
	}
	remaining := a.draw * r.total
	for _, c := range r.choices {
		out.Group = c.group
		if remaining -= c.weight; remaining < 0 {
			break
		}
	}
	a.addStep("route %s: %s, skill %q, customer %q", r.name, out.Group, r.skill, r.customer)
	return out
}

// Period is a recurring time of the week in a time zone.
type Period struct {
	Name    string
	Zone    *time.Location
	Days    [7]bool         // by time.Weekday; none set: every day
	From    int             // minutes since midnight, local wall-clock time
	To      int             // first minute after the period; the whole day if From = To; ends the next day if To < From
	Except  map[string]bool // dates such as "2026-12-25" on which it does not begin
	Only    map[string]bool // if not empty, the only dates on which it begins
	anyDays bool
}

// Holds reports whether a time is in the period, by the wall clock of its zone: an hour that occurs twice is in it
// both times, and an hour that is skipped never is. The part after midnight belongs to the day on which the period
// began.
func (p *Period) Holds(at time.Time) bool {
	t := at.In(p.Zone)
	minute := t.Hour()*60 + t.Minute()
	switch {
	case p.From == p.To:
		return p.begins(t)
	case p.From < p.To:
		return minute >= p.From && minute < p.To && p.begins(t)
	case minute >= p.From:
		return p.begins(t)
	}
	return minute < p.To && p.begins(time.Date(t.Year(), t.Month(), t.Day()-1, 12, 0, 0, 0, p.Zone))
}

func (p *Period) begins(t time.Time) bool {
	day := t.Format(time.DateOnly)
	if p.Except[day] || len(p.Only) > 0 && !p.Only[day] {
		return false
	}
	return p.anyDays || p.Days[t.Weekday()]
}

// Explain returns each step of a number's analysis with its reason. A portability look-up returns the given routing
// number; without one, it gets no answer if silent is set, and else finds the number not ported.
func (t *Table) Explain(c Call, routing string, silent bool) []string {
	c.Explain = true
	a, o := t.Begin(c)
	if o.LookupNumber != "" {
		switch {
		case routing != "":
			a.Resume(LookupResult{Answer: Ported, Routing: routing})
		case silent:
			a.Resume(LookupResult{Answer: NoAnswer})
		default:
			a.Resume(LookupResult{Answer: NotPorted})
		}
	}
	return a.Steps
}
