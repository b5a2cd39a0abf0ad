package fleet

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
)

// ReportMost bounds a report's JSON. A backend takes up to 200 bytes of it, with the longest id, so that 1,024 of them and
// the tenants fit.
const MaxReportBytes = 256 << 10

// BackendLoad is what a node knows of one backend from its own decisions.
type EndpointLoad struct {
	ID            string  `json:"id"`
	QueueEstimate float64 `json:"estimate"`    // of its queue (LSQ), requests of all nodes
	Outstanding   float64 `json:"outstanding"` // this node's attempts there
	FailureRate   float64 `json:"failures"`    // rate of failures, 0 to 1
}

// Figures are a node's load. Rates are a second; Core is the part of its share of a core that it used.
type LoadMetrics struct {
	Connections       float64 `json:"connections"` // of clients
	Descriptors       float64 `json:"descriptors"` // held
	DescriptorLimit   float64 `json:"allowed"`     // descriptors that it may hold
	CPUFraction       float64 `json:"core"`
	InFlight          float64 `json:"in_flight"`
	RejectedPerSecond float64 `json:"refused"`
	FailedPerSecond   float64 `json:"failed"`
}

// Report is what one process of a node tells of itself, once an interval. Seq rises with each report of a process.
type Report struct {
	Node                 string         `json:"node"`
	Incarnation          uint64         `json:"incarnation"`
	Sequence             uint64         `json:"seq"`
	Metrics              LoadMetrics    `json:"figures"`
	TenantsByConnections []WeightedKey  `json:"by_conns,omitempty"` // the heaviest tenants by connections
	TenantsByWork        []WeightedKey  `json:"by_work,omitempty"`  // and by work, in seconds of backends
	Endpoints            []EndpointLoad `json:"backends,omitempty"` // by id
	Omitted              int            `json:"cut,omitempty"`      // entries left out above
	Draining             bool           `json:"draining,omitempty"` // the process is about to end
}

// Check refuses what no node of ours sends.
func (r Report) Validate() error {
	f := r.Metrics
	for _, v := range []float64{f.Connections, f.Descriptors, f.DescriptorLimit, f.CPUFraction, f.InFlight, f.RejectedPerSecond, f.FailedPerSecond} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return ErrMalformed.Of(r.Node, errors.New("a figure is negative or no number"))
		}
	}
	switch {
	case r.Node == "" || len(r.Node) > maxKeyBytes:
		return ErrMalformed.Of("node", fmt.Errorf("a name of 1 to %d bytes is wanted", maxKeyBytes))
	case r.Incarnation == 0:
		return ErrMalformed.Of(r.Node, errors.New("incarnation: 0"))
	case r.Omitted < 0:
		return ErrMalformed.Of(r.Node, errors.New("cut: negative"))
	}
	return nil
}

// Bounded is the report in at most ReportMost bytes of JSON: backends with the least at stake are left out first, then
// the lightest tenants, and Cut says how many entries are missing. Backends come by id.
func (r Report) Trimmed() (Report, error) {
	r.Endpoints, r.TenantsByConnections, r.TenantsByWork = slices.Clone(r.Endpoints), slices.Clone(r.TenantsByConnections), slices.Clone(r.TenantsByWork)
	for {
		slices.SortFunc(r.Endpoints, func(a, b EndpointLoad) int { return cmp.Compare(a.ID, b.ID) })
		text, err := json.Marshal(r)
		switch {
		case err != nil:
			return Report{}, ErrMalformed.Of(r.Node, err)
		case len(text) <= MaxReportBytes:
			return r, nil
		case !r.trimLongestList():
			return Report{}, ErrMalformed.Of(r.Node, errors.New("too long with nothing left to cut"))
		}
	}
}

// cut leaves out a part of the longest of the report's lists; false where all are empty.
func (r *Report) trimLongestList() bool {
	part := func(n int) int { return n - (n+7)/8 }
	switch n := len(r.Endpoints); {
	case n > 0 && n >= max(len(r.TenantsByConnections), len(r.TenantsByWork)):
		slices.SortFunc(r.Endpoints, func(a, b EndpointLoad) int {
			return cmp.Or(cmp.Compare(b.Outstanding, a.Outstanding), cmp.Compare(b.QueueEstimate, a.QueueEstimate), cmp.Compare(a.ID, b.ID))
		})
		r.Endpoints = r.Endpoints[:part(n)]
		r.Omitted += n - len(r.Endpoints)
	case len(r.TenantsByConnections) > 0 && len(r.TenantsByConnections) >= len(r.TenantsByWork):
		n = len(r.TenantsByConnections)
		r.TenantsByConnections = r.TenantsByConnections[:part(n)]
		r.Omitted += n - len(r.TenantsByConnections)
	case len(r.TenantsByWork) > 0:
		n = len(r.TenantsByWork)
		r.TenantsByWork = r.TenantsByWork[:part(n)]
		r.Omitted += n - len(r.TenantsByWork)
	default:
		return false
	}
	return true
}
