package lab

import (
	"os/exec"
	"runtime"
	"syscall"

	"golang.org/x/sys/unix"
)

// spawner starts every child of the lab from one goroutine, which is locked to its OS thread until close. Linux sends
// the parent-death signal to a child when the thread that forked the child exits, even if the lab's process continues
// to run. The runtime may end threads that no goroutine is locked to, which would kill their children too early. Each
// child leads its own process group, so that a signal to the group also reaches the processes that the child started.
type spawner struct {
	requests chan spawnRequest
	done     chan struct{}
}

// spawnRequest asks the spawner's goroutine to start a command. The result of Start is sent to err.
type spawnRequest struct {
	command    *exec.Cmd
	sharedCore bool
	err        chan error
}

// newSpawner starts the spawner's goroutine. The caller must call close.
func newSpawner() *spawner {
	s := &spawner{requests: make(chan spawnRequest), done: make(chan struct{})}
	go s.run()
	return s
}

func (s *spawner) run() {
	runtime.LockOSThread() // never unlocked: the thread exits with the goroutine, after all children have exited
	defer close(s.done)
	for request := range s.requests {
		request.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
		request.err <- request.start()
	}
}

// start starts the command. With sharedCore, the child may run on one processor only, which all such children share: a
// child inherits the processors of the thread that forks it.
func (request spawnRequest) start() error {
	if !request.sharedCore {
		return request.command.Start()
	}
	var all unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return err
	}
	var shared unix.CPUSet
	for cpu := 0; shared.Count() == 0; cpu++ {
		if all.IsSet(cpu) {
			shared.Set(cpu)
		}
	}
	if err := unix.SchedSetaffinity(0, &shared); err != nil {
		return err
	}
	defer unix.SchedSetaffinity(0, &all)
	return request.command.Start()
}

// start starts a command on the spawner's thread and returns the error of its Start. With sharedCore, the command runs
// on one processor, which all such commands share.
func (s *spawner) start(command *exec.Cmd, sharedCore bool) error {
	request := spawnRequest{command: command, sharedCore: sharedCore, err: make(chan error, 1)}
	s.requests <- request
	return <-request.err
}

// close ends the spawner's thread. The caller must make sure that all children have exited.
func (s *spawner) close() {
	close(s.requests)
	<-s.done
}
