package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/connpool"
)

// Each attempt is written to one connection only once. http.Transport would send these requests again when the reused
// connection breaks, because they are GET requests with an Idempotency-Key.
func TestBrokenReusedConnectionIsNotRetried(t *testing.T) {
	arrived := make(chan string, 8)
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		for i := 0; ; i++ {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			arrived <- r.Header.Get("X-Trace-Id")
			if i > 0 {
				resetConn(c) // the second request on a connection breaks it
				return
			}
			io.WriteString(c, okResponse("x"))
		}
	})
	transport, to := newTestTransport(t), connpool.Server{Addr: b.Addr().String()}
	r := attemptOnce(t, transport, to, newForwardedRequest("first"))
	if r.status != balance.StatusSucceeded || string(r.body) != "x" {
		t.Fatalf("first attempt: got status %v, body %q, want succeeded with \"x\"", r.status, r.body)
	}
	if r := attemptOnce(t, transport, to, newForwardedRequest("second")); r.status != balance.StatusConnectionLost {
		t.Errorf("second attempt: status %v, want connection lost, because the request may have run", r.status)
	}
	if n := b.accepted.Load(); n != 1 || len(arrived) != 2 {
		t.Errorf("the backend got %d connections and %d requests, want 1 and 2", n, len(arrived))
	}
}

// Idle connections to a backend that has restarted at the same address look open. No request is lost on such a
// connection.
func TestRestartedBackendLeavesNoDeadConnections(t *testing.T) {
	serve := respondWith(func(r *http.Request) string { return okResponse(r.Header.Get("X-Trace-Id")) })
	conns := make(chan net.Conn, 8)
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) { conns <- c; serve(c, br) })
	addr := b.Addr().String()
	transport, to := newTestTransport(t), connpool.Server{Addr: addr}
	if r := attemptOnce(t, transport, to, newForwardedRequest("old")); r.status != balance.StatusSucceeded {
		t.Fatalf("before the restart: status %v, want succeeded", r.status)
	}
	b.Close()
	resetConn(receive(t, "the old connection", conns))
	newRawBackend(t, addr, serve)
	r := attemptOnce(t, transport, to, newForwardedRequest("new"))
	if r.status != balance.StatusSucceeded || string(r.body) != "new" {
		t.Errorf("after the restart: status %v, body %q, want succeeded with \"new\"", r.status, r.body)
	}
}

// A connection with surplus bytes is not reused, because these bytes would be read as the response to the next request.
func TestSurplusBytesAreNotReadAsAResponse(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", respondWith(func(r *http.Request) string {
		return okResponse(r.Header.Get("X-Trace-Id")) + okResponse("surplus")
	}))
	transport, to := newTestTransport(t), connpool.Server{Addr: b.Addr().String()}
	for _, id := range []string{"one", "two"} {
		r := attemptOnce(t, transport, to, newForwardedRequest(id))
		if r.status != balance.StatusSucceeded || string(r.body) != id {
			t.Errorf("%s: status %v, body %q", id, r.status, r.body)
		}
	}
}

// A second response that arrives a little later is not read as the response to the next request either. After a backend
// has sent more than one response to a request, each connection is quarantined before it carries another request.
func TestLateSecondResponseIsDiscarded(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		first, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		io.WriteString(c, okResponse(first.Header.Get("X-Trace-Id")))
		c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		br.Peek(1) // waits until the next request arrives, or 20 ms
		io.WriteString(c, okResponse(first.Header.Get("X-Trace-Id")))
		c.SetReadDeadline(time.Time{})
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			io.WriteString(c, okResponse(r.Header.Get("X-Trace-Id")))
		}
	})
	transport := newTestTransportOn(t, connpool.New(connpool.Config{
		MaxOpen:    16,
		Quarantine: time.Second,
		Inspect:    inspectSocket,
	}))
	transport.pool.StartQuarantine()
	to := connpool.Server{Addr: b.Addr().String()}
	for _, id := range []string{"one", "two"} {
		r := attemptOnce(t, transport, to, newForwardedRequest(id))
		if r.status != balance.StatusSucceeded || string(r.body) != id {
			t.Errorf("%s: status %v, body %q", id, r.status, r.body)
		}
	}
}

// Surplus bytes start the quarantine, whether they arrive with the response or while the connection is idle.
func TestSurplusBytesStartQuarantine(t *testing.T) {
	for name, late := range map[string]bool{"with the response": false, "while idle": true} {
		wrote := make(chan struct{}, 1)
		b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			if late {
				io.WriteString(c, okResponse(""))
				io.WriteString(c, "x")
			} else {
				io.WriteString(c, okResponse("")+"x")
			}
			wrote <- struct{}{}
			br.ReadByte()
		})
		transport, to := newTestTransport(t), connpool.Server{Addr: b.Addr().String()}
		if transport.pool.Quarantine() != 0 {
			t.Error("the quarantine starts before any surplus bytes")
		}
		attemptOnce(t, transport, to, newForwardedRequest("one"))
		<-wrote
		eventually(t, name+": quarantine", func() bool {
			attemptOnce(t, transport, to, newForwardedRequest("another"))
			return transport.pool.Quarantine() == connpool.QuarantineTime
		})
	}
}

// The pool has at most MaxOpen connections, and closes an idle connection to make room for a new one.
func TestPoolIsBounded(t *testing.T) {
	serve := respondWith(func(*http.Request) string { return okResponse("x") })
	a, b := newRawBackend(t, "127.0.0.1:0", serve), newRawBackend(t, "127.0.0.1:0", serve)
	transport := newTestTransport(t)
	transport.pool.SetMaxOpen(1)
	for _, l := range []*rawBackend{a, b} {
		r := attemptOnce(t, transport, connpool.Server{Addr: l.Addr().String()}, newForwardedRequest("id"))
		if r.status != balance.StatusSucceeded {
			t.Errorf("status %v, want succeeded", r.status)
		}
	}
	c, err := transport.pool.Acquire(context.Background(), connpool.Server{Addr: b.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	r := attemptOnce(t, transport, connpool.Server{Addr: a.Addr().String()}, newForwardedRequest("id"))
	if r.status != balance.StatusNotSent {
		t.Errorf("without room for a connection: status %v, want not sent", r.status)
	}
	transport.pool.Discard(c)
}
