package registry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

// faultyDisk lets some of the writes of a replica's store fail, like a disk that is temporarily full or broken.
type faultyDisk struct {
	failOneIn atomic.Int64 // if n is above 0, every n-th write fails; if 0, no write fails
	writes    atomic.Int64 // number of writes
}

func (d *faultyDisk) wrap(s raftStore) raftStore { return &faultyStore{raftStore: s, disk: d} }

func (d *faultyDisk) write(f func() error) error {
	n := d.writes.Add(1)
	if every := d.failOneIn.Load(); every > 0 && n%every == 0 {
		if n%2 == 0 {
			return syscall.ENOSPC
		}
		return syscall.EIO
	}
	return f()
}

// faultyStore is a raftStore on a faultyDisk.
type faultyStore struct {
	raftStore
	disk *faultyDisk
}

func (s *faultyStore) StoreLog(l *raft.Log) error { return s.StoreLogs([]*raft.Log{l}) }
func (s *faultyStore) StoreLogs(l []*raft.Log) error {
	return s.disk.write(func() error { return s.raftStore.StoreLogs(l) })
}
func (s *faultyStore) DeleteRange(from, to uint64) error {
	return s.disk.write(func() error { return s.raftStore.DeleteRange(from, to) })
}
func (s *faultyStore) Set(k, v []byte) error {
	return s.disk.write(func() error { return s.raftStore.Set(k, v) })
}
func (s *faultyStore) SetUint64(k []byte, v uint64) error {
	return s.disk.write(func() error { return s.raftStore.SetUint64(k, v) })
}

// writeMembers registers members through the replicas in turn, until the wanted number has been acknowledged or the
// time has passed. It returns the IDs of the acknowledged members.
func (c *cluster) writeMembers(t *testing.T, prefix string, want int, within time.Duration) (acknowledged []string) {
	t.Helper()
	for try, end := 0, time.Now().Add(within); len(acknowledged) < want && time.Now().Before(end); try++ {
		id := fmt.Sprintf("%s-%d", prefix, try)
		body := fmt.Sprintf(`{"member":{"id":%q,"host_port":"127.0.0.1:9000","size":1}}`, id)
		if code, _ := call(t, "POST", "http://"+c.http[try%len(c.http)]+"/registry/members", body); code == http.StatusOK {
			acknowledged = append(acknowledged, id)
		} else {
			time.Sleep(10 * time.Millisecond)
		}
	}
	return acknowledged
}

// holds reports whether replica i serves a list that contains all of the given members.
func (c *cluster) holds(t *testing.T, i int, ids []string) bool {
	t.Helper()
	code, text := call(t, "GET", "http://"+c.http[i]+"/registry/instances", "")
	var l MemberList
	if code != http.StatusOK || json.Unmarshal([]byte(text), &l) != nil {
		return false
	}
	have := map[string]bool{}
	for _, m := range l.Members {
		have[m.ID] = true
	}
	for _, id := range ids {
		if !have[id] {
			return false
		}
	}
	return true
}

// Two of three replicas have disks that fail one in three and one in four writes. The replicas continue to run, and
// after the disks work again every replica has all members whose writes were acknowledged.
func TestReplicasSurviveFailingDisks(t *testing.T) {
	c := newCluster(t, 3)
	c.leader(t)
	for i := range 2 {
		c.disks[i].failOneIn.Store(int64(3 + i))
	}
	acknowledged := c.writeMembers(t, "failing", 20, 10*time.Second)
	for _, d := range c.disks {
		d.failOneIn.Store(0)
	}
	acknowledged = append(acknowledged, c.writeMembers(t, "healed", 5, 10*time.Second)...)
	if len(acknowledged) < 5 {
		t.Errorf("%d writes acknowledged, want at least 5", len(acknowledged))
	}
	for i := range c.replicas {
		waitUntil(t, "the replica has all acknowledged members", func() bool { return c.holds(t, i, acknowledged) })
	}
}

// A replica that cannot write to its disk never serves a stale list; it rejects reads with registry.disk. The other
// replicas continue to serve. When the disk works again, the replica serves the current list without a restart.
func TestReplicaWithFailedDiskServesNoStaleList(t *testing.T) {
	c := newCluster(t, 3)
	lead := c.leader(t)
	waitUntil(t, "a write is acknowledged", func() bool { return len(c.writeMembers(t, "before", 1, time.Second)) == 1 })
	for name, i := range map[string]int{"follower": (lead + 1) % 3, "leader": lead} {
		t.Run(name, func(t *testing.T) {
			c.disks[i].failOneIn.Store(1)
			acknowledged := c.writeMembers(t, name, 10, 10*time.Second)
			if len(acknowledged) < 10 {
				t.Errorf("%d writes acknowledged, want 10", len(acknowledged))
			}
			waitUntil(t, "the replica rejects reads with registry.disk", func() bool {
				code, text := call(t, "GET", "http://"+c.http[i]+"/registry/instances", "")
				return code == http.StatusServiceUnavailable && strings.Contains(text, "registry.disk")
			})
			for range 20 {
				code, _ := call(t, "GET", "http://"+c.http[i]+"/registry/instances", "")
				if code == http.StatusOK && !c.holds(t, i, acknowledged) {
					t.Fatal("the replica served a stale list")
				}
				time.Sleep(10 * time.Millisecond)
			}
			c.disks[i].failOneIn.Store(0)
			waitUntil(t, "the replica serves the current list after the disk works again", func() bool {
				return c.holds(t, i, acknowledged)
			})
		})
	}
}

// Close returns although the replica's disk fails and raft is retrying to save its term.
func TestReplicaWithFailedDiskStops(t *testing.T) {
	c := newCluster(t, 3)
	lead := c.leader(t)
	i := (lead + 1) % 3
	c.disks[i].failOneIn.Store(1)
	c.stop(lead) // causes an election, in which the replica cannot save the new term
	waitUntil(t, "a write of the replica has failed", func() bool { return c.replicas[i].store.lastError() != nil })
	stopped := make(chan struct{})
	go func() { c.stop(i); close(stopped) }()
	select {
	case <-stopped:
	case <-time.After(20 * time.Second):
		t.Fatal("the replica did not stop within 20 s")
	}
}
