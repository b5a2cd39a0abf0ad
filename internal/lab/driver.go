package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Classes of requests: safe to repeat, unsafe, and dropped as a repeat by its key for a while.
const (
	classRead  = "read"
	classClaim = "claim"
	classToken = "token"
)

// Outcome is what a client saw of one request.
type Outcome struct {
	Trace  string `json:"trace"`
	Node   int    `json:"node"` // the last one that it was sent to
	Class  string `json:"class"`
	Sent   int64  `json:"sent_ns"`   // Unix time in nanoseconds
	Dialed int64  `json:"dialed_ns"` // when its last connection was made
	Done   int64  `json:"done_ns"`
	Left   int64  `json:"left_ns,omitempty"` // when its client left; 0: it stayed
	Wait   int64  `json:"wait_ns"`           // how long its client waits
	Status int    `json:"status"`            // 0: no answer
	Kind   string `json:"kind"`
	Fresh  bool   `json:"fresh,omitempty"`  // it was the first on its connection
	Early  string `json:"early,omitempty"`  // what its client did long before: an earlyAction
	Resent bool   `json:"resent,omitempty"` // it crossed the close of a kept connection and was sent once more
	// Crossed is when the close that it crossed was seen, a reset behind it included.
	Crossed int64  `json:"crossed_ns,omitempty"`
	Error   string `json:"error,omitempty"`
}

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
func (d *Driver) Run(ctx context.Context, duration time.Duration) {
	rng := rand.New(rand.NewPCG(d.Seed, 3))
	d.improper.Name = "improper peers hear an error or a close in time"
	defer func() {
		for _, c := range d.Nodes {
			c.close()
		}
	}()
	sem := make(chan struct{}, maxInFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	every := time.Duration(float64(time.Second) / d.Load.Rate)
	start := time.Now()
	for i := 0; i < d.Load.Count; i++ {
		next := start.Add(time.Duration(i) * every)
		if next.Sub(start) >= duration {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-d.Stop:
			return
		case <-time.After(time.Until(next)):
		}
		node := rng.IntN(len(d.Nodes))
		r := d.draw(rng)
		select {
		case sem <- struct{}{}:
		default:
			d.mu.Lock()
			d.unsent++
			d.mu.Unlock()
			continue
		}
		var early earlyBegin
		if d.Load.Late+d.Load.Begun > 0 {
			early = d.Load.drawEarly(rng)
		}
		misbehaves := d.Load.Improper && i%improperPeerInterval == improperPeerInterval/2
		wg.Go(func() {
			defer func() { <-sem }()
			if misbehaves {
				d.playImproperPeer(node)
				return
			}
			if early.action != "" {
				d.record(d.sendAfterEarlyConnect(ctx, node, r, early))
				return
			}
			d.record(d.send(node, r))
		})
	}
}

// draw draws a request.
func (d *Driver) draw(rng *rand.Rand) *clientRequest {
	r := &clientRequest{class: classRead}
	switch x := rng.Float64(); {
	case x < d.Load.Unsafe:
		r.class = classClaim
	case x < d.Load.Unsafe+d.Load.Keyed:
		r.class = classToken
	}
	r.trace = fmt.Sprintf("%016x", rng.Uint64())
	if r.class == classToken {
		r.key = fmt.Sprintf("%032x", rng.Uint64())
	}
	r.deadline = time.Now().Add(d.Load.Deadline.Duration)
	if rng.Float64() < d.Load.Leave {
		r.leave = time.Now().Add(time.Duration(rng.Float64() * float64(maxLeaveDelay)))
	}
	return r
}

// maxLeaveDelay is the time within which a client that leaves early does so.
const maxLeaveDelay = 100 * time.Millisecond

// send makes a request of a node, or, where that does not accept it, of the next one that does.
func (d *Driver) send(node int, r *clientRequest) Outcome {
	o := Outcome{Trace: r.trace, Class: r.class, Sent: time.Now().UnixNano(), Wait: int64(d.Load.Deadline.Duration)}
	for i := range d.Nodes {
		o.Node = (node + i) % len(d.Nodes)
		if d.Nodes[o.Node].send(r, &o) {
			return o
		}
	}
	o.Kind = kindUnconnected
	return o
}

func (d *Driver) playImproperPeer(node int) {
	heard, ok := d.Nodes[node].sendImproperRequest(2 * improperPeerTimeout)
	if ok && heard <= improperPeerTimeout+schedulingSlack {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.improper.add(fmt.Sprintf("at node-%d: heard %v after %s", node, ok, heard.Round(time.Millisecond)))
}

// schedulingSlack is what this machine may be late by.
const schedulingSlack = 250 * time.Millisecond

func (d *Driver) record(o Outcome) {
	d.mu.Lock()
	d.outcomes = append(d.outcomes, o)
	d.mu.Unlock()
}

// Outcomes gives what was recorded, and how many requests found the driver full.
func (d *Driver) Outcomes() ([]Outcome, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Outcome(nil), d.outcomes...), d.unsent
}

// Improper is the check on improper peers.
func (d *Driver) Improper() Check {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.improper.done()
}
