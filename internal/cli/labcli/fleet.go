package labcli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"cobaltpier/internal/emulator/processrun"
	"cobaltpier/internal/emulator/report"
	"cobaltpier/internal/emulator/scenario"
	"cobaltpier/internal/emulator/scenariofile"
	"cobaltpier/internal/emulator/virtualrun"
)

// figures are what days are compared by, higher being better but for waits and cold use.
type figures struct {
	Seed                                uint64
	Whole, Worst10s, Skill, Customer    float64
	Late, Cut, Unserved, P50, P99, Cold float64
	Broken                              int
	Sum                                 string
}

var figureNames = []string{
	"service, whole day",
	"service, worst 10 s",
	"service, worst skill",
	"service, worst customer",
	"late",
	"cut",
	"unserved",
	"wait p50, ms",
	"wait p99, ms",
	"cold budget used",
}

func (f *figures) list() []float64 {
	return []float64{f.Whole, f.Worst10s, f.Skill, f.Customer, f.Late, f.Cut, f.Unserved, f.P50, f.P99, f.Cold}
}

func figuresOf(seed uint64, r *virtualrun.Result) *figures {
	s := r.Service
	return &figures{
		Seed:     seed,
		Whole:    s.Total,
		Worst10s: s.Worst10s,
		Skill:    s.ClassShare,
		Customer: s.TenantShare,
		Late:     float64(s.Late),
		Cut:      float64(s.Dropped),
		Unserved: float64(s.Unserved),
		P50:      at(s.Waits, 0.5),
		P99:      at(s.Waits, 0.99),
		Cold:     r.Totals.SlowStartUse,
		Broken:   len(r.Findings),
		Sum:      fmt.Sprintf("%016x", r.Sum),
	}
}

func interrupted(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
}

func fleetCmd() *cobra.Command {
	var seeds int
	var first uint64
	var module, page, pictures, calls string
	var asJSON bool
	var set []string
	c := &cobra.Command{
		Use:   "fleet DAY",
		Short: "Play days in virtual time, any number of gateways, several days at once",
		Args:  cobra.ExactArgs(1),
		Long: `Plays days in virtual time: the same edges and switches as on sockets, driven by one scheduler. The
same seed gives the same capture to the byte (the sum that is printed), on any number of cores.`,
		Example: "  cobalt-lab fleet large --report day.html\n  cobalt-lab fleet trouble --seeds 20 --set " +
			"gateways.count=64 --set load.rate=300",
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := interrupted(cmd)
			defer cancel()
			s, err := scenario.Load(args[0], set...)
			if err != nil {
				return err
			}
			mk := virtualrun.Module(module)
			if mk == nil {
				return fmt.Errorf("module %q: want brain, lottery or random", module)
			}
			if first > 0 {
				s.Seed = first
			}
			if err := replay(s, calls); err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			res := make([]*virtualrun.Result, seeds)
			begin := time.Now()
			virtualrun.Each(ctx, seeds, func(i int) {
				d := *s
				d.Seed = s.Seed + uint64(i)
				res[i] = virtualrun.Play(&d, mk, virtualrun.Options{Series: page != "" || pictures != "", Sum: true})
			})
			spent := time.Since(begin)
			if !asJSON {
				fmt.Fprintf(out, "%5s  %s  %16s  %s\n", "seed", serviceHead, "sum", "took")
			}
			broken, callers := false, 0
			doc := report.Page{Title: "Days of " + s.Name, Notes: []string{"Figures are of simulated switches.", describe(s)}}
			for i, r := range res {
				if r == nil {
					continue
				}
				seed := s.Seed + uint64(i)
				callers += r.Totals.Calls
				broken = broken || module == "brain" && len(r.Findings) > 0
				if asJSON {
					if err := json.NewEncoder(out).Encode(figuresOf(seed, r)); err != nil {
						return fmt.Errorf("fleet: %w", err)
					}
					continue
				}
				row := line(&processrun.Result{Service: r.Service, Findings: r.Findings, Totals: r.Totals})
				fmt.Fprintf(out, "%5d  %s  %016x  %s\n", seed, row, r.Sum, r.Elapsed.Round(10*time.Millisecond))
				d := report.Day{
					Name:  fmt.Sprintf("%s, seed %d", s.Name, seed),
					Lines: []string{serviceHead, row},
					Plots: report.Plots(r.Series),
				}
				for k, f := range r.Findings {
					if k < 5 {
						fmt.Fprintln(out, "  ", f)
						d.Lines = append(d.Lines, f.String())
					}
				}
				doc.Days = append(doc.Days, d)
			}
			if !asJSON {
				fmt.Fprintf(
					out,
					"%d contacts in %s: %.0f a second of real time\n",
					callers,
					spent.Round(time.Millisecond),
					float64(callers)/spent.Seconds(),
				)
			}
			if err := write(page, pictures, doc); err != nil {
				return err
			}
			if broken {
				return processrun.ErrBroken
			}
			return ctx.Err()
		},
	}
	c.Flags().IntVar(&seeds, "seeds", 1, "so many days, with seeds one after the other")
	c.Flags().Uint64Var(&first, "seed", 0, "the first seed, in place of the script's")
	c.Flags().StringVar(&module, "module", "brain", "what decides: brain, or the baselines lottery and random")
	c.Flags().StringVar(&page, "report", "", "write an HTML page with plots to this file")
	c.Flags().StringVar(&pictures, "pictures", "", "write the plots as PNG files into this folder")
	c.Flags().StringVar(
		&calls,
		"trace",
		"",
		"replay the calls of this trace in place of the script's load; nobody dials again",
	)
	c.Flags().BoolVar(&asJSON, "json", false, "a line of JSON for each day")
	c.Flags().StringArrayVar(&set, "set", nil, "change a value of the script, such as pools.count=6")
	return c
}

func describe(s *scenariofile.Script) string {
	return fmt.Sprintf(
		"%d gateways, %d switches, %g contacts a second for %s.",
		s.Gateways.Count,
		s.Pools.Count,
		s.Load.Rate,
		time.Duration(s.Length*1e6),
	)
}

// write writes a report and its pictures, where they are wanted.
func write(page, pictures string, doc report.Page) error {
	if page != "" {
		f, err := os.Create(page)
		if err != nil {
			return fmt.Errorf("report: %w", err)
		}
		if err := report.Write(f, doc); err != nil {
			f.Close()
			return err
		}
		if err := f.Close(); err != nil {
			return fmt.Errorf("report: %w", err)
		}
	}
	if pictures == "" {
		return nil
	}
	if err := os.MkdirAll(pictures, 0o755); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	for i, d := range doc.Days {
		for j, p := range d.Plots {
			f, err := os.Create(filepath.Join(pictures, fmt.Sprintf("day%d-%d.png", i+1, j+1)))
			if err != nil {
				return fmt.Errorf("report: %w", err)
			}
			if err := p.PNG(f); err != nil {
				f.Close()
				return err
			}
			if err := f.Close(); err != nil {
				return fmt.Errorf("report: %w", err)
			}
		}
	}
	return nil
}
