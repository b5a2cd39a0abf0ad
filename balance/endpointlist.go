package balance

// onEndpointsListed applies a list of endpoints from discovery.
func (b *Balancer) onEndpointsListed(ev *EndpointsListed) {
	b.discovery.succeeded()
	if ev.Kind != ListChanges {
		for _, e := range b.endpoints {
			e.Phase = Removed // unless the list names it
		}
	}
	for _, listed := range ev.Endpoints {
		b.updateEndpoint(listed)
	}
	b.chooseSubset()
	if len(b.usable) == 0 {
		b.log("no ready endpoint")
	}
	if ev.Kind == CachedList && b.cfg.PollDiscovery {
		b.pollWithin(b.pollSpread())
	}
}

// updateEndpoint applies one entry of a list. A changed start time means that the endpoint has a new process with a new
// queue.
func (b *Balancer) updateEndpoint(listed Endpoint) {
	e := b.endpoints[listed.ID]
	started := e == nil || e.StartedAt != listed.StartedAt && !b.resetAtUncordon(listed)
	switch {
	case e == nil:
		e = &endpointState{reportedAt: b.now, knownSince: b.now, subsetRank: subsetRank(listed.ID, b.cfg.Index)}
		b.endpoints[listed.ID] = e
	case started:
		e.resetProcess(b.now)
	}
	e.Endpoint = listed
	if started {
		b.grantSlowStartCredit(e)
	}
}
