// Package admin is a node's second address, for its operators: readiness, statistics, and calls that cordon a backend
// or put it back. It owns the HTTP server and the bounds on its connections; what the calls do is the node's. Each
// connection carries one call.
package admin

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"hitchvale/internal/accept"
)

const (
	// readTimeout is how long a caller may take to send its call.
	readTimeout = 3 * time.Second
	// writeTimeout is how long the call and its answer may take together.
	writeTimeout = 5 * time.Second
	// maxHeaderBytes bounds the head of a call. Calls have no body.
	maxHeaderBytes = 8 << 10
	// MaxConns is how many connections are open at once.
	MaxConns = 12
)

// Server serves the second address. Listen makes one, and either Run or Close ends it.
type Server struct {
	listener *boundedListener
	http     *http.Server
}

// Listen opens the second address of a node. The error is that of the socket.
func Listen(address string, node Node, log *slog.Logger) (*Server, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	listener := newBoundedListener(accept.NewListener(socket, accept.LogRetries(log, "second address")), MaxConns)
	server := &http.Server{
		Handler:                      newHandler(node, log),
		ReadHeaderTimeout:            readTimeout,
		ReadTimeout:                  readTimeout,
		WriteTimeout:                 writeTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		ErrorLog:                     slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		DisableGeneralOptionsHandler: true,
		ConnState:                    listener.track,
	}
	server.SetKeepAlivesEnabled(false)
	return &Server{listener: listener, http: server}, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Run answers calls until ctx ends. The error is that of a listener which can't accept any more.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.http.Close() })
	defer stop()
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("admin: %w", err)
	}
	return nil
}

// Close closes the socket of a server that does not run.
func (s *Server) Close() error { return s.listener.Close() }
