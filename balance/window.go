package balance

import "time"

// minWindow is the least length of a window.
const minWindow = time.Second

// endWindow begins a new window when the last one is over: the time in which the site says that an endpoint in slow
// start can be brought down. What is counted or granted by the window is settled here, in this order.
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

// warmThroughput is the work that the endpoints which were warm and known for the entire window did in it, in seconds a
// second. It begins the next count.
func (b *Balancer) warmThroughput(windowSeconds float64) (throughput mean) {
	for _, e := range b.usable {
		if b.isWarm(e) && e.knownSince <= b.windowStart {
			throughput.add(e.servedWorkSeconds / windowSeconds)
		}
		e.servedWorkSeconds = 0
	}
	return throughput
}
