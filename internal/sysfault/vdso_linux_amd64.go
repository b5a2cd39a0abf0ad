package sysfault

import (
	"encoding/binary"
	"fmt"

	"golang.org/x/sys/unix"
)

// hideVDSO has the program read its clocks by system call, which can be traced. At the start the stack holds argc,
// argv, the environment and the auxiliary vector, each list ended by a zero.
func (t *tracer) hideVDSO() error {
	var regs unix.PtraceRegs
	if err := unix.PtraceGetRegs(t.pid, &regs); err != nil {
		return fmt.Errorf("registers: %w", err)
	}
	address := uintptr(regs.Rsp)
	argc, err := t.word(address)
	if err != nil {
		return err
	}
	address += uintptr(argc+2) * wordSize
	for {
		entry, err := t.word(address)
		if err != nil {
			return err
		}
		address += wordSize
		if entry == 0 {
			break
		}
	}
	for ; ; address += 2 * wordSize {
		kind, err := t.word(address)
		if err != nil || kind == 0 {
			return err
		}
		if kind == atSysinfoEhdr {
			return t.setWord(address, atIgnore)
		}
	}
}

// word reads a word of the program's memory.
func (t *tracer) word(address uintptr) (uint64, error) {
	var word [wordSize]byte
	if _, err := unix.PtracePeekData(t.pid, address, word[:]); err != nil {
		return 0, fmt.Errorf("memory of the program: %w", err)
	}
	return binary.LittleEndian.Uint64(word[:]), nil
}

// setWord writes a word of the program's memory.
func (t *tracer) setWord(address uintptr, value uint64) error {
	var word [wordSize]byte
	binary.LittleEndian.PutUint64(word[:], value)
	if _, err := unix.PtracePokeData(t.pid, address, word[:]); err != nil {
		return fmt.Errorf("memory of the program: %w", err)
	}
	return nil
}
