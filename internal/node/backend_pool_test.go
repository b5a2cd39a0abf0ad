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

// Each attempt is written to one connection, once. http.Transport would send these again by itself when the reused
// connection breaks, as they are GETs with an Idempotency-Key.
func TestBrokenReusedConnectionIsNotRetried(t *testing.T) {
	seen := make(chan string, 8)
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		for i := 0; ; i++ {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			seen <- r.Header.Get("X-Trace-Id")
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
		t.Fatalf("the first: %v", r)
	}
	if r := attemptOnce(t, transport, to, newForwardedRequest("second")); r.status != balance.StatusConnectionLost {
		t.Errorf("the second: status %v, want connection lost: it may have run", r.status)
	}
	if n := b.accepted.Load(); n != 1 || len(seen) != 2 {
		t.Errorf("%d connections, %d requests", n, len(seen))
	}
}

// A backend restarted under its address leaves connections that look open here. No request is lost on one.
func TestRestartedBackendLeavesNoDeadConnections(t *testing.T) {
	serve := respondWith(func(r *http.Request) string { return okResponse(r.Header.Get("X-Trace-Id")) })
	conns := make(chan net.Conn, 8)
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) { conns <- c; serve(c, br) })
	addr := b.Addr().String()
	transport, to := newTestTransport(t), connpool.Server{Addr: addr}
	if r := attemptOnce(t, transport, to, newForwardedRequest("old")); r.status != balance.StatusSucceeded {
		t.Fatalf("%v", r.status)
	}
	b.Close()
	resetConn(receive(t, "the old connection", conns))
	newRawBackend(t, addr, serve)
	r := attemptOnce(t, transport, to, newForwardedRequest("new"))
	if r.status != balance.StatusSucceeded || string(r.body) != "new" {
		t.Errorf("after the restart: %v %q", r.status, r.body)
	}
}

// A connection is not reused after surplus bytes: they would be read as the response to the next request.
func TestSurplusBytesAreNotReadAsAResponse(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", respondWith(func(r *http.Request) string {
		return okResponse(r.Header.Get("X-Trace-Id")) + okResponse("surplus")
	}))
	transport, to := newTestTransport(t), connpool.Server{Addr: b.Addr().String()}
	for _, id := range []string{"one", "two"} {
		r := attemptOnce(t, transport, to, newForwardedRequest(id))
		if r.status != balance.StatusSucceeded || string(r.body) != id {
			t.Errorf("%s: %v %q", id, r.status, r.body)
		}
	}
}

// A second response that comes a moment late reaches nobody either: once a backend has sent more than a response,
// with it or while the connection was idle, connections are quarantined before they carry another request.
func TestLateSecondResponseIsDiscarded(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		first, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		io.WriteString(c, okResponse(first.Header.Get("X-Trace-Id")))
		c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		br.Peek(1) // the next request may come first
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
			t.Errorf("%s: status %v, answer %q", id, r.status, r.body)
		}
	}
}

func TestSurplusStartsQuarantine(t *testing.T) {
	for name, late := range map[string]bool{"with the answer": false, "while idle": true} {
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
			t.Error("quarantine from the start")
		}
		attemptOnce(t, transport, to, newForwardedRequest("one"))
		<-wrote
		eventually(t, name+": quarantine", func() bool {
			attemptOnce(t, transport, to, newForwardedRequest("another"))
			return transport.pool.Quarantine() == connpool.QuarantineTime
		})
	}
}

// The pool has at most MaxOpen connections, and closes an idle one for a new one.
func TestPoolIsBounded(t *testing.T) {
	serve := respondWith(func(*http.Request) string { return okResponse("x") })
	a, b := newRawBackend(t, "127.0.0.1:0", serve), newRawBackend(t, "127.0.0.1:0", serve)
	transport := newTestTransport(t)
	transport.pool.SetMaxOpen(1)
	for _, l := range []*rawBackend{a, b} {
		r := attemptOnce(t, transport, connpool.Server{Addr: l.Addr().String()}, newForwardedRequest("id"))
		if r.status != balance.StatusSucceeded {
			t.Errorf("%v", r.status)
		}
	}
	c, err := transport.pool.Acquire(context.Background(), connpool.Server{Addr: b.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	r := attemptOnce(t, transport, connpool.Server{Addr: a.Addr().String()}, newForwardedRequest("id"))
	if r.status != balance.StatusNotSent {
		t.Errorf("with no room: %v", r.status)
	}
	transport.pool.Discard(c)
}
