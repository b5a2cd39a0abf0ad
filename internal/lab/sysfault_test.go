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

// BenchmarkEmptyPlan plays the same load with nodes under a plan that changes nothing and with nodes as they are, side
// by side: served requests and the 99th percentile of their times. Run it also beside busy processes.
func BenchmarkEmptyPlan(b *testing.B) {
	s, err := ParseScenario([]byte(`
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
		under := s
		under.emptyPlan = true
		out := [2]string{b.TempDir(), b.TempDir()}
		done := make(chan struct{})
		go func() { playInto(b, under, out[1]); close(done) }()
		playInto(b, s, out[0])
		<-done
		for i, name := range []string{"plain", "shimmed"} {
			served, p99 := servedOf(b, out[i])
			b.ReportMetric(float64(served), name+"-served")
			b.ReportMetric(p99.Seconds()*1000, name+"-p99-ms")
		}
	}
}

func playInto(b *testing.B, s Scenario, dir string) {
	nodeBinary, hitchvale := binaries(b)
	if _, err := Run(context.Background(), s, Options{Out: filepath.Join(dir, "out"), NodeBinary: nodeBinary,
		CommandBinary: hitchvale}); err != nil {
		b.Error(err)
	}
}

// servedOf reads how many requests of a run were served, and the 99th percentile of their times.
func servedOf(b *testing.B, dir string) (served int, p99 time.Duration) {
	text, err := os.ReadFile(filepath.Join(dir, "out", "outcomes.jsonl"))
	if err != nil {
		b.Fatal(err)
	}
	var times []int64
	for line := range strings.Lines(string(text)) {
		var o Outcome
		if err := json.Unmarshal([]byte(line), &o); err != nil {
			b.Fatal(err)
		}
		if o.Kind == kindServed {
			times = append(times, o.DoneAt-o.SentAt)
		}
	}
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(times)
	return len(times), time.Duration(times[len(times)*99/100])
}
