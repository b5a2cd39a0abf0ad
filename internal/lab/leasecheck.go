package lab

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// LeaseFigures are the measurements of a lease scenario. Takeover is, by fault kind, the milliseconds from the
// fault until the next holder's grant (for leader: until the duty's next accepted write).
type LeaseFigures struct {
	Faults         int                     `json:"schedules"`
	Grants         int                     `json:"grants"`
	AcceptedWrites int                     `json:"accepted_writes"`
	RejectedWrites int                     `json:"refused_writes"` // stale writes that the fence turned away
	LeasesLost     int                     `json:"leases_lost"`    // holders that saw Lost before any refusal
	Takeover       map[string]Distribution `json:"takeover_ms"`
	// Points are the takeover times in the order the faults were played, for the plot.
	Points []TakeoverPoint `json:"points"`
}

// TakeoverPoint is one fault's takeover time; Ms is -1 where none came.
type TakeoverPoint struct {
	Kind string  `json:"kind"`
	Ms   float64 `json:"ms"`
}

// handoverBound is the aim for a handover on SIGTERM at the 99th percentile (the leases issue).
const maxHandover = 100 * time.Millisecond

// checkLeases checks the merged candidate logs against the faults played: accepted writes, ordered by the
// registry's revision, never carry a lower token than one before them, and no token has two holders; every
// holder's failure is followed by a successor's grant within the TTL and 1 s; SIGTERM hands over within
// handoverBound at p99.
func checkLeases(events []LeaseEvent, plays []playedFault, ttl time.Duration) ([]Check, LeaseFigures) {
	fig := LeaseFigures{Faults: len(plays), Takeover: map[string]Distribution{}}
	var accepted, grants []LeaseEvent
	for _, e := range events {
		switch e.Event {
		case "accepted":
			accepted = append(accepted, e)
		case "granted":
			grants = append(grants, e)
		case "refused":
			fig.RejectedWrites++
		case "lost":
			fig.LeasesLost++
		}
	}
	fig.Grants, fig.AcceptedWrites = len(grants), len(accepted)
	slices.SortFunc(accepted, func(a, b LeaseEvent) int { return cmp.Compare(a.Revision, b.Revision) })
	slices.SortFunc(grants, func(a, b LeaseEvent) int { return cmp.Compare(a.At, b.At) })

	fenced := Check{Name: "accepted duty writes: tokens never go down, one holder a token"}
	owner := map[uint64]string{}
	for i, e := range slices.Concat(grants, accepted) {
		if h, ok := owner[e.Token]; ok && h != e.Holder {
			fenced.add(fmt.Sprintf("token %d held by %s and %s", e.Token, h, e.Holder))
		}
		owner[e.Token] = e.Holder
		if j := i - len(grants); j > 0 && accepted[j-1].Token > e.Token {
			fenced.add(fmt.Sprintf("revision %d: %s wrote with token %d after token %d at revision %d",
				e.Revision, e.Holder, e.Token, accepted[j-1].Token, accepted[j-1].Revision))
		}
	}

	taken := Check{Name: "a failed holder's duty is taken over within TTL + 1 s"}
	handover := Check{Name: fmt.Sprintf("SIGTERM hands the duty over within %s at p99", maxHandover)}
	samples := map[string][]float64{}
	for _, p := range plays {
		ms := takeover(p, grants, accepted)
		fig.Points = append(fig.Points, TakeoverPoint{Kind: p.Kind, Ms: ms})
		bound := ttl + time.Second
		if p.Kind == "both" {
			bound += ttl // the next leader's own
		}
		if ms < 0 || time.Duration(ms*1e6) > bound {
			taken.add(fmt.Sprintf("%s of %s: takeover %.0f ms", p.Kind, p.Target, ms))
		}
		if ms >= 0 {
			samples[p.Kind] = append(samples[p.Kind], ms)
		}
	}
	for k, s := range samples {
		fig.Takeover[k] = newDistribution(s)
	}
	if t, ok := fig.Takeover["term"]; ok && t.P99 > float64(maxHandover.Milliseconds()) {
		handover.add(fmt.Sprintf("p99 %.1f ms over %d handovers", t.P99, t.N))
	}
	return []Check{fenced.done(), taken.done(), handover.done()}, fig
}

// takeover is the milliseconds from the fault until the first grant to another holder (for a leader's kill, the
// first accepted write); -1 where none came.
func takeover(p playedFault, grants, accepted []LeaseEvent) float64 {
	if p.Kind == "leader" {
		first := int64(-1)
		for _, e := range accepted { // in revision order; the earliest in time is wanted
			if e.At > p.At && (first < 0 || e.At < first) {
				first = e.At
			}
		}
		if first < 0 {
			return -1
		}
		return float64(first-p.At) / 1e6
	}
	for _, e := range grants {
		if e.At > p.At && e.Holder != p.Holder {
			return float64(e.At-p.At) / 1e6
		}
	}
	return -1
}

// plot draws each fault's takeover time against its place in the run, one colour a kind.
func (figures LeaseFigures) plot(path, scenario string) error {
	p := plot.New()
	p.Title.Text = scenario + ": time until the duty is held again"
	p.X.Label.Text, p.Y.Label.Text = "fault", "ms"
	kinds := map[string]plotter.XYs{}
	for i, pt := range figures.Points {
		kinds[pt.Kind] = append(kinds[pt.Kind], plotter.XY{X: float64(i), Y: pt.Ms})
	}
	names := slices.Sorted(maps.Keys(kinds))
	for i, k := range names {
		s, err := plotter.NewScatter(kinds[k])
		if err != nil {
			return err
		}
		s.Color = palette[i%len(palette)]
		s.Shape = shapes[i%len(shapes)]
		p.Add(s)
		p.Legend.Add(k, s)
	}
	p.Legend.Top = true
	return p.Save(8*vg.Inch, 4*vg.Inch, path)
}

var shapes = []draw.GlyphDrawer{draw.CircleGlyph{}, draw.CrossGlyph{}, draw.SquareGlyph{}, draw.TriangleGlyph{},
	draw.PlusGlyph{}}
