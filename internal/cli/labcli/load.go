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
	planFile, traceFile, out string
	targets                  []string
	self, context            string
	processes, shard         int
	speed                    float64
	all                      bool
	late                     time.Duration
	start                    int64
	check                    bool
	rate                     float64
	span                     time.Duration
	raw                      bool
}

func loadCmd() *cobra.Command {
	var f loadFlags
	c := &cobra.Command{
		Use:   "load",
		Short: "Send planned or recorded calls to gateways, open loop, and measure their waits",
		Args:  cobra.NoArgs,
		Long: `Sends calls at the times they are planned for, whatever becomes of those before. Waits count from
the intended time of each call: when a gateway stands still, all that was meant to come meanwhile
counts with its whole wait (no coordinated omission). Beside them stand the waits from the time of
sending. The generator measures its own lateness; a run in which it was the bottleneck says so and
ends with status 1.

--check runs against a stand-in that pauses on purpose and compares what is reported with the true
waits, which its schedule gives.`,
		Example: "  cobalt-lab load --plan thursday.hcl --to 127.0.0.1:5060 --processes 2\n  cobalt-lab load --trace " +
			"monday.trc --speed 2 --to 127.0.0.1:5060\n" +
			"  cobalt-lab load --check --rate 1000 --for 30s",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := interrupted(cmd)
			defer cancel()
			return f.run(ctx, cmd.OutOrStdout())
		},
	}
	fl := c.Flags()
	fl.StringVar(&f.planFile, "plan", "", "HCL file that says what comes; without it and --trace, --rate for --for")
	fl.StringVar(&f.traceFile, "trace", "", "a recorded trace in place of a plan")
	fl.Float64Var(&f.speed, "speed", 1, "times of coming go so many times faster; holds and patience stay")
	fl.BoolVar(&f.all, "speed-all", false, "holds and patience go faster too")
	fl.StringSliceVar(&f.targets, "to", nil, "SIP addresses of the gateways, by number")
	fl.StringVar(&f.self, "from", "127.61.0.1:5060", "address that calls come from; each process takes the next one")
	fl.StringVar(&f.context, "context", "laurentide.example", "trunk-context of the calls")
	fl.IntVar(&f.processes, "processes", 1, "so many load processes; their histograms are merged")
	fl.IntVar(&f.shard, "shard", -1, "this process's part; set by the parent")
	fl.Int64Var(&f.start, "start", 0, "when the plan begins, ns since 1970; set by the parent")
	fl.BoolVar(&f.raw, "raw", false, "print the result for a parent to merge")
	fl.DurationVar(&f.late, "late", 5*time.Millisecond, "lateness of the slowest thousandth that is allowed")
	fl.BoolVar(&f.check, "check", false, "against a stand-in that pauses on purpose")
	fl.Float64Var(&f.rate, "rate", 1000, "contacts a second without a plan")
	fl.DurationVar(&f.span, "for", 30*time.Second, "length without a plan")
	fl.StringVar(&f.out, "record", "", "write the planned calls to this trace and send nothing")
	for _, n := range []string{"shard", "start", "raw"} {
		_ = fl.MarkHidden(n)
	}
	return c
}

// calls are what is to be sent.
func (f *loadFlags) calls() ([]*api.Call, error) {
	var of []*api.Call
	switch {
	case f.traceFile != "":
		in, err := os.Open(f.traceFile)
		if err != nil {
			return nil, fmt.Errorf("load: %w", err)
		}
		defer in.Close()
		if of, err = calltrace.All(in); err != nil {
			return nil, fmt.Errorf("%w; %d calls before that can be had with cobalt-lab trace", err, len(of))
		}
		for _, c := range of {
			if c.PatienceMs == 0 {
				c.PatienceMs = 9000
			}
		}
	case f.planFile != "":
		b, err := hclfile.Load(f.planFile)
		if err != nil {
			return nil, err
		}
		p, err := workload.Read(b)
		if err != nil {
			return nil, err
		}
		of = p.Calls()
	default:
		p := &workload.Plan{
			Seed:      1,
			Rate:      f.rate,
			Length:    float64(f.span) / 1e6,
			Shape:     "steady",
			Gateways:  max(1, len(f.targets)),
			Drift:     15000,
			Groups:    []string{"TG-0"},
			Numbers:   100000,
			Skills:    []workload.Skill{{Name: "shift-lookup", Share: 1, Hold: 500, Patience: 9000}},
			Customers: []workload.Share{{Name: "load.example", Share: 1}},
		}
		of = p.Calls()
	}
	if f.speed <= 0 {
		return nil, fmt.Errorf("load: speed: want more than 0, got %v", f.speed)
	}
	if f.speed != 1 || f.all {
		of = calltrace.Speed(of, f.speed, f.all)
	}
	return of, nil
}

func (f *loadFlags) run(ctx context.Context, out io.Writer) error {
	calls, err := f.calls()
	if err != nil {
		return err
	}
	if f.out != "" {
		return saveTrace(f.out, calls)
	}
	self, err := netip.ParseAddrPort(f.self)
	if err != nil {
		return fmt.Errorf("load: --from: %w", err)
	}
	var targets []netip.AddrPort
	for _, t := range f.targets {
		a, err := netip.ParseAddrPort(t)
		if err != nil {
			return fmt.Errorf("load: --to: %w", err)
		}
		targets = append(targets, a)
	}
	start := time.Now().Add(200 * time.Millisecond)
	if f.processes > 1 && f.shard < 0 {
		start = time.Now().Add(time.Second)
	}
	if f.start != 0 {
		start = time.Now().Add(time.Until(time.Unix(0, f.start)))
	}
	var still *loadgen.Still
	if f.check && f.shard < 0 {
		still = &loadgen.Still{
			Delay:  40 * time.Millisecond,
			Pauses: []loadgen.Pause{{From: f.span / 4, For: f.span / 20}, {From: f.span * 2 / 3, For: f.span / 60}},
		}
		at := netip.MustParseAddrPort("127.61.1.1:5060")
		if err := still.Serve(at, start); err != nil {
			return err
		}
		defer still.Close()
		targets, f.targets = []netip.AddrPort{at}, []string{at.String()}
	}
	if len(targets) == 0 {
		return fmt.Errorf("load: want --to with the gateways' addresses")
	}
	if !f.raw {
		fmt.Fprintf(out, "plan: %s\n", calltrace.Summary(calls))
		if f.speed != 1 {
			fmt.Fprintf(
				out,
				"speed %g: times of coming divided by %g; holds and patience %s; targets stay what they are\n",
				f.speed,
				f.speed,
				map[bool]string{true: "divided too", false: "as recorded"}[f.all],
			)
		}
	}
	var res *loadgen.Result
	if f.processes > 1 && f.shard < 0 {
		res, err = f.spread(ctx, start)
	} else {
		if f.shard >= 0 {
			var mine []*api.Call
			for i, c := range calls {
				if i%f.processes == f.shard {
					mine = append(mine, c)
				}
			}
			calls = mine
			a := self.Addr().As4()
			a[3] += byte(f.shard)
			self = netip.AddrPortFrom(netip.AddrFrom4(a), self.Port())
		}
		res, err = loadgen.Run(ctx, calls, loadgen.Options{Self: self, Targets: targets, Context: f.context, Start: start})
	}
	if err != nil {
		return err
	}
	if f.raw {
		return writeRaw(out, res)
	}
	fmt.Fprintf(
		out,
		"%d planned, %d stood, %d refused, %d unanswered, %d set-ups repeated\n",
		res.Planned,
		res.Answered,
		res.Refused,
		res.Unanswered,
		res.Repeats,
	)
	if res.Past > 0 {
		fmt.Fprintf(out, "%d waits were past the histograms' range of ten minutes and count at its end\n", res.Past)
	}
	fmt.Fprintf(out, "%-36s %9s %9s %9s %9s %9s %9s\n", "ms", "p50", "p90", "p99", "p99.9", "p99.99", "max")
	row := func(name string, h *hdrhistogram.Histogram) {
		fmt.Fprintf(out, "%-36s", name)
		for _, q := range []float64{50, 90, 99, 99.9, 99.99, 100} {
			fmt.Fprintf(out, " %9.2f", float64(h.ValueAtQuantile(q))/1000)
		}
		fmt.Fprintln(out)
	}
	row("wait, from the intended time", res.Intended)
	row("wait, from the time of sending", res.Sent)
	row("the generator's own lateness", res.Late)
	if still != nil {
		if err := f.compare(out, still, calls, res); err != nil {
			return err
		}
	}
	return res.Judge(f.late)
}

// compare sets what was reported beside the true waits of the stand-in's schedule.
func (f *loadFlags) compare(out io.Writer, s *loadgen.Still, calls []*api.Call, res *loadgen.Result) error {
	var true_ []float64
	for _, c := range calls {
		true_ = append(true_, float64(s.True(time.Duration(c.AtMs*1e6)))/1e6)
	}
	slices.Sort(true_)
	worst := 0.0
	fmt.Fprintf(out, "%-36s", "true, by the stand-in's schedule")
	for _, q := range []float64{50, 90, 99, 99.9, 99.99, 100} {
		v := true_[min(len(true_)-1, int(q/100*float64(len(true_))))]
		fmt.Fprintf(out, " %9.2f", v)
		if q != 90 && q != 99.99 {
			got := float64(res.Intended.ValueAtQuantile(q)) / 1000
			worst = max(worst, max(got-v, v-got)/v)
		}
	}
	fmt.Fprintf(out, "\nlargest difference at p50, p99, p99.9 and maximum: %.2f %% (aim 1)\n", 100*worst)
	return nil
}

// raw is a result on its way to the process that merges.
type raw struct {
	Intended, Sent, Late                               []byte
	Planned, Stood, Refused, Unanswered, Repeats, Past int64
}

func writeRaw(out io.Writer, r *loadgen.Result) error {
	x := raw{
		Planned:    r.Planned,
		Stood:      r.Answered,
		Refused:    r.Refused,
		Unanswered: r.Unanswered,
		Repeats:    r.Repeats,
		Past:       r.Past,
	}
	for _, h := range []struct {
		from *hdrhistogram.Histogram
		to   *[]byte
	}{{r.Intended, &x.Intended}, {r.Sent, &x.Sent}, {r.Late, &x.Late}} {
		b, err := h.from.EncodeV2()
		if err != nil {
			return fmt.Errorf("load: %w", err)
		}
		*h.to = b
	}
	return json.NewEncoder(out).Encode(x)
}

func readRaw(text []byte) (*loadgen.Result, error) {
	var x raw
	if err := json.Unmarshal(text, &x); err != nil {
		return nil, fmt.Errorf("load: a part's result: %w", err)
	}
	r := loadgen.NewResult()
	r.Planned, r.Answered, r.Refused, r.Unanswered, r.Repeats, r.Past = x.Planned, x.Stood, x.Refused, x.Unanswered,
		x.Repeats, x.Past
	for _, h := range []struct {
		from []byte
		to   *hdrhistogram.Histogram
	}{{x.Intended, r.Intended}, {x.Sent, r.Sent}, {x.Late, r.Late}} {
		d, err := hdrhistogram.Decode(h.from)
		if err != nil {
			return nil, fmt.Errorf("load: a part's histogram: %w", err)
		}
		if dropped := h.to.Merge(d); dropped > 0 {
			return nil, fmt.Errorf("load: %d waits of a part do not fit", dropped)
		}
	}
	return r, nil
}

// spread runs the load in several processes and merges what they measured.
func (f *loadFlags) spread(ctx context.Context, start time.Time) (*loadgen.Result, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("own program: %w", err)
	}
	base := []string{
		"load",
		"--raw",
		"--processes",
		fmt.Sprint(f.processes),
		"--from",
		f.self,
		"--context",
		f.context,
		"--start",
		fmt.Sprint(start.UnixNano()),
		"--speed",
		fmt.Sprint(f.speed),
		"--rate",
		fmt.Sprint(f.rate),
		"--for",
		f.span.String(),
		"--to",
		strings.Join(f.targets, ","),
	}
	for _, x := range [][2]string{{"--plan", f.planFile}, {"--trace", f.traceFile}} {
		if x[1] != "" {
			base = append(base, x[0], x[1])
		}
	}
	if f.all {
		base = append(base, "--speed-all")
	}
	outs, errs := make([]bytes.Buffer, f.processes), make([]bytes.Buffer, f.processes)
	cmds := make([]*exec.Cmd, f.processes)
	for i := range cmds {
		cmds[i] = exec.CommandContext(ctx, self, append(slices.Clone(base), "--shard", fmt.Sprint(i))...)
		cmds[i].Stdout, cmds[i].Stderr = &outs[i], &errs[i]
		if err := cmds[i].Start(); err != nil {
			return nil, fmt.Errorf("load: process %d: %w", i, err)
		}
	}
	res := loadgen.NewResult()
	var fault error
	for i, c := range cmds {
		if err := c.Wait(); err != nil {
			fault = fmt.Errorf("load: process %d: %w: %s", i, err, strings.TrimSpace(errs[i].String()))
			continue
		}
		part, err := readRaw(outs[i].Bytes())
		if err != nil {
			fault = err
			continue
		}
		res.Merge(part)
	}
	return res, fault
}

func saveTrace(file string, calls []*api.Call) error {
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	w := calltrace.NewWriter(f)
	for _, c := range calls {
		if err := w.Add(c); err != nil {
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
