package snipesync

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// watchPause is the time between two watches. It is a third of the shortest
	// bound within which a change has to be in force.
	watchPause = 700 * time.Millisecond
	// watchWait bounds the wait of the store for a change.
	watchWait = 2 * time.Second
	// callTimeout bounds a call, in addition to the wait that it asks for.
	callTimeout = 1200 * time.Millisecond
	// firstBackoff and lastBackoff bound the pause after failed calls.
	firstBackoff = 150 * time.Millisecond
	lastBackoff  = 400 * time.Millisecond
	// servedShare is the part of the changes expected from the targets'
	// heartbeats above which the store is taken to have served others while it
	// did not answer this front.
	servedShare = 0.5
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
	// heartbeat is the time between two reports of a target.
	heartbeat time.Duration
}

// NewFollower returns a follower for the front with the given name.
// heartbeat is the time between two reports of a target.
func NewFollower(own string, heartbeat time.Duration, store Store, registry *snipefleet.Registry, tables *snipetable.Holder, clock Clock, log *zap.Logger) *Follower {
	return &Follower{
		store: store, registry: registry, tables: tables, clock: clock, log: log, own: own, heartbeat: heartbeat,
		loaded: make(chan struct{}), lost: make(chan struct{}, 1),
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
		f.storeBack(at, next)
		f.apply(changes, full)
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
	ctx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	return f.store.Watch(ctx, at, watchWait) //nolint:wrapcheck // logged with its context by Run
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

// storeBack is called with the revisions before and after the loss.
func (f *Follower) storeBack(before, after Revision) {
	if !f.away {
		return
	}
	f.away = false
	now := f.clock.Now()
	gone := now.Sub(f.since)
	served := f.served(before, after, gone)
	f.registry.StoreBack(now, served)
	f.log.Info("store regained", zap.Duration("after", gone), zap.Uint64("revision", uint64(after)),
		zap.Bool("servedOthers", served))
}

// served reports whether the store's history went on while it did not answer
// this front for the given time.
func (f *Follower) served(before, after Revision, gone time.Duration) bool {
	if f.heartbeat <= 0 || before == 0 || after < before {
		return false
	}
	expected := float64(f.registry.Size()) * float64(gone) / float64(f.heartbeat)
	return expected > 0 && float64(after-before) > servedShare*expected
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
