package labcli

import (
	"fmt"
	"io"
	"sort"

	"cobaltpier/internal/emulator/processrun"
)

func printDay(out io.Writer, res *processrun.Result) {
	service := res.Service
	fmt.Fprintf(out, "\nService, of simulated switches (value that stood in time and was not cut, over value offered):\n")
	fmt.Fprintf(
		out,
		"  whole day        %.3f\n  worst 10 s       %.3f\n  worst skill      %.3f  %s\n  worst customer   %.3f  %s\n",
		service.Total,
		service.Worst10s,
		service.ClassShare,
		service.WorstClass,
		service.TenantShare,
		service.WorstTenant,
	)
	fmt.Fprintf(
		out,
		"  callers          %d: %d stood in time, %d late, %d cut, %d unserved\n",
		service.Arrived,
		service.Answered,
		service.Late,
		service.Dropped,
		service.Unserved,
	)
	fmt.Fprintf(
		out,
		"  waits            p50 %.0f ms, p99 %.0f ms\n",
		quantile(service.Waits, 0.5),
		quantile(service.Waits, 0.99),
	)
	fmt.Fprintf(
		out,
		"  on the wire      %d datagrams, %d contacts, %d rings, %d repeats\n",
		res.Totals.Datagrams,
		res.Totals.Calls,
		res.Totals.Attempts,
		res.Totals.Retransmissions,
	)
	if res.ClockLag > 0 {
		fmt.Fprintf(
			out,
			"  stand-ins        at most %.0f ms behind the clock, %d datagrams lost by sockets\n",
			res.ClockLag,
			res.DatagramsLost,
		)
	}
	fmt.Fprintf(out, "\nThe five rules, judged from the traffic:\n")
	var byRule [6]int
	for _, finding := range res.Findings {
		byRule[finding.Rule]++
	}
	for i := 1; i <= 5; i++ {
		verdict := "kept"
		if byRule[i] > 0 {
			verdict = fmt.Sprintf("BROKEN %d times", byRule[i])
		}
		if i == 4 {
			verdict += fmt.Sprintf(" (budget used to %.0f %%)", 100*res.Totals.SlowStartUse)
		}
		fmt.Fprintf(out, "  %d %-60s %s\n", i, ruleNames[i], verdict)
	}
	for i, finding := range res.Findings {
		if i < 10 {
			fmt.Fprintln(out, "    ", finding)
		}
	}
	if kiosks := res.Kiosks; kiosks.Lookups > 0 {
		sort.Float64s(kiosks.Waits)
		fmt.Fprintf(
			out,
			"\nKiosks: %d came and asked by ENUM, %d times; %d had a switch named, %d of them stood, %d were cut; %d "+
				"questions had no answer\n  from coming to the name: p50 %.0f ms, p99 %.0f ms\n",
			kiosks.Lookups,
			res.Totals.Queries,
			kiosks.Named,
			kiosks.Established,
			kiosks.Dropped,
			kiosks.Silent,
			quantile(kiosks.Waits, 0.5),
			quantile(kiosks.Waits, 0.99),
		)
	}
	if tables := res.Tables; tables != nil {
		verdict := "all"
		if count := len(tables.Findings); count > 0 {
			verdict = fmt.Sprintf("NOT %d of them", count)
		}
		fmt.Fprintf(
			out,
			"\nNumbers: %d contacts were set up by %d tables, %s wholly by one that was in force when they came\n",
			tables.Calls,
			tables.Versions,
			verdict,
		)
		if tables.Records > 0 {
			fmt.Fprintf(out, "  the records of %d of them were held against the wire\n", tables.Records)
		}
		for i, finding := range tables.Findings {
			if i < 10 {
				fmt.Fprintln(out, "    ", finding)
			}
		}
	}
	for _, failure := range res.GatewayFailures {
		fmt.Fprintln(out, "  gateway ended badly:", failure)
	}
	if res.Broken() && res.Dir != "" {
		fmt.Fprintln(out, "  settings and logs of the gateways are in", res.Dir)
	}
}
