//go:build linux && (amd64 || arm64)

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

// The traced program stops only at the system calls that its plan may change. For this purpose the child process sets a
// seccomp filter on itself before it executes the program. The filter reports these calls to the tracer and allows all
// others. It forbids no call.

// planVariable is the environment variable that holds the plan. It is set only for the child process that sets the
// filter on itself and then executes the program.
const planVariable = "HITCHVALE_SHIM_PLAN"

// execFailedExitCode is the exit code of a child process that could not execute the program.
const execFailedExitCode = 98

// Offsets in struct seccomp_data (seccomp.h) of the call's number, of the architecture whose number it is, and of the
// lower halves of the call's first two arguments.
const (
	offsetNumber    = 0
	offsetArch      = 4
	offsetFirstArg  = 16
	offsetSecondArg = 24
)

// Operations of futex(2) that wait, and the mask that removes the flags from an operation.
const (
	futexWait       = 0
	futexWaitBitset = 9
	futexOperation  = 0x7f
)

// argumentCondition holds for a call if the masked value of an argument is one of values.
type argumentCondition struct {
	offset uint32 // of the argument in struct seccomp_data
	mask   uint32
	values []uint32
}

// tracedCall is a system call at which the program stops.
type tracedCall struct {
	number    uint32
	condition *argumentCondition // nil: the program stops at every call with this number
}

// tracedCalls returns the system calls that a plan may change and the system calls that the tracer needs to observe.
func (p Plan) tracedCalls() []tracedCall {
	var calls []tracedCall
	seen := map[Kind]bool{}
	for _, fault := range p {
		if !seen[fault.Kind] {
			seen[fault.Kind] = true
			calls = append(calls, fault.Kind.tracedCalls()...)
		}
	}
	return calls
}

// tracedCalls returns the system calls of one kind of fault.
func (kind Kind) tracedCalls() []tracedCall {
	switch kind {
	case Accept:
		return unconditional(unix.SYS_ACCEPT4, unix.SYS_ACCEPT)
	case Connect:
		return unconditional(unix.SYS_SOCKET, unix.SYS_CONNECT)
	case Interrupt:
		waits := &argumentCondition{
			offset: offsetSecondArg,
			mask:   futexOperation,
			values: []uint32{futexWait, futexWaitBitset},
		}
		return append(unconditional(waitingCalls...), tracedCall{number: unix.SYS_FUTEX, condition: waits})
	case ShortTransfer:
		return unconditional(unix.SYS_READ, unix.SYS_WRITE)
	case BrokenConnection:
		return unconditional(unix.SYS_CONNECT, unix.SYS_READ, unix.SYS_CLOSE)
	case Open:
		return unconditional(unix.SYS_OPENAT)
	case Disk:
		return unconditional(unix.SYS_PWRITE64, unix.SYS_FSYNC, unix.SYS_FDATASYNC, unix.SYS_FTRUNCATE)
	case Clock:
		wallClock := &argumentCondition{offset: offsetFirstArg, mask: math.MaxUint32, values: []uint32{unix.CLOCK_REALTIME}}
		return []tracedCall{{number: unix.SYS_CLOCK_GETTIME, condition: wallClock}}
	}
	return nil
}

// unconditional returns traced calls without a condition.
func unconditional(numbers ...uint32) []tracedCall {
	calls := make([]tracedCall, len(numbers))
	for i, number := range numbers {
		calls[i] = tracedCall{number: number}
	}
	return calls
}

// loadWord returns the instruction that loads a word of the call's struct seccomp_data.
func loadWord(offset uint32) unix.SockFilter {
	return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
}

// jumpEqual returns the instruction that skips ifEqual instructions if the loaded word is value, and ifNot instructions
// otherwise.
func jumpEqual(value uint32, ifEqual, ifNot uint8) unix.SockFilter {
	return unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: ifEqual, Jf: ifNot, K: value}
}

// maskWord returns the instruction that masks the loaded word.
func maskWord(bits uint32) unix.SockFilter {
	return unix.SockFilter{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: bits}
}

// returnAction returns the instruction that ends the filter with an action.
func returnAction(action uint32) unix.SockFilter {
	return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: action}
}

// filterProgram returns a seccomp filter that traces the given calls and allows all others. It also allows each call of
// another architecture (a 32-bit program), where the numbers mean other calls.
func filterProgram(calls []tracedCall) []unix.SockFilter {
	code := []unix.SockFilter{
		loadWord(offsetArch),
		jumpEqual(auditArch, 1, 0),
		returnAction(unix.SECCOMP_RET_ALLOW),
		loadWord(offsetNumber),
	}
	for _, call := range calls {
		if call.condition == nil {
			code = append(code, jumpEqual(call.number, 0, 1), returnAction(unix.SECCOMP_RET_TRACE))
			continue
		}
		body := call.condition.instructions()
		code = append(code, jumpEqual(call.number, 0, uint8(len(body))))
		code = append(code, body...)
	}
	return append(code, returnAction(unix.SECCOMP_RET_ALLOW))
}

// instructions returns instructions that trace a call if the condition holds and allow it otherwise. They end the
// filter.
func (c *argumentCondition) instructions() []unix.SockFilter {
	code := []unix.SockFilter{loadWord(c.offset), maskWord(c.mask)}
	for i, value := range c.values {
		otherValues := uint8(len(c.values) - 1 - i)
		code = append(code, jumpEqual(value, otherValues+1, 0)) // jumps over the other values and RET_ALLOW
	}
	return append(code, returnAction(unix.SECCOMP_RET_ALLOW), returnAction(unix.SECCOMP_RET_TRACE))
}

// ExecIfChild must be called at the start of main in a program that calls Run. Run starts the same executable as its
// child. In the child, ExecIfChild sets the filter, executes the traced program and does not return. In other processes
// it does nothing.
func ExecIfChild() {
	text, ok := os.LookupEnv(planVariable)
	if !ok {
		return
	}
	os.Unsetenv(planVariable)
	fmt.Fprintln(os.Stderr, "shim:", execProgram(text))
	os.Exit(execFailedExitCode)
}

// execProgram sets the filter of a plan and executes the program that the process's arguments name. It returns only if
// one of these steps fails.
func execProgram(text string) error {
	plan, err := ParsePlan(text)
	if err != nil {
		return err
	}
	path, err := exec.LookPath(os.Args[1])
	if err != nil {
		return err
	}
	runtime.LockOSThread() // setFilter applies to the calling thread only
	if calls := plan.tracedCalls(); len(calls) > 0 {
		if err := setFilter(filterProgram(calls)); err != nil {
			return err
		}
	}
	return unix.Exec(path, os.Args[1:], os.Environ())
}

// setFilter sets a seccomp filter on the calling thread.
func setFilter(code []unix.SockFilter) error {
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("setting no_new_privs: %w", err)
	}
	program := unix.SockFprog{Len: uint16(len(code)), Filter: &code[0]}
	pointer := uintptr(unsafe.Pointer(&program))
	if err := unix.Prctl(unix.PR_SET_SECCOMP, unix.SECCOMP_MODE_FILTER, pointer, 0, 0); err != nil {
		return fmt.Errorf("setting the seccomp filter: %w", err)
	}
	return nil
}
