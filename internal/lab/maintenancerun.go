package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"hitchvale/internal/maintenance"
	"hitchvale/internal/timeline"
)

// maintenanceRun is the experiment.
type maintenanceRun struct {
	*loadRun
	members []Member // as listed, by number

	outPeriods  []outPeriod // while a machine was out, by the operator's own clock
	budgetCheck Check       // never more out than the budget
}

// outPeriod is a machine's time between quiet, as the registry acknowledged it, and the call that lists it again.
type outPeriod struct {
	machine string
	start   time.Time
	end     time.Time
}

func (run *maintenanceRun) run(ctx context.Context) (Report, error) {
	run.drained = map[string]time.Time{}
	run.budgetCheck = Check{Name: "never more machines out than the budget"}
	run.start = time.Now()
	stopLoad := make(chan struct{})
	d := &Driver{Load: run.scenario.Load, Nodes: run.newNodeClients(), Seed: run.scenario.Seed}
	var beside sync.WaitGroup
	d.Stop = stopLoad
	beside.Go(func() { d.Run(ctx, run.scenario.Duration.Duration) })
	faults, stopFaults := context.WithCancel(ctx)
	beside.Go(func() { run.drawFaults(faults) })
	err := run.operate(ctx)
	stopFaults()
	close(stopLoad)
	beside.Wait()
	run.timers.Wait()
	run.stopAll()
	h := History{FaultWindows: run.faultWindows}
	var unsent int
	h.Outcomes, unsent = d.Outcomes()
	for j := range run.scenario.Backends {
		runs, rerr := ReadExecutions(run.path("backend-%d.runs", j))
		if rerr != nil && !errors.Is(rerr, os.ErrNotExist) {
			return Report{}, rerr
		}
		h.Executions = append(h.Executions, runs...)
	}
	through := Check{Name: "every machine asked for went out and came back"}
	if err != nil {
		through.add(err.Error())
	}
	r := Summarize(run.scenario.Name, run.start, h, run.faultMarks, unsent, run.starts(), run.noAttemptWhileOut(h),
		run.budgetCheck.done(),
		through.done())
	if r.Timeline, err = run.drawTimeline(nil); err != nil {
		return r, err
	}
	return r, r.Write(run.opts.Out)
}

// drawFaults plays a fault every so often until ctx ends, each undone before the next.
func (run *maintenanceRun) drawFaults(ctx context.Context) {
	rng := rand.New(rand.NewPCG(run.scenario.Seed, 0x307a))
	w := run.scenario.Maintenance
	for len(w.Kinds) > 0 {
		sleepUntil(ctx, time.Now().Add(w.FaultInterval.Duration))
		if ctx.Err() != nil {
			return
		}
		run.playFault(ctx, rng, w.Kinds[rng.IntN(len(w.Kinds))])
	}
}

// inject plays one fault and undoes it.
func (run *maintenanceRun) playFault(ctx context.Context, rng *rand.Rand, kind string) {
	long := time.Duration(float64(run.scenario.Fleet.Interval.Duration) * (0.5 + 7*rng.Float64()))
	i := rng.IntN(run.scenario.Nodes)
	p := run.processes["node"][i]
	switch kind {
	case "leader":
		if lead := run.leaderIndex(ctx); lead >= 0 {
			run.noteFault("kill", fmt.Sprintf("registry-%d", lead))
			run.restartAfterElection(context.WithoutCancel(ctx), lead)
		}
		return
	case "outage":
		run.noteFault("kill", "registry-*")
		for _, r := range run.processes["registry"] {
			r.Kill()
		}
		sleepUntil(ctx, time.Now().Add(2*long))
		for _, r := range run.processes["registry"] {
			if err := r.Start(run.spawner); err != nil {
				run.log.Error("not started again", "child", r.Name, "error", err)
			}
		}
		run.recordEvent(timeline.Faults, "start registry-*")
		run.waitLeader(context.WithoutCancel(ctx))
		return
	case "kill":
		run.noteFault("kill", p.Name)
		run.openFaultWindow("node", i, "kill")
		p.Kill()
		sleepUntil(ctx, time.Now().Add(long/4))
		if err := p.Start(run.spawner); err != nil {
			run.log.Error("not started again", "child", p.Name, "error", err)
		}
		waitReady(context.WithoutCancel(ctx), p, run.links["client-"+p.Name].target, "/health/ready")
		run.recordEvent(timeline.Faults, "start %s", p.Name)
	default:
		run.noteFault("pause", p.Name)
		run.openFaultWindow("node", i, "pause")
		p.Signal(syscall.SIGSTOP)
		sleepUntil(ctx, time.Now().Add(long))
		p.Signal(syscall.SIGCONT)
		run.recordEvent(timeline.Faults, "go on %s", p.Name)
	}
	// What it held is late, and what it has not heard yet it cannot know: a second more.
	run.undoAfter(context.WithoutCancel(ctx), time.Second, func() { run.closeFaultWindow("node", i) })
}

// runMaintenance is the operator: it asks for all backends and works on each that is quiet, until all have been
// through.
func (run *maintenanceRun) operate(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*eventTimeout)
	defer cancel()
	request := map[string]any{"id": "work", "reason": "the lab's", "length_ms": 1000,
		"budget": map[string]int{"all": run.scenario.Maintenance.Budget},
		"select": map[string]string{"site": "a"}}
	if err := run.callAnyReplica(ctx, http.MethodPost, "/registry/rota/requests", request, nil); err != nil {
		return err
	}
	for {
		var b maintenance.PlanView
		if err := run.callAnyReplica(ctx, http.MethodGet, "/registry/rota", nil, &b); err != nil {
			return err
		}
		run.recordPlan(b)
		if len(b.Turns) == 0 {
			return nil
		}
		for _, t := range b.Turns {
			if err := run.serveTurn(ctx, t); err != nil {
				return err
			}
		}
		sleepUntil(ctx, time.Now().Add(readerPollInterval))
	}
}

// recordBoard records a board in the timeline.
func (run *maintenanceRun) recordPlan(b maintenance.PlanView) {
	out := 0
	states := map[string]string{}
	for _, t := range b.Turns {
		states[t.Machine] = string(t.State)
		if t.State != maintenance.Waiting {
			out++
		}
	}
	for _, m := range run.members {
		if s, ok := states[m.ID]; ok {
			run.recordChange(m.ID, s)
		} else {
			run.recordChange(m.ID, "done")
		}
	}
	if out > run.scenario.Maintenance.Budget {
		run.budgetCheck.add(fmt.Sprintf("%d of %d at %s: %v", out, run.scenario.Maintenance.Budget,
			time.Since(run.start).Round(time.Millisecond),
			states))
	}
}

// serveTurn does the operator's part of a turn: a quiet machine is taken out, worked on, listed again and done.
func (run *maintenanceRun) serveTurn(ctx context.Context, t maintenance.Turn) error {
	step := func(to maintenance.TurnState) error {
		var out struct{ Turn maintenance.Turn }
		err := run.callAnyReplica(ctx, http.MethodPost, "/registry/rota/machines/"+t.Machine+"/step",
			maintenance.Command{Revision: t.Revision, Target: to}, &out)
		if err == nil {
			t = out.Turn
		}
		return err
	}
	if t.State != maintenance.Quiet {
		return nil
	}
	from := time.Now()
	if err := step(maintenance.Out); err != nil {
		return fmt.Errorf("%s out: %w", t.Machine, err)
	}
	i := slices.IndexFunc(run.members, func(m Member) bool { return m.ID == t.Machine })
	p := run.processes["backend"][i]
	p.Stop(stopGrace)
	if err := errors.Join(p.Start(run.spawner), waitReady(ctx, p, run.backendAddr[i], "/health/live")); err != nil {
		return err
	}
	run.outPeriods = append(run.outPeriods, outPeriod{t.Machine, from, time.Now()})
	m := run.members[i]
	m.UpSince, m.Phase = time.Now().UnixMilli(), "draining" // a new process, not to be sent to before its turn says so
	if err := run.callAnyReplica(ctx, http.MethodPost, "/registry/members", map[string]any{"member": m}, nil); err != nil {
		return err
	}
	for _, to := range []maintenance.TurnState{maintenance.Returning, maintenance.Done} {
		var refused *statusError
		err := step(to)
		if to == maintenance.Done && errors.As(err, &refused) && refused.status == http.StatusNotFound {
			err = nil // it was done, and the answer was lost
		}
		if err != nil {
			return fmt.Errorf("%s %s: %w", t.Machine, to, err)
		}
	}
	return nil
}

// anyReplica makes a call of one replica after the other until one answers it, for patience at most; a refusal by the
// rules is final.
func (cluster *cluster) callAnyReplica(ctx context.Context, method, path string, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	var last error
	for try := 0; ctx.Err() == nil; try++ {
		last = cluster.registryCall(ctx, method, cluster.registryAddr[try%len(cluster.registryAddr)], path, body, out)
		var refused *statusError
		if last == nil || errors.As(last, &refused) && refused.status != http.StatusServiceUnavailable {
			return last
		}
		sleepUntil(ctx, time.Now().Add(50*time.Millisecond))
	}
	return fmt.Errorf("no replica answered: %w", last)
}

// noAttemptWhileOut checks that nothing was run by a machine while it was out, but for what a node sent that was paused
// itself and could not hear.
func (run *maintenanceRun) noAttemptWhileOut(h History) Check {
	c := Check{Name: "nothing reaches a machine between quiet and returning"}
	node := map[string]int{}
	for _, o := range h.Outcomes {
		node[o.Trace] = o.Node
	}
	for _, e := range h.Executions {
		for _, a := range run.outPeriods {
			if e.Backend != a.machine || e.At < a.start.UnixNano() || e.At > a.end.UnixNano() {
				continue
			}
			if n, sent := node[e.Trace]; sent && h.inFaultWindow(n, a.start.Add(-time.Second).UnixNano(), e.At) {
				c.Excused++
				continue
			}
			c.add(fmt.Sprintf("%s at %s, %s after it was quiet", e.Trace, e.Backend, time.Duration(e.At-a.start.UnixNano())))
		}
	}
	return c.done()
}

// runWork sets the experiment up and plays it.
func runMaintenance(ctx context.Context, l *loadRun) (Report, error) {
	if err := l.setUp(ctx); err != nil {
		return Report{}, err
	}
	w := &maintenanceRun{loadRun: l}
	for j := range l.scenario.Backends {
		w.members = append(w.members, Member{ID: fmt.Sprintf("backend-%d", j),
			HostPort: l.links[fmt.Sprintf("node-*:backend-%d", j)].Addr(),
			Locality: "a", Flavor: "m", Phase: "ready", Size: 1})
	}
	return w.run(ctx)
}
