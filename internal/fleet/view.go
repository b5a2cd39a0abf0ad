package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// viewTenants is how many of a node's heaviest tenants a view shows, by connections and by work.
	viewTenants = 4
	// freshIntervals is how many intervals old a report may be and still count as fresh.
	freshIntervals = 3
	// echoKept is how many epochs back the leader knows when it published a view; an older echo is too old to be fresh.
	echoKept = 64
)

// Stamp names a view: the raft term of the leader that compiled it, and its epoch, which rises by one within a term.
type Stamp struct {
	Term  uint64 `json:"term"`
	Epoch uint64 `json:"epoch"`
}

// Before tells whether s is an older view than o.
func (s Stamp) Before(o Stamp) bool { return s.Term < o.Term || s.Term == o.Term && s.Epoch < o.Epoch }

// NodeLoad is one node in a view. AgeMs is the most that its report can be old; -1: there is none whose age is known.
type NodeLoad struct {
	Node        string  `json:"node"`
	Site        string  `json:"site"`
	Incarnation uint64  `json:"incarnation"`
	AgeMs       int64   `json:"age_ms"`
	Fresh       bool    `json:"fresh"`
	Draining    bool    `json:"draining,omitempty"`
	Cut         int     `json:"cut,omitempty"`
	Figures     Figures `json:"figures"`
	ByConns     []Heavy `json:"by_conns,omitempty"`
	ByWork      []Heavy `json:"by_work,omitempty"`
}

// BackendView is one backend as the fresh reports see it.
type BackendView struct {
	ID          string  `json:"id"`
	Nodes       int     `json:"nodes"`       // that report it
	Estimate    float64 `json:"estimate"`    // the median of their estimates of its queue
	Outstanding float64 `json:"outstanding"` // the sum of their attempts there
	Failures    float64 `json:"failures"`    // the median of their rates of failures
}

// View is the load of the fleet at one epoch. All readers see the same bytes under one stamp.
type View struct {
	Stamp
	Revision   int64         `json:"revision"` // of the registry's state that the sessions are from
	IntervalMs int64         `json:"interval_ms"`
	Turns      int           `json:"turns"`    // machines with a turn in the rota, so that nodes ask only where there are some
	Nodes      []NodeLoad    `json:"nodes"`    // every open session, by name
	Backends   []BackendView `json:"backends"` // by id
}

// Echoed is a report with the last view that its sender held, which bounds its age: it was made after that view was
// published, by the leader's own clock. No other clock is asked.
type Echoed struct {
	Report
	Echo Stamp `json:"echo"`
}

// held is the last report of a node. Since is when the view that it echoes was published; sure tells whether that is
// known.
type held struct {
	Report
	since time.Duration
	sure  bool
}

// Collector gathers reports on the leader for one term. It is pure: times come in, on the leader's monotonic clock. Not
// safe for concurrent use.
type Collector struct {
	term      uint64
	interval  time.Duration
	epoch     uint64
	reports   map[string]held
	published [echoKept]time.Duration // by epoch modulo echoKept
}

// NewCollector is a collector for a term, without a report.
func NewCollector(term uint64, interval time.Duration) *Collector {
	return &Collector{term: term, interval: interval, reports: map[string]held{}}
}

// Term is the term that the collector is for.
func (c *Collector) Term() uint64 { return c.term }

// Take takes in a report from a process that holds its node's session. It fails with ErrSuperseded, ErrNoSession or
// ErrStale (no newer than one taken in), and then changes nothing.
func (c *Collector) Take(s *Sessions, r Echoed) error {
	if err := r.Check(); err != nil {
		return err
	}
	if err := s.Holds(r.Node, r.Incarnation); err != nil {
		return err
	}
	if old, ok := c.reports[r.Node]; ok && old.Incarnation == r.Incarnation && r.Seq <= old.Seq {
		return ErrStale.Of(r.Node, nil)
	}
	h := held{Report: r.Report}
	// An echo of another term, of an epoch that is not out yet or of one long past bounds nothing.
	if r.Echo.Term == c.term && r.Echo.Epoch > 0 && r.Echo.Epoch <= c.epoch && c.epoch-r.Echo.Epoch < echoKept {
		h.since, h.sure = c.published[r.Echo.Epoch%echoKept], true
	}
	c.reports[r.Node] = h
	return nil
}

// Compile makes the view of the next epoch, published at now.
func (c *Collector) Compile(s *Sessions, revision int64, now time.Duration) View {
	c.epoch++
	c.published[c.epoch%echoKept] = now
	v := View{Stamp: Stamp{c.term, c.epoch}, Revision: revision, IntervalMs: c.interval.Milliseconds(),
		Nodes: make([]NodeLoad, 0, len(s.Open)), Backends: []BackendView{}}
	seen := map[string][]BackendLoad{}
	for _, o := range s.All() {
		n := NodeLoad{Node: o.Node, Site: o.Site, Incarnation: o.Incarnation, AgeMs: -1}
		if h, ok := c.reports[o.Node]; ok && h.Incarnation == o.Incarnation {
			n.Figures, n.Draining, n.Cut = h.Figures, h.Draining, h.Cut
			n.ByConns, n.ByWork = h.ByConns[:min(viewTenants, len(h.ByConns))], h.ByWork[:min(viewTenants, len(h.ByWork))]
			if h.sure {
				n.AgeMs = (now - h.since).Milliseconds()
				n.Fresh = now-h.since <= freshIntervals*c.interval
			}
			if n.Fresh {
				for _, b := range h.Backends {
					seen[b.ID] = append(seen[b.ID], b)
				}
			}
		}
		v.Nodes = append(v.Nodes, n)
	}
	for node := range c.reports {
		if _, ok := s.Open[node]; !ok {
			delete(c.reports, node)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(seen)) {
		v.Backends = append(v.Backends, merge(id, seen[id]))
	}
	return v
}

// merge is a backend as several nodes see it. Medians, so that one sick node's word does not count; they come in the
// order of the nodes' names, so that sums are the same bit for bit.
func merge(id string, of []BackendLoad) BackendView {
	b := BackendView{ID: id, Nodes: len(of)}
	var estimates, failures []float64
	for _, x := range of {
		b.Outstanding += x.Outstanding
		estimates, failures = append(estimates, x.Estimate), append(failures, x.Failures)
	}
	b.Estimate, b.Failures = median(estimates), median(failures)
	return b
}

// median is the lower median; 0 of nothing.
func median(x []float64) float64 {
	if len(x) == 0 {
		return 0
	}
	slices.SortFunc(x, cmp.Compare[float64])
	return round(x[(len(x)-1)/2])
}

// round keeps a figure to a thousandth, which is more than any of them is worth.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }
