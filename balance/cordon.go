package balance

import "time"

// This file decides on servers that are taken out by hand.

// cordon tells that a server is out, or when it was put back.
type cordon struct {
	out    bool
	since  time.Duration // when it was taken out last
	backAt time.Duration // when it was put back last
}

// onCordonChanged takes a server out, or puts it back. Twice out is out once. While it is out it gets nothing new, whatever
// the lists say; put back it is another process, as cold as one that has just started.
func (b *Balancer) onCordonChanged(ev *CordonChanged) {
	c := b.cordons[ev.Endpoint]
	switch {
	case c.out == ev.Cordoned:
		return
	case ev.Cordoned:
		c.out, c.since = true, ev.At
	default:
		c.out, c.backAt = false, ev.At
	}
	b.cordons[ev.Endpoint] = c
	if s := b.servers[ev.Endpoint]; s != nil && !c.out {
		b.renew(s)
		b.grantCold(s)
	}
	b.choose()
}

// launched is when a server's process started. One that was put back was restarted while it was out, whether or not
// a list has told of it yet.
func (b *Balancer) launched(s *server) time.Duration {
	if c := b.cordons[s.ID]; c.backAt > 0 && s.StartedAt < c.since {
		return c.backAt
	}
	return s.StartedAt
}

// renew forgets what was known of a server's old process. What was out there is lost with it; its outcomes are still
// to come.
func (b *Balancer) renew(s *server) {
	s.more, s.told, s.stuck, s.left, s.credit, s.since, s.served = 0, 0, 0, 0, 0, b.now, 0
	s.time, s.fails, s.failed, s.owesAt = 0, 0, false, b.now
}

// renewedFor tells whether a start that a list tells came while the server was out: it was renewed when put back.
func (b *Balancer) renewedFor(m Endpoint) bool {
	c := b.cordons[m.ID]
	return !c.out && c.backAt > 0 && c.since <= m.StartedAt && m.StartedAt <= c.backAt
}

// UnavailableEndpoints counts the listed servers that get no requests now but to try them.
func (b *Balancer) UnavailableEndpoints() int {
	n := 0
	for _, s := range b.servers {
		if s.Phase == Draining || s.Phase == Ready && (s.failed || b.cordons[s.ID].out) {
			n++
		}
	}
	return n
}

// UncordonedAt is when a server was last put back by hand, on the Balancer's clock; 0: never.
func (b *Balancer) UncordonedAt(id EndpointID) time.Duration { return b.cordons[id].backAt }
