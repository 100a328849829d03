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

// The same seeds give the same captures on one core and on several; the page of those days stands by itself.
func TestDaysAndPage(t *testing.T) {
	play := func(cores int) (sums [3]uint64, last *virtualrun.Result) {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(cores))
		var res [3]*virtualrun.Result
		virtualrun.Each(context.Background(), 3, func(i int) {
			s, err := scenario.Day("plain", "length=\"4s\"", "gateways.count=2")
			if err != nil {
				panic(err)
			}
			s.Seed = uint64(i) + 1
			res[i] = virtualrun.Play(s, virtualrun.Module("brain"), virtualrun.Options{Sum: true, Series: true})
		})
		for i, r := range res {
			sums[i] = r.Sum
		}
		return sums, res[2]
	}
	one, _ := play(1)
	four, r := play(4)
	if one != four || one[0] == one[1] {
		t.Errorf("sums on one core %x, on four %x", one, four)
	}
	var b bytes.Buffer
	page := Page{
		Title: "t",
		Days:  []Day{{Name: "d", Lines: []string{"<x>"}, Plots: Plots(r.Series)}},
		Pairs: []Pair{{"service", stats.Compare([]float64{1, 2, 3}, []float64{2, 3, 5}, 0.95)}},
	}
	if err := Write(&b, page); err != nil {
		t.Fatal(err)
	}
	text := b.String()
	if n := strings.Count(text, "<svg"); n != 6 || strings.Contains(text, "<x>") ||
		strings.Contains(text, "http://") && strings.Contains(text, "src=") {
		t.Errorf("%d pictures in %d bytes", n, len(text))
	}
	for _, p := range Plots(r.Series) {
		var png bytes.Buffer
		if err := p.PNG(&png); err != nil || !bytes.HasPrefix(png.Bytes(), []byte("\x89PNG")) {
			t.Errorf("%s: %v", p.Title, err)
		}
	}
}

// A report of an empty run says so; plots of nothing are none.
func TestEmpty(t *testing.T) {
	var b bytes.Buffer
	if err := Write(&b, Page{Title: "t"}); err != nil || !strings.Contains(b.String(), "Nothing was run.") {
		t.Errorf("%v: %s", err, b.String())
	}
	if Plots(nil) != nil || len(Plots(&virtualrun.Series{})) != 0 {
		t.Error("plots of nothing")
	}
	s, err := scenario.Day("plain", "load.rate=0", "length=\"2s\"")
	if err != nil {
		t.Fatal(err)
	}
	r := virtualrun.Play(s, virtualrun.Module("brain"), virtualrun.Options{Series: true})
	b.Reset()
	if err := Write(&b, Page{Title: "t", Days: []Day{{Name: "none came", Plots: Plots(r.Series)}}}); err != nil {
		t.Error(err)
	}
}

// Student's interval of known differences, and verdicts that say no more than the noise allows.
func TestStats(t *testing.T) {
	p := stats.Compare([]float64{0, 0, 0, 0}, []float64{1, 2, 3, 4}, 0.95) // sd 1.291, t(3) 3.182
	if math.Abs(p.Mean-2.5) > 1e-12 || math.Abs(p.Low-0.446) > 1e-3 || math.Abs(p.High-4.554) > 1e-3 ||
		p.Verdict() != "B is higher" {
		t.Errorf("%+v", p)
	}
	if v := stats.Compare([]float64{0, 0, 0}, []float64{1, -1, 0.1}, 0.95).
		Verdict(); v != "no difference beyond the noise" {
		t.Error(v)
	}
	if v := stats.Compare([]float64{1}, []float64{2}, 0.95).Verdict(); v != "too few days to tell" {
		t.Error(v)
	}
}
