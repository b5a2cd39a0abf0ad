package sysfault

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// auditArch is the architecture whose table the numbers of traced calls belong to.
const auditArch = unix.AUDIT_ARCH_X86_64

// waitingCalls are the calls, beside futex, that Interrupt makes fail.
var waitingCalls = []uint32{unix.SYS_EPOLL_PWAIT, unix.SYS_EPOLL_WAIT, unix.SYS_NANOSLEEP}

// noCall is not the number of any system call. The kernel skips a call with this number.
const noCall = ^uint64(0)

// registers are the registers of a stopped thread.
type registers struct {
	general unix.PtraceRegs
}

// readRegisters reads the registers of a stopped thread. It fails if the thread has ended.
func readRegisters(id int) (*registers, error) {
	r := &registers{}
	if err := unix.PtraceGetRegs(id, &r.general); err != nil {
		return nil, fmt.Errorf("reading the registers of thread %d: %w", id, err)
	}
	return r, nil
}

// write sets the registers of the thread. An error means that the thread has ended, which Wait4 reports.
func (r *registers) write(id int) { unix.PtraceSetRegs(id, &r.general) }

// call returns the number of the system call.
func (r *registers) call() uint64 { return r.general.Orig_rax }

// arguments returns the first arguments of the system call.
func (r *registers) arguments() [3]uint64 {
	return [3]uint64{r.general.Rdi, r.general.Rsi, r.general.Rdx}
}

// setThirdArgument changes the third argument of the system call.
func (r *registers) setThirdArgument(value uint64) { r.general.Rdx = value }

// skipCall makes the kernel skip the system call, which then fails with errno.
func (r *registers) skipCall(errno unix.Errno) {
	r.general.Orig_rax = noCall
	r.general.Rax = uint64(-int64(errno))
}

// stackPointer returns the address of the top of the stack.
func (r *registers) stackPointer() uintptr { return uintptr(r.general.Rsp) }
