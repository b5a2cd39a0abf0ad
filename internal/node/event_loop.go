package node

import (
	"log/slog"
	"sync/atomic"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/lograte"
)

// eventLoop owns the Balancer, the tables of requests and backends, and the timers. The rest of the node sends it
// messages; it turns them into events for the Balancer and carries out the actions that this returns.
//
// Invariants: one goroutine runs it, in run, and from then on it alone touches the Balancer, the tables, the timers and
// the statistics; any goroutine may read ready. It never blocks: what may block runs in a goroutine of its own that
// sends its result as a message. So a sender may wait for the loop, and the loop never waits for a sender.
type eventLoop struct {
	messages chan loopMessage
	done     chan struct{} // closed when the loop has ended

	balancer    *balance.Balancer
	upstream    *upstreamTransport
	guard       *guard
	shutdown    *shutdownSchedule
	log         *slog.Logger
	startedAt   time.Time
	clockOrigin time.Duration // the loop's clock at startedAt: Unix time, as discovery gives starts of backends in it

	requestDiscovery    func(balance.ActionKind)              // passes on that endpoints are to be watched or polled
	sendToPeer          func(peer int, payload []byte)        // sends a gossip datagram
	takeDiscoveryCalls  func() int64                          // calls of discovery since it was last called
	onServed            func(r *request, spent time.Duration) // notified of each request served; nil: nobody is
	openResponseStreams map[string]int                        // open streamed responses by backend; nil: not counted

	requests             map[string]*request
	backendsByID         map[string]*backend // by discovery's id
	backendsByEndpointID []*backend          // by the Balancer's id
	cordons              cordonRecord
	cordonTimes          map[string]cordonTimes // of cordons, on the loop's clock, by discovery's id
	listRevision         int64                  // of the last endpoint list
	lastListAt           time.Duration          // when discovery last sent a list to this process; 0: not yet
	awaitingFirstList    bool                   // the node is not ready until discovery has pushed a list
	running              bool                   // set by run; what was applied before it is older than this process
	ready                atomic.Bool            // some backend may be sent requests

	timers       timerQueue
	queuedEvents []balance.Event // of the current message
	handling     bool            // the Balancer handles an event now
	actions      []balance.Action

	statistics         statistics
	counters           *counters
	gaugesPublishedAt  time.Duration
	unservedRequestLog *lograte.Limited
}

// messageBacklog is how many messages may wait for the loop before their senders do.
const messageBacklog = 1024

// newEventLoop returns an event loop that has no guard rules, no discovery and no peers yet.
func newEventLoop(
	balancer *balance.Balancer, upstream *upstreamTransport, counters *counters, log *slog.Logger,
) *eventLoop {
	startedAt := time.Now()
	return &eventLoop{
		messages:           make(chan loopMessage, messageBacklog),
		done:               make(chan struct{}),
		balancer:           balancer,
		upstream:           upstream,
		guard:              newGuard(balance.Config{}, log),
		log:                log,
		startedAt:          startedAt,
		clockOrigin:        wallClock(),
		requestDiscovery:   func(balance.ActionKind) {},
		sendToPeer:         func(int, []byte) {},
		takeDiscoveryCalls: func() int64 { return 0 },
		requests:           map[string]*request{},
		backendsByID:       map[string]*backend{},
		cordonTimes:        map[string]cordonTimes{},
		counters:           counters,
		unservedRequestLog: &lograte.Limited{Log: log},
	}
}

// post sends a message to the loop, which handles it after all that were sent before. It waits while the backlog is
// full, and returns false if the loop has ended. Any goroutine but the loop's own may call it.
func (l *eventLoop) post(message loopMessage) bool {
	select {
	case <-l.done:
		return false
	case l.messages <- message:
		return true
	}
}

// now returns the loop's clock: Unix time when the loop was made, and by the monotonic clock since, so it never steps
// back.
func (l *eventLoop) now() time.Duration { return l.clockOrigin + time.Since(l.startedAt) }

// run handles messages and timers until quit is closed.
func (l *eventLoop) run(quit <-chan struct{}) {
	defer close(l.done)
	l.running = true
	alarm := time.NewTimer(idleWait)
	defer alarm.Stop()
	for {
		alarm.Reset(l.timers.wait(l.now()))
		var began time.Duration
		select {
		case <-quit:
			return
		case message := <-l.messages:
			began = l.now()
			message.handle(l)
		case <-alarm.C:
			began = l.now()
		}
		l.fireTimers()
		l.report(began)
	}
}

// fireTimers notifies the Balancer of the timers that are due.
func (l *eventLoop) fireTimers() {
	now := l.now()
	for {
		id, ok := l.timers.popDue(now)
		if !ok {
			return
		}
		l.handle(balance.TimerFired{ID: id})
	}
}

// report publishes gauges and logs statistics where they are due, after a turn of the loop that began at a time.
func (l *eventLoop) report(began time.Duration) {
	now := l.now()
	l.statistics.longestTurn = max(l.statistics.longestTurn, now-began)
	if now-l.gaugesPublishedAt >= gaugeInterval {
		l.publishGauges(now)
	}
	if l.statistics.due(now) {
		l.statistics.dials = l.upstream.pool.TakeDials()
		l.statistics.discoveryCalls = l.takeDiscoveryCalls()
		l.statistics.log(now, l.log, len(l.requests), l.balancer.Stats())
	}
}

// handle gives an event to the Balancer and carries out its actions. Events that these cause are handled after it, in
// order.
func (l *eventLoop) handle(event balance.Event) {
	l.queuedEvents = append(l.queuedEvents, event)
	if l.handling {
		return
	}
	l.handling = true
	for i := 0; i < len(l.queuedEvents); i++ {
		l.actions = l.balancer.Handle(l.now(), l.queuedEvents[i], l.actions[:0])
		for j := range l.actions {
			l.execute(&l.actions[j])
		}
	}
	clear(l.queuedEvents)
	l.queuedEvents = l.queuedEvents[:0]
	l.handling = false
}

// execute carries out one action of the Balancer. Actions on requests and endpoints that the loop does not know are
// dropped.
func (l *eventLoop) execute(a *balance.Action) {
	switch a.Kind {
	case balance.Forward:
		l.startAttempt(a)
	case balance.CancelAttempt:
		if r := l.requests[a.Request]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
			l.cancelAttempt(r, a.Attempt, balance.StatusCancelled)
		}
	case balance.Reject:
		l.respond(l.requests[a.Request], finalResponse{kind: responseRejected, retryAfter: a.RetryAfter})
	case balance.Fail:
		l.respond(l.requests[a.Request], finalResponse{kind: responseFailed})
	case balance.HealthCheck:
		l.startHealthCheck(a.Endpoint)
	case balance.SetTimer:
		l.timers.add(l.now()+a.Delay, a.TimerID)
	case balance.WatchEndpoints, balance.UnwatchEndpoints, balance.FetchEndpoints:
		l.requestDiscovery(a.Kind)
	case balance.SendToPeer:
		l.sendToPeer(a.Peer, a.Payload)
	case balance.CloseIdle:
		if b := l.backendFor(a.Endpoint); b != nil {
			l.upstream.pool.CloseIdle(b.process)
		}
	case balance.Log:
		l.log.Info(a.Text)
	}
}

// backendFor returns the backend that the Balancer knows as an endpoint; nil if there is none.
func (l *eventLoop) backendFor(id balance.EndpointID) *backend {
	if int(id) >= len(l.backendsByEndpointID) {
		return nil
	}
	return l.backendsByEndpointID[id]
}
