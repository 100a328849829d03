// Package numberplan decides what becomes of a number that was dialled: by the longest prefix, the time of day,
// portability and weights, through plans that lead on to each other, to a route. A call carries one table from its
// first digit to its end, however often the tables change meanwhile. Package number knows no wire, no clock and no
// look-up: a step that needs one returns a question, and the analysis goes on with the answer, its absence or its
// time-out.
package numberplan

import (
	"fmt"
	"strings"
	"time"

	"cobaltpier/internal/decision/prefixtrie"
)

//tally:decisions

// maxSteps bounds an analysis whatever its table: one that is compiled has no loop, so this is never met.
const maxSteps = 64

// maxDigits is the longest number that is looked at: E.164 has 15, prefixes dialled and routing numbers come on top.
const maxDigits = 40

// Table is a compiled table. It is only read.
type Table struct {
	Name    string
	Version uint64
	Sum     string // of its compact form, SHA-256 in hex
	Country string // digits that a national number gets in front
	// Warnings are of what does no harm but was hardly meant.
	Warnings []string
	entry    *plan
	plans    map[string]*plan
	routes   map[string]*route
	size     int
}

// Size is the number of its rules.
func (t *Table) Size() int { return t.size }

type plan struct {
	name     string
	trie     *prefixtrie.Trie
	ruleSets [][]*rule // by the trie's value: the rules of one prefix, in their order
}

type rule struct {
	when     *Period // nil: always
	strip    int
	add      string
	then     action
	position string // where it stands, for explanations
}

// action is what a rule does; one of them is set.
type action struct {
	plan   *plan
	route  *route
	refuse *Refusal
	lookup *lookup
}

// lookup is a portability look-up and where each end of it leads.
type lookup struct {
	ported    action // with the routing number in place of the number
	notPorted action // not ported
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

// Refusal is an end without a route.
type Refusal struct {
	Code int // of SIP
	Why  string
}

// Route is where a call goes.
type Route struct {
	Name     string
	Class    string // "": what the caller asked for
	Tenant   string // "": the caller's
	Group    string // trunk group of the destination (RFC 4904)
	Number   string // the number called, as it is sent on
	Routing  string // the routing number that stands for it, "": portability was not looked up or it is not ported
	LookedUp bool   // portability was looked up (RFC 4694 npdi)
	Carrier  string // the carrier that serves it (RFC 4694 cic), "": none is named
}

// Outcome is what an analysis came to, or waits for; one of them is set.
type Outcome struct {
	Route         *Route
	Refusal       *Refusal
	LookupNumber  string // the number to look up
	LookupTimeout time.Duration
}

// Answer is what a look-up brought.
type Answer int

// The answers.
const (
	NotPorted Answer = iota // also: it does not exist
	Ported                  // with a routing number (RFC 4694 rn)
	Silent                  // none in time, or a fault
)

// Found is what a look-up brought.
type Found struct {
	Answer  Answer
	Routing string // Ported: the routing number (RFC 4694 rn)
	Carrier string // the carrier (RFC 4694 cic), "": none is named
}

// Analysis is one call's way through a table.
type Analysis struct {
	Table    *Table
	Steps    []string // what was done and why, where Explain is set
	number   string   // what rules look at: the number called, or the routing number that stands for it
	called   string   // set once a routing number stands for it
	at       time.Time
	draw     float64
	next     action
	pending  *lookup
	carrier  string
	noAnswer bool // it had no answer
	lookedUp bool // portability is looked up once only (RFC 4694 npdi)
	steps    int
	explain  bool
}

// Normalize makes digits of what was dialled: "+" and "00" are international, a leading 0 is dropped from a national
// number, which gets the country's digits; spaces, dashes, dots and brackets are passed over. Anything else is an
// error.
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

// Call is what is known of a number when its analysis begins.
type Call struct {
	Dialled  string
	LookedUp bool   // portability was looked up by somebody before us (RFC 4694 npdi)
	Routing  string // the routing number that was found then, "": none
	Carrier  string // the carrier that was named with it
	At       time.Time
	Draw     float64 // 0 to 1, drawn for weights
	Explain  bool    // keep the steps
}

// Begin starts the analysis of a number. The first outcome comes with it.
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

// Answered goes on after a question. A routing number that makes no sense counts as silence.
func (a *Analysis) Answered(found Found) Outcome {
	answer, routing := found.Answer, found.Routing
	pending := a.pending
	if pending == nil {
		return Outcome{Refusal: &Refusal{500, "nothing was asked"}}
	}
	a.pending = nil
	if answer == Ported {
		n, err := Normalize(routing, a.Table.Country)
		if err != nil {
			answer = Silent
			a.addStep("routing number: %v", err)
		} else {
			a.called, a.number = a.number, n
		}
	}
	if answer != Silent {
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

// run follows actions until one ends the analysis or asks.
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

// match takes the first rule that holds now of the longest prefix that has one.
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

// buildRoute chooses among a route's trunk groups by their weights.
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

// Period is a time of the week in a zone.
type Period struct {
	Name    string
	Zone    *time.Location
	Days    [7]bool         // by time.Weekday; none set: all
	From    int             // minutes of the day on the wall clock there
	To      int             // the first that does not belong; From = To: the whole day; To < From: past midnight
	Except  map[string]bool // days like "2026-12-25" on which it does not begin
	Only    map[string]bool // if set, days on which alone it begins
	anyDays bool
}

// Holds tells whether a time lies in the period. It goes by the wall clock there: an hour that occurs twice belongs
// twice, one that never occurs does not. A part past midnight belongs to the day on which it began.
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

// Explain tells each step of a number's analysis and why; portability's answer is the routing number given, silence, or
// that it is not ported.
func (t *Table) Explain(c Call, routing string, silent bool) []string {
	c.Explain = true
	a, o := t.Begin(c)
	if o.LookupNumber != "" {
		switch {
		case routing != "":
			a.Answered(Found{Answer: Ported, Routing: routing})
		case silent:
			a.Answered(Found{Answer: Silent})
		default:
			a.Answered(Found{Answer: NotPorted})
		}
	}
	return a.Steps
}
