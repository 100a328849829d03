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
		Short: "Import, cut, merge, scale, speed up and anonymise traces of calls",
		Long: `Works on traces (api/trace.proto has the format). A trace that is damaged is read up to the damage;
the error names the place, and what was read is written all the same.`,
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
		"Say what a trace holds",
		cobra.ExactArgs(1),
		func(traces [][]*api.Call) ([]*api.Call, error) { return first(traces), nil },
		nil,
	)
	addCommand(
		"import FILE",
		"Read calls from CSV (with a line of column names) or JSON lines, by the file's ending",
		cobra.ExactArgs(1),
		func(traces [][]*api.Call) ([]*api.Call, error) { return first(traces), nil },
		nil,
	)
	addCommand(
		"merge FILE...",
		"Put traces together by their times",
		cobra.MinimumNArgs(1),
		func(traces [][]*api.Call) ([]*api.Call, error) { return calltrace.Merge(traces...), nil },
		nil,
	)
	var from, to time.Duration
	addCommand("cut FILE", "Keep a part", cobra.ExactArgs(1), func(traces [][]*api.Call) ([]*api.Call, error) {
		end := math.Inf(1)
		if to > 0 {
			end = float64(to) / 1e6
		}
		return calltrace.Slice(first(traces), float64(from)/1e6, end), nil
	}, func(sub *cobra.Command) {
		sub.Flags().DurationVar(&from, "from", 0, "first time that is kept")
		sub.Flags().DurationVar(&to, "to", 0, "first time that is not; 0: all")
	})
	var factor, jitter float64
	var seed uint64
	addCommand(
		"scale FILE",
		"Make so many times as many calls",
		cobra.ExactArgs(1),
		func(traces [][]*api.Call) ([]*api.Call, error) {
			if !(factor > 0) {
				return nil, fmt.Errorf("scale: want --by above 0, got %v", factor)
			}
			return calltrace.Scale(first(traces), factor, jitter, seed), nil
		},
		func(sub *cobra.Command) {
			sub.Flags().Float64Var(&factor, "by", 1, "factor")
			sub.Flags().Float64Var(&jitter, "jitter", 1000, "copies come within so many ms after their call")
			sub.Flags().Uint64Var(&seed, "seed", 1, "of what is kept and copied")
		},
	)
	var speed float64
	var all bool
	addCommand(
		"speed FILE",
		"Play times of coming so many times faster",
		cobra.ExactArgs(1),
		func(traces [][]*api.Call) ([]*api.Call, error) {
			if !(speed > 0) {
				return nil, fmt.Errorf("speed: want --by above 0, got %v", speed)
			}
			return calltrace.Speed(first(traces), speed, all), nil
		},
		func(sub *cobra.Command) {
			sub.Flags().Float64Var(&speed, "by", 1, "factor")
			sub.Flags().BoolVar(&all, "all", false, "holds and patience too")
		},
	)
	var key string
	var keep int
	addCommand(
		"anonymise FILE",
		"Put other digits in the place of the numbers called",
		cobra.ExactArgs(1),
		func(traces [][]*api.Call) ([]*api.Call, error) {
			if key == "" {
				return nil, fmt.Errorf("anonymise: want --key: the same key gives the same digits")
			}
			return calltrace.Anonymise(first(traces), key, keep), nil
		},
		func(sub *cobra.Command) {
			sub.Flags().StringVar(&key, "key", "", "secret")
			sub.Flags().IntVar(&keep, "keep", 5, "characters at the start that stay, which routing goes by")
		},
	)
	c.AddCommand(captureTrace())
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
