// Package binaryserver runs a binarygateway.Gateway on sockets and the system's clock. One event loop owns the gateway;
// sockets and signals reach it through one bounded queue.
package binaryserver

import (
	"context"
	"fmt"
	"math"
	"net/netip"
	"os"
	"time"

	"github.com/rs/zerolog"

	"cobaltpier/internal/decision/connlimit"
	"cobaltpier/internal/decision/loadshed"
	"cobaltpier/internal/decision/shutdown"
	"cobaltpier/internal/gateway/binaryconfig"
	"cobaltpier/internal/gateway/reactor"
	"cobaltpier/internal/protocol/binarygateway"
	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/protocol/dnsdiscovery"
	"cobaltpier/internal/routing"
)

// Signal is a request to a server, made by a signal of the operating system.
type Signal int

// The signals.
const (
	Reload   Signal = iota // the configuration file was replaced
	Shutdown               // a planned restart
)

const (
	// clockOrigin is the gateway's time at the start of the process, ms: endpoints that started earlier have positive
	// times too.
	clockOrigin       = 1e9
	answerMargin      = 5.0     // final answers are sent this many ms before the timeout of the client's setup ends
	metricsInterval   = 10000.0 // ms between two lines of metrics in the log
	defaultMaxPending = 2000    // upper limit of pending calls, even if the settings allow more
	// spareConns connections may be accepted above the limit until the gateway has chosen which one to close
	spareConns      = 4
	maxWait         = 100.0 // ms; the event loop runs at least once in this time
	maxShutdownWait = 10.0  // the same during a shutdown
)

// Server is a running gateway.
type Server struct {
	configPath string
	config     *binaryconfig.Config
	log        zerolog.Logger
	gateway    *binarygateway.Gateway
	discovery  *dnsdiscovery.Client
	streams    *reactor.Streams
	datagrams  *reactor.UDPSockets
	queryAddr  netip.AddrPort // from which discovery queries are sent
	events     *eventQueue
	startedAt  time.Time

	metricsLoggedAt float64
	overflowsLogged binarygateway.Overflows // at the time of the latest warning about them
	warnedAt        float64
	lastBatchAt     float64 // 0: no batch yet, or a stall has just been detected

	stage               shutdown.Stage
	shutdownRequestedAt float64
	stageEnteredAt      float64

	reloadAttemptsLeft int // attempts that are left to read an invalid configuration again
	nextReloadAt       float64
}

// Run runs a gateway with a configuration that was read from configPath, until a shutdown is complete or ctx is done.
func Run(ctx context.Context, configPath string, config *binaryconfig.Config, newPolicy routing.PolicyFactory,
	log zerolog.Logger, signals <-chan Signal) error {
	s := &Server{
		configPath: configPath,
		config:     config,
		log:        log,
		events:     newEventQueue(),
		startedAt:  time.Now(),
	}
	s.gateway = s.newGateway(newPolicy)
	serial := uint32(0)
	for i := range config.InitialLists {
		serial = config.InitialLists[i].Serial
	}
	s.discovery = dnsdiscovery.New(config.Nameserver, serial, config.Settings.Seed)
	if err := s.listen(); err != nil {
		return fmt.Errorf("gateway %s: %w", config.Name, err)
	}
	defer s.streams.Close()
	defer s.datagrams.Close()
	defer s.events.close()
	for i := range config.InitialLists {
		s.gateway.OnEndpointList(s.now(), &config.InitialLists[i])
	}
	log.Info().Str("listen", config.Listen.String()).Int("gateway_index", config.Settings.GatewayIndex).
		Int("gateways", config.Settings.Gateways).Uint32("list_serial", serial).
		Float64("memory_mb", config.Limits.MemoryMB).Int("descriptors", config.Limits.Descriptors).
		Msg("gateway started")
	s.loop(ctx, signals)
	s.logMetrics("gateway stopped")
	return nil
}

func (s *Server) newGateway(newPolicy routing.PolicyFactory) *binarygateway.Gateway {
	maxPending := s.config.Connections.MaxPendingCalls
	if maxPending <= 0 || maxPending > defaultMaxPending {
		maxPending = defaultMaxPending
	}
	startedAtUnix := float64(s.startedAt.UnixNano()) / 1e6
	gateway := binarygateway.New(s.now(), &binarygateway.Config{
		Settings:       s.config.Settings,
		Connections:    s.config.Connections,
		MaxDescriptors: s.config.Limits.Descriptors,
		AnswerMargin:   answerMargin,
		LoadShedding:   loadshed.Gate{MaxPending: maxPending},
		SetupMemory:    loadshed.NewSetupMemory(s.config.Limits.MemoryMB * (1 << 20)),
		FromUnixMillis: func(unix float64) float64 { return clockOrigin + unix - startedAtUnix },
	}, newPolicy, s)
	if s.log.GetLevel() <= zerolog.TraceLevel {
		gateway.OnMessage = s.traceMessage
	}
	return gateway
}

// listen opens all sockets. If it fails, it closes those that it has opened.
func (s *Server) listen() error {
	config := s.config
	maxAccepted := connlimit.MaxClientConns(config.Limits.Descriptors) + spareConns
	var err error
	s.streams, err = reactor.ListenTCP(config.Listen, maxAccepted, config.Connections.ConnectTimeout, s)
	if err != nil {
		if reactor.IsAddressInUse(err) {
			return fmt.Errorf("listen: address %s is in use by another program: %w", config.Listen, err)
		}
		return err
	}
	addresses := []netip.AddrPort{netip.AddrPortFrom(config.Listen.Addr(), 0)}
	if config.PeerListen.IsValid() && config.Settings.GossipEnabled {
		addresses = append(addresses, config.PeerListen)
	}
	s.datagrams, err = reactor.ListenUDP(addresses, 1, func(local, from netip.AddrPort, data []byte) {
		s.events.push(event{kind: datagram, local: local, from: from, data: data})
	})
	if err != nil {
		s.streams.Close()
		return err
	}
	for _, address := range s.datagrams.Local() {
		if address != config.PeerListen {
			s.queryAddr = address
		}
	}
	return nil
}

func (s *Server) now() float64 { return clockOrigin + float64(time.Since(s.startedAt))/1e6 }

// loop is the event loop. Only its goroutine uses the gateway.
func (s *Server) loop(ctx context.Context, signals <-chan Signal) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for s.stage != shutdown.Stopped {
		now := s.now()
		for _, e := range s.events.drain() {
			s.handleEvent(now, e)
		}
		if s.stalled(now) {
			time.Sleep(stallCatchUp)
			continue
		}
		s.runBatch(now)
		if !s.waitForEvents(ctx, signals, timer) {
			return
		}
	}
}

// runBatch runs all work that is due: discovery queries, reloads, the shutdown, timers and metrics.
func (s *Server) runBatch(now float64) {
	if query := s.discovery.MakeQuery(now); query != nil {
		s.datagrams.Send(s.queryAddr, s.discovery.Server, query)
	}
	if s.reloadAttemptsLeft > 0 && now >= s.nextReloadAt {
		s.reload()
	}
	s.advanceShutdown(now)
	s.gateway.Step(now)
	s.lastBatchAt = s.now()
	s.warnOfOverflows(now)
	if now-s.metricsLoggedAt > metricsInterval {
		s.metricsLoggedAt = now
		s.logMetrics("metrics")
	}
}

// waitForEvents waits for an event, a signal or the next timer. It returns false when ctx is done.
func (s *Server) waitForEvents(ctx context.Context, signals <-chan Signal, timer *time.Timer) bool {
	wait := math.Min(math.Min(s.gateway.NextWakeup(), s.discovery.NextQueryAt())-s.now(), maxWait)
	if s.stage != shutdown.Serving {
		wait = math.Min(wait, maxShutdownWait)
	}
	if wait <= 0 {
		select {
		case signal := <-signals:
			s.handleSignal(signal)
		case <-ctx.Done():
			return false
		default:
		}
		return true
	}
	timer.Reset(time.Duration(wait * float64(time.Millisecond)))
	select {
	case <-s.events.ready:
	case <-timer.C:
	case signal := <-signals:
		s.handleSignal(signal)
	case <-ctx.Done():
		return false
	}
	return true
}

const (
	stallThreshold = 150.0                // ms between batches, which run every 100 ms or sooner: more is a stall
	stallCatchUp   = 5 * time.Millisecond // lets the poller queue the events that arrived during the stall
)

// stalled reports, once after each stall, that events from the time of the stall may not be queued yet. No timer may
// run before they are handled, because a client may have closed its connection.
func (s *Server) stalled(now float64) bool {
	stalled := s.lastBatchAt > 0 && now-s.lastBatchAt > stallThreshold
	s.lastBatchAt = 0
	return stalled
}

// warnOfOverflows logs that limits were reached and something was given up, at most once in each interval of metrics.
func (s *Server) warnOfOverflows(now float64) {
	overflows := s.gateway.Overflows()
	if overflows == s.overflowsLogged || now-s.warnedAt < metricsInterval {
		return
	}
	s.overflowsLogged, s.warnedAt = overflows, now
	s.log.Warn().Interface("given_up", overflows).Msg("a limit was reached")
}

// logMetrics writes the metrics to the log.
func (s *Server) logMetrics(message string) {
	pending, established := s.gateway.InProgress()
	s.log.Info().Int("pending_calls", pending).Int("established_calls", established).
		Interface("open", s.gateway.OpenCounts()).Interface("calls", s.gateway.Counts).
		Interface("connections", s.gateway.Metrics).Interface("discovery", s.discovery.Counts).Msg(message)
}

func (s *Server) traceMessage(conn *binarygateway.Conn, outgoing bool, message binarymessage.Message) {
	s.log.Trace().Bool("outgoing", outgoing).Str("peer", conn.PeerName()).Hex("call", message.CallIDBytes()).
		Uint8("type", message.Type()).Uint8("cause", message.Cause()).
		Str("note", message.Text(binarymessage.Note)).Str("report", message.Text(binarymessage.LoadReport)).
		Str("number", message.Text(binarymessage.Number)).Float64("ms", s.now()-clockOrigin).Msg("message")
}

// memoryFraction is the part of the allowed memory that is set as the garbage collector's limit. The rest is for the
// program itself, stacks and memory that the kernel accounts to the process.
const memoryFraction = 0.55

// MemoryLimit returns the garbage collector's memory limit in bytes for the given limits, or 0 if GOMEMLIMIT sets it.
func MemoryLimit(limits binaryconfig.Limits) (bytes int64) {
	if os.Getenv("GOMEMLIMIT") != "" {
		return 0
	}
	return int64(limits.MemoryMB * memoryFraction * (1 << 20))
}
