package snipesync

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipefleet"
)

const (
	// memberTTL is the time to live of the entry of a front. A front that died is
	// still named to callers for at most that time and one watch pause.
	memberTTL = 4 * time.Second
	// renewEvery leaves room for a lost renewal and its repetition within
	// memberTTL.
	renewEvery = 1900 * time.Millisecond
	// lapsedRetry is the pause after a failed call once the entry has lapsed. The
	// entry has to be back within snipefleet.LapseGrace of the store's return.
	lapsedRetry = time.Second
)

// Announcer keeps the entry of a front in the store until Withdraw.
type Announcer struct {
	store  Leases
	member snipefleet.Member
	lost   <-chan struct{}
	doubt  func()
	log    *zap.Logger
	lease  LeaseID
	held   bool
	// kept is when the lease was last taken or renewed.
	kept time.Time
	// failures counts the failed calls in a row.
	failures int
}

// NewAnnouncer returns an announcer of m. The follower tells it when the entry
// was removed by another.
func NewAnnouncer(store Leases, m snipefleet.Member, f *Follower, log *zap.Logger) *Announcer {
	return &Announcer{store: store, member: m, lost: f.lost, doubt: f.Doubt, log: log}
}

// Run announces the front and renews its lease until ctx ends. Then it ends the
// lease, which removes the entry.
func (a *Announcer) Run(ctx context.Context) {
	pause := newBackoff()
	for ctx.Err() == nil {
		next := renewEvery
		if err := a.step(ctx); err != nil {
			if ctx.Err() != nil {
				break
			}
			a.failed(err)
			next = a.retryIn(pause.NextBackOff())
		} else {
			a.succeeded()
			pause.Reset()
		}
		a.wait(ctx, next)
	}
	a.withdraw()
}

// retryIn returns the pause after a failed call, given that of a backoff. There is
// no hurry once the entry has lapsed, and many fronts can be refused together.
func (a *Announcer) retryIn(backoff time.Duration) time.Duration {
	if a.held && time.Since(a.kept) < memberTTL {
		return backoff
	}
	return max(backoff, lapsedRetry)
}

// failed logs the first of a row of failures.
func (a *Announcer) failed(err error) {
	a.doubt()
	if a.failures == 0 {
		a.log.Warn("announcement lost", zap.Error(err))
	}
	a.failures++
}

func (a *Announcer) succeeded() {
	if a.failures > 0 {
		a.log.Info("announcement regained", zap.Int("failures", a.failures))
	}
	a.failures = 0
}

func (a *Announcer) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-a.lost:
		a.held = false
	}
}

func (a *Announcer) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if a.held {
		began := time.Now()
		err := a.store.Renew(ctx, a.lease)
		if err == nil {
			a.kept = began
			return nil
		}
		if !errors.Is(err, ErrLeaseEnded) {
			return fmt.Errorf("renew the lease: %w", err)
		}
		a.log.Info("lease ended", zap.Uint64("lease", uint64(a.lease)))
		a.held = false
	}
	began := time.Now()
	lease, ttl, err := a.store.Lease(ctx, memberTTL)
	if err != nil {
		return fmt.Errorf("take a lease: %w", err)
	}
	if err := a.store.Announce(ctx, lease, a.member); err != nil {
		return fmt.Errorf("announce the front: %w", err)
	}
	a.lease, a.held, a.kept = lease, true, began
	a.log.Info("announced", zap.Uint64("lease", uint64(lease)), zap.Duration("ttl", ttl))
	return nil
}

func (a *Announcer) withdraw() {
	if !a.held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := a.store.End(ctx, a.lease); err != nil {
		a.log.Warn("lease not ended", zap.Error(err))
		return
	}
	a.log.Info("withdrawn", zap.Uint64("lease", uint64(a.lease)))
}
