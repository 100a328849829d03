// Package conformance checks the five rules using a capture alone: the datagrams at the gateways' sockets, the
// endpoint lists that were delivered to them, and the starts of the switches. It sees no program's internal state.
// A call is followed through all its legs by its Session-ID (RFC 7989).
//
// The rules:
//
//  1. A call has one final answer, before the client's deadline.
//  2. A call never has two attempts in flight.
//  3. Nothing is sent to an endpoint later than the grace period after it is known to drain or be gone.
//  4. All gateways together never overload an endpoint in slow start.
//  5. A call has no attempt until the hold-off after a time-out, reset or cancel is over.
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

// Finding is one violation of a rule.
type Finding struct {
	Rule        int
	At          float64 // ms
	Gateway     string
	SessionID   string
	Description string
}

func (f Finding) String() string {
	return fmt.Sprintf("rule %d at %.1f ms, %s, call %.12s: %s", f.Rule, f.At, f.Gateway, f.SessionID, f.Description)
}

// Totals holds counts of what the capture contains.
type Totals struct {
	Calls, Answers, Attempts, Retransmissions, Datagrams int
	// ENUM queries, the ones answered with an endpoint, and the calls that the ENUM clients made after them
	Queries, Answered, KioskCalls int
	// the largest used fraction of a slow-start budget, by gateways that had been told of the start
	SlowStartUse float64
}

// Checker checks a capture. Its records are added in order.
type Checker struct {
	Findings              []Finding
	Totals                Totals
	Parse                 func([]byte) (sip.Message, error) // siptransaction.Parse, or one that caches
	KeepSlowStart         bool                              // record how slow-start budgets are used
	SlowStartSamples      []SlowStartSample                 // set by Finish, if that is recorded
	rules                 *api.Rules
	nodes                 map[string]*api.Node
	calls                 map[string]*call                 // by gateway and session
	attemptsByTransaction map[string]*attempt              // the INVITE transaction to a switch, by gateway and branch
	attemptsByDialog      map[string]*attempt              // by gateway and Call-ID
	callsByTransaction    map[string]*call                 // the caller's INVITE transaction, by gateway and branch
	endpointLists         map[string]map[string]*listEntry // by gateway and address
	stalledGateways       map[string]bool
	killedAt              map[string]float64
	startsByAddr          map[string][]*endpointStart
	queries               map[string]*enumQuery
	namedEndpoints        map[string][]float64 // by ENUM client and endpoint: when answers without a call yet named it
	latestAt              float64
}

// call is a call at one gateway.
type call struct {
	id, gateway  string // id: Session-ID, or client, message ID and name of a look-up
	arrivedAt    float64
	deadline     float64
	finalAnswer  string  // status and To tag
	answeredAt   float64 // when the final answer was sent
	attempts     []*attempt
	holdOffUntil float64 // rule 5: no attempt before this
	canceledAt   float64 // when the caller canceled
	attemptCount int
}

// attempt is a setup of a call at a switch.
type attempt struct {
	call        *call
	endpoint    string
	canceled    bool // CANCEL was sent
	established bool
	ended       bool
}

// listEntry is what a gateway was told about an address.
type listEntry struct {
	state     string
	since     float64 // when the gateway was told of the state
	startedAt float64
	id        string
}

// New returns a checker.
func New() *Checker {
	return &Checker{
		Parse:                 siptransaction.Parse,
		rules:                 &api.Rules{},
		nodes:                 map[string]*api.Node{},
		calls:                 map[string]*call{},
		attemptsByTransaction: map[string]*attempt{},
		attemptsByDialog:      map[string]*attempt{},
		callsByTransaction:    map[string]*call{},
		endpointLists:         map[string]map[string]*listEntry{},
		stalledGateways:       map[string]bool{},
		killedAt:              map[string]float64{},
		startsByAddr:          map[string][]*endpointStart{},
		queries:               map[string]*enumQuery{},
		namedEndpoints:        map[string][]float64{},
	}
}

// report adds a finding about a call, at the time of the latest record.
func (k *Checker) report(rule int, c *call, format string, args ...any) {
	k.Findings = append(k.Findings, Finding{rule, k.latestAt, c.gateway, c.id, fmt.Sprintf(format, args...)})
}

// Add handles the next record.
func (k *Checker) Add(r *api.Record) {
	k.latestAt = math.Max(k.latestAt, r.At)
	switch what := r.What.(type) {
	case *api.Record_Rules:
		k.rules = what.Rules
	case *api.Record_Node:
		k.nodes[what.Node.Addr] = what.Node
	case *api.Record_Listing:
		k.onListing(r.At, what.Listing)
	case *api.Record_Mark:
		k.onMark(r.At, what.Mark)
	case *api.Record_Datagram:
		k.Totals.Datagrams++
		k.onDatagram(r.At, what.Datagram)
	}
}

// onListing handles the delivery of an endpoint list, complete or of changes, to a gateway.
func (k *Checker) onListing(at float64, l *api.Listing) {
	byAddr := k.endpointLists[l.Edge]
	if byAddr == nil {
		byAddr = map[string]*listEntry{}
		k.endpointLists[l.Edge] = byAddr
	}
	named := map[string]bool{}
	for _, e := range l.Entries {
		named[e.Addr] = true
		if entry := byAddr[e.Addr]; entry == nil || entry.state != e.State || entry.id != e.Id || entry.startedAt != e.Since {
			if entry != nil && entry.id != e.Id && e.State == "gone" {
				continue // about the previous endpoint of an address that was reused
			}
			since := at
			if entry != nil && entry.state != "ready" && e.State != "ready" {
				since = entry.since // it was already told that the endpoint takes no calls
			}
			byAddr[e.Addr] = &listEntry{state: e.State, since: since, startedAt: e.Since, id: e.Id}
		}
	}
	if l.Whole {
		for addr, entry := range byAddr {
			if !named[addr] && entry.state == "ready" {
				entry.state, entry.since = "gone", at
			}
		}
	}
}

// onMark handles what was done to a process: an endpoint or, with the prefix "edge-", a gateway.
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

// onEndpointStart handles the start of a switch: its slow start begins.
func (k *Checker) onEndpointStart(at float64, m *api.Mark) {
	for address, node := range k.nodes {
		if node.Name != m.Who {
			continue
		}
		if previous := k.startsByAddr[address]; len(previous) > 0 {
			previous[len(previous)-1].end = at
		}
		started := &endpointStart{at: at, endpoint: m.Who, model: m.Start, end: math.Inf(1)}
		k.startsByAddr[address] = append(k.startsByAddr[address], started)
	}
}

// onEndpointStop handles the end of a switch's process, which also ends its slow start.
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

// onGatewayResumed handles the end of a gateway's stall. The gateway could not read what was delivered meanwhile,
// nor answer: lists count as delivered now, and calls that have no final answer yet get another second.
func (k *Checker) onGatewayResumed(at float64, m *api.Mark) {
	k.excuseQueries(at, m)
	k.stalledGateways[m.Who] = false
	for _, entry := range k.endpointLists[m.Who] {
		entry.since = math.Max(entry.since, at)
	}
	for _, c := range k.calls {
		if c.gateway != m.Who || c.finalAnswer != "" {
			continue
		}
		c.deadline = math.Max(c.deadline, at+1000)
		if c.canceledAt > 0 {
			c.canceledAt = at
		}
	}
}

// onGatewayReplaced handles the end of a gateway's process. The next process does not know its calls: to it, a
// retransmission is a new call.
func (k *Checker) onGatewayReplaced(at float64, m *api.Mark) {
	k.excuseQueries(at, m)
	if m.What == "edge-kill" {
		k.killedAt[m.Who] = at
	}
	for _, c := range k.calls {
		if c.gateway != m.Who {
			continue
		}
		for _, a := range c.attempts {
			a.ended = true
		}
	}
}

// onDatagram passes a datagram to the handler for the roles of its sender and receiver.
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
			k.onENUMClientCall(at, d, from)
		}
		return
	}
	m, err := k.Parse(d.Data)
	if err != nil {
		return // not SIP: gossip between gateways, or garbage
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

// onCallerRequest handles a request from a caller: the setup of a call or its cancel.
func (k *Checker) onCallerRequest(at float64, gateway string, r *sip.Request, branch string) {
	switch r.Method {
	case sip.INVITE:
		if siptransaction.Tag(r.To().Params) != "" {
			return
		}
		key := gateway + siptransaction.SessionIDOf(r)
		if k.calls[key] != nil {
			return // a retransmission
		}
		timeout := siptransaction.ParseRetryAfter(siptransaction.HeaderValue(r, "Expires"))
		if timeout == 0 {
			timeout = math.Inf(1)
		}
		c := &call{id: siptransaction.SessionIDOf(r), gateway: gateway, arrivedAt: at, deadline: at + timeout}
		k.calls[key], k.callsByTransaction[gateway+branch] = c, c
		k.Totals.Calls++
	case sip.CANCEL:
		if c := k.callsByTransaction[gateway+branch]; c != nil && c.finalAnswer == "" && c.canceledAt == 0 {
			c.canceledAt = at
		}
	}
}

// onResponseToCaller checks a final answer against rule 1.
func (k *Checker) onResponseToCaller(at float64, gateway string, r *sip.Response, branch string) {
	c := k.callsByTransaction[gateway+branch]
	if c == nil || r.CSeq().MethodName != sip.INVITE || r.StatusCode < 200 {
		return
	}
	final := fmt.Sprintf("%d %s", r.StatusCode, siptransaction.Tag(r.To().Params))
	switch {
	case c.finalAnswer == "":
		c.finalAnswer, c.answeredAt = final, at
		k.Totals.Answers++
		// The process that had this call was killed: to the next process the caller's retransmission is a new call.
		if kill, killed := k.killedAt[gateway]; killed && c.arrivedAt <= kill {
			return
		}
		if at > c.deadline+k.rules.SlackMs {
			k.report(1, c, "final answer %s %.0f ms after the deadline", final, at-c.deadline)
		}
		if c.canceledAt > 0 && at > c.canceledAt+1000 {
			k.report(1, c, "canceled, but the final answer came only %.0f ms later", at-c.canceledAt)
		}
	case c.finalAnswer != final:
		k.report(1, c, "second final answer %s after %s", final, c.finalAnswer)
	}
}

// onSetupRequest handles a request to a switch. It checks a setup against the rules, and records its work for rule 4. A
// cancel or a release changes the state of the attempt.
func (k *Checker) onSetupRequest(at float64, gateway, to string, r *sip.Request, branch, id string) {
	switch r.Method {
	case sip.INVITE:
		if siptransaction.Tag(r.To().Params) != "" {
			return
		}
		a := k.attemptsByTransaction[gateway+branch]
		c := k.calls[gateway+siptransaction.SessionIDOf(r)]
		if c == nil {
			k.report(1, &call{gateway: gateway, id: siptransaction.SessionIDOf(r)}, "setup of a call that no caller sent")
			return
		}
		repeat := a != nil
		if c.finalAnswer != "" && at-c.answeredAt >= k.rules.BlurMs {
			k.report(1, c, "setup sent %.0f ms after the final answer %s", at-c.answeredAt, c.finalAnswer)
		}
		k.checkDraining(at, gateway, to, c)
		k.recordSlowStartWork(at, gateway, to, repeat)
		if repeat {
			k.Totals.Retransmissions++
			return
		}
		k.Totals.Attempts++
		for _, other := range c.attempts {
			if !other.ended {
				k.report(2, c, "second attempt, at %s, while the one at %s is in flight", k.name(to), k.name(other.endpoint))
			}
		}
		if at < c.holdOffUntil {
			k.report(5, c, "attempt sent %.0f ms before the hold-off was over", c.holdOffUntil-at)
		}
		a = &attempt{call: c, endpoint: to}
		c.attemptCount++
		c.attempts = append(c.attempts, a)
		k.attemptsByTransaction[gateway+branch], k.attemptsByDialog[gateway+id] = a, a
	case sip.CANCEL:
		if a := k.attemptsByTransaction[gateway+branch]; a != nil {
			a.canceled = true
		}
	case sip.BYE:
		if a := k.attemptsByDialog[gateway+id]; a != nil && !a.ended {
			a.ended = true
			if a.canceled || !a.established { // established after the gateway gave it up: released only now
				a.call.holdOffUntil = math.Max(a.call.holdOffUntil, at+k.rules.ClearMs)
			}
		}
	}
}

// onSwitchMessage handles an answer, a rejection or a release from a switch. A time-out, a cancel or a reset starts
// the hold-off of the call (rule 5).
func (k *Checker) onSwitchMessage(at float64, gateway string, m sip.Message, branch, id string) {
	switch m := m.(type) {
	case *sip.Response:
		a := k.attemptsByTransaction[gateway+branch]
		if a == nil || m.CSeq().MethodName != sip.INVITE || m.StatusCode < 200 || a.ended {
			return
		}
		if m.StatusCode < 300 {
			a.established = true
			return
		}
		a.ended = true
		if m.StatusCode == 487 || m.StatusCode == 408 {
			a.call.holdOffUntil = math.Max(a.call.holdOffUntil, at+k.rules.ClearMs)
		}
	case *sip.Request:
		if a := k.attemptsByDialog[gateway+id]; a != nil && m.Method == sip.BYE && !a.ended {
			a.ended = true
			if !strings.Contains(siptransaction.HeaderValue(m, siptransaction.ReasonHeader), "cause=16") {
				a.call.holdOffUntil = math.Max(a.call.holdOffUntil, at+k.rules.ClearMs)
			}
		}
	}
}

// checkDraining checks rule 3 for a setup, or an ENUM answer that names the endpoint.
func (k *Checker) checkDraining(at float64, gateway, to string, c *call) {
	if entry := k.endpointLists[gateway][to]; entry != nil && entry.state != "ready" && at > entry.since+k.rules.GraceMs {
		k.report(3, c, "setup to %s %.0f ms after the gateway was told it is %s", k.name(to), at-entry.since, entry.state)
	}
}

// name returns the name of the node at an address, or the address if there is none.
func (k *Checker) name(addr string) string {
	if n := k.nodes[addr]; n != nil {
		return n.Name
	}
	return addr
}

// Finish checks what can be checked only at the end of the capture, and sorts the findings by time.
func (k *Checker) Finish() {
	for _, c := range k.calls {
		if kill, killed := k.killedAt[c.gateway]; killed && c.arrivedAt <= kill &&
			(c.finalAnswer == "" || c.answeredAt > kill) {
			continue // a killed gateway cannot answer the calls that it had
		}
		if due := math.Min(c.deadline, orInf(c.canceledAt)+1000); c.finalAnswer == "" && k.latestAt > due+k.rules.SlackMs &&
			!k.stalledGateways[c.gateway] {
			k.report(1, c, "no final answer; due at %.0f ms", due)
		}
	}
	for addr, starts := range k.startsByAddr {
		for _, s := range starts {
			k.checkSlowStart(addr, s)
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

// Verdicts returns the number of findings of each rule; index 0 is unused.
func (k *Checker) Verdicts() [6]int {
	var counts [6]int
	for _, f := range k.Findings {
		counts[f.Rule]++
	}
	return counts
}
