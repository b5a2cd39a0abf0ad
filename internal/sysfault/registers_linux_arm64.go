package sysfault

import (
	"fmt"
	"unsafe"

	"golang.org/x/sys/unix"
)

// auditArch is the architecture whose table the numbers of traced calls belong to.
const auditArch = unix.AUDIT_ARCH_AARCH64

// waitingCalls are the calls, beside futex, that Interrupt makes fail. The architecture has no epoll_wait.
var waitingCalls = []uint32{unix.SYS_EPOLL_PWAIT, unix.SYS_NANOSLEEP}

// noCall is not the number of any system call. The kernel skips a call with this number.
const noCall = int32(-1)

// registers are the registers of a stopped thread. The number of the system call is a register set of its own: the
// kernel has read register x8 before the stop, and ignores later changes of it.
type registers struct {
	general     unix.PtraceRegsArm64
	callNumber  int32
	callSkipped bool
}

// readRegisters reads the registers of a stopped thread. It fails if the thread has ended.
func readRegisters(id int) (*registers, error) {
	r := &registers{}
	if err := unix.PtraceGetRegSetArm64(id, unix.NT_PRSTATUS, &r.general); err != nil {
		return nil, fmt.Errorf("reading the registers of thread %d: %w", id, err)
	}
	if err := transferCallNumber(unix.PTRACE_GETREGSET, id, &r.callNumber); err != nil {
		return nil, fmt.Errorf("reading the system call of thread %d: %w", id, err)
	}
	return r, nil
}

// write sets the registers of the thread. An error means that the thread has ended, which Wait4 reports.
func (r *registers) write(id int) {
	if r.callSkipped {
		transferCallNumber(unix.PTRACE_SETREGSET, id, &r.callNumber)
	}
	unix.PtraceSetRegSetArm64(id, unix.NT_PRSTATUS, &r.general)
}

// transferCallNumber reads or writes, as request says, the number of the system call at which a thread has stopped.
func transferCallNumber(request uintptr, id int, number *int32) error {
	vector := unix.Iovec{Base: (*byte)(unsafe.Pointer(number)), Len: uint64(unsafe.Sizeof(*number))}
	_, _, errno := unix.Syscall6(unix.SYS_PTRACE, request, uintptr(id), unix.NT_ARM_SYSTEM_CALL,
		uintptr(unsafe.Pointer(&vector)), 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

// call returns the number of the system call.
func (r *registers) call() uint64 { return uint64(r.callNumber) }

// arguments returns the first arguments of the system call. At its return, the first one holds the result.
func (r *registers) arguments() [3]uint64 {
	return [3]uint64{r.general.Regs[0], r.general.Regs[1], r.general.Regs[2]}
}

// setThirdArgument changes the third argument of the system call.
func (r *registers) setThirdArgument(value uint64) { r.general.Regs[2] = value }

// skipCall makes the kernel skip the system call, which then fails with errno.
func (r *registers) skipCall(errno unix.Errno) {
	r.callNumber = noCall
	r.callSkipped = true
	r.general.Regs[0] = uint64(-int64(errno))
}

// stackPointer returns the address of the top of the stack.
func (r *registers) stackPointer() uintptr { return uintptr(r.general.Sp) }
