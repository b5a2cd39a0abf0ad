package balance

import (
	"math"
	"time"
)

// This file estimates what stands at a server and how long a request would wait there.

// entry is the queue estimate: what other nodes have there, what this node has out, what was not accepted, and what was given
// up and may still stand there.
func (b *Balancer) queueEstimate(s *endpointState) float64 {
	return b.otherNodesLoad(s) + s.inFlight + s.unaccepted + s.abandoned
}

// cost is the entry weighed by the time that one place in this server's queue has taken lately: the time in
// which an average request would be answered, with the time that failures are worth.
func (b *Balancer) costSeconds(s *endpointState) float64 {
	queue := (b.queueEstimate(s) + 1) * b.serviceSeconds(s)
	silent := max(0, b.silenceSeconds(s)-silenceQueues*queue)
	return queue + b.failureCostSeconds(s) + silent + b.crossZoneCostSeconds(s)
}

// handicap is the time that crossing zones must save to be worth its price. Times include the way already.
func (b *Balancer) crossZoneCostSeconds(s *endpointState) float64 {
	if s.Zone == b.cfg.Zone {
		return 0
	}
	return b.cfg.Prices.CrossZone * crossZoneObjectives * b.meanObjectiveSeconds
}

// pace is the time for each place in the queue by now: a server that warms up gets quicker.
func (b *Balancer) serviceSeconds(s *endpointState) float64 {
	return b.warmServiceSeconds(s) / b.slowStartFraction(s)
}

// warmPace is the time for each place that a server takes, or will take, when warm. One without a history
// has that of its peers.
func (b *Balancer) warmServiceSeconds(s *endpointState) float64 {
	if s.meanLatencySeconds == 0 {
		return b.meanServiceSeconds
	}
	return s.meanLatencySeconds / (s.meanQueueAtArrival + 1)
}

// wait is the time that an average request would lose at a server, crossing aside. Failures are no time: they
// send a request elsewhere while they can, and a server that serves about half is better than a refusal.
func (b *Balancer) expectedWaitSeconds(s *endpointState) float64 {
	wait := b.costSeconds(s) - b.crossZoneCostSeconds(s) - b.meanUnloadedSeconds()
	if s.failureRate < maxUsefulFailureRate {
		wait -= b.failureCostSeconds(s)
	}
	return wait
}

// others is the part of other nodes by now: what was told fades into what is usual, as a queue turns over.
// Taken at its word, an old report makes all nodes rush at once to the server that was idle then, and in a
// large fleet the smallest entry is the oldest one. So the usual follows the mean of what all servers say.
func (b *Balancer) otherNodesLoad(s *endpointState) float64 {
	usual := b.expectedLoad(s)
	return usual + (s.reportedLoad-usual)*b.reportWeight(s, usual)
}

// usual is what other nodes have at a server when nothing newer is known.
func (b *Balancer) expectedLoad(s *endpointState) float64 {
	return max(0, b.zoneMeanLoad(s)+s.loadBias)
}

// fresh is the part of what was told last that still holds, squared where other nodes act on the same report.
func (b *Balancer) reportWeight(s *endpointState, usual float64) float64 {
	turn := (usual + 1) * b.serviceSeconds(s)
	return math.Pow(turn/(turn+(b.now-s.reportedAt).Seconds()), 2)
}

// crowd is the mean of what other nodes have at some servers by the latest reports.
type loadAverage struct {
	mean, reports float64
	updatedAt     time.Duration
}

func (c *loadAverage) add(now time.Duration, others float64) {
	c.reports++
	w := min(zoneMeanMaxWeight, (now-c.updatedAt).Seconds()/zoneMeanSeconds)
	c.mean, c.updatedAt = c.mean+max(sampleWeight, 1/c.reports, w)*(others-c.mean), now
}

// mean is what other nodes have at a server of the zone: one zone may have more traffic than it can carry.
func (b *Balancer) zoneMeanLoad(s *endpointState) float64 {
	if c := b.zoneLoads[s.Zone]; c.reports > 0 {
		return c.mean
	}
	return b.fleetLoad.mean // nothing heard of this zone yet
}
