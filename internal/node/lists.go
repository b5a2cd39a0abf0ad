package node

import (
	"time"

	"hitchvale/balance"
	"hitchvale/internal/discovery"
)

// This file takes in lists of backends, and what is out by hand.

// list takes in what discovery says.
func (l *loop) list(kind balance.ListKind, list discovery.List) {
	if len(list.Members) > 0 {
		l.log.Info("list of backends", "revision", list.Revision, "complete", list.Complete, "members", len(list.Members))
	}
	l.revision = list.Revision
	l.untold = l.untold && kind == balance.CachedList
	if list.Complete {
		for _, b := range l.backends {
			b.phase = balance.Removed // unless the list names it
		}
	}
	members := make([]balance.Endpoint, 0, len(list.Members))
	for _, m := range list.Members {
		b := l.backends[m.ID]
		fresh := b == nil
		if fresh {
			b = &backend{number: balance.EndpointID(len(l.byNumber)), id: m.ID}
			l.backends[m.ID] = b
			l.byNumber = append(l.byNumber, b)
			l.log.Info("backend named", "number", b.number, "id", b.id, "address", m.Address)
			l.cordon(b, l.cordons.Backends[b.id])
		}
		to := endpoint{m.Address, m.StartedAt}
		if m.Phase == balance.Removed {
			to = b.to // where it was
		}
		if b.to != to {
			l.back.pool.drop(b.to)
		}
		if restarted := b.to.launched != to.launched; fresh || restarted {
			b.start = l.startOf(to.launched)
		}
		b.to, b.phase, b.line = to, m.Phase, m.Raw
		line := m.Endpoint
		line.ID, line.StartedAt = b.number, b.start
		members = append(members, line)
	}
	if kind != balance.CachedList {
		l.listedAt = l.now()
	}
	l.handle(balance.EndpointsListed{Kind: kind, Endpoints: members})
	l.changed()
}

// changed follows a change of what may be sent to.
func (l *loop) changed() {
	ready := false
	for _, b := range l.backends {
		switch {
		case b.takes():
			ready, b.stoppedAt = true, 0
			continue
		case b.stoppedAt == 0:
			b.stoppedAt = l.now()
		}
		l.back.pool.drop(b.to)
	}
	l.ready.Store(ready && !l.untold)
	l.unsend()
	l.show(l.now())
}

// waitNoLonger has the node serve on the list that it remembers: the agent has not answered.
func (l *loop) waitNoLonger() {
	if l.untold {
		l.log.Warn("no list from discovery yet: serving on the one remembered")
		l.untold = false
		l.changed()
	}
}

// maintain takes in what is out by hand now, and what has been put back.
func (l *loop) maintain(now cordons) {
	if now.Version <= l.cordons.Version {
		return // it came late
	}
	l.placeCordons(now)
	l.cordons = now
	for id, b := range l.backends {
		l.cordon(b, now.Backends[id])
	}
	l.changed()
}

// cordon tells the module what is so of one backend. What it knows already changes nothing.
func (l *loop) cordon(b *backend, c cordon) {
	if c.Since == 0 || c.Out == b.out && (c.Out || c.Back == b.back) {
		return
	}
	l.log.Info("maintenance", "backend", b.id, "out", c.Out)
	b.out, b.back = c.Out, c.Back
	at := l.cordonTimes[b.id]
	l.handle(balance.CordonChanged{Endpoint: b.number, Cordoned: true, At: at.since})
	if !c.Out {
		l.handle(balance.CordonChanged{Endpoint: b.number, At: at.back})
	}
}

// show publishes, for the second address, what only the loop knows.
func (l *loop) show(now time.Duration) {
	l.shownAt = now
	listed := int64(0)
	for _, b := range l.backends {
		if b.phase != balance.Removed {
			listed++
		}
	}
	l.figures.members.Store(listed)
	l.figures.avoided.Store(int64(l.bal.UnavailableEndpoints()))
}

// showEvery is the least time between two looks at what the module avoids.
const showEvery = 50 * time.Millisecond
