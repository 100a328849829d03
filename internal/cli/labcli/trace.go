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
	work := func(use, short string, args cobra.PositionalArgs, do func(in [][]*api.Call) ([]*api.Call, error),
		flags func(*cobra.Command)) {
		k := &cobra.Command{Use: use, Short: short, Args: args, RunE: func(cmd *cobra.Command, files []string) error {
			var in [][]*api.Call
			var damage []error
			for _, name := range files {
				of, err := read(name)
				if err != nil && !errors.Is(err, calltrace.ErrDamaged) || len(of) == 0 && err != nil {
					return err
				}
				if err != nil {
					damage = append(damage, fmt.Errorf("%s: %w", name, err))
				}
				in = append(in, of)
			}
			of, err := do(in)
			if err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), calltrace.Summary(of))
			if out != "" {
				if err := saveTrace(out, of); err != nil {
					return err
				}
			}
			return errors.Join(damage...)
		}}
		k.Flags().StringVarP(&out, "out", "o", "", "write the trace to this file")
		if flags != nil {
			flags(k)
		}
		c.AddCommand(k)
	}
	first := func(in [][]*api.Call) []*api.Call { return in[0] }
	work(
		"info FILE",
		"Say what a trace holds",
		cobra.ExactArgs(1),
		func(in [][]*api.Call) ([]*api.Call, error) { return first(in), nil },
		nil,
	)
	work(
		"import FILE",
		"Read calls from CSV (with a line of column names) or JSON lines, by the file's ending",
		cobra.ExactArgs(1),
		func(in [][]*api.Call) ([]*api.Call, error) { return first(in), nil },
		nil,
	)
	work(
		"merge FILE...",
		"Put traces together by their times",
		cobra.MinimumNArgs(1),
		func(in [][]*api.Call) ([]*api.Call, error) { return calltrace.Merge(in...), nil },
		nil,
	)
	var from, to time.Duration
	work("cut FILE", "Keep a part", cobra.ExactArgs(1), func(in [][]*api.Call) ([]*api.Call, error) {
		end := math.Inf(1)
		if to > 0 {
			end = float64(to) / 1e6
		}
		return calltrace.Slice(first(in), float64(from)/1e6, end), nil
	}, func(k *cobra.Command) {
		k.Flags().DurationVar(&from, "from", 0, "first time that is kept")
		k.Flags().DurationVar(&to, "to", 0, "first time that is not; 0: all")
	})
	var factor, jitter float64
	var seed uint64
	work(
		"scale FILE",
		"Make so many times as many calls",
		cobra.ExactArgs(1),
		func(in [][]*api.Call) ([]*api.Call, error) {
			if !(factor > 0) {
				return nil, fmt.Errorf("scale: want --by above 0, got %v", factor)
			}
			return calltrace.Scale(first(in), factor, jitter, seed), nil
		},
		func(k *cobra.Command) {
			k.Flags().Float64Var(&factor, "by", 1, "factor")
			k.Flags().Float64Var(&jitter, "jitter", 1000, "copies come within so many ms after their call")
			k.Flags().Uint64Var(&seed, "seed", 1, "of what is kept and copied")
		},
	)
	var speed float64
	var all bool
	work(
		"speed FILE",
		"Play times of coming so many times faster",
		cobra.ExactArgs(1),
		func(in [][]*api.Call) ([]*api.Call, error) {
			if !(speed > 0) {
				return nil, fmt.Errorf("speed: want --by above 0, got %v", speed)
			}
			return calltrace.Speed(first(in), speed, all), nil
		},
		func(k *cobra.Command) {
			k.Flags().Float64Var(&speed, "by", 1, "factor")
			k.Flags().BoolVar(&all, "all", false, "holds and patience too")
		},
	)
	var key string
	var keep int
	work(
		"anonymise FILE",
		"Put other digits in the place of the numbers called",
		cobra.ExactArgs(1),
		func(in [][]*api.Call) ([]*api.Call, error) {
			if key == "" {
				return nil, fmt.Errorf("anonymise: want --key: the same key gives the same digits")
			}
			return calltrace.Anonymise(first(in), key, keep), nil
		},
		func(k *cobra.Command) {
			k.Flags().StringVar(&key, "key", "", "secret")
			k.Flags().IntVar(&keep, "keep", 5, "characters at the start that stay, which routing goes by")
		},
	)
	c.AddCommand(captureTrace())
	return c
}

func read(name string) ([]*api.Call, error) {
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
