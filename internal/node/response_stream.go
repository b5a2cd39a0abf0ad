package node

import (
	"io"
	"net/http"
	"time"

	"hitchvale/internal/connpool"
)

// responseStream is the body of a backend's response that is passed on while it arrives.
type responseStream struct {
	buffered []byte // the first bytes, which have been read already
	size     int64  // in bytes; -1 if unknown
	body     io.Reader
	backend  *connpool.Conn
	buffers  *bufferPool
	release  func(complete bool) // gives the backend's connection back to the pool, or closes it
}

// copyTo passes the response on and releases the backend's connection. It calls onLastByte before it writes the last
// byte of a response of known length. A response of unknown length ends only after copyTo has returned, and copyTo does
// not call onLastByte for it.
func (s *responseStream) copyTo(w http.ResponseWriter, onLastByte func()) (err error) {
	complete := false
	defer func() { s.release(complete) }()
	client := http.NewResponseController(w)
	buffer := s.buffers.get()
	defer s.buffers.put(buffer)
	passedOn := int64(0)
	if s.size == 0 {
		onLastByte()
	}
	piece := s.buffered
	s.buffered = nil
	for {
		if len(piece) > 0 {
			passedOn += int64(len(piece))
			if passedOn == s.size {
				onLastByte()
			}
			if _, err := w.Write(piece); err != nil {
				return err
			}
			if err := client.Flush(); err != nil {
				return err
			}
		}
		if err == io.EOF {
			complete = true
			return nil
		}
		if err != nil {
			return err
		}
		yieldToOthers()
		s.backend.SetReadDeadline(time.Now().Add(stallTimeout))
		var n int
		n, err = s.body.Read(*buffer)
		piece = (*buffer)[:n]
	}
}
