package snipesync

import (
	"sync/atomic"
	"time"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipetime"
)

// revocationShare is the fraction of the time within which keys are revoked that the
// confirmation of the configuration may be old. The rest is a margin, because the store
// can withhold changes from a watch for about a second.
const revocationShare = 0.8

// Revocation tells whether the table in force contains all revocations of keys that have
// to be in force. It is safe for concurrent use.
type Revocation struct {
	// maxAge is the greatest age of a confirmation, or 0 if revocation is not strict.
	maxAge atomic.Int64
	// latest is the latest confirmation of the table in force, or nil before the first.
	latest atomic.Pointer[tableConfirmation]
	// confirmed is closed at the first confirmation.
	confirmed chan struct{}
}

// tableConfirmation is a confirmation of the table in force: the begin of the store call
// and the source through which this front knows of it.
type tableConfirmation struct {
	began  snipetime.Instant
	source string
}

// NewRevocation returns a Revocation without a confirmation. bound is the time within
// which keys have to be revoked, or 0 if revocation is not strict.
func NewRevocation(bound time.Duration) *Revocation {
	r := &Revocation{confirmed: make(chan struct{})}
	r.SetBound(bound)
	return r
}

// SetBound changes the time within which keys have to be revoked. 0 means that
// revocation is not strict.
func (r *Revocation) SetBound(bound time.Duration) {
	maxAge := int64(revocationShare * float64(bound))
	if bound > 0 {
		maxAge = max(maxAge, 1) // 0 would mean that revocation is not strict
	}
	r.maxAge.Store(maxAge)
}

// Strict reports whether revocation is strict.
func (r *Revocation) Strict() bool { return r.maxAge.Load() > 0 }

// Recent implements snipegate.Revocation. It holds always if revocation is not strict,
// and otherwise never before the first confirmation.
func (r *Revocation) Recent(now snipetime.Instant) bool {
	maxAge := r.maxAge.Load()
	if maxAge <= 0 {
		return true
	}
	latest := r.latest.Load()
	return latest != nil && now.Sub(latest.began) <= time.Duration(maxAge)
}

// Age returns the age of the latest confirmation and the source through which it came,
// which is empty before the first one. known is false before the first one.
func (r *Revocation) Age(now snipetime.Instant) (age time.Duration, source string, known bool) {
	latest := r.latest.Load()
	if latest == nil {
		return 0, "", false
	}
	return now.Sub(latest.began), latest.source, true
}

// Confirmed returns a channel that is closed at the first confirmation of a table in force.
func (r *Revocation) Confirmed() <-chan struct{} { return r.confirmed }

// confirm records a confirmation of the table in force unless a later one is known. The
// table must be in force already. Only the follower calls it, from one goroutine.
func (r *Revocation) confirm(c snipefeed.Confirmation, source string) {
	began, known := c.At()
	latest := r.latest.Load()
	if !known || latest != nil && !began.After(latest.began) {
		return
	}
	r.latest.Store(&tableConfirmation{began: began, source: source})
	if latest == nil {
		close(r.confirmed)
	}
}
