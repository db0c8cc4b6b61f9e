package snipelimit

import (
	"errors"
	"slices"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// maxReservations bounds the callers that wait at one bucket.
const maxReservations = 256

// Reservation is an entry in the queue of callers that wait for tokens of a
// bucket. It holds no tokens: they are spent when the request is dispatched.
type Reservation struct {
	bucket  *Bucket
	amount  float64
	expires snipetime.Instant
}

// Reserve spends amount at once or, if the estimated wait is at most maxWait,
// returns a reservation, which expires after maxWait. A caller that arrives later
// cannot spend before it. The reservation is nil if the amount was spent.
// Reserve fails as Spend does, and with ErrCapReached if 256 callers wait
// already; it then returns an estimate of the wait. An amount that has to wait
// counts as unmet demand, for which the ledger borrows.
//
// The burst of a small cap is a single request. Without waiting, callers that
// arrive at random would be refused while the mean rate is far below the cap.
func (b *Bucket) Reserve(now snipetime.Instant, amount float64, maxWait time.Duration) (*Reservation, time.Duration, error) {
	wait, err := b.Spend(now, amount)
	if !errors.Is(err, ErrCapReached) || wait > maxWait {
		return nil, wait, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.reservations) >= maxReservations {
		return nil, wait, err
	}
	r := &Reservation{bucket: b, amount: amount, expires: now.Add(maxWait)}
	b.reservations = append(b.reservations, r)
	return r, wait, nil
}

// Spend deducts the amount if the instance has a valid lease or loan at now and
// the tokens suffice for all earlier reservations and this one. If they do not
// suffice yet, it returns an estimate of the remaining wait and no error. It
// fails with a RefusalError once the instance has no usable units or the
// reservation has expired; the reservation has ended then.
func (r *Reservation) Spend(now snipetime.Instant) (time.Duration, error) {
	b := r.bucket
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.removeExpired(now)
	index := slices.Index(b.reservations, r)
	switch {
	case index < 0:
		return b.waitForTokens(r.required()), ErrCapReached
	case b.usable == 0:
		b.reservations = slices.Delete(b.reservations, index, index+1)
		return defaultWait, b.noUnitsReason()
	}
	required := r.required() + b.reservedTokens(index)
	if b.tokens+roundingTolerance < required || b.rate == 0 {
		return b.waitForTokens(required), nil
	}
	b.reservations = slices.Delete(b.reservations, index, index+1)
	b.deduct(r.amount)
	return 0, nil
}

// Cancel ends a reservation that has not been spent.
func (r *Reservation) Cancel() {
	b := r.bucket
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reservations = slices.DeleteFunc(b.reservations, func(w *Reservation) bool { return w == r })
}

// required returns the tokens that the bucket must have to admit the amount.
func (r *Reservation) required() float64 { return min(r.amount, r.bucket.burst) }

// removeExpired removes expired reservations, so that a caller that does not
// call Spend again blocks no other.
func (b *Bucket) removeExpired(now snipetime.Instant) {
	b.reservations = slices.DeleteFunc(b.reservations, func(r *Reservation) bool { return now.After(r.expires) })
}

// reservedTokens returns the tokens that the first n reservations require.
func (b *Bucket) reservedTokens(n int) float64 {
	total := 0.0
	for _, r := range b.reservations[:n] {
		total += r.required()
	}
	return total
}
