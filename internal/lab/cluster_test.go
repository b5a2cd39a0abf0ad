package lab

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"hitchvale/internal/sysfault"
)

// testCluster starts a cluster of registry replicas, which is closed at the end of the test.
func testCluster(t *testing.T, registries int) (*cluster, context.Context) {
	t.Helper()
	return testClusterWithPlans(t, registries, nil)
}

// testClusterWithPlans starts a cluster in which some replicas run under plans of failing system calls, by replica.
func testClusterWithPlans(t *testing.T, registries int, plans map[int]sysfault.Plan) (*cluster, context.Context) {
	t.Helper()
	nodeBinary, hitchvale := binaries(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	t.Cleanup(cancel)
	c, err := newCluster(Options{NodeBinary: nodeBinary, CommandBinary: hitchvale, Out: t.TempDir()}, 7)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.close)
	c.registryPlans = plans
	if err := c.startRegistries(ctx, registries); err != nil {
		t.Fatal(err)
	}
	return c, ctx
}

// waitFor polls ok until it returns true. It fails the test after eventTimeout; event says what was waited for.
func waitFor(t *testing.T, event string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", event)
		}
	}
}

// registerMember registers a member at the replica at addr.
func registerMember(ctx context.Context, c *cluster, addr, id string) error {
	m := Member{ID: id, HostPort: "127.0.0.1:9", Phase: "ready", Size: 1}
	return c.registryCall(ctx, http.MethodPost, addr, "/registry/members", map[string]any{"member": m}, nil)
}

// The registry's leader is partitioned from its peers while clients still reach it. It acknowledges no write and serves
// no read after stale_read. The majority elects a new leader and accepts writes. After the partition, every replica has
// the acknowledged writes, and no replica has the write that the partitioned leader did not acknowledge.
func TestPartitionedLeaderAcknowledgesNoWrites(t *testing.T) {
	t.Parallel()
	c, ctx := testCluster(t, 3)
	if err := registerMember(ctx, c, c.registryAddr[0], "before"); err != nil {
		t.Fatal(err)
	}
	oldLeader := c.leaderIndex(ctx)
	links := c.matchLinks([]string{fmt.Sprintf("registry-%d:registry-*", oldLeader),
		fmt.Sprintf("registry-*:registry-%d", oldLeader)})
	if len(links) != 4 {
		t.Fatalf("%d links of the leader, want 4", len(links))
	}
	for _, p := range links {
		p.Partition(true)
	}
	majority := c.registryAddr[(oldLeader+1)%3]
	if err := registerMember(ctx, c, c.registryAddr[oldLeader], "lost"); err == nil {
		t.Error("a leader without a majority acknowledged a write")
	}
	waitFor(t, "a write at the majority", func() bool { return registerMember(ctx, c, majority, "during") == nil })
	// After the old leader has stepped down, it may serve reads for stale_read, like every follower.
	waitFor(t, "the partitioned replica to refuse reads", func() bool {
		err := c.registryCall(ctx, http.MethodGet, c.registryAddr[oldLeader], "/registry/instances", nil, nil)
		return err != nil && strings.Contains(err.Error(), "503")
	})
	for _, p := range links {
		p.Partition(false)
	}
	for m, addr := range c.registryAddr {
		waitFor(t, fmt.Sprintf("the acknowledged writes at registry-%d", m), func() bool {
			var list struct{ Members []Member }
			if c.registryCall(ctx, http.MethodGet, addr, "/registry/instances", nil, &list) != nil {
				return false
			}
			held := map[string]bool{}
			for _, x := range list.Members {
				held[x.ID] = true
			}
			if held["lost"] {
				t.Errorf("registry-%d has a write that the partitioned leader did not acknowledge", m)
			}
			return held["before"] && held["during"]
		})
	}
}

// A leader that is partitioned in one direction (it receives from its peers, and they do not receive from it) blocks
// writes for no longer than an election.
func TestOneWayPartitionDoesNotStopWrites(t *testing.T) {
	t.Parallel()
	c, ctx := testCluster(t, 3)
	leader := c.leaderIndex(ctx)
	for _, p := range c.matchLinks([]string{fmt.Sprintf("registry-%d:registry-*", leader)}) {
		p.Partition(true)
	}
	addr := c.registryAddr[(leader+1)%3]
	waitFor(t, "a write at another replica", func() bool { return registerMember(ctx, c, addr, "one") == nil })
}

// Two of three replicas have disks on which 30 % of the writes and syncs fail for a while, and wall clocks that step.
// The leader is killed and restarted meanwhile. No replica exits by itself, and afterwards every replica has all
// acknowledged writes.
func TestReplicasOnFailingDisksKeepAcknowledgedWrites(t *testing.T) {
	t.Parallel()
	plan := sysfault.Plan{{Kind: sysfault.Disk, From: 2 * time.Second, For: 4 * time.Second, Share: 0.3},
		{Kind: sysfault.Clock, From: 3 * time.Second, Step: -time.Hour}}
	c, ctx := testClusterWithPlans(t, 3, map[int]sysfault.Plan{0: plan, 1: plan})
	c.log = slog.New(slog.DiscardHandler)
	var acknowledged []string
	killed := false
	for i, end := 0, time.Now().Add(9*time.Second); time.Now().Before(end); i++ {
		id := fmt.Sprintf("member-%d", i)
		within, cancel := context.WithTimeout(ctx, time.Second)
		if registerMember(within, c, c.registryAddr[i%3], id) == nil {
			acknowledged = append(acknowledged, id)
		}
		cancel()
		if leader := c.leaderIndex(ctx); !killed && leader >= 0 && time.Until(end) < 5*time.Second {
			killed = true
			p := c.processes["registry"][leader]
			p.Kill()
			if err := p.Start(c.spawner); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	if !killed || len(acknowledged) < 20 {
		t.Errorf("leader killed: %v, %d writes acknowledged; want a kill and at least 20 writes", killed,
			len(acknowledged))
	}
	starts := 0
	for i, p := range c.processes["registry"] {
		starts += p.starts()
		waitFor(t, "the acknowledged writes at "+p.Name, func() bool {
			var list listResponse
			if c.registryCall(ctx, http.MethodGet, c.registryAddr[i], "/registry/instances", nil, &list) != nil {
				return false
			}
			have := map[string]bool{}
			for _, m := range list.Members {
				have[m.ID] = true
			}
			return !slices.ContainsFunc(acknowledged, func(id string) bool { return !have[id] })
		})
		if p.Exited() == nil {
			t.Errorf("%s has exited", p.Name)
		}
	}
	if starts != 4 {
		t.Errorf("replicas were started %d times, want 4: three starts and one restart", starts)
	}
}
