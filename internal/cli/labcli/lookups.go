package labcli

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"cobaltpier/internal/emulator/processrun"
	"cobaltpier/internal/emulator/scenario"
	"cobaltpier/internal/emulator/scenariofile"
	"cobaltpier/internal/emulator/stats"
	"cobaltpier/internal/emulator/virtualrun"
)

// lookupsCmd returns the command that measures what faults of DNS servers cost callers.
func lookupsCmd() *cobra.Command {
	var seeds int
	var settings []string
	c := &cobra.Command{
		Use:   "lookups",
		Short: "Measure what DNS server faults cost in service, with and without cache, stale answers, shared look-ups",
		Args:  cobra.NoArgs,
		Long: `Runs a day in virtual time on which the portability of each number is looked up and a call whose
look-up gets no answer is deferred. Each fault of the DNS servers is run alone, in four modes: the
resolver as it is; without cache; without stale answers; without sharing the look-ups of a number.
All runs use the same seeds. "lost" is the share of look-ups without an answer, "sent" the number of
datagrams and streams for each look-up. Differences in service are against "as it is" on the same
seeds. Switches and servers are simulated.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer cancel()
			return lookupTable(ctx, cmd, seeds, settings)
		},
	}
	c.Flags().IntVar(&seeds, "seeds", 5, "days for each fault and mode")
	c.Flags().StringArrayVar(&settings, "set", nil, "override a value of the day, such as load.rate=300")
	return c
}

func lookupTable(ctx context.Context, cmd *cobra.Command, seeds int, settings []string) error {
	out := cmd.OutOrStdout()
	faults := []scenariofile.Fault{
		{},
		{Kind: "names_silent", Part: 0.5},
		{Kind: "names_silent", Part: 1},
		{Kind: "names_slow", Part: 0.5, Size: 0.3},
		{
			Kind: "names_slow",
			Part: 1,
			Size: 0.3,
		},
		{Kind: "names_lossy", Part: 1, Size: 0.5},
		{Kind: "names_spoofed", Part: 1, Size: 20},
		{
			Kind: "names_cut",
			Part: 1,
			Size: 1,
		},
		{Kind: "names_lame", Part: 0.5},
		{Kind: "names_lame", Part: 1},
		{Kind: "names_wrong", Part: 1, Size: 0.5},
	}
	modes := []struct {
		name   string
		change func(*scenariofile.Numbers)
	}{
		{"as it is", func(*scenariofile.Numbers) {}},
		{"no cache", func(numbers *scenariofile.Numbers) { numbers.Cache = false }},
		{
			"no stale",
			func(numbers *scenariofile.Numbers) { numbers.Stale = 0 },
		},
		{"not shared", func(numbers *scenariofile.Numbers) { numbers.Alone = true }},
	}
	type cellResults struct {
		service, lost, sent, p99 []float64
	}
	cells := make([]cellResults, len(faults)*len(modes))
	for i := range cells {
		cell := &cells[i]
		cell.service, cell.lost, cell.sent, cell.p99 = make([]float64, seeds), make([]float64, seeds),
			make([]float64, seeds), make([]float64, seeds)
	}
	violationCounts := make([]int, len(cells)*seeds)
	commonSettings := append(
		[]string{
			`length="24s"`,
			"gateways.count=4",
			"load.rate=300",
			"load.numbers=6000",
			"numbers.popular=4",
			`numbers.silent="refuse"`,
			`numbers.ttl="3s"`,
		},
		settings...)
	if _, err := scenario.BuiltIn("numbers", commonSettings...); err != nil {
		return err
	}
	newPolicy := virtualrun.PolicyByName("brain")
	complete := virtualrun.ForEach(ctx, len(violationCounts), func(i int) {
		cellIndex, seed := i/seeds, i%seeds
		script, err := scenario.BuiltIn("numbers", commonSettings...)
		if err != nil {
			return // cannot happen: the same settings were loaded above
		}
		script.Seed = uint64(seed + 1)
		if fault := faults[cellIndex/len(modes)]; fault.Kind != "" {
			fault.At, fault.For = 6000, 12000
			script.Faults = []scenariofile.Fault{fault}
		}
		modes[cellIndex%len(modes)].change(&script.Numbers)
		res := virtualrun.Run(script, newPolicy, virtualrun.Options{})
		lookupTotals := res.NumberLookups
		cell := &cells[cellIndex]
		cell.service[seed], cell.p99[seed] = res.Service.Total, quantile(res.Service.Waits, 0.99)
		cell.lost[seed], cell.sent[seed] = float64(lookupTotals.Failed)/float64(max(1, lookupTotals.Lookups)),
			float64(lookupTotals.Sent+lookupTotals.Streams)/float64(max(1, lookupTotals.Lookups))
		violationCounts[i] = len(res.Findings) + len(res.Tables.Findings)
	})
	if !complete {
		return ctx.Err()
	}
	fmt.Fprintf(
		out,
		"%-20s %-11s %8s %7s %7s %8s  %s\n",
		"trouble, part",
		"mode",
		"service",
		"lost",
		"sent",
		"p99 ms",
		"service beside \"as it is\", 95 % interval",
	)
	violations := 0
	for i := range cells {
		cell, fault := &cells[i], faults[i/len(modes)]
		name := "none"
		if fault.Kind != "" {
			name = fmt.Sprintf("%s %g", fault.Kind, fault.Part)
		}
		difference := ""
		if i%len(modes) > 0 {
			paired := stats.Compare(cells[i-i%len(modes)].service, cell.service, 0.95)
			difference = fmt.Sprintf("%+.4f [%+.4f, %+.4f] %s", paired.Mean, paired.Low, paired.High, paired.Verdict())
		}
		for _, count := range violationCounts[i*seeds : (i+1)*seeds] {
			violations += count
		}
		fmt.Fprintf(
			out,
			"%-20s %-11s %8.4f %6.2f%% %7.3f %8.0f  %s\n",
			name,
			modes[i%len(modes)].name,
			mean(cell.service),
			100*mean(cell.lost),
			mean(cell.sent),
			mean(cell.p99),
			difference,
		)
	}
	fmt.Fprintf(out, "broken rules and contacts by a wrong table: %d in %d days\n", violations, len(violationCounts))
	if violations > 0 {
		return processrun.ErrBroken
	}
	return nil
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(max(1, len(values)))
}
