package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/siteconfig"
)

// pipeListener accepts connections that live in memory.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
	ended chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.ended) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns the client's end of a new connection.
func (l *pipeListener) dial() net.Conn {
	c, s := net.Pipe()
	l.conns <- s
	return c
}

// oneClassSettings returns the settings of a node with one class.
func oneClassSettings() siteconfig.Settings {
	return siteconfig.Settings{Classes: []string{"order"}, Config: balance.Config{
		Classes: []balance.Class{{Deadline: time.Second}}}}
}

// startInMemoryListener runs the client side of a node on connections in memory; it forwards no request.
func startInMemoryListener(t *testing.T) *pipeListener {
	l, _ := startInMemoryServer(t)
	return l
}

func startInMemoryServer(t *testing.T) (*pipeListener, *clientServer) {
	t.Helper()
	names := oneClassSettings()
	f := newClientServer(newEventLoop(nil, nil, newCounters([]string{"order"}), quiet()), names, 64, quiet())
	l := &pipeListener{conns: make(chan net.Conn), ended: make(chan struct{})}
	srv := f.httpServer()
	ended := make(chan struct{})
	go func() { srv.Serve(newLimitListener(l, 64)); close(ended) }()
	t.Cleanup(func() { srv.Close(); <-ended })
	return l, f
}

// drip writes a text byte by byte, one at each interval.
func drip(w io.Writer, text string, every time.Duration) {
	for i := range len(text) {
		if _, err := io.WriteString(w, text[i:i+1]); err != nil {
			return
		}
		time.Sleep(every)
	}
}

// A client that sends no proper request, or nothing, gets an error or a close within 3 s of connecting, and leaks
// nothing.
func TestMalformedClientsGetAnErrorInTime(t *testing.T) {
	proper := "POST /api/x HTTP/1.1\r\nHost: x\r\nX-Trace-Id: a\r\nX-Qos: order\r\n"
	nameless := "POST /api/x HTTP/1.1\r\nHost: x\r\n"
	all := func(text string) func(net.Conn) {
		return func(c net.Conn) { io.WriteString(c, text) }
	}
	for name, send := range map[string]func(net.Conn){
		"nothing":     func(net.Conn) {},
		"half a head": all("POST /api/x HTTP/1.1\r\nHost"),
		"a slow head": func(c net.Conn) { drip(c, proper+"\r\n", 100*time.Millisecond) },
		"no body":     all(proper + "Content-Length: 10\r\n\r\n"),
		"half a body": all(proper + "Content-Length: 10\r\n\r\nhello"),
		"a body after a slow one": func(c net.Conn) {
			drip(c, proper, 20*time.Millisecond)
			all("Content-Length: 9\r\n\r\n")(c)
		},
		"a slow body": func(c net.Conn) {
			drip(c, proper+"Content-Length: 90\r\n\r\n"+strings.Repeat("x", 90), 20*time.Millisecond)
		},
		"chunks without end":       all(proper + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"),
		"bad head, no body":        all(nameless + "Content-Length: 10\r\n\r\n"),
		"bad head, half a body":    all(nameless + "Content-Length: 10\r\n\r\nhello"),
		"bad head, chunks":         all(nameless + "Transfer-Encoding: chunked\r\n\r\n"),
		"both lengths, no body":    all(proper + "Content-Length: 10\r\nTransfer-Encoding: chunked\r\n\r\n"),
		"health with a body":       all("GET /health/live HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n"),
		"much too long":            all(proper + "Content-Length: 64000000\r\n\r\n" + strings.Repeat("x", 8<<20)),
		"expects a continue":       all(proper + "Expect: 100-continue\r\nContent-Length: 10\r\n\r\n"),
		"expects it, no id":        all(nameless + "Expect: 100-continue\r\nContent-Length: 10\r\n\r\n"),
		"the server's own options": all("OPTIONS * HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := startInMemoryListener(t)
				began := time.Now()
				c := l.dial()
				sent := make(chan struct{})
				go func() { send(c); close(sent) }()
				// The first byte of a final response counts; the connection must end as well.
				text, _ := io.ReadAll(c)
				if d := time.Since(began); d >= 3*time.Second {
					t.Errorf("the node closed only after %v", d)
				}
				answer := strings.TrimPrefix(string(text), "HTTP/1.1 100 Continue\r\n\r\n")
				if strings.HasPrefix(answer, "HTTP/1.1 200") && name != "health with a body" {
					t.Errorf("answered as if it had run: %.60q", answer)
				}
				c.Close()
				<-sent
			})
		})
	}
}

// A client may take its time between requests, and each request has its own timeout.
func TestLaterRequestsHaveTheirOwnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := startInMemoryListener(t)
		c := l.dial()
		defer c.Close()
		for range 3 {
			go io.WriteString(c, "GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n")
			b := make([]byte, 1<<10)
			n, err := c.Read(b)
			if err != nil || !strings.HasPrefix(string(b[:n]), "HTTP/1.1 200") {
				t.Fatalf("answered %q, %v", b[:n], err)
			}
			time.Sleep(2 * requestReadTimeout)
		}
	})
}

// "OPTIONS *" is rejected like any other malformed request; the library would answer it itself.
func TestNoResponseIsTheLibrarysOwn(t *testing.T) {
	b := newRawBackend(t, "127.0.0.1:0", answering(func(*http.Request) string { return ok200("") }))
	status, _ := exchange(t, startOn(t, b.Addr().String()), "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n")
	if status < 400 {
		t.Errorf("answered %d", status)
	}
}

// A rejected client has the complete response at once, also while the rest of its body has not come.
func TestRejectionIsCompleteAtOnce(t *testing.T) {
	for name, head := range map[string]string{
		"too long": "X-Trace-Id: a\r\nX-Qos: order\r\nContent-Length: 64000000\r\n\r\n",
		"nameless": "X-Qos: order\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startInMemoryListener(t).dial()
				defer c.Close()
				began := time.Now()
				go io.WriteString(c, "POST /api/x HTTP/1.1\r\nHost: x\r\n"+head)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode/100 != 4 {
					t.Errorf("%d, %v", resp.StatusCode, err)
				}
				if took := time.Since(began); took > 0 {
					t.Errorf("whole after %v", took)
				}
				io.Copy(io.Discard, c)  // until the node has had enough of it
				time.Sleep(time.Second) // the server waits for a while before it forgets the connection
			})
		})
	}
}
