package balance

import "cmp"

const (
	// maxPriorityFactor bounds the effect of priority: a request of the lowest priority is still served at low load.
	maxPriorityFactor = 2.0
	// prioritySampleWeight is the weight of a request in the mean priority.
	prioritySampleWeight = 0.01
)

// priorityFactor is how the bound for a request compares with that for an average one: a request of higher priority
// may join a longer queue, so that it is served where not all can be. A request beyond its tenant's quota earns
// little, and is among the first to be rejected.
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

// priority is the priority weight of a request for each unit of work, which is that of a mean class.
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
