package balance

import (
	"cmp"
	"time"
)

const (
	// shorterIntervalWeight is the weight of a shorter interval in the learned interval between load reports.
	shorterIntervalWeight = 0.3
	// longerIntervalWeight is the weight of a longer interval: an endpoint may report the same number twice by chance.
	longerIntervalWeight = 0.01
	// loadBiasSeconds is the time over which an endpoint's load bias is learned.
	loadBiasSeconds = 15.0
	// loadBiasMaxWeight is the largest weight of one report in the load bias: a single report may differ by chance.
	loadBiasMaxWeight = 0.1
)

// reportInterval is the time between two different load reports of an endpoint. A report may be that old when it
// arrives. The interval is learned because no setting gives it.
type reportInterval struct {
	seconds float64 // 0: unknown
}

// isNew reports whether a load report is new, and learns the interval from it. ageSeconds is the time since the last
// queue length was first reported. The same length within the interval is a repeat of the last report. After the
// interval it is a new report: an idle endpoint reports an empty queue each time.
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

// handleLoadReport applies a load report. A report is old and includes this node's own requests. The attempts in flight
// are subtracted from it, because queueEstimate adds inFlight.
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

// recordLoad records the load of other nodes that an endpoint had secondsAgo seconds ago.
func (b *Balancer) recordLoad(e *endpointState, load, secondsAgo float64) {
	at := b.now - time.Duration(secondsAgo*float64(time.Second))
	weight := min(loadBiasMaxWeight, max(0, at-e.reportedAt).Seconds()/loadBiasSeconds)
	e.loadBias += weight * (load - b.loads.zoneMean(e.Zone) - e.loadBias)
	e.reportedLoad = load
	e.reportedAt = at
	b.loads.add(b.now, e.Zone, load)
}
