package balance

import (
	"fmt"
	"testing"
	"time"
)

// A node that rejects all requests has no answers to correct its estimates, so it forwards one request in
// maxProbeAdmissionInterval. If these requests wait long, the node forwards no more of them, or overload would get
// through. If they do not wait, the node stops rejecting.
func TestRejectionsSendProbeAdmissions(t *testing.T) {
	for name, c := range map[string]struct {
		spent       time.Duration
		status      Status
		least, most int
	}{
		"long wait":  {spent: 800 * ms, least: 10, most: 10},
		"rejected":   {status: StatusRejected, least: 10, most: 12},
		"short wait": {spent: 20 * ms, least: 100, most: 200},
	} {
		h := newHarness(t, testConfig(), listedEndpoint(1, 0, 0))
		h.serve(50, idempotent, in20ms)
		sent, all := 0, int(10*maxProbeAdmissionInterval)
		for i := range all {
			h.b.loads.zones[0] = loadAverage{mean: 50, reports: 1e9, updatedAt: h.now} // keeps the estimate high
			h.advance(10 * ms)
			id := fmt.Sprint(i)
			if h.arrive(id, idempotent); len(ofKind(Forward, h.last)) > 0 {
				sent++
				h.handle(AttemptEnded{Request: id, Endpoint: 1, Elapsed: c.spent, Status: c.status,
					Final: c.status == StatusSucceeded})
			}
		}
		if sent < c.least || sent > c.most {
			t.Errorf("%s: %d of %d requests sent to an endpoint that seems full, want %d to %d", name, sent, all,
				c.least, c.most)
		}
	}
}
