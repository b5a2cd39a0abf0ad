package balance

import "time"

// All nodes share one discovery service, and a fleet that starts or fails together calls it together. So each node
// draws the time of its call from a span.
const (
	// pollSpreadDivisor: the calls of n nodes are spread over n times the poll interval divided by this.
	pollSpreadDivisor = 200
	// failedPollDivisor: calls after a failure are spread over at least the poll interval divided by this.
	failedPollDivisor = 20
	// maxPollDelay is the longest delay of a call: a change must be known 6 s after discovery could be reached.
	maxPollDelay = 3750 * time.Millisecond
	// maxPollDoublings bounds the doublings of the span by failures in a row.
	maxPollDoublings = 10
	// defaultPollInterval stands where the site has no Rules.PollInterval; the bounds hold for any.
	defaultPollInterval = 10 * time.Second
	minPollInterval     = time.Second
	maxPollInterval     = time.Hour
)

// discoveryState is how the last calls to discovery went.
type discoveryState struct {
	failures int // in a row
}

func (d *discoveryState) succeeded() { d.failures = 0 }

// onDiscoveryFailed polls again after a while: without a subscription the node learns of no drain.
func (b *Balancer) onDiscoveryFailed() {
	if !b.cfg.PollDiscovery {
		return
	}
	if b.discovery.failures == 0 {
		b.log("discovery unavailable: polling again")
	}
	b.discovery.failures++
	b.pollWithin(b.pollBackoff())
}

// pollSpread is the span over which the nodes of the fleet spread their calls.
func (b *Balancer) pollSpread() time.Duration {
	return min(b.cfg.Rules.PollInterval/pollSpreadDivisor*time.Duration(b.cfg.Instances), maxPollDelay)
}

// pollBackoff is the span of the call after a failure: it doubles with each failure in a row.
func (b *Balancer) pollBackoff() time.Duration {
	base := max(b.cfg.Rules.PollInterval/failedPollDivisor, b.pollSpread())
	return min(base<<min(b.discovery.failures, maxPollDoublings+1), maxPollDelay)
}

// pollWithin calls discovery at a random time within a span.
func (b *Balancer) pollWithin(span time.Duration) {
	b.setTimer(time.Duration(b.rng.Float64()*float64(span)), timer{kind: discoveryPoll})
}
