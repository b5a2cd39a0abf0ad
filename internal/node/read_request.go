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
	// deadlineMargin is how much sooner than the client's deadline a request ends: its way here and the response's way
	// back take part of the time, and the node sees neither.
	deadlineMargin = 8 * time.Millisecond
	// defaultDeadline is the deadline of a class that the settings give none.
	defaultDeadline = time.Minute
	// maxExpiresIn bounds X-Expires-In, in seconds, so that it fits a time.Duration.
	maxExpiresIn = 1e6
	// maxSizeHint is the least X-Size-Hint, in microseconds, that is ignored.
	maxSizeHint = 1e12
)

// singleHeaders may be given once.
var singleHeaders = []string{"X-Trace-Id", "X-Qos", "X-Customer", "X-Expires-In", "Idempotency-Key"}

// hopByHopHeaders belong to one connection, like those that Connection names.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// requestError is why a request is rejected before it is dispatched.
type requestError struct {
	status int // to answer
	cause  error
}

func (e *requestError) Error() string { return e.cause.Error() }

func (e *requestError) Unwrap() error { return e.cause }

// badRequest returns a requestError with status 400.
func badRequest(format string, args ...any) error {
	return &requestError{status: http.StatusBadRequest, cause: fmt.Errorf(format, args...)}
}

// statusOf returns the status to answer for an error of readRequest.
func statusOf(err error) int {
	var rejected *requestError
	if errors.As(err, &rejected) {
		return rejected.status
	}
	return http.StatusInternalServerError
}

// readRequest checks a request, whose first byte came at start, and reads its body. Its error is a requestError.
func (s *clientServer) readRequest(w http.ResponseWriter, hr *http.Request, start time.Time) (*request, error) {
	r, err := s.parseHeaders(hr)
	if err != nil {
		return nil, err
	}
	timeLeft, err := s.timeLeft(hr.Header, r.class)
	if err != nil {
		return nil, err
	}
	parseHints(r, hr)
	body, err := s.readBody(w, hr, start)
	if err != nil {
		return nil, bodyError(err)
	}
	r.bodyBytes = body.memory
	if body.stream == nil {
		// The deadline counts from the last byte, which may have come before the node got to read it.
		timeLeft = max(timeLeft-socketWait(hr), deadlineMargin)
		r.deadline = s.shutdown.capDeadline(time.Now().Add(timeLeft - deadlineMargin))
	}
	key := hr.Header.Get("Idempotency-Key")
	removeHopByHopHeaders(hr.Header)
	// Backends recognize a retry by these, even if Connection names them.
	hr.Header.Set("X-Trace-Id", r.id)
	if key != "" {
		hr.Header.Set("Idempotency-Key", key)
	}
	r.forwarded = forwardedRequest{
		method:   hr.Method,
		url:      hr.URL,
		host:     hr.Host,
		header:   hr.Header,
		body:     body.buffered,
		upload:   body.stream,
		timeLeft: timeLeft - deadlineMargin,
	}
	return r, nil
}

// parseHeaders returns a request with its identity: id, class and tenant. It checks what the class requires.
func (s *clientServer) parseHeaders(hr *http.Request) (*request, error) {
	h := hr.Header
	for _, name := range singleHeaders {
		if len(h[name]) > 1 {
			return nil, badRequest("%s: given more than once", name)
		}
	}
	r := &request{
		id:          h.Get("X-Trace-Id"),
		response:    make(chan finalResponse, 1),
		clientRetry: h.Get("X-Second-Try") == "1",
	}
	if r.id == "" {
		return nil, badRequest("X-Trace-Id: missing")
	}
	if r.class = slices.Index(s.settings.Classes, h.Get("X-Qos")); r.class < 0 {
		return nil, badRequest("X-Qos: no such class")
	}
	if len(s.settings.Tenants) > 0 {
		if r.tenant = slices.Index(s.settings.Tenants, h.Get("X-Customer")); r.tenant < 0 {
			return nil, badRequest("X-Customer: no such customer")
		}
	}
	repeatability := s.settings.Config.Classes[r.class].Repeatability
	method := http.MethodPost
	if repeatability == balance.Idempotent {
		method = http.MethodGet
	}
	if hr.Method != method {
		cause := fmt.Errorf("requests of this class use %s", method)
		return nil, &requestError{status: http.StatusMethodNotAllowed, cause: cause}
	}
	if repeatability == balance.IdempotencyKey && h.Get("Idempotency-Key") == "" {
		return nil, badRequest("Idempotency-Key: missing")
	}
	return r, nil
}

// timeLeft returns how long the client waits from its last byte on: the class's deadline, or less by X-Expires-In.
func (s *clientServer) timeLeft(h http.Header, class int) (time.Duration, error) {
	left := cmp.Or(s.settings.Config.Classes[class].Deadline, defaultDeadline)
	text := h.Get("X-Expires-In")
	if text == "" {
		return left, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		return 0, badRequest("X-Expires-In: not a time in seconds")
	}
	return min(left, time.Duration(min(seconds, maxExpiresIn)*float64(time.Second))), nil
}

// parseHints sets the expected work and the routing key of a request, where it has them. A malformed hint is ignored.
func parseHints(r *request, hr *http.Request) {
	us, err := strconv.ParseFloat(hr.Header.Get("X-Size-Hint"), 64)
	if err == nil && us > 0 && us < maxSizeHint {
		r.expectedWork = time.Duration(us * float64(time.Microsecond))
	}
	if subject := path.Base(hr.URL.Path); subject != "/" && subject != "." {
		sum := fnv.New64a()
		io.WriteString(sum, subject)
		r.routingKey = sum.Sum64() >> 11 // 53 bits, which a JSON number can hold
		r.hasRoutingKey = true
	}
}

// bodyError returns the requestError for an error of readBody.
func bodyError(err error) error {
	switch {
	case errors.Is(err, errBodyTooLong):
		return &requestError{status: http.StatusRequestEntityTooLarge, cause: err}
	case errors.Is(err, errBodyMemory):
		return &requestError{status: http.StatusServiceUnavailable, cause: err} // not forwarded: a retry is harmless
	}
	return &requestError{status: http.StatusRequestTimeout, cause: errors.New("body cut short")}
}

// socketWait returns how long a request that has been read had been at this machine by then.
func socketWait(hr *http.Request) time.Duration {
	if c, ok := clientConnOf(hr.Context()); ok {
		return c.sinceLastByte()
	}
	return 0
}

// removeHopByHopHeaders removes the headers that belong to one connection.
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
