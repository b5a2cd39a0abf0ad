//go:build !(linux && (amd64 || arm64))

package sysfault

import "errors"

// ExecIfChild does nothing on this platform.
func ExecIfChild() {}

// Run returns an error, because faults are injected on linux/amd64 and linux/arm64 only.
func Run(Plan, uint64, []string) (int, error) {
	return 0, errors.New("shim: system call faults can be injected on linux/amd64 and linux/arm64 only")
}
