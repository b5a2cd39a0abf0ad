package registry

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"hitchvale/internal/accept"
)

const (
	// readHeaderTimeout bounds how long a client may take to send a request's header.
	readHeaderTimeout = 5 * time.Second

	// shutdownTimeout bounds how long a replica that shuts down waits for the calls in flight: a write may wait for a
	// majority that is gone.
	shutdownTimeout = time.Second
)

// Handler returns the replica's HTTP interface:
//
//	GET    /registry/instances                    the complete list (PROTOCOL)
//	GET    /registry/instances?after=R&wait_ms=W  a watch (PROTOCOL)
//	POST   /registry/members                      {"member":{...},"ttl_ms":N}: register or replace
//	PUT    /registry/members/{id}/phase           {"phase":"ready"|"draining"}
//	DELETE /registry/members/{id}                 deregister: the member is gone among changes
//	POST   /registry/members/{id}/heartbeat       renew its TTL
//	GET    /registry/status                       this replica's role, leader and revision
//	*      /registry/leases...                    leases (http_lease.go)
//	*      /registry/fleet...                     sessions, reports and the view (http_fleet.go)
//	*      /registry/rota...                      maintenance turns (http_maintenance.go)
//
// A write is answered with 200 and {"revision":R} once it is applied. An error is answered with
// {"code":...,"error":...,"remedy":...}: 400 for invalid input, which changes nothing, 404 for an unknown ID, 409 if
// the state forbids the write, 503 if no leader can take it. With max_calls calls in flight, further ones get 503 at
// once.
func (r *Replica) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/status", r.serveStatus)
	mux.Handle("GET /metrics", r.metrics.handler())
	r.routeMembers(mux)
	r.routeLeases(mux)
	r.routeFleet(mux)
	r.routeMaintenance(mux)
	return r.limitCalls(mux)
}

// limitCalls rejects calls with ErrTooManyCalls while max_calls others are in flight.
func (r *Replica) limitCalls(next http.Handler) http.Handler {
	inFlight := make(chan struct{}, r.cfg.MaxConcurrentCalls)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		select {
		case inFlight <- struct{}{}:
			defer func() { <-inFlight }()
			next.ServeHTTP(w, req)
		default:
			r.metrics.rejectedCalls.Inc()
			w.Header().Set("Retry-After", "1")
			writeError(w, ErrTooManyCalls)
		}
	})
}

// Serve answers calls on ln until ctx ends, then shuts down gracefully: watches are answered at once, other calls in
// flight have shutdownTimeout to end.
func (r *Replica) Serve(ctx context.Context, ln net.Listener) error {
	server := &http.Server{Handler: r.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	listenerFailed := make(chan struct{})
	shutdownDone := make(chan struct{})
	go func() {
		defer close(shutdownDone)
		select {
		case <-ctx.Done():
		case <-listenerFailed:
		}
		r.endWatches()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(shutdownCtx); err != nil {
			server.Close()
		}
	}()
	err := server.Serve(retryingListener(ln, r.log))
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	} else {
		close(listenerFailed)
	}
	<-shutdownDone
	return err
}

// retryingListener makes a listener retry after temporary errors of accept, and logs them at a bounded rate.
func retryingListener(ln net.Listener, log *slog.Logger) net.Listener {
	return accept.NewListener(ln, accept.LogRetries(log, "registry"))
}

// Status is the answer to GET /registry/status.
type Status struct {
	ID       string `json:"id"`
	State    string `json:"state"`  // Leader, Follower or Candidate
	Leader   string `json:"leader"` // its HTTP address; "" if not known
	Revision int64  `json:"revision"`
	Term     string `json:"term"`
	Applied  uint64 `json:"applied_index"`
	Fresh    bool   `json:"fresh"` // this replica may serve reads
}

// Status returns this replica's role and state.
func (r *Replica) Status() Status {
	status := Status{
		ID:      r.cfg.ID,
		State:   r.raft.State().String(),
		Leader:  r.leaderHTTPAddr(),
		Term:    r.raft.Stats()["term"],
		Applied: r.raft.AppliedIndex(),
		Fresh:   r.canServeReads(),
	}
	r.fsm.read(func(s *State) { status.Revision = s.Revision })
	return status
}

func (r *Replica) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, r.Status())
}
