package node

import (
	"errors"
	"io"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"time"

	"hitchvale/internal/connpool"
)

// errBodyAbandoned is the error of reading a body that is not forwarded any more.
var errBodyAbandoned = errors.New("the rest of the body is not wanted")

// requestStream is a request's body that is forwarded while it comes in. It can be sent once.
type requestStream struct {
	buffered   []byte // what has been read of it so far
	size       int64  // in bytes; -1: unknown
	onComplete func() // called when the client's last byte has come

	complete atomic.Bool // the client has sent its last byte

	mu        sync.Mutex // held while source is read
	source    io.Reader
	forwarded bool // some of it has been sent to a backend
	abandoned bool // it is not forwarded any more
	err       error
}

// next returns some more of the body: what was buffered, or read into b. It returns errBodyAbandoned after abandon.
func (s *requestStream) next(b []byte) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.abandoned:
		return nil, errBodyAbandoned
	case s.err != nil:
		return nil, s.err
	}
	s.forwarded = true
	if buffered := s.buffered; len(buffered) > 0 {
		s.buffered = nil
		return buffered, nil
	}
	n, err := s.source.Read(b)
	s.err = err
	if err == io.EOF {
		s.complete.Store(true)
		s.onComplete()
	}
	if n > 0 {
		err = nil // the next call returns it
	}
	return b[:n], err
}

// anyForwarded reports whether some of the body has been sent to a backend, so that it can't be sent to another.
func (s *requestStream) anyForwarded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.forwarded
}

// abandon stops the forwarding of the body. It does not wait for a read in progress.
func (s *requestStream) abandon() {
	go func() {
		s.mu.Lock()
		s.abandoned = true
		s.mu.Unlock()
	}()
}

// discard reads the rest of the body, within its rate and limit. Closing the connection over unread bytes would reset
// it, which may overtake the response; and a client may read the response only after it has sent everything.
func (s *requestStream) discard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandoned = true
	buffer := streamBuffers.Get().(*[streamBufferSize]byte)
	defer streamBuffers.Put(buffer)
	for s.err == nil {
		_, s.err = s.source.Read(buffer[:])
	}
}

// copyTo sends the body to a backend. It returns nil when the last byte has been written; whileWriting says that an
// error is of the backend's connection, and not of the client's.
func (s *requestStream) copyTo(backend *connpool.Conn) (whileWriting bool, err error) {
	buffer := streamBuffers.Get().(*[streamBufferSize]byte)
	defer streamBuffers.Put(buffer)
	chunked := s.size < 0
	var w io.WriteCloser = nopCloser{backend}
	if chunked {
		w = httputil.NewChunkedWriter(backend)
	}
	for {
		piece, err := s.next(buffer[:])
		if err == io.EOF {
			break
		}
		if err != nil {
			return false, err
		}
		backend.SetWriteDeadline(time.Now().Add(streamStallTimeout))
		if _, err := w.Write(piece); err != nil {
			return true, err
		}
	}
	if !chunked {
		return false, nil
	}
	w.Close()
	_, err = io.WriteString(backend, "\r\n")
	return true, err
}

// nopCloser is a writer whose Close does nothing.
type nopCloser struct{ io.Writer }

func (nopCloser) Close() error { return nil }
