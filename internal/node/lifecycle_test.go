package node

import (
	"sync"
	"sync/atomic"
	"testing"
)

// Every state and event of a request has its transition here, or none.
func TestRequestTransitions(t *testing.T) {
	type transition struct {
		from  requestState
		event requestEvent
	}
	allowed := map[transition]requestState{
		{requestOpen, finalResponseGiven}:        requestResponded,
		{requestOpen, clientClosed}:              requestDisconnected,
		{requestResponded, noAttemptInFlight}:    requestReleased,
		{requestDisconnected, noAttemptInFlight}: requestReleased,
	}
	for from := range requestStates {
		for event := range requestEvents {
			want, exists := allowed[transition{from, event}]
			if !exists {
				want = from
			}
			if to, ok := from.next(event); to != want || ok != exists {
				t.Errorf("%v, %v: %v %v, want %v %v", from, event, to, ok, want, exists)
			}
		}
	}
}

// Every state and event of an attempt has its transition here, or none.
func TestAttemptTransitions(t *testing.T) {
	type transition struct {
		from  attemptState
		event attemptEvent
	}
	allowed := map[transition]attemptState{
		{attemptQueued, writeStarting}:        attemptWriting,
		{attemptQueued, cancelledBeforeWrite}: attemptCancelled,
		{attemptQueued, resultRecorded}:       attemptEnded,
		{attemptWriting, resultRecorded}:      attemptEnded,
		{attemptCancelled, resultRecorded}:    attemptEnded,
	}
	for from := range attemptStates {
		for event := range attemptEvents {
			want, exists := allowed[transition{from, event}]
			if !exists {
				want = from
			}
			if to, ok := from.next(event); to != want || ok != exists {
				t.Errorf("%v, %v: %v %v, want %v %v", from, event, to, ok, want, exists)
			}
			var lifecycle attemptLifecycle
			lifecycle.state.Store(uint32(from))
			if ok := lifecycle.apply(event); lifecycle.current() != want || ok != exists {
				t.Errorf("%v, %v applied: %v %v, want %v %v", from, event, lifecycle.current(), ok, want, exists)
			}
		}
	}
}

// Of the goroutine that is about to write and the event loop that cancels, one wins.
func TestAttemptIsEitherWrittenOrCancelled(t *testing.T) {
	for range 1000 {
		var lifecycle attemptLifecycle
		var won atomic.Int32
		var wg sync.WaitGroup
		for _, event := range []attemptEvent{writeStarting, cancelledBeforeWrite} {
			wg.Go(func() {
				if lifecycle.apply(event) {
					won.Add(1)
				}
			})
		}
		wg.Wait()
		if won.Load() != 1 {
			t.Fatalf("%d transitions from queued, want one; now %v", won.Load(), lifecycle.current())
		}
	}
}
