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
const oneRPC = 1

// applyWithin bounds how long a write waits to be committed and applied.
const applyWithin = 5 * time.Second

// Replica is one member of the registry's raft cluster with its state machine and TTL keeper.
type Replica struct {
	cfg     Config
	log     *slog.Logger
	raft    *raft.Raft
	fsm     *fsm
	store   *diskStore
	trans   *raft.NetworkTransport
	metrics *metrics

	sessions *fleet.Sessions   // in the state; read under the fsm's lock
	rota     *maintenance.Rota // likewise
	fleet    *fleetSide

	watching   atomic.Int64  // watches waiting now
	ending     chan struct{} // closed when they are to end
	endWatches func()        // closes it, once
	// readyTerm is the term in which this replica, as leader, applied everything committed before it led (a
	// barrier): until then a new leader's state may lack acknowledged writes of the old one, and it must not read.
	readyTerm atomic.Uint64

	// ackEarly is a planted bug for the linearizability test alone: writes are acknowledged before raft commits
	// them. Nothing outside this package's tests sets it.
	ackEarly bool

	beatMu sync.Mutex
	beats  map[string]time.Time // last heartbeat by member, on this replica's monotonic clock, while it leads

	turnsSeen map[string]turnSeen // for keepTTLs alone, while it leads

	stop context.CancelFunc
	wg   sync.WaitGroup
}

// Open starts a replica from its folder: the raft log and stable store (raft.db, bbolt), and snapshots. A new
// folder with bootstrap set starts the cluster of the configured peers. Raft's transport takes over ln, which
// listens at cfg.Raft.
func Open(cfg Config, ln net.Listener, log *slog.Logger) (*Replica, error) {
	return openWith(cfg, ln, log, func(s raftStore) raftStore { return s })
}

// raftStore is raft's log and stable store, in one file.
type raftStore interface {
	raft.LogStore
	raft.StableStore
	io.Closer
}

// openWith opens a replica on a store that wrap has had a hand in.
func openWith(cfg Config, ln net.Listener, log *slog.Logger, wrap func(raftStore) raftStore) (*Replica, error) {
	if err := os.MkdirAll(cfg.DataDir, 0o755); err != nil {
		return nil, fmt.Errorf("data_dir: %w", err)
	}
	file, err := raftboltdb.NewBoltStore(filepath.Join(cfg.DataDir, "raft.db"))
	if err != nil {
		return nil, fmt.Errorf("raft store: %w", err)
	}
	store := newDiskStore(wrap(file), log)
	sessions := fleet.NewSessions()
	state := NewState(cfg.Ring, sessions)
	turns := maintenance.New(listOf{state.members}, nodesOf{sessions})
	state.add(turns)
	r := &Replica{cfg: cfg, log: log.With("component", "registry", "node", cfg.ID), store: store, sessions: sessions,
		rota: turns,
		fsm:  &fsm{st: state, notify: make(chan struct{})}, beats: map[string]time.Time{},
		fleet: newFleetSide(cfg.FleetInterval.Duration)}
	r.ending = make(chan struct{})
	r.endWatches = sync.OnceFunc(func() { close(r.ending) })
	r.metrics = newMetrics(r)
	if err := r.start(ln); err != nil {
		store.Close()
		return nil, err
	}
	return r, nil
}

func (r *Replica) start(ln net.Listener) error {
	hl := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, JSONFormat: true, Output: raftLog{r.log}})
	snaps, err := newSnapStore(r.cfg.DataDir, r.log)
	if err != nil {
		return err
	}
	r.trans = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: newStreamLayer(r.cfg, retrying(ln, r.log)), MaxPool: 3,
		Timeout: 5 * time.Second, Logger: hl, MaxRPCsInFlight: oneRPC})
	rc := raft.DefaultConfig()
	t := r.cfg.Timing
	rc.LocalID, rc.Logger = raft.ServerID(r.cfg.ID), hl
	rc.HeartbeatTimeout, rc.ElectionTimeout, rc.LeaderLeaseTimeout = t.Heartbeat.Duration, t.Election.Duration, t.LeaderLease.Duration
	rc.CommitTimeout, rc.SnapshotInterval = t.Commit.Duration, t.SnapshotInterval.Duration
	rc.SnapshotThreshold, rc.TrailingLogs = t.SnapshotThreshold, t.TrailingLogs
	if r.raft, err = raft.NewRaft(rc, r.fsm, r.store, r.store, snaps, r.trans); err != nil {
		r.trans.Close()
		return fmt.Errorf("raft: %w", err)
	}
	if r.cfg.Bootstrap {
		if err := r.bootstrap(); err != nil {
			r.raft.Shutdown().Error()
			r.trans.Close()
			return err
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.wg.Go(func() { r.keepTTLs(ctx) })
	r.wg.Go(func() { r.compileViews(ctx) })
	return nil
}

// bootstrap starts the cluster where this folder has no state yet (raft refuses it otherwise, which is no error).
// Every replica may do it with the same peers.
func (r *Replica) bootstrap() error {
	var servers []raft.Server
	for _, p := range r.cfg.Peers {
		servers = append(servers, raft.Server{ID: raft.ServerID(p.ID), Address: raft.ServerAddress(p.Raft)})
	}
	if len(servers) == 0 {
		servers = []raft.Server{{ID: raft.ServerID(r.cfg.ID), Address: raft.ServerAddress(r.cfg.Raft)}}
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
	r.wg.Wait()
	r.store.stop()
	err := r.raft.Shutdown().Error()
	r.trans.Close()
	return errors.Join(err, r.store.Close())
}

// Leader tells whether this replica leads now.
func (r *Replica) Leader() bool { return r.raft.State() == raft.Leader }

// leaderHTTP is the HTTP address of the replica that leads, as the configuration names it; "" where unknown.
func (r *Replica) leaderHTTP() string {
	_, id := r.raft.LeaderWithID()
	for _, p := range r.cfg.Peers {
		if raft.ServerID(p.ID) == id {
			return p.HTTP
		}
	}
	return ""
}

// fresh tells whether this replica may serve reads: it leads and has applied all that was committed before, or
// it heard from the leader within StaleRead. A follower that can't write hears heartbeats, which need no write, and no news.
func (r *Replica) fresh() bool {
	if r.store.failing() != nil {
		return false
	}
	if r.Leader() {
		return r.readyTerm.Load() == r.raft.CurrentTerm()
	}
	last := r.raft.LastContact()
	return !last.IsZero() && time.Since(last) <= r.cfg.StaleRead.Duration
}

// whyNotFresh is the error of a read that this replica may not serve.
func (r *Replica) whyNotFresh() error {
	if err := r.store.failing(); err != nil {
		return ErrDisk.Of(r.cfg.ID, err)
	}
	return ErrNotFresh.Of(r.cfg.ID, nil)
}

// beating is a command that starts a TTL on the leader's clock, under a key of its own; "" for none.
type beating interface{ beats() string }

func (c *MemberCommand) beats() string {
	if c.Op == "register" {
		return c.Member.ID
	}
	return ""
}

func (c *LeaseCommand) beats() string {
	if c.Op == "acquire" {
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
	f := r.raft.Apply(text, applyWithin)
	if r.ackEarly {
		return Result{}, nil
	}
	if err := f.Error(); err != nil {
		if disk := r.store.failing(); disk != nil {
			return Result{}, ErrDisk.Of(r.cfg.ID, disk)
		}
		if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipLost) {
			return Result{}, ErrNotLeader.Of(r.cfg.ID, err)
		}
		return Result{}, ErrNotCommitted.Of("", err)
	}
	res, _ := f.Response().(Result)
	if b, ok := c.(beating); ok && res.Err == nil {
		if key := b.beats(); key != "" {
			r.beat(key)
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
	r.fsm.read(func(s *State) { _, known = s.Members[id] })
	if !known {
		return ErrUnknown.Of(id, nil)
	}
	r.beat(id)
	return nil
}

func (r *Replica) beat(id string) {
	r.beatMu.Lock()
	r.beats[id] = time.Now()
	r.beatMu.Unlock()
}

// keepTTLs expires members whose heartbeats stopped, while this replica leads. On becoming leader it starts every
// TTL afresh at full length: the old leader's heartbeats are not known here, and a member must not go early.
func (r *Replica) keepTTLs(ctx context.Context) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	leading := false
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-r.raft.LeaderCh():
			leading = l
			r.beatMu.Lock()
			r.beats = map[string]time.Time{}
			r.beatMu.Unlock()
			r.turnsSeen = map[string]turnSeen{}
			if l {
				r.lead()
			}
		case <-tick.C:
			if leading {
				r.expire()
			}
		}
	}
}

// lead makes a new leader ready to read: a barrier has it apply every entry committed before its term.
func (r *Replica) lead() {
	term := r.raft.CurrentTerm()
	if err := r.raft.Barrier(applyWithin).Error(); err != nil {
		r.log.Warn("leading, not ready to read", "term", term, "error", err)
		return
	}
	r.readyTerm.Store(term)
	r.log.Info("leading", "term", term)
}

// overdue tells whether nothing kept a TTL for as long; what is new to this leader has a full TTL from now. Called with
// beatMu held.
func (r *Replica) overdue(key string, ttlMs int64, now time.Time) bool {
	last, ok := r.beats[key]
	if !ok {
		r.beats[key] = now
		return false
	}
	return now.Sub(last) > time.Duration(ttlMs)*time.Millisecond
}

func (r *Replica) expire() {
	now := time.Now()
	var due []statemachine.Command
	r.fsm.read(func(s *State) {
		r.beatMu.Lock()
		defer r.beatMu.Unlock()
		for id, e := range s.Members {
			if e.TTLms > 0 && r.overdue(id, e.TTLms, now) {
				due = append(due, &MemberCommand{Op: "expire", ID: id, Seen: e.Changed})
			}
		}
		due = append(due, r.dueSessions(now)...)
		due = append(due, r.dueTurns(r.turnsSeen, now)...)
		due = append(due, r.dueLeases(s, now)...)
	})
	for _, c := range due {
		res, err := r.Write(c)
		if err == nil && res.Err == nil {
			r.log.Info("time is up", "command", c, "revision", res.Revision)
		}
	}
}
