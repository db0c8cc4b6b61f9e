package snipesync

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipefleet"
)

const (
	// memberTTL is the time to live of the entry of a front. A front that has
	// crashed is listed to callers for at most that time plus one watch pause.
	memberTTL = 4 * time.Second
	// renewInterval allows for a lost renewal and a retry within memberTTL.
	renewInterval = 1900 * time.Millisecond
	// lapsedBackoff is the minimum delay after a failed call once the entry has
	// lapsed. The entry has to be back within snipefleet.LapseGrace after the store
	// answers again.
	lapsedBackoff = time.Second
	// announceSpread is the maximum delay before a removed entry is written again. All
	// fronts may have to do so at the same time.
	announceSpread = 500 * time.Millisecond
)

// Announcer keeps the entry of a front in the store while Run runs.
type Announcer struct {
	store  LeaseStore
	member snipefleet.Member
	// entryRemoved receives a value when the entry of the front was removed from the
	// store, or the store was restored.
	entryRemoved <-chan struct{}
	// interruptWatch makes the follower end its watch of the store.
	interruptWatch func()
	log            *zap.Logger
	// lease is valid if hasLease is true.
	lease    Lease
	hasLease bool
	// renewedAt is when the last successful call that acquired or renewed the lease
	// began.
	renewedAt time.Time
	// failures counts consecutive failed calls.
	failures int
}

// NewAnnouncer returns an announcer of m. The follower f reports to it that the
// entry was removed, and the announcer reports failed calls to the follower.
func NewAnnouncer(store LeaseStore, m snipefleet.Member, f *Follower, log *zap.Logger) *Announcer {
	return &Announcer{store: store, member: m, entryRemoved: f.entryRemoved, interruptWatch: f.InterruptWatch, log: log}
}

// Run writes the entry of the front and renews its lease until ctx ends. Then it
// ends the lease, which removes the entry. Failed calls are logged and retried.
func (a *Announcer) Run(ctx context.Context) {
	retry := newBackoff()
	for ctx.Err() == nil {
		delay := renewInterval
		if err := a.renewOrAnnounce(ctx); err != nil {
			if ctx.Err() != nil {
				break
			}
			a.onFailure(err)
			delay = a.retryDelay(retry.NextBackOff())
		} else {
			a.onSuccess()
			retry.Reset()
		}
		a.wait(ctx, delay)
	}
	a.withdraw()
}

// retryDelay returns the delay after a failed call, given that of the exponential
// backoff. It is longer once the entry has lapsed: a quick retry no longer helps,
// and the store may be refusing many fronts at once.
func (a *Announcer) retryDelay(backoff time.Duration) time.Duration {
	if a.hasLease && time.Since(a.renewedAt) < memberTTL {
		return backoff
	}
	return max(backoff, lapsedBackoff)
}

// onFailure interrupts the watch of the follower, whose answer may be lost too, and
// logs the first of consecutive failures.
func (a *Announcer) onFailure(err error) {
	a.interruptWatch()
	if a.failures == 0 {
		a.log.Warn("announcement lost", zap.Error(err))
	}
	a.failures++
}

// onSuccess logs the end of consecutive failures.
func (a *Announcer) onSuccess() {
	if a.failures > 0 {
		a.log.Info("announcement regained", zap.Int("failures", a.failures))
	}
	a.failures = 0
}

// wait waits for d, until ctx ends, or until the entry is removed. A removed entry
// has to be written again under a new lease.
func (a *Announcer) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-a.entryRemoved:
		a.hasLease = false
		sleep(ctx, time.Duration(rand.Float64()*float64(announceSpread)))
	}
}

// renewOrAnnounce renews the lease. If there is none, or it has ended, it acquires
// a new one and writes the entry under it.
func (a *Announcer) renewOrAnnounce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if a.hasLease {
		began := time.Now()
		err := a.store.Renew(ctx, a.lease)
		if err == nil {
			a.renewedAt = began
			return nil
		}
		if !errors.Is(err, ErrLeaseEnded) {
			return fmt.Errorf("renew the lease of the front: %w", err)
		}
		a.log.Info("lease ended", zap.Uint64("lease", a.lease.ID), zap.Uint64("epoch", uint64(a.lease.Epoch)), zap.Error(err))
		a.hasLease = false
	}
	began := time.Now()
	lease, ttl, err := a.store.Acquire(ctx, memberTTL)
	if err != nil {
		return fmt.Errorf("acquire a lease for the front: %w", err)
	}
	if err := a.store.WriteMember(ctx, lease, a.member); err != nil {
		return fmt.Errorf("write the entry of the front: %w", err)
	}
	a.lease, a.hasLease, a.renewedAt = lease, true, began
	a.log.Info("announced", zap.Uint64("lease", lease.ID), zap.Uint64("epoch", uint64(lease.Epoch)), zap.Duration("ttl", ttl))
	return nil
}

// withdraw ends the lease, if any. If the call fails, the entry lapses after its
// time to live.
func (a *Announcer) withdraw() {
	if !a.hasLease {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := a.store.End(ctx, a.lease); err != nil {
		a.log.Warn("lease not ended", zap.Error(err))
		return
	}
	a.log.Info("withdrawn", zap.Uint64("lease", a.lease.ID), zap.Uint64("epoch", uint64(a.lease.Epoch)))
}
