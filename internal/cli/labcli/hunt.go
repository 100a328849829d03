package labcli

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"cobaltpier/internal/emulator/processrun"
	"cobaltpier/internal/emulator/scenariofile"
	"cobaltpier/internal/emulator/search"
	"cobaltpier/internal/emulator/virtualrun"
)

func huntCmd() *cobra.Command {
	var o search.Options
	var dir, module string
	var shrink int
	c := &cobra.Command{
		Use:   "hunt",
		Short: "Look for days that break a rule or serve callers worst, and cut them down",
		Args:  cobra.NoArgs,
		Long: `Draws small days by chance (sizes, settings, troubles), goes on from the worst by small changes, and
cuts what breaks a rule down to the smallest day that still breaks it. Finds are written at once as
JSON days, which "cobalt-lab fleet FILE" plays again; a hunt that is stopped keeps what it had.
Those in lab/hunt/corpus are played by the tests.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := interrupted(cmd)
			defer cancel()
			out := cmd.OutOrStdout()
			mk := virtualrun.Module(module)
			if mk == nil {
				return fmt.Errorf("module %q: want brain, lottery or random", module)
			}
			if err := os.MkdirAll(dir, 0o755); err != nil {
				return fmt.Errorf("hunt: %w", err)
			}
			o.Play = func(s *scenariofile.Script) *virtualrun.Result { return virtualrun.Play(s, mk, virtualrun.Options{}) }
			o.Say = func(done int, worst float64) { fmt.Fprintf(out, "%d days, worst service %.3f\n", done, 1-worst) }
			var fault error
			o.Found = func(f search.Find) {
				fmt.Fprintf(out, "found: %s\n", f.What)
				if err := save(filepath.Join(dir, fmt.Sprintf("rule%d-%x.json", f.Rule, f.Script.Seed)), f.Script); err != nil {
					fault = err
				}
			}
			res := search.Run(ctx, o)
			fmt.Fprintf(
				out,
				"%d days played, %d broke a rule, cold budgets used to %.0f %% at most\n",
				res.Days,
				len(res.Broken),
				100*res.Cold,
			)
			if res.At != nil {
				if err := save(filepath.Join(dir, "cold.json"), res.At); err != nil {
					return err
				}
			}
			seen := map[int]bool{}
			for _, f := range res.Broken {
				if seen[f.Rule] {
					continue
				}
				seen[f.Rule] = true
				small := search.Shrink(
					f.Script,
					func(s *scenariofile.Script) bool { return search.Judge(s, o.Play(s)).Rule == f.Rule },
					shrink,
				)
				r := o.Play(small)
				fmt.Fprintf(
					out,
					"rule %d, cut down: %d gateways, %d switches, %.1f s, %d troubles: %v\n",
					f.Rule,
					small.Gateways.Count,
					small.Pools.Count,
					small.Length/1000,
					len(small.Troubles),
					search.Judge(small, r).What,
				)
				if err := save(filepath.Join(dir, fmt.Sprintf("rule%d-small.json", f.Rule)), small); err != nil {
					return err
				}
			}
			for i, f := range res.Worst {
				if i < 3 {
					fmt.Fprintf(
						out,
						"bad service %.3f: seed %d, %d gateways, %d switches, %v\n",
						1-f.Score,
						f.Script.Seed,
						f.Script.Gateways.Count,
						f.Script.Pools.Count,
						names(f.Script),
					)
					if err := save(filepath.Join(dir, fmt.Sprintf("service-%d.json", i+1)), f.Script); err != nil {
						return err
					}
				}
			}
			if fault != nil {
				return fault
			}
			if len(res.Broken) > 0 && module == "brain" {
				return processrun.ErrBroken
			}
			return nil
		},
	}
	c.Flags().IntVar(&o.Days, "days", 1000, "days to play")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "of the hunt")
	c.Flags().BoolVar(&o.Large, "large", false, "days of 10 to 40 gateways")
	c.Flags().StringVar(&dir, "dir", "found", "where finds go")
	c.Flags().StringVar(&module, "module", "brain", "what decides")
	c.Flags().IntVar(&shrink, "shrink", 200, "days played at most to cut a find down")
	return c
}

func names(s *scenariofile.Script) []string {
	var of []string
	for _, t := range s.Troubles {
		of = append(of, t.Kind)
	}
	return of
}

func save(file string, s *scenariofile.Script) error {
	b, err := json.MarshalIndent(s, "", " ")
	if err == nil {
		err = os.WriteFile(file, append(b, '\n'), 0o644)
	}
	if err != nil {
		return fmt.Errorf("hunt: %w", err)
	}
	return nil
}
