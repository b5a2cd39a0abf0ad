package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// timeline applies each fault at its time; faults with a For are undone by a timer that close waits for.
func (run *loadRun) applyFaults(ctx context.Context) {
	faults := slices.Clone(run.scenario.Faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At.Duration - b.At.Duration) })
	for _, f := range faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(run.start.Add(f.At.Duration))):
		}
		err := run.apply(ctx, f)
		mark := FaultMark{At: time.Since(run.start).Seconds(), Kind: f.Kind, Target: f.Target}
		if err != nil {
			mark.Error = err.Error()
		}
		run.log.Info("fault", "component", "lab", "kind", f.Kind, "target", f.Target, "error", mark.Error)
		run.recordFault(mark)
	}
}

func (run *loadRun) apply(ctx context.Context, f Fault) error {
	switch f.Kind {
	case "outage":
		run.discovery.SetDown(true)
		run.undoAfter(ctx, f.For.Duration, func() { run.discovery.SetDown(false) })
		return nil
	case "kill", "term", "power", "pause", "restart", "drain", "fill", "hup", "hold", "rejoin", "upgrade":
		var errs []error
		for _, t := range f.Target {
			errs = append(errs, run.applyProcessFault(ctx, f, t))
		}
		return errors.Join(errs...)
	}
	links := run.matchLinks(f.Target)
	if len(links) == 0 {
		return errors.New("no link matches")
	}
	for name, p := range links {
		run.applyLinkFault(ctx, f, name, p)
	}
	return nil
}

func (run *loadRun) applyProcessFault(ctx context.Context, f Fault, target string) error {
	role, i, _ := parseProcess(target) // checked with the scenario
	p := run.processes[role][i]
	switch f.Kind {
	case "kill", "power":
		run.openFaultWindow(role, i, f.Kind)
		if exited := p.Exited(); exited != nil {
			run.timers.Go(func() { <-exited; run.recordExit(role, i) })
		}
		return p.Signal(syscall.SIGKILL)
	case "term":
		run.startTermination(ctx, role, i)
		return p.Signal(syscall.SIGTERM)
	case "pause":
		run.openFaultWindow(role, i, f.Kind)
		if err := p.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		run.undoAfter(ctx, f.For.Duration, func() { p.Signal(syscall.SIGCONT); run.closeFaultWindow(role, i) })
		return nil
	case "hold":
		if err := p.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		run.undoAfter(ctx, f.For.Duration, func() { p.Signal(syscall.SIGCONT) })
		return nil
	case "hup":
		return run.moveDiscovery(ctx, i)
	case "rejoin":
		return run.rejoin(ctx, i)
	case "upgrade":
		return run.upgrade(ctx, i)
	case "restart":
		return run.restart(ctx, role, i)
	case "drain":
		return run.drain(ctx, target)
	default: // fill: a node's temporary folder, a replica's data folder
		dir := run.path("%s.tmp", target)
		if role == "registry" {
			dir = run.path("%s.data", target)
		}
		return os.WriteFile(filepath.Join(dir, "fill"), make([]byte, f.Bytes), 0o644)
	}
}

// frontDelay is how long after SIGTERM the front still sends new connections to a node (PROTOCOL: 0.2 to 0.4 s).
const frontDelay = 300 * time.Millisecond

// startTermination has the front send nothing new to a node that is told to end. That excuses nothing.
func (run *loadRun) startTermination(ctx context.Context, role string, i int) {
	if role != "node" || i >= len(run.clients) {
		return
	}
	run.mu.Lock()
	if run.terminatedAt[i].IsZero() { // a second signal puts no kill off
		run.terminatedAt[i] = time.Now()
	}
	run.mu.Unlock()
	run.undoAfter(ctx, frontDelay, func() { run.clients[i].admit(false) })
}

// mayBeKilled tells whether a node was told to end so long ago that SIGKILL excuses nothing (PROTOCOL).
func (run *loadRun) mayBeKilled(i int) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	terminated := run.terminatedAt[i]
	return !terminated.IsZero() && time.Since(terminated) >= run.scenario.killAfter()
}

// awaitEarliestKill waits until a node that was told to end a while ago may be killed, if that is about to be so.
func (run *loadRun) awaitEarliestKill(ctx context.Context, i int) {
	run.mu.Lock()
	terminated := run.terminatedAt[i]
	run.mu.Unlock()
	remaining := time.Until(terminated.Add(run.scenario.killAfter()))
	if terminated.IsZero() || remaining <= 0 || remaining > clockSlack {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(remaining):
	}
}

// killAtEarliest kills a process that was told to end, and notes that it still ran.
func (run *loadRun) killAtEarliest(i int, p *Process) {
	if p.Exited() == nil {
		return // it has ended by itself
	}
	run.log.Info("still ran at its earliest kill", "component", "lab", "process", p.Name)
	run.mu.Lock()
	run.kills = append(run.kills, Kill{Node: i, At: time.Now().UnixNano()})
	run.mu.Unlock()
	p.Kill()
}

// restart starts a process again. One that still runs is killed first, which excuses what a node holds then unless it
// was told to end long enough before.
func (run *loadRun) restart(ctx context.Context, role string, i int) error {
	p := run.processes[role][i]
	if role == "node" {
		run.awaitEarliestKill(ctx, i)
	}
	switch {
	case role != "node" || p.Exited() == nil:
		p.Kill()
	case run.mayBeKilled(i):
		run.killAtEarliest(i, p)
	default:
		run.openFaultWindow(role, i, "kill")
		p.Kill()
	}
	run.recordExit(role, i)
	defer run.closeFaultWindow(role, i)
	if role == "node" {
		run.mu.Lock()
		delete(run.terminatedAt, i)
		run.mu.Unlock()
	}
	if err := p.Start(run.spawner); err != nil {
		return err
	}
	if role == "node" && i < len(run.clients) {
		run.timers.Go(func() {
			if waitReady(ctx, p, run.links["client-"+p.Name].target, "/health/ready") == nil {
				run.clients[i].admit(true)
			}
		})
	}
	return nil
}

// minReloadAge is how long after its start a node may be told to read its configuration again.
const minReloadAge = time.Second

// oldDiscoveryGrace is how long discovery keeps the connections of an address that it has left (TERMS).
const oldDiscoveryGrace = 1500 * time.Millisecond

// moveDiscovery has a node find discovery at another address: its file names that, and SIGHUP tells it to read the
// file.
func (run *loadRun) moveDiscovery(ctx context.Context, i int) error {
	name := fmt.Sprintf("node-%d", i)
	p := run.processes["node"][i]
	if p.Exited() == nil || p.age() < minReloadAge {
		return nil // there is nobody to tell
	}
	view, err := run.discovery.View(name, func(id string) string { return run.links[name+":"+id].Addr() })
	if err != nil {
		return err
	}
	conf := run.nodeConfig(i, run.listenAddr[i], view, run.adminAddr[i], nil)
	if err := os.WriteFile(run.path("%s.json", name), conf, 0o644); err != nil {
		return err
	}
	if err := p.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	closeOld := run.discovery.CloseOtherViews(name, view)
	run.undoAfter(ctx, oldDiscoveryGrace, closeOld)
	return nil
}

// upgrade has a second process of a node take over from the one that runs, which is told to end once the other is
// ready. That excuses nothing.
func (run *loadRun) upgrade(ctx context.Context, i int) error {
	old := run.processes["node"][i]
	if old.Exited() == nil {
		return nil // there is nothing to take over
	}
	_, admin := run.addresses.allocate()
	p := &Process{Name: old.Name, argv: old.argv, env: append(slices.Clone(old.env), "BALANCER_ADMIN="+admin),
		log: old.log}
	if err := p.Start(run.spawner); err != nil {
		return err
	}
	run.mu.Lock()
	run.processes["node"][i] = p
	delete(run.terminatedAt, i) // that was the old one
	run.processes["replaced"] = append(run.processes["replaced"], old)
	run.mu.Unlock()
	run.timers.Go(func() {
		if err := waitReady(ctx, p, admin, "/admin/health"); err != nil {
			run.log.Info("no upgrade", "component", "lab", "node", p.Name, "error", err)
			return // it was ended first
		}
		old.Signal(syscall.SIGTERM)
		select {
		case <-ctx.Done():
		case <-old.Exited():
		case <-time.After(run.scenario.killAfter()):
			run.killAtEarliest(i, old)
		}
	})
	return nil
}

// rejoin has a backend come back as a new process, which is listed as one that has just started.
func (run *loadRun) rejoin(ctx context.Context, j int) error {
	p := run.processes["backend"][j]
	p.Kill()
	if err := p.Start(run.spawner); err != nil {
		return err
	}
	run.timers.Go(func() {
		if waitReady(ctx, p, run.backendAddr[j], "/health/live") == nil {
			run.discovery.Started(p.Name)
		}
	})
	return nil
}

// drain sets a backend draining, in the registry where there is one; the grace counts from its acknowledgement.
func (run *loadRun) drain(ctx context.Context, id string) error {
	if run.scenario.Registries == 0 {
		run.discovery.SetPhase(id, "draining")
		return nil
	}
	rev, err := run.registryWrite(ctx, http.MethodPut, "/registry/members/"+id+"/phase",
		map[string]string{"phase": "draining"},
		ack{ID: id, Phase: "draining"})
	if err == nil {
		acked := time.Now()
		run.mu.Lock()
		run.drained[id] = acked
		run.mu.Unlock()
		for i := range run.scenario.Nodes {
			run.timers.Go(func() { run.awaitRevision(ctx, i, rev, acked) })
		}
	}
	return err
}

// propagationTimeout stands for never in the time until a node holds a change.
const propagationTimeout = 20 * time.Second

// awaitRevision reads node i's /metrics until it holds revision rev, and records how long after acked that was;
// a node that does not get there within propagationTimeout is recorded as that.
func (run *loadRun) awaitRevision(ctx context.Context, i int, rev int64, acked time.Time) {
	url := "http://" + run.adminAddr[i] + "/metrics"
	c := &http.Client{Timeout: time.Second}
	for time.Since(acked) < propagationTimeout && ctx.Err() == nil {
		if held, err := scrapeRevision(c, url); err == nil && held >= rev {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	run.mu.Lock()
	run.propagation = append(run.propagation, time.Since(acked).Seconds()*1000)
	run.mu.Unlock()
}

// scrapeRevision reads glencart_list_revision from a node's metrics.
func scrapeRevision(c *http.Client, url string) (int64, error) {
	resp, err := c.Get(url)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if v, ok := strings.CutPrefix(line, "glencart_list_revision "); ok {
			f, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
			return int64(f), err
		}
	}
	return 0, errors.New("no glencart_list_revision")
}

// openFaultWindow starts a window of a node's own fault, shut ends it.
func (run *loadRun) openFaultWindow(role string, i int, kind string) {
	if role != "node" {
		return
	}
	run.mu.Lock()
	run.faultWindows = append(run.faultWindows, FaultWindow{Node: i, Start: time.Now().UnixNano(), Kind: kind,
		ProcessStart: run.processes[role][i].startedAt().UnixNano()})
	run.mu.Unlock()
}

// recordExit takes in that a process that was killed has ended.
func (run *loadRun) recordExit(role string, i int) {
	if role != "node" {
		return
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	for k := range run.faultWindows {
		if w := &run.faultWindows[k]; w.Node == i && w.Exited == 0 && (w.Kind == "kill" || w.Kind == "power") {
			w.Exited = time.Now().UnixNano()
		}
	}
}

func (run *loadRun) closeFaultWindow(role string, i int) {
	if role != "node" {
		return
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	for k := range run.faultWindows {
		if w := &run.faultWindows[k]; w.Node == i && w.End == 0 {
			w.End = time.Now().UnixNano()
		}
	}
}

func (run *loadRun) applyLinkFault(ctx context.Context, f Fault, name string, p *Proxy) {
	node := -1
	if number, ok := strings.CutPrefix(name, "client-node-"); ok {
		fmt.Sscanf(number, "%d", &node)
	}
	if node >= 0 {
		run.openFaultWindow("node", node, f.Kind)
	}
	undo := func(fn func()) {
		if f.For.Duration > 0 {
			run.undoAfter(ctx, f.For.Duration, func() { fn(); run.closeFaultWindow("node", node) })
		}
	}
	switch f.Kind {
	case "partition":
		p.Partition(true)
		undo(func() { p.Partition(false) })
	case "delay":
		p.Delay(f.Delay.Duration)
		undo(func() { p.Delay(0) })
	case "drop":
		p.Drop(f.Share)
		undo(func() { p.Drop(0) })
	case "reset":
		p.Reset()
		run.closeFaultWindow("node", node)
	}
}
