package node

import "time"

// This file is the only one of the package that reads the wall clock as a figure, and converts wall times of other
// machines to the event loop's clock. All else is measured on the monotonic clock (package monotime).

// wallClock returns Unix time.
func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// localStartTime converts the start time of a backend's process, a wall time of another machine, to the event loop's
// clock; 0 is long ago. It is called when a start time is listed that the loop did not know.
//
// Either wall clock may have been stepped. A start time in the future becomes now: otherwise the backend would stay in
// slow start for as long as the clocks differ. One in the past is no earlier than the last list that this process
// received, which did not have it: a backend that joins or restarts while the node runs is in slow start, whatever the
// clocks say. That is late by as much as discovery is, and errs on the side of sending less. The first list of a
// process has only the wall clock to go by.
func (l *eventLoop) localStartTime(wallStart time.Duration) time.Duration {
	if wallStart == 0 {
		return 0
	}
	return max(min(wallStart, l.now()), l.lastListAt)
}

// cordonTimes are when a backend was last cordoned and uncordoned, on the event loop's clock.
type cordonTimes struct {
	cordonedAt   time.Duration
	uncordonedAt time.Duration
}

// updateCordonTimes converts the times of a record that the loop is about to apply. A change since the record that the
// loop has is of this moment, as the file is checked many times a second. The first record has only the wall clock to
// go by; none of its times is in the future.
func (l *eventLoop) updateCordonTimes(record cordonRecord) {
	now := l.now()
	for id, changed := range record.Backends {
		known := l.cordons.Backends[id]
		times := l.cordonTimes[id]
		if changed.CordonedAt != known.CordonedAt {
			times.cordonedAt = l.localCordonTime(changed.CordonedAt, now)
		}
		if changed.UncordonedAt != known.UncordonedAt {
			times.uncordonedAt = l.localCordonTime(changed.UncordonedAt, now)
		}
		l.cordonTimes[id] = times
	}
}

// localCordonTime converts a Unix time in nanoseconds.
func (l *eventLoop) localCordonTime(wallNanos int64, now time.Duration) time.Duration {
	if l.running {
		return now
	}
	return min(time.Duration(wallNanos), now)
}
