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
	// starvationInterval is the time between two samples of how long children have waited for a processor.
	starvationInterval = 100 * time.Millisecond
	// minStarvation is how long a thread must have waited for a processor between two samples to count as starved. It is
	// longer than a node may be delayed.
	minStarvation = 60 * time.Millisecond
)

// starvation is a period in which a child waited for a processor, measured from the kernel's statistics on its threads
// (schedstat). It excuses no violation. It shows whether a check may have failed only because the machine was busy.
type starvation struct {
	Child string        `json:"child"`
	At    time.Time     `json:"at"`
	For   time.Duration `json:"for_ns"` // how long the thread that waited longest waited
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

// sample records a starvation if a thread of the child has waited at least minStarvation since the last sample. It
// updates waited.
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

// all returns the entries recorded so far.
func (log *starvationLog) all() []starvation {
	log.mu.Lock()
	defer log.mu.Unlock()
	return slices.Clone(log.entries)
}

// runDelay returns how long a thread has waited for a processor in total, from its schedstat file. It returns false if
// the file cannot be read.
func runDelay(file string) (time.Duration, bool) { return schedstatField(file, 1) }

// schedstatField returns a time in a thread's schedstat file: 0 is how long the thread has run, 1 is how long it has
// waited for a processor. It returns false if the file cannot be read.
func schedstatField(file string, index int) (time.Duration, bool) {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0, false
	}
	fields := strings.Fields(string(text))
	if len(fields) <= index {
		return 0, false
	}
	ns, err := strconv.ParseInt(fields[index], 10, 64)
	return time.Duration(ns), err == nil
}
