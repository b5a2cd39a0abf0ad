package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

// What stands inside the body of a request is never taken for a request, however the head gives the body's end.
func TestNothingInsideABodyReachesABackend(t *testing.T) {
	ids := make(chan string, 64)
	b := newRawBackend(t, "127.0.0.1:0", respondWith(func(r *http.Request) string {
		ids <- r.Header.Get("X-Trace-Id")
		return okResponse("")
	}))
	n := startNodeWith(t, b.Addr().String())
	inner := "POST /api/x HTTP/1.1\r\nHost: x\r\n" +
		"X-Trace-Id: inner\r\nX-Qos: order\r\nX-Customer: acme\r\nContent-Length: 0\r\n\r\n"
	outer := func(version, fields, body string) string {
		return "POST /api/x " + version + "\r\nHost: x\r\n" +
			"X-Trace-Id: outer\r\nX-Qos: order\r\nX-Customer: acme\r\n" + fields + "\r\n" + body
	}
	const keepAlive = "Connection: keep-alive\r\n"
	chunked := "0\r\n\r\n" + inner
	sized := fmt.Sprintf("Content-Length: %d\r\n", len(chunked))
	for name, text := range map[string]string{
		"length and chunks":   outer("HTTP/1.1", sized+"Transfer-Encoding: chunked\r\n", chunked),
		"chunks and length":   outer("HTTP/1.1", "transfer-encoding: Chunked\r\n"+sized, chunked),
		"chunks, short count": outer("HTTP/1.1", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"+inner),
		"old with chunks":     outer("HTTP/1.0", keepAlive+"Transfer-Encoding: chunked\r\n", chunked),
		"old with both":       outer("HTTP/1.0", keepAlive+"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", chunked),
		"folded length":       outer("HTTP/1.1", "Transfer-Encoding: chunked\r\nContent-Length:\r\n 5\r\n", chunked),
		"folded chunks":       outer("HTTP/1.1", sized+"Transfer-Encoding:\r\n chunked\r\n", chunked),
		"one length twice":    outer("HTTP/1.1", "Content-Length: 5\r\nContent-Length: 5\r\n", "hello"+inner),
		"health and chunks": "POST /health/live HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n" + sized + "\r\n" +
			chunked,
	} {
		t.Run(name, func(t *testing.T) {
			status, rest := exchange(t, n, text)
			if status < 400 || status >= 500 {
				t.Errorf("answered %d", status)
			}
			if strings.Contains(rest, "HTTP/1.1") {
				t.Errorf("a second answer came: %q", rest)
			}
			if len(ids) > 0 {
				t.Errorf("%q reached the backend", <-ids)
			}
		})
	}
}

// exchange writes text to a node on one connection, and returns the status of the first response and what follows it
// until the node closes the connection.
func exchange(t *testing.T, n *testNode, text string) (status int, rest string) {
	t.Helper()
	c, err := net.Dial("tcp", n.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, resp.Body)
	after, err := io.ReadAll(br)
	if err != nil && !strings.Contains(err.Error(), "reset") {
		t.Errorf("the node does not close: %v", err)
	}
	return resp.StatusCode, string(after)
}

// Well-formed bodies of either kind are served, and the connection is closed after a chunked one.
func TestProperFramingIsServed(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", respondWith(func(r *http.Request) string {
		text, _ := io.ReadAll(r.Body)
		return okResponse(string(text))
	}))
	n := startNodeWith(t, b.Addr().String())
	head := "POST /api/x HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nX-Qos: order\r\nX-Customer: acme\r\n"
	sized := fmt.Sprintf(head+"Content-Length: 5\r\n\r\nhello", "one")
	chunked := fmt.Sprintf(head+"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "two")
	// The two come at once, the head of the second in the read of the first one's body.
	status, rest := exchange(t, n, sized+chunked)
	if status != http.StatusOK || !strings.HasPrefix(rest, "HTTP/1.1 200") || !strings.HasSuffix(rest, "hello") {
		t.Errorf("answered %d, then %q", status, rest)
	}
	if !strings.Contains(rest, "Connection: close") {
		t.Errorf("the connection goes on after a chunked body: %q", rest)
	}
}

// Each read ends where a head or a body ends, however the bytes come in.
func TestReadsEndWithAHead(t *testing.T) {
	one := "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\n"
	two := "GET /b HTTP/1.1\n\n"
	for name, wrap := range map[string]func(io.Reader) io.Reader{
		"whole":     func(r io.Reader) io.Reader { return r },
		"by bytes":  iotest.OneByteReader,
		"by halves": iotest.HalfReader,
	} {
		t.Run(name, func(t *testing.T) {
			c := newClientConn(fakeConn{read: wrap(strings.NewReader(one + "abc" + two + "rest"))}, time.Now())
			var got string
			for i, want := range []string{one, one + "abc", one + "abc" + two} {
				p := make([]byte, 1<<10)
				for len(got) < len(want) {
					n, err := c.Read(p)
					if err != nil {
						t.Fatal(err)
					}
					got += string(p[:n])
				}
				if got != want {
					t.Fatalf("read %q, want %q", got, want)
				}
				if i == 0 {
					continue // its body is to come
				}
				if h, _ := c.takeHead(); h.Err != nil || h.LastOnConnection || h.ContentLength != []int64{0, 3, 0}[i] {
					t.Errorf("head %+v after %q", h, got)
				}
				c.markIdle() // the server reads the next one once it has answered
			}
			if h, _ := c.takeHead(); h.Err == nil {
				t.Error("a request without a head passed")
			}
		})
	}
}

// fakeConn is a connection that can only be read.
type fakeConn struct {
	net.Conn
	read io.Reader
}

func (c fakeConn) Read(p []byte) (int, error) { return c.read.Read(p) }
