package node

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// closeAfterResponse has the HTTP server close the connection after the current response.
func closeAfterResponse(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// closesAfterResponse reports whether the connection is closed after the current response.
func closesAfterResponse(w http.ResponseWriter) bool { return w.Header().Get("Connection") == "close" }

// writeText writes a line of text as a complete response.
func writeText(w http.ResponseWriter, status int, text string) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(status)
	io.WriteString(w, text+"\n")
}

// flushResponse passes everything that has been written of a response to the client's connection. net/http does the
// same when the handler returns, but drops the error.
func flushResponse(w http.ResponseWriter) error { return http.NewResponseController(w).Flush() }

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

// writeResponse writes a final response. It calls onLastByte before it writes the last byte of the response. It returns
// an error if a streamed response was not passed on completely.
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
		writeText(w, http.StatusConflict, "another request with the same X-Trace-Id is in progress or may have run")
	}
	return nil
}

// writeServed writes a backend's response, buffered or streamed.
func writeServed(w http.ResponseWriter, response finalResponse, onLastByte func()) error {
	if response.contentType != "" {
		w.Header().Set("Content-Type", response.contentType)
	} else {
		w.Header()["Content-Type"] = nil // otherwise net/http sets the type that it detects
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

// abortResponse closes a client's connection before the end of a response, so that the client can tell that the
// response is incomplete. It panics with http.ErrAbortHandler.
//
// framed says whether the response gives its end by a length or by chunks. A response without framing ends with the
// connection and would look complete after an orderly close, so the connection is reset. With framing the connection is
// closed in order, because a reset may overtake the bytes that were already written.
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

// writeRejected answers with status 503: the request was not run, and a retry is harmless. If retryAfter is positive,
// the response asks the client to wait for that time.
func writeRejected(w http.ResponseWriter, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// writeFailed answers with status 502 or 504: the request may have had its effect.
func writeFailed(w http.ResponseWriter, status int) {
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}
