package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// encodedReadRequest returns the text of a request of the class "read".
func encodedReadRequest(id string) string {
	return "GET /api/" + id + " HTTP/1.1\r\nHost: x\r\n" +
		"X-Trace-Id: " + id + "\r\nX-Qos: read\r\nX-Customer: acme\r\n\r\n"
}

// newHangingBackend starts a backend that answers all requests except those with the id "hangs". It sends the id of
// each request on arrived, and "hangs" on ended for each hanging request whose connection the node closes.
func newHangingBackend(t *testing.T) (addr string, arrived, ended chan string) {
	arrived, ended = make(chan string, 1<<10), make(chan string, 1<<10)
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			id := r.Header.Get("X-Trace-Id")
			arrived <- id
			if id == "hangs" {
				br.ReadByte()
				ended <- id
				return
			}
			io.WriteString(c, okResponse(id))
		}
	})
	return b.Addr().String(), arrived, ended
}

// dialAndSend opens a connection to the node, sends text on it and returns it. It is closed when the test ends.
func (s *testNode) dialAndSend(t *testing.T, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	io.WriteString(c, text)
	return c
}

// expectNoOtherRequest waits until all clients are disconnected, sends one more request, and checks that no other
// request reaches a backend. A node that still forwarded a request of a disconnected client would do so before.
func (s *testNode) expectNoOtherRequest(t *testing.T, arrived chan string) {
	t.Helper()
	eventually(t, "the end of all connections", func() bool { return s.server.conns.open() == 0 })
	last := newClientRequest(t, s.url+"/api/last", "read", func(r *http.Request) { r.Header.Set("X-Trace-Id", "last") })
	if _, body := roundTrip(t, last); body != "last" {
		t.Errorf("the last request got the body %q, want \"last\"", body)
	}
	for id := receive(t, "the last request", arrived); id != "last"; id = receive(t, "the last request", arrived) {
		t.Errorf("request %q reached a backend, want only the last request there", id)
	}
}

// Nothing is forwarded for a client that disconnected before the node read its request.
func TestDisconnectWhileInBacklog(t *testing.T) {
	for name, disconnect := range map[string]func(net.Conn){"close": func(c net.Conn) { c.Close() }, "reset": resetConn} {
		for _, pipelined := range []int{0, 1, 3} {
			t.Run(fmt.Sprintf("%s,pipelined=%d", name, pipelined), func(t *testing.T) {
				addr, arrived, _ := newHangingBackend(t)
				text := formatList(1, true, listEntry{"s", addr, "ready", 0})
				created, err := New(testConfig(t, newDiscoveryService(t, text).addr, text), nopLog())
				if err != nil {
					t.Fatal(err)
				}
				for i := range 8 { // the node does not accept connections yet
					c, err := net.Dial("tcp", created.Addr().String())
					if err != nil {
						t.Fatal(err)
					}
					io.WriteString(c, strings.Repeat(encodedReadRequest(fmt.Sprintf("disconnected-%d", i)), 1+pipelined))
					disconnect(c)
				}
				n := runNode(t, created)
				eventually(t, "readiness", n.loop.ready.Load)
				n.expectNoOtherRequest(t, arrived)
			})
		}
	}
}

// The node notices the disconnect of a client that has sent more bytes after its request. It cancels the request, and
// does not start a request from the bytes after it.
func TestDisconnectAfterPipelinedBytes(t *testing.T) {
	for name, pipelined := range map[string]string{
		"nothing":         "",
		"a byte":          "G",
		"a request":       encodedReadRequest("pipelined"),
		"many requests":   strings.Repeat(encodedReadRequest("pipelined"), 200),
		"malformed bytes": strings.Repeat("x", 4000),
	} {
		t.Run(name, func(t *testing.T) {
			addr, arrived, ended := newHangingBackend(t)
			n := startNodeWith(t, addr)
			c := n.dialAndSend(t, encodedReadRequest("hangs")+pipelined)
			receive(t, "the attempt", arrived)
			c.Close()
			receive(t, "the end of the attempt", ended)
			n.expectNoOtherRequest(t, arrived)
		})
	}
}

// The node closes the connection of a client that sends endlessly after a request, so that the client occupies a
// bounded amount of memory.
func TestEndlessPipelinedBytesCloseTheConnection(t *testing.T) {
	addr, arrived, ended := newHangingBackend(t)
	n := startNodeWith(t, addr)
	c := n.dialAndSend(t, encodedReadRequest("hangs"))
	receive(t, "the attempt", arrived)
	go io.Copy(c, strings.NewReader(strings.Repeat(encodedReadRequest("pipelined"), 1<<15)))
	receive(t, "the end of the attempt", ended)
	n.expectNoOtherRequest(t, arrived)
}

// The node sends no request to a backend for a client that disconnects while the backend is being dialed.
func TestDisconnectDuringDial(t *testing.T) {
	addr, arrived, _ := newHangingBackend(t)
	n := startNodeWith(t, addr)
	dialing, continueDial := make(chan struct{}, 8), make(chan struct{})
	n.pool.DialContext = dialWithControl(func(string, string, syscall.RawConn) error {
		dialing <- struct{}{}
		<-continueDial
		return nil
	})
	c := n.dialAndSend(t, encodedReadRequest("disconnected"))
	receive(t, "the dial", dialing)
	c.Close()
	eventually(t, "the end of the request", func() bool { return n.server.inFlight.Load() == 0 && n.openRequests(t) == 0 })
	close(continueDial)
	n.expectNoOtherRequest(t, arrived)
}

// A client that has sent more bytes after its request gets the complete response from a node that shuts down. Closing a
// connection that has unread bytes would reset it, and the client would lose the response.
func TestShutdownSendsCompleteResponseDespiteUnreadBytes(t *testing.T) {
	const size = 60 << 10
	release, arrived := make(chan struct{}), make(chan struct{}, 1)
	b := newRawBackend(t, "127.0.0.1:0", respondWith(func(*http.Request) string {
		arrived <- struct{}{}
		<-release
		return okResponse(strings.Repeat("x", size))
	}))
	n := startNodeWith(t, b.Addr().String())
	c := n.dialAndSend(t, encodedReadRequest("one")+strings.Repeat("y", 40<<10))
	c.(*net.TCPConn).SetReadBuffer(4 << 10) // so that most of the response is still at the node when it closes
	receive(t, "the attempt", arrived)
	n.server.shutdown.start()
	close(release)
	eventually(t, "the node's close", func() bool { return n.server.conns.open() == 0 })
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); len(body) != size || err != nil {
		t.Errorf("got %d bytes of the response, error %v, want %d bytes", len(body), err, size)
	}
}

// A request whose head is incomplete at SIGTERM is served, on a new connection and on a reused one. Idle connections
// are closed, and unused connections do not delay the exit.
func TestIncompleteHeadsAtShutdown(t *testing.T) {
	const text = "GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n"
	synctest.Test(t, func(t *testing.T) {
		l, server := startInMemoryServer(t)
		send := func(c net.Conn, text string) { go io.WriteString(c, text) }
		answered := func(c net.Conn) error {
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil && resp.StatusCode != http.StatusOK {
				err = fmt.Errorf("status %d", resp.StatusCode)
			}
			return err
		}
		partial, reused, idle, unused := l.dial(), l.dial(), l.dial(), l.dial()
		defer unused.Close()
		send(partial, text[:20])
		for _, c := range []net.Conn{reused, idle} {
			send(c, text)
			if err := answered(c); err != nil {
				t.Fatal(err)
			}
		}
		send(reused, text[:20])
		synctest.Wait()
		server.shutdown.longestDeadline = maxDeadlineInGrace
		server.shutdown.start()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		drained := make(chan struct{})
		go func() { server.drain(ctx); close(drained) }()
		if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("read from the idle connection: %v, want EOF", err)
		}
		time.Sleep(2 * time.Second)
		for name, c := range map[string]net.Conn{"on a new connection": partial, "on a reused connection": reused} {
			send(c, text[20:])
			if err := answered(c); err != nil {
				t.Errorf("incomplete head %s: %v", name, err)
			}
		}
		<-drained
		if ctx.Err() != nil {
			t.Error("the unused connection delayed the exit")
		}
	})
}

// A request with an idempotency key that may have run is retried only within the key's window and the request's
// deadline, even if the dial takes longer.
func TestRetriesStayWithinTheKeyWindow(t *testing.T) {
	const shortWindow = 200 * time.Millisecond
	for name, tc := range map[string]struct {
		window       time.Duration
		expiresIn    string
		dialTime     time.Duration // how long the second dial takes; 0: until the response
		wantStatus   int
		wantRequests int // how often the request reaches a backend
	}{
		"inside":   {time.Minute, "9.5", 1, http.StatusOK, 2},
		"outside":  {shortWindow, "9.5", shortWindow, http.StatusBadGateway, 1},
		"deadline": {time.Minute, "0.2", 0, http.StatusServiceUnavailable, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var arrived, dials atomic.Int64
			serve := func(c net.Conn, br *bufio.Reader) {
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					if r.Header.Get("X-Trace-Id") == "repeat" && arrived.Add(1) == 1 {
						resetConn(c)
						return
					}
					io.WriteString(c, okResponse(""))
				}
			}
			text := formatList(1, true, listEntry{"s-0", newRawBackend(t, "127.0.0.1:0", serve).Addr().String(), "ready", 0},
				listEntry{"s-1", newRawBackend(t, "127.0.0.1:0", serve).Addr().String(), "ready", 0})
			windowSetting := fmt.Sprintf(`"window":%d`, tc.window)
			n := startNode(t, testConfig(t, newDiscoveryService(t, text).addr, text, `"window":5000000000`, windowSetting))
			for range 15 { // so that the node has a retry budget
				roundTrip(t, newClientRequest(t, n.url+"/api/x", "read"))
			}
			n.pool.CloseAllIdle()
			dialing, continueDial := make(chan struct{}), make(chan struct{})
			n.pool.DialContext = dialWithControl(func(string, string, syscall.RawConn) error {
				if dials.Add(1) == 2 {
					close(dialing)
					<-continueDial
				}
				return nil
			})
			answered := make(chan int, 1)
			go func() {
				resp, _ := roundTrip(t, newClientRequest(t, n.url+"/api/x", "token", func(r *http.Request) {
					r.Header.Set("X-Trace-Id", "repeat")
					r.Header.Set("X-Expires-In", tc.expiresIn)
				}))
				answered <- resp.StatusCode
			}()
			receive(t, "the second dial", dialing)
			time.Sleep(tc.dialTime)
			if tc.dialTime > 0 {
				close(continueDial)
			}
			got := receive(t, "the response", answered)
			if tc.dialTime == 0 {
				close(continueDial)
			}
			eventually(t, "the end of the attempts", func() bool { return n.openRequests(t) == 0 })
			if requests := int(arrived.Load()); got != tc.wantStatus || requests != tc.wantRequests {
				t.Errorf("status %d, want %d; the request reached a backend %d times, want %d",
					got, tc.wantStatus, requests, tc.wantRequests)
			}
		})
	}
}
