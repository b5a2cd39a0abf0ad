package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// driverStream is the random stream of the driver. It keeps the driver's draws independent of other draws from the
	// same seed.
	driverStream = 3
	// responseGrace is how long after its deadline a client still waits for its final response (FLEET).
	responseGrace = 500 * time.Millisecond
	// maxDisconnectDelay is the longest time from drawing a request until its client disconnects early.
	maxDisconnectDelay = 100 * time.Millisecond
	// maxInFlight bounds the driver's requests in flight. A request above the bound is not sent, and counts as unsent.
	maxInFlight = 2048
	// stalledClientInterval is the interval, in requests, at which a stalled client replaces a request, if the load has
	// stalled clients.
	stalledClientInterval = 100
)

// Driver sends the scenario's load to the nodes, at the scenario's rate, and records every outcome. The caller sets the
// exported fields before Run.
type Driver struct {
	Load  Load
	Nodes []*client // the clients of each node
	Seed  uint64
	Stop  <-chan struct{} // closed to stop sending; nil: the driver is not stopped this way

	mu           sync.Mutex
	outcomes     []Outcome
	unsent       int
	stalledCheck Check
}

// Run sends requests until the load's count or the duration is reached, Stop is closed or ctx ends. It then waits until
// the requests in flight have their outcomes.
func (driver *Driver) Run(ctx context.Context, duration time.Duration) {
	rng := rand.New(rand.NewPCG(driver.Seed, driverStream))
	driver.stalledCheck.Name = "improper peers hear an error or a close in time"
	defer driver.closeClients()
	inFlight := make(chan struct{}, maxInFlight)
	var requests sync.WaitGroup
	defer requests.Wait()
	interval := time.Duration(float64(time.Second) / driver.Load.Rate)
	start := time.Now()
	for i := 0; i < driver.Load.Count; i++ {
		next := start.Add(time.Duration(i) * interval)
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
		request := driver.draw(rng)
		select {
		case inFlight <- struct{}{}:
		default:
			driver.countUnsent()
			continue
		}
		send := driver.drawSender(rng, i, node, request)
		requests.Go(func() {
			defer func() { <-inFlight }()
			send(ctx)
		})
	}
}

// closeClients closes the clients' idle connections.
func (driver *Driver) closeClients() {
	for _, client := range driver.Nodes {
		client.close()
	}
}

// drawSender draws how the i-th request is sent to a node and returns the function that sends it. The request is sent
// as soon as its client connects, after a delay, or not at all because a stalled client takes its place.
func (driver *Driver) drawSender(rng *rand.Rand, i, node int, request *clientRequest) func(context.Context) {
	var delay requestDelay
	if driver.Load.DelayedRequestShare+driver.Load.SplitRequestShare+driver.Load.SlowBodyShare > 0 {
		delay = driver.Load.drawRequestDelay(rng)
	}
	if delay.initial == initialSlowBody {
		request.body = drawSlowBody(rng)
	}
	if share := driver.Load.LongBodyShare; share > 0 && delay.initial == "" && rng.Float64() < share {
		request.body = drawLongBody(rng)
	}
	switch {
	case driver.Load.StalledClients && i%stalledClientInterval == stalledClientInterval/2:
		return func(context.Context) { driver.runStalledClient(node) }
	case delay.initial != "":
		return func(ctx context.Context) { driver.record(driver.sendDelayed(ctx, node, request, delay)) }
	}
	return func(context.Context) { driver.record(driver.send(node, request)) }
}

// draw draws a request: its class, its trace id, its key, and whether and when its client disconnects.
func (driver *Driver) draw(rng *rand.Rand) *clientRequest {
	request := &clientRequest{class: classRead}
	switch x := rng.Float64(); {
	case x < driver.Load.UnsafeShare:
		request.class = classClaim
	case x < driver.Load.UnsafeShare+driver.Load.KeyedShare:
		request.class = classToken
	}
	request.trace = fmt.Sprintf("%016x", rng.Uint64())
	if request.class == classToken {
		request.key = fmt.Sprintf("%032x", rng.Uint64())
	}
	request.timeout = driver.Load.Deadline.Duration
	request.deadline = time.Now().Add(request.timeout)
	if rng.Float64() < driver.Load.DisconnectShare {
		delay := time.Duration(rng.Float64() * float64(maxDisconnectDelay))
		request.disconnectAt = time.Now().Add(delay)
	}
	return request
}

// send sends a request to a node. If the node accepts no connection, it tries the other nodes in order.
func (driver *Driver) send(node int, request *clientRequest) Outcome {
	outcome := Outcome{Trace: request.trace, Class: request.class, SentAt: time.Now().UnixNano(),
		ClientTimeout: int64(driver.Load.Deadline.Duration)}
	for i := range driver.Nodes {
		outcome.Node = (node + i) % len(driver.Nodes)
		if driver.Nodes[outcome.Node].send(request, &outcome) {
			return outcome
		}
	}
	outcome.Kind = kindUnconnected
	return outcome
}

func (driver *Driver) countUnsent() {
	driver.mu.Lock()
	driver.unsent++
	driver.mu.Unlock()
}

func (driver *Driver) record(outcome Outcome) {
	driver.mu.Lock()
	driver.outcomes = append(driver.outcomes, outcome)
	driver.mu.Unlock()
}

// Outcomes returns the recorded outcomes, and how many requests were not sent because too many were in flight.
func (driver *Driver) Outcomes() (outcomes []Outcome, unsent int) {
	driver.mu.Lock()
	defer driver.mu.Unlock()
	return slices.Clone(driver.outcomes), driver.unsent
}
