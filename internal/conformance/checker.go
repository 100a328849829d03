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
	Rule        int
	At          float64 // ms
	Gateway     string
	SessionID   string
	Description string
}

func (f Finding) String() string {
	return fmt.Sprintf("rule %d at %.1f ms, %s, contact %.12s: %s", f.Rule, f.At, f.Gateway, f.SessionID, f.Description)
}

// Totals are what the capture held.
type Totals struct {
	Calls, Answers, Attempts, Retransmissions, Datagrams int
	// ENUM queries, those answered with an endpoint, and the calls that their askers made
	Queries, Answered, KioskCalls int
	// the largest part of a slow start budget that was used by gateways that had been told of the start
	SlowStartUse float64
}

// Checker takes the records of a capture in their order.
type Checker struct {
	Findings        []Finding
	Totals          Totals
	Parse           func([]byte) (sip.Message, error) // siptransaction.Parse, or one that remembers
	Keep            bool                              // keep how cold budgets were used
	Cold            []Cold                            // with Keep: after Finish
	rules           *api.Rules
	nodes           map[string]*api.Node
	calls           map[string]*call               // by edge and session
	byTx            map[string]*attempt            // a setup's transaction, by edge and branch
	byDialog        map[string]*attempt            // by edge and Call-ID
	answers         map[string]*call               // the caller's INVITE transaction, by edge and branch
	listings        map[string]map[string]*listing // by edge's name and address
	stalledGateways map[string]bool
	killedAt        map[string]float64
	startsByAddr    map[string][]*start // by address
	queries         map[string]*enumQuery
	namedEndpoints  map[string][]float64 // by kiosk and endpoint: when it was named and not called yet
	latestAt        float64
}

// call is one call at one gateway.
type call struct {
	id, edge     string
	arrivedAt    float64
	deadline     float64
	final        string  // status and tag of its final answer
	answeredAt   float64 // when it left
	attempts     []*attempt
	holdOffUntil float64 // rule 5: no send before this
	canceledAt   float64 // the caller canceled
	attemptCount int
}

// attempt is one setup on the wire.
type attempt struct {
	call        *call
	endpoint    string
	canceled    bool // CANCEL was sent
	established bool
	ended       bool
}

// listing is what a gateway was told of an address.
type listing struct {
	state     string
	since     float64 // delivered
	startedAt float64
	id        string
}

// New makes a checker.
func New() *Checker {
	return &Checker{
		Parse:           siptransaction.Parse,
		rules:           &api.Rules{},
		nodes:           map[string]*api.Node{},
		calls:           map[string]*call{},
		byTx:            map[string]*attempt{},
		byDialog:        map[string]*attempt{},
		answers:         map[string]*call{},
		listings:        map[string]map[string]*listing{},
		stalledGateways: map[string]bool{},
		killedAt:        map[string]float64{},
		startsByAddr:    map[string][]*start{},
		queries:         map[string]*enumQuery{},
		namedEndpoints:  map[string][]float64{},
	}
}

func (k *Checker) report(rule int, c *call, what string, args ...any) {
	k.Findings = append(k.Findings, Finding{rule, k.latestAt, c.edge, c.id, fmt.Sprintf(what, args...)})
}

// Add takes the next record.
func (k *Checker) Add(r *api.Record) {
	k.latestAt = math.Max(k.latestAt, r.At)
	switch v := r.What.(type) {
	case *api.Record_Rules:
		k.rules = v.Rules
	case *api.Record_Node:
		k.nodes[v.Node.Addr] = v.Node
	case *api.Record_Listing:
		k.onListing(r.At, v.Listing)
	case *api.Record_Mark:
		k.onMark(r.At, v.Mark)
	case *api.Record_Datagram:
		k.Totals.Datagrams++
		k.onDatagram(r.At, v.Datagram)
	}
}

func (k *Checker) onListing(at float64, l *api.Listing) {
	m := k.listings[l.Edge]
	if m == nil {
		m = map[string]*listing{}
		k.listings[l.Edge] = m
	}
	named := map[string]bool{}
	for _, e := range l.Entries {
		named[e.Addr] = true
		if p := m[e.Addr]; p == nil || p.state != e.State || p.id != e.Id || p.startedAt != e.Since {
			if p != nil && p.id != e.Id && e.State == "gone" {
				continue // the machine before the one that has the address now
			}
			since := at
			if p != nil && p.state != "ready" && e.State != "ready" {
				since = p.since // told before
			}
			m[e.Addr] = &listing{state: e.State, since: since, startedAt: e.Since, id: e.Id}
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

// onMark takes what was done to a process: an endpoint or, with the prefix "edge-", a gateway.
func (k *Checker) onMark(at float64, m *api.Mark) {
	switch m.What {
	case "start":
		k.onEndpointStart(at, m)
	case "stop", "kill", "fall":
		k.onEndpointStop(at, m)
	case "edge-stop":
		k.stalledGateways[m.Who] = true
	case "edge-go":
		k.onGatewayResumed(at, m)
	case "edge-kill", "edge-start":
		k.onGatewayReplaced(at, m)
	}
}

func (k *Checker) onEndpointStart(at float64, m *api.Mark) {
	for address, node := range k.nodes {
		if node.Name != m.Who {
			continue
		}
		if old := k.startsByAddr[address]; len(old) > 0 {
			old[len(old)-1].end = at
		}
		started := &start{at: at, who: m.Who, model: m.Start, end: math.Inf(1)}
		k.startsByAddr[address] = append(k.startsByAddr[address], started)
	}
}

func (k *Checker) onEndpointStop(at float64, m *api.Mark) {
	for address, node := range k.nodes {
		if node.Name != m.Who {
			continue
		}
		for _, s := range k.startsByAddr[address] {
			s.end = math.Min(s.end, at)
		}
	}
}

// onGatewayResumed takes the end of a stall: what was delivered meanwhile the gateway could read from now on, and that
// it could not answer counts as the machine's fault.
func (k *Checker) onGatewayResumed(at float64, m *api.Mark) {
	k.closeQueries(at, m)
	k.stalledGateways[m.Who] = false
	for _, p := range k.listings[m.Who] {
		p.since = math.Max(p.since, at)
	}
	for _, c := range k.calls {
		if c.edge != m.Who || c.final != "" {
			continue
		}
		c.deadline = math.Max(c.deadline, at+1000)
		if c.canceledAt > 0 {
			c.canceledAt = at
		}
	}
}

// onGatewayReplaced takes the end of a gateway's process: its calls are not the next one's, to which a retransmission
// is new.
func (k *Checker) onGatewayReplaced(at float64, m *api.Mark) {
	k.closeQueries(at, m)
	if m.What == "edge-kill" {
		k.killedAt[m.Who] = at
	}
	for _, c := range k.calls {
		if c.edge != m.Who {
			continue
		}
		for _, a := range c.attempts {
			a.ended = true
		}
	}
}

func (k *Checker) onDatagram(at float64, d *api.Datagram) {
	from, to := k.nodes[d.From], k.nodes[d.To]
	switch {
	case from == nil || to == nil:
		return
	case from.Role == "front" || to.Role == "front":
		k.onLookup(at, d, from, to)
		return
	case from.Role == "kiosk-phone" || to.Role == "kiosk-phone":
		if to.Role == "switch" {
			k.onKioskCall(at, d, from)
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
			k.onCallerRequest(at, to.Name, r, branch)
		}
	case from.Role == "edge" && to.Role == "caller":
		if r, ok := m.(*sip.Response); ok {
			k.onResponseToCaller(at, from.Name, r, branch)
		}
	case from.Role == "edge" && to.Role == "switch":
		if r, ok := m.(*sip.Request); ok {
			k.onSetupRequest(at, from.Name, d.To, r, branch, id)
		}
	case from.Role == "switch" && to.Role == "edge":
		k.onSwitchMessage(at, to.Name, m, branch, id)
	}
}

func (k *Checker) onCallerRequest(at float64, edge string, r *sip.Request, branch string) {
	switch r.Method {
	case sip.INVITE:
		if siptransaction.Tag(r.To().Params) != "" {
			return
		}
		key := edge + siptransaction.SessionIDOf(r)
		if k.calls[key] != nil {
			return // a repeat
		}
		patience := siptransaction.ParseRetryAfter(siptransaction.HeaderValue(r, "Expires"))
		if patience == 0 {
			patience = math.Inf(1)
		}
		c := &call{id: siptransaction.SessionIDOf(r), edge: edge, arrivedAt: at, deadline: at + patience}
		k.calls[key], k.answers[edge+branch] = c, c
		k.Totals.Calls++
	case sip.CANCEL:
		if c := k.answers[edge+branch]; c != nil && c.final == "" && c.canceledAt == 0 {
			c.canceledAt = at
		}
	}
}

func (k *Checker) onResponseToCaller(at float64, edge string, r *sip.Response, branch string) {
	c := k.answers[edge+branch]
	if c == nil || r.CSeq().MethodName != sip.INVITE || r.StatusCode < 200 {
		return
	}
	final := fmt.Sprintf("%d %s", r.StatusCode, siptransaction.Tag(r.To().Params))
	switch {
	case c.final == "":
		c.final, c.answeredAt = final, at
		k.Totals.Answers++
		// a call of a process that was killed since is no longer its duty: its caller's repeat is new to the next one
		if kill, killed := k.killedAt[edge]; killed && c.arrivedAt <= kill {
			return
		}
		if at > c.deadline+k.rules.SlackMs {
			k.report(1, c, "answered %s %.0f ms after its patience", final, at-c.deadline)
		}
		if c.canceledAt > 0 && at > c.canceledAt+1000 {
			k.report(1, c, "called off, and answered only %.0f ms later", at-c.canceledAt)
		}
	case c.final != final:
		k.report(1, c, "second final answer %s after %s", final, c.final)
	}
}

func (k *Checker) onSetupRequest(at float64, edge, to string, r *sip.Request, branch, id string) {
	switch r.Method {
	case sip.INVITE:
		if siptransaction.Tag(r.To().Params) != "" {
			return
		}
		g := k.byTx[edge+branch]
		c := k.calls[edge+siptransaction.SessionIDOf(r)]
		if c == nil {
			k.report(1, &call{edge: edge, id: siptransaction.SessionIDOf(r)}, "a set-up of a contact that never came")
			return
		}
		repeat := g != nil
		if c.final != "" && at-c.answeredAt >= k.rules.BlurMs {
			k.report(1, c, "set-up sent %.0f ms after the final answer %s", at-c.answeredAt, c.final)
		}
		k.checkDraining(at, edge, to, c)
		k.countSlowStart(at, edge, to, repeat)
		if repeat {
			k.Totals.Retransmissions++
			return
		}
		k.Totals.Attempts++
		for _, o := range c.attempts {
			if !o.ended {
				k.report(2, c, "second ring to %s while the one to %s is out", k.name(to), k.name(o.endpoint))
			}
		}
		if at < c.holdOffUntil {
			k.report(5, c, "sent %.0f ms before the clear wait was over", c.holdOffUntil-at)
		}
		g = &attempt{call: c, endpoint: to}
		c.attemptCount++
		c.attempts = append(c.attempts, g)
		k.byTx[edge+branch], k.byDialog[edge+id] = g, g
	case sip.CANCEL:
		if g := k.byTx[edge+branch]; g != nil {
			g.canceled = true
		}
	case sip.BYE:
		if g := k.byDialog[edge+id]; g != nil && !g.ended {
			g.ended = true
			if g.canceled || !g.established { // a call that stood after it was given up: released now
				g.call.holdOffUntil = math.Max(g.call.holdOffUntil, at+k.rules.ClearMs)
			}
		}
	}
}

func (k *Checker) onSwitchMessage(at float64, edge string, m sip.Message, branch, id string) {
	switch m := m.(type) {
	case *sip.Response:
		g := k.byTx[edge+branch]
		if g == nil || m.CSeq().MethodName != sip.INVITE || m.StatusCode < 200 || g.ended {
			return
		}
		if m.StatusCode < 300 {
			g.established = true
			return
		}
		g.ended = true
		if m.StatusCode == 487 || m.StatusCode == 408 {
			g.call.holdOffUntil = math.Max(g.call.holdOffUntil, at+k.rules.ClearMs)
		}
	case *sip.Request:
		if g := k.byDialog[edge+id]; g != nil && m.Method == sip.BYE && !g.ended {
			g.ended = true
			if !strings.Contains(siptransaction.HeaderValue(m, siptransaction.Reason), "cause=16") {
				g.call.holdOffUntil = math.Max(g.call.holdOffUntil, at+k.rules.ClearMs)
			}
		}
	}
}

// checkDraining is rule 3.
func (k *Checker) checkDraining(at float64, edge, to string, c *call) {
	if p := k.listings[edge][to]; p != nil && p.state != "ready" && at > p.since+k.rules.GraceMs {
		k.report(3, c, "set-up to %s %.0f ms after it was told %s", k.name(to), at-p.since, p.state)
	}
}

func (k *Checker) name(addr string) string {
	if n := k.nodes[addr]; n != nil {
		return n.Name
	}
	return addr
}

// Finish judges what can be judged only at the end, and sorts the findings by time.
func (k *Checker) Finish() {
	for _, c := range k.calls {
		if kill, killed := k.killedAt[c.edge]; killed && c.arrivedAt <= kill && (c.final == "" || c.answeredAt > kill) {
			continue // what a gateway held when it was killed is no longer its duty
		}
		if due := math.Min(c.deadline, whenSet(c.canceledAt)+1000); c.final == "" && k.latestAt > due+k.rules.SlackMs &&
			!k.stalledGateways[c.edge] {
			k.report(1, c, "never answered; due at %.0f ms", due)
		}
	}
	for addr, of := range k.startsByAddr {
		for _, s := range of {
			k.window(addr, s)
		}
	}
	sort.Slice(k.Findings, func(i, j int) bool {
		a, b := k.Findings[i], k.Findings[j]
		if a.At != b.At {
			return a.At < b.At
		}
		return a.SessionID < b.SessionID
	})
}

// Verdicts are the numbers of findings by rule, from 1.
func (k *Checker) Verdicts() [6]int {
	var v [6]int
	for _, f := range k.Findings {
		v[f.Rule]++
	}
	return v
}
