package balance

import (
	"strconv"
	"testing"
	"time"
)

// One request with its health checks and its answer, in a large fleet without subsets.
func BenchmarkRequestAtFullSize(b *testing.B) {
	cfg := testConfig()
	cfg.Instances, cfg.Prices.HealthCheck = 600, 0.001
	cfg.Tenants = nil
	members := make([]Endpoint, 250)
	for i := range members {
		members[i] = listedEndpoint(EndpointID(i+1), 0, i/5)
	}
	r := newHarness(b, cfg, members...)
	for i := 0; b.Loop(); i++ {
		id := strconv.Itoa(i)
		r.advance(200 * time.Millisecond)
		r.handle(RequestArrived{Request: id, ExpectedWork: 20 * ms, TimeLeft: time.Second})
		for _, a := range ofKind(HealthCheck, r.last) {
			r.handle(loadReported(a.Endpoint, 1))
			for _, s := range ofKind(Forward, r.last) {
				r.handle(AttemptEnded{Request: id, Endpoint: s.Endpoint, Elapsed: 20 * ms, Final: true})
			}
		}
		r.handle(TimerFired{ID: r.b.timers.lastID})
	}
}
