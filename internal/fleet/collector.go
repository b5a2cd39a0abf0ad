package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// tenantsPerNode is how many of a node's tenants a view shows, by connections and by work.
	tenantsPerNode = 4

	// maxFreshAgeIntervals is the age, in intervals between views, above which a report is not fresh.
	maxFreshAgeIntervals = 3

	// viewHistoryEpochs is for how many epochs a collector knows when it published a view. The age of a report that
	// echoes an older one is not known.
	viewHistoryEpochs = 64
)

// latestReport is the last report of a node.
type latestReport struct {
	Report
	echoedViewAt time.Duration // when the view that the report echoes was published
	ageKnown     bool          // echoedViewAt is known
}

// Collector collects the nodes' reports on the leader, for one raft term, and compiles views from them. It reads no
// clock: times are given to it, on the leader's monotonic clock. Not safe for concurrent use.
type Collector struct {
	term      uint64
	interval  time.Duration
	epoch     uint64
	reports   map[string]latestReport          // by node
	published [viewHistoryEpochs]time.Duration // by epoch modulo viewHistoryEpochs
}

// NewCollector returns a collector without reports for a term, whose views come once an interval.
func NewCollector(term uint64, interval time.Duration) *Collector {
	return &Collector{term: term, interval: interval, reports: map[string]latestReport{}}
}

// Term returns the term that the collector is for.
func (c *Collector) Term() uint64 { return c.term }

// Add adds the report of a process that has its node's session. It fails with ErrMalformed, ErrSuperseded,
// ErrSessionNotFound or, for a report no newer than the last one, ErrStaleReport.
func (c *Collector) Add(sessions *SessionStore, r ReportRequest) error {
	if err := r.Validate(); err != nil {
		return err
	}
	if err := sessions.VerifyIncarnation(r.Node, r.Incarnation); err != nil {
		return err
	}
	last, ok := c.reports[r.Node]
	if ok && last.Incarnation == r.Incarnation && r.Sequence <= last.Sequence {
		return ErrStaleReport.Of(r.Node, nil)
	}
	report := latestReport{Report: r.Report}
	if c.remembers(r.LastView) {
		report.echoedViewAt = c.published[r.LastView.Epoch%viewHistoryEpochs]
		report.ageKnown = true
	}
	c.reports[r.Node] = report
	return nil
}

// remembers reports whether the collector knows when a view was published: it is of this term, out, and not too old.
func (c *Collector) remembers(v ViewVersion) bool {
	return v.Term == c.term && v.Epoch > 0 && v.Epoch <= c.epoch && c.epoch-v.Epoch < viewHistoryEpochs
}

// Compile returns the view of the next epoch, which counts as published at the given time.
func (c *Collector) Compile(sessions *SessionStore, revision int64, now time.Duration) View {
	c.epoch++
	c.published[c.epoch%viewHistoryEpochs] = now
	c.forgetClosed(sessions)
	view := View{
		ViewVersion: ViewVersion{Term: c.term, Epoch: c.epoch},
		Revision:    revision,
		IntervalMs:  c.interval.Milliseconds(),
		Nodes:       make([]NodeView, 0, len(sessions.Open)),
		Endpoints:   []EndpointView{},
	}
	loads := map[string][]EndpointLoad{}
	for _, session := range sessions.List() {
		node := c.nodeView(session, now)
		view.Nodes = append(view.Nodes, node)
		if !node.Fresh {
			continue
		}
		for _, load := range c.reports[session.Node].Endpoints {
			loads[load.ID] = append(loads[load.ID], load)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(loads)) {
		view.Endpoints = append(view.Endpoints, mergeEndpoint(id, loads[id]))
	}
	return view
}

// forgetClosed drops the reports of nodes without an open session.
func (c *Collector) forgetClosed(sessions *SessionStore) {
	for node := range c.reports {
		if _, ok := sessions.Open[node]; !ok {
			delete(c.reports, node)
		}
	}
}

// nodeView returns the view of a session's node, with the report of that session's process if there is one.
func (c *Collector) nodeView(session Session, now time.Duration) NodeView {
	node := NodeView{
		Node:        session.Node,
		Site:        session.Site,
		Incarnation: session.Incarnation,
		AgeMs:       -1,
	}
	report, ok := c.reports[session.Node]
	if !ok || report.Incarnation != session.Incarnation {
		return node
	}
	node.Draining = report.Draining
	node.Omitted = report.Omitted
	node.Metrics = report.Metrics
	node.TenantsByConnections = firstTenants(report.TenantsByConnections)
	node.TenantsByWork = firstTenants(report.TenantsByWork)
	if report.ageKnown {
		age := now - report.echoedViewAt
		node.AgeMs = age.Milliseconds()
		node.Fresh = age <= maxFreshAgeIntervals*c.interval
	}
	return node
}

func firstTenants(tenants []WeightedKey) []WeightedKey {
	return tenants[:min(tenantsPerNode, len(tenants))]
}

// mergeEndpoint merges the loads of an endpoint that several nodes report, which come in the order of the nodes' names,
// so that sums are the same bit for bit. Medians keep one faulty node from deciding.
func mergeEndpoint(id string, loads []EndpointLoad) EndpointView {
	view := EndpointView{ID: id, ReportingNodes: len(loads)}
	var estimates []float64
	var failureRates []float64
	for _, load := range loads {
		view.Outstanding += load.Outstanding
		estimates = append(estimates, load.QueueEstimate)
		failureRates = append(failureRates, load.FailureRate)
	}
	view.QueueEstimate = median(estimates)
	view.FailureRate = median(failureRates)
	return view
}

// median returns the lower median to a thousandth; 0 of nothing.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.SortFunc(values, cmp.Compare[float64])
	return roundToThousandth(values[(len(values)-1)/2])
}

func roundToThousandth(x float64) float64 { return math.Round(x*1000) / 1000 }
