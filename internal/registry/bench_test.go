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

// BenchmarkWritesThreeReplicas measures the writes per second that three replicas on the loopback interface commit and
// apply. The number of concurrent writers is 8 * GOMAXPROCS, which is 64 on 8 cores.
func BenchmarkWritesThreeReplicas(b *testing.B) {
	c := newCluster(b, 3)
	r := c.replicas[c.leader(b)]
	b.SetParallelism(8)
	var mu sync.Mutex
	i := 0
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			mu.Lock()
			i++
			id := fmt.Sprintf("s-%d", i%5000)
			mu.Unlock()
			m := Member{ID: id, HostPort: "127.0.0.1:9000", Phase: PhaseReady, Size: 1}
			if result, err := r.Write(&MemberCommand{Op: "register", Member: m}); err != nil || result.Err != nil {
				b.Error(err, result.Err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "writes/s")
}

// BenchmarkWatchFanOut300 measures the time from the acknowledgement of a write until each of 300 watches on the leader
// has its response (p50, p99), and the memory that each open watch uses.
func BenchmarkWatchFanOut300(b *testing.B) {
	const watchers = 300
	c := newCluster(b, 3)
	lead := c.leader(b)
	r, addr := c.replicas[lead], c.http[lead]
	transport := &http.Transport{MaxIdleConnsPerHost: watchers, MaxConnsPerHost: watchers}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var latenciesMs []float64
	var bytesPerWatch float64
	for i := 0; i < b.N; i++ {
		revision := r.Status().Revision
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		arrived := make(chan time.Time, watchers)
		var wg sync.WaitGroup
		for range watchers {
			wg.Go(func() {
				resp, err := client.Get(fmt.Sprintf("http://%s/registry/instances?after=%d&wait_ms=20000", addr, revision))
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
		runtime.ReadMemStats(&after)
		bytesPerWatch = float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse) / watchers
		member := Member{ID: fmt.Sprintf("w-%d", i), HostPort: "127.0.0.1:1", Phase: PhaseReady}
		if _, err := r.Write(&MemberCommand{Op: "register", Member: member}); err != nil {
			b.Fatal(err)
		}
		acknowledged := time.Now()
		wg.Wait()
		close(arrived)
		for t := range arrived {
			latenciesMs = append(latenciesMs, float64(t.Sub(acknowledged).Microseconds())/1000)
		}
	}
	slices.Sort(latenciesMs)
	b.ReportMetric(latenciesMs[len(latenciesMs)/2], "p50-ms")
	b.ReportMetric(latenciesMs[len(latenciesMs)*99/100], "p99-ms")
	b.ReportMetric(bytesPerWatch, "B/watch")
}

// waitWatches waits until the replica has n open watches. It fails the benchmark after 10 s.
func waitWatches(b *testing.B, r *Replica, n int64) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for r.openWatches.Load() < n {
		if ctx.Err() != nil {
			b.Fatalf("%d of %d watches are open after 10 s", r.openWatches.Load(), n)
		}
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkRestoreFromSnapshot measures the time in which a replica restores its state from its newest snapshot on disk
// (read, verify the checksum, decode), with 10 thousand, 100 thousand and 1 million members. It also reports the size
// of the snapshot. A real start needs additional time for raft's election and for the log after the snapshot.
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
				_, reader, err := store.Open(metas[0].ID)
				if err != nil {
					b.Fatal(err)
				}
				data, _ := io.ReadAll(reader)
				if err := NewState(64).Decode(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text))/(1<<20), "MiB")
		})
	}
}
