// Package admin is a node's second address, for those who run it: whether it is ready, its figures, and calls that
// take a backend out or put it back. One call to a connection.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"hitchvale/internal/accept"
)

const (
	// callWithin is how long a caller may take for its call, and answerWithin how long the call and its answer
	// may take together.
	callWithin, answerWithin = 3 * time.Second, 5 * time.Second
	// changeWithin is how long a call that changes something may take to hold; a yes that comes later is late.
	changeWithin = 900 * time.Millisecond
	// headMost bounds the head of a call. Calls have no body.
	headMost = 8 << 10
	// Conns is how many connections are open at once.
	Conns = 12
)

// ErrUnknown is the error of a call that names a backend nobody has heard of.
var ErrUnknownBackend = errors.New("no such backend")

// Node is what the second address asks of a node. None of it may wait for a busy node beyond its context.
type Node interface {
	// Ready tells whether this process is ready to serve.
	Ready() bool
	// Figures writes the figures, a line each.
	WriteStatistics(w io.Writer)
	// Cordon leaves a backend out, or puts it back. It returns once that holds.
	Cordon(ctx context.Context, id string, out bool) error
	// Metrics serves the figures in Prometheus's text form.
	Metrics() http.Handler
	// Fleet tells of the node's part in the fleet's view, as JSON has it; false where it has none.
	Fleet() (status any, ok bool)
}

// Server is the second address.
type Server struct {
	listener *listener
	http     *http.Server
}

// Listen opens the second address of a node.
func Listen(addr string, n Node, log *slog.Logger) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	retrying := accept.NewListener(l, accept.LogRetries(log, "second address"))
	s := &Server{listener: newListener(retrying, Conns), http: &http.Server{
		Handler: handler(n, log), ReadHeaderTimeout: callWithin, ReadTimeout: callWithin, WriteTimeout: answerWithin,
		MaxHeaderBytes: headMost, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		DisableGeneralOptionsHandler: true,
	}}
	s.http.SetKeepAlivesEnabled(false)
	s.http.ConnState = s.listener.track
	return s, nil
}

// Addr is the address that it listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Run answers calls until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.http.Close() })
	defer stop()
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("admin: %w", err)
	}
	return nil
}

// Close ends a server that does not run.
func (s *Server) Close() error { return s.listener.Close() }

func handler(n Node, log *slog.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/health", func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ok\n")
	})
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		n.WriteStatistics(w)
	})
	mux.Handle("GET /metrics", n.Metrics())
	mux.HandleFunc("GET /admin/fleet", func(w http.ResponseWriter, _ *http.Request) {
		status, ok := n.Fleet()
		if !ok {
			http.Error(w, "no part in a fleet: the configuration has no key fleet", http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(status)
	})
	change := func(out bool) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), changeWithin)
			defer cancel()
			id := r.PathValue("id")
			switch err := n.Cordon(ctx, id, out); {
			case errors.Is(err, ErrUnknownBackend):
				http.Error(w, err.Error(), http.StatusNotFound)
			case err != nil:
				log.Error("maintenance call failed", "backend", id, "out", out, "error", err)
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
			default:
				io.WriteString(w, "ok\n")
			}
		}
	}
	mux.HandleFunc("POST /admin/cordon/{id}", change(true))
	mux.HandleFunc("POST /admin/uncordon/{id}", change(false))
	return mux
}

// listener bounds how many connections are open. Who connects when all are taken pushes out the one that has
// waited longest without a whole call.
type listener struct {
	net.Listener
	most int

	mu    sync.Mutex
	cond  *sync.Cond // some connection has ended
	open  int
	begun map[net.Conn]time.Time // those without a whole call, and since when
	done  bool
}

func newListener(l net.Listener, most int) *listener {
	b := &listener{Listener: l, most: most, begun: map[net.Conn]time.Time{}}
	b.cond = sync.NewCond(&b.mu)
	return b
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open >= l.most && !l.done {
		var oldest net.Conn
		for c, at := range l.begun {
			if oldest == nil || at.Before(l.begun[oldest]) {
				oldest = c
			}
		}
		if oldest == nil { // all are being answered, which is soon over
			l.cond.Wait()
			continue
		}
		delete(l.begun, oldest)
		l.mu.Unlock()
		oldest.Close()
		l.mu.Lock()
	}
	if l.done {
		c.Close()
		return nil, net.ErrClosed
	}
	l.open++
	held := &conn{Conn: c, release: sync.OnceFunc(l.release)}
	l.begun[held] = time.Now()
	return held, nil
}

func (l *listener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.cond.Broadcast()
}

// track follows the connections: one with a whole call has to be answered.
func (l *listener) track(c net.Conn, s http.ConnState) {
	if s != http.StateNew {
		l.mu.Lock()
		delete(l.begun, c)
		l.mu.Unlock()
	}
}

func (l *listener) Close() error {
	l.mu.Lock()
	l.done = true
	l.cond.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

type conn struct {
	net.Conn
	release func()
}

func (c *conn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}
