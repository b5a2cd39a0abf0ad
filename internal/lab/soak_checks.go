package lab

import (
	"fmt"
	"time"
)

const (
	// clockSlack is the delay that the clocks and queues of a busy machine may add to a time that a check compares.
	clockSlack = 100 * time.Millisecond
	// disconnectGrace is how long after the disconnect of its client an attempt may still begin.
	disconnectGrace = 100 * time.Millisecond
	// deadlineSlack is by how much the deadline that an attempt forwards may exceed the client's remaining time.
	deadlineSlack = 150 * time.Millisecond
	// notificationDeadline is the longest time until a node counts as notified of a change. It starts when discovery has
	// the change and is reachable.
	notificationDeadline = 6 * time.Second
)

// drainPeriod is a period in which discovery lists a backend as draining.
type drainPeriod struct {
	start      time.Time
	end        time.Time            // zero: the end of the run
	notifiedAt map[string]time.Time // by node: when discovery wrote the drain to the node
}

// verifySoak checks the invariants that only a soak has. Verify checks the invariants of every load run. lastUp is when
// the last outage of discovery ended.
func (h History) verifySoak(drains map[string][]*drainPeriod, lastUp time.Time) []Check {
	outcomes := make(map[string]Outcome, len(h.Outcomes))
	for _, outcome := range h.Outcomes {
		outcomes[outcome.Trace] = outcome
	}
	return []Check{h.noAttemptAfterDisconnect(outcomes), h.deadlinesForwarded(outcomes), h.keyedWithinWindow(outcomes),
		h.noAttemptAfterDrain(drains, lastUp)}
}

// noAttemptAfterDisconnect checks that no attempt begins later than disconnectGrace after its client disconnected.
func (h History) noAttemptAfterDisconnect(outcomes map[string]Outcome) Check {
	check := Check{Name: "no attempt begins after its client has left"}
	for _, attempt := range h.Attempts {
		outcome, ok := outcomes[attempt.Trace]
		if !ok || outcome.DisconnectedAt == 0 {
			continue
		}
		late := time.Duration(attempt.At - outcome.DisconnectedAt)
		if late > disconnectGrace+clockSlack {
			check.addViolation(fmt.Sprintf("%s at %s by %s: began %s after its client disconnected", attempt.Trace,
				attempt.Backend, attempt.Node, late))
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
	attempts := h.attemptTimes()
	for _, execution := range h.Executions {
		first, keyed := firstExecution[execution.Trace]
		sentAt := attempts.sentAt(execution)
		if keyed && sentAt > first+int64(keyWindow+clockSlack) {
			check.addViolation(fmt.Sprintf("%s at %s: sent %s after its first execution", execution.Trace, execution.Backend,
				time.Duration(sentAt-first)))
		}
	}
	return check.result()
}

// attemptKey identifies the attempts of one request at one backend.
type attemptKey struct {
	trace   string
	backend string
}

// attemptTimes holds the Unix times in nanoseconds at which attempts were sent.
type attemptTimes map[attemptKey][]int64

// attemptTimes returns the times of all attempts.
func (h History) attemptTimes() attemptTimes {
	times := attemptTimes{}
	for _, attempt := range h.Attempts {
		key := attemptKey{attempt.Trace, attempt.Backend}
		times[key] = append(times[key], attempt.At)
	}
	return times
}

// sentAt returns when the attempt that led to an execution was sent. That attempt is the request's last attempt at the
// backend before the execution. The execution may come long after the attempt if the request hangs. An execution
// without an attempt counts as sent when it was executed.
func (times attemptTimes) sentAt(execution Execution) int64 {
	sentAt := execution.At
	for _, at := range times[attemptKey{execution.Trace, execution.Backend}] {
		if at <= execution.At && (sentAt == execution.At || at > sentAt) {
			sentAt = at
		}
	}
	return sentAt
}

// noAttemptAfterDrain checks that no attempt begins at a draining backend later than DrainGrace after the node counts
// as notified of the drain.
func (h History) noAttemptAfterDrain(drains map[string][]*drainPeriod, lastUp time.Time) Check {
	check := Check{Name: "nothing begins at a draining backend past the grace"}
	for _, attempt := range h.Attempts {
		begin := time.Unix(0, attempt.At)
		for _, drain := range drains[attempt.Backend] {
			notified, written := drain.notification(attempt.Node, lastUp)
			late := begin.After(notified.Add(h.DrainGrace + clockSlack))
			if late && (drain.end.IsZero() || begin.Before(drain.end)) {
				check.addViolation(fmt.Sprintf("%s at %s by %s: began %s after the node was notified (drain written to it: %v)",
					attempt.Trace, attempt.Backend, attempt.Node, begin.Sub(notified).Round(time.Millisecond), written))
			}
		}
	}
	return check.result()
}

// notification returns when a node counts as notified of the drain, and whether the drain was written to the node. A
// node counts as notified when the drain is written to it, and at notificationDeadline at the latest.
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
