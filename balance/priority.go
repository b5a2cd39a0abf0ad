package balance

import "cmp"

const (
	// maxPriorityFactor limits the effect of priority, so that a request of the lowest priority is still served at low
	// load.
	maxPriorityFactor = 2.0
	// prioritySampleWeight is the weight of one request in the running mean of the priority.
	prioritySampleWeight = 0.01
)

// priorityFactor is the ratio of a request's maximum wait to that of an average request. A request of higher priority
// may join a longer queue, so that it is served when not all requests can be. A request beyond its tenant's quota has
// little value and is among the first to be rejected.
func (b *Balancer) priorityFactor(r *request) float64 {
	factor := 1.0
	if b.meanPriority > 0 {
		factor = b.priority(r) / b.meanPriority
		if q := b.quota(r); q != nil && q.exhausted() {
			factor *= b.cfg.OverQuotaValue
		}
	}
	return factor
}

// priority is the priority weight of a request for each unit of work. A unit is the work of a mean class. With
// Config.PriorityPerWork the weights are already for each unit.
func (b *Balancer) priority(r *request) float64 {
	work := b.workSeconds(r)
	if b.cfg.PriorityPerWork || work == 0 {
		return r.class.PriorityWeight
	}
	return r.class.PriorityWeight * b.latency.meanUnloadedSeconds() / work
}

func (b *Balancer) updateMeanPriority(r *request) {
	b.meanPriority = cmp.Or(b.meanPriority, b.priority(r))
	b.meanPriority += prioritySampleWeight * (b.priority(r) - b.meanPriority)
}
