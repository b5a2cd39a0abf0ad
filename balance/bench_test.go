package balance

import (
	"strconv"
	"testing"
	"time"
)

// BenchmarkRequestAtFullSize measures one request with its health checks and its answer, in a large fleet without
// subsets.
func BenchmarkRequestAtFullSize(b *testing.B) {
	cfg := testConfig()
	cfg.Instances, cfg.Prices.HealthCheck = 600, 0.001
	cfg.Tenants = nil
	endpoints := make([]Endpoint, 250)
	for i := range endpoints {
		endpoints[i] = listedEndpoint(EndpointID(i+1), 0, i/5)
	}
	h := newHarness(b, cfg, endpoints...)
	for i := 0; b.Loop(); i++ {
		id := strconv.Itoa(i)
		h.advance(200 * time.Millisecond)
		h.handle(RequestArrived{Request: id, ExpectedWork: 20 * ms, TimeLeft: time.Second})
		for _, a := range ofKind(HealthCheck, h.last) {
			h.handle(loadReported(a.Endpoint, 1))
			for _, s := range ofKind(Forward, h.last) {
				h.handle(AttemptEnded{Request: id, Endpoint: s.Endpoint, Elapsed: 20 * ms, Final: true})
			}
		}
		h.handle(TimerFired{ID: h.b.timers.lastID})
	}
}
