package balance

import (
	"cmp"
	"slices"
	"time"
)

// This file keeps the list of servers and the part of it that the node sends to.

// server is one backend in the list.
type server struct {
	Endpoint
	more   float64 // what other nodes usually have there, beyond the mean of its zone
	told   float64 // what they had by the last report or probe
	toldAt time.Duration
	fails  float64       // rate of failures
	failed bool          // traffic is withheld, as logged
	owesAt time.Duration // its last sign, or the send since when something is out
	out    float64       // attempts of this node that are out
	stuck  float64       // attempts not accepted since the last report
	left   float64       // attempts given up since then whose work may still stand in the queue
	seen   float64       // the last queue reported
	seenAt time.Duration // when it was first seen
	time   float64       // running mean of the time of an answer, seconds
	depth  float64       // running mean of the entry that those answers met
	heard  time.Duration // last answer
	credit float64       // work that may be sent while cold, in this window
	served float64       // work answered since the last roll of the warm rate
	since  time.Duration
	rank   uint64 // place in this node's own order of the servers
}

// onDiscoveryFailed asks again after a while: a refused or broken subscription leaves the node blind to drains.
func (b *Balancer) onDiscoveryFailed() {
	if !b.cfg.PollDiscovery {
		return
	}
	b.logTransition(&b.blind, true, false, "discovery refused: asking again", "")
	wait := max(b.cfg.Rules.PollInterval/rewatchParts, b.callSpan()) << (min(b.refusals, 10) + 1)
	b.refusals++
	b.askIn(time.Duration(b.rng.Float64() * float64(min(wait, callMost))))
}

func (b *Balancer) onEndpointsListed(ev *EndpointsListed) {
	b.blind, b.refusals = false, 0
	if ev.Kind != ListChanges {
		for _, s := range b.servers {
			s.Phase = Removed // unless the full list names it, also one that this node does not keep to
		}
	}
	for _, m := range ev.Endpoints {
		b.update(m)
	}
	b.choose()
	if len(b.ready) == 0 {
		b.log("no ready backend")
	}
	if ev.Kind == CachedList && b.cfg.PollDiscovery {
		b.askIn(time.Duration(b.rng.Float64() * float64(b.callSpan())))
	}
}

// callSpan is the time over which the nodes of the fleet spread their calls to discovery.
func (b *Balancer) callSpan() time.Duration {
	return min(b.cfg.Rules.PollInterval/callParts*time.Duration(b.cfg.Instances), callMost)
}

// askIn asks for the list in a while.
func (b *Balancer) askIn(wait time.Duration) { b.setTimer(wait, timer{}) }

// update takes in one line of the list. A changed start time is a new process with a new queue.
func (b *Balancer) update(m Endpoint) {
	s := b.servers[m.ID]
	started := s == nil || s.StartedAt != m.StartedAt && !b.renewedFor(m)
	if s == nil {
		s = &server{toldAt: b.now, since: b.now, rank: mix(uint64(m.ID) ^ mix(uint64(b.cfg.Index)))}
		b.servers[m.ID] = s
	} else if started {
		b.renew(s)
	}
	s.Endpoint = m
	if started {
		b.grantCold(s)
	}
}

// choose keeps the node to a part of the servers of each zone where its traffic is too little to see more of
// them, and each needs a connection from every node. Servers that fail are kept beside the part, but no more
// than it holds: in a jam many seem to fail, and a node that goes on to others each time meets more and more
// servers, knows none of them and pays a handshake for each. It is drawn by hash, so that nodes differ.
func (b *Balancer) choose() {
	b.ready = b.ready[:0]
	all := map[int]int{}
	for _, s := range b.servers {
		if s.Phase == Ready && !b.cordons[s.ID].out {
			b.ready = append(b.ready, s)
			all[s.Zone]++
		}
	}
	slices.SortFunc(b.ready, func(x, y *server) int { return cmp.Compare(x.rank, y.rank) })
	sound, failed := map[int]int{}, map[int]int{}
	b.ready = slices.DeleteFunc(b.ready, func(s *server) bool {
		size := max(b.partSize, (partNodes*all[s.Zone]-1)/b.cfg.Instances+1)
		if s.failed && failed[s.Zone] < size {
			failed[s.Zone]++
		} else {
			sound[s.Zone]++
		}
		return sound[s.Zone] > size
	})
	slices.SortFunc(b.ready, func(x, y *server) int { return cmp.Compare(x.ID, y.ID) })
}

// mix spreads the bits of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
