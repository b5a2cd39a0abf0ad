package node

import (
	"hitchvale/balance"
	"hitchvale/internal/connpool"
	"hitchvale/internal/discovery"
)

// updateEndpoints applies an endpoint list, or changes to the last one, and notifies the Balancer. Backends that a
// complete list does not name count as removed.
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

// updateBackend takes in one entry of an endpoint list, and returns it with the Balancer's id and the loop's clock.
// Idle connections to a process that the entry replaces are closed.
func (l *eventLoop) updateBackend(member discovery.Member) balance.Endpoint {
	b := l.backendsByID[member.ID]
	isNew := b == nil
	if isNew {
		b = l.addBackend(member)
	}
	process := connpool.Server{Addr: member.Address, StartedAt: member.StartedAt}
	if member.Phase == balance.Removed {
		process = b.process // the entry of a removed one need not have an address
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

// addBackend enters a backend that was never listed before in the tables, with the cordon that an operator may have
// set.
func (l *eventLoop) addBackend(member discovery.Member) *backend {
	b := &backend{id: member.ID, endpointID: balance.EndpointID(len(l.backendsByEndpointID))}
	l.backendsByID[b.id] = b
	l.backendsByEndpointID = append(l.backendsByEndpointID, b)
	l.log.Info("backend added", "backend", b.id, "endpoint_id", b.endpointID, "address", member.Address)
	l.applyCordon(b, l.cordons.Backends[b.id])
	return b
}
