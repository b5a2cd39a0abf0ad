package node

import (
	"hitchvale/balance"
	"hitchvale/internal/connpool"
	"hitchvale/internal/discovery"
)

// updateEndpoints applies an endpoint list, or changes to the previous list, and notifies the Balancer. Backends that
// are missing from a complete list become removed.
func (l *eventLoop) updateEndpoints(kind balance.ListKind, list discovery.List) {
	if len(list.Members) > 0 {
		l.log.Info("endpoint list received",
			"revision", list.Revision, "complete", list.Complete, "endpoints", len(list.Members))
	}
	l.listRevision = list.Revision
	l.awaitingFirstList = l.awaitingFirstList && kind == balance.CachedList
	if list.Complete {
		for _, b := range l.backendsByID {
			b.phase = balance.Removed
		}
	}
	endpoints := make([]balance.Endpoint, 0, len(list.Members))
	for _, member := range list.Members {
		endpoints = append(endpoints, l.updateBackend(member))
	}
	if kind != balance.CachedList {
		l.lastListAt = l.now()
	}
	l.handle(balance.EndpointsListed{Kind: kind, Endpoints: endpoints})
	l.updateAvailability()
}

// updateBackend applies one entry of an endpoint list. It returns the entry with the Balancer's id and with the start
// time on the loop's clock. If the entry has a new process for the backend, idle connections to the old process are
// closed.
func (l *eventLoop) updateBackend(member discovery.Member) balance.Endpoint {
	b := l.backendsByID[member.ID]
	isNew := b == nil
	if isNew {
		b = l.addBackend(member)
	}
	process := connpool.Server{Addr: member.Address, StartedAt: member.StartedAt}
	if member.Phase == balance.Removed {
		process = b.process // the entry of a removed backend may lack an address
	}
	if b.process != process {
		l.upstream.pool.CloseIdle(b.process)
	}
	if isNew || b.process.StartedAt != process.StartedAt {
		b.startedAt = l.localStartTime(process.StartedAt)
	}
	b.process = process
	b.phase = member.Phase
	b.listEntry = member.Raw

	endpoint := member.Endpoint
	endpoint.ID = b.endpointID
	endpoint.StartedAt = b.startedAt
	return endpoint
}

// addBackend adds a newly listed backend to the tables, and applies its cordon if an operator has set one.
func (l *eventLoop) addBackend(member discovery.Member) *backend {
	b := &backend{id: member.ID, endpointID: balance.EndpointID(len(l.backendsByEndpointID))}
	l.backendsByID[b.id] = b
	l.backendsByEndpointID = append(l.backendsByEndpointID, b)
	l.log.Info("backend added", "backend", b.id, "endpoint_id", b.endpointID, "address", member.Address)
	l.applyCordon(b, l.cordons.Backends[b.id])
	return b
}
