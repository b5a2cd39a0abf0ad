package fleet

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A sketch of a random stream is compared with exact counts. The weight of a key in the sketch is at least its exact
// weight, and exceeds it by at most MaxError. The sketch contains every key whose weight is above the total divided by
// the number of counters. There are no more counters than configured. With no more keys than counters, the weights are
// exact.
func TestSketchKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 12).Draw(t, "size")
		s, exact, total := NewSketch(size), map[string]float64{}, 0.0
		for _, k := range rapid.SliceOfN(rapid.IntRange(0, 30), 0, 200).Draw(t, "keys") {
			key, w := fmt.Sprint("t", k), float64(1+k%3)
			s.Add(key, w)
			exact[key] += w
			total += w
		}
		top := s.Top(size)
		if len(top) > size || s.Total() != total || len(s.position) != len(s.heap) {
			t.Fatalf("%d counters, want at most %d; total %v, want %v", len(top), size, s.Total(), total)
		}
		found := map[string]bool{}
		for i, k := range top {
			found[k.Key] = true
			if w := exact[k.Key]; w > k.Weight || w < k.Weight-k.MaxError || len(exact) <= size && w != k.Weight {
				t.Fatalf("entry %+v, want its bounds to contain the exact weight %v", k, w)
			}
			if i > 0 && k.Weight > top[i-1].Weight {
				t.Fatalf("the keys are not ordered by weight: %+v", top)
			}
		}
		for key, w := range exact {
			if w > total/float64(size) && !found[key] {
				t.Fatalf("%s has weight %v of %v and is missing among %d counters", key, w, total, size)
			}
		}
	})
}

// Long keys are cut, a cleared sketch counts anew, and weights below 0 are ignored.
func TestSketchCutsLongKeysAndClears(t *testing.T) {
	s := NewSketch(64)
	fill := func() {
		for i := range 2000 {
			s.Add(strings.Repeat("x", i%100)+fmt.Sprint(i), 1)
		}
	}
	fill()
	for _, k := range s.Top(64) {
		if len(k.Key) > maxKeyBytes {
			t.Errorf("a key of %d bytes is stored, want at most %d", len(k.Key), maxKeyBytes)
		}
	}
	s.Clear()
	if s.Add("a", 1); s.Total() != 1 || len(s.Top(9)) != 1 {
		t.Errorf("one key was added after Clear: got %v, want one key of weight 1", s.Top(9))
	}
	s.Add("a", -1)
	if s.Total() != 1 {
		t.Errorf("a weight below 0 is counted")
	}
}

// A trimmed report omits the least loaded endpoints and counts the omitted entries. The original report does not
// change.
func TestReportsAreTrimmed(t *testing.T) {
	r := Report{Node: "n1", Incarnation: 1}
	for i := range 20000 {
		load := EndpointLoad{ID: fmt.Sprintf("s-%08d", i), QueueEstimate: 0.123, Outstanding: float64(i % 5)}
		r.Endpoints = append(r.Endpoints, load)
	}
	for i := range 32 {
		tenant := WeightedKey{Key: fmt.Sprint("tenant", i), Weight: float64(100 - i)}
		r.TenantsByConnections = append(r.TenantsByConnections, tenant)
	}
	trimmed, err := r.Trimmed()
	if err != nil {
		t.Fatal(err)
	}
	if len(trimmed.Endpoints)+trimmed.Omitted != 20000 || len(trimmed.TenantsByConnections) != 32 ||
		len(r.Endpoints) != 20000 {
		t.Errorf("%d endpoints, %d omitted, %d tenants",
			len(trimmed.Endpoints), trimmed.Omitted, len(trimmed.TenantsByConnections))
	}
	for i, load := range trimmed.Endpoints {
		if load.Outstanding < 3 {
			t.Fatalf("endpoint %+v is reported, and endpoints with more load are omitted", load)
		}
		if i > 0 && load.ID <= trimmed.Endpoints[i-1].ID {
			t.Fatal("the endpoints are not sorted by ID")
		}
	}
}

// A report of 1,024 endpoints with the longest IDs and figures is not trimmed.
func TestReportsHold1024Endpoints(t *testing.T) {
	r := Report{Node: "n1", Incarnation: 1}
	for i := range 1024 {
		r.Endpoints = append(r.Endpoints, EndpointLoad{ID: fmt.Sprintf("%0*d", maxKeyBytes, i),
			QueueEstimate: 1234.5678901234567 / 3, Outstanding: 1000.0 / 3, FailureRate: 1.0 / 3e6})
	}
	for i := range 64 {
		tenant := WeightedKey{Key: fmt.Sprintf("%0*d", maxKeyBytes, i), Weight: 1000.0 / 3}
		r.TenantsByConnections = append(r.TenantsByConnections, tenant)
		r.TenantsByWork = append(r.TenantsByWork, tenant)
	}
	if trimmed, err := r.Trimmed(); err != nil || trimmed.Omitted != 0 || len(trimmed.Endpoints) != 1024 {
		t.Errorf("%d endpoints, %d omitted, error %v; want 1024, 0 and no error",
			len(trimmed.Endpoints), trimmed.Omitted, err)
	}
}
