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

// A hand-over replaces the running process of a node, the predecessor, by a new process, the successor, without
// interrupting the service. The successor inherits the listener, the endpoint list and the state of the Balancer. While
// the predecessor finishes its requests, both processes belong to one node and share its descriptor budget.

const (
	// handoverStepTimeout bounds each step of a hand-over. If the other process does not answer in time, this process
	// continues alone.
	handoverStepTimeout = time.Second
	// usageReportInterval is how often the predecessor reports its descriptor usage.
	usageReportInterval = 20 * time.Millisecond
	// reservedBackendConns is how many connections to backends a predecessor may always have to finish its requests.
	reservedBackendConns = 8
	// predecessorSettleTimeout bounds, from the start of the successor, how long the successor waits for the predecessor
	// to finish its requests before it reports ready. Once it is ready, the predecessor gets SIGTERM, and SIGKILL soon
	// afterwards.
	predecessorSettleTimeout = 5 * time.Second
	// minIdleBeforeClose is how long a client's connection to the predecessor has to be idle before it is closed. A busy
	// client sends its next request sooner.
	minIdleBeforeClose = 50 * time.Millisecond
	// predecessorLinger is how long an idle predecessor keeps running, so that its statistics can be read.
	predecessorLinger = 5 * time.Second
	// handoverProcesses is how many processes a node has during a hand-over.
	handoverProcesses = 2
	// predecessorDivisor divides the node's limits of connections. Above this part of the limit for clients, a predecessor
	// evicts clients whose requests it waits for; its reservedBackendConns are at most this part of the limit for
	// backends.
	predecessorDivisor = 4
)

// handover is the state of a process in the hand-overs of its node, first as a successor and then as a predecessor.
type handover struct {
	socketPath    string
	listenAddress string
	log           *slog.Logger
	startedAt     time.Time

	serving atomic.Bool // this process accepts, and no predecessor has requests in flight

	predecessor       *net.UnixConn // nil without a predecessor
	reader            *bufio.Reader // reads from predecessor
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

// returnToPredecessor closes the connection to the predecessor when this process shuts down. The predecessor does not
// accept while the connection is open. If it still runs, it accepts again after the close, since it may outlive this
// process.
func (h *handover) returnToPredecessor() {
	if h.predecessor != nil {
		h.predecessor.Close()
	}
}

// discard ends a hand-over that this process does not complete, and closes the inherited listener.
func (h *handover) discard() {
	h.returnToPredecessor()
	if h.inheritedListener != nil {
		h.inheritedListener.Close()
	}
}

// runHandover takes over from the predecessor, if there is one, and then waits for successors until ctx ends. It closes
// replaced once a successor serves and this process has no work left.
func (n *Node) runHandover(ctx context.Context, replaced chan<- struct{}) {
	h := n.handover
	if h.predecessor == nil {
		h.serving.Store(true)
	} else {
		stop := closeWithContext(ctx, h.predecessor)
		n.succeedPredecessor(ctx)
		stop()
		if n.server.shutdown.started() {
			return // the next successor takes over from the predecessor, if the predecessor still runs
		}
	}
	listener, err := listenUnix(h.socketPath)
	if err != nil {
		n.log.Error("hand-over socket not opened, no successor can take over", "error", err)
		return
	}
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	n.awaitSuccessors(ctx, accept.NewListener(listener, accept.LogRetries(n.log, "hand-over")), replaced)
}

// awaitSuccessors hands over to each successor that connects, until a hand-over is completed or ctx ends.
func (n *Node) awaitSuccessors(ctx context.Context, successors net.Listener, replaced chan<- struct{}) {
	for ctx.Err() == nil {
		accepted, err := successors.Accept()
		if err != nil {
			if ctx.Err() == nil {
				n.log.Error("hand-over socket lost, no successor can take over", "error", err)
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
			n.log.Error("hand-over failed, waiting for the next successor", "error", err)
		}
	}
}

// shareDescriptors limits this process to the part of the descriptor budget that the other process does not use.
func (n *Node) shareDescriptors(other descriptorUsage) {
	clients := max(n.maxClientConns-other.ClientConns, 1)
	n.listener.setLimit(clients)
	n.server.conns.setLimit(clients)
	n.pool.SetMaxOpen(max(n.maxBackendConns-other.BackendConns, 1))
}
