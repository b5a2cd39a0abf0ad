package balance

import "time"

// This file decides on servers that are taken out by hand.

// cordon tells that a server is out, or when it was put back.
type cordon struct {
	active       bool
	cordonedAt   time.Duration // when it was taken out last
	uncordonedAt time.Duration // when it was put back last
}

// onCordonChanged takes a server out, or puts it back. Twice out is out once. While it is out it gets nothing new, whatever
// the lists say; put back it is another process, as cold as one that has just started.
func (b *Balancer) onCordonChanged(ev *CordonChanged) {
	c := b.cordons[ev.Endpoint]
	switch {
	case c.active == ev.Cordoned:
		return
	case ev.Cordoned:
		c.active, c.cordonedAt = true, ev.At
	default:
		c.active, c.uncordonedAt = false, ev.At
	}
	b.cordons[ev.Endpoint] = c
	if s := b.endpoints[ev.Endpoint]; s != nil && !c.active {
		b.resetProcess(s)
		b.grantSlowStartCredit(s)
	}
	b.chooseSubset()
}

// launched is when a server's process started. One that was put back was restarted while it was out, whether or not
// a list has told of it yet.
func (b *Balancer) startedAt(s *endpointState) time.Duration {
	if c := b.cordons[s.ID]; c.uncordonedAt > 0 && s.StartedAt < c.cordonedAt {
		return c.uncordonedAt
	}
	return s.StartedAt
}

// renew forgets what was known of a server's old process. What was out there is lost with it; its outcomes are still
// to come.
func (b *Balancer) resetProcess(s *endpointState) {
	s.loadBias, s.reportedLoad, s.unaccepted, s.abandoned, s.slowStartCreditSeconds, s.knownSince, s.servedWorkSeconds = 0, 0, 0, 0, 0, b.now, 0
	s.meanLatencySeconds, s.failureRate, s.outlier, s.silentSince = 0, 0, false, b.now
}

// renewedFor tells whether a start that a list tells came while the server was out: it was renewed when put back.
func (b *Balancer) resetAtUncordon(m Endpoint) bool {
	c := b.cordons[m.ID]
	return !c.active && c.uncordonedAt > 0 && c.cordonedAt <= m.StartedAt && m.StartedAt <= c.uncordonedAt
}

// UnavailableEndpoints counts the listed servers that get no requests now but to try them.
func (b *Balancer) UnavailableEndpoints() int {
	n := 0
	for _, s := range b.endpoints {
		if s.Phase == Draining || s.Phase == Ready && (s.outlier || b.cordons[s.ID].active) {
			n++
		}
	}
	return n
}

// UncordonedAt is when a server was last put back by hand, on the Balancer's clock; 0: never.
func (b *Balancer) UncordonedAt(id EndpointID) time.Duration { return b.cordons[id].uncordonedAt }
