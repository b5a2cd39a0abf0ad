package node

import (
	"cmp"
	"sync/atomic"
)

const (
	// bodyMemoryDivisor divides the memory above reservedMemory: the result is the budget for all buffered bodies
	// together.
	bodyMemoryDivisor = 8
	// reservedMemory is for what a node takes beside buffered bodies, in bytes.
	reservedMemory = 16 << 20
	// headMemoryDivisor divides the memory limit: the result is the budget for all heads together.
	headMemoryDivisor = 32
	// minBudgetDivisor divides the memory limit: the result is the least budget for all buffered bodies.
	minBudgetDivisor = 16
	// requestMemoryDivisor divides the budget: the result is the most that the body of one request may take, unless that
	// is less than maxBodyBytes.
	requestMemoryDivisor = 16
	// defaultMemoryMB is the memory limit, in MiB, if the configuration has none.
	defaultMemoryMB = 192
)

// memoryBudget bounds the memory, in bytes, of all buffered bodies or of all heads together. It is safe for concurrent
// use.
type memoryBudget struct {
	available     atomic.Int64 // negative after acquire took more than was available
	maxPerRequest int64
}

// newBodyBudget returns the budget for buffered bodies under a memory limit in MiB; 0 stands for defaultMemoryMB.
func newBodyBudget(memoryMB int64) *memoryBudget {
	memory := cmp.Or(memoryMB, defaultMemoryMB) << 20
	return newMemoryBudget(max((memory-reservedMemory)/bodyMemoryDivisor, memory/minBudgetDivisor))
}

// newHeadBudget returns the budget for heads under a memory limit in MiB; 0 stands for defaultMemoryMB.
func newHeadBudget(memoryMB int64) *memoryBudget {
	return newMemoryBudget(cmp.Or(memoryMB, defaultMemoryMB) << 20 / headMemoryDivisor)
}

// newMemoryBudget returns a budget of total bytes.
func newMemoryBudget(total int64) *memoryBudget {
	b := &memoryBudget{maxPerRequest: max(maxBodyBytes, total/requestMemoryDivisor)}
	b.available.Store(total)
	return b
}

// tryAcquire takes n bytes if they are available, and reports whether it did.
func (b *memoryBudget) tryAcquire(n int64) bool {
	if b.available.Add(-n) < 0 {
		b.available.Add(n)
		return false
	}
	return true
}

// reserve takes n more bytes for a request that holds some bytes already, and reports whether the request may have
// them. If guaranteed is set, the request may always hold maxBodyBytes in total, even if the budget is exhausted: the
// limit of connections bounds the number of such requests.
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

// heldMemory is memory of a budget that a response holds until it has been written or dropped. It is safe for
// concurrent use. A nil heldMemory holds nothing.
type heldMemory struct {
	budget *memoryBudget
	bytes  atomic.Int64
}

// hold takes n bytes if they are available. It returns nil if they are not.
func (b *memoryBudget) hold(n int64) *heldMemory {
	if !b.tryAcquire(n) {
		return nil
	}
	held := &heldMemory{budget: b}
	held.bytes.Store(n)
	return held
}

// release gives the memory back. Only the first call has an effect.
func (h *heldMemory) release() {
	if h != nil {
		h.budget.release(h.bytes.Swap(0))
	}
}

// acquire takes n bytes even if they are not available.
func (b *memoryBudget) acquire(n int64) { b.available.Add(-n) }

// release returns n bytes to the budget.
func (b *memoryBudget) release(n int64) { b.available.Add(n) }
