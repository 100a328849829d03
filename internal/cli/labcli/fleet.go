package labcli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"cobaltpier/internal/emulator/processrun"
	"cobaltpier/internal/emulator/report"
	"cobaltpier/internal/emulator/scenario"
	"cobaltpier/internal/emulator/scenariofile"
	"cobaltpier/internal/emulator/virtualrun"
)

// dayMetrics holds what days are compared by; "fleet --json" writes it under these field names. Higher is better for
// the service shares, lower for the counts, the waits and Cold, the use of slow-start budgets.
type dayMetrics struct {
	Seed                                uint64
	Whole, Worst10s, Skill, Customer    float64
	Late, Cut, Unserved, P50, P99, Cold float64
	Broken                              int
	Sum                                 string
}

var metricNames = []string{
	"service, whole day",
	"service, worst 10 s",
	"service, worst skill",
	"service, worst customer",
	"late",
	"cut",
	"unserved",
	"wait p50, ms",
	"wait p99, ms",
	"cold budget used",
}

func (m *dayMetrics) vector() []float64 {
	return []float64{m.Whole, m.Worst10s, m.Skill, m.Customer, m.Late, m.Cut, m.Unserved, m.P50, m.P99, m.Cold}
}

func dayMetricsOf(seed uint64, res *virtualrun.Result) *dayMetrics {
	s := res.Service
	return &dayMetrics{
		Seed:     seed,
		Whole:    s.Total,
		Worst10s: s.Worst10s,
		Skill:    s.ClassShare,
		Customer: s.TenantShare,
		Late:     float64(s.Late),
		Cut:      float64(s.Dropped),
		Unserved: float64(s.Unserved),
		P50:      quantile(s.Waits, 0.5),
		P99:      quantile(s.Waits, 0.99),
		Cold:     res.Totals.SlowStartUse,
		Broken:   len(res.Findings),
		Sum:      fmt.Sprintf("%016x", res.Checksum),
	}
}

func interruptContext(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
}

func fleetCmd() *cobra.Command {
	var seeds int
	var firstSeed uint64
	var module, reportFile, pictureDir, traceFile string
	var asJSON bool
	var settings []string
	c := &cobra.Command{
		Use:   "fleet DAY",
		Short: "Run days in virtual time, with any number of gateways, several days in parallel",
		Args:  cobra.ExactArgs(1),
		Long: `Runs days in virtual time: the same gateways and switch models as with real sockets, driven by one
scheduler. The same seed gives the same capture, byte for byte, on any number of cores; the printed
sum is the checksum of the capture.`,
		Example: "  cobalt-lab fleet large --report day.html\n  cobalt-lab fleet trouble --seeds 20 --set " +
			"gateways.count=64 --set load.rate=300",
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := interruptContext(cmd)
			defer cancel()
			script, err := scenario.Load(args[0], settings...)
			if err != nil {
				return err
			}
			newPolicy := virtualrun.PolicyByName(module)
			if newPolicy == nil {
				return fmt.Errorf("module %q: want brain, lottery or random", module)
			}
			if firstSeed > 0 {
				script.Seed = firstSeed
			}
			if err := replayTrace(script, traceFile); err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			results := make([]*virtualrun.Result, seeds)
			began := time.Now()
			virtualrun.ForEach(ctx, seeds, func(i int) {
				day := *script
				day.Seed = script.Seed + uint64(i)
				results[i] = virtualrun.Run(
					&day,
					newPolicy,
					virtualrun.Options{Series: reportFile != "" || pictureDir != "", Checksum: true},
				)
			})
			elapsed := time.Since(began)
			if !asJSON {
				fmt.Fprintf(out, "%5s  %s  %16s  %s\n", "seed", serviceHeader, "sum", "took")
			}
			broken, callCount := false, 0
			page := report.Page{
				Title: "Days of " + script.Name,
				Notes: []string{"Figures are of simulated switches.", describeScript(script)},
			}
			for i, res := range results {
				if res == nil {
					continue
				}
				seed := script.Seed + uint64(i)
				callCount += res.Totals.Calls
				broken = broken || module == "brain" && len(res.Findings) > 0
				if asJSON {
					if err := json.NewEncoder(out).Encode(dayMetricsOf(seed, res)); err != nil {
						return fmt.Errorf("fleet: %w", err)
					}
					continue
				}
				row := serviceRow(&processrun.Result{Service: res.Service, Findings: res.Findings, Totals: res.Totals})
				fmt.Fprintf(out, "%5d  %s  %016x  %s\n", seed, row, res.Checksum, res.Elapsed.Round(10*time.Millisecond))
				day := report.Day{
					Name:  fmt.Sprintf("%s, seed %d", script.Name, seed),
					Lines: []string{serviceHeader, row},
					Plots: report.Plots(res.Series),
				}
				for j, finding := range res.Findings {
					if j < 5 {
						fmt.Fprintln(out, "  ", finding)
						day.Lines = append(day.Lines, finding.String())
					}
				}
				page.Days = append(page.Days, day)
			}
			if !asJSON {
				fmt.Fprintf(
					out,
					"%d contacts in %s: %.0f a second of real time\n",
					callCount,
					elapsed.Round(time.Millisecond),
					float64(callCount)/elapsed.Seconds(),
				)
			}
			if err := writeReport(reportFile, pictureDir, page); err != nil {
				return err
			}
			if broken {
				return processrun.ErrBroken
			}
			return ctx.Err()
		},
	}
	c.Flags().IntVar(&seeds, "seeds", 1, "number of days to run, with consecutive seeds")
	c.Flags().Uint64Var(&firstSeed, "seed", 0, "first seed, instead of the script's")
	c.Flags().StringVar(&module, "module", "brain", "routing policy: brain, or the baselines lottery and random")
	c.Flags().StringVar(&reportFile, "report", "", "write an HTML page with plots to this file")
	c.Flags().StringVar(&pictureDir, "pictures", "", "write the plots as PNG files to this directory")
	c.Flags().StringVar(
		&traceFile,
		"trace",
		"",
		"replay the calls of this trace instead of the script's load; callers do not redial",
	)
	c.Flags().BoolVar(&asJSON, "json", false, "print one line of JSON for each day")
	c.Flags().StringArrayVar(&settings, "set", nil, "override a value of the script, such as pools.count=6")
	return c
}

func describeScript(script *scenariofile.Script) string {
	return fmt.Sprintf(
		"%d gateways, %d switches, %g contacts a second for %s.",
		script.Gateways.Count,
		script.Pools.Count,
		script.Load.Rate,
		time.Duration(script.Length*1e6),
	)
}

// writeReport writes the HTML report and its plots as PNG files; an empty name skips either.
func writeReport(reportFile, pictureDir string, page report.Page) error {
	if reportFile != "" {
		f, err := os.Create(reportFile)
		if err != nil {
			return fmt.Errorf("report: %w", err)
		}
		if err := report.Write(f, page); err != nil {
			f.Close()
			return err
		}
		if err := f.Close(); err != nil {
			return fmt.Errorf("report: %w", err)
		}
	}
	if pictureDir == "" {
		return nil
	}
	if err := os.MkdirAll(pictureDir, 0o755); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	for i, day := range page.Days {
		for j, picture := range day.Plots {
			f, err := os.Create(filepath.Join(pictureDir, fmt.Sprintf("day%d-%d.png", i+1, j+1)))
			if err != nil {
				return fmt.Errorf("report: %w", err)
			}
			if err := picture.PNG(f); err != nil {
				f.Close()
				return err
			}
			if err := f.Close(); err != nil {
				return fmt.Errorf("report: %w", err)
			}
		}
	}
	return nil
}
