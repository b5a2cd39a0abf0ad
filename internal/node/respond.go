package node

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxDiscardedBody bounds how much of a rejected request's body is read, in bytes: closing the connection over unread
// bytes would reset it, which may overtake the answer.
const maxDiscardedBody = 4 * maxBodyBytes

// closeAfterAnswer has the HTTP server close the connection after the current answer.
func closeAfterAnswer(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// rejectMalformed answers a request that can't be served with a line of text, and closes the connection. It gives the
// answer's length, which http.Error leaves out: so the answer is complete before the rest of the body has come.
func rejectMalformed(w http.ResponseWriter, hr *http.Request, status int, text string) {
	closeAfterAnswer(w)
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(status)
	io.WriteString(w, text+"\n")
	http.NewResponseController(w).Flush()
	io.CopyN(io.Discard, hr.Body, maxDiscardedBody)
}

// writeHealth answers a health check.
func writeHealth(w http.ResponseWriter, ok bool) {
	status, text := http.StatusOK, "ok\n"
	if !ok {
		status, text = http.StatusServiceUnavailable, "not ready\n"
	}
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	io.WriteString(w, text)
}

// writeAnswer writes a final answer. It calls onLastByte before the last byte of it may go. It returns an error if the
// client did not get all of an answer that was streamed.
func writeAnswer(w http.ResponseWriter, a finalResponse, onLastByte func()) error {
	if a.stream == nil {
		onLastByte()
	}
	switch a.kind {
	case responseServed:
		return writeServed(w, a, onLastByte)
	case responseRejected:
		writeRejected(w, a.retryAfter)
	case responseFailed:
		status := http.StatusBadGateway
		if a.deadlineExceeded {
			status = http.StatusGatewayTimeout
		}
		writeFailed(w, status)
	case responseDuplicate:
		http.Error(w, "another request with this id is open", http.StatusConflict)
	}
	return nil
}

// writeServed writes a backend's answer, buffered or streamed.
func writeServed(w http.ResponseWriter, a finalResponse, onLastByte func()) error {
	if a.contentType != "" {
		w.Header().Set("Content-Type", a.contentType)
	} else {
		w.Header()["Content-Type"] = nil // keeps the library from guessing one
	}
	if a.stream != nil {
		if a.stream.size >= 0 {
			w.Header().Set("Content-Length", strconv.FormatInt(a.stream.size, 10))
		}
		w.WriteHeader(http.StatusOK)
		return a.stream.copyTo(w, onLastByte)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(http.StatusOK)
	w.Write(a.body)
	return nil
}

// abortResponse closes a client's connection within an answer, so that the client can tell. An answer that ends with
// its connection (not framed) would look complete after an orderly end, so the connection is reset; any other is
// closed in order, as a reset may overtake what the client has got of it.
func abortResponse(w http.ResponseWriter, framed bool) {
	if h, ok := w.(http.Hijacker); ok && !framed {
		if c, _, err := h.Hijack(); err == nil {
			if limited, ok := c.(*limitedConn); ok {
				limited.resetOnClose()
			}
			c.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// writeRejected answers 503: nothing was done for the request, and a retry is harmless, after retryIn where that is
// positive.
func writeRejected(w http.ResponseWriter, retryIn time.Duration) {
	if retryIn > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryIn.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// writeFailed answers 502 or 504: the request may have had its effect.
func writeFailed(w http.ResponseWriter, status int) {
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}
