package registry

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"sync"

	"github.com/hashicorp/raft"

	"hitchvale/internal/durable"
)

const (
	// SnapshotDir is the directory of the snapshots within a replica's data_dir.
	SnapshotDir = "snap"

	// retainedSnapshots is how many snapshots are retained: the newest, and one to fall back to if that is damaged.
	retainedSnapshots = 2

	// metaLengthBytes is the size of the big-endian length of raft's metadata that starts a snapshot's record.
	metaLengthBytes = 4
)

// snapshotStore implements raft.SnapshotStore over durable.SnapshotStore. Each snapshot is one checksummed record at
// its log index: the length of raft's metadata, the metadata in JSON, and the state. A snapshot counts as taken once
// the record and the manifest are durable. If the newest one is damaged, the one before it is used.
type snapshotStore struct {
	files durable.SnapshotStore
	log   *slog.Logger

	// The snapshot that List last read and verified, cached for the Open that raft calls next, so that a start does not
	// read it twice.
	mu          sync.Mutex
	cachedMeta  *raft.SnapshotMeta
	cachedState []byte
}

func newSnapshotStore(dataDir string, log *slog.Logger) (*snapshotStore, error) {
	dir := filepath.Join(dataDir, SnapshotDir)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("snapshots: %w", err)
	}
	files := durable.SnapshotStore{FS: durable.OSFS{}, Dir: dir, Keep: retainedSnapshots}
	return &snapshotStore{files: files, log: log}, nil
}

// Create is part of raft.SnapshotStore.
func (s *snapshotStore) Create(version raft.SnapshotVersion, index, term uint64, configuration raft.Configuration,
	configurationIndex uint64, _ raft.Transport) (raft.SnapshotSink, error) {
	meta := raft.SnapshotMeta{
		Version:            version,
		ID:                 durable.SnapshotName(int64(index)),
		Index:              index,
		Term:               term,
		Configuration:      configuration,
		ConfigurationIndex: configurationIndex,
	}
	return &snapshotSink{store: s, meta: meta}, nil
}

// List is part of raft.SnapshotStore. It returns the newest snapshot that verifies, if there is one.
func (s *snapshotStore) List() ([]*raft.SnapshotMeta, error) {
	meta, state, err := s.readLatest()
	if err != nil || meta == nil {
		return nil, err
	}
	s.mu.Lock()
	s.cachedMeta = meta
	s.cachedState = state
	s.mu.Unlock()
	return []*raft.SnapshotMeta{meta}, nil
}

// Open is part of raft.SnapshotStore. It opens the newest snapshot that verifies and fails for any other.
func (s *snapshotStore) Open(id string) (*raft.SnapshotMeta, io.ReadCloser, error) {
	meta, state := s.takeCached()
	if meta != nil && meta.ID == id {
		return meta, io.NopCloser(bytes.NewReader(state)), nil
	}
	meta, state, err := s.readLatest()
	if err != nil {
		return nil, nil, err
	}
	if meta == nil || meta.ID != id {
		return nil, nil, fmt.Errorf("snapshot %s: not the newest that verifies", id)
	}
	return meta, io.NopCloser(bytes.NewReader(state)), nil
}

// takeCached returns the cached snapshot, nil if there is none, and drops it from the cache.
func (s *snapshotStore) takeCached() (*raft.SnapshotMeta, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	meta, state := s.cachedMeta, s.cachedState
	s.cachedMeta = nil
	s.cachedState = nil
	return meta, state
}

// readLatest reads the newest snapshot that verifies. The metadata is nil if there is no snapshot yet.
func (s *snapshotStore) readLatest() (*raft.SnapshotMeta, []byte, error) {
	entry, record, damage, err := s.files.Latest()
	for _, d := range damage {
		s.log.Warn("snapshot damaged", "file", d.File, "offset", d.Offset, "reason", d.Reason)
	}
	if err != nil || entry.File == "" {
		return nil, nil, err
	}
	return decodeSnapshotRecord(entry.File, record)
}

// encodeSnapshotRecord returns the record of a snapshot.
func encodeSnapshotRecord(meta raft.SnapshotMeta, state []byte) ([]byte, error) {
	text, err := json.Marshal(meta)
	if err != nil {
		return nil, err
	}
	record := binary.BigEndian.AppendUint32(nil, uint32(len(text)))
	record = append(record, text...)
	return append(record, state...), nil
}

// decodeSnapshotRecord returns the metadata and the state of a record.
func decodeSnapshotRecord(file string, record []byte) (*raft.SnapshotMeta, []byte, error) {
	if len(record) < metaLengthBytes {
		return nil, nil, fmt.Errorf("snapshot %s: meta length beyond the record", file)
	}
	metaLength := int(binary.BigEndian.Uint32(record))
	body := record[metaLengthBytes:]
	if metaLength > len(body) {
		return nil, nil, fmt.Errorf("snapshot %s: meta length beyond the record", file)
	}
	var meta raft.SnapshotMeta
	if err := json.Unmarshal(body[:metaLength], &meta); err != nil {
		return nil, nil, fmt.Errorf("snapshot %s: meta: %w", file, err)
	}
	state := body[metaLength:]
	meta.Size = int64(len(state))
	return &meta, state, nil
}

// snapshotSink collects a snapshot in memory and stores it on Close. It implements raft.SnapshotSink.
type snapshotSink struct {
	store *snapshotStore
	meta  raft.SnapshotMeta
	state bytes.Buffer
}

// Write is part of raft.SnapshotSink.
func (k *snapshotSink) Write(p []byte) (int, error) { return k.state.Write(p) }

// ID is part of raft.SnapshotSink.
func (k *snapshotSink) ID() string { return k.meta.ID }

// Cancel is part of raft.SnapshotSink. Nothing has been stored.
func (k *snapshotSink) Cancel() error { return nil }

// Close is part of raft.SnapshotSink. It stores the snapshot.
func (k *snapshotSink) Close() error {
	k.meta.Size = int64(k.state.Len())
	record, err := encodeSnapshotRecord(k.meta, k.state.Bytes())
	if err != nil {
		return err
	}
	return k.store.files.Write(int64(k.meta.Index), record)
}
