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
)

// loadRun is the experiment of nodes between clients and backends: a load while faults are applied on their times.
type loadRun struct {
	*cluster
	scenario Scenario
	// the second addresses are the nodes', for /metrics
	backendAddr []string
	adminAddr   []string
	listenAddr  []string
	discovery   *Discovery

	drained map[string]time.Time // backends set draining through the registry, when it acknowledged
	// propagation is, for each node and acknowledged drain, the milliseconds until the node held its revision.
	propagation  []float64
	faultWindows []FaultWindow
	kills        []Kill
	clients      []*client // by node
	attempts     attemptLog
	terminatedAt map[int]time.Time // when a node that has not been started again was told to end
}

func (run *loadRun) run(ctx context.Context) (Report, error) {
	run.drained, run.terminatedAt = map[string]time.Time{}, map[int]time.Time{}
	if err := run.setUp(ctx); err != nil {
		return Report{}, err
	}
	return run.play(ctx)
}

// closeDiscovery ends the stand-in discovery, if it was started.
func (run *loadRun) closeDiscovery() {
	if run.discovery != nil {
		run.discovery.Close()
	}
}

func (run *loadRun) setUp(ctx context.Context) error {
	members := make([]Member, run.scenario.Backends)
	for j := range run.scenario.Backends {
		p, addr, err := run.startChild(ctx, "backend", run.backendArgv(j), nil, "/health/live")
		if err != nil {
			return err
		}
		run.backendAddr = append(run.backendAddr, addr)
		members[j] = Member{ID: p.Name, HostPort: addr, Locality: "a", Flavor: "m", Phase: "ready", Size: 1}
	}
	run.discovery = NewDiscovery(members)
	if run.scenario.Registries > 0 {
		if err := run.listInRegistry(ctx, members); err != nil {
			return err
		}
	}
	for i := range run.scenario.Nodes {
		if err := run.startNode(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (run *loadRun) backendArgv(j int) func(addr string) []string {
	b := run.scenario.Backend
	return func(addr string) []string {
		argv := []string{run.opts.CommandBinary, "lab", "backend", "--resets", fmt.Sprint(b.ResetShare), "--hangs",
			fmt.Sprint(b.HangShare), "--id", fmt.Sprintf("backend-%d", j), "--listen", addr,
			"--log", run.path("backend-%d.runs", j), "--service", b.ServiceTime.String(),
			"--errors", fmt.Sprint(b.ErrorShare), "--seed", fmt.Sprint(run.scenario.Seed + uint64(j))}
		if b.RunTwice {
			argv = append(argv, "--twice")
		}
		return argv
	}
}

// listInRegistry starts the replicas and registers every backend there at a proxy of its own, which all nodes
// share: the registry tells every node the same host_port.
func (run *loadRun) listInRegistry(ctx context.Context, members []Member) error {
	var keys []string
	if f := run.scenario.Fleet; f != nil {
		keys = []string{fmt.Sprintf("fleet_interval = %q", f.Interval)}
	}
	if err := run.startRegistries(ctx, run.scenario.Registries, keys...); err != nil {
		return err
	}
	for j := range members {
		p, err := run.link(fmt.Sprintf("node-*:backend-%d", j), run.backendAddr[j])
		if err != nil {
			return err
		}
		members[j].HostPort = p.Addr()
	}
	return run.registerBackends(ctx, members)
}

// discoveryFor places node i's proxies and gives the addresses it is to ask: the stand-in's view of its own, or
// each registry replica through a proxy of its own.
func (run *loadRun) discoveryFor(i int) (string, []string, error) {
	name := fmt.Sprintf("node-%d", i)
	if run.scenario.Registries > 0 {
		addrs, err := run.linkRegistries(name)
		if err != nil {
			return "", nil, err
		}
		return addrs[0], addrs, nil
	}
	for j, addr := range run.backendAddr {
		backend := fmt.Sprintf("backend-%d", j)
		p, err := run.link(name+":"+backend, addr)
		if err != nil {
			return "", nil, err
		}
		run.attempts.recordAttempts(p, name, backend)
	}
	view, err := run.discovery.View(name, func(id string) string { return run.links[name+":"+id].Addr() })
	if err != nil {
		return "", nil, fmt.Errorf("discovery for %s: %w", name, err)
	}
	return view, nil, nil
}

// startNode places node i's proxies and discovery, writes its configuration and starts it.
func (run *loadRun) startNode(ctx context.Context, i int) error {
	name := fmt.Sprintf("node-%d", i)
	view, replicas, err := run.discoveryFor(i)
	if err != nil {
		return err
	}
	tmp, conf := run.path("%s.tmp", name), run.path("%s.json", name)
	if err := os.MkdirAll(tmp, 0o755); err != nil {
		return err
	}
	_, admin := run.addresses.allocate()
	argv := func(addr string) []string {
		if err := os.WriteFile(conf, run.nodeConfig(i, addr, view, admin, replicas), 0o644); err != nil {
			run.log.Error("node configuration not written", "node", name, "error", err)
		}
		return run.tracedCommand(run.scenario.systemCallPlan(i), i, run.opts.NodeBinary)
	}
	env := []string{"BALANCER_CONFIG=" + conf, "BALANCER_NAME=" + name, "TMPDIR=" + tmp}
	_, addr, err := run.startChild(ctx, "node", argv, env, "/health/ready")
	if err != nil {
		return err
	}
	run.adminAddr, run.listenAddr = append(run.adminAddr, admin), append(run.listenAddr, addr)
	_, err = run.link("client-"+name, addr)
	return err
}

// nodeConfig is a platform-style configuration (DEPLOY-hitchvale.md) with two classes: read (pure, GET) and
// claim (side_effect, POST without a key). Times in the settings are nanoseconds, as on the wire.
func (run *loadRun) nodeConfig(i int, listen, discovery, admin string, registry []string) []byte {
	deadline := run.scenario.Load.Deadline.Nanoseconds()
	class := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "effect": effect, "deadline": deadline, "aim": deadline / 2, "points": 1,
			"lateWorth": 0.5}
	}
	c := map[string]any{
		"name": fmt.Sprintf("node-%d", i), "listen": listen, "discovery": discovery, "admin": admin,
		"seed":   fmt.Sprintf("%016x", run.scenario.Seed*7919+uint64(i)),
		"limits": map[string]any{"cores": 1, "memory_mb": 256, "sockets": run.scenario.descriptors()},
		"settings": map[string]any{
			"nInstances": run.scenario.Nodes, "index": i,
			"classes": []any{class(classRead, "pure"), run.withClaimDeadline(class(classClaim, "side_effect")),
				run.withKeyWindow(class(classToken, "token"))},
			"obligations": map[string]any{"drainGrace": run.scenario.DrainGrace.Nanoseconds(),
				"graceToAnswer": answerGrace.Nanoseconds()},
		},
	}
	if len(registry) > 0 {
		c["registry"] = registry
	}
	if run.scenario.Soak != nil {
		settings := c["settings"].(map[string]any)
		settings["limits"] = map[string]any{"cancelling": true, "retryAfter": true, "maxAttempts": 3,
			"connectTimeout": (300 * time.Millisecond).Nanoseconds()}
		obligations := settings["obligations"].(map[string]any)
		obligations["coldShare"] = 0.2
		obligations["fallMultiple"] = 3
		obligations["warmWithin"] = (5 * time.Second).Nanoseconds()
		obligations["overloadFor"] = (1500 * time.Millisecond).Nanoseconds()
	}
	if f := run.scenario.Fleet; f != nil {
		c["fleet"] = map[string]any{"registry": registry, "site": fmt.Sprintf("site-%d", i%f.Sites),
			"interval_ms": f.Interval.Milliseconds()}
	}
	text, _ := json.Marshal(c) // maps of plain values always encode
	return text
}

// crowdSockets and plainSockets are the descriptors of a node that meets a crowd, so that the crowd fills them, and of
// others.
const (
	fewDescriptors  = 256
	manyDescriptors = 1024
)

func (scenario Scenario) descriptors() int {
	if scenario.idleConnections > 0 {
		return fewDescriptors
	}
	return manyDescriptors
}

// longClass gives a class a deadline that is longer than its clients wait, where the scenario has one.
func (run *loadRun) withClaimDeadline(class map[string]any) map[string]any {
	if run.scenario.claimDeadline > 0 {
		class["deadline"] = run.scenario.claimDeadline.Nanoseconds()
	}
	return class
}

// keyWindow is how long backends drop the repeats of a keyed request.
const keyWindow = 2 * time.Second

// tokenClass adds what the settings tell of a keyed class.
func (run *loadRun) withKeyWindow(class map[string]any) map[string]any {
	class["keyScope"], class["window"] = "all", keyWindow.Nanoseconds()
	return class
}

// playedFault sends the load while the faults are applied on their times, then ends the children and judges.
func (run *loadRun) play(ctx context.Context) (Report, error) {
	d := &Driver{Load: run.scenario.Load, Nodes: run.newNodeClients(), Seed: run.scenario.Seed}
	run.start = time.Now()
	playCtx, stopFaults := context.WithCancel(ctx)
	var faults sync.WaitGroup
	faults.Go(func() { run.applyFaults(playCtx) })
	var starved starvationLog
	if run.scenario.Soak != nil {
		faults.Go(func() { starved.run(playCtx, run.watchedProcesses) })
	}
	for _, c := range run.clients {
		faults.Go(func() { c.holdIdleConnections(playCtx, run.scenario.idleConnections) })
	}
	d.Run(ctx, run.scenario.Duration.Duration)
	stopFaults()
	faults.Wait()
	run.timers.Wait()
	if err := ctx.Err(); err != nil {
		return Report{}, fmt.Errorf("run stopped: %w", err)
	}
	acked := run.checkAcks(ctx)
	run.stopAll()
	drained := run.discovery.Drained()
	maps.Copy(drained, run.drained)
	if run.scenario.Soak != nil {
		drained = nil // a backend may drain more than once: see verifySoak
	}
	h := History{DrainedAt: drained, DrainGrace: run.scenario.DrainGrace.Duration, FaultWindows: run.faultWindows,
		Kills:    run.kills,
		Attempts: run.attempts.all()}
	var unsent int
	h.Outcomes, unsent = d.Outcomes()
	for j := range run.scenario.Backends {
		runs, err := ReadExecutions(run.path("backend-%d.runs", j))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return Report{}, fmt.Errorf("backend-%d's log: %w", j, err)
		}
		h.Executions = append(h.Executions, runs...)
	}
	extra := []Check{acked}
	if run.scenario.Load.ImproperPeers {
		extra = append(extra, d.Improper())
	}
	if run.scenario.Soak != nil {
		drains, lastUp := run.discovery.drainPeriods()
		extra = append(extra, h.verifySoak(drains, lastUp)...)
		extra = append(extra, run.checkNodeLogs())
	}
	r := Summarize(run.scenario.Name, run.start, h, run.faultMarks, unsent, run.starts(), extra...)
	r.Propagation, r.Starved = newDistribution(run.propagation), starved.all()
	if err := writeOutcomes(run.path("outcomes.jsonl"), h.Outcomes); err != nil {
		return r, err
	}
	return r, r.Write(run.opts.Out)
}

// watchedProcesses are the processes of a soak by name, the lab's own among them: what it takes down late it judges
// wrongly.
func (run *loadRun) watchedProcesses() map[string][]int {
	run.mu.Lock()
	defer run.mu.Unlock()
	pids := map[string][]int{"lab": {os.Getpid()}}
	for _, p := range run.children() {
		pids[p.Name] = append(pids[p.Name], p.pids()...)
	}
	return pids
}

// newNodeClients makes the clients' side of each node. A soak has no faults of the clients' links, and its clients
// reach the nodes themselves: a proxy that gets no processor time would pass a client's leaving on late.
func (run *loadRun) newNodeClients() []*client {
	for i := range run.scenario.Nodes {
		if run.scenario.Soak != nil {
			run.clients = append(run.clients, &client{target: run.listenAddr[i]})
			continue
		}
		link := run.links[fmt.Sprintf("client-node-%d", i)]
		run.clients = append(run.clients, &client{target: link.Addr(), link: link})
	}
	return run.clients
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
