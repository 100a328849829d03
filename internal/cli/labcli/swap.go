package labcli

import (
	"fmt"
	"math"
	"runtime"
	"sort"
	"time"

	"github.com/spf13/cobra"

	"cobaltpier/api"
	"cobaltpier/internal/decision/numberplan"
	"cobaltpier/internal/decision/prefixtrie"
	"cobaltpier/internal/decision/tableversions"
	"cobaltpier/internal/emulator/prefixbaseline"
)

// swapCmd returns the command that measures the cost of a large table, and how late a loop runs while one is checked in
// parallel.
func swapCmd() *cobra.Command {
	var size, rounds int
	c := &cobra.Command{
		Use:   "swap",
		Short: "Measure the cost of a large number table, and how late a loop runs while one is checked in parallel",
		Args:  cobra.NoArgs,
		Long: `Makes a table of many prefixes with 200 routes and checks it repeatedly, as a gateway does, while a
loop in one goroutine that is due every millisecond analyses ten numbers each time and records how
late it runs. Before that, the same loop runs alone for as long; the difference is the cost of the
checks and of garbage collection.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			definition, err := largeTable(size)
			if err != nil {
				return err
			}
			heapBefore, _ := heapStats()
			began := time.Now()
			table, err := numberplan.Compile(definition)
			if err != nil {
				return err
			}
			compileTime := time.Since(began)
			heapAfter, _ := heapStats()
			packed, err := numberplan.Pack(definition)
			if err != nil {
				return err
			}
			fmt.Fprintf(
				out,
				"%d prefixes: %.1f MiB compact (%.1f octets each), compiled in %.0f ms, %.1f MiB in memory (%.1f octets each)\n",
				size,
				mebibytes(len(packed)),
				float64(len(packed))/float64(size),
				float64(compileTime)/1e6,
				mebibytes(int(heapAfter)-int(heapBefore)),
				float64(int64(heapAfter)-int64(heapBefore))/float64(size),
			)
			prefixes := prefixbaseline.Draw(min(size, 1<<16))
			runChecks := func() {
				for range rounds {
					if checked := tableversions.Check(packed, table.Names()); checked.Err != nil {
						panic(checked.Err) // cannot happen: the table was compiled above
					}
				}
			}
			alone := measureLateness(table, prefixes, func() { time.Sleep(time.Duration(rounds) * compileTime) })
			besideChecks := measureLateness(table, prefixes, runChecks)
			fmt.Fprintf(out, "%-20s %10s %10s %10s %10s\n", "loop of 1 ms", "p50 ms", "p99 ms", "p99.9 ms", "most ms")
			for _, row := range []struct {
				name string
				late []float64
			}{{"alone", alone}, {fmt.Sprintf("beside %d checks", rounds), besideChecks}} {
				fmt.Fprintf(
					out,
					"%-20s %10.3f %10.3f %10.3f %10.3f\n",
					row.name,
					quantile(row.late, 0.5),
					quantile(row.late, 0.99),
					quantile(row.late, 0.999),
					quantile(row.late, 1),
				)
			}
			return nil
		},
	}
	c.Flags().IntVar(&size, "size", 1000000, "number of prefixes")
	c.Flags().IntVar(&rounds, "rounds", 5, "number of checks")
	return c
}

func mebibytes(n int) float64 { return float64(n) / (1 << 20) }

// largeTable returns a number table of many prefixes.
func largeTable(size int) (*api.NumberTable, error) {
	const routes = 200
	table := &api.NumberTable{Name: "large", Version: 1, Entry: "start", Plans: []*api.NumberPlan{{Name: "start"}}}
	prefixes := make([][]string, routes)
	for i, prefix := range prefixbaseline.Draw(size) {
		prefixes[i%routes] = append(prefixes[i%routes], prefix.Digits)
	}
	for i, routePrefixes := range prefixes {
		name := fmt.Sprint("r", i)
		packed, err := numberplan.PackPrefixes(routePrefixes)
		if err != nil {
			return nil, err
		}
		table.Routes = append(
			table.Routes,
			&api.NumberRoute{Name: name, Choices: []*api.NumberChoice{{Group: fmt.Sprint("TG-", i), Weight: 1}}},
		)
		table.Plans[0].Rules = append(
			table.Plans[0].Rules,
			&api.NumberRule{Packed: packed, Then: &api.NumberAction{Do: &api.NumberAction_Route{Route: name}}},
		)
	}
	return table, nil
}

// measureLateness runs a loop in parallel with load and returns how late each iteration was, ms, sorted.
func measureLateness(table *numberplan.Table, prefixes []prefixtrie.Prefix, load func()) []float64 {
	runtime.GC()
	done := make(chan struct{})
	go func() {
		defer close(done)
		load()
	}()
	var late []float64
	next := time.Now()
	for i := 0; ; {
		next = next.Add(time.Millisecond)
		time.Sleep(time.Until(next))
		late = append(late, math.Max(0, float64(time.Since(next))/1e6))
		for range 10 {
			table.Begin(numberplan.Call{Dialled: "+" + prefixes[i%len(prefixes)].Digits + "55", At: next})
			i++
		}
		if now := time.Now(); now.Sub(next) > time.Millisecond { // missed iterations are not made up for
			next = now
		}
		select {
		case <-done:
			sort.Float64s(late)
			return late
		default:
		}
	}
}
