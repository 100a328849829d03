// Package binarygateway is a gateway that speaks the platform's binary protocol: connections from clients and to
// endpoints, setups, and established calls. It has no I/O and no clock. Bytes and times come in through methods; bytes,
// dials and closes go out through Transport. Package callcontrol keeps the calls and guards the rules, as for the SIP
// gateway.
//
// A call passes a client connection, load shedding, the routing policy and an upstream connection. What comes back runs
// the other way.
package binarygateway

import (
	"cmp"
	"net/netip"
	"slices"

	"cobaltpier/internal/decision/connlimit"
	"cobaltpier/internal/decision/loadshed"
	"cobaltpier/internal/deployment"
	"cobaltpier/internal/detrand"
	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/protocol/callcontrol"
	"cobaltpier/internal/routing"
)

//tally:decisions

// Transport is what a gateway asks of its driver.
type Transport interface {
	// Write hands bytes to a connection; it tells whether all were sent, else OnFlushed follows.
	Write(conn *Conn, data []byte) (flushed bool)
	// Dial opens a connection; OnConnected or OnClosed follows.
	Dial(conn *Conn, to netip.AddrPort)
	// Close closes a connection; nothing follows, and the gateway does not use it any more.
	Close(conn *Conn)
	// CloseWrite closes the sending side of a client's connection, once all that was written has been sent.
	CloseWrite(conn *Conn)
	// SendGossip sends a message of at most MaxGossipSize bytes to another gateway, by its index.
	SendGossip(gateway int, message []byte)
}

// MaxGossipSize is the size of the longest message between gateways, bytes.
const MaxGossipSize = 256

// Config is the configuration of a gateway.
type Config struct {
	Settings       *routing.Settings
	Connections    deployment.Connections
	MaxDescriptors int     // file descriptors of the process
	AnswerMargin   float64 // ms by which final answers are sent before the caller's timeout ends
	LoadShedding   loadshed.Gate
	// DisabledGuard switches the guard of one rule off, for tests of the conformance checker; 0: none.
	DisabledGuard routing.Rule
	// FromUnixMillis turns Unix time, in ms, into the gateway's time.
	FromUnixMillis func(unix float64) float64
}

// Gateway is one gateway. It is not safe for concurrent use: one event loop owns it.
type Gateway struct {
	*callcontrol.Controller
	Metrics Metrics
	// OnMessage, where it is set, sees each message as it comes in or is handed to a connection.
	OnMessage func(conn *Conn, outgoing bool, message binarymessage.Message)

	config        *Config
	transport     Transport
	calls         map[uint64]*call // by ID: pending and established
	upstreams     map[*routing.Endpoint]*upstream
	clients       map[netip.Addr]*client
	clientConns   []*Conn
	pendingChecks []healthCheck // that wait until the gateway is ready
	dirtyConns    []*Conn       // with messages to be written at the end of the batch
	resumedCalls  int           // established calls that were set up by an earlier process
	startedAt     float64
	ready         bool
	draining      bool
	randomDraws         uint64 // random numbers drawn so far
}

// healthCheck is a client's question whether this gateway takes calls.
type healthCheck struct {
	conn   *Conn
	callID uint64
}

const (
	readyTimeout        = 1000.0 // ms: health checks are answered by then even if no endpoint was reached
	maintenanceInterval = 250.0  // ms
	maxReportingConns   = 4      // an endpoint reports its load on no more connections
	maxPendingChecks    = 1000
	randomStream        = 0x6c696e6b // keeps random numbers here apart from the policy's, which has the same seed
)

// New makes a gateway; newPolicy makes its routing policy.
func New(now float64, config *Config, newPolicy routing.PolicyFactory, transport Transport) *Gateway {
	controller := callcontrol.New(&callcontrol.Config{
		Settings:      config.Settings,
		AnswerMargin:  config.AnswerMargin,
		LoadShedding:  config.LoadShedding,
		DisabledGuard: config.DisabledGuard,
	})
	g := &Gateway{
		Controller: controller,
		config:     config,
		transport:  transport,
		calls:      map[uint64]*call{},
		upstreams:  map[*routing.Endpoint]*upstream{},
		clients:    map[netip.Addr]*client{},
		startedAt:  now,
	}
	g.Now = now
	g.Router = newPolicy(config.Settings, g)
	g.Timers.Schedule(now+maintenanceInterval, g.maintain)
	return g
}

// ProbeHealth implements routing.Host. A health check shows no load, so none is sent.
func (g *Gateway) ProbeHealth(endpoint *routing.Endpoint) {
	g.Timers.Schedule(g.Now, func() {
		u := g.upstreams[endpoint]
		connected := u != nil && u.connectedConns() > 0
		g.Router.OnLoadReport(g.Now, endpoint, connected, false)
	})
}

// SendGossip implements routing.Host.
func (g *Gateway) SendGossip(gateway int, message []byte) { g.transport.SendGossip(gateway, message) }

// OnPeerMessage takes another gateway's message.
func (g *Gateway) OnPeerMessage(now float64, sender int, message []byte) {
	g.Now = now
	settings := g.config.Settings
	known := sender >= 0 && sender < settings.Gateways && sender != settings.GatewayIndex
	if known && len(message) <= MaxGossipSize {
		g.Router.OnGossip(now, sender, message)
	}
}

// Step ends a batch of events: timers that are due run, calls that arrived are handed to the policy, and messages are
// written.
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

// NextWakeup is when Step is wanted next.
func (g *Gateway) NextWakeup() float64 {
	if len(g.dirtyConns) > 0 {
		return g.Now
	}
	return g.Controller.NextWakeup()
}

// BeginDrain fails health checks from now on, so that clients go elsewhere.
func (g *Gateway) BeginDrain() { g.draining = true }

// RejectAll rejects all pending calls, before the process exits.
func (g *Gateway) RejectAll(now float64) {
	g.StopAdmitting()
	g.Step(now) // what has just arrived is admitted, and rejected
	var unanswered []*call
	for _, call := range g.calls {
		if call.upstream == nil {
			unanswered = append(unanswered, call)
		}
	}
	slices.SortFunc(unanswered, compareByID)
	for _, call := range unanswered {
		call.SendRejection(0)
	}
	g.Step(now)
}

// CloseClientWrites closes the sending side of all client connections. Clients send setups that cross it again
// elsewhere.
func (g *Gateway) CloseClientWrites() {
	for _, conn := range g.clientConns {
		conn.writeClosed = true
		g.transport.CloseWrite(conn)
	}
}

// maintain runs at an interval: it closes idle connections, drops what has expired and checks endpoints.
func (g *Gateway) maintain() {
	g.Timers.Schedule(g.Now+maintenanceInterval, g.maintain)
	g.updateReadiness()
	for _, conn := range slices.Clone(g.clientConns) {
		if state := conn.state(); state.ShouldClose(g.Now) {
			g.Metrics.IdleClosed++
			conn.close()
		}
	}
	for address, client := range g.clients {
		client.dropExpiredReleases(g.Now)
		if len(client.conns) == 0 && len(client.pendingReleases) == 0 && client.establishedCalls == 0 {
			delete(g.clients, address)
		}
	}
	for _, u := range g.sortedUpstreams() {
		u.checkLiveness()
	}
}

// sortedUpstreams is the upstreams in the order of their endpoints' IDs, so that runs can be repeated.
func (g *Gateway) sortedUpstreams() []*upstream {
	upstreams := make([]*upstream, 0, len(g.upstreams))
	for _, u := range g.upstreams {
		upstreams = append(upstreams, u)
	}
	slices.SortFunc(upstreams, func(a, b *upstream) int {
		return cmp.Compare(g.Endpoints.IDOf(a.endpoint), g.Endpoints.IDOf(b.endpoint))
	})
	return upstreams
}

// updateReadiness answers pending health checks once calls can be taken.
func (g *Gateway) updateReadiness() {
	for _, u := range g.upstreams {
		g.ready = g.ready || u.connectedConns() > 0
	}
	g.ready = g.ready || g.Now > g.startedAt+readyTimeout
	if !g.ready {
		return
	}
	result := binarymessage.HealthPassed
	if g.draining {
		result = binarymessage.HealthFailed
	}
	for _, check := range g.pendingChecks {
		check.conn.send(binarymessage.Append(nil, binarymessage.HealthResult, check.callID, result))
	}
	g.pendingChecks = nil
}

// connsPerEndpoint is how many connections each endpoint gets at most.
func (g *Gateway) connsPerEndpoint() int {
	return connlimit.MaxConnsPerEndpoint(g.config.MaxDescriptors, len(g.upstreams), maxReportingConns)
}

// random draws a number from 0 to 1.
func (g *Gateway) random() float64 {
	g.randomDraws++
	return detrand.Float64(g.config.Settings.Seed, randomStream, g.randomDraws)
}
