package balance

// Stats holds figures of a Balancer for a node's log.
type Stats struct {
	UsableEndpoints int     // endpoints that may get requests
	QueueBudget     float64 // fraction of the latency slack that queues may use
	UnloadedLatency float64 // mean latency in seconds of a request that did not wait in a queue
	ShortestWait    float64 // shortest expected wait in seconds at a usable endpoint; 0 if there is none
}

// Stats returns the current figures.
func (b *Balancer) Stats() Stats {
	stats := Stats{
		UsableEndpoints: len(b.usable),
		QueueBudget:     b.queueBudget.fraction,
		UnloadedLatency: b.latency.meanUnloadedSeconds(),
	}
	for i, e := range b.usable {
		if wait := b.expectedWaitSeconds(e); i == 0 || wait < stats.ShortestWait {
			stats.ShortestWait = wait
		}
	}
	return stats
}

// EndpointLoads returns the node's view of the endpoints that it uses, ordered by id.
func (b *Balancer) EndpointLoads() (loads []EndpointLoad) {
	for _, e := range b.usable {
		loads = append(loads, EndpointLoad{
			ID:            e.ID,
			QueueEstimate: b.queueEstimate(e),
			InFlight:      e.inFlight,
			FailureRate:   e.failureRate,
		})
	}
	return loads
}

// UnavailableEndpoints returns the number of listed endpoints that are draining, cordoned or outliers.
func (b *Balancer) UnavailableEndpoints() int {
	n := 0
	for _, e := range b.endpoints {
		if e.Phase == Draining || e.Phase == Ready && (e.outlier || b.cordons[e.ID].active) {
			n++
		}
	}
	return n
}
