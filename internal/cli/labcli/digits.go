package labcli

import (
	"fmt"
	"runtime"
	"time"

	"github.com/spf13/cobra"

	"cobaltpier/internal/decision/prefixtrie"
	"cobaltpier/internal/detrand"
	"cobaltpier/internal/emulator/prefixbaseline"
	"cobaltpier/internal/emulator/stats"
)

// digitsCmd measures the trie beside plain ways, in turns on the same numbers.
func digitsCmd() *cobra.Command {
	var sizes []int
	var rounds int
	c := &cobra.Command{
		Use:   "digits",
		Short: "Measure the digit trie beside a map of prefixes and a sorted search",
		Args:  cobra.NoArgs,
		Long: `Builds each of three ways to find the longest prefix from the same prefixes (areas, exchanges and
ported numbers of full length), and lets them find the same numbers by turns. Memory of the plain
ways is what the heap grew by, the prefixes' own texts left out. Ratios are of the same round.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			fmt.Fprintf(
				out,
				"%9s %-7s %9s %9s %9s %8s   %s\n",
				"prefixes",
				"way",
				"build ms",
				"B/prefix",
				"ns/look",
				"allocs",
				"time beside the trie, with the 95 % interval",
			)
			for _, n := range sizes {
				if err := measureDigits(out, n, rounds); err != nil {
					return err
				}
			}
			return nil
		},
	}
	c.Flags().IntSliceVar(&sizes, "sizes", []int{1000, 100000, 1000000}, "how many prefixes")
	c.Flags().IntVar(&rounds, "rounds", 15, "turns of each way")
	return c
}

type finder interface {
	Find(number string) (uint32, int, bool)
}

// heap is the live heap, and how much was ever allocated.
func heap() (live, count uint64) {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc, m.Mallocs
}

func measureDigits(out interface{ Write([]byte) (int, error) }, n, rounds int) error {
	of := prefixbaseline.Draw(n)
	var numbers []string
	for i := range uint64(1 << 16) {
		numbers = append(numbers, of[int(detrand.Float64(3, i)*float64(n))].Digits+"5550123")
	}
	type way struct {
		name   string
		make   func() (finder, error)
		find   finder
		build  float64
		size   float64
		ns     []float64
		allocs float64
	}
	ways := []*way{
		{name: "trie", make: func() (finder, error) { return prefixtrie.New(append([]prefixtrie.Prefix{}, of...)) }},
		{name: "map", make: func() (finder, error) { return prefixbaseline.NewMap(of), nil }},
		{name: "sorted", make: func() (finder, error) { return prefixbaseline.NewSorted(of), nil }},
	}
	for _, w := range ways {
		before, _ := heap()
		begin := time.Now()
		f, err := w.make()
		if err != nil {
			return err
		}
		w.build = float64(time.Since(begin)) / 1e6
		w.find = f
		after, _ := heap()
		w.size = float64(int64(after)-int64(before)) / float64(n)
		if t, ok := f.(*prefixtrie.Trie); ok {
			w.size = float64(t.Bytes()) / float64(n)
		}
	}
	sum := 0
	for range rounds {
		for _, w := range ways {
			_, a := heap()
			begin := time.Now()
			for range 4 {
				for _, x := range numbers {
					_, l, _ := w.find.Find(x)
					sum += l
				}
			}
			w.ns = append(w.ns, float64(time.Since(begin))/float64(4*len(numbers)))
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			w.allocs = float64(m.Mallocs-a) / float64(4*len(numbers))
		}
	}
	for _, w := range ways {
		beside := ""
		if w != ways[0] {
			ratio, one := make([]float64, rounds), make([]float64, rounds)
			for i := range ratio {
				ratio[i], one[i] = w.ns[i]/ways[0].ns[i], 0
			}
			p := stats.Compare(one, ratio, 0.95)
			beside = fmt.Sprintf("%.2f [%.2f, %.2f]", p.B, p.Low, p.High)
		}
		mean := 0.0
		for _, v := range w.ns {
			mean += v / float64(rounds)
		}
		fmt.Fprintf(out, "%9d %-7s %9.1f %9.1f %9.1f %8.4f   %s\n", n, w.name, w.build, w.size, mean, w.allocs, beside)
	}
	if sum == 0 {
		return fmt.Errorf("digits: nothing was found")
	}
	return nil
}
