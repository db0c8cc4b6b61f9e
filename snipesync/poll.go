package snipesync

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipetime"
)

// poll asks the source once and applies its answer. It reports false if there was
// no usable answer; Run then selects a source again without a pause.
func (f *Follower) poll(ctx context.Context, choice snipefeed.Selection) bool {
	before := f.Items.Position()
	batch, err := f.fetch(ctx, choice, before)
	switch {
	case ctx.Err() != nil:
		return false
	case err != nil:
		f.onFetchError(choice, before, err)
		return false
	case !f.usable(choice, before, batch):
		return false
	}
	f.apply(choice, before, batch)
	return true
}

// onFetchError records that the chosen source did not return the changes after the
// position before, and decides what to ask next.
func (f *Follower) onFetchError(choice snipefeed.Selection, before snipefeed.Position, err error) {
	now := f.Clock.Now()
	after := []zap.Field{zap.Uint64("epoch", uint64(before.Epoch)), zap.Uint64("after", uint64(before.Revision))}
	switch {
	case errors.Is(err, snipefeed.ErrEpochEnded) && choice.Peer != "":
		// A complete listing of the front spares the store one by each front.
		f.Log.Info("store restored", append(after, zap.String("peer", choice.Peer), zap.String("outcome", "list again"))...)
		f.listed = false
	case errors.Is(err, snipefeed.ErrHistoryLost) && f.storeUsable(choice):
		// The other front may have started recently. The store keeps a longer history,
		// and a watch costs it less than a listing.
		f.Log.Info("front does not keep the changes", append(after, zap.String("peer", choice.Peer))...)
		f.Selector.PeerStale(now, choice.Peer)
	case errors.Is(err, snipefeed.ErrHistoryLost):
		f.Log.Info("store history lost", append(after, zap.Error(err), zap.String("outcome", "list again"))...)
		if choice.Peer == "" && f.listed && !f.watched && !f.stale {
			f.Selector.StoreFailed(now, f.retryDelay(choice))
		}
		f.listed = false
	case choice.Peer != "":
		f.Log.Info("front does not answer", zap.String("peer", choice.Peer), zap.Error(err))
		f.Selector.PeerFailed(now, choice.Peer)
	default:
		f.storeLost(err)
		f.Selector.StoreFailed(now, f.retryDelay(choice))
	}
}

// usable reports whether a batch that was fetched for the changes after the position
// before, or for a complete listing, can be applied. If not, it decides what to ask
// next.
func (f *Follower) usable(choice snipefeed.Selection, before snipefeed.Position, batch snipefeed.Batch) bool {
	now, at := f.Clock.Now(), batch.Position
	if choice.Peer != "" {
		f.Selector.PeerAnswered(now, choice.Peer, at, batch.Age, batch.Age <= f.Timing.usualAge())
	}
	fields := []zap.Field{
		zap.String("peer", choice.Peer), zap.Duration("age", batch.Age),
		zap.Uint64("epoch", uint64(at.Epoch)), zap.Uint64("revision", uint64(at.Revision)),
		zap.Uint64("knownEpoch", uint64(before.Epoch)), zap.Uint64("knownRevision", uint64(before.Revision)),
	}
	behind := at.Epoch < before.Epoch
	switch {
	case f.listed && at.Epoch > before.Epoch:
		f.Log.Info("store restored", append(fields, zap.String("outcome", "list again"))...)
		f.listed = false
	case behind && choice.Peer == "":
		f.Log.Info("answer of an earlier epoch of the store", fields...)
		f.Selector.StoreFailed(now, f.retryDelay(choice))
	case choice.Peer != "" && (behind || !f.fresh(batch) && before.Revision != 0 || !f.listed && at.Compare(before) < 0):
		f.Log.Info("front has not heard from the store", fields...)
		f.Selector.PeerStale(now, choice.Peer)
	default:
		return true
	}
	return false
}

// fresh reports whether the store confirmed recently that there is nothing newer than
// a batch.
func (f *Follower) fresh(batch snipefeed.Batch) bool { return batch.Age <= f.Timing.maxPeerAge }

// apply applies a usable batch.
func (f *Follower) apply(choice snipefeed.Selection, before snipefeed.Position, batch snipefeed.Batch) {
	now, full, fresh := f.Clock.Now(), !f.listed, f.fresh(batch)
	f.checkPeerLosses(choice, batch)
	f.stale = full && batch.Age >= staleListingAge
	f.updateLog(now, batch, full)
	if choice.Fallback && fresh {
		f.Selector.FallbackAnswered(now, fallbackDuration)
	}
	changes := f.decode(batch.Items)
	switch {
	case before.Revision == 0:
		if f.anyOutdated(changes) {
			f.beginSettling()
		}
	case full && (batch.Position.Epoch != before.Epoch || batch.Position.Revision < before.Revision):
		f.beginRestoration(before, batch.Position)
	}
	f.applyBatch(before.Revision, changes, full, fresh)
	f.removeLapsed()
	f.settle()
	f.publishConfirmation()
	f.markLoaded()
}

// publishConfirmation passes the confirmation of the items on as that of the table in
// force, if the newest configuration is in force. It is called after changes have been
// applied, so that the table in force is never older than its confirmation. A restored
// store may have forgotten a configuration that it acknowledged, so that it confirms
// nothing before operators had time to write theirs again.
func (f *Follower) publishConfirmation() {
	if f.tableCurrent && !f.settling {
		f.Revocation.confirm(f.Items.Confirmation(), f.source)
	}
}

// storeUsable reports whether the store can be asked for changes that the chosen
// front no longer keeps.
func (f *Follower) storeUsable(choice snipefeed.Selection) bool {
	return choice.Peer != "" && !choice.Fallback && !f.disconnected
}

// retryDelay returns the time to the next call to the store after it did not answer.
func (f *Follower) retryDelay(choice snipefeed.Selection) time.Duration {
	delay := f.storeBackoff.NextBackOff()
	if choice.IsWatcher || !f.listed {
		return delay
	}
	return max(delay, nonWatcherBackoff)
}

// updateLog stores a batch in the log that other fronts read, and resets the backoff
// after the successful call.
func (f *Follower) updateLog(now snipetime.Instant, batch snipefeed.Batch, full bool) {
	f.storeBackoff.Reset()
	f.listed, f.watched = true, !full
	f.Items.SetWakeOnConfirmation(f.Revocation.Strict())
	if full {
		f.Items.Replace(now, batch)
		return
	}
	f.Items.Append(now, batch)
}

// decode returns the changes that items represent, without items of kinds that
// fronts do not use.
func (f *Follower) decode(items []snipefeed.Item) []Change {
	changes := make([]Change, 0, len(items))
	for _, it := range items {
		if c, ok := f.Decoder.Decode(it); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// applyAll decodes all items in the log and applies them as a complete listing.
func (f *Follower) applyAll() {
	all, err := f.Items.Snapshot(f.Clock.Now())
	if err != nil {
		return // there is no listing yet
	}
	f.applyChanges(f.decode(all.Items), true)
}
