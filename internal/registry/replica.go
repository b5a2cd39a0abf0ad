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
)

const (
	// raftStoreFile is the file in a replica's data_dir that holds raft's log and stable store (bbolt).
	raftStoreFile = "raft.db"

	// maxRPCsInFlight turns off raft's pipelining of appends. When a follower fails an append, as one with a failed
	// disk does, the pipeline ends for the leader's reader alone; the leader's sender can wait for that reader for
	// ever, and the follower gets nothing more.
	maxRPCsInFlight = 1

	// raftConnectionPool is the number of idle connections that raft caches for each peer.
	raftConnectionPool = 3

	// raftIOTimeout bounds one read or write of raft's transport.
	raftIOTimeout = 5 * time.Second
)

// Replica is one member of the registry's raft cluster. Open starts it, Serve answers its HTTP calls and Close stops
// it.
type Replica struct {
	cfg       Config
	log       *slog.Logger
	raft      *raft.Raft
	fsm       *fsm
	store     *retryingStore
	transport *raft.NetworkTransport
	metrics   *metrics

	// Two of the state's machines, to be read under the fsm's lock.
	sessions *fleet.SessionStore
	plan     *maintenance.Plan

	views      *viewPublisher
	heartbeats heartbeatTable

	openWatches atomic.Int64  // watches waiting now
	watchesDone chan struct{} // closed when watches have to end
	endWatches  func()        // closes watchesDone, once

	// readableTerm is the term in which this replica, as leader, has applied every entry of earlier terms. Before that
	// a new leader's state may lack writes that the old one acknowledged, and it must not serve reads.
	readableTerm atomic.Uint64

	// acknowledgeEarly is a planted fault for the linearizability test alone: writes are acknowledged before raft has
	// committed them. Nothing outside this package's tests sets it.
	acknowledgeEarly bool

	stopBackground context.CancelFunc
	background     sync.WaitGroup
}

// raftStore is raft's log and stable store, in one file.
type raftStore interface {
	raft.LogStore
	raft.StableStore
	io.Closer
}

// Open starts a replica from its data_dir: raft's log and stable store, and the snapshots. A new data_dir with
// bootstrap set starts the cluster of the configured peers. Raft's transport takes over ln, the listener for
// cfg.RaftAddr.
func Open(cfg Config, ln net.Listener, log *slog.Logger) (*Replica, error) {
	return openWithStore(cfg, ln, log, func(s raftStore) raftStore { return s })
}

// openWithStore is Open with a wrapper around raft's store, by which tests inject faults.
func openWithStore(cfg Config, ln net.Listener, log *slog.Logger, wrap func(raftStore) raftStore) (*Replica, error) {
	if err := os.MkdirAll(cfg.DataDir, 0o755); err != nil {
		return nil, fmt.Errorf("data_dir: %w", err)
	}
	file, err := raftboltdb.NewBoltStore(filepath.Join(cfg.DataDir, raftStoreFile))
	if err != nil {
		return nil, fmt.Errorf("raft store: %w", err)
	}
	r := newReplica(cfg, newRetryingStore(wrap(file), log), log)
	if err := r.start(ln); err != nil {
		r.store.Close()
		return nil, err
	}
	return r, nil
}

// newReplica returns a replica that is not started.
func newReplica(cfg Config, store *retryingStore, log *slog.Logger) *Replica {
	sessions := fleet.NewSessionStore()
	state := NewState(cfg.ChangeLogSize, sessions)
	plan := maintenance.NewPlan(memberInventory{state.members}, liveSessions{sessions})
	state.addMachines(plan)
	r := &Replica{
		cfg:         cfg,
		log:         log.With("component", "registry", "node", cfg.ID),
		fsm:         newFSM(state),
		store:       store,
		sessions:    sessions,
		plan:        plan,
		views:       newViewPublisher(cfg.FleetInterval.Duration),
		watchesDone: make(chan struct{}),
	}
	r.heartbeats.reset()
	r.endWatches = sync.OnceFunc(func() { close(r.watchesDone) })
	r.metrics = newMetrics(r)
	return r
}

// start joins the raft cluster and starts the leader's background work.
func (r *Replica) start(ln net.Listener) error {
	raftLogger := hclog.New(&hclog.LoggerOptions{
		Name:       "raft",
		Level:      hclog.Warn,
		JSONFormat: true,
		Output:     raftLogWriter{r.log},
	})
	snapshots, err := newSnapshotStore(r.cfg.DataDir, r.log)
	if err != nil {
		return err
	}
	r.transport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream:          newStreamLayer(r.cfg, retryingListener(ln, r.log)),
		MaxPool:         raftConnectionPool,
		Timeout:         raftIOTimeout,
		Logger:          raftLogger,
		MaxRPCsInFlight: maxRPCsInFlight,
	})
	r.raft, err = raft.NewRaft(raftConfig(r.cfg, raftLogger), r.fsm, r.store, r.store, snapshots, r.transport)
	if err != nil {
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
	ctx, cancel := context.WithCancel(context.Background())
	r.stopBackground = cancel
	r.background.Go(func() { r.runExpiry(ctx) })
	r.background.Go(func() { r.publishViews(ctx) })
	return nil
}

// raftConfig returns raft's configuration for a replica's.
func raftConfig(cfg Config, logger hclog.Logger) *raft.Config {
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(cfg.ID)
	c.Logger = logger
	c.HeartbeatTimeout = cfg.Timing.Heartbeat.Duration
	c.ElectionTimeout = cfg.Timing.Election.Duration
	c.LeaderLeaseTimeout = cfg.Timing.LeaderLease.Duration
	c.CommitTimeout = cfg.Timing.Commit.Duration
	c.SnapshotInterval = cfg.Timing.SnapshotInterval.Duration
	c.SnapshotThreshold = cfg.Timing.SnapshotThreshold
	c.TrailingLogs = cfg.Timing.TrailingLogs
	return c
}

// bootstrap starts the cluster if data_dir has no state yet; raft refuses it otherwise, which is no error. Every
// replica may bootstrap with the same peers.
func (r *Replica) bootstrap() error {
	var servers []raft.Server
	for _, p := range r.cfg.Peers {
		servers = append(servers, raft.Server{ID: raft.ServerID(p.ID), Address: raft.ServerAddress(p.RaftAddr)})
	}
	if len(servers) == 0 {
		servers = []raft.Server{{ID: raft.ServerID(r.cfg.ID), Address: raft.ServerAddress(r.cfg.RaftAddr)}}
	}
	err := r.raft.BootstrapCluster(raft.Configuration{Servers: servers}).Error()
	if err != nil && !errors.Is(err, raft.ErrCantBootstrap) {
		return fmt.Errorf("bootstrap: %w", err)
	}
	return nil
}

// Close stops the replica's background work, raft, the transport and the store.
func (r *Replica) Close() error {
	r.stopBackground()
	r.background.Wait()
	r.store.stop()
	err := r.raft.Shutdown().Error()
	r.transport.Close()
	return errors.Join(err, r.store.Close())
}
