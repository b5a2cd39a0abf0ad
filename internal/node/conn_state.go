package node

import (
	"errors"
	"net"
	"sync"
	"time"

	"hitchvale/internal/httpframing"
)

// errNoHead is the fault of a request that the HTTP server read although httpframing found no head for it.
var errNoHead = errors.New("the head of the request was not found")

// connPhase says whether requests on a client's connection are served.
type connPhase uint8

const (
	connOpen     connPhase = iota
	connRejected           // an incomplete request was rejected with 503; the client may still send the rest of it
	connClosed             // the node has closed the connection
)

// messagePhase is the progress of the current request on a client's connection.
type messagePhase uint8

const (
	messageNone      messagePhase = iota // no byte of a request has been received
	messageReceiving                     // some bytes have been received, and the handler does not have the request yet
	messageServing                       // the handler has the request
)

// connState is the state of a client's connection. Both closing the connection and reading from it check and change the
// state under its lock, so that no bytes are read that would then be dropped. It is safe for concurrent use.
//
// The phase of the connection changes at most once, by reject, closeIf or markClosed. The phase of the current request
// goes through the same sequence for each request: markReceiving or readUnlessClosed, addHead, takeHead, finishMessage.
type connState struct {
	mu      sync.Mutex
	phase   connPhase
	message messagePhase
	// headIncomplete is set while the bytes that have been read are known not to complete a head.
	headIncomplete bool
	// readingBody is set while the handler reads a body that it does not forward meanwhile: into memory, or to drop it.
	readingBody bool
	// heads are the complete heads that the handler has not taken yet. Only a client that pipelines has more than one.
	heads []httpframing.Head
}

// markReceiving records that bytes of a request have been received. It reports whether the connection is still open.
func (s *connState) markReceiving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setReceivingLocked()
	return s.phase == connOpen
}

// setReceivingLocked sets messageReceiving, unless a request is being served. The caller holds mu.
func (s *connState) setReceivingLocked() {
	if s.message != messageServing {
		s.message = messageReceiving
	}
}

// readUnlessClosed calls read, which must not block, and marks the connection as receiving if read returned bytes. If
// the node has closed the connection, it returns net.ErrClosed without calling read. The check and the read are one
// step under the lock: the close resets bytes that are still unread, and the client sends them again, whereas bytes
// that have been read have to be answered.
func (s *connState) readUnlessClosed(read func() (int, error)) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == connClosed {
		return 0, net.ErrClosed
	}
	n, err := read()
	if n > 0 {
		s.setReceivingLocked()
		s.headIncomplete = false
	}
	return max(n, 0), err
}

// markIncomplete records that the bytes that have been read do not complete a head.
func (s *connState) markIncomplete() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.headIncomplete = true
}

// addHead records a complete head.
func (s *connState) addHead(head httpframing.Head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heads = append(s.heads, head)
}

// takeHead returns the head of the request that the handler serves next. If the connection is closed or rejected, open
// is false and the request must not be served. If there is no head, the HTTP server has read a request that httpframing
// did not find, and takeHead returns a head with the fault errNoHead.
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

// hasCompleteHead reports whether the handler has a request or is about to get one.
func (s *connState) hasCompleteHead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hasCompleteHeadLocked()
}

// hasCompleteHeadLocked is hasCompleteHead for a caller that holds mu.
func (s *connState) hasCompleteHeadLocked() bool {
	return s.message == messageServing || len(s.heads) > 0
}

// finishMessage records that the current request has its response and that the connection stays open. nextStarted says
// whether bytes of the next request have already been received.
func (s *connState) finishMessage(nextStarted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.message = messageNone
	if nextStarted {
		s.message = messageReceiving
	}
}

// busy reports whether a request is being received or served. A rejected connection counts as busy.
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

// reject moves an open connection with an incomplete head to connRejected. It reports whether it did.
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

// closeIf moves an open connection without a complete head to connClosed if the condition holds as well. It returns
// true if it has moved the connection; no bytes are read from the connection afterwards. The condition is called under
// the lock.
func (s *connState) closeIf(condition func(message messagePhase) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != connOpen || s.hasCompleteHeadLocked() || !condition(s.message) {
		return false
	}
	s.phase = connClosed
	return true
}

// markClosed records that the node closes the connection. A request that crosses the close is not served: its client
// assumes that it was not read, and sends it again. A rejected connection stays in connRejected.
func (s *connState) markClosed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase == connOpen {
		s.phase = connClosed
	}
}

// isClosedOrRejected reports whether the node has closed the connection, or rejected a request on it.
func (s *connState) isClosedOrRejected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase != connOpen
}

// setReadingBody records whether the handler reads a body that it does not forward meanwhile.
func (s *connState) setReadingBody(reading bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readingBody = reading
}

// ifReadingBody calls a function, under the lock, if the handler reads a body that it does not forward meanwhile.
func (s *connState) ifReadingBody(call func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readingBody {
		call()
	}
}
