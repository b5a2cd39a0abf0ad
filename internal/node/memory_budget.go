package node

import "sync/atomic"

const (
	// bodyMemoryDivisor: buffered bodies may take this fraction of the memory limit together.
	bodyMemoryDivisor = 8
	// requestMemoryDivisor: one request's body may take this fraction of the budget.
	requestMemoryDivisor = 16
	// defaultMemoryMB stands for a memory limit that the configuration does not give, in MiB.
	defaultMemoryMB = 192
)

// memoryBudget bounds the memory, in bytes, of all bodies that are buffered. It is safe for concurrent use.
type memoryBudget struct {
	available     atomic.Int64 // negative after acquire took more than there was
	maxPerRequest int64
}

// newMemoryBudget returns the budget for a memory limit in MiB; 0: none is given.
func newMemoryBudget(memoryMB int64) *memoryBudget {
	if memoryMB == 0 {
		memoryMB = defaultMemoryMB
	}
	total := memoryMB << 20 / bodyMemoryDivisor
	b := &memoryBudget{maxPerRequest: max(maxBodyBytes, total/requestMemoryDivisor)}
	b.available.Store(total)
	return b
}

// tryAcquire takes n bytes, if they are available.
func (b *memoryBudget) tryAcquire(n int64) bool {
	if b.available.Add(-n) < 0 {
		b.available.Add(n)
		return false
	}
	return true
}

// reserve takes n bytes for a request that holds some already, if the request may have them. With guaranteed it may
// always have maxBodyBytes in all: the limit of connections bounds how many such requests there are.
func (b *memoryBudget) reserve(held, n int64, guaranteed bool) bool {
	if held+n <= b.maxPerRequest && b.tryAcquire(n) {
		return true
	}
	if guaranteed && held+n <= maxBodyBytes {
		b.acquire(n)
		return true
	}
	return false
}

// acquire takes n bytes even if they are not available.
func (b *memoryBudget) acquire(n int64) { b.available.Add(-n) }

// release gives n bytes back.
func (b *memoryBudget) release(n int64) { b.available.Add(n) }
