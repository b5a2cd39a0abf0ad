package durable

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"
)

// The errors that FaultyFS injects.
var (
	ErrCrashed  = errors.New("durable: crashed (injected)") // of every operation after the crash
	ErrDiskFull = errors.New("durable: no space left on device (injected)")
)

// file is a file of FaultyFS.
type file struct {
	durable []byte // the contents that survive a power cut
	pending []byte // the contents as read
	synced  bool   // pending is durable
}

// FaultyFS is an FS in memory that separates durable contents and names from those that are only written, so that a
// test can cut the power after any operation. A name is durable in its folder only after SyncDir. Not safe for
// concurrent use.
type FaultyFS struct {
	names     map[string]*file // as read
	durable   map[string]*file // that survive a power cut: those of each folder when it was last synced
	stepsLeft int              // operations until the planned crash; -1 if none is planned
	crashed   bool

	// TornBytes, if above 0, is how many bytes of an unsynced write survive a power cut (a torn write).
	TornBytes int
	// MaxFileBytes, if above 0, bounds a file's size: a larger write fails with ErrDiskFull.
	MaxFileBytes int
}

// NewFaultyFS returns an empty FaultyFS without a planned crash.
func NewFaultyFS() *FaultyFS {
	return &FaultyFS{names: map[string]*file{}, durable: map[string]*file{}, stepsLeft: -1}
}

// CrashAfter plans a crash: n more operations happen, then every one fails with ErrCrashed.
func (f *FaultyFS) CrashAfter(n int) { f.stepsLeft = n }

// StepsLeft returns how many operations happen until the planned crash; -1 if none is planned.
func (f *FaultyFS) StepsLeft() int { return f.stepsLeft }

// PowerCut returns a new FaultyFS with what is durable: the names as their folders were last synced, and the contents
// as last synced, with the first TornBytes of a later write over them.
func (f *FaultyFS) PowerCut() *FaultyFS {
	restarted := NewFaultyFS()
	for name, before := range f.durable {
		contents := before.durable
		if !before.synced && f.TornBytes > 0 {
			contents = torn(before.durable, before.pending, f.TornBytes)
		}
		after := &file{durable: bytes.Clone(contents), pending: bytes.Clone(contents), synced: true}
		restarted.names[name] = after
		restarted.durable[name] = after
	}
	return restarted
}

// torn returns the durable contents with the first n bytes of the pending ones written over them, as after a partial
// write.
func torn(old, pending []byte, n int) []byte {
	out := bytes.Clone(old)
	n = min(n, len(pending))
	if len(out) < n {
		out = append(out, make([]byte, n-len(out))...)
	}
	copy(out, pending[:n])
	return out
}

// Corrupt changes a file's contents, as damage of the disk does.
func (f *FaultyFS) Corrupt(name string, change func([]byte) []byte) error {
	fl, ok := f.names[name]
	if !ok {
		return fs.ErrNotExist
	}
	fl.durable = change(bytes.Clone(fl.durable))
	fl.pending = bytes.Clone(fl.durable)
	fl.synced = true
	return nil
}

// countStep counts an operation, and fails if it is after the crash.
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

// WriteFile implements FS.
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
	fl.pending = bytes.Clone(data)
	fl.synced = false
	return nil
}

// Sync implements FS.
func (f *FaultyFS) Sync(name string) error {
	if err := f.countStep(); err != nil {
		return err
	}
	fl, ok := f.names[name]
	if !ok {
		return &fs.PathError{Op: "fsync", Path: name, Err: fs.ErrNotExist}
	}
	fl.durable = bytes.Clone(fl.pending)
	fl.synced = true
	return nil
}

// Rename implements FS.
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

// SyncDir implements FS.
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

// Remove implements FS.
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

// ReadFile implements FS.
func (f *FaultyFS) ReadFile(name string) ([]byte, error) {
	if f.crashed {
		return nil, ErrCrashed
	}
	fl, ok := f.names[name]
	if !ok {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return bytes.Clone(fl.pending), nil
}

// ReadDir implements FS.
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
