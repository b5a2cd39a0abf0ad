package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// answerGrace is how long after its deadline the driver still waits for a final answer (FLEET: half a second).
const answerGrace = 500 * time.Millisecond

// improperPeerTimeout is how long an improper peer may wait until it hears an error or a close, and
// improperPeerInterval one in how many arrivals is such a peer, where the load has some.
const (
	improperPeerTimeout  = 3 * time.Second
	improperPeerInterval = 100
)

// maxInFlight bounds the driver's requests under way; a request that finds it full is not sent and is counted.
const maxInFlight = 2048

// Driver sends the scenario's load to the nodes, at the scenario's rate, and records every outcome. It is bounded in
// count and time.
type Driver struct {
	Load  Load
	Nodes []*client
	Seed  uint64
	Stop  <-chan struct{} // closed to have no more sent; nil: never

	mu       sync.Mutex
	outcomes []Outcome
	unsent   int
	improper Check
}

// Run sends until the count or the duration is reached, or ctx ends, then waits for the answers under way.
func (driver *Driver) Run(ctx context.Context, duration time.Duration) {
	rng := rand.New(rand.NewPCG(driver.Seed, 3))
	driver.improper.Name = "improper peers hear an error or a close in time"
	defer func() {
		for _, c := range driver.Nodes {
			c.close()
		}
	}()
	sem := make(chan struct{}, maxInFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	every := time.Duration(float64(time.Second) / driver.Load.Rate)
	start := time.Now()
	for i := 0; i < driver.Load.Count; i++ {
		next := start.Add(time.Duration(i) * every)
		if next.Sub(start) >= duration {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-driver.Stop:
			return
		case <-time.After(time.Until(next)):
		}
		node := rng.IntN(len(driver.Nodes))
		r := driver.draw(rng)
		select {
		case sem <- struct{}{}:
		default:
			driver.mu.Lock()
			driver.unsent++
			driver.mu.Unlock()
			continue
		}
		var early earlyBegin
		if driver.Load.LateSendShare+driver.Load.EarlyBeginShare > 0 {
			early = driver.Load.drawEarly(rng)
		}
		misbehaves := driver.Load.ImproperPeers && i%improperPeerInterval == improperPeerInterval/2
		wg.Go(func() {
			defer func() { <-sem }()
			if misbehaves {
				driver.playImproperPeer(node)
				return
			}
			if early.action != "" {
				driver.record(driver.sendAfterEarlyConnect(ctx, node, r, early))
				return
			}
			driver.record(driver.send(node, r))
		})
	}
}

// draw draws a request.
func (driver *Driver) draw(rng *rand.Rand) *clientRequest {
	r := &clientRequest{class: classRead}
	switch x := rng.Float64(); {
	case x < driver.Load.UnsafeShare:
		r.class = classClaim
	case x < driver.Load.UnsafeShare+driver.Load.KeyedShare:
		r.class = classToken
	}
	r.trace = fmt.Sprintf("%016x", rng.Uint64())
	if r.class == classToken {
		r.key = fmt.Sprintf("%032x", rng.Uint64())
	}
	r.deadline = time.Now().Add(driver.Load.Deadline.Duration)
	if rng.Float64() < driver.Load.DisconnectShare {
		r.disconnectAt = time.Now().Add(time.Duration(rng.Float64() * float64(maxDisconnectDelay)))
	}
	return r
}

// maxLeaveDelay is the time within which a client that leaves early does so.
const maxDisconnectDelay = 100 * time.Millisecond

// send makes a request of a node, or, where that does not accept it, of the next one that does.
func (driver *Driver) send(node int, r *clientRequest) Outcome {
	o := Outcome{Trace: r.trace, Class: r.class, SentAt: time.Now().UnixNano(),
		ClientTimeout: int64(driver.Load.Deadline.Duration)}
	for i := range driver.Nodes {
		o.Node = (node + i) % len(driver.Nodes)
		if driver.Nodes[o.Node].send(r, &o) {
			return o
		}
	}
	o.Kind = kindUnconnected
	return o
}

func (driver *Driver) playImproperPeer(node int) {
	elapsed, ok := driver.Nodes[node].sendImproperRequest(2 * improperPeerTimeout)
	if ok && elapsed <= improperPeerTimeout+schedulingSlack {
		return
	}
	driver.mu.Lock()
	defer driver.mu.Unlock()
	driver.improper.add(fmt.Sprintf("at node-%d: heard %v after %s", node, ok, elapsed.Round(time.Millisecond)))
}

// schedulingSlack is what this machine may be late by.
const schedulingSlack = 250 * time.Millisecond

func (driver *Driver) record(o Outcome) {
	driver.mu.Lock()
	driver.outcomes = append(driver.outcomes, o)
	driver.mu.Unlock()
}

// Outcomes gives what was recorded, and how many requests found the driver full.
func (driver *Driver) Outcomes() ([]Outcome, int) {
	driver.mu.Lock()
	defer driver.mu.Unlock()
	return append([]Outcome(nil), driver.outcomes...), driver.unsent
}

// Improper is the check on improper peers.
func (driver *Driver) Improper() Check {
	driver.mu.Lock()
	defer driver.mu.Unlock()
	return driver.improper.done()
}
