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
		Short: "Look for days that break a rule or serve callers worst, and cut them down",
		Args:  cobra.NoArgs,
		Long: `Draws small days by chance (sizes, settings, troubles), goes on from the worst by small changes, and
cuts what breaks a rule down to the smallest day that still breaks it. Finds are written at once as
JSON days, which "cobalt-lab fleet FILE" plays again; a hunt that is stopped keeps what it had.
Those in lab/hunt/corpus are played by the tests.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := interruptContext(cmd)
			defer cancel()
			out := cmd.OutOrStdout()
			newPolicy := virtualrun.Module(module)
			if newPolicy == nil {
				return fmt.Errorf("module %q: want brain, lottery or random", module)
			}
			if err := os.MkdirAll(dir, 0o755); err != nil {
				return fmt.Errorf("hunt: %w", err)
			}
			options.Play = func(s *scenariofile.Script) *virtualrun.Result {
				return virtualrun.Play(s, newPolicy, virtualrun.Options{})
			}
			options.Say = func(done int, worst float64) { fmt.Fprintf(out, "%d days, worst service %.3f\n", done, 1-worst) }
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
				100*result.Cold,
			)
			if result.At != nil {
				if err := saveScript(filepath.Join(dir, "cold.json"), result.At); err != nil {
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
					func(s *scenariofile.Script) bool { return search.Judge(s, options.Play(s)).Rule == find.Rule },
					shrink,
				)
				replayed := options.Play(smallest)
				fmt.Fprintf(
					out,
					"rule %d, cut down: %d gateways, %d switches, %.1f s, %d troubles: %v\n",
					find.Rule,
					smallest.Gateways.Count,
					smallest.Pools.Count,
					smallest.Length/1000,
					len(smallest.Troubles),
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
	c.Flags().IntVar(&options.Days, "days", 1000, "days to play")
	c.Flags().Uint64Var(&options.Seed, "seed", 1, "of the hunt")
	c.Flags().BoolVar(&options.Large, "large", false, "days of 10 to 40 gateways")
	c.Flags().StringVar(&dir, "dir", "found", "where finds go")
	c.Flags().StringVar(&module, "module", "brain", "what decides")
	c.Flags().IntVar(&shrink, "shrink", 200, "days played at most to cut a find down")
	return c
}

func scriptFaultKinds(script *scenariofile.Script) []string {
	var kinds []string
	for _, fault := range script.Troubles {
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
