// Package discoverytest provides a discovery service for tests.
package discoverytest

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// maxWatchWait is how long the server holds a watch open when nothing changes.
const maxWatchWait = 500 * time.Millisecond

// Member is one entry of a list.
type Member struct {
	ID            string
	Address       string
	Phase         string
	UpSinceMillis int64
}

// FormatList encodes a list, or a set of changes if complete is false, in the wire format.
func FormatList(revision int, complete bool, members ...Member) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"revision":%d,"complete":%t,"members":[`, revision, complete)
	for i, m := range members {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"id":%q,"host_port":%q,"locality":"a","flavor":"m","cell":0,`, m.ID, m.Address)
		fmt.Fprintf(&b, `"phase":%q,"size":1.0,"up_since_ms":%d}`, m.Phase, m.UpSinceMillis)
	}
	b.WriteString("]}")
	return b.String()
}

// Server is a discovery service. It answers each call for the complete list with the text given to NewServer, and each
// watch with the next text from Changes.
type Server struct {
	*http.Server
	Addr    string
	Changes chan string // answers of watches; a test sends encoded lists

	completeList string

	mu      sync.Mutex
	queries []string
}

// NewServer starts a Server that runs until the test ends.
func NewServer(t *testing.T, completeList string) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{
		Addr:         listener.Addr().String(),
		Changes:      make(chan string, 16),
		completeList: completeList,
	}
	s.Server = &http.Server{Handler: http.HandlerFunc(s.serveList)}
	go s.Serve(listener)
	t.Cleanup(func() { s.Server.Close() })
	return s
}

// Queries returns the URL queries of all calls so far, in their order.
func (s *Server) Queries() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.queries...)
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.queries = append(s.queries, r.URL.RawQuery)
	s.mu.Unlock()
	if r.URL.RawQuery == "" {
		io.WriteString(w, s.completeList)
		return
	}
	select {
	case text := <-s.Changes:
		io.WriteString(w, text)
	case <-r.Context().Done():
	case <-time.After(maxWatchWait):
		after, _ := strconv.Atoi(r.URL.Query().Get("after"))
		io.WriteString(w, FormatList(after, false))
	}
}
