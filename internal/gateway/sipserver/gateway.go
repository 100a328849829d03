// Package sipserver drives one edge by the wall clock: one loop owns the edge's state, and all that came since the last
// tick is one batch. Sockets, the endpoint list, signals and logs reach it through one bounded queue and never hold it
// up.
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

// Outcome is how a gateway ended.
type Outcome int

// The outcomes.
const (
	Drained Outcome = iota // all that was held has its answer
	Forced                 // told twice to end: what was held is lost
)

// clockOrigin is the clock's value at the start, in ms: starts of switches before that still lie after nought.
const clockOrigin = 1e9

type event struct {
	kind  eventKind
	from  netip.AddrPort
	local netip.AddrPort // answer: the port that it came to
	data  []byte
	list  *api.Update
	at    time.Time
	do    func(now float64) // call
}

type eventKind int

const (
	sipDatagram eventKind = iota
	peerDatagram
	endpointList
	dnsResponse
	callback
)

// Gateway is a running edge.
type Gateway struct {
	config        *gatewayconfig.Config
	log           zerolog.Logger
	agent         *b2bua.Agent
	datagrams     *reactor.UDPSockets
	events        chan event
	startedAt     time.Time
	droppedEvents uint64 // datagrams that found the queue full
	outgoing      []reactor.Datagram
	numbers       *numberService
	enumListener  *enumListener
	done          <-chan struct{}
}

// Run runs an edge until ctx's parent says so: the first value on stop lets it drain, the second ends it at once.
func Run(
	ctx context.Context,
	set *gatewayconfig.Config,
	mk routing.PolicyFactory,
	log zerolog.Logger,
	stop <-chan struct{},
) (Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g := &Gateway{config: set, log: log, events: make(chan event, set.QueueSize), startedAt: time.Now()}
	addrs := []netip.AddrPort{set.Address, set.PeerListen}
	sockets, err := reactor.Listen(addrs, 1, g.onDatagram)
	if err != nil {
		if reactor.AddressInUse(err) {
			return Forced, fmt.Errorf("gateway %s: another program has the address: %w", set.Name, err)
		}
		return Forced, fmt.Errorf("gateway %s: %w", set.Name, err)
	}
	defer sockets.Close()
	g.datagrams, g.done = sockets, ctx.Done()
	if set.Numbers.Enabled() {
		n, err := g.openNumbers()
		if err != nil {
			return Forced, fmt.Errorf("gateway %s: %w", set.Name, err)
		}
		defer n.close()
		g.numbers, set.Table = n, n.initialTable
		set.Epoch = g.startedAt.Add(-time.Duration(clockOrigin * float64(time.Millisecond)))
		if n.client != nil {
			set.NumberLookup = n
		}
		if err := n.serve(ctx, log); err != nil {
			return Forced, fmt.Errorf("gateway %s: %w", set.Name, err)
		}
	}
	g.agent = b2bua.New(&set.Config, mk, g)
	if set.ENUMServer.Listen.IsValid() {
		if g.enumListener, err = g.listenENUM(); err != nil {
			return Forced, fmt.Errorf("gateway %s: %w", set.Name, err)
		}
		defer g.enumListener.close()
	}
	if log.GetLevel() <= zerolog.DebugLevel {
		g.agent.OnCallEnd = func(f b2bua.CallRecord) {
			log.Debug().Str("contact", f.SessionID).Str("skill", f.Class).Int("answer", f.Answer).Int("rings", f.Attempts).
				Float64("took_ms", f.DurationMs).Uint64("table", f.Table).Str("route", f.Route).Msg("contact")
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		err := grpcdiscovery.Follow(ctx, set.EndpointList, set.Name, func(u *api.Update) {
			select {
			case g.events <- event{kind: endpointList, list: u, at: time.Now()}:
			case <-ctx.Done():
			}
		}, func(up bool, err error) {
			if up {
				log.Info().Str("list", set.EndpointList).Msg("pool list followed")
			} else {
				log.Warn().Str("list", set.EndpointList).AnErr("cause", err).Msg("pool list lost; the old one is kept")
			}
		})
		if err != nil {
			log.Error().Err(err).Msg("pool list")
		}
	}()
	log.Info().Str("sip", set.Address.String()).Int("number", set.Settings.GatewayIndex).Msg("gateway runs")
	out := g.loop(stop)
	if g.enumListener != nil {
		g.enumListener.enum.Close(g.now())
		f := g.enumListener.enum.Counts
		log.Info().Uint64(
			"asked",
			f.Asked,
		).Uint64(
			"named",
			f.Named,
		).Uint64(
			"none",
			f.None,
		).Uint64(
			"failed",
			f.Failed,
		).Uint64(
			"repeats",
			f.Repeats,
		).
			Uint64(
				"refused",
				f.Refused,
			).Uint64(
			"slipped",
			f.Slipped,
		).Uint64(
			"dropped",
			f.Dropped,
		).Uint64(
			"truncated",
			f.Truncated,
		).Msg(
			"look-ups answered",
		)
	}
	if g.numbers != nil && g.numbers.client != nil {
		l, p := g.numbers.client.Counts, g.numbers.finder.Counts
		log.Info().Uint64(
			"asked",
			l.Asked,
		).Uint64(
			"cached",
			l.Cached,
		).Uint64(
			"stale",
			l.Stale,
		).Uint64(
			"shared",
			l.Shared,
		).Uint64(
			"sent",
			l.Sent,
		).
			Uint64(
				"streams",
				l.Streams,
			).Uint64(
			"failed",
			l.Failed,
		).Uint64(
			"late",
			l.Late,
		).Uint64(
			"strays",
			l.Strays,
		).Uint64(
			"lame",
			l.Lame,
		).
			Uint64(
				"ported",
				p.Ported,
			).Uint64(
			"same",
			p.Same,
		).Uint64(
			"silent",
			p.Silent,
		).Uint64(
			"bad",
			p.Bad,
		).Msg(
			"look-ups made",
		)
	}
	cancel()
	<-done
	c := g.agent.Counts
	log.Info().Uint64(
		"taken",
		c.Accepted,
	).Uint64(
		"stood",
		c.Answered,
	).Uint64(
		"deferred",
		c.Rejected,
	).Uint64(
		"abandoned",
		c.Failed,
	).
		Uint64(
			"turned",
			c.Shed,
		).Uint64(
		"rings",
		c.Attempts,
	).Uint64(
		"overdue",
		c.Overdue,
	).Uint64(
		"barred",
		c.Blocked,
	).
		Uint64(
			"asked",
			c.Lookups,
		).Uint64(
		"unrouted",
		c.Unrouted,
	).Uint64(
		"queue_lost",
		g.droppedEvents,
	).Uint64(
		"send_lost",
		sockets.Lost.Load(),
	).Bool(
		"drained",
		out == Drained,
	).Msg(
		"gateway ended",
	)
	return out, nil
}

// onDatagram runs in the poller: what finds the queue full is lost, as the network may lose it.
func (g *Gateway) onDatagram(local, from netip.AddrPort, data []byte) {
	e := event{kind: sipDatagram, from: from, data: data}
	if local == g.config.PeerListen {
		e.kind = peerDatagram
	}
	select {
	case g.events <- e:
	default:
		g.droppedEvents++
	}
}

// enqueue hands an event to the loop, which may have ended.
func (g *Gateway) enqueue(e event) {
	select {
	case g.events <- e:
	case <-g.done:
	}
}

// Send implements edge.Out.
func (g *Gateway) Send(to netip.AddrPort, data []byte) {
	g.outgoing = append(g.outgoing, reactor.Datagram{To: to, Data: data})
}

// flush sends what a batch made.
func (g *Gateway) flush() {
	g.datagrams.SendAll(g.config.Address, g.outgoing)
	clear(g.outgoing)
	g.outgoing = g.outgoing[:0]
}

// SendGossip implements edge.Out: two bytes say who sends, then the message.
func (g *Gateway) SendGossip(to int, data []byte) {
	if to < len(g.config.Peers) && len(data) <= 256 {
		g.datagrams.Send(
			g.config.PeerListen,
			g.config.Peers[to],
			append(binary.BigEndian.AppendUint16(nil, uint16(g.config.Settings.GatewayIndex)), data...),
		)
	}
}

func (g *Gateway) now() float64 { return clockOrigin + float64(time.Since(g.startedAt))/1e6 }

// loop is the one owner of the edge.
func (g *Gateway) loop(stop <-chan struct{}) Outcome {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var last, closing float64 // the latest batch; when the drain began, 0: not
	for {
		now := g.now()
		wait := math.Min(g.agent.NextWakeup()-now, 100)
		if closing > 0 {
			wait = math.Min(wait, 10)
		}
		if wait > 0 {
			timer.Reset(time.Duration(wait * 1e6))
			select {
			case e := <-g.events:
				if rest := g.config.Tick - (g.now() - last); rest > 0 { // the batch of this tick is not over
					time.Sleep(time.Duration(rest * 1e6))
				}
				now = g.now()
				g.handleEvent(now, e)
			case <-timer.C:
				now = g.now()
			case <-stop:
				if closing > 0 {
					return Forced
				}
				closing = g.now()
				g.agent.StopAdmitting()
				g.log.Info().Msg("draining")
				continue
			}
		} else if rest := g.config.Tick - (now - last); rest > 0 {
			time.Sleep(time.Duration(rest * 1e6))
			now = g.now()
		}
		for n := len(g.events); n > 0; n-- {
			g.handleEvent(now, <-g.events)
		}
		g.agent.Step(now)
		g.flush()
		last = now
		if closing > 0 {
			select {
			case <-stop:
				return Forced
			default:
			}
			if g.drained(now, closing) {
				return Drained
			}
		}
	}
}

// drained tells whether a gateway that drains may go: nobody waits for an answer, and the calls that stood have ended
// or were released when their time was over, with a while for the release to be heard.
func (g *Gateway) drained(now, since float64) bool {
	waiting, standing := g.agent.InProgress()
	if waiting > 0 {
		return false
	}
	if standing > 0 {
		if now-since > g.config.DrainTimeout {
			g.agent.ReleaseAll(now)
			g.flush()
		}
		return false
	}
	dialogs, _, _ := g.agent.OpenCounts() // setups that nobody waits for, and that a switch may still answer
	return dialogs == 0 || now-since > g.config.DrainTimeout+finalReleaseTimeout
}

// finalReleaseTimeout is how long a drained gateway waits at most for answers that only have to be released, ms.
const finalReleaseTimeout = 2000

func (g *Gateway) handleEvent(now float64, e event) {
	switch e.kind {
	case sipDatagram:
		g.agent.Receive(now, e.from, e.data)
	case peerDatagram:
		if len(e.data) > 2 {
			g.agent.OnPeerMessage(now, int(binary.BigEndian.Uint16(e.data)), e.data[2:])
		}
	case dnsResponse:
		g.numbers.answered(now, e)
	case callback:
		e.do(now)
	case endpointList:
		g.agent.OnEndpointList(
			now,
			grpcdiscovery.Entries(e.list, clockOrigin+float64(e.at.Sub(g.startedAt))/1e6),
			e.list.Whole,
		)
	}
}
