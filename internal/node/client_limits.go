package node

// clientLimits are the limits that all connections of clients share.
type clientLimits struct {
	headMemory *memoryBudget  // of heads that take more than guaranteedHeadMemory
	closes     *closeCounters // counts the connections on which a head was rejected
}

// newClientLimits returns the limits for a memory limit in MiB; 0 stands for defaultMemoryMB.
func newClientLimits(memoryMB int64, closes *closeCounters) *clientLimits {
	return &clientLimits{headMemory: newHeadBudget(memoryMB), closes: closes}
}
