package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hitchvale/balance"
)

// newTestTransport returns exchanges with a pool of their own.
func newTestTransport(t *testing.T) *upstreamTransport {
	p := newConnPool(16, 2*time.Second, 5*time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	go p.run(ctx)
	t.Cleanup(cancel)
	return newUpstreamTransport(p, true, new(atomic.Int64), quiet())
}

func get(id string) *forwardedRequest {
	return &forwardedRequest{method: "GET", url: &url.URL{Path: "/api/x"}, host: "api.internal",
		header: http.Header{"X-Trace-Id": {id}, "Idempotency-Key": {"key"}}}
}

// attemptOnce makes one attempt and waits for how it ends.
func attemptOnce(t *testing.T, x *upstreamTransport, to backendProcess, m *forwardedRequest) attemptResult {
	t.Helper()
	done := make(chan attemptResult, 1)
	x.start(new(upstreamCall), to, m, time.Now().Add(patience/2), func(r attemptResult) { done <- r })
	return receive(t, "the outcome", done)
}

// Outcomes by what the backend does with the request once it has it.
func TestOutcomes(t *testing.T) {
	big := strings.Repeat("x", maxBodyBytes)
	for name, tc := range map[string]struct {
		answer string
		want   balance.Status
		body   string
	}{
		"served":             {ok200("abc"), balance.StatusSucceeded, "abc"},
		"largest body":       {ok200(big), balance.StatusSucceeded, big},
		"chunked":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", balance.StatusSucceeded, "ab"},
		"1xx ahead":          {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok200("abc"), balance.StatusSucceeded, "abc"},
		"error":              {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", balance.StatusApplicationError, ""},
		"turned away":        {"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balance.StatusRejected, ""},
		"over already":       {"HTTP/1.1 504 Late\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balance.StatusRejected, ""},
		"503 that may run":   {"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", balance.StatusApplicationError, ""},
		"504 that may run":   {"HTTP/1.1 504 Late\r\nX-Never-Ran: 0\r\nContent-Length: 0\r\n\r\n", balance.StatusApplicationError, ""},
		"500 with the mark":  {"HTTP/1.1 500 Oops\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balance.StatusApplicationError, ""},
		"nothing":            {"", balance.StatusConnectionLost, ""},
		"cut short":          {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", balance.StatusConnectionLost, ""},
		"chunks cut short":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", balance.StatusConnectionLost, ""},
		"to its end":         {"HTTP/1.1 200 OK\r\n\r\nabc", balance.StatusSucceeded, "abc"},
		"no, to its end":     {"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\n\r\nabc", balance.StatusRejected, "abc"},
		"not HTTP":           {"hello\r\n\r\n", balance.StatusConnectionLost, ""},
		"too long":           {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + big, balance.StatusConnectionLost, ""},
		"head without end":   {"HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", 10*(maxHeadBytes+maxBodyBytes)), balance.StatusConnectionLost, ""},
		"1xx without end":    {strings.Repeat("HTTP/1.1 103 Hints\r\n\r\n", 1000), balance.StatusConnectionLost, ""},
		"chunks without end": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+big[:0x1000]+"\r\n", 40), balance.StatusConnectionLost, ""},
	} {
		t.Run(name, func(t *testing.T) {
			b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
				if _, err := http.ReadRequest(br); err == nil {
					io.WriteString(c, tc.answer)
				}
			})
			r := attemptOnce(t, newTestTransport(t), backendProcess{addr: b.Addr().String()}, get("id"))
			if r.stream != nil {
				if err := r.stream.copyTo(httptest.NewRecorder(), func() {}); err != nil {
					r.status, r.body = balance.StatusConnectionLost, nil // its client can tell
				}
			}
			if r.status != tc.want || string(r.body) != tc.body {
				t.Errorf("status %v with %d bytes, want %v with %d", r.status, len(r.body), tc.want, len(tc.body))
			}
		})
	}
}

// A connection that nobody takes, or that breaks before the last byte is written, never ran.
func TestUnwrittenRequestNeverRan(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	if r := attemptOnce(t, newTestTransport(t), backendProcess{addr: addr}, get("refused")); r.status != balance.StatusConnectFailed {
		t.Errorf("refused connection: %v", r.status)
	}

	// Buffers far smaller than the body, and a backend that breaks off having read a part of it.
	small := func(_, _ string, rc syscall.RawConn) error {
		return rc.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4096)
		})
	}
	lc := net.ListenConfig{Control: small}
	l, err = lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		io.ReadFull(c, make([]byte, 1000))
		reset(c)
	}()
	x := newTestTransport(t)
	x.pool.dialer.Control = small
	m := get("partial")
	m.method, m.body = "POST", make([]byte, maxBodyBytes)
	if r := attemptOnce(t, x, backendProcess{addr: l.Addr().String()}, m); r.status != balance.StatusConnectFailed {
		t.Errorf("broken before the last byte: %v", r.status)
	}
}

// An attempt given up ends its connection, and its late answer is nobody's.
func TestCancelledAttemptClosesItsConnection(t *testing.T) {
	begun, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err == nil {
			begun <- struct{}{}
			io.Copy(io.Discard, br)
			io.WriteString(c, ok200("late"))
			ended <- struct{}{}
		}
	})
	x, done := newTestTransport(t), make(chan attemptResult, 2)
	c := new(upstreamCall)
	x.start(c, backendProcess{addr: b.Addr().String()}, get("id"), time.Now().Add(patience), func(r attemptResult) { done <- r })
	receive(t, "the request at the backend", begun)
	c.cancel()
	receive(t, "the end of the connection", ended)
	if r := receive(t, "the outcome", done); r.status != balance.StatusCancelled {
		t.Errorf("%v", r.status)
	}
	x.pool.mu.Lock()
	defer x.pool.mu.Unlock()
	if x.pool.open != 0 {
		t.Errorf("%d connections left", x.pool.open)
	}
}

// What this machine is short of says nothing of the backend that an attempt was for; a network that can't be reached does.
func TestShortageIsNoFailureOfABackend(t *testing.T) {
	b := echo(t)
	for errno, want := range map[syscall.Errno]balance.Status{syscall.EADDRNOTAVAIL: balance.StatusNotSent, syscall.ENFILE: balance.StatusNotSent,
		syscall.EMFILE: balance.StatusNotSent, syscall.ENOBUFS: balance.StatusNotSent, syscall.ENETUNREACH: balance.StatusConnectFailed,
		syscall.EHOSTUNREACH: balance.StatusConnectFailed, syscall.ETIMEDOUT: balance.StatusConnectFailed} {
		x := newTestTransport(t)
		x.pool.dialer.Control = func(string, string, syscall.RawConn) error { return os.NewSyscallError("connect", errno) }
		if r := attemptOnce(t, x, backendProcess{addr: b.Addr().String()}, get("id")); r.status != want {
			t.Errorf("%v: status %v, want %v", errno, r.status, want)
		}
	}
}
