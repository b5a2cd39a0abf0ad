package asynclog

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// gate is an output that blocks all writes until open is closed.
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

// Write does not wait for a blocked output. When the output is no longer blocked, it receives the queued lines in order
// and a warning about the dropped lines.
func TestWriteDoesNotBlock(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	w := New(g)
	const lines = 3 * queueCapacity
	start := time.Now()
	for i := range lines {
		fmt.Fprintf(w, "line %d\n", i)
	}
	if spent := time.Since(start); spent > 5*time.Second {
		t.Errorf("the writes took %v", spent)
	}
	close(g.open)
	w.Close(10 * time.Second)
	got := strings.Split(strings.TrimSpace(g.text.String()), "\n")
	if got[0] != "line 0" || !strings.Contains(g.text.String(), "log lines dropped") {
		t.Errorf("first of %d lines is %q, or there is no warning about dropped lines", len(got), got[0])
	}
	if n := len(got); n < queueCapacity || n > queueCapacity+2 {
		t.Errorf("%d lines written, want %d to %d", n, queueCapacity, queueCapacity+2)
	}
}

// Close returns after its timeout if the output is blocked.
func TestCloseHasATimeout(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	defer close(g.open)
	w := New(g)
	fmt.Fprintln(w, "line")
	start := time.Now()
	w.Close(50 * time.Millisecond)
	if spent := time.Since(start); spent > 5*time.Second {
		t.Errorf("Close took %v", spent)
	}
}
