package registry

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hitchvale/internal/statemachine"
)

// fencingTokenHeader is the header with the fencing token of a write, in the form LEASE:TOKEN.
const fencingTokenHeader = "X-Fencing-Token"

func (r *Replica) routeLeases(mux *http.ServeMux) {
	mux.HandleFunc("GET /registry/leases", r.leaderOnly(r.serveLeases))
	mux.HandleFunc("POST /registry/leases/{name}/acquire", r.writeHandler(r.decodeAcquire, newLeaseResponse))
	mux.HandleFunc("POST /registry/leases/{name}/release", r.writeHandler(decodeRelease, newLeaseResponse))
	mux.HandleFunc("POST /registry/leases/{name}/renew", r.leaderOnly(r.serveRenew))
}

// minTTL returns the shortest TTL that a lease or session may have: two election timeouts, so that the record does not
// expire while a new leader is elected.
func (r *Replica) minTTL() time.Duration { return 2 * r.cfg.Timing.Election.Duration }

// validateTTL fails with ErrMalformed if a TTL is shorter than minTTL.
func (r *Replica) validateTTL(ttlMs int64) error {
	if time.Duration(ttlMs)*time.Millisecond < r.minTTL() {
		return ErrMalformed.Of("ttl_ms",
			fmt.Errorf("%d is shorter than two election timeouts (%s)", ttlMs, r.minTTL()))
	}
	return nil
}

// parseFencingToken returns the fencing token of a write, or nil if the write has none. It fails with ErrMalformed if
// the header does not have the form LEASE:TOKEN.
func parseFencingToken(req *http.Request) (*FencingToken, error) {
	text := req.Header.Get(fencingTokenHeader)
	if text == "" {
		return nil, nil
	}
	name, number, ok := strings.Cut(text, ":")
	token, err := strconv.ParseUint(number, 10, 64)
	if !ok || name == "" || err != nil {
		return nil, ErrMalformed.Of(fencingTokenHeader, fmt.Errorf("%q does not have the form LEASE:TOKEN", text))
	}
	return &FencingToken{Lease: name, Token: token}, nil
}

// acquireRequest is the body of POST /registry/leases/{name}/acquire.
type acquireRequest struct {
	Holder string `json:"holder"`
	TTLms  int64  `json:"ttl_ms"`
}

// holderRequest is the body of a call that releases or renews a lease. It names the holder and the token of the grant.
type holderRequest struct {
	Holder string `json:"holder"`
	Token  uint64 `json:"token"`
}

// leaseResponse is the response to a call that acquires or releases a lease.
type leaseResponse struct {
	Lease    *Lease `json:"lease"`
	Revision int64  `json:"revision"`
}

func newLeaseResponse(result Result) any {
	return leaseResponse{Lease: resultValue[Lease](result), Revision: result.Revision}
}

func (r *Replica) decodeAcquire(req *http.Request) (statemachine.Command, error) {
	var body acquireRequest
	if err := decodeBody(req, &body); err != nil {
		return nil, err
	}
	if body.Holder == "" {
		return nil, ErrMalformed.Of("holder", errors.New("the field is missing"))
	}
	if err := r.validateTTL(body.TTLms); err != nil {
		return nil, err
	}
	lease := Lease{Name: req.PathValue("name"), Holder: body.Holder, TTLms: body.TTLms}
	return &LeaseCommand{Op: opAcquireLease, Lease: lease}, nil
}

func decodeRelease(req *http.Request) (statemachine.Command, error) {
	var body holderRequest
	if err := decodeBody(req, &body); err != nil {
		return nil, err
	}
	lease := Lease{Name: req.PathValue("name"), Holder: body.Holder, Token: body.Token}
	return &LeaseCommand{Op: opReleaseLease, Lease: lease}, nil
}

// serveRenew renews a lease's TTL on the leader's clock. It responds with 204 if the given holder has the lease with
// the given token, otherwise with ErrLeaseLost (409). A renewal is not written to the log.
func (r *Replica) serveRenew(w http.ResponseWriter, req *http.Request) {
	var body holderRequest
	req.Body = http.MaxBytesReader(w, req.Body, maxBodyBytes)
	if err := decodeBody(req, &body); err != nil {
		writeError(w, err)
		return
	}
	name := req.PathValue("name")
	var lease Lease
	var held bool
	r.fsm.read(func(s *State) { lease, held = s.leases.ByName[name] })
	if !held || lease.Holder != body.Holder || lease.Token != body.Token {
		writeError(w, ErrLeaseLost.Of(name, nil))
		return
	}
	r.heartbeats.record(leaseKey(name))
	w.WriteHeader(http.StatusNoContent)
}

// leasesResponse is the response to GET /registry/leases.
type leasesResponse struct {
	Leases []Lease `json:"leases"`
}

// serveLeases responds with the list of held leases. It must run on the leader: a follower that lags behind could name
// holders that have lost their lease.
func (r *Replica) serveLeases(w http.ResponseWriter, _ *http.Request) {
	var response leasesResponse
	r.fsm.read(func(s *State) {
		for _, lease := range s.leases.ByName {
			response.Leases = append(response.Leases, lease)
		}
	})
	writeJSON(w, response)
}
