package node

import runtimemetrics "runtime/metrics"

// Names of metrics of the Go runtime.
const (
	metricMemoryMapped   = "/memory/classes/total:bytes"
	metricMemoryReleased = "/memory/classes/heap/released:bytes"
	metricGoroutines     = "/sched/goroutines:goroutines"
	metricCollectorTime  = "/cpu/classes/gc/total:cpu-seconds"
)

// runtimeStatistics are figures of the Go runtime. They tell a process that is short of memory, whose collector takes
// the processor, from one with too many requests.
type runtimeStatistics struct {
	memoryBytes      uint64 // that the runtime's memory limit counts
	goroutines       uint64
	collectorSeconds float64 // processor time of the garbage collector since the start of the process
}

// readRuntimeStatistics reads the present figures.
func readRuntimeStatistics() runtimeStatistics {
	samples := []runtimemetrics.Sample{
		{Name: metricMemoryMapped},
		{Name: metricMemoryReleased},
		{Name: metricGoroutines},
		{Name: metricCollectorTime},
	}
	runtimemetrics.Read(samples)
	return runtimeStatistics{
		memoryBytes:      samples[0].Value.Uint64() - samples[1].Value.Uint64(),
		goroutines:       samples[2].Value.Uint64(),
		collectorSeconds: samples[3].Value.Float64(),
	}
}
