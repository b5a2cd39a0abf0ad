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
	ErrCrashed  = errors.New("durable: crashed (injected)") // returned by every operation after the crash
	ErrDiskFull = errors.New("durable: no space left on device (injected)")
)

// file is a file of FaultyFS.
type file struct {
	durable []byte // the contents that survive a power cut
	current []byte // the contents that ReadFile returns
	synced  bool   // current is durable
}

// FaultyFS is an in-memory FS that keeps durable contents and names separate from contents and names that have been
// written but not synced, so that a test can simulate a power cut after any operation. A name is durable only after
// SyncDir of its directory. FaultyFS is not safe for concurrent use.
type FaultyFS struct {
	current   map[string]*file // the files that can be read, by name
	durable   map[string]*file // the files that survive a power cut: the files in each directory at its last sync
	stepsLeft int              // number of operations until the planned crash; -1 if no crash is planned
	crashed   bool

	// TornBytes, if above 0, is the number of bytes of an unsynced write that survive a power cut (a torn write).
	TornBytes int
	// MaxFileBytes, if above 0, is the maximum size of a file. A larger write fails with ErrDiskFull.
	MaxFileBytes int
}

// NewFaultyFS returns an empty FaultyFS without a planned crash.
func NewFaultyFS() *FaultyFS {
	return &FaultyFS{current: map[string]*file{}, durable: map[string]*file{}, stepsLeft: -1}
}

// CrashAfter plans a crash: n more operations succeed, and every later one fails with ErrCrashed.
func (f *FaultyFS) CrashAfter(n int) { f.stepsLeft = n }

// StepsLeft returns the number of operations until the planned crash, or -1 if no crash is planned.
func (f *FaultyFS) StepsLeft() int { return f.stepsLeft }

// PowerCut returns a new FaultyFS with the files that survive a power cut: the names as of the last sync of each
// directory, and the contents as of the last sync of each file. If a file was written again after its last sync, the
// first TornBytes of that write overwrite its contents.
func (f *FaultyFS) PowerCut() *FaultyFS {
	restarted := NewFaultyFS()
	for name, before := range f.durable {
		contents := before.durable
		if !before.synced && f.TornBytes > 0 {
			contents = torn(before.durable, before.current, f.TornBytes)
		}
		after := &file{durable: bytes.Clone(contents), current: bytes.Clone(contents), synced: true}
		restarted.current[name] = after
		restarted.durable[name] = after
	}
	return restarted
}

// torn returns the contents of a file after a partial write: the durable contents, overwritten with the first n bytes
// of the current contents.
func torn(durable, current []byte, n int) []byte {
	out := bytes.Clone(durable)
	n = min(n, len(current))
	if len(out) < n {
		out = append(out, make([]byte, n-len(out))...)
	}
	copy(out, current[:n])
	return out
}

// Corrupt changes the durable and the current contents of a file, like a fault of the disk.
func (f *FaultyFS) Corrupt(name string, change func([]byte) []byte) error {
	fl, ok := f.current[name]
	if !ok {
		return fs.ErrNotExist
	}
	fl.durable = change(bytes.Clone(fl.durable))
	fl.current = bytes.Clone(fl.durable)
	fl.synced = true
	return nil
}

// countStep counts an operation. It fails with ErrCrashed if the operation comes after the planned crash.
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
	fl, ok := f.current[name]
	if !ok {
		fl = &file{}
		f.current[name] = fl
	}
	fl.current = bytes.Clone(data)
	fl.synced = false
	return nil
}

// Sync implements FS.
func (f *FaultyFS) Sync(name string) error {
	if err := f.countStep(); err != nil {
		return err
	}
	fl, ok := f.current[name]
	if !ok {
		return &fs.PathError{Op: "fsync", Path: name, Err: fs.ErrNotExist}
	}
	fl.durable = bytes.Clone(fl.current)
	fl.synced = true
	return nil
}

// Rename implements FS.
func (f *FaultyFS) Rename(oldname, newname string) error {
	if err := f.countStep(); err != nil {
		return err
	}
	fl, ok := f.current[oldname]
	if !ok {
		return &fs.PathError{Op: "rename", Path: oldname, Err: fs.ErrNotExist}
	}
	delete(f.current, oldname)
	f.current[newname] = fl
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
	for name, fl := range f.current {
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
	if _, ok := f.current[name]; !ok {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	delete(f.current, name)
	return nil
}

// ReadFile implements FS.
func (f *FaultyFS) ReadFile(name string) ([]byte, error) {
	if f.crashed {
		return nil, ErrCrashed
	}
	fl, ok := f.current[name]
	if !ok {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return bytes.Clone(fl.current), nil
}

// ReadDir implements FS.
func (f *FaultyFS) ReadDir(dir string) ([]string, error) {
	if f.crashed {
		return nil, ErrCrashed
	}
	var out []string
	for name := range f.current {
		if filepath.Dir(name) == dir {
			out = append(out, filepath.Base(name))
		}
	}
	slices.Sort(out)
	return out, nil
}
