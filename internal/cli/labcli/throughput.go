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

// echoCmd returns a hidden command that sends every datagram back, on the gateway's own reactor: the baseline of
// throughput.
func echoCmd() *cobra.Command {
	var listenAddr string
	c := &cobra.Command{Use: "echo", Hidden: true, RunE: func(cmd *cobra.Command, _ []string) error {
		addr, err := netip.ParseAddrPort(listenAddr)
		if err != nil {
			return fmt.Errorf("echo: %w", err)
		}
		var sockets *reactor.UDPSockets
		ready := make(chan struct{})
		sockets, err = reactor.ListenUDP([]netip.AddrPort{addr}, 1, func(local, from netip.AddrPort, data []byte) {
			<-ready
			sockets.Send(local, from, data)
		})
		if err != nil {
			return err
		}
		close(ready)
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
		<-stop
		sockets.Close()
		return nil
	}}
	c.Flags().StringVar(&listenAddr, "at", "", "address to listen on")
	return c
}

// fixedEndpointList serves an endpoint list with one endpoint that never changes.
type fixedEndpointList struct {
	api.UnimplementedPoolListServer
	endpointAddr string
}

func (l *fixedEndpointList) Follow(_ *api.FollowRequest, stream grpc.ServerStreamingServer[api.Update]) error {
	if err := stream.Send(
		&api.Update{
			Version: 1,
			Whole:   true,
			Members: []*api.Member{{Id: "rush", State: api.State_READY, AgeMs: -1, Addr: l.endpointAddr}},
		},
	); err != nil {
		return err
	}
	<-stream.Context().Done()
	return stream.Context().Err()
}

type throughputFlags struct {
	port    int
	step    time.Duration
	maxRate float64
	soak    time.Duration
	hold    time.Duration
	profile string
}

func throughputCmd() *cobra.Command {
	var f throughputFlags
	c := &cobra.Command{
		Use:   "throughput",
		Short: "Measure how many calls a second one gateway carries on one core, compared with a bare echo",
		Args:  cobra.NoArgs,
		Long: `Runs one gateway process on one core, with callers and a switch that do almost no work, and raises
the rate until not all calls are established or set-ups are retransmitted because the gateway is too
slow. A bare echo server on the same reactor and one core is measured in the same way before and
after. Then it measures the latency that the gateway adds at half of its rate and the memory of held
calls; --soak adds a long run that shows memory growth.`,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd.OutOrStdout()) },
	}
	c.Flags().IntVar(&f.port, "port", 17060, "SIP port of gateway, callers and switch; port+10 carries gossip")
	c.Flags().DurationVar(&f.step, "step", 4*time.Second, "duration of each rate")
	c.Flags().Float64Var(&f.maxRate, "most", 30000, "highest rate to try, calls a second")
	c.Flags().DurationVar(&f.soak, "soak", 0, "duration of a final run at half of the rate; 0 for none")
	c.Flags().DurationVar(&f.hold, "hold", 8*time.Second, "holding time of the calls in the memory measurement")
	c.Flags().StringVar(&f.profile, "profile", "", "write the gateway's CPU profile to this file")
	return c
}

func (f *throughputFlags) run(out io.Writer) error {
	addr := func(lastOctet byte) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 60, 0, lastOctet}), uint16(f.port))
	}
	executable, err := os.Executable()
	if err != nil {
		return fmt.Errorf("path of this executable: %w", err)
	}
	dir, err := os.MkdirTemp("", "cobalt-rush-")
	if err != nil {
		return fmt.Errorf("throughput: %w", err)
	}
	defer os.RemoveAll(dir)
	start := func(args ...string) (*exec.Cmd, *bytes.Buffer, error) {
		cmd := exec.Command(executable, args...)
		cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
		stderr := &bytes.Buffer{}
		cmd.Stderr = stderr
		return cmd, stderr, cmd.Start()
	}
	stop := func(cmd *exec.Cmd) error {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		return cmd.Wait()
	}
	echoRate := func() (float64, error) {
		cmd, _, err := start("echo", "--at", addr(9).String())
		if err != nil {
			return 0, err
		}
		defer func() { _ = stop(cmd) }()
		time.Sleep(300 * time.Millisecond)
		best := 0.0
		for rate := 20000.0; rate < 1e6; rate *= 1.25 {
			sent, returned, _, err := saturation.Echo(addr(9), rate, f.step/2)
			if err != nil {
				return 0, err
			}
			echoed := float64(returned) / (f.step / 2).Seconds()
			best = max(best, echoed)
			if float64(returned) < 0.99*float64(sent) || float64(sent) < 0.95*rate*(f.step/2).Seconds() {
				break
			}
		}
		return best, nil
	}
	echoBefore, err := echoRate()
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "bare echo, one core: %.0f datagrams a second there and back\n", echoBefore)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("throughput: endpoint list: %w", err)
	}
	listServer := grpc.NewServer()
	api.RegisterPoolListServer(listServer, &fixedEndpointList{endpointAddr: addr(3).String()})
	go func() { _ = listServer.Serve(listener) }() // ends with Stop
	defer listServer.Stop()
	configFile := filepath.Join(dir, "edge.hcl")
	if err := os.WriteFile(
		configFile,
		[]byte(fmt.Sprintf(
			gatewaySettings,
			addr(1),
			netip.AddrPortFrom(addr(1).Addr(), uint16(f.port+10)),
			listener.Addr(),
		)),
		0o644,
	); err != nil {
		return fmt.Errorf("throughput: %w", err)
	}
	args := []string{"edge", "run", "--config", configFile}
	if f.profile != "" {
		args = append(args, "--profile", f.profile)
	}
	gateway, gatewayLog, err := start(args...)
	if err != nil {
		return err
	}
	defer func() { _ = gateway.Process.Kill() }()
	rig, err := saturation.NewRig(addr(2), addr(3), addr(1))
	if err != nil {
		return err
	}
	defer rig.Close()
	time.Sleep(time.Second)
	// Lets the policy learn that its endpoint answers at once.
	rig.Run(saturation.Load{Rate: 200, Duration: 3 * time.Second})
	bestRate := 0.0
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
	printRow := func(rate float64, res *saturation.Result) {
		fmt.Fprintf(
			out,
			"%8.0f %8d %8d %8d %9d %9d %9d %8s\n",
			rate,
			res.Sent,
			res.Answered,
			res.Retransmissions,
			res.SetupDelay.ValueAtQuantile(50),
			res.SetupDelay.ValueAtQuantile(99),
			res.SetupDelay.ValueAtQuantile(99.9),
			res.Late.Round(100*time.Microsecond),
		)
	}
	for rate := 500.0; rate <= f.maxRate; rate *= 1.25 {
		res := rig.Run(saturation.Load{Rate: rate, Duration: f.step})
		printRow(rate, res)
		if float64(res.Answered) < 0.995*float64(res.Sent) || float64(res.Retransmissions) > 0.001*float64(res.Sent) {
			break
		}
		bestRate = rate
	}
	time.Sleep(2 * time.Second)
	echoAfter, err := echoRate()
	if err != nil {
		return err
	}
	meanEchoRate := (echoBefore + echoAfter) / 2
	fmt.Fprintf(out, "bare echo again: %.0f\n", echoAfter)
	fmt.Fprintf(
		out,
		"gateway, one core: %.0f contacts a second, %.0f datagrams a second in and out; echo %.0f in and out; ratio "+
			"%.2f (aim 0.33)\n",
		bestRate,
		12*bestRate,
		2*meanEchoRate,
		12*bestRate/(2*meanEchoRate),
	)
	res := rig.Run(saturation.Load{Rate: bestRate / 2, Duration: 2 * f.step})
	fmt.Fprintf(
		out,
		"at half of that, set-up from caller to switch: p50 %.2f ms, p99 %.2f ms (aim 2), p99.9 %.2f ms; answer back: "+
			"p50 %.2f, p99 %.2f, p99.9 %.2f\n",
		ms(res.SetupDelay.ValueAtQuantile(50)),
		ms(res.SetupDelay.ValueAtQuantile(99)),
		ms(res.SetupDelay.ValueAtQuantile(99.9)),
		ms(res.AnswerDelay.ValueAtQuantile(50)),
		ms(res.AnswerDelay.ValueAtQuantile(99)),
		ms(res.AnswerDelay.ValueAtQuantile(99.9)),
	)
	time.Sleep(30 * time.Second) // waits until the transactions of the earlier runs have ended
	emptyKiB := residentKiB(gateway.Process.Pid)
	heldRate := min(1000, bestRate/2)
	fullKiB := 0.0
	done := make(chan struct{})
	go func() {
		rig.Run(saturation.Load{Rate: heldRate, Duration: f.hold, HoldingTime: f.hold})
		close(done)
	}()
	for sampling := true; sampling; {
		select {
		case <-done:
			sampling = false
		case <-time.After(200 * time.Millisecond):
			fullKiB = max(fullKiB, residentKiB(gateway.Process.Pid))
		}
	}
	heldCalls := heldRate * f.hold.Seconds()
	fmt.Fprintf(
		out,
		"memory: %.1f MiB before, %.1f MiB at most with %.0f contacts held: %.1f KiB each (aim 20)\n",
		emptyKiB/1024,
		fullKiB/1024,
		heldCalls,
		(fullKiB-emptyKiB)/heldCalls,
	)
	if f.soak > 0 {
		fmt.Fprintf(out, "%8s %10s %10s\n", "minute", "memory MiB", "stood")
		for elapsed := time.Duration(0); elapsed < f.soak; elapsed += time.Minute {
			res := rig.Run(saturation.Load{Rate: bestRate / 2, Duration: min(time.Minute, f.soak-elapsed)})
			fmt.Fprintf(out, "%8.0f %10.1f %10d\n", elapsed.Minutes()+1, residentKiB(gateway.Process.Pid)/1024, res.Answered)
		}
	}
	if err := stop(gateway); err != nil {
		return fmt.Errorf("gateway: %w: %s", err, gatewayLog)
	}
	return nil
}

func ms(us int64) float64 { return float64(us) / 1000 }

// residentKiB returns a process's resident memory in KiB, from /proc, or 0 if it cannot be read.
func residentKiB(pid int) float64 {
	status, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kib, _ := strconv.ParseFloat(fields[0], 64)
	return kib
}

const gatewaySettings = `
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
