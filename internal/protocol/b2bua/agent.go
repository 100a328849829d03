// Package b2bua is a call-stateful back-to-back user agent (RFC 3261, section 6): it accepts SIP calls, hands
// each to the routing policy and sets it up over a trunk group. It has no I/O and no clock: datagrams, endpoint lists,
// gossip and the current time are passed to its methods, and datagrams leave through Transport. Package callcontrol
// keeps the calls and enforces the rules, as it does for the binary gateway.
//
// A call passes through the caller's dialog, load shedding, number analysis if a number table is set, the routing
// policy and an outbound leg. Responses take the reverse path.
package b2bua

import (
	"hash/fnv"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/emiago/sipgo/sip"

	"cobaltpier/internal/decision/loadshed"
	"cobaltpier/internal/decision/numberplan"
	"cobaltpier/internal/protocol/callcontrol"
	"cobaltpier/internal/protocol/endpointset"
	"cobaltpier/internal/protocol/siptransaction"
	"cobaltpier/internal/routing"
)

//tally:decisions

// Transport sends the agent's messages.
type Transport interface {
	// Send sends a SIP datagram.
	Send(to netip.AddrPort, data []byte)
	// SendGossip sends a message of at most 256 bytes to the gateway with this index.
	SendGossip(gateway int, data []byte)
}

// Group is a trunk group (RFC 4904) to an endpoint.
type Group struct {
	Name          string // tgrp
	DestinationID int    // of the endpoint
	Circuits      int
	inUse         int // in use by this gateway
}

// Lookup resolves the portability of numbers, for number tables that ask for it.
type Lookup interface {
	// Resolve looks a number up. It calls done exactly once, within timeout ms and possibly before it returns; stop
	// cancels the look-up.
	Resolve(
		now float64, digits string, timeout float64, done func(now float64, found numberplan.LookupResult),
	) (stop func())
	// Wake runs the timers that are due.
	Wake(now float64)
	NextWakeup() float64
}

// Config is the configuration of an agent.
type Config struct {
	Name         string // unique among the gateways; in tags and call ids
	Address      netip.AddrPort
	TrunkContext string // trunk-context (RFC 4904)
	Settings     *routing.Settings
	Times        siptransaction.TimerValues
	Groups       []Group
	DefaultClass string  // the class of a call that names none
	AnswerMargin float64 // ms before the caller's timeout by which the final answer is sent
	LoadShedding loadshed.Gate
	Parse        func([]byte) (sip.Message, error) // if nil, siptransaction.Parse is used
	// Table routes called numbers. If it is nil, callers name class and trunk group themselves.
	Table        *numberplan.Table
	NumberLookup Lookup    // nil if look-ups are not available
	LookupShare  float64   // share of a call's remaining timeout that a look-up may use
	Epoch        time.Time // the wall-clock time at which this agent's clock is 0, for times of day
	// DisabledGuard turns off the enforcement of one rule, for tests of the conformance checker. If it is 0, all are
	// enforced.
	DisabledGuard routing.Rule
}

// ListEntry is one line of the endpoint list.
type ListEntry struct {
	ID            string
	DestinationID int
	State         routing.State
	StartedAt     float64 // ms on this agent's clock; 0 stands for long ago
	Addr          netip.AddrPort
}

// Counts are the agent's counters since its start.
type Counts = callcontrol.Counts

// CallRecord is a call's final answer, for logs.
type CallRecord struct {
	SessionID  string
	Class      string
	Answer     int // the final answer's code
	Attempts   int
	DurationMs float64 // ms from its arrival to its final answer
	Table      uint64  // version of the number table that was used; 0 if none was
	Route      string  // name of the route; empty if there is none
}

// Agent is one gateway. It is not safe for concurrent use: one event loop owns it.
type Agent struct {
	*callcontrol.Controller
	OnCallEnd func(CallRecord) // may be nil

	config              *Config
	transport           Transport
	ids                 siptransaction.Generator
	sip                 *siptransaction.Layer
	addresses           map[*routing.Endpoint]netip.AddrPort
	groupsByDestination map[int]*Group     // by destination ID
	groupsByName        map[string]*Group  // by tgrp
	dialogs             map[string]*dialog // by local tag
	refusals            loadshed.Refusals
	table               *numberplan.Table
	tables              map[*numberplan.Table]int // number of calls without a final answer per table
	drawCount           uint64
}

// New returns an agent; newPolicy makes its routing policy.
func New(cfg *Config, newPolicy routing.PolicyFactory, out Transport) *Agent {
	a := &Agent{
		Controller: callcontrol.New(
			&callcontrol.Config{
				Settings:      cfg.Settings,
				AnswerMargin:  cfg.AnswerMargin,
				LoadShedding:  cfg.LoadShedding,
				DisabledGuard: cfg.DisabledGuard,
			},
		),
		config:              cfg,
		transport:           out,
		addresses:           map[*routing.Endpoint]netip.AddrPort{},
		groupsByDestination: map[int]*Group{},
		groupsByName:        map[string]*Group{},
		dialogs:             map[string]*dialog{},
		table:               cfg.Table,
		tables:              map[*numberplan.Table]int{},
	}
	h := fnv.New64a()
	h.Write([]byte(cfg.Name))
	a.ids.Seed = cfg.Settings.Seed ^ h.Sum64()
	for i := range cfg.Groups {
		g := &cfg.Groups[i]
		a.groupsByDestination[g.DestinationID], a.groupsByName[g.Name] = g, g
	}
	a.refusals.Retention = 64 * cfg.Times.T1
	a.sip = siptransaction.NewLayer(cfg.Address, cfg.Times, &a.ids, &a.Timers, a, out.Send)
	if cfg.Parse != nil {
		a.sip.Parse = cfg.Parse
	}
	a.Router = newPolicy(cfg.Settings, a)
	return a
}

// Receive takes a datagram of the SIP socket. New calls are handed to the policy by the next Step.
func (a *Agent) Receive(now float64, from netip.AddrPort, data []byte) {
	a.Now = now
	a.sip.Receive(now, from, data)
}

// OnPeerMessage takes another gateway's message.
func (a *Agent) OnPeerMessage(now float64, from int, data []byte) {
	a.Now, a.sip.Now = now, now
	if len(data) <= 256 && from >= 0 && from < a.config.Settings.Gateways && from != a.config.Settings.GatewayIndex {
		a.Router.OnGossip(now, from, data)
	}
}

// OnEndpointList applies an endpoint list, complete or of changes only. It takes effect at once (rule 3): setups to an
// endpoint that drains or is gone are no longer retransmitted.
func (a *Agent) OnEndpointList(now float64, list []ListEntry, complete bool) {
	a.Now, a.sip.Now = now, now
	entries := make([]endpointset.Entry[string], len(list))
	for i, m := range list {
		entries[i] = endpointset.Entry[string]{
			ID:            m.ID,
			DestinationID: m.DestinationID,
			State:         m.State,
			StartedAt:     m.StartedAt,
		}
	}
	changed := a.Endpoints.Apply(entries, complete)
	for _, m := range list {
		endpoint := a.Endpoints.ByID(m.ID)
		if _, known := a.addresses[endpoint]; !known {
			if g := a.groupsByDestination[endpoint.DestinationID]; g != nil {
				endpoint.LoadReport.Capacity, endpoint.LoadReport.Free = float64(g.Circuits), float64(g.Circuits)
			}
		}
		a.addresses[endpoint] = m.Addr
	}
	for _, endpoint := range changed {
		if endpoint.State != routing.Ready {
			for _, d := range a.dialogs {
				if d.leg != nil && d.leg.attempt.Endpoint == endpoint && !d.leg.tx.HasResponse() {
					d.leg.tx.StopRetransmitting()
				}
			}
		}
	}
	a.Router.OnEndpoints(now, changed)
}

// Step ends a batch of events: it runs due timers, then hands calls that arrived to the policy.
func (a *Agent) Step(now float64) {
	a.sip.Now = now
	a.ProcessBatch(now, func() {
		if a.config.NumberLookup != nil {
			a.config.NumberLookup.Wake(now)
		}
	})
}

// NextWakeup returns the time at which Step has to be called next.
func (a *Agent) NextWakeup() float64 {
	at := a.Controller.NextWakeup()
	if a.config.NumberLookup != nil {
		at = math.Min(at, a.config.NumberLookup.NextWakeup())
	}
	return at
}

// ReleaseAll releases all established calls.
func (a *Agent) ReleaseAll(now float64) {
	a.Now, a.sip.Now = now, now
	var tags []string
	for tag, d := range a.dialogs {
		if d.leg == nil {
			tags = append(tags, tag)
		}
	}
	slices.Sort(tags)
	for _, tag := range tags {
		if d := a.dialogs[tag]; d != nil {
			d.call.release(routing.Reset, temporaryFailure)
		}
	}
}

// OpenCounts returns the number of open dialogs, transactions and timers.
func (a *Agent) OpenCounts() (dialogs, transactions, timers int) {
	c, s := a.sip.OpenCounts()
	return len(a.dialogs), c + s, a.Timers.Len()
}

// ProbeHealth implements routing.Host: it sends OPTIONS (RFC 3261 11).
func (a *Agent) ProbeHealth(endpoint *routing.Endpoint) {
	to := a.addresses[endpoint]
	req := sip.NewRequest(sip.OPTIONS, sip.Uri{Scheme: "sip", Host: to.Addr().String(), Port: int(to.Port())})
	a.addCommonHeaders(
		req,
		&sip.FromHeader{Address: a.ownURI(""), Params: sip.HeaderParams{{K: "tag", V: a.ids.Next()}}},
		&sip.ToHeader{Address: req.Recipient},
		a.ids.Next()+"@"+a.config.Name,
		1,
	)
	a.sip.Send(req, to, overloadControlParams, func(res *sip.Response) {
		hasLoadReport := res != nil && a.applyLoadReport(endpoint, res)
		a.Router.OnLoadReport(a.Now, endpoint, res != nil && res.StatusCode < 300, hasLoadReport)
	})
}

// SendGossip implements routing.Host.
func (a *Agent) SendGossip(to int, data []byte) { a.transport.SendGossip(to, data) }

// OnRequest implements siptransaction.User.
func (a *Agent) OnRequest(s *siptransaction.Server, req *sip.Request) {
	a.Now = a.sip.Now
	tag := siptransaction.Tag(req.To().Params)
	d := a.dialogs[tag]
	if d != nil && d.callID != string(*req.CallID()) {
		d = nil
	}
	switch {
	case req.Method == sip.INVITE && tag == "":
		a.onInvite(s, req)
	case req.Method == sip.OPTIONS && tag == "":
		s.Respond(siptransaction.Response(req, 200, "OK", a.ids.Next()))
	case tag != "" && d == nil:
		s.Respond(siptransaction.Response(req, 481, "Call/Transaction Does Not Exist", ""))
	case req.Method == sip.BYE && d != nil:
		s.Respond(siptransaction.Response(req, 200, "OK", ""))
		d.onBye(req)
	case req.Method == sip.INVITE:
		s.Respond(siptransaction.Response(req, 488, "Not Acceptable Here", "")) // re-INVITE: the call continues unchanged
	case req.Method == sip.OPTIONS:
		s.Respond(siptransaction.Response(req, 200, "OK", ""))
	default:
		res := siptransaction.Response(req, 405, "Method Not Allowed", a.ids.Next())
		res.AppendHeader(sip.NewHeader("Allow", "INVITE, ACK, CANCEL, BYE, OPTIONS"))
		s.Respond(res)
	}
}

// ownURI returns this agent's URI with a user part.
func (a *Agent) ownURI(user string) sip.Uri {
	return sip.Uri{Scheme: "sip", User: user, Host: a.config.Address.Addr().String(), Port: int(a.config.Address.Port())}
}

// addCommonHeaders adds the header fields that every request has (RFC 3261 8.1.1), except Via.
func (a *Agent) addCommonHeaders(req *sip.Request, from *sip.FromHeader, to *sip.ToHeader, callID string, seq uint32) {
	id := sip.CallIDHeader(callID)
	req.AppendHeader(from)
	req.AppendHeader(to)
	req.AppendHeader(&id)
	req.AppendHeader(&sip.CSeqHeader{SeqNo: seq, MethodName: req.Method})
	req.AppendHeader(sip.NewHeader("Max-Forwards", "70"))
}
