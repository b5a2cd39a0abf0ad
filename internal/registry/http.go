package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"time"

	"hitchvale/internal/accept"
	"hitchvale/internal/operror"
	"hitchvale/internal/statemachine"
)

// bodyMost bounds a write's body, as PROTOCOL bounds bodies.
const maxBodyBytes = 64 << 10

// maxWait is PROTOCOL's bound on a watch's wait_ms.
const maxWatchWait = 60 * time.Second

// forwardedHeader marks a write that a follower passed to the leader, so that it is never passed on twice.
const forwardedHeader = "X-Registry-Forwarded"

// Handler serves the replica's HTTP side:
//
//	GET    /registry/instances                    the whole list (PROTOCOL)
//	GET    /registry/instances?after=R&wait_ms=W  a watch (PROTOCOL)
//	POST   /registry/members                      {"member":{...},"ttl_ms":N}: register or replace
//	PUT    /registry/members/{id}/phase           {"phase":"ready"|"draining"}
//	DELETE /registry/members/{id}                 deregister: the member is gone among changes
//	POST   /registry/members/{id}/heartbeat       keep its TTL
//	GET    /registry/status                       this replica's role, leader and revision
//	*      /registry/leases...                    leases (lease_http.go)
//	*      /registry/fleet...                     sessions, reports and the view (fleet.go)
//	*      /registry/rota...                      turns of machines (rota.go)
//
// Writes answer 200 {"revision":R} once applied; else {"code":...,"error":...,"remedy":...}: 400 for bad input, changing
// nothing; 404 for an unknown id; 409 where the state forbids it; 503 where no leader can take it. Over max_calls at
// once, calls get 503 at once.
func (r *Replica) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", r.serveList)
	mux.HandleFunc("POST /registry/members", r.writeHandler("", r.decodeRegister))
	mux.HandleFunc("PUT /registry/members/{id}/phase", r.writeHandler("", r.decodeSetPhase))
	mux.HandleFunc("DELETE /registry/members/{id}", r.writeHandler("", r.decodeDeregister))
	mux.HandleFunc("POST /registry/members/{id}/heartbeat", r.leaderOnly(r.serveHeartbeat))
	mux.HandleFunc("GET /registry/status", r.serveStatus)
	mux.Handle("GET /metrics", r.metrics.handler())
	mux.HandleFunc("GET /registry/leases", r.leaderOnly(r.serveLeases))
	mux.HandleFunc("POST /registry/leases/{name}/acquire", r.writeHandler("lease", r.decodeAcquire))
	mux.HandleFunc("POST /registry/leases/{name}/release", r.writeHandler("lease", r.decodeRelease))
	mux.HandleFunc("POST /registry/leases/{name}/renew", r.leaderOnly(r.serveRenew))
	mux.HandleFunc("GET /registry/fleet/view", r.leaderOnly(r.serveView))
	mux.HandleFunc("POST /registry/fleet/reports", r.leaderOnly(r.serveReport))
	mux.HandleFunc("GET /registry/fleet/sessions/{node}", r.leaderOnly(r.serveSession))
	mux.HandleFunc("POST /registry/fleet/sessions", r.writeHandler("session", r.decodeOpenSession))
	mux.HandleFunc("DELETE /registry/fleet/sessions/{node}", r.writeHandler("", r.decodeCloseSession))
	r.routeMaintenance(mux)
	calls := make(chan struct{}, r.cfg.MaxConcurrentCalls)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		select {
		case calls <- struct{}{}:
			defer func() { <-calls }()
			mux.ServeHTTP(w, req)
		default:
			r.metrics.rejectedCalls.Inc()
			w.Header().Set("Retry-After", "1")
			writeError(w, ErrTooManyCalls)
		}
	})
}

// endWithin is how long a replica that ends waits for the calls that it has taken: a write may wait for a majority that has gone.
const shutdownTimeout = time.Second

// Serve answers on ln until ctx ends, and then what it has taken. Watches end at once.
func (r *Replica) Serve(ctx context.Context, ln net.Listener) error {
	srv := &http.Server{Handler: r.Handler(), ReadHeaderTimeout: 5 * time.Second}
	lost, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-ctx.Done():
		case <-lost:
		}
		r.endWatches()
		last, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if err := srv.Shutdown(last); err != nil {
			srv.Close()
		}
	}()
	err := srv.Serve(retryingListener(ln, r.log))
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	} else {
		close(lost)
	}
	<-ended
	return err
}

// retrying has a listener wait out errors of accept that pass, and log them at a bounded rate.
func retryingListener(ln net.Listener, log *slog.Logger) net.Listener {
	return accept.NewListener(ln, accept.LogRetries(log, "registry"))
}

// fail answers with an error: its code, what failed and on what, and what an operator can do. An error that has no code
// is one of the input.
func writeError(w http.ResponseWriter, err error) {
	e, ok := operror.Find(err)
	if !ok {
		e = ErrMalformed.Of("", err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.Status)
	json.NewEncoder(w).Encode(map[string]string{"code": e.Code, "error": err.Error(), "remedy": e.Remedy})
}

// roleHeader tells which replica served a read: "leader" (linearizable) or "follower" (as fresh as stale_read).
const roleHeader = "X-Registry-Role"

func (r *Replica) role() string {
	if r.Leader() {
		return "leader"
	}
	return "follower"
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

// serveList answers a read or a watch, from this replica's state where it is fresh enough, else 503.
func (r *Replica) serveList(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	if !q.Has("after") {
		if !r.canServeReads() {
			writeError(w, r.staleReadError())
			return
		}
		var l MemberList
		role := r.role()
		r.fsm.read(func(s *State) { l = s.CompleteList() })
		w.Header().Set(roleHeader, role)
		writeJSON(w, l)
		return
	}
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		writeError(w, ErrMalformed.Of("after", fmt.Errorf("%q is not a revision", q.Get("after"))))
		return
	}
	waitMs, err := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil || waitMs < 0 {
		writeError(w, ErrMalformed.Of("wait_ms", fmt.Errorf("%q is not a number of milliseconds", q.Get("wait_ms"))))
		return
	}
	l, ok := r.watch(req.Context(), after, min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	if !ok {
		writeError(w, r.staleReadError())
		return
	}
	writeJSON(w, l)
}

// watch waits until the list passes after, the wait ends or the caller goes, then gives what changed. It fails
// where this replica is not fresh when it would answer.
func (r *Replica) watch(ctx context.Context, after int64, wait time.Duration) (MemberList, bool) {
	t := time.NewTimer(wait)
	defer t.Stop()
	r.openWatches.Add(1)
	defer r.openWatches.Add(-1)
	for {
		var l MemberList
		// Revisions of other records than the list's are no news to a watch.
		var rev, last int64
		next := r.fsm.read(func(s *State) { rev, last, l = s.Revision, s.members.log.lastRevision, s.ChangesSince(after) })
		if last > after || after > rev {
			return l, r.canServeReads()
		}
		select {
		case <-next:
		case <-t.C:
			return l, r.canServeReads()
		case <-r.watchesEnded:
			return l, r.canServeReads()
		case <-ctx.Done():
			return l, false
		}
	}
}

// writeHandler decodes a write and commits it on the leader, or passes it to the leader. It answers with the revision
// and, where the machine gives one, its value under the given name.
func (r *Replica) writeHandler(value string, decode func(*http.Request) (statemachine.Command, error)) http.HandlerFunc {
	return r.leaderOnly(func(w http.ResponseWriter, req *http.Request) {
		begun := time.Now()
		req.Body = http.MaxBytesReader(w, req.Body, maxBodyBytes)
		c, err := decode(req)
		if err != nil {
			r.metrics.observeWrite(begun, "refused")
			writeError(w, err)
			return
		}
		res, err := r.Write(c)
		switch {
		case err != nil:
			r.metrics.observeWrite(begun, "failed")
			writeError(w, err)
		case res.Err != nil:
			r.metrics.observeWrite(begun, "refused")
			writeError(w, res.Err)
		default:
			r.metrics.observeWrite(begun, "ok")
			text := map[string]any{"revision": res.Revision}
			if value != "" {
				text[value] = res.Value
			}
			writeJSON(w, text)
		}
	})
}

// onLeader has the leader answer: a follower passes the call on.
func (r *Replica) leaderOnly(answer http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if !r.Leader() {
			r.forwardToLeader(w, req)
			return
		}
		answer(w, req)
	}
}

// forward passes a write to the leader's HTTP address, once.
func (r *Replica) forwardToLeader(w http.ResponseWriter, req *http.Request) {
	leader := r.leaderHTTPAddr()
	if leader == "" || req.Header.Get(forwardedHeader) != "" {
		w.Header().Set("Retry-After", "1")
		writeError(w, ErrNotLeader.Of(r.cfg.ID, fmt.Errorf("leader at %q", leader)))
		return
	}
	p := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: leader})
	p.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, err error) {
		writeError(w, ErrNotLeader.Of(r.cfg.ID, fmt.Errorf("leader at %s: %w", leader, err)))
	}
	req.Header.Set(forwardedHeader, r.cfg.ID)
	p.ServeHTTP(w, req)
}

func decodeBody(req *http.Request, v any) error {
	dec := json.NewDecoder(req.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		var tooBig *http.MaxBytesError
		if errors.As(err, &tooBig) {
			return ErrMalformed.Of("body", fmt.Errorf("over %d bytes", maxBodyBytes))
		}
		return ErrMalformed.Of("body", err)
	}
	return nil
}

// fenced adds the fence that a write of the list carries, if any.
func withFencingToken(req *http.Request, c *MemberCommand) (statemachine.Command, error) {
	var err error
	c.FencingToken, err = parseFencingToken(req)
	return c, err
}

func (r *Replica) decodeRegister(req *http.Request) (statemachine.Command, error) {
	var b struct {
		Member Member `json:"member"`
		TTLms  int64  `json:"ttl_ms"`
	}
	if err := decodeBody(req, &b); err != nil {
		return nil, err
	}
	if b.Member.Phase == "" {
		b.Member.Phase = PhaseReady
	}
	if b.TTLms < 0 {
		return nil, ErrMalformed.Of("ttl_ms", errors.New("negative"))
	}
	if b.TTLms == 0 {
		b.TTLms = r.cfg.DefaultTTL.Milliseconds()
	}
	if err := b.Member.Validate(); err != nil {
		return nil, err
	}
	return withFencingToken(req, &MemberCommand{Op: opRegister, Member: b.Member, TTLms: b.TTLms})
}

func (r *Replica) decodeSetPhase(req *http.Request) (statemachine.Command, error) {
	var b struct {
		Phase string `json:"phase"`
	}
	if err := decodeBody(req, &b); err != nil {
		return nil, err
	}
	if err := validatePhase(b.Phase); err != nil {
		return nil, err
	}
	return withFencingToken(req, &MemberCommand{Op: opSetPhase, ID: req.PathValue("id"), Phase: b.Phase})
}

func (r *Replica) decodeDeregister(req *http.Request) (statemachine.Command, error) {
	return withFencingToken(req, &MemberCommand{Op: opDeregister, ID: req.PathValue("id")})
}

func (r *Replica) serveHeartbeat(w http.ResponseWriter, req *http.Request) {
	if err := r.Heartbeat(req.PathValue("id")); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Status is what /registry/status tells.
type Status struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Leader   string `json:"leader"` // its HTTP address
	Revision int64  `json:"revision"`
	Term     string `json:"term"`
	Applied  uint64 `json:"applied_index"`
	Fresh    bool   `json:"fresh"`
}

func (r *Replica) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, r.Status())
}

// Status reports this replica's role and state.
func (r *Replica) Status() Status {
	s := Status{ID: r.cfg.ID, State: r.raft.State().String(), Leader: r.leaderHTTPAddr(), Term: r.raft.Stats()["term"],
		Applied: r.raft.AppliedIndex(), Fresh: r.canServeReads()}
	r.fsm.read(func(st *State) { s.Revision = st.Revision })
	return s
}
