package node

import (
	"errors"
	"net"
	"sync"
	"time"

	"hitchvale/internal/httpframing"
)

// errNoHead is the fault of a request that the HTTP server found where none began.
var errNoHead = errors.New("no head")

// connPhase is whether a client's connection is still in use.
type connPhase uint8

const (
	connOpen     connPhase = iota
	connRejected           // an incomplete request was answered with 503; the client may still send the rest of it
	connClosed             // this side has closed it
)

// messagePhase is where the current request of a client's connection stands.
type messagePhase uint8

const (
	messageNone      messagePhase = iota // nothing of a request has come
	messageReceiving                     // some of a request has come that is not with the handler
	messageServing                       // the request is with the handler
)

// connState is the state of a client's connection. Closing the connection and reading from it both go by it under its
// lock, so that nothing is read that would then be dropped. It is safe for concurrent use.
//
// The connection's phase changes once, by reject, closeIf or markClosed. The request's phase goes in circles:
// markReceiving or readUnlessClosed, addHead, takeHead, finishMessage.
type connState struct {
	mu        sync.Mutex
	phase     connPhase
	message   messagePhase
	buffering bool // the handler is reading a body into memory
	// heads are complete and not taken by the handler yet; more than one only of a client that pipelines.
	heads []httpframing.Head
}

// markReceiving records that some of a request has come. It reports whether the connection is still open.
func (s *connState) markReceiving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setReceivingLocked()
	return s.phase == connOpen
}

// setReceivingLocked is markReceiving under the lock.
func (s *connState) setReceivingLocked() {
	if s.message != messageServing {
		s.message = messageReceiving
	}
}

// readUnlessClosed runs a read that does not wait, unless this side has closed the connection. It marks the connection
// in the same step: what is unread at a close is reset and the client sends it again, what was read has to be answered.
// It returns net.ErrClosed without a read in that case.
func (s *connState) readUnlessClosed(read func() (int, error)) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == connClosed {
		return 0, net.ErrClosed
	}
	n, err := read()
	if n > 0 {
		s.setReceivingLocked()
	}
	return max(n, 0), err
}

// addHead records a complete head.
func (s *connState) addHead(head httpframing.Head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heads = append(s.heads, head)
}

// takeHead returns the head of the request that the handler serves now; open is false where this side has closed the
// connection before. Without a head the HTTP server has found a request where none began: that is a fault.
func (s *connState) takeHead() (head httpframing.Head, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != connOpen {
		return httpframing.Head{LastOnConnection: true}, false
	}
	s.message = messageServing
	if len(s.heads) == 0 {
		return httpframing.Head{LastOnConnection: true, Err: errNoHead, Start: time.Now()}, true
	}
	head = s.heads[0]
	s.heads = s.heads[1:]
	return head, true
}

// hasCompleteHead reports whether a request is with the handler or about to be.
func (s *connState) hasCompleteHead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasCompleteHeadLocked()
}

// hasCompleteHeadLocked is hasCompleteHead under the lock.
func (s *connState) hasCompleteHeadLocked() bool {
	return s.message == messageServing || len(s.heads) > 0
}

// finishMessage records that a request has been answered and the connection stays; more says that some of the next
// request has come already.
func (s *connState) finishMessage(more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.message = messageNone
	if more {
		s.message = messageReceiving
	}
}

// busy reports whether a request is coming in or being served.
func (s *connState) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.phase {
	case connRejected:
		return true
	case connClosed:
		return false
	}
	return s.message != messageNone || len(s.heads) > 0
}

// reject turns an open connection with an incomplete head into a rejected one. It reports whether it was one.
func (s *connState) reject() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != connOpen || s.message != messageReceiving || len(s.heads) > 0 {
		return false
	}
	s.phase = connRejected
	return true
}

// isRejected reports whether an incomplete request was rejected on the connection.
func (s *connState) isRejected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase == connRejected
}

// closeIf closes an open connection without a complete head, if the condition holds too. It reports whether it has:
// from then on nothing is read of the connection. The condition is called under the lock.
func (s *connState) closeIf(condition func(message messagePhase) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != connOpen || s.hasCompleteHeadLocked() || !condition(s.message) {
		return false
	}
	s.phase = connClosed
	return true
}

// markClosed records that this side closes the connection. A request that crosses the close is not served: its client
// takes it for unread and sends it again. A rejected connection stays one.
func (s *connState) markClosed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == connOpen {
		s.phase = connClosed
	}
}

// isClosedOrRejected reports whether this side has closed the connection, or rejected a request on it.
func (s *connState) isClosedOrRejected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase != connOpen
}

// setBuffering records that the handler starts, or stops, reading a body into memory.
func (s *connState) setBuffering(buffering bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffering = buffering
}

// ifBuffering calls a function under the lock while the handler reads a body into memory.
func (s *connState) ifBuffering(call func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.buffering {
		call()
	}
}
