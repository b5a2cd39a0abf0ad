package balance

import (
	"math"
	"time"
)

const (
	// sampleWeight is the weight of a new sample in a running mean, where no rule gives it more.
	sampleWeight = 0.05
	// unloadedSampleWeight is that weight in the unloaded latency of a class.
	unloadedSampleWeight = 0.03
	// maxUnloadedQueue is the largest queue estimate behind which an answer counts as unloaded.
	maxUnloadedQueue = 1.0
	// maxWorkHintMultiple: an answer that took more than this multiple of its work hint met a queue, though none was
	// estimated: estimates are old in a large fleet.
	maxWorkHintMultiple = 2.0
	// answerTimeConstantSeconds: an answer weighs as much as the time since the endpoint's last one has of this.
	answerTimeConstantSeconds = 2.0
	// serviceTimeRecovery is how far an endpoint without answers goes back to the mean service time, a window.
	serviceTimeRecovery = 0.3
	// initialServiceObjectives is the service time and unloaded latency before the first answer, in mean objectives.
	initialServiceObjectives = 0.1
)

// latencyStats is what a node has learned of the latencies of all endpoints together.
type latencyStats struct {
	classes              []classStats
	meanObjectiveSeconds float64 // of the classes' latency objectives

	// Running means over all answers, as those of an endpoint: each endpoint may see few answers of this node.
	answers            float64
	meanLatencySeconds float64
	meanQueueAtArrival float64
	meanServiceSeconds float64 // of the two: what an endpoint without answers is taken for
}

// classStats is what a node has learned of a class.
type classStats struct {
	unloadedSeconds float64 // mean latency of an answer that met no queue; 0: not known
	samples         float64 // that it is learned from
	unqueuedSamples float64 // of them, those that met no queue, work hints aside
}

func newLatencyStats(classes []Class) latencyStats {
	var objective mean
	for _, c := range classes {
		objective.add(c.LatencyObjective.Seconds())
	}
	l := latencyStats{classes: make([]classStats, len(classes)), meanObjectiveSeconds: objective.value()}
	l.meanServiceSeconds = l.initialServiceSeconds()
	return l
}

func (l *latencyStats) initialServiceSeconds() float64 {
	return initialServiceObjectives * l.meanObjectiveSeconds
}

// meanUnloadedSeconds is the mean unloaded latency of the classes met so far.
func (l *latencyStats) meanUnloadedSeconds() float64 {
	var unloaded mean
	for i := range l.classes {
		if l.classes[i].unloadedSeconds > 0 {
			unloaded.add(l.classes[i].unloadedSeconds)
		}
	}
	if unloaded.count == 0 {
		return l.initialServiceSeconds()
	}
	return unloaded.value()
}

// addAnswer adds an answer of any endpoint.
func (l *latencyStats) addAnswer(weight, seconds, queueAtArrival float64) {
	l.answers++
	weight = max(weight, 1/l.answers)
	l.meanLatencySeconds += weight * (seconds - l.meanLatencySeconds)
	l.meanQueueAtArrival += weight * (queueAtArrival - l.meanQueueAtArrival)
	l.updateServiceSeconds()
}

func (l *latencyStats) updateServiceSeconds() {
	l.meanServiceSeconds = l.meanLatencySeconds / (l.meanQueueAtArrival + 1)
}

// updateUnloadedLatency adds the latency of an answer, if it met no queue. Overloaded endpoints drain while the node
// rejects early, and then show that they are fast, slow ones that they are slow: nothing else distinguishes the two.
// Until an answer meets no queue the work hint stands for it: a node that starts among queues must not take them for
// the work.
func (c *classStats) updateUnloadedLatency(queueAtSend, seconds, hintSeconds float64) {
	weight := unloadedSampleWeight
	queued := queueAtSend > maxUnloadedQueue || hintSeconds > 0 && seconds > maxWorkHintMultiple*hintSeconds
	switch {
	case queued && c.unqueuedSamples > 0:
		return
	case queued && hintSeconds > 0:
		seconds = hintSeconds
	case !queued:
		c.unqueuedSamples++
		weight = max(weight, 1/c.unqueuedSamples)
	}
	c.samples++
	c.unloadedSeconds += max(weight, 1/c.samples) * (seconds - c.unloadedSeconds)
}

// updateServiceTime adds the latency of an answer, relative to the unloaded latency of its class, and the queue that it
// met.
func (b *Balancer) updateServiceTime(e *endpointState, r *request, a *attempt, elapsed time.Duration) {
	if r.stats.unloadedSeconds == 0 {
		return
	}
	seconds := elapsed.Seconds() / r.stats.unloadedSeconds * b.latency.meanUnloadedSeconds() * b.slowStartFraction(e)
	weight := e.addAnswer(b.now, b.latency.meanServiceSeconds, seconds, a.queueAtSend)
	b.latency.addAnswer(weight/float64(len(b.usable)+1), seconds, a.queueAtSend)
}

// addAnswer adds an answer and returns its weight. An answer out of a long queue weighs more in the service time: a
// short queue is no load to an endpoint of many cores.
func (e *endpointState) addAnswer(now time.Duration, fleetServiceSeconds, seconds, queue float64) (weight float64) {
	if e.meanLatencySeconds == 0 {
		e.meanLatencySeconds = fleetServiceSeconds * (queue + 1)
		e.meanQueueAtArrival = queue
	}
	weight = min(sampleWeight*(queue+1)/(e.meanQueueAtArrival+1), 1)
	if e.lastAnswerAt > 0 {
		weight = max(weight, 1-math.Exp(-(now-e.lastAnswerAt).Seconds()/answerTimeConstantSeconds))
	}
	e.lastAnswerAt = now
	e.meanLatencySeconds += weight * (seconds - e.meanLatencySeconds)
	e.meanQueueAtArrival += weight * (queue - e.meanQueueAtArrival)
	return weight
}

// recoverServiceTime is due once a window: an endpoint that looked slow gets no traffic, so that no answer would ever
// show that it is fast again.
func (e *endpointState) recoverServiceTime(windowStart time.Duration, fleetServiceSeconds float64) {
	if e.lastAnswerAt < windowStart && e.meanLatencySeconds > 0 {
		e.meanLatencySeconds += serviceTimeRecovery *
			(fleetServiceSeconds*(e.meanQueueAtArrival+1) - e.meanLatencySeconds)
	}
}

// warmServiceSeconds is the time for each request in an endpoint's queue when it is warm. One without answers has the
// mean of all.
func (b *Balancer) warmServiceSeconds(e *endpointState) float64 {
	if e.meanLatencySeconds == 0 {
		return b.latency.meanServiceSeconds
	}
	return e.meanLatencySeconds / (e.meanQueueAtArrival + 1)
}

// serviceSeconds is the time for each request in an endpoint's queue by now: one in slow start gets faster.
func (b *Balancer) serviceSeconds(e *endpointState) float64 {
	return b.warmServiceSeconds(e) / b.slowStartFraction(e)
}

// workSeconds is what a request costs an endpoint: its work hint, or the unloaded latency of its class. Latencies
// with a queue would make light and heavy classes alike.
func (b *Balancer) workSeconds(r *request) float64 {
	switch {
	case r.workHint > 0:
		return r.workHint.Seconds()
	case r.stats.unloadedSeconds > 0:
		return r.stats.unloadedSeconds
	}
	return b.latency.meanUnloadedSeconds()
}

// mean is a plain mean; 0 when nothing was added.
type mean struct {
	sum   float64
	count float64
}

func (m *mean) add(x float64) {
	m.sum += x
	m.count++
}

func (m *mean) value() float64 { return m.sum / max(m.count, 1) }
