package durable

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"hitchvale/internal/goldenfile"
)

// The JSON that is stored, or sent to processes of other versions, keeps the form that earlier versions wrote.
func TestGoldenForms(t *testing.T) {
	goldenfile.RoundTrip[ManifestEntry](t, "entry")
	goldenfile.RoundTrip[Damage](t, "damage")
}

// This version reads a snapshot directory that an earlier version wrote, and writes the same bytes for the same
// snapshots.
func TestGoldenSnapshotDirectory(t *testing.T) {
	golden := filepath.Join(goldenfile.Dir, "snapshots")
	entry, data, damage, err := SnapshotStore{FS: OSFS{}, Dir: golden, Keep: 2}.Latest()
	if err != nil || len(damage) > 0 || entry.Revision != 9 || string(data) != "the state at revision 9" {
		t.Fatalf("latest snapshot: %+v with data %q, damage %v, error %v", entry, data, damage, err)
	}
	written := t.TempDir()
	snapshots := SnapshotStore{FS: OSFS{}, Dir: written, Keep: 2}
	for _, revision := range []int64{7, 9} {
		if err := snapshots.Write(revision, []byte("the state at revision "+string(rune('0'+revision)))); err != nil {
			t.Fatal(err)
		}
	}
	files, err := os.ReadDir(golden)
	if err != nil || len(files) != 3 {
		t.Fatalf("golden directory: %d files, error %v, want 3 files", len(files), err)
	}
	for _, file := range files {
		want, _ := os.ReadFile(filepath.Join(golden, file.Name()))
		got, err := os.ReadFile(filepath.Join(written, file.Name()))
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("%s: contents %q, error %v, want %q", file.Name(), got, err, want)
		}
	}
}
