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

// Process is a child process of the lab. It may be started again after it has exited. Its methods may be called by
// several goroutines.
type Process struct {
	Name string
	argv []string
	env  []string
	// sharedCore makes the process run on one processor, which all such processes share.
	sharedCore bool
	logPath    string // file to which standard output and standard error of all starts are appended

	mu         sync.Mutex
	cmd        *exec.Cmd     // nil: the process is not running
	exited     chan struct{} // closed when the current process exits
	startCount int
	startTime  time.Time // of the current process
}

// Start starts the process. It returns an error if the process is still running.
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
	if err := s.start(cmd, p.sharedCore); err != nil {
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

// starts returns how many times the process was started.
func (p *Process) starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startCount
}

// pids returns the ids of the process and of its children, or nil if it is not running. A traced program is a child of
// its tracer.
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

// age returns the time since the process was last started.
func (p *Process) age() time.Duration { return time.Since(p.startedAt()) }

// startedAt returns when the process was last started.
func (p *Process) startedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startTime
}

// Exited returns a channel that is closed when the current process exits, or nil if the process is not running.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	return p.exited
}

// Signal sends a signal to the process's group. It does nothing if the process is not running.
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

// Kill sends SIGKILL to the process and waits until it has exited. It does nothing if the process is not running.
func (p *Process) Kill() {
	if exited := p.Exited(); exited != nil {
		p.Signal(syscall.SIGKILL)
		<-exited
	}
}

// Stop sends SIGTERM to the process, and SIGKILL if it has not exited after grace. It sends SIGCONT first, because a
// paused process doesn't handle SIGTERM. Stop returns once the process has exited, and does nothing if the process is
// not running.
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
