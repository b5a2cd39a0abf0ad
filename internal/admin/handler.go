package admin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"
)

// changeTimeout is how long a call that changes something may take to hold; a success that comes later is too late.
const changeTimeout = 900 * time.Millisecond

// ErrUnknownBackend is the error of a call that names a backend which was never listed.
var ErrUnknownBackend = errors.New("no such backend")

// Node is what the second address needs of a node. No method may wait for a busy node beyond its context.
type Node interface {
	// Ready reports whether this process is ready to serve.
	Ready() bool
	// WriteStatistics writes the statistics, a line each.
	WriteStatistics(w io.Writer)
	// Cordon takes a backend out of service, or puts it back. It returns once that holds. The error is
	// ErrUnknownBackend for a backend that was never listed; after any other error nothing has changed.
	Cordon(ctx context.Context, backendID string, cordoned bool) error
	// Metrics serves the statistics in Prometheus's text form.
	Metrics() http.Handler
	// Fleet returns the state of the node's membership of a fleet, to be encoded as JSON; false where it has none.
	Fleet() (status any, ok bool)
}

// handler answers the calls.
type handler struct {
	node Node
	log  *slog.Logger
}

func newHandler(node Node, log *slog.Logger) http.Handler {
	h := &handler{node: node, log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/health", h.serveHealth)
	mux.HandleFunc("GET /admin/stats", h.serveStatistics)
	mux.Handle("GET /metrics", node.Metrics())
	mux.HandleFunc("GET /admin/fleet", h.serveFleet)
	mux.HandleFunc("POST /admin/cordon/{id}", h.serveCordon(true))
	mux.HandleFunc("POST /admin/uncordon/{id}", h.serveCordon(false))
	return mux
}

func (h *handler) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if !h.node.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ok\n")
}

func (h *handler) serveStatistics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	h.node.WriteStatistics(w)
}

func (h *handler) serveFleet(w http.ResponseWriter, _ *http.Request) {
	status, ok := h.node.Fleet()
	if !ok {
		http.Error(w, "no part in a fleet: the configuration has no key fleet", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(status)
}

// serveCordon returns the handler of cordon or uncordon.
func (h *handler) serveCordon(cordoned bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
		defer cancel()
		id := r.PathValue("id")
		err := h.node.Cordon(ctx, id, cordoned)
		switch {
		case errors.Is(err, ErrUnknownBackend):
			http.Error(w, err.Error(), http.StatusNotFound)
		case err != nil:
			h.log.Error("cordon call failed", "backend", id, "cordoned", cordoned, "error", err)
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		default:
			io.WriteString(w, "ok\n")
		}
	}
}
