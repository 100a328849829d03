package labcli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"cobaltpier/internal/emulator/processrun"
	"cobaltpier/internal/emulator/report"
	"cobaltpier/internal/emulator/scenario"
	"cobaltpier/internal/emulator/scenariofile"
	"cobaltpier/internal/emulator/search"
	"cobaltpier/internal/emulator/stats"
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

// side is one side of a comparison.
type side struct {
	module, program string
	set             []string
}

func (x *side) String() string {
	parts := []string{x.module}
	if x.program != "" {
		parts = append(parts, x.program)
	}
	return strings.Join(append(parts, x.set...), " ")
}

func compare() *cobra.Command {
	var seeds int
	var first uint64
	var confidence float64
	var common []string
	var page, sweep string
	a, b := &side{}, &side{}
	c := &cobra.Command{
		Use:   "compare DAY",
		Short: "Two settings, modules or builds on the same seeds: differences with intervals",
		Args:  cobra.ExactArgs(1),
		Long: `Plays the same days with two sides and takes the differences day by day, with the interval that
holds the true mean. It says that a side is higher only where the interval does not hold nought. A
side is a module (--a, --b), changed settings (--a-set, --b-set), another build of cobalt-lab
(--a-program, --b-program), or all of them. --sweep plays one setting at several values against A.`,
		Example: "  cobalt-lab compare trouble --b lottery --seeds 10\n  cobalt-lab compare trouble --b-set " +
			"gateways.may_cancel=false --seeds 20 --report cancel.html\n" +
			"  cobalt-lab compare trouble --sweep net.loss=0,0.01,0.05 --seeds 8",
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := interrupted(cmd)
			defer cancel()
			out := cmd.OutOrStdout()
			sides := []*side{b}
			if sweep != "" {
				name, values, ok := strings.Cut(sweep, "=")
				if !ok {
					return fmt.Errorf("sweep %q: want NAME=VALUE,VALUE and so on", sweep)
				}
				sides = nil
				for _, v := range strings.Split(values, ",") {
					sides = append(
						sides,
						&side{module: b.module, program: b.program, set: append(append([]string{}, b.set...), name+"="+v)},
					)
				}
			}
			doc := report.Page{
				Title: "Comparison on days of " + args[0],
				Notes: []string{"Figures are of simulated switches. A: " + a.String()},
			}
			base, err := playSide(ctx, out, args[0], a, common, first, seeds)
			if err != nil {
				return err
			}
			for _, x := range sides {
				other, err := playSide(ctx, out, args[0], x, common, first, seeds)
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "A: %s\nB: %s\n", a, x)
				for i, name := range figureNames {
					var va, vb []float64
					for k := range min(len(base), len(other)) {
						va, vb = append(va, base[k].list()[i]), append(vb, other[k].list()[i])
					}
					p := stats.Compare(va, vb, confidence)
					fmt.Fprintf(out, "  %-24s %s\n", name, p)
					label := name
					if len(sides) > 1 {
						label += " (" + x.set[len(x.set)-1] + ")"
					}
					if i < 4 {
						doc.Pairs = append(doc.Pairs, report.Pair{Name: label, Result: p})
					}
				}
				doc.Notes = append(doc.Notes, "B: "+x.String())
			}
			return write(page, "", doc)
		},
	}
	f := c.Flags()
	f.IntVar(&seeds, "seeds", 8, "so many days, with seeds one after the other")
	f.Uint64Var(&first, "seed", 1, "the first seed")
	f.Float64Var(&confidence, "confidence", 0.95, "of the intervals")
	f.StringVar(&a.module, "a", "brain", "module of side A")
	f.StringVar(&b.module, "b", "brain", "module of side B")
	f.StringArrayVar(&a.set, "a-set", nil, "setting of side A, such as gateways.count=20")
	f.StringArrayVar(&b.set, "b-set", nil, "setting of side B")
	f.StringVar(&a.program, "a-program", "", "another build of cobalt-lab for side A")
	f.StringVar(&b.program, "b-program", "", "another build of cobalt-lab for side B")
	f.StringArrayVar(&common, "set", nil, "setting of both sides")
	f.StringVar(&sweep, "sweep", "", "NAME=VALUE,VALUE,...: side B once for each value")
	f.StringVar(&page, "report", "", "write an HTML page to this file")
	return c
}

// playSide plays the days of one side and returns their figures in the order of their seeds.
func playSide(
	ctx context.Context,
	out io.Writer,
	name string,
	x *side,
	common []string,
	first uint64,
	seeds int,
) ([]*figures, error) {
	set := append(append([]string{}, common...), x.set...)
	if x.program != "" {
		args := []string{
			"fleet",
			name,
			"--json",
			"--seeds",
			fmt.Sprint(seeds),
			"--seed",
			fmt.Sprint(first),
			"--module",
			x.module,
		}
		for _, v := range set {
			args = append(args, "--set", v)
		}
		text, err := exec.CommandContext(ctx, x.program, args...).Output()
		if err != nil && len(text) == 0 {
			return nil, fmt.Errorf("%s: %w", x.program, err)
		}
		var of []*figures
		for dec := json.NewDecoder(strings.NewReader(string(text))); dec.More(); {
			f := &figures{}
			if err := dec.Decode(f); err != nil {
				return nil, fmt.Errorf("%s: %w", x.program, err)
			}
			of = append(of, f)
		}
		return of, nil
	}
	s, err := scenario.Load(name, set...)
	if err != nil {
		return nil, err
	}
	mk := virtualrun.Module(x.module)
	if mk == nil {
		return nil, fmt.Errorf("module %q: want brain, lottery or random", x.module)
	}
	of := make([]*figures, seeds)
	if !virtualrun.Each(ctx, seeds, func(i int) {
		d := *s
		d.Seed = first + uint64(i)
		of[i] = figuresOf(d.Seed, virtualrun.Play(&d, mk, virtualrun.Options{}))
	}) {
		return nil, ctx.Err()
	}
	for _, f := range of {
		if f.Broken > 0 && x.module == "brain" {
			fmt.Fprintf(out, "%s: seed %d breaks a rule %d times\n", x, f.Seed, f.Broken)
		}
	}
	return of, nil
}

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
