// Package durable is where the project's own files on disk are written and checked: a narrow file interface (FS)
// with the operating system's implementation and a fault-injecting one for tests (Faulty), and a store of
// checksummed snapshots with a manifest (Snapshots). See docs/ROADMAP.md, "Recovery", for the design.
package durable

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
)

// FS is the few file operations the project's durable files use. A write is durable only once the file is
// synced; a create, rename or remove is durable only once its folder is synced (POSIX: fsync of the directory).
type FS interface {
	// WriteFile creates or truncates name and writes data; nothing is synced.
	WriteFile(name string, data []byte) error
	// Sync makes name's contents durable.
	Sync(name string) error
	// Rename replaces newname by oldname atomically (as seen before and after a crash once the folder is synced).
	Rename(oldname, newname string) error
	// SyncDir makes the names in dir durable: creations, renames and removals.
	SyncDir(dir string) error
	Remove(name string) error
	ReadFile(name string) ([]byte, error)
	// ReadDir gives the names in dir, sorted.
	ReadDir(dir string) ([]string, error)
}

// OS is FS on the operating system's files.
type OSFS struct{}

func (OSFS) WriteFile(name string, data []byte) error { return os.WriteFile(name, data, 0o644) }

func (OSFS) Sync(name string) error { return syncPath(name, os.O_RDWR) }

func (OSFS) Rename(oldname, newname string) error { return os.Rename(oldname, newname) }

func (OSFS) SyncDir(dir string) error { return syncPath(dir, os.O_RDONLY) }

func (OSFS) Remove(name string) error { return os.Remove(name) }

func (OSFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

func (OSFS) ReadDir(dir string) ([]string, error) {
	ents, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(ents))
	for i, e := range ents {
		names[i] = e.Name()
	}
	return names, nil
}

func syncPath(name string, flag int) error {
	f, err := os.OpenFile(name, flag, 0)
	if err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return fmt.Errorf("fsync %s: %w", name, err)
	}
	return f.Close()
}

// ErrCrashed is what every operation of a Faulty answers after its crash point: the power is gone.
var ErrCrashed = errors.New("durable: crashed (injected)")

// ErrFull is the injected full disk.
var ErrDiskFull = errors.New("durable: no space left on device (injected)")

// file is a file of Faulty: what its folder has durably (dirent), what is durably in it, and what is written but
// not yet synced.
type file struct {
	durable, pending []byte
	synced           bool // pending == durable
}

// Faulty is an in-memory FS that keeps apart what is durable from what is only written, so that a power cut can
// be taken at any step: CrashAfter(n) makes the n-th operation from now the last to happen, and PowerCut gives
// the files as a restart would find them. Names are durable in a folder only after SyncDir; a torn write keeps
// Torn bytes of an unsynced file's new contents. It is not safe for use by several goroutines.
type FaultyFS struct {
	names     map[string]*file // the names as seen now
	durable   map[string]*file // the names as a restart would find them, per folder last synced
	stepsLeft int              // operations left before the crash; -1 for none planned
	crashed   bool
	// Torn, where above 0, is how many bytes of an unsynced write survive a power cut (a torn last record).
	TornBytes int
	// Room, where above 0, is the most bytes a file may hold: a larger write fails with ErrFull.
	MaxFileBytes int
}

// NewFaulty gives an empty Faulty with no crash planned.
func NewFaultyFS() *FaultyFS {
	return &FaultyFS{names: map[string]*file{}, durable: map[string]*file{}, stepsLeft: -1}
}

// CrashAfter plans the power cut: n more operations happen, then every one fails with ErrCrashed.
func (f *FaultyFS) CrashAfter(n int) { f.stepsLeft = n }

// Steps is how many operations are left before the planned crash (-1: none planned).
func (f *FaultyFS) StepsLeft() int { return f.stepsLeft }

// PowerCut gives a new Faulty holding what is durable: the names of the folders as last synced, each with its
// contents as last synced (or, with Torn, that and a prefix of what was written after).
func (f *FaultyFS) PowerCut() *FaultyFS {
	n := NewFaultyFS()
	for name, fl := range f.durable {
		keep := fl.durable
		if !fl.synced && f.TornBytes > 0 {
			keep = torn(fl.durable, fl.pending, f.TornBytes)
		}
		c := &file{durable: clone(keep), pending: clone(keep), synced: true}
		n.names[name], n.durable[name] = c, c
	}
	return n
}

// torn is the durable contents overwritten by the first n bytes of the pending ones, as a disk that wrote part of
// a page would leave them.
func torn(old, pending []byte, n int) []byte {
	out := clone(old)
	n = min(n, len(pending))
	if len(out) < n {
		out = append(out, make([]byte, n-len(out))...)
	}
	copy(out, pending[:n])
	return out
}

// Corrupt changes a file's durable contents in place (a flipped bit, a truncation) for damage tests.
func (f *FaultyFS) Corrupt(name string, change func([]byte) []byte) error {
	fl, ok := f.names[name]
	if !ok {
		return fs.ErrNotExist
	}
	fl.durable = change(clone(fl.durable))
	fl.pending, fl.synced = clone(fl.durable), true
	return nil
}

func (f *FaultyFS) countStep() error {
	if f.crashed {
		return ErrCrashed
	}
	if f.stepsLeft == 0 {
		f.crashed = true
		return ErrCrashed
	}
	if f.stepsLeft > 0 {
		f.stepsLeft--
	}
	return nil
}

func (f *FaultyFS) WriteFile(name string, data []byte) error {
	if err := f.countStep(); err != nil {
		return err
	}
	if f.MaxFileBytes > 0 && len(data) > f.MaxFileBytes {
		return fmt.Errorf("write %s: %w", name, ErrDiskFull)
	}
	fl, ok := f.names[name]
	if !ok {
		fl = &file{}
		f.names[name] = fl
	}
	fl.pending, fl.synced = clone(data), false
	return nil
}

func (f *FaultyFS) Sync(name string) error {
	if err := f.countStep(); err != nil {
		return err
	}
	fl, ok := f.names[name]
	if !ok {
		return &fs.PathError{Op: "fsync", Path: name, Err: fs.ErrNotExist}
	}
	fl.durable, fl.synced = clone(fl.pending), true
	return nil
}

func (f *FaultyFS) Rename(oldname, newname string) error {
	if err := f.countStep(); err != nil {
		return err
	}
	fl, ok := f.names[oldname]
	if !ok {
		return &fs.PathError{Op: "rename", Path: oldname, Err: fs.ErrNotExist}
	}
	delete(f.names, oldname)
	f.names[newname] = fl
	return nil
}

// SyncDir makes the folder's names as they are now the ones a restart finds.
func (f *FaultyFS) SyncDir(dir string) error {
	if err := f.countStep(); err != nil {
		return err
	}
	for name := range f.durable {
		if filepath.Dir(name) == dir {
			delete(f.durable, name)
		}
	}
	for name, fl := range f.names {
		if filepath.Dir(name) == dir {
			f.durable[name] = fl
		}
	}
	return nil
}

func (f *FaultyFS) Remove(name string) error {
	if err := f.countStep(); err != nil {
		return err
	}
	if _, ok := f.names[name]; !ok {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	delete(f.names, name)
	return nil
}

func (f *FaultyFS) ReadFile(name string) ([]byte, error) {
	if f.crashed {
		return nil, ErrCrashed
	}
	fl, ok := f.names[name]
	if !ok {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return clone(fl.pending), nil
}

func (f *FaultyFS) ReadDir(dir string) ([]string, error) {
	if f.crashed {
		return nil, ErrCrashed
	}
	var out []string
	for name := range f.names {
		if filepath.Dir(name) == dir {
			out = append(out, filepath.Base(name))
		}
	}
	slices.Sort(out)
	return out, nil
}

func clone(b []byte) []byte { return append([]byte(nil), b...) }
