package node

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"hitchvale/balance"
)

// counters are the node's statistics for its second address, since the start of the process. They may be read at any
// time, from any goroutine. metrics reads them too.
type counters struct {
	classNames           []string
	outcomes             []classOutcomes // by class
	attemptsWritten      atomic.Int64    // attempts whose last byte has been written to a backend
	pendingRequests      atomic.Int64    // requests that were taken and have no final response
	listedEndpoints      atomic.Int64    // those in the endpoint list, draining ones too
	unavailableEndpoints atomic.Int64    // those of them that get nothing now
	attempts             [balance.StatusNotSent + 1]atomic.Int64
	retries              atomic.Int64
	closes               closeCounters
}

// classOutcomes counts the requests of a class by how they ended. Each request is in one of them.
type classOutcomes struct {
	completed atomic.Int64
	rejected  atomic.Int64
	failed    atomic.Int64
}

func newCounters(classNames []string) *counters {
	return &counters{classNames: classNames, outcomes: make([]classOutcomes, len(classNames))}
}

// recordOutcome counts the end of a request.
func (c *counters) recordOutcome(class int, kind responseKind) {
	outcomes := &c.outcomes[class]
	switch kind {
	case responseServed:
		outcomes.completed.Add(1)
	case responseRejected:
		outcomes.rejected.Add(1)
	default:
		outcomes.failed.Add(1)
	}
}

// trackPending returns the functions that a request calls when it has been taken, and when it has ended, taken or not.
// Each call after the first of end changes nothing.
func (c *counters) trackPending() (begin, end func()) {
	var mu sync.Mutex
	var begun, ended bool
	begin = func() {
		mu.Lock()
		defer mu.Unlock()
		if !begun && !ended {
			begun = true
			c.pendingRequests.Add(1)
		}
	}
	end = func() {
		mu.Lock()
		defer mu.Unlock()
		if begun && !ended {
			c.pendingRequests.Add(-1)
		}
		ended = true
	}
	return begin, end
}

// writeText writes a line for each figure.
func (c *counters) writeText(w io.Writer) {
	const prefix = "edge_balancer."
	for i, class := range c.classNames {
		outcomes := &c.outcomes[i]
		fmt.Fprintf(w, prefix+"completed.%s=%d\n", class, outcomes.completed.Load())
		fmt.Fprintf(w, prefix+"rejected.%s=%d\n", class, outcomes.rejected.Load())
		fmt.Fprintf(w, prefix+"failed.%s=%d\n", class, outcomes.failed.Load())
	}
	fmt.Fprintf(w, prefix+"upstream_requests=%d\n", c.attemptsWritten.Load())
	fmt.Fprintf(w, prefix+"pending=%d\n", c.pendingRequests.Load())
	fmt.Fprintf(w, prefix+"members=%d\n", c.listedEndpoints.Load())
	fmt.Fprintf(w, prefix+"members_unavailable=%d\n", c.unavailableEndpoints.Load())
}
