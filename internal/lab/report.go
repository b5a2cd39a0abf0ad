package lab

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// Report is the content of report.json.
type Report struct {
	Scenario   string          `json:"scenario"`
	Passed     bool            `json:"passed"`
	Counts     map[string]int  `json:"counts"` // requests by outcome kind, "excused", "excused by KIND" and "unsent"
	Checks     []Check         `json:"checks"`
	Faults     []InjectedFault `json:"faults"`
	Seconds    []Second        `json:"seconds"`
	Executions int             `json:"executions"`
	Starts     map[string]int  `json:"starts"` // number of starts by process name, restarts included
	// Propagation is the time in milliseconds from the acknowledgement of a registry change until a node has its revision.
	Propagation Distribution `json:"propagation_ms"`
	// Lease holds the figures of a lease scenario. Such a run has no load, and its only plot shows the takeovers.
	Lease *LeaseFigures `json:"duty,omitempty"`
	// PeakMemoryMB is the most memory, in MB, that each node's processes held together beside abusive clients.
	PeakMemoryMB map[string]float64 `json:"peak_memory_mb,omitempty"`
	// Starved lists the times at which children of a soak waited long for a processor. They excuse no violation.
	Starved []starvation `json:"starved,omitempty"`
	// Timeline is a text drawing of what each process did. It is written to its own file, timeline.txt.
	Timeline string `json:"-"`
}

// Second counts the requests that were sent in one second of a run.
type Second struct {
	At         int     `json:"at_s"` // seconds from the start
	Sent       int     `json:"sent"`
	Served     int     `json:"served"`
	Rejected   int     `json:"refused"`
	Failed     int     `json:"failed"`
	Unanswered int     `json:"unanswered"` // including excused requests
	P50        float64 `json:"p50_ms"`     // median latency of served requests
	P99        float64 `json:"p99_ms"`     // 99th percentile of the same latencies
}

// InjectedFault is a fault as it was injected, and the error if that failed.
type InjectedFault struct {
	At     float64  `json:"at_s"` // seconds from the start
	Kind   string   `json:"kind"`
	Target []string `json:"target"`
	Error  string   `json:"error,omitempty"`
}

// Distribution describes a sample by its size, median, 99th percentile and largest value.
type Distribution struct {
	N   int     `json:"n"`
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

func newDistribution(sample []float64) Distribution {
	if len(sample) == 0 {
		return Distribution{}
	}
	sorted := slices.Sorted(slices.Values(sample))
	return Distribution{N: len(sorted), P50: quantile(sorted, 0.5), P99: quantile(sorted, 0.99),
		Max: sorted[len(sorted)-1]}
}

// quantile returns the value below which the fraction q of a sorted sample lies. It returns 0 for an empty sample.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// Summarize builds the report of a run that began at start. The report has the checks of Verify and the given ones.
func Summarize(name string, start time.Time, history History, faults []InjectedFault, unsent int, starts map[string]int,
	checks ...Check) Report {
	report := Report{
		Scenario:   name,
		Passed:     true,
		Counts:     map[string]int{"unsent": unsent},
		Checks:     append(Verify(history), checks...),
		Faults:     faults,
		Executions: len(history.Executions),
		Starts:     starts,
	}
	for _, check := range report.Checks {
		report.Passed = report.Passed && check.OK
	}
	latencies := map[int][]float64{} // by second, in milliseconds
	for _, outcome := range history.Outcomes {
		second := int(time.Duration(outcome.SentAt - start.UnixNano()).Seconds())
		report.countOutcome(outcome, second)
		if outcome.Kind == kindServed {
			latencies[second] = append(latencies[second], float64(outcome.DoneAt-outcome.SentAt)/1e6)
		}
		if reason := history.Excuse(outcome); outcome.isUnanswered() && reason != "" {
			report.Counts["excused"]++
			report.Counts["excused by "+reason]++
		}
	}
	for second, sample := range latencies {
		slices.Sort(sample)
		report.Seconds[second].P50 = quantile(sample, 0.5)
		report.Seconds[second].P99 = quantile(sample, 0.99)
	}
	return report
}

// countOutcome counts an outcome in the totals and in the second in which the request was sent.
func (r *Report) countOutcome(outcome Outcome, second int) {
	r.Counts[outcome.Kind]++
	for len(r.Seconds) <= second {
		r.Seconds = append(r.Seconds, Second{At: len(r.Seconds)})
	}
	s := &r.Seconds[second]
	s.Sent++
	switch {
	case outcome.Kind == kindServed:
		s.Served++
	case outcome.Kind == kindRejected:
		s.Rejected++
	case outcome.Kind == kindFailed:
		s.Failed++
	case outcome.isUnanswered():
		s.Unanswered++
	}
}

// Write writes report.json and the plots into dir, which it creates if needed.
func (r Report) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "report.json"), append(text, '\n'), 0o644); err != nil {
		return err
	}
	if r.Lease != nil {
		return r.Lease.plot(filepath.Join(dir, "takeover.png"), r.Scenario)
	}
	if len(r.Seconds) == 0 {
		return nil // a run without load has no plots
	}
	for _, p := range loadPlots {
		if err := r.plot(filepath.Join(dir, p.file), p); err != nil {
			return fmt.Errorf("%s: %w", p.file, err)
		}
	}
	return nil
}
