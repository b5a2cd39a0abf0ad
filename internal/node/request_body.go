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
	// minBodyRate is the rate, in bytes per second, that a client has to reach while the node waits for its body. It is
	// half the rate of the slowest client that has to be served.
	minBodyRate = 32 << 10
	// maxBodyStall is the longest pause that a client may make while it sends a body.
	maxBodyStall = 2 * time.Second
)

var (
	// errBodyTooLong is returned for a body that is longer than the node accepts.
	errBodyTooLong = errors.New("the body is too long")
	// errBodyMemory is returned for a body that cannot be buffered because the memory budget is used up at present.
	errBodyMemory = errors.New("the node has no memory for the body at present")
)

// requestBody is the body of a request: either buffered completely, or a stream.
type requestBody struct {
	buffered []byte
	stream   *requestStream // nil if the body is buffered
	memory   int64          // bytes that the body holds of the memory budget
}

// minRateBody reads a client's body and enforces the length limit and minBodyRate. Only the time during which the node
// waits for the client counts, since a client cannot send faster than the backend takes the body.
type minRateBody struct {
	source          io.Reader
	setReadDeadline func(time.Time) error
	waited          time.Duration // how long the node has waited for the client, including its head
	received        int64         // bytes
	limit           int64         // bytes
}

// newMinRateBody returns the reader of a request's body. start is when the client's time began.
func newMinRateBody(w http.ResponseWriter, hr *http.Request, start time.Time, limit int64) *minRateBody {
	return &minRateBody{
		source:          hr.Body,
		setReadDeadline: http.NewResponseController(w).SetReadDeadline,
		waited:          time.Since(start),
		limit:           limit,
	}
}

// Read reads bytes of the body. It fails with errBodyTooLong, or with a timeout if the client is too slow.
func (r *minRateBody) Read(b []byte) (int, error) {
	allowed := requestReadTimeout + time.Duration(r.received)*time.Second/minBodyRate
	yieldToOthers()
	began := time.Now()
	r.setReadDeadline(began.Add(min(allowed-r.waited, maxBodyStall)))
	n, err := r.source.Read(b)
	r.waited += time.Since(began)
	r.received += int64(n)
	if r.received > r.limit {
		return n, errBodyTooLong
	}
	if err == io.EOF {
		// A read deadline that passes while the request is served would look like a disconnect of the client.
		r.setReadDeadline(time.Time{})
	}
	return n, err
}

// readBody buffers a request's body if the memory budget allows it: a buffered body is complete, and a retry can send
// it again. Beyond the budget, a node with streaming streams the body, and any other node rejects the request. Without
// streaming, a body that never ends therefore reaches no backend.
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
	defer readInterruptibly(hr)()
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
		stream := &requestStream{source: source, size: size, buffered: body.buffered, buffers: s.streamBuffers}
		return requestBody{stream: stream, memory: body.memory}, nil
	}
	source.setReadDeadline(time.Time{})
	return body, nil
}

// readInterruptibly lets a shutdown interrupt the reading of a request's body, until the returned function is called.
func readInterruptibly(hr *http.Request) (end func()) {
	c, ok := clientConnOf(hr.Context())
	if !ok {
		return func() {}
	}
	c.setReadingBody(true)
	return func() { c.setReadingBody(false) }
}

// bufferChunked buffers a body of unknown length as far as the memory budget allows, and reports whether the body is
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
	// The body may end exactly here, so one more byte is read. For a body beyond its limit this read fails.
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
