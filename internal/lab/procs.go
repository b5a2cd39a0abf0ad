package lab

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// spawner starts every child of the lab from one goroutine locked to its OS thread for the lab's whole life:
// Linux sends the parent-death signal when the thread that forked ends, not the process, so a thread that the
// runtime might retire would kill children early. Each child is the leader of a process group of its own, so
// that ending it ends whatever it started too.
type spawner struct {
	requests chan spawnRequest
	done     chan struct{}
}

type spawnRequest struct {
	cmd *exec.Cmd
	err chan error
}

func newSpawner() *spawner {
	s := &spawner{requests: make(chan spawnRequest), done: make(chan struct{})}
	go func() {
		runtime.LockOSThread() // never unlocked: the thread ends with the goroutine, and the children are gone by then
		defer close(s.done)
		for r := range s.requests {
			r.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
			r.err <- r.cmd.Start()
		}
	}()
	return s
}

func (s *spawner) start(cmd *exec.Cmd) error {
	r := spawnRequest{cmd: cmd, err: make(chan error, 1)}
	s.requests <- r
	return <-r.err
}

func (s *spawner) close() {
	close(s.requests)
	<-s.done
}

// Process is one child process of the lab: a node or a stand-in backend, started again on restart.
type Process struct {
	Name string
	argv []string
	env  []string
	log  string // standard output and error go here, appended over restarts

	mu         sync.Mutex
	cmd        *exec.Cmd
	exited     chan struct{}
	paused     bool
	startCount int
	startTime  time.Time // when the current run began
}

// Start runs the process once more. It fails where the process still runs.
func (p *Process) Start(s *spawner) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("%s: still running", p.Name)
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return fmt.Errorf("%s: log: %w", p.Name, err)
	}
	cmd := exec.Command(p.argv[0], p.argv[1:]...)
	cmd.Env, cmd.Stdout, cmd.Stderr = p.env, out, out
	if err := s.start(cmd); err != nil {
		out.Close()
		return fmt.Errorf("%s: start %s: %w", p.Name, p.argv[0], err)
	}
	exited := make(chan struct{})
	go func() {
		cmd.Wait()
		out.Close()
		p.mu.Lock()
		if p.cmd == cmd {
			p.cmd, p.paused = nil, false
		}
		p.mu.Unlock()
		close(exited)
	}()
	p.cmd, p.exited, p.startTime = cmd, exited, time.Now()
	p.startCount++
	return nil
}

// starts is how often the process was started.
func (p *Process) starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startCount
}

// pids are the process and its own children, as a program under the shim is one.
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
func (p *Process) age() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.startTime)
}

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

// Signal sends sig to the process's group; it is no error where the process has ended.
func (p *Process) Signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	switch sig {
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	}
	err := syscall.Kill(-p.cmd.Process.Pid, sig)
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

// Stop ends the process: SIGCONT where it is paused, SIGTERM, and SIGKILL after grace; it waits for the end.
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
