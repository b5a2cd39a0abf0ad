// Package httpframing finds the end of each HTTP/1 request head on a connection, and checks how the head says where the
// body ends. It protects a server against request smuggling.
//
// The package is used in front of net/http. The server of net/http accepts a head with both Content-Length and
// Transfer-Encoding, obeys Transfer-Encoding and does not tell the handler. If the sender obeys Content-Length,
// net/http reads the rest of the sender's body as another request. net/http also ignores Transfer-Encoding in HTTP/1.0.
package httpframing

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// A head with one of these errors must be rejected, because HTTP parsers disagree about where its request ends.
var (
	ErrLengthAndEncoding = errors.New("the request has both Content-Length and Transfer-Encoding")
	ErrEncodingInHTTP10  = errors.New("the HTTP/1.0 request has Transfer-Encoding, which HTTP/1.0 does not define")
	ErrContentLength     = errors.New("Content-Length is given more than once, or its value is not a valid length")
	ErrFoldedLine        = errors.New("a header line is folded: it starts with white space to continue the previous line")
)

// Head holds the fields of a request head that determine the end of the request.
type Head struct {
	Start            time.Time // time of the first byte; for the first request, when the connection was opened
	HTTP10           bool      // whether the request line ends with HTTP/1.0
	TransferEncoding bool      // whether Transfer-Encoding is given
	HasLength        bool      // whether Content-Length is given
	ContentLength    int64     // in bytes; 0 if Content-Length is not given
	// LastOnConnection says that no other request may follow on the connection, because the head does not tell where
	// the body ends.
	LastOnConnection bool
	Err              error // why the request must be rejected; nil if it can be served
}

// ParseHead parses a complete head, which ends with an empty line. start is the time of its first byte.
func ParseHead(text []byte, start time.Time) Head {
	head := Head{Start: start}
	requestLineRead := false
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
		switch {
		case line == "": // an empty line before the request line, or the end of the head
		case !requestLineRead:
			requestLineRead = true
			head.HTTP10 = strings.HasSuffix(line, " HTTP/1.0")
		default:
			head.parseField(line)
		}
	}
	head.check()
	return head
}

// check sets Err and LastOnConnection once all fields have been parsed.
func (h *Head) check() {
	if h.TransferEncoding && h.Err == nil {
		switch {
		case h.HasLength:
			h.Err = ErrLengthAndEncoding
		case h.HTTP10:
			h.Err = ErrEncodingInHTTP10
		}
	}
	h.LastOnConnection = h.TransferEncoding || h.Err != nil
}

// parseField updates the head with one header line.
func (h *Head) parseField(line string) {
	if line[0] == ' ' || line[0] == '\t' {
		h.Err = ErrFoldedLine
		return
	}
	name, value, _ := strings.Cut(line, ":")
	switch {
	case strings.EqualFold(name, "Transfer-Encoding"):
		h.TransferEncoding = true
	case strings.EqualFold(name, "Content-Length"):
		length, err := strconv.ParseUint(strings.Trim(value, " \t"), 10, 63)
		if h.HasLength || err != nil {
			h.Err = ErrContentLength
		}
		h.HasLength = true
		h.ContentLength = int64(length)
	}
}
