package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"hitchvale/balance"
)

const (
	// backlogEmptyFor is how long the backlog must show no waiting connection before it counts as empty.
	backlogEmptyFor = 50 * time.Millisecond
	// shutdownPollInterval is how often the conditions of a shutdown are checked.
	shutdownPollInterval = 10 * time.Millisecond
)

// shutDown shuts this process down according to its schedule (shutdownSchedule). The process continues to accept until
// clients send nothing new, answers every request that it has read, and closes each connection after a response or once
// it is idle. All of this is done before the earliest time at which the process may be killed.
func (n *Node) shutDown(server *http.Server) error {
	n.log.Info("shutting down")
	schedule := n.server.shutdown
	n.server.injectShutdownFault()
	schedule.start()
	if n.handover != nil {
		n.handover.returnToPredecessor()
	}
	ctx, cancel := n.shutdownContext()
	defer cancel()
	var running sync.WaitGroup
	defer running.Wait()
	responsesCtx, stopResponses := context.WithCancel(ctx)
	defer stopResponses()
	running.Go(func() { n.sendFinalResponses(responsesCtx) })

	pause(ctx, time.Until(schedule.acceptUntil().Time()))
	err := n.drainClients(ctx)
	n.listener.Close()
	server.Close()
	n.log.Info("shut down")
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("closing the listener: %w", err)
	}
	return nil
}

// drainClients accepts the connections in the backlog, closes the listener and waits until the clients' connections
// have ended. While a successor accepts, the listener stays open: if the successor ends, this process has to serve the
// backlog again.
func (n *Node) drainClients(ctx context.Context) error {
	for {
		closed := !n.server.handedOver.Load()
		var err error
		if closed {
			n.acceptBacklog(ctx)
			err = n.listener.Close()
		}
		n.server.drain(ctx)
		if closed || n.server.handedOver.Load() {
			return err
		}
	}
}

// shutdownContext bounds how long a shutdown waits for bodies that are being forwarded. The shutdown can't end them.
// Where bodies are streamed they may have any length, so there is no bound; SIGKILL ends a process that takes too long.
func (n *Node) shutdownContext() (context.Context, context.CancelFunc) {
	if n.server.streaming {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), gracePeriodBase+2*longestDeadline(n.cfg.Settings))
}

// acceptBacklog waits until the backlog of the listener is empty. Connections wait in the backlog while the node has no
// descriptor for them or while accept fails. Closing the listener would reset them.
func (n *Node) acceptBacklog(ctx context.Context) {
	emptyFor := time.Duration(0)
	for emptyFor < backlogEmptyFor && ctx.Err() == nil && !n.server.shutdown.responsesDue() {
		pause(ctx, shutdownPollInterval)
		if n.listener.backlogged() {
			emptyFor = 0
		}
		if !n.server.shutdown.admits() {
			n.server.conns.closeWithoutRequest()
		}
		emptyFor += shutdownPollInterval
	}
}

// sendFinalResponses has the event loop answer each open request from responseDeadline on. Shortly before the earliest
// SIGKILL it has the event loop check once that no request is open.
func (n *Node) sendFinalResponses(ctx context.Context) {
	schedule := n.server.shutdown
	pause(ctx, time.Until(schedule.responseDeadline().Time()))
	checked := false
	for ctx.Err() == nil {
		n.loop.post(finalResponsesDue{})
		pause(ctx, shutdownPollInterval)
		if !checked && schedule.exitDue() {
			checked = true
			n.loop.post(shutdownCheckDue{})
		}
	}
}

// failOpenRequests fails every request that has no final response at responseDeadline, including requests that were
// admitted before SIGTERM and have a later deadline. Responses that are being streamed continue.
func (l *eventLoop) failOpenRequests() {
	var open []*request
	for _, r := range l.requests {
		if r.isOpen() {
			open = append(open, r)
		}
	}
	for _, r := range open {
		l.handle(balance.ClientDisconnected{Request: r.id}) // the Balancer starts no further attempt
		l.respond(r, finalResponse{kind: responseFailed})
	}
}

// checkAllResponded reports every request that SIGKILL would find unanswered as a violation of
// invariantShutdownAnswered.
func (l *eventLoop) checkAllResponded() {
	for id, r := range l.requests {
		if r.isOpen() {
			l.guard.reportViolation(invariantShutdownAnswered, id, "attempts", len(r.attempts), "last", r.lastStatus())
		}
	}
}
