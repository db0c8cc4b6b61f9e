package snipesync

import (
	"errors"
	"fmt"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
)

// errRestored is the cause of a loss of the store that ended with its restoration.
var errRestored = errors.New("store was restored from an older copy")

// beginRestoration is called before the first listing of a restored store is applied.
// The listing lacks what was written since the copy was made, and contains again what
// was removed since. Operators, targets and fronts write their entries again within
// snipefleet.LapseGrace. Until then,
//   - targets and fronts that are missing stay in use,
//   - evacuations that are missing go on, and those that have ended do not begin again.
//
// Targets and fronts that had left are not used again, whether they are listed or not.
func (f *Follower) beginRestoration(before, after snipefeed.Position) {
	f.storeLost(fmt.Errorf("epoch %d at revision %d, epoch %d at revision %d before: %w",
		after.Epoch, after.Revision, before.Epoch, before.Revision, errRestored))
	f.settling, f.settleAt = true, f.Clock.Now().Add(snipefleet.LapseGrace)
	f.signalEntryRemoved()
}

// beginSettling is called before a front that starts applies its first listing, if that
// contains outdated entries. They are used until the fronts that live have written
// theirs again.
func (f *Follower) beginSettling() {
	now := f.Clock.Now()
	f.settling, f.settleAt = true, now.Add(snipefleet.LapseGrace)
	f.Registry.StoreRestored(now)
}

// settle ends a restoration once the entries had time to be written again. From then
// on, the store decides about everything that it lists and lacks.
func (f *Follower) settle() {
	if !f.settling || f.disconnected || f.Clock.Now().Before(f.settleAt) {
		return
	}
	f.settling = false
	f.applyAll()
	position := f.Items.Position()
	f.Log.Info("restored store has settled", zap.Uint64("epoch", uint64(position.Epoch)), zap.Uint64("revision", uint64(position.Revision)))
}

// isOutdated reports whether a change is the entry of a front from before the store
// was restored. A front that lives writes its entry again after a restoration.
func (f *Follower) isOutdated(c *Change) bool {
	return c.Kind == KindMember && c.Announced != 0 && c.Announced < f.Items.Position().Epoch
}

// anyOutdated reports whether any of the changes is outdated.
func (f *Follower) anyOutdated(changes []Change) bool {
	for i := range changes {
		if f.isOutdated(&changes[i]) {
			return true
		}
	}
	return false
}

// endedBefore reports whether a listed evacuation is one that this front has seen end,
// and which a restored store may list only because the copy is older than its end.
func (f *Follower) endedBefore(c *Change) bool {
	view := f.Registry.View()
	_, ended := view.EvacuationEnd(c.Name)
	return f.settling && ended && !view.Evacuated(c.Name)
}
