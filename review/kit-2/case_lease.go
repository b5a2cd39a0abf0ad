package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// holder is a process that runs `hitchvale lease acquire`. It acts as the holder from the line that names its token
// until it is told to end or ends.
type holder struct {
	play    *play
	name    string
	process *process

	mu    sync.Mutex
	since time.Time // when it named its token; zero: not yet
	until time.Time // when it ended or was told to end; zero: not yet
}

// startHolder starts a process that waits for a lease and holds it.
func startHolder(p *play, name, id, ttl, addresses string) *holder {
	h := &holder{play: p, name: name}
	command := fmt.Sprintf("bin/hitchvale lease acquire duty --holder %s --ttl %s --registry %s", id, ttl, addresses)
	h.process = p.start(name, command, nil, func(line string) {
		p.note("%s prints %s", name, line)
		if strings.Contains(line, `"token"`) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.since = time.Now()
		}
	})
	go func() {
		<-h.process.ended
		h.end()
	}()
	return h
}

// holds reports whether the process acts as the holder.
func (h *holder) holds() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.since.IsZero() && h.until.IsZero()
}

// end records that the process no longer acts as the holder.
func (h *holder) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.until.IsZero() {
		h.until = time.Now()
	}
}

// terminate tells the process to end.
func (h *holder) terminate() {
	h.end()
	h.play.note("SIGTERM to %s", h.name)
	h.process.signal(syscall.SIGTERM)
}

// watchHolders watches two holders for some time, and returns for how long both held the lease.
func watchHolders(p *play, a, b *holder, span time.Duration) (both time.Duration) {
	const step = 5 * time.Millisecond
	last := ""
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(step) {
		began := time.Now()
		state := fmt.Sprintf("%s holds: %v, %s holds: %v", a.name, a.holds(), b.name, b.holds())
		if state != last {
			p.note("%s", state)
			last = state
		}
		if a.holds() && b.holds() {
			both += step + time.Since(began)
		}
	}
	return both
}

// toleratedOverlap is how long both may seem to hold the lease because the case learns late of a line or an end.
const toleratedOverlap = 200 * time.Millisecond

// judgeHolders reports whether both processes held the lease at the same time.
func judgeHolders(p *play, both time.Duration) verdict {
	p.note("both processes held the lease for %v", both)
	if both > toleratedOverlap {
		return ruleBroken
	}
	return ruleHeld
}

// waitForHolder waits until the registry names the holder of the lease.
func waitForHolder(c *cluster, id string) {
	waitFor("the registry names "+id+" as the holder", 10*time.Second, func() bool {
		_, _, body := c.get(c.replicas[0], "/registry/leases")
		return strings.Contains(string(body), `"`+id+`"`)
	})
}

// slowAnswer is how long the answers to the first process take. The client waits 2 s for an answer.
const slowAnswer = 1500 * time.Millisecond

// playLateGrant has a process acquire a lease over a slow link, and another wait for the same lease over a fast one.
func playLateGrant(p *play) verdict {
	c := startCluster(p, "r")
	delay := time.Duration(0)
	if p.disrupted {
		delay = slowAnswer
	}
	p.note("the link of first delays answers by %v", delay)
	link := startLink(c.replicas[0].http, delay)
	first := startHolder(p, "first", "first", "2s", link.address)
	waitForHolder(c, "first")
	p.note("the registry names first as the holder")
	second := startHolder(p, "second", "second", "2s", strings.Join(c.addresses(), ","))
	both := watchHolders(p, first, second, 6*time.Second)
	if first.holds() {
		first.terminate()
		both += watchHolders(p, first, second, 3*time.Second)
	}
	return judgeHolders(p, both)
}

const (
	// oldTTL and newTTL are the holder's setting before and after its restart.
	oldTTL = "2s"
	newTTL = "10s"
)

// playChangedTTL kills the holder of a lease and starts it again under its name, with a longer TTL. Another process
// waits for the lease.
func playChangedTTL(p *play) verdict {
	c := startCluster(p, "r")
	ttl := newTTL
	if p.disrupted {
		ttl = oldTTL
	}
	first := startHolder(p, "first", "first", ttl, strings.Join(c.addresses(), ","))
	waitFor("first holds the lease", 10*time.Second, first.holds)
	second := startHolder(p, "second", "second", newTTL, strings.Join(c.addresses(), ","))
	both := watchHolders(p, first, second, time.Second)
	if p.disrupted {
		first.end()
		p.note("first is killed, and started again with --ttl %s", newTTL)
		first.process.kill()
		first = startHolder(p, "first-again", "first", newTTL, strings.Join(c.addresses(), ","))
		waitFor("first-again holds the lease", 10*time.Second, first.holds)
	}
	both += watchHolders(p, first, second, 8*time.Second)
	return judgeHolders(p, both)
}
