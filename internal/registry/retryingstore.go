package registry

import (
	"log/slog"
	"runtime"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"hitchvale/internal/lograte"
)

// The delay between retries of a write that must succeed doubles from minRetryDelay up to maxRetryDelay.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// currentTermKey is the key under which raft stores its current term. Raft panics if it cannot write this key.
const currentTermKey = "CurrentTerm"

// retryingStore wraps raft's store so that raft survives a disk that fails for some time. Without it, raft panics if it
// cannot save its term. In addition, if raft truncates the tail of its log and then fails to append, it assumes a last
// entry that is not in the log.
//
// Those two writes, saving the term and the append after a truncation, are retried until they succeed. During the
// retries raft's main loop is blocked, so that the replica neither votes nor leads: raft steps down before it saves a
// newer term, and only a follower truncates the tail. Every other write fails immediately. Then the replica does not
// vote, a leader steps down, and a follower does not acknowledge the entries.
//
// Every error of the store counts as temporary. No data is read back after a failed sync: the store (bbolt) writes each
// transaction to pages that no durable page refers to, and syncs those pages before it writes the page that refers to
// them. Therefore data that a failed transaction has left in the page cache is never mistaken for durable data, and the
// next transaction overwrites it.
type retryingStore struct {
	raftStore
	warnings *lograte.Limited
	stopped  chan struct{}

	mu             sync.Mutex
	lastWriteError error // nil if the last write succeeded
	tailTruncated  bool  // the log's tail was truncated, and no append has succeeded since
}

func newRetryingStore(s raftStore, log *slog.Logger) *retryingStore {
	return &retryingStore{raftStore: s, warnings: &lograte.Limited{Log: log}, stopped: make(chan struct{})}
}

// lastError returns the error of the last write, or nil if that write succeeded.
func (s *retryingStore) lastError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWriteError
}

// stop ends the retries. It must be called once, before raft is shut down.
func (s *retryingStore) stop() { close(s.stopped) }

// StoreLog implements raft.LogStore.
func (s *retryingStore) StoreLog(l *raft.Log) error { return s.StoreLogs([]*raft.Log{l}) }

// StoreLogs implements raft.LogStore. It retries the append after a truncation of the tail until the append succeeds.
func (s *retryingStore) StoreLogs(logs []*raft.Log) error {
	write := func() error { return s.raftStore.StoreLogs(logs) }
	if !s.isTailTruncated() {
		return s.writeOnce("append", write)
	}
	err := s.writeUntilSuccess("append after truncation", write)
	s.setTailTruncated(false)
	return err
}

// DeleteRange implements raft.LogStore. Raft truncates the head of the log after a snapshot, and the tail where it
// differs from the leader's log. A truncation of the head may fail without harm.
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

// Set implements raft.StableStore.
func (s *retryingStore) Set(key, value []byte) error {
	return s.writeOnce("save "+string(key), func() error { return s.raftStore.Set(key, value) })
}

// SetUint64 implements raft.StableStore. It retries the write of the current term until the write succeeds.
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

// writeOnce calls write once, stores its error as the last write error, and logs a failure. operation names the write
// in the log line.
func (s *retryingStore) writeOnce(operation string, write func() error) error {
	err := write()
	s.mu.Lock()
	s.lastWriteError = err
	s.mu.Unlock()
	if err != nil {
		s.warnings.Warn("raft store write failed; the write is retried or the operation fails",
			"operation", operation, "error", err)
	}
	return err
}

// writeUntilSuccess retries a write until it succeeds. If the replica stops first, it ends the calling goroutine, which
// is one of raft's: raft would panic if it received an error.
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
