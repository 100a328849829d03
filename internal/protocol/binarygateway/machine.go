// Package binarygateway is the platform's door of a gateway, without I/O or clock: callers' connections, lines to core
// switches, calls and standing calls. Bytes and times come in through methods; bytes, connects and closes go out through
// Out. The call control is the one that the edge has (package control), and so are the guards of the rules.
//
// A call passes caller link, intake, module, line; what comes back runs the other way.
package binarygateway

import (
	"net/netip"
	"slices"

	"cobaltpier/internal/decision/connlimit"
	"cobaltpier/internal/decision/loadshed"
	"cobaltpier/internal/deployment"
	"cobaltpier/internal/detrand"
	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/protocol/callcontrol"
	"cobaltpier/internal/protocol/dnsdiscovery"
	"cobaltpier/internal/protocol/endpointset"
	"cobaltpier/internal/routing"
)

//tally:decisions

// Transport is what a machine asks of its driver.
type Transport interface {
	// Write hands bytes to a link's socket; it tells whether all of them have left, else Left follows.
	Write(l *Conn, b []byte) (left bool)
	// Dial opens a link; Connected or Closed follows.
	Dial(l *Conn, to netip.AddrPort)
	// Close closes a link; nothing follows. The machine does not use it any more.
	Close(l *Conn)
	// CloseWrite ends a caller's link in order, once all that was written has left: nothing more is written to it.
	CloseWrite(l *Conn)
	// SendGossip sends a message of at most 256 bytes to another gateway, by its number.
	SendGossip(gateway int, data []byte)
}

// Config is what a machine is told at start.
type Config struct {
	Settings       *routing.Settings
	Connections    deployment.Connections
	MaxDescriptors int     // descriptors
	AnswerMargin   float64 // ms: final answers leave so long before the caller's timeout ends
	LoadShedding   loadshed.Gate
	// DisabledGuard switches the guard of one rule off, for tests of the conformance checker; 0: none.
	DisabledGuard routing.Rule
	// FromUnixMillis turns the Unix ms of a start into the clock that is handed in.
	FromUnixMillis func(unix float64) float64
}

// Gateway is one gateway's door to the platform.
type Gateway struct {
	*callcontrol.Controller
	Metrics Metrics
	// OnMessage, where it is set, sees each message as it comes or is handed to a socket.
	OnMessage func(l *Conn, out bool, msg binarymessage.Message)

	config        *Config
	transport     Transport
	calls         map[uint64]*call // by id: open and standing
	upstreams     map[*routing.Endpoint]*upstream
	clients       map[netip.Addr]*client
	clientConns   []*Conn       // callers' connections
	pendingChecks []healthCheck // that wait for the gateway to be ready
	dirtyConns    []*Conn
	resumedCalls  int // standing calls that were told by their callers
	startedAt     float64
	ready         bool
	draining      bool
	draws         uint64
}

// Metrics counts what was seen on the connections.
type Metrics struct {
	Accepted, Evicted, IdleClosed, Malformed, InvalidRequests, Duplicates                                                uint64 // callers'
	Dialed, Connected, ConnectionsRefused, ConnectTimeouts, ConnectionsLost, ProtocolErrors, Withdrawn, UnmatchedAnswers uint64 // lines'
	CallsCut, CallsResumed, ReleasesDeferred, ReleasesDropped, LateAnswers, EndpointsDead, ReleasesByCaller              uint64 // standing calls
}

// healthCheck is a caller's question whether calls are taken here.
type healthCheck struct {
	conn   *Conn
	callID uint64
}

const (
	readyTimeout        = 1000.0 // ms: tests are passed by then even if no switch was reached
	maintenanceInterval = 250.0  // ms between two looks at what is left over
	maxReportingConns   = 4      // a switch tells its state on no more connections
)

// New makes a machine; its module comes from mk.
func New(now float64, cfg *Config, mk routing.PolicyFactory, out Transport) *Gateway {
	g := &Gateway{Controller: callcontrol.New(&callcontrol.Config{Settings: cfg.Settings, AnswerMargin: cfg.AnswerMargin, LoadShedding: cfg.LoadShedding, DisabledGuard: cfg.DisabledGuard}), config: cfg, transport: out,
		calls: map[uint64]*call{}, upstreams: map[*routing.Endpoint]*upstream{}, clients: map[netip.Addr]*client{}, startedAt: now}
	g.Now = now
	g.Router = mk(cfg.Settings, g)
	g.Timers.Schedule(now+maintenanceInterval, g.maintain)
	return g
}

// ProbeHealth implements routing.Host: a test shows no load, so there is nothing to ask.
func (g *Gateway) ProbeHealth(endpoint *routing.Endpoint) {
	g.Timers.Schedule(g.Now, func() {
		g.Router.OnLoadReport(g.Now, endpoint, g.upstreams[endpoint] != nil && g.upstreams[endpoint].connectedConns() > 0, false)
	})
}

// BeginDrain has tests fail from now on: whoever asks is to go elsewhere.
func (g *Gateway) BeginDrain() { g.draining = true }

// RejectAll answers whatever is still held, before the process ends.
func (g *Gateway) RejectAll(now float64) {
	g.StopAdmitting()
	g.Step(now) // what has just come is taken and rejected
	var unanswered []*call
	for _, c := range g.calls {
		if c.upstream == nil {
			unanswered = append(unanswered, c)
		}
	}
	slices.SortFunc(unanswered, compareByID)
	for _, c := range unanswered {
		c.SendRejection(0)
	}
	g.Step(now)
}

// ClientConns is how many callers' links are there, and on how many of them something has not left.
func (g *Gateway) ClientConns() (unsent, open int) {
	for _, conn := range g.clientConns {
		if f := conn.connState(); f.HasUnsentData {
			unsent++
		}
	}
	return unsent, len(g.clientConns)
}

// CloseClientWrites ends callers' links in order: what crosses it is sent once more elsewhere.
func (g *Gateway) CloseClientWrites() {
	for _, conn := range g.clientConns {
		conn.writeClosed = true
		g.transport.CloseWrite(conn)
	}
}

// SendGossip implements routing.Host.
func (g *Gateway) SendGossip(to int, data []byte) { g.transport.SendGossip(to, data) }

// OnPeerMessage takes another gateway's message.
func (g *Gateway) OnPeerMessage(now float64, sender int, data []byte) {
	g.Now = now
	if len(data) <= 256 && sender >= 0 && sender < g.config.Settings.Gateways && sender != g.config.Settings.GatewayIndex {
		g.Router.OnGossip(now, sender, data)
	}
}

// OnEndpointList takes a list. What it says of an endpoint counts from now on (rule 3): setups to an endpoint that drains or is gone that
// wait here are withdrawn. The lines to a switch that is gone are closed, and calls there have ended with it; one with a
// new id is another switch, whatever its address.
func (g *Gateway) OnEndpointList(now float64, list *dnsdiscovery.List) {
	g.Now = now
	entries := make([]endpointset.Entry[string], len(list.Targets))
	for i, target := range list.Targets {
		entries[i] = endpointset.Entry[string]{ID: target.ID, DestinationID: target.DestinationID, State: target.State}
		if target.StartedAt > 0 {
			entries[i].StartedAt = g.config.FromUnixMillis(target.StartedAt)
		}
		if endpoint := g.Endpoints.ByID(target.ID); endpoint != nil && target.State == routing.Gone && entries[i].DestinationID < 0 {
			entries[i].DestinationID = endpoint.DestinationID
		}
	}
	changed := g.Endpoints.Apply(entries, list.Complete)
	for _, target := range list.Targets {
		endpoint := g.Endpoints.ByID(target.ID)
		if existing := g.upstreams[endpoint]; existing == nil && endpoint.State != routing.Gone {
			g.upstreams[endpoint] = newUpstream(g, endpoint, target.Addr)
		} else if existing != nil && target.Addr.IsValid() && existing.address != target.Addr && endpoint.State != routing.Gone {
			existing.changeAddress(target.Addr)
		}
	}
	for _, endpoint := range changed {
		u := g.upstreams[endpoint]
		if u == nil {
			continue
		}
		if endpoint.State != routing.Ready {
			u.withdrawUnsent()
		}
		if endpoint.State == routing.Gone {
			u.closeAll()
			delete(g.upstreams, endpoint)
		} else if endpoint.StartedAt > u.startedAt {
			u.onRestart(endpoint.StartedAt)
		}
	}
	g.Router.OnEndpoints(now, changed)
	for _, endpoint := range changed {
		if u := g.upstreams[endpoint]; u != nil {
			u.maintainConns()
		} else {
			g.Endpoints.Remove(endpoint)
		}
	}
}

// connsPerEndpoint is how many lines each switch gets.
func (g *Gateway) connsPerEndpoint() int {
	return connlimit.MaxConnsPerEndpoint(g.config.MaxDescriptors, len(g.upstreams), maxReportingConns)
}

// Step ends a batch: timers that are due run, what came is offered to the module, and what was made leaves.
func (g *Gateway) Step(now float64) {
	g.ProcessBatch(now, nil)
	for len(g.dirtyConns) > 0 {
		dirty := g.dirtyConns
		g.dirtyConns = nil
		for _, conn := range dirty {
			conn.flush()
		}
	}
}

// NextWakeup is when Turn is wanted, on the clock that was handed in.
func (g *Gateway) NextWakeup() float64 {
	if len(g.dirtyConns) > 0 {
		return g.Now
	}
	return g.Controller.NextWakeup()
}

// maintain looks after what nobody else does: connections that carry nothing, releases that could not be sent, tests.
func (g *Gateway) maintain() {
	g.Timers.Schedule(g.Now+maintenanceInterval, g.maintain)
	g.updateReadiness()
	for _, conn := range slices.Clone(g.clientConns) {
		if f := conn.connState(); f.ShouldClose(g.Now) {
			g.Metrics.IdleClosed++
			conn.close()
		}
	}
	for a, client := range g.clients {
		client.dropExpiredReleases(g.Now)
		if len(client.conns) == 0 && len(client.pendingReleases) == 0 && client.establishedCalls == 0 {
			delete(g.clients, a)
		}
	}
	for _, endpoint := range g.upstreamsInOrder() {
		g.upstreams[endpoint].checkLiveness()
	}
}

// upstreamsInOrder is the endpoints that have a trunk, in the order of their ids.
func (g *Gateway) upstreamsInOrder() []*routing.Endpoint {
	endpoints := make([]*routing.Endpoint, 0, len(g.upstreams))
	for endpoint := range g.upstreams {
		endpoints = append(endpoints, endpoint)
	}
	slices.SortFunc(endpoints, func(a, b *routing.Endpoint) int {
		if g.Endpoints.IDOf(a) < g.Endpoints.IDOf(b) {
			return -1
		}
		return 1
	})
	return endpoints
}

// updateReadiness passes the tests that wait once calls can be taken.
func (g *Gateway) updateReadiness() bool {
	for _, u := range g.upstreams {
		g.ready = g.ready || u.connectedConns() > 0
	}
	g.ready = g.ready || g.Now > g.startedAt+readyTimeout
	if g.ready {
		passed := byte(1)
		if g.draining {
			passed = 0
		}
		for _, t := range g.pendingChecks {
			t.conn.send(binarymessage.Append(nil, binarymessage.HealthResult, t.callID, binarymessage.CauseParam(passed)))
		}
		g.pendingChecks = nil
	}
	return g.ready
}

// random draws a number from 0 to 1.
func (g *Gateway) random() float64 {
	g.draws++
	return detrand.Float64(g.config.Settings.Seed, 0x6c696e6b, g.draws)
}

// OpenCounts is how much the machine holds: for tests of what is left after churn.
func (g *Gateway) OpenCounts() (calls, trunks, clients, links, timers int) {
	return len(g.calls), len(g.upstreams), len(g.clients), len(g.clientConns), g.Timers.Len()
}

// RememberedCounts is how many calls that are over here are remembered: given up at their switch, ended and unknown.
func (g *Gateway) RememberedCounts() (late, ends int) {
	for _, u := range g.upstreams {
		late += len(u.canceled)
		ends += len(u.unknownEnds)
	}
	return
}

// EstablishedCalls is how many calls stand, resumed ones included.
func (g *Gateway) EstablishedCalls() int {
	_, n := g.InProgress()
	return n + g.resumedCalls
}

// applyLoadReport reads a load report (`a:1;b:2`) over the endpoint's older one. It tells whether figures of the processor came. What
// makes no sense is passed over.
func (g *Gateway) applyLoadReport(endpoint *routing.Endpoint, msg binarymessage.Message) (reported, complete bool) {
	v, ok := msg.Get(binarymessage.Report)
	if !ok {
		return false, false
	}
	for parameter := range parameters(string(v)) {
		if number, ok := parseNumber(parameter.value); ok {
			if deployment.SetLoadReportField(&endpoint.LoadReport, parameter.name, number) {
				complete = true
			}
		}
	}
	return true, complete
}
