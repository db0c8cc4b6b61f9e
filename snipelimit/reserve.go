package snipelimit

import (
	"errors"
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// maximumReservations bounds the callers that wait at one bucket.
const maximumReservations = 256

// Reservation is a place in the order of the callers that wait for tokens of a
// bucket. It holds no tokens: they are spent when the request is dispatched.
type Reservation struct {
	bucket *Bucket
	amount float64
	until  snipetime.Instant
}

// Reserve spends amount at once or, if the expected wait is at most patience,
// returns a reservation. A caller that arrives later cannot spend before it. The
// reservation is nil if the amount was spent. It fails as Spend does, also if
// too many callers wait, and then returns an estimate of the wait. An amount
// that has to wait counts as unmet demand, for which the ledger borrows.
//
// The burst of a small cap is a single request. Without waiting, callers that
// arrive at random would be refused while the mean rate is far below the cap.
func (b *Bucket) Reserve(now snipetime.Instant, amount float64, patience time.Duration) (*Reservation, time.Duration, error) {
	wait, err := b.Spend(now, amount)
	if !errors.Is(err, ErrCapReached) || wait > patience {
		return nil, wait, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) >= maximumReservations {
		return nil, wait, err
	}
	r := &Reservation{bucket: b, amount: amount, until: now.Add(patience)}
	b.waiting = append(b.waiting, r)
	return r, wait, nil
}

// Spend takes the amount if the instance has a valid lease or loan at now and
// the tokens suffice for all earlier reservations and this one. If the wait is
// not over it returns the rest of it and no error. It fails once the lease or
// the caller's patience has ended; the reservation has ended then.
func (r *Reservation) Spend(now snipetime.Instant) (time.Duration, error) {
	b := r.bucket
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.forgetWaiting(now)
	at := slices.Index(b.waiting, r)
	switch {
	case at < 0:
		return b.waitFor(r.need()), ErrCapReached
	case b.usable == 0:
		b.waiting = slices.Delete(b.waiting, at, at+1)
		return idleWait, b.idleReason()
	}
	need := r.need() + b.reserved(at)
	if b.tokens+slack < need || b.rate == 0 {
		return b.waitFor(need), nil
	}
	b.waiting = slices.Delete(b.waiting, at, at+1)
	b.take(r.amount)
	return 0, nil
}

// Cancel ends a reservation that has not been spent.
func (r *Reservation) Cancel() {
	b := r.bucket
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = slices.DeleteFunc(b.waiting, func(w *Reservation) bool { return w == r })
}

func (r *Reservation) need() float64 { return min(r.amount, r.bucket.burst) }

// forgetWaiting removes the reservations whose patience has ended, so that a
// caller that does not come back blocks no other.
func (b *Bucket) forgetWaiting(now snipetime.Instant) {
	b.waiting = slices.DeleteFunc(b.waiting, func(r *Reservation) bool { return now.After(r.until) })
}

// reserved returns what the first n reservations need.
func (b *Bucket) reserved(n int) float64 {
	total := 0.0
	for _, r := range b.waiting[:n] {
		total += r.need()
	}
	return total
}
