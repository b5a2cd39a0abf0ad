package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"hitchvale/internal/discovery/discoverytest"
)

// rawBackend is a backend that hands each connection to a function.
type rawBackend struct {
	net.Listener
	accepted atomic.Int64
}

func newRawBackend(t *testing.T, addr string, serve func(c net.Conn, r *bufio.Reader)) *rawBackend {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	b := &rawBackend{Listener: l}
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.accepted.Add(1)
			mu.Lock()
			open[c] = true
			mu.Unlock()
			go func() {
				defer func() {
					c.Close()
					mu.Lock()
					delete(open, c)
					mu.Unlock()
				}()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		defer mu.Unlock()
		for c := range open {
			c.Close()
		}
	})
	return b
}

// respondWith returns a function that serves the requests on a connection until that ends.
func respondWith(answer func(r *http.Request) string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(r.Body)
			r.Body = io.NopCloser(bytes.NewReader(body))
			if _, err := io.WriteString(c, answer(r)); err != nil {
				return
			}
		}
	}
}

func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// resetConn closes a connection with an RST.
func resetConn(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

type listEntry struct {
	id, addr, phase string
	up              int64
}

func formatList(revision int, complete bool, members ...listEntry) string {
	var entries []discoverytest.Member
	for _, m := range members {
		entries = append(entries, discoverytest.Member{ID: m.id, Address: m.addr, Phase: m.phase, UpSinceMillis: m.up})
	}
	return discoverytest.FormatList(revision, complete, entries...)
}

// discoveryService is a discovery service with a fixed list, and changes that the test sends on next.
type discoveryService struct {
	*discoverytest.Server
	addr         string
	changes      chan string // answers to watches
	completeList string      // the complete list
}

func newDiscoveryService(t *testing.T, whole string) *discoveryService {
	t.Helper()
	server := discoverytest.NewServer(t, whole)
	return &discoveryService{Server: server, addr: server.Addr, changes: server.Changes, completeList: whole}
}

func (r *discoveryService) queries() []string { return r.Queries() }
