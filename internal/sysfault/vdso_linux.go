//go:build linux && (amd64 || arm64)

package sysfault

import (
	"encoding/binary"
	"fmt"

	"golang.org/x/sys/unix"
)

// hideVDSO hides the vDSO from the program, so that the program reads its clocks by system calls, which can be traced.
// It must be called before the first instruction of the program. The stack then holds argc, argv, the environment and
// the auxiliary vector, and each of these lists ends with a zero.
func (t *tracer) hideVDSO() error {
	regs, err := readRegisters(t.pid)
	if err != nil {
		return err
	}
	address := regs.stackPointer()
	argc, err := t.readWord(address)
	if err != nil {
		return err
	}
	address += uintptr(argc+2) * wordSize
	for {
		entry, err := t.readWord(address)
		if err != nil {
			return err
		}
		address += wordSize
		if entry == 0 {
			break
		}
	}
	for ; ; address += 2 * wordSize {
		kind, err := t.readWord(address)
		if err != nil || kind == 0 {
			return err
		}
		if kind == atSysinfoEhdr {
			return t.writeWord(address, atIgnore)
		}
	}
}

// readWord reads a word from the program's memory.
func (t *tracer) readWord(address uintptr) (uint64, error) {
	var word [wordSize]byte
	if _, err := unix.PtracePeekData(t.pid, address, word[:]); err != nil {
		return 0, fmt.Errorf("reading the program's memory: %w", err)
	}
	return binary.LittleEndian.Uint64(word[:]), nil
}

// writeWord writes a word to the program's memory.
func (t *tracer) writeWord(address uintptr, value uint64) error {
	var word [wordSize]byte
	binary.LittleEndian.PutUint64(word[:], value)
	if _, err := unix.PtracePokeData(t.pid, address, word[:]); err != nil {
		return fmt.Errorf("writing the program's memory: %w", err)
	}
	return nil
}
