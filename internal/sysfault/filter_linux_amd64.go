package sysfault

import (
	"fmt"
	"math"
	"os"
	"os/exec"
	"runtime"
	"unsafe"

	"golang.org/x/sys/unix"
)

// The program stops only at the calls that its plan may change: a filter that it sets on itself before it starts asks
// the tracer about these and lets all others pass. It confines nothing.

// stageVariable is set for the process that sets the filter on itself and then becomes the program. It holds the plan.
const stageVariable = "HITCHVALE_SHIM_PLAN"

// Offsets in struct seccomp_data (seccomp.h): the call's number and the lower half of its first and second argument.
const (
	offsetNumber = 0
	offsetFirst  = 16
	offsetSecond = 24
)

// Operations of futex(2) that wait, and the flags beside them.
const (
	futexWait       = 0
	futexWaitBitset = 9
	futexOperation  = 0x7f
)

// condition narrows a call down by an argument: its value, behind a mask, is one of a few.
type condition struct {
	offset uint32
	mask   uint32
	values []uint32
}

// stop is a call at which the program stops; where has no condition it does so at each.
type stop struct {
	number uint32
	where  *condition
}

// stops are the calls that a plan may change, or has to know of.
func (p Plan) stops() (out []stop) {
	calls := func(numbers ...uint32) {
		for _, n := range numbers {
			out = append(out, stop{number: n})
		}
	}
	seen := map[Kind]bool{}
	for _, f := range p {
		if seen[f.Kind] {
			continue
		}
		seen[f.Kind] = true
		switch f.Kind {
		case Accept:
			calls(unix.SYS_ACCEPT4, unix.SYS_ACCEPT)
		case Connect:
			calls(unix.SYS_SOCKET, unix.SYS_CONNECT)
		case Interrupt:
			calls(unix.SYS_EPOLL_PWAIT, unix.SYS_EPOLL_WAIT, unix.SYS_NANOSLEEP)
			out = append(out, stop{unix.SYS_FUTEX, &condition{offsetSecond, futexOperation,
				[]uint32{futexWait, futexWaitBitset}}})
		case Short:
			calls(unix.SYS_READ, unix.SYS_WRITE)
		case Break:
			calls(unix.SYS_CONNECT, unix.SYS_READ, unix.SYS_CLOSE)
		case Open:
			calls(unix.SYS_OPENAT)
		case Disk:
			calls(unix.SYS_PWRITE64, unix.SYS_FSYNC, unix.SYS_FDATASYNC, unix.SYS_FTRUNCATE)
		case Clock:
			out = append(out, stop{unix.SYS_CLOCK_GETTIME,
				&condition{offsetFirst, math.MaxUint32, []uint32{unix.CLOCK_REALTIME}}})
		}
	}
	return out
}

// load is the instruction that loads a word of the call's data.
func load(offset uint32) unix.SockFilter {
	return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
}

// jumpEqual skips so many instructions where the loaded word is a value, and so many where it is not.
func jumpEqual(value uint32, equal, other uint8) unix.SockFilter {
	return unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: equal, Jf: other, K: value}
}

// verdict ends the filter.
func verdict(action uint32) unix.SockFilter {
	return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: action}
}

// filter is the program of the filter for some calls.
func filter(stops []stop) []unix.SockFilter {
	code := []unix.SockFilter{load(offsetNumber)}
	for _, s := range stops {
		if s.where == nil {
			code = append(code, jumpEqual(s.number, 0, 1), verdict(unix.SECCOMP_RET_TRACE))
			continue
		}
		body := []unix.SockFilter{load(s.where.offset), {Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: s.where.mask}}
		for i, v := range s.where.values {
			left := uint8(len(s.where.values) - 1 - i)
			body = append(body, jumpEqual(v, left+1, 0)) // to the stop, behind the other values and the pass
		}
		body = append(body, verdict(unix.SECCOMP_RET_ALLOW), verdict(unix.SECCOMP_RET_TRACE))
		code = append(code, jumpEqual(s.number, 0, uint8(len(body))))
		code = append(code, body...)
	}
	return append(code, verdict(unix.SECCOMP_RET_ALLOW))
}

// EnterChild is called first of all by a program that calls Run. In the process that Run starts it sets the filter and
// becomes the program, and does not return.
func EnterChild() {
	text, ok := os.LookupEnv(stageVariable)
	if !ok {
		return
	}
	os.Unsetenv(stageVariable)
	fmt.Fprintln(os.Stderr, "shim:", becomeProgram(text))
	os.Exit(stageFailed)
}

// stageFailed is the exit code where the program could not be started.
const stageFailed = 98

func becomeProgram(text string) error {
	plan, err := ParsePlan(text)
	if err != nil {
		return err
	}
	path, err := exec.LookPath(os.Args[1])
	if err != nil {
		return err
	}
	runtime.LockOSThread() // the filter is this thread's, and goes with it
	if stops := plan.stops(); len(stops) > 0 {
		code := filter(stops)
		program := unix.SockFprog{Len: uint16(len(code)), Filter: &code[0]}
		if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
			return fmt.Errorf("no new rights: %w", err)
		}
		if err := unix.Prctl(unix.PR_SET_SECCOMP, unix.SECCOMP_MODE_FILTER, uintptr(unsafe.Pointer(&program)), 0,
			0); err != nil {
			return fmt.Errorf("filter: %w", err)
		}
	}
	return unix.Exec(path, os.Args[1:], os.Environ())
}
