// Package binarygateway implements a gateway for the platform's binary protocol: it handles connections from clients
// and to endpoints, setups, and established calls. It has no I/O and no clock: bytes and times are passed to its
// methods, and it writes, dials and closes through Transport. Package callcontrol keeps the state of calls and enforces
// the rules, as it does for the SIP gateway.
//
// A call passes through a client connection, load shedding, the routing policy and an upstream connection. Answers and
// releases take the same path in reverse.
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
	"cobaltpier/internal/protocol/delivery"
	"cobaltpier/internal/routing"
)

//tally:decisions

// Transport is the I/O interface through which a gateway uses connections; its driver implements it.
type Transport interface {
	// Write sends bytes on a connection and reports whether all were sent; otherwise OnFlushed follows.
	Write(conn *Conn, data []byte) (flushed bool)
	// Dial opens a connection. OnConnected or OnClosed follows.
	Dial(conn *Conn, to netip.AddrPort)
	// Close closes a connection. No event follows, and the gateway no longer uses the connection.
	Close(conn *Conn)
	// CloseWrite closes the sending side of a client connection once all written data has been sent.
	CloseWrite(conn *Conn)
	// SendGossip sends a message of at most MaxGossipSize bytes to another gateway, by its index.
	SendGossip(gateway int, message []byte)
}

// MaxGossipSize is the maximum size of a message between gateways, in bytes.
const MaxGossipSize = 256

// Config is the configuration of a gateway.
type Config struct {
	Settings       *routing.Settings
	Connections    deployment.Connections
	MaxDescriptors int     // file descriptors of the process
	AnswerMargin   float64 // ms before the end of the caller's timeout by which the final answer is sent
	LoadShedding   loadshed.Gate
	SetupMemory    loadshed.SetupMemory
	// DisabledGuard disables the guard of one rule, for tests of the conformance checker. 0 disables none.
	DisabledGuard routing.Rule
	// FromUnixMillis converts Unix time, in ms, to the gateway's clock.
	FromUnixMillis func(unix float64) float64
}

// Gateway is a gateway of the binary protocol. It is not safe for concurrent use: one event loop owns it.
type Gateway struct {
	*callcontrol.Controller
	Metrics Metrics
	// OnMessage, if set, is called with each message that is received or handed to a connection.
	OnMessage func(conn *Conn, outgoing bool, message binarymessage.Message)

	config        *Config
	transport     Transport
	setupMemory   loadshed.SetupMemory
	calls         map[uint64]*call // by ID: pending and established
	upstreams     map[*routing.Endpoint]*upstream
	clients       map[netip.Addr]*client
	clientConns   []*Conn
	pendingChecks []healthCheck // answered once the gateway is ready
	dirtyConns    []*Conn       // to be flushed at the end of the batch
	resumed       resumedCalls
	startedAt     float64
	ready         bool
	draining      bool
	randomDraws   uint64 // random numbers drawn so far

	clientReleases delivery.Budget // owed to clients
	// mostOwed is the client that loses releases while too many are owed to clients, for as many overflows.
	mostOwed             *client
	overflowsUntilSearch int
	endpointReleases     delivery.Budget // owed to endpoints
}

// healthCheck is a client's unanswered query whether this gateway takes calls.
type healthCheck struct {
	conn   *Conn
	callID uint64
}

const (
	readyTimeout        = 1000.0 // ms: health checks are answered from then on, even without an endpoint connection
	maintenanceInterval = 250.0  // ms
	maxReportingConns   = 4      // an endpoint reports its load on at most this many connections
	maxPendingChecks    = 1000
	randomStream        = 0x6c696e6b // separates random numbers here from the policy's, which uses the same seed
)

// New returns a gateway with the routing policy that newPolicy creates.
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

		setupMemory:      config.SetupMemory,
		clientReleases:   delivery.Budget{Limit: maxClientReleases},
		endpointReleases: delivery.Budget{Limit: maxEndpointReleases},
	}
	g.Now = now
	g.Router = newPolicy(config.Settings, g)
	g.Timers.Schedule(now+maintenanceInterval, g.maintain)
	return g
}

// ProbeHealth implements routing.Host. It reports whether the endpoint has a connection. It sends no health check,
// since the result of one carries no load report.
func (g *Gateway) ProbeHealth(endpoint *routing.Endpoint) {
	g.Timers.Schedule(g.Now, func() {
		u := g.upstreams[endpoint]
		connected := u != nil && u.connectedConns() > 0
		g.Router.OnLoadReport(g.Now, endpoint, connected, false)
	})
}

// SendGossip implements routing.Host.
func (g *Gateway) SendGossip(gateway int, message []byte) { g.transport.SendGossip(gateway, message) }

// OnPeerMessage handles a gossip message from another gateway.
func (g *Gateway) OnPeerMessage(now float64, sender int, message []byte) {
	g.Now = now
	settings := g.config.Settings
	known := sender >= 0 && sender < settings.Gateways && sender != settings.GatewayIndex
	if known && len(message) <= MaxGossipSize {
		g.Router.OnGossip(now, sender, message)
	}
}

// Step ends a batch of events: it runs due timers, passes new calls to the policy and writes queued messages.
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

// NextWakeup returns the time at which Step is due next.
func (g *Gateway) NextWakeup() float64 {
	if len(g.dirtyConns) > 0 {
		return g.Now
	}
	return g.Controller.NextWakeup()
}

// BeginDrain makes all further health checks fail, so that clients use other gateways.
func (g *Gateway) BeginDrain() { g.draining = true }

// RejectAll answers all pending calls before the process exits: it rejects them, or fails those that may have been
// executed and must not be repeated.
func (g *Gateway) RejectAll(now float64) {
	g.StopAdmitting()
	g.Step(now) // calls that have just arrived are admitted, then rejected
	var unanswered []*call
	for _, call := range g.calls {
		if call.upstream == nil {
			unanswered = append(unanswered, call)
		}
	}
	slices.SortFunc(unanswered, compareByID)
	for _, call := range unanswered {
		call.Reject(0)
	}
	g.Step(now)
}

// CloseClientWrites closes the sending side of all client connections. A client whose setup crosses the close repeats
// it at another gateway.
func (g *Gateway) CloseClientWrites() {
	for _, conn := range g.clientConns {
		conn.writeClosed = true
		g.transport.CloseWrite(conn)
	}
}

// maintain runs every maintenanceInterval: it closes idle connections, drops expired state and checks the liveness of
// endpoints.
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
		client.outbox.Expire(g.Now)
		g.resumed.setAbsent(client, client.isAbsent())
		if len(client.conns) == 0 && client.outbox.Len() == 0 && client.establishedCalls == 0 {
			delete(g.clients, address)
		}
	}
	for _, u := range g.sortedUpstreams() {
		u.checkLiveness()
	}
}

// sortedUpstreams returns the upstreams ordered by endpoint ID, so that simulated runs are reproducible.
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

// updateReadiness answers pending health checks once the gateway can take calls.
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

// connsPerEndpoint returns the maximum number of connections to each endpoint.
func (g *Gateway) connsPerEndpoint() int {
	return connlimit.MaxConnsPerEndpoint(g.config.MaxDescriptors, len(g.upstreams), maxReportingConns)
}

// random returns the next pseudo-random number in [0, 1).
func (g *Gateway) random() float64 {
	g.randomDraws++
	return detrand.Float64(g.config.Settings.Seed, randomStream, g.randomDraws)
}
