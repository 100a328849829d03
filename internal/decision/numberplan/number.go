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

// mostSteps bounds an analysis whatever its table: one that is compiled has no loop, so this is never met.
const mostSteps = 64

// mostDigits is the longest number that is looked at: E.164 has 15, prefixes dialled and routing numbers come on top.
const mostDigits = 40

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
	name string
	trie *prefixtrie.Trie
	sets [][]*rule // by the trie's value: the rules of one prefix, in their order
}

type rule struct {
	when  *Period // nil: always
	strip int
	add   string
	then  action
	line  string // where it stands, for explanations
}

// action is what a rule does; one of them is set.
type action struct {
	plan   *plan
	route  *route
	refuse *Refusal
	ask    *question
}

// question is a portability look-up and where each end of it leads.
type question struct {
	ported  action // with the routing number in place of the number
	same    action // not ported
	silent  action // no answer in time
	silence time.Duration
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
	Table   *Table
	Steps   []string // what was done and why, where Explain is set
	number  string   // what rules look at: the number called, or the routing number that stands for it
	called  string   // set once a routing number stands for it
	at      time.Time
	draw    float64
	now     action
	asked   *question
	carrier string
	silent  bool // it had no answer
	looked  bool // portability is looked up once only (RFC 4694 npdi)
	steps   int
	text    bool
}

// Normal makes digits of what was dialled: "+" and "00" are international, a leading 0 is dropped from a national
// number, which gets the country's digits; spaces, dashes, dots and brackets are passed over. Anything else is an
// error.
func Normal(dialled, country string) (string, error) {
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
	case len(n) > mostDigits:
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
		Table:   t,
		at:      c.At,
		draw:    c.Draw,
		looked:  c.LookedUp,
		carrier: c.Carrier,
		text:    c.Explain,
		now:     action{plan: t.entry},
	}
	n, err := Normal(c.Dialled, t.Country)
	if err != nil {
		a.say("%v", err)
		return a, Outcome{Refusal: &Refusal{484, err.Error()}}
	}
	a.number = n
	a.say("%q is %s", c.Dialled, n)
	if c.LookedUp && c.Routing != "" {
		rn, err := Normal(c.Routing, t.Country)
		if err != nil {
			a.say("routing number: %v", err)
			return a, Outcome{Refusal: &Refusal{484, "routing " + err.Error()}}
		}
		a.called, a.number = n, rn
		a.say("its routing number is %s", rn)
	}
	return a, a.run()
}

// Answered goes on after a question. A routing number that makes no sense counts as silence.
func (a *Analysis) Answered(found Found) Outcome {
	what, routing := found.Answer, found.Routing
	q := a.asked
	if q == nil {
		return Outcome{Refusal: &Refusal{500, "nothing was asked"}}
	}
	a.asked = nil
	if what == Ported {
		n, err := Normal(routing, a.Table.Country)
		if err != nil {
			what = Silent
			a.say("routing number: %v", err)
		} else {
			a.called, a.number = a.number, n
		}
	}
	if what != Silent {
		a.carrier = found.Carrier
	}
	switch what {
	case Ported:
		a.say("ported: %s", a.number)
		a.now = q.ported
	case NotPorted:
		a.say("not ported")
		a.now = q.same
	default:
		a.say("no answer")
		a.silent = true
		a.now = q.silent
	}
	return a.run()
}

func (a *Analysis) say(format string, args ...any) {
	if a.text {
		a.Steps = append(a.Steps, fmt.Sprintf(format, args...))
	}
}

// run follows actions until one ends the analysis or asks.
func (a *Analysis) run() Outcome {
	for ; a.steps < mostSteps; a.steps++ {
		switch do := a.now; {
		case do.refuse != nil:
			a.say("refused: %d %s", do.refuse.Code, do.refuse.Why)
			return Outcome{Refusal: do.refuse}
		case do.route != nil:
			return Outcome{Route: a.take(do.route)}
		case do.ask != nil:
			if a.looked {
				a.say("portability was looked up before")
				a.now = do.ask.same
				continue
			}
			a.looked, a.asked = true, do.ask
			a.say("asks for the portability of %s", a.number)
			return Outcome{LookupNumber: a.number, LookupTimeout: do.ask.silence}
		case do.plan != nil:
			if !a.match(do.plan) {
				a.say("plan %s: nothing fits %s", do.plan.name, a.number)
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
		v, length, ok := p.trie.Find(a.number[:n])
		if !ok {
			return false
		}
		for _, r := range p.sets[v] {
			prefix := a.number[:length]
			if r.when != nil && !r.when.Holds(a.at) {
				a.say("plan %s, prefix %s (%s): not now, %s", p.name, prefix, r.line, r.when.Name)
				continue
			}
			a.number = r.add + a.number[min(r.strip, len(a.number)):]
			a.say("plan %s, prefix %s (%s): %s", p.name, prefix, r.line, a.number)
			a.now = r.then
			return len(a.number) <= mostDigits
		}
		n = length - 1
	}
	return false
}

// take chooses among a route's trunk groups by their weights.
func (a *Analysis) take(r *route) *Route {
	out := &Route{
		Name:     r.name,
		Class:    r.skill,
		Tenant:   r.customer,
		Number:   "+" + a.number,
		LookedUp: a.looked && !a.silent,
		Carrier:  a.carrier,
	}
	if a.called != "" {
		out.Number, out.Routing = "+"+a.called, "+"+a.number
	}
	u := a.draw * r.total
	for _, c := range r.choices {
		out.Group = c.group
		if u -= c.weight; u < 0 {
			break
		}
	}
	a.say("route %s: %s, skill %q, customer %q", r.name, out.Group, r.skill, r.customer)
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
