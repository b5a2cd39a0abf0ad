package balance

import "time"

// All nodes share one discovery service, and nodes that start or fail at the same time would call it at the same time.
// Therefore each node delays its call by a random time within a span.
const (
	// pollSpreadDivisor sets the span of calls: n nodes spread their calls over n/pollSpreadDivisor poll intervals.
	pollSpreadDivisor = 200
	// failedPollDivisor sets the span that failures double: at least 1/failedPollDivisor of a poll interval.
	failedPollDivisor = 20
	// maxPollDelay is the longest delay of a call: a node must know a change within 6 s after discovery is reachable.
	maxPollDelay = 3750 * time.Millisecond
	// maxPollDoublings bounds how often consecutive failures double the span.
	maxPollDoublings = 10
	// defaultPollInterval is used if the site sets no Rules.PollInterval. The bounds below hold for every interval.
	defaultPollInterval = 10 * time.Second
	minPollInterval     = time.Second
	maxPollInterval     = time.Hour
)

// discoveryState is the state of the calls to discovery.
type discoveryState struct {
	failures int // consecutive failures
}

func (d *discoveryState) succeeded() { d.failures = 0 }

// onDiscoveryFailed schedules another call: without a subscription the node does not learn that an endpoint drains.
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

// pollSpread returns the span over which the nodes of the fleet spread their calls.
func (b *Balancer) pollSpread() time.Duration {
	return min(b.cfg.Rules.PollInterval/pollSpreadDivisor*time.Duration(b.cfg.Instances), maxPollDelay)
}

// pollBackoff returns the span of the call after a failure. Each consecutive failure, including the first one, doubles
// the span.
func (b *Balancer) pollBackoff() time.Duration {
	base := max(b.cfg.Rules.PollInterval/failedPollDivisor, b.pollSpread())
	return min(base<<min(b.discovery.failures, maxPollDoublings+1), maxPollDelay)
}

// pollWithin schedules a call to discovery at a random time within a span.
func (b *Balancer) pollWithin(span time.Duration) {
	b.setTimer(time.Duration(b.rng.Float64()*float64(span)), timer{kind: discoveryPoll})
}
