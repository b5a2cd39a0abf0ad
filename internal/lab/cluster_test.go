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

// testCluster is a cluster of registry replicas for a test, ended with it.
func testCluster(t *testing.T, registries int) (*cluster, context.Context) {
	t.Helper()
	return testClusterWithPlans(t, registries, nil)
}

// testClusterWithPlans has some of the replicas run under plans.
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

// waitFor waits for ok, for patience at most.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never came about: %s", what)
		}
	}
}

func registerMember(ctx context.Context, c *cluster, addr, id string) error {
	m := Member{ID: id, HostPort: "127.0.0.1:9", Phase: "ready", Size: 1}
	return c.registryCall(ctx, http.MethodPost, addr, "/registry/members", map[string]any{"member": m}, nil)
}

// The registry's leader is cut off from its peers while clients still reach it. It acknowledges no write and,
// past stale_read, serves no read; the majority elects a leader and goes on; and after the cut every
// acknowledged write is there and no refused one.
func TestPartitionedLeaderAcknowledgesNoWrites(t *testing.T) {
	t.Parallel()
	c, ctx := testCluster(t, 3)
	if err := registerMember(ctx, c, c.registryAddr[0], "before"); err != nil {
		t.Fatal(err)
	}
	old := c.leaderIndex(ctx)
	cut := c.matchLinks([]string{fmt.Sprintf("registry-%d:registry-*", old), fmt.Sprintf("registry-*:registry-%d", old)})
	if len(cut) != 4 {
		t.Fatalf("%d links of the leader, want 4", len(cut))
	}
	for _, p := range cut {
		p.Partition(true)
	}
	majority := c.registryAddr[(old+1)%3]
	if err := registerMember(ctx, c, c.registryAddr[old], "lost"); err == nil {
		t.Error("a leader without a majority acknowledged a write")
	}
	waitFor(t, "a write to the majority", func() bool { return registerMember(ctx, c, majority, "during") == nil })
	// Having stepped down it may serve what it has for stale_read more, as any follower.
	waitFor(t, "the cut-off replica refusing reads", func() bool {
		err := c.registryCall(ctx, http.MethodGet, c.registryAddr[old], "/registry/instances", nil, nil)
		return err != nil && strings.Contains(err.Error(), "503")
	})
	for _, p := range cut {
		p.Partition(false)
	}
	for m, addr := range c.registryAddr {
		waitFor(t, fmt.Sprintf("registry-%d holding what was acknowledged", m), func() bool {
			var list struct{ Members []Member }
			if c.registryCall(ctx, http.MethodGet, addr, "/registry/instances", nil, &list) != nil {
				return false
			}
			held := map[string]bool{}
			for _, x := range list.Members {
				held[x.ID] = true
			}
			if held["lost"] {
				t.Errorf("registry-%d holds a write that was never acknowledged and was outvoted", m)
			}
			return held["before"] && held["during"]
		})
	}
}

// A replica that is cut off in one direction alone (it receives from its peers, and they do not receive from it) keeps
// nobody from writing for longer than an election.
func TestOneWayPartitionDoesNotStopWrites(t *testing.T) {
	t.Parallel()
	c, ctx := testCluster(t, 3)
	lead := c.leaderIndex(ctx)
	for _, p := range c.matchLinks([]string{fmt.Sprintf("registry-%d:registry-*", lead)}) {
		p.Partition(true)
	}
	addr := c.registryAddr[(lead+1)%3]
	waitFor(t, "a write past a leader that cannot speak", func() bool { return registerMember(ctx, c, addr, "one") == nil })
}

// Two of three replicas have disks that fail a third of their writes and syncs for a while, and wall clocks that step;
// the leader is killed in the midst of it. No replica ends by itself, and what was acknowledged is there afterwards at
// each of them.
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
		if lead := c.leaderIndex(ctx); !killed && lead >= 0 && time.Until(end) < 5*time.Second {
			killed = true
			p := c.processes["registry"][lead]
			p.Kill()
			if err := p.Start(c.spawner); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	if !killed || len(acknowledged) < 20 {
		t.Errorf("killed %v, %d writes acknowledged", killed, len(acknowledged))
	}
	starts := 0
	for i, p := range c.processes["registry"] {
		starts += p.starts()
		waitFor(t, "what was acknowledged, at "+p.Name, func() bool {
			var l listResponse
			if c.registryCall(ctx, http.MethodGet, c.registryAddr[i], "/registry/instances", nil, &l) != nil {
				return false
			}
			have := map[string]bool{}
			for _, m := range l.Members {
				have[m.ID] = true
			}
			return !slices.ContainsFunc(acknowledged, func(id string) bool { return !have[id] })
		})
		if p.Exited() == nil {
			t.Errorf("%s has ended", p.Name)
		}
	}
	if starts != 4 {
		t.Errorf("%d starts of three replicas, of which one was killed", starts)
	}
}
