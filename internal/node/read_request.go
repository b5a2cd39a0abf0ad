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
	"time"

	"hitchvale/balance"
)

const (
	// deadlineMargin is subtracted from the client's deadline. It covers the network time of the request and of the
	// response, which the node cannot measure.
	deadlineMargin = 8 * time.Millisecond
	// defaultDeadline is the deadline of a class for which the settings have none.
	defaultDeadline = time.Minute
	// maxExpiresIn caps X-Expires-In, in seconds, so that it fits into a time.Duration.
	maxExpiresIn = 1e6
	// sizeHintLimit is the X-Size-Hint, in microseconds, from which on the hint is ignored.
	sizeHintLimit = 1e12
)

// singleHeaders are the headers that a request may have only once.
var singleHeaders = []string{"X-Trace-Id", "X-Qos", "X-Customer", "X-Expires-In", "Idempotency-Key"}

// hopByHopHeaders are the headers that apply to one connection and are not forwarded. The headers that Connection names
// are not forwarded either.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// requestError is the reason for which a request is rejected before it is dispatched.
type requestError struct {
	status int // the status of the response
	cause  error
}

// Error returns the text of the response.
func (e *requestError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *requestError) Unwrap() error { return e.cause }

// badRequest returns a requestError with status 400.
func badRequest(format string, args ...any) error {
	return &requestError{status: http.StatusBadRequest, cause: fmt.Errorf(format, args...)}
}

// statusOf returns the status of the response to a request for which readRequest returned an error.
func statusOf(err error) int {
	var rejected *requestError
	if errors.As(err, &rejected) {
		return rejected.status
	}
	return http.StatusInternalServerError
}

// readRequest checks a request whose first byte arrived at start, and reads its body. It returns a *requestError if the
// request has to be rejected. The caller releases the bodyBytes of the request to bodyMemory.
func (s *clientServer) readRequest(w http.ResponseWriter, hr *http.Request, start time.Time) (*request, error) {
	r, err := s.parseHeaders(hr)
	if err != nil {
		return nil, err
	}
	timeLeft, err := s.timeLeft(hr.Header, r.class)
	if err != nil {
		return nil, err
	}
	r.startedAt = start
	parseHints(r, hr)
	body, err := s.readBody(w, hr, start)
	if err != nil {
		return nil, bodyError(err)
	}
	r.bodyBytes = body.memory
	if body.stream == nil {
		// The deadline counts from the arrival of the last byte, which may precede the read.
		timeLeft = max(timeLeft-socketWait(hr), deadlineMargin)
		r.deadline = s.shutdown.capDeadline(time.Now().Add(timeLeft - deadlineMargin))
	}
	key := hr.Header.Get("Idempotency-Key")
	removeHopByHopHeaders(hr.Header)
	// Backends recognize a retry by these two headers, so they are forwarded even if Connection names them.
	hr.Header.Set("X-Trace-Id", r.id)
	if key != "" {
		hr.Header.Set("Idempotency-Key", key)
	}
	r.forwarded = forwardedRequest{
		method:    hr.Method,
		url:       hr.URL,
		host:      hr.Host,
		header:    hr.Header,
		body:      body.buffered,
		upload:    body.stream,
		expiresAt: r.deadline,
		timeLeft:  timeLeft - deadlineMargin,
	}
	if c, ok := clientConnOf(hr.Context()); ok {
		r.forwarded.clientHasLeft = c.peerHasClosed
	}
	return r, nil
}

// parseHeaders returns a request with its id, class and tenant. It checks the method and the idempotency key that the
// class requires.
func (s *clientServer) parseHeaders(hr *http.Request) (*request, error) {
	h := hr.Header
	for _, name := range singleHeaders {
		if len(h[name]) > 1 {
			return nil, badRequest("%s: the header is given more than once", name)
		}
	}
	r := &request{
		id:          h.Get("X-Trace-Id"),
		response:    make(chan finalResponse, 1),
		clientRetry: h.Get("X-Second-Try") == "1",
	}
	if r.id == "" {
		return nil, badRequest("X-Trace-Id: the header is missing")
	}
	if r.class = slices.Index(s.settings.Classes, h.Get("X-Qos")); r.class < 0 {
		return nil, badRequest("X-Qos: the header is missing or does not name a class")
	}
	if len(s.settings.Tenants) > 0 {
		if r.tenant = slices.Index(s.settings.Tenants, h.Get("X-Customer")); r.tenant < 0 {
			return nil, badRequest("X-Customer: the header is missing or does not name a customer")
		}
	}
	repeatability := s.settings.Config.Classes[r.class].Repeatability
	method := http.MethodPost
	if repeatability == balance.Idempotent {
		method = http.MethodGet
	}
	if hr.Method != method {
		cause := fmt.Errorf("requests of this class must use the method %s", method)
		return nil, &requestError{status: http.StatusMethodNotAllowed, cause: cause}
	}
	if repeatability == balance.IdempotencyKey && h.Get("Idempotency-Key") == "" {
		return nil, badRequest("Idempotency-Key: the header is missing, requests of this class must have it")
	}
	return r, nil
}

// timeLeft returns how long the client waits for its response, counted from the last byte of its request: the deadline
// of the class, or X-Expires-In if that is shorter.
func (s *clientServer) timeLeft(h http.Header, class int) (time.Duration, error) {
	left := cmp.Or(s.settings.Config.Classes[class].Deadline, defaultDeadline)
	text := h.Get("X-Expires-In")
	if text == "" {
		return left, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		return 0, badRequest("X-Expires-In: the value must be a number of seconds, 0 or more")
	}
	return min(left, time.Duration(min(seconds, maxExpiresIn)*float64(time.Second))), nil
}

// parseHints sets the expected work and the routing key of a request if the client has given them. A malformed size
// hint is ignored. The routing key is a hash of the last segment of the path.
func parseHints(r *request, hr *http.Request) {
	us, err := strconv.ParseFloat(hr.Header.Get("X-Size-Hint"), 64)
	if err == nil && us > 0 && us < sizeHintLimit {
		r.expectedWork = time.Duration(us * float64(time.Microsecond))
	}
	if segment := path.Base(hr.URL.Path); segment != "/" && segment != "." {
		sum := fnv.New64a()
		io.WriteString(sum, segment)
		r.routingKey = sum.Sum64() >> 11 // 53 bits, which a JSON number represents exactly
		r.hasRoutingKey = true
	}
}

// bodyError returns the requestError for an error of readBody.
func bodyError(err error) error {
	switch {
	case errors.Is(err, errBodyTooLong):
		return &requestError{status: http.StatusRequestEntityTooLarge, cause: err}
	case errors.Is(err, errBodyMemory):
		// 503: the request was not forwarded, so that a retry is harmless.
		return &requestError{status: http.StatusServiceUnavailable, cause: err}
	}
	return &requestError{status: http.StatusRequestTimeout, cause: errors.New("the request body is incomplete")}
}

// socketWait returns how long ago the last byte of a request reached this machine.
func socketWait(hr *http.Request) time.Duration {
	if c, ok := clientConnOf(hr.Context()); ok {
		return c.sinceLastByte()
	}
	return 0
}

// removeHopByHopHeaders removes the headers that apply to one connection only.
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
