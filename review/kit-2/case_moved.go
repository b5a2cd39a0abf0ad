package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// toldAfterMove is when the list counts as told after the signal (TERMS), and toldAfterChange is when a change counts
	// as told without a move (PROTOCOL).
	toldAfterMove   = 4 * time.Second
	toldAfterChange = 6 * time.Second
	// drainGrace is the time in which sends to a draining backend must stop, with the slack of 50 ms on sockets and the
	// 0.15 s for which a node may be held up.
	drainGrace = 2500*time.Millisecond + 200*time.Millisecond
	// watchedAfterGrace is how long the draining backend is watched after its grace.
	watchedAfterGrace = 10 * time.Second
	// earlierStarts is how often each backend has been registered at the old registry, once at each of its starts.
	earlierStarts = 4
)

// playMovedRegistry moves a node from one registry to another by a new configuration and SIGHUP. The new registry lists
// a backend as draining. After the time in which the list counts as told and the grace, the backend must get nothing
// new.
func playMovedRegistry(p *play) verdict {
	runs := &runCount{play: p}
	members := startBackends(p, runs)
	old := startCluster(p, "old")
	for range earlierStarts {
		for _, m := range members {
			old.register(old.leader(), m)
		}
	}
	var links []*link
	var addresses []string
	for _, r := range old.replicas {
		links = append(links, startLink(r.http, 0))
		addresses = append(addresses, links[len(links)-1].address)
	}
	node := startNode(p, addresses, readKnown(old))
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Go(func() { sendUntil(p, node.listen, i, stop) })
	}
	told := toldAfterChange
	if p.disrupted {
		next := startCluster(p, "new")
		for _, m := range members {
			next.register(next.leader(), m)
		}
		next.drain(next.leader(), "s-0")
		requireTraffic(runs)
		node.configure(next.addresses(), readKnown(old))
		p.note("the new configuration names %v; SIGHUP", next.addresses())
		for _, l := range links {
			l.moveAway()
		}
		node.process.signal(syscall.SIGHUP)
		told = toldAfterMove
	} else {
		time.Sleep(2 * time.Second)
		requireTraffic(runs)
		old.drain(old.leader(), "s-0")
	}
	bound := time.Since(p.began) + told + drainGrace
	runs.bound.Store(int64(bound))
	p.note("s-0 must get nothing new after %.3f", bound.Seconds())
	time.Sleep(told + drainGrace + watchedAfterGrace)
	close(stop)
	clients.Wait()
	p.note("s-0 ran %d requests, %d of them after its grace", runs.all.Load(), runs.late.Load())
	if runs.late.Load() > 0 {
		return ruleBroken
	}
	return ruleHeld
}

// requireTraffic waits until s-0 has got requests.
func requireTraffic(runs *runCount) {
	waitFor("s-0 gets requests", 20*time.Second, func() bool { return runs.all.Load() > 10 })
}

// readKnown reads the complete list of a registry.
func readKnown(c *cluster) (list listing) {
	status, _, body := c.get(c.leader(), "/registry/instances")
	if status != http.StatusOK || json.Unmarshal(body, &list) != nil {
		giveUp("the list of the registry: %d %s", status, body)
	}
	return list
}
