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

// cluster is a registry cluster whose replicas run in this process. The slices are indexed by replica.
type cluster struct {
	t               testing.TB
	configs         []Config
	replicas        []*Replica // nil while the replica is stopped
	http            []string   // HTTP addresses
	stops           []func()   // stops serving the replica's HTTP interface and waits until Serve has returned
	ackBeforeCommit bool       // injects the fault of the same name into every replica
	disks           []*faultyDisk
}

// testConfig returns a configuration with short raft timeouts that bootstraps the cluster.
func testConfig(id, dir string) Config {
	c := defaultConfig()
	c.ID, c.DataDir, c.Bootstrap = id, dir, true
	c.Timing.Heartbeat.Duration = 50 * time.Millisecond
	c.Timing.Election.Duration = 50 * time.Millisecond
	c.Timing.LeaderLease.Duration = 50 * time.Millisecond
	return c
}

// newCluster starts n replicas in this process on ports of 127.0.0.1 that the system chooses. They stop at the end of
// the test.
func newCluster(t testing.TB, n int) *cluster { return newClusterWithFault(t, n, false) }

// newClusterWithFault is like newCluster. If ackBeforeCommit is true, the replicas acknowledge writes before raft
// commits them.
func newClusterWithFault(t testing.TB, n int, ackBeforeCommit bool) *cluster {
	return newClusterWithInterval(t, n, ackBeforeCommit, fleetInterval)
}

// newClusterWithInterval is like newClusterWithFault, with the interval at which the leader publishes fleet views.
func newClusterWithInterval(t testing.TB, n int, ackBeforeCommit bool, interval time.Duration) *cluster {
	t.Helper()
	c := &cluster{t: t, ackBeforeCommit: ackBeforeCommit, replicas: make([]*Replica, n), stops: make([]func(), n)}
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

// listen opens a TCP listener.
func listen(t testing.TB, addr string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// open opens replica i and serves its HTTP interface.
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

// stop stops replica i and closes its files. It does nothing if the replica is already stopped.
func (c *cluster) stop(i int) {
	if c.replicas[i] == nil {
		return
	}
	c.stops[i]()
	c.replicas[i].Close()
	c.replicas[i] = nil
}

// restart opens the stopped replica i again with its data directory and its addresses.
func (c *cluster) restart(i int) {
	c.open(i, listen(c.t, c.configs[i].RaftAddr), listen(c.t, c.configs[i].HTTPAddr))
}

// leader waits until one of the open replicas is the leader and returns its index.
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
	t.Fatal("no replica became the leader")
	return -1
}

// call makes an HTTP call and returns the status and the body of the response. If no response arrives, it returns
// status 0 and the text of the error.
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
