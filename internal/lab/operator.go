package lab

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"hitchvale/internal/maintenance"
)

// maintenanceRequest is the operator's request for maintenance, in the form that the registry accepts.
type maintenanceRequest struct {
	ID       string            `json:"id"`
	Reason   string            `json:"reason"`
	LengthMs int64             `json:"length_ms"`
	Budget   map[string]int    `json:"budget"` // by disruption group
	Select   map[string]string `json:"select"`
}

// runOperator does what an operator would do: it requests maintenance of all backends, and serves the turn of each
// quiet backend until the plan has no turns.
func (run *maintenanceRun) runOperator(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*eventTimeout)
	defer cancel()
	request := maintenanceRequest{ID: "work", Reason: "the lab's", LengthMs: 1000,
		Budget: map[string]int{"all": run.scenario.Maintenance.Budget}, Select: map[string]string{"site": "a"}}
	if err := run.callAnyReplica(ctx, http.MethodPost, "/registry/rota/requests", request, nil); err != nil {
		return err
	}
	for {
		var plan maintenance.PlanView
		if err := run.callAnyReplica(ctx, http.MethodGet, "/registry/rota", nil, &plan); err != nil {
			return err
		}
		run.recordPlan(plan)
		if len(plan.Turns) == 0 {
			return nil
		}
		for _, turn := range plan.Turns {
			if turn.State != maintenance.Quiet {
				continue
			}
			if err := run.serveTurn(ctx, turn); err != nil {
				return err
			}
		}
		sleepUntil(ctx, time.Now().Add(readerPollInterval))
	}
}

// recordPlan records each machine's state in the timeline, and checks that no more machines are out than the budget
// allows.
func (run *maintenanceRun) recordPlan(plan maintenance.PlanView) {
	out := 0
	states := map[string]string{}
	for _, turn := range plan.Turns {
		states[turn.Machine] = string(turn.State)
		if turn.State != maintenance.Waiting {
			out++
		}
	}
	for _, member := range run.members {
		state, ok := states[member.ID]
		if !ok {
			state = string(maintenance.Done)
		}
		run.recordChange(member.ID, state)
	}
	if budget := run.scenario.Maintenance.Budget; out > budget {
		run.budgetCheck.addViolation(fmt.Sprintf("%d machines out with a budget of %d at %s: %v", out, budget,
			time.Since(run.start).Round(time.Millisecond), states))
	}
}

// serveTurn does the operator's part of a quiet machine's turn. It takes the machine out, restarts and registers it,
// and ends the turn.
func (run *maintenanceRun) serveTurn(ctx context.Context, turn maintenance.Turn) error {
	start := time.Now()
	turn, err := run.advanceTurn(ctx, turn, maintenance.Out)
	if err != nil {
		return fmt.Errorf("advancing the turn of %s to %s: %w", turn.Machine, maintenance.Out, err)
	}
	if err := run.restartMachine(ctx, turn.Machine, start); err != nil {
		return err
	}
	turn, err = run.advanceTurn(ctx, turn, maintenance.Returning)
	if err != nil {
		return fmt.Errorf("advancing the turn of %s to %s: %w", turn.Machine, maintenance.Returning, err)
	}
	_, err = run.advanceTurn(ctx, turn, maintenance.Done)
	var rejected *statusError
	if errors.As(err, &rejected) && rejected.status == http.StatusNotFound {
		return nil // an earlier call ended the turn, and its response was lost
	}
	if err != nil {
		return fmt.Errorf("advancing the turn of %s to %s: %w", turn.Machine, maintenance.Done, err)
	}
	return nil
}

// advanceTurn makes the registry advance a turn to the target state, and returns the advanced turn. With an error it
// returns the turn unchanged.
func (run *maintenanceRun) advanceTurn(ctx context.Context, turn maintenance.Turn,
	target maintenance.TurnState) (maintenance.Turn, error) {
	var answer struct{ Turn maintenance.Turn }
	path := "/registry/rota/machines/" + turn.Machine + "/step"
	command := maintenance.Command{Revision: turn.Revision, Target: target}
	if err := run.callAnyReplica(ctx, http.MethodPost, path, command, &answer); err != nil {
		return turn, err
	}
	return answer.Turn, nil
}

// restartMachine restarts a backend that has been out since start, and registers it as a new process. It registers the
// backend as draining, because no request may be sent there before the turn is over.
func (run *maintenanceRun) restartMachine(ctx context.Context, machine string, start time.Time) error {
	i := slices.IndexFunc(run.members, func(m Member) bool { return m.ID == machine })
	process := run.processes[roleBackend][i]
	process.Stop(stopGrace)
	startErr := process.Start(run.spawner)
	readyErr := waitReady(ctx, process, run.backendAddr[i], livePath)
	if err := errors.Join(startErr, readyErr); err != nil {
		return err
	}
	run.outPeriods = append(run.outPeriods, outPeriod{machine: machine, start: start, end: time.Now()})
	member := run.members[i]
	member.UpSince = time.Now().UnixMilli()
	member.Phase = phaseDraining
	return run.callAnyReplica(ctx, http.MethodPost, "/registry/members", map[string]any{"member": member}, nil)
}
