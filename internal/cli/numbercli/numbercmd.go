// Package numbercli implements the number command for number tables, which both programs have.
package numbercli

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"cobaltpier/api"
	"cobaltpier/internal/decision/numberplan"
	"cobaltpier/internal/gateway/gatewayconfig"
	"cobaltpier/internal/gateway/tablestore"
)

// ErrDiffer is returned by the diff command if the tables differ in what they do.
var ErrDiffer = errors.New("the tables differ")

// New returns the number command.
func New() *cobra.Command {
	c := &cobra.Command{Use: "number", Short: "Number tables: check, explain, compare, and change them in service",
		Long: `A number table decides how a dialled number is routed. docs/numbers.md describes its form.

Tables are written in HCL. Large ones are kept in a compact form, which every command here reads as
well: "import" adds the prefixes of a CSV file to a table, "compile" writes the compact form. "put",
"back" and "show" talk to a running gateway, at the address of its setting numbers.admin.`}
	c.AddCommand(check(), explain(), compile(), diff(), importCSV(), put(), back(), show())
	return c
}

func check() *cobra.Command {
	var config string
	c := &cobra.Command{
		Use:     "check TABLE",
		Short:   "Compile a table and report its faults, with file and line",
		Args:    cobra.ExactArgs(1),
		Example: "  cobalt-edge number check staff.hcl --config edge.hcl",
		RunE: func(cmd *cobra.Command, args []string) error {
			t, _, err := tablestore.Load(args[0])
			if err != nil {
				return err
			}
			if config != "" {
				set, err := gatewayconfig.Load(config)
				if err != nil {
					return err
				}
				if err := t.Fits(set.Names()); err != nil {
					return fmt.Errorf("%s: %w", args[0], err)
				}
			}
			for _, w := range t.Warnings {
				fmt.Fprintf(cmd.ErrOrStderr(), "%s: warning: %s\n", args[0], w)
			}
			n := t.Names()
			fmt.Fprintf(
				cmd.OutOrStdout(),
				"%s: table %s, version %d, sum %s, %d prefixes: fine\n  needs skills %v, customers %v, groups %v\n",
				args[0],
				t.Name,
				t.Version,
				t.Sum[:16],
				t.Size(),
				n.Classes,
				n.Tenants,
				n.Groups,
			)
			return nil
		},
	}
	c.Flags().StringVar(
		&config,
		"config",
		"",
		"also check that a gateway with this configuration has everything that the table refers to",
	)
	return c
}

func explain() *cobra.Command {
	var at, ported, to string
	var draw float64
	var silent bool
	command := &cobra.Command{
		Use:   "explain [TABLE] NUMBER",
		Short: "Print each step of a number's analysis with its reason",
		Args:  cobra.RangeArgs(1, 2),
		Example: `  cobalt-lab number explain staff.hcl +14185551234 --at 2026-12-03T14:00:00-05:00 --ported +15145559999
  cobalt-edge number explain +14185551234 --to 127.0.0.1:5090`,
		RunE: func(cmd *cobra.Command, args []string) error {
			now := time.Now()
			var err error
			if at != "" {
				if now, err = time.Parse(time.RFC3339, at); err != nil {
					return fmt.Errorf("--at: %w", err)
				}
			}
			var steps []string
			switch {
			case to != "" && len(args) == 1:
				err = callGateway(cmd.Context(), to, func(ctx context.Context, c api.NumbersClient) error {
					e, err := c.Explain(ctx, &api.ExplainRequest{Number: args[0], AtUnix: now.Unix(), Ported: ported, Silent: silent})
					steps = e.GetSteps()
					return err
				})
			case to == "" && len(args) == 2:
				var t *numberplan.Table
				if t, _, err = tablestore.Load(args[0]); err == nil {
					steps = t.Explain(numberplan.Call{Dialled: args[1], At: now, Draw: draw}, ported, silent)
				}
			default:
				err = errors.New("want a table and a number, or a number and --to")
			}
			for _, s := range steps {
				fmt.Fprintln(cmd.OutOrStdout(), s)
			}
			return err
		},
	}
	command.Flags().StringVar(&at, "at", "", "time of the call, such as 2026-12-03T14:00:00-05:00; empty: now")
	command.Flags().Float64Var(&draw, "draw", 0, "random draw for the choice by weight, from 0 to 1")
	command.Flags().StringVar(&ported, "ported", "", "routing number from the portability look-up; empty: not ported")
	command.Flags().BoolVar(&silent, "silent", false, "the portability look-up gets no answer")
	command.Flags().StringVar(&to, "to", "", "ask the running gateway at this address")
	return command
}

func compile() *cobra.Command {
	var out string
	c := &cobra.Command{
		Use:   "compile TABLE.hcl --out FILE",
		Short: "Check a table and write its compact form",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, form, err := tablestore.Load(args[0])
			if err != nil {
				return err
			}
			return writeCompact(cmd.OutOrStdout(), out, form)
		},
	}
	c.Flags().StringVarP(&out, "out", "o", "", "file for the compact form")
	_ = c.MarkFlagRequired("out")
	return c
}

func writeCompact(w io.Writer, file string, form *api.NumberTable) error {
	b, err := numberplan.Pack(form)
	if err != nil {
		return err
	}
	if strings.HasSuffix(file, ".hcl") {
		return fmt.Errorf("%s: the file name of the compact form must not end in .hcl", file)
	}
	tmp := file + ".new"
	if err := os.WriteFile(tmp, b, 0o644); err != nil {
		return fmt.Errorf("number table: %w", err)
	}
	if err := os.Rename(tmp, file); err != nil { // so that the file is never partly written
		return fmt.Errorf("number table: %w", err)
	}
	fmt.Fprintf(w, "%s: %d octets\n", file, len(b))
	return nil
}

func diff() *cobra.Command {
	var maxChanges int
	c := &cobra.Command{
		Use:   "diff OLD NEW",
		Short: "List the changes between two tables, by what they do",
		Args:  cobra.ExactArgs(2),
		Long: "Lists the changes between two tables, by what they do and not by how they are written. Exit status 0: " +
			"no changes; 1: changes.",
		RunE: func(cmd *cobra.Command, args []string) error {
			var forms [2]*api.NumberTable
			for i, a := range args {
				_, form, err := tablestore.Load(a)
				if err != nil {
					return err
				}
				forms[i] = form
			}
			changes := numberplan.Diff(forms[0], forms[1])
			for i, x := range changes {
				if i == maxChanges {
					fmt.Fprintf(cmd.OutOrStdout(), "and %d more\n", len(changes)-maxChanges)
					break
				}
				fmt.Fprintln(cmd.OutOrStdout(), x)
			}
			if len(changes) > 0 {
				return ErrDiffer
			}
			return nil
		},
	}
	c.Flags().IntVar(&maxChanges, "most", 200, "print at most this many changes")
	return c
}

func importCSV() *cobra.Command {
	var out, plan string
	c := &cobra.Command{
		Use:     "import TABLE PREFIXES.csv --plan PLAN --out FILE",
		Short:   "Add the prefixes of a CSV file, one \"prefix,route\" a line, to a plan",
		Args:    cobra.ExactArgs(2),
		Example: "  cobalt-lab number import staff.hcl ranges.csv --plan exchanges --out staff.table",
		RunE: func(cmd *cobra.Command, args []string) error {
			var form *api.NumberTable
			src, err := os.ReadFile(args[0])
			if err != nil {
				return fmt.Errorf("number table: %w", err)
			}
			if strings.HasSuffix(args[0], ".hcl") {
				_, form, err = numberplan.Parse(args[0], src)
			} else {
				form, err = numberplan.Unpack(src)
			}
			if err != nil {
				return err
			}
			f, err := os.Open(args[1])
			if err != nil {
				return fmt.Errorf("prefixes: %w", err)
			}
			defer f.Close()
			if err := addPrefixes(form, plan, args[1], f); err != nil {
				return err
			}
			if _, err := numberplan.Compile(form); err != nil {
				return err
			}
			return writeCompact(cmd.OutOrStdout(), out, form)
		},
	}
	c.Flags().StringVar(&plan, "plan", "start", "plan that the prefixes are added to")
	c.Flags().StringVarP(&out, "out", "o", "", "file for the compact form")
	_ = c.MarkFlagRequired("out")
	return c
}

// addPrefixes reads "prefix,route" lines and adds one packed rule for each route, in order of first appearance.
func addPrefixes(form *api.NumberTable, plan, name string, r io.Reader) error {
	var target *api.NumberPlan
	for _, p := range form.Plans {
		if p.Name == plan {
			target = p
		}
	}
	if target == nil {
		return fmt.Errorf("%s: no plan %q in the table", name, plan)
	}
	prefixesByRoute, routes := map[string][]string{}, []string{}
	scanner := bufio.NewScanner(r)
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		prefix, route, ok := strings.Cut(text, ",")
		prefix, route = strings.TrimPrefix(strings.TrimSpace(prefix), "+"), strings.TrimSpace(route)
		if !ok || route == "" || prefix == "" || strings.Trim(prefix, "0123456789") != "" {
			return fmt.Errorf("%s:%d: want \"prefix,route\", got %q", name, line, text)
		}
		if prefixesByRoute[route] == nil {
			routes = append(routes, route)
		}
		prefixesByRoute[route] = append(prefixesByRoute[route], prefix)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	for _, route := range routes {
		packed, err := numberplan.PackPrefixes(prefixesByRoute[route])
		if err != nil {
			return fmt.Errorf("%s: route %s: %w", name, route, err)
		}
		target.Rules = append(target.Rules, &api.NumberRule{Packed: packed, Where: name,
			Then: &api.NumberAction{Do: &api.NumberAction_Route{Route: route}}})
	}
	return nil
}

func callGateway(ctx context.Context, address string, call func(context.Context, api.NumbersClient) error) error {
	conn, err := grpc.NewClient(
		address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallSendMsgSize(numberplan.MaxBytes)),
	)
	if err != nil {
		return fmt.Errorf("gateway at %s: %w", address, err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	if err := call(ctx, api.NewNumbersClient(conn)); err != nil {
		return fmt.Errorf("gateway at %s: %s", address, status.Convert(err).Message())
	}
	return nil
}

func printState(cmd *cobra.Command, s *api.TableState) {
	r := s.GetRunning()
	fmt.Fprintf(
		cmd.OutOrStdout(),
		"running: %s version %d, number %d, sum %.16s, %d prefixes; %d contacts still carry %d older tables\n",
		r.GetName(),
		r.GetVersion(),
		r.GetSerial(),
		r.GetSum(),
		r.GetRules(),
		s.GetOldContacts(),
		s.GetOldTables(),
	)
}

func put() *cobra.Command {
	var to, note string
	c := &cobra.Command{
		Use:   "put TABLE --to ADDR",
		Short: "Put a table in service on a running gateway",
		Args:  cobra.ExactArgs(1),
		Long: `Sends a table to a running gateway. The gateway compiles and checks it while the current table stays
in use, stores it and swaps: new calls use it, calls in progress keep theirs to their end. A bad
table has no effect, and the error says why.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			_, form, err := tablestore.Load(args[0])
			if err != nil {
				return err
			}
			b, err := numberplan.Pack(form)
			if err != nil {
				return err
			}
			return callGateway(cmd.Context(), to, func(ctx context.Context, c api.NumbersClient) error {
				s, err := c.Put(ctx, &api.PutTable{Table: b, Note: note})
				if err == nil {
					printState(cmd, s)
				}
				return err
			})
		},
	}
	c.Flags().StringVar(&to, "to", "", "the gateway's numbers.admin address")
	c.Flags().StringVar(&note, "note", "", "note that is stored with the table")
	_ = c.MarkFlagRequired("to")
	return c
}

func back() *cobra.Command {
	var to string
	c := &cobra.Command{
		Use:   "back --to ADDR",
		Short: "Return to the table that ran before the current one",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return callGateway(cmd.Context(), to, func(ctx context.Context, c api.NumbersClient) error {
				s, err := c.Back(ctx, &api.BackRequest{})
				if err == nil {
					printState(cmd, s)
				}
				return err
			})
		},
	}
	c.Flags().StringVar(&to, "to", "", "the gateway's numbers.admin address")
	_ = c.MarkFlagRequired("to")
	return c
}

func show() *cobra.Command {
	var to string
	c := &cobra.Command{Use: "show --to ADDR", Short: "Show the running table and those in the store", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return callGateway(cmd.Context(), to, func(ctx context.Context, c api.NumbersClient) error {
				s, err := c.Show(ctx, &api.ShowRequest{})
				if err != nil {
					return err
				}
				printState(cmd, s)
				for _, k := range s.Kept {
					fmt.Fprintf(
						cmd.OutOrStdout(),
						"%6d  %s  %s version %d, sum %.16s, %d prefixes  %s%s\n",
						k.Serial,
						time.Unix(k.AtUnix, 0).UTC().Format(time.DateTime),
						k.Name,
						k.Version,
						k.Sum,
						k.Rules,
						k.Note,
						map[bool]string{true: "  FAULT: " + k.Fault}[k.Fault != ""],
					)
				}
				return nil
			})
		}}
	c.Flags().StringVar(&to, "to", "", "the gateway's numbers.admin address")
	_ = c.MarkFlagRequired("to")
	return c
}
