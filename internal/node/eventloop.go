package node

import (
	"container/heap"
	"log/slog"
	"sync/atomic"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/lograte"
)

// eventLoop owns the Balancer, the tables of requests and backends, and the timers. Everything else posts to it, and
// it carries out the Balancer's actions. It never waits for anyone: what may block runs in goroutines that
// post what came of it. So whoever posts waits for the loop, and the loop for nobody.
type eventLoop struct {
	balancer  *balance.Balancer
	messages  chan loopMessage
	done      chan struct{} // closed when the loop has ended
	startedAt time.Time
	origin    time.Duration // the clock at start: Unix time then, which discovery's start times are in
	log       *slog.Logger

	upstream           *upstreamTransport
	requestDiscovery   func(balance.ActionKind) // passes Watch, Unwatch and Fetch on
	sendToPeer         func(peer int, payload []byte)
	takeDiscoveryCalls func() int64                          // calls of discovery since it was last asked
	onServed           func(r *request, spent time.Duration) // a backend has served; nil: nobody asks
	openStreams        map[string]int                        // answers still being passed on, by backend; nil: nobody asks

	requests             map[string]*request
	backendsByID         map[string]*backend    // by discovery's id
	backendsByEndpointID []*backend             // by the Balancer's id
	cordons              cordons                // as the loop has taken them in
	cordonTimes          map[string]cordonTimes // theirs, on the loop's clock
	lastListAt           time.Duration          // when discovery last told this process a list; 0: it has not yet
	running              bool                   // what is told from now on has just happened
	listRevision         int64                  // of the list
	timers               timers
	timerSequence        uint64

	queuedEvents []balance.Event // that wait for the one in hand
	handling     bool
	actions      []balance.Action

	statistics        statistics
	guard             *guard
	shutdown          *shutdown
	unservedLog       *lograte.Limited
	figures           *figures
	gaugesPublishedAt time.Duration // when what only the loop knows was last published
	ready             atomic.Bool   // some backend may be sent to
	awaitingFirstList bool          // lists are pushed, and this process has not read the agent's yet
}

// messageBacklog is how many posts may wait. It only smooths: a full inbox makes posters wait.
const messageBacklog = 1024

func newEventLoop(bal *balance.Balancer, back *upstreamTransport, figures *figures, log *slog.Logger) *eventLoop {
	start := time.Now()
	return &eventLoop{
		balancer: bal, upstream: back, figures: figures, log: log, guard: newGuard(balance.Config{}, log), unservedLog: &lograte.Limited{Log: log},
		messages: make(chan loopMessage, messageBacklog), done: make(chan struct{}),
		startedAt: start, origin: wallClock(),
		requestDiscovery:   func(balance.ActionKind) {},
		sendToPeer:         func(int, []byte) {},
		takeDiscoveryCalls: func() int64 { return 0 },
		requests:           map[string]*request{}, backendsByID: map[string]*backend{}, cordonTimes: map[string]cordonTimes{},
	}
}

// post sends a message to the loop, which handles it after all that were sent before. It waits while the inbox is full, and
// returns false if the loop has ended.
func (l *eventLoop) post(message loopMessage) bool {
	select {
	case <-l.done:
		return false
	case l.messages <- message:
		return true
	}
}

// now is the Balancer's clock. It follows the monotonic clock, so that it never goes back.
func (l *eventLoop) now() time.Duration { return l.origin + time.Since(l.startedAt) }

// run serves until quit is closed.
func (l *eventLoop) run(quit <-chan struct{}) {
	defer close(l.done)
	l.running = true
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		wait := time.Hour
		if len(l.timers) > 0 {
			wait = l.timers[0].at - l.now()
		}
		alarm.Reset(wait)
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
		for now := l.now(); len(l.timers) > 0 && l.timers[0].at <= now; {
			t := heap.Pop(&l.timers).(timer)
			l.handle(balance.TimerFired{ID: t.id})
		}
		now := l.now()
		l.statistics.slowest = max(l.statistics.slowest, now-began)
		if now-l.gaugesPublishedAt >= gaugeInterval {
			l.publishGauges(now)
		}
		if l.statistics.due(now) {
			l.statistics.dials, l.statistics.calls = l.upstream.pool.dials.Swap(0), l.takeDiscoveryCalls()
			l.statistics.log(now, l.log, len(l.requests), l.balancer.Stats())
		}
	}
}

// handle gives an event to the Balancer and carries out what it answers. Events that this makes follow in order.
func (l *eventLoop) handle(ev balance.Event) {
	l.queuedEvents = append(l.queuedEvents, ev)
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
	l.queuedEvents, l.handling = l.queuedEvents[:0], false
}

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
		l.timerSequence++
		heap.Push(&l.timers, timer{at: l.now() + a.Delay, sequence: l.timerSequence, id: a.TimerID})
	case balance.WatchEndpoints, balance.UnwatchEndpoints, balance.FetchEndpoints:
		l.requestDiscovery(a.Kind)
	case balance.SendToPeer:
		l.sendToPeer(a.Peer, a.Payload)
	case balance.CloseIdle:
		if b := l.backendFor(a.Endpoint); b != nil {
			l.upstream.pool.closeIdleTo(b.process)
		}
	case balance.Log:
		l.log.Info(a.Text)
	}
}

func (l *eventLoop) backendFor(number balance.EndpointID) *backend {
	if int(number) >= len(l.backendsByEndpointID) {
		return nil
	}
	return l.backendsByEndpointID[number]
}
