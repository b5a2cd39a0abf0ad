package node

import (
	"net/http"
	"sync"
	"time"

	"hitchvale/internal/monotime"
)

// bodyArrival notes when the last byte of a streamed body reaches this machine. The client's time counts from then
// (PROTOCOL, "The rules on sockets"), even if the node has not read the byte because the backend does not take the
// bytes before it. A body without a known connection is noted when it has been read. A bodyArrival is safe for
// concurrent use. The zero value notes nothing.
type bodyArrival struct {
	conn   *clientConn                  // the client's connection; nil if it is not known
	notify func(at time.Time) time.Time // called once, with the time of the arrival; returns the request's deadline

	once       sync.Once
	deadlineAt monotime.Atomic // zero until the arrival is noted
}

// prepareArrival sets up the arrival of a streamed request, before its body is read and the event loop has the request.
// begin counts the request as pending.
func (s *clientServer) prepareArrival(hr *http.Request, r *request, begin func()) {
	arrival := &r.forwarded.upload.arrival
	arrival.conn, _ = clientConnOf(hr.Context())
	arrival.notify = func(at time.Time) time.Time {
		begin()
		deadline := s.shutdown.capDeadline(at.Add(r.forwarded.timeLeft))
		s.loop.post(requestReceived{request: r, deadline: deadline})
		return deadline
	}
}

// note records that the last byte of the body has arrived. Only the first call has an effect.
func (a *bodyArrival) note() {
	a.once.Do(func() {
		if a.notify == nil {
			return
		}
		waited := time.Duration(0)
		if a.conn != nil {
			waited = a.conn.sinceLastByte()
		}
		a.deadlineAt.Store(monotime.At(a.notify(time.Now().Add(-waited))))
	})
}

// check notes the arrival if the last byte has arrived. The node may not have read it.
func (a *bodyArrival) check() {
	if a.conn != nil && a.deadlineAt.Load().IsZero() && a.conn.bodyReceived() {
		a.note()
	}
}

// deadline returns the request's deadline; zero until the arrival is noted.
func (a *bodyArrival) deadline() time.Time {
	if at := a.deadlineAt.Load(); !at.IsZero() {
		return at.Time()
	}
	return time.Time{}
}

// remaining returns how long the client still waits: timeLeft, which is all of its time, until the arrival is noted.
func (a *bodyArrival) remaining(timeLeft time.Duration) time.Duration {
	if deadline := a.deadline(); !deadline.IsZero() {
		return max(time.Until(deadline), 0)
	}
	return timeLeft
}
