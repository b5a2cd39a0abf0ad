package node

import (
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// streamStallTimeout is how long the other side may take, or give, nothing of what is streamed.
	streamStallTimeout = 10 * time.Second
	// streamBufferSize is how much is streamed at once, in bytes.
	streamBufferSize = 16 << 10
)

// errBodyAbandoned is the error of reading a body that is not forwarded any more.
var errBodyAbandoned = errors.New("the rest of the body is not wanted")

// streamBuffers are the buffers of streams.
var streamBuffers = sync.Pool{New: func() any { return new([streamBufferSize]byte) }}

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
func (u *requestStream) next(b []byte) ([]byte, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.abandoned:
		return nil, errBodyAbandoned
	case u.err != nil:
		return nil, u.err
	}
	u.forwarded = true
	if buffered := u.buffered; len(buffered) > 0 {
		u.buffered = nil
		return buffered, nil
	}
	n, err := u.source.Read(b)
	u.err = err
	if err == io.EOF {
		u.complete.Store(true)
		u.onComplete()
	}
	if n > 0 {
		err = nil // the next call returns it
	}
	return b[:n], err
}

// anyForwarded reports whether some of the body has been sent to a backend, so that it can't be sent to another.
func (u *requestStream) anyForwarded() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.forwarded
}

// abandon stops the forwarding of the body. It does not wait for a read in progress.
func (u *requestStream) abandon() {
	go func() {
		u.mu.Lock()
		u.abandoned = true
		u.mu.Unlock()
	}()
}

// discard reads the rest of the body, within its rate and limit. Closing the connection over unread bytes would reset
// it, which may overtake the response; and a client may read the response only after it has sent everything.
func (u *requestStream) discard() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.abandoned = true
	buffer := streamBuffers.Get().(*[streamBufferSize]byte)
	defer streamBuffers.Put(buffer)
	for u.err == nil {
		_, u.err = u.source.Read(buffer[:])
	}
}

// copyTo sends the body to a backend. It returns nil when the last byte has been written; whileWriting says that an
// error is of the backend's connection, and not of the client's.
func (u *requestStream) copyTo(backend *backendConn) (whileWriting bool, err error) {
	buffer := streamBuffers.Get().(*[streamBufferSize]byte)
	defer streamBuffers.Put(buffer)
	chunked := u.size < 0
	var w io.WriteCloser = nopCloser{backend}
	if chunked {
		w = httputil.NewChunkedWriter(backend)
	}
	for {
		piece, err := u.next(buffer[:])
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

// responseStream is a backend's response that is passed on while it comes in.
type responseStream struct {
	buffered []byte // what has been read of it so far
	size     int64  // in bytes; -1: unknown
	body     io.Reader
	backend  *backendConn
	release  func(whole bool) // gives the backend's connection back
}

// copyTo passes the response on, and releases the connection. It calls onLastByte before the last byte of a response of
// known length; one of unknown length ends only after copyTo has returned.
func (s *responseStream) copyTo(w http.ResponseWriter, onLastByte func()) (err error) {
	complete := false
	defer func() { s.release(complete) }()
	client := http.NewResponseController(w)
	buffer := streamBuffers.Get().(*[streamBufferSize]byte)
	defer streamBuffers.Put(buffer)
	passed := int64(0)
	if s.size == 0 {
		onLastByte()
	}
	for piece := s.buffered; ; {
		if len(piece) > 0 {
			passed += int64(len(piece))
			if passed == s.size {
				onLastByte()
			}
			client.SetWriteDeadline(time.Now().Add(streamStallTimeout))
			if _, err := w.Write(piece); err != nil {
				return err
			}
			if err := client.Flush(); err != nil {
				return err
			}
		}
		if err == io.EOF {
			complete = true
			return nil
		}
		if err != nil {
			return err
		}
		s.backend.SetReadDeadline(time.Now().Add(streamStallTimeout))
		var n int
		n, err = s.body.Read(buffer[:])
		piece = buffer[:n]
	}
}

// timedOut reports whether an error only says that nothing came in time.
func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
