package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"sync"
	"time"

	"hitchvale/internal/sysfault"
)

// loadRun is the experiment of nodes between clients and backends: a load while faults are applied on their times.
type loadRun struct {
	*cluster
	s Scenario
	// the second addresses are the nodes', for /metrics
	backendAddr []string
	adminAddr   []string
	listenAddr  []string
	disc        *Discovery

	drained map[string]time.Time // backends set draining through the registry, when it acknowledged
	// propagation is, for each node and acknowledged drain, the milliseconds until the node held its revision.
	propagation  []float64
	windows      []FaultWindow
	kills        []Kill
	clients      []*client // by node
	attempts     attemptLog
	terminatedAt map[int]time.Time // when a node that has not been started again was told to end
}

func (l *loadRun) run(ctx context.Context) (Report, error) {
	l.drained, l.terminatedAt = map[string]time.Time{}, map[int]time.Time{}
	if err := l.setUp(ctx); err != nil {
		return Report{}, err
	}
	return l.play(ctx)
}

// closeDiscovery ends the stand-in discovery, if it was started.
func (l *loadRun) closeDiscovery() {
	if l.disc != nil {
		l.disc.Close()
	}
}

func (l *loadRun) setUp(ctx context.Context) error {
	members := make([]Member, l.s.Backends)
	for j := range l.s.Backends {
		p, addr, err := l.startChild(ctx, "backend", l.backendArgv(j), nil, "/health/live")
		if err != nil {
			return err
		}
		l.backendAddr = append(l.backendAddr, addr)
		members[j] = Member{ID: p.Name, HostPort: addr, Locality: "a", Flavor: "m", Phase: "ready", Size: 1}
	}
	l.disc = NewDiscovery(members)
	if l.s.Registries > 0 {
		if err := l.listInRegistry(ctx, members); err != nil {
			return err
		}
	}
	for i := range l.s.Nodes {
		if err := l.startNode(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (l *loadRun) backendArgv(j int) func(addr string) []string {
	b := l.s.Backend
	return func(addr string) []string {
		argv := []string{l.opts.CommandBinary, "lab", "backend", "--resets", fmt.Sprint(b.Resets), "--hangs",
			fmt.Sprint(b.Hangs), "--id", fmt.Sprintf("backend-%d", j), "--listen", addr,
			"--log", l.path("backend-%d.runs", j), "--service", b.Service.String(),
			"--errors", fmt.Sprint(b.Errors), "--seed", fmt.Sprint(l.s.Seed + uint64(j))}
		if b.Twice {
			argv = append(argv, "--twice")
		}
		return argv
	}
}

// listInRegistry starts the replicas and registers every backend there at a proxy of its own, which all nodes
// share: the registry tells every node the same host_port.
func (l *loadRun) listInRegistry(ctx context.Context, members []Member) error {
	var keys []string
	if f := l.s.Fleet; f != nil {
		keys = []string{fmt.Sprintf("fleet_interval = %q", f.Interval)}
	}
	if err := l.startRegistries(ctx, l.s.Registries, keys...); err != nil {
		return err
	}
	for j := range members {
		p, err := l.link(fmt.Sprintf("node-*:backend-%d", j), l.backendAddr[j])
		if err != nil {
			return err
		}
		members[j].HostPort = p.Addr()
	}
	return l.registerBackends(ctx, members)
}

// discoveryFor places node i's proxies and gives the addresses it is to ask: the stand-in's view of its own, or
// each registry replica through a proxy of its own.
func (l *loadRun) discoveryFor(i int) (string, []string, error) {
	name := fmt.Sprintf("node-%d", i)
	if l.s.Registries > 0 {
		addrs, err := l.linkRegistries(name)
		if err != nil {
			return "", nil, err
		}
		return addrs[0], addrs, nil
	}
	for j, addr := range l.backendAddr {
		backend := fmt.Sprintf("backend-%d", j)
		p, err := l.link(name+":"+backend, addr)
		if err != nil {
			return "", nil, err
		}
		l.attempts.watch(p, name, backend)
	}
	view, err := l.disc.View(name, func(id string) string { return l.links[name+":"+id].Addr() })
	if err != nil {
		return "", nil, fmt.Errorf("discovery for %s: %w", name, err)
	}
	return view, nil, nil
}

// startNode places node i's proxies and discovery, writes its configuration and starts it.
func (l *loadRun) startNode(ctx context.Context, i int) error {
	name := fmt.Sprintf("node-%d", i)
	view, replicas, err := l.discoveryFor(i)
	if err != nil {
		return err
	}
	tmp, conf := l.path("%s.tmp", name), l.path("%s.json", name)
	if err := os.MkdirAll(tmp, 0o755); err != nil {
		return err
	}
	_, admin := l.addresses.allocate()
	argv := func(addr string) []string {
		if err := os.WriteFile(conf, l.nodeConfig(i, addr, view, admin, replicas), 0o644); err != nil {
			l.log.Error("node configuration not written", "node", name, "error", err)
		}
		var plan sysfault.Plan
		switch {
		case l.s.hasSystemCallFaults(i):
			plan = drawSystemCallPlan(l.s, i)
		case l.s.emptyPlan:
			plan = sysfault.Plan{}
		}
		return l.withSystemCallFaults(plan, i, l.opts.NodeBinary)
	}
	env := []string{"BALANCER_CONFIG=" + conf, "BALANCER_NAME=" + name, "TMPDIR=" + tmp}
	_, addr, err := l.startChild(ctx, "node", argv, env, "/health/ready")
	if err != nil {
		return err
	}
	l.adminAddr, l.listenAddr = append(l.adminAddr, admin), append(l.listenAddr, addr)
	_, err = l.link("client-"+name, addr)
	return err
}

// nodeConfig is a platform-style configuration (DEPLOY-hitchvale.md) with two classes: read (pure, GET) and
// claim (side_effect, POST without a key). Times in the settings are nanoseconds, as on the wire.
func (l *loadRun) nodeConfig(i int, listen, discovery, admin string, registry []string) []byte {
	deadline := l.s.Load.Deadline.Nanoseconds()
	class := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "effect": effect, "deadline": deadline, "aim": deadline / 2, "points": 1,
			"lateWorth": 0.5}
	}
	c := map[string]any{
		"name": fmt.Sprintf("node-%d", i), "listen": listen, "discovery": discovery, "admin": admin,
		"seed":   fmt.Sprintf("%016x", l.s.Seed*7919+uint64(i)),
		"limits": map[string]any{"cores": 1, "memory_mb": 256, "sockets": l.s.sockets()},
		"settings": map[string]any{
			"nInstances": l.s.Nodes, "index": i,
			"classes": []any{class(classRead, "pure"), l.longClass(class(classClaim, "side_effect")),
				l.tokenClass(class(classToken, "token"))},
			"obligations": map[string]any{"drainGrace": l.s.Grace.Nanoseconds(), "graceToAnswer": answerGrace.Nanoseconds()},
		},
	}
	if len(registry) > 0 {
		c["registry"] = registry
	}
	if l.s.Soak != nil {
		settings := c["settings"].(map[string]any)
		settings["limits"] = map[string]any{"cancelling": true, "retryAfter": true, "maxAttempts": 3,
			"connectTimeout": (300 * time.Millisecond).Nanoseconds()}
		obligations := settings["obligations"].(map[string]any)
		obligations["coldShare"] = 0.2
		obligations["fallMultiple"] = 3
		obligations["warmWithin"] = (5 * time.Second).Nanoseconds()
		obligations["overloadFor"] = (1500 * time.Millisecond).Nanoseconds()
	}
	if f := l.s.Fleet; f != nil {
		c["fleet"] = map[string]any{"registry": registry, "site": fmt.Sprintf("site-%d", i%f.Sites),
			"interval_ms": f.Interval.Milliseconds()}
	}
	text, _ := json.Marshal(c) // maps of plain values always encode
	return text
}

// crowdSockets and plainSockets are the descriptors of a node that meets a crowd, so that the crowd fills them, and of
// others.
const (
	crowdSockets = 256
	plainSockets = 1024
)

func (s Scenario) sockets() int {
	if s.crowd > 0 {
		return crowdSockets
	}
	return plainSockets
}

// longClass gives a class a deadline that is longer than its clients wait, where the scenario has one.
func (l *loadRun) longClass(class map[string]any) map[string]any {
	if l.s.longClass > 0 {
		class["deadline"] = l.s.longClass.Nanoseconds()
	}
	return class
}

// keyWindow is how long backends drop the repeats of a keyed request.
const keyWindow = 2 * time.Second

// tokenClass adds what the settings tell of a keyed class.
func (l *loadRun) tokenClass(class map[string]any) map[string]any {
	class["keyScope"], class["window"] = "all", keyWindow.Nanoseconds()
	return class
}

// playedFault sends the load while the faults are applied on their times, then ends the children and judges.
func (l *loadRun) play(ctx context.Context) (Report, error) {
	d := &Driver{Load: l.s.Load, Nodes: l.newNodeClients(), Seed: l.s.Seed}
	l.start = time.Now()
	playCtx, stopFaults := context.WithCancel(ctx)
	var faults sync.WaitGroup
	faults.Go(func() { l.applyFaults(playCtx) })
	var starved starvationLog
	if l.s.Soak != nil {
		faults.Go(func() { starved.run(playCtx, l.watchedProcesses) })
	}
	for _, c := range l.clients {
		faults.Go(func() { c.holdIdleConnections(playCtx, l.s.crowd) })
	}
	d.Run(ctx, l.s.Duration.Duration)
	stopFaults()
	faults.Wait()
	l.timers.Wait()
	if err := ctx.Err(); err != nil {
		return Report{}, fmt.Errorf("run stopped: %w", err)
	}
	acked := l.checkAcks(ctx)
	l.stopAll()
	drained := l.disc.Drained()
	maps.Copy(drained, l.drained)
	if l.s.Soak != nil {
		drained = nil // a backend may drain more than once: see verifySoak
	}
	h := History{DrainedAt: drained, DrainGrace: l.s.Grace.Duration, FaultWindows: l.windows, Kills: l.kills,
		Attempts: l.attempts.all()}
	var unsent int
	h.Outcomes, unsent = d.Outcomes()
	for j := range l.s.Backends {
		runs, err := ReadExecutions(l.path("backend-%d.runs", j))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return Report{}, fmt.Errorf("backend-%d's log: %w", j, err)
		}
		h.Executions = append(h.Executions, runs...)
	}
	extra := []Check{acked}
	if l.s.Load.Improper {
		extra = append(extra, d.Improper())
	}
	if l.s.Soak != nil {
		drains, lastUp := l.disc.drainPeriods()
		extra = append(extra, h.verifySoak(drains, lastUp)...)
		extra = append(extra, l.checkNodeLogs())
	}
	r := Summarize(l.s.Name, l.start, h, l.faultMarks, unsent, l.starts(), extra...)
	r.Propagation, r.Starved = newDistribution(l.propagation), starved.all()
	if err := writeOutcomes(l.path("outcomes.jsonl"), h.Outcomes); err != nil {
		return r, err
	}
	return r, r.Write(l.opts.Out)
}

// watchedProcesses are the processes of a soak by name, the lab's own among them: what it takes down late it judges
// wrongly.
func (l *loadRun) watchedProcesses() map[string][]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	pids := map[string][]int{"lab": {os.Getpid()}}
	for _, p := range l.children() {
		pids[p.Name] = append(pids[p.Name], p.pids()...)
	}
	return pids
}

// newNodeClients makes the clients' side of each node. A soak has no faults of the clients' links, and its clients
// reach the nodes themselves: a proxy that gets no processor time would pass a client's leaving on late.
func (l *loadRun) newNodeClients() []*client {
	for i := range l.s.Nodes {
		if l.s.Soak != nil {
			l.clients = append(l.clients, &client{target: l.listenAddr[i]})
			continue
		}
		link := l.links[fmt.Sprintf("client-node-%d", i)]
		l.clients = append(l.clients, &client{target: link.Addr(), link: link})
	}
	return l.clients
}

// writeOutcomes keeps every request's outcome, its node among them, so that a violation can be followed by trace id.
func writeOutcomes(path string, outcomes []Outcome) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	enc := json.NewEncoder(f)
	for _, o := range outcomes {
		if err := enc.Encode(o); err != nil {
			f.Close()
			return err
		}
	}
	return f.Close()
}
