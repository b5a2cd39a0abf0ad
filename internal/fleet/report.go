package fleet

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
)

// MaxReportBytes bounds a report's JSON. An endpoint takes up to 200 bytes of it, with the longest ID, so that 1,024 of
// them and the tenants fit.
const MaxReportBytes = 256 << 10

// trimDivisor is the fraction of a list, one in trimDivisor, that one step of trimming removes.
const trimDivisor = 8

// EndpointLoad is what a node knows of an endpoint's load from its own decisions.
type EndpointLoad struct {
	ID            string  `json:"id"`
	QueueEstimate float64 `json:"estimate"`    // requests of all nodes
	Outstanding   float64 `json:"outstanding"` // this node's attempts
	FailureRate   float64 `json:"failures"`    // fraction of attempts, 0 to 1
}

// LoadMetrics are the metrics of a node's load.
type LoadMetrics struct {
	Connections       float64 `json:"connections"` // of clients
	Descriptors       float64 `json:"descriptors"` // open
	DescriptorLimit   float64 `json:"allowed"`
	CPUFraction       float64 `json:"core"` // used of the part of a core that the node may use
	InFlight          float64 `json:"in_flight"`
	RejectedPerSecond float64 `json:"refused"`
	FailedPerSecond   float64 `json:"failed"`
}

// Report is a process's report of its node's load.
type Report struct {
	Node        string      `json:"node"`
	Incarnation uint64      `json:"incarnation"`
	Sequence    uint64      `json:"seq"` // rises with every report of a process
	Metrics     LoadMetrics `json:"figures"`
	// The tenants of the greatest weight, by connections, and by work in seconds of endpoints.
	TenantsByConnections []WeightedKey  `json:"by_conns,omitempty"`
	TenantsByWork        []WeightedKey  `json:"by_work,omitempty"`
	Endpoints            []EndpointLoad `json:"backends,omitempty"` // by ID
	Omitted              int            `json:"cut,omitempty"`      // entries of the lists above that were trimmed
	Draining             bool           `json:"draining,omitempty"` // the process shuts down
}

// ReportRequest is the body of a report's call: the report, and the last view that its sender had. The report was made
// after that view was published, which bounds its age on the leader's clock; no other clock counts.
type ReportRequest struct {
	Report
	LastView ViewVersion `json:"echo"`
}

// Validate fails with ErrMalformed for what no node sends.
func (r Report) Validate() error {
	m := r.Metrics
	for _, value := range []float64{m.Connections, m.Descriptors, m.DescriptorLimit, m.CPUFraction, m.InFlight,
		m.RejectedPerSecond, m.FailedPerSecond} {
		if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
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

// Trimmed returns the report in at most MaxReportBytes of JSON, with its endpoints by ID. Of the longest list it omits
// the least loaded endpoints or the lightest tenants, and counts them in Omitted.
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
			return Report{}, ErrMalformed.Of(r.Node, errors.New("too long with nothing left to cut"))
		}
	}
}

// trimLongestList removes a part of the longest of the report's lists; it returns false if all are empty.
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

// compareLoad orders endpoints by their load, the greatest first.
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
