package snipetime

import "time"

// Instant is a point in time, in nanoseconds since the creation of the Service of the
// process or since an origin that a test chooses. Instants of different clocks cannot
// be compared.
type Instant int64

// Add returns the instant d after t.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the duration from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Instant) Before(u Instant) bool { return t < u }

// After reports whether t is later than u.
func (t Instant) After(u Instant) bool { return t > u }
