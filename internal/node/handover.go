package node

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"path/filepath"
	"sync/atomic"
	"time"

	"hitchvale/internal/accept"
)

const (
	// handWithin is how long each step of a hand-over may take. A process that waits longer goes on alone.
	handWithin = time.Second
	// tellEvery is how often the old process tells what it still holds.
	tellEvery = 20 * time.Millisecond
	// keepBackends is how many connections to backends the old process may always have, to finish its work.
	keepBackends = 8
	// settleWithin is how long after its start a new process waits for the old one to finish what it has before it
	// says that it is ready: the old one is told to leave then, and killed soon after.
	settleWithin = 5 * time.Second
	// idleLeast is how long a connection to the old process is idle before it is closed: the next request of a busy
	// client is on its way sooner.
	idleLeast = 50 * time.Millisecond
	// leaveAfter is how long the old process stays with nothing left to do: its figures can be read meanwhile.
	leaveAfter = 5 * time.Second
	// handMost bounds a message of a hand-over.
	handMost = 4 << 20
)

// offer is what the old process tells the one that is to replace it, beside the listener.
type offer struct {
	Discovery string          `json:"discovery"`
	List      json.RawMessage `json:"list"` // in discovery's form
}

// holds is what the old process still has of the node's descriptors, which only falls, and to do.
type holds struct {
	Clients  int `json:"clients"`
	Backends int `json:"backends"`
	Busy     int `json:"busy"` // requests under way, which may also rise
}

// handover passes the node from one process to the next. Two processes that run at once are one node.
type handover struct {
	path   string
	listen string
	log    *slog.Logger
	start  time.Time

	serving atomic.Bool // this process takes what comes, or has the node to itself

	old       *net.UnixConn // to the process that this one replaces; nil: none
	read      *bufio.Reader
	inherited net.Listener // of clients, from it
	offered   offer
}

func newHandover(cfg Config, log *slog.Logger) *handover {
	return &handover{path: filepath.Join(cfg.StateDir, "glencart-"+plain(cfg.Name)+".sock"), listen: cfg.Listen, log: log,
		start: time.Now()}
}

// next reads the next message of the old process.
func (h *handover) next(into any) error {
	line, err := readLine(h.read, handMost)
	if err != nil {
		return err
	}
	return json.Unmarshal(line, into)
}

// readLine reads a line of bounded length.
func readLine(r *bufio.Reader, most int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			return line, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if len(line) > most {
			return nil, errors.New("a message is too long")
		}
	}
}

// giveBack has the old process serve again, if it is still there, as this one was told to end: the old one may outlive it, and
// rests while it believes that this one accepts.
func (h *handover) giveBack() {
	if h.old != nil {
		h.old.Close()
	}
}

// close ends a hand-over that comes to nothing.
func (h *handover) close() {
	if h.old != nil {
		h.old.Close()
	}
	if h.inherited != nil {
		h.inherited.Close()
	}
}

// succession takes the node over from the process that runs already, if any, and then hands it to the next one that
// comes, until ctx ends. It closes replaced when another process serves and nothing is left to do here.
func (n *Node) succession(ctx context.Context, replaced chan<- struct{}) {
	h := n.handover
	if h.old != nil {
		stop := context.AfterFunc(ctx, func() { h.old.Close() })
		n.succeed(ctx)
		stop()
		if n.server.shutdown.started() {
			return // what comes next takes over from the old process, if that is still there
		}
	} else {
		h.serving.Store(true)
	}
	l, err := listenUnix(h.path)
	if err != nil {
		n.log.Error("no process can replace this one without a gap", "error", err)
		return
	}
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	successors := accept.NewListener(l, accept.LogRetries(n.log, "hand-over"))
	for ctx.Err() == nil {
		accepted, err := successors.Accept()
		if err != nil {
			if ctx.Err() == nil {
				n.log.Error("no process can replace this one any more: the next restart has to stop this one first", "error", err)
			}
			return
		}
		c, ok := accepted.(*net.UnixConn)
		if !ok {
			accepted.Close()
			continue
		}
		done, err := n.handOver(ctx, c)
		c.Close()
		if done {
			close(replaced)
			return
		}
		if err != nil {
			n.log.Error("hand-over given up", "error", err)
		}
	}
}

// allow shares the node's descriptors with the other process.
func (n *Node) allow(other holds) {
	clients := max(n.clients-other.Clients, 1)
	n.listener.setLimit(clients)
	n.server.conns.setLimit(clients)
	n.pool.setMaxOpen(max(n.backends-other.Backends, 1))
}
