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

// maintenanceRequest is the operator's request for maintenance, in the registry's form.
type maintenanceRequest struct {
	ID       string            `json:"id"`
	Reason   string            `json:"reason"`
	LengthMs int64             `json:"length_ms"`
	Budget   map[string]int    `json:"budget"` // by disruption group
	Select   map[string]string `json:"select"`
}

// operate plays the operator: it requests maintenance of all backends and serves the turn of each quiet one, until the
// plan has no turns.
func (run *maintenanceRun) operate(ctx context.Context) error {
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

// recordPlan records each machine's state in the timeline, and checks how many are out.
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
		run.budgetCheck.addViolation(fmt.Sprintf("%d of %d at %s: %v", out, budget,
			time.Since(run.start).Round(time.Millisecond), states))
	}
}

// serveTurn does the operator's part of a quiet machine's turn: the machine is taken out, restarted, listed again and
// its turn ended.
func (run *maintenanceRun) serveTurn(ctx context.Context, turn maintenance.Turn) error {
	start := time.Now()
	turn, err := run.advanceTurn(ctx, turn, maintenance.Out)
	if err != nil {
		return fmt.Errorf("%s out: %w", turn.Machine, err)
	}
	if err := run.restartMachine(ctx, turn.Machine, start); err != nil {
		return err
	}
	turn, err = run.advanceTurn(ctx, turn, maintenance.Returning)
	if err != nil {
		return fmt.Errorf("%s %s: %w", turn.Machine, maintenance.Returning, err)
	}
	_, err = run.advanceTurn(ctx, turn, maintenance.Done)
	var rejected *statusError
	if errors.As(err, &rejected) && rejected.status == http.StatusNotFound {
		return nil // the turn is over, and the answer that said so was lost
	}
	if err != nil {
		return fmt.Errorf("%s %s: %w", turn.Machine, maintenance.Done, err)
	}
	return nil
}

// advanceTurn has the registry advance a turn, and returns the turn as it then is; unchanged with an error.
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

// restartMachine restarts a backend that has been out since start, and lists it as a new process. It is listed as
// draining: nothing is to be sent to it before its turn is over.
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
