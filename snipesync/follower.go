package snipesync

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// watchPause is the time between two watches. It lets one call bring many
	// changes and stays under half of the bounds within which changes are in force.
	watchPause = time.Second
	// watchWait bounds the wait of the store for a change. A store that loses its
	// history, or an answer, can leave a watch waiting although there are changes,
	// so the wait has to stay under the bounds on changes.
	watchWait = 2 * time.Second
	// awayWait replaces it while the store does not answer.
	awayWait = 300 * time.Millisecond
	// callTimeout bounds a call, in addition to the wait that it asks for.
	callTimeout = 1200 * time.Millisecond
	// firstBackoff and lastBackoff bound the pause after failed calls.
	firstBackoff = 150 * time.Millisecond
	lastBackoff  = 400 * time.Millisecond
	// lapsedShare is the part of the known entries that has to be missing after
	// an outage for them to count as lapsed.
	lapsedShare = 0.25
	// minLapsed keeps a few departures in a small fleet from counting as lapses.
	minLapsed = 3
)

// Clock tells the time.
type Clock interface {
	Now() snipetime.Instant
}

// Follower applies the changes of the store to a registry and a table holder.
type Follower struct {
	store    Store
	registry *snipefleet.Registry
	tables   *snipetable.Holder
	clock    Clock
	log      *zap.Logger
	// loaded is closed after the first complete listing.
	loaded chan struct{}
	away   bool
	since  snipetime.Instant
	// own is the name of this front; lost receives when its entry is removed.
	own  string
	lost chan struct{}
	// doubt receives when another call to the store failed.
	doubt chan struct{}
	// relist asks for a complete listing.
	relist atomic.Bool
}

// NewFollower returns a follower for the front with the given name.
func NewFollower(own string, store Store, registry *snipefleet.Registry, tables *snipetable.Holder, clock Clock, log *zap.Logger) *Follower {
	return &Follower{
		store: store, registry: registry, tables: tables, clock: clock, log: log, own: own,
		loaded: make(chan struct{}), lost: make(chan struct{}, 1), doubt: make(chan struct{}, 1),
	}
}

// Loaded returns a channel that is closed once a configuration and a complete
// listing were taken.
func (f *Follower) Loaded() <-chan struct{} { return f.loaded }

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := newBackoff()
	var at Revision
	listed := false
	for ctx.Err() == nil {
		var changes []Change
		var err error
		var next Revision
		if f.relist.Swap(false) {
			listed = false
		}
		full := !listed
		if full {
			changes, next, err = f.list(ctx)
		} else {
			changes, next, err = f.watch(ctx, at)
		}
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryLost):
			f.log.Info("store history lost", zap.Uint64("after", uint64(at)), zap.String("outcome", "list again"))
			listed = false
			continue
		case err != nil:
			f.storeAway(err)
			sleep(ctx, pause.NextBackOff())
			continue
		}
		pause.Reset()
		f.take(at, changes, full)
		at, listed = next, true
		f.tick()
		f.markLoaded()
		sleep(ctx, f.pause())
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstBackoff
	b.MaxInterval = lastBackoff
	return b
}

func (f *Follower) list(ctx context.Context) ([]Change, Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	return f.store.List(ctx) //nolint:wrapcheck // logged with its context by Run
}

func (f *Follower) watch(ctx context.Context, at Revision) ([]Change, Revision, error) {
	wait := watchWait
	if f.away {
		wait = awayWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	stop := f.endOnDoubt(cancel)
	defer stop()
	return f.store.Watch(ctx, at, wait) //nolint:wrapcheck // logged with its context by Run
}

// Doubt tells the follower that another call to the store failed. The watch in
// progress ends, because its answer can be lost too.
func (f *Follower) Doubt() {
	select {
	case f.doubt <- struct{}{}:
	default:
	}
}

// Relist makes the follower list everything again, because it can read more than
// before.
func (f *Follower) Relist() {
	f.relist.Store(true)
	f.Doubt()
}

// endOnDoubt cancels a watch at the next Doubt, until the returned function is
// called.
func (f *Follower) endOnDoubt(cancel func()) (stop func()) {
	done := make(chan struct{})
	select {
	case <-f.doubt: // about a time before the watch
	default:
	}
	go func() {
		select {
		case <-f.doubt:
			cancel()
		case <-done:
		}
	}()
	return func() { close(done) }
}

func (f *Follower) storeAway(err error) {
	f.registry.StoreAway()
	if f.away {
		return
	}
	f.away = true
	f.since = f.clock.Now()
	f.log.Warn("store lost", zap.Error(err))
}

func (f *Follower) storeBack() {
	now := f.clock.Now()
	f.away = false
	f.registry.StoreBack(now)
	f.log.Info("store regained", zap.Duration("after", now.Sub(f.since)))
}

// pause returns the time to the next call. While lapsed entries are in use it
// ends when they do.
func (f *Follower) pause() time.Duration {
	if left := f.registry.SettlesIn(f.clock.Now()); left > 0 {
		return min(left, watchPause)
	}
	return watchPause
}

func (f *Follower) tick() {
	for _, name := range f.registry.Tick(f.clock.Now()) {
		f.log.Info("entry ended", zap.String("name", name), zap.String("reason", "not registered again after the store's return"))
	}
}

func (f *Follower) markLoaded() {
	select {
	case <-f.loaded:
	default:
		if f.tables.Current() != nil {
			close(f.loaded)
		}
	}
}

// sleep waits for about the given time, or until ctx ends. The jitter keeps the
// fronts from calling the store in step.
func sleep(ctx context.Context, d time.Duration) {
	const jitter = 0.1
	timer := time.NewTimer(d + time.Duration(jitter*(rand.Float64()-0.5)*float64(d)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
