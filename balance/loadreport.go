package balance

import (
	"cmp"
	"time"
)

const (
	// shorterIntervalWeight draws the interval between reports to a shorter one seen.
	shorterIntervalWeight = 0.3
	// longerIntervalWeight draws it to a longer one: an endpoint may report the same number twice by chance.
	longerIntervalWeight = 0.01
	// loadBiasSeconds is the time over which the load bias of an endpoint is learned.
	loadBiasSeconds = 15.0
	// loadBiasMaxWeight is the most that one report weighs in it: a single report is chance.
	loadBiasMaxWeight = 0.1
)

// reportInterval is the time between two reports of an endpoint that differ: the age that a report may have. It is
// learned, since no setting has it.
type reportInterval struct {
	seconds float64 // 0: not known yet
}

// isNew reports whether a load report is new, and learns the interval from it. ageSeconds is the time since the last
// queue was first reported. The same queue within the interval is the same report again. Past the interval it is new:
// an idle endpoint reports an empty queue again and again.
func (i *reportInterval) isNew(changed, busy bool, ageSeconds float64) bool {
	switch {
	case changed && (i.seconds == 0 || ageSeconds < 2*i.seconds):
		i.seconds = cmp.Or(i.seconds, ageSeconds)
		i.seconds += shorterIntervalWeight * (ageSeconds - i.seconds)
	case ageSeconds < i.seconds:
		return false
	case busy && ageSeconds < 2*i.seconds:
		i.seconds += longerIntervalWeight * (ageSeconds - i.seconds)
	}
	return true
}

// handleLoadReport applies a load report. It is old and counts this node's own requests too: these are taken off, and
// what is in flight now stays counted.
func (b *Balancer) handleLoadReport(e *endpointState, l Load) {
	queue := l.Active
	switch {
	case l.Has&(HasActive|HasWaiting) == 0:
		return
	case l.Has&HasActive == 0:
		queue = l.Waiting
	}
	e.unaccepted = 0
	e.abandoned = 0
	first := e.reportedQueueSince == 0
	age := (b.now - e.reportedQueueSince).Seconds()
	if !first && !b.reportInterval.isNew(queue != e.reportedQueue, queue > 0, age) {
		return
	}
	e.reportedQueue = queue
	e.reportedQueueSince = b.now
	b.recordLoad(e, max(0, queue-e.inFlight), b.reportInterval.seconds)
}

// recordLoad records the load of other nodes that an endpoint had some seconds ago.
func (b *Balancer) recordLoad(e *endpointState, load, secondsAgo float64) {
	at := b.now - time.Duration(secondsAgo*float64(time.Second))
	weight := min(loadBiasMaxWeight, max(0, at-e.reportedAt).Seconds()/loadBiasSeconds)
	e.loadBias += weight * (load - b.loads.zoneMean(e.Zone) - e.loadBias)
	e.reportedLoad = load
	e.reportedAt = at
	b.loads.add(b.now, e.Zone, load)
}
