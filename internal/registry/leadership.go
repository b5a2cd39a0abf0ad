package registry

import (
	"time"

	"github.com/hashicorp/raft"
)

// IsLeader reports whether this replica is currently the leader.
func (r *Replica) IsLeader() bool { return r.raft.State() == raft.Leader }

// leaderHTTPAddr returns the leader's HTTP address from the configuration, or "" if the leader is not known.
func (r *Replica) leaderHTTPAddr() string {
	_, id := r.raft.LeaderWithID()
	for _, p := range r.cfg.Peers {
		if raft.ServerID(p.ID) == id {
			return p.HTTPAddr
		}
	}
	return ""
}

// applyEarlierTerms prepares a new leader to serve reads. It waits, with a raft barrier, until this replica has applied
// every entry that was committed in earlier terms.
func (r *Replica) applyEarlierTerms() {
	term := r.raft.CurrentTerm()
	if err := r.raft.Barrier(applyTimeout).Error(); err != nil {
		r.log.Warn("the raft barrier failed; this new leader does not serve reads in this term", "term", term, "error", err)
		return
	}
	r.readableTerm.Store(term)
	r.log.Info("became the leader and serves reads", "term", term)
}

// canServeReads reports whether this replica may serve reads. The leader may serve them after it has applied every
// entry of earlier terms. A follower may serve them while its last contact with the leader is not older than
// stale_read. A replica whose last disk write failed may not serve reads: a follower that cannot write still receives
// heartbeats from the leader, but its state does not advance.
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

// staleReadError returns the error for a read that this replica may not serve: ErrDiskFailed if its last disk write
// failed, otherwise ErrReplicaStale.
func (r *Replica) staleReadError() error {
	if err := r.store.lastError(); err != nil {
		return ErrDiskFailed.Of(r.cfg.ID, err)
	}
	return ErrReplicaStale.Of(r.cfg.ID, nil)
}
