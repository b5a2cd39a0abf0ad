package balance

import (
	"fmt"
	"time"
)

const (
	// failureCostObjectives is the cost of a failure rate of 1, in mean latency objectives.
	failureCostObjectives = 3.0
	// failureWeight is the weight of a new outcome in a failure rate.
	failureWeight = 0.1
	// failureRateDecay is the fraction by which a failure rate falls in each window, so that the endpoint gets traffic
	// again.
	failureRateDecay = 0.25
	// outlierFailureRate is the failure rate above which an endpoint is an outlier. It is above the rate after a single
	// failure.
	outlierFailureRate = 0.11
	// recoveredFailureRate is the failure rate below which an outlier has recovered.
	recoveredFailureRate = 0.02
)

// outliers holds the mean failure rate of the endpoints. A failure rate that all endpoints have in common adds no cost
// to any of them.
type outliers struct {
	meanFailureRate float64
}

func (o *outliers) updateMeanFailureRate(failureRate float64, endpoints int) {
	o.meanFailureRate += failureWeight * (failureRate - o.meanFailureRate) / float64(endpoints+1)
}

func (e *endpointState) countFailure() { e.failureRate += failureWeight * (1 - e.failureRate) }

func (e *endpointState) countSuccess() { e.failureRate -= failureWeight * e.failureRate }

func (e *endpointState) decayFailureRate() { e.failureRate -= failureRateDecay * e.failureRate }

// failureCostSeconds is the cost of an endpoint's failures beyond the mean failure rate of all endpoints.
func (b *Balancer) failureCostSeconds(e *endpointState) float64 {
	return max(0, e.failureRate-b.outliers.meanFailureRate) * failureCostObjectives * b.latency.meanObjectiveSeconds
}

// unresponsiveSeconds is how long an endpoint has shown no activity while it has attempts of this node in flight. An
// endpoint that hangs may still accept every request that is sent to it, and its queue may be short enough that it gets
// more of them.
func (b *Balancer) unresponsiveSeconds(e *endpointState) float64 {
	if e.inFlight == 0 {
		return 0
	}
	return (b.now - e.lastActivityAt).Seconds()
}

// recordOutcome updates an endpoint's failure rate and last activity by an outcome of this node's own attempts. Health
// checks are not enough, because an endpoint that fails fast looks idle to them. Cancelled and unsent attempts give no
// information about the endpoint.
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

// recordTimeout updates an endpoint's failure rate after a timeout. A timeout while other attempts were answered is not
// a failure, unless the attempt must have been lost.
func (b *Balancer) recordTimeout(e *endpointState, a *attempt, elapsed time.Duration) {
	switch {
	case a.lost: // checkLoss has counted it
	case e.inFlight == 0 && e.lastActivityAt <= a.sentAt:
		e.failureRate = 1 // the endpoint has answered nothing since the attempt was sent
	case b.isLost(a, elapsed):
		e.countFailure()
	}
}

// updateOutlier updates the mean failure rate with an endpoint's failure rate. It logs when the endpoint becomes an
// outlier, whose traffic is withheld, and when the endpoint has recovered.
func (b *Balancer) updateOutlier(e *endpointState) {
	b.outliers.updateMeanFailureRate(e.failureRate, len(b.usable))
	switch {
	case !e.outlier && e.failureRate > outlierFailureRate:
		e.outlier = true
		b.log(fmt.Sprintf("endpoint %d is an outlier: traffic withheld", e.ID))
	case e.outlier && e.failureRate < recoveredFailureRate:
		e.outlier = false
		b.log(fmt.Sprintf("endpoint %d has recovered", e.ID))
	}
}
