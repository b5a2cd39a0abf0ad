package asynclog

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// gate is an output that takes nothing until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

// A writer never waits for its output: what the queue holds comes in order once that takes it, and the rest is counted.
func TestWriterNeverWaits(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	w := New(g)
	const lines = 3 * queueCapacity
	began := time.Now()
	for i := range lines {
		fmt.Fprintf(w, "line %d\n", i)
	}
	if spent := time.Since(began); spent > 5*time.Second {
		t.Errorf("took %v", spent)
	}
	close(g.open)
	w.Close(10 * time.Second)
	got := strings.Split(strings.TrimSpace(g.text.String()), "\n")
	if got[0] != "line 0" || !strings.Contains(g.text.String(), "log lines dropped") {
		t.Errorf("first %q of %d lines, no word of those dropped", got[0], len(got))
	}
	if n := len(got); n < queueCapacity || n > queueCapacity+2 {
		t.Errorf("%d lines passed on", n)
	}
}

// Closing waits for an output that is stuck no longer than it may.
func TestCloseIsBounded(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	defer close(g.open)
	w := New(g)
	fmt.Fprintln(w, "line")
	began := time.Now()
	w.Close(50 * time.Millisecond)
	if spent := time.Since(began); spent > 5*time.Second {
		t.Errorf("took %v", spent)
	}
}
