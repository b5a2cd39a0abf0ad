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
	// readHeaderTimeout is the maximum time that a client may take to send the header of a call.
	readHeaderTimeout = 5 * time.Second

	// shutdownTimeout is the maximum time that a replica waits for the calls in flight when it shuts down. The time is
	// limited because a write does not end while no majority of the replicas runs.
	shutdownTimeout = time.Second
)

// Handler returns the replica's HTTP interface:
//
//	GET    /registry/instances                    read the complete list (PROTOCOL-hitchvale.md)
//	GET    /registry/instances?after=R&wait_ms=W  watch the list (PROTOCOL-hitchvale.md)
//	POST   /registry/members                      register or replace a member: {"member":{...},"ttl_ms":N}
//	PUT    /registry/members/{id}/phase           set the member's phase: {"phase":"ready"|"draining"}
//	DELETE /registry/members/{id}                 deregister the member; watches receive it in phase gone
//	POST   /registry/members/{id}/heartbeat       renew the member's TTL
//	GET    /registry/status                       this replica's role, leader and revision
//	GET    /metrics                               this replica's metrics
//	*      /registry/leases...                    leases (http_lease.go)
//	*      /registry/fleet...                     sessions, reports and the view (http_fleet.go)
//	*      /registry/rota...                      maintenance turns (http_maintenance.go)
//
// The response to a write is sent after the write has been applied: 200 with {"revision":R} and, for some calls, a
// record. The response to a call that fails is {"code":...,"error":...,"remedy":...} with status 400 for invalid input,
// 404 for an unknown ID, 409 if the state forbids the write, and 503 if no leader can commit it. While max_calls calls
// are in flight, further calls immediately get 503.
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

// limitCalls rejects calls with ErrTooManyCalls while max_calls other calls are in flight.
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

// Serve serves calls on ln until ctx ends, and then shuts down gracefully: watches are answered immediately, and other
// calls in flight may continue for up to shutdownTimeout. Serve closes ln. It returns an error if accepting connections
// fails.
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

// retryingListener returns a listener that retries after temporary errors of Accept and logs them at a limited rate.
func retryingListener(ln net.Listener, log *slog.Logger) net.Listener {
	return accept.NewListener(ln, accept.LogRetries(log, "registry"))
}

// Status is the response to GET /registry/status.
type Status struct {
	ID       string `json:"id"`
	State    string `json:"state"`  // raft's state: Leader, Follower or Candidate
	Leader   string `json:"leader"` // the leader's HTTP address; "" if the leader is not known
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
