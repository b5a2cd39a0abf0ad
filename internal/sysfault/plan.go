// Package sysfault injects faults into system calls: it runs a program and makes its system calls fail with errors that
// Linux documents for them. It traces its own child with ptrace, which needs no privileges, and works with any program.
// A plan says which calls fail, when and how often.
//
// The process that calls Run traces the program, so the code calls it the tracer. Names that are written out call it
// the shim: the command "hitchvale lab shim", the environment variable HITCHVALE_SHIM_PLAN, the key "shimmed" of soak
// scenarios and the prefix "shim:" of messages. They keep the word because scenario files and other processes use them.
package sysfault

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults. Each kind except Clock hits a share of the calls, from the start of the fault to its end.
const (
	// Accept makes accept fail with a transient error. The connection stays in the backlog.
	Accept Kind = "accept"
	// Connect makes socket and connect fail with an error of the machine or of the network.
	Connect Kind = "connect"
	// Interrupt makes waiting calls fail with EINTR.
	Interrupt Kind = "interrupt"
	// ShortTransfer makes reads and writes of sockets transfer fewer bytes than they could.
	ShortTransfer Kind = "short"
	// BrokenConnection makes reads of connections that the program has dialed fail with the errors of a broken network.
	BrokenConnection Kind = "break"
	// Open makes the opening of files fail, mostly because no descriptor is left.
	Open Kind = "open"
	// Disk makes writes and syncs of files fail.
	Disk Kind = "disk"
	// Clock steps the wall clock by Step at From. The step lasts until the end of the program and does not change the
	// monotonic clock.
	Clock Kind = "clock"
)

// Fault is one fault of a plan.
type Fault struct {
	Kind  Kind          `json:"kind"`
	From  time.Duration `json:"from"`            // start of the fault, since the start of the program
	For   time.Duration `json:"for,omitempty"`   // duration of the fault; not used by Clock
	Share float64       `json:"share,omitempty"` // share of the calls, above 0 and at most 1; not used by Clock
	Step  time.Duration `json:"step,omitempty"`  // step of the wall clock; used by Clock only
}

// Plan holds the faults of one program's system calls.
type Plan []Fault

// ParsePlan decodes a plan from the form of Plan.String, and checks its values.
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
				return nil, fmt.Errorf("plan: fault %d (%s): share %g must be above 0 and at most 1, and for=%v must be above 0",
					i+1, fault.Kind, fault.Share, fault.For)
			}
		default:
			return nil, fmt.Errorf("plan: fault %d: kind %q is unknown", i+1, fault.Kind)
		}
	}
	return plan, nil
}

// String returns the plan as JSON.
func (p Plan) String() string {
	text, _ := json.Marshal(p) // cannot fail for these types
	return string(text)
}

// has reports whether the plan has a fault of a kind.
func (p Plan) has(kind Kind) bool {
	return slices.ContainsFunc(p, func(f Fault) bool { return f.Kind == kind })
}

// shareAt returns the share of calls that a kind of fault hits at a time since the start of the program.
func (p Plan) shareAt(kind Kind, at time.Duration) float64 {
	for _, f := range p {
		if f.Kind == kind && f.From <= at && at < f.From+f.For {
			return f.Share
		}
	}
	return 0
}

// stepAt returns the sum of the steps of the wall clock at a time since the start of the program.
func (p Plan) stepAt(at time.Duration) (sum time.Duration) {
	for _, f := range p {
		if f.Kind == Clock && f.From <= at {
			sum += f.Step
		}
	}
	return sum
}
