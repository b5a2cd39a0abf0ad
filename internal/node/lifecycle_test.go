package node

import (
	"sync"
	"sync/atomic"
	"testing"
)

// For every state and event of a request, only the transitions listed here exist.
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
				t.Errorf("state %v, event %v: got %v %v, want %v %v", from, event, to, ok, want, exists)
			}
		}
	}
}

// For every state and event of an attempt, only the transitions listed here exist.
func TestAttemptTransitions(t *testing.T) {
	type transition struct {
		from  attemptState
		event attemptEvent
	}
	allowed := map[transition]attemptState{
		{attemptQueued, writeStarting}:            attemptWriting,
		{attemptQueued, cancelledBeforeWrite}:     attemptCancelled,
		{attemptQueued, cancelledBeforeLastByte}:  attemptCancelled,
		{attemptQueued, resultRecorded}:           attemptEnded,
		{attemptWriting, lastByteStarting}:        attemptDelivered,
		{attemptWriting, cancelledBeforeLastByte}: attemptCancelled,
		{attemptWriting, resultRecorded}:          attemptEnded,
		{attemptDelivered, resultRecorded}:        attemptEnded,
		{attemptCancelled, resultRecorded}:        attemptEnded,
	}
	for from := range attemptStates {
		for event := range attemptEvents {
			want, exists := allowed[transition{from, event}]
			if !exists {
				want = from
			}
			if to, ok := from.next(event); to != want || ok != exists {
				t.Errorf("state %v, event %v: got %v %v, want %v %v", from, event, to, ok, want, exists)
			}
			var lifecycle attemptLifecycle
			lifecycle.state.Store(uint32(from))
			if ok := lifecycle.apply(event); lifecycle.current() != want || ok != exists {
				t.Errorf("apply in state %v, event %v: got %v %v, want %v %v",
					from, event, lifecycle.current(), ok, want, exists)
			}
		}
	}
}

// If the goroutine of an attempt starts to write while the event loop cancels the attempt, exactly one of them
// succeeds.
func TestAttemptIsEitherWrittenOrCancelled(t *testing.T) {
	for range 1000 {
		var lifecycle attemptLifecycle
		var transitions atomic.Int32
		var wg sync.WaitGroup
		for _, event := range []attemptEvent{writeStarting, cancelledBeforeWrite} {
			wg.Go(func() {
				if lifecycle.apply(event) {
					transitions.Add(1)
				}
			})
		}
		wg.Wait()
		if transitions.Load() != 1 {
			t.Fatalf("%d transitions from queued, want 1; state is now %v", transitions.Load(), lifecycle.current())
		}
	}
}
