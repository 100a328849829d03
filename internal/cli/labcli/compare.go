package labcli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/exec"
	"strings"

	"github.com/spf13/cobra"

	"cobaltpier/internal/emulator/report"
	"cobaltpier/internal/emulator/scenario"
	"cobaltpier/internal/emulator/stats"
	"cobaltpier/internal/emulator/virtualrun"
)

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
