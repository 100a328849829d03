// Package binaryserver drives the platform's door by the wall clock: one loop owns the machine's state; sockets and signals
// reach it through one bounded queue and never hold it up.
package binaryserver

import (
	"context"
	"errors"
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

// Signal is what the gateway's machine tells it.
type Signal int

// The signals.
const (
	Reload   Signal = iota // the configuration was replaced
	Shutdown               // a planned restart
)

// clockOrigin is the clock's value at the start, in ms: starts of switches before that still lie after nought.
const clockOrigin = 1e9

const (
	answerMargin      = 5.0     // ms: final answers leave so long before the caller's timeout ends
	metricsInterval   = 10000.0 // ms between two lines of figures in the log
	defaultMaxPending = 2000    // where settings say nothing
)

// Server is a running door.
type Server struct {
	configPath      string
	config          *binaryconfig.Config
	log             zerolog.Logger
	gateway         *binarygateway.Gateway
	discovery       *dnsdiscovery.Client
	streams         *reactor.Streams
	datagrams       *reactor.UDPSockets
	queryAddr       netip.AddrPort // where questions for the list leave
	events          *eventQueue
	startedAt       time.Time
	metricsLoggedAt float64
	stage           shutdown.Stage
	shutdownAt      float64 // when it was told to go
	stageSince      float64 // when the stage began
	lastBatchAt     float64 // when the latest batch ended, 0: none yet
	reloadsLeft     int     // tries left to read a configuration that could not be used
	nextReloadAt    float64 // when the next is due
}

// Run runs a gateway by a configuration until it is told to leave and nothing is held.
func Run(ctx context.Context, file string, cfg *binaryconfig.Config, mk routing.PolicyFactory, log zerolog.Logger, signals <-chan Signal) error {
	s := &Server{configPath: file, config: cfg, log: log, events: newEventQueue(), startedAt: time.Now()}
	bootUnix := float64(s.startedAt.UnixNano()) / 1e6
	set := cfg.Settings
	most := cfg.Connections.MaxPendingCalls
	if most <= 0 || most > defaultMaxPending {
		most = defaultMaxPending
	}
	s.gateway = binarygateway.New(s.now(), &binarygateway.Config{Settings: set, Connections: cfg.Connections, MaxDescriptors: cfg.Limits.Descriptors, AnswerMargin: answerMargin,
		LoadShedding: loadshed.Gate{MaxPending: most}, FromUnixMillis: func(unix float64) float64 { return clockOrigin + unix - bootUnix }}, mk, s)
	if log.GetLevel() <= zerolog.TraceLevel {
		s.gateway.OnMessage = func(l *binarygateway.Conn, out bool, msg binarymessage.Message) {
			log.Trace().Bool("out", out).Str("with", l.PeerName()).Hex("call", msg[3:11]).Uint8("type", msg.Type()).Uint8("cause", msg.Cause()).Str("note", msg.Text(binarymessage.Note)).Str("report", msg.Text(binarymessage.Report)).Str("number", msg.Text(binarymessage.Number)).
				Float64("ms", s.now()-clockOrigin).Send()
		}
	}
	no := uint32(0)
	for i := range cfg.Known {
		no = cfg.Known[i].Serial
	}
	s.discovery = dnsdiscovery.New(cfg.Nameserver, no, set.Seed)
	udp := []netip.AddrPort{netip.AddrPortFrom(cfg.Listen.Addr(), 0)}
	if cfg.PeerListen.IsValid() && set.GossipEnabled {
		udp = append(udp, cfg.PeerListen)
	}
	var err error
	// one over what the machine keeps, so that it may choose which to close
	if s.streams, err = reactor.ServeStreams(cfg.Listen, connlimit.MaxClientConns(cfg.Limits.Descriptors)+spareConns, cfg.Connections.ConnectTimeout, s); err != nil {
		if reactor.AddressInUse(err) {
			return fmt.Errorf("gateway %s: listen: another program has %s: %w", cfg.Name, cfg.Listen, err)
		}
		return fmt.Errorf("gateway %s: %w", cfg.Name, err)
	}
	defer s.streams.Close()
	if s.datagrams, err = reactor.Listen(udp, 1, func(local, from netip.AddrPort, b []byte) {
		s.events.push(event{kind: datagram, local: local, from: from, data: b})
	}); err != nil {
		return fmt.Errorf("gateway %s: %w", cfg.Name, err)
	}
	defer s.datagrams.Close()
	for _, a := range s.datagrams.Local() {
		if a != cfg.PeerListen {
			s.queryAddr = a
		}
	}
	defer s.events.close()
	for i := range cfg.Known {
		s.gateway.OnEndpointList(s.now(), &cfg.Known[i])
	}
	log.Info().Str("listen", cfg.Listen.String()).Int("number", set.GatewayIndex).Int("gateways", set.Gateways).Uint32("list", no).
		Float64("memory_mb", cfg.Limits.MemoryMB).Int("sockets", cfg.Limits.Descriptors).Msg("gateway runs")
	s.loop(ctx, signals)
	s.logMetrics("gateway ends")
	return nil
}

// spareConns is how many connections may be accepted beyond those that are kept, while it is decided which go.
const spareConns = 4

func (s *Server) now() float64 { return clockOrigin + float64(time.Since(s.startedAt))/1e6 }

// loop is the one owner of the machine.
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
		if q := s.discovery.Query(now); q != nil {
			s.datagrams.Send(s.queryAddr, s.discovery.Server, q)
		}
		if s.reloadsLeft > 0 && now >= s.nextReloadAt {
			s.reload()
		}
		s.advanceShutdown(now)
		s.gateway.Step(now)
		s.lastBatchAt = s.now()
		if now-s.metricsLoggedAt > metricsInterval {
			s.metricsLoggedAt = now
			s.logMetrics("figures")
		}
		wait := math.Min(math.Min(s.gateway.NextWakeup(), s.discovery.NextQuery())-s.now(), 100)
		if s.stage != shutdown.Serving {
			wait = math.Min(wait, 10)
		}
		if wait <= 0 {
			select {
			case signal := <-signals:
				s.handleSignal(signal)
			case <-ctx.Done():
				return
			default:
			}
			continue
		}
		timer.Reset(time.Duration(wait * 1e6))
		select {
		case <-s.events.ready:
		case <-timer.C:
		case signal := <-signals:
			s.handleSignal(signal)
		case <-ctx.Done():
			return
		}
	}
}

const (
	stallThreshold = 150.0                // ms without a batch, of which there is one every 100: the process stalled
	stallCatchUp   = 5 * time.Millisecond // for the poller to bring what came meanwhile
)

// stalled tells, once after the process stalled, that what its sockets brought meanwhile may not have come here yet: a
// caller may have gone, and no timer may attempt for it before that is known.
func (s *Server) stalled(now float64) bool {
	late := s.lastBatchAt > 0 && now-s.lastBatchAt > stallThreshold
	s.lastBatchAt = 0
	return late
}

// advanceShutdown goes on to the next stage of going, where it is due.
func (s *Server) advanceShutdown(now float64) {
	if s.stage == shutdown.Serving {
		return
	}
	waiting, _ := s.gateway.InProgress()
	unsent, open := s.gateway.ClientConns()
	t := shutdown.Status{SinceSignal: now - s.shutdownAt, InStage: now - s.stageSince, PendingCalls: waiting, EstablishedCalls: s.gateway.EstablishedCalls(),
		Listening: s.streams.Accepting(), UnsentConns: unsent, OpenConns: open}
	for _, k := range s.config.Settings.Classes {
		t.MaxTimeout = math.Max(t.MaxTimeout, k.Timeout)
	}
	next := s.stage.Next(t)
	if next == s.stage {
		return
	}
	s.log.Debug().Int("stage", int(next)).Interface("told", t).Msg("leaving")
	s.stage, s.stageSince = next, now
	switch next {
	case shutdown.Rejecting:
		s.gateway.StopAdmitting()
	case shutdown.Flushing:
		s.streams.StopAccept()
		s.gateway.RejectAll(now)
	case shutdown.HalfClosing:
		s.gateway.CloseClientWrites()
	}
}

func (s *Server) handleSignal(signal Signal) {
	switch {
	case signal == Reload:
		s.reloadsLeft = maxReloads
		s.reload()
	case s.stage == shutdown.Serving:
		s.log.Info().Msg("leaving: new contacts are taken for a while, then what is held is answered")
		s.gateway.BeginDrain()
		s.stage, s.shutdownAt, s.stageSince = shutdown.Accepting, s.now(), s.now()
	}
}

const (
	maxReloads     = 20   // tries to read a configuration that can't be used: it may be replaced under way
	reloadInterval = 50.0 // ms between two
)

// reload follows the name server that the new file names. A file that can't be used changes nothing; whoever replaces it
// may not be done, so it is read again soon.
func (s *Server) reload() {
	s.reloadsLeft--
	s.nextReloadAt = s.now() + reloadInterval
	cfg, err := binaryconfig.Load(s.configPath)
	if err != nil {
		if s.reloadsLeft == 0 {
			s.log.Error().Err(err).Msg("the new configuration is not used")
		}
		return
	}
	s.reloadsLeft = 0
	if cfg.Nameserver != s.discovery.Server {
		s.discovery.SetServer(cfg.Nameserver)
	}
	s.log.Info().Str("nameserver", cfg.Nameserver.String()).Msg("new configuration")
}

func (s *Server) handleEvent(now float64, e event) {
	switch e.kind {
	case accepted:
		st := e.stream
		if l := s.gateway.OnAccepted(now, st, e.from.Addr()); l != nil {
			st.User = l
		}
	case connected:
		if l, ok := e.stream.User.(*binarygateway.Conn); ok {
			s.gateway.OnConnected(now, l)
		}
	case received:
		if l, ok := e.stream.User.(*binarygateway.Conn); ok {
			s.gateway.OnData(now, l, e.data)
		}
	case flushed:
		if l, ok := e.stream.User.(*binarygateway.Conn); ok && e.stream.IsFlushed() {
			s.gateway.OnFlushed(now, l)
		}
	case closed:
		if l, ok := e.stream.User.(*binarygateway.Conn); ok {
			s.log.Debug().AnErr("cause", e.err).Msg("link closed")
			how := binarygateway.ClosedNormally
			if reactor.IsRefused(e.err) {
				how = binarygateway.ClosedRefused
			} else if reactor.IsReset(e.err) {
				how = binarygateway.ClosedReset
			}
			s.gateway.OnClosed(now, l, how)
		}
	case datagram:
		if e.local == s.queryAddr {
			s.onDiscoveryResponse(now, e)
			return
		}
		for i, p := range s.config.Peers {
			if p == e.from {
				s.gateway.OnPeerMessage(now, i, e.data)
			}
		}
	}
}

func (s *Server) onDiscoveryResponse(now float64, e event) {
	l, err := s.discovery.HandleResponse(e.from, e.data)
	if err != nil || l == nil {
		if err != nil && !errors.Is(err, dnsdiscovery.ErrOutdated) {
			s.log.Debug().Err(err).Msg("an answer of the name server does not count")
		}
		return
	}
	s.log.Debug().Uint32("no", l.Serial).Int("targets", len(l.Targets)).Msg("list")
	s.gateway.OnEndpointList(now, l)
}

// logMetrics writes what was seen to the log.
func (s *Server) logMetrics(what string) {
	waiting, standing := s.gateway.InProgress()
	calls, trunks, clients, links, timers := s.gateway.OpenCounts()
	s.log.Info().Int("waiting", waiting).Int("standing", standing).Ints("open", []int{calls, trunks, clients, links, timers}).
		Interface("contacts", s.gateway.Counts).Interface("wire", s.gateway.Metrics).Interface("list", s.discovery.Queries).Msg(what)
}

// Accepted implements reactor.Handler.
func (s *Server) Accepted(stream *reactor.Stream, from netip.Addr) {
	s.events.push(event{kind: accepted, stream: stream, from: netip.AddrPortFrom(from, 0)})
}

// Connected implements reactor.Handler.
func (s *Server) Connected(stream *reactor.Stream) {
	s.events.push(event{kind: connected, stream: stream})
}

// Data implements reactor.Handler.
func (s *Server) Data(stream *reactor.Stream, b []byte) {
	s.events.push(event{kind: received, stream: stream, data: append([]byte(nil), b...)})
}

// Flushed implements reactor.Handler.
func (s *Server) Flushed(stream *reactor.Stream) { s.events.push(event{kind: flushed, stream: stream}) }

// Closed implements reactor.Handler.
func (s *Server) Closed(stream *reactor.Stream, err error) {
	s.events.push(event{kind: closed, stream: stream, err: err})
}

// Write implements platform.Out.
func (s *Server) Write(l *binarygateway.Conn, b []byte) bool {
	return l.Socket.(*reactor.Stream).Write(b)
}

// Dial implements platform.Out.
func (s *Server) Dial(l *binarygateway.Conn, to netip.AddrPort) {
	stream := &reactor.Stream{User: l}
	l.Socket = stream
	s.streams.Dial(stream, to)
}

// Close implements platform.Out.
func (s *Server) Close(l *binarygateway.Conn) { l.Socket.(*reactor.Stream).Close() }

// CloseWrite implements platform.Out.
func (s *Server) CloseWrite(l *binarygateway.Conn) { l.Socket.(*reactor.Stream).CloseWrite() }

// SendGossip implements platform.Out.
func (s *Server) SendGossip(to int, b []byte) {
	if to < len(s.config.Peers) && len(b) <= 256 && s.config.PeerListen.IsValid() {
		s.datagrams.Send(s.config.PeerListen, s.config.Peers[to], b)
	}
}

// MemoryLimit sets the process up for what its machine allows: it collects early enough to stay under its memory.
func MemoryLimit(l binaryconfig.Limits) (bytes int64) {
	if os.Getenv("GOMEMLIMIT") != "" {
		return 0
	}
	return int64(l.MemoryMB * memoryFraction * (1 << 20))
}

// memoryFraction is the part of the allowed memory that the collector aims at: the rest is the program itself, stacks and
// what the kernel counts.
const memoryFraction = 0.55
