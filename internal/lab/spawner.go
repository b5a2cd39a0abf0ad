package lab

import (
	"os/exec"
	"runtime"
	"syscall"
)

// spawner starts every child of the lab from one goroutine that is locked to its OS thread until the lab ends:
// Linux sends the parent-death signal when the thread that forked ends, not the process, so a thread that the
// runtime might retire would kill children early. Each child is the leader of a process group of its own, so
// that ending it ends whatever it started too.
type spawner struct {
	requests chan spawnRequest
	done     chan struct{}
}

type spawnRequest struct {
	command *exec.Cmd
	err     chan error
}

func newSpawner() *spawner {
	s := &spawner{requests: make(chan spawnRequest), done: make(chan struct{})}
	go s.run()
	return s
}

func (s *spawner) run() {
	runtime.LockOSThread() // never unlocked: the thread ends with the goroutine, after all children
	defer close(s.done)
	for request := range s.requests {
		request.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
		request.err <- request.command.Start()
	}
}

// start starts a command.
func (s *spawner) start(command *exec.Cmd) error {
	request := spawnRequest{command: command, err: make(chan error, 1)}
	s.requests <- request
	return <-request.err
}

// close ends the spawner's thread. All children have to have ended.
func (s *spawner) close() {
	close(s.requests)
	<-s.done
}
