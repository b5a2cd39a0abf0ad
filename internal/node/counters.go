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
type counters struct {
	classNames           []string        // of the classes
	outcomes             []classOutcomes // by class
	attemptsWritten      atomic.Int64
	pendingRequests      atomic.Int64
	listedEndpoints      atomic.Int64
	unavailableEndpoints atomic.Int64
	attempts             [balance.StatusNotSent + 1]atomic.Int64 // by status
	retries              atomic.Int64
	closes               closeCounts
}

// ends are the ways in which requests of a class end. Each request ends in one of them.
type classOutcomes struct{ completed, rejected, failed atomic.Int64 }

func newCounters(classes []string) *counters {
	return &counters{classNames: classes, outcomes: make([]classOutcomes, len(classes))}
}

// count takes in the end of a request.
func (f *counters) recordOutcome(class int, kind responseKind) {
	e := &f.outcomes[class]
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
func (f *counters) trackPending() (begin, end func()) {
	var mu sync.Mutex
	var begun, over bool
	begin = func() {
		mu.Lock()
		defer mu.Unlock()
		if !begun && !over {
			begun = true
			f.pendingRequests.Add(1)
		}
	}
	end = func() {
		mu.Lock()
		defer mu.Unlock()
		if begun && !over {
			f.pendingRequests.Add(-1)
		}
		over = true
	}
	return begin, end
}

func (f *counters) writeText(w io.Writer) {
	const name = "edge_balancer."
	for i, class := range f.classNames {
		e := &f.outcomes[i]
		fmt.Fprintf(w, name+"completed.%s=%d\n", class, e.completed.Load())
		fmt.Fprintf(w, name+"rejected.%s=%d\n", class, e.rejected.Load())
		fmt.Fprintf(w, name+"failed.%s=%d\n", class, e.failed.Load())
	}
	fmt.Fprintf(w, name+"upstream_requests=%d\n", f.attemptsWritten.Load())
	fmt.Fprintf(w, name+"pending=%d\n", f.pendingRequests.Load())
	fmt.Fprintf(w, name+"members=%d\n", f.listedEndpoints.Load())
	fmt.Fprintf(w, name+"members_unavailable=%d\n", f.unavailableEndpoints.Load())
}
