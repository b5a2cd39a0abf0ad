package lab

import (
	"image/color"
	"maps"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
)

var palette = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
	color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
	color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff},
}

var shapes = []draw.GlyphDrawer{draw.CircleGlyph{}, draw.CrossGlyph{}, draw.SquareGlyph{}, draw.TriangleGlyph{},
	draw.PlusGlyph{}}

// loadPlot describes one plot over the seconds of a run.
type loadPlot struct {
	file  string
	title string
	unit  string
	lines map[string]func(Second) float64 // value of each line in a second, by the line's name in the legend
}

var loadPlots = []loadPlot{
	{"throughput.png", "requests by the second they were sent", "requests", map[string]func(Second) float64{
		"sent":   func(s Second) float64 { return float64(s.Sent) },
		"served": func(s Second) float64 { return float64(s.Served) }}},
	{"latency.png", "latency of served requests", "ms", map[string]func(Second) float64{
		"p50": func(s Second) float64 { return s.P50 },
		"p99": func(s Second) float64 { return s.P99 }}},
	{"errors.png", "requests not served", "requests", map[string]func(Second) float64{
		"refused":    func(s Second) float64 { return float64(s.Rejected) },
		"failed":     func(s Second) float64 { return float64(s.Failed) },
		"unanswered": func(s Second) float64 { return float64(s.Unanswered) }}},
}

// plot draws one plot into a file, with a dashed vertical line for each fault.
func (r Report) plot(path string, content loadPlot) error {
	p := plot.New()
	p.Title.Text = r.Scenario + ": " + content.title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = content.unit
	top := 1.0
	for i, name := range slices.Sorted(maps.Keys(content.lines)) {
		points := make(plotter.XYs, len(r.Seconds))
		for j, second := range r.Seconds {
			points[j] = plotter.XY{X: float64(second.At), Y: content.lines[name](second)}
			top = max(top, points[j].Y)
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = palette[i%len(palette)]
		p.Add(line)
		p.Legend.Add(name, line)
	}
	for _, fault := range r.Faults {
		if err := plotFault(p, fault, top); err != nil {
			return err
		}
	}
	p.Legend.Top = true
	return p.Save(plotWidth, plotHeight, path)
}

// plotFault draws a fault as a dashed vertical line up to top, labelled with its kind.
func plotFault(p *plot.Plot, fault InjectedFault, top float64) error {
	line, err := plotter.NewLine(plotter.XYs{{X: fault.At, Y: 0}, {X: fault.At, Y: top}})
	if err != nil {
		return err
	}
	line.Color = color.Gray{Y: 0x80}
	line.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
	p.Add(line)
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: fault.At, Y: top}},
		Labels: []string{fault.Kind}})
	if err != nil {
		return err
	}
	p.Add(labels)
	return nil
}

// plot draws the takeover time of each fault in the order of the faults, with one colour and shape for each kind.
func (figures LeaseFigures) plot(path, scenario string) error {
	p := plot.New()
	p.Title.Text = scenario + ": time until the lease is held again"
	p.X.Label.Text = "fault"
	p.Y.Label.Text = "ms"
	byKind := map[string]plotter.XYs{}
	for i, point := range figures.Points {
		byKind[point.Kind] = append(byKind[point.Kind], plotter.XY{X: float64(i), Y: point.Ms})
	}
	for i, kind := range slices.Sorted(maps.Keys(byKind)) {
		scatter, err := plotter.NewScatter(byKind[kind])
		if err != nil {
			return err
		}
		scatter.Color = palette[i%len(palette)]
		scatter.Shape = shapes[i%len(shapes)]
		p.Add(scatter)
		p.Legend.Add(kind, scatter)
	}
	p.Legend.Top = true
	return p.Save(plotWidth, plotHeight, path)
}
