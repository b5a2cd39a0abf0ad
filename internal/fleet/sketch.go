package fleet

import (
	"cmp"
	"slices"
)

// maxKeyBytes is the maximum length of a key. A sketch cuts longer keys to this length.
const maxKeyBytes = 64

// WeightedKey is a key of a sketch. Its true weight is at most Weight and at least Weight less MaxError.
type WeightedKey struct {
	Key      string  `json:"key"`
	Weight   float64 `json:"weight"`
	MaxError float64 `json:"over,omitempty"`
}

// Sketch finds the keys of the greatest weight in a stream, with a fixed number of counters (Space-Saving: Metwally,
// Agrawal and El Abbadi, "Efficient computation of frequent and top-k elements in data streams", 2005). The weights are
// exact as long as there are no more keys than counters. With more keys, the sketch contains every key whose weight is
// above Total divided by the number of counters. It is not safe for concurrent use.
type Sketch struct {
	capacity int            // number of counters
	heap     []WeightedKey  // binary heap ordered by compareWeights, the key of the least weight first
	position map[string]int // index in heap, by key
	total    float64
}

// NewSketch returns an empty sketch with the given number of counters, but at least one.
func NewSketch(counters int) *Sketch {
	counters = max(counters, 1)
	return &Sketch{
		capacity: counters,
		heap:     make([]WeightedKey, 0, counters),
		position: make(map[string]int, counters),
	}
}

// Add adds a weight to a key. A weight that is not above 0 changes nothing.
func (s *Sketch) Add(key string, weight float64) {
	if !(weight > 0) {
		return
	}
	if len(key) > maxKeyBytes {
		key = key[:maxKeyBytes]
	}
	s.total += weight
	if i, ok := s.position[key]; ok {
		s.heap[i].Weight += weight
		s.siftDown(i)
		return
	}
	if len(s.heap) < s.capacity {
		s.append(WeightedKey{Key: key, Weight: weight})
		return
	}
	s.replaceLeast(key, weight)
}

// append adds a counter for a new key.
func (s *Sketch) append(key WeightedKey) {
	i := len(s.heap)
	s.heap = append(s.heap, key)
	s.position[key.Key] = i
	s.siftUp(i)
}

// replaceLeast gives the counter of the key of the least weight to a new key. The new key may already have had a weight
// before it was dropped from the sketch, but at most the weight of the old key. The weight of the old key is therefore
// the MaxError of the new key.
func (s *Sketch) replaceLeast(key string, weight float64) {
	least := s.heap[0]
	delete(s.position, least.Key)
	s.heap[0] = WeightedKey{Key: key, Weight: least.Weight + weight, MaxError: least.Weight}
	s.position[key] = 0
	s.siftDown(0)
}

// Total returns the sum of the weights added.
func (s *Sketch) Total() float64 { return s.total }

// Top returns the n keys of the greatest weight, or all keys if there are fewer, the heaviest first.
func (s *Sketch) Top(n int) []WeightedKey {
	keys := slices.Clone(s.heap)
	slices.SortFunc(keys, func(a, b WeightedKey) int { return -compareWeights(a, b) })
	return keys[:min(n, len(keys))]
}

// Clear removes all keys and keeps the allocated memory.
func (s *Sketch) Clear() {
	s.heap = s.heap[:0]
	s.total = 0
	clear(s.position)
}

// compareWeights orders by weight, and by key if the weights are equal, so that the same stream gives the same sketch.
func compareWeights(a, b WeightedKey) int {
	return cmp.Or(cmp.Compare(a.Weight, b.Weight), cmp.Compare(b.Key, a.Key))
}

func (s *Sketch) swap(i, j int) {
	s.heap[i], s.heap[j] = s.heap[j], s.heap[i]
	s.position[s.heap[i].Key] = i
	s.position[s.heap[j].Key] = j
}

func (s *Sketch) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if compareWeights(s.heap[i], s.heap[parent]) >= 0 {
			return
		}
		s.swap(i, parent)
		i = parent
	}
}

func (s *Sketch) siftDown(i int) {
	for {
		least := i
		for _, child := range []int{2*i + 1, 2*i + 2} {
			if child < len(s.heap) && compareWeights(s.heap[child], s.heap[least]) < 0 {
				least = child
			}
		}
		if least == i {
			return
		}
		s.swap(i, least)
		i = least
	}
}
