package node

import (
	"log/slog"
	"sync/atomic"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/lograte"
)

// eventLoop owns the Balancer, the tables of requests and backends, and the timers. The rest of the node sends messages
// to the event loop. The loop turns them into events for the Balancer and carries out the actions that the Balancer
// returns.
//
// Once run has been called, only its goroutine may access the Balancer, the tables, the timers and the statistics; any
// goroutine may read ready. The loop never blocks: an operation that may block runs in its own goroutine, which sends
// the result as a message. A sender may therefore wait for the loop, but the loop never waits for a sender.
type eventLoop struct {
	messages chan loopMessage
	done     chan struct{} // closed when the loop has ended

	balancer    *balance.Balancer
	upstream    *upstreamTransport
	guard       *guard
	shutdown    *shutdownSchedule
	log         *slog.Logger
	startedAt   time.Time
	clockOrigin time.Duration // the loop's clock at startedAt: Unix time, like the start times in endpoint lists

	requestDiscovery    func(balance.ActionKind)              // asks the discovery client to watch or poll
	sendToPeer          func(peer int, payload []byte)        // sends a gossip datagram
	takeDiscoveryCalls  func() int64                          // returns the discovery calls since it was last called
	onServed            func(r *request, spent time.Duration) // called for each served request; may be nil
	openResponseStreams map[string]int                        // open streamed responses by backend id; nil: not counted

	requests             map[string]*request
	begun                *begunRequests      // requests that must not run again
	begunElsewhere       *begunQueue         // for the other process of the node; nil if there is none
	backendsByID         map[string]*backend // by the id in the endpoint list
	backendsByEndpointID []*backend          // the index is the Balancer's id
	cordons              cordonRecord
	cordonTimes          map[string]cordonTimes // on the loop's clock, by the backend's id
	listRevision         int64                  // revision of the last endpoint list
	lastListAt           time.Duration          // when this process last received a list from discovery; 0: never
	awaitingFirstList    bool                   // the node is not ready before discovery has pushed a list
	running              bool                   // set by run; state applied before run is older than this process
	ready                atomic.Bool            // the node is ready: some backend may be sent requests

	timers       timerQueue
	queuedEvents []balance.Event // events that the current message has caused
	handling     bool            // the Balancer is handling an event
	actions      []balance.Action

	statistics         statistics
	counters           *counters
	gaugesPublishedAt  time.Duration
	unservedRequestLog *lograte.Limited
	repeatedRequestLog *lograte.Limited
}

// messageBacklog is how many messages may be queued for the loop before their senders block.
const messageBacklog = 1024

// newEventLoop returns an event loop without settings for its guard, without discovery and without peers. A caller that
// needs them sets the fields before run.
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
		begun:              newBegunRequests(0),
		backendsByID:       map[string]*backend{},
		cordonTimes:        map[string]cordonTimes{},
		counters:           counters,
		unservedRequestLog: &lograte.Limited{Log: log},
		repeatedRequestLog: &lograte.Limited{Log: log},
	}
}

// post sends a message to the loop, which handles messages in the order of sending. It blocks while the backlog is
// full, and returns false if the loop has ended. Any goroutine except the loop's own may call it.
func (l *eventLoop) post(message loopMessage) bool {
	select {
	case <-l.done:
		return false
	case l.messages <- message:
		return true
	}
}

// now returns the time on the loop's clock. The clock starts at the Unix time of newEventLoop and advances with the
// monotonic clock, so it never steps back.
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
		l.publishStatistics(began)
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

// publishStatistics publishes gauges and logs statistics if they are due. It is called after each iteration of the
// loop, with the time at which the iteration began.
func (l *eventLoop) publishStatistics(began time.Duration) {
	now := l.now()
	l.statistics.longestIteration = max(l.statistics.longestIteration, now-began)
	if now-l.gaugesPublishedAt >= gaugeInterval {
		l.publishGauges(now)
	}
	if l.statistics.due(now) {
		l.statistics.dials = l.upstream.pool.TakeDials()
		l.statistics.discoveryCalls = l.takeDiscoveryCalls()
		l.statistics.log(now, l.log, len(l.requests), l.balancer.Stats())
	}
}

// handle passes an event to the Balancer and carries out the actions that the Balancer returns. Events that these
// actions cause are queued and handled afterwards, in order.
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

// execute carries out one action of the Balancer. It ignores actions on requests and endpoints that are not in the
// loop's tables.
func (l *eventLoop) execute(a *balance.Action) {
	switch a.Kind {
	case balance.Forward:
		l.startAttempt(a)
	case balance.CancelAttempt:
		if r := l.requests[a.Request]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
			l.endAttempt(r, a.Attempt)
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

// backendFor returns the backend that has an endpoint id; nil if there is none.
func (l *eventLoop) backendFor(id balance.EndpointID) *backend {
	if int(id) >= len(l.backendsByEndpointID) {
		return nil
	}
	return l.backendsByEndpointID[id]
}
