package balance

import "time"

// cordon says whether an operator has taken an endpoint out of service. Invariant: an active cordon has cordonedAt. An
// inactive cordon has cordonedAt and uncordonedAt, unless the endpoint was never cordoned.
type cordon struct {
	active       bool
	cordonedAt   time.Duration // last time that the endpoint was cordoned
	uncordonedAt time.Duration // last time that the endpoint was uncordoned
}

// onCordonChanged takes an endpoint out of service, or puts it back into service. An event that repeats the present
// state changes nothing. A cordoned endpoint gets no requests, even if a list shows it as ready. An uncordoned endpoint
// counts as a new process, in slow start.
func (b *Balancer) onCordonChanged(ev *CordonChanged) {
	c := b.cordons[ev.Endpoint]
	if c.active == ev.Cordoned {
		return
	}
	c.active = ev.Cordoned
	if c.active {
		c.cordonedAt = ev.At
	} else {
		c.uncordonedAt = ev.At
	}
	b.cordons[ev.Endpoint] = c
	if e := b.endpoints[ev.Endpoint]; e != nil && !c.active {
		e.resetProcess(b.now)
		b.grantSlowStartCredit(e)
	}
	b.chooseSubset()
}

// resetAtUncordon reports whether the start time in a list lies within the endpoint's last cordon. In that case the
// endpoint's state was already reset when the endpoint was uncordoned.
func (b *Balancer) resetAtUncordon(listed Endpoint) bool {
	c := b.cordons[listed.ID]
	return !c.active && c.uncordonedAt > 0 && c.cordonedAt <= listed.StartedAt && listed.StartedAt <= c.uncordonedAt
}

// UncordonedAt returns when an operator last uncordoned an endpoint, on the Balancer's clock; 0 means never.
func (b *Balancer) UncordonedAt(id EndpointID) time.Duration { return b.cordons[id].uncordonedAt }
