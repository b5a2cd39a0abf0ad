// Package admin serves the admin address of a node, a second HTTP address for operators. It has calls for readiness,
// statistics and the fleet's state, and calls that cordon or uncordon a backend. The package runs the HTTP server and
// limits its connections. The node does the work of the calls. Each connection carries one call.
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
	// readTimeout is how long a client may take to send a call.
	readTimeout = 3 * time.Second
	// writeTimeout is how long a call and its answer may take in total.
	writeTimeout = 5 * time.Second
	// maxHeaderBytes limits the head of a call. Calls have no body.
	maxHeaderBytes = 8 << 10
	// MaxConns is how many connections may be open at the same time.
	MaxConns = 12
)

// Server serves the admin address. Listen creates a Server. The caller must call Run, or Close if it does not call Run.
type Server struct {
	listener *boundedListener
	http     *http.Server
}

// Listen opens the admin address of a node. It fails only if the socket can't be opened.
func Listen(address string, node Node, log *slog.Logger) (*Server, error) {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("opening the admin address: %w", err)
	}
	listener := newBoundedListener(accept.NewListener(socket, accept.LogRetries(log, "admin address")), MaxConns)
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

// Run answers calls until ctx ends. It returns an error only if the listener can no longer accept connections.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.http.Close() })
	defer stop()
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving the admin address: %w", err)
	}
	return nil
}

// Close closes the socket of a server that is not running.
func (s *Server) Close() error { return s.listener.Close() }
