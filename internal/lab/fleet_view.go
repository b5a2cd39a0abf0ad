package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"hitchvale/internal/fleet"
)

// viewRecorder compares what the readers of the fleet's view have.
type viewRecorder struct {
	mu             sync.Mutex
	lastVersion    map[string]fleet.ViewVersion // by reader
	texts          map[fleet.ViewVersion]string // the view of a version, as it was first read
	sameViewCheck  Check
	monotonicCheck Check
}

func newViewRecorder() *viewRecorder {
	return &viewRecorder{
		lastVersion:    map[string]fleet.ViewVersion{},
		texts:          map[fleet.ViewVersion]string{},
		sameViewCheck:  Check{Name: "a view is the same for all its readers"},
		monotonicCheck: Check{Name: "no reader's view goes back"},
	}
}

// recordVersion checks that a reader's version is not before its last one.
func (views *viewRecorder) recordVersion(reader string, version fleet.ViewVersion) {
	views.mu.Lock()
	defer views.mu.Unlock()
	if last := views.lastVersion[reader]; version.Before(last) {
		views.monotonicCheck.addViolation(fmt.Sprintf("%s went from %v to %v", reader, last, version))
	}
	views.lastVersion[reader] = version
}

// recordText checks that a view is the same as others of its version.
func (views *viewRecorder) recordText(version fleet.ViewVersion, text string) {
	views.mu.Lock()
	defer views.mu.Unlock()
	if first, ok := views.texts[version]; ok && first != text {
		views.sameViewCheck.addViolation(fmt.Sprintf("two views under %v", version))
	}
	views.texts[version] = text
}

// checks are the results once all readers have stopped.
func (views *viewRecorder) checks() []Check {
	return []Check{views.sameViewCheck.result(), views.monotonicCheck.result()}
}

// status is how a node's agent has the fleet's view.
func (run *fleetRun) status(ctx context.Context, i int) (status fleet.AgentStatus, err error) {
	return status, run.registryCall(ctx, http.MethodGet, run.adminAddr[i], "/admin/fleet", nil, &status)
}

// pollReader takes samples until ctx ends; one that fails is shown in the reader's column of the timeline.
func (run *fleetRun) pollReader(ctx context.Context, reader string, sample func() error) {
	for ctx.Err() == nil {
		if err := sample(); err != nil && ctx.Err() == nil {
			run.recordChange(reader, "no answer")
		}
		sleepUntil(ctx, time.Now().Add(readerPollInterval))
	}
}

// sampleNode records how a node's agent has the view. Each process of a node is a reader of its own.
func (run *fleetRun) sampleNode(ctx context.Context, i int) error {
	process := run.processes[roleNode][i]
	starts := process.starts()
	status, err := run.status(ctx, i)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("term %d, %d of %d fresh", status.Version.Term, status.Fresh, status.Nodes)
	if status.Superseded {
		text = "superseded"
	}
	run.recordChange(process.Name, text)
	if process.starts() == starts { // otherwise the answer may be that of the process before
		run.views.recordVersion(fmt.Sprintf("node-%d, start %d", i, starts), status.Version)
	}
	return nil
}

// sampleReplica records the view as a replica gives it: its own where it leads, otherwise the leader's.
func (run *fleetRun) sampleReplica(ctx context.Context, m int) error {
	var text json.RawMessage
	addr := run.registryAddr[m]
	if err := run.registryCall(ctx, http.MethodGet, addr, "/registry/fleet/view", nil, &text); err != nil {
		return err
	}
	var view fleet.View
	if err := json.Unmarshal(text, &view); err != nil {
		return err
	}
	run.recordChange(processName(roleRegistry, m), fmt.Sprintf("view of term %d", view.Term))
	run.views.recordText(view.ViewVersion, string(text))
	return nil
}
