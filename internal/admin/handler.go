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

// changeTimeout is how long a cordon or an uncordon may take until it is in effect. A success after this time is too
// late.
const changeTimeout = 900 * time.Millisecond

// ErrUnknownBackend says that a call names a backend that was never in the endpoint list.
var ErrUnknownBackend = errors.New("no such backend")

// Node is what the admin address needs from a node. No method may block while the node is busy, except Cordon, which
// may block until its context ends.
type Node interface {
	// Ready reports whether this process is ready to serve requests.
	Ready() bool
	// WriteStatistics writes the statistics, one per line.
	WriteStatistics(w io.Writer)
	// Cordon takes a backend out of service if cordoned is true, and puts it back into service otherwise. It returns
	// when the change is in effect. The error is ErrUnknownBackend for a backend that was never in the endpoint list.
	// After any other error nothing has changed.
	Cordon(ctx context.Context, backendID string, cordoned bool) error
	// Metrics returns a handler that serves the statistics in the text format of Prometheus.
	Metrics() http.Handler
	// Fleet returns the state of the node's membership in a fleet, which is encoded as JSON. ok is false if the node is
	// not a member of a fleet.
	Fleet() (status any, ok bool)
}

// handler implements the calls of the admin address.
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
		http.Error(w, "the node is not a member of a fleet: its configuration has no key fleet", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(status)
}

// serveCordon returns the handler of the cordon call, or of the uncordon call if cordoned is false.
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
			h.log.Error("cordon or uncordon failed; answering status 503", "backend", id, "cordoned", cordoned, "error", err)
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		default:
			io.WriteString(w, "ok\n")
		}
	}
}
