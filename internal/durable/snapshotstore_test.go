package durable

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
)

// payload returns the data of the snapshot of a revision. Snapshots of different revisions differ in size.
func payload(revision int64) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("state at %d;", revision)), int(revision))
}

// The test writes five snapshots and simulates a power cut after each operation, with and without a torn unsynced
// write. After the restart the newest valid snapshot must be the last acknowledged snapshot or the snapshot that was
// being written, with complete data. No damage may be reported, since a power cut does not change synced data.
func TestPowerCutAtEveryStepRetainsAcknowledgedSnapshot(t *testing.T) {
	for _, tornBytes := range []int{0, 5, 40} {
		for crashStep := 0; ; crashStep++ {
			f := NewFaultyFS()
			f.TornBytes = tornBytes
			f.CrashAfter(crashStep)
			s := SnapshotStore{FS: f, Dir: "/data", Keep: 2}
			var acknowledged int64
			for revision := int64(1); revision <= 5; revision++ {
				if s.Write(revision, payload(revision)) != nil {
					break
				}
				acknowledged = revision
			}
			if f.StepsLeft() > 0 || crashStep > 200 {
				break // the writes ended before the planned crash: the test has covered every step
			}
			restarted := SnapshotStore{FS: f.PowerCut(), Dir: "/data", Keep: 2}
			entry, data, damage, err := restarted.Latest()
			switch {
			case err != nil || len(damage) > 0:
				t.Fatalf("torn bytes %d, power cut at step %d: error %v, damage %v", tornBytes, crashStep, err, damage)
			case entry.Revision < acknowledged || entry.Revision > acknowledged+1:
				t.Fatalf("torn bytes %d, power cut at step %d: revision %d, want %d or the next one",
					tornBytes, crashStep, entry.Revision, acknowledged)
			case entry.Revision > 0 && !bytes.Equal(data, payload(entry.Revision)):
				t.Fatalf("torn bytes %d, power cut at step %d: the data of revision %d differs",
					tornBytes, crashStep, entry.Revision)
			}
		}
	}
}

// For each kind of damage, Latest reports the damaged file and the offset, and returns the next valid snapshot. On a
// full disk Write fails, and the previous snapshot remains the latest.
func TestDamageIsReportedAndOlderSnapshotIsUsed(t *testing.T) {
	newest := "/data/snap-00000000000000000002.bin"
	for _, c := range []struct {
		name, file string
		change     func([]byte) []byte
		offset     int64 // expected offset of the damage; -1: any
		want       int64 // expected revision of the latest snapshot
	}{
		{"bit flipped in the data", newest, func(b []byte) []byte { b[len(b)/2] ^= 0x10; return b }, int64(headerSize), 1},
		{"truncated", newest, func(b []byte) []byte { return b[:len(b)-3] }, -1, 1},
		{"header missing", newest, func(b []byte) []byte { return b[:4] }, 0, 1},
		{"manifest damaged", "/data/MANIFEST", func(b []byte) []byte { b[2] ^= 1; return b }, 0, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := NewFaultyFS()
			s := SnapshotStore{FS: f, Dir: "/data", Keep: 2}
			for revision := int64(1); revision <= 2; revision++ {
				if err := s.Write(revision, payload(revision)); err != nil {
					t.Fatal(err)
				}
			}
			if err := f.Corrupt(c.file, c.change); err != nil {
				t.Fatal(err)
			}
			entry, data, damage, err := s.Latest()
			if err != nil || entry.Revision != c.want || !bytes.Equal(data, payload(c.want)) {
				t.Fatalf("latest snapshot: revision %d, error %v, want revision %d", entry.Revision, err, c.want)
			}
			if len(damage) != 1 || "/data/"+damage[0].File != c.file || (c.offset >= 0 && damage[0].Offset != c.offset) {
				t.Fatalf("damage %+v, want %s at %d", damage, c.file, c.offset)
			}
		})
	}
	t.Run("disk full", func(t *testing.T) {
		f := NewFaultyFS()
		s := SnapshotStore{FS: f, Dir: "/data", Keep: 2}
		if err := s.Write(1, payload(1)); err != nil {
			t.Fatal(err)
		}
		f.MaxFileBytes = 100
		if err := s.Write(9, payload(9)); !errors.Is(err, ErrDiskFull) {
			t.Fatalf("write of a file that exceeds the limit: error %v, want %v", err, ErrDiskFull)
		}
		if entry, _, _, err := s.Latest(); err != nil || entry.Revision != 1 {
			t.Fatalf("after the failed write: revision %d, error %v, want revision 1", entry.Revision, err)
		}
	})
}
