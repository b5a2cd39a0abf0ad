package node

import "sync/atomic"

// requestState is where a request stands on the event loop, which alone reads and changes it.
type requestState uint8

const (
	// requestOpen: the request has no final response yet; attempts may be started for it.
	requestOpen requestState = iota
	// requestResponded: the final response has been given; attempts may still be in flight.
	requestResponded
	// requestDisconnected: the client closed its connection before the final response; attempts may still be in flight.
	requestDisconnected
	// requestReleased: the request is over, and none of its attempts is in flight; the loop's table no longer has it.
	requestReleased
	requestStates
)

var requestStateNames = [requestStates]string{"open", "responded", "disconnected", "released"}

func (s requestState) String() string { return requestStateNames[s] }

// requestEvent is what changes the state of a request.
type requestEvent uint8

const (
	// finalResponseGiven: the client side has been given the one final response.
	finalResponseGiven requestEvent = iota
	// clientClosed: the client's connection was closed.
	clientClosed
	// noAttemptInFlight: no attempt of the request is in flight now.
	noAttemptInFlight
	requestEvents
)

var requestEventNames = [requestEvents]string{"final response given", "client closed", "no attempt in flight"}

func (e requestEvent) String() string { return requestEventNames[e] }

// next returns the state that follows from an event. It returns false where the event changes nothing: a request has
// one final response, or none if its client left first, and is released once.
func (s requestState) next(event requestEvent) (requestState, bool) {
	switch {
	case s == requestOpen && event == finalResponseGiven:
		return requestResponded, true
	case s == requestOpen && event == clientClosed:
		return requestDisconnected, true
	case (s == requestResponded || s == requestDisconnected) && event == noAttemptInFlight:
		return requestReleased, true
	}
	return s, false
}

// attemptState is where an attempt stands.
type attemptState uint32

const (
	// attemptQueued: no byte of the request has been written; the attempt may wait for a connection.
	attemptQueued attemptState = iota
	// attemptWriting: bytes of the request may have been written, and from the last one on the backend may run it.
	attemptWriting
	// attemptCancelled: the attempt was cancelled before its first byte, which will never be written.
	attemptCancelled
	// attemptEnded: the event loop has recorded the result; what comes later is dropped.
	attemptEnded
	attemptStates
)

var attemptStateNames = [attemptStates]string{"queued", "writing", "cancelled", "ended"}

func (s attemptState) String() string { return attemptStateNames[s] }

// attemptEvent is what changes the state of an attempt.
type attemptEvent uint8

const (
	// writeStarting: the attempt has a connection and is about to write.
	writeStarting attemptEvent = iota
	// cancelledBeforeWrite: the event loop cancels the attempt if nothing of it has been written.
	cancelledBeforeWrite
	// resultRecorded: the event loop has the result of the attempt.
	resultRecorded
	attemptEvents
)

var attemptEventNames = [attemptEvents]string{"write starting", "cancelled before write", "result recorded"}

func (e attemptEvent) String() string { return attemptEventNames[e] }

// next returns the state that follows from an event. It returns false where the event must not happen any more: a
// cancelled attempt never writes, one that writes can't be cancelled, and a result is recorded once.
func (s attemptState) next(event attemptEvent) (attemptState, bool) {
	switch {
	case s == attemptQueued && event == writeStarting:
		return attemptWriting, true
	case s == attemptQueued && event == cancelledBeforeWrite:
		return attemptCancelled, true
	case s != attemptEnded && event == resultRecorded:
		return attemptEnded, true
	}
	return s, false
}

// attemptLifecycle holds the state of an attempt. The event loop and the goroutine of the attempt change it at the
// same time; its zero value is attemptQueued.
type attemptLifecycle struct{ state atomic.Uint32 }

func (a *attemptLifecycle) current() attemptState { return attemptState(a.state.Load()) }

// apply makes the transition of an event, and returns false if there is none from the current state.
func (a *attemptLifecycle) apply(event attemptEvent) bool {
	for {
		from := a.current()
		to, ok := from.next(event)
		if !ok {
			return false
		}
		if a.state.CompareAndSwap(uint32(from), uint32(to)) {
			return true
		}
	}
}
