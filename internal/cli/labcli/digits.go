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

// digitsCmd returns the command that compares the digit trie with two simple methods on the same numbers.
func digitsCmd() *cobra.Command {
	var sizes []int
	var rounds int
	c := &cobra.Command{
		Use:   "digits",
		Short: "Compare the digit trie with a map of prefixes and a sorted search",
		Args:  cobra.NoArgs,
		Long: `Builds three longest-prefix matchers from the same prefixes (areas, exchanges and full-length ported
numbers) and has them look up the same numbers in alternating rounds. Memory of the map and of the
sorted search is the growth of the heap, without the text of the prefixes. Ratios are within the
same round.`,
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
	c.Flags().IntSliceVar(&sizes, "sizes", []int{1000, 100000, 1000000}, "numbers of prefixes to measure with")
	c.Flags().IntVar(&rounds, "rounds", 15, "number of rounds for each method")
	return c
}

type finder interface {
	Find(number string) (uint32, int, bool)
}

// heapStats returns the size of the live heap and the number of allocations so far.
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
		name            string
		make            func() (finder, error)
		find            finder
		buildMs         float64
		bytesPerPrefix  float64
		nsPerLookup     []float64
		allocsPerLookup float64
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
		method.buildMs = float64(time.Since(began)) / 1e6
		method.find = built
		after, _ := heapStats()
		method.bytesPerPrefix = float64(int64(after)-int64(before)) / float64(count)
		if trie, ok := built.(*prefixtrie.Trie); ok {
			method.bytesPerPrefix = float64(trie.Bytes()) / float64(count)
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
			method.nsPerLookup = append(method.nsPerLookup, float64(time.Since(began))/float64(4*len(numbers)))
			var mem runtime.MemStats
			runtime.ReadMemStats(&mem)
			method.allocsPerLookup = float64(mem.Mallocs-mallocsBefore) / float64(4*len(numbers))
		}
	}
	for _, method := range methods {
		relative := ""
		if method != methods[0] {
			ratio, zeros := make([]float64, rounds), make([]float64, rounds)
			for i := range ratio {
				ratio[i], zeros[i] = method.nsPerLookup[i]/methods[0].nsPerLookup[i], 0
			}
			paired := stats.Compare(zeros, ratio, 0.95)
			relative = fmt.Sprintf("%.2f [%.2f, %.2f]", paired.B, paired.Low, paired.High)
		}
		mean := 0.0
		for _, sample := range method.nsPerLookup {
			mean += sample / float64(rounds)
		}
		fmt.Fprintf(
			out,
			"%9d %-7s %9.1f %9.1f %9.1f %8.4f   %s\n",
			count,
			method.name,
			method.buildMs,
			method.bytesPerPrefix,
			mean,
			method.allocsPerLookup,
			relative,
		)
	}
	if lengthSum == 0 {
		return fmt.Errorf("digits: no number matched a prefix")
	}
	return nil
}
