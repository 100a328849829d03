package labcli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/exec"
	"strings"

	"github.com/spf13/cobra"

	"cobaltpier/internal/emulator/report"
	"cobaltpier/internal/emulator/scenario"
	"cobaltpier/internal/emulator/stats"
	"cobaltpier/internal/emulator/virtualrun"
)

// side is what one side of a comparison runs: a policy, possibly another build, and changed settings.
type side struct {
	module, program string
	set             []string
}

func (s *side) String() string {
	parts := []string{s.module}
	if s.program != "" {
		parts = append(parts, s.program)
	}
	return strings.Join(append(parts, s.set...), " ")
}

func compareCmd() *cobra.Command {
	var seeds int
	var firstSeed uint64
	var confidence float64
	var commonSettings []string
	var reportFile, sweep string
	a, b := &side{}, &side{}
	c := &cobra.Command{
		Use:   "compare DAY",
		Short: "Compare two settings, policies or builds on the same seeds, with confidence intervals",
		Args:  cobra.ExactArgs(1),
		Long: `Runs the same days for two sides, A and B, and takes the differences day by day, with the confidence
interval of their mean. A side is called higher only if the interval does not contain zero. A side
is a routing policy (--a, --b), changed settings (--a-set, --b-set), another build of cobalt-lab
(--a-program, --b-program), or any combination of these. --sweep compares several values of one
setting with A.`,
		Example: "  cobalt-lab compare trouble --b lottery --seeds 10\n  cobalt-lab compare trouble --b-set " +
			"gateways.may_cancel=false --seeds 20 --report cancel.html\n" +
			"  cobalt-lab compare trouble --sweep net.loss=0,0.01,0.05 --seeds 8",
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := interruptContext(cmd)
			defer cancel()
			out := cmd.OutOrStdout()
			sides := []*side{b}
			if sweep != "" {
				name, values, ok := strings.Cut(sweep, "=")
				if !ok {
					return fmt.Errorf("--sweep %q: want NAME=VALUE[,VALUE]", sweep)
				}
				sides = nil
				for _, value := range strings.Split(values, ",") {
					sides = append(
						sides,
						&side{module: b.module, program: b.program, set: append(append([]string{}, b.set...), name+"="+value)},
					)
				}
			}
			page := report.Page{
				Title: "Comparison on days of " + args[0],
				Notes: []string{"Figures are of simulated switches. A: " + a.String()},
			}
			daysA, err := playSide(ctx, out, args[0], a, commonSettings, firstSeed, seeds)
			if err != nil {
				return err
			}
			for _, other := range sides {
				otherDays, err := playSide(ctx, out, args[0], other, commonSettings, firstSeed, seeds)
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "A: %s\nB: %s\n", a, other)
				for i, name := range metricNames {
					var valuesA, valuesB []float64
					for k := range min(len(daysA), len(otherDays)) {
						valuesA, valuesB = append(valuesA, daysA[k].vector()[i]), append(valuesB, otherDays[k].vector()[i])
					}
					paired := stats.Compare(valuesA, valuesB, confidence)
					fmt.Fprintf(out, "  %-24s %s\n", name, paired)
					label := name
					if len(sides) > 1 {
						label += " (" + other.set[len(other.set)-1] + ")"
					}
					if i < 4 {
						page.Pairs = append(page.Pairs, report.MetricComparison{Name: label, Result: paired})
					}
				}
				page.Notes = append(page.Notes, "B: "+other.String())
			}
			return writeReport(reportFile, "", page)
		},
	}
	flags := c.Flags()
	flags.IntVar(&seeds, "seeds", 8, "number of days to run, with consecutive seeds")
	flags.Uint64Var(&firstSeed, "seed", 1, "first seed")
	flags.Float64Var(&confidence, "confidence", 0.95, "confidence level of the intervals")
	flags.StringVar(&a.module, "a", "brain", "routing policy of side A")
	flags.StringVar(&b.module, "b", "brain", "routing policy of side B")
	flags.StringArrayVar(&a.set, "a-set", nil, "setting of side A, such as gateways.count=20")
	flags.StringArrayVar(&b.set, "b-set", nil, "setting of side B")
	flags.StringVar(&a.program, "a-program", "", "another build of cobalt-lab for side A")
	flags.StringVar(&b.program, "b-program", "", "another build of cobalt-lab for side B")
	flags.StringArrayVar(&commonSettings, "set", nil, "setting of both sides")
	flags.StringVar(&sweep, "sweep", "", "NAME=VALUE,VALUE,...: run side B once for each value")
	flags.StringVar(&reportFile, "report", "", "write an HTML page to this file")
	return c
}

// playSide runs the days of one side and returns their metrics in the order of the seeds.
func playSide(
	ctx context.Context,
	out io.Writer,
	name string,
	s *side,
	commonSettings []string,
	firstSeed uint64,
	seeds int,
) ([]*dayMetrics, error) {
	settings := append(append([]string{}, commonSettings...), s.set...)
	if s.program != "" {
		args := []string{
			"fleet",
			name,
			"--json",
			"--seeds",
			fmt.Sprint(seeds),
			"--seed",
			fmt.Sprint(firstSeed),
			"--module",
			s.module,
		}
		for _, setting := range settings {
			args = append(args, "--set", setting)
		}
		text, err := exec.CommandContext(ctx, s.program, args...).Output()
		if err != nil && len(text) == 0 {
			return nil, fmt.Errorf("%s: %w", s.program, err)
		}
		var days []*dayMetrics
		for dec := json.NewDecoder(strings.NewReader(string(text))); dec.More(); {
			metrics := &dayMetrics{}
			if err := dec.Decode(metrics); err != nil {
				return nil, fmt.Errorf("%s: %w", s.program, err)
			}
			days = append(days, metrics)
		}
		return days, nil
	}
	script, err := scenario.Load(name, settings...)
	if err != nil {
		return nil, err
	}
	newPolicy := virtualrun.PolicyByName(s.module)
	if newPolicy == nil {
		return nil, fmt.Errorf("module %q: want brain, lottery or random", s.module)
	}
	days := make([]*dayMetrics, seeds)
	if !virtualrun.ForEach(ctx, seeds, func(i int) {
		day := *script
		day.Seed = firstSeed + uint64(i)
		days[i] = dayMetricsOf(day.Seed, virtualrun.Run(&day, newPolicy, virtualrun.Options{}))
	}) {
		return nil, ctx.Err()
	}
	for _, metrics := range days {
		if metrics.Broken > 0 && s.module == "brain" {
			fmt.Fprintf(out, "%s: seed %d breaks a rule %d times\n", s, metrics.Seed, metrics.Broken)
		}
	}
	return days, nil
}
