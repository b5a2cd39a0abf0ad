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

// snapStore is raft's SnapshotStore over durable.Snapshots (docs/ROADMAP.md, "Recovery"): each raft snapshot is one
// checksummed record at its log index, holding raft's meta (JSON, after its 4-byte length) and the state; a
// snapshot counts as taken only once it and the manifest are durable; a damaged newest one is logged with file and
// offset, and the one before it serves.
type snapshotStore struct {
	files durable.SnapshotStore
	log   *slog.Logger

	// listed is the snapshot that List last read and verified, kept for the Open that raft makes of it next, so
	// that a start reads and checks the snapshot once, not twice.
	mu          sync.Mutex
	cachedMeta  *raft.SnapshotMeta
	cachedState []byte
}

// SnapshotFolder is where a replica's snapshots live inside its data_dir.
const SnapshotDir = "snap"

func newSnapshotStore(dataDir string, log *slog.Logger) (*snapshotStore, error) {
	dir := filepath.Join(dataDir, SnapshotDir)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("snapshots: %w", err)
	}
	return &snapshotStore{files: durable.SnapshotStore{FS: durable.OSFS{}, Dir: dir, Keep: 2}, log: log}, nil
}

func (s *snapshotStore) Create(version raft.SnapshotVersion, index, term uint64, conf raft.Configuration,
	confIndex uint64, _ raft.Transport) (raft.SnapshotSink, error) {
	meta := raft.SnapshotMeta{Version: version, ID: snapshotFileName(index), Index: index, Term: term,
		Configuration: conf, ConfigurationIndex: confIndex}
	return &snapshotSink{store: s, meta: meta}, nil
}

func (s *snapshotStore) List() ([]*raft.SnapshotMeta, error) {
	meta, state, err := s.readLatest()
	if err != nil || meta == nil {
		return nil, err
	}
	s.mu.Lock()
	s.cachedMeta, s.cachedState = meta, state
	s.mu.Unlock()
	return []*raft.SnapshotMeta{meta}, nil
}

func (s *snapshotStore) Open(id string) (*raft.SnapshotMeta, io.ReadCloser, error) {
	s.mu.Lock()
	meta, state := s.cachedMeta, s.cachedState
	s.cachedMeta, s.cachedState = nil, nil
	s.mu.Unlock()
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

// latest reads the newest snapshot that verifies; nil meta where there is none yet.
func (s *snapshotStore) readLatest() (*raft.SnapshotMeta, []byte, error) {
	e, data, damage, err := s.files.Latest()
	for _, d := range damage {
		s.log.Warn("snapshot damaged, an older one serves", "file", d.File, "offset", d.Offset, "reason", d.Reason)
	}
	if err != nil || e.File == "" {
		return nil, nil, err
	}
	return decodeSnapshotRecord(e.File, data)
}

// splitSnapshot reads a record's meta and state.
func decodeSnapshotRecord(file string, data []byte) (*raft.SnapshotMeta, []byte, error) {
	if len(data) < 4 || int(binary.BigEndian.Uint32(data)) > len(data)-4 {
		return nil, nil, fmt.Errorf("snapshot %s: meta length beyond the record", file)
	}
	n := binary.BigEndian.Uint32(data)
	var meta raft.SnapshotMeta
	if err := json.Unmarshal(data[4:4+n], &meta); err != nil {
		return nil, nil, fmt.Errorf("snapshot %s: meta: %w", file, err)
	}
	state := data[4+n:]
	meta.Size = int64(len(state))
	return &meta, state, nil
}

func snapshotFileName(index uint64) string { return fmt.Sprintf("snap-%020d.bin", index) }

// snapSink gathers raft's snapshot in memory (the registry's state is small beside it) and writes it on Close.
type snapshotSink struct {
	store *snapshotStore
	meta  raft.SnapshotMeta
	buf   bytes.Buffer
}

func (k *snapshotSink) Write(p []byte) (int, error) { return k.buf.Write(p) }

func (k *snapshotSink) ID() string { return k.meta.ID }

func (k *snapshotSink) Cancel() error { return nil }

func (k *snapshotSink) Close() error {
	k.meta.Size = int64(k.buf.Len())
	meta, err := json.Marshal(k.meta)
	if err != nil {
		return err
	}
	rec := binary.BigEndian.AppendUint32(nil, uint32(len(meta)))
	rec = append(append(rec, meta...), k.buf.Bytes()...)
	return k.store.files.Write(int64(k.meta.Index), rec)
}
