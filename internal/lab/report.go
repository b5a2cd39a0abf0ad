package lab

import (
	"encoding/json"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Second is one second of a run, counted by the second in which each request was sent.
type Second struct {
	At         int     `json:"at_s"`
	Sent       int     `json:"sent"`
	Served     int     `json:"served"`
	Rejected   int     `json:"refused"`
	Failed     int     `json:"failed"`
	Unanswered int     `json:"unanswered"` // broken or none, excused or not
	P50        float64 `json:"p50_ms"`     // of served requests
	P99        float64 `json:"p99_ms"`
}

// FaultMark is a fault as it was applied, in seconds from the start.
type FaultMark struct {
	At     float64  `json:"at_s"`
	Kind   string   `json:"kind"`
	Target []string `json:"target"`
	Error  string   `json:"error,omitempty"`
}

// Report is what `report.json` holds.
type Report struct {
	Scenario   string         `json:"scenario"`
	Passed     bool           `json:"passed"`
	Counts     map[string]int `json:"counts"` // by outcome kind, with "excused" and "unsent"
	Checks     []Check        `json:"checks"`
	Faults     []FaultMark    `json:"faults"`
	Seconds    []Second       `json:"seconds"`
	Executions int            `json:"executions"`
	Starts     map[string]int `json:"starts"` // process starts by name, restarts included
	// Propagation is the time from a registry change's acknowledgement until each node held its revision.
	Propagation Distribution `json:"propagation_ms"`
	// LeaseScenario holds a lease scenario's figures; such a run has no load, so its only plot is of takeovers.
	Lease *LeaseFigures `json:"duty,omitempty"`
	// Starved is when children of a soak were kept from a processor by a crowded machine. It excuses nothing.
	Starved []starvation `json:"starved,omitempty"`
	// Timeline is what each process did, drawn as text; it is written to a file of its own.
	Timeline string `json:"-"`
}

// Distribution sums up a sample: its size, median, 99th percentile and largest value.
type Distribution struct {
	N   int     `json:"n"`
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

func newDistribution(sample []float64) Distribution {
	if len(sample) == 0 {
		return Distribution{}
	}
	s := slices.Sorted(slices.Values(sample))
	return Distribution{N: len(s), P50: quantile(s, 0.5), P99: quantile(s, 0.99), Max: s[len(s)-1]}
}

// Summarize builds the report of a run that began at start.
// Checks made outside the history (extra) join those of Verify.
func Summarize(name string, start time.Time, h History, faults []FaultMark, unsent int, starts map[string]int,
	extra ...Check) Report {
	r := Report{Scenario: name, Counts: map[string]int{"unsent": unsent}, Checks: append(Verify(h), extra...),
		Faults:     faults,
		Executions: len(h.Executions), Starts: starts, Passed: true}
	for _, c := range r.Checks {
		r.Passed = r.Passed && c.OK
	}
	lat := map[int][]float64{}
	for _, o := range h.Outcomes {
		r.Counts[o.Kind]++
		s := int(time.Duration(o.SentAt - start.UnixNano()).Seconds())
		for len(r.Seconds) <= s {
			r.Seconds = append(r.Seconds, Second{At: len(r.Seconds)})
		}
		sec := &r.Seconds[s]
		sec.Sent++
		switch o.Kind {
		case kindServed:
			sec.Served++
			lat[s] = append(lat[s], float64(o.DoneAt-o.SentAt)/1e6)
		case kindRejected:
			sec.Rejected++
		case kindFailed:
			sec.Failed++
		case kindBroken, kindNoAnswer:
			sec.Unanswered++
			if reason := h.Excuse(o); reason != "" {
				r.Counts["excused"]++
				r.Counts["excused by "+reason]++
			}
		}
	}
	for s, l := range lat {
		slices.Sort(l)
		r.Seconds[s].P50, r.Seconds[s].P99 = quantile(l, 0.5), quantile(l, 0.99)
	}
	return r
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Write puts report.json and the plots into dir.
func (r Report) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "report.json"), append(text, '\n'), 0o644); err != nil {
		return err
	}
	if r.Lease != nil {
		return r.Lease.plot(filepath.Join(dir, "takeover.png"), r.Scenario)
	}
	if len(r.Seconds) == 0 {
		return nil // no load, nothing to plot
	}
	for _, p := range []struct {
		file  string
		title string
		unit  string
		lines map[string]func(Second) float64
	}{
		{"throughput.png", "answers by the second they were asked", "requests", map[string]func(Second) float64{
			"sent":   func(s Second) float64 { return float64(s.Sent) },
			"served": func(s Second) float64 { return float64(s.Served) }}},
		{"latency.png", "latency of served requests", "ms", map[string]func(Second) float64{
			"p50": func(s Second) float64 { return s.P50 }, "p99": func(s Second) float64 { return s.P99 }}},
		{"errors.png", "requests not served", "requests", map[string]func(Second) float64{
			"refused":    func(s Second) float64 { return float64(s.Rejected) },
			"failed":     func(s Second) float64 { return float64(s.Failed) },
			"unanswered": func(s Second) float64 { return float64(s.Unanswered) }}},
	} {
		if err := r.plot(filepath.Join(dir, p.file), p.title, p.unit, p.lines); err != nil {
			return fmt.Errorf("%s: %w", p.file, err)
		}
	}
	return nil
}

var palette = []color.Color{color.RGBA{0x1f, 0x77, 0xb4, 0xff}, color.RGBA{0xd6, 0x27, 0x28, 0xff},
	color.RGBA{0x2c, 0xa0, 0x2c, 0xff}}

func (r Report) plot(path, title, unit string, lines map[string]func(Second) float64) error {
	p := plot.New()
	p.Title.Text = r.Scenario + ": " + title
	p.X.Label.Text, p.Y.Label.Text = "seconds", unit
	names := make([]string, 0, len(lines))
	for n := range lines {
		names = append(names, n)
	}
	slices.Sort(names)
	top := 1.0
	for i, n := range names {
		pts := make(plotter.XYs, len(r.Seconds))
		for j, s := range r.Seconds {
			pts[j] = plotter.XY{X: float64(s.At), Y: lines[n](s)}
			top = max(top, pts[j].Y)
		}
		l, err := plotter.NewLine(pts)
		if err != nil {
			return err
		}
		l.Color = palette[i%len(palette)]
		p.Add(l)
		p.Legend.Add(n, l)
	}
	for _, f := range r.Faults {
		mark, err := plotter.NewLine(plotter.XYs{{X: f.At, Y: 0}, {X: f.At, Y: top}})
		if err != nil {
			return err
		}
		mark.Color, mark.Dashes = color.Gray{0x80}, []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(mark)
		lbl, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: f.At, Y: top}}, Labels: []string{f.Kind}})
		if err != nil {
			return err
		}
		p.Add(lbl)
	}
	p.Legend.Top = true
	return p.Save(8*vg.Inch, 4*vg.Inch, path)
}
