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
	// SnapshotDir is the name of the directory within a replica's data_dir that holds the snapshots.
	SnapshotDir = "snap"

	// retainedSnapshots is the number of snapshots to retain: the newest one, and one to fall back to if the newest is
	// damaged.
	retainedSnapshots = 2

	// metaLengthBytes is the size of the field at the start of a snapshot's record, which holds the length of raft's
	// metadata as a big-endian uint32.
	metaLengthBytes = 4
)

// snapshotStore implements raft.SnapshotStore on top of durable.SnapshotStore. Each snapshot is one checksummed record,
// which durable stores under the snapshot's log index as its revision. The record holds the length of raft's metadata,
// the metadata in JSON, and the state. A snapshot is complete when the record and the manifest are durable. If the
// newest snapshot is damaged, the one before it is used.
type snapshotStore struct {
	files durable.SnapshotStore
	log   *slog.Logger

	// The snapshot that List last read and verified. It is cached for the call of Open that raft makes next, so that a
	// start does not read the snapshot twice.
	mu          sync.Mutex
	cachedMeta  *raft.SnapshotMeta
	cachedState []byte
}

func newSnapshotStore(dataDir string, log *slog.Logger) (*snapshotStore, error) {
	dir := filepath.Join(dataDir, SnapshotDir)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("create the snapshot directory: %w", err)
	}
	files := durable.SnapshotStore{FS: durable.OSFS{}, Dir: dir, Keep: retainedSnapshots}
	return &snapshotStore{files: files, log: log}, nil
}

// Create implements raft.SnapshotStore. The snapshot is stored when the sink is closed.
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

// List implements raft.SnapshotStore. It returns only the newest valid snapshot, or none if there is no snapshot yet.
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

// Open implements raft.SnapshotStore. It opens the newest valid snapshot and fails for any other ID.
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
		return nil, nil, fmt.Errorf("snapshot %s is not the newest valid snapshot", id)
	}
	return meta, io.NopCloser(bytes.NewReader(state)), nil
}

// takeCached removes the snapshot from the cache and returns it. The metadata is nil if the cache is empty.
func (s *snapshotStore) takeCached() (*raft.SnapshotMeta, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	meta, state := s.cachedMeta, s.cachedState
	s.cachedMeta = nil
	s.cachedState = nil
	return meta, state
}

// readLatest reads the newest valid snapshot and logs the damaged files that it skips. The metadata is nil if there is
// no snapshot yet.
func (s *snapshotStore) readLatest() (*raft.SnapshotMeta, []byte, error) {
	entry, record, damage, err := s.files.Latest()
	for _, d := range damage {
		s.log.Warn("skipping a damaged snapshot or manifest", "file", d.File, "offset", d.Offset, "reason", d.Reason)
	}
	if err != nil || entry.File == "" {
		return nil, nil, err
	}
	return decodeSnapshotRecord(entry.File, record)
}

// encodeSnapshotRecord returns the record of a snapshot, which decodeSnapshotRecord decodes.
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
		return nil, nil, fmt.Errorf("snapshot %s: the record of %d bytes is too short for the metadata length",
			file, len(record))
	}
	metaLength := int(binary.BigEndian.Uint32(record))
	body := record[metaLengthBytes:]
	if metaLength > len(body) {
		return nil, nil, fmt.Errorf("snapshot %s: the metadata length %d exceeds the record", file, metaLength)
	}
	var meta raft.SnapshotMeta
	if err := json.Unmarshal(body[:metaLength], &meta); err != nil {
		return nil, nil, fmt.Errorf("snapshot %s: decode the metadata: %w", file, err)
	}
	state := body[metaLength:]
	meta.Size = int64(len(state))
	return &meta, state, nil
}

// snapshotSink collects a snapshot in memory and stores it when it is closed. It implements raft.SnapshotSink.
type snapshotSink struct {
	store *snapshotStore
	meta  raft.SnapshotMeta
	state bytes.Buffer
}

// Write implements raft.SnapshotSink.
func (k *snapshotSink) Write(p []byte) (int, error) { return k.state.Write(p) }

// ID implements raft.SnapshotSink.
func (k *snapshotSink) ID() string { return k.meta.ID }

// Cancel implements raft.SnapshotSink. It has nothing to undo, since only Close stores data.
func (k *snapshotSink) Cancel() error { return nil }

// Close implements raft.SnapshotSink. It stores the snapshot and returns nil when the snapshot is durable.
func (k *snapshotSink) Close() error {
	k.meta.Size = int64(k.state.Len())
	record, err := encodeSnapshotRecord(k.meta, k.state.Bytes())
	if err != nil {
		return err
	}
	return k.store.files.Write(int64(k.meta.Index), record)
}
