package balance

import (
	"math"
	"time"
)

// This file learns from answers how much work requests are and how fast servers do it.

// classStats is what a node has learned of a class.
type classStats struct {
	unloadedSeconds float64 // mean time of an answer that met no queue, seconds
	samples         float64 // answers that told of it
	unqueuedSamples float64 // those that met no queue
}

// learnBase takes in the time of an answer that met no queue. Crowded servers drain under early refusal
// and then show that they are quick, slow ones that they are slow: nothing else tells the two apart. Until
// one is met, the hint stands for it: a node that starts among queues must not take them for the work.
// Entries are old in a large fleet: an answer that took hintMost times its hint met a queue that none showed.
func (b *Balancer) learnUnloadedLatency(r *request, a *attempt, spent float64) {
	c, w, hint := r.stats, unloadedLatencyWeight, r.workHint.Seconds()
	switch met := a.queueAtSend > unloadedQueueEstimate || hint > 0 && spent > maxWorkHintMultiple*hint; {
	case met && c.unqueuedSamples > 0:
		return
	case met && hint > 0:
		spent = hint
	case !met:
		c.unqueuedSamples++
		w = max(w, 1/c.unqueuedSamples)
	}
	c.samples++
	c.unloadedSeconds += max(w, 1/c.samples) * (spent - c.unloadedSeconds)
}

// learn takes in how long an answer took, against the time of its class, and the queue it met.
func (b *Balancer) learnServiceTime(s *endpointState, r *request, a *attempt, spent time.Duration) {
	if r.stats.unloadedSeconds == 0 {
		return
	}
	took := spent.Seconds() / r.stats.unloadedSeconds * b.meanUnloadedSeconds() * b.slowStartFraction(s)
	if s.meanLatencySeconds == 0 {
		s.meanLatencySeconds, s.meanQueueAtArrival = b.meanServiceSeconds*(a.queueAtSend+1), a.queueAtSend
	}
	// An answer out of a long queue tells more of the pace: a short one is no load to a server of many cores.
	w := min(sampleWeight*(a.queueAtSend+1)/(s.meanQueueAtArrival+1), 1)
	if s.lastAnswerAt > 0 {
		w = max(w, 1-math.Exp(-(b.now-s.lastAnswerAt).Seconds()/rareAnswerSeconds))
	}
	s.lastAnswerAt = b.now
	s.meanLatencySeconds += w * (took - s.meanLatencySeconds)
	s.meanQueueAtArrival += w * (a.queueAtSend - s.meanQueueAtArrival)
	b.answers++ // one server may see few answers of this node: the pace of all comes from all alike
	w = max(w/float64(len(b.usable)+1), 1/b.answers)
	b.meanLatencySeconds, b.meanQueueAtArrival = b.meanLatencySeconds+w*(took-b.meanLatencySeconds), b.meanQueueAtArrival+w*(a.queueAtSend-b.meanQueueAtArrival)
	b.meanServiceSeconds = b.meanLatencySeconds / (b.meanQueueAtArrival + 1)
}

// work returns what a request costs a server, in seconds: what its hint says, else the time of its
// class where it does not queue. Queueing makes the mean times of light and heavy classes alike.
func (b *Balancer) workSeconds(r *request) float64 {
	switch {
	case r.workHint > 0:
		return r.workHint.Seconds()
	case r.stats.unloadedSeconds > 0:
		return r.stats.unloadedSeconds
	}
	return b.meanUnloadedSeconds()
}

// meanBase is the mean of the times without a queue of the classes met so far.
func (b *Balancer) meanUnloadedSeconds() float64 {
	var m mean
	for i := range b.classes {
		if b.classes[i].unloadedSeconds > 0 {
			m.add(b.classes[i].unloadedSeconds)
		}
	}
	if m.n == 0 {
		return initialServiceTimeObjectives * b.meanObjectiveSeconds
	}
	return m.value()
}

// rollRates measures, once a window, the work that warm servers do for this node.
// Summed over the nodes it is at most what such a server can do, so each node may spend its own.
func (b *Balancer) rollWindow() {
	span := (b.now - b.windowStart).Seconds()
	if span < max(b.cfg.Rules.OverloadWindow.Seconds(), 1) {
		return
	}
	var warm mean
	for _, s := range b.usable {
		if b.slowStartFraction(s) == 1 && s.knownSince <= b.windowStart {
			warm.add(s.servedWorkSeconds / span)
		}
		s.servedWorkSeconds = 0
	}
	if warm.n > 0 {
		b.warmThroughput = max(b.warmThroughput*warmThroughputDecay, warm.value())
	}
	for _, s := range b.usable {
		b.grantSlowStartCredit(s)
		s.failureRate -= failureRateDecay * s.failureRate
		s.unaccepted -= unacceptedDecay * s.unaccepted // a report may be long in coming, or never come
		s.abandoned -= abandonedDecay * s.abandoned
		if s.lastAnswerAt < b.windowStart && s.meanLatencySeconds > 0 {
			// A server that looked slow gets no traffic, so nothing would ever clear its name.
			s.meanLatencySeconds += serviceTimeRecovery * (b.meanServiceSeconds*(s.meanQueueAtArrival+1) - s.meanLatencySeconds)
		}
	}
	b.subsetSize = max(minSubsetSize, b.subsetSize-1, int(float64(b.forwarded)/span*subsetSpanSeconds))
	b.forwarded = 0
	b.windowStart = b.now
	b.chooseSubset()
}

// mean is a plain mean; 0 when nothing was added.
type mean struct{ sum, n float64 }

func (m *mean) add(x float64) { m.sum, m.n = m.sum+x, m.n+1 }

func (m *mean) value() float64 { return m.sum / max(m.n, 1) }
