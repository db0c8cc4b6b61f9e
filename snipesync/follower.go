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

// createdAnew reports whether an entry of a known incarnation was created after
// a revision, which tells that it had lapsed.
func (f *Follower) createdAnew(before Revision, changes []Change) bool {
	for i := range changes {
		c := &changes[i]
		if c.Target != nil && c.Created > before && f.registry.Knows(c.Name, c.Target.Born) {
			return true
		}
	}
	return false
}

// judge decides after a loss of the store whether the entries that are missing
// lapsed because the store was down, or left while it served others.
func (f *Follower) judge(createdAnew bool) {
	missing, all := f.registry.Lapsed()
	many := missing >= minLapsed && float64(missing) > lapsedShare*float64(all)
	if !many && !createdAnew {
		f.registry.Settle(f.clock.Now())
		return
	}
	f.log.Info("entries lapsed", zap.Int("missing", missing), zap.Int("known", all), zap.Bool("createdAnew", createdAnew))
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

// take applies an answer of the store. before is the revision known so far.
func (f *Follower) take(before Revision, changes []Change, full bool) {
	if !f.away {
		f.apply(changes, full)
		return
	}
	f.storeBack()
	anew := f.createdAnew(before, changes)
	f.apply(changes, full)
	f.judge(anew)
}

func (f *Follower) apply(changes []Change, full bool) {
	now := f.clock.Now()
	for i := range changes {
		f.applyOne(now, &changes[i])
	}
	if full {
		f.registry.Keep(now, listedIn(changes))
	}
}

// listedIn returns the names that a complete listing contains.
func listedIn(changes []Change) snipefleet.Listed {
	listed := snipefleet.Listed{Targets: map[string]bool{}, Members: map[string]bool{}, Evacuated: map[string]bool{}}
	for i := range changes {
		c := &changes[i]
		if c.Unreadable != nil || c.Gone {
			continue
		}
		switch c.Kind {
		case KindTarget:
			listed.Targets[c.Name] = true
		case KindMember:
			listed.Members[c.Name] = true
		case KindEvacuation:
			listed.Evacuated[c.Name] = true
		case KindTable:
		}
	}
	return listed
}

func (f *Follower) applyOne(now snipetime.Instant, c *Change) {
	if c.Unreadable != nil {
		f.log.Warn("store item ignored", zap.String("key", c.Key), zap.Error(c.Unreadable))
	}
	switch c.Kind {
	case KindTarget:
		f.applyTarget(now, c)
	case KindMember:
		f.applyMember(now, c)
	case KindTable:
		f.applyTable(c)
	case KindEvacuation:
		if f.registry.Evacuate(now, c.Name, !c.Gone) {
			f.log.Info("evacuation", zap.String("domain", c.Name), zap.Bool("on", !c.Gone))
		}
	}
}

func (f *Follower) applyTarget(now snipetime.Instant, c *Change) {
	if c.Target == nil {
		// An entry that cannot be read names no target to use.
		if f.registry.Remove(now, c.Name) {
			f.log.Info("target gone", zap.String("target", c.Name))
		}
		return
	}
	if f.registry.Report(now, *c.Target) {
		f.log.Info("target", zap.String("target", c.Name), zap.String("service", c.Target.Service),
			zap.String("domain", c.Target.Place.Domain), zap.Bool("draining", c.Target.Draining),
			zap.Int64("born", c.Target.Born), zap.Duration("cold", c.Target.Cold))
	}
}

func (f *Follower) applyMember(now snipetime.Instant, c *Change) {
	if c.Member == nil {
		if c.Name == f.own {
			f.announceAgain()
		}
		if f.registry.Leave(now, c.Name) {
			f.log.Info("front gone", zap.String("front", c.Name))
		}
		return
	}
	if f.registry.Join(*c.Member) {
		f.log.Info("front", zap.String("front", c.Name), zap.String("domain", c.Member.Place.Domain))
	}
}

func (f *Follower) announceAgain() {
	select {
	case f.lost <- struct{}{}:
	default:
	}
}

func (f *Follower) applyTable(c *Change) {
	if c.Table == nil {
		return
	}
	if f.tables.Offer(c.Table) {
		f.log.Info("configuration in force", zap.Uint64("version", c.Table.Version()))
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
