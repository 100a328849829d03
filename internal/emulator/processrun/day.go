// Package processrun puts a script's day on with gateways that are processes of their own: real sockets, a real
// endpoint list stream, signals. Switches, callers and the wire are the stage's, by the wall clock.
package processrun

//tally:standin

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"google.golang.org/grpc"

	"cobaltpier/api"
	"cobaltpier/internal/conformance"
	"cobaltpier/internal/emulator/dnsserver"
	"cobaltpier/internal/emulator/scenario"
	"cobaltpier/internal/emulator/scenariofile"
	"cobaltpier/internal/gateway/reactor"
)

// Options are how a day is put on.
type Options struct {
	Port    int      // SIP port of all addresses; port+10 and port+20 are used too
	Capture string   // file; "": none is kept
	Dir     string   // for settings and logs of the gateways; "": a new one, removed when all went well
	Edge    []string // command that runs a gateway; "--config FILE" is added
	Module  string
	Level   string
	Say     func(string)
}

// Result is what a day came to.
type Result struct {
	Service  scenario.Service
	Findings []conformance.Finding
	Totals   conformance.Totals
	Tables   *conformance.Tables // nil: no number tables
	Kiosks   scenario.KioskService
	Exits    []string // gateways that did not end as they should
	Lost     uint64   // datagrams that sockets did not take
	Late     float64  // ms: the most that the stand-ins ran behind the clock
	Dir      string
}

// Broken tells whether a rule was broken or a gateway ended badly.
func (r *Result) Broken() bool {
	return len(r.Findings) > 0 || len(r.Exits) > 0 || r.Tables != nil && len(r.Tables.Findings) > 0
}

type runner struct {
	api.UnimplementedPoolListServer
	o       Options
	st      *scenario.Scenario
	sockets *reactor.UDPSockets
	list    net.Listener
	server  *grpc.Server
	mu      sync.Mutex
	procs   []*process
	follow  map[string]chan *api.Update
	joined  chan string
	running bool
	relays  map[netip.AddrPort]int // where messages for a gateway come in
	names   []*dnsserver.Served
	admins  []*grpc.ClientConn // of the gateways, for number tables
}

type process struct {
	cmd    *exec.Cmd
	log    *os.File
	done   chan struct{}
	err    error
	killed bool
}

const (
	// blur is how far records of different sockets may be out of order, ms: they are read by pollers that take turns.
	blur = 10
	// tableBlur is the same for number tables: the gateway's sockets and its service are read by turns; ms.
	tableBlur = 250
	// afterDay is how long calls may still end after the day's last, in ms.
	afterDay     = 12000
	drainTimeout = 30000 // ms
	startTimeout = 20 * time.Second
)

// Run plays a day; it ends early when ctx does.
func Run(ctx context.Context, s *scenariofile.Script, o Options) (*Result, error) {
	r := &runner{
		o:      o,
		follow: map[string]chan *api.Update{},
		joined: make(chan string, 4096),
		relays: map[netip.AddrPort]int{},
	}
	temporary := o.Dir == ""
	if temporary {
		dir, err := os.MkdirTemp("", "cobalt-day-")
		if err != nil {
			return nil, fmt.Errorf("day: %w", err)
		}
		r.o.Dir = dir
	}
	check, err := startCheck(s, o.Capture)
	if err != nil {
		return nil, err
	}
	defer check.close()
	r.st = scenario.NewReal(s, o.Port, blur, check.add)
	r.st.Fleet = r
	r.st.Say = func(at float64, what string) { r.say(fmt.Sprintf("%6.1f s  %s", at/1000, what)) }
	defer r.close()
	if err := r.startAll(ctx); err != nil {
		return nil, err
	}
	res := &Result{Dir: r.o.Dir}
	r.play(ctx, res)
	r.drain(res)
	if err := check.finish(res); err != nil {
		return nil, err
	}
	res.Lost = r.sockets.Lost.Load()
	if temporary && !res.Broken() {
		os.RemoveAll(r.o.Dir)
	}
	return res, ctx.Err()
}

func (r *runner) say(text string) {
	if r.o.Say != nil {
		r.o.Say(text)
	}
}

// startAll binds the stand-ins' sockets, starts the gateways and waits until each has asked for the endpoint list.
func (r *runner) startAll(ctx context.Context) error {
	if err := r.open(); err != nil {
		return err
	}
	if err := r.openNames(); err != nil {
		return err
	}
	for i := range r.st.Gateways {
		if err := r.launch(i); err != nil {
			return err
		}
	}
	for range r.st.Gateways {
		select {
		case <-r.joined:
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(startTimeout):
			return fmt.Errorf("day: gateways do not come up; their logs are in %s", r.o.Dir)
		}
	}
	return nil
}

// play plays the day itself.
func (r *runner) play(ctx context.Context, res *Result) {
	w := r.st.World
	w.Begin()
	r.setRunning(true)
	for _, g := range r.st.Gateways {
		r.st.Welcome(g, 0)
		if n := r.st.Names; n != nil {
			r.st.TableIn(g.Number, n.Version)
		}
	}
	r.progress(res)
	w.RunReal(r.st.Script.Length+afterDay, ctx.Done())
	res.Kiosks = r.st.KioskService()
	res.Service = r.st.Service() // before the gateways drain: that releases calls that would have gone on
}

// drain stops the gateways as an operator would and reports those that did not end well.
func (r *runner) drain(res *Result) {
	r.say("the day is over; gateways drain")
	r.setRunning(false)
	processes := r.processes()
	for _, p := range processes {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}
	ended := make(chan struct{})
	go func() {
		for _, p := range processes {
			<-p.done
		}
		close(ended)
	}()
	w := r.st.World
	w.RunReal(w.Now+drainTimeout, ended) // the switches still take what the gateways send
	for i, p := range processes {
		select {
		case <-p.done:
			if p.err != nil && !p.killed {
				res.Exits = append(res.Exits, fmt.Sprintf("edge-%d: %v: %s", i, p.err, tail(p.log.Name())))
			}
		default:
			_ = p.cmd.Process.Kill()
			<-p.done
			res.Exits = append(res.Exits, fmt.Sprintf("edge-%d did not drain within 30 s", i))
		}
	}
}

func (r *runner) setRunning(running bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running = running
}

func (r *runner) processes() []*process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*process{}, r.procs...)
}

// open binds what the stand-ins need.
func (r *runner) open() error {
	st := r.st
	addrs := st.Addresses()
	for _, g := range st.Gateways {
		relay := netip.AddrPortFrom(g.Addr.Addr(), uint16(r.o.Port+20))
		r.relays[relay] = g.Number
		addrs = append(addrs, relay)
	}
	var err error
	r.sockets, err = reactor.Listen(addrs, 2, func(local, from netip.AddrPort, data []byte) {
		if to, ok := r.relays[local]; ok {
			r.relay(to, local, data)
			return
		}
		st.World.Arrived(from, local, data)
	})
	if err != nil {
		return fmt.Errorf("day: stand-ins: %w", err)
	}
	for _, g := range st.Gateways {
		g.Node.Real = func(to, from netip.AddrPort, data []byte) { r.sockets.Send(from, to, data) }
		if g.FrontAt != nil {
			g.FrontAt.Real = g.Node.Real
		}
	}
	if r.list, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return fmt.Errorf("day: pool list: %w", err)
	}
	r.server = grpc.NewServer()
	api.RegisterPoolListServer(r.server, r)
	go func() { _ = r.server.Serve(r.list) }() // ends with Stop
	return nil
}

// relay is the wire between gateways.
func (r *runner) relay(to int, local netip.AddrPort, data []byte) {
	if len(data) < 3 || int(binary.BigEndian.Uint16(data)) >= len(r.st.Gateways) {
		return
	}
	r.st.World.Do(func() {
		r.st.Tell(to, func(float64) { r.sockets.Send(local, r.st.Gateways[to].Peer, data) })
	})
}

func (r *runner) close() {
	for _, p := range r.processes() {
		select {
		case <-p.done:
		default:
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.done
		}
		p.log.Close()
	}
	for _, c := range r.admins {
		c.Close()
	}
	for _, n := range r.names {
		n.Close()
	}
	if r.server != nil {
		r.server.Stop()
	}
	if r.sockets != nil {
		r.sockets.Close()
	}
}

// launch starts a gateway's process.
func (r *runner) launch(i int) error {
	g := r.st.Gateways[i]
	file := filepath.Join(r.o.Dir, g.Name+".hcl")
	if err := os.WriteFile(file, []byte(r.gatewayFile(i)), 0o644); err != nil {
		return fmt.Errorf("day: %w", err)
	}
	log, err := os.OpenFile(filepath.Join(r.o.Dir, g.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("day: %w", err)
	}
	args := append(append([]string{}, r.o.Edge[1:]...), "--config", file, "--module", r.o.Module)
	p := &process{cmd: exec.Command(r.o.Edge[0], args...), log: log, done: make(chan struct{})}
	p.cmd.Stderr, p.cmd.Stdout = log, log
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("day: start %s: %w", g.Name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	r.mu.Lock()
	defer r.mu.Unlock()
	if i < len(r.procs) {
		r.procs[i] = p
	} else {
		r.procs = append(r.procs, p)
	}
	return nil
}

// Follow implements the endpoint list's service.
func (r *runner) Follow(req *api.FollowRequest, stream grpc.ServerStreamingServer[api.Update]) error {
	ch := make(chan *api.Update, 1024)
	r.mu.Lock()
	r.follow[req.Gateway] = ch
	running := r.running
	r.mu.Unlock()
	if running {
		r.st.World.Do(func() {
			for _, g := range r.st.Gateways {
				if g.Name == req.Gateway {
					r.st.Welcome(g, req.Have)
				}
			}
		})
	} else {
		select {
		case r.joined <- req.Gateway:
		default:
		}
	}
	for {
		select {
		case u := <-ch:
			if err := stream.Send(u); err != nil {
				return err
			}
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

// List implements stage.Fleet.
func (r *runner) List(i int, u *api.Update) {
	r.mu.Lock()
	ch := r.follow[r.st.Gateways[i].Name]
	r.mu.Unlock()
	select {
	case ch <- u:
	default:
	}
}

func (r *runner) process(i int) *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.procs[i]
}

// Halt implements stage.Fleet.
func (r *runner) Halt(i int) { _ = r.process(i).cmd.Process.Signal(syscall.SIGSTOP) }

// Go implements stage.Fleet.
func (r *runner) Go(i int) { _ = r.process(i).cmd.Process.Signal(syscall.SIGCONT) }

// Kill implements stage.Fleet.
func (r *runner) Kill(i int) {
	p := r.process(i)
	p.killed = true
	_ = p.cmd.Process.Kill()
}

// Start implements stage.Fleet.
func (r *runner) Start(i int) {
	<-r.process(i).done
	if err := r.launch(i); err != nil && r.o.Say != nil {
		r.o.Say(err.Error())
	}
}

// progress tells how the day goes, and sees how far the stand-ins run behind the clock.
func (r *runner) progress(res *Result) {
	w := r.st.World
	var tick func()
	next := 5000.0
	tick = func() {
		if late := w.Wall() - w.Now; late > res.Late {
			res.Late = late
		}
		if w.Now >= next && r.o.Say != nil {
			next += 5000
			sv := r.st.Service()
			r.o.Say(
				fmt.Sprintf(
					"%6.1f s  %d callers planned, %d stood in time, %d late, %d cut",
					w.Now/1000,
					sv.Arrived,
					sv.Answered,
					sv.Late,
					sv.Dropped,
				),
			)
		}
		w.At(w.Now+100, tick)
	}
	tick()
}

func tail(file string) string {
	b, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	return strings.Join(lines[max(0, len(lines)-2):], " / ")
}

// ErrBroken says that a day broke a rule.
var ErrBroken = errors.New("a rule was broken")
