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

// fenceHeader carries a write's fence as LEASE:TOKEN; the write is refused (409) below the highest token accepted.
const fencingTokenHeader = "X-Fencing-Token"

// leaseKey keeps a lease's renewals apart from members' heartbeats in the leader's table.
func leaseKey(name string) string { return "lease:" + name }

// leastTTL is the shortest lease TTL a replica grants: two election timeouts, so that a lease outlives the time a
// new leader takes to be elected, and the successor's wait of a full TTL means something.
func (r *Replica) minTTL() time.Duration { return 2 * r.cfg.Timing.Election.Duration }

// parseFence reads the fence header of a write; nil where there is none.
func parseFencingToken(req *http.Request) (*FencingToken, error) {
	v := req.Header.Get(fencingTokenHeader)
	if v == "" {
		return nil, nil
	}
	name, token, ok := strings.Cut(v, ":")
	t, err := strconv.ParseUint(token, 10, 64)
	if !ok || name == "" || err != nil {
		return nil, ErrMalformed.Of(fencingTokenHeader, fmt.Errorf("%q is not LEASE:TOKEN", v))
	}
	return &FencingToken{Lease: name, Token: t}, nil
}

func (r *Replica) decodeAcquire(req *http.Request) (statemachine.Command, error) {
	var b struct {
		Holder string `json:"holder"`
		TTLms  int64  `json:"ttl_ms"`
	}
	if err := decodeBody(req, &b); err != nil {
		return nil, err
	}
	if b.Holder == "" {
		return nil, ErrMalformed.Of("holder", errors.New("missing"))
	}
	if ttl := time.Duration(b.TTLms) * time.Millisecond; ttl < r.minTTL() {
		return nil, ErrMalformed.Of("ttl_ms", fmt.Errorf("%d is shorter than two election timeouts (%s)", b.TTLms, r.minTTL()))
	}
	return &LeaseCommand{Op: opAcquireLease, Lease: Lease{Name: req.PathValue("name"), Holder: b.Holder, TTLms: b.TTLms}}, nil
}

func (r *Replica) decodeRelease(req *http.Request) (statemachine.Command, error) {
	var b struct {
		Holder string `json:"holder"`
		Token  uint64 `json:"token"`
	}
	if err := decodeBody(req, &b); err != nil {
		return nil, err
	}
	return &LeaseCommand{Op: opReleaseLease, Lease: Lease{Name: req.PathValue("name"), Holder: b.Holder, Token: b.Token}}, nil
}

// serveRenew keeps a lease on the leader's clock: 204 while the holder has it with that token, 409 once not.
func (r *Replica) serveRenew(w http.ResponseWriter, req *http.Request) {
	var b struct {
		Holder string `json:"holder"`
		Token  uint64 `json:"token"`
	}
	req.Body = http.MaxBytesReader(w, req.Body, maxBodyBytes)
	if err := decodeBody(req, &b); err != nil {
		writeError(w, err)
		return
	}
	name := req.PathValue("name")
	var l Lease
	var held bool
	r.fsm.read(func(s *State) { l, held = s.leases.ByName[name] })
	if !held || l.Holder != b.Holder || l.Token != b.Token {
		writeError(w, ErrLeaseLost.Of(name, nil))
		return
	}
	r.recordHeartbeat(leaseKey(name))
	w.WriteHeader(http.StatusNoContent)
}

// serveLeases lists the leases as the leader has them: a follower forwards, since one that is catching up (just
// restarted, say) would name a holder that has long since lost its lease.
func (r *Replica) serveLeases(w http.ResponseWriter, req *http.Request) {
	var out []Lease
	r.fsm.read(func(s *State) {
		for _, l := range s.leases.ByName {
			out = append(out, l)
		}
	})
	writeJSON(w, map[string]any{"leases": out})
}

// dueLeases gives the expiry commands of leases whose renewals stopped for their TTL; called with beatMu held.
func (r *Replica) expiredLeases(s *State, now time.Time) []statemachine.Command {
	var due []statemachine.Command
	for name, l := range s.leases.ByName {
		if r.ttlElapsed(leaseKey(name), l.TTLms, now) {
			due = append(due, &LeaseCommand{Op: opExpireLease, Lease: Lease{Name: name, Token: l.Token}})
		}
	}
	return due
}
