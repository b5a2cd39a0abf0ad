package node

import "time"

// Only this file calculates with the wall clock, and converts wall clock times of other machines to the event loop's
// clock. The rest of the package measures time on the monotonic clock (package monotime).

// wallClock returns the current Unix time.
func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// localStartTime converts the start time of a backend's process from the wall clock of another machine to the event
// loop's clock. 0 means that the process started long ago. It is called for a start time that the loop does not know
// yet, when it appears in an endpoint list.
//
// Either wall clock may have been stepped. A start time in the future is replaced by now; otherwise the backend would
// stay in slow start for as long as the clocks differ. A start time in the past is no earlier than the previous list
// that this process received, because that list did not contain the backend's process. A backend that joins or restarts
// while the node runs is therefore always in slow start. The result is late by the delay of discovery, so the backend
// gets fewer requests rather than more. For the first list of a process, only the wall clock is available.
func (l *eventLoop) localStartTime(wallStart time.Duration) time.Duration {
	if wallStart == 0 {
		return 0
	}
	return max(min(wallStart, l.now()), l.lastListAt)
}

// cordonTimes holds the times when a backend was last cordoned and uncordoned, on the event loop's clock.
type cordonTimes struct {
	cordonedAt   time.Duration
	uncordonedAt time.Duration
}

// updateCordonTimes converts the times of a record that the loop is about to apply. A change since the current record
// counts as made now, because the file is checked many times a second. For the first record, only the wall clock is
// available. Times in the future are replaced by now.
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

// localCordonTime converts a Unix time in nanoseconds to the event loop's clock. It returns now if the loop is running.
func (l *eventLoop) localCordonTime(wallNanos int64, now time.Duration) time.Duration {
	if l.running {
		return now
	}
	return min(time.Duration(wallNanos), now)
}
