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
const ReportMost = 256 << 10

// BackendLoad is what a node knows of one backend from its own decisions.
type BackendLoad struct {
	ID          string  `json:"id"`
	Estimate    float64 `json:"estimate"`    // of its queue (LSQ), requests of all nodes
	Outstanding float64 `json:"outstanding"` // this node's attempts there
	Failures    float64 `json:"failures"`    // rate of failures, 0 to 1
}

// Figures are a node's load. Rates are a second; Core is the part of its share of a core that it used.
type Figures struct {
	Connections float64 `json:"connections"` // of clients
	Descriptors float64 `json:"descriptors"` // held
	Allowed     float64 `json:"allowed"`     // descriptors that it may hold
	Core        float64 `json:"core"`
	InFlight    float64 `json:"in_flight"`
	Refused     float64 `json:"refused"`
	Failed      float64 `json:"failed"`
}

// Report is what one process of a node tells of itself, once an interval. Seq rises with each report of a process.
type Report struct {
	Node        string        `json:"node"`
	Incarnation uint64        `json:"incarnation"`
	Seq         uint64        `json:"seq"`
	Figures     Figures       `json:"figures"`
	ByConns     []Heavy       `json:"by_conns,omitempty"` // the heaviest tenants by connections
	ByWork      []Heavy       `json:"by_work,omitempty"`  // and by work, in seconds of backends
	Backends    []BackendLoad `json:"backends,omitempty"` // by id
	Cut         int           `json:"cut,omitempty"`      // entries left out above
	Draining    bool          `json:"draining,omitempty"` // the process is about to end
}

// Check refuses what no node of ours sends.
func (r Report) Check() error {
	f := r.Figures
	for _, v := range []float64{f.Connections, f.Descriptors, f.Allowed, f.Core, f.InFlight, f.Refused, f.Failed} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return ErrMalformed.Of(r.Node, errors.New("a figure is negative or no number"))
		}
	}
	switch {
	case r.Node == "" || len(r.Node) > keyMost:
		return ErrMalformed.Of("node", fmt.Errorf("a name of 1 to %d bytes is wanted", keyMost))
	case r.Incarnation == 0:
		return ErrMalformed.Of(r.Node, errors.New("incarnation: 0"))
	case r.Cut < 0:
		return ErrMalformed.Of(r.Node, errors.New("cut: negative"))
	}
	return nil
}

// Bounded is the report in at most ReportMost bytes of JSON: backends with the least at stake are left out first, then
// the lightest tenants, and Cut says how many entries are missing. Backends come by id.
func (r Report) Bounded() (Report, error) {
	r.Backends, r.ByConns, r.ByWork = slices.Clone(r.Backends), slices.Clone(r.ByConns), slices.Clone(r.ByWork)
	for {
		slices.SortFunc(r.Backends, func(a, b BackendLoad) int { return cmp.Compare(a.ID, b.ID) })
		text, err := json.Marshal(r)
		switch {
		case err != nil:
			return Report{}, ErrMalformed.Of(r.Node, err)
		case len(text) <= ReportMost:
			return r, nil
		case !r.cut():
			return Report{}, ErrMalformed.Of(r.Node, errors.New("too long with nothing left to cut"))
		}
	}
}

// cut leaves out a part of the longest of the report's lists; false where all are empty.
func (r *Report) cut() bool {
	part := func(n int) int { return n - (n+7)/8 }
	switch n := len(r.Backends); {
	case n > 0 && n >= max(len(r.ByConns), len(r.ByWork)):
		slices.SortFunc(r.Backends, func(a, b BackendLoad) int {
			return cmp.Or(cmp.Compare(b.Outstanding, a.Outstanding), cmp.Compare(b.Estimate, a.Estimate), cmp.Compare(a.ID, b.ID))
		})
		r.Backends = r.Backends[:part(n)]
		r.Cut += n - len(r.Backends)
	case len(r.ByConns) > 0 && len(r.ByConns) >= len(r.ByWork):
		n = len(r.ByConns)
		r.ByConns = r.ByConns[:part(n)]
		r.Cut += n - len(r.ByConns)
	case len(r.ByWork) > 0:
		n = len(r.ByWork)
		r.ByWork = r.ByWork[:part(n)]
		r.Cut += n - len(r.ByWork)
	default:
		return false
	}
	return true
}
