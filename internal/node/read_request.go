package node

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net/http"
	"path"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"hitchvale/balance"
)

// This file reads what a client asks for: the head, the checks of it, and the body.

// hopByHop are the headers that belong to one connection, beside those that Connection names.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// read checks a request and reads its body. An error comes with the status to answer.
func (f *clientServer) readRequest(w http.ResponseWriter, hr *http.Request, since time.Time) (*request, int, error) {
	bad := func(format string, args ...any) (*request, int, error) {
		return nil, http.StatusBadRequest, fmt.Errorf(format, args...)
	}
	h := hr.Header
	for _, name := range []string{"X-Trace-Id", "X-Qos", "X-Customer", "X-Expires-In", "Idempotency-Key"} {
		if len(h[name]) > 1 {
			return bad("%s: given more than once", name)
		}
	}
	r := &request{id: h.Get("X-Trace-Id"), response: make(chan finalResponse, 1), clientRetry: h.Get("X-Second-Try") == "1"}
	if r.id == "" {
		return bad("X-Trace-Id: missing")
	}
	if r.class = slices.Index(f.settings.Classes, h.Get("X-Qos")); r.class < 0 {
		return bad("X-Qos: no such class")
	}
	if len(f.settings.Tenants) > 0 {
		if r.tenant = slices.Index(f.settings.Tenants, h.Get("X-Customer")); r.tenant < 0 {
			return bad("X-Customer: no such customer")
		}
	}
	key := h.Get("Idempotency-Key")
	class := &f.settings.Config.Classes[r.class]
	method, keyed := http.MethodPost, false
	switch class.Repeatability {
	case balance.Idempotent:
		method = http.MethodGet
	case balance.IdempotencyKey:
		keyed = true
	}
	switch {
	case hr.Method != method:
		return nil, http.StatusMethodNotAllowed, fmt.Errorf("requests of this class use %s", method)
	case keyed && key == "":
		return bad("Idempotency-Key: missing")
	}
	left := cmp.Or(class.Deadline, defaultDeadline)
	if text := h.Get("X-Expires-In"); text != "" {
		s, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(s) || math.IsInf(s, 0) || s < 0 {
			return bad("X-Expires-In: not a time in seconds")
		}
		left = min(left, time.Duration(min(s, 1e6)*float64(time.Second)))
	}
	if us, err := strconv.ParseFloat(h.Get("X-Size-Hint"), 64); err == nil && us > 0 && us < 1e12 {
		r.expectedWork = time.Duration(us * float64(time.Microsecond))
	}
	if subject := path.Base(hr.URL.Path); subject != "/" && subject != "." {
		sum := fnv.New64a()
		io.WriteString(sum, subject)
		r.routingKey, r.hasRoutingKey = sum.Sum64()>>11, true
	}
	body, open, taken, err := f.readBody(w, hr, since)
	r.bodyBytes = taken
	switch {
	case errors.Is(err, errBodyTooLong):
		return nil, http.StatusRequestEntityTooLarge, err
	case errors.Is(err, errBodyMemory):
		return nil, http.StatusServiceUnavailable, err // nothing has been sent on: it may come again
	case err != nil:
		return nil, http.StatusRequestTimeout, errors.New("body cut short")
	case open == nil:
		// The time of a request counts from its last byte, which may have come before the node got to read it.
		left = max(left-socketWait(hr), deadlineMargin)
		// Whether or not another process serves: the kill does not ask.
		r.deadline = f.shutdown.capDeadline(time.Now().Add(left - deadlineMargin))
	}
	removeHopByHopHeaders(h)
	// Whatever Connection named, a backend needs these to tell a request from its repeat.
	h.Set("X-Trace-Id", r.id)
	if key != "" {
		h.Set("Idempotency-Key", key)
	}
	r.forwarded = forwardedRequest{method: method, url: hr.URL, host: hr.Host, header: h, body: body, upload: open, timeLeft: left - deadlineMargin}
	return r, 0, nil
}

// waited is how long a request that has been read whole had been at this machine by then.
func socketWait(hr *http.Request) time.Duration {
	if c, ok := hr.Context().Value(clientConnKey{}).(*clientConn); ok {
		if sc, ok := c.Conn.(syscall.Conn); ok {
			return sinceLastReceive(sc)
		}
	}
	return 0
}

// endToEnd drops the headers that belong to one connection.
func removeHopByHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// body reads a request's body if it can be kept whole, and tells what of the budget it has taken: a body that is whole can go
// to another backend, and counts from its last byte. Else it returns what is to be streamed, where that is served: nothing of
// what a peer sends without end may reach a backend otherwise.
func (f *clientServer) readBody(w http.ResponseWriter, hr *http.Request, since time.Time) (body []byte, open *requestStream, taken int64, err error) {
	size, most := hr.ContentLength, f.bodyMemory.maxPerRequest
	if f.streaming {
		most = maxStreamedBody
	}
	if size > most {
		return nil, nil, 0, errBodyTooLong
	}
	paced := newMinRateBody(w, hr, since, most)
	if c, ok := hr.Context().Value(clientConnKey{}).(*clientConn); ok {
		c.setBuffering(true)
		defer func() { c.setBuffering(false) }()
	}
	var ended bool
	switch {
	case size < 0:
		body, taken, ended, err = f.readChunkedBody(paced)
	case size == 0 || f.bodyMemory.reserve(0, size, !f.streaming):
		body, taken, ended = make([]byte, size), size, true
		_, err = io.ReadFull(paced, body)
	}
	if err != nil {
		f.bodyMemory.release(taken)
		return nil, nil, 0, err
	}
	switch {
	case !ended && !f.streaming:
		f.bodyMemory.release(taken)
		return nil, nil, 0, errBodyMemory
	case !ended:
		return nil, &requestStream{source: paced, size: size, buffered: body}, taken, nil
	}
	paced.setReadDeadline(time.Time{})
	return body, nil, taken, nil
}

// gather reads a body whose length is not told, as far as it can be kept.
func (f *clientServer) readChunkedBody(src io.Reader) (body []byte, taken int64, ended bool, err error) {
	for f.bodyMemory.reserve(taken, streamBufferSize, !f.streaming) {
		taken += streamBufferSize
		body = slices.Grow(body, streamBufferSize)
		for room := len(body) + streamBufferSize; len(body) < room; {
			n, err := src.Read(body[len(body):room])
			body = body[:len(body)+n]
			switch {
			case err == io.EOF:
				return body, taken, true, nil
			case err != nil:
				return nil, taken, false, err
			}
		}
	}
	var next [1]byte // one that ends just there is whole; one that goes on beyond all bounds says so itself
	n, err := src.Read(next[:])
	switch {
	case n == 0 && err == io.EOF:
		return body, taken, true, nil
	case err != nil && err != io.EOF:
		return nil, taken, false, err
	}
	return append(body, next[:n]...), taken, false, nil
}
