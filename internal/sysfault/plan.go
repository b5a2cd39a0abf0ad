// Package sysfault is system call fault injection: it runs a program and has its system calls fail as Linux documents
// that they may. It traces its own child with ptrace, which needs no privileges, and knows nothing of what the program
// does. Which calls fail, when and how often, is a plan.
package sysfault

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. Those with a share hit that share of the calls in their time.
const (
	// Accept has accept fail with a transient error; the connection stays in the backlog.
	Accept Kind = "accept"
	// Connect has socket and connect fail with an error of the machine or of the network.
	Connect Kind = "connect"
	// Interrupt has waits end with EINTR.
	Interrupt Kind = "interrupt"
	// ShortTransfer has reads and writes of connections transfer a part of what they could.
	ShortTransfer Kind = "short"
	// BrokenConnection has a read of a connection that the program has dialed end with an error, as a broken network has.
	BrokenConnection Kind = "break"
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
	Share float64       `json:"share,omitempty"` // of the calls, above 0 to 1
	Step  time.Duration `json:"step,omitempty"`  // of the wall clock
}

// Plan is the faults of one program's system calls.
type Plan []Fault

// ParsePlan reads a plan in the form of Plan.String.
func ParsePlan(text string) (Plan, error) {
	var plan Plan
	if err := json.Unmarshal([]byte(text), &plan); err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	for i, fault := range plan {
		switch fault.Kind {
		case Clock:
		case Accept, Connect, Interrupt, ShortTransfer, BrokenConnection, Open, Disk:
			if fault.Share <= 0 || fault.Share > 1 || fault.For <= 0 {
				return nil, fmt.Errorf("plan: fault %d (%s): share %g for %v", i+1, fault.Kind, fault.Share, fault.For)
			}
		default:
			return nil, fmt.Errorf("plan: fault %d: no kind %q", i+1, fault.Kind)
		}
	}
	return plan, nil
}

// String is the plan as JSON.
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
