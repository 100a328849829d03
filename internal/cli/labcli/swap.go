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

// swap measures what a large table costs, and how long a loop is held up while one is checked beside it.
func swap() *cobra.Command {
	var size, rounds int
	c := &cobra.Command{
		Use:   "swap",
		Short: "What a large number table costs, and whether a loop is held up while one is checked beside it",
		Args:  cobra.NoArgs,
		Long: `Makes a table of many prefixes with 200 routes and checks it as a gateway does, again and again,
while a loop of one goroutine wants to run every millisecond, analyses ten numbers each time and
notes how late it is. The same loop runs alone as long before; the differences are what the check
and the collector take.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			form, err := large(size)
			if err != nil {
				return err
			}
			before, _ := heap()
			begin := time.Now()
			t, err := numberplan.Compile(form)
			if err != nil {
				return err
			}
			took := time.Since(begin)
			after, _ := heap()
			packed, err := numberplan.Pack(form)
			if err != nil {
				return err
			}
			fmt.Fprintf(
				out,
				"%d prefixes: %.1f MiB compact (%.1f octets each), compiled in %.0f ms, %.1f MiB in memory (%.1f octets each)\n",
				size,
				mib(len(packed)),
				float64(len(packed))/float64(size),
				float64(took)/1e6,
				mib(int(after)-int(before)),
				float64(int64(after)-int64(before))/float64(size),
			)
			of := prefixbaseline.Draw(min(size, 1<<16))
			check := func() {
				for range rounds {
					if c := tableversions.Check(packed, t.Names()); c.Err != nil {
						panic(c.Err) // it was compiled above
					}
				}
			}
			alone := lateness(t, of, func() { time.Sleep(time.Duration(rounds) * took) })
			with := lateness(t, of, check)
			fmt.Fprintf(out, "%-20s %10s %10s %10s %10s\n", "loop of 1 ms", "p50 ms", "p99 ms", "p99.9 ms", "most ms")
			for _, x := range []struct {
				name string
				late []float64
			}{{"alone", alone}, {fmt.Sprintf("beside %d checks", rounds), with}} {
				fmt.Fprintf(
					out,
					"%-20s %10.3f %10.3f %10.3f %10.3f\n",
					x.name,
					at(x.late, 0.5),
					at(x.late, 0.99),
					at(x.late, 0.999),
					at(x.late, 1),
				)
			}
			return nil
		},
	}
	c.Flags().IntVar(&size, "size", 1000000, "prefixes")
	c.Flags().IntVar(&rounds, "rounds", 5, "checks")
	return c
}

func mib(n int) float64 { return float64(n) / (1 << 20) }

// large makes a table of many prefixes.
func large(size int) (*api.NumberTable, error) {
	const routes = 200
	form := &api.NumberTable{Name: "large", Version: 1, Entry: "start", Plans: []*api.NumberPlan{{Name: "start"}}}
	of := make([][]string, routes)
	for i, p := range prefixbaseline.Draw(size) {
		of[i%routes] = append(of[i%routes], p.Digits)
	}
	for i, p := range of {
		name := fmt.Sprint("r", i)
		packed, err := numberplan.PackPrefixes(p)
		if err != nil {
			return nil, err
		}
		form.Routes = append(
			form.Routes,
			&api.NumberRoute{Name: name, Choices: []*api.NumberChoice{{Group: fmt.Sprint("TG-", i), Weight: 1}}},
		)
		form.Plans[0].Rules = append(
			form.Plans[0].Rules,
			&api.NumberRule{Packed: packed, Then: &api.NumberAction{Do: &api.NumberAction_Route{Route: name}}},
		)
	}
	return form, nil
}

// lateness runs a loop beside something and returns how late each turn was, ms, sorted.
func lateness(t *numberplan.Table, of []prefixtrie.Prefix, beside func()) []float64 {
	runtime.GC()
	done := make(chan struct{})
	go func() {
		defer close(done)
		beside()
	}()
	var late []float64
	next := time.Now()
	for i := 0; ; {
		next = next.Add(time.Millisecond)
		time.Sleep(time.Until(next))
		late = append(late, math.Max(0, float64(time.Since(next))/1e6))
		for range 10 {
			t.Begin(numberplan.Call{Dialled: "+" + of[i%len(of)].Digits + "55", At: next})
			i++
		}
		if now := time.Now(); now.Sub(next) > time.Millisecond { // turns that were missed are not made up for
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
