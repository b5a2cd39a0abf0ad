package node

import "runtime/debug"

const (
	// programMemory is about how many bytes a process takes outside of the Go runtime, mostly for the program's code.
	programMemory = 10 << 20
	// runtimePercent is the part, in percent, of the remaining memory that the runtime may use. The rest is for what the
	// runtime's limit does not count, and for garbage that is created while the collector runs.
	runtimePercent = 95
	// minRuntimeDivisor divides the memory limit: the runtime of a process gets at least the result.
	minRuntimeDivisor = 4
	// gcPercent makes the garbage collector run rarely. Near the memory limit the runtime runs it more often.
	gcPercent = 200
)

// runtimeMemory sets the memory limit of the Go runtime from the memory limit of the node, which its processes share. A
// limit far below what the process needs would make the collector take half of the processor.
type runtimeMemory struct {
	limit int64 // bytes; 0: not limited
}

// newRuntimeMemory sets the limit of a process that is the only one of its node, if the configuration asks for it.
func newRuntimeMemory(cfg Config) *runtimeMemory {
	m := &runtimeMemory{}
	if cfg.LimitRuntime {
		m.limit = cfg.Limits.MemoryMB << 20
	}
	if m.limit > 0 {
		debug.SetGCPercent(gcPercent)
	}
	m.share(1)
	return m
}

// share sets the limit of a process that is one of several processes of its node.
func (m *runtimeMemory) share(processes int64) {
	if m.limit > 0 {
		debug.SetMemoryLimit(runtimeLimit(m.limit, processes))
	}
}

// runtimeLimit returns the limit, in bytes, of the runtime of each process of a node.
func runtimeLimit(limit, processes int64) int64 {
	share := (limit - processes*programMemory) / processes * runtimePercent / 100
	return max(share, limit/minRuntimeDivisor)
}
