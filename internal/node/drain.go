package node

import (
	"context"
	"time"
)

// drainIdleTime is how long no request must have been in flight before a drain closes connections that never had a
// request. Their clients have only connected so far, and may still send a request.
const drainIdleTime = 300 * time.Millisecond

// drain closes the connections of clients as they become idle, and returns when none is left. Connections that never
// had a request are closed when no request was in flight for drainIdleTime, or when requests are no longer admitted.
// Incomplete requests are rejected when the last responses are due. drain returns early when ctx ends, or when no
// request is in flight and the clients do not close the remaining connections.
func (s *clientServer) drain(ctx context.Context) {
	for idle := time.Duration(0); s.conns.open() > 0 && ctx.Err() == nil; idle += shutdownPollInterval {
		s.conns.closeIdle(0, closedDraining)
		if s.handedOver.Load() || s.conns.busy() > 0 {
			// After a hand-over no client connects to this process, but connected clients may still send a request.
			idle = 0
		}
		if idle >= drainIdleTime || !s.shutdown.admits() {
			s.conns.closeWithoutRequest()
			if s.conns.busy() == 0 {
				return
			}
		}
		if s.shutdown.responsesDue() {
			s.conns.rejectIncomplete()
		}
		if s.shutdown.exitDue() && s.inFlight.Load() == 0 {
			return
		}
		pause(ctx, shutdownPollInterval)
	}
}
