package registry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// cluster is a registry of several replicas in this process.
type cluster struct {
	t               testing.TB
	configs         []Config
	replicas        []*Replica
	http            []string
	stops           []func() // ends replica i's HTTP side and waits for it
	ackBeforeCommit bool     // the planted bug, for every replica opened
	disks           []*faultyDisk
}

func testConfig(id, dir string) Config {
	c := defaultConfig()
	c.ID, c.DataDir, c.Bootstrap = id, dir, true
	c.Timing.Heartbeat.Duration = 50 * time.Millisecond
	c.Timing.Election.Duration = 50 * time.Millisecond
	c.Timing.LeaderLease.Duration = 50 * time.Millisecond
	return c
}

// newCluster starts n replicas in this process on ports of 127.0.0.1 that the system picks.
func newCluster(t testing.TB, n int) *cluster { return newClusterWith(t, n, false) }

func newClusterWith(t testing.TB, n int, ackEarly bool) *cluster {
	return newClusterFor(t, n, ackEarly, fleetInterval)
}

func newClusterFor(t testing.TB, n int, ackEarly bool, interval time.Duration) *cluster {
	t.Helper()
	c := &cluster{t: t, ackBeforeCommit: ackEarly, replicas: make([]*Replica, n), stops: make([]func(), n)}
	var peers []Peer
	var raftLn, httpLn []net.Listener
	for i := range n {
		rl, hl := listen(t, "127.0.0.1:0"), listen(t, "127.0.0.1:0")
		raftLn, httpLn = append(raftLn, rl), append(httpLn, hl)
		peers = append(peers, Peer{ID: fmt.Sprintf("r%d", i), RaftAddr: rl.Addr().String(), HTTPAddr: hl.Addr().String()})
	}
	for i := range n {
		cfg := testConfig(peers[i].ID, t.TempDir())
		cfg.RaftAddr, cfg.HTTPAddr, cfg.Peers = peers[i].RaftAddr, peers[i].HTTPAddr, peers
		cfg.FleetInterval.Duration = interval
		c.configs, c.http = append(c.configs, cfg), append(c.http, cfg.HTTPAddr)
		c.open(i, raftLn[i], httpLn[i])
	}
	t.Cleanup(func() {
		for i := range c.replicas {
			c.stop(i)
		}
	})
	return c
}

func listen(t testing.TB, addr string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (c *cluster) open(i int, raftLn, httpLn net.Listener) {
	if len(c.disks) <= i {
		c.disks = append(c.disks, &faultyDisk{})
	}
	r, err := openWithStore(c.configs[i], raftLn, slog.New(slog.DiscardHandler), c.disks[i].wrap)
	if err != nil {
		c.t.Fatal(err)
	}
	r.ackBeforeCommit = c.ackBeforeCommit
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() { r.Serve(ctx, httpLn); close(served) }()
	c.replicas[i], c.stops[i] = r, func() { cancel(); <-served }
}

// stop stops replica i and closes its files.
func (c *cluster) stop(i int) {
	if c.replicas[i] == nil {
		return
	}
	c.stops[i]()
	c.replicas[i].Close()
	c.replicas[i] = nil
}

// restart opens replica i again from its folder, on its addresses.
func (c *cluster) restart(i int) {
	c.open(i, listen(c.t, c.configs[i].RaftAddr), listen(c.t, c.configs[i].HTTPAddr))
}

// leader waits for a leader among the replicas still open.
func (c *cluster) leader(t testing.TB) int {
	t.Helper()
	for range 200 {
		for i, r := range c.replicas {
			if r != nil && r.IsLeader() {
				return i
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("no leader")
	return -1
}

func call(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}
