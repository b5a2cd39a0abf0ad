package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// tenantsPerNode is the maximum length of each list of a node's tenants in a view.
	tenantsPerNode = 4

	// maxFreshAgeIntervals is the greatest age of a fresh report, in intervals between views.
	maxFreshAgeIntervals = 3

	// viewHistoryEpochs is the number of epochs for which a collector keeps the time when it published a view. The age
	// of a report that echoes an older view is not known.
	viewHistoryEpochs = 64
)

// latestReport is the last report of a node, with the time that bounds its age.
type latestReport struct {
	Report
	echoedViewAt time.Duration // when the view that the report echoes was published
	ageKnown     bool          // false if the collector does not know echoedViewAt
}

// Collector collects the nodes' reports on the leader, for one raft term, and compiles views from them. It reads no
// clock: the caller passes times of the leader's monotonic clock. It is not safe for concurrent use.
type Collector struct {
	term      uint64
	interval  time.Duration
	epoch     uint64
	reports   map[string]latestReport          // by node
	published [viewHistoryEpochs]time.Duration // by epoch modulo viewHistoryEpochs
}

// NewCollector returns a collector for a raft term. It has no reports yet. The caller must compile one view in each
// interval.
func NewCollector(term uint64, interval time.Duration) *Collector {
	return &Collector{term: term, interval: interval, reports: map[string]latestReport{}}
}

// Term returns the term that the collector is for.
func (c *Collector) Term() uint64 { return c.term }

// Add adds the report of a process that has its node's open session. It fails with ErrMalformed, ErrSuperseded,
// ErrSessionNotFound, or with ErrStaleReport if the report is not newer than the last report of the process.
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
	if c.knowsPublishTime(r.LastView) {
		report.echoedViewAt = c.published[r.LastView.Epoch%viewHistoryEpochs]
		report.ageKnown = true
	}
	c.reports[r.Node] = report
	return nil
}

// knowsPublishTime reports whether the collector knows when a view was published. The view must be of the collector's
// term, published already, and one of the last viewHistoryEpochs views.
func (c *Collector) knowsPublishTime(v ViewVersion) bool {
	return v.Term == c.term && v.Epoch > 0 && v.Epoch <= c.epoch && c.epoch-v.Epoch < viewHistoryEpochs
}

// Compile returns the view of the next epoch. now counts as the time of its publication; revision is the revision of
// the registry's state that the sessions are from.
func (c *Collector) Compile(sessions *SessionStore, revision int64, now time.Duration) View {
	c.epoch++
	c.published[c.epoch%viewHistoryEpochs] = now
	c.dropReportsWithoutSession(sessions)
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

// dropReportsWithoutSession deletes the reports of nodes without an open session.
func (c *Collector) dropReportsWithoutSession(sessions *SessionStore) {
	for node := range c.reports {
		if _, ok := sessions.Open[node]; !ok {
			delete(c.reports, node)
		}
	}
}

// nodeView returns the view of a session's node. It has the node's report only if the report is of the session's
// process.
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

// mergeEndpoint merges the loads of an endpoint that several nodes report. The loads must be in the order of the nodes'
// names, so that the sums are the same bit for bit and do not depend on the order in which reports arrive. The medians
// limit the influence of a single faulty node.
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

// median sorts values and returns their lower median, rounded to a thousandth; 0 if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.SortFunc(values, cmp.Compare[float64])
	return roundToThousandth(values[(len(values)-1)/2])
}

func roundToThousandth(x float64) float64 { return math.Round(x*1000) / 1000 }
