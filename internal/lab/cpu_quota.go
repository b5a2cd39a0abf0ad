package lab

import (
	"context"
	"fmt"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// quotaPeriod is the period of a CPU quota, like that of the kernel's bandwidth control.
	quotaPeriod = 100 * time.Millisecond
	// quotaSampleInterval is the time between two samples of the processor time that a process has used.
	quotaSampleInterval = 2 * time.Millisecond
)

// limitCPU holds each node to a share of a processor until ctx ends: a node that has used its share of a period is
// stopped until the period ends.
func (run *loadRun) limitCPU(ctx context.Context, cores float64) {
	quota := time.Duration(cores * float64(quotaPeriod))
	for ctx.Err() == nil {
		run.enforceQuota(ctx, quota)
	}
}

// enforceQuota runs one period of the quota.
func (run *loadRun) enforceQuota(ctx context.Context, quota time.Duration) {
	usedBefore := map[*Process]time.Duration{}
	stopped := map[*Process]bool{}
	defer func() {
		for process := range stopped {
			process.Signal(syscall.SIGCONT)
		}
	}()
	for end := time.Now().Add(quotaPeriod); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(quotaSampleInterval) {
		for _, process := range run.nodeProcesses() {
			used := process.cpuTime()
			before, known := usedBefore[process]
			switch {
			case !known:
				usedBefore[process] = used
			case used-before > quota && !stopped[process]:
				stopped[process] = true
				process.Signal(syscall.SIGSTOP)
			}
		}
	}
}

// nodeProcesses returns the present processes of the nodes and those that are being replaced.
func (run *loadRun) nodeProcesses() []*Process {
	run.mu.Lock()
	defer run.mu.Unlock()
	return append(append([]*Process(nil), run.processes[roleNode]...), run.processes[roleReplaced]...)
}

// cpuTime returns the processor time that the process's threads have used.
func (p *Process) cpuTime() (sum time.Duration) {
	for _, pid := range p.pids() {
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
		for _, file := range files {
			ran, _ := schedstatField(file, 0)
			sum += ran
		}
	}
	return sum
}
