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
func (l *loadRun) applyFaults(ctx context.Context) {
	faults := slices.Clone(l.s.Faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At.Duration - b.At.Duration) })
	for _, f := range faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(l.start.Add(f.At.Duration))):
		}
		err := l.apply(ctx, f)
		mark := FaultMark{At: time.Since(l.start).Seconds(), Kind: f.Kind, Target: f.Target}
		if err != nil {
			mark.Error = err.Error()
		}
		l.log.Info("fault", "component", "lab", "kind", f.Kind, "target", f.Target, "error", mark.Error)
		l.recordFault(mark)
	}
}

func (l *loadRun) apply(ctx context.Context, f Fault) error {
	switch f.Kind {
	case "outage":
		l.disc.SetDown(true)
		l.undoAfter(ctx, f.For.Duration, func() { l.disc.SetDown(false) })
		return nil
	case "kill", "term", "power", "pause", "restart", "drain", "fill", "hup", "hold", "rejoin", "upgrade":
		var errs []error
		for _, t := range f.Target {
			errs = append(errs, l.applyProcessFault(ctx, f, t))
		}
		return errors.Join(errs...)
	}
	links := l.matchLinks(f.Target)
	if len(links) == 0 {
		return errors.New("no link matches")
	}
	for name, p := range links {
		l.applyLinkFault(ctx, f, name, p)
	}
	return nil
}

func (l *loadRun) applyProcessFault(ctx context.Context, f Fault, target string) error {
	role, i, _ := parseProc(target) // checked with the scenario
	p := l.procs[role][i]
	switch f.Kind {
	case "kill", "power":
		l.openFaultWindow(role, i, f.Kind)
		if exited := p.Exited(); exited != nil {
			l.timers.Go(func() { <-exited; l.recordExit(role, i) })
		}
		return p.Signal(syscall.SIGKILL)
	case "term":
		l.startTermination(ctx, role, i)
		return p.Signal(syscall.SIGTERM)
	case "pause":
		l.openFaultWindow(role, i, f.Kind)
		if err := p.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		l.undoAfter(ctx, f.For.Duration, func() { p.Signal(syscall.SIGCONT); l.closeFaultWindow(role, i) })
		return nil
	case "hold":
		if err := p.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		l.undoAfter(ctx, f.For.Duration, func() { p.Signal(syscall.SIGCONT) })
		return nil
	case "hup":
		return l.moveDiscovery(ctx, i)
	case "rejoin":
		return l.rejoin(ctx, i)
	case "upgrade":
		return l.upgrade(ctx, i)
	case "restart":
		return l.restart(ctx, role, i)
	case "drain":
		return l.drain(ctx, target)
	default: // fill: a node's temporary folder, a replica's data folder
		dir := l.path("%s.tmp", target)
		if role == "registry" {
			dir = l.path("%s.data", target)
		}
		return os.WriteFile(filepath.Join(dir, "fill"), make([]byte, f.Bytes), 0o644)
	}
}

// frontDelay is how long after SIGTERM the front still sends new connections to a node (PROTOCOL: 0.2 to 0.4 s).
const frontDelay = 300 * time.Millisecond

// startTermination has the front send nothing new to a node that is told to end. That excuses nothing.
func (l *loadRun) startTermination(ctx context.Context, role string, i int) {
	if role != "node" || i >= len(l.clients) {
		return
	}
	l.mu.Lock()
	if l.terminatedAt[i].IsZero() { // a second signal puts no kill off
		l.terminatedAt[i] = time.Now()
	}
	l.mu.Unlock()
	l.undoAfter(ctx, frontDelay, func() { l.clients[i].admit(false) })
}

// mayBeKilled tells whether a node was told to end so long ago that SIGKILL excuses nothing (PROTOCOL).
func (l *loadRun) mayBeKilled(i int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	told := l.terminatedAt[i]
	return !told.IsZero() && time.Since(told) >= l.s.killAfter()
}

// awaitEarliestKill waits until a node that was told to end a while ago may be killed, if that is about to be so.
func (l *loadRun) awaitEarliestKill(ctx context.Context, i int) {
	l.mu.Lock()
	told := l.terminatedAt[i]
	l.mu.Unlock()
	left := time.Until(told.Add(l.s.killAfter()))
	if told.IsZero() || left <= 0 || left > clockSlack {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(left):
	}
}

// killAtEarliest kills a process that was told to end, and notes that it still ran.
func (l *loadRun) killAtEarliest(i int, p *Proc) {
	if p.Exited() == nil {
		return // it has ended by itself
	}
	l.log.Info("still ran at its earliest kill", "component", "lab", "process", p.Name)
	l.mu.Lock()
	l.kills = append(l.kills, Kill{Node: i, At: time.Now().UnixNano()})
	l.mu.Unlock()
	p.Kill()
}

// restart starts a process again. One that still runs is killed first, which excuses what a node holds then unless it
// was told to end long enough before.
func (l *loadRun) restart(ctx context.Context, role string, i int) error {
	p := l.procs[role][i]
	if role == "node" {
		l.awaitEarliestKill(ctx, i)
	}
	switch {
	case role != "node" || p.Exited() == nil:
		p.Kill()
	case l.mayBeKilled(i):
		l.killAtEarliest(i, p)
	default:
		l.openFaultWindow(role, i, "kill")
		p.Kill()
	}
	l.recordExit(role, i)
	defer l.closeFaultWindow(role, i)
	if role == "node" {
		l.mu.Lock()
		delete(l.terminatedAt, i)
		l.mu.Unlock()
	}
	if err := p.Start(l.spawn); err != nil {
		return err
	}
	if role == "node" && i < len(l.clients) {
		l.timers.Go(func() {
			if waitReady(ctx, p, l.links["client-"+p.Name].target, "/health/ready") == nil {
				l.clients[i].admit(true)
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
func (l *loadRun) moveDiscovery(ctx context.Context, i int) error {
	name := fmt.Sprintf("node-%d", i)
	p := l.procs["node"][i]
	if p.Exited() == nil || p.age() < minReloadAge {
		return nil // there is nobody to tell
	}
	view, err := l.disc.View(name, func(id string) string { return l.links[name+":"+id].Addr() })
	if err != nil {
		return err
	}
	conf := l.nodeConfig(i, l.listenAddr[i], view, l.adminAddr[i], nil)
	if err := os.WriteFile(l.path("%s.json", name), conf, 0o644); err != nil {
		return err
	}
	if err := p.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	leave := l.disc.CloseOtherViews(name, view)
	l.undoAfter(ctx, oldDiscoveryGrace, leave)
	return nil
}

// upgrade has a second process of a node take over from the one that runs, which is told to end once the other is
// ready. That excuses nothing.
func (l *loadRun) upgrade(ctx context.Context, i int) error {
	old := l.procs["node"][i]
	if old.Exited() == nil {
		return nil // there is nothing to take over
	}
	_, admin := l.addresses.allocate()
	p := &Proc{Name: old.Name, argv: old.argv, env: append(slices.Clone(old.env), "BALANCER_ADMIN="+admin), log: old.log}
	if err := p.Start(l.spawn); err != nil {
		return err
	}
	l.mu.Lock()
	l.procs["node"][i] = p
	delete(l.terminatedAt, i) // that was the old one
	l.procs["replaced"] = append(l.procs["replaced"], old)
	l.mu.Unlock()
	l.timers.Go(func() {
		if err := waitReady(ctx, p, admin, "/admin/health"); err != nil {
			l.log.Info("no upgrade", "component", "lab", "node", p.Name, "error", err)
			return // it was ended first
		}
		old.Signal(syscall.SIGTERM)
		select {
		case <-ctx.Done():
		case <-old.Exited():
		case <-time.After(l.s.killAfter()):
			l.killAtEarliest(i, old)
		}
	})
	return nil
}

// rejoin has a backend come back as a new process, which is listed as one that has just started.
func (l *loadRun) rejoin(ctx context.Context, j int) error {
	p := l.procs["backend"][j]
	p.Kill()
	if err := p.Start(l.spawn); err != nil {
		return err
	}
	l.timers.Go(func() {
		if waitReady(ctx, p, l.backendAddr[j], "/health/live") == nil {
			l.disc.Started(p.Name)
		}
	})
	return nil
}

// drain sets a backend draining, in the registry where there is one; the grace counts from its acknowledgement.
func (l *loadRun) drain(ctx context.Context, id string) error {
	if l.s.Registries == 0 {
		l.disc.SetPhase(id, "draining")
		return nil
	}
	rev, err := l.registryWrite(ctx, http.MethodPut, "/registry/members/"+id+"/phase",
		map[string]string{"phase": "draining"},
		ack{ID: id, Phase: "draining"})
	if err == nil {
		acked := time.Now()
		l.mu.Lock()
		l.drained[id] = acked
		l.mu.Unlock()
		for i := range l.s.Nodes {
			l.timers.Go(func() { l.awaitRevision(ctx, i, rev, acked) })
		}
	}
	return err
}

// propagationTimeout stands for never in the time until a node holds a change.
const propagationTimeout = 20 * time.Second

// awaitRevision reads node i's /metrics until it holds revision rev, and records how long after acked that was;
// a node that does not get there within propagationTimeout is recorded as that.
func (l *loadRun) awaitRevision(ctx context.Context, i int, rev int64, acked time.Time) {
	url := "http://" + l.adminAddr[i] + "/metrics"
	c := &http.Client{Timeout: time.Second}
	for time.Since(acked) < propagationTimeout && ctx.Err() == nil {
		if held, err := scrapeRevision(c, url); err == nil && held >= rev {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	l.mu.Lock()
	l.propagation = append(l.propagation, time.Since(acked).Seconds()*1000)
	l.mu.Unlock()
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
func (l *loadRun) openFaultWindow(role string, i int, kind string) {
	if role != "node" {
		return
	}
	l.mu.Lock()
	l.windows = append(l.windows, FaultWindow{Node: i, Start: time.Now().UnixNano(), Kind: kind,
		ProcessStart: l.procs[role][i].startedAt().UnixNano()})
	l.mu.Unlock()
}

// recordExit takes in that a process that was killed has ended.
func (l *loadRun) recordExit(role string, i int) {
	if role != "node" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := range l.windows {
		if w := &l.windows[k]; w.Node == i && w.Exited == 0 && (w.Kind == "kill" || w.Kind == "power") {
			w.Exited = time.Now().UnixNano()
		}
	}
}

func (l *loadRun) closeFaultWindow(role string, i int) {
	if role != "node" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := range l.windows {
		if w := &l.windows[k]; w.Node == i && w.End == 0 {
			w.End = time.Now().UnixNano()
		}
	}
}

func (l *loadRun) applyLinkFault(ctx context.Context, f Fault, name string, p *Proxy) {
	node := -1
	if rest, ok := strings.CutPrefix(name, "client-node-"); ok {
		fmt.Sscanf(rest, "%d", &node)
	}
	if node >= 0 {
		l.openFaultWindow("node", node, f.Kind)
	}
	undo := func(fn func()) {
		if f.For.Duration > 0 {
			l.undoAfter(ctx, f.For.Duration, func() { fn(); l.closeFaultWindow("node", node) })
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
		l.closeFaultWindow("node", node)
	}
}
