package node

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"hitchvale/internal/lograte"
)

const (
	// cordonPollInterval is how often the file is checked for changes. It is far shorter than the grace of a drain.
	cordonPollInterval = 50 * time.Millisecond
	// startReadTimeout bounds how long the first read is retried after transient errors.
	startReadTimeout = 2 * time.Second
	// lockRetryInterval is the time between two tries to lock the file.
	lockRetryInterval = 5 * time.Millisecond
)

// cordonFile stores the cordonRecord of a node. All processes of the node watch the file, so that a change by one
// process also applies to the others and to processes that start later.
type cordonFile struct {
	path     string
	log      *slog.Logger
	lastRead os.FileInfo // the file when it was last read; nil before that
	readFile func(path string) ([]byte, error)
}

func newCordonFile(dir, nodeName string, log *slog.Logger) *cordonFile {
	return &cordonFile{
		path:     filepath.Join(dir, "glencart-"+fileNamePart(nodeName)+".cordons"),
		log:      log,
		readFile: os.ReadFile,
	}
}

// fileNamePart returns a node's name for use in a file name: all characters except ASCII letters, digits, "-" and "_"
// are replaced by "_".
func fileNamePart(nodeName string) string {
	return strings.Map(func(r rune) rune {
		if r == '-' || r == '_' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' {
			return r
		}
		return '_'
	}, cmp.Or(nodeName, "node"))
}

// load reads the record. It returns an empty record if the file is missing.
func (f *cordonFile) load() (cordonRecord, error) {
	text, err := f.readFile(f.path)
	if errors.Is(err, fs.ErrNotExist) {
		return cordonRecord{}, nil
	}
	if err != nil {
		return cordonRecord{}, err
	}
	record, err := decodeCordonRecord(text)
	if err != nil {
		return cordonRecord{}, fmt.Errorf("%s: %w", f.path, err)
	}
	return record, nil
}

// loadAtStart reads the record when the node starts. If it can't be read, the node starts without cordons.
func (f *cordonFile) loadAtStart() cordonRecord {
	info, _ := os.Stat(f.path) // nil: the file is missing
	record, err := f.load()
	for began := time.Now(); isTransient(err) && time.Since(began) < startReadTimeout; record, err = f.load() {
		time.Sleep(cordonPollInterval)
	}
	switch {
	case isTransient(err):
		f.log.Error("cordon record not readable yet, starting without cordons", "error", err)
		return record
	case err != nil:
		f.log.Error("cordon record malformed, starting without cordons", "error", err)
	case info == nil:
		f.log.Info("no cordon record, starting without cordons", "file", f.path)
	}
	f.lastRead = info
	return record
}

// update cordons or uncordons a backend in the file, and returns the new record. now is the wall clock. known is the
// record that this process has; it replaces the content of a file that has been lost or damaged since.
func (f *cordonFile) update(
	ctx context.Context, known cordonRecord, backendID string, cordoned bool, now time.Duration,
) (cordonRecord, error) {
	unlock, err := f.lock(ctx)
	if err != nil {
		return cordonRecord{}, err
	}
	defer unlock()
	record, err := f.load()
	switch {
	case isTransient(err):
		return cordonRecord{}, fmt.Errorf("cordon record not readable, try again: %w", err)
	case err != nil:
		f.log.Error("cordon record malformed, writing a new one", "error", err)
	}
	if record.Version < known.Version {
		record = known
	}
	record, changed := record.withCordon(backendID, cordoned, now)
	if !changed {
		return record, nil
	}
	return record, f.write(record)
}

// lock keeps other processes from updating the file until unlock is called. It waits for the lock until ctx ends.
func (f *cordonFile) lock(ctx context.Context) (unlock func(), err error) {
	lockFile, err := os.OpenFile(f.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for {
		err = syscall.Flock(int(lockFile.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return func() { lockFile.Close() }, nil
		}
		isHeld := errors.Is(err, syscall.EWOULDBLOCK) || errors.Is(err, syscall.EINTR)
		if !isHeld || ctx.Err() != nil {
			lockFile.Close()
			return nil, fmt.Errorf("lock %s: %w", lockFile.Name(), errors.Join(err, ctx.Err()))
		}
		pause(ctx, lockRetryInterval)
	}
}

// write replaces the file. The record is on disk when write returns, since a cordon that was confirmed to the operator
// must survive a power loss.
func (f *cordonFile) write(record cordonRecord) error {
	text, err := json.Marshal(record)
	if err != nil {
		return err
	}
	temporary, err := os.CreateTemp(filepath.Dir(f.path), filepath.Base(f.path)+".*")
	if err != nil {
		return err
	}
	_, err = temporary.Write(text)
	if err == nil {
		err = temporary.Sync()
	}
	if err = errors.Join(err, temporary.Close()); err == nil {
		err = os.Rename(temporary.Name(), f.path)
	}
	if err != nil {
		os.Remove(temporary.Name())
	}
	return err
}

// watch polls the file and calls onChange with each record that another process of the node writes, until ctx ends. The
// removal of the file changes nothing.
func (f *cordonFile) watch(ctx context.Context, onChange func(cordonRecord)) {
	warnings := &lograte.Limited{Log: f.log}
	ticker := time.NewTicker(cordonPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		info, err := os.Stat(f.path)
		if err != nil || f.isUnchanged(info) {
			continue
		}
		record, err := f.load()
		if !isTransient(err) {
			f.lastRead = info // after a transient error the file is read again
		}
		if err != nil {
			warnings.Warn("cordon record not readable, keeping the known cordons", "error", err)
			continue
		}
		onChange(record)
	}
}

// isUnchanged reports whether the file is the same, with the same modification time, as when it was last read.
func (f *cordonFile) isUnchanged(info os.FileInfo) bool {
	return f.lastRead != nil && os.SameFile(info, f.lastRead) && info.ModTime().Equal(f.lastRead.ModTime())
}
