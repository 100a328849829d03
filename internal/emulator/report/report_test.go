package report

import (
	"bytes"
	"context"
	"math"
	"runtime"
	"strings"
	"testing"

	"cobaltpier/internal/emulator/scenario"
	"cobaltpier/internal/emulator/stats"
	"cobaltpier/internal/emulator/virtualrun"
)

// The same seeds give the same captures on one core and on four. The report of those days has all plots and loads
// nothing from the network.
func TestDaysAndPage(t *testing.T) {
	runDays := func(cores int) (sums [3]uint64, last *virtualrun.Result) {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(cores))
		var results [3]*virtualrun.Result
		virtualrun.ForEach(context.Background(), 3, func(i int) {
			script, err := scenario.BuiltIn("plain", "length=\"4s\"", "gateways.count=2")
			if err != nil {
				panic(err)
			}
			script.Seed = uint64(i) + 1
			results[i] = virtualrun.Run(script, virtualrun.PolicyByName("brain"),
				virtualrun.Options{Checksum: true, Series: true})
		})
		for i, res := range results {
			sums[i] = res.Checksum
		}
		return sums, results[2]
	}
	sumsOneCore, _ := runDays(1)
	sumsFourCores, res := runDays(4)
	if sumsOneCore != sumsFourCores || sumsOneCore[0] == sumsOneCore[1] {
		t.Errorf("capture sums: %x on one core, %x on four; want the same, one for each seed",
			sumsOneCore, sumsFourCores)
	}
	var html bytes.Buffer
	page := Page{
		Title: "t",
		Days:  []Day{{Name: "d", Lines: []string{"<x>"}, Plots: Plots(res.Series)}},
		Pairs: []MetricComparison{{"service", stats.Compare([]float64{1, 2, 3}, []float64{2, 3, 5}, 0.95)}},
	}
	if err := Write(&html, page); err != nil {
		t.Fatal(err)
	}
	text := html.String()
	if n := strings.Count(text, "<svg"); n != 6 || strings.Contains(text, "<x>") ||
		strings.Contains(text, "http://") && strings.Contains(text, "src=") {
		t.Errorf("page has %d plots, want 6, or unescaped text or links (%d bytes)", n, len(text))
	}
	for _, p := range Plots(res.Series) {
		var png bytes.Buffer
		if err := p.PNG(&png); err != nil || !bytes.HasPrefix(png.Bytes(), []byte("\x89PNG")) {
			t.Errorf("%s: %v", p.Title, err)
		}
	}
}

// A report without days says so, and a run without calls or seconds can still be reported.
func TestEmpty(t *testing.T) {
	var html bytes.Buffer
	if err := Write(&html, Page{Title: "t"}); err != nil || !strings.Contains(html.String(), "Nothing was run.") {
		t.Errorf("%v: %s", err, html.String())
	}
	if Plots(nil) != nil || len(Plots(&virtualrun.Series{})) != 0 {
		t.Error("plots of a series without seconds, want none")
	}
	script, err := scenario.BuiltIn("plain", "load.rate=0", "length=\"2s\"")
	if err != nil {
		t.Fatal(err)
	}
	res := virtualrun.Run(script, virtualrun.PolicyByName("brain"), virtualrun.Options{Series: true})
	html.Reset()
	if err := Write(&html, Page{Title: "t", Days: []Day{{Name: "none came", Plots: Plots(res.Series)}}}); err != nil {
		t.Error(err)
	}
}

// Student's interval of known differences, and verdicts that claim a difference only beyond the noise.
func TestStats(t *testing.T) {
	paired := stats.Compare([]float64{0, 0, 0, 0}, []float64{1, 2, 3, 4}, 0.95) // sd 1.291, t(3) 3.182
	if math.Abs(paired.Mean-2.5) > 1e-12 || math.Abs(paired.Low-0.446) > 1e-3 || math.Abs(paired.High-4.554) > 1e-3 ||
		paired.Verdict() != "B is higher" {
		t.Errorf("%+v", paired)
	}
	if v := stats.Compare([]float64{0, 0, 0}, []float64{1, -1, 0.1}, 0.95).
		Verdict(); v != "no difference beyond the noise" {
		t.Error(v)
	}
	if v := stats.Compare([]float64{1}, []float64{2}, 0.95).Verdict(); v != "too few days to tell" {
		t.Error(v)
	}
}
