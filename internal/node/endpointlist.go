package node

import (
	"hitchvale/balance"
	"hitchvale/internal/discovery"
)

// This file takes in lists of backends, and what is out by hand.

// updateEndpoints takes in what discovery says.
func (l *eventLoop) updateEndpoints(kind balance.ListKind, list discovery.List) {
	if len(list.Members) > 0 {
		l.log.Info("list of backends", "revision", list.Revision, "complete", list.Complete, "members", len(list.Members))
	}
	l.listRevision = list.Revision
	l.awaitingFirstList = l.awaitingFirstList && kind == balance.CachedList
	if list.Complete {
		for _, b := range l.backendsByID {
			b.phase = balance.Removed // unless the list names it
		}
	}
	members := make([]balance.Endpoint, 0, len(list.Members))
	for _, m := range list.Members {
		b := l.backendsByID[m.ID]
		fresh := b == nil
		if fresh {
			b = &backend{endpointID: balance.EndpointID(len(l.backendsByEndpointID)), id: m.ID}
			l.backendsByID[m.ID] = b
			l.backendsByEndpointID = append(l.backendsByEndpointID, b)
			l.log.Info("backend named", "number", b.endpointID, "id", b.id, "address", m.Address)
			l.applyCordon(b, l.cordons.Backends[b.id])
		}
		to := backendProcess{m.Address, m.StartedAt}
		if m.Phase == balance.Removed {
			to = b.process // where it was
		}
		if b.process != to {
			l.upstream.pool.closeIdleTo(b.process)
		}
		if restarted := b.process.startedAt != to.startedAt; fresh || restarted {
			b.startedAt = l.startOf(to.startedAt)
		}
		b.process, b.phase, b.listEntry = to, m.Phase, m.Raw
		line := m.Endpoint
		line.ID, line.StartedAt = b.endpointID, b.startedAt
		members = append(members, line)
	}
	if kind != balance.CachedList {
		l.lastListAt = l.now()
	}
	l.handle(balance.EndpointsListed{Kind: kind, Endpoints: members})
	l.availabilityChanged()
}
