//go:build linux && (amd64 || arm64)

package sysfault

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"slices"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// syscallStop is the signal of a stop at a system call (PTRACE_O_TRACESYSGOOD). The tracer requests these stops
	// only for the return of a call.
	syscallStop = unix.SIGTRAP | 0x80
	// atSysinfoEhdr and atIgnore are types of entries of the auxiliary vector (AT_SYSINFO_EHDR, AT_IGNORE): the address
	// of the vDSO, and an entry without a meaning.
	atSysinfoEhdr = 33
	atIgnore      = 1
	// wordSize is the size of a word in bytes.
	wordSize = 8
	// minShortTransfer is the size in bytes of the smallest transfer that is shortened. Smaller transfers are often
	// messages within a process.
	minShortTransfer = 32
)

// Errors with which the traced system calls fail.
var (
	acceptErrors = []unix.Errno{unix.ENOBUFS, unix.ENFILE, unix.EMFILE, unix.ECONNABORTED, unix.ENETDOWN, unix.EPROTO,
		unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH,
		unix.ENOMEM, unix.EINTR}
	connectErrors = []unix.Errno{unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EHOSTUNREACH, unix.ETIMEDOUT,
		unix.ECONNREFUSED}
	socketErrors           = []unix.Errno{unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM}
	brokenConnectionErrors = []unix.Errno{unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNRESET}
	openErrors             = []unix.Errno{unix.ENFILE, unix.EMFILE, unix.ENOMEM}
	diskErrors             = []unix.Errno{unix.ENOSPC, unix.EIO}
)

// Run runs a program under a plan until it ends, and returns its exit code. The calling program must call ExecIfChild
// at its start. The seed determines the random choices. The program is killed when this process ends. Run ignores
// SIGTERM, SIGHUP and SIGINT and does not forward them, because a signal to the process group also reaches the program.
func Run(plan Plan, seed uint64, argv []string) (code int, err error) {
	runtime.LockOSThread() // all ptrace calls must come from the thread that attached
	ignored := make(chan os.Signal, 16)
	signal.Notify(ignored, unix.SIGTERM, unix.SIGHUP, unix.SIGINT)
	self, err := os.Executable()
	if err != nil {
		return 0, err
	}
	cmd := exec.Command(self, argv...)
	cmd.Env = append(os.Environ(), planVariable+"="+plan.String())
	cmd.Stdin = os.Stdin
	cmd.Stdout = os.Stdout
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &unix.SysProcAttr{Ptrace: true, Pdeathsig: unix.SIGKILL}
	if err := cmd.Start(); err != nil {
		return 0, err
	}
	t := &tracer{pid: cmd.Process.Pid, plan: plan, start: time.Now(), rng: rand.New(rand.NewPCG(seed, drawStream)),
		threads: map[int]*thread{}, dialed: map[uint64]bool{}}
	if err := t.attach(); err != nil {
		cmd.Process.Kill()
		return 0, err
	}
	return t.traceUntilExit()
}

// drawStream separates the tracer's random numbers from other random numbers with the same seed.
const drawStream = 0x5417

// thread is a thread of the program.
type thread struct {
	stopsAtReturn bool      // whether the thread also stops when its current call returns
	call          uint64    // number of the last call at which the thread stopped
	args          [3]uint64 // first arguments of that call
}

// tracer traces one program.
type tracer struct {
	pid     int
	plan    Plan
	start   time.Time
	rng     *rand.Rand
	threads map[int]*thread // by thread id
	dialed  map[uint64]bool // descriptors of connections that the program has dialed
}

// attach waits for the first stop of the child, sets its trace options and continues it.
func (t *tracer) attach() error {
	var status unix.WaitStatus
	if _, err := unix.Wait4(t.pid, &status, unix.WALL, nil); err != nil {
		return fmt.Errorf("waiting for the program: %w", err)
	}
	options := unix.PTRACE_O_TRACESYSGOOD | unix.PTRACE_O_TRACECLONE | unix.PTRACE_O_TRACEEXEC |
		unix.PTRACE_O_TRACESECCOMP | unix.PTRACE_O_EXITKILL
	if err := unix.PtraceSetOptions(t.pid, options); err != nil {
		return fmt.Errorf("setting the trace options of the program: %w", err)
	}
	t.threads[t.pid] = &thread{}
	return unix.PtraceCont(t.pid, 0)
}

// traceUntilExit handles the stops of the program until the program ends, and returns its exit code.
func (t *tracer) traceUntilExit() (code int, err error) {
	for {
		var status unix.WaitStatus
		id, err := unix.Wait4(-1, &status, unix.WALL, nil)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case err != nil:
			return 0, fmt.Errorf("waiting for the program: %w", err)
		case status.Exited() || status.Signaled():
			delete(t.threads, id)
			if id == t.pid {
				return exitCode(status), nil
			}
		case status.Stopped():
			t.resume(id, t.handleStop(id, status))
		}
	}
}

// exitCode returns the exit code as a shell reports it: 128 plus the signal for a program that was killed by a signal.
func exitCode(status unix.WaitStatus) int {
	if status.Signaled() {
		return 128 + int(status.Signal())
	}
	return status.ExitStatus()
}

// resume continues a stopped thread and delivers a signal to it; 0 is no signal. If the thread stops at the return of
// its call, resume continues it up to there. Errors are ignored: they mean that the thread has ended, which Wait4
// reports.
func (t *tracer) resume(id int, signal unix.Signal) {
	if th := t.threads[id]; th != nil && th.stopsAtReturn {
		unix.PtraceSyscall(id, int(signal))
		return
	}
	unix.PtraceCont(id, int(signal))
}

// handleStop handles a stop of a thread, and returns the signal to deliver to the thread; 0 is no signal.
func (t *tracer) handleStop(id int, status unix.WaitStatus) unix.Signal {
	th := t.threads[id]
	signal := status.StopSignal()
	switch {
	case th == nil: // the first stop of a new thread
		t.threads[id] = &thread{}
		if signal == unix.SIGSTOP {
			return 0
		}
		return t.handleStop(id, status)
	case signal == syscallStop:
		th.stopsAtReturn = false
		t.callReturned(id, th)
		return 0
	case signal == unix.SIGTRAP && status.TrapCause() == unix.PTRACE_EVENT_SECCOMP:
		t.callEntered(id, th)
		return 0
	case signal == unix.SIGTRAP && status.TrapCause() == unix.PTRACE_EVENT_EXEC:
		t.programStarted()
		return 0
	case signal == unix.SIGTRAP:
		return 0 // the thread has created a thread
	}
	return signal
}

// programStarted handles the stop at which the child has executed the program and has not run its first instruction.
func (t *tracer) programStarted() {
	t.threads = map[int]*thread{t.pid: {}}
	if t.plan.has(Clock) {
		if err := t.hideVDSO(); err != nil {
			fmt.Fprintln(os.Stderr, "shim:", err)
		}
	}
}

// callEntered handles a stop before a system call. It makes the call fail without running it, changes it, or lets it
// run unchanged.
func (t *tracer) callEntered(id int, th *thread) {
	regs, err := readRegisters(id)
	if err != nil {
		return // the thread has ended
	}
	th.call = regs.call()
	th.args = regs.arguments()
	if errno := t.drawError(th); errno != 0 {
		regs.skipCall(errno)
		regs.write(id)
		return
	}
	switch th.call {
	case unix.SYS_CLOSE:
		delete(t.dialed, th.args[0])
	case unix.SYS_CONNECT:
		th.stopsAtReturn = t.plan.has(BrokenConnection)
	case unix.SYS_CLOCK_GETTIME:
		th.stopsAtReturn = t.plan.stepAt(time.Since(t.start)) != 0
	case unix.SYS_READ, unix.SYS_WRITE:
		if t.drawShort(th) {
			regs.setThirdArgument(1 + t.rng.Uint64N(th.args[2]-1))
			regs.write(id)
			th.stopsAtReturn = true
		}
	}
}

// drawError decides at random whether a call fails, and returns its error. It returns 0 if the call does not fail.
func (t *tracer) drawError(th *thread) unix.Errno {
	if th.call == unix.SYS_FUTEX || slices.Contains(waitingCalls, uint32(th.call)) {
		if t.drawHit(Interrupt) {
			return unix.EINTR
		}
		return 0
	}
	switch th.call {
	case unix.SYS_ACCEPT4, unix.SYS_ACCEPT:
		return t.drawErrorOf(Accept, acceptErrors)
	case unix.SYS_SOCKET:
		return t.drawErrorOf(Connect, socketErrors)
	case unix.SYS_CONNECT:
		return t.drawErrorOf(Connect, connectErrors)
	case unix.SYS_READ:
		if t.dialed[th.args[0]] {
			return t.drawErrorOf(BrokenConnection, brokenConnectionErrors)
		}
	case unix.SYS_OPENAT:
		return t.drawErrorOf(Open, openErrors)
	case unix.SYS_PWRITE64, unix.SYS_FSYNC, unix.SYS_FDATASYNC, unix.SYS_FTRUNCATE:
		return t.drawErrorOf(Disk, diskErrors)
	}
	return 0
}

// drawErrorOf decides at random whether a kind of fault hits a call now, and returns one of errs. It returns 0 if the
// fault does not hit the call.
func (t *tracer) drawErrorOf(kind Kind, errs []unix.Errno) unix.Errno {
	if !t.drawHit(kind) {
		return 0
	}
	return errs[t.rng.IntN(len(errs))]
}

// drawShort decides at random whether a read or a write is shortened.
func (t *tracer) drawShort(th *thread) bool {
	return th.args[2] >= minShortTransfer && t.drawHit(ShortTransfer) && t.isSocket(th.args[0])
}

// drawHit decides at random whether a kind of fault hits a call now.
func (t *tracer) drawHit(kind Kind) bool {
	share := t.plan.shareAt(kind, time.Since(t.start))
	return share > 0 && t.rng.Float64() < share
}

// isSocket reports whether a descriptor of the program is a socket.
func (t *tracer) isSocket(fd uint64) bool {
	name, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", t.pid, fd))
	return err == nil && strings.HasPrefix(name, "socket:")
}

// callReturned handles a stop after a system call, and may change the result of the call.
func (t *tracer) callReturned(id int, th *thread) {
	switch th.call {
	case unix.SYS_CONNECT:
		t.dialed[th.args[0]] = true
	case unix.SYS_CLOCK_GETTIME:
		if step := t.plan.stepAt(time.Since(t.start)); step != 0 {
			stepClock(id, uintptr(th.args[1]), step)
		}
	case unix.SYS_READ, unix.SYS_WRITE:
		restoreCount(id, th)
	}
}

// restoreCount restores the register that callEntered changed for a shortened transfer. The kernel preserves this
// register across a system call, so the program expects its old value.
func restoreCount(id int, th *thread) {
	regs, err := readRegisters(id)
	if err != nil || regs.arguments()[2] == th.args[2] {
		return
	}
	regs.setThirdArgument(th.args[2])
	regs.write(id)
}

// stepClock adds a step to the seconds of the time that clock_gettime has written at an address. It ignores the
// fraction of a second of the step.
func stepClock(id int, address uintptr, step time.Duration) {
	var word [wordSize]byte
	if _, err := unix.PtracePeekData(id, address, word[:]); err != nil {
		return
	}
	seconds := int64(binary.LittleEndian.Uint64(word[:])) + int64(step/time.Second)
	binary.LittleEndian.PutUint64(word[:], uint64(seconds))
	unix.PtracePokeData(id, address, word[:])
}
