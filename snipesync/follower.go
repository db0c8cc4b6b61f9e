package snipesync

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// awayWait bounds the wait of a watch while the store does not answer.
	awayWait = 300 * time.Millisecond
	// callTimeout bounds a call, in addition to the wait that it asks for.
	callTimeout = 1200 * time.Millisecond
	// firstBackoff and lastBackoff bound the pause after failed calls.
	firstBackoff = 150 * time.Millisecond
	lastBackoff  = 400 * time.Millisecond
	// followerBackoff is that pause where another front asks the store too.
	followerBackoff = time.Second
	// substitutePause is the time to the next call to the store while another
	// front stands in for it.
	substitutePause = 2 * time.Second
	// lapsedShare is the part of the known entries that has to be missing after
	// an outage for them to count as lapsed.
	lapsedShare = 0.25
	// staleAge is how old a stale listing is taken to be. It keeps other fronts from
	// relying on it.
	staleAge = 30 * time.Second
	// minLapsed keeps a few departures in a small fleet from counting as lapses.
	minLapsed = 3
)

// Clock tells the time.
type Clock interface {
	Now() snipetime.Instant
}

// Peers gives access to the logs of other fronts.
type Peers interface {
	At(address string) snipefeed.Source
}

// Store is what the follower needs of the store.
type Store interface {
	snipefeed.Source
	// ListStale returns all items as they were at a revision some time ago. Such a
	// listing costs the store less.
	ListStale(ctx context.Context) (snipefeed.Batch, error)
}

// Dependencies are the parts that a Follower uses. All are required, but Peers
// only where Plan names other fronts.
type Dependencies struct {
	// Own is the name of this front.
	Own      string
	Timing   Timing
	Store    Store
	Peers    Peers
	Plan     *snipefeed.Plan
	Items    *snipefeed.Log
	Decoder  Decoder
	Registry *snipefleet.Registry
	Tables   *snipetable.Holder
	Clock    Clock
	Log      *zap.Logger
}

// Follower applies the changes of the store to a registry and a table holder.
type Follower struct {
	Dependencies
	// loaded is closed after the first complete listing.
	loaded chan struct{}
	// listed says that Items holds a complete listing, and stale that it is one of
	// some time ago which no later answer has brought up to date.
	listed, stale bool
	away          bool
	since         snipetime.Instant
	// source is the source in use, for logs.
	source string
	// losses holds the losses of the store that other fronts have stated.
	losses map[string]uint64
	// lost receives when the entry of this front is removed.
	lost chan struct{}
	// doubt receives when another call to the store failed.
	doubt chan struct{}
	// decodeAgain asks to decode all items again.
	decodeAgain atomic.Bool
	retry       *backoff.ExponentialBackOff
}

// NewFollower returns a follower.
func NewFollower(d Dependencies) *Follower {
	return &Follower{
		Dependencies: d, losses: make(map[string]uint64), retry: newBackoff(),
		loaded: make(chan struct{}), lost: make(chan struct{}, 1), doubt: make(chan struct{}, 1),
	}
}

// Loaded returns a channel that is closed once a configuration and a complete
// listing were taken.
func (f *Follower) Loaded() <-chan struct{} { return f.loaded }

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.decodeAgain.Swap(false) {
			f.applyAll()
		}
		choice := f.Plan.Next(f.Clock.Now(), f.Registry.View().Members())
		if choice.Peer == "" {
			if wait := f.Plan.StoreIn(f.Clock.Now()); wait > 0 {
				sleep(ctx, wait)
				continue
			}
		}
		f.logSource(choice)
		if f.step(ctx, choice) {
			sleep(ctx, f.pause(choice))
		}
	}
}

// logSource logs a change of the source.
func (f *Follower) logSource(choice snipefeed.Choice) {
	source := "store"
	if choice.Peer != "" {
		source = choice.Peer
	}
	if source != f.source {
		f.Log.Info("follow", zap.String("source", source), zap.String("before", f.source), zap.Bool("serves", choice.Serves))
		f.source = source
	}
}

// step asks the source once and takes its answer. It reports false if another
// source is to be asked at once.
func (f *Follower) step(ctx context.Context, choice snipefeed.Choice) bool {
	before, full := f.Items.At(), !f.listed
	batch, err := f.fetch(ctx, choice, before)
	now := f.Clock.Now()
	fresh := batch.Age <= f.Timing.maxAge
	switch {
	case ctx.Err() != nil:
		return false
	case errors.Is(err, snipefeed.ErrHistoryLost) && f.storeServes(choice):
		// The other front can have started lately. The store keeps more changes, and
		// a call for them costs less than a listing.
		f.Log.Info("front does not keep the changes", zap.String("peer", choice.Peer), zap.Uint64("after", uint64(before)))
		f.Plan.Stale(now, choice.Peer)
		return false
	case errors.Is(err, snipefeed.ErrHistoryLost):
		f.Log.Info("store history lost", zap.Uint64("after", uint64(before)), zap.String("outcome", "list again"))
		f.listed = false
		return false
	case err != nil && choice.Peer != "":
		f.Log.Info("front does not answer", zap.String("peer", choice.Peer), zap.Error(err))
		f.Plan.Failed(now, choice.Peer)
		return false
	case err != nil:
		f.storeAway(err)
		f.Plan.StoreFailed(now, f.retryIn(choice))
		return false
	case !fresh && before != 0, batch.At < before && full:
		f.Log.Info("front has not heard from the store", zap.String("peer", choice.Peer),
			zap.Duration("age", batch.Age), zap.Uint64("revision", uint64(batch.At)))
		f.Plan.Stale(now, choice.Peer)
		return false
	}
	f.noteLosses(choice, batch)
	f.stale = full && batch.Age >= staleAge
	f.record(now, batch, full)
	if choice.Substitute && fresh {
		f.Plan.Substituted(now, substitutePause)
	}
	f.take(before, f.decode(batch.Items), full, fresh)
	f.tick()
	f.markLoaded()
	return true
}

// storeServes reports whether the store can be asked for what another front does
// not have.
func (f *Follower) storeServes(choice snipefeed.Choice) bool {
	return choice.Peer != "" && !choice.Substitute && !f.away
}

// retryIn returns when the store is asked again after it did not answer.
func (f *Follower) retryIn(choice snipefeed.Choice) time.Duration {
	delay := f.retry.NextBackOff()
	if choice.Watches || !f.listed {
		return delay
	}
	return max(delay, followerBackoff)
}

func (f *Follower) record(now snipetime.Instant, batch snipefeed.Batch, full bool) {
	f.retry.Reset()
	f.listed = true
	if full {
		f.Items.Replace(now, batch)
		return
	}
	f.Items.Append(now, batch)
}

// noteLosses takes a loss of the store by the front that is asked as one of its own,
// because entries can have lapsed meanwhile.
func (f *Follower) noteLosses(choice snipefeed.Choice, batch snipefeed.Batch) {
	if choice.Peer == "" {
		return
	}
	known, ok := f.losses[choice.Peer]
	f.losses[choice.Peer] = batch.Losses
	if ok && batch.Losses != known {
		f.storeAway(fmt.Errorf("front %s: %w", choice.Peer, errLostByPeer))
	}
}

var errLostByPeer = errors.New("lost the store meanwhile")

func (f *Follower) decode(items []snipefeed.Item) []Change {
	changes := make([]Change, 0, len(items))
	for _, it := range items {
		if c, ok := f.Decoder.Decode(it); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// applyAll decodes and applies all known items.
func (f *Follower) applyAll() {
	all, err := f.Items.All(f.Clock.Now())
	if err != nil {
		return // nothing is known yet
	}
	f.apply(f.decode(all.Items), true)
}

// fetch asks a source for a complete listing, or for the changes after a
// revision.
func (f *Follower) fetch(ctx context.Context, choice snipefeed.Choice, after snipefeed.Revision) (snipefeed.Batch, error) {
	if choice.Peer != "" {
		ctx, cancel := context.WithTimeout(ctx, f.Timing.peerWait+f.Timing.peerGrace)
		defer cancel()
		peer := f.Peers.At(choice.Peer)
		if !f.listed {
			return peer.List(ctx) //nolint:wrapcheck // logged with its context by step
		}
		return peer.Watch(ctx, after, f.Timing.peerWait) //nolint:wrapcheck // logged with its context by step
	}
	if !f.listed {
		ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
		defer cancel()
		if after == 0 {
			return f.listStale(ctx)
		}
		return f.Store.List(ctx) //nolint:wrapcheck // logged with its context by step
	}
	wait := f.watchWait(choice)
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	stop := f.endOnDoubt(cancel)
	defer stop()
	return f.Store.Watch(ctx, after, wait) //nolint:wrapcheck // logged with its context by step
}

// listStale returns the first listing of a front. Many fronts can start together,
// and changes since then come with the next call.
func (f *Follower) listStale(ctx context.Context) (snipefeed.Batch, error) {
	batch, err := f.Store.ListStale(ctx)
	batch.Age = staleAge
	return batch, err //nolint:wrapcheck // logged with its context by step
}

func (f *Follower) watchWait(choice snipefeed.Choice) time.Duration {
	switch {
	case f.away:
		return awayWait
	case choice.Serves:
		return f.Timing.watcherWait
	default:
		return f.Timing.wait
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstBackoff
	b.MaxInterval = lastBackoff
	return b
}

// Doubt tells the follower that another call to the store failed. The watch in
// progress ends, because its answer can be lost too.
func (f *Follower) Doubt() {
	select {
	case f.doubt <- struct{}{}:
	default:
	}
}

// DecodeAgain makes the follower decode all items again, because the decoder can
// read more than before.
func (f *Follower) DecodeAgain() {
	f.decodeAgain.Store(true)
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
	f.Registry.StoreAway()
	if f.away {
		return
	}
	f.away = true
	f.since = f.Clock.Now()
	f.Items.Lost()
	f.Log.Warn("store lost", zap.Error(err))
}

func (f *Follower) storeBack() {
	now := f.Clock.Now()
	f.away = false
	f.Registry.StoreBack(now)
	f.Log.Info("store regained", zap.Duration("after", now.Sub(f.since)), zap.String("source", f.source))
}

// pause returns the time to the next call. While lapsed entries are in use it
// ends when they do. Another front waits for a change itself, and one that is
// named by a stale listing is asked for what came since.
func (f *Follower) pause(choice snipefeed.Choice) time.Duration {
	pause := f.Timing.pause
	switch {
	case choice.Peer != "", f.stale && f.Plan.Next(f.Clock.Now(), f.Registry.View().Members()).Peer != "":
		return 0
	case choice.Serves:
		pause = f.Timing.watcherPause
	}
	if left := f.Registry.SettlesIn(f.Clock.Now()); left > 0 {
		return min(left, pause)
	}
	return pause
}

func (f *Follower) tick() {
	for _, name := range f.Registry.Tick(f.Clock.Now()) {
		f.Log.Info("entry ended", zap.String("name", name), zap.String("reason", "not registered again after the store's return"))
	}
}

// isLoaded reports whether Loaded is closed.
func (f *Follower) isLoaded() bool {
	select {
	case <-f.loaded:
		return true
	default:
		return false
	}
}

// markLoaded closes Loaded once a configuration is known.
func (f *Follower) markLoaded() {
	table := f.Tables.Current()
	if f.isLoaded() || table == nil {
		return
	}
	v := f.Registry.View()
	f.Log.Info("loaded", zap.Uint64("version", table.Version()), zap.Uint64("revision", uint64(f.Items.At())),
		zap.Bool("stale", f.stale), zap.Any("targets", v.Counts()), zap.Int("fronts", len(v.Members())),
		zap.Strings("evacuated", v.EvacuatedDomains()))
	close(f.loaded)
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
