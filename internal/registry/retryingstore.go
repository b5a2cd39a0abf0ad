package registry

import (
	"log/slog"
	"runtime"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"hitchvale/internal/lograte"
)

// diskRetryLeast and diskRetryMost bound the wait after a failed write that has to be made, which doubles from one to the
// other.
const minRetryDelay, maxRetryDelay = 20 * time.Millisecond, 500 * time.Millisecond

// diskStore lets raft outlive a disk that fails for a while. Raft panics where it can't save its term, and after a cut of its
// log's end that is followed by a failed append it holds an entry for the last one that is not there.
//
// Those two writes are made again until they succeed. Meanwhile raft's main loop stands still, so the replica neither votes
// nor leads: raft ceases to lead before it saves a newer term, and only a follower cuts its log. Every other write fails at
// once: a vote is then not given, a leader steps down, a follower does not acknowledge.
//
// Any error of the store counts as one that may pass. Nothing is read anew after a failed sync: the store (bbolt) writes each
// transaction to pages that no durable one refers to, and syncs them before it writes the page that refers to them. What a
// failed transaction left in the cache is therefore never taken for written; it is overwritten by the next one.
type retryingStore struct {
	raftStore
	warnings *lograte.Limited
	stopped  chan struct{}

	mu             sync.Mutex
	lastWriteError error // of the last write; nil: it succeeded
	tailTruncated  bool  // the log's end has been cut and nothing appended since
}

func newRetryingStore(s raftStore, log *slog.Logger) *retryingStore {
	return &retryingStore{raftStore: s, warnings: &lograte.Limited{Log: log}, stopped: make(chan struct{})}
}

// failing is the error of the last write; nil where it succeeded.
func (s *retryingStore) lastError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWriteError
}

// stop ends the writes that are still tried. It is called once, before raft is shut down.
func (s *retryingStore) stop() { close(s.stopped) }

// StoreLog is part of raft.LogStore.
func (s *retryingStore) StoreLog(l *raft.Log) error { return s.StoreLogs([]*raft.Log{l}) }

// StoreLogs is part of raft.LogStore.
func (s *retryingStore) StoreLogs(logs []*raft.Log) error {
	write := func() error { return s.raftStore.StoreLogs(logs) }
	if !s.isTailTruncated() {
		return s.writeOnce("append", write)
	}
	err := s.writeUntilSuccess("append after a cut", write)
	s.setTailTruncated(false)
	return err
}

// DeleteRange is part of raft.LogStore. Raft cuts the log's start after a snapshot, which may fail, and its end where it
// differs from the leader's.
func (s *retryingStore) DeleteRange(from, to uint64) error {
	last, err := s.raftStore.LastIndex()
	if err != nil {
		return err
	}
	if err := s.writeOnce("cut the log", func() error { return s.raftStore.DeleteRange(from, to) }); err != nil {
		return err
	}
	if to >= last {
		s.setTailTruncated(true)
	}
	return nil
}

// Set is part of raft.StableStore.
func (s *retryingStore) Set(key, value []byte) error {
	return s.writeOnce("save "+string(key), func() error { return s.raftStore.Set(key, value) })
}

// SetUint64 is part of raft.StableStore.
func (s *retryingStore) SetUint64(key []byte, value uint64) error {
	write := func() error { return s.raftStore.SetUint64(key, value) }
	if string(key) == currentTermKey {
		return s.writeUntilSuccess("save "+currentTermKey, write)
	}
	return s.writeOnce("save "+string(key), write)
}

// currentTermKey is the key under which raft saves its term, the one write whose failure it does not bear.
const currentTermKey = "CurrentTerm"

func (s *retryingStore) isTailTruncated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tailTruncated
}

func (s *retryingStore) setTailTruncated(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tailTruncated = cut
}

// try makes a write once.
func (s *retryingStore) writeOnce(what string, write func() error) error {
	err := write()
	s.mu.Lock()
	s.lastWriteError = err
	s.mu.Unlock()
	if err != nil {
		s.warnings.Warn("the disk fails: out of votes and of leadership until it works", "write", what, "error", err)
	}
	return err
}

// insist makes a write until it succeeds. When the replica stops first it ends the goroutine of raft that asked: raft takes
// an error here for the end of the process.
func (s *retryingStore) writeUntilSuccess(what string, write func() error) error {
	for wait := minRetryDelay; ; wait = min(2*wait, maxRetryDelay) {
		if s.writeOnce(what, write) == nil {
			return nil
		}
		select {
		case <-s.stopped:
			runtime.Goexit()
		case <-time.After(wait):
		}
	}
}
