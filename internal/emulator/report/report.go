// Package report writes runs and comparisons as one self-contained HTML file with plots.
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

// Page is the content of a report.
type Page struct {
	Title string
	Notes []string
	Days  []Day
	Pairs []MetricComparison
}

// Day is one day with its plots.
type Day struct {
	Name  string
	Lines []string
	Plots []Plot
}

// MetricComparison is the comparison of one metric.
type MetricComparison struct {
	Name   string
	Result stats.Paired
}

// Plot is a plot with its title.
type Plot struct {
	Title   string
	drawing *plot.Plot
}

// The size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// SVG returns the plot as an svg element for an HTML page.
func (p Plot) SVG() (template.HTML, error) {
	c := vgsvg.New(plotWidth, plotHeight)
	p.drawing.Draw(draw.New(c))
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

// PNG writes the plot as a PNG file.
func (p Plot) PNG(w io.Writer) error {
	c := vgimg.New(plotWidth, plotHeight)
	p.drawing.Draw(draw.New(c))
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

func newTimePlot(title, yLabel string, series *virtualrun.Series, yMax float64) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", yLabel
	p.Legend.Top, p.Legend.Left = true, false
	p.X.Min, p.X.Max = 0, float64(series.Seconds)*1.16 // room for the legend
	p.Y.Min, p.Y.Max = 0, yMax
	p.Add(plotter.NewGrid())
	for i, fault := range series.Faults { // each fault is a shaded band over its duration, labelled with its kind
		from, to := fault.At/1000, math.Min(float64(series.Seconds), (fault.At+fault.For)/1000)
		if from >= float64(series.Seconds) {
			continue
		}
		box, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: yMax}, {X: from, Y: yMax}})
		if err != nil {
			continue
		}
		box.Color = color.NRGBA{0xff, 0xc1, 0x07, 0x30}
		box.Width = 0
		p.Add(box)
		label, err := plotter.NewLabels(
			plotter.XYLabels{
				XYs:    plotter.XYs{{X: from + 0.2, Y: yMax * (0.02 + 0.07*float64(i%4))}},
				Labels: []string{fault.Kind},
			},
		)
		if err == nil {
			p.Add(label)
		}
	}
	return p
}

// addSeries adds a curve with one sample a second; NaN and infinite samples are gaps.
func addSeries(p *plot.Plot, name string, samples []float64, colourIndex int) {
	var points plotter.XYs
	needsLegend := true
	flush := func() {
		if len(points) == 0 {
			return
		}
		curve, err := plotter.NewLine(points)
		if err == nil {
			curve.Color, curve.Width = colours[colourIndex%len(colours)], vg.Points(1.3)
			p.Add(curve)
			if needsLegend {
				p.Legend.Add(name, curve)
				needsLegend = false
			}
		}
		points = nil
	}
	for i, sample := range samples {
		if math.IsNaN(sample) || math.IsInf(sample, 0) {
			flush()
			continue
		}
		points = append(points, plotter.XY{X: float64(i) + 0.5, Y: sample})
	}
	flush()
}

// axisMax returns the upper end of the y axis: the largest finite sample, at least 1, plus 10 %.
func axisMax(series ...[]float64) float64 {
	yMax := 1.0
	for _, samples := range series {
		for _, sample := range samples {
			if !math.IsNaN(sample) && !math.IsInf(sample, 0) {
				yMax = math.Max(yMax, sample)
			}
		}
	}
	return yMax * 1.1
}

// Plots returns the plots of a run.
func Plots(series *virtualrun.Series) []Plot {
	if series == nil || series.Seconds == 0 {
		return nil
	}
	var plots []Plot
	add := func(title, yLabel string, yMax float64) *plot.Plot {
		p := newTimePlot(title, yLabel, series, yMax)
		plots = append(plots, Plot{title, p})
		return p
	}
	p := add("Service by second of coming (value that stood in time over value offered)", "share", 1.05)
	addSeries(p, "service", series.Service, 0)
	p = add(
		"Contacts that came, and set-ups sent",
		"a second",
		axisMax(series.Arrivals, sumSeries(series.Attempts, series.Seconds)),
	)
	addSeries(p, "callers' first tries", series.Arrivals, 0)
	addSeries(p, "set-ups", sumSeries(series.Attempts, series.Seconds), 1)
	p = add("Wait of contacts that stood, by second of coming", "ms", axisMax(series.P50, series.P95))
	addSeries(p, "p50", series.P50, 0)
	addSeries(p, "p95", series.P95, 1)
	p = add("Set-ups by switch", "a second", axisMax(seriesByKey(series.Attempts)...))
	for i, name := range sortedKeys(series.Attempts) {
		addSeries(p, name, series.Attempts[name], i)
	}
	p = add("Rings by what the switch answered", "a second", axisMax(seriesByKey(series.Outcomes)...))
	for i, name := range sortedKeys(series.Outcomes) {
		addSeries(p, name, series.Outcomes[name], i)
	}
	if len(series.SlowStart) > 0 {
		bySwitch, yMax := map[string]plotter.XYs{}, 1.1
		for _, budget := range series.SlowStart {
			bySwitch[budget.Switch] = append(bySwitch[budget.Switch], plotter.XY{X: budget.At / 1000, Y: budget.Used})
			yMax = math.Max(yMax, budget.Used*1.1)
		}
		p = add("Cold budgets: work of the window that ends here over what is allowed", "1 is the limit", yMax)
		limit, err := plotter.NewLine(plotter.XYs{{X: 0, Y: 1}, {X: float64(series.Seconds), Y: 1}})
		if err == nil {
			limit.Color, limit.Dashes = colours[1], []vg.Length{vg.Points(4), vg.Points(3)}
			p.Add(limit)
			p.Legend.Add("limit", limit)
		}
		for i, name := range sortedKeys(bySwitch) {
			curve, err := plotter.NewLine(bySwitch[name])
			if err == nil {
				curve.Color = colours[(i+2)%len(colours)]
				p.Add(curve)
				p.Legend.Add(name, curve)
			}
		}
	}
	return plots
}

func sortedKeys[V any](m map[string]V) []string {
	var keys []string
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func seriesByKey(m map[string][]float64) [][]float64 {
	var series [][]float64
	for _, key := range sortedKeys(m) {
		series = append(series, m[key])
	}
	return series
}

func sumSeries(m map[string][]float64, seconds int) []float64 {
	sum := make([]float64, seconds)
	for _, samples := range m {
		for i, sample := range samples {
			sum[i] += sample
		}
	}
	return sum
}

// Intervals returns a plot of comparisons: each mean difference with its confidence interval, if that is finite.
func Intervals(pairs []MetricComparison) (Plot, error) {
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
	for i, pair := range pairs {
		y := float64(len(pairs) - 1 - i)
		ticks = append(ticks, plot.Tick{Value: y, Label: pair.Name})
		if math.IsInf(pair.Result.Low, 0) {
			continue
		}
		interval, err := plotter.NewLine(plotter.XYs{{X: pair.Result.Low, Y: y}, {X: pair.Result.High, Y: y}})
		if err != nil {
			return Plot{}, fmt.Errorf("report: intervals: %w", err)
		}
		interval.Width, interval.Color = vg.Points(2), colours[0]
		dot, err := plotter.NewScatter(plotter.XYs{{X: pair.Result.Mean, Y: y}})
		if err != nil {
			return Plot{}, fmt.Errorf("report: intervals: %w", err)
		}
		dot.Color, dot.Radius, dot.Shape = colours[1], vg.Points(3), draw.CircleGlyph{}
		p.Add(interval, dot)
	}
	p.Y.Tick.Marker = plot.ConstantTicks(ticks)
	p.Y.Min, p.Y.Max = -0.5, float64(len(pairs))-0.5
	return Plot{"B less A", p}, nil
}

// Write writes the page as HTML. A report without days and pairs says that nothing was run.
func Write(w io.Writer, page Page) error {
	type dayContent struct {
		Name  string
		Lines []string
		Plots []template.HTML
	}
	data := struct {
		Title     string
		Notes     []string
		Days      []dayContent
		Pairs     []MetricComparison
		Intervals template.HTML
		Empty     bool
	}{Title: page.Title, Notes: page.Notes, Pairs: page.Pairs, Empty: len(page.Days)+len(page.Pairs) == 0}
	for _, day := range page.Days {
		content := dayContent{Name: day.Name, Lines: day.Lines}
		for _, p := range day.Plots {
			svg, err := p.SVG()
			if err != nil {
				return err
			}
			content.Plots = append(content.Plots, svg)
		}
		data.Days = append(data.Days, content)
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
	if err := parsedPage.Execute(w, data); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// pageTemplate is the HTML page that Write fills.
//
//go:embed page.html
var pageTemplate string

var parsedPage = template.Must(template.New("report").Parse(pageTemplate))
