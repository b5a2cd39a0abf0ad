package node

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"hitchvale/balance"
)

// counters are the node's statistics since the start of the process. The admin server shows them, as lines of text and
// as Prometheus metrics. They are safe for concurrent use.
type counters struct {
	classNames           []string
	outcomes             []classOutcomes // by class
	attemptsWritten      atomic.Int64    // attempts whose last byte has been written to a backend
	pendingRequests      atomic.Int64    // complete requests that have no final response yet
	listedEndpoints      atomic.Int64    // endpoints in the list, including draining ones
	unavailableEndpoints atomic.Int64    // listed endpoints that get no requests at present

	attempts [balance.StatusNotSent + 1]atomic.Int64 // ended attempts, by status
	retries  atomic.Int64                            // attempts of requests that had an attempt before
	repeated atomic.Int64                            // requests that were not run, because their id had come before
	closes   closeCounters

	unwrittenTimeout atomic.Int64 // responses not written to their client, because a write timed out
	unwrittenClosed  atomic.Int64 // responses not written to their client, because its connection had ended
}

// classOutcomes counts the requests of a class by outcome. Each request is counted once.
type classOutcomes struct {
	completed atomic.Int64
	rejected  atomic.Int64
	failed    atomic.Int64
}

// newCounters returns the counters of a node with these classes, all zero.
func newCounters(classNames []string) *counters {
	return &counters{classNames: classNames, outcomes: make([]classOutcomes, len(classNames))}
}

// recordOutcome counts a request that has ended, by the kind of its response.
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

// recordUnwritten counts a response that could not be written to its client because of err.
func (c *counters) recordUnwritten(err error) {
	if timedOut(err) {
		c.unwrittenTimeout.Add(1)
	} else {
		c.unwrittenClosed.Add(1)
	}
}

// trackPending returns two functions for one request: begin counts the request as pending, and end ends this count.
// begin has no effect after a call of end. Only the first call of each function has an effect. Both are safe for
// concurrent use.
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

// writeText writes a line for each of the counters that /admin/stats shows.
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
