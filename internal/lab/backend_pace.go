package lab

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// paceInterval is the time between two pieces that a paced backend reads or writes.
	paceInterval = 50 * time.Millisecond
	// fastPiece is the size in bytes of the pieces that a backend writes without a pace.
	fastPiece = 16 << 10
)

// backendPace is how a stand-in backend serves one request. Its client sets it by the query of the path: "read" and
// "pace" are rates in bytes per second, "answer" is a length in bytes, "service" a duration, and with "unsized" the
// response has no length.
type backendPace struct {
	readRate    int64         // of the body; 0: as fast as possible
	answerBytes int64         // length of the response; 0: the usual short response
	answerRate  int64         // of the response; 0: as fast as possible
	unsized     bool          // the response has no Content-Length
	service     time.Duration // how long the request runs at least
}

// paceOf returns the pace of a request.
func paceOf(r *http.Request) backendPace {
	if r.URL.RawQuery == "" {
		return backendPace{}
	}
	query := r.URL.Query()
	number := func(name string) int64 {
		value, _ := strconv.ParseInt(query.Get(name), 10, 64)
		return value
	}
	service, _ := time.ParseDuration(query.Get("service"))
	return backendPace{readRate: number("read"), answerBytes: number("answer"), answerRate: number("pace"),
		unsized: query.Has("unsized"), service: service}
}

// readBody reads a body to its end.
func (p backendPace) readBody(body io.Reader) error {
	if p.readRate == 0 {
		_, err := io.Copy(io.Discard, body)
		return err
	}
	for {
		_, err := io.CopyN(io.Discard, body, p.readRate*int64(paceInterval)/int64(time.Second))
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		time.Sleep(paceInterval)
	}
}

// writeAnswer writes a response of answerBytes.
func (p backendPace) writeAnswer(w http.ResponseWriter) {
	if !p.unsized {
		w.Header().Set("Content-Length", strconv.FormatInt(p.answerBytes, 10))
	}
	piece := make([]byte, fastPiece)
	if p.answerRate > 0 {
		piece = make([]byte, p.answerRate*int64(paceInterval)/int64(time.Second))
	}
	for left := p.answerBytes; left > 0; {
		n, err := w.Write(piece[:min(left, int64(len(piece)))])
		if err != nil {
			return
		}
		left -= int64(n)
		if p.answerRate > 0 {
			http.NewResponseController(w).Flush()
			time.Sleep(paceInterval)
		}
	}
}
