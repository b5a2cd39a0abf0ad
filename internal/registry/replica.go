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

	// raftMaxRPCsInFlight turns off raft's pipelining of AppendEntries. With pipelining, a follower that fails an
	// append, for example because its disk has failed, ends only the leader's goroutine that reads the responses. The
	// leader's sending goroutine can then wait for the reading one forever, and the follower receives no further
	// entries.
	raftMaxRPCsInFlight = 1

	// raftMaxIdleConns is the number of idle connections that raft's transport keeps for each peer.
	raftMaxIdleConns = 3

	// raftIOTimeout is the timeout of the I/O operations of raft's transport.
	raftIOTimeout = 5 * time.Second
)

// Replica is one member of the registry's raft cluster. Open starts it, Serve serves its HTTP interface and Close stops
// it. It is safe for concurrent use.
type Replica struct {
	cfg       Config
	log       *slog.Logger
	raft      *raft.Raft
	fsm       *fsm
	store     *retryingStore
	transport *raft.NetworkTransport
	metrics   *metrics

	// sessions and plan are two of the state machines in the State. They must only be read under the fsm's lock.
	sessions *fleet.SessionStore
	plan     *maintenance.Plan

	views      *viewPublisher
	heartbeats heartbeatTable

	openWatches atomic.Int64  // number of watches that are waiting
	watchesDone chan struct{} // closed when the watches must end
	endWatches  func()        // closes watchesDone; further calls do nothing

	// readableTerm is the last term in which this replica, as the leader, has applied every entry of earlier terms. A
	// new leader must not serve reads before it has applied these entries, since its state may lack writes that the old
	// leader acknowledged.
	readableTerm atomic.Uint64

	// ackBeforeCommit is an injected fault for the linearizability test: writes are acknowledged before raft has
	// committed them. Only this package's tests set it.
	ackBeforeCommit bool

	stopBackground context.CancelFunc
	background     sync.WaitGroup
}

// raftStore is raft's log store and stable store in one file.
type raftStore interface {
	raft.LogStore
	raft.StableStore
	io.Closer
}

// Open starts a replica from its data_dir, which holds raft's log and stable store and the snapshots. If data_dir is
// new and cfg.Bootstrap is set, Open starts the cluster of the configured peers. ln is the listener for cfg.RaftAddr;
// raft's transport takes ownership of it. The caller must call Close when it no longer needs the replica.
func Open(cfg Config, ln net.Listener, log *slog.Logger) (*Replica, error) {
	return openWithStore(cfg, ln, log, func(s raftStore) raftStore { return s })
}

// openWithStore is like Open, but wraps raft's store with wrap, which tests use to inject faults.
func openWithStore(cfg Config, ln net.Listener, log *slog.Logger, wrap func(raftStore) raftStore) (*Replica, error) {
	if err := os.MkdirAll(cfg.DataDir, 0o755); err != nil {
		return nil, fmt.Errorf("create data_dir: %w", err)
	}
	file, err := raftboltdb.NewBoltStore(filepath.Join(cfg.DataDir, raftStoreFile))
	if err != nil {
		return nil, fmt.Errorf("open raft store: %w", err)
	}
	r := newReplica(cfg, newRetryingStore(wrap(file), log), log)
	if err := r.start(ln); err != nil {
		r.store.Close()
		return nil, err
	}
	return r, nil
}

// newReplica returns a replica that has not been started.
func newReplica(cfg Config, store *retryingStore, log *slog.Logger) *Replica {
	sessions := fleet.NewSessionStore()
	state := NewState(cfg.ChangeLogSize, sessions)
	plan := maintenance.NewPlan(memberInventory{state.members}, liveSessions{sessions})
	state.addStateMachines(plan)
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

// start starts raft and the background goroutines.
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
		MaxPool:         raftMaxIdleConns,
		Timeout:         raftIOTimeout,
		Logger:          raftLogger,
		MaxRPCsInFlight: raftMaxRPCsInFlight,
	})
	r.raft, err = raft.NewRaft(raftConfig(r.cfg, raftLogger), r.fsm, r.store, r.store, snapshots, r.transport)
	if err != nil {
		r.transport.Close()
		return fmt.Errorf("start raft: %w", err)
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

// raftConfig returns raft's configuration for the configuration of a replica.
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

// bootstrap starts the cluster of the configured peers, or of this replica alone if there are none. If data_dir already
// has raft state, raft rejects the bootstrap with ErrCantBootstrap, which is not an error here. Every replica may
// bootstrap with the same peers.
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
		return fmt.Errorf("bootstrap the raft cluster: %w", err)
	}
	return nil
}

// Close stops the replica's background goroutines, raft, the transport and the store. It must be called only once,
// after Serve has returned.
func (r *Replica) Close() error {
	r.stopBackground()
	r.background.Wait()
	r.store.stop()
	err := r.raft.Shutdown().Error()
	r.transport.Close()
	return errors.Join(err, r.store.Close())
}
