package fleet

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Against exact counts over random streams: a key's weight is never too low nor higher by more than MaxError,
// every key above its share of the total is there, there are no more counters than configured, and with no more keys
// than counters all is exact.
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
			t.Fatalf("%d counters of %d, total %v of %v", len(top), size, s.Total(), total)
		}
		there := map[string]bool{}
		for i, h := range top {
			there[h.Key] = true
			if w := exact[h.Key]; w > h.Weight || w < h.Weight-h.MaxError || len(exact) <= size && w != h.Weight {
				t.Fatalf("%+v, true weight %v", h, w)
			}
			if i > 0 && h.Weight > top[i-1].Weight {
				t.Fatalf("out of order: %+v", top)
			}
		}
		for key, w := range exact {
			if w > total/float64(size) && !there[key] {
				t.Fatalf("%s with %v of %v is missing among %d", key, w, total, size)
			}
		}
	})
}

// Keys of any length and number take no more memory, and a cleared sketch counts again without allocating.
func TestSketchMemoryIsFixed(t *testing.T) {
	s := NewSketch(64)
	fill := func() {
		for i := range 2000 {
			s.Add(strings.Repeat("x", i%100)+fmt.Sprint(i), 1)
		}
	}
	fill()
	for _, h := range s.Top(64) {
		if len(h.Key) > maxKeyBytes {
			t.Errorf("a key of %d bytes is stored", len(h.Key))
		}
	}
	s.Clear()
	if s.Add("a", 1); s.Total() != 1 || len(s.Top(9)) != 1 {
		t.Errorf("after Clear: %v", s.Top(9))
	}
	s.Add("a", -1)
	if s.Total() != 1 {
		t.Errorf("a weight below 0 counts")
	}
}

// A report is trimmed to its bound, counts what it omits, and omits the least loaded endpoints.
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
	b, err := r.Trimmed()
	if err != nil {
		t.Fatal(err)
	}
	if len(b.Endpoints)+b.Omitted != 20000 || len(b.TenantsByConnections) != 32 || len(r.Endpoints) != 20000 {
		t.Errorf("%d backends, %d cut, %d tenants", len(b.Endpoints), b.Omitted, len(b.TenantsByConnections))
	}
	for i, x := range b.Endpoints {
		if x.Outstanding < 3 {
			t.Fatalf("%+v is reported while busier ones are omitted", x)
		}
		if i > 0 && x.ID <= b.Endpoints[i-1].ID {
			t.Fatal("not by id")
		}
	}
}

// Nothing is omitted for 1,024 endpoints with the longest IDs and metrics.
func TestReportsHold1024Endpoints(t *testing.T) {
	r := Report{Node: "n1", Incarnation: 1}
	for i := range 1024 {
		r.Endpoints = append(r.Endpoints, EndpointLoad{ID: fmt.Sprintf("%0*d", maxKeyBytes, i),
			QueueEstimate: 1234.5678901234567 / 3, Outstanding: 1000.0 / 3, FailureRate: 1.0 / 3e6})
	}
	for i := range 64 {
		heavy := WeightedKey{Key: fmt.Sprintf("%0*d", maxKeyBytes, i), Weight: 1000.0 / 3}
		r.TenantsByConnections, r.TenantsByWork = append(r.TenantsByConnections, heavy), append(r.TenantsByWork, heavy)
	}
	if b, err := r.Trimmed(); err != nil || b.Omitted != 0 || len(b.Endpoints) != 1024 {
		t.Errorf("%d backends, %d cut, %v", len(b.Endpoints), b.Omitted, err)
	}
}
