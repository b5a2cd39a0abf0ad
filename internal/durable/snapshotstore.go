package durable

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// A snapshot file is one record: the magic "HVSNAP1\n", then big-endian uint64s of the revision, the data's
// length and the xxhash64 (cespare/xxhash) of the revision's 8 bytes and the data, then the data.
const (
	magic        = "HVSNAP1\n"
	headerSize   = len(magic) + 24
	manifestName = "MANIFEST"
)

// Snapshots keeps the newest Keep verified snapshots in Dir, listed by a manifest that is replaced by temporary
// file, fsync, rename and fsync of the folder. A snapshot is not listed before it is durable and read back whole,
// and an old one is removed only after a manifest without it is durable, so that a power cut at any step leaves
// the last acknowledged snapshot or the one being written, never neither.
type SnapshotStore struct {
	FS   FS
	Dir  string
	Keep int // at least 2, so that a damaged newest snapshot has one to fall back to
}

// Entry is one snapshot of the manifest.
type ManifestEntry struct {
	File     string `json:"file"`
	Revision int64  `json:"revision"`
	Size     int    `json:"size"` // bytes of data
}

// Damage is a file found short, torn or with a checksum that does not match: which file, the byte offset where it
// stops being trusted, and why.
type Damage struct {
	File   string `json:"file"`
	Offset int64  `json:"offset"`
	Reason string `json:"reason"`
}

func (d Damage) Error() string { return fmt.Sprintf("%s at byte %d: %s", d.File, d.Offset, d.Reason) }

// ErrNoSnapshot is Latest's error where the folder has snapshot files but none of them is whole.
var ErrNoSnapshot = errors.New("durable: no snapshot verifies")

// Write makes data the newest snapshot at revision rev. It returns nil only once the snapshot and a manifest that
// lists it are durable; on an error (a full disk, a crash) the snapshots listed before still serve.
func (s SnapshotStore) Write(rev int64, data []byte) error {
	name := fmt.Sprintf("snap-%020d.bin", rev)
	if err := s.replaceFile(name, encodeRecord(rev, data)); err != nil {
		return fmt.Errorf("snapshot %d: %w", rev, err)
	}
	if _, err := s.verify(name); err != nil {
		return fmt.Errorf("snapshot %d read back: %w", rev, err)
	}
	old, _, _ := s.readManifest() // a damaged manifest lists nothing: the new one starts afresh
	old = slices.DeleteFunc(old, func(e ManifestEntry) bool { return e.File == name })
	list := append([]ManifestEntry{{File: name, Revision: rev, Size: len(data)}}, old...)
	if len(list) > max(s.Keep, 2) {
		list = list[:max(s.Keep, 2)]
	}
	text, err := json.Marshal(list)
	if err != nil {
		return err
	}
	if err := s.replaceFile(manifestName, append(text, []byte("\n"+strconv.FormatUint(xxhash.Sum64(text), 16)+"\n")...)); err != nil {
		return fmt.Errorf("manifest: %w", err)
	}
	return s.prune(list)
}

// replace writes name by temporary file, fsync, rename and fsync of the folder.
func (s SnapshotStore) replaceFile(name string, data []byte) error {
	path, tmp := filepath.Join(s.Dir, name), filepath.Join(s.Dir, name+".tmp")
	for _, step := range []func() error{
		func() error { return s.FS.WriteFile(tmp, data) },
		func() error { return s.FS.Sync(tmp) },
		func() error { return s.FS.Rename(tmp, path) },
		func() error { return s.FS.SyncDir(s.Dir) },
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// prune removes snapshot files and leftovers that the durable manifest no longer lists.
func (s SnapshotStore) prune(list []ManifestEntry) error {
	names, err := s.FS.ReadDir(s.Dir)
	if err != nil {
		return err
	}
	removed := false
	for _, n := range names {
		if n == manifestName || slices.ContainsFunc(list, func(e ManifestEntry) bool { return e.File == n }) {
			continue
		}
		if strings.HasPrefix(n, "snap-") || strings.HasSuffix(n, ".tmp") {
			if err := s.FS.Remove(filepath.Join(s.Dir, n)); err != nil {
				return err
			}
			removed = true
		}
	}
	if removed {
		return s.FS.SyncDir(s.Dir)
	}
	return nil
}

// Latest gives the newest snapshot that verifies and its entry, with the damage found on the way: a manifest that
// does not verify (then every snap-*.bin of the folder is tried, newest first) and each newer snapshot that failed.
// A folder with no snapshot gives a zero Entry and no error; one whose snapshots all fail gives ErrNoSnapshot.
func (s SnapshotStore) Latest() (ManifestEntry, []byte, []Damage, error) {
	list, damage, err := s.readManifest()
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return ManifestEntry{}, nil, nil, err
	}
	if damage == nil && err == nil {
		return s.firstValid(list, nil)
	}
	var found []Damage
	if damage != nil {
		found = append(found, *damage)
	}
	if list, err = s.scanDir(); err != nil {
		return ManifestEntry{}, nil, found, err
	}
	return s.firstValid(list, found)
}

func (s SnapshotStore) firstValid(list []ManifestEntry, found []Damage) (ManifestEntry, []byte, []Damage, error) {
	for _, e := range list {
		data, err := s.verify(e.File)
		var d Damage
		if errors.As(err, &d) {
			found = append(found, d)
			continue
		} else if err != nil {
			return ManifestEntry{}, nil, found, err
		}
		e.Size = len(data)
		return e, data, found, nil
	}
	if len(list) == 0 {
		return ManifestEntry{}, nil, found, nil
	}
	return ManifestEntry{}, nil, found, ErrNoSnapshot
}

// scan lists the folder's snapshot files, newest revision first, for a folder whose manifest is gone or damaged.
func (s SnapshotStore) scanDir() ([]ManifestEntry, error) {
	names, err := s.FS.ReadDir(s.Dir)
	if err != nil {
		return nil, err
	}
	var list []ManifestEntry
	for _, n := range names {
		digits, ok := strings.CutPrefix(n, "snap-")
		digits, bin := strings.CutSuffix(digits, ".bin")
		if rev, err := strconv.ParseInt(digits, 10, 64); ok && bin && err == nil {
			list = append(list, ManifestEntry{File: n, Revision: rev})
		}
	}
	slices.SortFunc(list, func(a, b ManifestEntry) int { return int(b.Revision - a.Revision) })
	return list, nil
}

// readManifest reads and checks the manifest; a damaged one is given as Damage, a missing one as fs.ErrNotExist.
func (s SnapshotStore) readManifest() ([]ManifestEntry, *Damage, error) {
	text, err := s.FS.ReadFile(filepath.Join(s.Dir, manifestName))
	if err != nil {
		return nil, nil, err
	}
	body, sum, ok := bytes.Cut(bytes.TrimSuffix(text, []byte("\n")), []byte("\n"))
	want, perr := strconv.ParseUint(string(sum), 16, 64)
	if !ok || perr != nil || xxhash.Sum64(body) != want {
		return nil, &Damage{File: manifestName, Offset: 0, Reason: "checksum line missing or not matching"}, nil
	}
	var list []ManifestEntry
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, &Damage{File: manifestName, Offset: 0, Reason: err.Error()}, nil
	}
	return list, nil, nil
}

// verify reads a snapshot file and checks its record; a bad one is a Damage.
func (s SnapshotStore) verify(name string) ([]byte, error) {
	text, err := s.FS.ReadFile(filepath.Join(s.Dir, name))
	if err != nil {
		return nil, err
	}
	return decodeRecord(name, text)
}

func encodeRecord(rev int64, data []byte) []byte {
	out := make([]byte, headerSize, headerSize+len(data))
	copy(out, magic)
	binary.BigEndian.PutUint64(out[len(magic):], uint64(rev))
	binary.BigEndian.PutUint64(out[len(magic)+8:], uint64(len(data)))
	binary.BigEndian.PutUint64(out[len(magic)+16:], checksum(rev, data))
	return append(out, data...)
}

func decodeRecord(name string, text []byte) ([]byte, error) {
	if len(text) < headerSize || string(text[:len(magic)]) != magic {
		return nil, Damage{File: name, Offset: 0, Reason: fmt.Sprintf("header missing or short (%d bytes)", len(text))}
	}
	rev := int64(binary.BigEndian.Uint64(text[len(magic):]))
	size := binary.BigEndian.Uint64(text[len(magic)+8:])
	data := text[headerSize:]
	if uint64(len(data)) != size {
		return nil, Damage{File: name, Offset: int64(len(text)), Reason: fmt.Sprintf("%d bytes of data, the header says %d", len(data), size)}
	}
	if checksum(rev, data) != binary.BigEndian.Uint64(text[len(magic)+16:]) {
		return nil, Damage{File: name, Offset: int64(headerSize), Reason: "xxhash of the record does not match"}
	}
	return data, nil
}

func checksum(rev int64, data []byte) uint64 {
	d := xxhash.New()
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(rev))
	d.Write(b[:])
	d.Write(data)
	return d.Sum64()
}
