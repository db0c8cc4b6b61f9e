package snipelimit

import (
	"math"
	"sync"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	never = snipetime.Instant(math.MaxInt64)
	// idleWait is the wait suggested to a caller when no rate is known.
	idleWait = 100 * time.Millisecond
	// slack absorbs rounding of token arithmetic.
	slack = 1e-6
)

// Bucket is the token bucket of one limit. Its methods are safe for concurrent
// use and take instants that may be slightly out of order.
type Bucket struct {
	mu    sync.Mutex
	limit Limit
	units unitAccount
	ramp  ramp

	tokens float64
	last   snipetime.Instant
	// rate, burst, usable and leased apply from last until next.
	rate   float64
	burst  float64
	usable int
	leased bool
	next   snipetime.Instant

	spent   float64
	refused float64
	waiting []*Reservation // in the order in which they are served
}

// Spend takes amount from the bucket if the instance has a valid lease or loan
// at now and the tokens suffice. An amount above the burst is admitted when the
// bucket is full and leaves a debt, which blocks later spending until it is
// refilled. Over a period T a bucket therefore admits at most its rate × T plus
// the larger of its burst and the largest single amount. A refusal returns an
// error of type RefusalError and an estimate of the wait.
func (b *Bucket) Spend(now snipetime.Instant, amount float64) (time.Duration, error) {
	b.mu.Lock()
	b.advance(now)
	if b.usable == 0 {
		b.refused += amount
		err := b.idleReason()
		b.mu.Unlock()
		return idleWait, err
	}
	need := min(amount, b.burst)
	if len(b.waiting) > 0 {
		b.forgetWaiting(now)
		need += b.reserved(len(b.waiting))
	}
	if b.tokens+slack < need || b.rate == 0 {
		b.refused += amount
		wait := b.waitFor(need)
		b.mu.Unlock()
		return wait, ErrCapReached
	}
	b.take(amount)
	b.mu.Unlock()
	return 0, nil
}

func (b *Bucket) take(amount float64) {
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
		return idleWait
	}
	return b.waitFor(min(amount, b.burst))
}

// Ready reports whether amount can be spent now.
func (b *Bucket) Ready(now snipetime.Instant, amount float64) bool { return b.Wait(now, amount) == 0 }

// idleReason returns why a bucket without usable units refuses.
func (b *Bucket) idleReason() RefusalError {
	if b.leased {
		return ErrCapReached
	}
	return ErrLeaseLapsed
}

func (b *Bucket) waitFor(need float64) time.Duration {
	switch {
	case b.rate == 0:
		return idleWait
	case b.tokens+slack >= need:
		return 0
	}
	return time.Duration(math.Ceil((need - b.tokens) / b.rate * float64(time.Second)))
}

// advance fills the bucket up to now, piecewise between changes of its rate.
func (b *Bucket) advance(now snipetime.Instant) {
	if !now.After(b.last) {
		return
	}
	if b.limit.Growth > 0 && now.Sub(b.last) > rampIdle {
		b.last = now.Add(-rampIdle)
		b.ramp = ramp{window: b.last}
		b.recompute()
	}
	for !now.Before(b.next) {
		b.fill(b.next)
		b.recompute()
	}
	b.fill(now)
}

func (b *Bucket) fill(to snipetime.Instant) {
	if !to.After(b.last) {
		return
	}
	b.tokens = min(b.burst, b.tokens+b.rate*to.Sub(b.last).Seconds())
	b.last = to
}

// recompute sets the rate that applies from b.last.
func (b *Bucket) recompute() {
	now := b.last
	s := b.units.at(now, b.limit)
	b.usable, b.leased, b.next = s.usable, s.leased, s.next
	reserve := b.limit.ReservePercent
	if reserve == 0 {
		reserve = defaultReserve
	}
	share := float64(s.usable) / UnitsPerLimit
	b.rate = share * b.limit.PerSecond * (1 - reserve/100)
	if b.limit.Growth > 0 {
		b.rate = min(b.rate, b.ramp.step(now, share*b.limit.Growth))
		b.next = min(b.next, b.ramp.next)
	}
	duration := b.limit.Burst.Duration
	if duration == 0 {
		duration = defaultBurst
	}
	b.burst = max(b.rate*duration.Seconds(), b.limit.Burst.Minimum)
	b.tokens = min(b.tokens, b.burst)
}

// change fills the bucket up to now, applies f and recomputes the rate.
func (b *Bucket) change(now snipetime.Instant, f func()) {
	b.advance(now)
	f()
	b.recompute()
}
