package node

import "time"

// This file is the one place of the package that reads the wall clock as a figure, and places wall times that others tell on
// the loop's clock. All else are spans of time, and kept on the monotonic clock (package monotime).

// wallClock is the wall clock: Unix time.
func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// startOf places the start of a backend's process, which is told as a wall time of another machine, on the loop's clock; 0 is
// long ago. It is called when a start is told that the loop did not know.
//
// Either wall clock may have been stepped. A start that seems to lie ahead is one of this moment: else the backend would stay
// cold for as long as the clocks differ. One that seems to lie far back is no older than the last list that this process was
// told, which did not have it: a backend that joins or restarts while the node runs is cold, whatever the clocks say. That is
// late by as much as discovery is, which errs on the side of sending less. What the first list of a process tells has only
// the wall clock to go by.
func (l *eventLoop) localStartTime(told time.Duration) time.Duration {
	if told == 0 {
		return 0
	}
	return max(min(told, l.now()), l.lastListAt)
}

// cordonTimes are when a backend was last taken out and put back by hand, on the loop's clock.
type cordonTimes struct{ cordonedAt, uncordonedAt time.Duration }

// placeCordons places the times of a record of maintenance that the loop is about to take in. What has changed since the one
// that it holds has happened just now, as the record is looked at many times a second; what the first one tells has only the
// wall clock to go by, and does not lie ahead.
func (l *eventLoop) updateCordonTimes(record cordons) {
	now := l.now()
	for id, c := range record.Backends {
		known, at := l.cordons.Backends[id], l.cordonTimes[id]
		if c.CordonedAt != known.CordonedAt {
			at.cordonedAt = l.localCordonTime(c.CordonedAt, now)
		}
		if c.UncordonedAt != known.UncordonedAt {
			at.uncordonedAt = l.localCordonTime(c.UncordonedAt, now)
		}
		l.cordonTimes[id] = at
	}
}

func (l *eventLoop) localCordonTime(wall int64, now time.Duration) time.Duration {
	if l.running {
		return now
	}
	return min(time.Duration(wall), now)
}
