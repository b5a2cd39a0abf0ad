package registry

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// A replica that has taken two snapshots and truncated its log restores its state, with the same revision, from the
// newest snapshot and the remaining log. The snapshot directory contains the two snapshot files and the manifest.
func TestReplicaRestartsFromSnapshotAndLog(t *testing.T) {
	c := newCluster(t, 1)
	c.configs[0].Timing.TrailingLogs = 1
	c.stop(0)
	c.restart(0)
	c.leader(t)
	write := func(from, to int) {
		for i := from; i < to; i++ {
			body := fmt.Sprintf(`{"member":{"id":"s-%d","host_port":"127.0.0.1:%d"}}`, i, 1000+i)
			if code, text := call(t, "POST", "http://"+c.http[0]+"/registry/members", body); code != 200 {
				t.Fatalf("write %d: %d %s, want 200", i, code, text)
			}
		}
	}
	write(0, 20)
	if err := c.replicas[0].raft.Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	write(20, 25)
	if err := c.replicas[0].raft.Snapshot().Error(); err != nil {
		t.Fatal(err)
	}
	want := c.replicas[0].Status().Revision
	c.stop(0)
	names, _ := os.ReadDir(filepath.Join(c.configs[0].DataDir, SnapshotDir))
	if len(names) != 3 {
		t.Fatalf("the snapshot directory contains %v, want 3 files", names)
	}
	c.restart(0)
	c.leader(t)
	if got := c.replicas[0].Status(); got.Revision != want || want < 25 {
		t.Fatalf("revision %d after the restart, %d before it; want equal revisions of at least 25", got.Revision, want)
	}
}
