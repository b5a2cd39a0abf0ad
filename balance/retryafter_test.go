package balance

import (
	"testing"
	"time"
)

// A rejection says when to try again. The time is longer behind longer queues, and never longer than clients accept.
func TestRejectionsCarryRetryAfter(t *testing.T) {
	advice := func(others float64, endpoints ...Endpoint) time.Duration {
		cfg := testConfig()
		cfg.Limits.MaxRetryAfter = 2 * time.Second
		h := newHarness(t, cfg, endpoints...)
		h.serve(100, idempotent, in20ms)
		for _, s := range h.b.endpoints {
			s.loadBias, s.reportedLoad = others, others
		}
		return h.b.retryAfter()
	}
	free := advice(0, listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	full := advice(500, listedEndpoint(1, 0, 0), listedEndpoint(2, 0, 0))
	if free <= 0 || full <= free || full > 2*time.Second {
		t.Errorf("Retry-After %v without a queue, %v behind a long queue", free, full)
	}
	if none := advice(0, Endpoint{ID: 1, Phase: Draining}); none <= 0 || none > 2*time.Second {
		t.Errorf("Retry-After without a usable endpoint: %v", none)
	}
}
