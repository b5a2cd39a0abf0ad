package lab

import "time"

// The earliest SIGKILL of a node after its SIGTERM: the longest deadline, at most maxKillDeadline, and killGrace
// (PROTOCOL).
const (
	maxKillDeadline = 3 * time.Second
	killGrace       = 700 * time.Millisecond
)

// killAfter is how long after SIGTERM a node gets SIGKILL.
func (scenario Scenario) killAfter() time.Duration {
	deadline := max(scenario.Load.Deadline.Duration, scenario.claimDeadline)
	return min(deadline, maxKillDeadline) + killGrace
}
