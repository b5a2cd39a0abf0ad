// Package asynclog writes a log in the background, so that a blocked output does not block the program. Lines wait in a
// bounded queue. If the queue is full, lines are dropped and counted.
package asynclog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// queueCapacity is how many lines may wait in the queue.
const queueCapacity = 1024

// Writer is an io.Writer whose Write never blocks. It may be used by several goroutines.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64 // lines dropped since the last report
	closing chan struct{}
	done    chan struct{}
}

// New returns a Writer that writes lines to out, in order. A line that out fails to write is lost. The caller must call
// Close.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueCapacity), closing: make(chan struct{}),
		done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of a line, or drops the line if the queue is full. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and returns after timeout at the latest. A write that is still blocked then is
// abandoned. Close must be called once. Lines that are written after Close may be lost.
func (w *Writer) Close(timeout time.Duration) {
	close(w.closing)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// run writes lines to the output until Close is called, and then the lines that are still queued.
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

// flush writes the queued lines.
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

// writeLine writes a line to the output, and a warning if lines were dropped since the last warning.
func (w *Writer) writeLine(line []byte) {
	w.out.Write(line)
	if n := w.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w.out, "level=WARN msg=\"log lines dropped because the output was blocked\" lines=%d\n", n)
	}
}
