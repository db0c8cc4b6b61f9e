package snipesync

import (
	"context"
	"time"

	"github.com/snipemoor/snipemoor/snipefeed"
)

// fetch asks the chosen source for a complete listing if there is none, or else for
// the changes after a position. The first listing from the store is a stale one.
func (f *Follower) fetch(ctx context.Context, choice snipefeed.Selection, after snipefeed.Position) (snipefeed.Batch, error) {
	if choice.Peer != "" {
		ctx, cancel := context.WithTimeout(ctx, f.Timing.peerWait+f.Timing.peerGrace)
		defer cancel()
		peer := f.Peers.Source(choice.Peer)
		if !f.listed {
			return peer.List(ctx) //nolint:wrapcheck // logged with its context by poll
		}
		return peer.Watch(ctx, after, f.peerWait(choice)) //nolint:wrapcheck // logged with its context by poll
	}
	if !f.listed {
		ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
		defer cancel()
		if after.Revision == 0 {
			return f.listStale(ctx)
		}
		began := f.Clock.Now()
		batch, err := f.Store.List(ctx)
		batch.Confirmed = snipefeed.ConfirmedAt(began)
		return batch, err //nolint:wrapcheck // logged with its context by poll
	}
	wait := f.watchWait(choice)
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	stop := f.cancelOnInterrupt(cancel)
	defer stop()
	began := f.Clock.Now()
	batch, err := f.Store.Watch(ctx, after, wait)
	if !batch.Behind {
		batch.Confirmed = snipefeed.ConfirmedAt(began)
	}
	return batch, err //nolint:wrapcheck // logged with its context by poll
}

// listStale returns the first listing of a front. It is stale because many fronts
// may start together, and a stale listing costs the store less. The next call
// returns the changes since.
func (f *Follower) listStale(ctx context.Context) (snipefeed.Batch, error) {
	batch, err := f.Store.ListStale(ctx)
	batch.Age, batch.Confirmed = staleListingAge, snipefeed.Confirmation{}
	return batch, err //nolint:wrapcheck // logged with its context by poll
}

// peerWait returns how long another front may wait for a change. It is to answer at once
// if it may have lost the store, so that several such fronts can be asked in turn. Where
// revocation is strict, a front whose listing is stale asks for a confirmation without a
// wait too.
func (f *Follower) peerWait(choice snipefeed.Selection) time.Duration {
	if choice.Probe || f.stale && f.Revocation.Strict() {
		return 0
	}
	return f.Timing.peerWait
}

// watchWait returns how long the store may wait for a change. After a loss of the
// store it is short, so that the front soon detects that the store answers again.
func (f *Follower) watchWait(choice snipefeed.Selection) time.Duration {
	timing := f.timing()
	switch {
	case f.disconnected:
		return min(disconnectedWait, timing.watchWait)
	case choice.ServesPeers:
		return timing.servingWait
	default:
		return timing.watchWait
	}
}

// InterruptWatch cancels the watch of the store in progress, which then counts
// as failed. It is called when another call to the store failed, because the
// answer to the watch may be lost too.
func (f *Follower) InterruptWatch() {
	select {
	case f.interrupt <- struct{}{}:
	default:
	}
}

// cancelOnInterrupt calls cancel at the next InterruptWatch. The caller calls
// stop when the watch has ended.
func (f *Follower) cancelOnInterrupt(cancel func()) (stop func()) {
	done := make(chan struct{})
	select {
	case <-f.interrupt: // discard an interrupt from before the watch
	default:
	}
	go func() {
		select {
		case <-f.interrupt:
			cancel()
		case <-done:
		}
	}()
	return func() { close(done) }
}
