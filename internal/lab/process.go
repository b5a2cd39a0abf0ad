package lab

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is one child of the lab, which may be started again after it has ended. Its methods may be called by several
// goroutines.
type Process struct {
	Name    string
	argv    []string
	env     []string
	logPath string // file that standard output and error are appended to, over all starts

	mu         sync.Mutex
	cmd        *exec.Cmd     // nil: it does not run
	exited     chan struct{} // closed when the current run ends
	startCount int
	startTime  time.Time // of the current run
}

// Start runs the process once more. It fails where the process still runs.
func (p *Process) Start(s *spawner) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("%s: still running", p.Name)
	}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return fmt.Errorf("%s: log: %w", p.Name, err)
	}
	cmd := exec.Command(p.argv[0], p.argv[1:]...)
	cmd.Env = p.env
	cmd.Stdout = log
	cmd.Stderr = log
	if err := s.start(cmd); err != nil {
		log.Close()
		return fmt.Errorf("%s: start %s: %w", p.Name, p.argv[0], err)
	}
	exited := make(chan struct{})
	go func() {
		cmd.Wait()
		log.Close()
		p.mu.Lock()
		if p.cmd == cmd {
			p.cmd = nil
		}
		p.mu.Unlock()
		close(exited)
	}()
	p.cmd = cmd
	p.exited = exited
	p.startTime = time.Now()
	p.startCount++
	return nil
}

// starts is how often the process was started.
func (p *Process) starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startCount
}

// pids are the ids of the process and of its own children: a traced program is a child of its tracer.
func (p *Process) pids() []int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	pid := p.cmd.Process.Pid
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/task/%d/children", pid, pid))
	pids := []int{pid}
	for _, field := range strings.Fields(string(text)) {
		if child, err := strconv.Atoi(field); err == nil {
			pids = append(pids, child)
		}
	}
	return pids
}

// age is how long the current run of the process has lasted.
func (p *Process) age() time.Duration { return time.Since(p.startedAt()) }

// startedAt is when the current run of the process began.
func (p *Process) startedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startTime
}

// Exited is closed when the current run of the process ends; nil where it does not run.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	return p.exited
}

// Signal sends a signal to the process's group; it is no error where the process has ended.
func (p *Process) Signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	err := syscall.Kill(-p.cmd.Process.Pid, signal)
	if errors.Is(err, syscall.ESRCH) {
		return nil
	}
	return err
}

// Kill ends the process with SIGKILL and waits for its end; it is no error where it does not run.
func (p *Process) Kill() {
	if exited := p.Exited(); exited != nil {
		p.Signal(syscall.SIGKILL)
		<-exited
	}
}

// Stop ends the process: SIGCONT, in case it is paused, SIGTERM, and SIGKILL after grace; it waits for the end.
func (p *Process) Stop(grace time.Duration) {
	exited := p.Exited()
	if exited == nil {
		return
	}
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGTERM)
	select {
	case <-exited:
		return
	case <-time.After(grace):
	}
	p.Signal(syscall.SIGKILL)
	<-exited
}
