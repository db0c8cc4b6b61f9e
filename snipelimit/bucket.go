package snipelimit

import (
	"math"
	"sync"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	never = snipetime.Instant(math.MaxInt64)
	// defaultWait is the estimated wait while the rate of the bucket is 0.
	defaultWait = 100 * time.Millisecond
	// roundingTolerance compensates rounding errors in token arithmetic.
	roundingTolerance = 1e-6
)

// Bucket is the token bucket of one limit. Its methods are safe for concurrent
// use. Instants of concurrent calls may be slightly out of order.
type Bucket struct {
	mu    sync.Mutex
	limit Limit
	units unitAccount
	ramp  ramp

	tokens float64
	last   snipetime.Instant
	// rate, burst, usable and leaseOrLoan apply from last until nextChange.
	rate        float64
	burst       float64
	usable      int
	leaseOrLoan bool
	nextChange  snipetime.Instant

	// spent and refused are the amounts since the last tick of the ledger.
	spent        float64
	refused      float64
	reservations []*Reservation // in the order in which they are served
}

// Spend deducts amount from the bucket if the instance has a valid lease or loan
// at now and the tokens suffice for all reservations and amount. An amount above
// the burst is admitted when the bucket is full. It leaves a debt, which blocks
// later spending until it is refilled. Over a period T a bucket therefore admits
// at most its rate × T plus the larger of its burst and the largest single
// amount. If Spend refuses, it returns an error of type RefusalError and an
// estimate of the time until amount can be spent.
func (b *Bucket) Spend(now snipetime.Instant, amount float64) (time.Duration, error) {
	b.mu.Lock()
	b.advance(now)
	if b.usable == 0 {
		b.refused += amount
		err := b.noUnitsReason()
		b.mu.Unlock()
		return defaultWait, err
	}
	required := min(amount, b.burst)
	if len(b.reservations) > 0 {
		b.removeExpired(now)
		required += b.reservedTokens(len(b.reservations))
	}
	if b.tokens+roundingTolerance < required || b.rate == 0 {
		b.refused += amount
		wait := b.waitForTokens(required)
		b.mu.Unlock()
		return wait, ErrCapReached
	}
	b.deduct(amount)
	b.mu.Unlock()
	return 0, nil
}

func (b *Bucket) deduct(amount float64) {
	b.tokens -= amount
	b.spent += amount
	b.ramp.used += amount
}

// Correct charges the difference between a real amount and the amount that was
// spent as an estimate. A negative difference is refunded, up to the burst.
func (b *Bucket) Correct(now snipetime.Instant, difference float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.tokens = min(b.tokens-difference, b.burst)
	b.spent += difference
	b.ramp.used += difference
}

// Wait estimates how long a caller must wait before it can spend amount; 0 means
// that it can spend now.
func (b *Bucket) Wait(now snipetime.Instant, amount float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.usable == 0 {
		return defaultWait
	}
	return b.waitForTokens(min(amount, b.burst))
}

// Ready reports whether amount can be spent now.
func (b *Bucket) Ready(now snipetime.Instant, amount float64) bool { return b.Wait(now, amount) == 0 }

// noUnitsReason returns why a bucket without usable units refuses.
func (b *Bucket) noUnitsReason() RefusalError {
	if b.leaseOrLoan {
		return ErrCapReached
	}
	return ErrLeaseLapsed
}

// waitForTokens estimates the time until the bucket has the required tokens.
func (b *Bucket) waitForTokens(required float64) time.Duration {
	switch {
	case b.rate == 0:
		return defaultWait
	case b.tokens+roundingTolerance >= required:
		return 0
	}
	return time.Duration(math.Ceil((required - b.tokens) / b.rate * float64(time.Second)))
}

// advance refills the bucket up to now, piecewise between changes of its rate.
func (b *Bucket) advance(now snipetime.Instant) {
	if !now.After(b.last) {
		return
	}
	if b.limit.MaxGrowth > 0 && now.Sub(b.last) > rampResetAfter {
		b.last = now.Add(-rampResetAfter)
		b.ramp = ramp{windowStart: b.last}
		b.recompute()
	}
	for !now.Before(b.nextChange) {
		b.refill(b.nextChange)
		b.recompute()
	}
	b.refill(now)
}

func (b *Bucket) refill(to snipetime.Instant) {
	if !to.After(b.last) {
		return
	}
	b.tokens = min(b.burst, b.tokens+b.rate*to.Sub(b.last).Seconds())
	b.last = to
}

// recompute sets the rate that applies from b.last.
func (b *Bucket) recompute() {
	now := b.last
	s := b.units.stateAt(now, b.limit)
	b.usable, b.leaseOrLoan, b.nextChange = s.usable, s.leaseOrLoan, s.nextChange
	reserve := b.limit.ReservePercent
	if reserve == 0 {
		reserve = defaultReserve
	}
	share := float64(s.usable) / UnitsPerLimit
	b.rate = share * b.limit.PerSecond * (1 - reserve/100)
	if b.limit.MaxGrowth > 0 {
		b.rate = min(b.rate, b.ramp.step(now, share*b.limit.MaxGrowth))
		b.nextChange = min(b.nextChange, b.ramp.nextStep)
	}
	duration := b.limit.Burst.Duration
	if duration == 0 {
		duration = defaultBurst
	}
	b.burst = max(b.rate*duration.Seconds(), b.limit.Burst.Minimum)
	b.tokens = min(b.tokens, b.burst)
}

// update refills the bucket up to now, applies f and recomputes the rate.
func (b *Bucket) update(now snipetime.Instant, f func()) {
	b.advance(now)
	f()
	b.recompute()
}
