package labcmd

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"cobaltpier/number"
)

func numberCmd() *cobra.Command {
	c := &cobra.Command{Use: "number", Short: "Check number tables, and explain what becomes of a number"}
	c.AddCommand(&cobra.Command{Use: "check TABLE.hcl", Short: "Compile a table and say what is wrong with it, with file and line", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			t, _, err := number.Load(args[0])
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: table %s, version %d, sum %s, %d rules: fine\n", args[0], t.Name, t.Version, t.Sum, t.Size())
			}
			return err
		}})
	var at, ported string
	var draw float64
	var silent bool
	x := &cobra.Command{Use: "explain TABLE.hcl NUMBER", Short: "Print each step of a number's analysis and why", Args: cobra.ExactArgs(2),
		Example: "  cobalt-lab number explain staff.hcl +14185551234 --at 2026-12-03T14:00:00-05:00 --ported +15145559999",
		RunE: func(cmd *cobra.Command, args []string) error {
			t, _, err := number.Load(args[0])
			if err != nil {
				return err
			}
			now := time.Now()
			if at != "" {
				if now, err = time.Parse(time.RFC3339, at); err != nil {
					return fmt.Errorf("--at: %w", err)
				}
			}
			a, o := t.Begin(number.Call{Dialled: args[1], At: now, Draw: draw, Explain: true})
			if o.Ask != "" {
				what := number.NotPorted
				switch {
				case ported != "":
					what = number.Ported
				case silent:
					what = number.Silent
				}
				o = a.Answered(what, ported)
			}
			for _, s := range a.Steps {
				fmt.Fprintln(cmd.OutOrStdout(), s)
			}
			return nil
		}}
	x.Flags().StringVar(&at, "at", "", "time, such as 2026-12-03T14:00:00-05:00; empty: now")
	x.Flags().Float64Var(&draw, "draw", 0, "0 to 1, for weights")
	x.Flags().StringVar(&ported, "ported", "", "portability's answer: this routing number; empty: not ported")
	x.Flags().BoolVar(&silent, "silent", false, "portability does not answer")
	c.AddCommand(x)
	return c
}
