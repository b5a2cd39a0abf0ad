package balance

// Stats is what a node may log of its Balancer.
type Stats struct {
	UsableEndpoints int     // endpoints that may get requests
	QueueBudget     float64 // fraction of the latency slack that queues may take up
	UnloadedLatency float64 // mean latency of an answer that met no queue, seconds
	ShortestWait    float64 // the shortest expected wait at an endpoint, seconds; 0 without one
}

// Stats returns the present figures.
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

// EndpointLoads returns what the node has found of the endpoints that it uses, by id.
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

// UnavailableEndpoints counts the listed endpoints that are draining, cordoned, or outliers.
func (b *Balancer) UnavailableEndpoints() int {
	n := 0
	for _, e := range b.endpoints {
		if e.Phase == Draining || e.Phase == Ready && (e.outlier || b.cordons[e.ID].active) {
			n++
		}
	}
	return n
}
