package balance

import (
	"cmp"
	"slices"
)

const (
	// minSubsetSize is the least number of endpoints of each zone that a node uses.
	minSubsetSize = 3
	// subsetSpanSeconds: a node uses as many endpoints of a zone as it has requests in this time. Of an endpoint met
	// more seldom it knows only what has long passed.
	subsetSpanSeconds = 0.15
	// nodesPerEndpoint is the number of subsets that an endpoint is in on average, so that none goes without.
	nodesPerEndpoint = 8
)

// subsetSize follows the rate of a node's first attempts. Invariant: size >= minSubsetSize.
type subsetSize struct {
	size      int // endpoints of each zone
	forwarded int // first attempts in this window
}

// initialSubsetSize takes the tenants' quotas, as far as the site has them, for the rate.
func initialSubsetSize(requestsPerSecond float64) subsetSize {
	return subsetSize{size: max(minSubsetSize, int(requestsPerSecond*subsetSpanSeconds))}
}

// endWindow sets the size by the rate of the last window; it shrinks by one a window.
func (s *subsetSize) endWindow(seconds float64) {
	s.size = max(minSubsetSize, s.size-1, int(float64(s.forwarded)/seconds*subsetSpanSeconds))
	s.forwarded = 0
}

// chooseSubset sets b.usable to the endpoints of each zone that this node uses: the first ones in its own order. A node
// with little traffic would learn too little of each of all endpoints, and each would need a connection from every
// node. Outliers are used beside the subset, but no more of them than its size: under overload many endpoints seem to
// fail, and a node that goes on to others each time meets more and more endpoints, knows none of them and pays a
// handshake for each.
func (b *Balancer) chooseSubset() {
	b.usable = b.usable[:0]
	inZone := map[int]int{}
	for _, e := range b.endpoints {
		if b.inService(e) {
			b.usable = append(b.usable, e)
			inZone[e.Zone]++
		}
	}
	slices.SortFunc(b.usable, func(x, y *endpointState) int { return cmp.Compare(x.subsetRank, y.subsetRank) })
	counted, outliers := map[int]int{}, map[int]int{}
	b.usable = slices.DeleteFunc(b.usable, func(e *endpointState) bool {
		size := max(b.subset.size, (nodesPerEndpoint*inZone[e.Zone]-1)/b.cfg.Instances+1)
		if e.outlier && outliers[e.Zone] < size {
			outliers[e.Zone]++
		} else {
			counted[e.Zone]++
		}
		return counted[e.Zone] > size
	})
	slices.SortFunc(b.usable, func(x, y *endpointState) int { return cmp.Compare(x.ID, y.ID) })
}

// subsetRank is an endpoint's place in a node's order, drawn by hash so that the nodes' subsets differ.
func subsetRank(id EndpointID, node int) uint64 {
	return splitMix64(uint64(id) ^ splitMix64(uint64(node)))
}

// splitMix64 spreads the bits of x: it is the finalizer of the generator SplitMix64.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
