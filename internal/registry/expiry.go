package registry

import (
	"context"
	"sync"
	"time"

	"hitchvale/internal/fleet"
	"hitchvale/internal/maintenance"
	"hitchvale/internal/statemachine"
)

// expiryInterval is the interval at which the leader looks for elapsed TTLs and overdue turns.
const expiryInterval = 100 * time.Millisecond

// heartbeatTable holds the time at which the leader last received a heartbeat for each record with a TTL, on the
// leader's monotonic clock. It is not replicated. A new leader starts with an empty table, which gives every record its
// full TTL again: a record must not expire because the new leader lacks a heartbeat that only the old leader received.
// It is safe for concurrent use.
type heartbeatTable struct {
	mu   sync.Mutex
	last map[string]time.Time // by heartbeat key
}

// reset removes all heartbeats.
func (t *heartbeatTable) reset() {
	t.mu.Lock()
	t.last = map[string]time.Time{}
	t.mu.Unlock()
}

// record stores the current time as the last heartbeat of a key.
func (t *heartbeatTable) record(key string) {
	t.mu.Lock()
	t.last[key] = time.Now()
	t.mu.Unlock()
}

// elapsedLocked reports whether the TTL of a key has elapsed since its last heartbeat. The TTL of a key that is not in
// the table starts now. The caller must hold mu.
func (t *heartbeatTable) elapsedLocked(key string, ttlMs int64, now time.Time) bool {
	last, ok := t.last[key]
	if !ok {
		t.last[key] = now
		return false
	}
	return now.Sub(last) > time.Duration(ttlMs)*time.Millisecond
}

// ttlStarter is a command that may start a TTL when it is applied. heartbeatKey returns the record's key in the
// heartbeat table, or "" if the command starts no TTL.
type ttlStarter interface{ heartbeatKey() string }

// leaseKey returns the heartbeat key of a lease. The prefix distinguishes the key from the keys of members, which are
// the members' IDs.
func leaseKey(name string) string { return "lease:" + name }

// sessionKey returns the heartbeat key of a node's session.
func sessionKey(node string) string { return "session:" + node }

func (c *MemberCommand) heartbeatKey() string {
	if c.Op == opRegister {
		return c.Member.ID
	}
	return ""
}

func (c *LeaseCommand) heartbeatKey() string {
	if c.Op == opAcquireLease {
		return leaseKey(c.Lease.Name)
	}
	return ""
}

// openSessionCommand is the command that opens a session. It starts the session's TTL.
type openSessionCommand struct{ fleet.SessionCommand }

func (c *openSessionCommand) heartbeatKey() string { return sessionKey(c.Session.Node) }

// Heartbeat renews a member's TTL. It fails with ErrNotLeader on a follower, and with ErrMemberNotFound if the list has
// no such member.
func (r *Replica) Heartbeat(id string) error {
	if !r.IsLeader() {
		return ErrNotLeader.Of(r.cfg.ID, nil)
	}
	known := false
	r.fsm.read(func(s *State) { _, known = s.members.Records[id] })
	if !known {
		return ErrMemberNotFound.Of(id, nil)
	}
	r.heartbeats.record(id)
	return nil
}

// runExpiry runs until ctx ends. While this replica is the leader, it expires records whose TTL has elapsed and marks
// overdue turns. When the replica becomes the leader, it also prepares the replica to serve reads.
func (r *Replica) runExpiry(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	leading := false
	overdue := overdueTracker{}
	for {
		select {
		case <-ctx.Done():
			return
		case leading = <-r.raft.LeaderCh(): // sends at each gain and loss of the leadership
			r.heartbeats.reset()
			overdue = overdueTracker{}
			if leading {
				r.applyEarlierTerms()
			}
		case <-ticker.C:
			if leading {
				r.commitDueCommands(overdue)
			}
		}
	}
}

// commitDueCommands writes the commands that expire records and mark overdue turns. If a command fails, the next call
// tries it again.
func (r *Replica) commitDueCommands(overdue overdueTracker) {
	now := time.Now()
	var due []statemachine.Command
	r.fsm.read(func(s *State) {
		r.heartbeats.mu.Lock()
		defer r.heartbeats.mu.Unlock()
		due = append(due, r.expiredMembers(s, now)...)
		due = append(due, r.expiredSessions(now)...)
		due = append(due, overdue.commands(r.plan, now)...)
		due = append(due, r.expiredLeases(s, now)...)
	})
	for _, c := range due {
		result, err := r.Write(c)
		if err == nil && result.Err == nil {
			r.log.Info("committed the expiry of a record or an overdue turn", "command", c, "revision", result.Revision)
		}
	}
}

// expiredMembers returns the commands that expire members whose heartbeats have stopped. The caller must hold
// heartbeats.mu and the fsm's read lock.
func (r *Replica) expiredMembers(s *State, now time.Time) []statemachine.Command {
	var due []statemachine.Command
	for id, record := range s.members.Records {
		if record.TTLms > 0 && r.heartbeats.elapsedLocked(id, record.TTLms, now) {
			due = append(due, &MemberCommand{Op: opExpire, ID: id, SeenRevision: record.Revision})
		}
	}
	return due
}

// expiredLeases returns the commands that expire leases whose renewals have stopped. The caller must hold heartbeats.mu
// and the fsm's read lock.
func (r *Replica) expiredLeases(s *State, now time.Time) []statemachine.Command {
	var due []statemachine.Command
	for name, lease := range s.leases.ByName {
		if r.heartbeats.elapsedLocked(leaseKey(name), lease.TTLms, now) {
			due = append(due, &LeaseCommand{Op: opExpireLease, Lease: Lease{Name: name, Token: lease.Token}})
		}
	}
	return due
}

// expiredSessions returns the commands that expire sessions whose reports have stopped. The caller must hold
// heartbeats.mu and the fsm's read lock.
func (r *Replica) expiredSessions(now time.Time) []statemachine.Command {
	var due []statemachine.Command
	for node, session := range r.sessions.Open {
		if r.heartbeats.elapsedLocked(sessionKey(node), session.TTLms, now) {
			expired := fleet.Session{Node: node, Incarnation: session.Incarnation}
			due = append(due, &fleet.SessionCommand{Op: fleet.OpExpireSession, Session: expired})
		}
	}
	return due
}

// overdueTracker records, by machine ID, since when this leader has seen the machine's turn in state Out, on the
// leader's monotonic clock. A new leader starts with an empty tracker. It is not safe for concurrent use.
type overdueTracker map[string]turnObservation

// turnObservation is the time at which this leader first saw a turn at its current revision.
type turnObservation struct {
	revision  int64
	firstSeen time.Time
}

// commands returns the commands that mark turns overdue. A turn is overdue if it has been in state Out for longer than
// the expected duration of the work on its machine. The caller must hold the fsm's read lock.
func (o overdueTracker) commands(plan *maintenance.Plan, now time.Time) []statemachine.Command {
	var due []statemachine.Command
	for id, turn := range plan.Turns {
		if turn.State != maintenance.Out || turn.Overdue {
			delete(o, id)
			continue
		}
		observed, ok := o[id]
		if !ok || observed.revision != turn.Revision {
			o[id] = turnObservation{revision: turn.Revision, firstSeen: now}
			continue
		}
		if now.Sub(observed.firstSeen) > time.Duration(plan.ExpectedWorkMs(turn))*time.Millisecond {
			due = append(due, &maintenance.Command{Op: maintenance.OpMarkOverdue, Machine: id, Revision: turn.Revision})
		}
	}
	for id := range o {
		if plan.Turns[id] == nil {
			delete(o, id)
		}
	}
	return due
}
