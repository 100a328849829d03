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

	"cobaltpier/internal/decision/intake"
	"cobaltpier/internal/gateway/binaryconfig"
	"cobaltpier/internal/gateway/reactor"
	"cobaltpier/internal/protocol/binarygateway"
	"cobaltpier/internal/protocol/binarymessage"
	"cobaltpier/internal/protocol/dnsdiscovery"
	"cobaltpier/internal/protocol/endpointset"
)

// Signal is what the gateway's machine tells it.
type Signal int

// The signals.
const (
	Reload Signal = iota // the configuration was replaced
	Leave                // a planned restart
)

// origin is the clock's value at the start, in ms: starts of switches before that still lie after nought.
const origin = 1e9

const (
	margin   = 5.0     // ms: final answers leave so long before the caller's patience ends
	report   = 10000.0 // ms between two lines of figures in the log
	mostHeld = 2000    // where settings say nothing
)

// Gateway is a running door.
type Gateway struct {
	file    string
	cfg     *binaryconfig.Config
	log     zerolog.Logger
	m       *binarygateway.Machine
	list    *dnsdiscovery.Roster
	streams *reactor.Streams
	packets *reactor.Sockets
	asks    netip.AddrPort // where questions for the list leave
	events  *queue
	start   time.Time
	said    float64
	stage   intake.Stage
	told    float64 // when it was told to go
	since   float64 // when the stage began
	looked  float64 // when the latest batch ended, 0: none yet
	rereads int     // tries left to read a configuration that could not be used
	reread  float64 // when the next is due
}

// Run runs a gateway by a configuration until it is told to leave and nothing is held.
func Run(ctx context.Context, file string, cfg *binaryconfig.Config, mk endpointset.Maker, log zerolog.Logger, signals <-chan Signal) error {
	g := &Gateway{file: file, cfg: cfg, log: log, events: newQueue(), start: time.Now()}
	bootUnix := float64(g.start.UnixNano()) / 1e6
	set := cfg.Set
	most := cfg.Links.MostHeld
	if most <= 0 || most > mostHeld {
		most = mostHeld
	}
	g.m = binarygateway.New(g.now(), &binarygateway.Config{Set: set, Links: cfg.Links, Sockets: cfg.Limits.Sockets, Margin: margin,
		Gate: intake.Gate{Most: most}, Clock: func(unix float64) float64 { return origin + unix - bootUnix }}, mk, g)
	if log.GetLevel() <= zerolog.TraceLevel {
		g.m.Tap = func(l *binarygateway.Link, out bool, msg binarymessage.Message) {
			log.Trace().Bool("out", out).Str("with", l.With()).Hex("call", msg[3:11]).Uint8("type", msg.Type()).Uint8("cause", msg.Cause()).Str("note", msg.Text(binarymessage.Note)).Str("report", msg.Text(binarymessage.Report)).Str("number", msg.Text(binarymessage.Number)).
				Float64("ms", g.now()-origin).Send()
		}
	}
	no := uint32(0)
	for i := range cfg.Known {
		no = cfg.Known[i].No
	}
	g.list = dnsdiscovery.New(cfg.Nameserver, no, set.Seed)
	udp := []netip.AddrPort{netip.AddrPortFrom(cfg.Listen.Addr(), 0)}
	if cfg.Peer.IsValid() && set.MayTell {
		udp = append(udp, cfg.Peer)
	}
	var err error
	// one over what the machine keeps, so that it may choose which to close
	if g.streams, err = reactor.ServeStreams(cfg.Listen, intake.Callers(cfg.Limits.Sockets)+spare, cfg.Links.ConnectTimeout, g); err != nil {
		if reactor.Taken(err) {
			return fmt.Errorf("gateway %s: listen: another program has %s: %w", cfg.Name, cfg.Listen, err)
		}
		return fmt.Errorf("gateway %s: %w", cfg.Name, err)
	}
	defer g.streams.Close()
	if g.packets, err = reactor.Listen(udp, 1, func(local, from netip.AddrPort, b []byte) {
		g.events.put(event{kind: packet, local: local, from: from, data: b})
	}); err != nil {
		return fmt.Errorf("gateway %s: %w", cfg.Name, err)
	}
	defer g.packets.Close()
	for _, a := range g.packets.Local() {
		if a != cfg.Peer {
			g.asks = a
		}
	}
	defer g.events.end()
	for i := range cfg.Known {
		g.m.Listed(g.now(), &cfg.Known[i])
	}
	log.Info().Str("listen", cfg.Listen.String()).Int("number", set.Me).Int("gateways", set.Gateways).Uint32("list", no).
		Float64("memory_mb", cfg.Limits.MemoryMB).Int("sockets", cfg.Limits.Sockets).Msg("gateway runs")
	g.loop(ctx, signals)
	g.figures("gateway ends")
	return nil
}

// spare is how many connections may be accepted beyond those that are kept, while it is decided which go.
const spare = 4

func (g *Gateway) now() float64 { return origin + float64(time.Since(g.start))/1e6 }

// loop is the one owner of the machine.
func (g *Gateway) loop(ctx context.Context, signals <-chan Signal) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for g.stage != intake.Over {
		now := g.now()
		for _, e := range g.events.take() {
			g.take(now, e)
		}
		if g.behind(now) {
			time.Sleep(catchUp)
			continue
		}
		if q := g.list.Ask(now); q != nil {
			g.packets.Send(g.asks, g.list.Server, q)
		}
		if g.rereads > 0 && now >= g.reread {
			g.reload()
		}
		g.leave(now)
		g.m.Turn(now)
		g.looked = g.now()
		if now-g.said > report {
			g.said = now
			g.figures("figures")
		}
		wait := math.Min(math.Min(g.m.Next(), g.list.Next())-g.now(), 100)
		if g.stage != intake.Serving {
			wait = math.Min(wait, 10)
		}
		if wait <= 0 {
			select {
			case s := <-signals:
				g.signal(s)
			case <-ctx.Done():
				return
			default:
			}
			continue
		}
		timer.Reset(time.Duration(wait * 1e6))
		select {
		case <-g.events.some:
		case <-timer.C:
		case s := <-signals:
			g.signal(s)
		case <-ctx.Done():
			return
		}
	}
}

const (
	stood   = 150.0                // ms without a batch, of which there is one every 100: the process stood still
	catchUp = 5 * time.Millisecond // for the poller to bring what came meanwhile
)

// behind tells, once after the process stood still, that what its sockets brought meanwhile may not have come here yet: a
// caller may have gone, and no timer may ring for it before that is known.
func (g *Gateway) behind(now float64) bool {
	late := g.looked > 0 && now-g.looked > stood
	g.looked = 0
	return late
}

// leave goes on to the next stage of going, where it is due.
func (g *Gateway) leave(now float64) {
	if g.stage == intake.Serving {
		return
	}
	waiting, _ := g.m.Held()
	unsent, open := g.m.Callers()
	t := intake.Told{Since: now - g.told, In: now - g.since, Waiting: waiting, Standing: g.m.Stood(),
		Accepting: g.streams.Accepting(), Unsent: unsent, Open: open}
	for _, k := range g.cfg.Set.Skills {
		t.Patience = math.Max(t.Patience, k.Patience)
	}
	next := g.stage.Next(t)
	if next == g.stage {
		return
	}
	g.log.Debug().Int("stage", int(next)).Interface("told", t).Msg("leaving")
	g.stage, g.since = next, now
	switch next {
	case intake.Deferring:
		g.m.Close()
	case intake.Flushing:
		g.streams.StopAccept()
		g.m.DeferAll(now)
	case intake.HalfClosing:
		g.m.CloseWrite()
	}
}

func (g *Gateway) signal(s Signal) {
	switch {
	case s == Reload:
		g.rereads = rereads
		g.reload()
	case g.stage == intake.Serving:
		g.log.Info().Msg("leaving: new contacts are taken for a while, then what is held is answered")
		g.m.Leave()
		g.stage, g.told, g.since = intake.Taking, g.now(), g.now()
	}
}

const (
	rereads     = 20   // tries to read a configuration that can't be used: it may be replaced under way
	rereadEvery = 50.0 // ms between two
)

// reload follows the name server that the new file names. A file that can't be used changes nothing; whoever replaces it
// may not be done, so it is read again soon.
func (g *Gateway) reload() {
	g.rereads--
	g.reread = g.now() + rereadEvery
	cfg, err := binaryconfig.Load(g.file)
	if err != nil {
		if g.rereads == 0 {
			g.log.Error().Err(err).Msg("the new configuration is not used")
		}
		return
	}
	g.rereads = 0
	if cfg.Nameserver != g.list.Server {
		g.list.Turn(cfg.Nameserver)
	}
	g.log.Info().Str("nameserver", cfg.Nameserver.String()).Msg("new configuration")
}

func (g *Gateway) take(now float64, e event) {
	switch e.kind {
	case accepted:
		st := e.stream
		if l := g.m.Accepted(now, st, e.from.Addr()); l != nil {
			st.User = l
		}
	case connected:
		if l, ok := e.stream.User.(*binarygateway.Link); ok {
			g.m.Connected(now, l)
		}
	case data:
		if l, ok := e.stream.User.(*binarygateway.Link); ok {
			g.m.Received(now, l, e.data)
		}
	case left:
		if l, ok := e.stream.User.(*binarygateway.Link); ok && e.stream.HasLeft() {
			g.m.Left(now, l)
		}
	case closed:
		if l, ok := e.stream.User.(*binarygateway.Link); ok {
			g.log.Debug().AnErr("cause", e.err).Msg("link closed")
			how := binarygateway.Orderly
			if reactor.Refused(e.err) {
				how = binarygateway.Refused
			} else if reactor.Reset(e.err) {
				how = binarygateway.Reset
			}
			g.m.Closed(now, l, how)
		}
	case packet:
		if e.local == g.asks {
			g.listed(now, e)
			return
		}
		for i, p := range g.cfg.Peers {
			if p == e.from {
				g.m.Peer(now, i, e.data)
			}
		}
	}
}

func (g *Gateway) listed(now float64, e event) {
	l, err := g.list.Take(e.from, e.data)
	if err != nil || l == nil {
		if err != nil && !errors.Is(err, dnsdiscovery.ErrOld) {
			g.log.Debug().Err(err).Msg("an answer of the name server does not count")
		}
		return
	}
	g.log.Debug().Uint32("no", l.No).Int("targets", len(l.Targets)).Msg("list")
	g.m.Listed(now, l)
}

// figures writes what was seen to the log.
func (g *Gateway) figures(what string) {
	waiting, standing := g.m.Held()
	calls, trunks, clients, links, timers := g.m.Open()
	g.log.Info().Int("waiting", waiting).Int("standing", standing).Ints("open", []int{calls, trunks, clients, links, timers}).
		Interface("contacts", g.m.Counts).Interface("wire", g.m.Wire).Interface("list", g.list.Counts).Msg(what)
}

// Accepted implements reactor.Handler.
func (g *Gateway) Accepted(s *reactor.Stream, from netip.Addr) {
	g.events.put(event{kind: accepted, stream: s, from: netip.AddrPortFrom(from, 0)})
}

// Connected implements reactor.Handler.
func (g *Gateway) Connected(s *reactor.Stream) { g.events.put(event{kind: connected, stream: s}) }

// Data implements reactor.Handler.
func (g *Gateway) Data(s *reactor.Stream, b []byte) {
	g.events.put(event{kind: data, stream: s, data: append([]byte(nil), b...)})
}

// Left implements reactor.Handler.
func (g *Gateway) Left(s *reactor.Stream) { g.events.put(event{kind: left, stream: s}) }

// Closed implements reactor.Handler.
func (g *Gateway) Closed(s *reactor.Stream, err error) {
	g.events.put(event{kind: closed, stream: s, err: err})
}

// Write implements platform.Out.
func (g *Gateway) Write(l *binarygateway.Link, b []byte) bool {
	return l.Conn.(*reactor.Stream).Write(b)
}

// Dial implements platform.Out.
func (g *Gateway) Dial(l *binarygateway.Link, to netip.AddrPort) {
	s := &reactor.Stream{User: l}
	l.Conn = s
	g.streams.Dial(s, to)
}

// Shut implements platform.Out.
func (g *Gateway) Shut(l *binarygateway.Link) { l.Conn.(*reactor.Stream).Shut() }

// CloseWrite implements platform.Out.
func (g *Gateway) CloseWrite(l *binarygateway.Link) { l.Conn.(*reactor.Stream).CloseWrite() }

// Tell implements platform.Out.
func (g *Gateway) Tell(to int, b []byte) {
	if to < len(g.cfg.Peers) && len(b) <= 256 && g.cfg.Peer.IsValid() {
		g.packets.Send(g.cfg.Peer, g.cfg.Peers[to], b)
	}
}

// Limit sets the process up for what its machine allows: it collects early enough to stay under its memory.
func Limit(l binaryconfig.Limits) (bytes int64) {
	if os.Getenv("GOMEMLIMIT") != "" {
		return 0
	}
	return int64(l.MemoryMB * memoryShare * (1 << 20))
}

// memoryShare is the part of the allowed memory that the collector aims at: the rest is the program itself, stacks and
// what the kernel counts.
const memoryShare = 0.55
