// Package report draws days and comparisons into one HTML file that opens without a network.
package report

//tally:standin

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"cobaltpier/internal/emulator/stats"
	"cobaltpier/internal/emulator/virtualrun"
)

// Page is a report.
type Page struct {
	Title string
	Notes []string
	Days  []Day
	Pairs []Pair
}

// Day is one day with its plots.
type Day struct {
	Name  string
	Lines []string
	Plots []Plot
}

// Pair is a comparison of one figure.
type Pair struct {
	Name   string
	Result stats.Paired
}

// Plot is a picture.
type Plot struct {
	Title string
	p     *plot.Plot
}

// Sizes of a picture.
const (
	wide = 24 * vg.Centimeter
	high = 7 * vg.Centimeter
)

// SVG is the picture as text to stand in a page.
func (p Plot) SVG() (template.HTML, error) {
	c := vgsvg.New(wide, high)
	p.p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", fmt.Errorf("report: %s: %w", p.Title, err)
	}
	text := b.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 {
		text = text[i:]
	}
	return template.HTML(text), nil
}

// PNG writes the picture as a file of its own.
func (p Plot) PNG(w io.Writer) error {
	c := vgimg.New(wide, high)
	p.p.Draw(draw.New(c))
	if _, err := (vgimg.PngCanvas{Canvas: c}).WriteTo(w); err != nil {
		return fmt.Errorf("report: %s: %w", p.Title, err)
	}
	return nil
}

var colours = []color.RGBA{
	{0x1f, 0x77, 0xb4, 255},
	{0xd6, 0x27, 0x28, 255},
	{0x2c, 0xa0, 0x2c, 255},
	{0xff, 0x7f, 0x0e, 255},
	{0x94, 0x67, 0xbd, 255},
	{
		0x8c,
		0x56,
		0x4b,
		255,
	},
	{0xe3, 0x77, 0xc2, 255},
	{0x55, 0x55, 0x55, 255},
	{0xbc, 0xbd, 0x22, 255},
	{0x17, 0xbe, 0xcf, 255},
}

func base(title, y string, s *virtualrun.Series, top float64) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", y
	p.Legend.Top, p.Legend.Left = true, false
	p.X.Min, p.X.Max = 0, float64(s.Seconds)*1.16 // room for the legend
	p.Y.Min, p.Y.Max = 0, top
	p.Add(plotter.NewGrid())
	for i, t := range s.Faults { // marked on the time axis
		a, b := t.At/1000, math.Min(float64(s.Seconds), (t.At+t.For)/1000)
		if a >= float64(s.Seconds) {
			continue
		}
		box, err := plotter.NewPolygon(plotter.XYs{{X: a, Y: 0}, {X: b, Y: 0}, {X: b, Y: top}, {X: a, Y: top}})
		if err != nil {
			continue
		}
		box.Color = color.NRGBA{0xff, 0xc1, 0x07, 0x30}
		box.Width = 0
		p.Add(box)
		label, err := plotter.NewLabels(
			plotter.XYLabels{XYs: plotter.XYs{{X: a + 0.2, Y: top * (0.02 + 0.07*float64(i%4))}}, Labels: []string{t.Kind}},
		)
		if err == nil {
			p.Add(label)
		}
	}
	return p
}

// line adds a series, second by second; gaps where it is NaN.
func line(p *plot.Plot, name string, v []float64, colour int) {
	var pts plotter.XYs
	first := true
	flush := func() {
		if len(pts) == 0 {
			return
		}
		l, err := plotter.NewLine(pts)
		if err == nil {
			l.Color, l.Width = colours[colour%len(colours)], vg.Points(1.3)
			p.Add(l)
			if first {
				p.Legend.Add(name, l)
				first = false
			}
		}
		pts = nil
	}
	for i, x := range v {
		if math.IsNaN(x) || math.IsInf(x, 0) {
			flush()
			continue
		}
		pts = append(pts, plotter.XY{X: float64(i) + 0.5, Y: x})
	}
	flush()
}

func most(of ...[]float64) float64 {
	top := 1.0
	for _, v := range of {
		for _, x := range v {
			if !math.IsNaN(x) && !math.IsInf(x, 0) {
				top = math.Max(top, x)
			}
		}
	}
	return top * 1.1
}

// Plots are the pictures of a day.
func Plots(s *virtualrun.Series) []Plot {
	if s == nil || s.Seconds == 0 {
		return nil
	}
	var of []Plot
	add := func(title, y string, top float64) *plot.Plot {
		p := base(title, y, s, top)
		of = append(of, Plot{title, p})
		return p
	}
	p := add("Service by second of coming (value that stood in time over value offered)", "share", 1.05)
	line(p, "service", s.Service, 0)
	p = add("Contacts that came, and set-ups sent", "a second", most(s.Arrivals, total(s.Attempts, s.Seconds)))
	line(p, "callers' first tries", s.Arrivals, 0)
	line(p, "set-ups", total(s.Attempts, s.Seconds), 1)
	p = add("Wait of contacts that stood, by second of coming", "ms", most(s.P50, s.P95))
	line(p, "p50", s.P50, 0)
	line(p, "p95", s.P95, 1)
	p = add("Set-ups by switch", "a second", most(values(s.Attempts)...))
	for i, k := range keys(s.Attempts) {
		line(p, k, s.Attempts[k], i)
	}
	p = add("Rings by what the switch answered", "a second", most(values(s.Outcomes)...))
	for i, k := range keys(s.Outcomes) {
		line(p, k, s.Outcomes[k], i)
	}
	if len(s.SlowStart) > 0 {
		by, top := map[string]plotter.XYs{}, 1.1
		for _, c := range s.SlowStart {
			by[c.Switch] = append(by[c.Switch], plotter.XY{X: c.At / 1000, Y: c.Used})
			top = math.Max(top, c.Used*1.1)
		}
		p = add("Cold budgets: work of the window that ends here over what is allowed", "1 is the limit", top)
		limit, err := plotter.NewLine(plotter.XYs{{X: 0, Y: 1}, {X: float64(s.Seconds), Y: 1}})
		if err == nil {
			limit.Color, limit.Dashes = colours[1], []vg.Length{vg.Points(4), vg.Points(3)}
			p.Add(limit)
			p.Legend.Add("limit", limit)
		}
		for i, k := range keys(by) {
			l, err := plotter.NewLine(by[k])
			if err == nil {
				l.Color = colours[(i+2)%len(colours)]
				p.Add(l)
				p.Legend.Add(k, l)
			}
		}
	}
	return of
}

func keys[V any](m map[string]V) []string {
	var of []string
	for k := range m {
		of = append(of, k)
	}
	slices.Sort(of)
	return of
}

func values(m map[string][]float64) [][]float64 {
	var of [][]float64
	for _, k := range keys(m) {
		of = append(of, m[k])
	}
	return of
}

func total(m map[string][]float64, n int) []float64 {
	sum := make([]float64, n)
	for _, v := range m {
		for i, x := range v {
			sum[i] += x
		}
	}
	return sum
}

// Intervals is a picture of comparisons: each mean difference with its interval.
func Intervals(pairs []Pair) (Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text = "B less A, with intervals", "difference"
	p.Y.Tick.Marker = plot.ConstantTicks(nil)
	var ticks []plot.Tick
	zero, err := plotter.NewLine(plotter.XYs{{X: 0, Y: -0.5}, {X: 0, Y: float64(len(pairs)) - 0.5}})
	if err != nil {
		return Plot{}, fmt.Errorf("report: intervals: %w", err)
	}
	zero.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
	p.Add(zero)
	for i, x := range pairs {
		y := float64(len(pairs) - 1 - i)
		ticks = append(ticks, plot.Tick{Value: y, Label: x.Name})
		if math.IsInf(x.Result.Low, 0) {
			continue
		}
		bar, err := plotter.NewLine(plotter.XYs{{X: x.Result.Low, Y: y}, {X: x.Result.High, Y: y}})
		if err != nil {
			return Plot{}, fmt.Errorf("report: intervals: %w", err)
		}
		bar.Width, bar.Color = vg.Points(2), colours[0]
		dot, err := plotter.NewScatter(plotter.XYs{{X: x.Result.Mean, Y: y}})
		if err != nil {
			return Plot{}, fmt.Errorf("report: intervals: %w", err)
		}
		dot.Color, dot.Radius, dot.Shape = colours[1], vg.Points(3), draw.CircleGlyph{}
		p.Add(bar, dot)
	}
	p.Y.Tick.Marker = plot.ConstantTicks(ticks)
	p.Y.Min, p.Y.Max = -0.5, float64(len(pairs))-0.5
	return Plot{"B less A", p}, nil
}

// Write writes the page. A report of nothing says so.
func Write(w io.Writer, page Page) error {
	type shown struct {
		Name  string
		Lines []string
		Plots []template.HTML
	}
	data := struct {
		Title     string
		Notes     []string
		Days      []shown
		Pairs     []Pair
		Intervals template.HTML
		Empty     bool
	}{Title: page.Title, Notes: page.Notes, Pairs: page.Pairs, Empty: len(page.Days)+len(page.Pairs) == 0}
	for _, d := range page.Days {
		x := shown{Name: d.Name, Lines: d.Lines}
		for _, p := range d.Plots {
			svg, err := p.SVG()
			if err != nil {
				return err
			}
			x.Plots = append(x.Plots, svg)
		}
		data.Days = append(data.Days, x)
	}
	if len(page.Pairs) > 0 {
		p, err := Intervals(page.Pairs)
		if err != nil {
			return err
		}
		if data.Intervals, err = p.SVG(); err != nil {
			return err
		}
	}
	if err := sheet.Execute(w, data); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// pageTemplate is the HTML page that Write fills.
//
//go:embed page.html
var pageTemplate string

var sheet = template.Must(template.New("report").Parse(pageTemplate))
