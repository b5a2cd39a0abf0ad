package lab

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// maintenanceFaultStream is the random stream of a maintenance run's faults. It keeps their draws independent of
	// other draws from the same seed.
	maintenanceFaultStream = 0x307a
	// notificationGrace is how long after its fault a node may still lack the changes that it missed during the fault.
	notificationGrace = time.Second
)

// maintenanceRun is a run in which an operator takes all backends out for maintenance under load. In the maintenance
// plan, each backend is a machine.
type maintenanceRun struct {
	*loadRun
	members []Member // the backends as they are registered, by number

	outPeriods  []outPeriod
	budgetCheck Check
}

// outPeriod is a period in which a machine is out for maintenance. It begins when the operator has read that the
// machine is quiet, and ends before the call that registers the machine again.
type outPeriod struct {
	machine string
	start   time.Time
	end     time.Time
}

// run starts the processes, sends the load and injects the faults until the operator has finished, and writes the
// report.
func (run *maintenanceRun) run(ctx context.Context) (Report, error) {
	if err := run.setUp(ctx); err != nil {
		return Report{}, err
	}
	run.drained = map[string]time.Time{}
	run.budgetCheck = Check{Name: "never more machines out than the budget"}
	for j := range run.scenario.Backends {
		addr := run.links[fmt.Sprintf("node-*:backend-%d", j)].Addr()
		run.members = append(run.members, newMember(processName(roleBackend, j), addr))
	}
	run.start = time.Now()
	stopLoad := make(chan struct{})
	driver := &Driver{Load: run.scenario.Load, Nodes: run.newNodeClients(), Seed: run.scenario.Seed, Stop: stopLoad}
	var background sync.WaitGroup
	background.Go(func() { driver.Run(ctx, run.scenario.Duration.Duration) })
	faultsCtx, stopFaults := context.WithCancel(ctx)
	background.Go(func() { run.injectDrawnFaults(faultsCtx) })
	operatorErr := run.runOperator(ctx)
	stopFaults()
	close(stopLoad)
	background.Wait()
	run.timers.Wait()
	run.stopAll()
	return run.report(driver, operatorErr)
}

// report checks the history of a run whose children have ended, and writes the report and the timeline.
func (run *maintenanceRun) report(driver *Driver, operatorErr error) (Report, error) {
	history := History{FaultWindows: run.faultWindows}
	var unsent int
	history.Outcomes, unsent = driver.Outcomes()
	var err error
	if history.Executions, err = run.readExecutions(); err != nil {
		return Report{}, err
	}
	completed := Check{Name: "every machine asked for went out and came back"}
	if operatorErr != nil {
		completed.addViolation(operatorErr.Error())
	}
	report := Summarize(run.scenario.Name, run.start, history, run.injectedFaults, unsent, run.starts(),
		run.noExecutionWhileOut(history), run.budgetCheck.result(), completed.result())
	if report.Timeline, err = run.drawTimeline(nil); err != nil {
		return report, err
	}
	return report, report.Write(run.opts.Out)
}

// noExecutionWhileOut checks that no machine executed a request while it was out. A request is excused if its node had
// a fault in that time or up to notificationGrace before it, because the node may not have been notified then.
func (run *maintenanceRun) noExecutionWhileOut(history History) Check {
	check := Check{Name: "nothing reaches a machine between quiet and returning"}
	nodes := history.nodes()
	for _, execution := range history.Executions {
		for _, period := range run.outPeriods {
			start, end := period.start.UnixNano(), period.end.UnixNano()
			if execution.Backend != period.machine || execution.At < start || execution.At > end {
				continue
			}
			node, sent := nodes[execution.Trace]
			if sent && history.inFaultWindow(node, start-int64(notificationGrace), execution.At) {
				check.Excused++
				continue
			}
			check.addViolation(fmt.Sprintf("%s at %s: executed %s after the machine was quiet", execution.Trace,
				execution.Backend, time.Duration(execution.At-start)))
		}
	}
	return check.result()
}
