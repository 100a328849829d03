package labcli

import (
	"errors"
	"fmt"
	"math"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"cobaltpier/api"
	"cobaltpier/internal/emulator/calltrace"
)

func traceCmd() *cobra.Command {
	c := &cobra.Command{
		Use:   "trace",
		Short: "Import, cut, merge, scale, speed up and anonymise call traces",
		Long: `Works on call traces (api/trace.proto defines the format). A damaged trace is read up to the damage:
the error names the position, and the calls before it are still written.`,
	}
	var out string
	addCommand := func(use, short string, args cobra.PositionalArgs,
		transform func(traces [][]*api.Call) ([]*api.Call, error), flags func(*cobra.Command)) {
		sub := &cobra.Command{Use: use, Short: short, Args: args, RunE: func(cmd *cobra.Command, files []string) error {
			var traces [][]*api.Call
			var damage []error
			for _, name := range files {
				calls, err := readTrace(name)
				if err != nil && !errors.Is(err, calltrace.ErrDamaged) || len(calls) == 0 && err != nil {
					return err
				}
				if err != nil {
					damage = append(damage, fmt.Errorf("%s: %w", name, err))
				}
				traces = append(traces, calls)
			}
			calls, err := transform(traces)
			if err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), calltrace.Summary(calls))
			if out != "" {
				if err := writeTrace(out, calls); err != nil {
					return err
				}
			}
			return errors.Join(damage...)
		}}
		sub.Flags().StringVarP(&out, "out", "o", "", "write the trace to this file")
		if flags != nil {
			flags(sub)
		}
		c.AddCommand(sub)
	}
	first := func(traces [][]*api.Call) []*api.Call { return traces[0] }
	addCommand(
		"info FILE",
		"Summarise a trace",
		cobra.ExactArgs(1),
		func(traces [][]*api.Call) ([]*api.Call, error) { return first(traces), nil },
		nil,
	)
	addCommand(
		"import FILE",
		"Read calls from CSV (with a header line) or JSON lines, depending on the file name extension",
		cobra.ExactArgs(1),
		func(traces [][]*api.Call) ([]*api.Call, error) { return first(traces), nil },
		nil,
	)
	addCommand(
		"merge FILE...",
		"Merge traces by the times of their calls",
		cobra.MinimumNArgs(1),
		func(traces [][]*api.Call) ([]*api.Call, error) { return calltrace.Merge(traces...), nil },
		nil,
	)
	var from, to time.Duration
	addCommand("cut FILE", "Keep a range of time", cobra.ExactArgs(1), func(traces [][]*api.Call) ([]*api.Call, error) {
		end := math.Inf(1)
		if to > 0 {
			end = float64(to) / 1e6
		}
		return calltrace.Slice(first(traces), float64(from)/1e6, end), nil
	}, func(sub *cobra.Command) {
		sub.Flags().DurationVar(&from, "from", 0, "start of the range")
		sub.Flags().DurationVar(&to, "to", 0, "end of the range, exclusive; 0: to the end of the trace")
	})
	var factor, jitter float64
	var seed uint64
	addCommand(
		"scale FILE",
		"Multiply the number of calls by a factor",
		cobra.ExactArgs(1),
		func(traces [][]*api.Call) ([]*api.Call, error) {
			if !(factor > 0) {
				return nil, fmt.Errorf("scale: --by: want a value above 0, got %v", factor)
			}
			return calltrace.Scale(first(traces), factor, jitter, seed), nil
		},
		func(sub *cobra.Command) {
			sub.Flags().Float64Var(&factor, "by", 1, "factor")
			sub.Flags().Float64Var(&jitter, "jitter", 1000, "copies arrive up to this many ms after the original call")
			sub.Flags().Uint64Var(&seed, "seed", 1, "seed of the choice of calls to keep and copy")
		},
	)
	var speed float64
	var all bool
	addCommand(
		"speed FILE",
		"Speed up arrivals by a factor",
		cobra.ExactArgs(1),
		func(traces [][]*api.Call) ([]*api.Call, error) {
			if !(speed > 0) {
				return nil, fmt.Errorf("speed: --by: want a value above 0, got %v", speed)
			}
			return calltrace.Speed(first(traces), speed, all), nil
		},
		func(sub *cobra.Command) {
			sub.Flags().Float64Var(&speed, "by", 1, "factor")
			sub.Flags().BoolVar(&all, "all", false, "speed up holding times and patience too")
		},
	)
	var key string
	var keep int
	addCommand(
		"anonymise FILE",
		"Replace the digits of the numbers called",
		cobra.ExactArgs(1),
		func(traces [][]*api.Call) ([]*api.Call, error) {
			if key == "" {
				return nil, fmt.Errorf("anonymise: --key is required; the same key gives the same digits")
			}
			return calltrace.Anonymise(first(traces), key, keep), nil
		},
		func(sub *cobra.Command) {
			sub.Flags().StringVar(&key, "key", "", "secret key of the replacement")
			sub.Flags().IntVar(&keep, "keep", 5, "number of leading characters, used for routing, that stay")
		},
	)
	c.AddCommand(recordCmd())
	return c
}

func readTrace(name string) ([]*api.Call, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	defer f.Close()
	switch {
	case strings.HasSuffix(name, ".csv"):
		return calltrace.FromCSV(f)
	case strings.HasSuffix(name, ".json"), strings.HasSuffix(name, ".jsonl"):
		return calltrace.FromJSON(f)
	}
	return calltrace.All(f)
}
