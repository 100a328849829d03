package labcli

import (
	"fmt"
	"io"
	"sort"

	"cobaltpier/internal/emulator/processrun"
)

func tell(out io.Writer, r *processrun.Result) {
	s := r.Service
	fmt.Fprintf(out, "\nService, of simulated switches (value that stood in time and was not cut, over value offered):\n")
	fmt.Fprintf(
		out,
		"  whole day        %.3f\n  worst 10 s       %.3f\n  worst skill      %.3f  %s\n  worst customer   %.3f  %s\n",
		s.Total,
		s.Worst10s,
		s.ClassShare,
		s.WorstClass,
		s.TenantShare,
		s.WorstTenant,
	)
	fmt.Fprintf(
		out,
		"  callers          %d: %d stood in time, %d late, %d cut, %d unserved\n",
		s.Arrived,
		s.Answered,
		s.Late,
		s.Dropped,
		s.Unserved,
	)
	fmt.Fprintf(out, "  waits            p50 %.0f ms, p99 %.0f ms\n", at(s.Waits, 0.5), at(s.Waits, 0.99))
	fmt.Fprintf(
		out,
		"  on the wire      %d datagrams, %d contacts, %d rings, %d repeats\n",
		r.Totals.Datagrams,
		r.Totals.Calls,
		r.Totals.Attempts,
		r.Totals.Retransmissions,
	)
	if r.Late > 0 {
		fmt.Fprintf(
			out,
			"  stand-ins        at most %.0f ms behind the clock, %d datagrams lost by sockets\n",
			r.Late,
			r.Lost,
		)
	}
	fmt.Fprintf(out, "\nThe five rules, judged from the traffic:\n")
	var n [6]int
	for _, f := range r.Findings {
		n[f.Rule]++
	}
	for i := 1; i <= 5; i++ {
		verdict := "kept"
		if n[i] > 0 {
			verdict = fmt.Sprintf("BROKEN %d times", n[i])
		}
		if i == 4 {
			verdict += fmt.Sprintf(" (budget used to %.0f %%)", 100*r.Totals.SlowStartUse)
		}
		fmt.Fprintf(out, "  %d %-60s %s\n", i, ruleNames[i], verdict)
	}
	for i, f := range r.Findings {
		if i < 10 {
			fmt.Fprintln(out, "    ", f)
		}
	}
	if s := r.Kiosks; s.Visits > 0 {
		sort.Float64s(s.Waits)
		fmt.Fprintf(
			out,
			"\nKiosks: %d came and asked by ENUM, %d times; %d had a switch named, %d of them stood, %d were cut; %d "+
				"questions had no answer\n  from coming to the name: p50 %.0f ms, p99 %.0f ms\n",
			s.Visits,
			r.Totals.Queries,
			s.Named,
			s.Stood,
			s.Cut,
			s.Silent,
			at(s.Waits, 0.5),
			at(s.Waits, 0.99),
		)
	}
	if t := r.Tables; t != nil {
		verdict := "all"
		if n := len(t.Findings); n > 0 {
			verdict = fmt.Sprintf("NOT %d of them", n)
		}
		fmt.Fprintf(
			out,
			"\nNumbers: %d contacts were set up by %d tables, %s wholly by one that was in force when they came\n",
			t.Calls,
			t.Versions,
			verdict,
		)
		if t.Records > 0 {
			fmt.Fprintf(out, "  the records of %d of them were held against the wire\n", t.Records)
		}
		for i, f := range t.Findings {
			if i < 10 {
				fmt.Fprintln(out, "    ", f)
			}
		}
	}
	for _, e := range r.Exits {
		fmt.Fprintln(out, "  gateway ended badly:", e)
	}
	if r.Broken() && r.Dir != "" {
		fmt.Fprintln(out, "  settings and logs of the gateways are in", r.Dir)
	}
}
