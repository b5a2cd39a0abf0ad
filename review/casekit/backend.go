package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// serveFunc answers a request on its connection. It returns false to have the connection closed.
type serveFunc func(c net.Conn, r *http.Request, body []byte) bool

// backend is a stand-in for a backend: it starts a request once its last byte has arrived, and the case writes the
// answers.
type backend struct {
	w        *world
	id       string
	listener net.Listener
	serve    serveFunc // nil: the process hangs
}

// startBackend starts a backend.
func startBackend(w *world, id string, serve serveFunc) (*backend, error) {
	l, err := w.listen()
	if err != nil {
		return nil, err
	}
	b := &backend{w: w, id: id, listener: l, serve: serve}
	go b.accept()
	return b, nil
}

// member returns the backend's entry in the list: ready, and started long ago.
func (b *backend) member() member {
	return member{ID: b.id, HostPort: b.listener.Addr().String(), Locality: "concord", Flavor: "std", Cell: 1,
		Phase: "ready", Size: 1}
}

func (b *backend) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		if b.serve == nil {
			b.w.note("backend %s: hangs, reads nothing of a new connection", b.id)
			b.w.atEnd(func() { c.Close() })
			continue
		}
		go b.serveConn(c)
	}
}

// serveConn serves the requests on a connection, one after the other.
func (b *backend) serveConn(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Trace-Id")
		body, err := io.ReadAll(r.Body)
		if err != nil {
			b.w.note("backend %s: %s broke off after %d bytes of its body", b.id, id, len(body))
			return
		}
		if r.URL.Path == "/stats" || r.URL.Path == "/health/live" {
			answer(c, "TEXT inflight=0, qps=1, eps=0")
			continue
		}
		b.w.note("backend %s: runs %s %s of %s, body of %d bytes", b.id, r.Method, r.URL.Path, id, len(body))
		if !b.serve(c, r, body) {
			return
		}
	}
}

// answer writes a whole 200 answer.
func answer(c net.Conn, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// startDeployment starts a backend for each function, discovery with all of them and a node.
func startDeployment(w *world, options nodeOptions, serve ...serveFunc) (*node, error) {
	var members []member
	for i, each := range serve {
		b, err := startBackend(w, fmt.Sprintf("s-%d", i+1), each)
		if err != nil {
			return nil, err
		}
		members = append(members, b.member())
	}
	d, err := startDiscovery(w, members)
	if err != nil {
		return nil, err
	}
	return startNode(w, d, options)
}
