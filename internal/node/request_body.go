package node

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"time"
)

const (
	// maxStreamedBody bounds the body of a request that may be streamed, in bytes.
	maxStreamedBody = 36 << 20
	// minBodyRate is the rate, in bytes a second, that a client has to reach while the node waits for its body: half
	// of the slowest that has to be served.
	minBodyRate = 32 << 10
	// maxBodyStall is how long a client may send nothing within a body.
	maxBodyStall = 2 * time.Second
)

var (
	// errBodyTooLong is the error of a body that is longer than the node accepts.
	errBodyTooLong = errors.New("body too long")
	// errBodyMemory is the error of a body that can't be buffered now, since others take up the memory.
	errBodyMemory = errors.New("no memory left for the body now")
)

// requestBody is a request's body: buffered completely, or a stream.
type requestBody struct {
	buffered []byte
	stream   *requestStream // nil: it is buffered
	memory   int64          // what it has taken of the budget, in bytes
}

// minRateBody reads a client's body and enforces its limit and minBodyRate. Only time that the node waits for the
// client counts: a client can't send faster than a backend takes the body.
type minRateBody struct {
	source          io.Reader
	setReadDeadline func(time.Time) error
	waited          time.Duration // for the client, the head included
	received        int64         // bytes
	limit           int64         // bytes
}

// newMinRateBody returns the reader of a request's body; start is when the request's first byte came.
func newMinRateBody(w http.ResponseWriter, hr *http.Request, start time.Time, limit int64) *minRateBody {
	return &minRateBody{
		source:          hr.Body,
		setReadDeadline: http.NewResponseController(w).SetReadDeadline,
		waited:          time.Since(start),
		limit:           limit,
	}
}

// Read reads some of the body. It fails with errBodyTooLong or a timeout.
func (p *minRateBody) Read(b []byte) (int, error) {
	allowed := requestReadTimeout + time.Duration(p.received)*time.Second/minBodyRate
	began := time.Now()
	p.setReadDeadline(began.Add(min(allowed-p.waited, maxBodyStall)))
	n, err := p.source.Read(b)
	p.waited += time.Since(began)
	p.received += int64(n)
	if p.received > p.limit {
		return n, errBodyTooLong
	}
	if err == io.EOF {
		// A deadline that passes while the request is served would look like a disconnect.
		p.setReadDeadline(time.Time{})
	}
	return n, err
}

// readBody buffers a request's body if the memory budget allows: a buffered body is complete, and a retry can send it
// again. Beyond the budget the body is streamed where the node does that, and else rejected, so that nothing which a
// client sends without end reaches a backend.
func (s *clientServer) readBody(w http.ResponseWriter, hr *http.Request, start time.Time) (requestBody, error) {
	size := hr.ContentLength
	limit := s.bodyMemory.maxPerRequest
	if s.streaming {
		limit = maxStreamedBody
	}
	if size > limit {
		return requestBody{}, errBodyTooLong
	}
	source := newMinRateBody(w, hr, start, limit)
	if c, ok := clientConnOf(hr.Context()); ok {
		c.setBuffering(true)
		defer c.setBuffering(false)
	}
	var body requestBody
	var complete bool
	var err error
	switch {
	case size < 0:
		body, complete, err = s.bufferChunked(source)
	case size == 0 || s.bodyMemory.reserve(0, size, !s.streaming):
		body = requestBody{buffered: make([]byte, size), memory: size}
		complete = true
		_, err = io.ReadFull(source, body.buffered)
	}
	if err == nil && !complete && !s.streaming {
		err = errBodyMemory
	}
	if err != nil {
		s.bodyMemory.release(body.memory)
		return requestBody{}, err
	}
	if !complete {
		stream := &requestStream{source: source, size: size, buffered: body.buffered}
		return requestBody{stream: stream, memory: body.memory}, nil
	}
	source.setReadDeadline(time.Time{})
	return body, nil
}

// bufferChunked buffers a body of unknown length, as far as the memory budget allows. It reports whether the body is
// complete.
func (s *clientServer) bufferChunked(source io.Reader) (body requestBody, complete bool, err error) {
	for s.bodyMemory.reserve(body.memory, streamBufferSize, !s.streaming) {
		body.memory += streamBufferSize
		body.buffered = slices.Grow(body.buffered, streamBufferSize)
		for end := len(body.buffered) + streamBufferSize; len(body.buffered) < end; {
			n, err := source.Read(body.buffered[len(body.buffered):end])
			body.buffered = body.buffered[:len(body.buffered)+n]
			switch {
			case err == io.EOF:
				return body, true, nil
			case err != nil:
				return body, false, err
			}
		}
	}
	// A body may end just here; one that goes on beyond its limit fails this read.
	var next [1]byte
	n, err := source.Read(next[:])
	switch {
	case n == 0 && err == io.EOF:
		return body, true, nil
	case err != nil && err != io.EOF:
		return body, false, err
	}
	body.buffered = append(body.buffered, next[:n]...)
	return body, false, nil
}
