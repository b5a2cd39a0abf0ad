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

// viewRecorder records the fleet's view as its readers see it, and checks that they agree. Its methods may be called by
// several goroutines.
type viewRecorder struct {
	mu             sync.Mutex
	lastVersion    map[string]fleet.ViewVersion // by reader
	texts          map[fleet.ViewVersion]string // the text of each version's view
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

// recordVersion records the version that a reader has, and checks that it is not before the reader's last version.
func (views *viewRecorder) recordVersion(reader string, version fleet.ViewVersion) {
	views.mu.Lock()
	defer views.mu.Unlock()
	if last := views.lastVersion[reader]; version.Before(last) {
		views.monotonicCheck.addViolation(fmt.Sprintf("%s went from %v to %v", reader, last, version))
	}
	views.lastVersion[reader] = version
}

// recordText records the text of a view, and checks that it equals the text recorded before for the same version.
func (views *viewRecorder) recordText(version fleet.ViewVersion, text string) {
	views.mu.Lock()
	defer views.mu.Unlock()
	if first, ok := views.texts[version]; ok && first != text {
		views.sameViewCheck.addViolation(fmt.Sprintf("two different views of version %v", version))
	}
	views.texts[version] = text
}

// checks returns the results. It is called after all readers have stopped.
func (views *viewRecorder) checks() []Check {
	return []Check{views.sameViewCheck.result(), views.monotonicCheck.result()}
}

// status returns the status of the fleet's view in a node's agent.
func (run *fleetRun) status(ctx context.Context, i int) (status fleet.AgentStatus, err error) {
	return status, run.registryCall(ctx, http.MethodGet, run.adminAddr[i], "/admin/fleet", nil, &status)
}

// pollReader takes samples until ctx ends. It records a failed sample in the reader's column of the timeline.
func (run *fleetRun) pollReader(ctx context.Context, reader string, sample func() error) {
	for ctx.Err() == nil {
		if err := sample(); err != nil && ctx.Err() == nil {
			run.recordChange(reader, "no answer")
		}
		sleepUntil(ctx, time.Now().Add(readerPollInterval))
	}
}

// sampleNode records the status of the view in a node's agent. Each process of a node counts as a separate reader.
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
	if process.starts() == starts { // otherwise the answer may come from the previous process
		run.views.recordVersion(fmt.Sprintf("node-%d, start %d", i, starts), status.Version)
	}
	return nil
}

// sampleReplica records the view that a replica returns: its own view if it is the leader, otherwise the leader's.
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
