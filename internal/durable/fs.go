// Package durable stores the registry's snapshots so that a power cut at any moment leaves one that can be read:
// SnapshotStore over FS, the few file operations that it needs. docs/ROADMAP.md has the design under "Recovery".
package durable

import (
	"fmt"
	"os"
)

// FS is a file system. As in POSIX, a write is durable only once the file is synced, and a creation, renaming or
// removal only once its folder is.
type FS interface {
	// WriteFile creates or truncates a file and writes data. Nothing is synced.
	WriteFile(name string, data []byte) error
	// Sync makes a file's contents durable.
	Sync(name string) error
	// Rename replaces newname by oldname in one step, before and after a power cut alike.
	Rename(oldname, newname string) error
	// SyncDir makes the names in a folder durable.
	SyncDir(dir string) error
	// Remove removes a file.
	Remove(name string) error
	// ReadFile returns a file's contents.
	ReadFile(name string) ([]byte, error)
	// ReadDir returns the names in a folder, sorted.
	ReadDir(dir string) ([]string, error)
}

// fileMode is the mode of the files that OSFS creates.
const fileMode = 0o644

// OSFS is the operating system's file system.
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
