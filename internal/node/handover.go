package node

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"path/filepath"
	"sync/atomic"
	"time"

	"hitchvale/internal/accept"
)

// A hand-over replaces the running process of a node, the predecessor, by a new one, the successor, without a gap: the
// successor inherits the listener, the endpoint list and the state of the module. Both processes are one node and share
// its descriptor budget while the predecessor finishes what it has.

const (
	// handoverStepTimeout bounds each step. A process that waits longer goes on alone.
	handoverStepTimeout = time.Second
	// usageReportInterval is how often the predecessor reports its descriptor usage.
	usageReportInterval = 20 * time.Millisecond
	// reservedBackendConns is how many connections to backends a predecessor may always have, to finish its work.
	reservedBackendConns = 8
	// predecessorSettleTimeout is how long after its start a successor waits for the predecessor to finish its requests
	// before it reports ready: the predecessor gets SIGTERM then, and is killed soon after.
	predecessorSettleTimeout = 5 * time.Second
	// minIdleBeforeClose is how long a client's connection to the predecessor is idle before it is closed. The next
	// request of a busy client comes sooner.
	minIdleBeforeClose = 50 * time.Millisecond
	// predecessorLinger is how long an idle predecessor stays, so that its statistics can be read.
	predecessorLinger = 5 * time.Second
	// predecessorDivisor divides the node's connections: clients that keep a predecessor waiting are evicted down to
	// that part, and its reservedBackendConns are no more than that part.
	predecessorDivisor = 4
)

// handover is a process's part in the hand-overs of its node.
type handover struct {
	socketPath    string
	listenAddress string
	log           *slog.Logger
	startedAt     time.Time

	serving atomic.Bool // this process accepts, and no predecessor has requests in flight

	predecessor       *net.UnixConn // nil: there is none
	reader            *bufio.Reader // of predecessor
	inheritedListener net.Listener
	offer             handoverOffer
}

func newHandover(cfg Config, log *slog.Logger) *handover {
	return &handover{
		socketPath:    filepath.Join(cfg.StateDir, "glencart-"+fileNamePart(cfg.Name)+".sock"),
		listenAddress: cfg.Listen,
		log:           log,
		startedAt:     time.Now(),
	}
}

// returnToPredecessor has a predecessor that still runs serve again, as this process got SIGTERM: the predecessor
// may outlive it, and does not accept while it believes that this process does.
func (h *handover) returnToPredecessor() {
	if h.predecessor != nil {
		h.predecessor.Close()
	}
}

// discard ends a hand-over that this process does not complete.
func (h *handover) discard() {
	h.returnToPredecessor()
	if h.inheritedListener != nil {
		h.inheritedListener.Close()
	}
}

// runHandover takes over from the predecessor, if any, and then hands over to the next successor, until ctx ends. It
// closes replaced when a successor serves and this process has no work any more.
func (n *Node) runHandover(ctx context.Context, replaced chan<- struct{}) {
	h := n.handover
	if h.predecessor == nil {
		h.serving.Store(true)
	} else {
		stop := closeWithContext(ctx, h.predecessor)
		n.succeedPredecessor(ctx)
		stop()
		if n.server.shutdown.started() {
			return // the next successor takes over from the predecessor, if that still runs
		}
	}
	listener, err := listenUnix(h.socketPath)
	if err != nil {
		n.log.Error("hand-over socket not opened", "error", err)
		return
	}
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	n.awaitSuccessors(ctx, accept.NewListener(listener, accept.LogRetries(n.log, "hand-over")), replaced)
}

// awaitSuccessors hands over to one successor after the other until one of them serves.
func (n *Node) awaitSuccessors(ctx context.Context, successors net.Listener, replaced chan<- struct{}) {
	for ctx.Err() == nil {
		accepted, err := successors.Accept()
		if err != nil {
			if ctx.Err() == nil {
				n.log.Error("hand-over socket lost", "error", err)
			}
			return
		}
		successor, ok := accepted.(*net.UnixConn)
		if !ok {
			accepted.Close()
			continue
		}
		done, err := n.handOverTo(ctx, successor)
		successor.Close()
		if done {
			close(replaced)
			return
		}
		if err != nil {
			n.log.Error("hand-over failed", "error", err)
		}
	}
}

// shareDescriptors limits this process to the descriptors that the other process of the node does not use.
func (n *Node) shareDescriptors(other descriptorUsage) {
	clients := max(n.maxClientConns-other.ClientConns, 1)
	n.listener.setLimit(clients)
	n.server.conns.setLimit(clients)
	n.pool.SetMaxOpen(max(n.maxBackendConns-other.BackendConns, 1))
}
