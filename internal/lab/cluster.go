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

const (
	// stopGrace is how long a child has between SIGTERM and SIGKILL at the end of a run.
	stopGrace = 3 * time.Second
	// readyTimeout is how long a child may take until it is ready.
	readyTimeout = 20 * time.Second
	// readyPollInterval is the time between two readiness calls to a child.
	readyPollInterval = 50 * time.Millisecond
	// readyCallTimeout bounds one readiness call.
	readyCallTimeout = time.Second
)

// cluster holds the processes of one run by role, the fault proxies on the links between them, and the addresses they
// listen on. The type of each kind of run embeds a cluster and adds the run's load and faults. The caller of newCluster
// must call close.
type cluster struct {
	opts      Options
	seed      uint64
	spawner   *spawner
	addresses *addresses
	log       *slog.Logger
	start     time.Time // when the load or the faults began; all children were ready by then

	processes     map[string][]*Process // by role, in the order of their numbers
	registryAddr  []string              // by replica: the address of its HTTP API
	links         map[string]*Proxy     // by "FROM:TO", such as "node-1:backend-2", or "client-node-N"
	callerRouters []*CallerRouter       // by replica: the router that its peers dial

	// registryPlans holds, by replica, the plan by which its system calls fail. A replica without a plan is not traced.
	registryPlans map[int]sysfault.Plan

	// nodesShareCore makes all nodes run on one processor.
	nodesShareCore bool

	timelineLog timelineLog
	timers      sync.WaitGroup // goroutines that undo a fault, or wait for its effects

	mu                 sync.Mutex
	acknowledgedWrites []acknowledgedWrite // in the order in which the registry acknowledged them
	injectedFaults     []InjectedFault     // in the order in which they were injected
}

// newCluster creates the run's output folder and claims a block of loopback addresses for its processes.
func newCluster(opts Options, seed uint64) (*cluster, error) {
	if err := claimOutput(opts.Out); err != nil {
		return nil, err
	}
	addresses, err := claimAddresses()
	if err != nil {
		return nil, err
	}
	log := opts.Log
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return &cluster{
		opts:        opts,
		seed:        seed,
		spawner:     newSpawner(),
		addresses:   addresses,
		log:         log,
		processes:   map[string][]*Process{},
		links:       map[string]*Proxy{},
		timelineLog: timelineLog{lastText: map[string]string{}},
	}, nil
}

// claimOutput creates the output folder of a run. If the folder is not empty, it returns an error that wraps
// os.ErrExist: children append to their logs, and the checks must not read the logs of another run.
func claimOutput(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("output: %w", err)
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return fmt.Errorf("output: %w", err)
	}
	if len(entries) > 0 {
		return fmt.Errorf("output: folder %s is not empty, it contains %s: the folder must be empty or not exist: %w",
			dir, entries[0].Name(), os.ErrExist)
	}
	return nil
}

// close stops every child and every proxy, after the timers have undone their faults.
func (cluster *cluster) close() {
	cluster.timers.Wait()
	cluster.stopAll()
	for _, router := range cluster.callerRouters {
		router.Close()
	}
	for _, proxy := range cluster.links {
		proxy.Close()
	}
	cluster.spawner.close()
	cluster.addresses.close()
}

// stopAll stops all children at the same time and waits until they have exited.
func (cluster *cluster) stopAll() {
	var stops sync.WaitGroup
	for _, child := range cluster.children() {
		stops.Go(func() { child.Stop(stopGrace) })
	}
	stops.Wait()
}

// children returns the children of all roles.
func (cluster *cluster) children() []*Process {
	return slices.Concat(slices.Collect(maps.Values(cluster.processes))...)
}

// starts returns how many times each child was started, by name.
func (cluster *cluster) starts() map[string]int {
	starts := map[string]int{}
	for _, child := range cluster.children() {
		starts[child.Name] = child.starts()
	}
	return starts
}

// tracedCommand returns the command line that runs a program under a tracer, which makes its system calls fail by a
// plan. Without a plan (nil), it returns argv unchanged. The number is added to the seed, so that each child has its
// own random faults.
func (cluster *cluster) tracedCommand(plan sysfault.Plan, number int, argv ...string) []string {
	if plan == nil {
		return argv
	}
	tracer := []string{cluster.opts.CommandBinary, "lab", "shim", "--plan", plan.String(),
		"--seed", fmt.Sprint(cluster.seed + uint64(number)), "--"}
	return append(tracer, argv...)
}

// path returns the path of a file in the run's output folder; format and args give the file's name.
func (cluster *cluster) path(format string, args ...any) string {
	return filepath.Join(cluster.opts.Out, fmt.Sprintf(format, args...))
}

// link starts a proxy of that name in front of target (host:port). The cluster closes the proxy.
func (cluster *cluster) link(name, target string) (*Proxy, error) {
	proxy, err := NewProxy(target, cluster.seed+uint64(len(cluster.links)))
	if err != nil {
		return nil, fmt.Errorf("proxy %s: %w", name, err)
	}
	cluster.links[name] = proxy
	return proxy, nil
}

// matchLinks returns the links that match one of the targets, in which * stands for any number.
func (cluster *cluster) matchLinks(targets []string) map[string]*Proxy {
	matched := map[string]*Proxy{}
	for _, target := range targets {
		for name, proxy := range cluster.links {
			if ok, _ := filepath.Match(target, name); ok {
				matched[name] = proxy
			}
		}
	}
	return matched
}

// recordFault records an injected fault for the report.
func (cluster *cluster) recordFault(injected InjectedFault) {
	cluster.mu.Lock()
	cluster.injectedFaults = append(cluster.injectedFaults, injected)
	cluster.mu.Unlock()
}

// undoAfter runs undo in the background after a delay, or immediately when ctx ends first.
func (cluster *cluster) undoAfter(ctx context.Context, delay time.Duration, undo func()) {
	cluster.timers.Go(func() {
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		undo()
	})
}

// startChild adds a child of a role, starts it on a newly allocated address and waits until a GET of path returns 200
// there.
func (cluster *cluster) startChild(ctx context.Context, role string, command func(addr string) []string, env []string,
	path string) (child *Process, addr string, err error) {
	name := processName(role, len(cluster.processes[role]))
	_, addr = cluster.addresses.allocate()
	child = &Process{Name: name, env: append(os.Environ(), env...), logPath: cluster.path("%s.log", name),
		argv: command(addr), sharedCore: role == roleNode && cluster.nodesShareCore}
	cluster.processes[role] = append(cluster.processes[role], child)
	if err := child.Start(cluster.spawner); err != nil {
		return nil, "", err
	}
	if err := awaitStart(ctx, child, addr, path); err != nil {
		return nil, "", err
	}
	cluster.log.Info("child ready", "component", "lab", "child", name, "addr", addr)
	return child, addr, nil
}

// awaitStart waits until a child that has been started is ready. Its error names the child and ends with the last line
// of the child's log.
func awaitStart(ctx context.Context, child *Process, addr, path string) error {
	if err := waitReady(ctx, child, addr, path); err != nil {
		return fmt.Errorf("%s did not become ready: %w; last line of its log: %s", child.Name, err,
			lastLine(child.logPath))
	}
	return nil
}

// errExitedBeforeReady says that a child's process exited before it was ready.
var errExitedBeforeReady = errors.New("its process exited before it was ready")

// waitReady polls path at addr until it returns 200. It returns an error when the process exits, ctx ends or
// readyTimeout is over.
func waitReady(ctx context.Context, process *Process, addr, path string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := &http.Client{Timeout: readyCallTimeout}
	tick := time.NewTicker(readyPollInterval)
	defer tick.Stop()
	for {
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
		if response, err := client.Do(request); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("not ready at %s: %w", addr, ctx.Err())
		case <-process.Exited():
			return errExitedBeforeReady
		case <-tick.C:
		}
	}
}

// lastLine returns the last line of a file, or "" if the file cannot be read.
func lastLine(path string) string {
	text, _ := os.ReadFile(path)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}
