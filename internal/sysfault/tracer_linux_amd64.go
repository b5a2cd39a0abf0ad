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
	shortLeast = 32
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
// with this process. Signals that end a process are left to the program: whoever signals the group reaches both.
func Run(plan Plan, seed uint64, argv []string) (code int, err error) {
	runtime.LockOSThread() // ptrace knows its tracer by thread
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, unix.SIGTERM, unix.SIGHUP, unix.SIGINT) // and heed none
	self, err := os.Executable()
	if err != nil {
		return 0, err
	}
	cmd := exec.Command(self, argv...)
	cmd.Env = append(os.Environ(), stageVariable+"="+plan.String())
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, os.Stdout, os.Stderr
	cmd.SysProcAttr = &unix.SysProcAttr{Ptrace: true, Pdeathsig: unix.SIGKILL}
	if err := cmd.Start(); err != nil {
		return 0, err
	}
	t := &tracer{pid: cmd.Process.Pid, plan: plan, start: time.Now(), rng: rand.New(rand.NewPCG(seed, 0x5417)),
		threads: map[int]*thread{}, dialed: map[uint64]bool{}}
	if err := t.begin(); err != nil {
		cmd.Process.Kill()
		return 0, err
	}
	return t.follow()
}

// thread is a thread of the program.
type thread struct {
	awaitsExit bool // it stops once more, when its present call has been made
	call       uint64
	args       [3]uint64
}

type tracer struct {
	pid     int
	plan    Plan
	start   time.Time
	rng     *rand.Rand
	threads map[int]*thread
	dialed  map[uint64]bool // descriptors of connections that the program has made itself
}

// begin takes on the process that sets the filter, at its first stop.
func (t *tracer) begin() error {
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

// becameProgram takes in that the process that has set the filter is the program now, before its first instruction.
func (t *tracer) becameProgram() {
	t.threads = map[int]*thread{t.pid: {}}
	if t.plan.has(Clock) {
		if err := t.hideVDSO(); err != nil {
			fmt.Fprintln(os.Stderr, "shim:", err)
		}
	}
}

// hideVDSO has the program read its clocks by system call. The stack holds argc, argv, the environment and the
// auxiliary vector, each list ended by a zero.
func (t *tracer) hideVDSO() error {
	var regs unix.PtraceRegs
	if err := unix.PtraceGetRegs(t.pid, &regs); err != nil {
		return fmt.Errorf("registers: %w", err)
	}
	at := uintptr(regs.Rsp)
	argc, err := t.word(at)
	if err != nil {
		return err
	}
	at += uintptr(argc+2) * wordSize
	for {
		entry, err := t.word(at)
		if err != nil {
			return err
		}
		if at += wordSize; entry == 0 {
			break
		}
	}
	for ; ; at += 2 * wordSize {
		kind, err := t.word(at)
		if err != nil || kind == 0 {
			return err
		}
		if kind == atSysinfoEhdr {
			return t.setWord(at, atIgnore)
		}
	}
}

func (t *tracer) word(at uintptr) (uint64, error) {
	var b [wordSize]byte
	if _, err := unix.PtracePeekData(t.pid, at, b[:]); err != nil {
		return 0, fmt.Errorf("memory of the program: %w", err)
	}
	return binary.LittleEndian.Uint64(b[:]), nil
}

func (t *tracer) setWord(at uintptr, value uint64) error {
	var b [wordSize]byte
	binary.LittleEndian.PutUint64(b[:], value)
	if _, err := unix.PtracePokeData(t.pid, at, b[:]); err != nil {
		return fmt.Errorf("memory of the program: %w", err)
	}
	return nil
}

// follow passes the program's stops on until it ends.
func (t *tracer) follow() (code int, err error) {
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
			if id != t.pid {
				continue
			}
			if status.Signaled() {
				return 128 + int(status.Signal()), nil
			}
			return status.ExitStatus(), nil
		case status.Stopped():
			sig := int(t.stopped(id, status))
			if th := t.threads[id]; th != nil && th.awaitsExit {
				unix.PtraceSyscall(id, sig)
			} else {
				unix.PtraceCont(id, sig) // a thread that has ended meanwhile is told of soon
			}
		}
	}
}

// stopped takes in a stop of a thread, and returns the signal that it is to get.
func (t *tracer) stopped(id int, status unix.WaitStatus) unix.Signal {
	th := t.threads[id]
	sig := status.StopSignal()
	switch {
	case th == nil: // a new one stops first of all
		t.threads[id] = &thread{}
		if sig == unix.SIGSTOP {
			return 0
		}
		return t.stopped(id, status)
	case sig == syscallStop:
		th.awaitsExit = false
		t.leave(id, th)
		return 0
	case sig == unix.SIGTRAP && status.TrapCause() == unix.PTRACE_EVENT_SECCOMP:
		t.enter(id, th)
		return 0
	case sig == unix.SIGTRAP && status.TrapCause() == unix.PTRACE_EVENT_EXEC:
		t.becameProgram()
		return 0
	case sig == unix.SIGTRAP:
		return 0 // a clone
	}
	return sig
}

// hits draws whether a fault of a kind hits a call now.
func (t *tracer) hits(kind Kind) bool {
	share := t.plan.share(kind, time.Since(t.start))
	return share > 0 && t.rng.Float64() < share
}

func (t *tracer) draw(errs []unix.Errno) unix.Errno { return errs[t.rng.IntN(len(errs))] }

// enter looks at a call before it is made, and may have another one made or none.
func (t *tracer) enter(id int, th *thread) {
	var regs unix.PtraceRegs
	if unix.PtraceGetRegs(id, &regs) != nil {
		return
	}
	th.call, th.args = regs.Orig_rax, [3]uint64{regs.Rdi, regs.Rsi, regs.Rdx}
	var fails unix.Errno
	switch th.call {
	case unix.SYS_ACCEPT4, unix.SYS_ACCEPT:
		if t.hits(Accept) {
			fails = t.draw(acceptErrors)
		}
	case unix.SYS_SOCKET:
		if t.hits(Connect) {
			fails = t.draw(socketErrors)
		}
	case unix.SYS_CONNECT:
		if t.hits(Connect) {
			fails = t.draw(connectErrors)
		}
	case unix.SYS_EPOLL_PWAIT, unix.SYS_EPOLL_WAIT, unix.SYS_FUTEX, unix.SYS_NANOSLEEP:
		if t.hits(Interrupt) {
			fails = unix.EINTR
		}
	case unix.SYS_READ:
		if t.dialed[th.args[0]] && t.hits(Break) {
			fails = t.draw(breakErrors)
		}
	case unix.SYS_OPENAT:
		if t.hits(Open) {
			fails = t.draw(openErrors)
		}
	case unix.SYS_PWRITE64, unix.SYS_FSYNC, unix.SYS_FDATASYNC, unix.SYS_FTRUNCATE:
		if t.hits(Disk) {
			fails = t.draw(diskErrors)
		}
	case unix.SYS_CLOSE:
		delete(t.dialed, th.args[0])
	}
	switch {
	case fails != 0:
		regs.Orig_rax = noCall
		regs.Rax = uint64(-int64(fails))
		unix.PtraceSetRegs(id, &regs)
	case th.call == unix.SYS_CONNECT:
		th.awaitsExit = t.plan.has(Break)
	case th.call == unix.SYS_CLOCK_GETTIME:
		th.awaitsExit = t.plan.step(time.Since(t.start)) != 0
	case (th.call == unix.SYS_READ || th.call == unix.SYS_WRITE) && th.args[2] >= shortLeast && t.hits(Short) &&
		t.isSocket(th.args[0]):
		regs.Rdx = 1 + t.rng.Uint64N(th.args[2]-1)
		unix.PtraceSetRegs(id, &regs)
		th.awaitsExit = true
	}
}

// leave looks at a call that has been made, and may change what came of it.
func (t *tracer) leave(id int, th *thread) {
	switch th.call {
	case unix.SYS_CONNECT:
		t.dialed[th.args[0]] = true
	case unix.SYS_CLOCK_GETTIME:
		if step := t.plan.step(time.Since(t.start)); step != 0 {
			t.stepClock(id, uintptr(th.args[1]), step)
		}
	case unix.SYS_READ, unix.SYS_WRITE:
		t.restoreCount(id, th)
	}
}

// restoreCount gives a thread back the register that a short transfer has changed: the kernel leaves it to the caller.
func (t *tracer) restoreCount(id int, th *thread) {
	var regs unix.PtraceRegs
	if unix.PtraceGetRegs(id, &regs) != nil || regs.Rdx == th.args[2] {
		return
	}
	regs.Rdx = th.args[2]
	unix.PtraceSetRegs(id, &regs)
}

// stepClock adds to the seconds of a time that a call has written.
func (t *tracer) stepClock(id int, at uintptr, step time.Duration) {
	var b [wordSize]byte
	if _, err := unix.PtracePeekData(id, at, b[:]); err != nil {
		return
	}
	seconds := int64(binary.LittleEndian.Uint64(b[:])) + int64(step/time.Second)
	binary.LittleEndian.PutUint64(b[:], uint64(seconds))
	unix.PtracePokeData(id, at, b[:])
}

func (t *tracer) isSocket(fd uint64) bool {
	name, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", t.pid, fd))
	return err == nil && strings.HasPrefix(name, "socket:")
}
