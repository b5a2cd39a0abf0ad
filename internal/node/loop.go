package node

import (
	"container/heap"
	"log/slog"
	"sync/atomic"
	"time"

	"hitchvale/balance"
	"hitchvale/internal/lograte"
)

// loop owns the Balancer, the tables of requests and backends, and the timers. Everything else posts to it, and
// it carries out the Balancer's actions. It never waits for anyone: what may block runs in goroutines that
// post what came of it. So whoever posts waits for the loop, and the loop for nobody.
type loop struct {
	bal    *balance.Balancer
	inbox  chan loopMessage
	done   chan struct{} // closed when the loop has ended
	start  time.Time
	origin time.Duration // the clock at start: Unix time then, which discovery's start times are in
	log    *slog.Logger

	back      *exchanges
	askAbout  func(balance.ActionKind) // passes Watch, Unwatch and Fetch on
	tellPeers func(peer int, payload []byte)
	askedOf   func() int64                          // calls of discovery since it was last asked
	worked    func(r *request, spent time.Duration) // a backend has served; nil: nobody asks
	streams   map[string]int                        // answers still being passed on, by backend; nil: nobody asks

	requests    map[string]*request
	backends    map[string]*backend    // by discovery's id
	byNumber    []*backend             // by the Balancer's id
	cordons     cordons                // as the loop has taken them in
	cordonTimes map[string]cordonTimes // theirs, on the loop's clock
	listedAt    time.Duration          // when discovery last told this process a list; 0: it has not yet
	running     bool                   // what is told from now on has just happened
	revision    int64                  // of the list
	timers      timers
	seq         uint64

	events  []balance.Event // that wait for the one in hand
	busy    bool
	actions []balance.Action

	counts   counts
	guard    *guard
	shutdown *shutdown
	unserved *lograte.Limited
	figures  *figures
	shownAt  time.Duration // when what only the loop knows was last published
	ready    atomic.Bool   // some backend may be sent to
	untold   bool          // lists are pushed, and this process has not read the agent's yet
}

const (
	served answerKind = iota
	refused
	failed
	doubled // another request of this id is open
)

// inboxSize is how many posts may wait. It only smooths: a full inbox makes posters wait.
const inboxSize = 1024

func newLoop(bal *balance.Balancer, back *exchanges, figures *figures, log *slog.Logger) *loop {
	start := time.Now()
	return &loop{
		bal: bal, back: back, figures: figures, log: log, guard: newGuard(balance.Config{}, log), unserved: &lograte.Limited{Log: log},
		inbox: make(chan loopMessage, inboxSize), done: make(chan struct{}),
		start: start, origin: wallClock(),
		askAbout:  func(balance.ActionKind) {},
		tellPeers: func(int, []byte) {},
		askedOf:   func() int64 { return 0 },
		requests:  map[string]*request{}, backends: map[string]*backend{}, cordonTimes: map[string]cordonTimes{},
	}
}

// post sends a message to the loop, which handles it after all that were sent before. It waits while the inbox is full, and
// returns false if the loop has ended.
func (l *loop) post(message loopMessage) bool {
	select {
	case <-l.done:
		return false
	case l.inbox <- message:
		return true
	}
}

// now is the Balancer's clock. It follows the monotonic clock, so that it never goes back.
func (l *loop) now() time.Duration { return l.origin + time.Since(l.start) }

// run serves until quit is closed.
func (l *loop) run(quit <-chan struct{}) {
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
		case message := <-l.inbox:
			began = l.now()
			message.handle(l)
		case <-alarm.C:
			began = l.now()
		}
		for now := l.now(); len(l.timers) > 0 && l.timers[0].at <= now; {
			t := heap.Pop(&l.timers).(timer)
			l.handle(balance.TimerFired{ID: t.mark})
		}
		now := l.now()
		l.counts.slowest = max(l.counts.slowest, now-began)
		if now-l.shownAt >= showEvery {
			l.show(now)
		}
		if l.counts.due(now) {
			l.counts.dials, l.counts.calls = l.back.pool.dials.Swap(0), l.askedOf()
			l.counts.tell(now, l.log, len(l.requests), l.bal.Stats())
		}
	}
}

// handle gives an event to the Balancer and carries out what it answers. Events that this makes follow in order.
func (l *loop) handle(ev balance.Event) {
	l.events = append(l.events, ev)
	if l.busy {
		return
	}
	l.busy = true
	for i := 0; i < len(l.events); i++ {
		l.actions = l.bal.Handle(l.now(), l.events[i], l.actions[:0])
		for j := range l.actions {
			l.do(&l.actions[j])
		}
	}
	clear(l.events)
	l.events, l.busy = l.events[:0], false
}

func (l *loop) do(a *balance.Action) {
	switch a.Kind {
	case balance.Forward:
		l.send(a)
	case balance.CancelAttempt:
		if r := l.requests[a.Request]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
			l.giveUp(r, a.Attempt, balance.StatusCancelled)
		}
	case balance.Reject:
		l.finish(l.requests[a.Request], answer{kind: refused, retryIn: a.RetryAfter})
	case balance.Fail:
		l.finish(l.requests[a.Request], answer{kind: failed})
	case balance.HealthCheck:
		l.probe(a.Endpoint)
	case balance.SetTimer:
		l.seq++
		heap.Push(&l.timers, timer{at: l.now() + a.Delay, seq: l.seq, mark: a.TimerID})
	case balance.WatchEndpoints, balance.UnwatchEndpoints, balance.FetchEndpoints:
		l.askAbout(a.Kind)
	case balance.SendToPeer:
		l.tellPeers(a.Peer, a.Payload)
	case balance.CloseIdle:
		if b := l.backend(a.Endpoint); b != nil {
			l.back.pool.drop(b.to)
		}
	case balance.Log:
		l.log.Info(a.Text)
	}
}

func (l *loop) backend(number balance.EndpointID) *backend {
	if int(number) >= len(l.byNumber) {
		return nil
	}
	return l.byNumber[number]
}
