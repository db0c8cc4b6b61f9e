package snipesync

import (
	"errors"
	"fmt"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
)

// storeLost records a loss of the store. From then on, missing entries stay in use
// until classifyMissing has decided on them.
func (f *Follower) storeLost(err error) {
	f.Registry.StoreLost()
	if f.disconnected {
		return
	}
	f.disconnected = true
	f.disconnectedAt = f.Clock.Now()
	f.Items.RecordLoss()
	f.Log.Warn("store lost", zap.Error(err))
}

// storeRegained records that the store answers again. Missing entries stay in use
// for snipefleet.LapseGrace unless classifyMissing ends that.
func (f *Follower) storeRegained() {
	now := f.Clock.Now()
	f.disconnected = false
	f.Registry.StoreRegained(now)
	f.Log.Info("store regained", zap.Duration("after", now.Sub(f.disconnectedAt)), zap.String("source", f.source),
		zap.Uint64("epoch", uint64(f.Items.Position().Epoch)))
}

// checkPeerLosses treats a loss of the store by the front that is asked like a loss
// by this front, because entries may have lapsed in the meantime. A loss soon after the
// last one is the same one, which fronts that ask each other would report in circles.
func (f *Follower) checkPeerLosses(choice snipefeed.Selection, batch snipefeed.Batch) {
	if choice.Peer == "" {
		return
	}
	before, ok := f.peerLosses[choice.Peer]
	f.peerLosses[choice.Peer] = batch.StoreLosses
	recent := f.disconnectedAt != 0 && f.Clock.Now().Sub(f.disconnectedAt) < snipefleet.LapseGrace
	if ok && batch.StoreLosses != before && !recent {
		f.storeLost(fmt.Errorf("front %s: %w", choice.Peer, errPeerLostStore))
	}
}

// errPeerLostStore is the cause of a loss of the store that another front reported.
var errPeerLostStore = errors.New("lost contact with the store since its last answer")

// removeLapsed removes entries from the registry whose grace period has ended.
func (f *Follower) removeLapsed() {
	for _, name := range f.Registry.RemoveLapsed(f.Clock.Now()) {
		f.Log.Info("entry ended", zap.String("name", name), zap.String("reason", "not registered again after the store was regained"))
	}
}

// anyReregistered reports whether the entry of a registered incarnation of a target
// was created after the revision before, which means that the entry had lapsed.
// The changes belong to the same epoch as before.
func (f *Follower) anyReregistered(before snipefeed.Revision, changes []Change) bool {
	for i := range changes {
		c := &changes[i]
		if c.Target != nil && c.Created > before && f.Registry.HasIncarnation(c.Name, c.Target.Born) {
			return true
		}
	}
	return false
}

// classifyMissing decides after a loss of the store how to treat the entries that
// are missing. If many are missing, or lapsed is set, they lapsed because the store was
// down or was restored, and stay in use for snipefleet.LapseGrace. Otherwise their
// targets and fronts left while the store served others, and use ends now.
func (f *Follower) classifyMissing(lapsed bool) {
	missing, all := f.Registry.CountLapsed()
	many := missing >= minLapsed && float64(missing) > minLapsedShare*float64(all)
	if !many && !lapsed {
		f.Registry.EndGrace(f.Clock.Now())
		return
	}
	f.Log.Info("entries lapsed", zap.Int("missing", missing), zap.Int("known", all),
		zap.Bool("createdAnew", lapsed), zap.Bool("restored", f.settling))
}
