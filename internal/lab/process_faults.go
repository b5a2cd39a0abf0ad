package lab

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// injectProcessFault applies a fault to one process.
func (run *loadRun) injectProcessFault(ctx context.Context, fault Fault, target string) error {
	role, i, _ := parseProcess(target) // checked with the scenario
	process := run.processes[role][i]
	switch fault.Kind {
	case faultKill, faultPower:
		return run.kill(role, i, fault.Kind)
	case faultTerminate:
		run.startTermination(ctx, role, i)
		return process.Signal(syscall.SIGTERM)
	case faultPause:
		run.openFaultWindow(role, i, fault.Kind)
		return run.pause(ctx, process, fault.For.Duration, func() { run.closeFaultWindow(role, i) })
	case faultHold:
		return run.pause(ctx, process, fault.For.Duration, func() {})
	case faultReload:
		return run.moveDiscovery(ctx, i)
	case faultRejoin:
		return run.rejoin(ctx, i)
	case faultUpgrade:
		return run.upgrade(ctx, i)
	case faultRestart:
		return run.restart(ctx, role, i)
	case faultDrain:
		return run.drain(ctx, target)
	default:
		return run.fill(role, target, fault.Bytes)
	}
}

// kill sends SIGKILL, which opens a fault window of that kind for a node.
func (run *loadRun) kill(role string, i int, kind string) error {
	process := run.processes[role][i]
	run.openFaultWindow(role, i, kind)
	if exited := process.Exited(); exited != nil {
		run.timers.Go(func() { <-exited; run.recordExit(role, i) })
	}
	return process.Signal(syscall.SIGKILL)
}

// pause stops a process by SIGSTOP, and continues it after a while.
func (run *loadRun) pause(ctx context.Context, process *Process, duration time.Duration, continued func()) error {
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	run.undoAfter(ctx, duration, func() { process.Signal(syscall.SIGCONT); continued() })
	return nil
}

// fill writes a file of so many bytes into a node's temporary folder or a replica's data folder.
func (run *loadRun) fill(role, target string, bytes int64) error {
	dir := run.path("%s.tmp", target)
	if role == roleRegistry {
		dir = run.path("%s.data", target)
	}
	return os.WriteFile(filepath.Join(dir, "fill"), make([]byte, bytes), 0o644)
}

// restart starts a process again. One that still runs is killed first, which opens a fault window for a node unless its
// SIGTERM was long enough before.
func (run *loadRun) restart(ctx context.Context, role string, i int) error {
	process := run.processes[role][i]
	if role == roleNode {
		run.awaitKillDue(ctx, i)
	}
	switch {
	case role != roleNode || process.Exited() == nil:
		process.Kill()
	case run.killIsDue(i):
		run.killAfterDeadline(i, process)
	default:
		run.openFaultWindow(role, i, faultKill)
		process.Kill()
	}
	run.recordExit(role, i)
	defer run.closeFaultWindow(role, i)
	if role == roleNode {
		run.mu.Lock()
		delete(run.terminatedAt, i)
		run.mu.Unlock()
	}
	if err := process.Start(run.spawner); err != nil {
		return err
	}
	if role == roleNode && i < len(run.clients) {
		run.timers.Go(func() { run.admitWhenReady(ctx, i, process) })
	}
	return nil
}

// admitWhenReady has clients connect to a node again once its process is ready.
func (run *loadRun) admitWhenReady(ctx context.Context, i int, process *Process) {
	if waitReady(ctx, process, run.links["client-"+process.Name].target, readyPath) == nil {
		run.clients[i].admit(true)
	}
}

// minReloadAge is how long after its start a node may get SIGHUP.
const minReloadAge = time.Second

// oldDiscoveryGrace is how long discovery serves the connections of an address that it has moved from (TERMS).
const oldDiscoveryGrace = 1500 * time.Millisecond

// moveDiscovery has a node find discovery at another address: its configuration names that, and SIGHUP has it read the
// file.
func (run *loadRun) moveDiscovery(ctx context.Context, i int) error {
	process := run.processes[roleNode][i]
	name := processName(roleNode, i)
	if process.Exited() == nil || process.age() < minReloadAge {
		return nil
	}
	discovery, err := run.openView(name)
	if err != nil {
		return err
	}
	addresses := nodeAddresses{listen: run.listenAddr[i], admin: run.adminAddr[i], discovery: discovery}
	if err := os.WriteFile(run.path("%s.json", name), run.nodeConfig(i, addresses), 0o644); err != nil {
		return err
	}
	if err := process.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	closeConnections := run.discovery.CloseOtherViews(name, discovery)
	run.undoAfter(ctx, oldDiscoveryGrace, closeConnections)
	return nil
}

// rejoin has a backend come back as a new process, which is listed as one that has just started.
func (run *loadRun) rejoin(ctx context.Context, j int) error {
	process := run.processes[roleBackend][j]
	process.Kill()
	if err := process.Start(run.spawner); err != nil {
		return err
	}
	run.timers.Go(func() {
		if waitReady(ctx, process, run.backendAddr[j], livePath) == nil {
			run.discovery.SetStarted(process.Name)
		}
	})
	return nil
}
