package balance

import (
	"fmt"
	"time"
)

const (
	// failureCostObjectives is what a certain failure costs, in mean latency objectives.
	failureCostObjectives = 3.0
	// failureWeight is the weight of a new outcome in a failure rate.
	failureWeight = 0.1
	// failureRateDecay is the fraction of a failure rate that is forgotten in each window, so that traffic returns.
	failureRateDecay = 0.25
	// outlierFailureRate is above that of a single failure.
	outlierFailureRate = 0.11
	// recoveredFailureRate is that of an outlier that serves again.
	recoveredFailureRate = 0.02
)

// outliers compares the failure rates of endpoints: what all have in common makes none of them an outlier.
type outliers struct {
	meanFailureRate float64
}

func (o *outliers) learn(failureRate float64, endpoints int) {
	o.meanFailureRate += failureWeight * (failureRate - o.meanFailureRate) / float64(endpoints+1)
}

func (e *endpointState) countFailure() { e.failureRate += failureWeight * (1 - e.failureRate) }

func (e *endpointState) countSuccess() { e.failureRate -= failureWeight * e.failureRate }

func (e *endpointState) fadeFailureRate() { e.failureRate -= failureRateDecay * e.failureRate }

// failureCostSeconds is the time that an endpoint's failures cost, beyond those that all endpoints have.
func (b *Balancer) failureCostSeconds(e *endpointState) float64 {
	return max(0, e.failureRate-b.outliers.meanFailureRate) * failureCostObjectives * b.latency.meanObjectiveSeconds
}

// silenceSeconds is how long an endpoint has owed this node an answer without a sign of life. One that hangs has a
// bearable queue while it takes everything sent to it.
func (b *Balancer) silenceSeconds(e *endpointState) float64 {
	if e.inFlight == 0 {
		return 0
	}
	return (b.now - e.lastActivityAt).Seconds()
}

// recordOutcome keeps an endpoint's failure rate, by this node's own attempts: an endpoint that fails fast looks idle
// to any health check. Cancelled and unsent attempts are no evidence.
func (b *Balancer) recordOutcome(e *endpointState, status Status, a *attempt, elapsed time.Duration) {
	switch status {
	case StatusSucceeded, StatusRejected:
		e.countSuccess()
		e.lastActivityAt = b.now
	case StatusTimedOut:
		b.recordTimeout(e, a, elapsed)
	case StatusApplicationError, StatusConnectionLost, StatusNotDelivered:
		e.lastActivityAt = b.now
		e.countFailure()
	}
}

// recordTimeout: an attempt that timed out while others were answered is no failure, unless it must have been lost.
func (b *Balancer) recordTimeout(e *endpointState, a *attempt, elapsed time.Duration) {
	switch {
	case a.lost: // counted by checkLoss
	case e.inFlight == 0 && e.lastActivityAt <= a.sentAt:
		e.failureRate = 1 // nothing came back at all
	case b.isLost(a, elapsed):
		e.countFailure()
	}
}

// updateOutlier compares an endpoint's failure rate with that of all, and logs when traffic is withheld.
func (b *Balancer) updateOutlier(e *endpointState) {
	b.outliers.learn(e.failureRate, len(b.usable))
	switch {
	case !e.outlier && e.failureRate > outlierFailureRate:
		e.outlier = true
		b.log(fmt.Sprintf("endpoint %d is an outlier: traffic withheld", e.ID))
	case e.outlier && e.failureRate < recoveredFailureRate:
		e.outlier = false
		b.log(fmt.Sprintf("endpoint %d has recovered", e.ID))
	}
}
