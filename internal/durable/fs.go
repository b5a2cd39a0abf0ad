// Package durable stores the registry's snapshots in such a way that a readable snapshot remains after a power cut at
// any moment. SnapshotStore writes and reads the snapshots; FS is the interface of the file operations that it needs.
// docs/ROADMAP.md describes the design under "Recovery".
package durable

import (
	"fmt"
	"os"
)

// FS is a file system. As in POSIX, a write is durable only after the file has been synced, and the creation, renaming
// or removal of a file is durable only after its directory has been synced.
type FS interface {
	// WriteFile creates or truncates a file and writes data. It does not sync the file or its directory.
	WriteFile(name string, data []byte) error
	// Sync makes a file's contents durable.
	Sync(name string) error
	// Rename renames oldname to newname and replaces an existing file of that name. The operation is atomic, also in
	// case of a power cut.
	Rename(oldname, newname string) error
	// SyncDir makes the names in a directory durable.
	SyncDir(dir string) error
	// Remove removes a file.
	Remove(name string) error
	// ReadFile returns a file's contents.
	ReadFile(name string) ([]byte, error)
	// ReadDir returns the names in a directory, sorted.
	ReadDir(dir string) ([]string, error)
}

// fileMode is the mode of the files that OSFS creates.
const fileMode = 0o644

// OSFS implements FS with the operating system's file system.
type OSFS struct{}

// WriteFile implements FS.
func (OSFS) WriteFile(name string, data []byte) error { return os.WriteFile(name, data, fileMode) }

// Sync implements FS.
func (OSFS) Sync(name string) error { return syncPath(name, os.O_RDWR) }

// Rename implements FS.
func (OSFS) Rename(oldname, newname string) error { return os.Rename(oldname, newname) }

// SyncDir implements FS.
func (OSFS) SyncDir(dir string) error { return syncPath(dir, os.O_RDONLY) }

// Remove implements FS.
func (OSFS) Remove(name string) error { return os.Remove(name) }

// ReadFile implements FS.
func (OSFS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// ReadDir implements FS.
func (OSFS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry.Name()
	}
	return names, nil
}

// syncPath opens a file or directory with the given flag, syncs it and closes it.
func syncPath(name string, flag int) error {
	file, err := os.OpenFile(name, flag, 0)
	if err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		file.Close()
		return fmt.Errorf("fsync %s: %w", name, err)
	}
	return file.Close()
}
