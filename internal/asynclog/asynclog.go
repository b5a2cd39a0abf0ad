// Package asynclog keeps a log from blocking its program. Lines wait in a bounded queue for their reader; a line that
// finds the queue full is dropped and counted.
package asynclog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// queueCapacity is how many lines may wait.
const queueCapacity = 1024

// Writer is an io.Writer that never waits. It may be used by several goroutines.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	done    chan struct{}
}

// New returns a Writer that writes lines to out, in order. What out fails to write is lost.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueCapacity), closing: make(chan struct{}),
		done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line, or drops it where the queue is full. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the lines that wait, for timeout at the most. A write that blocks for longer is abandoned. Close is
// called once; lines that are written after it may be lost.
func (w *Writer) Close(timeout time.Duration) {
	close(w.closing)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-w.closing:
			w.flush()
			return
		}
	}
}

// flush writes the lines that wait already.
func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return
		}
	}
}

func (w *Writer) writeLine(line []byte) {
	w.out.Write(line)
	if n := w.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w.out, "level=WARN msg=\"log lines dropped, nobody read them\" lines=%d\n", n)
	}
}
