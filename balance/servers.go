package balance

import (
	"cmp"
	"slices"
	"time"
)

// This file keeps the list of servers and the part of it that the node sends to.

// server is one backend in the list.
type endpointState struct {
	Endpoint
	loadBias               float64 // what other nodes usually have there, beyond the mean of its zone
	reportedLoad           float64 // what they had by the last report or probe
	reportedAt             time.Duration
	failureRate            float64       // rate of failures
	outlier                bool          // traffic is withheld, as logged
	silentSince            time.Duration // its last sign, or the send since when something is out
	inFlight               float64       // attempts of this node that are out
	unaccepted             float64       // attempts not accepted since the last report
	abandoned              float64       // attempts given up since then whose work may still stand in the queue
	reportedQueue          float64       // the last queue reported
	reportedQueueSince     time.Duration // when it was first seen
	meanLatencySeconds     float64       // running mean of the time of an answer, seconds
	meanQueueAtArrival     float64       // running mean of the entry that those answers met
	lastAnswerAt           time.Duration // last answer
	slowStartCreditSeconds float64       // work that may be sent while cold, in this window
	servedWorkSeconds      float64       // work answered since the last roll of the warm rate
	knownSince             time.Duration
	subsetRank             uint64 // place in this node's own order of the servers
}

// onDiscoveryFailed asks again after a while: a refused or broken subscription leaves the node blind to drains.
func (b *Balancer) onDiscoveryFailed() {
	if !b.cfg.PollDiscovery {
		return
	}
	b.logTransition(&b.discoveryUnavailable, true, false, "discovery refused: asking again", "")
	wait := max(b.cfg.Rules.PollInterval/failedPollDivisor, b.pollSpread()) << (min(b.discoveryFailures, 10) + 1)
	b.discoveryFailures++
	b.pollAfter(time.Duration(b.rng.Float64() * float64(min(wait, maxPollDelay))))
}

func (b *Balancer) onEndpointsListed(ev *EndpointsListed) {
	b.discoveryUnavailable, b.discoveryFailures = false, 0
	if ev.Kind != ListChanges {
		for _, s := range b.endpoints {
			s.Phase = Removed // unless the full list names it, also one that this node does not keep to
		}
	}
	for _, m := range ev.Endpoints {
		b.updateEndpoint(m)
	}
	b.chooseSubset()
	if len(b.usable) == 0 {
		b.log("no ready backend")
	}
	if ev.Kind == CachedList && b.cfg.PollDiscovery {
		b.pollAfter(time.Duration(b.rng.Float64() * float64(b.pollSpread())))
	}
}

// callSpan is the time over which the nodes of the fleet spread their calls to discovery.
func (b *Balancer) pollSpread() time.Duration {
	return min(b.cfg.Rules.PollInterval/pollSpreadDivisor*time.Duration(b.cfg.Instances), maxPollDelay)
}

// askIn asks for the list in a while.
func (b *Balancer) pollAfter(wait time.Duration) { b.setTimer(wait, timer{}) }

// update takes in one line of the list. A changed start time is a new process with a new queue.
func (b *Balancer) updateEndpoint(m Endpoint) {
	s := b.endpoints[m.ID]
	started := s == nil || s.StartedAt != m.StartedAt && !b.resetAtUncordon(m)
	if s == nil {
		s = &endpointState{reportedAt: b.now, knownSince: b.now, subsetRank: splitMix64(uint64(m.ID) ^ splitMix64(uint64(b.cfg.Index)))}
		b.endpoints[m.ID] = s
	} else if started {
		b.resetProcess(s)
	}
	s.Endpoint = m
	if started {
		b.grantSlowStartCredit(s)
	}
}

// choose keeps the node to a part of the servers of each zone where its traffic is too little to see more of
// them, and each needs a connection from every node. Servers that fail are kept beside the part, but no more
// than it holds: in a jam many seem to fail, and a node that goes on to others each time meets more and more
// servers, knows none of them and pays a handshake for each. It is drawn by hash, so that nodes differ.
func (b *Balancer) chooseSubset() {
	b.usable = b.usable[:0]
	all := map[int]int{}
	for _, s := range b.endpoints {
		if s.Phase == Ready && !b.cordons[s.ID].active {
			b.usable = append(b.usable, s)
			all[s.Zone]++
		}
	}
	slices.SortFunc(b.usable, func(x, y *endpointState) int { return cmp.Compare(x.subsetRank, y.subsetRank) })
	sound, failed := map[int]int{}, map[int]int{}
	b.usable = slices.DeleteFunc(b.usable, func(s *endpointState) bool {
		size := max(b.subsetSize, (nodesPerEndpoint*all[s.Zone]-1)/b.cfg.Instances+1)
		if s.outlier && failed[s.Zone] < size {
			failed[s.Zone]++
		} else {
			sound[s.Zone]++
		}
		return sound[s.Zone] > size
	})
	slices.SortFunc(b.usable, func(x, y *endpointState) int { return cmp.Compare(x.ID, y.ID) })
}

// mix spreads the bits of x (the finalizer of SplitMix64).
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
