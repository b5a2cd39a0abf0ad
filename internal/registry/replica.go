package registry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"hitchvale/internal/fleet"
	"hitchvale/internal/maintenance"
	"hitchvale/internal/statemachine"
)

// oneRPC turns raft's pipelining of appends off. Where a follower fails an append, as one does whose disk fails, the leader's
// pipeline ends for its reader alone; its sender can wait for that reader for ever, and the follower hears nothing more.
const maxRPCsInFlight = 1

// applyWithin bounds how long a write waits to be committed and applied.
const applyTimeout = 5 * time.Second

// Replica is one member of the registry's raft cluster with its state machine and TTL keeper.
type Replica struct {
	cfg       Config
	log       *slog.Logger
	raft      *raft.Raft
	fsm       *fsm
	store     *retryingStore
	transport *raft.NetworkTransport
	metrics   *metrics

	sessions    *fleet.SessionStore // in the state; read under the fsm's lock
	maintenance *maintenance.Plan   // likewise
	views       *viewPublisher

	openWatches  atomic.Int64  // watches waiting now
	watchesEnded chan struct{} // closed when they are to end
	endWatches   func()        // closes it, once
	// readyTerm is the term in which this replica, as leader, applied everything committed before it led (a
	// barrier): until then a new leader's state may lack acknowledged writes of the old one, and it must not read.
	readableTerm atomic.Uint64

	// ackEarly is a planted bug for the linearizability test alone: writes are acknowledged before raft commits
	// them. Nothing outside this package's tests sets it.
	acknowledgeEarly bool

	heartbeatMu   sync.Mutex
	lastHeartbeat map[string]time.Time // last heartbeat by member, on this replica's monotonic clock, while it leads

	outSince map[string]turnObservation // for keepTTLs alone, while it leads

	stop       context.CancelFunc
	background sync.WaitGroup
}

// Open starts a replica from its folder: the raft log and stable store (raft.db, bbolt), and snapshots. A new
// folder with bootstrap set starts the cluster of the configured peers. Raft's transport takes over ln, which
// listens at cfg.Raft.
func Open(cfg Config, ln net.Listener, log *slog.Logger) (*Replica, error) {
	return openWithStore(cfg, ln, log, func(s raftStore) raftStore { return s })
}

// raftStore is raft's log and stable store, in one file.
type raftStore interface {
	raft.LogStore
	raft.StableStore
	io.Closer
}

// openWith opens a replica on a store that wrap has had a hand in.
func openWithStore(cfg Config, ln net.Listener, log *slog.Logger, wrap func(raftStore) raftStore) (*Replica, error) {
	if err := os.MkdirAll(cfg.DataDir, 0o755); err != nil {
		return nil, fmt.Errorf("data_dir: %w", err)
	}
	file, err := raftboltdb.NewBoltStore(filepath.Join(cfg.DataDir, "raft.db"))
	if err != nil {
		return nil, fmt.Errorf("raft store: %w", err)
	}
	store := newRetryingStore(wrap(file), log)
	sessions := fleet.NewSessionStore()
	state := NewState(cfg.ChangeLogSize, sessions)
	turns := maintenance.NewPlan(memberInventory{state.members}, liveSessions{sessions})
	state.addMachines(turns)
	r := &Replica{cfg: cfg, log: log.With("component", "registry", "node", cfg.ID), store: store, sessions: sessions,
		maintenance: turns,
		fsm:         &fsm{state: state, changed: make(chan struct{})}, lastHeartbeat: map[string]time.Time{},
		views: newViewPublisher(cfg.FleetInterval.Duration)}
	r.watchesEnded = make(chan struct{})
	r.endWatches = sync.OnceFunc(func() { close(r.watchesEnded) })
	r.metrics = newMetrics(r)
	if err := r.start(ln); err != nil {
		store.Close()
		return nil, err
	}
	return r, nil
}

func (r *Replica) start(ln net.Listener) error {
	hl := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, JSONFormat: true, Output: raftLogWriter{r.log}})
	snaps, err := newSnapshotStore(r.cfg.DataDir, r.log)
	if err != nil {
		return err
	}
	r.transport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: newStreamLayer(r.cfg, retryingListener(ln, r.log)), MaxPool: 3,
		Timeout: 5 * time.Second, Logger: hl, MaxRPCsInFlight: maxRPCsInFlight})
	rc := raft.DefaultConfig()
	t := r.cfg.Timing
	rc.LocalID, rc.Logger = raft.ServerID(r.cfg.ID), hl
	rc.HeartbeatTimeout, rc.ElectionTimeout, rc.LeaderLeaseTimeout = t.Heartbeat.Duration, t.Election.Duration, t.LeaderLease.Duration
	rc.CommitTimeout, rc.SnapshotInterval = t.Commit.Duration, t.SnapshotInterval.Duration
	rc.SnapshotThreshold, rc.TrailingLogs = t.SnapshotThreshold, t.TrailingLogs
	if r.raft, err = raft.NewRaft(rc, r.fsm, r.store, r.store, snaps, r.transport); err != nil {
		r.transport.Close()
		return fmt.Errorf("raft: %w", err)
	}
	if r.cfg.Bootstrap {
		if err := r.bootstrap(); err != nil {
			r.raft.Shutdown().Error()
			r.transport.Close()
			return err
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.background.Go(func() { r.runExpiry(ctx) })
	r.background.Go(func() { r.publishViews(ctx) })
	return nil
}

// bootstrap starts the cluster where this folder has no state yet (raft refuses it otherwise, which is no error).
// Every replica may do it with the same peers.
func (r *Replica) bootstrap() error {
	var servers []raft.Server
	for _, p := range r.cfg.Peers {
		servers = append(servers, raft.Server{ID: raft.ServerID(p.ID), Address: raft.ServerAddress(p.RaftAddr)})
	}
	if len(servers) == 0 {
		servers = []raft.Server{{ID: raft.ServerID(r.cfg.ID), Address: raft.ServerAddress(r.cfg.RaftAddr)}}
	}
	if err := r.raft.BootstrapCluster(raft.Configuration{Servers: servers}).Error(); err != nil &&
		!errors.Is(err, raft.ErrCantBootstrap) {
		return fmt.Errorf("bootstrap: %w", err)
	}
	return nil
}

// Close stops the replica: its TTL keeper, raft, the transport and the store.
func (r *Replica) Close() error {
	r.stop()
	r.background.Wait()
	r.store.stop()
	err := r.raft.Shutdown().Error()
	r.transport.Close()
	return errors.Join(err, r.store.Close())
}

// Leader tells whether this replica leads now.
func (r *Replica) Leader() bool { return r.raft.State() == raft.Leader }

// leaderHTTP is the HTTP address of the replica that leads, as the configuration names it; "" where unknown.
func (r *Replica) leaderHTTPAddr() string {
	_, id := r.raft.LeaderWithID()
	for _, p := range r.cfg.Peers {
		if raft.ServerID(p.ID) == id {
			return p.HTTPAddr
		}
	}
	return ""
}

// fresh tells whether this replica may serve reads: it leads and has applied all that was committed before, or
// it heard from the leader within StaleRead. A follower that can't write hears heartbeats, which need no write, and no news.
func (r *Replica) canServeReads() bool {
	if r.store.lastError() != nil {
		return false
	}
	if r.Leader() {
		return r.readableTerm.Load() == r.raft.CurrentTerm()
	}
	last := r.raft.LastContact()
	return !last.IsZero() && time.Since(last) <= r.cfg.MaxStaleness.Duration
}

// whyNotFresh is the error of a read that this replica may not serve.
func (r *Replica) staleReadError() error {
	if err := r.store.lastError(); err != nil {
		return ErrDiskFailed.Of(r.cfg.ID, err)
	}
	return ErrReplicaStale.Of(r.cfg.ID, nil)
}

// beating is a command that starts a TTL on the leader's clock, under a key of its own; "" for none.
type ttlStarter interface{ heartbeatKey() string }

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

// Write commits one command through raft and gives its result once applied here. It fails with ErrNotLeader on
// a follower; an error from raft means the write may or may not be committed later, as with any lost answer.
func (r *Replica) Write(c statemachine.Command) (Result, error) {
	if !r.Leader() {
		return Result{}, ErrNotLeader.Of(r.cfg.ID, nil)
	}
	text, err := EncodeCommand(c)
	if err != nil {
		return Result{}, err
	}
	f := r.raft.Apply(text, applyTimeout)
	if r.acknowledgeEarly {
		return Result{}, nil
	}
	if err := f.Error(); err != nil {
		if disk := r.store.lastError(); disk != nil {
			return Result{}, ErrDiskFailed.Of(r.cfg.ID, disk)
		}
		if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipLost) {
			return Result{}, ErrNotLeader.Of(r.cfg.ID, err)
		}
		return Result{}, ErrNotCommitted.Of("", err)
	}
	res, _ := f.Response().(Result)
	if b, ok := c.(ttlStarter); ok && res.Err == nil {
		if key := b.heartbeatKey(); key != "" {
			r.recordHeartbeat(key)
		}
	}
	return res, nil
}

// Heartbeat keeps a member's TTL; only the leader keeps them.
func (r *Replica) Heartbeat(id string) error {
	if !r.Leader() {
		return ErrNotLeader.Of(r.cfg.ID, nil)
	}
	known := false
	r.fsm.read(func(s *State) { _, known = s.members.Records[id] })
	if !known {
		return ErrMemberNotFound.Of(id, nil)
	}
	r.recordHeartbeat(id)
	return nil
}

func (r *Replica) recordHeartbeat(id string) {
	r.heartbeatMu.Lock()
	r.lastHeartbeat[id] = time.Now()
	r.heartbeatMu.Unlock()
}

// keepTTLs expires members whose heartbeats stopped, while this replica leads. On becoming leader it starts every
// TTL afresh at full length: the old leader's heartbeats are not known here, and a member must not go early.
func (r *Replica) runExpiry(ctx context.Context) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	leading := false
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-r.raft.LeaderCh():
			leading = l
			r.heartbeatMu.Lock()
			r.lastHeartbeat = map[string]time.Time{}
			r.heartbeatMu.Unlock()
			r.outSince = map[string]turnObservation{}
			if l {
				r.applyEarlierTerms()
			}
		case <-tick.C:
			if leading {
				r.expireSilent()
			}
		}
	}
}

// lead makes a new leader ready to read: a barrier has it apply every entry committed before its term.
func (r *Replica) applyEarlierTerms() {
	term := r.raft.CurrentTerm()
	if err := r.raft.Barrier(applyTimeout).Error(); err != nil {
		r.log.Warn("leading, not ready to read", "term", term, "error", err)
		return
	}
	r.readableTerm.Store(term)
	r.log.Info("leading", "term", term)
}

// overdue tells whether nothing kept a TTL for as long; what is new to this leader has a full TTL from now. Called with
// beatMu held.
func (r *Replica) ttlElapsed(key string, ttlMs int64, now time.Time) bool {
	last, ok := r.lastHeartbeat[key]
	if !ok {
		r.lastHeartbeat[key] = now
		return false
	}
	return now.Sub(last) > time.Duration(ttlMs)*time.Millisecond
}

func (r *Replica) expireSilent() {
	now := time.Now()
	var due []statemachine.Command
	r.fsm.read(func(s *State) {
		r.heartbeatMu.Lock()
		defer r.heartbeatMu.Unlock()
		for id, e := range s.members.Records {
			if e.TTLms > 0 && r.ttlElapsed(id, e.TTLms, now) {
				due = append(due, &MemberCommand{Op: opExpire, ID: id, SeenRevision: e.Revision})
			}
		}
		due = append(due, r.expiredSessions(now)...)
		due = append(due, r.overdueTurns(r.outSince, now)...)
		due = append(due, r.expiredLeases(s, now)...)
	})
	for _, c := range due {
		res, err := r.Write(c)
		if err == nil && res.Err == nil {
			r.log.Info("time is up", "command", c, "revision", res.Revision)
		}
	}
}
