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

// rawBackend is a backend that passes each connection to a function.
type rawBackend struct {
	net.Listener
	accepted atomic.Int64 // number of accepted connections
}

// newRawBackend starts a backend on addr that calls serve for each connection and closes the connection afterwards.
// The backend runs until the test ends.
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

// respondWith returns a function for newRawBackend that writes the text returned by answer for each request, until the
// connection ends.
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

// okResponse returns the text of a response with status 200.
func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// resetConn closes a connection with an RST.
func resetConn(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// listEntry is the entry of a backend in an endpoint list.
type listEntry struct {
	id, addr, phase string
	up              int64 // when the process started, in Unix milliseconds; 0: long ago
}

// formatList returns an endpoint list in the format of the discovery service.
func formatList(revision int, complete bool, members ...listEntry) string {
	var entries []discoverytest.Member
	for _, m := range members {
		entries = append(entries, discoverytest.Member{ID: m.id, Address: m.addr, Phase: m.phase, UpSinceMillis: m.up})
	}
	return discoverytest.FormatList(revision, complete, entries...)
}

// discoveryService is a discovery service with a fixed complete list. The test sends changes to the list on changes.
type discoveryService struct {
	*discoverytest.Server
	addr         string
	changes      chan string // responses to watches
	completeList string      // the complete list
}

// newDiscoveryService starts a discovery service that runs until the test ends.
func newDiscoveryService(t *testing.T, completeList string) *discoveryService {
	t.Helper()
	server := discoverytest.NewServer(t, completeList)
	return &discoveryService{
		Server:       server,
		addr:         server.Addr,
		changes:      server.Changes,
		completeList: completeList,
	}
}

// queries returns the query strings of all calls so far.
func (s *discoveryService) queries() []string { return s.Queries() }
