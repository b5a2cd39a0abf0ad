package node

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// This file words what a client is answered.

// reject answers what can't be served, and ends the connection: the rest of the body is of no use. With its length the
// answer is whole at once, and not only when the rest has come: http.Error leaves the length out.
func rejectMalformed(w http.ResponseWriter, hr *http.Request, status int, text string) {
	h := w.Header()
	h.Set("Connection", "close")
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(status)
	io.WriteString(w, text+"\n")
	http.NewResponseController(w).Flush()
	io.CopyN(io.Discard, hr.Body, maxDiscardedBody)
}

func (f *clientServer) writeHealth(w http.ResponseWriter, ok bool) {
	status, text := http.StatusOK, "ok\n"
	if !ok {
		status, text = http.StatusServiceUnavailable, "not ready\n"
	}
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	io.WriteString(w, text)
}

// write words an answer, and calls whole before the last byte of it may go. Its error tells that a client was not given
// all of one that was streamed.
func writeAnswer(w http.ResponseWriter, a finalResponse, whole func()) error {
	if a.stream == nil {
		whole()
	}
	switch a.kind {
	case responseServed:
		if a.contentType != "" {
			w.Header().Set("Content-Type", a.contentType)
		} else {
			w.Header()["Content-Type"] = nil // none was given: guess none
		}
		if a.stream != nil {
			if a.stream.size >= 0 {
				w.Header().Set("Content-Length", strconv.FormatInt(a.stream.size, 10))
			}
			w.WriteHeader(http.StatusOK)
			return a.stream.copyTo(w, whole)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
		w.WriteHeader(http.StatusOK)
		w.Write(a.body)
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

// abort ends a client's connection within an answer, so that it can tell. An answer that ends with its connection looks
// whole after an orderly end, so it is a reset; any other one is better ended in order, as a reset may overtake what has
// come of it.
func abortResponse(w http.ResponseWriter, framed bool) {
	if h, ok := w.(http.Hijacker); ok && !framed {
		if c, _, err := h.Hijack(); err == nil {
			if b, ok := c.(*limitedConn); ok {
				b.resetOnClose()
			}
			c.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// refuse tells the client that trying again is harmless, and when it may do so.
func writeRejected(w http.ResponseWriter, retryIn time.Duration) {
	if retryIn > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryIn.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// fail promises nothing.
func writeFailed(w http.ResponseWriter, status int) {
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}
