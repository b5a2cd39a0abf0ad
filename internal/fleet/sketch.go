package fleet

import (
	"cmp"
	"slices"
)

// keyMost bounds the bytes of a key that a sketch keeps; what is longer is cut there.
const maxKeyBytes = 64

// Heavy is one key of a sketch. Its true weight is at most Weight and at least Weight less Over.
type WeightedKey struct {
	Key      string  `json:"key"`
	Weight   float64 `json:"weight"`
	MaxError float64 `json:"over,omitempty"`
}

// Sketch finds the keys of the greatest weight in a stream, in the memory of size counters whatever keys come
// (Space-Saving: Metwally, Agrawal and El Abbadi, "Efficient computation of frequent and top-k elements in data
// streams", 2005). It is exact while there are no more keys than counters; beyond, a key whose weight is above
// Total/size is always in it. Not safe for concurrent use.
type Sketch struct {
	capacity int
	heap     []WeightedKey // a heap by weight, the least first; equal weights by key, so that the same stream gives the same sketch
	position map[string]int
	total    float64
}

// NewSketch is an empty sketch of size counters (at least one).
func NewSketch(size int) *Sketch {
	size = max(size, 1)
	return &Sketch{capacity: size, heap: make([]WeightedKey, 0, size), position: make(map[string]int, size)}
}

// Add adds a weight above 0 to a key; others change nothing.
func (s *Sketch) Add(key string, weight float64) {
	if !(weight > 0) {
		return
	}
	if len(key) > maxKeyBytes {
		key = key[:maxKeyBytes]
	}
	s.total += weight
	i, ok := s.position[key]
	switch {
	case ok:
		s.heap[i].Weight += weight
	case len(s.heap) < s.capacity:
		i = len(s.heap)
		s.heap = append(s.heap, WeightedKey{Key: key, Weight: weight})
		s.position[key] = i
		s.siftUp(i)
		return
	default: // the least gives its counter, and its weight is the most that the new key can have had
		least := s.heap[0]
		delete(s.position, least.Key)
		s.heap[0] = WeightedKey{Key: key, Weight: least.Weight + weight, MaxError: least.Weight}
		s.position[key], i = 0, 0
	}
	s.siftDown(i)
}

// Total is the weight of all that was added.
func (s *Sketch) Total() float64 { return s.total }

// Top gives the n heaviest keys, the heaviest first.
func (s *Sketch) Top(n int) []WeightedKey {
	out := slices.Clone(s.heap)
	slices.SortFunc(out, func(a, b WeightedKey) int { return -compareWeights(a, b) })
	return out[:min(n, len(out))]
}

// Clear empties the sketch and keeps its memory.
func (s *Sketch) Clear() {
	s.heap, s.total = s.heap[:0], 0
	clear(s.position)
}

func compareWeights(a, b WeightedKey) int {
	return cmp.Or(cmp.Compare(a.Weight, b.Weight), cmp.Compare(b.Key, a.Key))
}

func (s *Sketch) swap(i, j int) {
	s.heap[i], s.heap[j] = s.heap[j], s.heap[i]
	s.position[s.heap[i].Key], s.position[s.heap[j].Key] = i, j
}

func (s *Sketch) siftUp(i int) {
	for p := (i - 1) / 2; i > 0 && compareWeights(s.heap[i], s.heap[p]) < 0; i, p = p, (p-1)/2 {
		s.swap(i, p)
	}
}

func (s *Sketch) siftDown(i int) {
	for {
		least := i
		for _, c := range []int{2*i + 1, 2*i + 2} {
			if c < len(s.heap) && compareWeights(s.heap[c], s.heap[least]) < 0 {
				least = c
			}
		}
		if least == i {
			return
		}
		s.swap(i, least)
		i = least
	}
}
