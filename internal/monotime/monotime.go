// Package monotime is the clock for spans of time: deadlines, windows, waits and graces. It follows the monotonic clock
// alone, which a step of the wall clock does not touch, and its type cannot be mixed with a wall time.
//
// A time.Time holds a monotonic reading too, but loses it where it is turned into a number: time.Unix(0, t.UnixNano())
// is a wall time. An Instant is a number to begin with, so it can be kept in an atomic.
package monotime

import (
	"sync/atomic"
	"time"
)

// origin is where instants are counted from. It carries a monotonic reading.
var origin = time.Now()

// Instant is a point on the monotonic clock of this process. The zero value is no point at all. Instants of two
// processes tell nothing of each other.
type Instant int64

// Now is the present instant.
func Now() Instant { return At(time.Now()) }

// At is the instant of a time that was read with time.Now in this process, or derived from one with Add.
func At(t time.Time) Instant { return Instant(t.Sub(origin)) + 1 }

// IsZero tells whether this is no instant.
func (i Instant) IsZero() bool { return i == 0 }

// Add returns the instant so much later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Time returns the instant as a time.Time with a monotonic reading, for what waits until one: deadlines of connections
// and contexts. Its wall part means nothing.
func (i Instant) Time() time.Time { return origin.Add(time.Duration(i - 1)) }

// Atomic is an Instant that several goroutines use. The zero value holds the zero Instant.
type Atomic struct{ value atomic.Int64 }

// Load returns the instant.
func (a *Atomic) Load() Instant { return Instant(a.value.Load()) }

// Store sets the instant.
func (a *Atomic) Store(i Instant) { a.value.Store(int64(i)) }
