package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func openSessions(t testing.TB, n int) *SessionStore {
	t.Helper()
	s := NewSessionStore()
	for i := range n {
		c := &SessionCommand{"session-open", session(fmt.Sprintf("n%03d", i), "p", 1)}
		if _, err := s.Apply(c, int64(i+1)); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// The age of a report is the age of the view that it echoes, whenever the report arrives. A report that was delayed, or
// that echoes no view of this term, is not fresh. A report that is not newer than the last report, or is of a process
// without a session, is rejected.
func TestReportAgeComesFromEchoedView(t *testing.T) {
	const interval = time.Second
	s := openSessions(t, 2)
	c := NewCollector(7, interval)
	report := func(incarnation, sequence uint64, echoed ViewVersion) ReportRequest {
		return ReportRequest{
			Report:   Report{Node: "n000", Incarnation: incarnation, Sequence: sequence},
			LastView: echoed,
		}
	}
	for i := range 5 {
		c.Compile(s, 1, time.Duration(i)*interval) // epoch i+1, published after i intervals
	}
	for name, tc := range map[string]struct {
		r     ReportRequest
		err   error
		age   int64 // expected age in ms, 5 intervals after the start
		fresh bool
	}{
		"echoes the last view":           {r: report(1, 1, ViewVersion{7, 5}), age: 1000, fresh: true},
		"at the greatest fresh age":      {r: report(1, 1, ViewVersion{7, 3}), age: 3000, fresh: true},
		"delayed":                        {r: report(1, 1, ViewVersion{7, 2}), age: 4000},
		"echoes no view":                 {r: report(1, 1, ViewVersion{}), age: -1},
		"echoes another term":            {r: report(1, 1, ViewVersion{6, 5}), age: -1},
		"echoes a future view":           {r: report(1, 1, ViewVersion{7, 6}), age: -1},
		"without an incarnation":         {r: report(0, 1, ViewVersion{7, 5}), err: ErrMalformed, age: -1},
		"of a process without a session": {r: report(2, 1, ViewVersion{7, 5}), err: ErrSessionNotFound, age: -1},
		"of a node without a name":       {r: ReportRequest{Report: Report{Incarnation: 1}}, err: ErrMalformed, age: -1},
	} {
		t.Run(name, func(t *testing.T) {
			c := *c
			c.reports = map[string]latestReport{}
			if err := c.Add(s, tc.r); !errors.Is(err, tc.err) {
				t.Fatalf("error %v, want %v", err, tc.err)
			}
			if err := c.Add(s, tc.r); tc.err == nil && !errors.Is(err, ErrStaleReport) {
				t.Errorf("adding the same report again: error %v, want ErrStaleReport", err)
			}
			v := c.Compile(s, 1, 5*interval)
			if n := v.Nodes[0]; n.AgeMs != tc.age || n.Fresh != tc.fresh {
				t.Errorf("age %d ms, fresh %v; want %d ms, %v", n.AgeMs, n.Fresh, tc.age, tc.fresh)
			}
		})
	}
}

// The bytes of a view do not depend on the order in which reports arrive. The endpoints' loads come from fresh reports
// alone, and a single faulty node does not change the medians.
func TestViewIsIndependentOfReportOrder(t *testing.T) {
	s := openSessions(t, 9)
	compile := func(seed uint64) []byte {
		c := NewCollector(1, time.Second)
		c.Compile(s, 1, 0)
		for _, i := range rand.New(rand.NewPCG(seed, 0)).Perm(9) {
			report := Report{
				Node:        fmt.Sprintf("n%03d", i),
				Incarnation: 1,
				Sequence:    1,
				Metrics:     LoadMetrics{Connections: float64(i)},
			}
			r := ReportRequest{Report: report, LastView: ViewVersion{1, 1}}
			for j := range 3 {
				r.Endpoints = append(r.Endpoints, EndpointLoad{
					ID:            fmt.Sprint("s", j),
					QueueEstimate: 0.1 * float64(i+j),
					Outstanding:   0.1 * float64(i),
					FailureRate:   0.01,
				})
			}
			if i == 8 { // a faulty node
				r.Endpoints[0] = EndpointLoad{ID: "s0", QueueEstimate: 1e9, FailureRate: 1}
			}
			if i == 7 {
				r.LastView = ViewVersion{} // the report's age is not known
			}
			if err := c.Add(s, r); err != nil {
				t.Fatal(err)
			}
		}
		text, err := json.Marshal(c.Compile(s, 1, time.Second))
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	first := compile(1)
	for seed := range uint64(20) {
		if text := compile(seed); string(text) != string(first) {
			t.Fatalf("seed %d: the view depends on the order of the reports:\n%s\nwant\n%s", seed, text, first)
		}
	}
	var v View
	if err := json.Unmarshal(first, &v); err != nil {
		t.Fatal(err)
	}
	if e := v.Endpoints[0]; e.ReportingNodes != 8 || e.QueueEstimate > 0.5 || e.FailureRate != 0.01 {
		t.Errorf("a faulty or stale node changed the endpoint's load: %+v", e)
	}
}
