package lab

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// injectProcessFault injects a fault on the process that target names.
func (run *loadRun) injectProcessFault(ctx context.Context, fault Fault, target string) error {
	role, i, _ := parseProcess(target) // the target was checked when the scenario was read
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

// kill sends SIGKILL to a process. If the process is a node, it opens a fault window of that kind.
func (run *loadRun) kill(role string, i int, kind string) error {
	process := run.processes[role][i]
	run.openFaultWindow(role, i, kind)
	if exited := process.Exited(); exited != nil {
		run.timers.Go(func() { <-exited; run.recordExit(role, i) })
	}
	return process.Signal(syscall.SIGKILL)
}

// pause stops a process with SIGSTOP. After duration it sends SIGCONT to the process and calls continued.
func (run *loadRun) pause(ctx context.Context, process *Process, duration time.Duration, continued func()) error {
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	run.undoAfter(ctx, duration, func() { process.Signal(syscall.SIGCONT); continued() })
	return nil
}

// fill writes a file of that many bytes into a node's temporary folder or a replica's data folder.
func (run *loadRun) fill(role, target string, bytes int64) error {
	dir := run.path("%s.tmp", target)
	if role == roleRegistry {
		dir = run.path("%s.data", target)
	}
	return os.WriteFile(filepath.Join(dir, "fill"), make([]byte, bytes), 0o644)
}

// restart starts a process again. A process that is still running is killed first. Killing a node opens a fault window,
// except if the node got SIGTERM so long ago that its shutdown deadline has passed.
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

// admitWhenReady lets clients connect to a node again once its process is ready.
func (run *loadRun) admitWhenReady(ctx context.Context, i int, process *Process) {
	if waitReady(ctx, process, run.links["client-"+process.Name].target, readyPath) == nil {
		run.clients[i].admit(true)
	}
}

// minReloadAge is the age that a node's process must have before it gets SIGHUP.
const minReloadAge = time.Second

// oldDiscoveryGrace is how long discovery keeps the open connections of its old address after a move to another address
// (TERMS).
const oldDiscoveryGrace = 1500 * time.Millisecond

// moveDiscovery moves discovery to another address for one node. It writes the new address into the node's
// configuration file and sends SIGHUP, which makes the node read the file. It does nothing if the node is not running,
// or was started less than minReloadAge ago.
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

// rejoin replaces a backend's process by a new one. Once the new process is ready, discovery lists the backend as ready
// and just started.
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
