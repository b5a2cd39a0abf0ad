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
	"hitchvale/internal/connpool"
)

// newTestTransport returns a transport with its own pool, which runs until the test ends.
func newTestTransport(t *testing.T) *upstreamTransport {
	limits := balance.Limits{ConnectTimeout: testConnectTimeout, IdleClose: 5 * time.Second}
	return newTestTransportOn(t, newBackendPool(16, limits, new(closeCounters)))
}

// newTestTransportOn returns a transport that uses the given pool, and runs the pool until the test ends.
func newTestTransportOn(t *testing.T, pool *connpool.Pool) *upstreamTransport {
	ctx, cancel := context.WithCancel(context.Background())
	go pool.Run(ctx)
	t.Cleanup(cancel)
	return newUpstreamTransport(pool, true, new(atomic.Int64), nopLog())
}

// testConnectTimeout is the connect timeout of testSettings.
const testConnectTimeout = 2 * time.Second

// dialWithControl returns a DialContext for a pool that calls control before each connect.
func dialWithControl(
	control func(network, addr string, conn syscall.RawConn) error,
) func(context.Context, string, string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: testConnectTimeout, KeepAlive: -1, Control: control}
	return dialer.DialContext
}

// newForwardedRequest returns a GET request with an id and an idempotency key.
func newForwardedRequest(id string) *forwardedRequest {
	return &forwardedRequest{method: "GET", url: &url.URL{Path: "/api/x"}, host: "api.internal",
		header: http.Header{"X-Trace-Id": {id}, "Idempotency-Key": {"key"}}}
}

// attemptOnce makes one attempt and waits for its result.
func attemptOnce(t *testing.T, transport *upstreamTransport, to connpool.Server, m *forwardedRequest) attemptResult {
	t.Helper()
	done := make(chan attemptResult, 1)
	transport.start(new(upstreamCall), to, m, time.Now().Add(testTimeout/2), func(r attemptResult) { done <- r })
	return receive(t, "the result of the attempt", done)
}

// Each response of a backend gives the attempt the expected status and body.
func TestAttemptStatuses(t *testing.T) {
	big := strings.Repeat("x", maxBodyBytes)
	for name, tc := range map[string]struct {
		response string
		want     balance.Status
		body     string
	}{
		"served": {
			response: okResponse("abc"),
			want:     balance.StatusSucceeded,
			body:     "abc",
		},
		"largest body": {
			response: okResponse(big),
			want:     balance.StatusSucceeded,
			body:     big,
		},
		"chunked": {
			response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
			want:     balance.StatusSucceeded,
			body:     "ab",
		},
		"1xx before the final response": {
			response: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okResponse("abc"),
			want:     balance.StatusSucceeded,
			body:     "abc",
		},
		"error": {
			response: "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
			want:     balance.StatusApplicationError,
		},
		"rejected": {
			response: "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n",
			want:     balance.StatusRejected,
		},
		"rejected as expired": {
			response: "HTTP/1.1 504 Late\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n",
			want:     balance.StatusRejected,
		},
		"503 without X-Never-Ran": {
			response: "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
			want:     balance.StatusApplicationError,
		},
		"504 with X-Never-Ran 0": {
			response: "HTTP/1.1 504 Late\r\nX-Never-Ran: 0\r\nContent-Length: 0\r\n\r\n",
			want:     balance.StatusApplicationError,
		},
		"500 with X-Never-Ran": {
			response: "HTTP/1.1 500 Oops\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n",
			want:     balance.StatusApplicationError,
		},
		"no response": {
			response: "",
			want:     balance.StatusConnectionLost,
		},
		"truncated body": {
			response: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
			want:     balance.StatusConnectionLost,
		},
		"truncated chunks": {
			response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
			want:     balance.StatusConnectionLost,
		},
		"body ends with the connection": {
			response: "HTTP/1.1 200 OK\r\n\r\nabc",
			want:     balance.StatusSucceeded,
			body:     "abc",
		},
		"rejected, body ends with the connection": {
			response: "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\n\r\nabc",
			want:     balance.StatusRejected,
			body:     "abc",
		},
		"not HTTP": {
			response: "hello\r\n\r\n",
			want:     balance.StatusConnectionLost,
		},
		"body too long": {
			response: "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + big,
			want:     balance.StatusConnectionLost,
		},
		"endless head": {
			response: "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", 10*(maxHeadBytes+maxBodyBytes)),
			want:     balance.StatusConnectionLost,
		},
		"endless 1xx": {
			response: strings.Repeat("HTTP/1.1 103 Hints\r\n\r\n", 1000),
			want:     balance.StatusConnectionLost,
		},
		"endless chunks": {
			response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
				strings.Repeat("1000\r\n"+big[:0x1000]+"\r\n", 40),
			want: balance.StatusConnectionLost,
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
				if _, err := http.ReadRequest(br); err == nil {
					io.WriteString(c, tc.response)
				}
			})
			r := attemptOnce(t, newTestTransport(t), connpool.Server{Addr: b.Addr().String()}, newForwardedRequest("id"))
			if r.stream != nil {
				if err := r.stream.copyTo(httptest.NewRecorder(), func() {}); err != nil {
					r.status, r.body = balance.StatusConnectionLost, nil // the client notices the error
				}
			}
			if r.status != tc.want || string(r.body) != tc.body {
				t.Errorf("status %v with %d bytes, want %v with %d", r.status, len(r.body), tc.want, len(tc.body))
			}
		})
	}
}

// A request whose connection is refused, or breaks before the last byte is written, cannot have run at the backend.
func TestRequestNotFullyWrittenIsNotDelivered(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	r := attemptOnce(t, newTestTransport(t), connpool.Server{Addr: addr}, newForwardedRequest("refused"))
	if r.status != balance.StatusNotDelivered {
		t.Errorf("refused connection: status %v, want not delivered", r.status)
	}

	// The socket buffers are far smaller than the body, and the backend resets the connection after a part of the body.
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
		resetConn(c)
	}()
	transport := newTestTransport(t)
	transport.pool.DialContext = dialWithControl(small)
	m := newForwardedRequest("partial")
	m.method, m.body = "POST", make([]byte, maxBodyBytes)
	r = attemptOnce(t, transport, connpool.Server{Addr: l.Addr().String()}, m)
	if r.status != balance.StatusNotDelivered {
		t.Errorf("connection broken before the last byte: status %v, want not delivered", r.status)
	}
}

// Cancelling an attempt closes its connection, so that a late response on the connection is not read.
func TestCancelledAttemptClosesItsConnection(t *testing.T) {
	arrived, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err == nil {
			arrived <- struct{}{}
			io.Copy(io.Discard, br)
			io.WriteString(c, okResponse("late"))
			ended <- struct{}{}
		}
	})
	transport, done := newTestTransport(t), make(chan attemptResult, 2)
	c := new(upstreamCall)
	to := connpool.Server{Addr: b.Addr().String()}
	transport.start(c, to, newForwardedRequest("id"), time.Now().Add(testTimeout), func(r attemptResult) { done <- r })
	receive(t, "the request at the backend", arrived)
	c.cancel()
	receive(t, "the end of the connection", ended)
	if r := receive(t, "the result of the attempt", done); r.status != balance.StatusCancelled {
		t.Errorf("status %v, want cancelled", r.status)
	}
	if open, _ := transport.pool.Size(); open != 0 {
		t.Errorf("%d connections are still open", open)
	}
}

// An attempt that fails because this machine is short of resources is not a failure of the backend. An attempt that
// fails because the network is unreachable is a failure of the backend.
func TestLocalResourceShortageIsNotABackendFailure(t *testing.T) {
	b := newEchoBackend(t)
	for errno, want := range map[syscall.Errno]balance.Status{
		syscall.EADDRNOTAVAIL: balance.StatusNotSent,
		syscall.ENFILE:        balance.StatusNotSent,
		syscall.EMFILE:        balance.StatusNotSent,
		syscall.ENOBUFS:       balance.StatusNotSent,
		syscall.ENETUNREACH:   balance.StatusNotDelivered,
		syscall.EHOSTUNREACH:  balance.StatusNotDelivered,
		syscall.ETIMEDOUT:     balance.StatusNotDelivered,
	} {
		transport := newTestTransport(t)
		transport.pool.DialContext = dialWithControl(func(string, string, syscall.RawConn) error {
			return os.NewSyscallError("connect", errno)
		})
		r := attemptOnce(t, transport, connpool.Server{Addr: b.Addr().String()}, newForwardedRequest("id"))
		if r.status != want {
			t.Errorf("%v: status %v, want %v", errno, r.status, want)
		}
	}
}
