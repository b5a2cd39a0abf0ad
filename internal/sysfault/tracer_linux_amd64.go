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
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// syscallStop marks a stop at a system call (PTRACE_O_TRACESYSGOOD).
	syscallStop = unix.SIGTRAP | 0x80
	// atSysinfoEhdr and atIgnore are types of the auxiliary vector: the address of the vDSO, and an entry to be skipped.
	atSysinfoEhdr = 33
	atIgnore      = 1
	// wordSize is the size of a word on this machine.
	wordSize = 8
	// noCall is a number that no system call has: the kernel makes none.
	noCall = ^uint64(0)
	// shortLeast is the smallest transfer that is cut short: smaller ones are often messages within a process.
	minShortTransfer = 32
)

var (
	acceptErrors = []unix.Errno{unix.ENOBUFS, unix.ENFILE, unix.EMFILE, unix.ECONNABORTED, unix.ENETDOWN, unix.EPROTO,
		unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH,
		unix.ENOMEM, unix.EINTR}
	connectErrors = []unix.Errno{unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.EHOSTUNREACH, unix.ETIMEDOUT,
		unix.ECONNREFUSED}
	socketErrors = []unix.Errno{unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM}
	breakErrors  = []unix.Errno{unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNRESET}
	openErrors   = []unix.Errno{unix.ENFILE, unix.EMFILE, unix.ENOMEM}
	diskErrors   = []unix.Errno{unix.ENOSPC, unix.EIO}
)

// Run runs a program under a plan until it ends, and returns its exit code. Draws come from the seed. The program ends
// with this process. Signals that end a process are not forwarded: whoever signals the process group reaches both.
func Run(plan Plan, seed uint64, argv []string) (code int, err error) {
	runtime.LockOSThread() // ptrace knows its tracer by thread
	ignored := make(chan os.Signal, 16)
	signal.Notify(ignored, unix.SIGTERM, unix.SIGHUP, unix.SIGINT)
	self, err := os.Executable()
	if err != nil {
		return 0, err
	}
	cmd := exec.Command(self, argv...)
	cmd.Env = append(os.Environ(), stageVariable+"="+plan.String())
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

// drawStream sets the tracer's draws apart from others of the same seed.
const drawStream = 0x5417

// thread is a thread of the program.
type thread struct {
	awaitsExit bool      // it stops once more, when its present call has returned
	call       uint64    // number of the last call that it stopped at
	args       [3]uint64 // of that call
}

// tracer traces one program.
type tracer struct {
	pid     int
	plan    Plan
	start   time.Time
	rng     *rand.Rand
	threads map[int]*thread // by thread id
	dialed  map[uint64]bool // descriptors of connections that the program has made itself
}

// attach sets the trace options of the process that sets the filter, at its first stop.
func (t *tracer) attach() error {
	var status unix.WaitStatus
	if _, err := unix.Wait4(t.pid, &status, unix.WALL, nil); err != nil {
		return fmt.Errorf("waiting for the program: %w", err)
	}
	options := unix.PTRACE_O_TRACESYSGOOD | unix.PTRACE_O_TRACECLONE | unix.PTRACE_O_TRACEEXEC |
		unix.PTRACE_O_TRACESECCOMP | unix.PTRACE_O_EXITKILL
	if err := unix.PtraceSetOptions(t.pid, options); err != nil {
		return fmt.Errorf("ptrace: %w", err)
	}
	t.threads[t.pid] = &thread{}
	return unix.PtraceCont(t.pid, 0)
}

// traceUntilExit handles the program's stops until it ends, and returns its exit code.
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

// exitCode is a program's exit code as a shell gives it.
func exitCode(status unix.WaitStatus) int {
	if status.Signaled() {
		return 128 + int(status.Signal())
	}
	return status.ExitStatus()
}

// resume has a stopped thread continue with a signal, to its call's return where that is awaited. A thread that has
// ended meanwhile is reported soon, so errors are of no use.
func (t *tracer) resume(id int, signal unix.Signal) {
	if th := t.threads[id]; th != nil && th.awaitsExit {
		unix.PtraceSyscall(id, int(signal))
		return
	}
	unix.PtraceCont(id, int(signal))
}

// handleStop handles a stop of a thread, and returns the signal that the thread is to get.
func (t *tracer) handleStop(id int, status unix.WaitStatus) unix.Signal {
	th := t.threads[id]
	signal := status.StopSignal()
	switch {
	case th == nil: // a new thread begins with a stop
		t.threads[id] = &thread{}
		if signal == unix.SIGSTOP {
			return 0
		}
		return t.handleStop(id, status)
	case signal == syscallStop:
		th.awaitsExit = false
		t.callReturned(id, th)
		return 0
	case signal == unix.SIGTRAP && status.TrapCause() == unix.PTRACE_EVENT_SECCOMP:
		t.callEntered(id, th)
		return 0
	case signal == unix.SIGTRAP && status.TrapCause() == unix.PTRACE_EVENT_EXEC:
		t.programStarted()
		return 0
	case signal == unix.SIGTRAP:
		return 0 // a clone
	}
	return signal
}

// programStarted handles the stop before the program's first instruction, when the process that has set the filter has
// become the program.
func (t *tracer) programStarted() {
	t.threads = map[int]*thread{t.pid: {}}
	if t.plan.has(Clock) {
		if err := t.hideVDSO(); err != nil {
			fmt.Fprintln(os.Stderr, "shim:", err)
		}
	}
}

// callEntered handles a call before it is made: it fails without being made, is changed, or is made as it is.
func (t *tracer) callEntered(id int, th *thread) {
	var regs unix.PtraceRegs
	if unix.PtraceGetRegs(id, &regs) != nil {
		return
	}
	th.call = regs.Orig_rax
	th.args = [3]uint64{regs.Rdi, regs.Rsi, regs.Rdx}
	if errno := t.drawError(th); errno != 0 {
		regs.Orig_rax = noCall
		regs.Rax = uint64(-int64(errno))
		unix.PtraceSetRegs(id, &regs)
		return
	}
	switch th.call {
	case unix.SYS_CLOSE:
		delete(t.dialed, th.args[0])
	case unix.SYS_CONNECT:
		th.awaitsExit = t.plan.has(BrokenConnection)
	case unix.SYS_CLOCK_GETTIME:
		th.awaitsExit = t.plan.step(time.Since(t.start)) != 0
	case unix.SYS_READ, unix.SYS_WRITE:
		if t.drawShort(th) {
			regs.Rdx = 1 + t.rng.Uint64N(th.args[2]-1)
			unix.PtraceSetRegs(id, &regs)
			th.awaitsExit = true
		}
	}
}

// drawError draws the error with which a call fails; 0: it does not.
func (t *tracer) drawError(th *thread) unix.Errno {
	switch th.call {
	case unix.SYS_ACCEPT4, unix.SYS_ACCEPT:
		return t.drawErrorOf(Accept, acceptErrors)
	case unix.SYS_SOCKET:
		return t.drawErrorOf(Connect, socketErrors)
	case unix.SYS_CONNECT:
		return t.drawErrorOf(Connect, connectErrors)
	case unix.SYS_EPOLL_PWAIT, unix.SYS_EPOLL_WAIT, unix.SYS_FUTEX, unix.SYS_NANOSLEEP:
		if t.hits(Interrupt) {
			return unix.EINTR
		}
	case unix.SYS_READ:
		if t.dialed[th.args[0]] {
			return t.drawErrorOf(BrokenConnection, breakErrors)
		}
	case unix.SYS_OPENAT:
		return t.drawErrorOf(Open, openErrors)
	case unix.SYS_PWRITE64, unix.SYS_FSYNC, unix.SYS_FDATASYNC, unix.SYS_FTRUNCATE:
		return t.drawErrorOf(Disk, diskErrors)
	}
	return 0
}

// drawErrorOf draws whether a kind of fault hits a call now, and with which of its errors; 0: it does not.
func (t *tracer) drawErrorOf(kind Kind, errs []unix.Errno) unix.Errno {
	if !t.hits(kind) {
		return 0
	}
	return errs[t.rng.IntN(len(errs))]
}

// drawShort draws whether a read or a write is cut short.
func (t *tracer) drawShort(th *thread) bool {
	return th.args[2] >= minShortTransfer && t.hits(ShortTransfer) && t.isSocket(th.args[0])
}

// hits draws whether a kind of fault hits a call now.
func (t *tracer) hits(kind Kind) bool {
	share := t.plan.share(kind, time.Since(t.start))
	return share > 0 && t.rng.Float64() < share
}

// isSocket tells whether a descriptor of the program is a socket.
func (t *tracer) isSocket(fd uint64) bool {
	name, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", t.pid, fd))
	return err == nil && strings.HasPrefix(name, "socket:")
}

// callReturned handles a call that has been made, and may change its result.
func (t *tracer) callReturned(id int, th *thread) {
	switch th.call {
	case unix.SYS_CONNECT:
		t.dialed[th.args[0]] = true
	case unix.SYS_CLOCK_GETTIME:
		if step := t.plan.step(time.Since(t.start)); step != 0 {
			stepClock(id, uintptr(th.args[1]), step)
		}
	case unix.SYS_READ, unix.SYS_WRITE:
		restoreCount(id, th)
	}
}

// restoreCount restores the register that a short transfer has changed, which the kernel does not change itself.
func restoreCount(id int, th *thread) {
	var regs unix.PtraceRegs
	if unix.PtraceGetRegs(id, &regs) != nil || regs.Rdx == th.args[2] {
		return
	}
	regs.Rdx = th.args[2]
	unix.PtraceSetRegs(id, &regs)
}

// stepClock adds a step to the seconds of the time that a call has written at an address.
func stepClock(id int, address uintptr, step time.Duration) {
	var word [wordSize]byte
	if _, err := unix.PtracePeekData(id, address, word[:]); err != nil {
		return
	}
	seconds := int64(binary.LittleEndian.Uint64(word[:])) + int64(step/time.Second)
	binary.LittleEndian.PutUint64(word[:], uint64(seconds))
	unix.PtracePokeData(id, address, word[:])
}
