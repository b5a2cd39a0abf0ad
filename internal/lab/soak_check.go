package lab

import (
	"fmt"
	"time"
)

// clockSlack is what the clocks and queues of a busy machine may add to a time that a check compares.
const clockSlack = 100 * time.Millisecond

const (
	// disconnectGrace is how long after its client has left an attempt may still begin.
	disconnectGrace = 100 * time.Millisecond
	// deadlineSlack is how much more than its client has left an attempt may tell its backend.
	deadlineSlack = 150 * time.Millisecond
	// notificationDeadline is when a change counts as told at the latest, from when discovery had it and could be reached.
	notificationDeadline = 6 * time.Second
)

// drainPeriod is a time in which a backend wants nothing new.
type drainPeriod struct {
	// till zero: to the end
	start      time.Time
	end        time.Time
	notifiedAt map[string]time.Time // by node: when it was written to it
}

// verifySoak checks what a soak's history has beside that of a plain run.
func (h History) verifySoak(drains map[string][]*drainPeriod, lastUp time.Time) []Check {
	outcomes := make(map[string]Outcome, len(h.Outcomes))
	for _, o := range h.Outcomes {
		outcomes[o.Trace] = o
	}
	return []Check{h.noAttemptAfterDisconnect(outcomes), h.deadlinesForwarded(outcomes), h.keyedWithinWindow(outcomes),
		h.noAttemptInDrain(drains, lastUp)}
}

func (h History) noAttemptAfterDisconnect(outcomes map[string]Outcome) Check {
	c := Check{Name: "no attempt begins after its client has left"}
	for _, a := range h.Attempts {
		o, ok := outcomes[a.Trace]
		if ok && o.DisconnectedAt > 0 && a.At > o.DisconnectedAt+int64(disconnectGrace+clockSlack) {
			c.add(fmt.Sprintf("%s at %s by %s: %s after its client left", a.Trace, a.Backend, a.Node,
				time.Duration(a.At-o.DisconnectedAt)))
		}
	}
	return c.done()
}

func (h History) deadlinesForwarded(outcomes map[string]Outcome) Check {
	c := Check{Name: "no attempt tells more time than its client has left"}
	for _, a := range h.Attempts {
		o, ok := outcomes[a.Trace]
		if !ok {
			continue
		}
		remaining := time.Duration(o.SentAt + o.ClientTimeout - a.At)
		if forwarded := time.Duration(a.DeadlineMs) * time.Millisecond; forwarded > max(remaining,
			0)+deadlineSlack+clockSlack {
			c.add(fmt.Sprintf("%s at %s by %s: told %s with %s left", a.Trace, a.Backend, a.Node, forwarded, remaining))
		}
	}
	return c.done()
}

// keyedWithinWindow goes by when a request reached its backend, as one that hangs may run it long after.
func (h History) keyedWithinWindow(outcomes map[string]Outcome) Check {
	c := Check{Name: "no keyed request runs again after its window"}
	type attemptKey struct {
		trace   string
		backend string
	}
	sentTimes := map[attemptKey][]int64{}
	for _, a := range h.Attempts {
		sentTimes[attemptKey{a.Trace, a.Backend}] = append(sentTimes[attemptKey{a.Trace, a.Backend}], a.At)
	}
	first := map[string]int64{}
	for _, e := range h.Executions {
		if o, ok := outcomes[e.Trace]; ok && o.Class == classToken {
			if at, seen := first[e.Trace]; !seen || e.At < at {
				first[e.Trace] = e.At
			}
		}
	}
	for _, e := range h.Executions {
		sentAt := e.At
		for _, at := range sentTimes[attemptKey{e.Trace, e.Backend}] {
			if at <= e.At && (sentAt == e.At || at > sentAt) {
				sentAt = at
			}
		}
		if at, seen := first[e.Trace]; seen && sentAt > at+int64(keyWindow+clockSlack) {
			c.add(fmt.Sprintf("%s at %s: sent %s after its first run", e.Trace, e.Backend, time.Duration(sentAt-at)))
		}
	}
	return c.done()
}

// noAttemptInDrain checks that nothing begins at a draining backend past the grace, counted from when the drain was
// written to the node, or counts as told to it.
func (h History) noAttemptInDrain(drains map[string][]*drainPeriod, lastUp time.Time) Check {
	c := Check{Name: "nothing begins at a draining backend past the grace"}
	for _, a := range h.Attempts {
		for _, d := range drains[a.Backend] {
			notified, written := d.notifiedAt[a.Node]
			if latest := maxTime(d.start, lastUp).Add(notificationDeadline); !written || notified.After(latest) {
				notified = latest
			}
			begin := time.Unix(0, a.At)
			if begin.After(notified.Add(h.DrainGrace+clockSlack)) && (d.end.IsZero() || begin.Before(d.end)) {
				c.add(fmt.Sprintf("%s at %s by %s: %s after it was told, written %v", a.Trace, a.Backend, a.Node,
					begin.Sub(notified).Round(time.Millisecond), written))
			}
		}
	}
	return c.done()
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
