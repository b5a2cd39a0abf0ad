package balance

import "time"

// timerKind is what a timer is for.
type timerKind uint8

// Kinds of timers, with the fields of timer that each one uses.
const (
	requestDeadline     timerKind = iota // request: its client stops waiting
	healthCheckWait                      // request: it no longer waits for the health checks of its tick
	lossCheck                            // request, attempt: see scheduleLossCheck
	repeatedHealthCheck                  // endpoint: see repeatHealthCheck
	discoveryPoll
)

// timer is what the module has to do at some time.
type timer struct {
	kind     timerKind
	request  *request
	attempt  int
	endpoint *endpointState
}

// timerSet holds the timers that have not fired, by id. Invariant: ids are never used twice, and never 0.
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

// onTimerFired does what a timer is for. A timer that is not known, or has fired before, does nothing.
func (b *Balancer) onTimerFired(id uint64) {
	t, ok := b.timers.take(id)
	if !ok {
		return
	}
	switch t.kind {
	case requestDeadline:
		if !t.request.finished && !t.request.streamStarted {
			b.endRequest(t.request)
		}
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
