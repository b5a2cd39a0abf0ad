package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// errNotRun marks a failure of the surroundings: the case could not run, and says nothing about the rule.
var errNotRun = errors.New("the case could not run")

// world is one run of a case: its folders, its record and everything that it has started.
type world struct {
	root    string // the repository
	tmp     string // removed at the end
	trouble bool   // false: the same run without the disruption
	began   time.Time

	mu      sync.Mutex
	record  *os.File
	closers []func()
}

// newWorld opens the record in the folder of the case and makes a temporary folder.
func newWorld(root, folder string, trouble bool) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "hitchvale-case-")
	if err != nil {
		return nil, err
	}
	w := &world{root: root, tmp: tmp, trouble: trouble, began: time.Now(), record: record}
	w.note("disruption: %v", trouble)
	return w, nil
}

// note writes a line to the record, with the time since the start of the run.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// atEnd has close call a function; the last one added is called first.
func (w *world) atEnd(call func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closers = append(w.closers, call)
}

// close ends all that the run has started.
func (w *world) close() {
	w.mu.Lock()
	closers := w.closers
	w.mu.Unlock()
	for _, call := range slices.Backward(closers) {
		call()
	}
	w.record.Close()
	os.RemoveAll(w.tmp)
}

// listen opens a listener on a free loopback port. It is closed at the end.
func (w *world) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	w.atEnd(func() { l.Close() })
	return l, nil
}

// freeAddress returns a loopback address that nobody listened on a moment ago.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("%w: %w", errNotRun, err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}
