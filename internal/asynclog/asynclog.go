// Package asynclog keeps a log from holding its program up. Lines wait in a bounded queue for whoever reads them; what finds it
// full is dropped and counted.
package asynclog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// queueLines is how many lines may wait.
const queueLines = 1024

// Writer is an io.Writer that never waits. It may be used by several goroutines.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	ended   chan struct{}
}

// New returns a Writer that passes lines on to out, in order. What out fails to write is lost.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), closing: make(chan struct{}), ended: make(chan struct{})}
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

// Close passes on what waits, for so long at the most. A write that is stuck is left to the end of the process. Close is called
// once; lines that are written after it may be lost.
func (w *Writer) Close(within time.Duration) {
	close(w.closing)
	select {
	case <-w.ended:
	case <-time.After(within):
	}
}

func (w *Writer) run() {
	defer close(w.ended)
	for {
		select {
		case line := <-w.lines:
			w.pass(line)
		case <-w.closing:
			w.flush()
			return
		}
	}
}

// flush passes on what waits already.
func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.pass(line)
		default:
			return
		}
	}
}

func (w *Writer) pass(line []byte) {
	w.out.Write(line)
	if n := w.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w.out, "level=WARN msg=\"log lines dropped, nobody read them\" lines=%d\n", n)
	}
}
