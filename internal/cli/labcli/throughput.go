package labcli

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/grpc"

	"cobaltpier/api"
	"cobaltpier/internal/emulator/saturation"
	"cobaltpier/internal/gateway/reactor"
)

// echo answers every datagram with itself, on the gateway's own reactor: a hidden command, for comparison.
func echo() *cobra.Command {
	var at string
	c := &cobra.Command{Use: "echo", Hidden: true, RunE: func(cmd *cobra.Command, _ []string) error {
		addr, err := netip.ParseAddrPort(at)
		if err != nil {
			return fmt.Errorf("echo: %w", err)
		}
		var s *reactor.UDPSockets
		ready := make(chan struct{})
		s, err = reactor.Listen([]netip.AddrPort{addr}, 1, func(local, from netip.AddrPort, data []byte) {
			<-ready
			s.Send(local, from, data)
		})
		if err != nil {
			return err
		}
		close(ready)
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
		<-stop
		s.Close()
		return nil
	}}
	c.Flags().StringVar(&at, "at", "", "address")
	return c
}

// oneList is an endpoint list with one endpoint that never changes.
type oneList struct {
	api.UnimplementedPoolListServer
	at string
}

func (l *oneList) Follow(_ *api.FollowRequest, stream grpc.ServerStreamingServer[api.Update]) error {
	if err := stream.Send(
		&api.Update{
			Version: 1,
			Whole:   true,
			Members: []*api.Member{{Id: "rush", State: api.State_READY, AgeMs: -1, Addr: l.at}},
		},
	); err != nil {
		return err
	}
	<-stream.Context().Done()
	return stream.Context().Err()
}

type throughputFlags struct {
	port int
	step time.Duration
	most float64
	soak time.Duration
	hold time.Duration
	prof string
}

func throughput() *cobra.Command {
	var f throughputFlags
	c := &cobra.Command{
		Use:   "throughput",
		Short: "How many contacts a second one gateway carries on one core, beside a bare echo",
		Args:  cobra.NoArgs,
		Long: `Runs one gateway process on one core with callers and a switch that do next to nothing, and raises
the rate until not all contacts stand, or the gateway repeats set-ups because it answers too slowly
itself. A bare echo on the same reactor and one core is measured in the same way before and after
it. Then: the time that the gateway adds at half of its rate, the memory of held contacts, and with
--soak a long run that shows growth.`,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd.OutOrStdout()) },
	}
	c.Flags().IntVar(&f.port, "port", 17060, "port of the addresses in 127.0.0.0/8")
	c.Flags().DurationVar(&f.step, "step", 4*time.Second, "how long each rate is kept")
	c.Flags().Float64Var(&f.most, "most", 30000, "the highest rate tried, contacts a second")
	c.Flags().DurationVar(&f.soak, "soak", 0, "then a run so long at half of the rate")
	c.Flags().DurationVar(&f.hold, "hold", 8*time.Second, "how long contacts stand where memory is measured")
	c.Flags().StringVar(&f.prof, "profile", "", "write the gateway's CPU profile to this file")
	return c
}

func (f *throughputFlags) run(out io.Writer) error {
	at := func(n byte) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 60, 0, n}), uint16(f.port))
	}
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("own program: %w", err)
	}
	dir, err := os.MkdirTemp("", "cobalt-rush-")
	if err != nil {
		return fmt.Errorf("throughput: %w", err)
	}
	defer os.RemoveAll(dir)
	start := func(args ...string) (*exec.Cmd, *bytes.Buffer, error) {
		c := exec.Command(self, args...)
		c.Env = append(os.Environ(), "GOMAXPROCS=1")
		log := &bytes.Buffer{}
		c.Stderr = log
		return c, log, c.Start()
	}
	stop := func(c *exec.Cmd) error {
		_ = c.Process.Signal(syscall.SIGTERM)
		return c.Wait()
	}
	echoRate := func() (float64, error) {
		c, _, err := start("echo", "--at", at(9).String())
		if err != nil {
			return 0, err
		}
		defer func() { _ = stop(c) }()
		time.Sleep(300 * time.Millisecond)
		best := 0.0
		for rate := 20000.0; rate < 1e6; rate *= 1.25 {
			sent, back, _, err := saturation.Echo(at(9), rate, f.step/2)
			if err != nil {
				return 0, err
			}
			got := float64(back) / (f.step / 2).Seconds()
			best = max(best, got)
			if float64(back) < 0.99*float64(sent) || float64(sent) < 0.95*rate*(f.step/2).Seconds() {
				break
			}
		}
		return best, nil
	}
	before, err := echoRate()
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "bare echo, one core: %.0f datagrams a second there and back\n", before)

	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("throughput: pool list: %w", err)
	}
	server := grpc.NewServer()
	api.RegisterPoolListServer(server, &oneList{at: at(3).String()})
	go func() { _ = server.Serve(lis) }() // ends with Stop
	defer server.Stop()
	file := filepath.Join(dir, "edge.hcl")
	if err := os.WriteFile(
		file,
		[]byte(fmt.Sprintf(rushSettings, at(1), netip.AddrPortFrom(at(1).Addr(), uint16(f.port+10)), lis.Addr())),
		0o644,
	); err != nil {
		return fmt.Errorf("throughput: %w", err)
	}
	args := []string{"edge", "run", "--config", file}
	if f.prof != "" {
		args = append(args, "--profile", f.prof)
	}
	edge, log, err := start(args...)
	if err != nil {
		return err
	}
	defer func() { _ = edge.Process.Kill() }()
	rig, err := saturation.NewRig(at(2), at(3), at(1))
	if err != nil {
		return err
	}
	defer rig.Close()
	time.Sleep(time.Second)
	rig.Run(saturation.Load{Rate: 200, For: 3 * time.Second}) // the module learns that its endpoint answers at once
	best := 0.0
	fmt.Fprintf(
		out,
		"%8s %8s %8s %8s %9s %9s %9s %8s\n",
		"rate",
		"sent",
		"stood",
		"repeats",
		"p50 µs",
		"p99 µs",
		"p99.9 µs",
		"late",
	)
	show := func(rate float64, r *saturation.Result) {
		fmt.Fprintf(
			out,
			"%8.0f %8d %8d %8d %9d %9d %9d %8s\n",
			rate,
			r.Sent,
			r.Answered,
			r.Repeats,
			r.Added.ValueAtQuantile(50),
			r.Added.ValueAtQuantile(99),
			r.Added.ValueAtQuantile(99.9),
			r.Late.Round(100*time.Microsecond),
		)
	}
	for rate := 500.0; rate <= f.most; rate *= 1.25 {
		r := rig.Run(saturation.Load{Rate: rate, For: f.step})
		show(rate, r)
		if float64(r.Answered) < 0.995*float64(r.Sent) || float64(r.Repeats) > 0.001*float64(r.Sent) {
			break
		}
		best = rate
	}
	time.Sleep(2 * time.Second)
	after, err := echoRate()
	if err != nil {
		return err
	}
	mean := (before + after) / 2
	fmt.Fprintf(out, "bare echo again: %.0f\n", after)
	fmt.Fprintf(
		out,
		"gateway, one core: %.0f contacts a second, %.0f datagrams a second in and out; echo %.0f in and out; ratio "+
			"%.2f (aim 0.33)\n",
		best,
		12*best,
		2*mean,
		12*best/(2*mean),
	)
	r := rig.Run(saturation.Load{Rate: best / 2, For: 2 * f.step})
	fmt.Fprintf(
		out,
		"at half of that, set-up from caller to switch: p50 %.2f ms, p99 %.2f ms (aim 2), p99.9 %.2f ms; answer back: "+
			"p50 %.2f, p99 %.2f, p99.9 %.2f\n",
		ms(r.Added.ValueAtQuantile(50)),
		ms(r.Added.ValueAtQuantile(99)),
		ms(r.Added.ValueAtQuantile(99.9)),
		ms(r.Back.ValueAtQuantile(50)),
		ms(r.Back.ValueAtQuantile(99)),
		ms(r.Back.ValueAtQuantile(99.9)),
	)
	time.Sleep(30 * time.Second) // transactions of the runs before end
	empty := rss(edge.Process.Pid)
	held := min(1000, best/2)
	full := 0.0
	done := make(chan struct{})
	go func() {
		rig.Run(saturation.Load{Rate: held, For: f.hold, HoldingTime: f.hold})
		close(done)
	}()
	for sampling := true; sampling; {
		select {
		case <-done:
			sampling = false
		case <-time.After(200 * time.Millisecond):
			full = max(full, rss(edge.Process.Pid))
		}
	}
	n := held * f.hold.Seconds()
	fmt.Fprintf(
		out,
		"memory: %.1f MiB before, %.1f MiB at most with %.0f contacts held: %.1f KiB each (aim 20)\n",
		empty/1024,
		full/1024,
		n,
		(full-empty)/n,
	)
	if f.soak > 0 {
		fmt.Fprintf(out, "%8s %10s %10s\n", "minute", "memory MiB", "stood")
		for from := time.Duration(0); from < f.soak; from += time.Minute {
			r := rig.Run(saturation.Load{Rate: best / 2, For: min(time.Minute, f.soak-from)})
			fmt.Fprintf(out, "%8.0f %10.1f %10d\n", from.Minutes()+1, rss(edge.Process.Pid)/1024, r.Answered)
		}
	}
	if err := stop(edge); err != nil {
		return fmt.Errorf("gateway: %w: %s", err, log)
	}
	return nil
}

func ms(us int64) float64 { return float64(us) / 1000 }

// rss is a process's resident memory in KiB, as the kernel tells it.
func rss(pid int) float64 {
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(b), "VmRSS:")
	f := strings.Fields(rest)
	if len(f) == 0 {
		return 0
	}
	v, _ := strconv.ParseFloat(f[0], 64)
	return v
}

const rushSettings = `
gateway {
  name          = "rush"
  sip           = "%s"
  peer          = "%s"
  trunk_context = "rush.example"
  most_held     = 200000
  queue         = 65536
}
list {
  addr = "%s"
}
rules {
  clear_wait   = "500ms"
  cold_share   = 0.36
  warm_within  = "14s"
  tip_multiple = 2.5
  tip_time     = "1s"
}
skill "shift-lookup" {
  target   = "2s"
  patience = "9s"
  hold     = "5s"
}
group "TG-0" {
  pool = 0
  size = 1000000
}
log {
  level = "warn"
}
`
