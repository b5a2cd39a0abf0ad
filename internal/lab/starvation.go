package lab

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// starvationInterval is how often the lab looks for children that wait for a processor.
	starvationInterval = 100 * time.Millisecond
	// minStarvation is how long a thread has to have waited within an interval to count as starved: longer than a node may
	// be held up.
	minStarvation = 60 * time.Millisecond
)

// starvation is a time in which a child waited for a processor, by the kernel's account of its threads (schedstat). It
// excuses nothing; it tells a check that fails on a busy machine from one that fails by itself.
type starvation struct {
	Child string        `json:"child"`
	At    time.Time     `json:"at"`
	For   time.Duration `json:"for_ns"` // of the thread that waited longest
}

// starvationLog records when children were starved.
type starvationLog struct {
	mu      sync.Mutex
	entries []starvation
}

// run samples the process ids that processes returns, by name, until ctx ends.
func (log *starvationLog) run(ctx context.Context, processes func() map[string][]int) {
	waited := map[string]time.Duration{} // by the thread's file: its wait at the last sample
	tick := time.NewTicker(starvationInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for name, pids := range processes() {
			log.sample(name, pids, waited)
		}
	}
}

// sample records a child whose threads have waited for long since the last sample.
func (log *starvationLog) sample(name string, pids []int, waited map[string]time.Duration) {
	var longest time.Duration
	for _, pid := range pids {
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
		for _, file := range files {
			total, ok := runDelay(file)
			if before, known := waited[file]; ok && known {
				longest = max(longest, total-before)
			}
			waited[file] = total
		}
	}
	if longest < minStarvation {
		return
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	log.entries = append(log.entries, starvation{Child: name, At: time.Now(), For: longest})
}

// all returns what was recorded.
func (log *starvationLog) all() []starvation {
	log.mu.Lock()
	defer log.mu.Unlock()
	return slices.Clone(log.entries)
}

// runDelay is how long a thread has waited for a processor in all.
func runDelay(file string) (time.Duration, bool) {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0, false
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, false
	}
	ns, err := strconv.ParseInt(fields[1], 10, 64)
	return time.Duration(ns), err == nil
}
