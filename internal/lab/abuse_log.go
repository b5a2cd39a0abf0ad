package lab

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// memorySampleInterval is the time between two samples of the nodes' memory.
const memorySampleInterval = 10 * time.Millisecond

// abuseLog records what abusive clients saw, and the memory of the nodes meanwhile. Its methods may be called by
// several goroutines.
type abuseLog struct {
	clients sync.WaitGroup

	mu         sync.Mutex
	check      Check
	leftAt     map[string]int64 // by trace id: when the client of a request left, Unix time in nanoseconds
	peakMemory map[string]int64 // by node: the most memory, in bytes, that its processes held together
}

// newAbuseLog returns an empty log.
func newAbuseLog() *abuseLog {
	return &abuseLog{
		check:      Check{Name: "abusive clients get an error or a close in time, and slow ones their answers"},
		leftAt:     map[string]int64{},
		peakMemory: map[string]int64{},
	}
}

// violation records a violation that an abusive client saw.
func (log *abuseLog) violation(format string, args ...any) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.check.addViolation(fmt.Sprintf(format, args...))
}

// left records when the client of a request left.
func (log *abuseLog) left(trace string, at int64) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.leftAt[trace] = at
}

// sampleMemory samples the memory of the nodes' processes, whose ids processes returns by name, until ctx ends.
func (log *abuseLog) sampleMemory(ctx context.Context, processes func() map[string][]int) {
	tick := time.NewTicker(memorySampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for name, pids := range processes() {
			log.recordMemory(name, pids)
		}
	}
}

// maxNodeProcesses is how many processes of a node run at the same time during an upgrade (DAYS).
const maxNodeProcesses = 2

// recordMemory records the memory that the processes of a node hold together. Faults in series may start more processes
// than a node has on the platform; their memory is not recorded.
func (log *abuseLog) recordMemory(name string, pids []int) {
	var sum int64
	processes := 0
	for _, pid := range pids {
		if memory := nodeMemory(pid); memory > 0 {
			sum += memory
			processes++
		}
	}
	if processes > maxNodeProcesses {
		return
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	log.peakMemory[name] = max(log.peakMemory[name], sum)
}

// nodeMemory returns the resident memory of a node's process in bytes; 0 for another process, such as a tracer.
func nodeMemory(pid int) int64 {
	name, err := os.ReadFile(fmt.Sprintf("/proc/%d/comm", pid))
	if err != nil || strings.TrimSpace(string(name)) != "hitchvale-node" {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// checks returns the checks of a run with abusive clients.
func (log *abuseLog) checks(memoryMB int, attempts []Attempt) []Check {
	log.mu.Lock()
	defer log.mu.Unlock()
	memory := Check{Name: "no node exceeds its memory limit"}
	for name, peak := range log.peakMemory {
		if strings.HasPrefix(name, roleNode) && peak > int64(memoryMB)<<20 {
			memory.addViolation(fmt.Sprintf("%s: %.1f of %d MB", name, float64(peak)/(1<<20), memoryMB))
		}
	}
	left := Check{Name: "no request is sent on after its abusive client has left"}
	for _, attempt := range attempts {
		leftAt, ok := log.leftAt[attempt.Trace]
		if late := time.Duration(attempt.At - leftAt); ok && late > disconnectGrace+clockSlack {
			left.addViolation(fmt.Sprintf("%s at %s: began %s after its client left", attempt.Trace, attempt.Backend, late))
		}
	}
	return []Check{log.check.result(), memory.result(), left.result()}
}

// peaks returns the peak memory of each node in MB.
func (log *abuseLog) peaks() map[string]float64 {
	log.mu.Lock()
	defer log.mu.Unlock()
	peaks := map[string]float64{}
	for name, peak := range log.peakMemory {
		if strings.HasPrefix(name, roleNode) {
			peaks[name] = float64(peak) / (1 << 20)
		}
	}
	return peaks
}
