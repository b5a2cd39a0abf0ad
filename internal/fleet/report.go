package fleet

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
)

// MaxReportBytes is the maximum size of a report's JSON. An endpoint with the longest ID takes up to 200 bytes, so that
// 1,024 endpoints and the tenants fit.
const MaxReportBytes = 256 << 10

// trimDivisor determines how much one step of trimming removes: one in trimDivisor entries of a list.
const trimDivisor = 8

// EndpointLoad is an endpoint's load as one node knows it from its own decisions.
type EndpointLoad struct {
	ID            string  `json:"id"`
	QueueEstimate float64 `json:"estimate"`    // number of requests of all nodes
	Outstanding   float64 `json:"outstanding"` // number of this node's attempts in flight
	FailureRate   float64 `json:"failures"`    // fraction of attempts, 0 to 1
}

// LoadMetrics is a node's load.
type LoadMetrics struct {
	Connections       float64 `json:"connections"` // number of client connections
	Descriptors       float64 `json:"descriptors"` // number of open file descriptors
	DescriptorLimit   float64 `json:"allowed"`     // greatest number of open file descriptors
	CPUFraction       float64 `json:"core"`        // CPU time used, as a fraction of the CPU time that the node may use
	InFlight          float64 `json:"in_flight"`
	RejectedPerSecond float64 `json:"refused"`
	FailedPerSecond   float64 `json:"failed"`
}

// Report is a process's report of the load of its node.
type Report struct {
	Node        string      `json:"node"`
	Incarnation uint64      `json:"incarnation"`
	Sequence    uint64      `json:"seq"` // rises with each report of the process
	Metrics     LoadMetrics `json:"figures"`
	// The tenants with the most connections, and the tenants with the most work in seconds of the endpoints' time.
	TenantsByConnections []WeightedKey  `json:"by_conns,omitempty"`
	TenantsByWork        []WeightedKey  `json:"by_work,omitempty"`
	Endpoints            []EndpointLoad `json:"backends,omitempty"` // sorted by ID
	Omitted              int            `json:"cut,omitempty"`      // number of entries removed from the lists above
	Draining             bool           `json:"draining,omitempty"` // the process is shutting down
}

// ReportRequest is the body of a call that sends a report. LastView is the last view that the node received before it
// made the report, so that the report was made after the leader published LastView. The leader knows this time on its
// own clock, and uses the time since then as an upper bound of the report's age. No other clock is involved.
type ReportRequest struct {
	Report
	LastView ViewVersion `json:"echo"`
}

// Validate fails with ErrMalformed if the report has values that no node sends.
func (r Report) Validate() error {
	m := r.Metrics
	for _, value := range []float64{m.Connections, m.Descriptors, m.DescriptorLimit, m.CPUFraction, m.InFlight,
		m.RejectedPerSecond, m.FailedPerSecond} {
		if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
			return ErrMalformed.Of(r.Node, errors.New("a value in figures is not a finite number of 0 or more"))
		}
	}
	switch {
	case r.Node == "" || len(r.Node) > maxKeyBytes:
		return ErrMalformed.Of("node", fmt.Errorf("the name must have 1 to %d bytes", maxKeyBytes))
	case r.Incarnation == 0:
		return ErrMalformed.Of(r.Node, errors.New("incarnation must be above 0"))
	case r.Omitted < 0:
		return ErrMalformed.Of(r.Node, errors.New("cut is negative; it must be 0 or more"))
	}
	return nil
}

// Trimmed returns a copy of the report that takes at most MaxReportBytes as JSON, with its endpoints sorted by ID. It
// shortens the longest list until the report fits: it removes the least loaded endpoints, or the tenants at the end of
// their list, and adds their number to Omitted.
func (r Report) Trimmed() (Report, error) {
	r.Endpoints = slices.Clone(r.Endpoints)
	r.TenantsByConnections = slices.Clone(r.TenantsByConnections)
	r.TenantsByWork = slices.Clone(r.TenantsByWork)
	for {
		slices.SortFunc(r.Endpoints, func(a, b EndpointLoad) int { return cmp.Compare(a.ID, b.ID) })
		text, err := json.Marshal(r)
		switch {
		case err != nil:
			return Report{}, ErrMalformed.Of(r.Node, err)
		case len(text) <= MaxReportBytes:
			return r, nil
		case !r.trimLongestList():
			return Report{}, ErrMalformed.Of(r.Node,
				fmt.Errorf("the JSON is longer than %d bytes even with empty lists", MaxReportBytes))
		}
	}
}

// trimLongestList removes a part of the longest of the report's lists. It returns false if all lists are empty.
func (r *Report) trimLongestList() bool {
	endpoints := len(r.Endpoints)
	byConnections := len(r.TenantsByConnections)
	byWork := len(r.TenantsByWork)
	switch {
	case endpoints > 0 && endpoints >= max(byConnections, byWork):
		slices.SortFunc(r.Endpoints, compareLoad)
		r.Endpoints = trimTail(r.Endpoints, &r.Omitted)
	case byConnections > 0 && byConnections >= byWork:
		r.TenantsByConnections = trimTail(r.TenantsByConnections, &r.Omitted)
	case byWork > 0:
		r.TenantsByWork = trimTail(r.TenantsByWork, &r.Omitted)
	default:
		return false
	}
	return true
}

// compareLoad orders endpoints by their load, the most loaded first.
func compareLoad(a, b EndpointLoad) int {
	return cmp.Or(
		cmp.Compare(b.Outstanding, a.Outstanding),
		cmp.Compare(b.QueueEstimate, a.QueueEstimate),
		cmp.Compare(a.ID, b.ID))
}

// trimTail removes one in trimDivisor entries, rounded up, from the end of a list and adds their number to omitted.
func trimTail[T any](list []T, omitted *int) []T {
	removed := (len(list) + trimDivisor - 1) / trimDivisor
	*omitted += removed
	return list[:len(list)-removed]
}
