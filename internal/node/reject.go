package node

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"time"
)

// errShuttingDown is the reason for rejecting a request that this process no longer admits.
var errShuttingDown = errors.New("this process is shutting down and rejects new requests")

// rejectWithText rejects a request that cannot be served, with a line of text, and has the HTTP server close the
// connection. start is when the first byte of the request arrived.
func (s *clientServer) rejectWithText(
	w http.ResponseWriter, hr *http.Request, start time.Time, status int, text string,
) {
	s.writeRejection(w, hr, start, status, text)
	discardBody(w, hr)
}

// writeRejection writes the response of rejectWithText. Content-Length makes it complete before the rest of the body is
// read, which http.Error would not do.
func (s *clientServer) writeRejection(
	w http.ResponseWriter, hr *http.Request, start time.Time, status int, text string,
) {
	closeAfterResponse(w)
	writeText(w, status, text)
	s.reportUnwritten(hr, start, flushResponse(w))
}

// rejectUnread rejects a request that could not be read because of err.
func (s *clientServer) rejectUnread(w http.ResponseWriter, hr *http.Request, start time.Time, err error) {
	status := statusOf(err)
	if status != http.StatusRequestTimeout {
		s.rejectWithText(w, hr, start, status, err.Error())
		return
	}
	if !s.shutdown.admits() {
		status = http.StatusServiceUnavailable // the shutdown interrupted the read, and nothing was forwarded
	}
	// The rest of the body is not read: the client has stopped sending it, or this process is about to end.
	s.writeRejection(w, hr, start, status, err.Error())
}

// rejectOverload rejects a request because too many requests are in flight.
func (s *clientServer) rejectOverload(w http.ResponseWriter, hr *http.Request, start time.Time) {
	closeAfterResponse(w)
	writeRejected(w, overloadRetryAfter)
	if class := slices.Index(s.settings.Classes, hr.Header.Get("X-Qos")); class >= 0 {
		s.counters.recordOutcome(class, responseRejected)
	}
	s.reportUnwritten(hr, start, flushResponse(w))
	discardBody(w, hr)
}

// rejectPipelined rejects a request behind which its client has sent more than maxPipelined bytes.
func (s *clientServer) rejectPipelined(w http.ResponseWriter, hr *http.Request, start time.Time, class int) {
	s.warnings.Warn("request rejected, too much is pipelined behind it", "request", hr.Header.Get("X-Trace-Id"),
		"from", hr.RemoteAddr)
	closeAfterResponse(w)
	writeRejected(w, overloadRetryAfter)
	s.counters.closes.add(closedPipelined)
	s.counters.recordOutcome(class, responseRejected)
	s.reportUnwritten(hr, start, flushResponse(w))
}

// discardBody reads and drops the rest of a rejected request's body, up to maxDiscarded. There are two reasons:
// closing the connection while bytes are unread would reset it, and the reset may overtake the response; and a client
// may read the response only after it has sent the entire body. The client's time counts from the rejection, since it
// may have taken all of requestReadTimeout for the request's head.
func discardBody(w http.ResponseWriter, hr *http.Request) {
	defer readInterruptibly(hr)()
	io.Copy(io.Discard, newMinRateBody(w, hr, time.Now(), maxDiscarded))
}

// reportUnwritten counts and logs a response that could not be written to its client, if err is not nil. start is when
// the first byte of the request arrived.
func (s *clientServer) reportUnwritten(hr *http.Request, start time.Time, err error) {
	if err == nil {
		return
	}
	s.counters.recordUnwritten(err)
	sinceLastByte := time.Duration(0)
	if c, ok := clientConnOf(hr.Context()); ok {
		lastByteAt, _ := c.lastActivity()
		sinceLastByte = time.Since(lastByteAt)
	}
	s.unwritten.Warn("response not written, its client has no answer", "request", hr.Header.Get("X-Trace-Id"),
		"error", err, "since_first_byte", time.Since(start), "since_last_byte", sinceLastByte)
}
