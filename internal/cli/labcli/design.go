package labcli

import (
	"fmt"

	"github.com/spf13/cobra"

	"cobaltpier/api"
	"cobaltpier/internal/emulator/scenario"
	"cobaltpier/internal/router"
	"cobaltpier/internal/routing"
)

func designCmd() *cobra.Command {
	var seeds int
	c := &cobra.Command{
		Use:   "design",
		Short: "Compare a quiet day with the design: first attempts at the destination, and the lottery's shares",
		Args:  cobra.NoArgs,
		Long: `Runs a quiet day in virtual time, once with all switches and once with one that drains, and compares
the traffic with the design: the share of first attempts at the destination, and how often each pool
was drawn against the share of its tickets (total capacity times the square of relative capacity, by
the load reports that each gateway had).`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for seed := 1; seed <= seeds; seed++ {
				for _, draining := range []int{-1, 1} {
					script, err := scenario.BuiltIn("quiet")
					if err != nil {
						return err
					}
					script.Seed = uint64(seed)
					var shares *scenario.Shares
					sim := scenario.New(script, 5060, func(record *api.Record) {
						if shares != nil {
							shares.Add(record)
						}
					})
					shares = scenario.NewShares(sim, draining)
					if draining >= 0 {
						sim.Drain(draining)
					}
					scenario.NewVirtual(sim, func(settings *routing.Settings, host routing.Host) routing.Policy {
						return router.New(settings, host)
					})
					sim.Simulation.Run(script.Length + 10000)
					fmt.Fprintf(cmd.OutOrStdout(), "seed %d, pool that drains: %d (-1: none)\n%s\n", seed, draining, shares)
				}
			}
			return nil
		},
	}
	c.Flags().IntVar(&seeds, "seeds", 1, "number of consecutive seeds; each runs the day twice")
	return c
}
