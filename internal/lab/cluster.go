package lab

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"hitchvale/internal/sysfault"
)

// stopGrace is how long a child has between SIGTERM and SIGKILL at the end of a run.
const stopGrace = 3 * time.Second

// cluster is what every experiment of the lab runs on: child processes by role, a fault proxy on each link between
// them, the addresses they listen on, and the end of all of it. An experiment embeds it and adds what it does.
type cluster struct {
	opts      Options
	seed      uint64
	spawner   *spawner
	addresses *addresses
	log       *slog.Logger
	start     time.Time // when the experiment began, once all children were ready

	// by role ("node", "backend", "registry", "candidate"), in the order of their numbers
	processes    map[string][]*Process
	registryAddr []string // HTTP addresses of the replicas
	// by "FROM:TO", such as "node-1:backend-2", "registry-0:registry-1", "client-node-1"
	links         map[string]*Proxy
	callerRouters []*CallerRouter // what the proxies between replicas listen on

	// registryPlans are what befalls the system calls of replicas; one without a plan runs as it is.
	registryPlans map[int]sysfault.Plan

	timelineLog timelineLog
	mu          sync.Mutex
	acks        []ack // writes the registry acknowledged
	faultMarks  []FaultMark
	timers      sync.WaitGroup
}

func newCluster(opts Options, seed uint64) (*cluster, error) {
	if err := claimOutput(opts.Out); err != nil {
		return nil, err
	}
	space, err := claimAddresses()
	if err != nil {
		return nil, err
	}
	c := &cluster{opts: opts, seed: seed, spawner: newSpawner(), addresses: space, log: opts.Log,
		processes: map[string][]*Process{}, links: map[string]*Proxy{},
		timelineLog: timelineLog{lastText: map[string]string{}}}
	if c.log == nil {
		c.log = slog.New(slog.DiscardHandler)
	}
	return c, nil
}

// claimOutput makes the folder of a run. One that holds anything is refused: the run's children append to their logs,
// and a verdict must not come from another run's.
func claimOutput(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("output: %w", err)
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return fmt.Errorf("output: %w", err)
	}
	if len(entries) > 0 {
		return fmt.Errorf("output: %s holds %s of another run, name an empty folder: %w", dir, entries[0].Name(), os.ErrExist)
	}
	return nil
}

// close ends every child and every proxy.
func (cluster *cluster) close() {
	cluster.timers.Wait()
	cluster.stopAll()
	for _, f := range cluster.callerRouters {
		f.Close()
	}
	for _, p := range cluster.links {
		p.Close()
	}
	cluster.spawner.close()
	cluster.addresses.close()
}

// stopAll ends every child, all at once.
func (cluster *cluster) stopAll() {
	var wg sync.WaitGroup
	for _, p := range cluster.children() {
		wg.Go(func() { p.Stop(stopGrace) })
	}
	wg.Wait()
}

// children are the children of every role.
func (cluster *cluster) children() []*Process {
	return slices.Concat(slices.Collect(maps.Values(cluster.processes))...)
}

// starts tells how often each child was started.
func (cluster *cluster) starts() map[string]int {
	out := map[string]int{}
	for _, p := range cluster.children() {
		out[p.Name] = p.starts()
	}
	return out
}

// withSystemCallFaults is the command line that runs a program under a plan, or as it is where that is nil. The number
// sets the draws of one child apart from another's.
func (cluster *cluster) tracedCommand(plan sysfault.Plan, number int, argv ...string) []string {
	if plan == nil {
		return argv
	}
	return append([]string{cluster.opts.CommandBinary, "lab", "shim", "--plan", plan.String(), "--seed",
		fmt.Sprint(cluster.seed + uint64(number)), "--"}, argv...)
}

// path is a file of the run's folder.
func (cluster *cluster) path(format string, args ...any) string {
	return filepath.Join(cluster.opts.Out, fmt.Sprintf(format, args...))
}

// link places a proxy of that name before target.
func (cluster *cluster) link(name, target string) (*Proxy, error) {
	p, err := NewProxy(target, cluster.seed+uint64(len(cluster.links)))
	if err != nil {
		return nil, fmt.Errorf("proxy %s: %w", name, err)
	}
	cluster.links[name] = p
	return p, nil
}

// recordFault records a fault as it was applied.
func (cluster *cluster) recordFault(m FaultMark) {
	cluster.mu.Lock()
	cluster.faultMarks = append(cluster.faultMarks, m)
	cluster.mu.Unlock()
}

// later runs undo after d, or at once where the run ends first.
func (cluster *cluster) undoAfter(ctx context.Context, d time.Duration, undo func()) {
	cluster.timers.Go(func() {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
		undo()
	})
}

// startChild adds a child of a role, starts it on an address of the run's own and waits until ready answers 200 there.
// The error of one that does not come up names it and ends with the last line of its log.
func (cluster *cluster) startChild(ctx context.Context, role string, argv func(addr string) []string, env []string,
	ready string) (*Process, string, error) {
	name := fmt.Sprintf("%s-%d", role, len(cluster.processes[role]))
	_, addr := cluster.addresses.allocate()
	p := &Process{Name: name, env: append(os.Environ(), env...), log: cluster.path("%s.log", name), argv: argv(addr)}
	cluster.processes[role] = append(cluster.processes[role], p)
	if err := p.Start(cluster.spawner); err != nil {
		return nil, "", err
	}
	if err := waitReady(ctx, p, addr, ready); err != nil {
		return nil, "", fmt.Errorf("%s did not start: %w; its log ends: %s", name, err, tail(p.log))
	}
	cluster.log.Info("child ready", "component", "lab", "child", name, "addr", addr)
	return p, addr, nil
}

// waitReady asks path at addr until 200, the process ends or 20 s pass.
func waitReady(ctx context.Context, p *Process, addr, path string) error {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	c := &http.Client{Timeout: time.Second}
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
		if resp, err := c.Do(req); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("not ready at %s: %w", addr, ctx.Err())
		case <-p.Exited():
			return errors.New("it ended before it was ready")
		case <-tick.C:
		}
	}
}

func tail(path string) string {
	text, _ := os.ReadFile(path)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// matchLinks resolves link names, with * for any node or any backend.
func (cluster *cluster) matchLinks(targets []string) map[string]*Proxy {
	out := map[string]*Proxy{}
	for _, t := range targets {
		for name, p := range cluster.links {
			if ok, _ := filepath.Match(t, name); ok {
				out[name] = p
			}
		}
	}
	return out
}
