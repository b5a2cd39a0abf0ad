// Package monotime provides points in time for measuring durations, such as deadlines, windows, waits and grace
// periods. It uses the monotonic clock only, so a step of the wall clock has no effect. Its type can't be mixed with a
// wall time.
//
// A time.Time has a monotonic reading too, but loses it when it is converted to a number: time.Unix(0, t.UnixNano()) is
// a wall time. An Instant is a number, so it can be stored in an atomic without a conversion.
package monotime

import (
	"sync/atomic"
	"time"
)

// origin is the time from which instants are counted. It has a monotonic reading.
var origin = time.Now()

// Instant is a point in time on the monotonic clock of this process, in nanoseconds. The zero value is not a point in
// time and stands for "not set". Instants of different processes can't be compared.
type Instant int64

// Now returns the current instant.
func Now() Instant { return At(time.Now()) }

// At returns the instant of t. The time must come from time.Now in this process, or be derived from such a time with
// Add.
func At(t time.Time) Instant { return Instant(t.Sub(origin)) + 1 }

// IsZero reports whether i is the zero value.
func (i Instant) IsZero() bool { return i == 0 }

// Add returns the instant that is d later than i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Time returns the instant as a time.Time with a monotonic reading, for the deadlines of connections and contexts. Its
// wall clock reading must not be used.
func (i Instant) Time() time.Time { return origin.Add(time.Duration(i - 1)) }

// Atomic is an Instant that may be used by several goroutines. The zero value holds the zero Instant.
type Atomic struct{ value atomic.Int64 }

// Load returns the stored instant.
func (a *Atomic) Load() Instant { return Instant(a.value.Load()) }

// Store stores an instant.
func (a *Atomic) Store(i Instant) { a.value.Store(int64(i)) }
