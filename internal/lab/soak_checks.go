package lab

import (
	"fmt"
	"time"
)

const (
	// clockSlack is what the clocks and queues of a busy machine may add to a time that a check compares.
	clockSlack = 100 * time.Millisecond
	// disconnectGrace is how long after its client has disconnected an attempt may still begin.
	disconnectGrace = 100 * time.Millisecond
	// deadlineSlack is by how much the deadline that an attempt forwards may exceed the client's remaining time.
	deadlineSlack = 150 * time.Millisecond
	// notificationDeadline is when a node counts as notified of a change at the latest, from when discovery had the change
	// and could be reached.
	notificationDeadline = 6 * time.Second
)

// drainPeriod is a time in which a backend is listed as draining.
type drainPeriod struct {
	start      time.Time
	end        time.Time            // zero: the end of the run
	notifiedAt map[string]time.Time // by node: when the drain was written to it
}

// verifySoak checks the invariants of a soak, beside those of every load run. lastUp is when discovery last came back.
func (h History) verifySoak(drains map[string][]*drainPeriod, lastUp time.Time) []Check {
	outcomes := make(map[string]Outcome, len(h.Outcomes))
	for _, outcome := range h.Outcomes {
		outcomes[outcome.Trace] = outcome
	}
	return []Check{h.noAttemptAfterDisconnect(outcomes), h.deadlinesForwarded(outcomes), h.keyedWithinWindow(outcomes),
		h.noAttemptInDrain(drains, lastUp)}
}

// noAttemptAfterDisconnect checks that no attempt begins later than disconnectGrace after its client has disconnected.
func (h History) noAttemptAfterDisconnect(outcomes map[string]Outcome) Check {
	check := Check{Name: "no attempt begins after its client has left"}
	for _, attempt := range h.Attempts {
		outcome, ok := outcomes[attempt.Trace]
		if !ok || outcome.DisconnectedAt == 0 {
			continue
		}
		late := time.Duration(attempt.At - outcome.DisconnectedAt)
		if late > disconnectGrace+clockSlack {
			check.addViolation(fmt.Sprintf("%s at %s by %s: %s after its client disconnected", attempt.Trace, attempt.Backend,
				attempt.Node, late))
		}
	}
	return check.result()
}

// deadlinesForwarded checks that no attempt forwards a deadline longer than its client's remaining time.
func (h History) deadlinesForwarded(outcomes map[string]Outcome) Check {
	check := Check{Name: "no attempt tells more time than its client has left"}
	for _, attempt := range h.Attempts {
		outcome, ok := outcomes[attempt.Trace]
		if !ok {
			continue
		}
		remaining := time.Duration(outcome.SentAt + outcome.ClientTimeout - attempt.At)
		forwarded := time.Duration(attempt.DeadlineMs) * time.Millisecond
		if forwarded > max(remaining, 0)+deadlineSlack+clockSlack {
			check.addViolation(fmt.Sprintf("%s at %s by %s: forwarded a deadline of %s with %s remaining", attempt.Trace,
				attempt.Backend, attempt.Node, forwarded, remaining))
		}
	}
	return check.result()
}

// keyedWithinWindow checks that no keyed request reaches a backend later than keyWindow after its first execution.
func (h History) keyedWithinWindow(outcomes map[string]Outcome) Check {
	check := Check{Name: "no keyed request runs again after its window"}
	firstExecution := map[string]int64{}
	for _, execution := range h.Executions {
		outcome, ok := outcomes[execution.Trace]
		if !ok || outcome.Class != classToken {
			continue
		}
		if first, seen := firstExecution[execution.Trace]; !seen || execution.At < first {
			firstExecution[execution.Trace] = execution.At
		}
	}
	arrivals := h.arrivals()
	for _, execution := range h.Executions {
		first, keyed := firstExecution[execution.Trace]
		arrived := arrivals.of(execution)
		if keyed && arrived > first+int64(keyWindow+clockSlack) {
			check.addViolation(fmt.Sprintf("%s at %s: sent %s after its first run", execution.Trace, execution.Backend,
				time.Duration(arrived-first)))
		}
	}
	return check.result()
}

// attemptKey names the attempts of a request at one backend.
type attemptKey struct {
	trace   string
	backend string
}

// attemptTimes are the Unix times in nanoseconds at which attempts were sent.
type attemptTimes map[attemptKey][]int64

// arrivals are the times of all attempts.
func (h History) arrivals() attemptTimes {
	times := attemptTimes{}
	for _, attempt := range h.Attempts {
		key := attemptKey{attempt.Trace, attempt.Backend}
		times[key] = append(times[key], attempt.At)
	}
	return times
}

// of is when the attempt was sent that an execution is of: the last one before it. A request that hangs may be executed
// long after it has arrived. An execution without an attempt counts as sent when it was executed.
func (times attemptTimes) of(execution Execution) int64 {
	arrived := execution.At
	for _, at := range times[attemptKey{execution.Trace, execution.Backend}] {
		if at <= execution.At && (arrived == execution.At || at > arrived) {
			arrived = at
		}
	}
	return arrived
}

// noAttemptInDrain checks that no attempt begins at a draining backend later than DrainGrace after the drain was
// written to the node, or the node counts as notified.
func (h History) noAttemptInDrain(drains map[string][]*drainPeriod, lastUp time.Time) Check {
	check := Check{Name: "nothing begins at a draining backend past the grace"}
	for _, attempt := range h.Attempts {
		begin := time.Unix(0, attempt.At)
		for _, drain := range drains[attempt.Backend] {
			notified, written := drain.notification(attempt.Node, lastUp)
			late := begin.After(notified.Add(h.DrainGrace + clockSlack))
			if late && (drain.end.IsZero() || begin.Before(drain.end)) {
				check.addViolation(fmt.Sprintf("%s at %s by %s: %s after it was notified, written %v", attempt.Trace,
					attempt.Backend, attempt.Node, begin.Sub(notified).Round(time.Millisecond), written))
			}
		}
	}
	return check.result()
}

// notification is when a node counts as notified of the drain, and whether that was written to it.
func (drain *drainPeriod) notification(node string, lastUp time.Time) (notified time.Time, written bool) {
	notified, written = drain.notifiedAt[node]
	latest := maxTime(drain.start, lastUp).Add(notificationDeadline)
	if !written || notified.After(latest) {
		return latest, written
	}
	return notified, written
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
