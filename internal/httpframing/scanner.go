package httpframing

import "bytes"

// Scanner finds the end of a request head in bytes that arrive in pieces, and counts the lines of the head. It keeps
// none of the bytes. The zero value is ready for the first head of a connection. A Scanner must be used by one
// goroutine at a time.
type Scanner struct {
	length      int  // bytes of the current head that have been scanned
	lineLength  int  // bytes of the current line, without its line feed
	lastByte    byte // the last byte of the current line
	requestLine bool // whether the request line is complete
	fields      int  // complete field lines
}

// Scan scans the next bytes of a head. It returns how many of them belong to the head, and whether the head is
// complete. If so, the Scanner's counts are those of this head until Reset is called, and the caller must not scan the
// body.
func (s *Scanner) Scan(data []byte) (used int, complete bool) {
	for used < len(data) {
		end := bytes.IndexByte(data[used:], '\n')
		if end < 0 {
			s.extendLine(data[used:])
			used = len(data)
			break
		}
		s.extendLine(data[used : used+end])
		used += end + 1
		if s.endLine() {
			complete = true
			break
		}
	}
	s.length += used
	return used, complete
}

// extendLine adds bytes to the current line.
func (s *Scanner) extendLine(part []byte) {
	if len(part) > 0 {
		s.lineLength += len(part)
		s.lastByte = part[len(part)-1]
	}
}

// endLine ends the current line, and reports whether it is the empty line at the end of the head. Empty lines before
// the request line are skipped.
func (s *Scanner) endLine() (complete bool) {
	empty := s.lineLength == 0 || s.lineLength == 1 && s.lastByte == '\r'
	s.lineLength = 0
	switch {
	case !s.requestLine:
		s.requestLine = !empty
	case empty:
		return true
	default:
		s.fields++
	}
	return false
}

// Length returns how many bytes of the head have been scanned.
func (s *Scanner) Length() int { return s.length }

// Fields returns how many field lines of the head are complete. The lines of a folded field count one by one.
func (s *Scanner) Fields() int { return s.fields }

// Reset prepares the Scanner for the next head of the connection.
func (s *Scanner) Reset() { *s = Scanner{} }
