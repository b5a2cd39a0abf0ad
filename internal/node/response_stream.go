package node

import (
	"io"
	"net/http"
	"time"

	"hitchvale/internal/connpool"
)

// responseStream is a backend's response that is passed on while it comes in.
type responseStream struct {
	buffered []byte // what has been read of it so far
	size     int64  // in bytes; -1: unknown
	body     io.Reader
	backend  *connpool.Conn
	release  func(complete bool) // gives the backend's connection back
}

// copyTo passes the response on, and releases the connection. It calls onLastByte before the last byte of a response of
// known length; one of unknown length ends only after copyTo has returned.
func (s *responseStream) copyTo(w http.ResponseWriter, onLastByte func()) (err error) {
	complete := false
	defer func() { s.release(complete) }()
	client := http.NewResponseController(w)
	buffer := streamBuffers.Get().(*[streamBufferSize]byte)
	defer streamBuffers.Put(buffer)
	passed := int64(0)
	if s.size == 0 {
		onLastByte()
	}
	for piece := s.buffered; ; {
		if len(piece) > 0 {
			passed += int64(len(piece))
			if passed == s.size {
				onLastByte()
			}
			client.SetWriteDeadline(time.Now().Add(streamStallTimeout))
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
		s.backend.SetReadDeadline(time.Now().Add(streamStallTimeout))
		var n int
		n, err = s.body.Read(buffer[:])
		piece = buffer[:n]
	}
}
