package node

import (
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// requestMost bounds the body of a request that is streamed.
	maxStreamedBody = 36 << 20
	// leastRate is the rate, in bytes a second, that a client has to keep up while the node waits for it: half of
	// the slowest that is served. stallMost is how long it may send nothing at all.
	minBodyRate, maxBodyStall = 32 << 10, 2 * time.Second
	// takeWithin is how long the other side may take none of what is streamed to it, or give nothing of it.
	streamStallTimeout = 10 * time.Second
	// pieceSize is what is streamed at once.
	streamBufferSize = 16 << 10
	// bodyParts is the part of the memory limit that bodies kept whole may take, and keepParts the part of that for one.
	bodyMemoryDivisor, requestMemoryDivisor = 8, 16
	// usualMemory stands for a memory limit that is not told.
	defaultMemoryMB = 192
)

var (
	errBodyTooLong   = errors.New("body too long")
	errBodyAbandoned = errors.New("the rest of the body is not wanted")
	// errNoMemory says that other bodies take up what may be kept whole.
	errBodyMemory = errors.New("no memory left for the body now")
)

// pieces are buffers for what is streamed.
var streamBuffers = sync.Pool{New: func() any { return new([streamBufferSize]byte) }}

// budget bounds the memory of all bodies that are kept whole.
type memoryBudget struct {
	available     atomic.Int64
	maxPerRequest int64 // the most that one request may take
}

func newMemoryBudget(memoryMB int64) *memoryBudget {
	if memoryMB == 0 {
		memoryMB = defaultMemoryMB
	}
	all := memoryMB << 20 / bodyMemoryDivisor
	b := &memoryBudget{maxPerRequest: max(maxBodyBytes, all/requestMemoryDivisor)}
	b.available.Store(all)
	return b
}

// take takes so many bytes of the budget, if they are left.
func (b *memoryBudget) tryAcquire(n int64) bool {
	if b.available.Add(-n) < 0 {
		b.available.Add(n)
		return false
	}
	return true
}

// room takes so many bytes for a request that has some already, if there is room for them. Of one that must be kept there is
// for the first bodyMost: the descriptors bound how many there are.
func (b *memoryBudget) reserve(held, n int64, guaranteed bool) bool {
	if held+n <= b.maxPerRequest && b.tryAcquire(n) {
		return true
	}
	if guaranteed && held+n <= maxBodyBytes {
		b.acquire(n)
		return true
	}
	return false
}

// force takes so many bytes of the budget even if they are not left.
func (b *memoryBudget) acquire(n int64) { b.available.Add(-n) }

func (b *memoryBudget) release(n int64) { b.available.Add(n) }

// pacedBody reads a client's body. Only the time that the node waits for the client counts against it: where a
// backend takes the body slowly, the client cannot send faster.
type minRateBody struct {
	source          io.Reader
	setReadDeadline func(time.Time) error // sets how long a read may wait
	waited          time.Duration         // for the client, its head included
	received        int64
	limit           int64
}

func newMinRateBody(w http.ResponseWriter, hr *http.Request, since time.Time, limit int64) *minRateBody {
	return &minRateBody{source: hr.Body, setReadDeadline: http.NewResponseController(w).SetReadDeadline, waited: time.Since(since), limit: limit}
}

func (p *minRateBody) Read(b []byte) (int, error) {
	left := requestReadTimeout + time.Duration(p.received)*time.Second/minBodyRate - p.waited
	began := time.Now()
	p.setReadDeadline(began.Add(min(left, maxBodyStall)))
	n, err := p.source.Read(b)
	p.waited += time.Since(began)
	if p.received += int64(n); p.received > p.limit {
		return n, errBodyTooLong
	}
	if err == io.EOF {
		// A deadline that passes while the request is served would look as if the client had gone.
		p.setReadDeadline(time.Time{})
	}
	return n, err
}

// upload is a request's body that is sent on while it comes in. It can be sent once.
type requestStream struct {
	buffered   []byte // what has been read of it
	size       int64  // -1: it is not told
	onComplete func() // called when the client's last byte has come

	complete atomic.Bool // the client has sent its last byte

	mu        sync.Mutex // held while src is read
	source    io.Reader
	forwarded bool // some of it has been sent on
	abandoned bool // nobody sends it on any more
	err       error
}

// next returns some more of the body, in the buffer or as it was kept.
func (u *requestStream) next(b []byte) ([]byte, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.abandoned:
		return nil, errBodyAbandoned
	case u.err != nil:
		return nil, u.err
	}
	u.forwarded = true
	if head := u.buffered; len(head) > 0 {
		u.buffered = nil
		return head, nil
	}
	n, err := u.source.Read(b)
	if u.err = err; err == io.EOF {
		u.complete.Store(true)
		u.onComplete()
	}
	if n > 0 {
		err = nil // it comes with the next call
	}
	return b[:n], err
}

// touched tells whether some of the body has been sent on, so that it can't be sent again.
func (u *requestStream) anyForwarded() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.forwarded
}

// leave has nobody send the body on any more. It waits for nobody.
func (u *requestStream) abandon() {
	go func() {
		u.mu.Lock()
		u.abandoned = true
		u.mu.Unlock()
	}()
}

// discard reads what is left of the body: closing on unread bytes is a reset, which may overtake the answer, and a client
// may read that only when it has sent all. The body's pace and its bound still hold.
func (u *requestStream) discard() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.abandoned = true
	p := streamBuffers.Get().(*[streamBufferSize]byte)
	defer streamBuffers.Put(p)
	for u.err == nil {
		_, u.err = u.source.Read(p[:])
	}
}

// copyTo sends the body on. It returns nil when the last byte has been written; wrote tells an error of writing.
func (u *requestStream) copyTo(backend *backendConn) (whileWriting bool, err error) {
	p := streamBuffers.Get().(*[streamBufferSize]byte)
	defer streamBuffers.Put(p)
	var w io.WriteCloser = nopCloser{backend}
	if u.size < 0 {
		w = httputil.NewChunkedWriter(backend)
	}
	for {
		piece, err := u.next(p[:])
		if err == io.EOF {
			break
		}
		if err != nil {
			return false, err
		}
		backend.SetWriteDeadline(time.Now().Add(streamStallTimeout))
		if _, err := w.Write(piece); err != nil {
			return true, err
		}
	}
	if u.size >= 0 {
		return false, nil
	}
	w.Close()
	_, err = io.WriteString(backend, "\r\n")
	return true, err
}

type nopCloser struct{ io.Writer }

func (nopCloser) Close() error { return nil }

// stream is an answer that is passed on while it comes in.
type responseStream struct {
	buffered []byte // what has been read of it
	size     int64  // -1: it is not told
	body     io.Reader
	backend  *backendConn
	release  func(whole bool) // takes back the connection
}

// copyTo passes the answer on, and ends it. It calls last before the last byte of an answer whose length is told; one
// of untold length ends only after copyTo has returned.
func (s *responseStream) copyTo(w http.ResponseWriter, onLastByte func()) (err error) {
	whole := false
	defer func() { s.release(whole) }()
	rc := http.NewResponseController(w)
	p := streamBuffers.Get().(*[streamBufferSize]byte)
	defer streamBuffers.Put(p)
	passed := int64(0)
	if s.size == 0 {
		onLastByte()
	}
	for piece := s.buffered; ; {
		if len(piece) > 0 {
			if passed += int64(len(piece)); passed == s.size {
				onLastByte()
			}
			rc.SetWriteDeadline(time.Now().Add(streamStallTimeout))
			if _, err := w.Write(piece); err != nil {
				return err
			}
			if err := rc.Flush(); err != nil {
				return err
			}
		}
		if err == io.EOF {
			whole = true
			return nil
		}
		if err != nil {
			return err
		}
		s.backend.SetReadDeadline(time.Now().Add(streamStallTimeout))
		var n int
		n, err = s.body.Read(p[:])
		piece = p[:n]
	}
}

// timedOut tells an error that only says that nothing has come so far.
func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
