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
	tenantsPerNode = 4
	// freshIntervals is how many intervals old a report may be and still count as fresh.
	maxFreshAgeIntervals = 3
	// echoKept is how many epochs back the leader knows when it published a view; an older echo is too old to be fresh.
	viewHistoryEpochs = 64
)

// Stamp names a view: the raft term of the leader that compiled it, and its epoch, which rises by one within a term.
type ViewVersion struct {
	Term  uint64 `json:"term"`
	Epoch uint64 `json:"epoch"`
}

// Before tells whether s is an older view than o.
func (s ViewVersion) Before(o ViewVersion) bool {
	return s.Term < o.Term || s.Term == o.Term && s.Epoch < o.Epoch
}

// NodeLoad is one node in a view. AgeMs is the most that its report can be old; -1: there is none whose age is known.
type NodeView struct {
	Node                 string        `json:"node"`
	Site                 string        `json:"site"`
	Incarnation          uint64        `json:"incarnation"`
	AgeMs                int64         `json:"age_ms"`
	Fresh                bool          `json:"fresh"`
	Draining             bool          `json:"draining,omitempty"`
	Omitted              int           `json:"cut,omitempty"`
	Metrics              LoadMetrics   `json:"figures"`
	TenantsByConnections []WeightedKey `json:"by_conns,omitempty"`
	TenantsByWork        []WeightedKey `json:"by_work,omitempty"`
}

// BackendView is one backend as the fresh reports see it.
type EndpointView struct {
	ID             string  `json:"id"`
	ReportingNodes int     `json:"nodes"`       // that report it
	QueueEstimate  float64 `json:"estimate"`    // the median of their estimates of its queue
	Outstanding    float64 `json:"outstanding"` // the sum of their attempts there
	FailureRate    float64 `json:"failures"`    // the median of their rates of failures
}

// View is the load of the fleet at one epoch. All readers see the same bytes under one stamp.
type View struct {
	ViewVersion
	Revision         int64          `json:"revision"` // of the registry's state that the sessions are from
	IntervalMs       int64          `json:"interval_ms"`
	MaintenanceTurns int            `json:"turns"`    // machines with a turn in the rota, so that nodes ask only where there are some
	Nodes            []NodeView     `json:"nodes"`    // every open session, by name
	Endpoints        []EndpointView `json:"backends"` // by id
}

// Echoed is a report with the last view that its sender held, which bounds its age: it was made after that view was
// published, by the leader's own clock. No other clock is asked.
type ReportRequest struct {
	Report
	LastView ViewVersion `json:"echo"`
}

// held is the last report of a node. Since is when the view that it echoes was published; sure tells whether that is
// known.
type latestReport struct {
	Report
	echoedViewAt time.Duration
	ageKnown     bool
}

// Collector gathers reports on the leader for one term. It is pure: times come in, on the leader's monotonic clock. Not
// safe for concurrent use.
type Collector struct {
	term      uint64
	interval  time.Duration
	epoch     uint64
	reports   map[string]latestReport
	published [viewHistoryEpochs]time.Duration // by epoch modulo echoKept
}

// NewCollector is a collector for a term, without a report.
func NewCollector(term uint64, interval time.Duration) *Collector {
	return &Collector{term: term, interval: interval, reports: map[string]latestReport{}}
}

// Term is the term that the collector is for.
func (c *Collector) Term() uint64 { return c.term }

// Take takes in a report from a process that holds its node's session. It fails with ErrSuperseded, ErrNoSession or
// ErrStale (no newer than one taken in), and then changes nothing.
func (c *Collector) Add(s *SessionStore, r ReportRequest) error {
	if err := r.Validate(); err != nil {
		return err
	}
	if err := s.VerifyHolder(r.Node, r.Incarnation); err != nil {
		return err
	}
	if old, ok := c.reports[r.Node]; ok && old.Incarnation == r.Incarnation && r.Sequence <= old.Sequence {
		return ErrStaleReport.Of(r.Node, nil)
	}
	h := latestReport{Report: r.Report}
	// An echo of another term, of an epoch that is not out yet or of one long past bounds nothing.
	if r.LastView.Term == c.term && r.LastView.Epoch > 0 && r.LastView.Epoch <= c.epoch && c.epoch-r.LastView.Epoch < viewHistoryEpochs {
		h.echoedViewAt, h.ageKnown = c.published[r.LastView.Epoch%viewHistoryEpochs], true
	}
	c.reports[r.Node] = h
	return nil
}

// Compile makes the view of the next epoch, published at now.
func (c *Collector) Compile(s *SessionStore, revision int64, now time.Duration) View {
	c.epoch++
	c.published[c.epoch%viewHistoryEpochs] = now
	v := View{ViewVersion: ViewVersion{c.term, c.epoch}, Revision: revision, IntervalMs: c.interval.Milliseconds(),
		Nodes: make([]NodeView, 0, len(s.Open)), Endpoints: []EndpointView{}}
	seen := map[string][]EndpointLoad{}
	for _, o := range s.List() {
		n := NodeView{Node: o.Node, Site: o.Site, Incarnation: o.Incarnation, AgeMs: -1}
		if h, ok := c.reports[o.Node]; ok && h.Incarnation == o.Incarnation {
			n.Metrics, n.Draining, n.Omitted = h.Metrics, h.Draining, h.Omitted
			n.TenantsByConnections, n.TenantsByWork = h.TenantsByConnections[:min(tenantsPerNode, len(h.TenantsByConnections))], h.TenantsByWork[:min(tenantsPerNode, len(h.TenantsByWork))]
			if h.ageKnown {
				n.AgeMs = (now - h.echoedViewAt).Milliseconds()
				n.Fresh = now-h.echoedViewAt <= maxFreshAgeIntervals*c.interval
			}
			if n.Fresh {
				for _, b := range h.Endpoints {
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
		v.Endpoints = append(v.Endpoints, mergeEndpoint(id, seen[id]))
	}
	return v
}

// merge is a backend as several nodes see it. Medians, so that one sick node's word does not count; they come in the
// order of the nodes' names, so that sums are the same bit for bit.
func mergeEndpoint(id string, of []EndpointLoad) EndpointView {
	b := EndpointView{ID: id, ReportingNodes: len(of)}
	var estimates, failures []float64
	for _, x := range of {
		b.Outstanding += x.Outstanding
		estimates, failures = append(estimates, x.QueueEstimate), append(failures, x.FailureRate)
	}
	b.QueueEstimate, b.FailureRate = median(estimates), median(failures)
	return b
}

// median is the lower median; 0 of nothing.
func median(x []float64) float64 {
	if len(x) == 0 {
		return 0
	}
	slices.SortFunc(x, cmp.Compare[float64])
	return roundToThousandth(x[(len(x)-1)/2])
}

// round keeps a figure to a thousandth, which is more than any of them is worth.
func roundToThousandth(x float64) float64 { return math.Round(x*1000) / 1000 }
