package registry

import (
	"log/slog"
	"runtime"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"hitchvale/internal/lograte"
)

// The backoff between retries of a write that has to succeed, which doubles from the first to the second.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// currentTermKey is the key under which raft saves its term. Raft panics if that write fails.
const currentTermKey = "CurrentTerm"

// retryingStore lets raft survive a disk that fails for a while. Without it raft panics if it can't save its term, and
// after it truncates the tail of its log and then fails to append, it assumes a last entry that is not there.
//
// Those two writes are retried until they succeed. Meanwhile raft's main loop is blocked, so that the replica neither
// votes nor leads: raft steps down before it saves a newer term, and only a follower truncates the tail. Every other
// write fails at once: the vote is not given, the leader steps down, the follower does not acknowledge.
//
// Every error of the store counts as temporary. Nothing is read again after a failed sync: the store (bbolt) writes
// each transaction to pages that no durable page refers to, and syncs them before it writes the page that refers to
// them. So what a failed transaction left in the page cache is never taken for written, and the next transaction
// overwrites it.
type retryingStore struct {
	raftStore
	warnings *lograte.Limited
	stopped  chan struct{}

	mu             sync.Mutex
	lastWriteError error // nil if the last write succeeded
	tailTruncated  bool  // the log's tail was truncated and nothing appended since
}

func newRetryingStore(s raftStore, log *slog.Logger) *retryingStore {
	return &retryingStore{raftStore: s, warnings: &lograte.Limited{Log: log}, stopped: make(chan struct{})}
}

// lastError returns the error of the last write; nil if it succeeded.
func (s *retryingStore) lastError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWriteError
}

// stop ends retries. It is to be called once, before raft is shut down.
func (s *retryingStore) stop() { close(s.stopped) }

// StoreLog is part of raft.LogStore.
func (s *retryingStore) StoreLog(l *raft.Log) error { return s.StoreLogs([]*raft.Log{l}) }

// StoreLogs is part of raft.LogStore.
func (s *retryingStore) StoreLogs(logs []*raft.Log) error {
	write := func() error { return s.raftStore.StoreLogs(logs) }
	if !s.isTailTruncated() {
		return s.writeOnce("append", write)
	}
	err := s.writeUntilSuccess("append after truncation", write)
	s.setTailTruncated(false)
	return err
}

// DeleteRange is part of raft.LogStore. Raft truncates the log's head after a snapshot, which may fail, and its tail
// where it differs from the leader's log.
func (s *retryingStore) DeleteRange(from, to uint64) error {
	last, err := s.raftStore.LastIndex()
	if err != nil {
		return err
	}
	if err := s.writeOnce("truncate", func() error { return s.raftStore.DeleteRange(from, to) }); err != nil {
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

func (s *retryingStore) isTailTruncated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tailTruncated
}

func (s *retryingStore) setTailTruncated(truncated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tailTruncated = truncated
}

// writeOnce makes a write, remembers its error and logs it. operation names the write in the log.
func (s *retryingStore) writeOnce(operation string, write func() error) error {
	err := write()
	s.mu.Lock()
	s.lastWriteError = err
	s.mu.Unlock()
	if err != nil {
		s.warnings.Warn("raft store write failed", "operation", operation, "error", err)
	}
	return err
}

// writeUntilSuccess retries a write until it succeeds. If the replica stops first, it ends raft's goroutine that called
// it: raft would panic at an error.
func (s *retryingStore) writeUntilSuccess(operation string, write func() error) error {
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		if s.writeOnce(operation, write) == nil {
			return nil
		}
		select {
		case <-s.stopped:
			runtime.Goexit()
		case <-time.After(delay):
		}
	}
}
