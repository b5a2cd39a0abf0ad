package node

import "sync/atomic"

// requestState is the state of a request. Only the event loop reads and changes it.
type requestState uint8

const (
	// requestOpen: the request has no final response yet; attempts may be started for it.
	requestOpen requestState = iota
	// requestResponded: the final response has been given; attempts may still be in flight.
	requestResponded
	// requestDisconnected: the client closed its connection before the final response; attempts may still be in flight.
	requestDisconnected
	// requestReleased: the request is over and none of its attempts is in flight; it is no longer in the loop's table.
	requestReleased
	// requestStates is the number of states.
	requestStates
)

var requestStateNames = [requestStates]string{"open", "responded", "disconnected", "released"}

func (s requestState) String() string { return requestStateNames[s] }

// requestEvent is an event that may change the state of a request.
type requestEvent uint8

const (
	// finalResponseGiven: the event loop has passed the final response to the goroutine that serves the client.
	finalResponseGiven requestEvent = iota
	// clientClosed: the client closed its connection.
	clientClosed
	// noAttemptInFlight: no attempt of the request is in flight now.
	noAttemptInFlight
	// requestEvents is the number of events.
	requestEvents
)

var requestEventNames = [requestEvents]string{"final response given", "client closed", "no attempt in flight"}

func (e requestEvent) String() string { return requestEventNames[e] }

// next returns the state after an event. It returns the same state and false if the event changes nothing: a request
// gets one final response, or none if its client closed the connection first, and it is released once.
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

// attemptState is the state of an attempt.
type attemptState uint32

const (
	// attemptQueued: no byte of the request has been written; the attempt may wait for a connection.
	attemptQueued attemptState = iota
	// attemptWriting: bytes of the request may have been written, but not the last one; the backend cannot execute it.
	attemptWriting
	// attemptDelivered: the last byte of the request may have been written; the backend may execute it.
	attemptDelivered
	// attemptCancelled: the attempt was cancelled before its last byte, which will not be written.
	attemptCancelled
	// attemptEnded: the event loop has recorded the result; it ignores any later result.
	attemptEnded
	// attemptStates is the number of states.
	attemptStates
)

var attemptStateNames = [attemptStates]string{"queued", "writing", "delivered", "cancelled", "ended"}

func (s attemptState) String() string { return attemptStateNames[s] }

// attemptEvent is an event that may change the state of an attempt.
type attemptEvent uint8

const (
	// writeStarting: the attempt has a connection and is about to write its first byte.
	writeStarting attemptEvent = iota
	// lastByteStarting: the attempt is about to write the last byte of the request.
	lastByteStarting
	// cancelledBeforeWrite: the event loop cancels an attempt of which nothing has been written.
	cancelledBeforeWrite
	// cancelledBeforeLastByte: the event loop cancels an attempt whose last byte has not been written.
	cancelledBeforeLastByte
	// resultRecorded: the event loop has the result of the attempt.
	resultRecorded
	// attemptEvents is the number of events.
	attemptEvents
)

var attemptEventNames = [attemptEvents]string{"write starting", "last byte starting", "cancelled before write",
	"cancelled before last byte", "result recorded"}

func (e attemptEvent) String() string { return attemptEventNames[e] }

// next returns the state after an event. It returns the same state and false if the event is no longer allowed: a
// cancelled attempt never writes its last byte, an attempt that has begun to write its last byte never becomes
// attemptCancelled, and a result is recorded once.
func (s attemptState) next(event attemptEvent) (attemptState, bool) {
	switch {
	case s == attemptQueued && event == writeStarting:
		return attemptWriting, true
	case s == attemptWriting && event == lastByteStarting:
		return attemptDelivered, true
	case s == attemptQueued && event == cancelledBeforeWrite:
		return attemptCancelled, true
	case (s == attemptQueued || s == attemptWriting) && event == cancelledBeforeLastByte:
		return attemptCancelled, true
	case s != attemptEnded && event == resultRecorded:
		return attemptEnded, true
	}
	return s, false
}

// attemptLifecycle holds the state of an attempt. It is safe for concurrent use by the event loop and the goroutine of
// the attempt. The zero value is attemptQueued.
type attemptLifecycle struct{ state atomic.Uint32 }

func (a *attemptLifecycle) current() attemptState { return attemptState(a.state.Load()) }

// apply changes the state according to an event. It returns false if the current state has no transition for the event.
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
