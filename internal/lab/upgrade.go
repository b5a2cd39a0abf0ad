package lab

import (
	"context"
	"slices"
	"syscall"
	"time"
)

// upgrade starts a second process of a node, the successor, which takes over from the present process. The replaced
// process gets SIGTERM once the successor is ready, and SIGKILL if it still runs when its shutdown deadline has passed.
// Neither signal opens a fault window.
func (run *loadRun) upgrade(ctx context.Context, i int) error {
	replaced := run.processes[roleNode][i]
	if replaced.Exited() == nil {
		return nil // no process is running that a successor could take over from
	}
	_, admin := run.addresses.allocate()
	env := append(slices.Clone(replaced.env), "BALANCER_ADMIN="+admin)
	successor := &Process{Name: replaced.Name, argv: replaced.argv, env: env, logPath: replaced.logPath,
		sharedCore: replaced.sharedCore}
	if err := successor.Start(run.spawner); err != nil {
		return err
	}
	run.mu.Lock()
	run.processes[roleNode][i] = successor
	delete(run.terminatedAt, i) // the recorded SIGTERM went to the replaced process
	run.processes[roleReplaced] = append(run.processes[roleReplaced], replaced)
	run.mu.Unlock()
	run.timers.Go(func() { run.endReplaced(ctx, i, replaced, successor, admin) })
	return nil
}

// endReplaced ends a node's replaced process once its successor is ready.
func (run *loadRun) endReplaced(ctx context.Context, i int, replaced, successor *Process, admin string) {
	if err := waitReady(ctx, successor, admin, adminHealthPath); err != nil {
		run.log.Info("successor did not become ready; leaving the replaced process running", "component", "lab",
			"node", successor.Name, "error", err)
		return // another fault may have ended the successor before it was ready
	}
	replaced.Signal(syscall.SIGTERM)
	select {
	case <-ctx.Done():
	case <-replaced.Exited():
	case <-time.After(run.scenario.killAfter()):
		run.killAfterDeadline(i, replaced)
	}
}
