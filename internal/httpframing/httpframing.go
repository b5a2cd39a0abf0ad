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

// Parser parses the request heads on one connection. It must be used by one goroutine at a time.
type Parser struct {
	maxLine         int
	line            []byte // the bytes of the current line that have arrived
	requestLineRead bool
	head            Head // the current head
}

// NewParser returns the parser of a connection that was opened at the given time. The parser splits lines of more than
// maxLine bytes, so maxLine must be much larger than the longest line that the reader of the head accepts.
func NewParser(maxLine int, opened time.Time) *Parser {
	return &Parser{maxLine: maxLine, head: Head{Start: opened}}
}

// Started returns when the current head began: at its first byte, or, for the first head, when the connection was
// opened. It returns the zero time if no byte of a later head has been parsed.
func (p *Parser) Started() time.Time { return p.head.Start }

// Parse parses the next bytes of the connection. If a head ends within them, Parse returns the head and the number of
// bytes up to its end. The parser is then ready for the head of the next request, and the caller must not pass it the
// body. Otherwise Parse returns nil and the number of all bytes.
func (p *Parser) Parse(data []byte) (used int, head *Head) {
	if len(data) > 0 && p.head.Start.IsZero() {
		p.head.Start = time.Now()
	}
	for i, b := range data {
		if b != '\n' && len(p.line) < p.maxLine {
			p.line = append(p.line, b)
			continue
		}
		line := strings.TrimSuffix(string(p.line), "\r")
		p.line = p.line[:0]
		switch {
		case !p.requestLineRead:
			p.requestLineRead = line != "" // empty lines before a request are skipped
			p.head.HTTP10 = strings.HasSuffix(line, " HTTP/1.0")
		case line != "":
			p.head.parseField(line)
		default:
			return i + 1, p.finish()
		}
	}
	return len(data), nil
}

// finish checks the current head after its last line, and resets the parser for the next head.
func (p *Parser) finish() *Head {
	head := p.head
	if head.TransferEncoding && head.Err == nil {
		switch {
		case head.HasLength:
			head.Err = ErrLengthAndEncoding
		case head.HTTP10:
			head.Err = ErrEncodingInHTTP10
		}
	}
	head.LastOnConnection = head.TransferEncoding || head.Err != nil
	p.head = Head{}
	p.requestLineRead = false
	p.line = nil // frees the buffer while the connection is idle
	return &head
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
