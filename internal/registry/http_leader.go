package registry

import (
	"fmt"
	"net/http"
	"net/http/httputil"
	"net/url"
	"time"

	"hitchvale/internal/statemachine"
)

// forwardedHeader marks a call that a follower has forwarded, so that no replica forwards it again.
const forwardedHeader = "X-Registry-Forwarded"

// The results of a write that the metrics tell apart.
const (
	resultOK      = "ok"
	resultRefused = "refused" // malformed, or the state forbids it
	resultFailed  = "failed"  // not committed, as far as this replica knows
)

// writeHandler answers a write on the leader: it decodes the command, commits it, and answers with what response makes
// of the result.
func (r *Replica) writeHandler(decode func(*http.Request) (statemachine.Command, error),
	response func(Result) any) http.HandlerFunc {
	return r.leaderOnly(func(w http.ResponseWriter, req *http.Request) {
		received := time.Now()
		req.Body = http.MaxBytesReader(w, req.Body, maxBodyBytes)
		command, err := decode(req)
		if err != nil {
			r.metrics.observeWrite(received, resultRefused)
			writeError(w, err)
			return
		}
		result, err := r.Write(command)
		if err != nil {
			r.metrics.observeWrite(received, resultFailed)
			writeError(w, err)
			return
		}
		if result.Err != nil {
			r.metrics.observeWrite(received, resultRefused)
			writeError(w, result.Err)
			return
		}
		r.metrics.observeWrite(received, resultOK)
		writeJSON(w, response(result))
	})
}

// leaderOnly makes the leader answer a call: a follower forwards it.
func (r *Replica) leaderOnly(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if !r.IsLeader() {
			r.forwardToLeader(w, req)
			return
		}
		next(w, req)
	}
}

// forwardToLeader forwards a call to the leader's HTTP address, once.
func (r *Replica) forwardToLeader(w http.ResponseWriter, req *http.Request) {
	leader := r.leaderHTTPAddr()
	if leader == "" || req.Header.Get(forwardedHeader) != "" {
		w.Header().Set("Retry-After", "1")
		writeError(w, ErrNotLeader.Of(r.cfg.ID, fmt.Errorf("leader at %q", leader)))
		return
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: leader})
	proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, err error) {
		writeError(w, ErrNotLeader.Of(r.cfg.ID, fmt.Errorf("leader at %s: %w", leader, err)))
	}
	req.Header.Set(forwardedHeader, r.cfg.ID)
	proxy.ServeHTTP(w, req)
}
