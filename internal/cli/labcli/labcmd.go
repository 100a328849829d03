// Package labcli is the command line of cobalt-lab, the laboratory: stand-ins, days of trouble, captures and verdicts.
package labcli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"cobaltpier/api"
	"cobaltpier/internal/cli/edgecli"
	"cobaltpier/internal/cli/numbercli"
	"cobaltpier/internal/conformance"
	"cobaltpier/internal/conformance/capture"
	"cobaltpier/internal/emulator/processrun"
	"cobaltpier/internal/emulator/scenario"
	"cobaltpier/internal/emulator/scenariofile"
	"cobaltpier/internal/emulator/virtualrun"
	"cobaltpier/internal/routing"
)

// New is the command.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:   "cobalt-lab",
		Short: "The laboratory: stand-ins of switches and callers, days of trouble, verdicts",
		Long: `cobalt-lab puts days on: stand-ins of core switches, callers and the pool list, gateways as
processes of their own (or in virtual time), and a checker that judges the five rules from the
traffic alone. The switches are models; their figures are of simulated servers.

Start with "cobalt-lab try". Status 0: all went well; 1: something failed; 3: a rule was broken.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	edge := edgecli.New()
	edge.Use, edge.Hidden = "edge", true
	root.AddCommand(
		try(),
		dayCmd(),
		show(),
		judge(),
		throughput(),
		design(),
		echo(),
		fleetCmd(),
		compare(),
		huntCmd(),
		loadCmd(),
		traceCmd(),
		numbercli.New(),
		digitsCmd(),
		swap(),
		lookups(),
		edge,
	)
	return root
}

// Status is the exit code for an error.
func Status(err error) int {
	switch {
	case err == nil:
		return 0
	case errors.Is(err, processrun.ErrBroken):
		return 3
	}
	return 1
}

type dayFlags struct {
	virtual bool
	seeds   int
	seed    uint64
	module  string
	capture string
	dir     string
	port    int
	level   string
	set     []string
	trace   string
}

func (f *dayFlags) add(c *cobra.Command) {
	c.Flags().BoolVar(&f.virtual, "virtual", false, "in virtual time: no sockets, the same seed gives the same day")
	c.Flags().IntVar(&f.seeds, "seeds", 1, "so many days, with seeds one after the other")
	c.Flags().Uint64Var(&f.seed, "seed", 0, "the first seed, in place of the script's")
	c.Flags().StringVar(
		&f.module,
		"module",
		"brain",
		"what decides: brain, or the baselines lottery and random; several with commas",
	)
	c.Flags().StringVar(&f.capture, "capture", "", "keep the traffic in this file (see cobalt-lab show)")
	c.Flags().StringVar(&f.dir, "dir", "", "keep the gateways' settings and logs there")
	c.Flags().IntVar(&f.port, "port", 15060, "SIP port of the addresses in 127.0.0.0/8; port+10 and port+20 are used too")
	c.Flags().StringVar(
		&f.trace,
		"trace",
		"",
		"replay the calls of this trace in place of the script's load; nobody dials again",
	)
	c.Flags().StringArrayVar(&f.set, "set", nil, "change a value of the script, such as pools.count=6 or 'net.loss=0.01'")
	c.Flags().StringVar(&f.level, "log", "info", "log level of the gateways")
}

func try() *cobra.Command {
	var f dayFlags
	c := &cobra.Command{
		Use:   "try",
		Short: "Put on a short day that comes with the program, with real sockets and processes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := scenario.Day("try", f.set...)
			if err != nil {
				return err
			}
			return f.run(cmd, s)
		},
	}
	f.add(c)
	return c
}

func dayCmd() *cobra.Command {
	var f dayFlags
	c := &cobra.Command{
		Use:     "day SCRIPT.hcl",
		Short:   "Put on a day from a script, or one that comes with the program",
		Args:    cobra.ExactArgs(1),
		Example: "  cobalt-lab day trouble --seeds 10\n  cobalt-lab day my.hcl --virtual --module brain,lottery,random",
		Long: "Puts on a day from a script, prints how callers were served and the verdict on the five rules.\n\n" +
			"Troubles that a script may name:\n" + kinds(),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := scenario.Load(args[0], f.set...)
			if err != nil {
				return err
			}
			return f.run(cmd, s)
		},
	}
	f.add(c)
	return c
}

func kinds() string {
	var b strings.Builder
	for _, k := range scenariofile.KindNames() {
		fmt.Fprintf(&b, "  %-13s %s\n", k, scenariofile.Kinds[k])
	}
	return b.String()
}

func (f *dayFlags) run(cmd *cobra.Command, s *scenariofile.Script) error {
	ctx, cancel := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	out := cmd.OutOrStdout()
	if f.seed > 0 {
		s.Seed = f.seed
	}
	if err := replay(s, f.trace); err != nil {
		return err
	}
	first, broken := s.Seed, false
	if f.seeds > 1 || strings.Contains(f.module, ",") {
		fmt.Fprintf(out, "%-8s %5s  %s\n", "module", "seed", serviceHead)
	}
	for i := 0; i < f.seeds; i++ {
		for _, module := range strings.Split(f.module, ",") {
			day := *s
			day.Seed = first + uint64(i)
			res, err := f.one(ctx, out, &day, module)
			if err != nil {
				return err
			}
			if f.seeds > 1 || strings.Contains(f.module, ",") {
				fmt.Fprintf(out, "%-8s %5d  %s\n", module, day.Seed, line(res))
				for k, v := range res.Findings {
					if k < 3 && module == "brain" {
						fmt.Fprintln(out, "  ", v)
					}
				}
				for _, e := range res.Exits {
					fmt.Fprintln(out, "  gateway ended badly:", e)
				}
			} else {
				tell(out, res)
			}
			broken = broken || module == "brain" && res.Broken()
		}
	}
	if broken {
		return processrun.ErrBroken
	}
	return nil
}

func (f *dayFlags) one(
	ctx context.Context,
	out io.Writer,
	s *scenariofile.Script,
	module string,
) (*processrun.Result, error) {
	mk := virtualrun.Module(module)
	if mk == nil {
		return nil, fmt.Errorf("module %q: want brain, lottery or random", module)
	}
	if f.virtual {
		return Virtual(s, mk, f.capture)
	}
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("own program: %w", err)
	}
	o := processrun.Options{
		Port:    f.port,
		Capture: f.capture,
		Dir:     f.dir,
		Edge:    []string{self, "edge", "run"},
		Module:  module,
		Level:   f.level,
	}
	if f.seeds == 1 {
		o.Say = func(s string) { fmt.Fprintln(out, s) }
		fmt.Fprintf(
			out,
			"day %q, seed %d: %d gateways, %d switches, %g contacts a second for %s\n",
			s.Name,
			s.Seed,
			s.Gateways.Count,
			s.Pools.Count,
			s.Load.Rate,
			time.Duration(s.Length*1e6),
		)
	}
	return processrun.Run(ctx, s, o)
}

// Virtual puts a day on in virtual time.
func Virtual(s *scenariofile.Script, mk routing.PolicyFactory, file string) (*processrun.Result, error) {
	o := virtualrun.Options{}
	var keep *capture.Writer
	if file != "" {
		f, err := os.Create(file)
		if err != nil {
			return nil, fmt.Errorf("capture: %w", err)
		}
		defer f.Close()
		keep = capture.NewWriter(f)
		o.Record = keep.Add
	}
	r := virtualrun.Play(s, mk, o)
	if keep != nil {
		if err := keep.Flush(); err != nil {
			return nil, err
		}
	}
	return &processrun.Result{
		Service:  r.Service,
		Findings: r.Findings,
		Totals:   r.Totals,
		Tables:   r.Tables,
		Kiosks:   r.Kiosks,
	}, nil
}

const serviceHead = "whole  worst10s  worst skill            worst customer         offered   late    cut  " +
	"unserved  p50 ms  p99 ms  cold  behind  rules"

func line(r *processrun.Result) string {
	s := r.Service
	rules := "kept"
	if r.Broken() {
		rules = verdicts(r)
	}
	return fmt.Sprintf(
		"%.3f     %.3f  %-15s %.3f  %-15.15s %.3f  %7d %6d %6d  %8d  %6.0f  %6.0f  %3.0f%%  %4.0fms  %s",
		s.Total,
		s.Worst10s,
		s.WorstClass,
		s.ClassShare,
		s.WorstTenant,
		s.TenantShare,
		s.Arrived,
		s.Late,
		s.Dropped,
		s.Unserved,
		at(s.Waits, 0.5),
		at(s.Waits, 0.99),
		100*r.Totals.SlowStartUse,
		r.Late,
		rules,
	)
}

func at(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func verdicts(r *processrun.Result) string {
	var n [6]int
	for _, f := range r.Findings {
		n[f.Rule]++
	}
	var parts []string
	for i := 1; i <= 5; i++ {
		if n[i] > 0 {
			parts = append(parts, fmt.Sprintf("rule %d broken %d times", i, n[i]))
		}
	}
	if r.Tables != nil && len(r.Tables.Findings) > 0 {
		parts = append(parts, fmt.Sprintf("%d contacts by the wrong table", len(r.Tables.Findings)))
	}
	if len(r.Exits) > 0 {
		parts = append(parts, fmt.Sprintf("%d gateways ended badly", len(r.Exits)))
	}
	return strings.Join(parts, ", ")
}

var ruleNames = [...]string{
	"",
	"one final answer for each contact, in time, nothing after",
	"never two rings out",
	"drains are kept",
	"no cold switch is pushed over",
	"the release is awaited",
}

func show() *cobra.Command {
	var whole bool
	var only string
	c := &cobra.Command{Use: "show CAPTURE", Short: "Print a capture for a person to read", Args: cobra.ExactArgs(1),
		Example: "  cobalt-lab show day.cap --only 8a1f03b2\n  cobalt-lab show day.cap --whole | less",
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := os.Open(args[0])
			if err != nil {
				return fmt.Errorf("show: %w", err)
			}
			defer f.Close()
			names := map[string]string{}
			return capture.Read(f, func(r *api.Record) error {
				text := capture.Text(r, names, whole)
				if only == "" || strings.Contains(text, only) {
					_, err := fmt.Fprintln(cmd.OutOrStdout(), text)
					return err
				}
				return nil
			})
		}}
	c.Flags().BoolVar(&whole, "whole", false, "whole messages, not a line each")
	c.Flags().StringVar(&only, "only", "", "only records that hold this text, such as a part of a Session-ID")
	return c
}

func judge() *cobra.Command {
	return &cobra.Command{Use: "judge CAPTURE", Short: "Judge the five rules from a capture", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := os.Open(args[0])
			if err != nil {
				return fmt.Errorf("judge: %w", err)
			}
			defer f.Close()
			k := conformance.New()
			if err := capture.Read(f, func(r *api.Record) error {
				k.Add(r)
				return nil
			}); err != nil {
				return err
			}
			k.Finish()
			for _, v := range k.Findings {
				fmt.Fprintln(cmd.OutOrStdout(), v)
			}
			fmt.Fprintf(
				cmd.OutOrStdout(),
				"%d contacts, %d rings, %d findings\n",
				k.Totals.Calls,
				k.Totals.Attempts,
				len(k.Findings),
			)
			if len(k.Findings) > 0 {
				return processrun.ErrBroken
			}
			return nil
		}}
}
