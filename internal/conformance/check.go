// Package conformance judges the five rules from a capture alone: what crossed the gateways' sockets, the lists that
// were delivered to them, and the starts of the switches. It knows nothing of any program's state. A call is followed
// by its Session-ID (RFC 7989) through all its legs.
package conformance

//tally:standin

import (
	"fmt"
	"math"
	"sort"
	"strings"

	"github.com/emiago/sipgo/sip"

	"cobaltpier/api"
	"cobaltpier/internal/protocol/siptransaction"
)

// Finding is a broken rule.
type Finding struct {
	Rule    int
	At      float64 // ms
	Edge    string
	Session string
	What    string
}

func (f Finding) String() string {
	return fmt.Sprintf("rule %d at %.1f ms, %s, contact %.12s: %s", f.Rule, f.At, f.Edge, f.Session, f.What)
}

// Totals are what the capture held.
type Totals struct {
	Contacts, Answers, Rings, Repeats, Datagrams int
	Looks, Named, KioskCalls                     int     // look-ups of kiosks, those answered with an endpoint, their calls
	ColdUse                                      float64 // the largest part of a cold budget used by gateways that knew
}

// Cold is how much of a cold switch's budget the work of the window that ended at a time used.
type Cold struct {
	At     float64
	Switch string
	Use    float64 // 1: the limit
}

// Checker takes the records of a capture in their order.
type Checker struct {
	Findings []Finding
	Totals   Totals
	Parse    func([]byte) (sip.Message, error) // siptransaction.Parse, or one that remembers
	Keep     bool                              // keep how cold budgets were used
	Cold     []Cold                            // with Keep: after Finish
	rules    *api.Rules
	nodes    map[string]*api.Node
	contacts map[string]*contact          // by edge and session
	byTx     map[string]*ring             // a setup's transaction, by edge and branch
	byDialog map[string]*ring             // by edge and Call-ID
	answers  map[string]*contact          // the caller's INVITE transaction, by edge and branch
	listed   map[string]map[string]*place // by edge's name and address
	stopped  map[string]bool
	killed   map[string]float64
	starts   map[string][]*start // by address
	looks    map[string]*look
	named    map[string][]float64 // by kiosk and endpoint: when it was named and not called yet
	last     float64
}

// call is one call at one gateway.
type contact struct {
	id, edge string
	came     float64
	until    float64
	final    string  // status and tag of its final answer
	at       float64 // when it left
	out      []*ring
	clear    float64 // rule 5: no send before this
	left     float64 // the caller canceled
	rings    int
}

// attempt is one setup on the wire.
type ring struct {
	c      *contact
	to     string
	called bool // CANCEL was sent
	stands bool
	over   bool
}

// place is what a gateway was told of an address.
type place struct {
	state string
	since float64 // delivered
	start float64
	id    string
}

type start struct {
	at    float64
	who   string
	model *api.Start
	sends []send
	end   float64
}

type send struct {
	at, work float64
	told     bool
}

// New makes a checker.
func New() *Checker {
	return &Checker{
		Parse:    siptransaction.Parse,
		rules:    &api.Rules{},
		nodes:    map[string]*api.Node{},
		contacts: map[string]*contact{},
		byTx:     map[string]*ring{},
		byDialog: map[string]*ring{},
		answers:  map[string]*contact{},
		listed:   map[string]map[string]*place{},
		stopped:  map[string]bool{},
		killed:   map[string]float64{},
		starts:   map[string][]*start{},
		looks:    map[string]*look{},
		named:    map[string][]float64{},
	}
}

func (k *Checker) broke(rule int, c *contact, what string, args ...any) {
	k.Findings = append(k.Findings, Finding{rule, k.last, c.edge, c.id, fmt.Sprintf(what, args...)})
}

// Add takes the next record.
func (k *Checker) Add(r *api.Record) {
	k.last = math.Max(k.last, r.At)
	switch v := r.What.(type) {
	case *api.Record_Rules:
		k.rules = v.Rules
	case *api.Record_Node:
		k.nodes[v.Node.Addr] = v.Node
	case *api.Record_Listing:
		k.list(r.At, v.Listing)
	case *api.Record_Mark:
		k.mark(r.At, v.Mark)
	case *api.Record_Datagram:
		k.Totals.Datagrams++
		k.datagram(r.At, v.Datagram)
	}
}

func (k *Checker) list(at float64, l *api.Listing) {
	m := k.listed[l.Edge]
	if m == nil {
		m = map[string]*place{}
		k.listed[l.Edge] = m
	}
	named := map[string]bool{}
	for _, e := range l.Entries {
		named[e.Addr] = true
		if p := m[e.Addr]; p == nil || p.state != e.State || p.id != e.Id || p.start != e.Since {
			if p != nil && p.id != e.Id && e.State == "gone" {
				continue // the machine before the one that has the address now
			}
			since := at
			if p != nil && p.state != "ready" && e.State != "ready" {
				since = p.since // told before
			}
			m[e.Addr] = &place{state: e.State, since: since, start: e.Since, id: e.Id}
		}
	}
	if l.Whole {
		for a, p := range m {
			if !named[a] && p.state == "ready" {
				p.state, p.since = "gone", at
			}
		}
	}
}

func (k *Checker) mark(at float64, m *api.Mark) {
	switch m.What {
	case "start":
		for a, n := range k.nodes {
			if n.Name == m.Who {
				if old := k.starts[a]; len(old) > 0 {
					old[len(old)-1].end = at
				}
				k.starts[a] = append(k.starts[a], &start{at: at, who: m.Who, model: m.Start, end: math.Inf(1)})
			}
		}
	case "stop", "kill", "fall":
		for a, n := range k.nodes {
			if n.Name == m.Who {
				for _, s := range k.starts[a] {
					s.end = math.Min(s.end, at)
				}
			}
		}
	case "edge-stop":
		k.stopped[m.Who] = true
	case "edge-go": // what was delivered while it stalled it could hear from now on
		k.looksOf(at, m)
		k.stopped[m.Who] = false
		for _, p := range k.listed[m.Who] {
			p.since = math.Max(p.since, at)
		}
		for _, c := range k.contacts {
			if c.edge == m.Who && c.final == "" { // it could not answer: that is counted as the machine's fault
				c.until = math.Max(c.until, at+1000)
				if c.left > 0 {
					c.left = at
				}
			}
		}
	case "edge-kill",
		"edge-start": // what it held is no longer its duty; a repeat that reaches the next process is new there
		k.looksOf(at, m)
		if m.What == "edge-kill" {
			k.killed[m.Who] = at
		}
		for _, c := range k.contacts {
			if c.edge == m.Who {
				for _, o := range c.out {
					o.over = true
				}
			}
		}
	}
}

func (k *Checker) datagram(at float64, d *api.Datagram) {
	from, to := k.nodes[d.From], k.nodes[d.To]
	switch {
	case from == nil || to == nil:
		return
	case from.Role == "front" || to.Role == "front":
		k.lookup(at, d, from, to)
		return
	case from.Role == "kiosk-phone" || to.Role == "kiosk-phone":
		if to.Role == "switch" {
			k.kioskCalls(at, d, from)
		}
		return
	}
	m, err := k.Parse(d.Data)
	if err != nil {
		return // not SIP: other gateways' messages, garbage
	}
	branch, _ := m.Via().Params.Get("branch")
	id := string(*m.CallID())
	switch {
	case from.Role == "caller" && to.Role == "edge":
		if r, ok := m.(*sip.Request); ok {
			k.fromCaller(at, to.Name, r, branch)
		}
	case from.Role == "edge" && to.Role == "caller":
		if r, ok := m.(*sip.Response); ok {
			k.toCaller(at, from.Name, r, branch)
		}
	case from.Role == "edge" && to.Role == "switch":
		if r, ok := m.(*sip.Request); ok {
			k.toSwitch(at, from.Name, d.To, r, branch, id)
		}
	case from.Role == "switch" && to.Role == "edge":
		k.fromSwitch(at, to.Name, m, branch, id)
	}
}

func (k *Checker) fromCaller(at float64, edge string, r *sip.Request, branch string) {
	switch r.Method {
	case sip.INVITE:
		if siptransaction.Tag(r.To().Params) != "" {
			return
		}
		key := edge + siptransaction.SessionIDOf(r)
		if k.contacts[key] != nil {
			return // a repeat
		}
		patience := siptransaction.ParseRetryAfter(siptransaction.HeaderValue(r, "Expires"))
		if patience == 0 {
			patience = math.Inf(1)
		}
		c := &contact{id: siptransaction.SessionIDOf(r), edge: edge, came: at, until: at + patience}
		k.contacts[key], k.answers[edge+branch] = c, c
		k.Totals.Contacts++
	case sip.CANCEL:
		if c := k.answers[edge+branch]; c != nil && c.final == "" && c.left == 0 {
			c.left = at
		}
	}
}

func (k *Checker) toCaller(at float64, edge string, r *sip.Response, branch string) {
	c := k.answers[edge+branch]
	if c == nil || r.CSeq().MethodName != sip.INVITE || r.StatusCode < 200 {
		return
	}
	final := fmt.Sprintf("%d %s", r.StatusCode, siptransaction.Tag(r.To().Params))
	switch {
	case c.final == "":
		c.final, c.at = final, at
		k.Totals.Answers++
		// a call of a process that was killed since is no longer its duty: its caller's repeat is new to the next one
		if kill, killed := k.killed[edge]; killed && c.came <= kill {
			return
		}
		if at > c.until+k.rules.SlackMs {
			k.broke(1, c, "answered %s %.0f ms after its patience", final, at-c.until)
		}
		if c.left > 0 && at > c.left+1000 {
			k.broke(1, c, "called off, and answered only %.0f ms later", at-c.left)
		}
	case c.final != final:
		k.broke(1, c, "second final answer %s after %s", final, c.final)
	}
}

func (k *Checker) toSwitch(at float64, edge, to string, r *sip.Request, branch, id string) {
	switch r.Method {
	case sip.INVITE:
		if siptransaction.Tag(r.To().Params) != "" {
			return
		}
		g := k.byTx[edge+branch]
		c := k.contacts[edge+siptransaction.SessionIDOf(r)]
		if c == nil {
			k.broke(1, &contact{edge: edge, id: siptransaction.SessionIDOf(r)}, "a set-up of a contact that never came")
			return
		}
		repeat := g != nil
		if c.final != "" && at-c.at >= k.rules.BlurMs {
			k.broke(1, c, "set-up sent %.0f ms after the final answer %s", at-c.at, c.final)
		}
		k.drain(at, edge, to, c)
		k.cold(at, edge, to, repeat)
		if repeat {
			k.Totals.Repeats++
			return
		}
		k.Totals.Rings++
		for _, o := range c.out {
			if !o.over {
				k.broke(2, c, "second ring to %s while the one to %s is out", k.name(to), k.name(o.to))
			}
		}
		if at < c.clear {
			k.broke(5, c, "sent %.0f ms before the clear wait was over", c.clear-at)
		}
		g = &ring{c: c, to: to}
		c.rings++
		c.out = append(c.out, g)
		k.byTx[edge+branch], k.byDialog[edge+id] = g, g
	case sip.CANCEL:
		if g := k.byTx[edge+branch]; g != nil {
			g.called = true
		}
	case sip.BYE:
		if g := k.byDialog[edge+id]; g != nil && !g.over {
			g.over = true
			if g.called || !g.stands { // a call that stood after it was given up: released now
				g.c.clear = math.Max(g.c.clear, at+k.rules.ClearMs)
			}
		}
	}
}

func (k *Checker) fromSwitch(at float64, edge string, m sip.Message, branch, id string) {
	switch m := m.(type) {
	case *sip.Response:
		g := k.byTx[edge+branch]
		if g == nil || m.CSeq().MethodName != sip.INVITE || m.StatusCode < 200 || g.over {
			return
		}
		if m.StatusCode < 300 {
			g.stands = true
			return
		}
		g.over = true
		if m.StatusCode == 487 || m.StatusCode == 408 {
			g.c.clear = math.Max(g.c.clear, at+k.rules.ClearMs)
		}
	case *sip.Request:
		if g := k.byDialog[edge+id]; g != nil && m.Method == sip.BYE && !g.over {
			g.over = true
			if !strings.Contains(siptransaction.HeaderValue(m, siptransaction.Reason), "cause=16") {
				g.c.clear = math.Max(g.c.clear, at+k.rules.ClearMs)
			}
		}
	}
}

// drain is rule 3.
func (k *Checker) drain(at float64, edge, to string, c *contact) {
	if p := k.listed[edge][to]; p != nil && p.state != "ready" && at > p.since+k.rules.GraceMs {
		k.broke(3, c, "set-up to %s %.0f ms after it was told %s", k.name(to), at-p.since, p.state)
	}
}

// cold notes work that goes to a switch that started lately.
func (k *Checker) cold(at float64, edge, to string, repeat bool) {
	of := k.starts[to]
	if len(of) == 0 {
		return
	}
	s := of[len(of)-1]
	if at > s.end || at > s.at+s.model.WarmMs+k.rules.TipMs {
		return
	}
	work := s.model.SetupMs
	if repeat {
		work = s.model.RepeatMs
	}
	p := k.listed[edge][to]
	s.sends = append(s.sends, send{at, work, p != nil && p.start > 0 && p.start >= s.at-1000})
}

func (k *Checker) name(addr string) string {
	if n := k.nodes[addr]; n != nil {
		return n.Name
	}
	return addr
}

// Finish judges what can be judged only at the end, and sorts the findings by time.
func (k *Checker) Finish() {
	for _, c := range k.contacts {
		if kill, killed := k.killed[c.edge]; killed && c.came <= kill && (c.final == "" || c.at > kill) {
			continue // what a gateway held when it was killed is no longer its duty
		}
		if due := math.Min(c.until, whenSet(c.left)+1000); c.final == "" && k.last > due+k.rules.SlackMs &&
			!k.stopped[c.edge] {
			k.broke(1, c, "never answered; due at %.0f ms", due)
		}
	}
	for addr, of := range k.starts {
		for _, s := range of {
			k.window(addr, s)
		}
	}
	sort.Slice(k.Findings, func(i, j int) bool {
		a, b := k.Findings[i], k.Findings[j]
		if a.At != b.At {
			return a.At < b.At
		}
		return a.Session < b.Session
	})
}

func whenSet(at float64) float64 {
	if at == 0 {
		return math.Inf(1)
	}
	return at
}

// window is rule 4: the work sent to a cold switch in any window, by all gateways together, stays under the stated
// multiple of what it can do then, with some slack for chance; broken if two thirds of it came from gateways that had
// been told of its start.
func (k *Checker) window(addr string, s *start) {
	sum, told, from := 0.0, 0.0, 0
	for _, x := range s.sends {
		sum += x.work
		if x.told {
			told += x.work
		}
		for s.sends[from].at <= x.at-k.rules.TipMs {
			sum -= s.sends[from].work
			if s.sends[from].told {
				told -= s.sends[from].work
			}
			from++
		}
		part := math.Min(1, s.model.ColdShare+(1-s.model.ColdShare)*math.Max(0, x.at-s.at)/s.model.WarmMs)
		if part >= 1 {
			continue
		}
		most := k.rules.TipMultiple * part * k.rules.TipMs
		use := sum / most
		if told <= sum*2/3 { // mostly from gateways that could not know
			use = told / most
		}
		k.Totals.ColdUse = math.Max(k.Totals.ColdUse, use)
		if k.Keep {
			k.Cold = append(k.Cold, Cold{x.at, s.who, use})
		}
		if sum > most+math.Sqrt(most*s.model.SetupMs)+s.model.SetupMs && told > sum*2/3 {
			k.last = x.at
			k.broke(
				4,
				&contact{edge: "all", id: s.who},
				"%.0f ms of work in %.0f ms to %s, %.0f ms after its start: %.0f allowed",
				sum,
				k.rules.TipMs,
				k.name(addr),
				x.at-s.at,
				most,
			)
			return
		}
	}
}

// Verdicts are the numbers of findings by rule, from 1.
func (k *Checker) Verdicts() [6]int {
	var v [6]int
	for _, f := range k.Findings {
		v[f.Rule]++
	}
	return v
}
