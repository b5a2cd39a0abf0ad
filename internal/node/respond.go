package node

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxDiscardedBody bounds how much of a rejected request's body is read, in bytes: closing the connection over unread
// bytes would reset it, which may overtake the response.
const maxDiscardedBody = 4 * maxBodyBytes

// closeAfterResponse has the HTTP server close the connection after the current response.
func closeAfterResponse(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// rejectWithText answers a request that can't be served with a line of text, and closes the connection. It gives the
// response's length, which http.Error leaves out: so the response is complete before the rest of the body has come.
func rejectWithText(w http.ResponseWriter, hr *http.Request, status int, text string) {
	closeAfterResponse(w)
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

// writeResponse writes a final response. It calls onLastByte before the last byte of it may go. It returns an error if
// the client did not get all of a response that was streamed.
func writeResponse(w http.ResponseWriter, response finalResponse, onLastByte func()) error {
	if response.stream == nil {
		onLastByte()
	}
	switch response.kind {
	case responseServed:
		return writeServed(w, response, onLastByte)
	case responseRejected:
		writeRejected(w, response.retryAfter)
	case responseFailed:
		status := http.StatusBadGateway
		if response.deadlineExceeded {
			status = http.StatusGatewayTimeout
		}
		writeFailed(w, status)
	case responseDuplicate:
		http.Error(w, "another request with this id is open", http.StatusConflict)
	}
	return nil
}

// writeServed writes a backend's response, buffered or streamed.
func writeServed(w http.ResponseWriter, response finalResponse, onLastByte func()) error {
	if response.contentType != "" {
		w.Header().Set("Content-Type", response.contentType)
	} else {
		w.Header()["Content-Type"] = nil // keeps the library from guessing one
	}
	if response.stream != nil {
		if response.stream.size >= 0 {
			w.Header().Set("Content-Length", strconv.FormatInt(response.stream.size, 10))
		}
		w.WriteHeader(http.StatusOK)
		return response.stream.copyTo(w, onLastByte)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	w.WriteHeader(http.StatusOK)
	w.Write(response.body)
	return nil
}

// abortResponse closes a client's connection within a response, so that the client can tell. A response that ends with
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
