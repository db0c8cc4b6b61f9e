package snipesync

import (
	"context"
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
	// disconnectedWait bounds the wait of a watch after a loss of the store.
	disconnectedWait = 300 * time.Millisecond
	// callTimeout bounds the duration of a call, in addition to the wait for changes
	// that it requests.
	callTimeout = 1200 * time.Millisecond
	// initialBackoff and maxBackoff bound the exponential backoff after failed calls.
	initialBackoff = 150 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
	// nonWatcherBackoff is the minimum backoff of a front that is not a watcher. The
	// watchers of its group call the store too, so it can wait longer.
	nonWatcherBackoff = time.Second
	// fallbackDuration is the time to the next call to the store after another front
	// answered as a fallback for it.
	fallbackDuration = 2 * time.Second
	// minLapsedShare is the fraction of the registered entries that must be exceeded
	// by the missing ones after a loss of the store for them to count as lapsed.
	minLapsedShare = 0.25
	// staleListingAge is the age that is assumed for a stale listing, so that other
	// fronts do not use it as recent data.
	staleListingAge = 30 * time.Second
	// minLapsed is the minimum number of missing entries that count as lapsed, so
	// that a few departures from a small fleet do not.
	minLapsed = 3
)

// Clock returns the current time.
type Clock interface {
	Now() snipetime.Instant
}

// Peers provides the logs of other fronts.
type Peers interface {
	// Source returns the log of the front with the given peer address as a source.
	Source(address string) snipefeed.Source
}

// Store is the part of the store's interface that the follower uses.
type Store interface {
	snipefeed.Source
	// ListStale returns all items as of an earlier revision. Such a listing costs the
	// store less.
	ListStale(ctx context.Context) (snipefeed.Batch, error)
}

// Dependencies are the parts that a Follower uses. All are required, except that
// Revocation may be nil, and Peers if Selector never selects another front.
type Dependencies struct {
	// OwnName is the name of this front.
	OwnName  string
	Timing   Timing
	Store    Store
	Peers    Peers
	Selector *snipefeed.SourceSelector
	Items    *snipefeed.Log
	Decoder  Decoder
	Registry *snipefleet.Registry
	Tables   *snipetable.Holder
	// Revocation receives the confirmations of the table in force. It may be nil.
	Revocation *Revocation
	Clock      Clock
	Log        *zap.Logger
}

// Follower applies the items of the store and their changes to a registry and a
// table holder. Redecode, InterruptWatch and Loaded are safe for concurrent use.
type Follower struct {
	Dependencies
	// loaded is closed once a complete listing and a configuration are applied.
	loaded chan struct{}
	// listed means that Items holds a complete listing, and stale that this is a stale
	// listing which no later answer has brought up to date. watched means that a watch
	// has succeeded since the listing.
	listed, stale, watched bool
	// disconnected means that the store does not answer, or that the front which this
	// one asks has lost it. disconnectedAt is when that began.
	disconnected   bool
	disconnectedAt snipetime.Instant
	// settling means that the store was restored and is being written again, which
	// takes until settleAt.
	settling bool
	settleAt snipetime.Instant
	// tableItem is the item of the configuration in force.
	tableItem tableItem
	// tableCurrent means that the newest item of a configuration in Items is the one in
	// force. It is false if that item cannot be decoded, was ignored as older, or was
	// removed, because it may remove keys that the table in force contains.
	tableCurrent bool
	// source is the source in use, for logs.
	source string
	// peerLosses holds the number of losses of the store that each other front last
	// reported, by its peer address.
	peerLosses map[string]uint64
	// entryRemoved receives a value when the entry of this front was removed, or the
	// store was restored.
	entryRemoved chan struct{}
	// interrupt receives a value when the watch in progress is to end.
	interrupt chan struct{}
	// redecode requests that all items are decoded again.
	redecode atomic.Bool
	// storeBackoff is the backoff after failed calls to the store.
	storeBackoff *backoff.ExponentialBackOff
}

// NewFollower returns a follower that starts with Run.
func NewFollower(d Dependencies) *Follower {
	if d.Revocation == nil {
		d.Revocation = NewRevocation(0)
	}
	return &Follower{
		Dependencies: d, peerLosses: make(map[string]uint64), storeBackoff: newBackoff(),
		loaded: make(chan struct{}), entryRemoved: make(chan struct{}, 1), interrupt: make(chan struct{}, 1),
	}
}

// Loaded returns a channel that is closed once a configuration and a complete
// listing have been applied.
func (f *Follower) Loaded() <-chan struct{} { return f.loaded }

// Run receives and applies items until ctx ends. Failed calls are logged and
// retried.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if pause := f.step(ctx); pause > 0 {
			sleep(ctx, pause)
		}
	}
}

// step selects a source and asks it once, unless the store may not be asked yet. It
// returns the time to the next step.
func (f *Follower) step(ctx context.Context) time.Duration {
	if f.redecode.Swap(false) {
		f.applyAll()
	}
	choice := f.Selector.Select(f.Clock.Now(), f.Registry.View().Members())
	if choice.Peer == "" {
		if wait := f.Selector.StoreRetryIn(f.Clock.Now()); wait > 0 {
			return wait
		}
	}
	f.logSource(choice)
	if !f.poll(ctx, choice) {
		return 0
	}
	return f.pollDelay(choice)
}

// logSource logs the source if it differs from the previous one.
func (f *Follower) logSource(choice snipefeed.Selection) {
	source := "store"
	if choice.Peer != "" {
		source = choice.Peer
	}
	if source != f.source {
		f.Log.Info("follow", zap.String("source", source), zap.String("before", f.source), zap.Bool("serves", choice.ServesPeers))
		f.source = source
	}
}

// newBackoff returns an exponential backoff for calls to the store.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialBackoff
	b.MaxInterval = maxBackoff
	return b
}

// Redecode makes the follower decode and apply all items again. It is called
// after the decoder has changed, since it may decode items that it rejected before.
func (f *Follower) Redecode() {
	f.redecode.Store(true)
	f.InterruptWatch()
}

// pollDelay returns the time to the next poll. It is 0 after a call to another front,
// which itself waits for a change, and after a stale listing that contains a watcher,
// which is asked for the changes since. Where revocation is strict, it is 0 after every
// stale listing, because such a listing confirms nothing. While lapsed entries are in use, the delay
// ends with their grace period at the latest.
func (f *Follower) pollDelay(choice snipefeed.Selection) time.Duration {
	timing := f.timing()
	delay := timing.watchPause
	switch {
	case f.stale && f.Revocation.Strict():
		return 0
	case choice.Peer != "", f.stale && f.Selector.Select(f.Clock.Now(), f.Registry.View().Members()).Peer != "":
		return 0
	case choice.ServesPeers:
		delay = timing.servingPause
	}
	if grace := f.Registry.GraceRemaining(f.Clock.Now()); grace > 0 {
		return min(grace, delay)
	}
	return delay
}

// timing returns the times that apply now. The settings can change them at any time.
func (f *Follower) timing() Timing {
	if f.Revocation.Strict() {
		return f.Timing.strict()
	}
	return f.Timing
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

// markLoaded closes Loaded when the first configuration is in force, and logs a
// summary of what was loaded.
func (f *Follower) markLoaded() {
	table := f.Tables.Current()
	if f.isLoaded() || table == nil {
		return
	}
	v, position := f.Registry.View(), f.Items.Position()
	f.Log.Info("loaded", zap.Uint64("version", table.Version()),
		zap.Uint64("epoch", uint64(position.Epoch)), zap.Uint64("revision", uint64(position.Revision)),
		zap.Bool("stale", f.stale), zap.Any("targets", v.Counts()), zap.Int("fronts", len(v.Members())),
		zap.Strings("evacuated", v.EvacuatedDomains()))
	close(f.loaded)
}

// sleep waits for d with a random jitter of 5% either way, or until ctx ends. The
// jitter prevents fronts from calling the store at the same times.
func sleep(ctx context.Context, d time.Duration) {
	const jitter = 0.1
	timer := time.NewTimer(d + time.Duration(jitter*(rand.Float64()-0.5)*float64(d)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
