// Package processrun runs a scenario with each gateway as a process of its own: real sockets, a real endpoint list
// stream and signals. The scenario's stand-ins play the switches, the callers and the network, by the wall clock.
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

// Options configure a run.
type Options struct {
	Port           int      // SIP port of all addresses; port+10 and port+20 are used too
	Capture        string   // file for the captured traffic; "": none
	Dir            string   // for configuration and logs of the gateways; "": a temporary one, removed if nothing failed
	GatewayCommand []string // command that runs a gateway; "--config FILE" is added
	Module         string
	Level          string
	Progress       func(string)
}

// Result is the outcome of a run.
type Result struct {
	Service         scenario.Service
	Findings        []conformance.Finding
	Totals          conformance.Totals
	Tables          *conformance.TableChecker // nil: the scenario has no number tables
	Kiosks          scenario.ENUMService
	GatewayFailures []string // gateways that exited with an error or did not drain in time
	DatagramsLost   uint64   // datagrams that the kernel did not accept from the stand-ins
	ClockLag        float64  // ms: maximum lag of the stand-ins behind the wall clock
	Dir             string
}

// Broken reports whether a rule was broken, a call was set up by a wrong number table or a gateway failed.
func (r *Result) Broken() bool {
	return len(r.Findings) > 0 || len(r.GatewayFailures) > 0 || r.Tables != nil && len(r.Tables.Findings) > 0
}

type runner struct {
	api.UnimplementedPoolListServer
	options      Options
	sim          *scenario.Scenario
	sockets      *reactor.UDPSockets
	listListener net.Listener
	listServer   *grpc.Server
	mu           sync.Mutex
	gateways     []*process
	followers    map[string]chan *api.Update
	subscribed   chan string
	running      bool
	relays       map[netip.AddrPort]int // by the address that relays peer messages to the gateway
	nameServers  []*dnsserver.SocketServer
	admins       []*grpc.ClientConn // connections to the gateways, to put number tables
}

type process struct {
	cmd    *exec.Cmd
	log    *os.File
	done   chan struct{}
	err    error
	killed bool
}

const (
	// maxReordering is how far records of different sockets may be out of order, ms: pollers read them in turns.
	maxReordering = 10
	// tableReordering is the same for number tables, ms: the gateway reads its sockets and its gRPC service in turns.
	tableReordering = 250
	// extraRunTime is how long the run goes on after the script's end, ms, for calls to end.
	extraRunTime = 12000
	drainTimeout = 30000 // ms
	startTimeout = 20 * time.Second
)

// Run runs a scenario; it ends early when ctx is canceled.
func Run(ctx context.Context, script *scenariofile.Script, options Options) (*Result, error) {
	r := &runner{
		options:    options,
		followers:  map[string]chan *api.Update{},
		subscribed: make(chan string, 4096),
		relays:     map[netip.AddrPort]int{},
	}
	temporary := options.Dir == ""
	if temporary {
		dir, err := os.MkdirTemp("", "cobalt-day-")
		if err != nil {
			return nil, fmt.Errorf("day: %w", err)
		}
		r.options.Dir = dir
	}
	check, err := startCheck(script, options.Capture)
	if err != nil {
		return nil, err
	}
	defer check.close()
	r.sim = scenario.NewReal(script, options.Port, maxReordering, check.add)
	r.sim.Fleet = r
	r.sim.OnMark = func(at float64, what string) { r.report(fmt.Sprintf("%6.1f s  %s", at/1000, what)) }
	defer r.close()
	if err := r.startAll(ctx); err != nil {
		return nil, err
	}
	res := &Result{Dir: r.options.Dir}
	r.play(ctx, res)
	r.drain(res)
	if err := check.finish(res); err != nil {
		return nil, err
	}
	res.DatagramsLost = r.sockets.SendErrors.Load()
	if temporary && !res.Broken() {
		os.RemoveAll(r.options.Dir)
	}
	return res, ctx.Err()
}

func (r *runner) report(text string) {
	if r.options.Progress != nil {
		r.options.Progress(text)
	}
}

// startAll binds the stand-ins' sockets, starts the gateways and waits until each has subscribed to the endpoint list.
func (r *runner) startAll(ctx context.Context) error {
	if err := r.openSockets(); err != nil {
		return err
	}
	if err := r.startNameServers(); err != nil {
		return err
	}
	for i := range r.sim.Gateways {
		if err := r.startGateway(i); err != nil {
			return err
		}
	}
	for range r.sim.Gateways {
		select {
		case <-r.subscribed:
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(startTimeout):
			return fmt.Errorf("day: a gateway did not ask for the endpoint list in time; logs are in %s", r.options.Dir)
		}
	}
	return nil
}

// play runs the scenario up to the end of its last calls.
func (r *runner) play(ctx context.Context, res *Result) {
	world := r.sim.Simulation
	world.StartRealTime()
	r.setRunning(true)
	for _, g := range r.sim.Gateways {
		r.sim.SendList(g, 0)
		if names := r.sim.Numbering; names != nil {
			r.sim.RecordTableInUse(g.Number, names.Version)
		}
	}
	r.progress(res)
	world.RunReal(r.sim.Script.Length+extraRunTime, ctx.Done())
	res.Kiosks = r.sim.ENUMService()
	res.Service = r.sim.Service() // taken before the gateways drain: draining releases calls that would have gone on
}

// drain stops the gateways as an operator would, with SIGTERM, and records those that failed.
func (r *runner) drain(res *Result) {
	r.report("the day is over; gateways drain")
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
	world := r.sim.Simulation
	world.RunReal(world.Now+drainTimeout, ended) // the switches still answer the gateways
	for i, p := range processes {
		select {
		case <-p.done:
			if p.err != nil && !p.killed {
				res.GatewayFailures = append(
					res.GatewayFailures,
					fmt.Sprintf("edge-%d: %v: %s", i, p.err, lastLines(p.log.Name())),
				)
			}
		default:
			_ = p.cmd.Process.Kill()
			<-p.done
			res.GatewayFailures = append(res.GatewayFailures, fmt.Sprintf("edge-%d did not drain within 30 s", i))
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
	return append([]*process{}, r.gateways...)
}

// openSockets binds the stand-ins' sockets and serves the endpoint list.
func (r *runner) openSockets() error {
	s := r.sim
	addrs := s.Addresses()
	for _, g := range s.Gateways {
		relay := netip.AddrPortFrom(g.Addr.Addr(), uint16(r.options.Port+20))
		r.relays[relay] = g.Number
		addrs = append(addrs, relay)
	}
	var err error
	r.sockets, err = reactor.ListenUDP(addrs, 2, func(local, from netip.AddrPort, data []byte) {
		if target, ok := r.relays[local]; ok {
			r.relay(target, local, data)
			return
		}
		s.Simulation.Inject(from, local, data)
	})
	if err != nil {
		return fmt.Errorf("day: stand-ins: %w", err)
	}
	for _, g := range s.Gateways {
		g.Node.SendToSocket = func(to, from netip.AddrPort, data []byte) { r.sockets.Send(from, to, data) }
		if g.ENUMNode != nil {
			g.ENUMNode.SendToSocket = g.Node.SendToSocket
		}
	}
	if r.listListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return fmt.Errorf("day: endpoint list: %w", err)
	}
	r.listServer = grpc.NewServer()
	api.RegisterPoolListServer(r.listServer, r)
	go func() { _ = r.listServer.Serve(r.listListener) }() // ends with Stop
	return nil
}

// relay passes a message between gateways through the simulated network.
func (r *runner) relay(target int, local netip.AddrPort, data []byte) {
	if len(data) < 3 || int(binary.BigEndian.Uint16(data)) >= len(r.sim.Gateways) {
		return
	}
	r.sim.Simulation.RunInLoop(func() {
		r.sim.SendGossip(target, func(float64) { r.sockets.Send(local, r.sim.Gateways[target].Peer, data) })
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
	for _, n := range r.nameServers {
		n.Close()
	}
	if r.listServer != nil {
		r.listServer.Stop()
	}
	if r.sockets != nil {
		r.sockets.Close()
	}
}

// startGateway writes gateway i's configuration file and starts its process.
func (r *runner) startGateway(i int) error {
	g := r.sim.Gateways[i]
	file := filepath.Join(r.options.Dir, g.Name+".hcl")
	if err := os.WriteFile(file, []byte(r.gatewayFile(i)), 0o644); err != nil {
		return fmt.Errorf("day: %w", err)
	}
	log, err := os.OpenFile(filepath.Join(r.options.Dir, g.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("day: %w", err)
	}
	args := append(append([]string{}, r.options.GatewayCommand[1:]...), "--config", file, "--module", r.options.Module)
	p := &process{cmd: exec.Command(r.options.GatewayCommand[0], args...), log: log, done: make(chan struct{})}
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
	if i < len(r.gateways) {
		r.gateways[i] = p
	} else {
		r.gateways = append(r.gateways, p)
	}
	return nil
}

// Follow implements the endpoint list service.
func (r *runner) Follow(req *api.FollowRequest, stream grpc.ServerStreamingServer[api.Update]) error {
	updates := make(chan *api.Update, 1024)
	r.mu.Lock()
	r.followers[req.Gateway] = updates
	running := r.running
	r.mu.Unlock()
	if running {
		r.sim.Simulation.RunInLoop(func() {
			for _, g := range r.sim.Gateways {
				if g.Name == req.Gateway {
					r.sim.SendList(g, req.Have)
				}
			}
		})
	} else {
		select {
		case r.subscribed <- req.Gateway:
		default:
		}
	}
	for {
		select {
		case update := <-updates:
			if err := stream.Send(update); err != nil {
				return err
			}
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

// SendList implements scenario.Fleet.
func (r *runner) SendList(i int, update *api.Update) {
	r.mu.Lock()
	updates := r.followers[r.sim.Gateways[i].Name]
	r.mu.Unlock()
	select {
	case updates <- update:
	default:
	}
}

func (r *runner) process(i int) *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gateways[i]
}

// Pause implements scenario.Fleet.
func (r *runner) Pause(i int) { _ = r.process(i).cmd.Process.Signal(syscall.SIGSTOP) }

// Resume implements scenario.Fleet.
func (r *runner) Resume(i int) { _ = r.process(i).cmd.Process.Signal(syscall.SIGCONT) }

// Kill implements scenario.Fleet.
func (r *runner) Kill(i int) {
	p := r.process(i)
	p.killed = true
	_ = p.cmd.Process.Kill()
}

// Start implements scenario.Fleet.
func (r *runner) Start(i int) {
	<-r.process(i).done
	if err := r.startGateway(i); err != nil && r.options.Progress != nil {
		r.options.Progress(err.Error())
	}
}

// progress reports the state of the run every 5 s and records how far the stand-ins lag behind the clock.
func (r *runner) progress(res *Result) {
	world := r.sim.Simulation
	var tick func()
	nextReport := 5000.0
	tick = func() {
		if behind := world.RealTime() - world.Now; behind > res.ClockLag {
			res.ClockLag = behind
		}
		if world.Now >= nextReport && r.options.Progress != nil {
			nextReport += 5000
			service := r.sim.Service()
			r.options.Progress(
				fmt.Sprintf(
					"%6.1f s  %d callers planned, %d stood in time, %d late, %d cut",
					world.Now/1000,
					service.Arrived,
					service.Answered,
					service.Late,
					service.Dropped,
				),
			)
		}
		world.At(world.Now+100, tick)
	}
	tick()
}

func lastLines(file string) string {
	b, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	return strings.Join(lines[max(0, len(lines)-2):], " / ")
}

// ErrBroken means that a run broke a rule or that one of its gateways failed.
var ErrBroken = errors.New("a rule was broken or a gateway failed; see the findings in the output")
