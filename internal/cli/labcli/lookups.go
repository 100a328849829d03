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

// lookups measures what trouble of DNS servers costs callers.
func lookups() *cobra.Command {
	var seeds int
	var set []string
	c := &cobra.Command{
		Use:   "lookups",
		Short: "What trouble of the DNS servers costs in service, with and without cache, stale answers and shared look-ups",
		Args:  cobra.NoArgs,
		Long: `Plays a day in virtual time on which each number's portability is looked up and a number without an
answer is deferred, with each trouble of the DNS servers alone, and each of: all as it is; nothing
kept; nothing served stale; look-ups of one number not shared. The same seeds for all. "lost" is the
part of the look-ups that had no answer; "sent" datagrams and streams for each look-up. Differences
in service are of the same seeds against all as it is. Of simulated switches and servers.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer cancel()
			return lookupTable(ctx, cmd, seeds, set)
		},
	}
	c.Flags().IntVar(&seeds, "seeds", 5, "days of each kind")
	c.Flags().StringArrayVar(&set, "set", nil, "change a value of the day, such as load.rate=300")
	return c
}

func lookupTable(ctx context.Context, cmd *cobra.Command, seeds int, set []string) error {
	out := cmd.OutOrStdout()
	troubles := []scenariofile.Trouble{
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
		{"no cache", func(n *scenariofile.Numbers) { n.Cache = false }},
		{
			"no stale",
			func(n *scenariofile.Numbers) { n.Stale = 0 },
		},
		{"not shared", func(n *scenariofile.Numbers) { n.Alone = true }},
	}
	type figures struct {
		service, lost, sent, p99 []float64
	}
	cells := make([]figures, len(troubles)*len(modes))
	for i := range cells {
		c := &cells[i]
		c.service, c.lost, c.sent, c.p99 = make([]float64, seeds), make([]float64, seeds), make([]float64, seeds),
			make([]float64, seeds)
	}
	broken := make([]int, len(cells)*seeds)
	base := append(
		[]string{
			`length="24s"`,
			"gateways.count=4",
			"load.rate=300",
			"load.numbers=6000",
			"numbers.popular=4",
			`numbers.silent="refuse"`,
			`numbers.ttl="3s"`,
		},
		set...)
	if _, err := scenario.Day("numbers", base...); err != nil {
		return err
	}
	mk := virtualrun.Module("brain")
	all := virtualrun.Each(ctx, len(broken), func(i int) {
		cell, seed := i/seeds, i%seeds
		s, err := scenario.Day("numbers", base...)
		if err != nil {
			return // looked at before
		}
		s.Seed = uint64(seed + 1)
		if t := troubles[cell/len(modes)]; t.Kind != "" {
			t.At, t.For = 6000, 12000
			s.Troubles = []scenariofile.Trouble{t}
		}
		modes[cell%len(modes)].change(&s.Numbers)
		r := virtualrun.Play(s, mk, virtualrun.Options{})
		l := r.NumberLookups
		c := &cells[cell]
		c.service[seed], c.p99[seed] = r.Service.Total, at(r.Service.Waits, 0.99)
		c.lost[seed], c.sent[seed] = float64(l.Failed)/float64(max(1, l.Lookups)), float64(l.Sent+l.Streams)/float64(max(1,
			l.Lookups))
		broken[i] = len(r.Findings) + len(r.Tables.Findings)
	})
	if !all {
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
	wrong := 0
	for i := range cells {
		c, t := &cells[i], troubles[i/len(modes)]
		name := "none"
		if t.Kind != "" {
			name = fmt.Sprintf("%s %g", t.Kind, t.Part)
		}
		beside := ""
		if i%len(modes) > 0 {
			p := stats.Compare(cells[i-i%len(modes)].service, c.service, 0.95)
			beside = fmt.Sprintf("%+.4f [%+.4f, %+.4f] %s", p.Mean, p.Low, p.High, p.Verdict())
		}
		for _, n := range broken[i*seeds : (i+1)*seeds] {
			wrong += n
		}
		fmt.Fprintf(
			out,
			"%-20s %-11s %8.4f %6.2f%% %7.3f %8.0f  %s\n",
			name,
			modes[i%len(modes)].name,
			mean(c.service),
			100*mean(c.lost),
			mean(c.sent),
			mean(c.p99),
			beside,
		)
	}
	fmt.Fprintf(out, "broken rules and contacts by a wrong table: %d in %d days\n", wrong, len(broken))
	if wrong > 0 {
		return processrun.ErrBroken
	}
	return nil
}

func mean(of []float64) float64 {
	sum := 0.0
	for _, v := range of {
		sum += v
	}
	return sum / float64(max(1, len(of)))
}
