package lab

import (
	"bytes"
	"strconv"
	"sync"
	"time"
)

// Attempt is one copy of a request as a node began to send it: the link saw its head, whatever became of it behind.
type Attempt struct {
	Trace      string
	Node       string
	Backend    string
	At         int64 // Unix time in nanoseconds
	DeadlineMs int64 // the time that it told its backend
}

// attemptLog takes down the attempts that go over links from nodes to backends.
type attemptLog struct {
	mu       sync.Mutex
	attempts []Attempt
}

// watch has a link take down the attempts that begin on it.
func (log *attemptLog) recordAttempts(p *Proxy, node, backend string) {
	p.observeSent(func(piece []byte) {
		trace, ok := headerValue(piece, "X-Trace-Id: ")
		if !ok {
			return // no head, or a probe's
		}
		text, _ := headerValue(piece, "X-Expires-In: ")
		deadlineSeconds, _ := strconv.ParseFloat(text, 64)
		a := Attempt{Trace: trace, Node: node, Backend: backend, At: time.Now().UnixNano(),
			DeadlineMs: int64(deadlineSeconds * 1000)}
		log.mu.Lock()
		defer log.mu.Unlock()
		log.attempts = append(log.attempts, a)
	})
}

// all are the attempts so far.
func (log *attemptLog) all() []Attempt {
	log.mu.Lock()
	defer log.mu.Unlock()
	return append([]Attempt(nil), log.attempts...)
}

// headerValue finds a header in the head of a message.
func headerValue(piece []byte, name string) (string, bool) {
	_, after, ok := bytes.Cut(piece, []byte("\r\n"+name))
	if !ok {
		return "", false
	}
	value, _, ok := bytes.Cut(after, []byte("\r\n"))
	return string(value), ok
}
