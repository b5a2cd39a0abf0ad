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

// oneReplica starts a registry of one replica in this process and gives its HTTP address and its stop.
func startReplica(t *testing.T) (string, func()) {
	t.Helper()
	rl, _ := net.Listen("tcp", "127.0.0.1:0")
	hl, _ := net.Listen("tcp", "127.0.0.1:0")
	cfg, err := registry.ParseConfig([]byte(fmt.Sprintf(`id = "r0"
data_dir = %q
http = %q
raft = %q
bootstrap = true
[raft_timing]
heartbeat = "50ms"
election = "50ms"
leader_lease = "50ms"
`, t.TempDir(), hl.Addr(), rl.Addr())))
	if err != nil {
		t.Fatal(err)
	}
	r, err := registry.Open(cfg, rl, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() { r.Serve(ctx, hl); close(served) }()
	stopped := false
	stop := func() {
		if !stopped {
			stopped = true
			cancel()
			<-served
			r.Close()
		}
	}
	t.Cleanup(stop)
	return hl.Addr().String(), stop
}

// A released lease passes to the waiting candidate at once, with a higher token; a holder that can no longer
// renew is notified of the loss within the TTL.
func TestReleaseHandsOverAndLossIsNotified(t *testing.T) {
	addr, stop := startReplica(t)
	c := &Client{Replicas: []string{addr}}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	const ttl = 400 * time.Millisecond
	a, err := c.Acquire(ctx, "duty", "a", ttl)
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan *Lease, 1)
	go func() {
		b, err := c.Acquire(ctx, "duty", "b", ttl)
		if err != nil {
			t.Error(err)
		}
		got <- b
	}()
	time.Sleep(3 * ttl) // a renews: b must still wait
	select {
	case <-got:
		t.Fatal("a second holder while the first renews")
	case <-a.Lost:
		t.Fatal("a renewing holder lost its lease")
	default:
	}
	released := time.Now()
	if err := a.Release(ctx); err != nil {
		t.Fatal(err)
	}
	b := <-got
	if took := time.Since(released); b == nil || b.Token <= a.Token || took > 200*time.Millisecond {
		t.Fatalf("handover: %+v after %s", b, took)
	}
	stop()
	cut := time.Now()
	select {
	case <-b.Lost:
		if took := time.Since(cut); took > ttl {
			t.Fatalf("loss notified after %s, beyond the TTL", took)
		}
	case <-time.After(2 * ttl):
		t.Fatal("loss never notified")
	}
	b.Release(ctx)
}
