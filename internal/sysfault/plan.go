// Package sysfault runs a program and has its system calls fail as Linux documents that they may. It traces its own
// child with ptrace, which needs no rights, and knows nothing of what the program does. Which calls fail, when and how
// often, is a plan.
package sysfault

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. Those with a share hit that share of the calls while they last.
const (
	// Accept has accept fail with an error that passes, and leaves the connection in the backlog.
	Accept Kind = "accept"
	// Connect has socket and connect fail with an error of the machine or of the network.
	Connect Kind = "connect"
	// Interrupt has waits end with EINTR.
	Interrupt Kind = "interrupt"
	// Short has reads and writes of connections transfer a part of what they could.
	Short Kind = "short"
	// Break has a read of a connection that the program has dialed end with an error, as a broken network has.
	Break Kind = "break"
	// Open has the opening of files fail for want of descriptors.
	Open Kind = "open"
	// Disk has writes and syncs of files fail.
	Disk Kind = "disk"
	// Clock has the wall clock stepped by Step from then on. The monotonic clock runs on. It has no share.
	Clock Kind = "clock"
)

// Fault is one step of a plan. Times count from the start of the program.
type Fault struct {
	Kind  Kind          `json:"kind"`
	From  time.Duration `json:"from"`
	For   time.Duration `json:"for,omitempty"`
	Share float64       `json:"share,omitempty"`
	Step  time.Duration `json:"step,omitempty"`
}

// Plan is what befalls one program.
type Plan []Fault

// ParsePlan reads a plan as Plan.String words it.
func ParsePlan(text string) (Plan, error) {
	var p Plan
	if err := json.Unmarshal([]byte(text), &p); err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	for i, f := range p {
		switch f.Kind {
		case Clock:
		case Accept, Connect, Interrupt, Short, Break, Open, Disk:
			if f.Share <= 0 || f.Share > 1 || f.For <= 0 {
				return nil, fmt.Errorf("plan: fault %d (%s): share %g for %v", i+1, f.Kind, f.Share, f.For)
			}
		default:
			return nil, fmt.Errorf("plan: fault %d: no kind %q", i+1, f.Kind)
		}
	}
	return p, nil
}

// String words a plan for ParsePlan.
func (p Plan) String() string {
	text, _ := json.Marshal(p) // plain values always encode
	return string(text)
}

// has tells whether a plan has a fault of a kind.
func (p Plan) has(kind Kind) bool {
	return slices.ContainsFunc(p, func(f Fault) bool { return f.Kind == kind })
}

// share is the share of calls that a kind hits at a time.
func (p Plan) share(kind Kind, at time.Duration) float64 {
	for _, f := range p {
		if f.Kind == kind && f.From <= at && at < f.From+f.For {
			return f.Share
		}
	}
	return 0
}

// step is how far the wall clock is stepped at a time.
func (p Plan) step(at time.Duration) (sum time.Duration) {
	for _, f := range p {
		if f.Kind == Clock && f.From <= at {
			sum += f.Step
		}
	}
	return sum
}
