package lab

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// BenchmarkEmptyPlan runs the same load at the same time with nodes under a tracer whose plan has no faults, and with
// nodes without a tracer. It reports the served requests and the 99th percentile of their latencies. Run it on
// a busy machine too.
func BenchmarkEmptyPlan(b *testing.B) {
	scenario, err := ParseScenario([]byte(`
name = "empty plan"
duration = "12s"
nodes = 2
backends = 6
[load]
rate = 100
[backend]
service = "5ms"
`))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		traced := scenario
		traced.emptyPlan = true
		dirs := [2]string{b.TempDir(), b.TempDir()}
		done := make(chan struct{})
		go func() { runIntoDir(b, traced, dirs[1]); close(done) }()
		runIntoDir(b, scenario, dirs[0])
		<-done
		for i, name := range []string{"plain", "shimmed"} {
			served, p99 := readServed(b, dirs[i])
			b.ReportMetric(float64(served), name+"-served")
			b.ReportMetric(p99.Seconds()*1000, name+"-p99-ms")
		}
	}
}

// runIntoDir runs a scenario whose output is written to the folder out in dir.
func runIntoDir(b *testing.B, scenario Scenario, dir string) {
	nodeBinary, hitchvale := binaries(b)
	if _, err := Run(context.Background(), scenario, Options{Out: filepath.Join(dir, "out"), NodeBinary: nodeBinary,
		CommandBinary: hitchvale}); err != nil {
		b.Error(err)
	}
}

// readServed returns how many requests of a run were served, and the 99th percentile of their latencies.
func readServed(b *testing.B, dir string) (served int, p99 time.Duration) {
	text, err := os.ReadFile(filepath.Join(dir, "out", "outcomes.jsonl"))
	if err != nil {
		b.Fatal(err)
	}
	var latencies []int64
	for line := range strings.Lines(string(text)) {
		var outcome Outcome
		if err := json.Unmarshal([]byte(line), &outcome); err != nil {
			b.Fatal(err)
		}
		if outcome.Kind == kindServed {
			latencies = append(latencies, outcome.DoneAt-outcome.SentAt)
		}
	}
	if len(latencies) == 0 {
		return 0, 0
	}
	slices.Sort(latencies)
	return len(latencies), time.Duration(latencies[len(latencies)*99/100])
}
