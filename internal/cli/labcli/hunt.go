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
	var options search.Options
	var dir, module string
	var shrink int
	c := &cobra.Command{
		Use:   "hunt",
		Short: "Search for days that break a rule or serve callers worst, and minimise them",
		Args:  cobra.NoArgs,
		Long: `Generates small random days (sizes, settings, faults), mutates the worst ones, and reduces each day
that breaks a rule to the smallest one that still breaks it. Finds are written at once as JSON days,
which "cobalt-lab fleet FILE" replays; an interrupted hunt keeps the finds written so far. The tests
replay those in lab/hunt/corpus.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := interruptContext(cmd)
			defer cancel()
			out := cmd.OutOrStdout()
			newPolicy := virtualrun.PolicyByName(module)
			if newPolicy == nil {
				return fmt.Errorf("module %q: want brain, lottery or random", module)
			}
			if err := os.MkdirAll(dir, 0o755); err != nil {
				return fmt.Errorf("hunt: %w", err)
			}
			options.Simulate = func(s *scenariofile.Script) *virtualrun.Result {
				return virtualrun.Run(s, newPolicy, virtualrun.Options{})
			}
			options.Progress = func(done int, worst float64) { fmt.Fprintf(out, "%d days, worst service %.3f\n", done, 1-worst) }
			var saveErr error
			options.Found = func(find search.Find) {
				fmt.Fprintf(out, "found: %s\n", find.What)
				if err := saveScript(
					filepath.Join(dir, fmt.Sprintf("rule%d-%x.json", find.Rule, find.Script.Seed)),
					find.Script,
				); err != nil {
					saveErr = err
				}
			}
			result := search.Run(ctx, options)
			fmt.Fprintf(
				out,
				"%d days played, %d broke a rule, cold budgets used to %.0f %% at most\n",
				result.Days,
				len(result.Broken),
				100*result.MaxSlowStartUse,
			)
			if result.MaxSlowStartScript != nil {
				if err := saveScript(filepath.Join(dir, "cold.json"), result.MaxSlowStartScript); err != nil {
					return err
				}
			}
			shrunk := map[int]bool{}
			for _, find := range result.Broken {
				if shrunk[find.Rule] {
					continue
				}
				shrunk[find.Rule] = true
				smallest := search.Shrink(
					find.Script,
					func(s *scenariofile.Script) bool { return search.Judge(s, options.Simulate(s)).Rule == find.Rule },
					shrink,
				)
				replayed := options.Simulate(smallest)
				fmt.Fprintf(
					out,
					"rule %d, cut down: %d gateways, %d switches, %.1f s, %d troubles: %v\n",
					find.Rule,
					smallest.Gateways.Count,
					smallest.Pools.Count,
					smallest.Length/1000,
					len(smallest.Faults),
					search.Judge(smallest, replayed).What,
				)
				if err := saveScript(filepath.Join(dir, fmt.Sprintf("rule%d-small.json", find.Rule)), smallest); err != nil {
					return err
				}
			}
			for i, find := range result.Worst {
				if i < 3 {
					fmt.Fprintf(
						out,
						"bad service %.3f: seed %d, %d gateways, %d switches, %v\n",
						1-find.Score,
						find.Script.Seed,
						find.Script.Gateways.Count,
						find.Script.Pools.Count,
						scriptFaultKinds(find.Script),
					)
					if err := saveScript(filepath.Join(dir, fmt.Sprintf("service-%d.json", i+1)), find.Script); err != nil {
						return err
					}
				}
			}
			if saveErr != nil {
				return saveErr
			}
			if len(result.Broken) > 0 && module == "brain" {
				return processrun.ErrBroken
			}
			return nil
		},
	}
	c.Flags().IntVar(&options.Days, "days", 1000, "number of days to run")
	c.Flags().Uint64Var(&options.Seed, "seed", 1, "seed of the search")
	c.Flags().BoolVar(&options.Large, "large", false, "generate days of 10 to 40 gateways")
	c.Flags().StringVar(&dir, "dir", "found", "directory for the finds")
	c.Flags().StringVar(&module, "module", "brain", "routing policy: brain, lottery or random")
	c.Flags().IntVar(&shrink, "shrink", 200, "maximum number of days to run while minimising a find")
	return c
}

func scriptFaultKinds(script *scenariofile.Script) []string {
	var kinds []string
	for _, fault := range script.Faults {
		kinds = append(kinds, fault.Kind)
	}
	return kinds
}

func saveScript(file string, script *scenariofile.Script) error {
	data, err := json.MarshalIndent(script, "", " ")
	if err == nil {
		err = os.WriteFile(file, append(data, '\n'), 0o644)
	}
	if err != nil {
		return fmt.Errorf("hunt: %w", err)
	}
	return nil
}
