package registry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// Writes a second that three replicas on loopback commit and apply, 64 writers at once.
func BenchmarkWritesThreeReplicas(b *testing.B) {
	c := newCluster(b, 3)
	r := c.replicas[c.leader(b)]
	b.SetParallelism(8)
	var n sync.Mutex
	i := 0
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			n.Lock()
			i++
			id := fmt.Sprintf("s-%d", i%5000)
			n.Unlock()
			m := Member{ID: id, HostPort: "127.0.0.1:9000", Phase: PhaseReady, Size: 1}
			if res, err := r.Write(&MemberCommand{Op: "register", Member: m}); err != nil || res.Err != nil {
				b.Error(err, res.Err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "writes/s")
}

// The time from a write's acknowledgement until each of 300 watches on the leader has its answer (p50, p99), and
// the memory each open watch holds.
func BenchmarkWatchFanOut300(b *testing.B) {
	const watchers = 300
	c := newCluster(b, 3)
	lead := c.leader(b)
	r, addr := c.replicas[lead], c.http[lead]
	tr := &http.Transport{MaxIdleConnsPerHost: watchers, MaxConnsPerHost: watchers}
	defer tr.CloseIdleConnections()
	client := &http.Client{Transport: tr}
	var lat []float64
	var perWatch float64
	for i := 0; i < b.N; i++ {
		rev := r.Status().Revision
		var ms0, ms1 runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&ms0)
		arrived := make(chan time.Time, watchers)
		var wg sync.WaitGroup
		for range watchers {
			wg.Go(func() {
				resp, err := client.Get(fmt.Sprintf("http://%s/registry/instances?after=%d&wait_ms=20000", addr, rev))
				if err != nil {
					b.Error(err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				arrived <- time.Now()
			})
		}
		waitWatches(b, r, watchers)
		runtime.ReadMemStats(&ms1)
		perWatch = float64(ms1.HeapInuse+ms1.StackInuse-ms0.HeapInuse-ms0.StackInuse) / watchers
		member := Member{ID: fmt.Sprintf("w-%d", i), HostPort: "127.0.0.1:1", Phase: PhaseReady}
		if _, err := r.Write(&MemberCommand{Op: "register", Member: member}); err != nil {
			b.Fatal(err)
		}
		acked := time.Now()
		wg.Wait()
		close(arrived)
		for t := range arrived {
			lat = append(lat, float64(t.Sub(acked).Microseconds())/1000)
		}
	}
	slices.Sort(lat)
	b.ReportMetric(lat[len(lat)/2], "p50-ms")
	b.ReportMetric(lat[len(lat)*99/100], "p99-ms")
	b.ReportMetric(perWatch, "B/watch")
}

// waitWatches waits until n watches wait on the state's change channel (counted by the replica).
func waitWatches(b *testing.B, r *Replica, n int64) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for r.openWatches.Load() < n {
		if ctx.Err() != nil {
			b.Fatalf("%d of %d watches open", r.openWatches.Load(), n)
		}
		time.Sleep(time.Millisecond)
	}
}

// The time a replica takes to restore its state from its newest snapshot on disk (read, verify the checksum,
// decode), at 10k, 100k and 1M members; the snapshot's size is reported beside it. Raft's election and the log
// after the snapshot come on top.
func BenchmarkRestoreFromSnapshot(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := NewState(64)
			for i := range n {
				member := Member{ID: fmt.Sprintf("s-%d", i), HostPort: "10.0.0.1:9000", Phase: PhaseReady, Size: 1}
				s.Apply(&MemberCommand{Op: "register", Member: member})
			}
			store, err := newSnapshotStore(b.TempDir(), slog.New(slog.DiscardHandler))
			if err != nil {
				b.Fatal(err)
			}
			text, _ := s.Encode()
			sink, _ := store.Create(1, uint64(n), 1, raft.Configuration{}, 1, nil)
			sink.Write(text)
			if err := sink.Close(); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				metas, err := store.List()
				if err != nil || len(metas) != 1 {
					b.Fatal(err)
				}
				_, rd, err := store.Open(metas[0].ID)
				if err != nil {
					b.Fatal(err)
				}
				data, _ := io.ReadAll(rd)
				if err := NewState(64).Decode(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text))/(1<<20), "MiB")
		})
	}
}
