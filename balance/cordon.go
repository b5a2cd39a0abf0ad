package balance

import "time"

// cordon is whether an operator has taken an endpoint out of service. Invariant: an active one has cordonedAt; one that
// is not active has uncordonedAt too, unless the endpoint was never cordoned.
type cordon struct {
	active       bool
	cordonedAt   time.Duration // the last time
	uncordonedAt time.Duration // the last time
}

// onCordonChanged takes an endpoint out of service, or puts it back; to repeat either changes nothing. While it is
// cordoned it gets no requests, whatever the lists say. Uncordoned it is another process, in slow start.
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

// resetAtUncordon reports whether a start in a list came while the endpoint was cordoned: its state was reset when it
// was uncordoned.
func (b *Balancer) resetAtUncordon(listed Endpoint) bool {
	c := b.cordons[listed.ID]
	return !c.active && c.uncordonedAt > 0 && c.cordonedAt <= listed.StartedAt && listed.StartedAt <= c.uncordonedAt
}

// UncordonedAt is when an endpoint was last put back into service by an operator, on the Balancer's clock; 0: never.
func (b *Balancer) UncordonedAt(id EndpointID) time.Duration { return b.cordons[id].uncordonedAt }
