package labcli

import (
	"fmt"

	"github.com/spf13/cobra"

	"cobaltpier/api"
	"cobaltpier/internal/emulator/scenario"
	"cobaltpier/internal/router"
	"cobaltpier/internal/routing"
)

func design() *cobra.Command {
	var seeds int
	c := &cobra.Command{
		Use:   "design",
		Short: "Compare a quiet day with the design: destination first, and the lottery's shares",
		Args:  cobra.NoArgs,
		Long: `Plays a quiet day in virtual time, once with all switches and once with one that drains, and
compares the traffic with the design: the share of first rings at the destination, and how often
each pool was drawn beside what its tickets (total capacity times the square of relative capacity,
by the reports that each gateway had) make.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for seed := 1; seed <= seeds; seed++ {
				for _, away := range []int{-1, 1} {
					s, err := scenario.Day("quiet")
					if err != nil {
						return err
					}
					s.Seed = uint64(seed)
					var shares *scenario.Shares
					st := scenario.New(s, 5060, func(r *api.Record) {
						if shares != nil {
							shares.Add(r)
						}
					})
					shares = scenario.NewShares(st, away)
					if away >= 0 {
						st.Drain(away)
					}
					scenario.NewVirtual(st, func(set *routing.Settings, h routing.Host) routing.Policy { return router.New(set, h) })
					st.World.Run(s.Length + 10000)
					fmt.Fprintf(cmd.OutOrStdout(), "seed %d, pool that drains: %d (-1: none)\n%s\n", seed, away, shares)
				}
			}
			return nil
		},
	}
	c.Flags().IntVar(&seeds, "seeds", 1, "so many days")
	return c
}
