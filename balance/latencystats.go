package balance

import (
	"math"
	"time"
)

const (
	// sampleWeight is the weight of a new sample in a running mean, unless a rule gives it a higher weight.
	sampleWeight = 0.05
	// unloadedSampleWeight is the weight of a new sample in the unloaded latency of a class.
	unloadedSampleWeight = 0.03
	// maxUnloadedQueue is the largest queue estimate at which an answer counts as unloaded.
	maxUnloadedQueue = 1.0
	// maxWorkHintMultiple is the multiple of the work hint beyond which the latency of an answer must include time in a
	// queue, even if the queue estimate shows no queue. Queue estimates are old in a large fleet.
	maxWorkHintMultiple = 2.0
	// answerTimeConstantSeconds is the time constant with which the weight of an answer grows with the time since the
	// endpoint's last answer.
	answerTimeConstantSeconds = 2.0
	// serviceTimeRecovery is the fraction of the way to the mean service time that an endpoint without answers goes in
	// each window.
	serviceTimeRecovery = 0.3
	// initialServiceObjectives is the service time and the unloaded latency before the first answer, in mean latency
	// objectives.
	initialServiceObjectives = 0.1
)

// latencyStats is what a node has learned of the latencies of all endpoints together.
type latencyStats struct {
	classes              []classStats
	meanObjectiveSeconds float64 // mean of the classes' latency objectives

	// Running means over the answers of all endpoints, because this node may get few answers from each endpoint.
	answers            float64 // number of answers in the means
	meanLatencySeconds float64
	meanQueueAtArrival float64
	meanServiceSeconds float64 // derived from the two means above; used for endpoints without answers
}

// classStats is what a node has learned of a class.
type classStats struct {
	unloadedSeconds float64 // mean latency of a request that did not wait in a queue; 0: unknown
	samples         float64 // number of samples in unloadedSeconds
	unqueuedSamples float64 // number of samples that are answers without a queue, and not work hints
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

// meanUnloadedSeconds is the mean unloaded latency of the classes whose unloaded latency is known.
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

// addAnswer adds an answer of any endpoint to the means.
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

// updateUnloadedLatency adds the latency of an answer, if its request did not wait in a queue. While the node rejects
// early, the queues get shorter. Endpoints that were only overloaded then answer fast, and slow endpoints still answer
// slowly. Nothing else distinguishes the two. Until the first answer without a queue, the work hint is added instead,
// because a node that starts when queues are long must not take the time in queues for work.
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

// updateServiceTime adds the latency of an answer, relative to the unloaded latency of its class, and the queue
// estimate at the time when its request was sent.
func (b *Balancer) updateServiceTime(e *endpointState, r *request, a *attempt, elapsed time.Duration) {
	if r.stats.unloadedSeconds == 0 {
		return
	}
	seconds := elapsed.Seconds() / r.stats.unloadedSeconds * b.latency.meanUnloadedSeconds() * b.slowStartFraction(e)
	weight := e.addAnswer(b.now, b.latency.meanServiceSeconds, seconds, a.queueAtSend)
	b.latency.addAnswer(weight/float64(len(b.usable)+1), seconds, a.queueAtSend)
}

// addAnswer adds an answer to the endpoint's means and returns its weight. An answer after a long queue has a higher
// weight in the service time, because a short queue is no load to an endpoint with many cores.
func (e *endpointState) addAnswer(now time.Duration, meanServiceSeconds, seconds, queue float64) (weight float64) {
	if e.meanLatencySeconds == 0 {
		e.meanLatencySeconds = meanServiceSeconds * (queue + 1)
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

// recoverServiceTime is called once a window. It moves the service time of an endpoint without answers in the window
// towards the mean of all endpoints. An endpoint that looked slow gets no traffic, so no answer would show that it is
// fast again.
func (e *endpointState) recoverServiceTime(windowStart time.Duration, meanServiceSeconds float64) {
	if e.lastAnswerAt < windowStart && e.meanLatencySeconds > 0 {
		e.meanLatencySeconds += serviceTimeRecovery *
			(meanServiceSeconds*(e.meanQueueAtArrival+1) - e.meanLatencySeconds)
	}
}

// warmServiceSeconds is the time for each request in an endpoint's queue when the endpoint is warm. An endpoint without
// answers has the mean of all endpoints.
func (b *Balancer) warmServiceSeconds(e *endpointState) float64 {
	if e.meanLatencySeconds == 0 {
		return b.latency.meanServiceSeconds
	}
	return e.meanLatencySeconds / (e.meanQueueAtArrival + 1)
}

// serviceSeconds is the present time for each request in an endpoint's queue. It falls during slow start.
func (b *Balancer) serviceSeconds(e *endpointState) float64 {
	return b.warmServiceSeconds(e) / b.slowStartFraction(e)
}

// workSeconds is the work of a request for an endpoint: its work hint, or the unloaded latency of its class. Latencies
// that include queues would make light and heavy classes look alike.
func (b *Balancer) workSeconds(r *request) float64 {
	switch {
	case r.workHint > 0:
		return r.workHint.Seconds()
	case r.stats.unloadedSeconds > 0:
		return r.stats.unloadedSeconds
	}
	return b.latency.meanUnloadedSeconds()
}

// mean is an arithmetic mean. Its value is 0 if nothing was added.
type mean struct {
	sum   float64
	count float64
}

func (m *mean) add(x float64) {
	m.sum += x
	m.count++
}

func (m *mean) value() float64 { return m.sum / max(m.count, 1) }
