package registry

import (
	"time"

	"github.com/hashicorp/raft"
)

// IsLeader reports whether this replica leads now.
func (r *Replica) IsLeader() bool { return r.raft.State() == raft.Leader }

// leaderHTTPAddr returns the HTTP address of the leader as the configuration names it; "" if it is not known.
func (r *Replica) leaderHTTPAddr() string {
	_, id := r.raft.LeaderWithID()
	for _, p := range r.cfg.Peers {
		if raft.ServerID(p.ID) == id {
			return p.HTTPAddr
		}
	}
	return ""
}

// applyEarlierTerms makes a new leader ready to serve reads: a barrier waits until every entry that was committed
// before its term is applied.
func (r *Replica) applyEarlierTerms() {
	term := r.raft.CurrentTerm()
	if err := r.raft.Barrier(applyTimeout).Error(); err != nil {
		r.log.Warn("leader not ready to serve reads", "term", term, "error", err)
		return
	}
	r.readableTerm.Store(term)
	r.log.Info("leadership acquired", "term", term)
}

// canServeReads reports whether this replica may serve reads: as leader, once it has applied every entry of earlier
// terms; as follower, if its last contact with the leader is not older than stale_read. With a failed disk it may not:
// a follower that can't write still gets heartbeats, but no entries.
func (r *Replica) canServeReads() bool {
	if r.store.lastError() != nil {
		return false
	}
	if r.IsLeader() {
		return r.readableTerm.Load() == r.raft.CurrentTerm()
	}
	lastContact := r.raft.LastContact()
	return !lastContact.IsZero() && time.Since(lastContact) <= r.cfg.MaxStaleness.Duration
}

// staleReadError returns the error of a read that this replica may not serve.
func (r *Replica) staleReadError() error {
	if err := r.store.lastError(); err != nil {
		return ErrDiskFailed.Of(r.cfg.ID, err)
	}
	return ErrReplicaStale.Of(r.cfg.ID, nil)
}
