package node

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"
)

// noise returns n bytes that don't compress.
func noise(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i>>8) ^ byte(i*7)
	}
	return b
}

// hashing answers with the length and the hash of each request's body.
func hashing(c net.Conn, br *bufio.Reader) {
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		h := sha256.New()
		n, err := io.Copy(h, r.Body)
		if err != nil {
			return
		}
		if _, err := io.WriteString(c, ok200(fmt.Sprintf("%d %x", n, h.Sum(nil)))); err != nil {
			return
		}
	}
}

// orderHead returns the head of a request of the class "order" with a body of so many bytes.
func orderHead(version, id string, length int) string {
	const fields = "Host: x\r\nX-Trace-Id: %s\r\nX-Qos: order\r\nX-Customer: acme\r\nContent-Length: %d\r\n\r\n"
	return "POST /x " + version + "\r\n" + fmt.Sprintf(fields, id, length)
}

// startLarge starts a node that streams, and buffers at most maxBodyBytes of a request.
func startLarge(t *testing.T, b *rawBackend) *started {
	t.Helper()
	list := listText(1, true, listed{id: "s-a", addr: b.Addr().String(), phase: "ready"})
	return startWithAdmin(t, list, func(c *Config) {
		c.Limits.MemoryMB = 8 // so that no more than maxBodyBytes of a request are buffered
	})
}

// A request over maxBodyBytes that can be buffered is retried when its first backend breaks off, of known and unknown
// length and without an admin address; long responses and those of unknown length come through.
func TestLongRequestsAreRetried(t *testing.T) {
	text := noise(3 * maxBodyBytes)
	for name, size := range map[string]int64{"sized": int64(len(text)), "chunked": -1} {
		t.Run(name, func(t *testing.T) {
			var heads atomic.Int64
			b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				body, _ := io.ReadAll(r.Body)
				if r.URL.Path == "/x" && heads.Add(1) == 1 {
					reset(c)
					return
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s", body)
			})
			reg := newRegistry(t, listText(1, true, listed{id: "s-a", addr: b.Addr().String(), phase: "ready"},
				listed{id: "s-b", addr: b.Addr().String(), phase: "ready"}))
			n := start(t, testConfig(t, reg.addr, reg.whole))
			for range 12 { // these pay for another attempt
				do(t, ask(t, n.url+"/paying", "read"))
			}
			resp, body := do(t, ask(t, n.url+"/x", "token", func(r *http.Request) {
				r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(text)), size
				r.Header.Set("Idempotency-Key", "k")
			}))
			if resp.StatusCode != 200 || body != string(text) || heads.Load() != 2 {
				t.Errorf("%d with %d bytes, %d attempts", resp.StatusCode, len(body), heads.Load())
			}
			eventually(t, "what it took of the budget is given back", func() bool {
				return n.server.bodyMemory.available.Load() == newMemoryBudget(0).available.Load()
			})
		})
	}
}

// The longest body that is buffered is served, of known and unknown length; TestMalformedRequests has those a byte
// longer.
func TestLongestBufferedBody(t *testing.T) {
	addr := newRawBackend(t, "127.0.0.1:0", hashing).Addr().String()
	reg := newRegistry(t, listText(1, true, listed{id: "s-a", addr: addr, phase: "ready"}))
	cfg := testConfig(t, reg.addr, reg.whole)
	cfg.Limits.MemoryMB = 8 // so that no more than maxBodyBytes of a request are buffered
	n := start(t, cfg)
	for _, size := range []int64{maxBodyBytes, -1} {
		resp, body := do(t, ask(t, n.url+"/x", "order", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(noise(maxBodyBytes))), size
		}))
		if resp.StatusCode != 200 || !strings.HasPrefix(body, fmt.Sprint(maxBodyBytes, " ")) {
			t.Errorf("length %d: %d %.60q", size, resp.StatusCode, body)
		}
	}
}

// Bodies of any length and form reach a backend unchanged, and a large one is never complete in memory.
func TestLargeRequestsAreStreamed(t *testing.T) {
	n := startLarge(t, newRawBackend(t, "127.0.0.1:0", hashing))
	for _, size := range []int{0, 1, maxBodyBytes, maxBodyBytes + 1, 200 << 10, 3 << 20, 20 << 20} {
		for _, chunked := range []bool{false, true} {
			text := noise(size)
			sum := sha256.Sum256(text)
			want := fmt.Sprintf("%d %s", size, hex.EncodeToString(sum[:]))
			r := ask(t, n.url+"/x", "order", func(r *http.Request) {
				r.Body, r.ContentLength = io.NopCloser(iotest.HalfReader(bytes.NewReader(text))), int64(size)
				if size == 0 {
					r.Body = http.NoBody
				} else if chunked {
					r.ContentLength = -1
				}
			})
			resp, body := do(t, r)
			if resp.StatusCode != 200 || body != want {
				t.Errorf("%d bytes, chunked %v: %d %q, want %q", size, chunked, resp.StatusCode, body, want)
			}
		}
	}
	got := stats(t, n)
	if got["pending"] != 0 || got["completed.order"] != 14 || got["upstream_requests"] != 14 {
		t.Errorf("figures %v", got)
	}
}

// Responses of any length and form come through complete, and short ones with a Content-Length.
func TestLargeResponsesAreStreamed(t *testing.T) {
	big := string(noise(5 << 20))
	chunks := func(body string, size int) string {
		var b strings.Builder
		for i := 0; i < len(body); i += size {
			piece := body[i:min(i+size, len(body))]
			fmt.Fprintf(&b, "%x;ext=\"a;b\"\r\n%s\r\n", len(piece), piece)
		}
		return b.String() + "0\r\nX-Sum: 1\r\n\r\n"
	}
	const (
		chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
		interim     = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
	)
	for name, tc := range map[string]struct {
		answer string
		want   string
		slow   bool // it comes in two parts
	}{
		"sized":       {answer: ok200(big), want: big},
		"sized, slow": {answer: ok200(big), want: big, slow: true},
		"chunked":     {answer: chunkedHead + "Trailer: X-Sum\r\n\r\n" + chunks(big, 70_001), want: big},
		"chunked, slow": {
			answer: chunkedHead + "\r\n" + chunks(big[:40<<10], 999),
			want:   big[:40<<10],
			slow:   true,
		},
		"small chunks":       {answer: chunkedHead + "\r\n" + chunks("hello there", 3), want: "hello there"},
		"ends with its end":  {answer: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + big, want: big},
		"small, to its end":  {answer: "HTTP/1.0 200 OK\r\n\r\nhello", want: "hello"},
		"1xx ahead":          {answer: interim + ok200(big), want: big},
		"beyond the largest": {answer: ok200(strings.Repeat(big, 7)), want: strings.Repeat(big, 7)},
	} {
		t.Run(name, func(t *testing.T) {
			n := startLarge(t, newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				text := tc.answer
				if tc.slow {
					cut := len(text) / 2
					io.WriteString(c, text[:cut])
					time.Sleep(90 * time.Millisecond)
					text = text[cut:]
				}
				io.WriteString(c, text)
			}))
			resp, body := do(t, ask(t, n.url+"/x", "order"))
			if resp.StatusCode != 200 || body != tc.want {
				t.Errorf("%d with %d bytes, want %d", resp.StatusCode, len(body), len(tc.want))
			}
			if len(tc.want) < 1<<10 && resp.ContentLength != int64(len(tc.want)) {
				t.Errorf("length %d", resp.ContentLength)
			}
			if got := stats(t, n)["completed.order"]; got != 1 {
				t.Errorf("completed %d", got)
			}
		})
	}
}

// A client can tell that a response which broke after some of it was passed on is incomplete, and it is counted as
// failed.
func TestClientCanTellABrokenResponse(t *testing.T) {
	part := strings.Repeat("x", 2*maxBodyBytes)
	for name, answer := range map[string]string{
		"sized":   "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + part,
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + part + "\r\n",
	} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(name+" to "+version, func(t *testing.T) {
				n := startLarge(t, newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
					if _, err := http.ReadRequest(br); err == nil {
						io.WriteString(c, answer)
					}
				}))
				c, err := net.Dial("tcp", n.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				c.SetDeadline(time.Now().Add(patience))
				io.WriteString(c, orderHead(version, "a", 0))
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
				}
				if err == nil {
					t.Error("the answer looks whole")
				}
				eventually(t, "it is counted as failed", func() bool { return stats(t, n)["failed.order"] == 1 })
			})
		}
	}
}

// A large response that breaks before any of its body has come is answered with a failure.
func TestResponseThatBreaksBeforeItBegins(t *testing.T) {
	n := startLarge(t, newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")
		}
	}))
	if resp, _ := do(t, ask(t, n.url+"/x", "order")); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("answered %d", resp.StatusCode)
	}
	if got := stats(t, n)["failed.order"]; got != 1 {
		t.Errorf("failed %d", got)
	}
}

// A body that has been streamed in part is not sent again; a backend that breaks off before the last byte never ran
// the request.
func TestStreamedRequestIsSentOnce(t *testing.T) {
	var heads atomic.Int64
	breaking := func(c net.Conn, br *bufio.Reader) {
		if r, err := http.ReadRequest(br); err == nil && r.URL.Path == "/x" {
			heads.Add(1)
			io.CopyN(io.Discard, r.Body, 1<<20)
			reset(c)
		}
	}
	a, b := newRawBackend(t, "127.0.0.1:0", breaking), newRawBackend(t, "127.0.0.1:0", breaking)
	n := startWithAdmin(t, listText(1, true, listed{id: "s-a", addr: a.Addr().String(), phase: "ready"},
		listed{id: "s-b", addr: b.Addr().String(), phase: "ready"}))
	resp, _ := do(t, ask(t, n.url+"/x", "order", func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(noise(8<<20))), 8<<20
	}))
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("answered %d", resp.StatusCode)
	}
	if got := heads.Load(); got != 1 {
		t.Errorf("sent %d times", got)
	}
	eventually(t, "it is counted as refused", func() bool { return stats(t, n)["rejected.order"] == 1 })
	if got := stats(t, n); got["upstream_requests"] != 0 || got["pending"] != 0 {
		t.Errorf("figures %v", got)
	}
}

// A backend's rejection before the body's end is passed on at once, also to a client that goes on sending.
func TestEarlyRejectionIsPassedOnAtOnce(t *testing.T) {
	n := startLarge(t, newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err == nil {
			io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
			io.Copy(io.Discard, br)
		}
	}))
	c, err := net.Dial("tcp", n.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	io.WriteString(c, orderHead("HTTP/1.1", "a", 1_000_000))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil) // nothing of the body has been sent
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Fatalf("%+v, %v", resp, err)
	}
	if _, err := c.Write(noise(1000000)); err != nil {
		t.Errorf("the rest of the body is not read: %v", err)
	}
}

// A client that stops within its body ends its request, and leaks nothing.
func TestClientThatStopsWithinABody(t *testing.T) {
	seen := make(chan error, 1)
	n := startLarge(t, newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		if r, err := http.ReadRequest(br); err == nil && r.URL.Path == "/x" {
			_, err = io.Copy(io.Discard, r.Body)
			seen <- err
		}
	}))
	c, err := net.Dial("tcp", n.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, orderHead("HTTP/1.1", "a", 1_000_000))
	c.Write(noise(200000))
	c.Close()
	if err := receive(t, "the end at the backend", seen); err == nil {
		t.Error("the backend took the request for whole")
	}
	eventually(t, "nothing is open", func() bool { return n.open(t) == 0 && n.server.inFlight.Load() == 0 })
	if got := stats(t, n); got["upstream_requests"] != 0 || got["pending"] != 0 {
		t.Errorf("figures %v", got)
	}
}

// Slow readers of large responses slow their backends down, and the memory in use stays small.
func TestSlowReadersCauseBackpressure(t *testing.T) {
	const size, readers = 32 << 20, 8
	body := noise(size)
	var sent atomic.Int64
	n := startLarge(t, newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		for i := 0; i < size; i += 64 << 10 {
			if _, err := c.Write(body[i : i+64<<10]); err != nil {
				return
			}
			sent.Add(64 << 10)
		}
	}))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range readers {
		c, err := net.Dial("tcp", n.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.(*net.TCPConn).SetReadBuffer(64 << 10)
		io.WriteString(c, orderHead("HTTP/1.1", fmt.Sprintf("a%p", c), 0))
		b := make([]byte, 1<<10)
		if k, err := c.Read(b); err != nil || !strings.HasPrefix(string(b[:k]), "HTTP/1.1 200") {
			t.Fatalf("%q, %v", b[:k], err)
		}
	}
	// Nobody reads on: the backends stop sending.
	last := int64(-1)
	eventually(t, "the backends stop sending", func() bool {
		now := sent.Load()
		time.Sleep(20 * time.Millisecond)
		stalled := now == last
		last = now
		return stalled
	})
	if last >= readers*size {
		t.Error("the responses were taken completely")
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > readers<<20 {
		t.Errorf("%d bytes more for %d readers", grown, readers)
	}
}

// A body's rate counts only the time that the node waits for its client.
func TestMinimumBodyRate(t *testing.T) {
	for name, c := range map[string]struct {
		head, every time.Duration // for the head, and between two pieces
		piece, size int
		ok          bool
	}{
		"quick":             {0, 0, 1 << 10, 100 << 10, true},
		"as slow as served": {2 * time.Second, 250 * time.Millisecond, 16 << 10, 2 << 20, true},
		"too slow":          {0, 500 * time.Millisecond, 1 << 10, 1 << 20, false},
		"stops":             {0, 2100 * time.Millisecond, 1 << 20, 4 << 20, false},
		"a byte a while":    {2 * time.Second, 50 * time.Millisecond, 1, 100, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				out, in := net.Pipe()
				done := make(chan struct{})
				defer func() { out.Close(); <-done }()
				go func() {
					defer close(done)
					defer in.Close()
					for sent := 0; sent < c.size; sent += c.piece {
						time.Sleep(c.every)
						if _, err := in.Write(make([]byte, c.piece)); err != nil {
							return
						}
					}
				}()
				p := &minRateBody{
					source:          io.LimitReader(out, int64(c.size)),
					setReadDeadline: out.SetReadDeadline,
					waited:          c.head,
					limit:           maxStreamedBody,
				}
				n, err := io.Copy(io.Discard, p)
				if ok := err == nil && n == int64(c.size); ok != c.ok {
					t.Errorf("%d bytes, %v", n, err)
				}
			})
		})
	}
}

// A body over its limit is an error, and a memory budget that is used up has bodies streamed.
func TestBodyLimits(t *testing.T) {
	noDeadline := func(time.Time) error { return nil }
	p := &minRateBody{source: strings.NewReader("hello"), setReadDeadline: noDeadline, limit: 4}
	if _, err := io.ReadAll(p); !errors.Is(err, errBodyTooLong) {
		t.Errorf("%v", err)
	}
	b := newMemoryBudget(1)
	if !b.tryAcquire(1<<20/bodyMemoryDivisor) || b.tryAcquire(1) {
		t.Error("the budget is not kept")
	}
	if b.reserve(0, 1, false) || !b.reserve(0, maxBodyBytes, true) || b.reserve(maxBodyBytes, 1, true) {
		t.Error("short bodies are kept, and others only where there is room")
	}
	n := startLarge(t, newRawBackend(t, "127.0.0.1:0", hashing))
	n.server.bodyMemory.acquire(n.server.bodyMemory.available.Load())
	resp, body := do(t, ask(t, n.url+"/x", "order")) // "payload"
	if sum := sha256.Sum256([]byte("payload")); resp.StatusCode != 200 || body != fmt.Sprintf("7 %x", sum) {
		t.Errorf("%d %q", resp.StatusCode, body)
	}
	if n.server.bodyMemory.available.Load() != 0 {
		t.Errorf("%d left of nothing", n.server.bodyMemory.available.Load())
	}
}

// discard reads a body to its end, however slowly its client sends: closing the connection over unread bytes would
// reset it, and lose the response.
func TestDiscardReadsABodyToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &requestStream{source: &slowReader{left: 20}, size: -1}
		u.discard()
		if u.err != io.EOF {
			t.Errorf("stopped early: %v", u.err)
		}
	})
}

// slowReader gives a byte a second.
type slowReader struct{ left int }

func (r *slowReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(time.Second)
	r.left--
	return 1, nil
}
