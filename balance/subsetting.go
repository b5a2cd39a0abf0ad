package balance

import (
	"cmp"
	"slices"
)

const (
	// minSubsetSize is the least number of endpoints that a node uses in each zone.
	minSubsetSize = 3
	// subsetSpanSeconds sets the size of a subset: a node uses as many endpoints of each zone as it has requests in
	// this time. What a node knows of an endpoint that it uses less often is out of date.
	subsetSpanSeconds = 0.15
	// nodesPerEndpoint is the least number of subsets that an endpoint is in on average, so that no endpoint is left
	// out.
	nodesPerEndpoint = 8
)

// subsetSize is the size of a node's subset. It follows the rate of the node's first attempts. Invariant: size >=
// minSubsetSize.
type subsetSize struct {
	size      int // endpoints of each zone
	forwarded int // first attempts in this window
}

// initialSubsetSize is the size before the first window. The request rate is the sum of this node's parts of the
// tenants' quotas, as far as the site has quotas.
func initialSubsetSize(requestsPerSecond float64) subsetSize {
	return subsetSize{size: max(minSubsetSize, int(requestsPerSecond*subsetSpanSeconds))}
}

// endWindow sets the size by the rate of the last window. The size falls by at most one a window.
func (s *subsetSize) endWindow(seconds float64) {
	s.size = max(minSubsetSize, s.size-1, int(float64(s.forwarded)/seconds*subsetSpanSeconds))
	s.forwarded = 0
}

// chooseSubset sets b.usable to the endpoints of each zone that this node uses, which are the first ones in the node's
// own order. If a node with little traffic used all endpoints, it would learn too little of each, and each endpoint
// would need a connection from every node.
//
// Outliers are used in addition to the subset, but at most as many as the size of the subset. Under overload many
// endpoints seem to fail. A node that replaced each of them would use more and more endpoints, know the load of none
// and pay a handshake for each.
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

// subsetRank is an endpoint's position in the order of a node. It is a hash, so that the nodes' subsets differ.
func subsetRank(id EndpointID, node int) uint64 {
	return splitMix64(uint64(id) ^ splitMix64(uint64(node)))
}

// splitMix64 spreads the bits of x. It is the finalizer of the SplitMix64 generator.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
