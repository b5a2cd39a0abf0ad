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

// reading returns a request of the class "read" as it is sent on a connection.
func reading(id string) string {
	return "GET /api/" + id + " HTTP/1.1\r\nHost: x\r\n" +
		"X-Trace-Id: " + id + "\r\nX-Qos: read\r\nX-Customer: acme\r\n\r\n"
}

// hanging starts a backend that answers all requests but those with the id "hangs". It reports which requests arrive,
// and which hanging ones are cancelled.
func hanging(t *testing.T) (addr string, came, ended chan string) {
	came, ended = make(chan string, 1<<10), make(chan string, 1<<10)
	b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			id := r.Header.Get("X-Trace-Id")
			came <- id
			if id == "hangs" {
				br.ReadByte()
				ended <- id
				return
			}
			io.WriteString(c, ok200(id))
		}
	})
	return b.Addr().String(), came, ended
}

// dialed returns a connection to the node on which text has been sent.
func (s *started) dialed(t *testing.T, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	io.WriteString(c, text)
	return c
}

// nothingElse checks that no request reaches the backends but those that are expected: what a node does for a client
// that has disconnected it does before it serves the next one.
func (s *started) nothingElse(t *testing.T, came chan string) {
	t.Helper()
	eventually(t, "an end of all connections", func() bool { return s.server.conns.open() == 0 })
	last := ask(t, s.url+"/api/last", "read", func(r *http.Request) { r.Header.Set("X-Trace-Id", "last") })
	if _, body := do(t, last); body != "last" {
		t.Errorf("the last one got %q", body)
	}
	for id := receive(t, "the last one", came); id != "last"; id = receive(t, "the last one", came) {
		t.Errorf("%q reached a backend", id)
	}
}

// Nothing is forwarded for a client that disconnected before the node read its request.
func TestDisconnectInTheBacklog(t *testing.T) {
	for name, leave := range map[string]func(net.Conn){"closes": func(c net.Conn) { c.Close() }, "resets": reset} {
		for _, more := range []int{0, 1, 3} {
			t.Run(fmt.Sprintf("%s,more=%d", name, more), func(t *testing.T) {
				addr, came, _ := hanging(t)
				text := listText(1, true, listed{"s", addr, "ready", 0})
				made, err := New(testConfig(t, newRegistry(t, text).addr, text), quiet())
				if err != nil {
					t.Fatal(err)
				}
				for i := range 8 { // nothing is accepted yet
					c, err := net.Dial("tcp", made.Addr().String())
					if err != nil {
						t.Fatal(err)
					}
					io.WriteString(c, strings.Repeat(reading(fmt.Sprintf("left-%d", i)), 1+more))
					leave(c)
				}
				n := running(t, made)
				eventually(t, "readiness", n.loop.ready.Load)
				n.nothingElse(t, came)
			})
		}
	}
}

// The disconnect of a client that has sent more behind its request is noticed: its request is cancelled, and what came
// behind is not started.
func TestDisconnectBehindPipelinedBytes(t *testing.T) {
	for name, behind := range map[string]string{
		"nothing":   "",
		"a byte":    "G",
		"a request": reading("behind"),
		"many":      strings.Repeat(reading("behind"), 200),
		"noise":     strings.Repeat("x", 4000),
	} {
		t.Run(name, func(t *testing.T) {
			addr, came, ended := hanging(t)
			n := startOn(t, addr)
			c := n.dialed(t, reading("hangs")+behind)
			receive(t, "the attempt", came)
			c.Close()
			receive(t, "the end of the attempt", ended)
			n.nothingElse(t, came)
		})
	}
}

// The connection of a client that sends without end behind a request is closed, and takes a bounded amount of memory.
func TestFloodBehindARequestIsEnded(t *testing.T) {
	addr, came, ended := hanging(t)
	n := startOn(t, addr)
	c := n.dialed(t, reading("hangs"))
	receive(t, "the attempt", came)
	go io.Copy(c, strings.NewReader(strings.Repeat(reading("behind"), 1<<15)))
	receive(t, "the end of the attempt", ended)
	n.nothingElse(t, came)
}

// Nothing is written for a client that disconnects while the connection to the backend is being dialed.
func TestDisconnectDuringADial(t *testing.T) {
	addr, came, _ := hanging(t)
	n := startOn(t, addr)
	dialing, dial := make(chan struct{}, 8), make(chan struct{})
	n.pool.DialContext = dialWithControl(func(string, string, syscall.RawConn) error {
		dialing <- struct{}{}
		<-dial
		return nil
	})
	c := n.dialed(t, reading("left"))
	receive(t, "a dial", dialing)
	c.Close()
	eventually(t, "the node to know", func() bool { return n.server.inFlight.Load() == 0 && n.open(t) == 0 })
	close(dial)
	n.nothingElse(t, came)
}

// A client that sent more behind its request gets its complete response from a node that shuts down: a close over
// unread bytes would reset the connection, and lose the response.
func TestResponseOutlivesTheCloseOverUnreadBytes(t *testing.T) {
	const size = 60 << 10
	hold, held := make(chan struct{}), make(chan struct{}, 1)
	b := newRawBackend(t, "127.0.0.1:0", answering(func(*http.Request) string {
		held <- struct{}{}
		<-hold
		return ok200(strings.Repeat("x", size))
	}))
	n := startOn(t, b.Addr().String())
	c := n.dialed(t, reading("one")+strings.Repeat("y", 40<<10))
	c.(*net.TCPConn).SetReadBuffer(4 << 10) // so that most of the answer waits at the node when it closes
	receive(t, "the attempt", held)
	n.server.shutdown.start()
	close(hold)
	eventually(t, "the node's close", func() bool { return n.server.conns.open() == 0 })
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); len(body) != size || err != nil {
		t.Errorf("%d bytes, %v", len(body), err)
	}
}

// A request that has begun to come in at SIGTERM is served, on a new connection and on one in use; idle connections
// are closed, and unused ones don't delay the exit.
func TestIncompleteHeadsAtShutdown(t *testing.T) {
	const text = "GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n"
	synctest.Test(t, func(t *testing.T) {
		l, f := startInMemoryServer(t)
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
		f.shutdown.longestDeadline = maxDeadlineInGrace
		f.shutdown.start()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		drained := make(chan struct{})
		go func() { f.drain(ctx); close(drained) }()
		if _, err := idle.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("the idle one: %v", err)
		}
		time.Sleep(2 * time.Second)
		for name, c := range map[string]net.Conn{"on a new connection": partial, "on one in use": reused} {
			send(c, text[20:])
			if err := answered(c); err != nil {
				t.Errorf("half a head %s: %v", name, err)
			}
		}
		<-drained
		if ctx.Err() != nil {
			t.Error("the unused one delayed the exit")
		}
	})
}

// A request with an idempotency key that may have run is retried only within the key's window and the request's
// deadline, however long the dial takes.
func TestRetriesStayWithinTheKeyWindow(t *testing.T) {
	const shortWindow = 200 * time.Millisecond
	for name, tc := range map[string]struct {
		window  time.Duration
		expires string
		hold    time.Duration // how long the second connection takes; 0: until the answer
		status  int
		again   int
	}{
		"inside":   {time.Minute, "9.5", 1, http.StatusOK, 2},
		"outside":  {shortWindow, "9.5", shortWindow, http.StatusBadGateway, 1},
		"deadline": {time.Minute, "0.2", 0, http.StatusServiceUnavailable, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var came, dials atomic.Int64
			serve := func(c net.Conn, br *bufio.Reader) {
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					if r.Header.Get("X-Trace-Id") == "repeat" && came.Add(1) == 1 {
						reset(c)
						return
					}
					io.WriteString(c, ok200(""))
				}
			}
			text := listText(1, true, listed{"s-0", newRawBackend(t, "127.0.0.1:0", serve).Addr().String(), "ready", 0},
				listed{"s-1", newRawBackend(t, "127.0.0.1:0", serve).Addr().String(), "ready", 0})
			windowSetting := fmt.Sprintf(`"window":%d`, tc.window)
			n := start(t, testConfig(t, newRegistry(t, text).addr, text, `"window":5000000000`, windowSetting))
			for range 15 { // so that the node may repeat any
				do(t, ask(t, n.url+"/api/x", "read"))
			}
			n.pool.CloseAllIdle()
			dialing, dial := make(chan struct{}), make(chan struct{})
			n.pool.DialContext = dialWithControl(func(string, string, syscall.RawConn) error {
				if dials.Add(1) == 2 {
					close(dialing)
					<-dial
				}
				return nil
			})
			answered := make(chan int, 1)
			go func() {
				resp, _ := do(t, ask(t, n.url+"/api/x", "token", func(r *http.Request) {
					r.Header.Set("X-Trace-Id", "repeat")
					r.Header.Set("X-Expires-In", tc.expires)
				}))
				answered <- resp.StatusCode
			}()
			receive(t, "a second dial", dialing)
			time.Sleep(tc.hold)
			if tc.hold > 0 {
				close(dial)
			}
			got := receive(t, "the answer", answered)
			if tc.hold == 0 {
				close(dial)
			}
			eventually(t, "an end of the attempts", func() bool { return n.open(t) == 0 })
			if again := int(came.Load()); got != tc.status || again != tc.again {
				t.Errorf("answered %d, at a backend %d times", got, again)
			}
		})
	}
}
