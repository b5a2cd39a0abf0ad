package lab

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// starvationInterval is how often the lab looks for children that wait for a processor, and minStarvation how long a
	// thread of one has to have waited since the last look to count as starved: more than a node may be held up by.
	starvationInterval = 100 * time.Millisecond
	minStarvation      = 60 * time.Millisecond
)

// starvation is a time in which a child was kept from a processor, as the kernel tells of each thread (schedstat). It
// excuses nothing; it is there so that a check that fails on a crowded machine can be told from one that fails by
// itself.
type starvation struct {
	Child string        `json:"child"`
	At    time.Time     `json:"at"`
	For   time.Duration `json:"for_ns"` // of the thread that waited longest
}

// starvationLog takes down when children were starved.
type starvationLog struct {
	mu    sync.Mutex
	found []starvation
}

// run looks at the processes that it is told of until ctx ends.
func (log *starvationLog) run(ctx context.Context, processes func() map[string][]int) {
	waited := map[string]time.Duration{} // by the thread's file
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

// sample takes down how long the threads of a child's processes have waited since the last look.
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
	log.found = append(log.found, starvation{Child: name, At: time.Now(), For: longest})
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

// children is what was taken down.
func (log *starvationLog) all() []starvation {
	log.mu.Lock()
	defer log.mu.Unlock()
	return append([]starvation(nil), log.found...)
}
