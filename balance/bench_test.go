package balance

import (
	"strconv"
	"testing"
	"time"
)

// One request with its probes and its answer, in a fleet of full size that the node keeps to whole.
func BenchmarkRequestAtFullSize(b *testing.B) {
	cfg := site()
	cfg.Instances, cfg.Prices.HealthCheck = 600, 0.001
	cfg.Tenants = nil
	members := make([]Endpoint, 250)
	for i := range members {
		members[i] = listedEndpoint(EndpointID(i+1), 0, i/5)
	}
	r := newRig(b, cfg, members...)
	for i := 0; b.Loop(); i++ {
		id := strconv.Itoa(i)
		r.wait(200 * time.Millisecond)
		r.do(RequestArrived{Request: id, ExpectedWork: 20 * ms, TimeLeft: time.Second})
		for _, a := range of(HealthCheck, r.last) {
			r.do(report(a.Endpoint, 1))
			for _, s := range of(Forward, r.last) {
				r.do(AttemptEnded{Request: id, Endpoint: s.Endpoint, Elapsed: 20 * ms, Final: true})
			}
		}
		r.do(TimerFired{ID: r.b.timers.lastID})
	}
}
