package registry

import (
	"fmt"
	"net/http"
	"net/http/httputil"
	"net/url"
	"time"

	"hitchvale/internal/statemachine"
)

// forwardedHeader is the header of a call that a follower has forwarded to the leader. No replica forwards such a call
// again.
const forwardedHeader = "X-Registry-Forwarded"

// The values of the result label in the metrics of writes.
const (
	resultOK      = "ok"
	resultRefused = "refused" // the write is malformed, or the state forbids it
	resultFailed  = "failed"  // this replica does not know that the write is committed
)

// writeHandler returns the handler of a write. On the leader, the handler decodes the command, commits it, and responds
// with the value that response returns for the result.
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

// leaderOnly returns a handler that calls next on the leader. A follower forwards the call to the leader.
func (r *Replica) leaderOnly(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if !r.IsLeader() {
			r.forwardToLeader(w, req)
			return
		}
		next(w, req)
	}
}

// forwardToLeader forwards a call to the leader's HTTP address. It responds with ErrNotLeader if the leader is not
// known or cannot be reached, or if another replica has already forwarded the call.
func (r *Replica) forwardToLeader(w http.ResponseWriter, req *http.Request) {
	leader := r.leaderHTTPAddr()
	if leader == "" || req.Header.Get(forwardedHeader) != "" {
		w.Header().Set("Retry-After", "1")
		writeError(w, ErrNotLeader.Of(r.cfg.ID,
			fmt.Errorf("the call was not forwarded to the leader (known address: %q)", leader)))
		return
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: leader})
	proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, err error) {
		writeError(w, ErrNotLeader.Of(r.cfg.ID, fmt.Errorf("forward to the leader at %s: %w", leader, err)))
	}
	req.Header.Set(forwardedHeader, r.cfg.ID)
	proxy.ServeHTTP(w, req)
}
