// Package sipserver runs a SIP agent (package b2bua) on sockets and the system's clock. One event loop owns the agent;
// sockets, the endpoint list and signals reach it through one bounded queue.
package sipserver

import (
	"context"
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"cobaltpier/api"
	"cobaltpier/internal/gateway/gatewayconfig"
	"cobaltpier/internal/gateway/grpcdiscovery"
	"cobaltpier/internal/gateway/reactor"
	"cobaltpier/internal/protocol/b2bua"
	"cobaltpier/internal/routing"
)

// Outcome is how a gateway's run ended.
type Outcome int

// The outcomes.
const (
	Drained Outcome = iota // every call has its final answer
	Forced                 // a second stop signal ended it: pending calls are lost
)

const (
	// clockOrigin is the agent's time at the start of the process, ms: endpoints that started earlier have positive
	// times too.
	clockOrigin         = 1e9
	maxWait             = 100.0 // ms: the longest wait of the event loop
	maxDrainWait        = 10.0  // the same while draining
	finalReleaseTimeout = 2000  // ms that a drained gateway waits for late answers to release
	maxGossipSize       = 256   // bytes
	gossipHeaderSize    = 2     // the sender's index
)

// event is an input of the event loop.
type event struct {
	kind  eventKind
	from  netip.AddrPort
	local netip.AddrPort // of a dnsResponse: the receiving address
	data  []byte
	list  *api.Update
	at    time.Time
	do    func(now float64) // of a callback
}

type eventKind int

const (
	sipDatagram eventKind = iota
	peerDatagram
	endpointList
	dnsResponse
	callback
)

// Server is a running gateway.
type Server struct {
	config        *gatewayconfig.Config
	log           zerolog.Logger
	agent         *b2bua.Agent
	datagrams     *reactor.UDPSockets
	events        chan event
	startedAt     time.Time
	droppedEvents uint64 // datagrams dropped because the queue was full
	outgoing      []reactor.Datagram
	numbers       *numberService
	enumListener  *enumListener
	done          <-chan struct{}

	lastBatchAt   float64
	drainingSince float64 // 0 if not draining
}

// Run runs a gateway. The first value received from stop starts a drain; the second ends the gateway at once.
func Run(ctx context.Context, config *gatewayconfig.Config, newPolicy routing.PolicyFactory, log zerolog.Logger,
	stop <-chan struct{}) (Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &Server{
		config:    config,
		log:       log,
		events:    make(chan event, config.QueueSize),
		startedAt: time.Now(),
		done:      ctx.Done(),
	}
	defer s.closeSockets()
	if err := s.start(ctx, newPolicy); err != nil {
		return Forced, fmt.Errorf("gateway %s: %w", config.Name, err)
	}
	followed := make(chan struct{})
	go func() {
		defer close(followed)
		s.followEndpointList(ctx)
	}()
	log.Info().Str("sip", config.Address.String()).Int("gateway_index", config.Settings.GatewayIndex).
		Msg("gateway started")
	outcome := s.loop(stop)
	if s.enumListener != nil {
		s.enumListener.enum.Close(s.now())
	}
	cancel()
	<-followed
	s.logCounts(outcome)
	return outcome, nil
}

// start opens all sockets and makes the agent. closeSockets closes them, also after an error.
func (s *Server) start(ctx context.Context, newPolicy routing.PolicyFactory) (err error) {
	addresses := []netip.AddrPort{s.config.Address, s.config.GossipAddr}
	if s.datagrams, err = reactor.ListenUDP(addresses, 1, s.onDatagram); err != nil {
		if reactor.IsAddressInUse(err) {
			return fmt.Errorf("another program has the address: %w", err)
		}
		return err
	}
	if s.config.Numbers.Enabled() {
		if err := s.startNumbers(ctx); err != nil {
			return err
		}
	}
	s.agent = b2bua.New(&s.config.Config, newPolicy, s)
	if s.config.ENUMServer.Listen.IsValid() {
		if s.enumListener, err = s.listenENUM(); err != nil {
			return err
		}
	}
	if s.log.GetLevel() <= zerolog.DebugLevel {
		s.agent.OnCallEnd = s.logCall
	}
	return nil
}

func (s *Server) startNumbers(ctx context.Context) error {
	numbers, err := s.openNumbers()
	if err != nil {
		return err
	}
	s.numbers = numbers
	s.config.Table = numbers.initialTable
	s.config.Epoch = s.startedAt.Add(-time.Duration(clockOrigin * float64(time.Millisecond)))
	if numbers.client != nil {
		s.config.NumberLookup = numbers
	}
	return numbers.serveAdmin(ctx, s.log)
}

func (s *Server) closeSockets() {
	if s.enumListener != nil {
		s.enumListener.close()
	}
	if s.numbers != nil {
		s.numbers.close()
	}
	if s.datagrams != nil {
		s.datagrams.Close()
	}
}

// followEndpointList hands updates of the endpoint list to the event loop until ctx is done.
func (s *Server) followEndpointList(ctx context.Context) {
	server := s.config.EndpointListAddr
	onUpdate := func(update *api.Update) {
		select {
		case s.events <- event{kind: endpointList, list: update, at: time.Now()}:
		case <-ctx.Done():
		}
	}
	onState := func(connected bool, err error) {
		if connected {
			s.log.Info().Str("server", server).Msg("endpoint list followed")
			return
		}
		s.log.Warn().Str("server", server).AnErr("cause", err).Msg("endpoint list lost; the latest one stays in force")
	}
	if err := grpcdiscovery.Follow(ctx, server, s.config.Name, onUpdate, onState); err != nil {
		s.log.Error().Err(err).Msg("endpoint list")
	}
}

func (s *Server) logCall(record b2bua.CallRecord) {
	s.log.Debug().Str("session_id", record.SessionID).Str("class", record.Class).Int("answer", record.Answer).
		Int("attempts", record.Attempts).Float64("duration_ms", record.DurationMs).
		Uint64("table", record.Table).Str("route", record.Route).Msg("call answered")
}

// logCounts logs the counters at the end of the run.
func (s *Server) logCounts(outcome Outcome) {
	if s.enumListener != nil {
		s.log.Info().Interface("counts", s.enumListener.enum.Counts).Msg("ENUM server stopped")
	}
	if s.numbers != nil && s.numbers.client != nil {
		s.log.Info().Interface("dns", s.numbers.client.Counts).Interface("portability", s.numbers.finder.Counts).
			Msg("number look-ups stopped")
	}
	s.log.Info().Interface("calls", s.agent.Counts).Uint64("queue_dropped", s.droppedEvents).
		Uint64("send_dropped", s.datagrams.SendErrors.Load()).Bool("drained", outcome == Drained).Msg("gateway stopped")
}

// onDatagram runs in the poller. A datagram that finds the event queue full is dropped; SIP retransmits its messages,
// as after a loss in the network.
func (s *Server) onDatagram(local, from netip.AddrPort, data []byte) {
	e := event{kind: sipDatagram, from: from, data: data}
	if local == s.config.GossipAddr {
		e.kind = peerDatagram
	}
	select {
	case s.events <- e:
	default:
		s.droppedEvents++
	}
}

// enqueue hands an event to the event loop, which may have ended.
func (s *Server) enqueue(e event) {
	select {
	case s.events <- e:
	case <-s.done:
	}
}

// Send implements b2bua.Transport.
func (s *Server) Send(to netip.AddrPort, data []byte) {
	s.outgoing = append(s.outgoing, reactor.Datagram{To: to, Data: data})
}

// flush sends the datagrams of a batch.
func (s *Server) flush() {
	s.datagrams.SendAll(s.config.Address, s.outgoing)
	clear(s.outgoing)
	s.outgoing = s.outgoing[:0]
}

// SendGossip implements b2bua.Transport: the message follows the index of its sender.
func (s *Server) SendGossip(to int, data []byte) {
	if to < len(s.config.Peers) && len(data) <= maxGossipSize {
		s.datagrams.Send(
			s.config.GossipAddr,
			s.config.Peers[to],
			append(binary.BigEndian.AppendUint16(nil, uint16(s.config.Settings.GatewayIndex)), data...),
		)
	}
}

func (s *Server) now() float64 { return clockOrigin + float64(time.Since(s.startedAt))/1e6 }

// loop is the event loop, the one owner of the agent.
func (s *Server) loop(stop <-chan struct{}) Outcome {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now, stopped := s.waitForBatch(timer, stop)
		if stopped {
			if s.drainingSince > 0 {
				return Forced
			}
			s.beginDrain()
			continue
		}
		for n := len(s.events); n > 0; n-- {
			s.handleEvent(now, <-s.events)
		}
		s.agent.Step(now)
		s.flush()
		s.lastBatchAt = now
		if s.drainingSince == 0 {
			continue
		}
		select {
		case <-stop:
			return Forced
		default:
		}
		if s.isDrained(now) {
			return Drained
		}
	}
}

func (s *Server) beginDrain() {
	s.drainingSince = s.now()
	s.agent.StopAdmitting()
	s.log.Info().Msg("draining")
}

// waitForBatch waits for an event, which it handles, a due timer or a value on stop, which sets stopped. After an
// event, or if a timer is already due, it also waits until the tick of the previous batch is over.
func (s *Server) waitForBatch(timer *time.Timer, stop <-chan struct{}) (now float64, stopped bool) {
	now = s.now()
	wait := math.Min(s.agent.NextWakeup()-now, maxWait)
	if s.drainingSince > 0 {
		wait = math.Min(wait, maxDrainWait)
	}
	if wait <= 0 {
		return s.finishTick(now), false
	}
	timer.Reset(time.Duration(wait * float64(time.Millisecond)))
	select {
	case e := <-s.events:
		s.finishTick(s.now())
		now = s.now()
		s.handleEvent(now, e)
	case <-timer.C:
		now = s.now()
	case <-stop:
		return now, true
	}
	return now, false
}

// finishTick sleeps until the tick of the latest batch is over and returns the time.
func (s *Server) finishTick(now float64) float64 {
	left := s.config.TickInterval - (now - s.lastBatchAt)
	if left <= 0 {
		return now
	}
	time.Sleep(time.Duration(left * float64(time.Millisecond)))
	return s.now()
}

// isDrained reports whether a draining gateway may exit: no call is pending, all established calls have ended
// (isDrained releases them after the drain timeout), and late answers to abandoned setups had finalReleaseTimeout to
// be released.
func (s *Server) isDrained(now float64) bool {
	drainingFor := now - s.drainingSince
	pending, established := s.agent.InProgress()
	if pending > 0 {
		return false
	}
	if established > 0 {
		if drainingFor > s.config.DrainTimeout {
			s.agent.ReleaseAll(now)
			s.flush()
		}
		return false
	}
	dialogs, _, _ := s.agent.OpenCounts() // includes abandoned setups that an endpoint may still answer
	return dialogs == 0 || drainingFor > s.config.DrainTimeout+finalReleaseTimeout
}

func (s *Server) handleEvent(now float64, e event) {
	switch e.kind {
	case sipDatagram:
		s.agent.Receive(now, e.from, e.data)
	case peerDatagram:
		if len(e.data) > gossipHeaderSize {
			s.agent.OnPeerMessage(now, int(binary.BigEndian.Uint16(e.data)), e.data[gossipHeaderSize:])
		}
	case dnsResponse:
		s.numbers.onDNSResponse(now, e)
	case callback:
		e.do(now)
	case endpointList:
		s.agent.OnEndpointList(
			now,
			grpcdiscovery.Entries(e.list, clockOrigin+float64(e.at.Sub(s.startedAt))/1e6),
			e.list.Whole,
		)
	}
}
