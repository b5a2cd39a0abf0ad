package lab

import (
	"bytes"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Attempt is one attempt of a request, recorded when a link from a node to a backend got the attempt's head.
type Attempt struct {
	Trace      string
	Node       string
	Backend    string
	At         int64 // Unix time in nanoseconds
	DeadlineMs int64 // the time until the deadline that the node forwards to the backend, in milliseconds
}

// attemptLog records the attempts on links from nodes to backends.
type attemptLog struct {
	mu       sync.Mutex
	attempts []Attempt
}

// recordAttempts records the attempts that begin on a link from now on. It ignores requests without a trace id, which
// are health checks.
func (log *attemptLog) recordAttempts(link *Proxy, node, backend string) {
	link.observeSent(func(chunk []byte) {
		trace, ok := headerValue(chunk, "X-Trace-Id: ")
		if !ok {
			return
		}
		deadline, _ := headerValue(chunk, "X-Expires-In: ")
		deadlineSeconds, _ := strconv.ParseFloat(deadline, 64)
		attempt := Attempt{Trace: trace, Node: node, Backend: backend, At: time.Now().UnixNano(),
			DeadlineMs: int64(deadlineSeconds * 1000)}
		log.mu.Lock()
		defer log.mu.Unlock()
		log.attempts = append(log.attempts, attempt)
	})
}

// all returns the attempts recorded so far.
func (log *attemptLog) all() []Attempt {
	log.mu.Lock()
	defer log.mu.Unlock()
	return slices.Clone(log.attempts)
}

// headerValue returns the value of a header in a chunk that contains the head of a message. The name includes the colon
// and the space.
func headerValue(chunk []byte, name string) (string, bool) {
	_, after, ok := bytes.Cut(chunk, []byte("\r\n"+name))
	if !ok {
		return "", false
	}
	value, _, ok := bytes.Cut(after, []byte("\r\n"))
	return string(value), ok
}
