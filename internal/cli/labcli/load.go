package labcli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"cobaltpier/api"
	"cobaltpier/internal/emulator/calltrace"
	"cobaltpier/internal/emulator/loadgen"
	"cobaltpier/internal/emulator/workload"
	"cobaltpier/internal/gateway/hclfile"
)

type loadFlags struct {
	planFile, traceFile, record string
	targets                     []string
	source, context             string
	processes, shard            int
	speed                       float64
	speedAll                    bool
	maxLateness                 time.Duration
	start                       int64
	check                       bool
	rate                        float64
	length                      time.Duration
	raw                         bool
}

func loadCmd() *cobra.Command {
	var f loadFlags
	c := &cobra.Command{
		Use:   "load",
		Short: "Send planned or recorded calls to gateways in an open loop and measure their waits",
		Args:  cobra.NoArgs,
		Long: `Sends each call at its planned time, whether or not earlier calls have been answered. Waits are
measured from the planned time: while a gateway stalls, every call planned for that time counts with
its whole wait (no coordinated omission). Waits from the time of sending are printed too. The
generator measures its own lateness; if it was the bottleneck, the run reports that and exits with
status 1.

--check runs against a stand-in that pauses on purpose and compares the reported waits with the true
ones, which follow from its schedule.`,
		Example: "  cobalt-lab load --plan thursday.hcl --to 127.0.0.1:5060 --processes 2\n  cobalt-lab load --trace " +
			"monday.trc --speed 2 --to 127.0.0.1:5060\n" +
			"  cobalt-lab load --check --rate 1000 --for 30s",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := interruptContext(cmd)
			defer cancel()
			return f.run(ctx, cmd.OutOrStdout())
		},
	}
	flags := c.Flags()
	flags.StringVar(&f.planFile, "plan", "", "HCL file with the plan; without it and --trace: --rate for --for")
	flags.StringVar(&f.traceFile, "trace", "", "recorded trace to replay instead of a plan")
	flags.Float64Var(&f.speed, "speed", 1, "factor by which arrivals are sped up; holding times and patience stay")
	flags.BoolVar(&f.speedAll, "speed-all", false, "speed up holding times and patience too")
	flags.StringSliceVar(&f.targets, "to", nil, "SIP addresses of the gateways, in the order of their numbers")
	flags.StringVar(&f.source, "from", "127.61.0.1:5060", "source address of the calls; each process takes the next one")
	flags.StringVar(&f.context, "context", "laurentide.example", "trunk-context of the calls")
	flags.IntVar(&f.processes, "processes", 1, "number of load processes; their histograms are merged")
	flags.IntVar(&f.shard, "shard", -1, "index of this process's part of the calls; set by the parent")
	flags.Int64Var(&f.start, "start", 0, "start of the plan, ns since 1970; set by the parent")
	flags.BoolVar(&f.raw, "raw", false, "print the result as JSON for the parent to merge")
	flags.DurationVar(&f.maxLateness, "late", 5*time.Millisecond, "lateness allowed for the slowest thousandth")
	flags.BoolVar(&f.check, "check", false, "run against a stand-in that pauses on purpose")
	flags.Float64Var(&f.rate, "rate", 1000, "calls a second when there is no plan")
	flags.DurationVar(&f.length, "for", 30*time.Second, "length of the load when there is no plan")
	flags.StringVar(&f.record, "record", "", "write the planned calls to this trace file and send nothing")
	for _, name := range []string{"shard", "start", "raw"} {
		_ = flags.MarkHidden(name)
	}
	return c
}

// plannedCalls returns the calls of the trace, of the plan file or of a steady load.
func (f *loadFlags) plannedCalls() ([]*api.Call, error) {
	var calls []*api.Call
	switch {
	case f.traceFile != "":
		file, err := os.Open(f.traceFile)
		if err != nil {
			return nil, fmt.Errorf("load: %w", err)
		}
		defer file.Close()
		if calls, err = calltrace.All(file); err != nil {
			return nil, fmt.Errorf("%w; the %d calls before the damage can be extracted with cobalt-lab trace", err, len(calls))
		}
		for _, c := range calls {
			if c.PatienceMs == 0 {
				c.PatienceMs = 9000
			}
		}
	case f.planFile != "":
		block, err := hclfile.Load(f.planFile)
		if err != nil {
			return nil, err
		}
		plan, err := workload.ReadPlan(block)
		if err != nil {
			return nil, err
		}
		calls = plan.Calls()
	default:
		plan := &workload.Plan{
			Seed:      1,
			Rate:      f.rate,
			Length:    float64(f.length) / 1e6,
			Shape:     "steady",
			Gateways:  max(1, len(f.targets)),
			Drift:     15000,
			Groups:    []string{"TG-0"},
			Numbers:   100000,
			Skills:    []workload.Skill{{Name: "shift-lookup", Share: 1, Hold: 500, Patience: 9000}},
			Customers: []workload.Customer{{Name: "load.example", Share: 1}},
		}
		calls = plan.Calls()
	}
	if f.speed <= 0 {
		return nil, fmt.Errorf("load: --speed: want a value above 0, got %v", f.speed)
	}
	if f.speed != 1 || f.speedAll {
		calls = calltrace.Speed(calls, f.speed, f.speedAll)
	}
	return calls, nil
}

func (f *loadFlags) run(ctx context.Context, out io.Writer) error {
	calls, err := f.plannedCalls()
	if err != nil {
		return err
	}
	if f.record != "" {
		return writeTrace(f.record, calls)
	}
	source, err := netip.ParseAddrPort(f.source)
	if err != nil {
		return fmt.Errorf("load: --from: %w", err)
	}
	var targets []netip.AddrPort
	for _, target := range f.targets {
		addr, err := netip.ParseAddrPort(target)
		if err != nil {
			return fmt.Errorf("load: --to: %w", err)
		}
		targets = append(targets, addr)
	}
	start := time.Now().Add(200 * time.Millisecond)
	if f.processes > 1 && f.shard < 0 {
		start = time.Now().Add(time.Second)
	}
	if f.start != 0 {
		start = time.Now().Add(time.Until(time.Unix(0, f.start)))
	}
	var standIn *loadgen.StallingServer
	if f.check && f.shard < 0 {
		standIn = &loadgen.StallingServer{
			Delay: 40 * time.Millisecond,
			Stalls: []loadgen.Stall{
				{From: f.length / 4, Duration: f.length / 20},
				{From: f.length * 2 / 3, Duration: f.length / 60},
			},
		}
		standInAddr := netip.MustParseAddrPort("127.61.1.1:5060")
		if err := standIn.Serve(standInAddr, start); err != nil {
			return err
		}
		defer standIn.Close()
		targets, f.targets = []netip.AddrPort{standInAddr}, []string{standInAddr.String()}
	}
	if len(targets) == 0 {
		return fmt.Errorf("load: --to: want the gateways' addresses")
	}
	if !f.raw {
		fmt.Fprintf(out, "plan: %s\n", calltrace.Summary(calls))
		if f.speed != 1 {
			fmt.Fprintf(
				out,
				"speed %g: times of coming divided by %g; holds and patience %s; targets stay what they are\n",
				f.speed,
				f.speed,
				map[bool]string{true: "divided too", false: "as recorded"}[f.speedAll],
			)
		}
	}
	var res *loadgen.Result
	if f.processes > 1 && f.shard < 0 {
		res, err = f.runShards(ctx, start)
	} else {
		if f.shard >= 0 {
			var shardCalls []*api.Call
			for i, c := range calls {
				if i%f.processes == f.shard {
					shardCalls = append(shardCalls, c)
				}
			}
			calls = shardCalls
			octets := source.Addr().As4()
			octets[3] += byte(f.shard)
			source = netip.AddrPortFrom(netip.AddrFrom4(octets), source.Port())
		}
		res, err = loadgen.Run(
			ctx,
			calls,
			loadgen.Options{LocalAddr: source, Targets: targets, Context: f.context, Start: start},
		)
	}
	if err != nil {
		return err
	}
	if f.raw {
		return writeShardResult(out, res)
	}
	fmt.Fprintf(
		out,
		"%d planned, %d stood, %d refused, %d unanswered, %d set-ups repeated\n",
		res.Planned,
		res.Answered,
		res.Refused,
		res.Unanswered,
		res.Retransmissions,
	)
	if res.OutOfRange > 0 {
		fmt.Fprintf(out, "%d waits were past the histograms' range of ten minutes and count at its end\n", res.OutOfRange)
	}
	fmt.Fprintf(out, "%-36s %9s %9s %9s %9s %9s %9s\n", "ms", "p50", "p90", "p99", "p99.9", "p99.99", "max")
	printRow := func(name string, histogram *hdrhistogram.Histogram) {
		fmt.Fprintf(out, "%-36s", name)
		for _, percentile := range []float64{50, 90, 99, 99.9, 99.99, 100} {
			fmt.Fprintf(out, " %9.2f", float64(histogram.ValueAtQuantile(percentile))/1000)
		}
		fmt.Fprintln(out)
	}
	printRow("wait, from the intended time", res.WaitFromPlanned)
	printRow("wait, from the time of sending", res.WaitFromSent)
	printRow("the generator's own lateness", res.SendDelay)
	if standIn != nil {
		if err := f.compareWaits(out, standIn, calls, res); err != nil {
			return err
		}
	}
	return res.CheckLateness(f.maxLateness)
}

// compareWaits prints the true waits, by the stand-in's schedule, and how far the reported ones are from them.
func (f *loadFlags) compareWaits(
	out io.Writer, standIn *loadgen.StallingServer, calls []*api.Call, res *loadgen.Result,
) error {
	var trueWaits []float64
	for _, c := range calls {
		trueWaits = append(trueWaits, float64(standIn.ExpectedWait(time.Duration(c.AtMs*1e6)))/1e6)
	}
	slices.Sort(trueWaits)
	largest := 0.0
	fmt.Fprintf(out, "%-36s", "true, by the stand-in's schedule")
	for _, percentile := range []float64{50, 90, 99, 99.9, 99.99, 100} {
		trueWait := trueWaits[min(len(trueWaits)-1, int(percentile/100*float64(len(trueWaits))))]
		fmt.Fprintf(out, " %9.2f", trueWait)
		if percentile != 90 && percentile != 99.99 {
			reported := float64(res.WaitFromPlanned.ValueAtQuantile(percentile)) / 1000
			largest = max(largest, max(reported-trueWait, trueWait-reported)/trueWait)
		}
	}
	fmt.Fprintf(out, "\nlargest difference at p50, p99, p99.9 and maximum: %.2f %% (aim 1)\n", 100*largest)
	return nil
}

// shardResult is the result of one load process, as JSON for the process that merges the results.
type shardResult struct {
	Intended, Sent, Late                               []byte
	Planned, Stood, Refused, Unanswered, Repeats, Past int64
}

func writeShardResult(out io.Writer, res *loadgen.Result) error {
	encoded := shardResult{
		Planned:    res.Planned,
		Stood:      res.Answered,
		Refused:    res.Refused,
		Unanswered: res.Unanswered,
		Repeats:    res.Retransmissions,
		Past:       res.OutOfRange,
	}
	for _, histogram := range []struct {
		from *hdrhistogram.Histogram
		to   *[]byte
	}{{res.WaitFromPlanned, &encoded.Intended}, {res.WaitFromSent, &encoded.Sent}, {res.SendDelay, &encoded.Late}} {
		data, err := histogram.from.EncodeV2()
		if err != nil {
			return fmt.Errorf("load: %w", err)
		}
		*histogram.to = data
	}
	return json.NewEncoder(out).Encode(encoded)
}

func readShardResult(text []byte) (*loadgen.Result, error) {
	var encoded shardResult
	if err := json.Unmarshal(text, &encoded); err != nil {
		return nil, fmt.Errorf("load: result of a load process: %w", err)
	}
	res := loadgen.NewResult()
	res.Planned, res.Answered, res.Refused, res.Unanswered, res.Retransmissions, res.OutOfRange = encoded.Planned,
		encoded.Stood, encoded.Refused, encoded.Unanswered, encoded.Repeats, encoded.Past
	for _, histogram := range []struct {
		from []byte
		to   *hdrhistogram.Histogram
	}{{encoded.Intended, res.WaitFromPlanned}, {encoded.Sent, res.WaitFromSent}, {encoded.Late, res.SendDelay}} {
		decoded, err := hdrhistogram.Decode(histogram.from)
		if err != nil {
			return nil, fmt.Errorf("load: histogram of a load process: %w", err)
		}
		if dropped := histogram.to.Merge(decoded); dropped > 0 {
			return nil, fmt.Errorf("load: %d waits of a load process exceed the histogram's range", dropped)
		}
	}
	return res, nil
}

// runShards runs the load in several processes and merges their results.
func (f *loadFlags) runShards(ctx context.Context, start time.Time) (*loadgen.Result, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("path of this executable: %w", err)
	}
	commonArgs := []string{
		"load",
		"--raw",
		"--processes",
		fmt.Sprint(f.processes),
		"--from",
		f.source,
		"--context",
		f.context,
		"--start",
		fmt.Sprint(start.UnixNano()),
		"--speed",
		fmt.Sprint(f.speed),
		"--rate",
		fmt.Sprint(f.rate),
		"--for",
		f.length.String(),
		"--to",
		strings.Join(f.targets, ","),
	}
	for _, option := range [][2]string{{"--plan", f.planFile}, {"--trace", f.traceFile}} {
		if option[1] != "" {
			commonArgs = append(commonArgs, option[0], option[1])
		}
	}
	if f.speedAll {
		commonArgs = append(commonArgs, "--speed-all")
	}
	stdouts, stderrs := make([]bytes.Buffer, f.processes), make([]bytes.Buffer, f.processes)
	cmds := make([]*exec.Cmd, f.processes)
	for i := range cmds {
		cmds[i] = exec.CommandContext(ctx, executable, append(slices.Clone(commonArgs), "--shard", fmt.Sprint(i))...)
		cmds[i].Stdout, cmds[i].Stderr = &stdouts[i], &stderrs[i]
		if err := cmds[i].Start(); err != nil {
			return nil, fmt.Errorf("load: process %d: %w", i, err)
		}
	}
	res := loadgen.NewResult()
	var lastErr error
	for i, cmd := range cmds {
		if err := cmd.Wait(); err != nil {
			lastErr = fmt.Errorf("load: process %d: %w: %s", i, err, strings.TrimSpace(stderrs[i].String()))
			continue
		}
		shard, err := readShardResult(stdouts[i].Bytes())
		if err != nil {
			lastErr = err
			continue
		}
		res.Merge(shard)
	}
	return res, lastErr
}

func writeTrace(file string, calls []*api.Call) error {
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	w := calltrace.NewWriter(f)
	for _, call := range calls {
		if err := w.Add(call); err != nil {
			f.Close()
			return err
		}
	}
	if err := w.Flush(); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
