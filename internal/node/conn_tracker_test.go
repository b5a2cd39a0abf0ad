package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"hitchvale/internal/httpframing"
	"hitchvale/internal/monotime"
)

// However many connections are idle or within a head, requests on new ones are served, and so are those of clients
// that use theirs.
func TestIdleClientsDoNotLockOutOthers(t *testing.T) {
	list := listText(1, true, listed{id: "s-a", addr: newEchoBackend(t).Addr().String(), phase: "ready"})
	cfg := testConfig(t, newRegistry(t, list).addr, list)
	cfg.Admin, cfg.StateDir, cfg.Limits.Sockets = "127.0.0.1:0", t.TempDir(), 128
	n := start(t, cfg)
	dial := func(text string) { n.dialed(t, text) }
	reused := &http.Transport{}
	defer reused.CloseIdleConnections()
	for i := range 8 * n.maxClientConns {
		text := ""
		if i%2 == 0 {
			text = "POST /x HTTP/1.1\r\nHost: x\r\nX-Tra"
		}
		dial(text)
		if i%16 != 0 {
			continue
		}
		for name, tr := range map[string]*http.Transport{"new": {DisableKeepAlives: true}, "kept": reused} {
			resp, err := tr.RoundTrip(ask(t, n.url+"/x", "read"))
			if err != nil {
				t.Fatalf("connection %d, a %s one: %v", i, name, err)
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				t.Errorf("connection %d, a %s one: %d", i, name, resp.StatusCode)
			}
		}
	}
	if got := n.listener.openConns(); got > n.maxClientConns {
		t.Errorf("%d connections, %d allowed", got, n.maxClientConns)
	}
}

// The connection that has kept the node waiting longest is evicted first, and the wait of one within a head counts a
// quarter.
func TestSlowestClientIsEvictedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newClientServer(newEventLoop(nil, nil, newCounters(nil), quiet()), oneClassSettings(), 64, quiet())
		f.streaming = true
		conn := func() *limitedConn {
			client := newClientConn(nil, time.Now())
			c := &limitedConn{Conn: client, client: client}
			f.conns.track(c, http.StateNew)
			return c
		}
		received := func(c *limitedConn) { c.client.lastByteAt.Store(monotime.Now()) }
		expect := func(what string, want *limitedConn) {
			t.Helper()
			if got := f.conns.slowest(); got != net.Conn(want) {
				t.Errorf("%s is not evicted first", what)
			}
		}
		partial := conn()
		received(partial)
		time.Sleep(time.Second)
		unused := conn()
		time.Sleep(time.Second)
		expect("the silent one", unused)
		time.Sleep(time.Second)
		f.conns.track(unused, http.StateActive)
		expect("the one with half a head", partial)
		idle := conn()
		f.conns.track(idle, http.StateActive)
		f.conns.track(idle, http.StateIdle)
		time.Sleep(2 * time.Second)
		expect("the idle one", idle)
		f.conns.track(idle, http.StateClosed)
		received(partial)
		f.conns.track(partial, http.StateActive)
		if got := f.conns.slowest(); got != nil {
			t.Error("one that waits for its response is evicted")
		}
	})
}

// A head may take two seconds to come; TestMalformedClientsGetAnErrorInTime has those that take longer.
func TestSlowHeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startInMemoryListener(t).dial()
		defer c.Close()
		head := "GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n"
		sent := make(chan struct{})
		go func() { drip(c, head, 2*time.Second/time.Duration(len(head))); close(sent) }()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("%+v, %v", resp, err)
		}
		<-sent
	})
}

// A request that crosses the close of its idle connection is not served, since its client sends it again; one that has
// been read is served, and its connection is not closed under it.
func TestCrossingRequestIsServedOnceOrNotAtAll(t *testing.T) {
	const text = "GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n"
	enders := map[string]func(f *clientServer){
		"ended as idle":     func(f *clientServer) { f.conns.closeIdle(0, closedDraining) },
		"evicted":           func(f *clientServer) { f.conns.evictSlowest() },
		"the server's end":  nil,
		"ended in the read": func(f *clientServer) { f.conns.closeIdle(0, closedDraining) },
	}
	for name, end := range enders {
		synctest.Test(t, func(t *testing.T) {
			f := newClientServer(newEventLoop(nil, nil, newCounters(nil), quiet()), oneClassSettings(), 64, quiet())
			client, server := net.Pipe()
			defer client.Close()
			duringRead := func() {}
			conn := newClientConn(lateConn{server, &duringRead}, time.Now())
			limited := &limitedConn{Conn: conn, client: conn, release: func() {}}
			f.conns.track(limited, http.StateNew)
			f.conns.track(limited, http.StateActive)
			f.conns.track(limited, http.StateIdle)
			go io.WriteString(client, text)
			if name == "ended in the read" {
				duringRead = func() { end(f) } // the bytes have left the kernel, and the read has not returned
			}
			hr, err := http.ReadRequest(bufio.NewReader(conn))
			if name == "ended in the read" {
				if err == nil {
					t.Errorf("%s: what crossed the close was read", name)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if end != nil {
				end(f) // the HTTP server has it, and has not said so
			} else {
				limited.Close()
			}
			f.conns.track(limited, http.StateActive)
			w := httptest.NewRecorder()
			defer func() {
				dropped := recover() == http.ErrAbortHandler
				served := w.Code == http.StatusOK && !conn.isClosedOrRejected()
				if dropped != (end == nil) || !dropped && !served {
					t.Errorf("%s: dropped %v, answered %d, closed %v", name, dropped, w.Code, conn.isClosedOrRejected())
				}
			}()
			f.loop.ready.Store(true)
			f.ServeHTTP(w, hr.WithContext(withClientConn(t.Context(), limited)))
		})
	}
}

// A drain ends only when the requests in flight have their responses; connections without a request are closed for
// good.
func TestDrainWaitsForRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newClientServer(newEventLoop(nil, nil, newCounters(nil), quiet()), oneClassSettings(), 64, quiet())
		conn := func() *limitedConn {
			client, server := net.Pipe()
			t.Cleanup(func() { client.Close() })
			tracked := newClientConn(server, time.Now())
			c := &limitedConn{Conn: tracked, client: tracked, release: func() {}}
			f.conns.track(c, http.StateNew)
			return c
		}
		served, idle := conn(), conn()
		served.client.addHead(httpframing.Head{})
		served.client.takeHead()
		done := make(chan struct{})
		f.inFlight.Add(1)
		f.shutdown.start()
		go func() { f.drain(t.Context()); close(done) }()
		time.Sleep(time.Until(f.shutdown.earliestKill().Add(time.Second).Time()))
		synctest.Wait()
		closed := func(c *limitedConn) bool { return c.client.isClosedOrRejected() }
		if closed(served) || !closed(idle) {
			t.Errorf("ended: the one being served %v, the other %v", closed(served), closed(idle))
		}
		select {
		case <-done:
			t.Error("finished under a request")
		default:
		}
		f.inFlight.Add(-1)
		f.conns.track(served, http.StateActive)
		f.conns.track(served, http.StateIdle)
		<-done
		if idle.client.takeHead(); idle.client.message == messageServing {
			t.Error("what was read after the end is served")
		}
	})
}

// lateConn calls a function between a read and its return.
type lateConn struct {
	net.Conn
	duringRead *func()
}

func (c lateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	(*c.duringRead)()
	return n, err
}
