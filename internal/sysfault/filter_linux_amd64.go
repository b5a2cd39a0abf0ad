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

// The traced program stops only at the calls that its plan may change: a seccomp filter that it sets on itself before
// it starts reports these to the tracer and lets all others pass. It confines nothing.

// stageVariable is set for the process that sets the filter on itself and then becomes the program. It holds the plan.
const stageVariable = "HITCHVALE_SHIM_PLAN"

// stageFailed is the exit code where the program could not be started.
const stageFailed = 98

// Offsets in struct seccomp_data (seccomp.h): the call's number and the lower half of its first and second argument.
const (
	offsetNumber = 0
	offsetFirst  = 16
	offsetSecond = 24
)

// Operations of futex(2) that wait, and the mask of its flags.
const (
	futexWait       = 0
	futexWaitBitset = 9
	futexOperation  = 0x7f
)

// condition limits a stop to calls with an argument whose value, behind a mask, is one of a few.
type condition struct {
	offset uint32
	mask   uint32
	values []uint32
}

// stop is a call at which the program stops; without a condition it stops at each.
type stop struct {
	number uint32
	where  *condition
}

// stops are the calls that a plan may change, or that the tracer has to see.
func (p Plan) stops() []stop {
	var stops []stop
	seen := map[Kind]bool{}
	for _, fault := range p {
		if !seen[fault.Kind] {
			seen[fault.Kind] = true
			stops = append(stops, fault.Kind.stops()...)
		}
	}
	return stops
}

// stops are the calls of one kind of fault.
func (kind Kind) stops() []stop {
	switch kind {
	case Accept:
		return stopAt(unix.SYS_ACCEPT4, unix.SYS_ACCEPT)
	case Connect:
		return stopAt(unix.SYS_SOCKET, unix.SYS_CONNECT)
	case Interrupt:
		waits := &condition{offset: offsetSecond, mask: futexOperation, values: []uint32{futexWait, futexWaitBitset}}
		return append(stopAt(unix.SYS_EPOLL_PWAIT, unix.SYS_EPOLL_WAIT, unix.SYS_NANOSLEEP),
			stop{number: unix.SYS_FUTEX, where: waits})
	case ShortTransfer:
		return stopAt(unix.SYS_READ, unix.SYS_WRITE)
	case BrokenConnection:
		return stopAt(unix.SYS_CONNECT, unix.SYS_READ, unix.SYS_CLOSE)
	case Open:
		return stopAt(unix.SYS_OPENAT)
	case Disk:
		return stopAt(unix.SYS_PWRITE64, unix.SYS_FSYNC, unix.SYS_FDATASYNC, unix.SYS_FTRUNCATE)
	case Clock:
		wallClock := &condition{offset: offsetFirst, mask: math.MaxUint32, values: []uint32{unix.CLOCK_REALTIME}}
		return []stop{{number: unix.SYS_CLOCK_GETTIME, where: wallClock}}
	}
	return nil
}

// stopAt are stops without a condition.
func stopAt(numbers ...uint32) []stop {
	stops := make([]stop, len(numbers))
	for i, number := range numbers {
		stops[i] = stop{number: number}
	}
	return stops
}

// load is the instruction that loads a word of the call's data.
func load(offset uint32) unix.SockFilter {
	return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
}

// jumpEqual skips so many instructions where the loaded word is a value, and so many where it is not.
func jumpEqual(value uint32, equal, other uint8) unix.SockFilter {
	return unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: equal, Jf: other, K: value}
}

// mask is the instruction that masks the loaded word.
func mask(bits uint32) unix.SockFilter {
	return unix.SockFilter{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: bits}
}

// verdict is the instruction that ends the filter.
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
		body := s.where.code()
		code = append(code, jumpEqual(s.number, 0, uint8(len(body))))
		code = append(code, body...)
	}
	return append(code, verdict(unix.SECCOMP_RET_ALLOW))
}

// code stops at a call whose argument has one of the values, and lets others pass.
func (c *condition) code() []unix.SockFilter {
	code := []unix.SockFilter{load(c.offset), mask(c.mask)}
	for i, value := range c.values {
		otherValues := uint8(len(c.values) - 1 - i)
		code = append(code, jumpEqual(value, otherValues+1, 0)) // over the other values and the pass, to the stop
	}
	return append(code, verdict(unix.SECCOMP_RET_ALLOW), verdict(unix.SECCOMP_RET_TRACE))
}

// ExecIfChild has to be called first of all by a program that calls Run. In the process that Run starts it sets the
// filter and becomes the traced program, and does not return; in others it does nothing.
func ExecIfChild() {
	text, ok := os.LookupEnv(stageVariable)
	if !ok {
		return
	}
	os.Unsetenv(stageVariable)
	fmt.Fprintln(os.Stderr, "shim:", becomeProgram(text))
	os.Exit(stageFailed)
}

// becomeProgram replaces the process by the program that its arguments name; it returns only with an error.
func becomeProgram(text string) error {
	plan, err := ParsePlan(text)
	if err != nil {
		return err
	}
	path, err := exec.LookPath(os.Args[1])
	if err != nil {
		return err
	}
	runtime.LockOSThread() // the filter is this thread's
	if stops := plan.stops(); len(stops) > 0 {
		if err := setFilter(filter(stops)); err != nil {
			return err
		}
	}
	return unix.Exec(path, os.Args[1:], os.Environ())
}

// setFilter sets a filter on the calling thread.
func setFilter(code []unix.SockFilter) error {
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("no new privileges: %w", err)
	}
	program := unix.SockFprog{Len: uint16(len(code)), Filter: &code[0]}
	pointer := uintptr(unsafe.Pointer(&program))
	if err := unix.Prctl(unix.PR_SET_SECCOMP, unix.SECCOMP_MODE_FILTER, pointer, 0, 0); err != nil {
		return fmt.Errorf("filter: %w", err)
	}
	return nil
}
