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

// flakyDisk fails a part of the writes of a replica's store, as a disk that is full or broken for a while.
type faultyDisk struct {
	oneIn  atomic.Int64 // 0: none fail
	writes atomic.Int64
}

func (d *faultyDisk) wrap(s raftStore) raftStore { return &faultyStore{raftStore: s, disk: d} }

func (d *faultyDisk) write(f func() error) error {
	n := d.writes.Add(1)
	if every := d.oneIn.Load(); every > 0 && n%every == 0 {
		if n%2 == 0 {
			return syscall.ENOSPC
		}
		return syscall.EIO
	}
	return f()
}

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

// writeMembers registers members at any replica that takes them, until as many have been acknowledged or the time is
// up.
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

// holds reports whether a replica serves a list that has all of these members.
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

// Replicas whose disks fail one write in a few stay up; what they acknowledge is there afterwards, on every one of
// them.
func TestReplicasSurviveFailingDisks(t *testing.T) {
	c := newCluster(t, 3)
	c.leader(t)
	for i := range 2 {
		c.disks[i].oneIn.Store(int64(3 + i))
	}
	acknowledged := c.writeMembers(t, "failing", 20, 10*time.Second)
	for _, d := range c.disks {
		d.oneIn.Store(0)
	}
	acknowledged = append(acknowledged, c.writeMembers(t, "healed", 5, 10*time.Second)...)
	if len(acknowledged) < 5 {
		t.Errorf("%d writes acknowledged", len(acknowledged))
	}
	for i := range c.replicas {
		await(t, "all that was acknowledged", func() bool { return c.holds(t, i, acknowledged) })
	}
}

// A replica that can't write never serves a list that it can't bring up to date, and says why;
// the others go on, and it comes back by itself.
func TestReplicaWithFailedDiskServesNoStaleList(t *testing.T) {
	c := newCluster(t, 3)
	lead := c.leader(t)
	await(t, "the first write", func() bool { return len(c.writeMembers(t, "before", 1, time.Second)) == 1 })
	for name, i := range map[string]int{"follower": (lead + 1) % 3, "leader": lead} {
		t.Run(name, func(t *testing.T) {
			c.disks[i].oneIn.Store(1)
			acknowledged := c.writeMembers(t, name, 10, 10*time.Second)
			if len(acknowledged) < 10 {
				t.Errorf("%d writes acknowledged", len(acknowledged))
			}
			await(t, "a refusal with its reason", func() bool {
				code, text := call(t, "GET", "http://"+c.http[i]+"/registry/instances", "")
				return code == http.StatusServiceUnavailable && strings.Contains(text, "registry.disk")
			})
			for range 20 {
				code, _ := call(t, "GET", "http://"+c.http[i]+"/registry/instances", "")
				if code == http.StatusOK && !c.holds(t, i, acknowledged) {
					t.Fatal("a stale list was served")
				}
				time.Sleep(10 * time.Millisecond)
			}
			c.disks[i].oneIn.Store(0)
			await(t, "the list, once the disk works", func() bool { return c.holds(t, i, acknowledged) })
		})
	}
}

// A replica whose disk fails can be stopped all the same.
func TestReplicaWithFailedDiskStops(t *testing.T) {
	c := newCluster(t, 3)
	lead := c.leader(t)
	i := (lead + 1) % 3
	c.disks[i].oneIn.Store(1)
	c.stop(lead) // an election at which the term can't be saved
	await(t, "a failed write", func() bool { return c.replicas[i].store.lastError() != nil })
	stopped := make(chan struct{})
	go func() { c.stop(i); close(stopped) }()
	select {
	case <-stopped:
	case <-time.After(20 * time.Second):
		t.Fatal("the replica does not stop")
	}
}
