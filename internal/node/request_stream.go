package node

import (
	"errors"
	"io"
	"net/http/httputil"
	"sync"
	"sync/atomic"

	"hitchvale/internal/connpool"
)

// errBodyAbandoned is returned for a read of a body that is no longer forwarded.
var errBodyAbandoned = errors.New("the rest of the request body is no longer forwarded")

// errLastByteWithheld is returned if the last byte of a body must no longer be written.
var errLastByteWithheld = errors.New("the attempt was cancelled before the last byte of its request body")

// requestStream is the body of a request that is forwarded while it arrives. It can be sent to one backend only.
type requestStream struct {
	buffered []byte // the first bytes, which have been read already
	size     int64  // in bytes; -1 if unknown
	arrival  bodyArrival
	buffers  *bufferPool

	complete   atomic.Bool  // the last byte of the body has been read
	readLength atomic.Int64 // bytes of the body that have been read to be forwarded

	mu        sync.Mutex // guards the fields below; held while source is read
	source    io.Reader
	forwarded bool // the sending to a backend has begun
	abandoned bool // the body is no longer forwarded
	err       error
}

// next returns the next bytes of the body: the buffered ones, or bytes that it reads into b. It returns
// errBodyAbandoned after abandon.
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
		s.readLength.Add(int64(len(buffered)))
		return buffered, nil
	}
	n, err := s.source.Read(b)
	s.err = err
	s.readLength.Add(int64(n))
	if err == io.EOF {
		s.complete.Store(true)
		s.arrival.note()
	}
	if n > 0 {
		err = nil // the next call returns the error
	}
	return b[:n], err
}

// anyForwarded reports whether bytes of the body may have been sent to a backend, so that the body cannot be sent to
// another one.
func (s *requestStream) anyForwarded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.forwarded
}

// abandon stops the forwarding of the body. It does not wait for a read in progress, so it takes effect later.
func (s *requestStream) abandon() {
	go func() {
		s.mu.Lock()
		s.abandoned = true
		s.mu.Unlock()
	}()
}

// discard reads and drops the rest of the body, within its minimum rate and its limit. There are two reasons: closing
// the connection while bytes are unread would reset it, and the reset may overtake the response; and a client may read
// the response only after it has sent the entire body.
func (s *requestStream) discard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandoned = true
	buffer := s.buffers.get()
	defer s.buffers.put(buffer)
	for s.err == nil {
		yieldToOthers()
		_, s.err = s.source.Read(*buffer)
	}
}

// copyTo sends the body to a backend. It returns nil when the last byte has been written. It calls beginLastByte before
// it writes this byte, and does not write it if the result is false. writeFailed says whether the error came from
// writing to the backend, and not from reading the client's body.
func (s *requestStream) copyTo(backend *connpool.Conn, beginLastByte func() bool) (writeFailed bool, err error) {
	buffer := s.buffers.get()
	defer s.buffers.put(buffer)
	chunked := s.size < 0
	wire := stallLimitedWriter{backend}
	var w io.WriteCloser = nopCloser{wire}
	if chunked {
		w = httputil.NewChunkedWriter(wire)
	}
	for passedOn := int64(0); ; {
		piece, err := s.next(*buffer)
		if err == io.EOF {
			break
		}
		if err != nil {
			return false, err
		}
		passedOn += int64(len(piece))
		if passedOn == s.size && !beginLastByte() {
			return true, errLastByteWithheld
		}
		if _, err := w.Write(piece); err != nil {
			return true, err
		}
	}
	if !chunked {
		return false, nil
	}
	if !beginLastByte() {
		return true, errLastByteWithheld
	}
	w.Close()
	_, err = io.WriteString(wire, "\r\n")
	return true, err
}

// nopCloser is a writer whose Close does nothing.
type nopCloser struct{ io.Writer }

// Close does nothing.
func (nopCloser) Close() error { return nil }
