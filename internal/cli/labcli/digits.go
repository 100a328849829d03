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
func heapStats() (live, count uint64) {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc, m.Mallocs
}

func measureDigits(out interface{ Write([]byte) (int, error) }, count, rounds int) error {
	prefixes := prefixbaseline.Draw(count)
	var numbers []string
	for i := range uint64(1 << 16) {
		numbers = append(numbers, prefixes[int(detrand.Float64(3, i)*float64(count))].Digits+"5550123")
	}
	type searchMethod struct {
		name   string
		make   func() (finder, error)
		find   finder
		build  float64
		size   float64
		ns     []float64
		allocs float64
	}
	methods := []*searchMethod{
		{name: "trie", make: func() (finder, error) { return prefixtrie.New(append([]prefixtrie.Prefix{}, prefixes...)) }},
		{name: "map", make: func() (finder, error) { return prefixbaseline.NewMap(prefixes), nil }},
		{name: "sorted", make: func() (finder, error) { return prefixbaseline.NewSorted(prefixes), nil }},
	}
	for _, method := range methods {
		before, _ := heapStats()
		began := time.Now()
		built, err := method.make()
		if err != nil {
			return err
		}
		method.build = float64(time.Since(began)) / 1e6
		method.find = built
		after, _ := heapStats()
		method.size = float64(int64(after)-int64(before)) / float64(count)
		if trie, ok := built.(*prefixtrie.Trie); ok {
			method.size = float64(trie.Bytes()) / float64(count)
		}
	}
	lengthSum := 0
	for range rounds {
		for _, method := range methods {
			_, mallocsBefore := heapStats()
			began := time.Now()
			for range 4 {
				for _, number := range numbers {
					_, length, _ := method.find.Find(number)
					lengthSum += length
				}
			}
			method.ns = append(method.ns, float64(time.Since(began))/float64(4*len(numbers)))
			var mem runtime.MemStats
			runtime.ReadMemStats(&mem)
			method.allocs = float64(mem.Mallocs-mallocsBefore) / float64(4*len(numbers))
		}
	}
	for _, method := range methods {
		relative := ""
		if method != methods[0] {
			ratio, unit := make([]float64, rounds), make([]float64, rounds)
			for i := range ratio {
				ratio[i], unit[i] = method.ns[i]/methods[0].ns[i], 0
			}
			paired := stats.Compare(unit, ratio, 0.95)
			relative = fmt.Sprintf("%.2f [%.2f, %.2f]", paired.B, paired.Low, paired.High)
		}
		mean := 0.0
		for _, sample := range method.ns {
			mean += sample / float64(rounds)
		}
		fmt.Fprintf(
			out,
			"%9d %-7s %9.1f %9.1f %9.1f %8.4f   %s\n",
			count,
			method.name,
			method.build,
			method.size,
			mean,
			method.allocs,
			relative,
		)
	}
	if lengthSum == 0 {
		return fmt.Errorf("digits: nothing was found")
	}
	return nil
}
