// Package httpframing finds where the heads of HTTP/1 requests end on a connection, and judges how each head says where
// its request ends.
//
// It stands in front of net/http, which accepts a head with both Content-Length and Transfer-Encoding, goes by the
// latter without telling its handler, and takes what the sender meant as the rest of the body for another request. It
// also ignores Transfer-Encoding in HTTP/1.0.
package httpframing

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// The faults of a head, by which parsers of HTTP differ in where the request ends.
var (
	ErrLengthAndEncoding = errors.New("both Content-Length and Transfer-Encoding")
	ErrEncodingInHTTP10  = errors.New("Transfer-Encoding in HTTP/1.0")
	ErrContentLength     = errors.New("Content-Length is not one number")
	ErrFoldedLine        = errors.New("a folded line")
)

// Head is what the head of a request says of the request's end.
type Head struct {
	Start            time.Time // of its first byte; for the first request, of the connection
	HTTP10           bool
	TransferEncoding bool  // the field is given
	HasLength        bool  // Content-Length is given
	ContentLength    int64 // in bytes; 0 where it is not given
	// LastOnConnection says that no other request may follow on the connection, as only the reader of the body can tell
	// where it ends.
	LastOnConnection bool
	Err              error // why the request can't be served; nil if it can
}

// Parser follows the heads of requests on one connection.
type Parser struct {
	maxLine int
	line    []byte // of the current head, as far as it has come
	begun   bool   // the request line has been read
	head    Head   // the current head
}

// NewParser returns the parser of a connection that was opened at a time. Lines of more than maxLine bytes are split:
// whoever reads the head has to reject it long before.
func NewParser(maxLine int, opened time.Time) *Parser {
	return &Parser{maxLine: maxLine, head: Head{Start: opened}}
}

// Parse takes the next bytes of the connection. Where a head ends within them it returns the head and how many of the
// bytes belong to it; the parser is then ready for the head of the next request, and the caller must not pass it the
// body. Else it returns nil and the number of all bytes.
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
		case !p.begun:
			p.begun = line != "" // empty lines ahead of a request are skipped
			p.head.HTTP10 = strings.HasSuffix(line, " HTTP/1.0")
		case line != "":
			p.head.parseField(line)
		default:
			return i + 1, p.finish()
		}
	}
	return len(data), nil
}

// finish judges the current head, which is complete, and resets the parser for the next one.
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
	p.begun = false
	p.line = nil // idle connections need no buffer
	return &head
}

// parseField takes one line after the request line.
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
