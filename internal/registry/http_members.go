package registry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"hitchvale/internal/statemachine"
)

// maxWatchWait is the maximum of wait_ms in PROTOCOL-hitchvale.md. Longer waits are shortened to it.
const maxWatchWait = 60 * time.Second

// roleHeader is the response header with the role of the replica that served a complete list. The list from a leader is
// linearizable; the list from a follower may lag behind by up to stale_read.
const (
	roleHeader   = "X-Registry-Role"
	roleLeader   = "leader"
	roleFollower = "follower"
)

func (r *Replica) routeMembers(mux *http.ServeMux) {
	mux.HandleFunc("GET /registry/instances", r.serveList)
	mux.HandleFunc("POST /registry/members", r.writeHandler(r.decodeRegister, newRevisionResponse))
	mux.HandleFunc("PUT /registry/members/{id}/phase", r.writeHandler(decodeSetPhase, newRevisionResponse))
	mux.HandleFunc("DELETE /registry/members/{id}", r.writeHandler(decodeDeregister, newRevisionResponse))
	mux.HandleFunc("POST /registry/members/{id}/heartbeat", r.leaderOnly(r.serveHeartbeat))
}

// serveList responds to a read or, if the call has the after parameter, to a watch. It uses the state of this replica.
func (r *Replica) serveList(w http.ResponseWriter, req *http.Request) {
	if !req.URL.Query().Has("after") {
		r.serveCompleteList(w)
		return
	}
	text := req.URL.Query().Get("after")
	after, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		writeError(w, ErrMalformed.Of("after", fmt.Errorf("%q is not a revision", text)))
		return
	}
	wait, err := parseWait(req)
	if err != nil {
		writeError(w, err)
		return
	}
	list, ok := r.watch(req.Context(), after, wait)
	if !ok {
		writeError(w, r.staleReadError())
		return
	}
	writeJSON(w, list)
}

func (r *Replica) serveCompleteList(w http.ResponseWriter) {
	if !r.canServeReads() {
		writeError(w, r.staleReadError())
		return
	}
	// The role is determined before the read. If the replica is the leader at that time, the list that it reads
	// afterwards has every write that was acknowledged before the call.
	role := r.role()
	var list MemberList
	r.fsm.read(func(s *State) { list = s.CompleteList() })
	w.Header().Set(roleHeader, role)
	writeJSON(w, list)
}

func (r *Replica) role() string {
	if r.IsLeader() {
		return roleLeader
	}
	return roleFollower
}

// watch waits until the list has changed after a revision, and returns the changes. When the wait time has passed or
// the replica shuts down, it returns the list of changes as it is, which may be empty. It returns false if this replica
// may not serve reads at that time, or if ctx ends.
func (r *Replica) watch(ctx context.Context, after int64, wait time.Duration) (MemberList, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	r.openWatches.Add(1)
	defer r.openWatches.Add(-1)
	for {
		var list MemberList
		var revision int64     // revision of the state
		var listRevision int64 // revision of the list's last change; changes of other records do not end a watch
		changed := r.fsm.read(func(s *State) {
			revision = s.Revision
			listRevision = s.members.changes.lastRevision
			list = s.ChangesSince(after)
		})
		if listRevision > after || after > revision {
			return list, r.canServeReads()
		}
		select {
		case <-changed:
		case <-timer.C:
			return list, r.canServeReads()
		case <-r.watchesDone:
			return list, r.canServeReads()
		case <-ctx.Done():
			return list, false
		}
	}
}

// registerRequest is the body of POST /registry/members.
type registerRequest struct {
	Member Member `json:"member"`
	TTLms  int64  `json:"ttl_ms"`
}

func (r *Replica) decodeRegister(req *http.Request) (statemachine.Command, error) {
	var body registerRequest
	if err := decodeBody(req, &body); err != nil {
		return nil, err
	}
	if body.Member.Phase == "" {
		body.Member.Phase = PhaseReady
	}
	if body.TTLms < 0 {
		return nil, ErrMalformed.Of("ttl_ms", errors.New("the value is negative; it must be 0 or more"))
	}
	if body.TTLms == 0 {
		body.TTLms = r.cfg.DefaultTTL.Milliseconds()
	}
	if err := body.Member.Validate(); err != nil {
		return nil, err
	}
	return withFencingToken(req, &MemberCommand{Op: opRegister, Member: body.Member, TTLms: body.TTLms})
}

// setPhaseRequest is the body of PUT /registry/members/{id}/phase.
type setPhaseRequest struct {
	Phase string `json:"phase"`
}

func decodeSetPhase(req *http.Request) (statemachine.Command, error) {
	var body setPhaseRequest
	if err := decodeBody(req, &body); err != nil {
		return nil, err
	}
	if err := validatePhase(body.Phase); err != nil {
		return nil, err
	}
	return withFencingToken(req, &MemberCommand{Op: opSetPhase, ID: req.PathValue("id"), Phase: body.Phase})
}

func decodeDeregister(req *http.Request) (statemachine.Command, error) {
	return withFencingToken(req, &MemberCommand{Op: opDeregister, ID: req.PathValue("id")})
}

// withFencingToken sets the command's fencing token from the header of the call, if there is one, and returns the
// command.
func withFencingToken(req *http.Request, c *MemberCommand) (statemachine.Command, error) {
	token, err := parseFencingToken(req)
	c.FencingToken = token
	return c, err
}

func (r *Replica) serveHeartbeat(w http.ResponseWriter, req *http.Request) {
	if err := r.Heartbeat(req.PathValue("id")); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
