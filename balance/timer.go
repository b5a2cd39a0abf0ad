package balance

import "time"

// timerKind is the purpose of a timer.
type timerKind uint8

// Kinds of timers, with the fields of timer that each kind uses.
const (
	requestDeadline     timerKind = iota // request: the client stops waiting
	healthCheckWait                      // request: it stops waiting for the health checks of its tick
	lossCheck                            // request, attempt: see scheduleLossCheck
	repeatedHealthCheck                  // endpoint: see repeatHealthCheck
	discoveryPoll
)

// timer is work that the Balancer does when a timer fires.
type timer struct {
	kind     timerKind
	request  *request
	attempt  int
	endpoint *endpointState
}

// timerSet holds the timers that have not fired, by id. Invariant: an id is never 0 and is never reused.
type timerSet struct {
	pending map[uint64]timer
	lastID  uint64
}

func (s *timerSet) add(t timer) (id uint64) {
	s.lastID++
	s.pending[s.lastID] = t
	return s.lastID
}

func (s *timerSet) take(id uint64) (t timer, ok bool) {
	t, ok = s.pending[id]
	delete(s.pending, id)
	return t, ok
}

func (b *Balancer) setTimer(delay time.Duration, t timer) {
	b.emit(startTimer(delay, b.timers.add(t)))
}

// onTimerFired does the work of a timer. An unknown timer, or one that has fired before, is ignored.
func (b *Balancer) onTimerFired(id uint64) {
	t, ok := b.timers.take(id)
	if !ok {
		return
	}
	switch t.kind {
	case requestDeadline:
		b.expire(t.request)
	case healthCheckWait:
		b.stopAwaitingChecks(t.request)
	case lossCheck:
		b.checkLoss(&t.request.attempts[t.attempt])
	case repeatedHealthCheck:
		if b.inService(t.endpoint) {
			b.emit(checkHealth(t.endpoint.ID))
		}
	case discoveryPoll:
		b.emit(watchEndpoints())
	}
}
