package balance_test

import (
	"container/heap"
	"fmt"
	"time"

	"hitchvale/balance"
)

// scheduledEvent is an event and the time at which it happens.
type scheduledEvent struct {
	at time.Duration
	ev balance.Event
}

// eventQueue is a heap of events ordered by time. It simulates the clock and the network of a node.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// This example is a small node with one class of requests and two endpoints. The second endpoint answers every request
// with an error.
func Example() {
	cfg := balance.Config{
		Classes: []balance.Class{{
			LatencyObjective: 300 * time.Millisecond,
			Deadline:         time.Second,
			Repeatability:    balance.Idempotent,
			PriorityWeight:   1,
		}},
		Limits: balance.Limits{MaxAttempts: 2},
		Rules: balance.Rules{
			OverloadWindow:    time.Second,
			SlowStartFraction: 0.2,
			SlowStartDuration: 10 * time.Second,
			OverloadMultiple:  3,
		},
	}
	b, err := balance.New(cfg, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	var events eventQueue
	heap.Push(&events, scheduledEvent{0, balance.EndpointsListed{Kind: balance.CachedList, Endpoints: []balance.Endpoint{
		{ID: 1, Weight: 1}, {ID: 2, Weight: 1}}}})
	for i := range 200 {
		heap.Push(&events, scheduledEvent{time.Duration(i+1) * 10 * time.Millisecond, balance.RequestArrived{
			Request: fmt.Sprint("request ", i), TimeLeft: time.Second}})
	}
	answered, attempts := 0, map[balance.EndpointID]int{}
	finished := map[string]bool{}
	var actions []balance.Action
	for events.Len() > 0 {
		next := heap.Pop(&events).(scheduledEvent)
		now := next.at
		if ended, ok := next.ev.(balance.AttemptEnded); ok {
			if ended.Status == balance.StatusSucceeded {
				answered++ // the node forwards the answer to its client
				finished[ended.Request] = true
			}
			ended.Final = finished[ended.Request]
			next.ev = ended
		}
		actions = b.Handle(now, next.ev, actions[:0])
		for _, a := range actions {
			switch a.Kind {
			case balance.Forward:
				attempts[a.Endpoint]++
				out := balance.AttemptEnded{Request: a.Request, Attempt: a.Attempt, Endpoint: a.Endpoint,
					Elapsed: 20 * time.Millisecond}
				if a.Endpoint == 2 {
					out.Status = balance.StatusApplicationError
				}
				heap.Push(&events, scheduledEvent{now + out.Elapsed, out})
			case balance.SetTimer:
				heap.Push(&events, scheduledEvent{now + a.Delay, balance.TimerFired{ID: a.TimerID}})
			case balance.Reject, balance.Fail:
				finished[a.Request] = true // the node answers its client
			}
		}
	}
	fmt.Println("more than 190 of 200 answered:", answered > 190)
	fmt.Println("the failing endpoint got little:", attempts[2] < 20)
	// Output:
	// more than 190 of 200 answered: true
	// the failing endpoint got little: true
}
