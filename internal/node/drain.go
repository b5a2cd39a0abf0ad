package node

import (
	"context"
	"time"
)

// drainIdleTime is how long nothing may be in flight before a drain closes connections that never had a request: their
// clients have no more than connected, and may still send one.
const drainIdleTime = 300 * time.Millisecond

// drain closes connections as they become idle, until none is left. Those that never had a request are closed when
// nothing was in flight for drainIdleTime, or when requests are not admitted any more; incomplete requests are rejected
// when the last responses are due. It returns early when ctx ends, or when only clients are left that do not close.
func (s *clientServer) drain(ctx context.Context) {
	for still := time.Duration(0); s.conns.open() > 0 && ctx.Err() == nil; still += shutdownPollInterval {
		s.conns.closeIdle(0, closedDraining)
		if s.handedOver.Load() || s.conns.busy() > 0 {
			// After a hand-over nobody new connects here, and a client that has connected may still send a request.
			still = 0
		}
		if still >= drainIdleTime || !s.shutdown.admits() {
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
