package durable

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
)

func payload(rev int64) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("state at %d;", rev)), int(rev))
}

// A power cut at every operation of five snapshot writes in turn, with and without a torn unsynced write: after the
// restart the newest snapshot that verifies is the last acknowledged one or the one being written, complete, and
// never an older one; no damage is reported, since no synced byte was harmed.
func TestPowerCutAtEveryStepRetainsAcknowledgedSnapshot(t *testing.T) {
	for _, tornBytes := range []int{0, 5, 40} {
		for point := 0; ; point++ {
			f := NewFaultyFS()
			f.TornBytes = tornBytes
			f.CrashAfter(point)
			s := SnapshotStore{FS: f, Dir: "/data", Keep: 2}
			var acked int64
			for rev := int64(1); rev <= 5; rev++ {
				if s.Write(rev, payload(rev)) != nil {
					break
				}
				acked = rev
			}
			if f.StepsLeft() > 0 || point > 200 {
				break // the writes ended before the crash point: every point has been tried
			}
			after := SnapshotStore{FS: f.PowerCut(), Dir: "/data", Keep: 2}
			e, data, damage, err := after.Latest()
			switch {
			case err != nil || len(damage) > 0:
				t.Fatalf("torn %d, cut at step %d: %v, damage %v", tornBytes, point, err, damage)
			case e.Revision < acked || e.Revision > acked+1:
				t.Fatalf("torn %d, cut at step %d: revision %d after %d was acknowledged", tornBytes, point, e.Revision, acked)
			case e.Revision > 0 && !bytes.Equal(data, payload(e.Revision)):
				t.Fatalf("torn %d, cut at step %d: revision %d's data differs", tornBytes, point, e.Revision)
			}
		}
	}
}

// Each kind of damage is detected, named with its file and offset, and the next snapshot serves; a full disk
// fails the write and leaves the old snapshots serving.
func TestDamageIsReportedAndOlderSnapshotIsUsed(t *testing.T) {
	newest := "/data/snap-00000000000000000002.bin"
	for _, c := range []struct {
		name, file string
		change     func([]byte) []byte
		offset     int64
		want       int64 // the revision that serves
	}{
		{"bit flipped in the data", newest, func(b []byte) []byte { b[len(b)/2] ^= 0x10; return b }, int64(headerSize), 1},
		{"truncated", newest, func(b []byte) []byte { return b[:len(b)-3] }, -1, 1},
		{"header missing", newest, func(b []byte) []byte { return b[:4] }, 0, 1},
		{"manifest damaged", "/data/MANIFEST", func(b []byte) []byte { b[2] ^= 1; return b }, 0, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := NewFaultyFS()
			s := SnapshotStore{FS: f, Dir: "/data", Keep: 2}
			for rev := int64(1); rev <= 2; rev++ {
				if err := s.Write(rev, payload(rev)); err != nil {
					t.Fatal(err)
				}
			}
			if err := f.Corrupt(c.file, c.change); err != nil {
				t.Fatal(err)
			}
			e, data, damage, err := s.Latest()
			if err != nil || e.Revision != c.want || !bytes.Equal(data, payload(c.want)) {
				t.Fatalf("served %d (%v), want %d", e.Revision, err, c.want)
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
			t.Fatalf("a write beyond the limit: %v", err)
		}
		if e, _, _, err := s.Latest(); err != nil || e.Revision != 1 {
			t.Fatalf("after a full disk: %d %v", e.Revision, err)
		}
	})
}
