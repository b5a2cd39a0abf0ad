package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"hitchvale/balance"
)

// An endpoint list takes effect while idle clients hold every connection, after discovery was down, whether it is
// pushed or polled: a draining backend gets nothing more, and a new client is served by the new backend.
func TestIdleClientsFillANodeWhileDiscoveryIsDown(t *testing.T) {
	for _, mode := range []string{"push", "ask"} {
		t.Run(mode, func(t *testing.T) {
			old := newRawBackend(t, "127.0.0.1:0", answering(func(*http.Request) string { return ok200("old") }))
			fresh := newRawBackend(t, "127.0.0.1:0", answering(func(*http.Request) string { return ok200("fresh") }))
			before := listText(1, true, listed{"old", old.Addr().String(), "ready", 0})
			after := listText(2, false, listed{"old", old.Addr().String(), "draining", 0}, listed{"fresh", fresh.Addr().String(), "ready", 0})
			down, back := make(chan struct{}), make(chan struct{})
			over := func(c chan struct{}) bool {
				select {
				case <-c:
					return true
				default:
					return false
				}
			}
			disco := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					query := r.URL.RawQuery
					waits := query != "" && !strings.HasSuffix(query, "wait_ms=0")
					if !over(down) && waits {
						<-down // a watch that is open when it goes down
					}
					switch {
					case !over(down):
						io.WriteString(c, ok200(before))
					case !over(back):
						reset(c)
						return
					case query == "":
						io.WriteString(c, ok200(strings.Replace(after, `"complete":false`, `"complete":true`, 1)))
					case strings.HasPrefix(query, "after=2") && waits:
						br.ReadByte()
					default:
						io.WriteString(c, ok200(after))
					}
				}
			})
			cfg := testConfig(t, disco.Addr().String(), before, `"zones"`, `"membershipMode":"`+mode+`","zones"`)
			cfg.Limits.Sockets = leastSockets
			n := start(t, cfg)
			eventually(t, "readiness", n.loop.ready.Load)
			close(down)
			for i := range 4 * n.clients {
				text := ""
				if i%2 == 0 {
					text = "GET /api/x HTTP/1.1\r\nHost: x\r\nX-Tr"
				}
				n.dialed(t, text)
			}
			eventually(t, "a node full of idle clients", func() bool { return n.server.conns.open() >= n.clients*3/4 })
			close(back)
			eventually(t, "the drain", func() (heard bool) {
				n.onLoop(t, func() { heard = n.loop.backendsByID["old"].phase == balance.Draining })
				return heard
			})
			if resp, body := do(t, ask(t, n.url+"/api/x", "read")); resp.StatusCode != http.StatusOK || body != "fresh" {
				t.Errorf("a new client: %d %q", resp.StatusCode, body)
			}
			open, _ := n.pool.size()
			if held := n.listener.openConns(); held+open+otherSockets > cfg.Limits.Sockets {
				t.Errorf("%d connections of clients and %d to backends, of %d descriptors", held, open, cfg.Limits.Sockets)
			}
		})
	}
}

// A process whose discovery takes calls and answers none is ready on the list in its configuration: at once where
// lists are polled, and long before 10 s where they are pushed (firstListWithin).
func TestStartsReadyBesideASilentDiscovery(t *testing.T) {
	if firstListWithin > 5*time.Second {
		t.Errorf("a pushed list is waited for for %v", firstListWithin)
	}
	silent := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) { io.Copy(io.Discard, br) })
	known := listText(1, true, listed{"s", echo(t).Addr().String(), "ready", 0})
	n := start(t, testConfig(t, silent.Addr().String(), known, `"zones"`, `"membershipMode":"ask","zones"`))
	eventually(t, "readiness", n.loop.ready.Load)
	if resp, _ := do(t, ask(t, n.url+"/api/x", "read")); resp.StatusCode != http.StatusOK {
		t.Errorf("answered %d", resp.StatusCode)
	}
}

// A complete list removes the endpoints that it omits, even if they still answer: connections in progress are not
// used, and requests go to listed endpoints.
func TestCompleteListRemovesWhatItOmits(t *testing.T) {
	before := listText(1, true, listed{"old", echo(t).Addr().String(), "ready", 0})
	reg := newRegistry(t, before)
	n := start(t, testConfig(t, reg.addr, before))
	reg.next <- listText(2, true, listed{"new", echo(t).Addr().String(), "ready", 0})
	eventually(t, "the end of what is left out", func() (gone bool) {
		n.onLoop(t, func() {
			old, fresh := n.loop.backendsByID["old"], n.loop.backendsByID["new"]
			gone = fresh != nil && fresh.available() && !old.available() && old.phase == balance.Removed
		})
		return gone
	})
	if resp, _ := do(t, ask(t, n.url+"/api/x", "order")); resp.StatusCode != http.StatusOK {
		t.Errorf("answered %d", resp.StatusCode)
	}
}

// A draining backend finishes the requests that it has, whose responses are passed on complete; later requests go
// elsewhere.
func TestDrainFinishesWhatHangs(t *testing.T) {
	hold, held := make(chan struct{}), make(chan struct{}, 8)
	old := newRawBackend(t, "127.0.0.1:0", answering(func(*http.Request) string {
		held <- struct{}{}
		<-hold
		return ok200("old")
	}))
	before := listText(1, true, listed{"old", old.Addr().String(), "ready", 0})
	reg := newRegistry(t, before)
	n := start(t, testConfig(t, reg.addr, before))
	first := make(chan string, 1)
	go func() {
		_, body := do(t, ask(t, n.url+"/api/x", "order"))
		first <- body
	}()
	receive(t, "the request at the backend", held)
	reg.next <- listText(2, false, listed{"old", old.Addr().String(), "draining", 0}, listed{"new", echo(t).Addr().String(), "ready", 0})
	eventually(t, "the drain", func() (heard bool) {
		n.onLoop(t, func() { heard = n.loop.backendsByID["old"].phase == balance.Draining })
		return heard
	})
	if resp, body := do(t, ask(t, n.url+"/api/x", "order")); resp.StatusCode != http.StatusOK || body == "old" {
		t.Errorf("after the drain: %d %q", resp.StatusCode, body)
	}
	close(hold)
	if body := receive(t, "the answer that hung", first); body != "old" {
		t.Errorf("the one that hung got %q", body)
	}
}

// A response that breaks off, wherever it is cut, may have run and is no response to anybody; one that stops within a
// line holds its connection no longer than the attempt's timeout, and half a line on an idle connection is never read
// as a response.
func TestResponsesThatBreakOff(t *testing.T) {
	for name, text := range map[string]string{
		"half a line": "HTTP/1.1 20", "half a head": "HTTP/1.1 200 OK\r\nContent-Le", "no length": "HTTP/1.1 200 OK\r\n\r\nabc",
		"a length": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", "chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
	} {
		for how, want := range map[string]balance.Status{"reset": balance.StatusConnectionLost, "silence": balance.StatusTimedOut} {
			t.Run(name+","+how, func(t *testing.T) {
				ended := make(chan struct{}, 1)
				b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					io.WriteString(c, text)
					if how == "reset" {
						reset(c)
					}
					br.ReadByte()
					ended <- struct{}{}
				})
				x, to := newTestTransport(t), backendProcess{addr: b.Addr().String()}
				done := make(chan attemptResult, 1)
				x.start(new(upstreamCall), to, get("id"), time.Now().Add(300*time.Millisecond), func(r attemptResult) { done <- r })
				if r := receive(t, "the outcome", done); r.status != want || len(r.body) > 0 {
					t.Errorf("status %v with %q after %v", r.status, r.body, r.elapsed)
				}
				receive(t, "the end of the connection", ended)
				if open, _ := x.pool.size(); open != 0 {
					t.Errorf("%d connections held", open)
				}
			})
		}
	}
	t.Run("while idle", func(t *testing.T) {
		wrote := make(chan struct{})
		b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			io.WriteString(c, ok200(r.Header.Get("X-Trace-Id")))
			if r.Header.Get("X-Trace-Id") == "one" {
				io.WriteString(c, "HTTP/1.1 2")
				close(wrote)
			}
			br.ReadByte()
		})
		x, to := newTestTransport(t), backendProcess{addr: b.Addr().String()}
		for _, id := range []string{"one", "two"} {
			if r := attemptOnce(t, x, to, get(id)); r.status != balance.StatusSucceeded || string(r.body) != id {
				t.Errorf("%s: status %v, %q", id, r.status, r.body)
			}
			<-wrote
		}
	})
}

// A reset is no orderly end: a response of unknown length whose connection is reset is incomplete, in one exchange as
// well as for a client. The node is held up just before it reads on, until the backend has reset the connection.
func TestResetResponseOfUnknownLengthIsIncomplete(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(net.Conn)
		want balance.Status
	}{{"reset", reset, balance.StatusConnectionLost}, {"orderly end", func(c net.Conn) { c.Close() }, balance.StatusSucceeded}} {
		t.Run(tc.name, func(t *testing.T) {
			over := make(chan struct{})
			b := newRawBackend(t, "127.0.0.1:0", func(c net.Conn, br *bufio.Reader) {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nabc")
				<-over
				tc.end(c)
			})
			x, to := newTestTransport(t), backendProcess{addr: b.Addr().String()}
			nc, err := net.Dial("tcp", to.addr)
			if err != nil {
				t.Fatal(err)
			}
			held := &heldConn{TCPConn: nc.(*net.TCPConn), between: func() { close(over); awaitEnd(t, nc) }}
			cn := &backendConn{Conn: held, process: to}
			cn.limit.R, cn.reader = held, bufio.NewReader(&cn.limit)
			x.pool.reserveSlot()
			x.pool.release(cn)
			r := attemptOnce(t, x, to, get("id"))
			if r.stream != nil { // held for longer than the node waits: what comes next is passed on
				if err := r.stream.copyTo(httptest.NewRecorder(), func() {}); err != nil {
					r.status = balance.StatusConnectionLost
				}
			}
			if r.status != tc.want {
				t.Errorf("status %v with %q, want %v", r.status, r.body, tc.want)
			}
		})
	}
}

// heldConn calls between after the read that brought the first bytes of a response, and before the next read.
type heldConn struct {
	*net.TCPConn
	between func()
	reads   int
}

func (c *heldConn) Read(p []byte) (int, error) {
	if c.reads++; c.reads == 2 {
		c.between()
	}
	return c.TCPConn.Read(p)
}

// awaitEnd waits until the other side's close or reset of a connection has arrived, and reads neither.
func awaitEnd(t *testing.T, c net.Conn) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	eventually(t, "the end of the connection", func() (ended bool) {
		raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			ended = err == nil && info.State != 1 // TCP_ESTABLISHED
		})
		return ended
	})
}
