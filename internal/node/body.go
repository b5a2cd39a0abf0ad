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
	requestMost = 36 << 20
	// leastRate is the rate, in bytes a second, that a client has to keep up while the node waits for it: half of
	// the slowest that is served. stallMost is how long it may send nothing at all.
	leastRate, stallMost = 32 << 10, 2 * time.Second
	// takeWithin is how long the other side may take none of what is streamed to it, or give nothing of it.
	takeWithin = 10 * time.Second
	// pieceSize is what is streamed at once.
	pieceSize = 16 << 10
	// bodyParts is the part of the memory limit that bodies kept whole may take, and keepParts the part of that for one.
	bodyParts, keepParts = 8, 16
	// usualMemory stands for a memory limit that is not told.
	usualMemory = 192
)

var (
	errTooLong = errors.New("body too long")
	errUnread  = errors.New("the rest of the body is not wanted")
	// errNoMemory says that other bodies take up what may be kept whole.
	errNoMemory = errors.New("no memory left for the body now")
)

// pieces are buffers for what is streamed.
var pieces = sync.Pool{New: func() any { return new([pieceSize]byte) }}

// budget bounds the memory of all bodies that are kept whole.
type budget struct {
	left atomic.Int64
	one  int64 // the most that one request may take
}

func newBudget(memoryMB int64) *budget {
	if memoryMB == 0 {
		memoryMB = usualMemory
	}
	all := memoryMB << 20 / bodyParts
	b := &budget{one: max(maxBodyBytes, all/keepParts)}
	b.left.Store(all)
	return b
}

// take takes so many bytes of the budget, if they are left.
func (b *budget) take(n int64) bool {
	if b.left.Add(-n) < 0 {
		b.left.Add(n)
		return false
	}
	return true
}

// room takes so many bytes for a request that has some already, if there is room for them. Of one that must be kept there is
// for the first bodyMost: the descriptors bound how many there are.
func (b *budget) room(had, n int64, must bool) bool {
	if had+n <= b.one && b.take(n) {
		return true
	}
	if must && had+n <= maxBodyBytes {
		b.force(n)
		return true
	}
	return false
}

// force takes so many bytes of the budget even if they are not left.
func (b *budget) force(n int64) { b.left.Add(-n) }

func (b *budget) give(n int64) { b.left.Add(n) }

// pacedBody reads a client's body. Only the time that the node waits for the client counts against it: where a
// backend takes the body slowly, the client cannot send faster.
type pacedBody struct {
	src    io.Reader
	until  func(time.Time) error // sets how long a read may wait
	waited time.Duration         // for the client, its head included
	got    int64
	most   int64
}

func newPacedBody(w http.ResponseWriter, hr *http.Request, since time.Time, most int64) *pacedBody {
	return &pacedBody{src: hr.Body, until: http.NewResponseController(w).SetReadDeadline, waited: time.Since(since), most: most}
}

func (p *pacedBody) Read(b []byte) (int, error) {
	left := messageWithin + time.Duration(p.got)*time.Second/leastRate - p.waited
	began := time.Now()
	p.until(began.Add(min(left, stallMost)))
	n, err := p.src.Read(b)
	p.waited += time.Since(began)
	if p.got += int64(n); p.got > p.most {
		return n, errTooLong
	}
	if err == io.EOF {
		// A deadline that passes while the request is served would look as if the client had gone.
		p.until(time.Time{})
	}
	return n, err
}

// upload is a request's body that is sent on while it comes in. It can be sent once.
type upload struct {
	head  []byte // what has been read of it
	size  int64  // -1: it is not told
	whole func() // called when the client's last byte has come

	taken atomic.Bool // the client has sent its last byte

	mu   sync.Mutex // held while src is read
	src  io.Reader
	used bool // some of it has been sent on
	off  bool // nobody sends it on any more
	err  error
}

// next returns some more of the body, in the buffer or as it was kept.
func (u *upload) next(b []byte) ([]byte, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.off:
		return nil, errUnread
	case u.err != nil:
		return nil, u.err
	}
	u.used = true
	if head := u.head; len(head) > 0 {
		u.head = nil
		return head, nil
	}
	n, err := u.src.Read(b)
	if u.err = err; err == io.EOF {
		u.taken.Store(true)
		u.whole()
	}
	if n > 0 {
		err = nil // it comes with the next call
	}
	return b[:n], err
}

// touched tells whether some of the body has been sent on, so that it can't be sent again.
func (u *upload) touched() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.used
}

// leave has nobody send the body on any more. It waits for nobody.
func (u *upload) leave() {
	go func() {
		u.mu.Lock()
		u.off = true
		u.mu.Unlock()
	}()
}

// discard reads what is left of the body: closing on unread bytes is a reset, which may overtake the answer, and a client
// may read that only when it has sent all. The body's pace and its bound still hold.
func (u *upload) discard() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.off = true
	p := pieces.Get().(*[pieceSize]byte)
	defer pieces.Put(p)
	for u.err == nil {
		_, u.err = u.src.Read(p[:])
	}
}

// copyTo sends the body on. It returns nil when the last byte has been written; wrote tells an error of writing.
func (u *upload) copyTo(cn *backendConn) (wrote bool, err error) {
	p := pieces.Get().(*[pieceSize]byte)
	defer pieces.Put(p)
	var w io.WriteCloser = nopCloser{cn}
	if u.size < 0 {
		w = httputil.NewChunkedWriter(cn)
	}
	for {
		piece, err := u.next(p[:])
		if err == io.EOF {
			break
		}
		if err != nil {
			return false, err
		}
		cn.SetWriteDeadline(time.Now().Add(takeWithin))
		if _, err := w.Write(piece); err != nil {
			return true, err
		}
	}
	if u.size >= 0 {
		return false, nil
	}
	w.Close()
	_, err = io.WriteString(cn, "\r\n")
	return true, err
}

type nopCloser struct{ io.Writer }

func (nopCloser) Close() error { return nil }

// stream is an answer that is passed on while it comes in.
type stream struct {
	head []byte // what has been read of it
	size int64  // -1: it is not told
	body io.Reader
	cn   *backendConn
	end  func(whole bool) // takes back the connection
}

// copyTo passes the answer on, and ends it. It calls last before the last byte of an answer whose length is told; one
// of untold length ends only after copyTo has returned.
func (s *stream) copyTo(w http.ResponseWriter, last func()) (err error) {
	whole := false
	defer func() { s.end(whole) }()
	rc := http.NewResponseController(w)
	p := pieces.Get().(*[pieceSize]byte)
	defer pieces.Put(p)
	passed := int64(0)
	if s.size == 0 {
		last()
	}
	for piece := s.head; ; {
		if len(piece) > 0 {
			if passed += int64(len(piece)); passed == s.size {
				last()
			}
			rc.SetWriteDeadline(time.Now().Add(takeWithin))
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
		s.cn.SetReadDeadline(time.Now().Add(takeWithin))
		var n int
		n, err = s.body.Read(p[:])
		piece = p[:n]
	}
}

// timedOut tells an error that only says that nothing has come so far.
func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
