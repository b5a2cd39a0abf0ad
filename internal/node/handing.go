package node

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"glencart/balance"
	"glencart/internal/accept"
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

// handing passes the node from one process to the next. Two processes that run at once are one node.
type handing struct {
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

func newHanding(cfg Config, log *slog.Logger) *handing {
	return &handing{path: filepath.Join(cfg.StateDir, "glencart-"+plain(cfg.Name)+".sock"), listen: cfg.Listen, log: log,
		start: time.Now()}
}

// claim asks a process that runs already for its listener. Without one, or if it does not answer, this process
// starts on its own.
func (h *handing) claim() {
	c, err := dialUnix(h.path)
	if err != nil {
		return // nobody is there
	}
	c.SetDeadline(time.Now().Add(handWithin))
	if err := h.receive(c); err != nil {
		h.log.Error("the running process does not hand over: starting beside it", "error", err)
		c.Close()
		h.inherited = nil
		return
	}
	c.SetDeadline(time.Time{})
	h.old = c
	h.log.Info("a process runs already: replacing it")
}

// receive takes the listener and what comes with it.
func (h *handing) receive(c *net.UnixConn) error {
	oob := make([]byte, syscall.CmsgSpace(4))
	var one [1]byte
	_, n, _, _, err := c.ReadMsgUnix(one[:], oob)
	if err != nil {
		return err
	}
	messages, err := syscall.ParseSocketControlMessage(oob[:n])
	if err != nil || len(messages) != 1 {
		return fmt.Errorf("no listener came: %w", err)
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return fmt.Errorf("no listener came: %w", err)
	}
	f := os.NewFile(uintptr(fds[0]), "listener")
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		return err
	}
	if l.Addr().String() != h.listen {
		l.Close()
		return fmt.Errorf("it listens on %v", l.Addr())
	}
	h.read = bufio.NewReader(c)
	if err := h.next(&h.offered); err != nil {
		l.Close()
		return err
	}
	h.inherited = l
	return nil
}

// next reads the next message of the old process.
func (h *handing) next(into any) error {
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

// list returns the list of backends of the old process: what this one is told at its start may be old.
func (h *handing) list(cfg Config) (List, bool) {
	if h.old == nil || len(h.offered.List) == 0 {
		return List{}, false
	}
	list, err := parseList(h.offered.List, cfg.Settings)
	if err != nil {
		h.log.Error("the list of the running process can't be read", "error", err)
		return List{}, false
	}
	if h.offered.Discovery != cfg.Discovery {
		list.Revision = cfg.Known.Revision // another discovery may number its lists in another way
	}
	return list, len(list.Members) > 0
}

// giveBack has the old process serve again, if it is still there, as this one was told to end: the old one may outlive it, and
// rests while it believes that this one accepts.
func (h *handing) giveBack() {
	if h.old != nil {
		h.old.Close()
	}
}

// close ends a handing over that comes to nothing.
func (h *handing) close() {
	if h.old != nil {
		h.old.Close()
	}
	if h.inherited != nil {
		h.inherited.Close()
	}
}

// take has the old process stop accepting, and returns what it has learned and what it still holds.
func (h *handing) take() (m learned, left holds, err error) {
	h.old.SetDeadline(time.Now().Add(handWithin))
	if _, err = io.WriteString(h.old, "take\n"); err == nil {
		if err = h.next(&m); err == nil {
			err = h.next(&left)
		}
	}
	h.old.SetDeadline(time.Time{})
	return m, left, err
}

// succession takes the node over from the process that runs already, if any, and then hands it to the next one that
// comes, until ctx ends. It closes replaced when another process serves and nothing is left to do here.
func (n *Node) succession(ctx context.Context, replaced chan<- struct{}) {
	h := n.handing
	if h.old != nil {
		stop := context.AfterFunc(ctx, func() { h.old.Close() })
		n.succeed(ctx)
		stop()
		if n.front.shutdown.begun() {
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
	heirs := accept.NewListener(l, accept.LogTo(n.log, "hand-over"))
	for ctx.Err() == nil {
		accepted, err := heirs.Accept()
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

// succeed takes over, and follows the old process until it has ended.
func (n *Node) succeed(ctx context.Context) {
	h := n.handing
	defer h.old.Close()
	for !n.loop.ready.Load() && ctx.Err() == nil {
		if n.front.shutdown.begun() {
			return // the old process keeps the node: this one could not serve it for long
		}
		pause(ctx, lookEvery)
	}
	known, left, err := h.take()
	n.loop.post(func() { n.loop.handle(balance.Event{Kind: balance.TookOver, Memory: n.loop.recall(known)}) })
	n.allow(left)
	n.listener.rest(false)
	n.log.Info("took over", "old", left, "error", err)
	settled := time.AfterFunc(time.Until(h.start.Add(settleWithin)), func() { h.serving.Store(true) })
	defer settled.Stop()
	for err == nil {
		if left.Busy == 0 {
			h.serving.Store(true)
		}
		if err = h.next(&left); err == nil {
			n.allow(left)
		}
	}
	h.serving.Store(true)
	if ctx.Err() == nil && !n.front.shutdown.begun() {
		n.log.Info("the old process has ended")
		n.allow(holds{})
	}
}

// allow shares the node's descriptors with the other process.
func (n *Node) allow(other holds) {
	clients := max(n.clients-other.Clients, 1)
	n.listener.allow(clients)
	n.front.allow(clients)
	n.pool.allow(max(n.backends-other.Backends, 1))
}

// handOver hands the node to the process at the other end. It returns true when that one serves and nothing is left
// to do here, and otherwise when it has gone.
func (n *Node) handOver(ctx context.Context, c *net.UnixConn) (done bool, err error) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	c.SetDeadline(time.Now().Add(handWithin))
	if err := n.offer(ctx, c); err != nil {
		return false, err
	}
	c.SetDeadline(time.Time{}) // it may take its time until it is ready
	line, err := readLine(bufio.NewReaderSize(c, 16), 16)
	if err != nil {
		return false, err
	}
	if string(line) != "take\n" {
		return false, fmt.Errorf("asked %q", line)
	}
	var known learned
	if err := n.loop.ask(ctx, func() { known = n.loop.remember() }); err != nil {
		return false, err
	}
	n.handed(true)
	n.log.Info("handed over")
	text, err := json.Marshal(known)
	if err == nil {
		_, err = c.Write(append(text, '\n'))
	}
	if err == nil {
		err = n.tellHolds(ctx, c, &done)
	}
	if !done && ctx.Err() == nil && plantShutdown != plantSuccessor {
		// Also while this process leaves: the listener is both processes', and what waits there has nobody else.
		n.handed(false)
		n.allow(holds{})
		n.log.Error("the process that took over has gone: serving again", "error", err)
		return false, nil
	}
	return done, nil
}

// handed has this process stop, or begin again, to take what comes.
func (n *Node) handed(out bool) {
	n.front.handed.Store(out)
	n.listener.rest(out)
	n.loop.post(func() { n.loop.handle(balance.Event{Kind: balance.HandedOver, Out: out}) })
}

// offer passes the listener and the list on.
func (n *Node) offer(ctx context.Context, c *net.UnixConn) error {
	l, ok := n.listener.Listener.(syscall.Conn)
	if !ok {
		return errors.New("the listener can't be passed on")
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var list []byte
	if err := n.loop.ask(ctx, func() { list = n.loop.listed() }); err != nil {
		return err
	}
	n.disco.mu.Lock()
	o := offer{Discovery: n.disco.addr, List: list}
	n.disco.mu.Unlock()
	text, err := json.Marshal(o)
	if err != nil {
		return err
	}
	var sent error
	if err := raw.Control(func(fd uintptr) {
		_, _, sent = c.WriteMsgUnix([]byte{'L'}, syscall.UnixRights(int(fd)), nil)
	}); err != nil {
		return err
	}
	if sent != nil {
		return sent
	}
	_, err = c.Write(append(text, '\n'))
	return err
}

// tellHolds tells the new process what this one still holds until one of them ends. done is set when nothing is left.
func (n *Node) tellHolds(ctx context.Context, c *net.UnixConn, done *bool) error {
	gone := make(chan struct{})
	go func() {
		io.Copy(io.Discard, c) // nothing more comes but its end
		close(gone)
	}()
	defer func() { c.Close(); <-gone }()
	told, open, busyAt := holds{Clients: -1}, n.backends, time.Now()
	for {
		// What begins here now may not end in time. Who asks on a kept connection as it is closed asks again.
		n.front.endIdle(idleLeast, closedForHandOver)
		n.front.shed(n.clients / 4)
		inUse, idle := n.pool.held()
		// Never more than before: the new process uses what this one has told that it left.
		open = max(min(open, inUse), min(keepBackends, n.backends/4))
		n.pool.allow(open)
		now := holds{Clients: n.listener.held(), Backends: open, Busy: n.front.busy()}
		if now != told {
			text, _ := json.Marshal(now)
			if _, err := c.Write(append(text, '\n')); err != nil {
				return err
			}
			told = now
		}
		if now.Clients > 0 || inUse > idle {
			busyAt = time.Now()
		}
		if time.Since(busyAt) >= leaveAfter {
			n.pool.allow(0)
			*done = true
			return nil
		}
		select {
		case <-gone:
			return io.EOF
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(tellEvery):
		}
	}
}
