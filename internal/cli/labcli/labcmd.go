// Package labcli implements the commands of cobalt-lab, the test laboratory: they run scenarios against stand-ins of
// switches and callers, capture the traffic and check it against the five rules.
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

// New returns the cobalt-lab command with its subcommands.
func New() *cobra.Command {
	root := &cobra.Command{
		Use:   "cobalt-lab",
		Short: "Test laboratory: runs scenarios against stand-ins and checks the traffic",
		Long: `cobalt-lab runs scenarios, called days: stand-ins of core switches, callers and the endpoint list;
gateways as separate processes or in virtual time; and a checker that verifies the five rules from
the traffic alone. The switches are models, so all results are for simulated servers.

Start with "cobalt-lab try". Exit status: 0 success; 1 an error; 3 a rule was broken or a gateway
failed in a run of the policy brain, or a check had findings.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	edge := edgecli.New()
	edge.Use, edge.Hidden = "edge", true
	root.AddCommand(
		tryCmd(),
		dayCmd(),
		showCmd(),
		judgeCmd(),
		throughputCmd(),
		designCmd(),
		echoCmd(),
		fleetCmd(),
		compareCmd(),
		huntCmd(),
		loadCmd(),
		traceCmd(),
		numbercli.New(),
		digitsCmd(),
		swapCmd(),
		lookupsCmd(),
		edge,
	)
	return root
}

// ExitCode returns the exit code of the program for an error.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return 0
	case errors.Is(err, processrun.ErrBroken):
		return 3
	}
	return 1
}

type dayFlags struct {
	virtual   bool
	seeds     int
	seed      uint64
	policies  string // names separated by commas
	capture   string
	dir       string
	port      int
	logLevel  string
	overrides []string // NAME=VALUE
	trace     string
}

func (f *dayFlags) add(c *cobra.Command) {
	c.Flags().BoolVar(
		&f.virtual,
		"virtual",
		false,
		"run in virtual time, without sockets; the same seed gives the same run",
	)
	c.Flags().IntVar(&f.seeds, "seeds", 1, "number of runs of the day for each policy, with consecutive seeds")
	c.Flags().Uint64Var(&f.seed, "seed", 0, "first seed, instead of the script's")
	c.Flags().StringVar(
		&f.policies,
		"module",
		"brain",
		"routing policy: brain, or the baselines lottery and random; several separated by commas",
	)
	c.Flags().StringVar(&f.capture, "capture", "", "write the traffic to this file (see cobalt-lab show)")
	c.Flags().StringVar(&f.dir, "dir", "", "keep the gateways' configuration files and logs in this directory")
	c.Flags().IntVar(
		&f.port,
		"port",
		15060,
		"SIP port of gateways and stand-ins; port+10 and port+20 carry gossip, port+30 number tables",
	)
	c.Flags().StringVar(
		&f.trace,
		"trace",
		"",
		"replay the calls of this trace instead of the script's load; callers do not redial",
	)
	c.Flags().StringArrayVar(
		&f.overrides,
		"set",
		nil,
		"override a value of the script, such as pools.count=6 or net.loss=0.01",
	)
	c.Flags().StringVar(&f.logLevel, "log", "info", "log level of the gateways")
}

func tryCmd() *cobra.Command {
	var f dayFlags
	c := &cobra.Command{
		Use:   "try",
		Short: "Run a short built-in day, with real sockets and processes",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := scenario.BuiltIn("try", f.overrides...)
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
		Short:   "Run a day from a script, or a built-in one",
		Args:    cobra.ExactArgs(1),
		Example: "  cobalt-lab day trouble --seeds 10\n  cobalt-lab day my.hcl --virtual --module brain,lottery,random",
		Long: "Runs a day from a script and prints how callers were served and whether the five rules were kept.\n\n" +
			"Faults that a script may name:\n" + faultKinds(),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := scenario.Load(args[0], f.overrides...)
			if err != nil {
				return err
			}
			return f.run(cmd, s)
		},
	}
	f.add(c)
	return c
}

func faultKinds() string {
	var b strings.Builder
	for _, kind := range scenariofile.FaultKindNames() {
		fmt.Fprintf(&b, "  %-13s %s\n", kind, scenariofile.FaultKinds[kind])
	}
	return b.String()
}

func (f *dayFlags) run(cmd *cobra.Command, script *scenariofile.Script) error {
	ctx, cancel := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	out := cmd.OutOrStdout()
	if f.seed > 0 {
		script.Seed = f.seed
	}
	if err := replayTrace(script, f.trace); err != nil {
		return err
	}
	firstSeed, broken := script.Seed, false
	if f.seeds > 1 || strings.Contains(f.policies, ",") {
		fmt.Fprintf(out, "%-8s %5s  %s\n", "module", "seed", serviceHeader)
	}
	for i := 0; i < f.seeds; i++ {
		for _, policyName := range strings.Split(f.policies, ",") {
			day := *script
			day.Seed = firstSeed + uint64(i)
			res, err := f.runPolicy(ctx, out, &day, policyName)
			if err != nil {
				return err
			}
			if f.seeds > 1 || strings.Contains(f.policies, ",") {
				fmt.Fprintf(out, "%-8s %5d  %s\n", policyName, day.Seed, serviceRow(res))
				for j, finding := range res.Findings {
					if j < 3 && policyName == "brain" {
						fmt.Fprintln(out, "  ", finding)
					}
				}
				for _, failure := range res.GatewayFailures {
					fmt.Fprintln(out, "  gateway ended badly:", failure)
				}
			} else {
				printDay(out, res)
			}
			broken = broken || policyName == "brain" && res.Broken()
		}
	}
	if broken {
		return processrun.ErrBroken
	}
	return nil
}

func (f *dayFlags) runPolicy(
	ctx context.Context,
	out io.Writer,
	script *scenariofile.Script,
	policyName string,
) (*processrun.Result, error) {
	newPolicy := virtualrun.PolicyByName(policyName)
	if newPolicy == nil {
		return nil, fmt.Errorf("module %q: want brain, lottery or random", policyName)
	}
	if f.virtual {
		return RunVirtual(script, newPolicy, f.capture)
	}
	executable, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("path of this executable: %w", err)
	}
	options := processrun.Options{
		Port:           f.port,
		Capture:        f.capture,
		Dir:            f.dir,
		GatewayCommand: []string{executable, "edge", "run"},
		Module:         policyName,
		Level:          f.logLevel,
	}
	if f.seeds == 1 {
		options.Progress = func(text string) { fmt.Fprintln(out, text) }
		fmt.Fprintf(
			out,
			"day %q, seed %d: %d gateways, %d switches, %g contacts a second for %s\n",
			script.Name,
			script.Seed,
			script.Gateways.Count,
			script.Pools.Count,
			script.Load.Rate,
			time.Duration(script.Length*1e6),
		)
	}
	return processrun.Run(ctx, script, options)
}

// RunVirtual runs a day in virtual time; captureFile "" writes no capture.
func RunVirtual(
	script *scenariofile.Script,
	newPolicy routing.PolicyFactory,
	captureFile string,
) (*processrun.Result, error) {
	options := virtualrun.Options{}
	var writer *capture.Writer
	if captureFile != "" {
		f, err := os.Create(captureFile)
		if err != nil {
			return nil, fmt.Errorf("capture: %w", err)
		}
		defer f.Close()
		writer = capture.NewWriter(f)
		options.Record = writer.Add
	}
	res := virtualrun.Run(script, newPolicy, options)
	if writer != nil {
		if err := writer.Flush(); err != nil {
			return nil, err
		}
	}
	return &processrun.Result{
		Service:  res.Service,
		Findings: res.Findings,
		Totals:   res.Totals,
		Tables:   res.Tables,
		Kiosks:   res.ENUM,
	}, nil
}

const serviceHeader = "whole  worst10s  worst skill            worst customer         offered   late    cut  " +
	"unserved  p50 ms  p99 ms  cold  behind  rules"

func serviceRow(res *processrun.Result) string {
	s := res.Service
	rules := "kept"
	if res.Broken() {
		rules = violationSummary(res)
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
		quantile(s.Waits, 0.5),
		quantile(s.Waits, 0.99),
		100*res.Totals.SlowStartUse,
		res.ClockLag,
		rules,
	)
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func violationSummary(res *processrun.Result) string {
	var byRule [6]int
	for _, f := range res.Findings {
		byRule[f.Rule]++
	}
	var parts []string
	for i := 1; i <= 5; i++ {
		if byRule[i] > 0 {
			parts = append(parts, fmt.Sprintf("rule %d broken %d times", i, byRule[i]))
		}
	}
	if res.Tables != nil && len(res.Tables.Findings) > 0 {
		parts = append(parts, fmt.Sprintf("%d contacts by the wrong table", len(res.Tables.Findings)))
	}
	if len(res.GatewayFailures) > 0 {
		parts = append(parts, fmt.Sprintf("%d gateways ended badly", len(res.GatewayFailures)))
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

func showCmd() *cobra.Command {
	var whole bool
	var only string
	c := &cobra.Command{Use: "show CAPTURE", Short: "Print a capture as text", Args: cobra.ExactArgs(1),
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
	c.Flags().BoolVar(&whole, "whole", false, "print whole messages instead of one line each")
	c.Flags().StringVar(&only, "only", "", "print only records that contain this text, such as part of a Session-ID")
	return c
}

func judgeCmd() *cobra.Command {
	return &cobra.Command{Use: "judge CAPTURE", Short: "Check a capture against the five rules", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			f, err := os.Open(args[0])
			if err != nil {
				return fmt.Errorf("judge: %w", err)
			}
			defer f.Close()
			checker := conformance.New()
			if err := capture.Read(f, func(r *api.Record) error {
				checker.Add(r)
				return nil
			}); err != nil {
				return err
			}
			checker.Finish()
			for _, finding := range checker.Findings {
				fmt.Fprintln(cmd.OutOrStdout(), finding)
			}
			fmt.Fprintf(
				cmd.OutOrStdout(),
				"%d contacts, %d rings, %d findings\n",
				checker.Totals.Calls,
				checker.Totals.Attempts,
				len(checker.Findings),
			)
			if len(checker.Findings) > 0 {
				return processrun.ErrBroken
			}
			return nil
		}}
}
