//go:build !(linux && amd64)

package sysfault

import "errors"

// ExecIfChild does nothing on this machine.
func ExecIfChild() {}

// Run is not to be had on this machine.
func Run(Plan, uint64, []string) (int, error) {
	return 0, errors.New("shim: system calls can be made to fail on linux/amd64 only")
}
