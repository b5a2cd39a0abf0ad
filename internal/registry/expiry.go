package registry

import (
	"context"
	"sync"
	"time"

	"hitchvale/internal/fleet"
	"hitchvale/internal/maintenance"
	"hitchvale/internal/statemachine"
)

// expiryInterval is how often the leader looks for elapsed TTLs.
const expiryInterval = 100 * time.Millisecond

// heartbeatTable holds when the leader last got a heartbeat for each record with a TTL, on its monotonic clock. It is
// not replicated: a new leader starts with an empty table, which gives every record its full TTL again, since a record
// must not expire early for heartbeats that only the old leader got.
type heartbeatTable struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// reset forgets all heartbeats.
func (t *heartbeatTable) reset() {
	t.mu.Lock()
	t.last = map[string]time.Time{}
	t.mu.Unlock()
}

// record notes a heartbeat now.
func (t *heartbeatTable) record(key string) {
	t.mu.Lock()
	t.last[key] = time.Now()
	t.mu.Unlock()
}

// elapsedLocked reports whether a TTL has passed without a heartbeat. The TTL of a key that is not in the table starts
// now. The caller holds mu.
func (t *heartbeatTable) elapsedLocked(key string, ttlMs int64, now time.Time) bool {
	last, ok := t.last[key]
	if !ok {
		t.last[key] = now
		return false
	}
	return now.Sub(last) > time.Duration(ttlMs)*time.Millisecond
}

// ttlStarter is a command that starts a TTL once it is applied. Its key in the heartbeat table is "" if it starts none.
type ttlStarter interface{ heartbeatKey() string }

// leaseKey and sessionKey keep leases and sessions apart from members, whose keys are their IDs.
func leaseKey(name string) string { return "lease:" + name }

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

// openSessionCommand is the command that opens a session, which starts its TTL.
type openSessionCommand struct{ fleet.SessionCommand }

func (c *openSessionCommand) heartbeatKey() string { return sessionKey(c.Session.Node) }

// Heartbeat renews a member's TTL. It fails with ErrNotLeader on a follower and with ErrMemberNotFound.
func (r *Replica) Heartbeat(id string) error {
	if !r.Leader() {
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

// runExpiry follows the leadership of this replica and, while it leads, expires records with an elapsed TTL and marks
// overdue turns, until ctx ends.
func (r *Replica) runExpiry(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	leading := false
	overdue := overdueClock{}
	for {
		select {
		case <-ctx.Done():
			return
		case leading = <-r.raft.LeaderCh():
			r.heartbeats.reset()
			overdue = overdueClock{}
			if leading {
				r.applyEarlierTerms()
			}
		case <-ticker.C:
			if leading {
				r.commitExpiries(overdue)
			}
		}
	}
}

// commitExpiries writes the commands that are due now. A command that fails is due again at the next call.
func (r *Replica) commitExpiries(overdue overdueClock) {
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
			r.log.Info("expiry committed", "command", c, "revision", result.Revision)
		}
	}
}

// expiredMembers returns the commands that expire members. The caller holds heartbeats.mu, as for the next two.
func (r *Replica) expiredMembers(s *State, now time.Time) []statemachine.Command {
	var due []statemachine.Command
	for id, record := range s.members.Records {
		if record.TTLms > 0 && r.heartbeats.elapsedLocked(id, record.TTLms, now) {
			due = append(due, &MemberCommand{Op: opExpire, ID: id, SeenRevision: record.Revision})
		}
	}
	return due
}

// expiredLeases returns the commands that expire leases whose renewals stopped.
func (r *Replica) expiredLeases(s *State, now time.Time) []statemachine.Command {
	var due []statemachine.Command
	for name, lease := range s.leases.ByName {
		if r.heartbeats.elapsedLocked(leaseKey(name), lease.TTLms, now) {
			due = append(due, &LeaseCommand{Op: opExpireLease, Lease: Lease{Name: name, Token: lease.Token}})
		}
	}
	return due
}

// expiredSessions returns the commands that expire sessions whose reports stopped.
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

// overdueClock measures, by machine, how long its turn has been out, on the leader's monotonic clock. A new leader
// starts with an empty one.
type overdueClock map[string]turnObservation

// turnObservation is when this leader first saw a turn at its present revision.
type turnObservation struct {
	revision  int64
	firstSeen time.Time
}

// commands returns the commands that mark turns overdue: those out for longer than the work was expected to take.
func (o overdueClock) commands(plan *maintenance.Plan, now time.Time) []statemachine.Command {
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
