package lease

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"hitchvale/internal/registry"
)

// startReplica starts a registry of one replica in this process. It returns the replica's HTTP address and a function
// that stops the replica. The replica also stops at the end of the test.
func startReplica(t *testing.T) (string, func()) {
	t.Helper()
	raftListener, _ := net.Listen("tcp", "127.0.0.1:0")
	httpListener, _ := net.Listen("tcp", "127.0.0.1:0")
	cfg, err := registry.ParseConfig([]byte(fmt.Sprintf(`id = "r0"
data_dir = %q
http = %q
raft = %q
bootstrap = true
[raft_timing]
heartbeat = "50ms"
election = "50ms"
leader_lease = "50ms"
`, t.TempDir(), httpListener.Addr(), raftListener.Addr())))
	if err != nil {
		t.Fatal(err)
	}
	replica, err := registry.Open(cfg, raftListener, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() { replica.Serve(ctx, httpListener); close(served) }()
	stopped := false
	stop := func() {
		if !stopped {
			stopped = true
			cancel()
			<-served
			replica.Close()
		}
	}
	t.Cleanup(stop)
	return httpListener.Addr().String(), stop
}

// When a holder releases its lease, the waiting candidate immediately gets the lease with a higher token. When a holder
// can no longer renew its lease, Lost is closed within the TTL.
func TestReleaseHandsOverAndLossIsNotified(t *testing.T) {
	addr, stop := startReplica(t)
	client := &Client{Replicas: []string{addr}}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	const ttl = 400 * time.Millisecond
	first, err := client.Acquire(ctx, "duty", "a", ttl)
	if err != nil {
		t.Fatal(err)
	}
	acquired := make(chan *Lease, 1)
	go func() {
		lease, err := client.Acquire(ctx, "duty", "b", ttl)
		if err != nil {
			t.Error(err)
		}
		acquired <- lease
	}()
	time.Sleep(3 * ttl) // the first holder renews the lease, so the candidate must still wait
	select {
	case <-acquired:
		t.Fatal("a second process acquired the lease while the first holder renewed it")
	case <-first.Lost:
		t.Fatal("a holder that renews its lease lost it")
	default:
	}
	released := time.Now()
	if err := first.Release(ctx); err != nil {
		t.Fatal(err)
	}
	second := <-acquired
	if took := time.Since(released); second == nil || second.Token <= first.Token || took > 200*time.Millisecond {
		t.Fatalf("the candidate acquired lease %+v %s after the release, want a higher token within 200ms", second, took)
	}
	stop()
	stopped := time.Now()
	select {
	case <-second.Lost:
		if took := time.Since(stopped); took > ttl {
			t.Fatalf("Lost was closed after %s, later than the TTL", took)
		}
	case <-time.After(2 * ttl):
		t.Fatal("Lost was not closed")
	}
	second.Release(ctx)
}
