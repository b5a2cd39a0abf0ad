package node

import (
	"fmt"

	"hitchvale/balance"
	"io"
	"sync"
	"sync/atomic"
)

// figures are what the node tells of itself on its second address. They can be read at any time, without waiting
// for anyone.
type figures struct {
	names    []string // of the classes
	ends     []ends   // by class
	upstream atomic.Int64
	pending  atomic.Int64
	members  atomic.Int64
	avoided  atomic.Int64
	attempts [balance.StatusNotSent + 1]atomic.Int64 // by status
	retries  atomic.Int64
	closes   closeCounters
}

// ends are the ways in which requests of a class end. Each request ends in one of them.
type ends struct{ completed, rejected, failed atomic.Int64 }

func newFigures(classes []string) *figures {
	return &figures{names: classes, ends: make([]ends, len(classes))}
}

// count takes in the end of a request.
func (f *figures) count(class int, kind responseKind) {
	e := &f.ends[class]
	switch kind {
	case responseServed:
		e.completed.Add(1)
	case responseRejected:
		e.rejected.Add(1)
	default:
		e.failed.Add(1)
	}
}

// pend returns what a request calls when it has been taken, and when it has ended, taken or not.
func (f *figures) pend() (begin, end func()) {
	var mu sync.Mutex
	var begun, over bool
	begin = func() {
		mu.Lock()
		defer mu.Unlock()
		if !begun && !over {
			begun = true
			f.pending.Add(1)
		}
	}
	end = func() {
		mu.Lock()
		defer mu.Unlock()
		if begun && !over {
			f.pending.Add(-1)
		}
		over = true
	}
	return begin, end
}

func (f *figures) write(w io.Writer) {
	const name = "edge_balancer."
	for i, class := range f.names {
		e := &f.ends[i]
		fmt.Fprintf(w, name+"completed.%s=%d\n", class, e.completed.Load())
		fmt.Fprintf(w, name+"rejected.%s=%d\n", class, e.rejected.Load())
		fmt.Fprintf(w, name+"failed.%s=%d\n", class, e.failed.Load())
	}
	fmt.Fprintf(w, name+"upstream_requests=%d\n", f.upstream.Load())
	fmt.Fprintf(w, name+"pending=%d\n", f.pending.Load())
	fmt.Fprintf(w, name+"members=%d\n", f.members.Load())
	fmt.Fprintf(w, name+"members_unavailable=%d\n", f.avoided.Load())
}
