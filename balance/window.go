package balance

import "time"

// minWindow is the minimum length of a window.
const minWindow = time.Second

// endWindow begins a new window if the current window is over. A window lasts for Rules.OverloadWindow, the time within
// which overload can make an endpoint in slow start fail, but at least minWindow. All counts and credits that hold for
// a window are updated here, in this order.
func (b *Balancer) endWindow() {
	length := b.now - b.windowStart
	if length < max(b.cfg.Rules.OverloadWindow, minWindow) {
		return
	}
	b.slowStart.endWindow(b.warmThroughput(length.Seconds()))
	for _, e := range b.usable {
		b.grantSlowStartCredit(e)
		e.decayFailureRate()
		e.decayAbandonedAndUnaccepted()
		e.recoverServiceTime(b.windowStart, b.latency.meanServiceSeconds)
	}
	b.subset.endWindow(length.Seconds())
	b.windowStart = b.now
	b.chooseSubset()
}

// warmThroughput returns the work, in seconds a second, that endpoints did in the window. It has one sample for each
// endpoint that is warm and was known during the entire window. It also resets the count of each endpoint's work.
func (b *Balancer) warmThroughput(windowSeconds float64) (throughput mean) {
	for _, e := range b.usable {
		if b.isWarm(e) && e.knownSince <= b.windowStart {
			throughput.add(e.servedWorkSeconds / windowSeconds)
		}
		e.servedWorkSeconds = 0
	}
	return throughput
}
