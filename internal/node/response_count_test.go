package node

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/iotest"
	"time"

	"hitchvale/internal/connpool"
	"hitchvale/internal/siteconfig"
)

// lookingWriter is a client's response writer that reads the node's figures as the last byte is written.
type lookingWriter struct {
	header    http.Header
	got, size int
	look      func()
}

func (w *lookingWriter) Header() http.Header              { return w.header }
func (w *lookingWriter) WriteHeader(int)                  {}
func (w *lookingWriter) Flush()                           {}
func (w *lookingWriter) SetWriteDeadline(time.Time) error { return nil }
func (w *lookingWriter) SetReadDeadline(time.Time) error  { return nil }
func (w *lookingWriter) Write(p []byte) (n int, err error) {
	if w.got += len(p); w.got >= w.size {
		w.look()
	}
	return len(p), nil
}

// A client that has read the last byte of a response finds it counted, and its request no longer pending.
func TestResponsesAreCountedBeforeTheirLastByte(t *testing.T) {
	body := noise(40 << 10)
	streamOf := func(t *testing.T, src io.Reader, size int64) *responseStream {
		here, there := net.Pipe()
		t.Cleanup(func() { here.Close(); there.Close() })
		return &responseStream{buffered: body[:1000], size: size, body: src, backend: &connpool.Conn{Conn: here}, release: func(bool) {}}
	}
	complete := finalResponse{kind: responseServed, body: body}
	rest := func() io.Reader { return bytes.NewReader(body[1000:]) }
	for name, tc := range map[string]struct {
		answer func(t *testing.T) finalResponse
		upload bool
		broken bool // what comes of it is not whole
	}{
		"in memory":       {answer: func(*testing.T) finalResponse { return complete }},
		"after an upload": {upload: true, answer: func(*testing.T) finalResponse { return complete }},
		"streamed": {answer: func(t *testing.T) finalResponse {
			return finalResponse{kind: responseServed, stream: streamOf(t, rest(), int64(len(body)))}
		}},
		"streamed in bits": {answer: func(t *testing.T) finalResponse {
			return finalResponse{kind: responseServed, stream: streamOf(t, iotest.HalfReader(rest()), int64(len(body)))}
		}},
		"broken off": {broken: true, answer: func(t *testing.T) finalResponse {
			cut := io.MultiReader(bytes.NewReader(body[1000:5000]), iotest.ErrReader(errors.New("reset")))
			return finalResponse{kind: responseServed, stream: streamOf(t, cut, int64(len(body)))}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			loop := newEventLoop(nil, nil, newCounters([]string{"order"}), nopLog())
			f := newClientServer(loop, siteconfig.Settings{}, 64, nopLog())
			r := &request{response: make(chan finalResponse, 1)}
			if tc.upload {
				r.forwarded.upload = &requestStream{source: bytes.NewReader(nil), err: io.EOF}
			}
			r.response <- tc.answer(t)
			ends, looked := &f.counters.outcomes[0], false
			w := &lookingWriter{header: http.Header{}, size: len(body)}
			w.look = func() {
				looked = true
				if n, p := ends.completed.Load(), f.counters.pendingRequests.Load(); n != 1 || p != 0 {
					t.Errorf("completed %d, pending %d with the last byte, want 1 and 0", n, p)
				}
			}
			func() {
				defer func() { _ = recover() }() // a broken answer aborts its handler
				f.dispatch(w, httptest.NewRequest(http.MethodGet, "/x", nil), r)
			}()
			completed, failed := ends.completed.Load(), ends.failed.Load()
			if looked == tc.broken || completed+failed != 1 || (failed == 1) != tc.broken {
				t.Errorf("last byte seen %v, completed %d, failed %d", looked, completed, failed)
			}
		})
	}
}
